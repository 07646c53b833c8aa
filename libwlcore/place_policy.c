/* Placement policies, found by name: the baseline and the one that avoids interference. */

#include "place_internal.h"

#include <libwlcore/ledger.h>

#define CANDIDATES	 24 /* targets with room that are compared */
#define ALONE_PERMILLE	 1000
#define LEAST_LONG_SLOTS 1

static uint64_t larger(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t smaller(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* What learning adds to the declared size never exceeds the target: it would not run anywhere. */
static void need_on(const wl_place_target_t *target, const wl_place_ask_t *ask, wl_need_t *need)
{
	const wl_need_t *capacity = &target->row.capacity;

	*need = ask->declared;
	need->cpu_millis =
		larger(need->cpu_millis, smaller(ask->need.cpu_millis, capacity->cpu_millis));
	need->memory_mib =
		larger(need->memory_mib, smaller(ask->need.memory_mib, capacity->memory_mib));
}

static bool long_share_left(const wl_place_t *place, const wl_place_target_t *target)
{
	const wl_place_rack_t *rack = target->rack;
	uint64_t most = rack->slots * place->options.long_share_permille / ALONE_PERMILLE;

	return rack->long_held < larger(most, LEAST_LONG_SLOTS);
}

/* Whether a target has room for an ask, and how much it would take there. */
bool wl_place_fits(const wl_place_t *place, const wl_place_target_t *target,
		   const wl_place_ask_t *ask, bool evict, wl_need_t *need)
{
	wl_need_t room = target->row.free;

	if (!target->row.open || target->row.aside || !target->rack ||
	    place->now_ns < target->hold_ns)
		return false;
	if (!wl_need_within(&ask->declared, &target->row.capacity))
		return false;
	if (ask->is_long && ask->short_waits && !ask->urgent && !long_share_left(place, target))
		return false;
	if (ask->avoid && wl_strings_have(ask->avoid, target->key))
		return false;
	if (evict)
		wl_need_add(&room, &target->row.evictable);
	wl_need_take(&room, &target->pending);
	need_on(target, ask, need);
	return wl_need_within(need, &room);
}

static bool first_fit(wl_place_t *place, const wl_place_service_t *service,
		      const wl_place_ask_t *ask, bool evict, wl_place_choice_t *choice)
{
	for (size_t i = 0; i < service->count; i++) {
		if (!wl_place_fits(place, service->targets[i], ask, evict, &choice->need))
			continue;
		choice->target = service->targets[i];
		return true;
	}
	return false;
}

/* Worst slowdown that the ask would suffer, times the worst that it would cause. */
static uint64_t interference(const wl_place_t *place, const wl_place_target_t *target,
			     const wl_place_ask_t *ask)
{
	const wl_offer_kind_t *kinds = target->row.kinds.items;
	const wl_place_load_t *load;
	uint64_t suffered = ALONE_PERMILLE;
	uint64_t caused = ALONE_PERMILLE;

	for (size_t i = 0; i < target->row.kinds.count; i++) {
		wl_str_t kind = wl_buf_str(&kinds[i].kind);

		suffered = larger(suffered, wl_place_slowdown(place, ask->kind, kind));
		caused = larger(caused, wl_place_slowdown(place, kind, ask->kind));
	}
	TAILQ_FOREACH (load, &target->loads, link) {
		wl_str_t kind = wl_buf_str(&load->kind);

		if (load->included)
			continue;
		suffered = larger(suffered, wl_place_slowdown(place, ask->kind, kind));
		caused = larger(caused, wl_place_slowdown(place, kind, ask->kind));
	}
	return suffered * caused / ALONE_PERMILLE *
	       larger(target->row.slowdown_permille, ALONE_PERMILLE) / ALONE_PERMILLE;
}

static uint64_t free_slots(const wl_place_target_t *target)
{
	wl_need_t room = target->row.free;

	wl_need_take(&room, &target->pending);
	return room.slots;
}

/* Compares a bounded number of targets with room, from a random place in the table on. */
static bool least_interference(wl_place_t *place, const wl_place_service_t *service,
			       const wl_place_ask_t *ask, bool evict, wl_place_choice_t *choice)
{
	size_t from = service->count ? wl_rng_below(&place->rng, service->count) : 0;
	uint64_t best = UINT64_MAX;
	size_t seen = 0;

	choice->target = NULL;
	for (size_t i = 0; i < service->count && seen < CANDIDATES; i++) {
		wl_place_target_t *target = service->targets[(from + i) % service->count];
		uint64_t score;
		wl_need_t need;

		if (!wl_place_fits(place, target, ask, evict, &need))
			continue;
		seen++;
		score = interference(place, target, ask);
		if (choice->target &&
		    (score > best ||
		     (score == best && free_slots(target) <= free_slots(choice->target))))
			continue;
		best = score;
		choice->target = target;
		choice->need = need;
	}
	return choice->target != NULL;
}

/* Sorted by name. */
static const wl_place_policy_t policies[] = {
	{"first-fit", first_fit},
	{"interference-fair", least_interference},
};

#define POLICY_DEFAULT "interference-fair"

/* A policy by its name, the default for an empty one, or NULL. */
const wl_place_policy_t *wl_place_policy_find(wl_str_t name)
{
	if (name.len == 0)
		name = WL_STR(POLICY_DEFAULT);
	for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++)
		if (wl_str_equal(name, wl_str_from(policies[i].name)))
			return &policies[i];
	return NULL;
}
