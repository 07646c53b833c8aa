/* One target granted to this entry: its state chart, its timers, grant and release. */

#include "internal.h"

#include <stdio.h>
#include <stdlib.h>

#define GONE_POLL_MS 200
#define MIN_DELAY_NS 1000000

const char *const wl_target_state_names[] = {
	"unadopted", "adopting", "ready", "silent", "leaving", "aside", "gone", NULL,
};

static const char *const event_names[] = {
	"heard", "adopted", "reboot", "silence", "leave", "stay",
	"fail",	 "probe",   "grant",  "moved",	 NULL,
};

static void action_admit(void *subject)
{
	((wl_owned_target_t *)subject)->admitted = true;
}

static void action_close(void *subject)
{
	((wl_owned_target_t *)subject)->admitted = false;
}

static const wl_chart_action_binding_t actions[] = {
	{"admit", action_admit},
	{"close", action_close},
};

const wl_chart_binding_t wl_target_chart_binding = {
	.name = "target",
	.states = wl_target_state_names,
	.events = event_names,
	.actions = actions,
	.action_count = sizeof(actions) / sizeof(actions[0]),
};

static void state_count(wl_owner_t *owner, uint64_t state, bool more)
{
	char labels[64];

	owner->states[state] += more ? 1 : -1;
	snprintf(labels, sizeof(labels), "state=\"%s\"", wl_target_state_names[state]);
	wl_metrics_set(owner->options.metrics, "wisterialead_owned_targets", labels,
		       owner->states[state]);
}

/*
 * wl_owned_handle_event - apply an event of the state chart to a target
 */
void wl_owned_handle_event(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			   wl_target_event_t event)
{
	uint64_t before = owned->target->state;

	wl_chart_step(ctx->owner->options.chart, &owned->target->state, event, owned);
	if (owned->target->state == before)
		return;
	state_count(ctx->owner, before, false);
	state_count(ctx->owner, owned->target->state, true);
	wl_out_log(ctx->out, WL_INFO, "target",
		   "target=" WL_STR_FMT " state=%s was=%s epoch=%llu boot=%llu",
		   WL_STR_ARG(owned->key), wl_target_state_names[owned->target->state],
		   wl_target_state_names[before], (unsigned long long)owned->target->epoch,
		   (unsigned long long)owned->target->boot);
	wl_owned_sync_ledger(ctx, owned);
	wl_owned_schedule_now(ctx, owned);
}

/*
 * wl_owned_sync_ledger - update capacity and openness of a target in the ledger
 */
void wl_owned_sync_ledger(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_ledger_t *ledger = ctx->owner->options.ledger;
	wl_target_t *target = owned->target;
	wl_need_t capacity = owned->capacity;

	/*
	 * While a target is probed after a quarantine, it gets one piece of work at a
	 * time: one is enough to show whether it works again.
	 */
	if (owned->health.probing && capacity.slots > target->reserved.slots + 1)
		capacity.slots = target->reserved.slots + 1;
	wl_ledger_set_capacity(ledger, target, &capacity);
	wl_ledger_set_open(ledger, target,
			   owned->admitted && !owned->overloaded &&
				   wl_owned_may_command(owned, ctx->now_ns));
}

static void row_copy(wl_owned_target_t *owned, const wl_owner_row_t *row)
{
	wl_target_t *target = owned->target;
	const wl_buf_t *services = row->services.items;

	if (target->address.len == 0)
		wl_buf_set(&target->address, wl_buf_str(&row->address));
	if (target->availability_zone.len == 0)
		wl_buf_set(&target->availability_zone, wl_buf_str(&row->availability_zone));
	if (target->rack.len == 0)
		wl_buf_set(&target->rack, wl_buf_str(&row->rack));
	for (size_t i = 0; target->services.count == 0 && i < row->services.count; i++)
		wl_strings_add(&target->services, wl_buf_str(&services[i]));

	wl_list_free(&wl_assignment_schema, &owned->assigned);
	for (size_t i = 0; i < row->running.count; i++)
		wl_record_copy(&wl_assignment_schema,
			       wl_list_add(&wl_assignment_schema, &owned->assigned),
			       (const wl_assignment_t *)row->running.items + i);
}

