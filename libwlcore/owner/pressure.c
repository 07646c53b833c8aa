/*
 * Room for urgent work: throttles first, evictions where that is not enough.
 *
 * Usage comes late.  No second action is taken on a target before usage that
 * was taken after the first one has come in.
 */

#include "internal.h"

#include <stdlib.h>

#define PRESS_EVERY_MS	250    /* between actions for one service */
#define PRESS_LASTS_MS	1000   /* pressure that ended so long ago begins anew */
#define EVICT_AFTER_MS	1000   /* of pressure that throttling did not end */
#define CALM_MS		3000   /* without pressure throttles are lifted */
#define KEEP_MS		1000   /* that batch work gets no room after pressure */
#define GROW_LEAST_MS	4000   /* without pressure give batch work one slot more */
#define GROW_MOST_MS	8000   /* when evictions follow each other */
#define FORGET_MS	120000 /* after which an eviction slows nothing down */
#define SLOW_PERMILLE	1500   /* slowdown of requests from which throttling may help */
#define USAGE_MARGIN_MS 50     /* usage may be older than it says by its way here */
#define FULL_PERMILLE	1000

/* Urgent work of one service that finds no room. */
typedef struct wl_press {
	wl_str_t key;
	wl_buf_t name;
	uint64_t first_ns;
	uint64_t last_ns;
	uint64_t acted_ns;
	TAILQ_ENTRY(wl_press) link;
} wl_press_t;

/*
 * wl_owner_presses_free - forget all pressure
 */
void wl_owner_presses_free(wl_owner_t *owner)
{
	wl_press_t *press;

	while ((press = TAILQ_FIRST(&owner->press_list))) {
		TAILQ_REMOVE(&owner->press_list, press, link);
		wl_buf_free(&press->name);
		free(press);
	}
}

static wl_press_t *press_get(wl_owner_t *owner, wl_str_t service)
{
	wl_press_t *press = wl_map_get(&owner->presses, service);

	if (press)
		return press;
	press = wl_alloc(sizeof(*press));
	wl_buf_set(&press->name, service);
	press->key = wl_buf_str(&press->name);
	wl_map_put(&owner->presses, press);
	TAILQ_INSERT_TAIL(&owner->press_list, press, link);
	return press;
}

/* The newest action on the target shows in its usage, so that another may be taken. */
static bool action_shows(const wl_owned_t *owned)
{
	return !owned->acted_ns ||
	       owned->usage_ns > owned->acted_ns + USAGE_MARGIN_MS * (uint64_t)WL_NS_PER_MS;
}

static bool gives_way(const wl_attempt_t *attempt)
{
	return attempt->phase == WL_ATTEMPT_RUNNING && attempt->work_class == WL_CLASS_BATCH &&
	       !attempt->stop_wanted;
}

/*
 * wl_attempt_throttle - limit the processor time of an attempt
 * @cpu_permille: share of its full size; 1000 lifts the limit
 */
void wl_attempt_throttle(const wl_turn_t *turn, wl_attempt_t *attempt, uint64_t cpu_permille)
{
	wl_target_command_t command = {.cpu_permille = cpu_permille};

	if (attempt->call || attempt->phase != WL_ATTEMPT_RUNNING)
		return;
	attempt->call = wl_owned_call(turn, attempt->owned, WL_CALL_THROTTLE, attempt, &command);
	attempt->owned->acted_ns = turn->now_ns;
	if (cpu_permille < FULL_PERMILLE)
		wl_metrics_add(turn->owner->options.metrics, "wisterialead_throttles_total", "", 1);
}

/*
 * wl_attempt_throttled - the target has, or may have, taken a throttle
 * @certain: false if its answer was lost: the larger size is held until usage tells
 */
void wl_attempt_throttled(const wl_turn_t *turn, wl_attempt_t *attempt, uint64_t cpu_permille,
			  bool certain)
{
	wl_need_t held = attempt->need;

	if (!attempt->owned || attempt->phase >= WL_ATTEMPT_ENDED)
		return;
	attempt->owned->acted_ns = turn->now_ns;
	if (!certain && cpu_permille < FULL_PERMILLE)
		return;
	attempt->throttled = cpu_permille < FULL_PERMILLE;
	held.cpu_millis = held.cpu_millis * cpu_permille / 1000;
	if (held.memory_mib < attempt->held.memory_mib)
		held.memory_mib = attempt->held.memory_mib;
	wl_attempt_hold(attempt, &held);
}

