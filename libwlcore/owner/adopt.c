/*
 * Adoption of a target, and the decision that work on an unreachable target is lost.
 *
 * The adoption command carries the owner's epoch; once the target has answered it,
 * the target refuses lower epochs.  Only then does its owner place work on it, in
 * the capacity not used by work already running there.
 */

#include "internal.h"

#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 2000

/*
 * wl_owned_adopt - send the adoption command that is due
 *
 * The target answers with the work that it runs.
 */
void wl_owned_adopt(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_target_command_t command = {0};

	if (owned->adopt_call_id || ctx->now_ns < owned->adopt_next_ns ||
	    !wl_owned_may_command(owned, ctx->now_ns))
		return;
	owned->adopt_call_id = wl_owned_send_command(ctx, owned, WL_CALL_ADOPT, NULL, &command);
}

static void adopt_retry(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	uint64_t backoff_ms = RETRY_MIN_MS << (owned->adopt_retries < 5 ? owned->adopt_retries : 5);

	if (backoff_ms > RETRY_MAX_MS)
		backoff_ms = RETRY_MAX_MS;
	owned->adopt_retries++;
	backoff_ms = backoff_ms / 2 + wl_rng_below(&ctx->owner->rng, backoff_ms / 2 + 1);
	owned->adopt_next_ns = ctx->now_ns + backoff_ms * WL_NS_PER_MS;
	wl_owned_schedule_now(ctx, owned);
}

/*
 * wl_owned_set_inherited - set how many requests of earlier owners still run on a target
 * @requests: their number
 *
 * Each of them keeps a reservation until it has ended.
 */
void wl_owned_set_inherited(wl_owned_target_t *owned, uint64_t requests)
{
	wl_ledger_t *ledger = owned->owner->options.ledger;

	for (; owned->inherited_requests < requests; owned->inherited_requests++)
		wl_ledger_add_reserved(ledger, owned->target, &ledger->request);
	for (; owned->inherited_requests > requests; owned->inherited_requests--)
		wl_ledger_subtract_reserved(ledger, owned->target, &ledger->request);
}

static bool lists_attempt(const wl_target_answer_t *answer, wl_str_t task, uint64_t number)
{
	const wl_task_usage_t *tasks = answer->tasks.items;

	for (size_t i = 0; i < answer->tasks.count; i++)
		if (tasks[i].attempt == number && wl_str_equal(wl_buf_str(&tasks[i].id), task))
			return true;
	return false;
}

/*
 * Whether a target that has restarted crashed under an attempt, and may have done so because of
 * it.  A start that may not have reached the target, or a restart after a drain, is no evidence.
 */
static bool crashed_under(const wl_owned_target_t *owned, const wl_attempt_t *attempt)
{
	bool was_there = attempt->phase != WL_ATTEMPT_STARTING || attempt->uncertain;

	return was_there && !owned->adopted_left;
}

/*
 * The target answered with another boot id than the adopted one: whatever it
 * ran under the old boot has ended, unless the answer lists it.
 */
static void confirm_reboot(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			   const wl_target_answer_t *answer)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	ctx->owner->offers_due = true;
	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, target_link);
		if (attempt->phase == WL_ATTEMPT_ACKING)
			wl_attempt_close(ctx, attempt);
		else if (attempt->phase < WL_ATTEMPT_ENDED &&
			 !lists_attempt(answer, wl_buf_str(&attempt->task), attempt->number)) {
			bool waiting = attempt->phase == WL_ATTEMPT_WAITING;

			attempt->report.crashed = !waiting && crashed_under(owned, attempt);
			wl_attempt_end(ctx, attempt, waiting ? WL_REPORT_REFUSED : WL_REPORT_LOST,
				       WL_STR("target restarted"));
		}
	}
}

/*
 * The leader has not accepted a report under an earlier epoch, but its content is
 * still valid: sends it again under the present epoch.
 */
static void resend_under_epoch(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned,
			       wl_attempt_t *attempt)
{
	if (attempt->phase < WL_ATTEMPT_ENDED)
		return;
	attempt->epoch = owned->target->epoch;
	attempt->report.epoch = attempt->epoch;
	wl_attempt_resend_report(ctx, attempt);
}

/*
 * Whether an attempt that the target does not list never ran.  An attempt is
 * started in the boot that it was assigned for only, and a target lists what it
 * started in its present boot until the end, once committed, is acknowledged.
 */
static bool never_started(const wl_assignment_t *assigned, const wl_target_answer_t *answer)
{
	return answer && assigned->boot && assigned->boot == answer->boot;
}

/*
 * Attempts of earlier epochs that the target does not list can no longer start
 * there, as it refuses commands of those epochs.
 * @answer: to the adoption; NULL: the target is out of reach
 */
static void reconcile_assigned(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			       const wl_target_answer_t *answer, wl_str_t reason)
{
	const wl_assignment_t *assigned = owned->assigned.items;

	for (size_t i = 0; i < owned->assigned.count; i++) {
		wl_str_t task = wl_buf_str(&assigned[i].task);
		wl_attempt_t *attempt = wl_attempt_find(ctx->owner, task, assigned[i].attempt);

		if (assigned[i].epoch >= owned->target->epoch)
			continue;
		if (attempt) {
			resend_under_epoch(ctx, owned, attempt);
			continue;
		}
		attempt = wl_attempt_add(ctx->owner, owned, task, assigned[i].attempt);
		wl_attempt_enter(ctx, attempt, WL_ATTEMPT_RUNNING);
		if (answer && lists_attempt(answer, task, assigned[i].attempt))
			attempt->echoed_seq = answer->seq;
		else if (never_started(&assigned[i], answer))
			wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("never started"));
		else
			wl_attempt_end(ctx, attempt, WL_REPORT_LOST, reason);
	}
	wl_list_free(&wl_assignment_schema, &owned->assigned);
}

