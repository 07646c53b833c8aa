/* Starts and stops of attempts: assignments from the leader, commands to targets. */

#include "internal.h"

#define CAPACITY_TIMEOUT_MS 2000 /* wait for capacity that evictions free */
#define RETRY_DELAY_MS	    300
#define MAX_STARTS	    5 /* then a stop settles whether an uncertain start took effect */
#define MAX_CHECKPOINTS	    3
#define MAX_ACKS	    10

static void command_retry(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	attempt->retries++;
	attempt->next_ns = ctx->now_ns + RETRY_DELAY_MS * (uint64_t)WL_NS_PER_MS;
	if (attempt->owned)
		wl_owned_schedule_now(ctx, attempt->owned);
}

static const char *refusal_reason(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned,
				  const wl_msg_assign_t *assign)
{
	if (!owned || owned->target->epoch != assign->epoch ||
	    !wl_owned_may_command(owned, ctx->now_ns))
		return "not the owner of the target";
	if (ctx->owner->options.session->draining)
		return "owner is draining";
	if (owned->target->state != WL_TARGET_READY)
		return wl_target_state_names[owned->target->state];
	if (assign->boot && assign->boot != owned->adopted_boot)
		return "target restarted";
	return NULL;
}

static wl_attempt_t *attempt_create(wl_owner_t *owner, wl_owned_target_t *owned,
				    const wl_msg_assign_t *assign)
{
	wl_attempt_t *attempt =
		wl_attempt_add(owner, owned, wl_buf_str(&assign->task), assign->attempt);

	attempt->assign = wl_alloc(sizeof(*attempt->assign));
	wl_record_copy(&wl_msg_assign_schema, attempt->assign, assign);
	wl_buf_set(&attempt->target, wl_buf_str(&assign->target));
	wl_buf_set(&attempt->kind, wl_buf_str(&assign->spec.kind));
	wl_buf_set(&attempt->checkpoint, wl_buf_str(&assign->checkpoint));
	attempt->epoch = assign->epoch;
	attempt->work_class = assign->spec.work_class;
	attempt->restartable = assign->spec.restartable;
	attempt->need = assign->need;
	attempt->need.connections = 0;
	if (attempt->need.slots == 0)
		attempt->need.slots = 1;
	return attempt;
}

/* Leaves free what attempts that waited longer on the target need. */
static bool reserve_capacity(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	wl_owned_target_t *owned = attempt->owned;
	wl_need_t need = attempt->need;

	wl_owned_add_waiting(owned, attempt, &need);
	if (attempt->work_class == WL_CLASS_BATCH)
		wl_owned_reserve_for_urgent(ctx, owned, &need);
	if (!owned->target->open || !wl_ledger_fits(owned->target, &need))
		return false;
	wl_attempt_set_reserved(attempt, &attempt->need);
	return true;
}

/*
 * wl_owner_handle_assign - handle an assignment that the leader has committed
 *
 * A repeated assignment is answered with the newest report, if there is one.
 * An assignment for another session is not answered: this daemon may have
 * started it before it restarted, and only the adoption by the next owner can
 * find out.
 */
void wl_owner_handle_assign(const wl_owner_ctx_t *ctx, const wl_msg_assign_t *assign)
{
	wl_owner_t *owner = ctx->owner;
	wl_attempt_t *attempt = wl_attempt_find(owner, wl_buf_str(&assign->task), assign->attempt);
	wl_owned_target_t *owned = wl_owner_find(owner, wl_buf_str(&assign->target));
	const char *refused = refusal_reason(ctx, owned, assign);

	if (assign->session != owner->options.session->id)
		return;
	if (attempt) {
		wl_attempt_resend_report(ctx, attempt);
		return;
	}
	attempt = attempt_create(owner, refused ? NULL : owned, assign);
	if (refused)
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, wl_str_from(refused));
	else if (reserve_capacity(ctx, attempt))
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_STARTING);
	else if (assign->may_evict && wl_owned_reclaim_capacity(ctx, owned))
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_WAITING);
	else
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("no room"));
}

static void wait_for_capacity(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	uint64_t until_ns = attempt->phase_since_ns + CAPACITY_TIMEOUT_MS * (uint64_t)WL_NS_PER_MS;

	if (attempt->stop_wanted)
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("stopped"));
	else if (reserve_capacity(ctx, attempt))
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_STARTING);
	else if (ctx->now_ns >= until_ns)
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("no room"));
	else
		attempt->next_ns = until_ns;
}