/*
 * wl_attempt_throttle_seen - take in whether the target says that an attempt is throttled
 */
void wl_attempt_throttle_seen(const wl_turn_t *turn, wl_attempt_t *attempt, bool throttled)
{
	if (attempt->call || !action_shows(attempt->owned))
		return;
	attempt->throttled = throttled;
	if (throttled && !attempt->owned->pressed_ns)
		attempt->owned->pressed_ns = turn->now_ns;
}

static bool throttle_all(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_attempt_t *attempt;
	bool any = false;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target) {
		if (!gives_way(attempt) || attempt->throttled || attempt->call)
			continue;
		wl_attempt_throttle(turn, attempt, WL_THROTTLE_PERMILLE);
		any = true;
	}
	if (any)
		owned->pressed_ns = turn->now_ns;
	return any;
}

static size_t candidates_of(const wl_owned_t *owned, wl_evict_candidate_t *candidates, size_t most)
{
	wl_attempt_t *attempt;
	size_t count = 0;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target) {
		if (!gives_way(attempt) || !attempt->restartable || count == most)
			continue;
		candidates[count++] = (wl_evict_candidate_t){
			.subject = attempt,
			.held = attempt->held,
			.lost_ms = attempt->ran_ms > attempt->saved_ms
					   ? attempt->ran_ms - attempt->saved_ms
					   : 0,
			.ran_ms = attempt->ran_ms,
			.progress_permille = attempt->progress_permille,
		};
	}
	return count;
}

static uint64_t batch_held(const wl_owned_t *owned)
{
	const wl_attempt_t *attempt;
	uint64_t slots = 0;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target)
		if (attempt->work_class == WL_CLASS_BATCH && !attempt->stop_wanted)
			slots += attempt->held.slots;
	return slots;
}

static uint64_t pressed_last(const wl_owned_t *owned)
{
	const wl_buf_t *services = owned->target->services.items;
	uint64_t last_ns = owned->pressed_ns;

	for (size_t i = 0; i < owned->target->services.count; i++) {
		const wl_press_t *press =
			wl_map_get(&owned->owner->presses, wl_buf_str(&services[i]));

		if (press && press->last_ns > last_ns)
			last_ns = press->last_ns;
	}
	return last_ns;
}

/*
 * Slots that batch work has regained since the newest eviction.  The stretch
 * of calm that a slot takes halves with each slot.
 */
static uint64_t slots_regained(const wl_owned_t *owned, uint64_t now_ns)
{
	uint64_t least_ns = GROW_LEAST_MS * (uint64_t)WL_NS_PER_MS;
	uint64_t grow_ns = owned->grow_ns;
	uint64_t since_ns = pressed_last(owned);
	uint64_t slots = 0;

	if (owned->evicted_ns > since_ns)
		since_ns = owned->evicted_ns;
	while (now_ns >= since_ns + grow_ns && slots < owned->capacity.slots) {
		since_ns += grow_ns;
		slots++;
		grow_ns = grow_ns / 2 > least_ns ? grow_ns / 2 : least_ns;
	}
	return slots;
}

/* Evictions that follow each other make batch work come back more slowly. */
static void batch_limit(wl_owned_t *owned, uint64_t now_ns)
{
	uint64_t least_ns = GROW_LEAST_MS * (uint64_t)WL_NS_PER_MS;
	uint64_t most_ns = GROW_MOST_MS * (uint64_t)WL_NS_PER_MS;
	uint64_t ago_ns = now_ns - owned->evicted_ns;

	if (!owned->evicted_ns || ago_ns > FORGET_MS * (uint64_t)WL_NS_PER_MS)
		owned->grow_ns = least_ns;
	else if (ago_ns > KEEP_MS * (uint64_t)WL_NS_PER_MS)
		owned->grow_ns = 2 * owned->grow_ns < most_ns ? 2 * owned->grow_ns : most_ns;
	owned->evicted_ns = now_ns;
	owned->batch_slots = batch_held(owned);
}

