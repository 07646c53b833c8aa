/* One target of this entry: its chart, what is due for it, its beginning and end. */

#include "internal.h"

#include <stdio.h>
#include <stdlib.h>

#define GONE_POLL_MS   200
#define LEAST_PAUSE_NS 1000000

const char *const wl_target_state_names[] = {
	"unadopted", "adopting", "ready", "silent", "leaving", "aside", "gone", NULL,
};

static const char *const event_names[] = {
	"heard", "adopted", "reboot", "silence", "leave", "stay",
	"fail",	 "probe",   "grant",  "moved",	 NULL,
};

static void action_admit(void *subject)
{
	((wl_owned_t *)subject)->admitted = true;
}

static void action_close(void *subject)
{
	((wl_owned_t *)subject)->admitted = false;
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
 * wl_owned_event - let an event of the chart happen to a target
 */
void wl_owned_event(const wl_turn_t *turn, wl_owned_t *owned, wl_target_event_t event)
{
	uint64_t before = owned->target->state;

	wl_chart_step(turn->owner->options.chart, &owned->target->state, event, owned);
	if (owned->target->state == before)
		return;
	state_count(turn->owner, before, false);
	state_count(turn->owner, owned->target->state, true);
	wl_out_log(turn->out, WL_INFO, "target",
		   "target=" WL_STR_FMT " state=%s was=%s epoch=%llu boot=%llu",
		   WL_STR_ARG(owned->key), wl_target_state_names[owned->target->state],
		   wl_target_state_names[before], (unsigned long long)owned->target->epoch,
		   (unsigned long long)owned->target->boot);
	wl_owned_settle(turn, owned);
	wl_owned_touch(turn, owned);
}

/*
 * wl_owned_settle - open or close a target in the ledger by all that bears on it
 */
void wl_owned_settle(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_ledger_t *ledger = turn->owner->options.ledger;
	wl_target_t *target = owned->target;
	wl_need_t capacity = owned->capacity;

	/* One piece of work at a time shows whether a target that failed works again. */
	if (owned->health.probing && capacity.slots > target->reserved.slots + 1)
		capacity.slots = target->reserved.slots + 1;
	wl_ledger_resize(ledger, target, &capacity);
	wl_ledger_open(ledger, target,
		       owned->admitted && !owned->overloaded && wl_owned_mine(owned, turn->now_ns));
}

static void row_copy(wl_owned_t *owned, const wl_owner_row_t *row)
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
 * wl_owned_add - take a target in that this entry was granted
 */
wl_owned_t *wl_owned_add(const wl_turn_t *turn, const wl_owner_row_t *row)
{
	wl_owner_t *owner = turn->owner;
	wl_owned_t *owned = wl_alloc(sizeof(*owned));

	owned->owner = owner;
	owned->target = wl_ledger_add(owner->options.ledger, wl_buf_str(&row->target), row->epoch);
	owned->target->state = wl_chart_initial(owner->options.chart);
	owned->key = owned->target->key;
	owned->due.owner = owned;
	owned->session = row->session;
	owned->granted_ns = turn->now_ns;
	TAILQ_INIT(&owned->attempts);
	TAILQ_INSERT_TAIL(&owner->owned, owned, link);
	wl_map_put(&owner->by_name, owned);
	row_copy(owned, row);
	state_count(owner, owned->target->state, true);
	wl_out_log(turn->out, WL_INFO, "target-granted", "target=" WL_STR_FMT " epoch=%llu",
		   WL_STR_ARG(owned->key), (unsigned long long)row->epoch);
	wl_owned_touch(turn, owned);
	return owned;
}

/* Nothing of it can be on its way to the target. */
static bool never_sent(const wl_attempt_t *attempt)
{
	return attempt->phase == WL_ATTEMPT_WAITING ||
	       (attempt->phase == WL_ATTEMPT_STARTING && !attempt->uncertain && !attempt->call);
}

/* Attempts whose end is not known are found again by the adoption, or by their new owner. */
static void attempts_drop(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, of_target);
		if (never_sent(attempt))
			wl_attempt_end(turn, attempt, WL_REPORT_REFUSED,
				       WL_STR("the target changed owners"));
		else if (attempt->phase < WL_ATTEMPT_ENDED)
			wl_attempt_free(turn->owner, attempt);
	}
}

/*
 * wl_owned_grant - go on with a target under a new epoch
 */
void wl_owned_grant(const wl_turn_t *turn, wl_owned_t *owned, const wl_owner_row_t *row)
{
	wl_owned_event(turn, owned, WL_TARGET_GRANT);
	attempts_drop(turn, owned);
	wl_owned_earlier(owned, 0);
	owned->target->epoch = row->epoch;
	owned->session = row->session;
	owned->granted_ns = turn->now_ns;
	owned->adopted_boot = 0;
	owned->adopt_call = 0;
	owned->adopt_next_ns = turn->now_ns;
	owned->adopt_tries = 0;
	owned->renew_call = 0;
	owned->lost = false;
	owned->overloaded = false;
	row_copy(owned, row);
	if (owned->target->seq)
		wl_owned_event(turn, owned, WL_TARGET_HEARD);
	wl_owned_touch(turn, owned);
}

