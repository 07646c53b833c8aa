/* Reports of attempts to the leader, repeated until they are committed. */

#include "internal.h"

#define MAX_REPORTS_PER_MSG 64

/*
 * wl_attempt_report - report a change of an attempt to the leader
 *
 * A newer report replaces an older one of the same attempt.
 */
void wl_attempt_report(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, wl_report_kind_t kind,
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
	report->cpu_millis = attempt->peak_cpu_millis;
	report->memory_mib = attempt->peak_memory_mib;
	wl_attempt_resend_report(ctx, attempt);
}

/*
 * wl_attempt_resend_report - send the newest report of an attempt again
 */
void wl_attempt_resend_report(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	wl_owner_t *owner = ctx->owner;

	if (attempt->report.task.len == 0)
		return;
	attempt->report_sent = false;
	owner->reports_unsent = true;
	if (attempt->report_pending)
		return;
	attempt->report_pending = true;
	TAILQ_INSERT_TAIL(&owner->reports, attempt, report_link);
}

static void end_committed(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	bool needs_ack = attempt->report.kind == WL_REPORT_FINISHED ||
			 attempt->report.kind == WL_REPORT_FAILED ||
			 attempt->report.kind == WL_REPORT_STOPPED;

	if (needs_ack && attempt->owned)
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_ACKING);
	else
		wl_attempt_close(ctx, attempt);
}

static void report_committed(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	TAILQ_REMOVE(&ctx->owner->reports, attempt, report_link);
	attempt->report_pending = false;
	if (attempt->phase == WL_ATTEMPT_CHECKPOINTED)
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_STOPPING);
	else if (attempt->phase == WL_ATTEMPT_ENDED)
		end_committed(ctx, attempt);
}

/*
 * wl_owner_handle_reported - handle the leader's notice that reports are committed
 */
void wl_owner_handle_reported(const wl_owner_ctx_t *ctx, const wl_msg_reported_t *reported)
{
	const wl_reported_row_t *rows = reported->rows.items;

	for (size_t i = 0; i < reported->rows.count; i++) {
		wl_attempt_t *attempt =
			wl_attempt_find(ctx->owner, wl_buf_str(&rows[i].task), rows[i].attempt);

		if (attempt && attempt->report_pending && attempt->report.kind == rows[i].kind)
			report_committed(ctx, attempt);
	}
}

/*
 * wl_owner_send_reports - send the leader the reports that are not committed
 * @all: also those that were sent before
 */
void wl_owner_send_reports(const wl_owner_ctx_t *ctx, bool all)
{
	wl_owner_t *owner = ctx->owner;
	const wl_session_t *session = owner->options.session;
	wl_msg_t *msg = NULL;
	wl_attempt_t *attempt;

	owner->reports_unsent = false;
	if (session->leader.len == 0)
		return;
	TAILQ_FOREACH (attempt, &owner->reports, report_link) {
		if (attempt->report_sent && !all)
			continue;
		if (!msg || msg->u.report.reports.count == MAX_REPORTS_PER_MSG) {
			msg = wl_out_send(ctx->out, wl_buf_str(&session->leader), WL_MSG_REPORT);
			msg->u.report.session = session->id;
		}
		attempt->report_sent = true;
		wl_record_copy(&wl_report_schema,
			       wl_list_add(&wl_report_schema, &msg->u.report.reports),
			       &attempt->report);
	}
}
