/*
 * Fuzzes what targets say on the product's own interface: announces, and answers to commands.
 * Numbers that are accepted are small enough for the sums and products that are made of them, a
 * refusal comes with an error, and an accepted message can be sent to another daemon.
 */

#include <stdlib.h>

#include <libwlcore/model/model.h>

#include "check.h"

#define NUMBER_MAX 1000000000000ull

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_error(const wl_err_t *err)
{
	FUZZ_CHECK(err->code == WL_E_BAD_INPUT && err->text[0] != '\0');
	for (const char *at = err->text; *at; at++)
		FUZZ_CHECK((unsigned char)*at >= ' ');
}

static void check_tasks(const wl_list_t *list)
{
	const wl_task_usage_t *tasks = list->items;

	for (size_t i = 0; i < list->count; i++) {
		FUZZ_CHECK(tasks[i].slowdown_permille <= NUMBER_MAX);
		FUZZ_CHECK(tasks[i].progress_permille <= NUMBER_MAX);
		FUZZ_CHECK(tasks[i].ran_ms <= NUMBER_MAX);
		FUZZ_CHECK(tasks[i].cpu_millis <= NUMBER_MAX && tasks[i].memory_mib <= NUMBER_MAX);
		FUZZ_CHECK(tasks[i].need.cpu_millis <= NUMBER_MAX);
		FUZZ_CHECK(tasks[i].need.slots <= NUMBER_MAX);
	}
}

static void check_packed(const wl_schema_t *schema, const void *record)
{
	wl_buf_t bytes = {0};
	void *back = wl_alloc(schema->size);
	wl_err_t err;

	wl_record_pack(schema, record, &bytes);
	FUZZ_CHECK(wl_record_unpack(schema, wl_buf_str(&bytes), back, &err));
	wl_record_free(schema, back);
	free(back);
	wl_buf_free(&bytes);
}

static void check_announce(wl_str_t text)
{
	wl_announce_t announce;
	wl_err_t err = {0};

	if (!wl_record_from_json(&wl_announce_schema, text, &announce, &err)) {
		check_error(&err);
		return;
	}
	check_tasks(&announce.tasks);
	FUZZ_CHECK(announce.usage.taken_ms_ago <= NUMBER_MAX);
	FUZZ_CHECK(announce.usage.running_requests <= NUMBER_MAX);
	FUZZ_CHECK(announce.usage.old_epoch_requests <= NUMBER_MAX);
	FUZZ_CHECK(announce.accelerators <= NUMBER_MAX && announce.slots <= NUMBER_MAX);
	check_packed(&wl_announce_schema, &announce);
	wl_record_free(&wl_announce_schema, &announce);
}

static void check_answer(wl_str_t text)
{
	wl_target_answer_t answer;
	wl_err_t err = {0};

	if (!wl_record_from_json(&wl_target_answer_schema, text, &answer, &err)) {
		check_error(&err);
		return;
	}
	check_tasks(&answer.tasks);
	FUZZ_CHECK(answer.running_requests <= NUMBER_MAX);
	wl_record_free(&wl_target_answer_schema, &answer);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	check_announce((wl_str_t){(const char *)data, size});
	check_answer((wl_str_t){(const char *)data, size});
	return 0;
}
