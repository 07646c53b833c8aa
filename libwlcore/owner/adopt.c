/*
 * Adoption of a target, and the proof that nothing runs on one that is lost.
 *
 * The adoption carries the owner's epoch; from its answer on the target
 * refuses lower ones.  Only then is its room used, less what it runs already.
 */

#include "internal.h"

#define RETRY_LEAST_MS 100
#define RETRY_MOST_MS  2000

/*
 * wl_owned_adopt - ask a target for what it runs, again until it answers
 */
void wl_owned_adopt(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_target_command_t command = {0};

	if (owned->adopt_call || turn->now_ns < owned->adopt_next_ns ||
	    !wl_owned_mine(owned, turn->now_ns))
		return;
	owned->adopt_call = wl_owned_call(turn, owned, WL_CALL_ADOPT, NULL, &command);
}

static void adopt_again(const wl_turn_t *turn, wl_owned_t *owned)
{
	uint64_t pause_ms = RETRY_LEAST_MS << (owned->adopt_tries < 5 ? owned->adopt_tries : 5);

	if (pause_ms > RETRY_MOST_MS)
		pause_ms = RETRY_MOST_MS;
	owned->adopt_tries++;
	pause_ms = pause_ms / 2 + wl_rng_below(&turn->owner->rng, pause_ms / 2 + 1);
	owned->adopt_next_ns = turn->now_ns + pause_ms * WL_NS_PER_MS;
	wl_owned_touch(turn, owned);
}

/*
 * wl_owned_earlier - set how many requests of earlier owners still run on a target
 *
 * They hold room until they have ended.
 */
void wl_owned_earlier(wl_owned_t *owned, uint64_t requests)
{
	wl_ledger_t *ledger = owned->owner->options.ledger;

	for (; owned->earlier < requests; owned->earlier++)
		wl_ledger_hold(ledger, owned->target, &ledger->request);
	for (; owned->earlier > requests; owned->earlier--)
		wl_ledger_drop(ledger, owned->target, &ledger->request);
}

static bool listed(const wl_target_answer_t *answer, wl_str_t task, uint64_t number)
{
	const wl_task_usage_t *tasks = answer->tasks.items;

	for (size_t i = 0; i < answer->tasks.count; i++)
		if (tasks[i].attempt == number && wl_str_equal(wl_buf_str(&tasks[i].id), task))
			return true;
	return false;
}

/* Another boot answered: whatever ran under the old one has ended with it. */
static void reboot_proven(const wl_turn_t *turn, wl_owned_t *owned,
			  const wl_target_answer_t *answer)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, of_target);
		if (attempt->phase == WL_ATTEMPT_ACKING)
			wl_attempt_close(turn, attempt);
		else if (attempt->phase < WL_ATTEMPT_ENDED &&
			 attempt->phase != WL_ATTEMPT_WAITING &&
			 !listed(answer, wl_buf_str(&attempt->task), attempt->number))
			wl_attempt_end(turn, attempt, WL_REPORT_LOST, WL_STR("target restarted"));
	}
}

/* A report under an earlier epoch did not count: what it says holds still. */
static void report_anew(const wl_turn_t *turn, const wl_owned_t *owned, wl_attempt_t *attempt)
{
	if (attempt->phase < WL_ATTEMPT_ENDED)
		return;
	attempt->epoch = owned->target->epoch;
	attempt->report.epoch = attempt->epoch;
	wl_attempt_repeat(turn, attempt);
}

/* Attempts of earlier epochs that the target does not know can't start any more. */
static void assigned_check(const wl_turn_t *turn, wl_owned_t *owned,
			   const wl_target_answer_t *answer, wl_str_t reason)
{
	const wl_assignment_t *assigned = owned->assigned.items;

	for (size_t i = 0; i < owned->assigned.count; i++) {
		wl_str_t task = wl_buf_str(&assigned[i].task);
		wl_attempt_t *attempt = wl_attempt_find(turn->owner, task, assigned[i].attempt);

		if (assigned[i].epoch >= owned->target->epoch)
			continue;
		if (attempt) {
			report_anew(turn, owned, attempt);
			continue;
		}
		attempt = wl_attempt_add(turn->owner, owned, task, assigned[i].attempt);
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_RUNNING);
		if (answer && listed(answer, task, assigned[i].attempt))
			attempt->sent_seq = answer->seq;
		else
			wl_attempt_end(turn, attempt, WL_REPORT_LOST, reason);
	}
	wl_list_free(&wl_assignment_schema, &owned->assigned);
}

