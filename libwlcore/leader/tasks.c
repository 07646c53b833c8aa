/*
 * Messages about attempts.  Assignments and stops are resent to the owner until it answers.
 * Reports of all owners are batched into one command per tick, and so are a customer's
 * cancellations.
 */

#include "internal.h"

#define REFUSED_HOLD_NS (500 * WL_NS_PER_MS) /* no placement on a target that refused a task */
#define RESEND_NS	(500 * WL_NS_PER_MS)
#define REPORTS_AT_ONCE 512

static bool is_placed(const wl_task_t *task, uint64_t attempt)
{
	return task && task->target && task->record.attempt == attempt;
}

/* A running attempt needs no message until it is to be stopped. */
static void attempt_update(wl_leader_t *leader, wl_leader_attempt_t *attempt, const wl_task_t *task)
{
	if (task->record.state != WL_TASK_ASSIGNED && task->record.state != WL_TASK_STOPPING)
		wl_leader_attempt_move(attempt, &leader->idle);
}

/* Rebuilds the table of attempts from the replicated state after a change of leader. */
void wl_leader_tasks_rebuild(wl_leader_t *leader, uint64_t now_ns)
{
	const wl_task_t *task;

	TAILQ_FOREACH (task, &leader->state->live, link) {
		wl_leader_attempt_t *attempt;

		if (!task->target)
			continue;
		wl_place_target_get(leader->place, now_ns, task->target->key);
		attempt = wl_leader_attempt_add(leader, task, task->record.attempt,
						task->target->key, &task->record.held);
		wl_leader_attempt_try(attempt, task, now_ns);
		attempt->may_evict = task->record.spec.work_class == WL_CLASS_URGENT;
		attempt_update(leader, attempt, task);
	}
}

static void list_clear(wl_leader_t *leader, struct wl_leader_attempts *list)
{
	while (!TAILQ_EMPTY(list))
		wl_leader_attempt_remove(leader, TAILQ_FIRST(list));
}

/* Releases all attempts and the reports that are not yet proposed. */
void wl_leader_tasks_clear(wl_leader_t *leader)
{
	list_clear(leader, &leader->unsent);
	list_clear(leader, &leader->sent);
	list_clear(leader, &leader->idle);
	wl_list_free(&wl_report_schema, &leader->reports.reports);
	wl_list_free(&wl_report_head_schema, &leader->report_heads);
}

static void ack_report(wl_out_t *out, wl_str_t peer, wl_msg_t **msg, const wl_buf_t *task,
		       uint64_t attempt, uint64_t kind)
{
	wl_reported_row_t *row;

	if (!*msg)
		*msg = wl_out_send(out, peer, WL_MSG_REPORTED);
	row = wl_list_add(&wl_reported_row_schema, &(*msg)->u.reported.rows);
	wl_buf_set(&row->task, wl_buf_str(task));
	row->attempt = attempt;
	row->kind = kind;
}

/* Whether a report can have no effect any more; such a report is not committed. */
static bool is_stale(const wl_leader_t *leader, const wl_report_t *report)
{
	const wl_task_t *task = wl_state_task_find(leader->state, wl_buf_str(&report->task));

	if (!task || report->attempt < task->record.attempt)
		return true;
	return wl_task_ended(task) && task->record.state != WL_TASK_UNKNOWN;
}

/* Queues an owner's reports, which are proposed at the next tick; answers stale ones at once. */
void wl_leader_report(wl_leader_t *leader, wl_str_t peer, const wl_msg_report_t *report,
		      wl_out_t *out)
{
	const wl_report_t *reports = report->reports.items;
	wl_msg_t *reported = NULL;

	for (size_t i = 0; i < report->reports.count; i++) {
		const wl_report_t *one = &reports[i];
		wl_report_head_t *head;

		if (one->kind >= WL_REPORT_UNPLACEABLE || is_stale(leader, one)) {
			ack_report(out, peer, &reported, &one->task, one->attempt, one->kind);
			continue;
		}
		wl_record_copy(&wl_report_schema,
			       wl_list_add(&wl_report_schema, &leader->reports.reports), one);
		head = wl_list_add(&wl_report_head_schema, &leader->report_heads);
		wl_buf_set(&head->peer, peer);
		wl_buf_set(&head->task, wl_buf_str(&one->task));
		head->attempt = one->attempt;
		head->kind = one->kind;
	}
}

