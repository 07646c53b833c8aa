/* Commands of the replicated log: schemas and packing. */

#include "cmd.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define RESULT_TEXT_BYTES 320

static const wl_field_t cmd_list_put_fields[] = {
	WL_FIELD(wl_cmd_list_put_t, list, WL_FIELD_U64),
	WL_FIELD(wl_cmd_list_put_t, base, WL_FIELD_U64),
	WL_FIELD(wl_cmd_list_put_t, digest, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_list_put_t, text, WL_FIELD_BYTES),
};

static const wl_schema_t cmd_list_put_schema = WL_SCHEMA(wl_cmd_list_put_t, cmd_list_put_fields);

static const wl_field_t cmd_session_open_fields[] = {
	WL_FIELD(wl_cmd_session_open_t, entry, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_session_open_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_cmd_session_open_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_session_open_t, availability_zone, WL_FIELD_BYTES),
};

static const wl_schema_t cmd_session_open_schema =
	WL_SCHEMA(wl_cmd_session_open_t, cmd_session_open_fields);

static const wl_field_t cmd_session_end_fields[] = {
	WL_FIELD(wl_cmd_session_end_t, session, WL_FIELD_U64),
};

static const wl_schema_t cmd_session_end_schema =
	WL_SCHEMA(wl_cmd_session_end_t, cmd_session_end_fields);

static const wl_field_t cmd_target_own_fields[] = {
	WL_FIELD(wl_cmd_target_own_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_target_own_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_target_own_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_target_own_t, rack, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_target_own_t, services, WL_FIELD_STRINGS),
	WL_FIELD(wl_cmd_target_own_t, session, WL_FIELD_U64),
	WL_FIELD(wl_cmd_target_own_t, from_epoch, WL_FIELD_U64),
};

static const wl_schema_t cmd_target_own_schema =
	WL_SCHEMA(wl_cmd_target_own_t, cmd_target_own_fields);

static const wl_field_t cmd_target_forget_fields[] = {
	WL_FIELD(wl_cmd_target_forget_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_target_forget_t, epoch, WL_FIELD_U64),
};

static const wl_schema_t cmd_target_forget_schema =
	WL_SCHEMA(wl_cmd_target_forget_t, cmd_target_forget_fields);

static const wl_field_t cmd_task_add_fields[] = {
	WL_FIELD(wl_cmd_task_add_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_task_add_t, key, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_task_add_t, nonce, WL_FIELD_U64),
	WL_FIELD_NEST(wl_cmd_task_add_t, spec, &wl_task_spec_schema),
};

static const wl_schema_t cmd_task_add_schema = WL_SCHEMA(wl_cmd_task_add_t, cmd_task_add_fields);

static const wl_field_t cmd_task_cancel_fields[] = {
	WL_FIELD(wl_cmd_task_cancel_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_task_cancel_t, tasks, WL_FIELD_STRINGS),
};

static const wl_schema_t cmd_task_cancel_schema =
	WL_SCHEMA(wl_cmd_task_cancel_t, cmd_task_cancel_fields);

static const wl_field_t assignment_fields[] = {
	WL_FIELD(wl_assignment_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_assignment_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_assignment_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_assignment_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_assignment_t, boot, WL_FIELD_U64),
};

const wl_schema_t wl_assignment_schema = WL_SCHEMA(wl_assignment_t, assignment_fields);

static const wl_field_t cmd_task_assign_fields[] = {
	WL_FIELD_MANY(wl_cmd_task_assign_t, assignments, &wl_assignment_schema),
};

static const wl_schema_t cmd_task_assign_schema =
	WL_SCHEMA(wl_cmd_task_assign_t, cmd_task_assign_fields);

