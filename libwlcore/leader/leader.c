/*
 * Entry point of the leader: dispatches events to the files that handle them
 * and tracks proposals until they are committed or dropped.
 *
 * WL_EVENT_LEAD carries the term and the group.  Each proposed command is
 * stamped with the group clock, which continues from its last value in the log.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/preset.h>

#define SESSION_MS_DEFAULT	    5000
#define DRIFT_MS_DEFAULT	    500
#define LONG_MS_DEFAULT		    60000
#define LONG_SHARE_PERMILLE_DEFAULT 500

static const wl_field_t report_head_fields[] = {
	WL_FIELD(wl_report_head_t, peer, WL_FIELD_BYTES),
	WL_FIELD(wl_report_head_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_report_head_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_report_head_t, kind, WL_FIELD_U64),
};

const wl_schema_t wl_report_head_schema = WL_SCHEMA(wl_report_head_t, report_head_fields);

/*
 * wl_leader_new - create a leader that is inactive until WL_EVENT_LEAD
 * @options: numbers that are zero take their default; state and metrics must outlive the leader
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_BAD_INPUT for an unknown placement policy
 *
 * Return: the leader, or NULL.
 */
wl_leader_t *wl_leader_new(const wl_leader_options_t *options, uint64_t now_ns, wl_err_t *err)
{
	wl_leader_t *leader = wl_alloc(sizeof(*leader));
	wl_place_options_t place;

	leader->options = *options;
	leader->state = options->state;
	leader->options.session_ms = wl_preset(leader->options.session_ms, SESSION_MS_DEFAULT);
	leader->options.drift_ms = wl_preset(leader->options.drift_ms, DRIFT_MS_DEFAULT);
	leader->options.long_ms = wl_preset(leader->options.long_ms, LONG_MS_DEFAULT);
	leader->options.long_share_permille =
		wl_preset(leader->options.long_share_permille, LONG_SHARE_PERMILLE_DEFAULT);
	place = (wl_place_options_t){.policy = options->placement,
				     .long_share_permille = leader->options.long_share_permille,
				     .seed = options->seed};
	leader->place = wl_place_new(&place, err);
	if (!leader->place) {
		free(leader);
		return NULL;
	}
	wl_buf_set(&leader->entry, options->entry);
	leader->leading_since_ns = now_ns;
	wl_map_init(&leader->by_tag);
	TAILQ_INIT(&leader->proposals);
	TAILQ_INIT(&leader->sessions);
	TAILQ_INIT(&leader->changes);
	TAILQ_INIT(&leader->cancels);
	wl_map_init(&leader->by_attempt);
	TAILQ_INIT(&leader->unsent);
	TAILQ_INIT(&leader->sent);
	TAILQ_INIT(&leader->idle);
	return leader;
}

/* Adds a call to be answered with the outcome of a proposal. */
void wl_waiter_add(struct wl_waiters *waiters, wl_str_t peer, uint64_t call)
{
	wl_waiter_t *waiter = wl_alloc(sizeof(*waiter));

	wl_buf_set(&waiter->peer, peer);
	waiter->call = call;
	TAILQ_INSERT_TAIL(waiters, waiter, link);
}

void wl_waiters_clear(struct wl_waiters *waiters)
{
	wl_waiter_t *waiter;

	while ((waiter = TAILQ_FIRST(waiters))) {
		TAILQ_REMOVE(waiters, waiter, link);
		wl_buf_free(&waiter->peer);
		wl_buf_free(&waiter->customer);
		wl_strings_free(&waiter->tasks);
		free(waiter);
	}
}

static void proposal_free(wl_leader_t *leader, wl_proposal_t *proposal)
{
	wl_msg_t msg = {.kind = WL_MSG_RENEW, .u.renew = proposal->renew};

	leader->in_flight[proposal->kind]--;
	wl_map_remove(&leader->by_tag, proposal->key);
	TAILQ_REMOVE(&leader->proposals, proposal, link);
	wl_buf_free(&proposal->name);
	wl_msg_free(&msg);
	wl_waiters_clear(&proposal->waiters);
	wl_list_free(&wl_report_head_schema, &proposal->reports);
	free(proposal);
}

/*
 * wl_leader_clock_ms - the group clock: its value at the start of leadership plus the time since
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: milliseconds.
 */
uint64_t wl_leader_clock_ms(const wl_leader_t *leader, uint64_t now_ns)
{
	return leader->clock_base_ms + (now_ns - leader->leading_since_ns) / WL_NS_PER_MS;
}

/*
 * wl_leader_has_zone - whether an entry with a session is in an availability zone
 */