static void start_send(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	const wl_msg_assign_t *assign = attempt->assign;
	wl_target_command_t command = {
		.lease_ms = ctx->owner->options.lease_ms,
		.need = attempt->need,
	};

	wl_record_copy(&wl_task_spec_schema, &command.spec, &assign->spec);
	wl_buf_set(&command.checkpoint, wl_buf_str(&assign->checkpoint));
	attempt->echoed_seq = attempt->owned->target->seq;
	attempt->call_id =
		wl_owned_send_command(ctx, attempt->owned, WL_CALL_START, attempt, &command);
}

/*
 * A start that may have reached the target is repeated, as starts are
 * idempotent.  When it is no longer wanted, a stop settles it: its answer says
 * whether the attempt ran, and the target refuses to start it from then on.
 */
static void start_attempt(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	bool wanted = !attempt->stop_wanted && attempt->retries < MAX_STARTS &&
		      attempt->owned->target->state == WL_TARGET_READY;

	if (wanted)
		start_send(ctx, attempt);
	else if (attempt->uncertain)
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_STOPPING);
	else
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("target not ready"));
}

static void command_send(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			 wl_owner_call_kind_t kind)
{
	wl_target_command_t command = {0};

	attempt->call_id = wl_owned_send_command(ctx, attempt->owned, kind, attempt, &command);
}

/*
 * wl_attempt_run - send the command that is due for an attempt
 */
void wl_attempt_run(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	bool due = attempt->phase == WL_ATTEMPT_WAITING || ctx->now_ns >= attempt->next_ns;

	if (attempt->call_id || !due || !wl_owned_may_command(attempt->owned, ctx->now_ns))
		return;
	switch (attempt->phase) {
	case WL_ATTEMPT_WAITING:
		wait_for_capacity(ctx, attempt);
		break;
	case WL_ATTEMPT_STARTING:
		start_attempt(ctx, attempt);
		break;
	case WL_ATTEMPT_CHECKPOINTING:
		command_send(ctx, attempt, WL_CALL_CHECKPOINT);
		break;
	case WL_ATTEMPT_STOPPING:
		command_send(ctx, attempt, WL_CALL_STOP);
		break;
	case WL_ATTEMPT_ACKING:
		command_send(ctx, attempt, WL_CALL_ACK);
		break;
	case WL_ATTEMPT_RUNNING:
	case WL_ATTEMPT_CHECKPOINTED:
	case WL_ATTEMPT_ENDED:
	case WL_ATTEMPT_CLOSED:
		attempt->next_ns = WL_NEVER_NS;
		break;
	}
}

/*
 * wl_attempt_stop - stop an attempt, in any phase
 * @evict: take a checkpoint and have it committed first
 */
void wl_attempt_stop(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, bool evict)
{
	attempt->stop_wanted = true;
	attempt->evict_wanted = evict;
	if (attempt->phase == WL_ATTEMPT_RUNNING)
		wl_attempt_enter(ctx, attempt,
				 evict ? WL_ATTEMPT_CHECKPOINTING : WL_ATTEMPT_STOPPING);
	else if (!evict && (attempt->phase == WL_ATTEMPT_CHECKPOINTING ||
			    attempt->phase == WL_ATTEMPT_CHECKPOINTED))
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_STOPPING);
	else if (attempt->owned)
		wl_owned_schedule_now(ctx, attempt->owned);
}

/*
 * wl_owner_handle_stop - handle the leader's order to stop an attempt
 *
 * An attempt that is not known here is recorded as refused, so that a late
 * assignment can't start it.
 */
void wl_owner_handle_stop(const wl_owner_ctx_t *ctx, const wl_msg_stop_t *stop)
{
	wl_owner_t *owner = ctx->owner;
	wl_owned_target_t *owned = wl_owner_find(owner, wl_buf_str(&stop->target));
	wl_attempt_t *attempt = wl_attempt_find(owner, wl_buf_str(&stop->task), stop->attempt);

	if (attempt && attempt->phase >= WL_ATTEMPT_ENDED) {
		wl_attempt_resend_report(ctx, attempt);
		return;
	}
	if (!owned || owned->target->epoch != stop->epoch || !owned->adopted_boot ||
	    !wl_owned_may_command(owned, ctx->now_ns))
		return;
	if (attempt) {
		wl_attempt_stop(ctx, attempt, stop->checkpoint);
		return;
	}
	attempt = wl_attempt_add(owner, NULL, wl_buf_str(&stop->task), stop->attempt);
	wl_buf_set(&attempt->target, wl_buf_str(&stop->target));
	attempt->epoch = stop->epoch;
	wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("stopped before it started"));
}

