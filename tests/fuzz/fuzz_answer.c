/*
 * Fuzzes the answers of targets to orders. The input is a whole answer, and also an odd row among
 * valid ones: these stay in use, and the error names the odd one.
 */

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <libwlbase/units.h>
#include <platform/platform.h>

#include "check.h"

#define JOB "5c0e7a21d94b36f8"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool answer_read(uint64_t status, wl_str_t body, wl_order_end_t *end, wl_err_t *err)
{
	wl_fetched_t fetched = {.status = status, .complete = true, .sent = true};
	bool ok;

	wl_buf_set(&fetched.body, body);
	*err = (wl_err_t){0};
	ok = wl_platform_dialect.order_read(WL_ORDER_RENEW, &fetched, end, err);
	FUZZ_CHECK(ok || err->text[0] != '\0');
	FUZZ_CHECK(end->outcome < WL_ORDER_OUTCOMES);
	FUZZ_CHECK(end->clock_ms < UINT64_MAX / WL_NS_PER_MS);
	wl_buf_free(&fetched.body);
	return ok;
}

/* The answer goes to the leader in a message. */
static void check_packed(const wl_order_end_t *end)
{
	wl_buf_t once = {0};
	wl_order_end_t back;
	wl_err_t err;

	wl_record_pack(&wl_order_end_schema, end, &once);
	FUZZ_CHECK(wl_record_unpack(&wl_order_end_schema, wl_buf_str(&once), &back, &err));
	wl_record_free(&wl_order_end_schema, &back);
	wl_buf_free(&once);
}

static void check_whole(wl_str_t body)
{
	static const uint64_t statuses[] = {200, 409, 421, 503};

	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		wl_order_end_t end;
		wl_err_t err;

		answer_read(statuses[i], body, &end, &err);
		check_packed(&end);
		wl_record_free(&wl_order_end_schema, &end);
	}
}

/* Returns whether the text is a single JSON value, so that only its meaning may be odd. */
static bool is_json(wl_str_t text)
{
	json_t *json = json_loadb(text.len ? text.at : "", text.len,
				  JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	bool is = json != NULL;

	json_decref(json);
	return is;
}

static size_t runs_of(const wl_order_end_t *end, uint64_t index)
{
	const wl_run_view_t *runs = end->runs.items;
	size_t found = 0;

	for (size_t i = 0; i < end->runs.count; i++)
		found += wl_str_equal(wl_buf_str(&runs[i].ref.job), WL_STR(JOB)) &&
			 runs[i].ref.index == index && runs[i].run == 1;
	return found;
}

static size_t ends_of(const wl_order_end_t *end, uint64_t index, uint64_t number)
{
	const wl_end_view_t *ends = end->ends.items;
	size_t found = 0;

	for (size_t i = 0; i < end->ends.count; i++)
		found += wl_str_equal(wl_buf_str(&ends[i].ref.job), WL_STR(JOB)) &&
			 ends[i].ref.index == index && ends[i].number == number &&
			 ends[i].outcome == WL_END_FAILED;
	return found;
}

/* One odd row in each list, between valid ones of tasks that no row of the corpus names. */
static void check_row(wl_str_t row)
{
	wl_buf_t body = {0};
	wl_order_end_t end;
	wl_err_t err;

	wl_buf_append(&body,
		      WL_STR("{\"clock_ms\":9,\"running\":[[\"" JOB ".0.0.1001\",1,\"\",5],"));
	wl_buf_append(&body, row);
	wl_buf_append(&body, WL_STR(",[\"" JOB ".0.0.1002\",1,\"\",5]],\"completions\":[[57,\"" JOB
				    ".0.0.1003\",1,\"failed\",\"\"],"));
	wl_buf_append(&body, row);
	wl_buf_append(&body, WL_STR(",[60,\"" JOB ".0.0.1004\",1,\"failed\",\"\"]]}"));
	/* the rows may have more levels than the parser takes, one by one and in the lists */
	if (is_json(row) && is_json(wl_buf_str(&body))) {
		if (!answer_read(200, wl_buf_str(&body), &end, &err))
			FUZZ_CHECK(wl_str_starts(wl_str_from(err.text), WL_STR("running[1]")) ||
				   wl_str_starts(wl_str_from(err.text), WL_STR("completions[1]")));
		FUZZ_CHECK(end.outcome == WL_ORDER_DONE);
		FUZZ_CHECK(runs_of(&end, 1001) == 1 && runs_of(&end, 1002) == 1);
		FUZZ_CHECK(ends_of(&end, 1003, 57) == 1 && ends_of(&end, 1004, 60) == 1);
		check_packed(&end);
		wl_record_free(&wl_order_end_schema, &end);
	}
	wl_buf_free(&body);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_str_t input = {(const char *)data, size};

	check_whole(input);
	check_row(input);
	return 0;
}
