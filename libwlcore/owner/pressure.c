/*
 * Capacity for urgent work: batch work is throttled first, and evicted where that
 * does not suffice.
 *
 * Pressure is a shortage of capacity: urgent work of a service is waiting and no
 * target of the service has capacity for it.
 *
 * Usage reports lag behind.  No second action is taken on a target before a
 * usage report arrives that was measured after the first action.
 */

#include "internal.h"

#include <stdlib.h>

#define ACTION_INTERVAL_MS	    250	   /* between actions for one service */
#define PRESSURE_EXPIRES_MS	    1000   /* pressure is new after a gap of this length */
#define EVICT_AFTER_MS		    1000   /* of pressure that throttling did not end */
#define UNTHROTTLE_AFTER_MS	    3000   /* time without pressure that lifts throttles */
#define BATCH_BLOCKED_MS	    1000   /* after pressure no batch work is started */
#define SLOT_REGAIN_MIN_MS	    4000   /* time without pressure that regains one slot */
#define SLOT_REGAIN_MAX_MS	    8000   /* the same after repeated evictions */
#define EVICTION_EXPIRES_MS	    120000 /* older evictions do not count as repeated */
#define SLOWDOWN_THRESHOLD_PERMILLE 1500   /* slowdown of requests that throttling may reduce */
#define USAGE_MARGIN_MS		    50 /* time in transit, which the age of usage does not include */
#define FULL_PERMILLE		    1000

/* Pressure on one service: urgent work of it waits, as no capacity is free. */
typedef struct wl_pressure {
	wl_str_t key;
	wl_buf_t name;
	uint64_t first_ns;
	uint64_t last_ns;
	uint64_t acted_ns;
	TAILQ_ENTRY(wl_pressure) link;
} wl_pressure_t;

/*
 * wl_owner_pressures_free - release all records of pressure
 */
void wl_owner_pressures_free(wl_owner_t *owner)
{
	wl_pressure_t *pressure;

	while ((pressure = TAILQ_FIRST(&owner->pressures))) {
		TAILQ_REMOVE(&owner->pressures, pressure, link);
		wl_buf_free(&pressure->name);
		free(pressure);
	}
}

static wl_pressure_t *pressure_get(wl_owner_t *owner, wl_str_t service)
{
	wl_pressure_t *pressure = wl_map_get(&owner->pressure_by_service, service);

	if (pressure)
		return pressure;
	pressure = wl_alloc(sizeof(*pressure));
	wl_buf_set(&pressure->name, service);
	pressure->key = wl_buf_str(&pressure->name);
	wl_map_put(&owner->pressure_by_service, pressure);
	TAILQ_INSERT_TAIL(&owner->pressures, pressure, link);
	return pressure;
}

/* Whether the newest usage was measured after the newest action, so that another may be taken. */
static bool usage_reflects_action(const wl_owned_target_t *owned)
{
	return !owned->last_action_ns ||
	       owned->usage_taken_ns >
		       owned->last_action_ns + USAGE_MARGIN_MS * (uint64_t)WL_NS_PER_MS;
}

static bool preemptible(const wl_attempt_t *attempt)
{
	return attempt->phase == WL_ATTEMPT_RUNNING && attempt->work_class == WL_CLASS_BATCH &&
	       !attempt->stop_wanted;
}

/*
 * wl_attempt_throttle - limit the processor time of an attempt
 * @cpu_permille: share of its full size; 1000 lifts the limit
 */
void wl_attempt_throttle(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, uint64_t cpu_permille)
{
	wl_target_command_t command = {.cpu_permille = cpu_permille};

	if (attempt->call_id || attempt->phase != WL_ATTEMPT_RUNNING)
		return;
	attempt->call_id =
		wl_owned_send_command(ctx, attempt->owned, WL_CALL_THROTTLE, attempt, &command);
	attempt->owned->last_action_ns = ctx->now_ns;
	if (cpu_permille < FULL_PERMILLE)
		wl_metrics_add(ctx->owner->options.metrics, "wisterialead_throttles_total", "", 1);
}

