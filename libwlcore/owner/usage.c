/* Usage that targets report of their work, and the leases that keep it running. */

#include "internal.h"

/* A target refuses a start that echoes an announce so many numbers before the newest one. */
#define SEQ_WINDOW 3

/* The ledger reserves the larger of the declared size and the usage. */
static void update_reserved(wl_attempt_t *attempt, const wl_task_usage_t *usage)
{
	wl_need_t reserved = attempt->need;

	if (attempt->throttled)
		reserved.cpu_millis = reserved.cpu_millis * WL_THROTTLE_PERMILLE / 1000;
	if (usage->cpu_millis > reserved.cpu_millis)
		reserved.cpu_millis = usage->cpu_millis;
	if (usage->memory_mib > reserved.memory_mib)
		reserved.memory_mib = usage->memory_mib;
	if (reserved.cpu_millis != attempt->reserved.cpu_millis ||
	    reserved.memory_mib != attempt->reserved.memory_mib ||
	    reserved.slots != attempt->reserved.slots)
		wl_attempt_set_reserved(attempt, &reserved);
}

/* An adopted attempt: the target reports the need that its first owner reserved. */
static void adopt_attempt(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			  const wl_task_usage_t *usage)
{
	wl_buf_set(&attempt->kind, wl_buf_str(&usage->kind));
	attempt->work_class = usage->work_class;
	attempt->restartable = usage->restartable;
	attempt->need = usage->need;
	if (attempt->need.slots == 0)
		attempt->need.slots = 1;
	attempt->started = true;
	if (usage->state == WL_RUN_RUNNING)
		wl_attempt_report(ctx, attempt, WL_REPORT_STARTED, WL_STR("adopted"));
}

static void update_running(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			   const wl_task_usage_t *usage)
{
	if (attempt->phase == WL_ATTEMPT_STARTING)
		wl_attempt_started(ctx, attempt);
	if (attempt->kind.len == 0)
		adopt_attempt(ctx, attempt, usage);
	wl_attempt_update_throttled(ctx, attempt, usage->throttled);
	update_reserved(attempt, usage);
	if (usage->slowdown_permille)
		attempt->slowdown_permille = usage->slowdown_permille;
}

/*
 * wl_attempt_update - apply what the target reports of an attempt
 */
void wl_attempt_update(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
		       const wl_task_usage_t *usage)
{
	if (attempt->phase >= WL_ATTEMPT_ENDED)
		return;
	attempt->progress_permille = usage->progress_permille;
	attempt->ran_ms = usage->ran_ms;
	if (usage->cpu_millis > attempt->peak_cpu_millis)
		attempt->peak_cpu_millis = usage->cpu_millis;
	if (usage->memory_mib > attempt->peak_memory_mib)
		attempt->peak_memory_mib = usage->memory_mib;
	if (usage->checkpoint.len &&
	    !wl_str_equal(wl_buf_str(&usage->checkpoint), wl_buf_str(&attempt->checkpoint))) {
		wl_buf_set(&attempt->checkpoint, wl_buf_str(&usage->checkpoint));
		attempt->checkpoint_ran_ms = usage->ran_ms;
	}

	switch ((wl_run_state_t)usage->state) {
	case WL_RUN_RUNNING:
		update_running(ctx, attempt, usage);
		return;
	case WL_RUN_FINISHED:
		wl_buf_set(&attempt->result, wl_buf_str(&usage->result));
		wl_owned_record_outcome(ctx, attempt->owned, wl_buf_str(&usage->kind), true);
		wl_attempt_end(ctx, attempt, WL_REPORT_FINISHED, WL_STR(""));
		return;
	case WL_RUN_FAILED:
		wl_owned_record_outcome(ctx, attempt->owned, wl_buf_str(&usage->kind), false);
		wl_attempt_end(ctx, attempt, WL_REPORT_FAILED, wl_buf_str(&usage->reason));
		return;
	case WL_RUN_STOPPED:
		wl_attempt_end(ctx, attempt, WL_REPORT_STOPPED, WL_STR("stopped"));
		return;
	}
}

/* Work that is not assigned to the target: it is stopped, or its end is acknowledged. */
static void handle_unknown(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			   const wl_task_usage_t *usage)
{
	if (!wl_owned_may_command(owned, ctx->now_ns) ||
	    owned->target->state == WL_TARGET_UNADOPTED)
		return;
	wl_out_log(ctx->out, WL_WARN, "stranger",
		   "target=" WL_STR_FMT " task=" WL_STR_FMT " attempt=%llu state=%s",
		   WL_STR_ARG(owned->key), WL_STR_ARG(wl_buf_str(&usage->id)),
		   (unsigned long long)usage->attempt, wl_run_state_names[usage->state]);
	wl_owned_command_unassigned(ctx, owned,
				    usage->state == WL_RUN_RUNNING ? WL_CALL_STOP : WL_CALL_ACK,
				    wl_buf_str(&usage->id), usage->attempt);
}