static const wl_field_t report_fields[] = {
	WL_FIELD(wl_report_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_report_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_report_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_report_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_report_t, kind, WL_FIELD_U64),
	WL_FIELD(wl_report_t, result, WL_FIELD_BYTES),
	WL_FIELD(wl_report_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_report_t, reason, WL_FIELD_BYTES),
	WL_FIELD(wl_report_t, ran_ms, WL_FIELD_U64),
	WL_FIELD(wl_report_t, cpu_millis, WL_FIELD_U64),
	WL_FIELD(wl_report_t, memory_mib, WL_FIELD_U64),
	WL_FIELD(wl_report_t, crashed, WL_FIELD_BOOL),
};

const wl_schema_t wl_report_schema = WL_SCHEMA(wl_report_t, report_fields);

static const wl_field_t cmd_task_report_fields[] = {
	WL_FIELD_MANY(wl_cmd_task_report_t, reports, &wl_report_schema),
};

static const wl_schema_t cmd_task_report_schema =
	WL_SCHEMA(wl_cmd_task_report_t, cmd_task_report_fields);

static const wl_field_t cmd_key_begin_fields[] = {
	WL_FIELD(wl_cmd_key_begin_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_key_begin_t, key, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_key_begin_t, digest, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_key_begin_t, session, WL_FIELD_U64),
	WL_FIELD(wl_cmd_key_begin_t, nonce, WL_FIELD_U64),
};

static const wl_schema_t cmd_key_begin_schema = WL_SCHEMA(wl_cmd_key_begin_t, cmd_key_begin_fields);

static const wl_field_t cmd_key_end_fields[] = {
	WL_FIELD(wl_cmd_key_end_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_key_end_t, key, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_key_end_t, nonce, WL_FIELD_U64),
	WL_FIELD(wl_cmd_key_end_t, verdict, WL_FIELD_U64),
	WL_FIELD(wl_cmd_key_end_t, status, WL_FIELD_U64),
	WL_FIELD(wl_cmd_key_end_t, content_type, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_key_end_t, body, WL_FIELD_BYTES),
};

static const wl_schema_t cmd_key_end_schema = WL_SCHEMA(wl_cmd_key_end_t, cmd_key_end_fields);

static const wl_field_t cmd_catalog_put_fields[] = {
	WL_FIELD_NEST(wl_cmd_catalog_put_t, catalog, &wl_catalog_schema),
	WL_FIELD(wl_cmd_catalog_put_t, text, WL_FIELD_BYTES),
};

static const wl_schema_t cmd_catalog_put_schema =
	WL_SCHEMA(wl_cmd_catalog_put_t, cmd_catalog_put_fields);

static const wl_field_t cmd_zone_evacuate_fields[] = {
	WL_FIELD(wl_cmd_zone_evacuate_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_zone_evacuate_t, withdrawn, WL_FIELD_BOOL),
	WL_FIELD(wl_cmd_zone_evacuate_t, basis, WL_FIELD_U64),
};

static const wl_schema_t cmd_zone_evacuate_schema =
	WL_SCHEMA(wl_cmd_zone_evacuate_t, cmd_zone_evacuate_fields);

static const wl_field_t cmd_job_add_fields[] = {
	WL_FIELD(wl_cmd_job_add_t, host, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_job_add_t, path, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_cmd_job_add_t, spec, &wl_job_spec_schema),
};

static const wl_schema_t cmd_job_add_schema = WL_SCHEMA(wl_cmd_job_add_t, cmd_job_add_fields);

static const wl_field_t cmd_job_cancel_fields[] = {
	WL_FIELD(wl_cmd_job_cancel_t, host, WL_FIELD_BYTES),
	WL_FIELD(wl_cmd_job_cancel_t, path, WL_FIELD_BYTES),
};

static const wl_schema_t cmd_job_cancel_schema =
	WL_SCHEMA(wl_cmd_job_cancel_t, cmd_job_cancel_fields);

