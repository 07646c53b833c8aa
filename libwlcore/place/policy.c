/* Placement policies, found by name: the baseline and the one that avoids interference. */

#include "internal.h"

#include <libwlbase/named.h>

#include <libwlcore/owner/ledger.h>

#define CANDIDATES	 24 /* targets with room that are compared */
#define ALONE_PERMILLE	 1000ULL
#define KINDS_MOST	 16   /* kinds of one target that are looked at */
#define PATIENCE_MS	 3000 /* that a batch task waits for a place where it does no harm */
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

static bool long_share_left(const wl_place_target_t *target, const wl_place_ask_t *ask)
{
	const wl_place_rack_t *rack = target->rack;
	uint64_t most = rack->slots * ask->long_permille / ALONE_PERMILLE;

	return rack->long_held_milli < larger(most, LEAST_LONG_SLOTS) * WL_SLOT_MILLI;
}

/* Whether a target has room for an ask, and how much it would take there. */
bool wl_place_fits(const wl_place_t *place, const wl_place_target_t *target,
		   const wl_place_ask_t *ask, bool evict, wl_need_t *need)
{
	wl_need_t room = target->row.free;

	if (!target->row.available || target->row.quarantined || !target->rack ||
	    place->now_ns < target->hold_ns)
		return false;
	if (!wl_need_within(&ask->declared, &target->row.capacity))
		return false;
	if (ask->is_long && !ask->urgent && !long_share_left(target, ask))
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

/* A kind of work on a target, and how many of it. */
typedef struct present {
	wl_str_t kind;
	uint64_t count;
} present_t;

typedef struct presence {
	present_t kinds[KINDS_MOST];
	size_t count;
} presence_t;

static void presence_add(presence_t *presence, wl_str_t kind, uint64_t count)
{
	for (size_t i = 0; i < presence->count; i++) {
		if (!wl_str_equal(presence->kinds[i].kind, kind))
			continue;
		presence->kinds[i].count += count;
		return;
	}
	if (presence->count < KINDS_MOST)
		presence->kinds[presence->count++] = (present_t){kind, count};
}

static void presence_of(const wl_place_target_t *target, presence_t *presence)
{
	const wl_offer_kind_t *kinds = target->row.kinds.items;
	const wl_place_load_t *load;

	presence->count = 0;
	for (size_t i = 0; i < target->row.kinds.count; i++)
		presence_add(presence, wl_buf_str(&kinds[i].kind), kinds[i].running);
	TAILQ_FOREACH (load, &target->loads, link)
		if (!load->included)
			presence_add(presence, wl_buf_str(&load->kind), 1);
}

/* Worst slowdown of a kind beside the others that are there. */
static uint64_t suffered(const wl_place_t *place, const presence_t *presence, wl_str_t kind)
{
	uint64_t worst = ALONE_PERMILLE;

	for (size_t i = 0; i < presence->count; i++)
		worst = larger(worst, wl_place_slowdown(place, kind, presence->kinds[i].kind));
	return worst;
}

static int64_t speed(uint64_t slowdown_permille)
{
	return (int64_t)(ALONE_PERMILLE * ALONE_PERMILLE / slowdown_permille);
}

/*
 * Speed that the work there would lose, less the speed that the task would
 * have, in thousandths of a task alone; below zero the target does more work
 * with the task than without.
 */
static int64_t net_loss(const wl_place_t *place, const wl_place_target_t *target,
			const wl_place_ask_t *ask, const presence_t *presence)
{
	uint64_t own = suffered(place, presence, ask->kind);
	int64_t loss = 0;

	own = own * larger(target->row.slowdown_permille, ALONE_PERMILLE) / ALONE_PERMILLE;
	for (size_t i = 0; i < presence->count; i++) {
		const present_t *there = &presence->kinds[i];
		uint64_t now = suffered(place, presence, there->kind);
		uint64_t then = larger(now, wl_place_slowdown(place, there->kind, ask->kind));

		loss += (int64_t)there->count * (speed(now) - speed(then));
	}
	return loss - speed(own);
}

static uint64_t count_of(const presence_t *presence, wl_str_t kind)
{
	for (size_t i = 0; i < presence->count; i++)
		if (wl_str_equal(presence->kinds[i].kind, kind))
			return presence->kinds[i].count;
	return 0;
}

static uint64_t free_slots(const wl_place_target_t *target)
{
	wl_need_t room = target->row.free;

	wl_need_take(&room, &target->pending);
	return room.slots;
}

/* How good a target is: less loss, then its own kind if that kind has foes, then free slots. */
typedef struct rank {
	int64_t loss;
	uint64_t kin;
	uint64_t slots;
} rank_t;

static bool better(const rank_t *a, const rank_t *b)
{
	if (a->loss != b->loss)
		return a->loss < b->loss;
	if (a->kin != b->kin)
		return a->kin > b->kin;
	return a->slots > b->slots;
}

static rank_t rank_of(const wl_place_t *place, const wl_place_target_t *target,
		      const wl_place_ask_t *ask, bool has_foes)
{
	presence_t presence;
	rank_t rank;

	presence_of(target, &presence);
	rank.loss = net_loss(place, target, ask, &presence);
	rank.kin = has_foes && count_of(&presence, ask->kind) > 0;
	rank.slots = free_slots(target);
	return rank;
}

/* Compares a bounded number of targets with room, from a random place in the table on. */
static bool least_interference(wl_place_t *place, const wl_place_service_t *service,
			       const wl_place_ask_t *ask, bool evict, wl_place_choice_t *choice)
{
	size_t from = service->count ? wl_rng_below(&place->rng, service->count) : 0;
	bool has_foes = wl_strings_have(&place->foes, ask->kind);
	rank_t best = {0};
	size_t seen = 0;

	choice->target = NULL;
	for (size_t i = 0; i < service->count && seen < CANDIDATES; i++) {
		wl_place_target_t *target = service->targets[(from + i) % service->count];
		rank_t rank;
		wl_need_t need;

		if (!wl_place_fits(place, target, ask, evict, &need))
			continue;
		seen++;
		rank = rank_of(place, target, ask, has_foes);
		if (choice->target && !better(&rank, &best))
			continue;
		best = rank;
		choice->target = target;
		choice->need = need;
	}
	choice->spared =
		choice->target && best.loss > 0 && !ask->urgent && ask->waited_ms < PATIENCE_MS;
	return choice->target && !choice->spared;
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
	return WL_NAMED_FIND(policies, name);
}