/*
 * wl_attempt_throttle_done - update the reservation after a throttle command
 * @cpu_permille: share that the command asked for
 * @certain: false if the answer was lost; the larger size then stays reserved
 *           until usage shows the throttle
 */
void wl_attempt_throttle_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			      uint64_t cpu_permille, bool certain)
{
	wl_need_t reserved = attempt->need;

	if (!attempt->owned || attempt->phase >= WL_ATTEMPT_ENDED)
		return;
	attempt->owned->last_action_ns = ctx->now_ns;
	if (!certain && cpu_permille < FULL_PERMILLE)
		return;
	attempt->throttled = cpu_permille < FULL_PERMILLE;
	reserved.cpu_millis = reserved.cpu_millis * cpu_permille / 1000;
	if (reserved.memory_mib < attempt->reserved.memory_mib)
		reserved.memory_mib = attempt->reserved.memory_mib;
	wl_attempt_set_reserved(attempt, &reserved);
}

/*
 * wl_attempt_update_throttled - apply whether the target reports an attempt as throttled
 */
void wl_attempt_update_throttled(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, bool throttled)
{
	if (attempt->call_id || !usage_reflects_action(attempt->owned))
		return;
	attempt->throttled = throttled;
	if (throttled && !attempt->owned->last_pressure_ns)
		attempt->owned->last_pressure_ns = ctx->now_ns;
}

static bool throttle_all(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_attempt_t *attempt;
	bool any = false;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link) {
		if (!preemptible(attempt) || attempt->throttled || attempt->call_id)
			continue;
		wl_attempt_throttle(ctx, attempt, WL_THROTTLE_PERMILLE);
		any = true;
	}
	if (any)
		owned->last_pressure_ns = ctx->now_ns;
	return any;
}

static size_t candidates_of(const wl_owned_target_t *owned, wl_evict_candidate_t *candidates,
			    size_t max)
{
	wl_attempt_t *attempt;
	size_t count = 0;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link) {
		if (!preemptible(attempt) || !attempt->restartable || count == max)
			continue;
		candidates[count++] = (wl_evict_candidate_t){
			.subject = attempt,
			.reserved = attempt->reserved,
			.lost_ms = attempt->ran_ms > attempt->checkpoint_ran_ms
					   ? attempt->ran_ms - attempt->checkpoint_ran_ms
					   : 0,
			.ran_ms = attempt->ran_ms,
			.progress_permille = attempt->progress_permille,
		};
	}
	return count;
}

static uint64_t batch_slots_reserved(const wl_owned_target_t *owned)
{
	const wl_attempt_t *attempt;
	uint64_t slots = 0;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link)
		if (attempt->work_class == WL_CLASS_BATCH && !attempt->stop_wanted)
			slots += attempt->reserved.slots;
	return slots;
}

static uint64_t newest_pressure_ns(const wl_owned_target_t *owned)
{
	const wl_buf_t *services = owned->target->services.items;
	uint64_t last_ns = owned->last_pressure_ns;

	for (size_t i = 0; i < owned->target->services.count; i++) {
		const wl_pressure_t *pressure =
			wl_map_get(&owned->owner->pressure_by_service, wl_buf_str(&services[i]));

		if (pressure && pressure->last_ns > last_ns)
			last_ns = pressure->last_ns;
	}
	return last_ns;
}

/*
 * Slots that batch work has regained since the newest eviction or pressure.  The
 * time without pressure after which it regains a slot halves with each slot, down
 * to SLOT_REGAIN_MIN_MS.
 */
static uint64_t slots_regained(const wl_owned_target_t *owned, uint64_t now_ns)
{
	uint64_t min_ns = SLOT_REGAIN_MIN_MS * (uint64_t)WL_NS_PER_MS;
	uint64_t regain_ns = owned->slot_regain_ns;
	uint64_t since_ns = newest_pressure_ns(owned);
	uint64_t slots = 0;

	if (owned->last_eviction_ns > since_ns)
		since_ns = owned->last_eviction_ns;
	while (now_ns >= since_ns + regain_ns && slots < owned->capacity.slots) {
		since_ns += regain_ns;
		slots++;
		regain_ns = regain_ns / 2 > min_ns ? regain_ns / 2 : min_ns;
	}
	return slots;
}