bool wl_leader_has_zone(const wl_leader_t *leader, wl_str_t availability_zone)
{
	const wl_leader_session_t *session;

	TAILQ_FOREACH (session, &leader->sessions, link)
		if (wl_str_equal(wl_buf_str(&session->availability_zone), availability_zone))
			return true;
	return false;
}

/* Proposes a command, which is moved from, and tracks it until it is committed or dropped. */
wl_proposal_t *wl_leader_propose(wl_leader_t *leader, uint64_t now_ns, wl_proposal_kind_t kind,
				 wl_cmd_t *cmd, wl_out_t *out)
{
	wl_proposal_t *proposal = wl_alloc(sizeof(*proposal));

	proposal->tag = ++leader->next_tag;
	proposal->key = (wl_str_t){(const char *)&proposal->tag, sizeof(proposal->tag)};
	proposal->kind = kind;
	TAILQ_INIT(&proposal->waiters);
	wl_map_put(&leader->by_tag, proposal);
	TAILQ_INSERT_TAIL(&leader->proposals, proposal, link);
	leader->in_flight[kind]++;
	cmd->at_ms = wl_leader_clock_ms(leader, now_ns);
	wl_out_propose(out, cmd, proposal->tag);
	return proposal;
}

static void answer(wl_out_t *out, wl_str_t peer, uint64_t call, const wl_result_t *result)
{
	wl_msg_t *msg = wl_out_send(out, peer, WL_MSG_RESULT);

	msg->u.result.call = call;
	wl_record_copy(&wl_result_schema, &msg->u.result.result, result);
}

static void answer_waiters(const wl_proposal_t *proposal, const wl_result_t *result, wl_out_t *out)
{
	const wl_waiter_t *waiter;

	TAILQ_FOREACH (waiter, &proposal->waiters, link)
		answer(out, wl_buf_str(&waiter->peer), waiter->call, result);
}

/* Cancellations of one tick share a command; each caller gets the result for its own tasks. */
static void answer_cancels(const wl_leader_t *leader, const wl_proposal_t *proposal, uint64_t index,
			   wl_out_t *out)
{
	const wl_waiter_t *waiter;

	TAILQ_FOREACH (waiter, &proposal->waiters, link) {
		const wl_buf_t *ids = waiter->tasks.items;
		wl_result_t result = {0};
		bool found = waiter->tasks.count == 0;

		for (size_t i = 0; i < waiter->tasks.count && !found; i++) {
			const wl_task_t *task =
				wl_state_task_find(leader->state, wl_buf_str(&ids[i]));

			found = task && wl_str_equal(wl_buf_str(&task->record.customer),
						     wl_buf_str(&waiter->customer));
		}
		if (found)
			wl_result_ok(&result, index);
		else
			wl_result_fail(&result, WL_E_NOT_FOUND, "no such task");
		answer(out, wl_buf_str(&waiter->peer), waiter->call, &result);
		wl_result_free(&result);
	}
}

/* Whether an entry may send a command; only the session's own entry may end a session. */
static bool entry_may_send(const wl_leader_t *leader, wl_str_t peer, const wl_cmd_t *cmd)
{
	const wl_state_session_t *session;

	if (cmd->kind == WL_CMD_SESSION_END) {
		session = wl_state_session_find(leader->state, cmd->u.session_end.session);
		return !session || wl_str_equal(wl_buf_str(&session->entry), peer);
	}
	return cmd->kind == WL_CMD_LIST_PUT || cmd->kind == WL_CMD_TASK_ADD ||
	       cmd->kind == WL_CMD_TASK_CANCEL || cmd->kind == WL_CMD_KEY_BEGIN ||
	       cmd->kind == WL_CMD_KEY_END;
}

static void on_command(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
		       const wl_msg_command_t *command, wl_out_t *out)
{
	wl_proposal_t *proposal;
	wl_cmd_t cmd;
	wl_err_t err = {0};

	if (wl_cmd_unpack(wl_buf_str(&command->cmd), &cmd, &err) &&
	    !entry_may_send(leader, peer, &cmd)) {
		wl_err_set(&err, WL_E_BAD_INPUT, WL_NOT_RUN,
			   "%s: entries may not send this command", wl_cmd_name(cmd.kind));
		wl_cmd_free(&cmd);
	}
	if (err.code != WL_OK) {
		wl_result_t result;

		wl_result_error(&result, &err);
		answer(out, peer, command->call, &result);
		wl_result_free(&result);
		return;
	}
	if (cmd.kind == WL_CMD_TASK_CANCEL) {
		wl_leader_cancel(leader, peer, command->call, &cmd.u.task_cancel);
		wl_cmd_free(&cmd);
		return;
	}
	proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_COMMAND, &cmd, out);
	wl_waiter_add(&proposal->waiters, peer, command->call);
}

