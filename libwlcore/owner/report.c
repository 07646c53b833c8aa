/* Reports of attempts to the leader, repeated until they are committed. */

#include "internal.h"

#define MOST_REPORTS 64

/*
 * wl_attempt_report - tell the leader what happened to an attempt
 *
 * A newer report takes the place of an older one of the same attempt.
 */
void wl_attempt_report(const wl_turn_t *turn, wl_attempt_t *attempt, wl_report_kind_t kind,
		       wl_str_t reason)
{
	wl_report_t *report = &attempt->report;

	wl_buf_set(&report->task, wl_buf_str(&attempt->task));
	wl_buf_set(&report->target, wl_buf_str(&attempt->target));
	wl_buf_set(&report->result, wl_buf_str(&attempt->result));
	wl_buf_set(&report->checkpoint, wl_buf_str(&attempt->checkpoint));
	wl_buf_set(&report->reason, reason);
	report->attempt = attempt->number;
	report->epoch = attempt->epoch;
	report->kind = kind;
	report->ran_ms = attempt->ran_ms;
	report->cpu_millis = attempt->most_cpu_millis;
	report->memory_mib = attempt->most_memory_mib;
	wl_attempt_repeat(turn, attempt);
}

/*
 * wl_attempt_repeat - send an attempt's newest report again
 */
void wl_attempt_repeat(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	wl_owner_t *owner = turn->owner;

	if (attempt->report.task.len == 0)
		return;
	attempt->report_sent = false;
	owner->reports_fresh = true;
	if (attempt->in_reports)
		return;
	attempt->in_reports = true;
	TAILQ_INSERT_TAIL(&owner->reports, attempt, of_reports);
}

static void ended_reported(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	bool kept = attempt->report.kind == WL_REPORT_FINISHED ||
		    attempt->report.kind == WL_REPORT_FAILED ||
		    attempt->report.kind == WL_REPORT_STOPPED;

	if (kept && attempt->owned)
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_ACKING);
	else
		wl_attempt_close(turn, attempt);
}

static void report_committed(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	TAILQ_REMOVE(&turn->owner->reports, attempt, of_reports);
	attempt->in_reports = false;
	if (attempt->phase == WL_ATTEMPT_CHECKPOINTED)
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_STOPPING);
	else if (attempt->phase == WL_ATTEMPT_ENDED)
		ended_reported(turn, attempt);
}

/*
 * wl_owner_take_reported - the leader has committed reports
 */
void wl_owner_take_reported(const wl_turn_t *turn, const wl_msg_reported_t *reported)
{
	const wl_reported_row_t *rows = reported->rows.items;

	for (size_t i = 0; i < reported->rows.count; i++) {
		wl_attempt_t *attempt =
			wl_attempt_find(turn->owner, wl_buf_str(&rows[i].task), rows[i].attempt);

		if (attempt && attempt->in_reports && attempt->report.kind == rows[i].kind)
			report_committed(turn, attempt);
	}
}

/*
 * wl_owner_send_reports - send the leader reports that are not committed
 * @all: those that were sent before too
 */
void wl_owner_send_reports(const wl_turn_t *turn, bool all)
{
	wl_owner_t *owner = turn->owner;
	const wl_session_t *session = owner->options.session;
	wl_msg_t *msg = NULL;
	wl_attempt_t *attempt;

	owner->reports_fresh = false;
	if (session->leader.len == 0)
		return;
	TAILQ_FOREACH (attempt, &owner->reports, of_reports) {
		if (attempt->report_sent && !all)
			continue;
		if (!msg || msg->u.report.reports.count == MOST_REPORTS) {
			msg = wl_out_send(turn->out, wl_buf_str(&session->leader), WL_MSG_REPORT);
			msg->u.report.session = session->id;
		}
		attempt->report_sent = true;
		wl_record_copy(&wl_report_schema,
			       wl_list_add(&wl_report_schema, &msg->u.report.reports),
			       &attempt->report);
	}
}