/*
 * Limits batch work after an eviction to the slots that it still reserves.
 * Repeated evictions make it regain its slots more slowly; evictions within
 * BATCH_BLOCKED_MS of the newest one count as the same.
 */
static void limit_batch(wl_owned_target_t *owned, uint64_t now_ns)
{
	uint64_t min_ns = SLOT_REGAIN_MIN_MS * (uint64_t)WL_NS_PER_MS;
	uint64_t max_ns = SLOT_REGAIN_MAX_MS * (uint64_t)WL_NS_PER_MS;
	uint64_t age_ns = now_ns - owned->last_eviction_ns;

	if (!owned->last_eviction_ns || age_ns > EVICTION_EXPIRES_MS * (uint64_t)WL_NS_PER_MS)
		owned->slot_regain_ns = min_ns;
	else if (age_ns > BATCH_BLOCKED_MS * (uint64_t)WL_NS_PER_MS)
		owned->slot_regain_ns =
			2 * owned->slot_regain_ns < max_ns ? 2 * owned->slot_regain_ns : max_ns;
	owned->last_eviction_ns = now_ns;
	owned->batch_slot_limit = batch_slots_reserved(owned);
}

static bool evict_for(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned, const wl_need_t *missing)
{
	wl_evict_candidate_t candidates[32];
	size_t count = candidates_of(owned, candidates, sizeof(candidates) / sizeof(candidates[0]));

	if (count == 0 || !ctx->owner->eviction->choose(candidates, count, missing))
		return false;
	for (size_t i = 0; i < count; i++) {
		wl_attempt_t *attempt = candidates[i].subject;

		if (!candidates[i].chosen)
			continue;
		wl_out_log(ctx->out, WL_INFO, "evict",
			   "target=" WL_STR_FMT " task=" WL_STR_FMT " lost_ms=%llu",
			   WL_STR_ARG(owned->key), WL_STR_ARG(wl_buf_str(&attempt->task)),
			   (unsigned long long)candidates[i].lost_ms);
		wl_metrics_add(ctx->owner->options.metrics, "wisterialead_evictions_total", "", 1);
		wl_attempt_stop(ctx, attempt, true);
	}
	owned->last_action_ns = ctx->now_ns;
	limit_batch(owned, ctx->now_ns);
	return true;
}

/* What a need lacks on a target, after the evictions in progress have ended. */
static wl_need_t shortfall(const wl_owned_target_t *owned, const wl_need_t *need)
{
	wl_need_t missing = owned->target->reserved;
	const wl_attempt_t *attempt;

	wl_need_add(&missing, need);
	TAILQ_FOREACH (attempt, &owned->attempts, target_link)
		if (attempt->phase >= WL_ATTEMPT_CHECKPOINTING &&
		    attempt->phase <= WL_ATTEMPT_STOPPING)
			wl_need_subtract(&missing, &attempt->reserved);
	wl_need_subtract(&missing, &owned->target->capacity);
	return missing;
}

static bool need_is_zero(const wl_need_t *need)
{
	const wl_need_t none = {0};

	return wl_need_within(need, &none);
}

static bool need_is_cpu_only(const wl_need_t *need)
{
	wl_need_t rest = *need;

	rest.cpu_millis = 0;
	return need_is_zero(&rest);
}

/* Processor time that throttling all batch work would free on a target, in millis. */
static uint64_t cpu_freed_by_throttling(const wl_owned_target_t *owned)
{
	const wl_attempt_t *attempt;
	uint64_t sum = 0;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link)
		if (preemptible(attempt) && !attempt->throttled)
			sum += attempt->reserved.cpu_millis *
			       (FULL_PERMILLE - WL_THROTTLE_PERMILLE) / 1000;
	return sum;
}

