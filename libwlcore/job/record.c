/* Schemas of the job state in snapshots. */

#include "internal.h"

static const wl_field_t job_task_row_fields[] = {
	WL_FIELD(wl_job_task_row_t, run, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, failures, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, failed_run, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, done, WL_FIELD_BOOL),
	WL_FIELD(wl_job_task_row_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_job_task_row_t, crashes.count, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, crashes.crash, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, crashes.run, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, crashes.ran_ms, WL_FIELD_U64),
	WL_FIELD(wl_job_task_row_t, crashes.proved, WL_FIELD_U64),
};

const wl_schema_t wl_job_task_row_schema = WL_SCHEMA(wl_job_task_row_t, job_task_row_fields);

static const wl_field_t job_record_fields[] = {
	WL_FIELD(wl_job_record_t, id, WL_FIELD_BYTES),
	WL_FIELD(wl_job_record_t, queue, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_job_record_t, spec, &wl_job_spec_schema),
	WL_FIELD(wl_job_record_t, accepted_ms, WL_FIELD_U64),
	WL_FIELD(wl_job_record_t, ended_ms, WL_FIELD_U64),
	WL_FIELD_NAMES(wl_job_record_t, state, wl_job_state_names),
	WL_FIELD(wl_job_record_t, service, WL_FIELD_BYTES),
	WL_FIELD(wl_job_record_t, priority, WL_FIELD_U64),
	WL_FIELD(wl_job_record_t, max_attempts, WL_FIELD_U64),
	WL_FIELD(wl_job_record_t, objective_ms, WL_FIELD_U64),
	WL_FIELD(wl_job_record_t, slack_millis, WL_FIELD_U64),
	WL_FIELD_MANY(wl_job_record_t, tasks, &wl_job_task_row_schema),
	WL_FIELD(wl_job_record_t, crash, WL_FIELD_U64),
	WL_FIELD(wl_job_record_t, crash_count, WL_FIELD_U64),
	WL_FIELD(wl_job_record_t, outage, WL_FIELD_BOOL),
	/* Snapshots of earlier versions end here. */
	WL_FIELD(wl_job_record_t, host, WL_FIELD_BYTES),
	WL_FIELD(wl_job_record_t, path, WL_FIELD_BYTES),
};

const wl_schema_t wl_job_record_schema = WL_SCHEMA(wl_job_record_t, job_record_fields);

static const wl_field_t cancellation_fields[] = {
	WL_FIELD(wl_job_cancellation_row_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_job_cancellation_row_t, at_ms, WL_FIELD_U64),
};

const wl_schema_t wl_job_cancellation_schema =
	WL_SCHEMA(wl_job_cancellation_row_t, cancellation_fields);

static const wl_field_t lapse_row_fields[] = {
	WL_FIELD(wl_lapse_row_t, runner, WL_FIELD_BYTES),
	WL_FIELD(wl_lapse_row_t, incarnation, WL_FIELD_U64),
	WL_FIELD(wl_lapse_row_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_lapse_row_t, at_ms, WL_FIELD_U64),
	WL_FIELD_MANY(wl_lapse_row_t, ends, &wl_run_end_schema),
};

const wl_schema_t wl_lapse_row_schema = WL_SCHEMA(wl_lapse_row_t, lapse_row_fields);

static const wl_field_t runner_record_fields[] = {
	WL_FIELD_NEST(wl_runner_record_t, report, &wl_runner_report_schema),
	WL_FIELD_AS("left_ms", wl_runner_record_t, departed_ms, WL_FIELD_U64),
	WL_FIELD(wl_runner_record_t, crash, WL_FIELD_U64),
	WL_FIELD(wl_runner_record_t, crashed_incarnation, WL_FIELD_U64),
};

const wl_schema_t wl_runner_record_schema = WL_SCHEMA(wl_runner_record_t, runner_record_fields);

static const wl_field_t run_record_fields[] = {
	WL_FIELD(wl_run_start_t, job, WL_FIELD_BYTES),
	WL_FIELD(wl_run_start_t, task, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, run, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, runner, WL_FIELD_BYTES),
	WL_FIELD_AS("life", wl_run_start_t, incarnation, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, started_ms, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, doubtful, WL_FIELD_BOOL),
	WL_FIELD(wl_run_start_t, announced, WL_FIELD_BOOL),
};

const wl_schema_t wl_run_record_schema = WL_SCHEMA(wl_run_start_t, run_record_fields);
