/*
 * Calls to the leader.
 *
 * Commands are idempotent, so a call without an answer is sent again: to the
 * same leader after RESEND_MS, to a new leader at once.  Each copy has an id of
 * its own on the wire: that one copy was refused says nothing of later ones.
 */

#include "calls.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>

#define RESEND_MS 1000
#define RETRY_MS  100

#define COPIES 256 /* ids of a call; the last one is used for all further copies */

/*
 * wl_calls_init - initialize an empty set of calls
 * @boot: first wire id; random at each start of the daemon, so that the answer
 *	to a call from before a restart matches no call
 */
void wl_calls_init(wl_calls_t *calls, uint64_t boot)
{
	calls->next_wire_id = boot / COPIES * COPIES;
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

static uint64_t *msg_call(wl_msg_t *msg)
{
	return msg->kind == WL_MSG_COMMAND ? &msg->u.command.call : &msg->u.query.call;
}

static void call_send(wl_leader_call_t *call, wl_str_t leader, uint64_t now_ns, wl_out_t *out)
{
	call->resend_ns = now_ns + (leader.len ? RESEND_MS : RETRY_MS) * WL_NS_PER_MS;
	if (leader.len == 0)
		return;
	if (call->sent && call->copy < COPIES - 1)
		call->copy++;
	*msg_call(&call->msg) = call->wire_id + call->copy;
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

	call->msg = action->msg;
	wl_msg_init(&action->msg, WL_MSG_NONE);
	call->id = *msg_call(&call->msg);
	call->wire_id = calls->next_wire_id;
	calls->next_wire_id += COPIES;
	call->deadline_ns = action->deadline_ns;
	call->key = (wl_str_t){(const char *)&call->wire_id, sizeof(call->wire_id)};
	wl_map_put(&calls->by_wire_id, call);
	TAILQ_INSERT_TAIL(&calls->open, call, link);
	call_send(call, leader, now_ns, out);
}

/* Whether a command was refused to a copy of the call after which others were sent. */
static bool is_refusal_of_earlier_copy(const wl_leader_call_t *call, const wl_msg_result_t *answer)
{
	return call->msg.kind == WL_MSG_COMMAND && answer->result.code != WL_OK &&
	       answer->result.verdict == WL_NOT_RUN && answer->call % COPIES < call->copy;
}

/*
 * wl_calls_answer - process an answer to a call
 * @answer: its result is moved from if the call ends
 * @now_ns: monotonic time, nanoseconds
 * @outcome: filled if the call ends
 *
 * Return: whether a call ended.  An answer that matches no open call is
 * ignored; after one of a daemon that does not lead, the call is retried.
 * A refusal of an earlier copy is ignored, as a later one may be accepted.
 */
bool wl_calls_answer(wl_calls_t *calls, wl_msg_result_t *answer, uint64_t now_ns,
		     wl_call_outcome_t *outcome)
{
	uint64_t wire_id = answer->call / COPIES * COPIES;
	wl_leader_call_t *call =
		wl_map_get(&calls->by_wire_id, (wl_str_t){(const char *)&wire_id, sizeof(wire_id)});

	if (!call || is_refusal_of_earlier_copy(call, answer))
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