static bool evict_for(const wl_turn_t *turn, wl_owned_t *owned, const wl_need_t *missing)
{
	wl_evict_candidate_t candidates[32];
	size_t count = candidates_of(owned, candidates, sizeof(candidates) / sizeof(candidates[0]));

	if (count == 0 || !turn->owner->eviction->choose(candidates, count, missing))
		return false;
	for (size_t i = 0; i < count; i++) {
		wl_attempt_t *attempt = candidates[i].subject;

		if (!candidates[i].chosen)
			continue;
		wl_out_log(turn->out, WL_INFO, "evict",
			   "target=" WL_STR_FMT " task=" WL_STR_FMT " lost_ms=%llu",
			   WL_STR_ARG(owned->key), WL_STR_ARG(wl_buf_str(&attempt->task)),
			   (unsigned long long)candidates[i].lost_ms);
		wl_metrics_add(turn->owner->options.metrics, "wisterialead_evictions_total", "", 1);
		wl_attempt_stop(turn, attempt, true);
	}
	owned->acted_ns = turn->now_ns;
	batch_limit(owned, turn->now_ns);
	return true;
}

/* What a need lacks on a target once the evictions under way have ended. */
static wl_need_t missing_for(const wl_owned_t *owned, const wl_need_t *need)
{
	wl_need_t missing = owned->target->reserved;
	const wl_attempt_t *attempt;

	wl_need_add(&missing, need);
	TAILQ_FOREACH (attempt, &owned->attempts, of_target)
		if (attempt->phase >= WL_ATTEMPT_CHECKPOINTING &&
		    attempt->phase <= WL_ATTEMPT_STOPPING)
			wl_need_take(&missing, &attempt->held);
	wl_need_take(&missing, &owned->target->capacity);
	return missing;
}

static bool nothing(const wl_need_t *need)
{
	const wl_need_t none = {0};

	return wl_need_within(need, &none);
}

static bool only_cpu(const wl_need_t *need)
{
	wl_need_t rest = *need;

	rest.cpu_millis = 0;
	return nothing(&rest);
}

/* Processor time that throttling would free on a target. */
static uint64_t throttle_frees(const wl_owned_t *owned)
{
	const wl_attempt_t *attempt;
	uint64_t sum = 0;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target)
		if (gives_way(attempt) && !attempt->throttled)
			sum += attempt->held.cpu_millis * (FULL_PERMILLE - WL_THROTTLE_PERMILLE) /
			       1000;
	return sum;
}

/*
 * wl_owned_waiting - add to a need what attempts on a target wait for
 * @before: only those that came before this one; NULL: all
 */
void wl_owned_waiting(const wl_owned_t *owned, const wl_attempt_t *before, wl_need_t *need)
{
	const wl_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target) {
		if (attempt == before)
			return;
		if (attempt->phase == WL_ATTEMPT_WAITING)
			wl_need_add(need, &attempt->need);
	}
}

/*
 * wl_owned_make_room - begin to make room for the urgent work that waits on a target
 *
 * Return: false if all batch work there would not be enough.
 */
bool wl_owned_make_room(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_need_t need = {0};
	wl_need_t missing;

	wl_owned_waiting(owned, NULL, &need);
	missing = missing_for(owned, &need);
	if (nothing(&missing))
		return true;
	if (only_cpu(&missing) && throttle_frees(owned) >= missing.cpu_millis &&
	    throttle_all(turn, owned))
		return true;
	return evict_for(turn, owned, &missing);
}

/*
 * wl_owned_batch_room - how many more slots batch work may take on a target
 *
 * None while urgent work lacks room; else what it held after the newest
 * eviction, and one more for each stretch of time without pressure.
 *
 * Return: UINT64_MAX if nothing limits it.
 */
uint64_t wl_owned_batch_room(const wl_owned_t *owned, uint64_t now_ns)
{
	uint64_t last_ns = pressed_last(owned);
	uint64_t held = batch_held(owned);
	uint64_t allowed;

	if (last_ns && now_ns < last_ns + KEEP_MS * (uint64_t)WL_NS_PER_MS)
		return 0;
	if (!owned->evicted_ns)
		return UINT64_MAX;
	allowed = owned->batch_slots + slots_regained(owned, now_ns);
	return allowed > held ? allowed - held : 0;
}

/*
 * wl_owned_relieve_ns - when throttles on a target may be lifted
 */
uint64_t wl_owned_relieve_ns(const wl_owned_t *owned)
{
	if (!owned->pressed_ns)
		return WL_NEVER_NS;
	return pressed_last(owned) + CALM_MS * (uint64_t)WL_NS_PER_MS;
}