static void on_query(const wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
		     const wl_msg_query_t *query, wl_out_t *out)
{
	wl_result_t result = {0};

	wl_leader_query(leader, now_ns, query, &result);
	answer(out, peer, query->call, &result);
	wl_result_free(&result);
}

static void on_peer(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	const wl_msg_t *msg = &event->msg;
	wl_str_t peer = wl_buf_str(&event->peer);

	switch ((wl_msg_kind_t)msg->kind) {
	case WL_MSG_RENEW:
		wl_leader_renew(leader, now_ns, peer, &msg->u.renew, out);
		break;
	case WL_MSG_COMMAND:
		on_command(leader, now_ns, peer, &msg->u.command, out);
		break;
	case WL_MSG_QUERY:
		on_query(leader, now_ns, peer, &msg->u.query, out);
		break;
	case WL_MSG_ANNOUNCE:
		wl_leader_announce(leader, now_ns, peer, &msg->u.announce.announce, out);
		break;
	case WL_MSG_OFFER:
		wl_leader_offer(leader, now_ns, peer, &msg->u.offer);
		break;
	case WL_MSG_REPORT:
		wl_leader_report(leader, peer, &msg->u.report, out);
		break;
	default:
		break;
	}
}

/* Updates the leader's own data after an applied command, whoever proposed it. */
static void update_from_command(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event,
				wl_out_t *out)
{
	const wl_cmd_t *cmd = event->cmd;

	switch ((wl_cmd_kind_t)cmd->kind) {
	case WL_CMD_LIST_PUT:
		if (event->result->code == WL_OK && event->result->index == event->index)
			wl_leader_change_applied(leader, now_ns, event->index);
		leader->place_due = true;
		break;
	case WL_CMD_SESSION_OPEN:
	case WL_CMD_SESSION_END:
		wl_leader_sessions_sync(leader, now_ns);
		leader->grants_due = true;
		break;
	case WL_CMD_TARGET_OWN:
		wl_place_close(leader->place, now_ns, wl_buf_str(&cmd->u.target_own.target));
		leader->counts_due = true;
		break;
	case WL_CMD_TARGET_FORGET:
		wl_place_remove(leader->place, wl_buf_str(&cmd->u.target_forget.target));
		leader->counts_due = true;
		break;
	case WL_CMD_TASK_ADD:
		leader->place_due = true;
		break;
	case WL_CMD_TASK_CANCEL:
		wl_leader_cancelled(leader, &cmd->u.task_cancel);
		break;
	case WL_CMD_TASK_ASSIGN:
		wl_leader_assigned(leader);
		break;
	case WL_CMD_TASK_REPORT:
		wl_leader_reported(leader, now_ns, &cmd->u.task_report, out);
		break;
	case WL_CMD_KEY_BEGIN:
	case WL_CMD_KEY_END:
	case WL_CMD_CATALOG_PUT: /* commands about jobs are handled by the job scheduler */
	case WL_CMD_JOB_ADD:
	case WL_CMD_JOB_CANCEL:
	case WL_CMD_RUNS_START:
	case WL_CMD_RUNS_END:
	case WL_CMD_RUNNER_PUT:
	case WL_CMD_ZONE_EVACUATE:
	case WL_CMD_NONE:
	case WL_CMD_KINDS:
		break;
	}
}

static wl_proposal_t *proposal_find(const wl_leader_t *leader, uint64_t tag)
{
	return wl_map_get(&leader->by_tag, (wl_str_t){(const char *)&tag, sizeof(tag)});
}

static void on_applied(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_proposal_t *proposal = event->tag ? proposal_find(leader, event->tag) : NULL;

	update_from_command(leader, now_ns, event, out);
	if (!proposal)
		return;
	if (proposal->kind == WL_PROPOSAL_COMMAND)
		answer_waiters(proposal, event->result, out);
	else if (proposal->kind == WL_PROPOSAL_CANCEL)
		answer_cancels(leader, proposal, event->index, out);
	else if (proposal->kind == WL_PROPOSAL_OPEN)
		wl_leader_opened(leader, now_ns, proposal, event->result, out);
	else if (proposal->kind == WL_PROPOSAL_REPORT)
		wl_leader_reports_answer(proposal, out);
	proposal_free(leader, proposal);
}

static void on_dropped(wl_leader_t *leader, const wl_event_t *event, wl_out_t *out)
{
	wl_proposal_t *proposal = proposal_find(leader, event->tag);
	wl_leader_session_t *session;
	wl_result_t result;
	wl_err_t err;

	if (!proposal)
		return;
	wl_err_set(&err, WL_E_NO_LEADER, event->verdict, "leadership ended before the commit");
	wl_result_error(&result, &err);
	answer_waiters(proposal, &result, out);
	wl_result_free(&result);
	session = wl_leader_session_find(leader, proposal->session);
	if (proposal->kind == WL_PROPOSAL_END && session)
		session->ending = false;
	if (proposal->kind == WL_PROPOSAL_ASSIGN)
		wl_leader_assigned(leader);
	if (proposal->kind == WL_PROPOSAL_OWN)
		leader->grants_due = true;
	proposal_free(leader, proposal);
}

