/* Starts and stops of attempts: assignments in, commands to the target out. */

#include "internal.h"

#define ROOM_WAIT_MS	 2000 /* for room that evictions make */
#define RETRY_MS	 300
#define MOST_STARTS	 5 /* then an uncertain start is settled by a stop */
#define MOST_CHECKPOINTS 3
#define MOST_ACKS	 10

static void call_again(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	attempt->tries++;
	attempt->next_ns = turn->now_ns + RETRY_MS * (uint64_t)WL_NS_PER_MS;
	if (attempt->owned)
		wl_owned_touch(turn, attempt->owned);
}

static const char *refusal(const wl_turn_t *turn, const wl_owned_t *owned,
			   const wl_msg_assign_t *assign)
{
	if (!owned || owned->target->epoch != assign->epoch || !wl_owned_mine(owned, turn->now_ns))
		return "not the owner of the target";
	if (turn->owner->options.session->draining)
		return "owner is draining";
	if (owned->target->state != WL_TARGET_READY)
		return wl_target_state_names[owned->target->state];
	return NULL;
}

static wl_attempt_t *attempt_from(wl_owner_t *owner, wl_owned_t *owned,
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

/* An attempt takes room only beside what those before it wait for. */
static bool room_take(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	wl_owned_t *owned = attempt->owned;
	wl_need_t need = attempt->need;

	wl_owned_waiting(owned, attempt, &need);
	if (attempt->work_class == WL_CLASS_BATCH)
		wl_owned_reserve_for_urgent(turn, owned, &need);
	if (!owned->target->open || !wl_ledger_fits(owned->target, &need))
		return false;
	wl_attempt_hold(attempt, &attempt->need);
	return true;
}

/*
 * wl_owner_take_assign - the leader has committed an assignment to a target
 *
 * A repeated one is answered by the newest report, if there is one yet.  One
 * for another session is not answered at all: an earlier life of this daemon
 * may have started it, and only the next owner's adoption can tell.
 */
void wl_owner_take_assign(const wl_turn_t *turn, const wl_msg_assign_t *assign)
{
	wl_owner_t *owner = turn->owner;
	wl_attempt_t *attempt = wl_attempt_find(owner, wl_buf_str(&assign->task), assign->attempt);
	wl_owned_t *owned = wl_owner_find(owner, wl_buf_str(&assign->target));
	const char *refused = refusal(turn, owned, assign);

	if (assign->session != owner->options.session->id)
		return;
	if (attempt) {
		wl_attempt_repeat(turn, attempt);
		return;
	}
	attempt = attempt_from(owner, refused ? NULL : owned, assign);
	if (refused)
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, wl_str_from(refused));
	else if (room_take(turn, attempt))
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_STARTING);
	else if (assign->may_evict && wl_owned_make_room(turn, owned))
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_WAITING);
	else
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, WL_STR("no room"));
}

static void wait_room(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	uint64_t until_ns = attempt->begun_ns + ROOM_WAIT_MS * (uint64_t)WL_NS_PER_MS;

	if (attempt->stop_wanted)
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, WL_STR("stopped"));
	else if (room_take(turn, attempt))
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_STARTING);
	else if (turn->now_ns >= until_ns)
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, WL_STR("no room"));
	else
		attempt->next_ns = until_ns;
}

static void start_send(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	const wl_msg_assign_t *assign = attempt->assign;
	wl_target_command_t command = {
		.lease_ms = turn->owner->options.lease_ms,
		.need = attempt->need,
	};

	wl_record_copy(&wl_task_spec_schema, &command.spec, &assign->spec);
	wl_buf_set(&command.checkpoint, wl_buf_str(&assign->checkpoint));
	attempt->sent_seq = attempt->owned->target->seq;
	attempt->call = wl_owned_call(turn, attempt->owned, WL_CALL_START, attempt, &command);
}

/*
 * A start that may have reached the target is asked again, which is
 * idempotent.  Where that is no longer wanted a stop settles it: its answer
 * says whether the attempt ran, and bars it from then on.
 */
