/* Operations and orders: schemas and release. */

#include "dialect.h"

const char *const wl_operation_names[] = {
	"none",	       "ready",	      "job-add",       "job-get",	"job-cancel",
	"catalog-put", "catalog-get", "runner-report", "zone-evacuate", NULL,
};

const char *const wl_order_kind_names[] = {"start", "stop", "hold", "pace", NULL};

const char *const wl_order_outcome_names[] = {
	"done",	     "not-sent",   "no-answer", "fenced",  "old",	 "late", "no-room",
	"no-ticket", "other-life", "unhealthy", "refused", "agent-lost", "held", NULL,
};

static const wl_field_t run_view_fields[] = {
	WL_FIELD(wl_run_view_t, task, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_run_view_t, ref, &wl_task_ref_schema),
	WL_FIELD(wl_run_view_t, run, WL_FIELD_U64),
	WL_FIELD(wl_run_view_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_run_view_t, percent, WL_FIELD_U64),
	WL_FIELD(wl_run_view_t, load, WL_FIELD_U64),
};

const wl_schema_t wl_run_view_schema = WL_SCHEMA(wl_run_view_t, run_view_fields);

static const wl_field_t end_view_fields[] = {
	WL_FIELD(wl_end_view_t, number, WL_FIELD_U64),
	WL_FIELD(wl_end_view_t, task, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_end_view_t, ref, &wl_task_ref_schema),
	WL_FIELD(wl_end_view_t, run, WL_FIELD_U64),
	{.name = "how",
	 .kind = WL_FIELD_ENUM,
	 .offset = offsetof(wl_end_view_t, outcome),
	 .names = wl_run_outcome_names},
	WL_FIELD(wl_end_view_t, checkpoint, WL_FIELD_BYTES),
};

const wl_schema_t wl_end_view_schema = WL_SCHEMA(wl_end_view_t, end_view_fields);

static const wl_field_t order_fields[] = {
	WL_FIELD(wl_order_t, id, WL_FIELD_U64),
	WL_FIELD(wl_order_t, kind, WL_FIELD_U64),
	WL_FIELD(wl_order_t, runner, WL_FIELD_BYTES),
	WL_FIELD(wl_order_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_order_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_order_t, lease_ms, WL_FIELD_U64),
	WL_FIELD_NEST(wl_order_t, task, &wl_task_ref_schema),
	WL_FIELD(wl_order_t, run, WL_FIELD_U64),
	WL_FIELD(wl_order_t, payload, WL_FIELD_BYTES),
	WL_FIELD(wl_order_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_order_t, percent, WL_FIELD_U64),
	WL_FIELD_AS("seen", wl_order_t, committed_ends, WL_FIELD_U64),
	WL_FIELD(wl_order_t, wait_ms, WL_FIELD_U64),
	WL_FIELD(wl_order_t, timeout_ms, WL_FIELD_U64),
	WL_FIELD_AS("send_by", wl_order_t, send_by_ms, WL_FIELD_U64),
};

const wl_schema_t wl_order_schema = WL_SCHEMA(wl_order_t, order_fields);

static const wl_field_t order_end_fields[] = {
	WL_FIELD(wl_order_end_t, id, WL_FIELD_U64),
	WL_FIELD(wl_order_end_t, outcome, WL_FIELD_U64),
	WL_FIELD(wl_order_end_t, has_clock, WL_FIELD_BOOL),
	WL_FIELD(wl_order_end_t, clock_ms, WL_FIELD_U64),
	WL_FIELD_AS("life", wl_order_end_t, incarnation, WL_FIELD_U64),
	WL_FIELD_MANY(wl_order_end_t, runs, &wl_run_view_schema),
	WL_FIELD_MANY(wl_order_end_t, ends, &wl_end_view_schema),
	WL_FIELD(wl_order_end_t, partial, WL_FIELD_BOOL),
};

const wl_schema_t wl_order_end_schema = WL_SCHEMA(wl_order_end_t, order_end_fields);

/*
 * wl_operation_free - free the contents of an operation and make it WL_OPERATION_NONE
 */
void wl_operation_free(wl_operation_t *operation)
{
	wl_buf_free(&operation->host);
	wl_buf_free(&operation->path);
	wl_buf_free(&operation->text);
	wl_record_free(&wl_job_spec_schema, &operation->spec);
	wl_record_free(&wl_catalog_schema, &operation->catalog);
	wl_record_free(&wl_runner_report_schema, &operation->report);
	wl_buf_free(&operation->evacuation.availability_zone);
	operation->kind = WL_OPERATION_NONE;
}