/* Lifts throttles as far as there is room, which is taken first. */
static void lift(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_attempt_t *attempt;
	bool left = false;

	TAILQ_FOREACH (attempt, &owned->attempts, of_target) {
		wl_need_t more = {.cpu_millis = attempt->need.cpu_millis};

		if (!attempt->throttled || attempt->phase != WL_ATTEMPT_RUNNING)
			continue;
		left = true;
		more.cpu_millis = attempt->need.cpu_millis > attempt->held.cpu_millis
					  ? attempt->need.cpu_millis - attempt->held.cpu_millis
					  : 0;
		if (attempt->call || !wl_ledger_fits(owned->target, &more))
			continue;
		wl_need_add(&more, &attempt->held);
		wl_attempt_hold(attempt, &more);
		wl_attempt_throttle(turn, attempt, FULL_PERMILLE);
	}
	owned->pressed_ns = left ? turn->now_ns : 0;
}

static void overload_check(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_need_t none = {0};
	wl_need_t missing = missing_for(owned, &none);
	bool overloaded = !wl_need_within(&owned->target->reserved, &owned->capacity);

	if (overloaded != owned->overloaded) {
		owned->overloaded = overloaded;
		wl_out_log(turn->out, WL_INFO, "overload", "target=" WL_STR_FMT " overloaded=%s",
			   WL_STR_ARG(owned->key), overloaded ? "yes" : "no");
		wl_owned_settle(turn, owned);
	}
	if (!overloaded || nothing(&missing) || !action_shows(owned))
		return;
	if (missing.cpu_millis && throttle_all(turn, owned))
		return;
	if (!evict_for(turn, owned, &missing))
		throttle_all(turn, owned);
}

/*
 * wl_owned_relieve - bring a target that holds too much back within its capacity,
 * and lift throttles that are no longer needed
 */
void wl_owned_relieve(const wl_turn_t *turn, wl_owned_t *owned)
{
	if (!wl_owned_mine(owned, turn->now_ns) || !owned->adopted_boot ||
	    owned->target->state == WL_TARGET_ADOPTING)
		return;
	overload_check(turn, owned);
	if (owned->overloaded || turn->now_ns < wl_owned_relieve_ns(owned))
		return;
	lift(turn, owned);
}

/* What throttling frees, where processor time or interference is what stands in the way. */
static uint64_t throttle_helps(const wl_owned_t *owned)
{
	wl_need_t missing = missing_for(owned, &owned->owner->options.ledger->request);

	if (missing.cpu_millis == 0 && owned->request_slowdown_permille < SLOW_PERMILLE)
		return 0;
	return throttle_frees(owned);
}

/* The target with most batch work to act on; usage must show the newest action there. */
static wl_owned_t *press_pick(const wl_owner_t *owner, const wl_ledger_service_t *service,
			      bool evict)
{
	wl_owned_t *best = NULL;
	uint64_t most = 0;

	for (size_t i = 0; i < service->count; i++) {
		wl_owned_t *owned = wl_owner_find(owner, service->targets[i]->key);
		uint64_t frees;

		if (!owned || !action_shows(owned))
			continue;
		frees = evict ? owned->target->evictable.slots : throttle_helps(owned);
		if (frees <= most)
			continue;
		most = frees;
		best = owned;
	}
	return best;
}

/*
 * wl_owner_press - urgent work of a service waits
 *
 * It may wait for other things than room: nothing gives way while a target of
 * the service has room left.
 *
 * Throttles batch work on one target at a time; evicts only when pressure has
 * lasted and nothing is left to throttle.
 */
void wl_owner_press(wl_owner_t *owner, wl_str_t service, uint64_t now_ns, wl_out_t *out)
{
	wl_turn_t turn = {owner, now_ns, out};
	const wl_ledger_service_t *targets = wl_ledger_service(owner->options.ledger, service);
	wl_press_t *press;
	wl_owned_t *owned;

	if (!targets || targets->free_requests > 0)
		return;
	press = press_get(owner, service);
	if (!press->last_ns || press->last_ns + PRESS_LASTS_MS * (uint64_t)WL_NS_PER_MS < now_ns)
		press->first_ns = now_ns;
	press->last_ns = now_ns;
	if (press->acted_ns && press->acted_ns + PRESS_EVERY_MS * (uint64_t)WL_NS_PER_MS > now_ns)
		return;
	press->acted_ns = now_ns;

	owned = press_pick(owner, targets, false);
	if (owned && throttle_all(&turn, owned))
		return;
	if (now_ns < press->first_ns + EVICT_AFTER_MS * (uint64_t)WL_NS_PER_MS)
		return;
	owned = press_pick(owner, targets, true);
	if (owned) {
		wl_need_t missing = missing_for(owned, &owner->options.ledger->request);

		if (!nothing(&missing))
			evict_for(&turn, owned, &missing);
		wl_owned_touch(&turn, owned);
	}
}
