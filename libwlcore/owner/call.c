/* Commands to targets, and their answers. */

#include "internal.h"

#include <stdlib.h>

#define CALL_TIMEOUT_MS 2000

static const wl_field_t plain_fields[] = {
	WL_FIELD(wl_target_command_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, seq, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_target_command_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, lease_ms, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, cpu_permille, WL_FIELD_U64),
	WL_FIELD_MANY(wl_target_command_t, leases, &wl_target_lease_schema),
};

/* A command without the fields that only a start has. */
static const wl_schema_t plain_schema = WL_SCHEMA(wl_target_command_t, plain_fields);

static const char *const paths[WL_CALL_KINDS] = {
	[WL_CALL_ADOPT] = "/v1/adopt",
	[WL_CALL_START] = "/v1/tasks/start",
	[WL_CALL_RENEW] = "/v1/tasks/renew",
	[WL_CALL_THROTTLE] = "/v1/tasks/throttle",
	[WL_CALL_CHECKPOINT] = "/v1/tasks/checkpoint",
	[WL_CALL_STOP] = "/v1/tasks/stop",
	[WL_CALL_ACK] = "/v1/tasks/ack",
};

static wl_owner_call_t *call_add(wl_owner_t *owner, const wl_owned_t *owned,
				 wl_owner_call_kind_t kind)
{
	wl_owner_call_t *call = wl_alloc(sizeof(*call));

	call->id = WL_PART_ID(WL_PART_OWNER, owner->next_call++);
	call->key = (wl_str_t){(const char *)&call->id, sizeof(call->id)};
	call->kind = kind;
	call->epoch = owned->target->epoch;
	call->boot = owned->target->boot;
	call->seq = owned->target->seq;
	wl_buf_set(&call->target, owned->key);
	wl_map_put(&owner->calls, call);
	TAILQ_INSERT_TAIL(&owner->calls_open, call, link);
	return call;
}

static void call_free(wl_owner_t *owner, wl_owner_call_t *call)
{
	wl_map_remove(&owner->calls, call->key);
	TAILQ_REMOVE(&owner->calls_open, call, link);
	wl_buf_free(&call->target);
	wl_buf_free(&call->attempt);
	free(call);
}

/*
 * wl_owner_calls_free - forget all calls on their way
 */
void wl_owner_calls_free(wl_owner_t *owner)
{
	while (!TAILQ_EMPTY(&owner->calls_open))
		call_free(owner, TAILQ_FIRST(&owner->calls_open));
}

/*
 * wl_owned_call - send a command to a target
 * @attempt: that it is about; NULL: none
 * @command: gets epoch, boot and announce of the target, and is released
 *
 * Return: id of the call.
 */
uint64_t wl_owned_call(const wl_turn_t *turn, wl_owned_t *owned, wl_owner_call_kind_t kind,
		       const wl_attempt_t *attempt, wl_target_command_t *command)
{
	wl_owner_call_t *call = call_add(turn->owner, owned, kind);
	wl_fetch_t *fetch;

	command->epoch = call->epoch;
	command->boot = call->boot;
	command->seq = call->seq;
	if (attempt) {
		wl_buf_set(&call->attempt, attempt->key);
		wl_buf_set(&command->task, wl_buf_str(&attempt->task));
		command->attempt = attempt->number;
	}
	call->cpu_permille = command->cpu_permille;
	fetch = wl_out_fetch(turn->out, call->id, wl_buf_str(&owned->target->address),
			     WL_STR("POST"), wl_str_from(paths[kind]), CALL_TIMEOUT_MS);
	wl_headers_add(&fetch->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_record_to_json(kind == WL_CALL_START ? &wl_target_command_schema : &plain_schema,
			  command, &fetch->body);
	wl_record_free(&wl_target_command_schema, command);
	return call->id;
}

/*
 * wl_owned_call_named - send a command about work on a target that is not this owner's
 */
void wl_owned_call_named(const wl_turn_t *turn, wl_owned_t *owned, wl_owner_call_kind_t kind,
			 wl_str_t task, uint64_t number)
{
	wl_target_command_t command = {.attempt = number};

	wl_buf_set(&command.task, task);
	wl_owned_call(turn, owned, kind, NULL, &command);
}

static bool answer_read(const wl_fetched_t *fetched, wl_target_answer_t *answer)
{
	wl_err_t err;

	*answer = (wl_target_answer_t){0};
	return fetched->complete && wl_record_from_json(&wl_target_answer_schema,
							wl_buf_str(&fetched->body), answer, &err);
}

static void stale_note(const wl_turn_t *turn, const wl_owner_call_t *call,
		       const wl_fetched_t *fetched, const wl_target_answer_t *answer)
{
	if (!fetched->complete || fetched->status != 409)
		return;
	wl_metrics_add(turn->owner->options.metrics, "wisterialead_stale_commands_total", "", 1);
	wl_out_log(turn->out, WL_INFO, "command-refused",
		   "target=" WL_STR_FMT " path=%s epoch=%llu its_epoch=%llu",
		   WL_STR_ARG(wl_buf_str(&call->target)), paths[call->kind],
		   (unsigned long long)call->epoch, (unsigned long long)answer->epoch);
}

static void dispatch(const wl_turn_t *turn, wl_owned_t *owned, const wl_owner_call_t *call,
		     const wl_fetched_t *fetched, const wl_target_answer_t *answer)
{
	wl_attempt_t *attempt;

	if (call->kind == WL_CALL_ADOPT) {
		wl_owned_adopt_ended(turn, owned, call, fetched->status == 200, answer);
	} else if (call->kind == WL_CALL_RENEW) {
		if (owned->renew_call == call->id)
			owned->renew_call = 0;
	} else {
		attempt = wl_map_get(&turn->owner->attempts, wl_buf_str(&call->attempt));
		if (attempt && attempt->call == call->id) {
			attempt->call = 0;
			wl_attempt_call_ended(turn, attempt, call, fetched, answer);
		}
	}
	wl_owned_touch(turn, owned);
}

/*
 * wl_owner_take_fetched - take in how a command ended
 *
 * An answer under an epoch that has passed is dropped.
 */
void wl_owner_take_fetched(const wl_turn_t *turn, const wl_fetched_t *fetched)
{
	wl_str_t key = {(const char *)&fetched->id, sizeof(fetched->id)};
	wl_owner_call_t *call = wl_map_get(&turn->owner->calls, key);
	wl_target_answer_t answer;
	wl_owned_t *owned;
	bool read;

	if (!call)
		return;
	read = answer_read(fetched, &answer);
	stale_note(turn, call, fetched, &answer);
	owned = wl_owner_find(turn->owner, wl_buf_str(&call->target));
	if (owned && owned->target->epoch == call->epoch)
		dispatch(turn, owned, call, fetched, read ? &answer : NULL);
	wl_record_free(&wl_target_answer_schema, &answer);
	call_free(turn->owner, call);
}