static void adopted(const wl_turn_t *turn, wl_owned_t *owned, const wl_target_answer_t *answer)
{
	uint64_t own = owned->target->running_requests;

	if (owned->adopted_boot && owned->adopted_boot != answer->boot)
		reboot_proven(turn, owned, answer);
	owned->adopted_boot = answer->boot;
	owned->adopt_tries = 0;
	owned->renew_next_ns = turn->now_ns;
	owned->renew_seq = 0;
	assigned_check(turn, owned, answer, WL_STR("not on the target"));
	wl_owned_earlier(owned,
			 answer->old_epoch_requests > own ? answer->old_epoch_requests - own : 0);
	wl_owned_seen(turn, owned, &answer->tasks, owned->target->seq);
	wl_metrics_add(turn->owner->options.metrics, "wisterialead_adoptions_total", "", 1);
	wl_owned_event(turn, owned, WL_TARGET_ADOPTED);
	if (owned->leaving)
		wl_owned_event(turn, owned, WL_TARGET_LEAVE);
	if (owned->health.aside)
		wl_owned_event(turn, owned, WL_TARGET_FAIL);
}

/* A refusal tells the boot and announce that are current: what was heard last was an old one. */
static bool adopt_corrected(const wl_turn_t *turn, wl_owned_t *owned,
			    const wl_target_answer_t *answer)
{
	wl_target_t *target = owned->target;

	if (answer->epoch > target->epoch || answer->boot == 0 || answer->boot == target->boot ||
	    owned->adopt_tries > 0)
		return false;
	target->boot = answer->boot;
	target->seq = answer->seq;
	target->heard_ns = turn->now_ns;
	owned->adopt_tries++;
	owned->adopt_next_ns = turn->now_ns;
	wl_owned_touch(turn, owned);
	return true;
}

/*
 * wl_owned_adopt_ended - take in how an adoption ended
 * @taken: whether the target took the command
 * @answer: NULL if none could be read
 */
void wl_owned_adopt_ended(const wl_turn_t *turn, wl_owned_t *owned, const wl_owner_call_t *call,
			  bool taken, const wl_target_answer_t *answer)
{
	if (owned->adopt_call != call->id)
		return;
	owned->adopt_call = 0;
	/* The target restarted, or went silent, while the call was on its way. */
	if (owned->target->state != WL_TARGET_ADOPTING)
		return;
	if (taken && answer && answer->boot == owned->target->boot && answer->boot == call->boot)
		adopted(turn, owned, answer);
	else if (!answer || !adopt_corrected(turn, owned, answer))
		adopt_again(turn, owned);
}

/*
 * wl_owned_reach_ns - when nothing can run on a target any more unless it is heard again
 *
 * Before the adoption an earlier owner may have renewed leases by announces
 * that this entry did not get: until it learnt of the grant, at the latest by
 * the end of its session, and for the grace after that.
 */
uint64_t wl_owned_reach_ns(const wl_owned_t *owned)
{
	const wl_owner_options_t *options = &owned->owner->options;
	uint64_t lease_ns = (options->lease_ms + options->drift_ms) * WL_NS_PER_MS;
	uint64_t heard = owned->target->heard_ns + lease_ns;
	uint64_t granted = owned->granted_ns +
			   (options->session_ms + options->grace_ms) * WL_NS_PER_MS + lease_ns;

	return owned->adopted_boot || heard > granted ? heard : granted;
}

/*
 * wl_owned_reach - report what was on a target as lost once every possible lease there has ended
 */
void wl_owned_reach(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	if (owned->lost || owned->target->state == WL_TARGET_GONE ||
	    turn->now_ns < wl_owned_reach_ns(owned) || !wl_owned_mine(owned, turn->now_ns))
		return;
	owned->lost = true;
	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, of_target);
		if (attempt->phase == WL_ATTEMPT_ACKING)
			wl_attempt_close(turn, attempt);
		else if (attempt->phase < WL_ATTEMPT_ENDED)
			wl_attempt_end(turn, attempt,
				       attempt->phase == WL_ATTEMPT_WAITING ? WL_REPORT_REFUSED
									    : WL_REPORT_LOST,
				       WL_STR("target out of reach"));
	}
	assigned_check(turn, owned, NULL, WL_STR("target out of reach"));
	wl_out_log(turn->out, WL_WARN, "target-lost", "target=" WL_STR_FMT " epoch=%llu",
		   WL_STR_ARG(owned->key), (unsigned long long)owned->target->epoch);
}