static const wl_field_t run_start_fields[] = {
	WL_FIELD(wl_run_start_t, job, WL_FIELD_BYTES),
	WL_FIELD(wl_run_start_t, task, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, run, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, runner, WL_FIELD_BYTES),
	WL_FIELD_AS("life", wl_run_start_t, incarnation, WL_FIELD_U64),
	WL_FIELD(wl_run_start_t, started_ms, WL_FIELD_U64),
};

const wl_schema_t wl_run_start_schema = WL_SCHEMA(wl_run_start_t, run_start_fields);

static const wl_field_t cmd_runs_start_fields[] = {
	WL_FIELD_MANY(wl_cmd_runs_start_t, runs, &wl_run_start_schema),
};

static const wl_schema_t cmd_runs_start_schema =
	WL_SCHEMA(wl_cmd_runs_start_t, cmd_runs_start_fields);

static const wl_field_t run_end_fields[] = {
	WL_FIELD(wl_run_end_t, job, WL_FIELD_BYTES),
	WL_FIELD(wl_run_end_t, task, WL_FIELD_U64),
	WL_FIELD(wl_run_end_t, run, WL_FIELD_U64),
	WL_FIELD(wl_run_end_t, runner, WL_FIELD_BYTES),
	{.name = "how",
	 .kind = WL_FIELD_ENUM,
	 .offset = offsetof(wl_run_end_t, outcome),
	 .names = wl_run_outcome_names},
	WL_FIELD(wl_run_end_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_run_end_t, ran_ms, WL_FIELD_U64),
	WL_FIELD(wl_run_end_t, outage, WL_FIELD_BOOL),
	WL_FIELD(wl_run_end_t, unconfirmed, WL_FIELD_BOOL),
	WL_FIELD(wl_run_end_t, incarnation, WL_FIELD_U64),
	WL_FIELD(wl_run_end_t, alone, WL_FIELD_BOOL),
	WL_FIELD(wl_run_end_t, silent, WL_FIELD_BOOL),
};

const wl_schema_t wl_run_end_schema = WL_SCHEMA(wl_run_end_t, run_end_fields);

static const wl_field_t run_sound_fields[] = {
	WL_FIELD(wl_run_sound_t, job, WL_FIELD_BYTES),
	WL_FIELD(wl_run_sound_t, task, WL_FIELD_U64),
	WL_FIELD(wl_run_sound_t, run, WL_FIELD_U64),
};

const wl_schema_t wl_run_sound_schema = WL_SCHEMA(wl_run_sound_t, run_sound_fields);

static const wl_field_t run_doubt_fields[] = {
	WL_FIELD(wl_run_doubt_t, job, WL_FIELD_BYTES),
	WL_FIELD(wl_run_doubt_t, task, WL_FIELD_U64),
	WL_FIELD(wl_run_doubt_t, run, WL_FIELD_U64),
	WL_FIELD(wl_run_doubt_t, over, WL_FIELD_BOOL),
};

const wl_schema_t wl_run_doubt_schema = WL_SCHEMA(wl_run_doubt_t, run_doubt_fields);

static const wl_field_t lapse_over_fields[] = {
	WL_FIELD(wl_lapse_over_t, runner, WL_FIELD_BYTES),
	WL_FIELD(wl_lapse_over_t, incarnation, WL_FIELD_U64),
};

const wl_schema_t wl_lapse_over_schema = WL_SCHEMA(wl_lapse_over_t, lapse_over_fields);

static const wl_field_t cmd_runs_end_fields[] = {
	WL_FIELD_MANY(wl_cmd_runs_end_t, ends, &wl_run_end_schema),
	WL_FIELD_MANY(wl_cmd_runs_end_t, sound, &wl_run_sound_schema),
	WL_FIELD_MANY(wl_cmd_runs_end_t, doubts, &wl_run_doubt_schema),
	WL_FIELD_MANY(wl_cmd_runs_end_t, late, &wl_run_end_schema),
	WL_FIELD_MANY(wl_cmd_runs_end_t, lapses_over, &wl_lapse_over_schema),
};

