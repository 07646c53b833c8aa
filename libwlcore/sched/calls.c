/*
 * Requests of daemons to the scheduler: commands, which are checked and committed, and
 * queries.
 */

#include "internal.h"

/*
 * wl_sched_answer - send the result of a daemon's call
 */
void wl_sched_answer(wl_out_t *out, wl_str_t peer, uint64_t call, const wl_result_t *result)
{
	wl_msg_t *msg = wl_out_send(out, peer, WL_MSG_RESULT);

	msg->u.result.call = call;
	wl_record_copy(&wl_result_schema, &msg->u.result.result, result);
}

/*
 * wl_sched_answer_no_leader - answer a daemon's call at the end of the leadership: the daemon sends
 * it to the next leader
 */
void wl_sched_answer_no_leader(wl_out_t *out, wl_str_t peer, uint64_t call, wl_verdict_t verdict)
{
	wl_result_t result;
	wl_err_t err;

	wl_err_set(&err, WL_E_NO_LEADER, verdict, "leadership ended before the answer");
	wl_result_error(&result, &err);
	wl_sched_answer(out, peer, call, &result);
	wl_result_free(&result);
}

/*
 * wl_sched_command_propose - propose a command of a daemon, which is answered once it is applied
 * @cmd: moved from
 */
void wl_sched_command_propose(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
			      wl_cmd_t *cmd, wl_out_t *out)
{
	uint64_t address = cmd->kind == WL_CMD_JOB_ADD ? wl_sched_address_hash(&cmd->u.job_add) : 0;
	wl_sched_proposal_t *proposal = wl_sched_propose(sched, now_ns, cmd, out);

	wl_buf_set(&proposal->peer, peer);
	proposal->address = address;
	proposal->call = call;
}

/*
 * The committed incarnation of a target, if an answer has shown that a report is of a later one
 * although it started earlier by the time of day; 0 otherwise.
 */
static uint64_t superseded(const wl_sched_runner_t *runner, const wl_runner_report_t *report)
{
	uint64_t committed = runner->state->report.incarnation;

	return report->incarnation == runner->incarnation && report->incarnation < committed
		       ? committed
		       : 0;
}

/* Return: whether the report has to be committed. If not, fills in the answer. */
static bool report_check(wl_sched_t *sched, uint64_t now_ns, wl_runner_report_t *report,
			 wl_result_t *result)
{
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&report->id));

	wl_result_ok(result, 0);
	wl_buf_set(&result->report_to, wl_sched_report_to(sched, wl_buf_str(&report->id)));
	if (sched->jobs->configured &&
	    !wl_catalog_service(&sched->jobs->catalog, wl_buf_str(&report->service))) {
		wl_result_fail(result, WL_E_BAD_INPUT, "service of the target is not configured");
		return false;
	}
	if (!runner) {
		const wl_runner_t *known = wl_jobs_runner(sched->jobs, wl_buf_str(&report->id));

		wl_sched_lapse_heard(sched, wl_buf_str(&report->id), report->incarnation);
		return !known || wl_runner_report_is_newer(known, report);
	}
	wl_sched_runner_reported(sched, now_ns, runner, report);
	if (report->incarnation && report->incarnation == runner->former_incarnation)
		return false;
	wl_sched_capacity_reported(sched, runner, report);
	wl_sched_warmup_reported(sched, now_ns, runner, report);
	report->supersedes = superseded(runner, report);
	return wl_runner_report_changes(runner->state, report);
}

static void command_report(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
			   wl_cmd_t *cmd, wl_out_t *out)
{
	wl_result_t result = {0};

	if (cmd->u.runner_put.exiting) {
		wl_sched_departure_receive(sched, now_ns, peer, call, &cmd->u.runner_put, out);
		wl_cmd_free(cmd);
		return;
	}
	if (report_check(sched, now_ns, &cmd->u.runner_put, &result)) {
		wl_sched_command_propose(sched, now_ns, peer, call, cmd, out);
	} else {
		wl_sched_answer(out, peer, call, &result);
		wl_cmd_free(cmd);
	}
	wl_result_free(&result);
}

/*
 * wl_sched_reports_received - process the unchanged reports that an agent has acknowledged
 */