static void reports_propose(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TASK_REPORT};
	wl_proposal_t *proposal;

	if (leader->reports.reports.count == 0)
		return;
	cmd.u.task_report = leader->reports;
	leader->reports = (wl_cmd_task_report_t){0};
	proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_REPORT, &cmd, out);
	proposal->reports = leader->report_heads;
	leader->report_heads = (wl_list_t){0};
}

/* Acknowledges committed reports; consecutive reports of one sender share a message. */
void wl_leader_reports_answer(const wl_proposal_t *proposal, wl_out_t *out)
{
	const wl_report_head_t *heads = proposal->reports.items;
	wl_msg_t *msg = NULL;

	for (size_t i = 0; i < proposal->reports.count; i++) {
		if (i > 0 &&
		    !wl_str_equal(wl_buf_str(&heads[i].peer), wl_buf_str(&heads[i - 1].peer)))
			msg = NULL;
		ack_report(out, wl_buf_str(&heads[i].peer), &msg, &heads[i].task, heads[i].attempt,
			   heads[i].kind);
	}
}

/* Updates the attempts after an applied command of reports. */
void wl_leader_reported(wl_leader_t *leader, uint64_t now_ns, const wl_cmd_task_report_t *cmd,
			wl_out_t *out)
{
	const wl_report_t *reports = cmd->reports.items;

	for (size_t i = 0; i < cmd->reports.count; i++) {
		wl_str_t id = wl_buf_str(&reports[i].task);
		wl_leader_attempt_t *attempt = wl_leader_attempt_find(leader, id);
		const wl_task_t *task = wl_state_task_find(leader->state, id);

		if (!attempt || attempt->attempt != reports[i].attempt || attempt->proposed)
			continue;
		if (reports[i].kind == WL_REPORT_REFUSED)
			wl_place_suspend(leader->place, now_ns + REFUSED_HOLD_NS,
					 wl_buf_str(&reports[i].target));
		if (!is_placed(task, attempt->attempt)) {
			if (task) {
				wl_leader_count_end(leader, task);
				wl_leader_count_crash(leader, task, out);
			}
			wl_leader_attempt_remove(leader, attempt);
			continue;
		}
		attempt_update(leader, attempt, task);
	}
	leader->place_due = true;
}

/* Queues a cancellation until the next tick, so that many of them share one commit. */
void wl_leader_cancel(wl_leader_t *leader, wl_str_t peer, uint64_t call,
		      const wl_cmd_task_cancel_t *cancel)
{
	const wl_buf_t *ids = cancel->tasks.items;
	wl_waiter_t *waiter;

	wl_waiter_add(&leader->cancels, peer, call);
	waiter = TAILQ_LAST(&leader->cancels, wl_waiters);
	wl_buf_set(&waiter->customer, wl_buf_str(&cancel->customer));
	for (size_t i = 0; i < cancel->tasks.count; i++)
		wl_strings_add(&waiter->tasks, wl_buf_str(&ids[i]));
}

static void cancels_take(wl_leader_t *leader, wl_cmd_task_cancel_t *cancel,
			 struct wl_waiters *taken)
{
	wl_waiter_t *waiter;
	wl_waiter_t *next;

	for (waiter = TAILQ_FIRST(&leader->cancels); waiter; waiter = next) {
		const wl_buf_t *ids = waiter->tasks.items;

		next = TAILQ_NEXT(waiter, link);
		if (!wl_str_equal(wl_buf_str(&waiter->customer), wl_buf_str(&cancel->customer)))
			continue;
		for (size_t i = 0; i < waiter->tasks.count; i++)
			wl_strings_add(&cancel->tasks, wl_buf_str(&ids[i]));
		TAILQ_REMOVE(&leader->cancels, waiter, link);
		TAILQ_INSERT_TAIL(taken, waiter, link);
	}
}

/* Proposes one command for each customer that cancelled tasks since the last tick. */
static void cancels_propose(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	while (!TAILQ_EMPTY(&leader->cancels)) {
		wl_cmd_t cmd = {.kind = WL_CMD_TASK_CANCEL};
		struct wl_waiters taken = TAILQ_HEAD_INITIALIZER(taken);
		wl_proposal_t *proposal;

		wl_buf_set(&cmd.u.task_cancel.customer,
			   wl_buf_str(&TAILQ_FIRST(&leader->cancels)->customer));
		cancels_take(leader, &cmd.u.task_cancel, &taken);
		proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_CANCEL, &cmd, out);
		TAILQ_CONCAT(&proposal->waiters, &taken, link);
	}
}