/*
 * The announce with number seq does not list the attempt, and a start that is
 * still in flight echoes an announce too old to be accepted: the attempt does
 * not run and will not start.
 */
static bool no_longer_listed(const wl_attempt_t *attempt, uint64_t seq)
{
	return attempt->phase > WL_ATTEMPT_WAITING && attempt->phase < WL_ATTEMPT_ENDED &&
	       !attempt->call_id && attempt->listed_seq < seq &&
	       attempt->echoed_seq + SEQ_WINDOW < seq && (attempt->started || attempt->uncertain);
}

static void check_no_longer_listed(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
				   uint64_t seq)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, target_link);
		if (!no_longer_listed(attempt, seq))
			continue;
		if (attempt->started)
			wl_attempt_end(ctx, attempt, WL_REPORT_LOST,
				       WL_STR("the target does not list it any more"));
		else
			wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED, WL_STR("never started"));
	}
}

/* Learns how kinds on a target slow each other down, and averages the target's slowdown. */
static void learn_pairs(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_pairs_t *pairs = &ctx->owner->pairs;
	const wl_attempt_t *a;
	const wl_attempt_t *b;
	uint64_t sum = 0;
	uint64_t count = 0;

	TAILQ_FOREACH (a, &owned->attempts, target_link) {
		if (a->phase != WL_ATTEMPT_RUNNING || !a->slowdown_permille)
			continue;
		sum += a->slowdown_permille;
		count++;
		TAILQ_FOREACH (b, &owned->attempts, target_link)
			if (a != b && b->phase == WL_ATTEMPT_RUNNING)
				wl_pairs_learn(pairs, wl_buf_str(&a->kind), wl_buf_str(&b->kind),
					       a->slowdown_permille, ctx->now_ns);
		if (wl_owned_serves_requests(owned, ctx->now_ns)) {
			wl_pairs_learn(pairs, wl_buf_str(&a->kind),
				       wl_buf_str(&owned->last_service), a->slowdown_permille,
				       ctx->now_ns);
			wl_pairs_learn(pairs, wl_buf_str(&owned->last_service),
				       wl_buf_str(&a->kind), owned->request_slowdown_permille,
				       ctx->now_ns);
		}
	}
	if (wl_owned_serves_requests(owned, ctx->now_ns)) {
		sum += owned->request_slowdown_permille;
		count++;
	}
	owned->target->slowdown_permille = count ? sum / count : 1000;
}

/*
 * wl_owned_update_attempts - apply a target's list of work that runs, or whose results it keeps
 * @tasks: wl_task_usage_t
 * @seq: number of the announce that lists them
 */
void wl_owned_update_attempts(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			      const wl_list_t *tasks, uint64_t seq)
{
	const wl_task_usage_t *usages = tasks->items;

	for (size_t i = 0; i < tasks->count; i++) {
		wl_attempt_t *attempt =
			wl_attempt_find(ctx->owner, wl_buf_str(&usages[i].id), usages[i].attempt);

		if (!attempt || attempt->owned != owned) {
			handle_unknown(ctx, owned, &usages[i]);
			continue;
		}
		attempt->listed_seq = seq;
		wl_attempt_update(ctx, attempt, &usages[i]);
	}
	check_no_longer_listed(ctx, owned, seq);
	learn_pairs(ctx, owned);
}

static bool leased(const wl_attempt_t *attempt)
{
	return attempt->started && attempt->phase < WL_ATTEMPT_ENDED;
}

/*
 * wl_owned_renew_leases - renew all leases on a target, when a newer announce has arrived
 */
void wl_owned_renew_leases(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	const wl_owner_options_t *options = &ctx->owner->options;
	wl_target_command_t command = {.lease_ms = options->lease_ms};
	const wl_attempt_t *attempt;

	if (owned->renew_call_id || ctx->now_ns < owned->renew_next_ns ||
	    owned->target->seq <= owned->renew_seq || owned->adopted_boot != owned->target->boot ||
	    !wl_owned_may_renew(owned, ctx->now_ns))
		return;
	TAILQ_FOREACH (attempt, &owned->attempts, target_link) {
		wl_target_lease_t *lease;

		if (!leased(attempt))
			continue;
		lease = wl_list_add(&wl_target_lease_schema, &command.leases);
		wl_buf_set(&lease->task, wl_buf_str(&attempt->task));
		lease->attempt = attempt->number;
	}
	if (command.leases.count == 0)
		return;
	owned->renew_seq = owned->target->seq;
	owned->renew_next_ns = ctx->now_ns + options->lease_ms * WL_NS_PER_MS / 3;
	owned->renew_call_id = wl_owned_send_command(ctx, owned, WL_CALL_RENEW, NULL, &command);
}