void wl_sched_reports_received(wl_sched_t *sched, uint64_t now_ns, const wl_msg_heard_t *msg)
{
	const wl_heard_row_t *rows = msg->rows.items;

	for (size_t i = 0; i < msg->rows.count; i++) {
		wl_runner_report_t report = {
			.incarnation = rows[i].incarnation,
			.sequence = rows[i].sequence,
			.clock_ms = rows[i].clock_ms,
		};
		wl_sched_runner_t *runner =
			wl_sched_runner_find(sched, wl_buf_str(&rows[i].runner));

		if (runner)
			wl_sched_runner_reported(sched, now_ns, runner, &report);
		else
			wl_sched_lapse_heard(sched, wl_buf_str(&rows[i].runner),
					     report.incarnation);
	}
}

/*
 * A resent or older configuration is acknowledged without a commit: the same or a newer
 * one is in force.
 */
static bool catalog_is_settled(const wl_sched_t *sched, const wl_cmd_t *cmd, wl_result_t *result)
{
	if (!sched->jobs->configured ||
	    cmd->u.catalog_put.catalog.version > sched->jobs->catalog.version)
		return false;
	wl_result_ok(result, 0);
	result->version = sched->jobs->catalog.version;
	return true;
}

/* The job comes before its route: an earlier copy of the submission may be committed. */
static bool job_is_settled(const wl_sched_t *sched, const wl_cmd_t *cmd, wl_result_t *result)
{
	wl_str_t host = wl_buf_str(&cmd->u.job_add.host);
	wl_str_t path = wl_buf_str(&cmd->u.job_add.path);
	const wl_queue_t *queue;
	wl_job_t *job;

	return wl_jobs_accepted(sched->jobs, host, path, result) ||
	       !wl_jobs_resolve(sched->jobs, host, path, &queue, &job, result);
}

/* Logs a call for a job whose id is that of a job with another host or path. */
static void job_elsewhere_log(const wl_sched_t *sched, const char *call, wl_str_t host,
			      wl_str_t path, wl_out_t *out)
{
	const wl_job_t *job = wl_jobs_elsewhere(sched->jobs, host, path);

	if (!job)
		return;
	wl_out_log(out, WL_WARN, "job-elsewhere",
		   "job=" WL_STR_FMT " call=%s host=" WL_STR_FMT " path=" WL_STR_FMT
		   " job_host=" WL_STR_FMT " job_path=" WL_STR_FMT " state=%s",
		   WL_STR_ARG(job->key), call, WL_STR_ARG(host), WL_STR_ARG(path),
		   WL_STR_ARG(wl_buf_str(&job->record.host)),
		   WL_STR_ARG(wl_buf_str(&job->record.path)),
		   wl_job_state_names[job->record.state]);
}

static void command_elsewhere_log(const wl_sched_t *sched, const wl_cmd_t *cmd, wl_out_t *out)
{
	const wl_cmd_job_add_t *add = &cmd->u.job_add;
	const wl_cmd_job_cancel_t *cancel = &cmd->u.job_cancel;

	if (cmd->kind == WL_CMD_JOB_ADD)
		job_elsewhere_log(sched, "submit", wl_buf_str(&add->host), wl_buf_str(&add->path),
				  out);
	if (cmd->kind == WL_CMD_JOB_CANCEL)
		job_elsewhere_log(sched, "cancel", wl_buf_str(&cancel->host),
				  wl_buf_str(&cancel->path), out);
}

/*
 * Only a zone that does not exist, and an order that was overtaken, are settled without a commit:
 * the same order again may have been overtaken by another one that is not committed yet.
 */
static bool zone_is_settled(const wl_sched_t *sched, const wl_cmd_t *cmd, wl_result_t *result)
{
	wl_str_t zone = wl_buf_str(&cmd->u.zone_evacuate.availability_zone);

	if (!wl_sched_zone_known(sched, zone)) {
		wl_result_fail(result, WL_E_NOT_FOUND,
			       "availability zone \"" WL_STR_FMT
			       "\": no target and no entry is in it",
			       WL_STR_ARG(zone));
		return true;
	}
	if (cmd->u.zone_evacuate.basis &&
	    cmd->u.zone_evacuate.basis != wl_sched_zone_basis(sched, zone)) {
		wl_result_fail(result, WL_E_OVERLOADED,
			       "availability zone \"" WL_STR_FMT
			       "\": another order, or another leader, came between",
			       WL_STR_ARG(zone));
		result->verdict = WL_UNKNOWN; /* a copy of this one may have come before */
		return true;
	}
	return false;
}