static const wl_schema_t cmd_runs_end_schema = WL_SCHEMA(wl_cmd_runs_end_t, cmd_runs_end_fields);

static const wl_field_t result_fields[] = {
	WL_FIELD(wl_result_t, code, WL_FIELD_U64),
	WL_FIELD(wl_result_t, verdict, WL_FIELD_U64),
	WL_FIELD(wl_result_t, text, WL_FIELD_BYTES),
	WL_FIELD(wl_result_t, index, WL_FIELD_U64),
	WL_FIELD(wl_result_t, version, WL_FIELD_U64),
	WL_FIELD(wl_result_t, id, WL_FIELD_BYTES),
	WL_FIELD(wl_result_t, key_state, WL_FIELD_U64),
	WL_FIELD(wl_result_t, status, WL_FIELD_U64),
	WL_FIELD(wl_result_t, content_type, WL_FIELD_BYTES),
	WL_FIELD(wl_result_t, body, WL_FIELD_BYTES),
	WL_FIELD(wl_result_t, job_state, WL_FIELD_U64),
	WL_FIELD(wl_result_t, is_queue, WL_FIELD_BOOL),
	WL_FIELD(wl_result_t, pending, WL_FIELD_U64),
	WL_FIELD(wl_result_t, retry_ms, WL_FIELD_U64),
	WL_FIELD(wl_result_t, report_to, WL_FIELD_BYTES),
};

const wl_schema_t wl_result_schema = WL_SCHEMA(wl_result_t, result_fields);

typedef struct kind_row {
	const char *name;
	const wl_schema_t *schema;
} kind_row_t;

static const kind_row_t kinds[WL_CMD_KINDS] = {
	[WL_CMD_LIST_PUT] = {"list-put", &cmd_list_put_schema},
	[WL_CMD_SESSION_OPEN] = {"session-open", &cmd_session_open_schema},
	[WL_CMD_SESSION_END] = {"session-end", &cmd_session_end_schema},
	[WL_CMD_TARGET_OWN] = {"target-own", &cmd_target_own_schema},
	[WL_CMD_TARGET_FORGET] = {"target-forget", &cmd_target_forget_schema},
	[WL_CMD_TASK_ADD] = {"task-add", &cmd_task_add_schema},
	[WL_CMD_TASK_CANCEL] = {"task-cancel", &cmd_task_cancel_schema},
	[WL_CMD_TASK_ASSIGN] = {"task-assign", &cmd_task_assign_schema},
	[WL_CMD_TASK_REPORT] = {"task-report", &cmd_task_report_schema},
	[WL_CMD_KEY_BEGIN] = {"key-begin", &cmd_key_begin_schema},
	[WL_CMD_KEY_END] = {"key-end", &cmd_key_end_schema},
	[WL_CMD_CATALOG_PUT] = {"catalog-put", &cmd_catalog_put_schema},
	[WL_CMD_JOB_ADD] = {"job-add", &cmd_job_add_schema},
	[WL_CMD_JOB_CANCEL] = {"job-cancel", &cmd_job_cancel_schema},
	[WL_CMD_RUNS_START] = {"runs-start", &cmd_runs_start_schema},
	[WL_CMD_RUNS_END] = {"runs-end", &cmd_runs_end_schema},
	[WL_CMD_RUNNER_PUT] = {"runner-put", &wl_runner_report_schema},
	[WL_CMD_ZONE_EVACUATE] = {"zone-evacuate", &cmd_zone_evacuate_schema},
};

/* Header in front of the command's record. */
typedef struct cmd_head {
	uint64_t kind;
	uint64_t at_ms;
	wl_buf_t record;
} cmd_head_t;

static const wl_field_t head_fields[] = {
	WL_FIELD(cmd_head_t, kind, WL_FIELD_U64),
	WL_FIELD(cmd_head_t, at_ms, WL_FIELD_U64),
	WL_FIELD(cmd_head_t, record, WL_FIELD_BYTES),
};