static void start(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	bool wanted = !attempt->stop_wanted && attempt->tries < MOST_STARTS &&
		      attempt->owned->target->state == WL_TARGET_READY;

	if (wanted)
		start_send(turn, attempt);
	else if (attempt->uncertain)
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_STOPPING);
	else
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, WL_STR("target not ready"));
}

static void command_send(const wl_turn_t *turn, wl_attempt_t *attempt, wl_owner_call_kind_t kind)
{
	wl_target_command_t command = {0};

	attempt->call = wl_owned_call(turn, attempt->owned, kind, attempt, &command);
}

/*
 * wl_attempt_run - do what is due for an attempt
 */
void wl_attempt_run(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	bool due = attempt->phase == WL_ATTEMPT_WAITING || turn->now_ns >= attempt->next_ns;

	if (attempt->call || !due || !wl_owned_mine(attempt->owned, turn->now_ns))
		return;
	switch (attempt->phase) {
	case WL_ATTEMPT_WAITING:
		wait_room(turn, attempt);
		break;
	case WL_ATTEMPT_STARTING:
		start(turn, attempt);
		break;
	case WL_ATTEMPT_CHECKPOINTING:
		command_send(turn, attempt, WL_CALL_CHECKPOINT);
		break;
	case WL_ATTEMPT_STOPPING:
		command_send(turn, attempt, WL_CALL_STOP);
		break;
	case WL_ATTEMPT_ACKING:
		command_send(turn, attempt, WL_CALL_ACK);
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
 * wl_attempt_stop - stop an attempt, whatever it is doing
 * @evict: take a checkpoint and have it committed first
 */
void wl_attempt_stop(const wl_turn_t *turn, wl_attempt_t *attempt, bool evict)
{
	attempt->stop_wanted = true;
	attempt->evict_wanted = evict;
	if (attempt->phase == WL_ATTEMPT_RUNNING)
		wl_attempt_enter(turn, attempt,
				 evict ? WL_ATTEMPT_CHECKPOINTING : WL_ATTEMPT_STOPPING);
	else if (!evict && (attempt->phase == WL_ATTEMPT_CHECKPOINTING ||
			    attempt->phase == WL_ATTEMPT_CHECKPOINTED))
		wl_attempt_enter(turn, attempt, WL_ATTEMPT_STOPPING);
	else if (attempt->owned)
		wl_owned_touch(turn, attempt->owned);
}

/*
 * wl_owner_take_stop - the leader wants an attempt stopped
 *
 * One that never came here is barred, so that a late assignment can't start it.
 */
void wl_owner_take_stop(const wl_turn_t *turn, const wl_msg_stop_t *stop)
{
	wl_owner_t *owner = turn->owner;
	wl_owned_t *owned = wl_owner_find(owner, wl_buf_str(&stop->target));
	wl_attempt_t *attempt = wl_attempt_find(owner, wl_buf_str(&stop->task), stop->attempt);

	if (attempt && attempt->phase >= WL_ATTEMPT_ENDED) {
		wl_attempt_repeat(turn, attempt);
		return;
	}
	if (!owned || owned->target->epoch != stop->epoch || !owned->adopted_boot ||
	    !wl_owned_mine(owned, turn->now_ns))
		return;
	if (attempt) {
		wl_attempt_stop(turn, attempt, stop->checkpoint);
		return;
	}
	attempt = wl_attempt_add(owner, NULL, wl_buf_str(&stop->task), stop->attempt);
	wl_buf_set(&attempt->target, wl_buf_str(&stop->target));
	attempt->epoch = stop->epoch;
	wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, WL_STR("stopped before it started"));
}

/*
 * wl_attempt_started - the target runs an attempt
 */
void wl_attempt_started(const wl_turn_t *turn, wl_attempt_t *attempt)
{
	attempt->started = true;
	wl_attempt_enter(turn, attempt, WL_ATTEMPT_RUNNING);
	wl_attempt_report(turn, attempt, WL_REPORT_STARTED, WL_STR(""));
	if (attempt->stop_wanted)
		wl_attempt_stop(turn, attempt, attempt->evict_wanted);
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

static bool refused(const wl_fetched_t *fetched)
{
	return fetched->complete && fetched->status == 409;
}

static void start_ended(const wl_turn_t *turn, wl_attempt_t *attempt, const wl_fetched_t *fetched,
			const wl_target_answer_t *answer)
{
	wl_str_t reason = answer ? wl_buf_str(&answer->error) : WL_STR("target refused the start");

	if (attempt->phase != WL_ATTEMPT_STARTING)
		return;
	if (fetched->complete && fetched->status == 200) {
		wl_attempt_started(turn, attempt);
		return;
	}
	if (!attempt->uncertain && (refused(fetched) || !fetched->sent)) {
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED,
			       fetched->sent ? reason : WL_STR("target could not be reached"));
		return;
	}
	if (fetched->complete && fetched->status >= 500)
		wl_owned_note(turn, attempt->owned, wl_buf_str(&attempt->kind), false);
	attempt->uncertain = attempt->uncertain || (fetched->sent && !refused(fetched));
	call_again(turn, attempt);
}

static void checkpoint_ended(const wl_turn_t *turn, wl_attempt_t *attempt,
			     const wl_target_answer_t *answer)
{
	if (attempt->phase != WL_ATTEMPT_CHECKPOINTING)
		return;
	if (!answer && attempt->tries + 1 < MOST_CHECKPOINTS) {
		call_again(turn, attempt);
		return;
	}
	if (answer && answer->checkpoint.len)
		wl_buf_set(&attempt->checkpoint, wl_buf_str(&answer->checkpoint));
	wl_attempt_enter(turn, attempt, WL_ATTEMPT_CHECKPOINTED);
	wl_attempt_report(turn, attempt, WL_REPORT_CHECKPOINT, WL_STR(""));
}

static void stop_ended(const wl_turn_t *turn, wl_attempt_t *attempt,
		       const wl_target_answer_t *answer)
{
	const wl_task_usage_t *usage = usage_in(answer, attempt);

	if (attempt->phase != WL_ATTEMPT_STOPPING)
		return;
	if (!answer || (usage && usage->state == WL_RUN_RUNNING))
		call_again(turn, attempt);
	else if (usage)
		wl_attempt_seen(turn, attempt, usage);
	else if (attempt->started)
		wl_attempt_end(turn, attempt, WL_REPORT_STOPPED, WL_STR("stopped"));
	else
		wl_attempt_end(turn, attempt, WL_REPORT_REFUSED, WL_STR("never started"));
}

static void ack_ended(const wl_turn_t *turn, wl_attempt_t *attempt,
		      const wl_target_answer_t *answer)
{
	if (attempt->phase != WL_ATTEMPT_ACKING)
		return;
	if (answer || attempt->tries + 1 >= MOST_ACKS)
		wl_attempt_close(turn, attempt);
	else
		call_again(turn, attempt);
}

/*
 * wl_attempt_call_ended - take in how a command about an attempt ended
 * @answer: NULL if none could be read
 */
void wl_attempt_call_ended(const wl_turn_t *turn, wl_attempt_t *attempt,
			   const wl_owner_call_t *call, const wl_fetched_t *fetched,
			   const wl_target_answer_t *answer)
{
	const wl_target_answer_t *taken = fetched->status == 200 ? answer : NULL;

	switch (call->kind) {
	case WL_CALL_START:
		start_ended(turn, attempt, fetched, answer);
		break;
	case WL_CALL_CHECKPOINT:
		checkpoint_ended(turn, attempt, taken);
		break;
	case WL_CALL_STOP:
		stop_ended(turn, attempt, taken);
		break;
	case WL_CALL_ACK:
		ack_ended(turn, attempt, taken);
		break;
	case WL_CALL_THROTTLE:
		if (taken || (fetched->sent && !refused(fetched)))
			wl_attempt_throttled(turn, attempt, call->cpu_permille, taken != NULL);
		break;
	default:
		break;
	}
}