/* Fills in the answer to a command that needs no commit. Return: false if it needs one. */
static bool command_is_settled(const wl_sched_t *sched, const wl_cmd_t *cmd, wl_result_t *result)
{
	if (cmd->kind == WL_CMD_CATALOG_PUT)
		return catalog_is_settled(sched, cmd, result);
	if (cmd->kind == WL_CMD_JOB_ADD)
		return job_is_settled(sched, cmd, result);
	if (cmd->kind == WL_CMD_JOB_CANCEL)
		return false;
	if (cmd->kind == WL_CMD_ZONE_EVACUATE)
		return zone_is_settled(sched, cmd, result);
	wl_result_fail(result, WL_E_BAD_INPUT, "%s: daemons may not send this command",
		       wl_cmd_name(cmd->kind));
	return true;
}

/*
 * wl_sched_command - process a command of a daemon
 */
void wl_sched_command(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer,
		      const wl_msg_command_t *command, wl_out_t *out)
{
	wl_result_t result = {0};
	wl_err_t err = {0};
	wl_cmd_t cmd;

	if (!wl_cmd_unpack(wl_buf_str(&command->cmd), &cmd, &err)) {
		wl_result_error(&result, &err);
		wl_sched_answer(out, peer, command->call, &result);
		wl_result_free(&result);
		return;
	}
	if (cmd.kind == WL_CMD_RUNNER_PUT) {
		command_report(sched, now_ns, peer, command->call, &cmd, out);
		return;
	}
	command_elsewhere_log(sched, &cmd, out);
	if (command_is_settled(sched, &cmd, &result) ||
	    (cmd.kind == WL_CMD_JOB_ADD &&
	     wl_sched_job_refused(sched, now_ns, &cmd.u.job_add, &result, out))) {
		wl_sched_answer(out, peer, command->call, &result);
		wl_cmd_free(&cmd);
	} else {
		if (cmd.kind == WL_CMD_ZONE_EVACUATE)
			wl_sched_zone_ordered(sched,
					      wl_buf_str(&cmd.u.zone_evacuate.availability_zone));
		wl_sched_command_propose(sched, now_ns, peer, command->call, &cmd, out);
	}
	wl_result_free(&result);
}

static void query_job(const wl_sched_t *sched, const wl_msg_query_t *query, wl_result_t *result)
{
	wl_str_t path = wl_buf_str(&query->name);
	const wl_queue_t *queue;
	wl_job_t *job;

	if (!wl_jobs_resolve(sched->jobs, wl_buf_str(&query->customer), path, &queue, &job, result))
		return;
	if (!job && path.len > queue->prefix.len) {
		wl_result_fail(result, WL_E_GONE, "no job of the queue has this path");
		return;
	}
	wl_result_ok(result, 0);
	result->is_queue = !job;
	if (job)
		result->job_state = job->record.state;
	else
		result->pending = wl_jobs_pending(sched->jobs, queue);
}

static void query_catalog(const wl_sched_t *sched, wl_result_t *result)
{
	if (!sched->jobs->configured) {
		wl_result_fail(result, WL_E_OVERLOADED, "no configuration has been committed yet");
		return;
	}
	wl_result_ok(result, 0);
	wl_buf_set(&result->body, wl_buf_str(&sched->jobs->catalog_text));
	result->version = sched->jobs->catalog.version;
}

/*
 * wl_sched_query - answer a query of a daemon
 */
void wl_sched_query(wl_sched_t *sched, wl_str_t peer, const wl_msg_query_t *query, wl_out_t *out)
{
	wl_result_t result = {0};

	if (query->kind == WL_QUERY_JOB) {
		query_job(sched, query, &result);
		if (result.code == WL_E_GONE)
			job_elsewhere_log(sched, "query", wl_buf_str(&query->customer),
					  wl_buf_str(&query->name), out);
	} else if (query->kind == WL_QUERY_ZONE_BASIS) {
		wl_result_ok(&result, wl_sched_zone_basis(sched, wl_buf_str(&query->name)));
	} else {
		query_catalog(sched, &result);
	}
	wl_sched_answer(out, peer, query->call, &result);
	wl_result_free(&result);
}
