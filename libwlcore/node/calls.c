/*
 * Calls to the leader.
 *
 * Commands are idempotent, so a call without an answer is sent again: to the
 * same leader after RESEND_MS, to a new leader at once.
 */

#include "calls.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>

#define RESEND_MS 1000
#define RETRY_MS  100

/*
 * wl_calls_init - initialize an empty set of calls
 * @boot: first wire id; random at each start of the daemon, so that the answer
 *	to a call from before a restart matches no call
 */
void wl_calls_init(wl_calls_t *calls, uint64_t boot)
{
	calls->next_wire_id = boot;
	wl_map_init(&calls->by_wire_id);
	TAILQ_INIT(&calls->open);
}

static void call_remove(wl_calls_t *calls, wl_leader_call_t *call)
{
	wl_map_remove(&calls->by_wire_id, call->key);
	TAILQ_REMOVE(&calls->open, call, link);
	wl_buf_free(&call->leader);
	wl_msg_free(&call->msg);
	free(call);
}

/*
 * wl_calls_free - release the set
 */
void wl_calls_free(wl_calls_t *calls)
{
	wl_leader_call_t *call;

	while ((call = TAILQ_FIRST(&calls->open)))
		call_remove(calls, call);
	wl_map_free(&calls->by_wire_id);
}

static void call_send(wl_leader_call_t *call, wl_str_t leader, uint64_t now_ns, wl_out_t *out)
{
	call->resend_ns = now_ns + (leader.len ? RESEND_MS : RETRY_MS) * WL_NS_PER_MS;
	if (leader.len == 0)
		return;
	wl_msg_copy(wl_out_send(out, leader, WL_MSG_NONE), &call->msg);
	wl_buf_set(&call->leader, leader);
	call->sent = true;
}

/*
 * wl_calls_add - add a call and send it if there is a leader
 * @action: WL_ACTION_LEADER_CALL; its message is moved from
 * @leader: daemon name; empty if there is no leader
 * @now_ns: monotonic time, nanoseconds
 */
void wl_calls_add(wl_calls_t *calls, wl_action_t *action, wl_str_t leader, uint64_t now_ns,
		  wl_out_t *out)
{
	wl_leader_call_t *call = wl_alloc(sizeof(*call));
	uint64_t *id;

	call->msg = action->msg;
	wl_msg_init(&action->msg, WL_MSG_NONE);
	id = call->msg.kind == WL_MSG_COMMAND ? &call->msg.u.command.call : &call->msg.u.query.call;
	call->id = *id;
	call->wire_id = calls->next_wire_id++;
	*id = call->wire_id;
	call->deadline_ns = action->deadline_ns;
	call->key = (wl_str_t){(const char *)&call->wire_id, sizeof(call->wire_id)};
	wl_map_put(&calls->by_wire_id, call);
	TAILQ_INSERT_TAIL(&calls->open, call, link);
	call_send(call, leader, now_ns, out);
}

/*
 * wl_calls_answer - process an answer to a call
 * @answer: its result is moved from if the call ends
 * @now_ns: monotonic time, nanoseconds
 * @outcome: filled if the call ends
 *
 * Return: whether a call ended.  An answer that matches no open call is
 * ignored; after one of a daemon that does not lead, the call is retried.
 */
bool wl_calls_answer(wl_calls_t *calls, wl_msg_result_t *answer, uint64_t now_ns,
		     wl_call_outcome_t *outcome)
{
	wl_str_t key = {(const char *)&answer->call, sizeof(answer->call)};
	wl_leader_call_t *call = wl_map_get(&calls->by_wire_id, key);

	if (!call)
		return false;
	if (answer->result.code == WL_E_NO_LEADER) {
		call->resend_ns = now_ns + RETRY_MS * WL_NS_PER_MS;
		return false;
	}
	outcome->id = call->id;
	outcome->result = answer->result;
	memset(&answer->result, 0, sizeof(answer->result));
	call_remove(calls, call);
	return true;
}

/*
 * wl_calls_expire - end one call whose deadline has passed
 * @now_ns: monotonic time, nanoseconds
 * @outcome: filled with WL_E_NO_LEADER; the verdict of a command that was sent is unknown
 *
 * Return: false if no call is past its deadline.
 */
bool wl_calls_expire(wl_calls_t *calls, uint64_t now_ns, wl_call_outcome_t *outcome)
{
	wl_leader_call_t *call;

	TAILQ_FOREACH (call, &calls->open, link) {
		bool maybe = call->sent && call->msg.kind == WL_MSG_COMMAND;

		if (now_ns < call->deadline_ns)
			continue;
		memset(outcome, 0, sizeof(*outcome));
		outcome->id = call->id;
		outcome->result.code = WL_E_NO_LEADER;
		outcome->result.verdict = maybe ? WL_UNKNOWN : WL_NOT_RUN;
		wl_buf_set(&outcome->result.text,
			   call->sent ? WL_STR("the leader did not answer in time")
				      : WL_STR("no leader is known"));
		call_remove(calls, call);
		return true;
	}
	return false;
}

/*
 * wl_calls_resend - resend the calls that are due, and all calls if the leader is a new one
 * @leader: daemon name; empty if there is no leader
 * @now_ns: monotonic time, nanoseconds
 */
void wl_calls_resend(wl_calls_t *calls, wl_str_t leader, uint64_t now_ns, wl_out_t *out)
{
	wl_leader_call_t *call;

	TAILQ_FOREACH (call, &calls->open, link) {
		bool moved = leader.len && !wl_str_equal(wl_buf_str(&call->leader), leader);

		if (moved || now_ns >= call->resend_ns)
			call_send(call, leader, now_ns, out);
	}
}

/*
 * wl_calls_open_count - number of calls without an answer
 */
size_t wl_calls_open_count(const wl_calls_t *calls)
{
	return wl_map_count(&calls->by_wire_id);
}