/*
 * wl_owned_add_waiting - add the needs of attempts that wait for capacity on a target
 * @before: only attempts older than this one; NULL: all
 * @need: what they wait for is added
 */
void wl_owned_add_waiting(const wl_owned_target_t *owned, const wl_attempt_t *before,
			  wl_need_t *need)
{
	const wl_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link) {
		if (attempt == before)
			return;
		if (attempt->phase == WL_ATTEMPT_WAITING)
			wl_need_add(need, &attempt->need);
	}
}

/*
 * wl_owned_reclaim_capacity - begin to free capacity for the urgent attempts that wait on a target
 *
 * Return: false if evicting all batch work there would not suffice.
 */
bool wl_owned_reclaim_capacity(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_need_t need = {0};
	wl_need_t missing;

	wl_owned_add_waiting(owned, NULL, &need);
	missing = shortfall(owned, &need);
	if (need_is_zero(&missing))
		return true;
	if (need_is_cpu_only(&missing) && cpu_freed_by_throttling(owned) >= missing.cpu_millis &&
	    throttle_all(ctx, owned))
		return true;
	return evict_for(ctx, owned, &missing);
}

/*
 * wl_owned_free_batch_slots - number of slots that batch work may still take on a target
 *
 * None within BATCH_BLOCKED_MS after pressure.  Otherwise the slots that batch
 * work reserved after the newest eviction, and those that it has regained since.
 *
 * Return: UINT64_MAX if batch work is not limited.
 */
uint64_t wl_owned_free_batch_slots(const wl_owned_target_t *owned, uint64_t now_ns)
{
	uint64_t last_ns = newest_pressure_ns(owned);
	uint64_t reserved = batch_slots_reserved(owned);
	uint64_t allowed;

	if (last_ns && now_ns < last_ns + BATCH_BLOCKED_MS * (uint64_t)WL_NS_PER_MS)
		return 0;
	if (!owned->last_eviction_ns)
		return UINT64_MAX;
	allowed = owned->batch_slot_limit + slots_regained(owned, now_ns);
	return allowed > reserved ? allowed - reserved : 0;
}

/*
 * wl_owned_unthrottle_ns - when throttles on a target may be lifted
 *
 * Return: monotonic time.
 */
uint64_t wl_owned_unthrottle_ns(const wl_owned_target_t *owned)
{
	if (!owned->last_pressure_ns)
		return WL_NEVER_NS;
	return newest_pressure_ns(owned) + UNTHROTTLE_AFTER_MS * (uint64_t)WL_NS_PER_MS;
}

/*
 * Lifts throttles as far as capacity is free, which is reserved before the command
 * is sent.  While an attempt was still throttled, the present counts as pressure,
 * so that the next lift follows after UNTHROTTLE_AFTER_MS.
 */
static void unthrottle(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_attempt_t *attempt;
	bool still_throttled = false;

	TAILQ_FOREACH (attempt, &owned->attempts, target_link) {
		wl_need_t more = {.cpu_millis = attempt->need.cpu_millis};

		if (!attempt->throttled || attempt->phase != WL_ATTEMPT_RUNNING)
			continue;
		still_throttled = true;
		more.cpu_millis = attempt->need.cpu_millis > attempt->reserved.cpu_millis
					  ? attempt->need.cpu_millis - attempt->reserved.cpu_millis
					  : 0;
		if (attempt->call_id || !wl_ledger_fits(owned->target, &more))
			continue;
		wl_need_add(&more, &attempt->reserved);
		wl_attempt_set_reserved(attempt, &more);
		wl_attempt_throttle(ctx, attempt, FULL_PERMILLE);
	}
	owned->last_pressure_ns = still_throttled ? ctx->now_ns : 0;
}

static void check_overload(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_need_t none = {0};
	wl_need_t missing = shortfall(owned, &none);
	bool overloaded = !wl_need_within(&owned->target->reserved, &owned->capacity);

	if (overloaded != owned->overloaded) {
		owned->overloaded = overloaded;
		wl_out_log(ctx->out, WL_INFO, "overload", "target=" WL_STR_FMT " overloaded=%s",
			   WL_STR_ARG(owned->key), overloaded ? "yes" : "no");
		wl_owned_sync_ledger(ctx, owned);
	}
	if (!overloaded || need_is_zero(&missing) || !usage_reflects_action(owned))
		return;
	if (missing.cpu_millis && throttle_all(ctx, owned))
		return;
	if (!evict_for(ctx, owned, &missing))
		throttle_all(ctx, owned);
}

