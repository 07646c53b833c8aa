/*
 * Fuzzes the calls of targets, operators and callers in the platform's protocol. The first line of
 * the input is the method and the path, the rest is the body.
 *
 * A refused call comes with an error that names what is wrong, and the other targets, and the one
 * whose id it names, are followed as before. An accepted report has an address that can be called
 * and times that can be computed with, and a command made of an accepted call can be read again.
 */

#include <stdlib.h>

#include <libwlbase/units.h>
#include <libwlcore/job/jobs.h>
#include <libwlnet/address.h>
#include <platform/platform.h>

#include "check.h"

#define TARGETS	    3
#define FIRST_START 1700000000000ull /* Unix ms */
#define LAST_START  4102444800000ull /* the year 2100, Unix ms */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void report_of(size_t target, uint64_t sequence, wl_runner_report_t *report)
{
	*report = (wl_runner_report_t){.incarnation = FIRST_START, .sequence = sequence};
	wl_buf_printf(&report->id, "i-%zx", 0x7f + target);
	wl_buf_printf(&report->address, "10.0.0.%zu:8080", target + 1);
	wl_buf_set(&report->service, WL_STR("sort1"));
}

static void report_put(wl_jobs_t *jobs, const wl_runner_report_t *report)
{
	wl_cmd_t cmd = {.kind = WL_CMD_RUNNER_PUT, .u.runner_put = *report};
	wl_result_t result = {0};

	wl_jobs_apply(jobs, &cmd, 1, &result);
	wl_result_free(&result);
}

static bool address_valid(const wl_buf_t *address)
{
	wl_address_t parsed;
	wl_err_t err;
	wl_str_t ip;
	wl_str_t port;
	uint64_t number = 0;

	return memchr(address->at, '\0', address->len) == NULL &&
	       wl_address_parse(wl_buf_str(address), &parsed, &err) &&
	       wl_str_split_last(wl_buf_str(address), ':', &ip, &port) &&
	       wl_str_u64(port, &number) && number > 0;
}

static void check_report(const wl_runner_report_t *report)
{
	FUZZ_CHECK(report->id.len > 0);
	if (report->exiting)
		return;
	FUZZ_CHECK(address_valid(&report->address));
	FUZZ_CHECK(report->service.len > 0);
	FUZZ_CHECK(report->incarnation < LAST_START);
	FUZZ_CHECK(report->clock_ms < UINT64_MAX / WL_NS_PER_MS);
	FUZZ_CHECK(report->warmup_ms < UINT64_MAX / WL_NS_PER_MS);
	FUZZ_CHECK(report->remaining_ms < UINT64_MAX / WL_NS_PER_MS);
}

/* Every target is still followed: its next report counts, and the address is its own. */
static void check_fleet(wl_jobs_t *jobs, const wl_runner_report_t *odd)
{
	for (size_t i = 0; i < TARGETS; i++) {
		const wl_runner_t *runner;
		wl_runner_report_t report;

		report_of(i, 3, &report);
		if (odd && wl_str_equal(wl_buf_str(&odd->id), wl_buf_str(&report.id))) {
			wl_record_free(&wl_runner_report_schema, &report);
			continue;
		}
		report_put(jobs, &report);
		runner = wl_jobs_runner(jobs, wl_buf_str(&report.id));
		FUZZ_CHECK(runner && runner->report.sequence == 3 && !runner->departed_ms);
		FUZZ_CHECK(wl_str_equal(wl_buf_str(&runner->report.address),
					wl_buf_str(&report.address)));
		wl_record_free(&wl_runner_report_schema, &report);
	}
}

static void check_followed(const wl_runner_report_t *odd)
{
	wl_jobs_t jobs;

	wl_jobs_init(&jobs, 1000);
	for (size_t i = 0; i < TARGETS; i++) {
		wl_runner_report_t report;

		report_of(i, 2, &report);
		report_put(&jobs, &report);
		wl_record_free(&wl_runner_report_schema, &report);
	}
	if (odd)
		report_put(&jobs, odd);
	check_fleet(&jobs, odd);
	wl_jobs_clear(&jobs);
}

/* What is sent to the leader, and kept in the log, reads as the same. */
static void check_packed(const wl_schema_t *schema, const void *record)
{
	wl_buf_t once = {0};
	wl_buf_t twice = {0};
	wl_err_t err;
	void *back = wl_alloc(schema->size);

	wl_record_pack(schema, record, &once);
	FUZZ_CHECK(wl_record_unpack(schema, wl_buf_str(&once), back, &err));
	wl_record_pack(schema, back, &twice);
	FUZZ_CHECK(wl_str_equal(wl_buf_str(&once), wl_buf_str(&twice)));
	wl_record_free(schema, back);
	free(back);
	wl_buf_free(&once);
	wl_buf_free(&twice);
}

static void check_operation(const wl_operation_t *operation)
{
	switch (operation->kind) {
	case WL_OPERATION_RUNNER_REPORT:
		check_report(&operation->report);
		check_packed(&wl_runner_report_schema, &operation->report);
		check_followed(&operation->report);
		break;
	case WL_OPERATION_CATALOG_PUT:
		check_packed(&wl_catalog_schema, &operation->catalog);
		break;
	case WL_OPERATION_ZONE_EVACUATE:
		FUZZ_CHECK(operation->evacuation.availability_zone.len > 0);
		break;
	case WL_OPERATION_JOB_ADD:
		check_packed(&wl_job_spec_schema, &operation->spec);
		break;
	default:
		break;
	}
}

static void call_init(wl_call_t *call, wl_str_t input)
{
	wl_str_t line;
	wl_str_t body;
	wl_str_t method;
	wl_str_t path;

	wl_str_split(input, '\n', &line, &body);
	wl_str_split(line, ' ', &method, &path);
	wl_buf_set(&call->method, method);
	wl_buf_set(&call->path, path);
	wl_buf_set(&call->body, body);
	wl_headers_add(&call->headers, WL_STR("Host"), WL_STR("nony24.example:8161"));
	call->listener =
		wl_str_starts(path, WL_STR("/-/")) ? WL_LISTENER_CONTROL : WL_LISTENER_CALLER;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_operation_t operation = {0};
	wl_call_t call = {0};
	wl_err_t err = {0};

	call_init(&call, (wl_str_t){(const char *)data, size});
	if (wl_platform_dialect.call_read(&call, &operation, &err)) {
		check_operation(&operation);
	} else {
		FUZZ_CHECK(err.code == WL_E_BAD_INPUT || err.code == WL_E_TOO_LARGE);
		FUZZ_CHECK(err.text[0] != '\0');
	}
	wl_operation_free(&operation);
	wl_buf_free(&call.method);
	wl_buf_free(&call.path);
	wl_buf_free(&call.body);
	wl_list_free(&wl_header_schema, &call.headers);
	return 0;
}