/*
 * wl_attempt_started - the target is known to run an attempt
 */
void wl_attempt_started(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	attempt->started = true;
	wl_attempt_enter(ctx, attempt, WL_ATTEMPT_RUNNING);
	wl_attempt_report(ctx, attempt, WL_REPORT_STARTED, WL_STR(""));
	if (attempt->stop_wanted)
		wl_attempt_stop(ctx, attempt, attempt->evict_wanted);
}

static const wl_task_usage_t *usage_in(const wl_target_answer_t *answer,
				       const wl_attempt_t *attempt)
{
	const wl_task_usage_t *tasks = answer ? answer->tasks.items : NULL;

	for (size_t i = 0; answer && i < answer->tasks.count; i++)
		if (tasks[i].attempt == attempt->number &&
		    wl_str_equal(wl_buf_str(&tasks[i].id), wl_buf_str(&attempt->task)))
			return &tasks[i];
	return NULL;
}

static bool was_refused(const wl_fetched_t *fetched)
{
	return fetched->complete && fetched->status == 409;
}

static void start_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
		       const wl_fetched_t *fetched, const wl_target_answer_t *answer)
{
	wl_str_t reason = answer ? wl_buf_str(&answer->error) : WL_STR("target refused the start");

	if (attempt->phase != WL_ATTEMPT_STARTING)
		return;
	if (fetched->complete && fetched->status == 200) {
		wl_attempt_started(ctx, attempt);
		return;
	}
	if (!attempt->uncertain && (was_refused(fetched) || !fetched->sent)) {
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED,
			       fetched->sent ? reason : WL_STR("target could not be reached"));
		return;
	}
	if (fetched->complete && fetched->status >= 500)
		wl_owned_record_outcome(ctx, attempt->owned, wl_buf_str(&attempt->kind), false);
	attempt->uncertain = attempt->uncertain || (fetched->sent && !was_refused(fetched));
	command_retry(ctx, attempt);
}

static void checkpoint_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			    const wl_target_answer_t *answer)
{
	if (attempt->phase != WL_ATTEMPT_CHECKPOINTING)
		return;
	if (!answer && attempt->retries + 1 < MAX_CHECKPOINTS) {
		command_retry(ctx, attempt);
		return;
	}
	if (answer && answer->checkpoint.len)
		wl_buf_set(&attempt->checkpoint, wl_buf_str(&answer->checkpoint));
	wl_attempt_enter(ctx, attempt, WL_ATTEMPT_CHECKPOINTED);
	wl_attempt_report(ctx, attempt, WL_REPORT_CHECKPOINT, WL_STR(""));
}

static void stop_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
		      const wl_target_answer_t *answer)
{
	const wl_task_usage_t *usage = usage_in(answer, attempt);

	if (attempt->phase != WL_ATTEMPT_STOPPING)
		return;
	if (!answer || (usage && usage->state == WL_RUN_RUNNING))
		command_retry(ctx, attempt);
	else if (usage)
		wl_attempt_update(ctx, attempt, usage);
	else if (attempt->started)
		wl_attempt_end(ctx, attempt, WL_REPORT_STOPPED, WL_STR("stopped"));
	else
		wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("never started"));
}

static void ack_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
		     const wl_target_answer_t *answer)
{
	if (attempt->phase != WL_ATTEMPT_ACKING)
		return;
	if (answer || attempt->retries + 1 >= MAX_ACKS)
		wl_attempt_close(ctx, attempt);
	else
		command_retry(ctx, attempt);
}

/*
 * wl_attempt_command_done - handle the outcome of a command about an attempt
 * @answer: NULL if none could be read
 */
void wl_attempt_command_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			     const wl_owner_call_t *call, const wl_fetched_t *fetched,
			     const wl_target_answer_t *answer)
{
	const wl_target_answer_t *accepted = fetched->status == 200 ? answer : NULL;

	switch (call->kind) {
	case WL_CALL_START:
		start_done(ctx, attempt, fetched, answer);
		break;
	case WL_CALL_CHECKPOINT:
		checkpoint_done(ctx, attempt, accepted);
		break;
	case WL_CALL_STOP:
		stop_done(ctx, attempt, accepted);
		break;
	case WL_CALL_ACK:
		ack_done(ctx, attempt, accepted);
		break;
	case WL_CALL_THROTTLE:
		if (accepted || (fetched->sent && !was_refused(fetched)))
			wl_attempt_throttle_done(ctx, attempt, call->cpu_permille,
						 accepted != NULL);
		break;
	default:
		break;
	}
}
