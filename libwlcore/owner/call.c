/* HTTP commands to targets, and their answers. */

#include "internal.h"

#include <stdlib.h>

#define CALL_TIMEOUT_MS 2000

static const wl_field_t common_fields[] = {
	WL_FIELD(wl_target_command_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, seq, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_target_command_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, lease_ms, WL_FIELD_U64),
	WL_FIELD(wl_target_command_t, cpu_permille, WL_FIELD_U64),
	WL_FIELD_MANY(wl_target_command_t, leases, &wl_target_lease_schema),
};

/* Schema of all commands but a start, without the fields that only a start uses. */
static const wl_schema_t common_schema = WL_SCHEMA(wl_target_command_t, common_fields);

static const char *const paths[WL_CALL_KINDS] = {
	[WL_CALL_ADOPT] = "/v1/adopt",
	[WL_CALL_START] = "/v1/tasks/start",
	[WL_CALL_RENEW] = "/v1/tasks/renew",
	[WL_CALL_THROTTLE] = "/v1/tasks/throttle",
	[WL_CALL_CHECKPOINT] = "/v1/tasks/checkpoint",
	[WL_CALL_STOP] = "/v1/tasks/stop",
	[WL_CALL_ACK] = "/v1/tasks/ack",
};

static wl_owner_call_t *call_add(wl_owner_t *owner, const wl_owned_target_t *owned,
				 wl_owner_call_kind_t kind)
{
	wl_owner_call_t *call = wl_alloc(sizeof(*call));

	call->id = WL_PART_ID(WL_PART_OWNER, owner->next_call_id++);
	call->key = (wl_str_t){(const char *)&call->id, sizeof(call->id)};
	call->kind = kind;
	call->epoch = owned->target->epoch;
	call->boot = owned->target->boot;
	call->seq = owned->target->seq;
	wl_buf_set(&call->target, owned->key);
	wl_map_put(&owner->calls, call);
	TAILQ_INSERT_TAIL(&owner->open_calls, call, link);
	return call;
}

static void call_free(wl_owner_t *owner, wl_owner_call_t *call)
{
	wl_map_remove(&owner->calls, call->key);
	TAILQ_REMOVE(&owner->open_calls, call, link);
	wl_buf_free(&call->target);
	wl_buf_free(&call->attempt);
	free(call);
}

/*
 * wl_owner_calls_free - release all commands in flight; their answers are ignored
 */
void wl_owner_calls_free(wl_owner_t *owner)
{
	while (!TAILQ_EMPTY(&owner->open_calls))
		call_free(owner, TAILQ_FIRST(&owner->open_calls));
}

/*
 * wl_owned_send_command - send a command to a target
 * @attempt: that the command is about; NULL: none
 * @command: gets the epoch, boot id and announce number of the target; is released
 *
 * Return: id of the call.
 */
uint64_t wl_owned_send_command(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			       wl_owner_call_kind_t kind, const wl_attempt_t *attempt,
			       wl_target_command_t *command)
{
	wl_owner_call_t *call = call_add(ctx->owner, owned, kind);
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
	fetch = wl_out_fetch(ctx->out, call->id, wl_buf_str(&owned->target->address),
			     WL_STR("POST"), wl_str_from(paths[kind]), CALL_TIMEOUT_MS);
	wl_headers_add(&fetch->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_record_to_json(kind == WL_CALL_START ? &wl_target_command_schema : &common_schema,
			  command, &fetch->body);
	wl_record_free(&wl_target_command_schema, command);
	return call->id;
}

/*
 * wl_owned_command_unassigned - send a command about an attempt that is not assigned to this owner
 * @task: id of its task
 * @number: of the attempt
 */
void wl_owned_command_unassigned(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
				 wl_owner_call_kind_t kind, wl_str_t task, uint64_t number)
{
	wl_target_command_t command = {.attempt = number};

	wl_buf_set(&command.task, task);
	wl_owned_send_command(ctx, owned, kind, NULL, &command);
}

static bool read_answer(const wl_fetched_t *fetched, wl_target_answer_t *answer)
{
	wl_err_t err;

	*answer = (wl_target_answer_t){0};
	return fetched->complete && wl_record_from_json(&wl_target_answer_schema,
							wl_buf_str(&fetched->body), answer, &err);
}

static void note_refusal(const wl_owner_ctx_t *ctx, const wl_owner_call_t *call,
			 const wl_fetched_t *fetched, const wl_target_answer_t *answer)
{
	if (!fetched->complete || fetched->status != 409)
		return;
	wl_metrics_add(ctx->owner->options.metrics, "wisterialead_stale_commands_total", "", 1);
	wl_out_log(ctx->out, WL_INFO, "command-refused",
		   "target=" WL_STR_FMT " path=%s epoch=%llu its_epoch=%llu",
		   WL_STR_ARG(wl_buf_str(&call->target)), paths[call->kind],
		   (unsigned long long)call->epoch, (unsigned long long)answer->epoch);
}

static void dispatch(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
		     const wl_owner_call_t *call, const wl_fetched_t *fetched,
		     const wl_target_answer_t *answer)
{
	wl_attempt_t *attempt;

	if (call->kind == WL_CALL_ADOPT) {
		wl_owned_adopt_done(ctx, owned, call, fetched->status == 200, answer);
	} else if (call->kind == WL_CALL_RENEW) {
		if (owned->renew_call_id == call->id)
			owned->renew_call_id = 0;
	} else {
		attempt = wl_map_get(&ctx->owner->attempts, wl_buf_str(&call->attempt));
		if (attempt && attempt->call_id == call->id) {
			attempt->call_id = 0;
			wl_attempt_command_done(ctx, attempt, call, fetched, answer);
		}
	}
	wl_owned_schedule_now(ctx, owned);
}

/*
 * wl_owner_handle_fetched - handle the outcome of a command
 *
 * An answer to a command of an earlier epoch is dropped.
 */
void wl_owner_handle_fetched(const wl_owner_ctx_t *ctx, const wl_fetched_t *fetched)
{
	wl_str_t key = {(const char *)&fetched->id, sizeof(fetched->id)};
	wl_owner_call_t *call = wl_map_get(&ctx->owner->calls, key);
	wl_target_answer_t answer;
	wl_owned_target_t *owned;
	bool read;

	if (!call)
		return;
	read = read_answer(fetched, &answer);
	note_refusal(ctx, call, fetched, &answer);
	owned = wl_owner_find(ctx->owner, wl_buf_str(&call->target));
	if (owned && owned->target->epoch == call->epoch)
		dispatch(ctx, owned, call, fetched, read ? &answer : NULL);
	wl_record_free(&wl_target_answer_schema, &answer);
	call_free(ctx->owner, call);
}