/*
 * wl_owned_move - give a target up that is another entry's now
 *
 * It leaves the ledger once the requests of this entry there have ended.
 */
void wl_owned_move(const wl_turn_t *turn, wl_owned_t *owned)
{
	if (owned->target->state == WL_TARGET_GONE)
		return;
	wl_owned_event(turn, owned, WL_TARGET_MOVED);
	attempts_drop(turn, owned);
	wl_owned_earlier(owned, 0);
	wl_owned_touch(turn, owned);
}

/*
 * wl_owned_free - forget a target; its attempts with reports to be committed stay
 */
void wl_owned_free(wl_owner_t *owner, wl_owned_t *owned)
{
	wl_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&owned->attempts))) {
		if (attempt->phase == WL_ATTEMPT_ENDED)
			wl_attempt_leave(attempt);
		else
			wl_attempt_free(owner, attempt);
	}
	state_count(owner, owned->target->state, false);
	wl_heap_remove(&owner->due, &owned->due);
	wl_map_remove(&owner->by_name, owned->key);
	TAILQ_REMOVE(&owner->owned, owned, link);
	wl_list_free(&wl_assignment_schema, &owned->assigned);
	wl_record_free(&wl_offer_row_schema, &owned->offered);
	wl_buf_free(&owned->served);
	wl_ledger_remove(owner->options.ledger, owned->target);
	free(owned);
}

static uint64_t silence_at(const wl_owned_t *owned)
{
	switch ((wl_target_state_t)owned->target->state) {
	case WL_TARGET_ADOPTING:
	case WL_TARGET_READY:
	case WL_TARGET_LEAVING:
	case WL_TARGET_ASIDE:
		return owned->target->heard_ns + owned->owner->options.silence_ms * WL_NS_PER_MS;
	default:
		return WL_NEVER_NS;
	}
}

static uint64_t earliest(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t renew_at(const wl_turn_t *turn, const wl_owned_t *owned)
{
	if (owned->renew_call || owned->renew_seq >= owned->target->seq ||
	    TAILQ_EMPTY(&owned->attempts) || !wl_owned_may_renew(owned, turn->now_ns))
		return WL_NEVER_NS;
	return owned->renew_next_ns;
}

static uint64_t attempts_at(const wl_owned_t *owned)
{
	uint64_t at_ns = WL_NEVER_NS;
	const wl_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target)
		if (!attempt->call)
			at_ns = earliest(at_ns, attempt->next_ns);
	return at_ns;
}

static uint64_t next_due(const wl_turn_t *turn, const wl_owned_t *owned)
{
	uint64_t at_ns = earliest(silence_at(owned), renew_at(turn, owned));

	if (owned->target->state == WL_TARGET_GONE)
		return turn->now_ns + GONE_POLL_MS * (uint64_t)WL_NS_PER_MS;
	if (wl_owned_mine(owned, turn->now_ns)) {
		at_ns = earliest(at_ns, attempts_at(owned));
		if (owned->target->state == WL_TARGET_ADOPTING && !owned->adopt_call)
			at_ns = earliest(at_ns, owned->adopt_next_ns);
		if (owned->target->state == WL_TARGET_ASIDE)
			at_ns = earliest(at_ns, owned->health.until_ns);
		if (!owned->lost && (!TAILQ_EMPTY(&owned->attempts) || owned->assigned.count))
			at_ns = earliest(at_ns, wl_owned_reach_ns(owned));
		at_ns = earliest(at_ns, wl_owned_relieve_ns(owned));
	}
	if (at_ns == WL_NEVER_NS)
		return at_ns;
	return at_ns > turn->now_ns ? at_ns : turn->now_ns + LEAST_PAUSE_NS;
}

/*
 * wl_owned_run - do what is due for a target, and plan when to look again
 */
void wl_owned_run(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_attempt_t *attempt;
	wl_attempt_t *next;

	if (owned->target->state == WL_TARGET_GONE && owned->target->running_requests == 0) {
		wl_owned_free(turn->owner, owned);
		return;
	}
	if (!wl_view_owner(turn->owner->options.view, owned->key))
		wl_owned_move(turn, owned); /* the group has forgotten it */
	if (turn->now_ns >= silence_at(owned))
		wl_owned_event(turn, owned, WL_TARGET_SILENCE);
	wl_owned_reach(turn, owned);
	if (owned->target->state == WL_TARGET_ADOPTING)
		wl_owned_adopt(turn, owned);
	if (wl_health_probe(&owned->health, turn->now_ns))
		wl_owned_event(turn, owned, WL_TARGET_PROBE);
	wl_owned_renew(turn, owned);
	wl_owned_relieve(turn, owned);
	for (attempt = TAILQ_FIRST(&owned->attempts); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, of_target);
		wl_attempt_run(turn, attempt);
	}
	uint64_t at_ns = next_due(turn, owned);

	if (at_ns == WL_NEVER_NS)
		wl_heap_remove(&turn->owner->due, &owned->due);
	else
		wl_heap_put(&turn->owner->due, &owned->due, at_ns);
}
