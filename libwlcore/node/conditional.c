/* Commands that are valid only if no other one for the same object came between. */

#include "conditional.h"

#include <stdlib.h>

/*
 * wl_conditionals_init - initialize an empty set
 */
void wl_conditionals_init(wl_conditionals_t *conditionals)
{
	conditionals->next_id = 1;
	TAILQ_INIT(&conditionals->open);
}

static void conditional_remove(wl_conditionals_t *conditionals, wl_conditional_t *one)
{
	TAILQ_REMOVE(&conditionals->open, one, link);
	wl_cmd_free(&one->cmd);
	free(one);
}

/*
 * wl_conditionals_free - release the set
 */
void wl_conditionals_free(wl_conditionals_t *conditionals)
{
	wl_conditional_t *one = TAILQ_FIRST(&conditionals->open);

	while (one) {
		wl_conditional_t *next = TAILQ_NEXT(one, link);

		conditional_remove(conditionals, one);
		one = next;
	}
}

static void ended(wl_conditionals_t *conditionals, wl_conditional_t *one, wl_code_t code,
		  wl_str_t text, wl_call_outcome_t *outcome)
{
	*outcome = (wl_call_outcome_t){.id = one->origin};
	outcome->result.code = code;
	outcome->result.verdict = WL_NOT_RUN;
	wl_buf_set(&outcome->result.text, text);
	conditional_remove(conditionals, one);
}

/*
 * wl_conditionals_add - ask the leader for the basis of a command
 * @action: WL_ACTION_LEADER_CALL with a command and a caller
 */
void wl_conditionals_add(wl_conditionals_t *conditionals, const wl_action_t *action, wl_out_t *out)
{
	wl_conditional_t *one = wl_alloc(sizeof(*one));
	wl_msg_query_t *query;
	wl_err_t err;

	one->id = WL_PART_ID(WL_PART_CONDITIONAL, conditionals->next_id++);
	one->origin = action->msg.u.command.call;
	one->caller = action->caller;
	one->deadline_ns = action->deadline_ns;
	wl_cmd_unpack(wl_buf_str(&action->msg.u.command.cmd), &one->cmd, &err);
	TAILQ_INSERT_TAIL(&conditionals->open, one, link);
	query = wl_out_leader_query(out, one->id, WL_QUERY_ZONE_BASIS, one->deadline_ns);
	wl_buf_set(&query->name, wl_buf_str(&one->cmd.u.zone_evacuate.availability_zone));
}

/*
 * wl_conditionals_basis - process the leader's answer with a basis
 * @result: RESULT of a call with WL_PART_CONDITIONAL
 * @outcome: filled in if the command ends, as it cannot be sent
 *
 * Return: whether it ends. If not, it is asked whether the caller is still there.
 */
bool wl_conditionals_basis(wl_conditionals_t *conditionals, const wl_event_t *result,
			   wl_call_outcome_t *outcome, wl_out_t *out)
{
	wl_conditional_t *one;

	TAILQ_FOREACH (one, &conditionals->open, link)
		if (one->id == result->tag)
			break;
	if (!one)
		return false;
	/* a leader of an earlier version has no basis, and checks none */
	if (result->result->code != WL_OK && result->result->code != WL_E_BAD_INPUT) {
		ended(conditionals, one, (wl_code_t)result->result->code,
		      wl_buf_str(&result->result->text), outcome);
		return true;
	}
	one->has_basis = true;
	one->cmd.u.zone_evacuate.basis = result->result->index;
	wl_out_caller_check(out, one->caller);
	return false;
}

/*
 * wl_conditionals_caller - process the answer whether a caller is still there
 * @outcome: filled in if a command ends, as its caller is gone
 *
 * Return: whether one ends. If not, the command of a caller that is present is sent.
 */
bool wl_conditionals_caller(wl_conditionals_t *conditionals, uint64_t caller, bool present,
			    wl_call_outcome_t *outcome, wl_out_t *out)
{
	wl_conditional_t *one;

	TAILQ_FOREACH (one, &conditionals->open, link)
		if (one->caller == caller)
			break;
	if (!one)
		return false;
	if (!present) {
		ended(conditionals, one, WL_E_NO_LEADER, WL_STR("the caller has disconnected"),
		      outcome);
		return true;
	}
	if (!one->has_basis)
		return false;
	wl_out_leader_command(out, one->origin, &one->cmd, one->deadline_ns);
	conditional_remove(conditionals, one);
	return false;
}
