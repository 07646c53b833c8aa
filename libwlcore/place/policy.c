/* Placement policies, found by name: the first-fit baseline, and one that avoids interference. */

#include "internal.h"

#include <libwlbase/named.h>

#include <libwlcore/owner/ledger.h>

#define MAX_CANDIDATES	     24	     /* targets that fit which are compared */
#define NO_SLOWDOWN_PERMILLE 1000ULL /* full speed */
/* A target that reports more counts as slowed down by this much. */
#define SLOWDOWN_MAX_PERMILLE 100000ULL
#define MAX_KINDS	      16   /* kinds that are compared on one target */
#define MAX_DEFER_MS	      3000 /* longest wait of a batch task for a target without net loss */
#define MIN_LONG_SLOTS	      1

static uint64_t larger(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t smaller(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * The learnt need is limited to the target's capacity: beyond it the task would
 * not be placed anywhere.
 */
static void need_on(const wl_place_target_t *target, const wl_place_request_t *request,
		    wl_need_t *need)
{
	const wl_need_t *capacity = &target->row.capacity;

	*need = request->declared;
	need->cpu_millis =
		larger(need->cpu_millis, smaller(request->need.cpu_millis, capacity->cpu_millis));
	need->memory_mib =
		larger(need->memory_mib, smaller(request->need.memory_mib, capacity->memory_mib));
}

static bool long_slots_available(const wl_place_target_t *target, const wl_place_request_t *request)
{
	const wl_place_rack_t *rack = target->rack;
	uint64_t max_slots = rack->slots * request->long_permille / NO_SLOWDOWN_PERMILLE;

	return rack->long_held_milli < larger(max_slots, MIN_LONG_SLOTS) * WL_SLOT_MILLI;
}

static bool has_trial(const wl_place_t *place, const wl_place_target_t *target)
{
	const wl_place_load_t *load;

	TAILQ_FOREACH (load, &target->loads, link)
		if (place->now_ns < load->trial_until_ns)
			return true;
	return false;
}

/*
 * wl_place_fits - whether a target has free capacity for a task
 * @evict: count capacity that eviction can free
 * @need: set to what is to be reserved on that target
 */
bool wl_place_fits(const wl_place_t *place, const wl_place_target_t *target,
		   const wl_place_request_t *request, bool evict, wl_need_t *need)
{
	wl_need_t available = target->row.free;

	if (!target->row.available || target->row.quarantined || !target->rack ||
	    place->now_ns < target->suspended_until_ns || place->now_ns < target->alone_until_ns ||
	    (request->alone && has_trial(place, target)))
		return false;
	if (!wl_need_within(&request->declared, &target->row.capacity))
		return false;
	if (request->is_long && !request->urgent && !long_slots_available(target, request))
		return false;
	if (request->avoid && wl_strings_contain(request->avoid, target->key))
		return false;
	if (evict)
		wl_need_add(&available, &target->row.evictable);
	wl_need_subtract(&available, &target->pending);
	need_on(target, request, need);
	return wl_need_within(need, &available);
}

static bool first_fit(wl_place_t *place, const wl_place_service_t *service,
		      const wl_place_request_t *request, bool evict, wl_place_choice_t *choice)
{
	for (size_t i = 0; i < service->count; i++) {
		if (!wl_place_fits(place, service->targets[i], request, evict, &choice->need))
			continue;
		choice->target = service->targets[i];
		return true;
	}
	return false;
}

/* A kind of work, and the number of running or assigned tasks of it on a target. */
typedef struct kind_count {
	wl_str_t kind;
	uint64_t count;
} kind_count_t;

typedef struct kind_counts {
	kind_count_t kinds[MAX_KINDS];
	size_t count;
} kind_counts_t;

static void kind_counts_add(kind_counts_t *kind_counts, wl_str_t kind, uint64_t count)
{
	for (size_t i = 0; i < kind_counts->count; i++) {
		if (!wl_str_equal(kind_counts->kinds[i].kind, kind))
			continue;
		kind_counts->kinds[i].count += count;
		return;
	}
	if (kind_counts->count < MAX_KINDS)
		kind_counts->kinds[kind_counts->count++] = (kind_count_t){kind, count};
}

static void kind_counts_of(const wl_place_target_t *target, kind_counts_t *kind_counts)
{
	const wl_offer_kind_t *kinds = target->row.kinds.items;
	const wl_place_load_t *load;

	kind_counts->count = 0;
	for (size_t i = 0; i < target->row.kinds.count; i++)
		kind_counts_add(kind_counts, wl_buf_str(&kinds[i].kind), kinds[i].running);
	TAILQ_FOREACH (load, &target->loads, link)
		if (!load->included)
			kind_counts_add(kind_counts, wl_buf_str(&load->kind), 1);
}

/* The largest slowdown of @kind while it runs beside the kinds in @kind_counts. */
static uint64_t worst_slowdown(const wl_place_t *place, const kind_counts_t *kind_counts,
			       wl_str_t kind)
{
	uint64_t worst = NO_SLOWDOWN_PERMILLE;

	for (size_t i = 0; i < kind_counts->count; i++)
		worst = larger(worst, wl_place_slowdown(place, kind, kind_counts->kinds[i].kind));
	return worst;
}

static int64_t speed(uint64_t slowdown_permille)
{
	return (int64_t)(NO_SLOWDOWN_PERMILLE * NO_SLOWDOWN_PERMILLE / slowdown_permille);
}

/*
 * Speed that the work on a target would lose if the task were placed there, less
 * the speed of the task itself, in thousandths of the speed of a task that runs
 * alone.  Below zero the target does more work with the task than without it.
 */
static int64_t net_loss(const wl_place_t *place, const wl_place_target_t *target,
			const wl_place_request_t *request, const kind_counts_t *kind_counts)
{
	uint64_t own =
		smaller(worst_slowdown(place, kind_counts, request->kind), SLOWDOWN_MAX_PERMILLE);
	uint64_t present = smaller(target->row.slowdown_permille, SLOWDOWN_MAX_PERMILLE);
	int64_t loss = 0;

	own = own * larger(present, NO_SLOWDOWN_PERMILLE) / NO_SLOWDOWN_PERMILLE;
	for (size_t i = 0; i < kind_counts->count; i++) {
		const kind_count_t *other = &kind_counts->kinds[i];
		uint64_t now = worst_slowdown(place, kind_counts, other->kind);
		uint64_t then = larger(now, wl_place_slowdown(place, other->kind, request->kind));

		loss += (int64_t)other->count * (speed(now) - speed(then));
	}
	return loss - speed(own);
}

static uint64_t count_of(const kind_counts_t *kind_counts, wl_str_t kind)
{
	for (size_t i = 0; i < kind_counts->count; i++)
		if (wl_str_equal(kind_counts->kinds[i].kind, kind))
			return kind_counts->kinds[i].count;
	return 0;
}

static uint64_t free_slots(const wl_place_target_t *target)
{
	wl_need_t available = target->row.free;

	wl_need_subtract(&available, &target->pending);
	return available.slots;
}

/*
 * Rank of a target: least loss first, then one that runs the task's kind already
 * if that kind interferes with others, then most free slots.
 */
typedef struct rank {
	int64_t loss;
	uint64_t same_kind;
	uint64_t slots;
} rank_t;

static bool rank_better(const rank_t *a, const rank_t *b)
{
	if (a->loss != b->loss)
		return a->loss < b->loss;
	if (a->same_kind != b->same_kind)
		return a->same_kind > b->same_kind;
	return a->slots > b->slots;
}

static rank_t rank_of(const wl_place_t *place, const wl_place_target_t *target,
		      const wl_place_request_t *request, bool interferes)
{
	kind_counts_t kind_counts;
	rank_t rank;

	kind_counts_of(target, &kind_counts);
	rank.loss = net_loss(place, target, request, &kind_counts);
	rank.same_kind = interferes && count_of(&kind_counts, request->kind) > 0;
	rank.slots = free_slots(target);
	return rank;
}

/* Compares a bounded number of targets that fit, beginning at a random one. */
static bool least_interference(wl_place_t *place, const wl_place_service_t *service,
			       const wl_place_request_t *request, bool evict,
			       wl_place_choice_t *choice)
{
	size_t from = service->count ? wl_rng_below(&place->rng, service->count) : 0;
	bool interferes = wl_strings_contain(&place->interfering_kinds, request->kind);
	rank_t best = {0};
	size_t seen = 0;

	choice->target = NULL;
	for (size_t i = 0; i < service->count && seen < MAX_CANDIDATES; i++) {
		wl_place_target_t *target = service->targets[(from + i) % service->count];
		rank_t rank;
		wl_need_t need;

		if (!wl_place_fits(place, target, request, evict, &need))
			continue;
		seen++;
		rank = rank_of(place, target, request, interferes);
		if (choice->target && !rank_better(&rank, &best))
			continue;
		best = rank;
		choice->target = target;
		choice->need = need;
	}
	choice->deferred = choice->target && best.loss > 0 && !request->urgent &&
			   request->waited_ms < MAX_DEFER_MS;
	return choice->target && !choice->deferred;
}

/* Sorted by name. */
static const wl_place_policy_t policies[] = {
	{"first-fit", first_fit},
	{"interference-fair", least_interference},
};

#define POLICY_DEFAULT "interference-fair"

/*
 * wl_place_policy_find - the policy with a name, the default for an empty name, or NULL
 */
const wl_place_policy_t *wl_place_policy_find(wl_str_t name)
{
	if (name.len == 0)
		name = WL_STR(POLICY_DEFAULT);
	return WL_NAMED_FIND(policies, name);
}