/*
 * wl_owned_add - add a target that was granted to this entry
 * @row: the grant
 */
wl_owned_target_t *wl_owned_add(const wl_owner_ctx_t *ctx, const wl_owner_row_t *row)
{
	wl_owner_t *owner = ctx->owner;
	wl_owned_target_t *owned = wl_alloc(sizeof(*owned));

	owned->owner = owner;
	owned->target = wl_ledger_add(owner->options.ledger, wl_buf_str(&row->target), row->epoch);
	owned->target->state = wl_chart_initial(owner->options.chart);
	owned->key = owned->target->key;
	owned->due.owner = owned;
	owned->session = row->session;
	owned->granted_ns = ctx->now_ns;
	TAILQ_INIT(&owned->attempts);
	TAILQ_INSERT_TAIL(&owner->owned, owned, link);
	wl_map_put(&owner->by_name, owned);
	row_copy(owned, row);
	state_count(owner, owned->target->state, true);
	wl_out_log(ctx->out, WL_INFO, "target-granted", "target=" WL_STR_FMT " epoch=%llu",
		   WL_STR_ARG(owned->key), (unsigned long long)row->epoch);
	wl_owned_schedule_now(ctx, owned);
	return owned;
}

/* No command about the attempt can be in flight or have reached the target. */
static bool never_sent(const wl_attempt_t *attempt)
{
	return attempt->phase == WL_ATTEMPT_WAITING ||
	       (attempt->phase == WL_ATTEMPT_STARTING && !attempt->uncertain && !attempt->call_id);
}

/*
 * Attempts that were sent are released without a report: the adoption under the
 * new epoch, or by the new owner, finds out whether they run.
 */
static void attempts_drop(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, target_link);
		if (never_sent(attempt))
			wl_attempt_end(ctx, attempt, WL_REPORT_REFUSED,
				       WL_STR("the target changed owners"));
		else if (attempt->phase < WL_ATTEMPT_ENDED)
			wl_attempt_free(ctx->owner, attempt);
	}
}

/*
 * wl_owned_grant - take over a known target under a new epoch or session
 * @row: the grant
 */
void wl_owned_grant(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned, const wl_owner_row_t *row)
{
	wl_owned_handle_event(ctx, owned, WL_TARGET_GRANT);
	attempts_drop(ctx, owned);
	wl_owned_set_inherited(owned, 0);
	owned->target->epoch = row->epoch;
	owned->session = row->session;
	owned->granted_ns = ctx->now_ns;
	owned->adopted_boot = 0;
	owned->adopt_call_id = 0;
	owned->adopt_next_ns = ctx->now_ns;
	owned->adopt_retries = 0;
	owned->renew_call_id = 0;
	owned->leases_ended = false;
	owned->overloaded = false;
	row_copy(owned, row);
	if (owned->target->seq)
		wl_owned_handle_event(ctx, owned, WL_TARGET_ANNOUNCED);
	wl_owned_schedule_now(ctx, owned);
}

/*
 * wl_owned_revoke - stop using a target that this entry no longer owns
 *
 * It stays in the ledger until the requests of this entry on it have ended.
 */
void wl_owned_revoke(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	if (owned->target->state == WL_TARGET_GONE)
		return;
	wl_owned_handle_event(ctx, owned, WL_TARGET_MOVED);
	attempts_drop(ctx, owned);
	wl_owned_set_inherited(owned, 0);
	wl_owned_schedule_now(ctx, owned);
}

/*
 * wl_owned_free - release a target; its ended attempts stay until their reports are committed
 */
void wl_owned_free(wl_owner_t *owner, wl_owned_target_t *owned)
{
	wl_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&owned->attempts))) {
		if (attempt->phase == WL_ATTEMPT_ENDED)
			wl_attempt_detach(attempt);
		else
			wl_attempt_free(owner, attempt);
	}
	state_count(owner, owned->target->state, false);
	wl_heap_remove(&owner->due, &owned->due);
	wl_map_remove(&owner->by_name, owned->key);
	TAILQ_REMOVE(&owner->owned, owned, link);
	wl_list_free(&wl_assignment_schema, &owned->assigned);
	wl_record_free(&wl_offer_row_schema, &owned->offered);
	wl_buf_free(&owned->last_service);
	wl_ledger_remove(owner->options.ledger, owned->target);
	free(owned);
}