/* Releases all data that is valid only during one leadership. */
static void leader_clear(wl_leader_t *leader)
{
	wl_leader_change_t *change;

	while (!TAILQ_EMPTY(&leader->proposals))
		proposal_free(leader, TAILQ_FIRST(&leader->proposals));
	while ((change = TAILQ_FIRST(&leader->changes))) {
		TAILQ_REMOVE(&leader->changes, change, link);
		free(change);
	}
	wl_waiters_clear(&leader->cancels);
	wl_leader_tasks_clear(leader);
	wl_leader_sessions_clear(leader);
}

static void on_lead(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	leader_clear(leader);
	leader->leading = true;
	leader->term = event->term;
	leader->group = event->group;
	leader->leading_since_ns = now_ns;
	leader->expiry_base_ns = now_ns;
	leader->last_tick_ns = now_ns;
	/*
	 * The clock starts at Unix time where that is known, but never before its last value in
	 * the log.  While this replica leads, it advances with monotonic time, so that a jump of
	 * the system clock has no effect.
	 */
	leader->clock_base_ms = wl_state_clock_ms(leader->state);
	if (event->wall_ms > leader->clock_base_ms)
		leader->clock_base_ms = event->wall_ms;
	leader->grants_due = true;
	leader->place_due = true;
	wl_place_clear(leader->place);
	wl_leader_sessions_sync(leader, now_ns);
	wl_leader_tasks_rebuild(leader, now_ns);
	wl_out_log(out, WL_INFO, "lead", "term=%llu", (unsigned long long)leader->term);
}

/*
 * Answers all waiting calls: a proposed command may still be committed by the next leader, so
 * its verdict is unknown; a cancellation that was not yet proposed has not run.
 */
static void on_follow(wl_leader_t *leader, wl_out_t *out)
{
	const wl_waiter_t *waiter;
	wl_result_t result;
	wl_err_t err;

	wl_err_set(&err, WL_E_NO_LEADER, WL_NOT_RUN, "leadership ended");
	wl_result_error(&result, &err);
	TAILQ_FOREACH (waiter, &leader->cancels, link)
		answer(out, wl_buf_str(&waiter->peer), waiter->call, &result);
	wl_result_free(&result);
	wl_err_set(&err, WL_E_NO_LEADER, WL_UNKNOWN, "leadership ended before the commit");
	wl_result_error(&result, &err);
	for (const wl_proposal_t *proposal = TAILQ_FIRST(&leader->proposals); proposal;
	     proposal = TAILQ_NEXT(proposal, link))
		answer_waiters(proposal, &result, out);
	wl_result_free(&result);
	leader_clear(leader);
	wl_leader_status_clear(leader);
	leader->leading = false;
}

static void on_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	wl_leader_owners_tick(leader, now_ns, out);
	wl_leader_tasks_tick(leader, now_ns, out);
	wl_leader_place_tick(leader, now_ns, out);
	wl_leader_sessions_tick(leader, now_ns, out);
	wl_leader_status_tick(leader, now_ns);
}

/*
 * wl_leader_free - release a leader
 */
void wl_leader_free(wl_leader_t *leader)
{
	if (!leader)
		return;
	leader_clear(leader);
	wl_map_free(&leader->by_tag);
	wl_map_free(&leader->by_attempt);
	wl_place_free(leader->place);
	wl_buf_free(&leader->entry);
	wl_strings_free(&leader->replicas);
	free(leader);
}

/*
 * wl_leader_step - process an event
 * @now_ns: monotonic time, nanoseconds
 * @event: PEER, APPLIED, DROPPED, LEAD, FOLLOW or TICK; others are ignored
 * @out: receives the resulting actions
 */
void wl_leader_step(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_LEAD)
		on_lead(leader, now_ns, event, out);
	if (!leader->leading)
		return;

	switch (event->kind) {
	case WL_EVENT_TICK:
		on_tick(leader, now_ns, out);
		break;
	case WL_EVENT_PEER:
		on_peer(leader, now_ns, event, out);
		break;
	case WL_EVENT_APPLIED:
		on_applied(leader, now_ns, event, out);
		break;
	case WL_EVENT_DROPPED:
		on_dropped(leader, event, out);
		break;
	case WL_EVENT_FOLLOW:
		on_follow(leader, out);
		break;
	default:
		break;
	}
}