static void adopted(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
		    const wl_target_answer_t *answer)
{
	uint64_t own = owned->target->running_requests;

	if (owned->adopted_boot && owned->adopted_boot != answer->boot)
		confirm_reboot(ctx, owned, answer);
	owned->adopted_boot = answer->boot;
	owned->adopted_left = owned->leaving;
	owned->adopt_retries = 0;
	owned->renew_next_ns = ctx->now_ns;
	owned->renew_seq = 0;
	reconcile_assigned(ctx, owned, answer, WL_STR("not on the target"));
	wl_owned_set_inherited(
		owned, answer->old_epoch_requests > own ? answer->old_epoch_requests - own : 0);
	wl_owned_update_attempts(ctx, owned, &answer->tasks, owned->target->seq);
	wl_metrics_add(ctx->owner->options.metrics, "wisterialead_adoptions_total", "", 1);
	wl_owned_handle_event(ctx, owned, WL_TARGET_ADOPTED);
	if (owned->leaving)
		wl_owned_handle_event(ctx, owned, WL_TARGET_LEAVE);
	if (owned->health.quarantined)
		wl_owned_handle_event(ctx, owned, WL_TARGET_FAIL);
}

/*
 * A refusal carries the target's present boot id and announce number.  If they show
 * that the announce that the command echoed was outdated, takes them over and
 * schedules a retry at once.  Returns whether it did.
 */
static bool adopt_corrected(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			    const wl_target_answer_t *answer)
{
	wl_target_t *target = owned->target;

	if (answer->epoch > target->epoch || answer->boot == 0 || answer->boot == target->boot ||
	    owned->adopt_retries > 0)
		return false;
	target->boot = answer->boot;
	target->seq = answer->seq;
	target->last_announce_ns = ctx->now_ns;
	owned->adopt_retries++;
	owned->adopt_next_ns = ctx->now_ns;
	wl_owned_schedule_now(ctx, owned);
	return true;
}

/*
 * wl_owned_adopt_done - handle the outcome of an adoption command
 * @accepted: whether the target accepted the command
 * @answer: NULL if none could be read
 */
void wl_owned_adopt_done(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			 const wl_owner_call_t *call, bool accepted,
			 const wl_target_answer_t *answer)
{
	if (owned->adopt_call_id != call->id)
		return;
	owned->adopt_call_id = 0;
	/* The target restarted or became silent while the command was in flight. */
	if (owned->target->state != WL_TARGET_ADOPTING)
		return;
	if (accepted && answer && answer->boot == owned->target->boot && answer->boot == call->boot)
		adopted(ctx, owned, answer);
	else if (!answer || !adopt_corrected(ctx, owned, answer))
		adopt_retry(ctx, owned);
}

/*
 * wl_owned_leases_end_ns - when every lease on a target has expired if it announces nothing more
 *
 * Before the adoption an earlier owner may have renewed leases with announces
 * that this entry never received.  It can do so until it learns of the grant,
 * which is at the latest at the end of its session, and during the grace period
 * after that.
 *
 * Return: monotonic time.
 */
uint64_t wl_owned_leases_end_ns(const wl_owned_target_t *owned)
{
	const wl_owner_options_t *options = &owned->owner->options;
	uint64_t lease_ns = (options->lease_ms + options->drift_ms) * WL_NS_PER_MS;
	uint64_t announce_end = owned->target->last_announce_ns + lease_ns;
	uint64_t grant_end = owned->granted_ns +
			     (options->session_ms + options->grace_ms) * WL_NS_PER_MS + lease_ns;

	return owned->adopted_boot || announce_end > grant_end ? announce_end : grant_end;
}

/*
 * wl_owned_check_leases - report all work on a target as lost once every lease
 * there has expired
 */
void wl_owned_check_leases(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	if (owned->leases_ended || owned->target->state == WL_TARGET_GONE ||
	    ctx->now_ns < wl_owned_leases_end_ns(owned) ||
	    !wl_owned_may_command(owned, ctx->now_ns))
		return;
	owned->leases_ended = true;
	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, target_link);
		if (attempt->phase == WL_ATTEMPT_ACKING)
			wl_attempt_close(ctx, attempt);
		else if (attempt->phase < WL_ATTEMPT_ENDED)
			wl_attempt_end(ctx, attempt,
				       attempt->phase == WL_ATTEMPT_WAITING ? WL_REPORT_REFUSED
									    : WL_REPORT_LOST,
				       WL_STR("target out of reach"));
	}
	reconcile_assigned(ctx, owned, NULL, WL_STR("target out of reach"));
	wl_out_log(ctx->out, WL_WARN, "target-lost", "target=" WL_STR_FMT " epoch=%llu",
		   WL_STR_ARG(owned->key), (unsigned long long)owned->target->epoch);
}