static uint64_t silence_deadline_ns(const wl_owned_target_t *owned)
{
	switch ((wl_target_state_t)owned->target->state) {
	case WL_TARGET_ADOPTING:
	case WL_TARGET_READY:
	case WL_TARGET_LEAVING:
	case WL_TARGET_QUARANTINED:
		return owned->target->last_announce_ns +
		       owned->owner->options.silence_ms * WL_NS_PER_MS;
	default:
		return WL_NEVER_NS;
	}
}

static uint64_t earliest(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t next_renewal_ns(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned)
{
	if (owned->renew_call_id || owned->renew_seq >= owned->target->seq ||
	    TAILQ_EMPTY(&owned->attempts) || !wl_owned_may_renew(owned, ctx->now_ns))
		return WL_NEVER_NS;
	return owned->renew_next_ns;
}

static uint64_t next_attempt_ns(const wl_owned_target_t *owned)
{
	uint64_t at_ns = WL_NEVER_NS;
	const wl_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link)
		if (!attempt->call_id)
			at_ns = earliest(at_ns, attempt->next_ns);
	return at_ns;
}

static uint64_t next_due_ns(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned)
{
	uint64_t at_ns = earliest(silence_deadline_ns(owned), next_renewal_ns(ctx, owned));

	if (owned->target->state == WL_TARGET_GONE)
		return ctx->now_ns + GONE_POLL_MS * (uint64_t)WL_NS_PER_MS;
	if (wl_owned_may_command(owned, ctx->now_ns)) {
		at_ns = earliest(at_ns, next_attempt_ns(owned));
		if (owned->target->state == WL_TARGET_ADOPTING && !owned->adopt_call_id)
			at_ns = earliest(at_ns, owned->adopt_next_ns);
		if (owned->target->state == WL_TARGET_QUARANTINED)
			at_ns = earliest(at_ns, owned->health.quarantined_until_ns);
		if (!owned->leases_ended &&
		    (!TAILQ_EMPTY(&owned->attempts) || owned->assigned.count))
			at_ns = earliest(at_ns, wl_owned_leases_end_ns(owned));
		at_ns = earliest(at_ns, wl_owned_unthrottle_ns(owned));
	}
	if (at_ns == WL_NEVER_NS)
		return at_ns;
	return at_ns > ctx->now_ns ? at_ns : ctx->now_ns + MIN_DELAY_NS;
}

/*
 * wl_owned_run - do what is due for a target, and schedule the next run
 */
void wl_owned_run(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	if (owned->target->state == WL_TARGET_GONE && owned->target->running_requests == 0) {
		wl_owned_free(ctx->owner, owned);
		return;
	}
	if (!wl_view_owner(ctx->owner->options.view, owned->key))
		wl_owned_revoke(ctx, owned); /* the group no longer lists it */
	if (ctx->now_ns >= silence_deadline_ns(owned))
		wl_owned_handle_event(ctx, owned, WL_TARGET_SILENCE);
	wl_owned_check_leases(ctx, owned);
	if (owned->target->state == WL_TARGET_ADOPTING)
		wl_owned_adopt(ctx, owned);
	if (wl_health_probe(&owned->health, ctx->now_ns))
		wl_owned_handle_event(ctx, owned, WL_TARGET_PROBE);
	wl_owned_renew_leases(ctx, owned);
	wl_owned_relieve_overload(ctx, owned);
	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, target_link);
		wl_attempt_run(ctx, attempt);
	}
	uint64_t at_ns = next_due_ns(ctx, owned);

	if (at_ns == WL_NEVER_NS)
		wl_heap_remove(&ctx->owner->due, &owned->due);
	else
		wl_heap_put(&ctx->owner->due, &owned->due, at_ns);
}