static const wl_schema_t head_schema = WL_SCHEMA(cmd_head_t, head_fields);

static bool kind_known(uint64_t kind)
{
	return kind != WL_CMD_NONE && kind < WL_CMD_KINDS;
}

/*
 * wl_cmd_free - free the contents of a command and make it WL_CMD_NONE
 */
void wl_cmd_free(wl_cmd_t *cmd)
{
	if (kind_known(cmd->kind))
		wl_record_free(kinds[cmd->kind].schema, &cmd->u);
	cmd->kind = WL_CMD_NONE;
}

/*
 * wl_cmd_copy - deep-copy a command
 * @to: overwritten without being freed
 */
void wl_cmd_copy(wl_cmd_t *to, const wl_cmd_t *from)
{
	memset(to, 0, sizeof(*to));
	to->kind = from->kind;
	to->at_ms = from->at_ms;
	if (kind_known(from->kind))
		wl_record_copy(kinds[from->kind].schema, &to->u, &from->u);
}

/*
 * wl_cmd_pack - append an encoded command to a buffer
 */
void wl_cmd_pack(const wl_cmd_t *cmd, wl_buf_t *out)
{
	cmd_head_t head = {.kind = cmd->kind, .at_ms = cmd->at_ms};

	if (kind_known(cmd->kind))
		wl_record_pack(kinds[cmd->kind].schema, &cmd->u, &head.record);
	wl_record_pack(&head_schema, &head, out);
	wl_record_free(&head_schema, &head);
}

/*
 * wl_cmd_unpack - decode a command
 * @bytes: exactly one command
 * @cmd: overwritten without being freed; WL_CMD_NONE after a failure
 * @err: WL_E_BAD_INPUT
 */
bool wl_cmd_unpack(wl_str_t bytes, wl_cmd_t *cmd, wl_err_t *err)
{
	cmd_head_t head;
	bool ok;

	memset(cmd, 0, sizeof(*cmd));
	if (!wl_record_unpack(&head_schema, bytes, &head, err))
		return false;
	if (!kind_known(head.kind))
		ok = wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "command of unknown kind %llu",
				(unsigned long long)head.kind);
	else
		ok = wl_record_unpack(kinds[head.kind].schema, wl_buf_str(&head.record), &cmd->u,
				      err);
	cmd->kind = ok ? head.kind : WL_CMD_NONE;
	cmd->at_ms = head.at_ms;
	wl_record_free(&head_schema, &head);
	return ok;
}

/*
 * wl_cmd_name - name of a kind of command, for logs and metrics
 */
const char *wl_cmd_name(uint64_t kind)
{
	return kind_known(kind) ? kinds[kind].name : "none";
}

/*
 * wl_result_free - free the contents of a result and zero it
 */
void wl_result_free(wl_result_t *result)
{
	wl_record_free(&wl_result_schema, result);
}

/*
 * wl_result_error - set a result to an error
 * @result: overwritten without being freed
 */
void wl_result_error(wl_result_t *result, const wl_err_t *err)
{
	memset(result, 0, sizeof(*result));
	result->code = err->code;
	result->verdict = err->verdict;
	wl_buf_set(&result->text, wl_str_from(err->text));
}

/*
 * wl_result_ok - set a result for a command that was applied
 */
void wl_result_ok(wl_result_t *result, uint64_t index)
{
	result->code = WL_OK;
	result->verdict = WL_RAN;
	result->index = index;
}

/*
 * wl_result_fail - set a result for a command that was rejected and changed nothing
 */
void wl_result_fail(wl_result_t *result, wl_code_t code, const char *format, ...)
{
	char text[RESULT_TEXT_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	result->code = code;
	result->verdict = WL_NOT_RUN;
	wl_buf_set(&result->text, wl_str_from(text));
}
