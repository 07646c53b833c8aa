/* Attempts of tasks on this entry's targets: lookup, phases, reservations and release. */

#include "internal.h"

#include <stdlib.h>

/* How long a closed attempt is kept to answer repeated assignments. */
#define CLOSED_RETENTION_MS 300000

static void key_print(wl_buf_t *key, wl_str_t task, uint64_t number)
{
	wl_buf_printf(key, WL_STR_FMT "/%llu", WL_STR_ARG(task), (unsigned long long)number);
}

/*
 * wl_attempt_find - the attempt with a task's id and a number, or NULL
 */
wl_attempt_t *wl_attempt_find(const wl_owner_t *owner, wl_str_t task, uint64_t number)
{
	wl_buf_t key = {0};
	wl_attempt_t *attempt;

	key_print(&key, task, number);
	attempt = wl_map_get(&owner->attempts, wl_buf_str(&key));
	wl_buf_free(&key);
	return attempt;
}

/*
 * wl_attempt_add - add a new attempt
 * @owned: target that it is to run on; NULL: none of this entry's
 */
wl_attempt_t *wl_attempt_add(wl_owner_t *owner, wl_owned_target_t *owned, wl_str_t task,
			     uint64_t number)
{
	wl_attempt_t *attempt = wl_alloc(sizeof(*attempt));

	key_print(&attempt->key_text, task, number);
	attempt->key = wl_buf_str(&attempt->key_text);
	wl_buf_set(&attempt->task, task);
	attempt->number = number;
	attempt->next_ns = WL_NEVER_NS;
	attempt->owned = owned;
	wl_map_put(&owner->attempts, attempt);
	if (!owned)
		return attempt;
	wl_buf_set(&attempt->target, owned->key);
	attempt->epoch = owned->target->epoch;
	TAILQ_INSERT_TAIL(&owned->attempts, attempt, target_link);
	return attempt;
}

/* Sums up the reservations of batch attempts on a target that may be evicted. */
static void update_evictable(wl_owned_target_t *owned)
{
	const wl_attempt_t *attempt;

	owned->target->evictable = (wl_need_t){0};
	TAILQ_FOREACH (attempt, &owned->attempts, target_link)
		if (attempt->phase == WL_ATTEMPT_RUNNING && attempt->restartable &&
		    attempt->work_class == WL_CLASS_BATCH)
			wl_need_add(&owned->target->evictable, &attempt->reserved);
}

/*
 * wl_attempt_enter - change the phase of an attempt; it is due at once
 */
void wl_attempt_enter(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, wl_attempt_phase_t phase)
{
	attempt->phase = phase;
	attempt->phase_since_ns = ctx->now_ns;
	attempt->next_ns = ctx->now_ns;
	attempt->retries = 0;
	attempt->call_id = 0;
	if (!attempt->owned)
		return;
	update_evictable(attempt->owned);
	wl_owned_schedule_now(ctx, attempt->owned);
}

/*
 * wl_attempt_set_reserved - replace what the ledger reserves for an attempt
 */
void wl_attempt_set_reserved(wl_attempt_t *attempt, const wl_need_t *need)
{
	wl_ledger_t *ledger;

	if (!attempt->owned)
		return;
	ledger = attempt->owned->owner->options.ledger;
	wl_ledger_subtract_reserved(ledger, attempt->owned->target, &attempt->reserved);
	attempt->reserved = *need;
	wl_ledger_add_reserved(ledger, attempt->owned->target, &attempt->reserved);
	update_evictable(attempt->owned);
}

/*
 * wl_attempt_release - release the whole reservation of an attempt
 */
void wl_attempt_release(wl_attempt_t *attempt)
{
	wl_need_t none = {0};

	wl_attempt_set_reserved(attempt, &none);
}

/*
 * wl_attempt_detach - remove an attempt from its target, where it no longer runs
 */
void wl_attempt_detach(wl_attempt_t *attempt)
{
	wl_owned_target_t *owned = attempt->owned;

	if (!owned)
		return;
	wl_attempt_release(attempt);
	TAILQ_REMOVE(&owned->attempts, attempt, target_link);
	attempt->owned = NULL;
	update_evictable(owned);
}

static void assign_free(wl_attempt_t *attempt)
{
	if (!attempt->assign)
		return;
	wl_record_free(&wl_msg_assign_schema, attempt->assign);
	free(attempt->assign);
	attempt->assign = NULL;
}

/*
 * wl_attempt_free - release an attempt
 */
void wl_attempt_free(wl_owner_t *owner, wl_attempt_t *attempt)
{
	wl_attempt_detach(attempt);
	if (attempt->report_pending)
		TAILQ_REMOVE(&owner->reports, attempt, report_link);
	if (attempt->phase == WL_ATTEMPT_CLOSED)
		TAILQ_REMOVE(&owner->closed, attempt, closed_link);
	wl_map_remove(&owner->attempts, attempt->key);
	assign_free(attempt);
	wl_buf_free(&attempt->key_text);
	wl_buf_free(&attempt->task);
	wl_buf_free(&attempt->target);
	wl_buf_free(&attempt->kind);
	wl_buf_free(&attempt->result);
	wl_buf_free(&attempt->checkpoint);
	wl_record_free(&wl_report_schema, &attempt->report);
	free(attempt);
}

/*
 * wl_attempt_close - release an attempt's data, but keep its name to answer
 * repeated assignments
 */
void wl_attempt_close(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt)
{
	wl_attempt_detach(attempt);
	assign_free(attempt);
	wl_buf_free(&attempt->result);
	wl_buf_free(&attempt->checkpoint);
	wl_buf_free(&attempt->report.result);
	wl_buf_free(&attempt->report.checkpoint);
	wl_attempt_enter(ctx, attempt, WL_ATTEMPT_CLOSED);
	TAILQ_INSERT_TAIL(&ctx->owner->closed, attempt, closed_link);
}

/*
 * wl_attempt_end - end an attempt that certainly no longer runs, and report it
 * @kind: how it ended
 * @reason: for the report
 */
void wl_attempt_end(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, wl_report_kind_t kind,
		    wl_str_t reason)
{
	wl_attempt_release(attempt);
	wl_attempt_enter(ctx, attempt, WL_ATTEMPT_ENDED);
	attempt->next_ns = WL_NEVER_NS;
	if (kind == WL_REPORT_LOST)
		wl_metrics_add(ctx->owner->options.metrics, "wisterialead_attempts_lost_total", "",
			       1);
	wl_attempt_report(ctx, attempt, kind, reason);
	assign_free(attempt);
}

/*
 * wl_owner_expire_closed - release attempts that were closed CLOSED_RETENTION_MS ago
 */
void wl_owner_expire_closed(const wl_owner_ctx_t *ctx)
{
	uint64_t retention_ns = CLOSED_RETENTION_MS * (uint64_t)WL_NS_PER_MS;
	wl_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&ctx->owner->closed)) &&
	       attempt->phase_since_ns + retention_ns < ctx->now_ns)
		wl_attempt_free(ctx->owner, attempt);
}