/*
 * wl_owned_relieve_overload - reduce work on an overloaded target, or lift
 * throttles that are no longer needed
 */
void wl_owned_relieve_overload(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	if (!wl_owned_may_command(owned, ctx->now_ns) || !owned->adopted_boot ||
	    owned->target->state == WL_TARGET_ADOPTING)
		return;
	check_overload(ctx, owned);
	if (owned->overloaded || ctx->now_ns < wl_owned_unthrottle_ns(owned))
		return;
	unthrottle(ctx, owned);
}

/*
 * Processor time that throttling would free, in millis; zero where neither
 * processor time nor interference holds the requests up.
 */
static uint64_t useful_throttling(const wl_owned_target_t *owned)
{
	wl_need_t missing = shortfall(owned, &owned->owner->options.ledger->request);

	if (missing.cpu_millis == 0 &&
	    owned->request_slowdown_permille < SLOWDOWN_THRESHOLD_PERMILLE)
		return 0;
	return cpu_freed_by_throttling(owned);
}

/*
 * The target where most can be freed by the next action; targets whose usage
 * does not show the newest action yet are left out.
 */
static wl_owned_target_t *pick_target(const wl_owner_t *owner, const wl_ledger_service_t *service,
				      bool evict)
{
	wl_owned_target_t *best = NULL;
	uint64_t max_freed = 0;

	for (size_t i = 0; i < service->count; i++) {
		wl_owned_target_t *owned = wl_owner_find(owner, service->targets[i]->key);
		uint64_t freed;

		if (!owned || !usage_reflects_action(owned))
			continue;
		freed = evict ? owned->target->evictable.slots : useful_throttling(owned);
		if (freed <= max_freed)
			continue;
		max_freed = freed;
		best = owned;
	}
	return best;
}

/*
 * wl_owner_relieve_pressure - free capacity for the urgent work of a service that waits
 *
 * Urgent work may also wait for something other than capacity: no batch work is
 * throttled or evicted while a target of the service has free capacity.
 *
 * Throttles batch work on one target at a time; evicts only when pressure has
 * lasted EVICT_AFTER_MS and nothing is left to throttle.
 */
void wl_owner_relieve_pressure(wl_owner_t *owner, wl_str_t service, uint64_t now_ns, wl_out_t *out)
{
	wl_owner_ctx_t ctx = {owner, now_ns, out};
	const wl_ledger_service_t *targets = wl_ledger_service(owner->options.ledger, service);
	wl_pressure_t *pressure;
	wl_owned_target_t *owned;

	if (!targets || targets->free_requests > 0)
		return;
	pressure = pressure_get(owner, service);
	if (!pressure->last_ns ||
	    pressure->last_ns + PRESSURE_EXPIRES_MS * (uint64_t)WL_NS_PER_MS < now_ns)
		pressure->first_ns = now_ns;
	pressure->last_ns = now_ns;
	if (pressure->acted_ns &&
	    pressure->acted_ns + ACTION_INTERVAL_MS * (uint64_t)WL_NS_PER_MS > now_ns)
		return;
	pressure->acted_ns = now_ns;

	owned = pick_target(owner, targets, false);
	if (owned && throttle_all(&ctx, owned))
		return;
	if (now_ns < pressure->first_ns + EVICT_AFTER_MS * (uint64_t)WL_NS_PER_MS)
		return;
	owned = pick_target(owner, targets, true);
	if (owned) {
		wl_need_t missing = shortfall(owned, &owner->options.ledger->request);

		if (!need_is_zero(&missing))
			evict_for(&ctx, owned, &missing);
		wl_owned_schedule_now(&ctx, owned);
	}
}