/* Marks attempts of cancelled tasks, so that their owners are sent a stop at once. */
void wl_leader_cancelled(wl_leader_t *leader, const wl_cmd_task_cancel_t *cmd)
{
	const wl_buf_t *ids = cmd->tasks.items;

	for (size_t i = 0; i < cmd->tasks.count; i++) {
		wl_leader_attempt_t *attempt = wl_leader_attempt_find(leader, wl_buf_str(&ids[i]));

		if (attempt)
			wl_leader_attempt_move(attempt, &leader->unsent);
	}
	leader->place_due = true;
}

/* Updates the proposed attempts after their command was applied or dropped. */
void wl_leader_assigned(wl_leader_t *leader)
{
	wl_leader_attempt_t *attempt;
	wl_leader_attempt_t *next;

	for (attempt = TAILQ_FIRST(&leader->unsent); attempt; attempt = next) {
		const wl_task_t *task = wl_state_task_find(leader->state, attempt->key);

		next = TAILQ_NEXT(attempt, link);
		if (!attempt->proposed)
			continue;
		if (!is_placed(task, attempt->attempt)) {
			wl_leader_attempt_remove(leader, attempt);
			continue;
		}
		attempt->proposed = false;
		wl_leader_count_wait(leader, task);
	}
	leader->place_due = true;
}

static void send_assign(const wl_leader_t *leader, const wl_task_t *task,
			const wl_leader_attempt_t *attempt, wl_out_t *out)
{
	const wl_task_record_t *record = &task->record;
	wl_str_t owner = wl_buf_str(&task->target->row.entry);
	wl_msg_assign_t *assign = &wl_out_send(out, owner, WL_MSG_ASSIGN)->u.assign;

	wl_buf_set(&assign->task, task->key);
	wl_buf_set(&assign->target, task->target->key);
	wl_buf_set(&assign->customer, wl_buf_str(&record->customer));
	wl_buf_set(&assign->checkpoint, wl_buf_str(&record->checkpoint));
	wl_record_copy(&wl_task_spec_schema, &assign->spec, &record->spec);
	assign->term = leader->term;
	assign->session = task->target->row.session;
	assign->attempt = record->attempt;
	assign->epoch = record->epoch;
	assign->boot = record->boot;
	assign->need = attempt->load.need;
	assign->expected_ms = wl_state_expected_ms(leader->state, &record->spec);
	assign->may_evict = attempt->may_evict;
}

static void send_stop(const wl_leader_t *leader, const wl_task_t *task, wl_out_t *out)
{
	wl_str_t owner = wl_buf_str(&task->target->row.entry);
	wl_msg_stop_t *stop = &wl_out_send(out, owner, WL_MSG_STOP)->u.stop;

	wl_buf_set(&stop->task, task->key);
	wl_buf_set(&stop->target, task->target->key);
	stop->term = leader->term;
	stop->attempt = task->record.attempt;
	stop->epoch = task->target->row.epoch;
}

/*
 * Sends the message that is due for an attempt.  An assignment goes only to the owner under whose
 * epoch it was made; a later owner of the target receives its attempts in its view.
 */
static void attempt_send(const wl_leader_t *leader, const wl_leader_attempt_t *attempt,
			 wl_out_t *out)
{
	const wl_task_t *task = wl_state_task_find(leader->state, attempt->key);

	if (!is_placed(task, attempt->attempt) || task->target->row.session == 0)
		return;
	if (task->record.state == WL_TASK_STOPPING)
		send_stop(leader, task, out);
	else if (task->record.state == WL_TASK_ASSIGNED &&
		 task->target->row.epoch == task->record.epoch)
		send_assign(leader, task, attempt, out);
}

static void attempts_send(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	wl_leader_attempt_t *attempt;
	wl_leader_attempt_t *next;

	while ((attempt = TAILQ_FIRST(&leader->sent)) && now_ns >= attempt->sent_ns + RESEND_NS)
		wl_leader_attempt_move(attempt, &leader->unsent);
	for (attempt = TAILQ_FIRST(&leader->unsent); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, link);
		if (attempt->proposed)
			continue;
		attempt_send(leader, attempt, out);
		attempt->sent_ns = now_ns;
		wl_leader_attempt_move(attempt, &leader->sent);
	}
}

/* Proposes the queued reports and cancellations, and sends the messages that are due. */
void wl_leader_tasks_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	reports_propose(leader, now_ns, out);
	cancels_propose(leader, now_ns, out);
	attempts_send(leader, now_ns, out);
}
