/* Offers: the room on this entry's targets, told to the leader as it changes. */

#include "internal.h"

#define WHOLE_EVERY_MS	5000
#define SMALL_EVERY_MS	500  /* for a change of room by an eighth or more */
#define ANY_EVERY_MS	2000 /* for any other change */
#define BIG_CHANGE	8
#define URGENT_PERMILLE 250 /* kept from batch work where requests are served */
#define URGENT_NS	5000000000ull
#define MOST_PAIRS	64

/*
 * wl_owned_serves - tell whether a target served requests lately
 */
bool wl_owned_serves(const wl_owned_t *owned, uint64_t now_ns)
{
	return owned->served_ns && owned->served_ns + URGENT_NS > now_ns;
}

/*
 * wl_owned_reserve_for_urgent - add to a need of batch work what must stay free beside it
 *
 * Where requests are served a share is kept; those that run now are part of
 * it.  After an eviction batch work gets its room back slot by slot.
 */
void wl_owned_reserve_for_urgent(const wl_turn_t *turn, const wl_owned_t *owned, wl_need_t *need)
{
	const wl_target_t *target = owned->target;
	wl_need_t requests = turn->owner->options.ledger->request;
	uint64_t kept = target->capacity.slots * URGENT_PERMILLE / 1000;
	uint64_t room = wl_owned_batch_room(owned, turn->now_ns);
	uint64_t free_slots = target->capacity.slots > target->reserved.slots
				      ? target->capacity.slots - target->reserved.slots
				      : 0;

	if (!wl_owned_serves(owned, turn->now_ns) || kept <= target->running_requests)
		kept = 0;
	else
		kept -= target->running_requests;
	need->cpu_millis += kept * requests.cpu_millis;
	need->memory_mib += kept * requests.memory_mib;
	kept *= requests.slots;
	if (room < free_slots && free_slots - room > kept)
		kept = free_slots - room;
	need->slots += kept;
}

static void kind_add(wl_list_t *kinds, wl_str_t name)
{
	wl_offer_kind_t *kind = kinds->items;

	for (size_t i = 0; i < kinds->count; i++) {
		if (!wl_str_equal(wl_buf_str(&kind[i].kind), name))
			continue;
		kind[i].running++;
		return;
	}
	kind = wl_list_add(&wl_offer_kind_schema, kinds);
	wl_buf_set(&kind->kind, name);
	kind->running = 1;
}

static void row_fill(const wl_turn_t *turn, const wl_owned_t *owned, wl_offer_row_t *row)
{
	const wl_target_t *target = owned->target;
	const wl_buf_t *services = target->services.items;
	wl_need_t taken = target->reserved;
	const wl_attempt_t *attempt;

	wl_buf_set(&row->target, owned->key);
	row->epoch = target->epoch;
	row->available = target->open && !turn->owner->options.session->draining;
	row->quarantined = target->state == WL_TARGET_ASIDE;
	wl_buf_set(&row->availability_zone, wl_buf_str(&target->availability_zone));
	wl_buf_set(&row->rack, wl_buf_str(&target->rack));
	for (size_t i = 0; i < target->services.count; i++)
		wl_strings_add(&row->services, wl_buf_str(&services[i]));
	wl_owned_reserve_for_urgent(turn, owned, &taken);
	row->capacity = target->capacity;
	row->free = target->capacity;
	wl_need_take(&row->free, &taken);
	row->evictable = target->evictable;
	row->slowdown_permille = target->slowdown_permille;
	TAILQ_FOREACH (attempt, &owned->attempts, of_target)
		if (attempt->phase < WL_ATTEMPT_ENDED)
			kind_add(&row->kinds, wl_buf_str(&attempt->kind));
	if (wl_owned_serves(owned, turn->now_ns))
		kind_add(&row->kinds, wl_buf_str(&owned->served));
}

static bool kinds_same(const wl_list_t *a, const wl_list_t *b)
{
	const wl_offer_kind_t *x = a->items;
	const wl_offer_kind_t *y = b->items;

	if (a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++)
		if (x[i].running != y[i].running ||
		    !wl_str_equal(wl_buf_str(&x[i].kind), wl_buf_str(&y[i].kind)))
			return false;
	return true;
}

static bool need_same(const wl_need_t *a, const wl_need_t *b)
{
	return wl_need_within(a, b) && wl_need_within(b, a);
}

static bool far(uint64_t a, uint64_t b, uint64_t capacity)
{
	return (a > b ? a - b : b - a) * BIG_CHANGE > capacity;
}

static bool need_far(const wl_need_t *a, const wl_need_t *b, const wl_need_t *capacity)
{
	return far(a->cpu_millis, b->cpu_millis, capacity->cpu_millis) ||
	       far(a->memory_mib, b->memory_mib, capacity->memory_mib) ||
	       far(a->accelerators, b->accelerators, capacity->accelerators) ||
	       far(a->slots, b->slots, capacity->slots);
}

/* Room moves with each request; telling every move would cost more than it is worth. */
static bool row_changed(const wl_turn_t *turn, const wl_owned_t *owned, const wl_offer_row_t *row)
{
	const wl_offer_row_t *told = &owned->offered;
	uint64_t ago_ns = turn->now_ns - owned->offered_ns;

	if (row->epoch != told->epoch || row->available != told->available ||
	    row->quarantined != told->quarantined || !need_same(&row->capacity, &told->capacity) ||
	    row->services.count != told->services.count || !kinds_same(&row->kinds, &told->kinds))
		return true;
	if (need_far(&row->free, &told->free, &row->capacity))
		return ago_ns >= SMALL_EVERY_MS * (uint64_t)WL_NS_PER_MS;
	if (need_same(&row->free, &told->free) && need_same(&row->evictable, &told->evictable))
		return false;
	return ago_ns >= ANY_EVERY_MS * (uint64_t)WL_NS_PER_MS;
}

static void offer_row(const wl_turn_t *turn, wl_owned_t *owned, bool whole, wl_list_t *rows)
{
	wl_offer_row_t row = {0};

	row_fill(turn, owned, &row);
	if (!whole && !row_changed(turn, owned, &row)) {
		wl_record_free(&wl_offer_row_schema, &row);
		return;
	}
	wl_record_copy(&wl_offer_row_schema, wl_list_add(&wl_offer_row_schema, rows), &row);
	wl_record_free(&wl_offer_row_schema, &owned->offered);
	owned->offered = row;
	owned->offered_ns = turn->now_ns;
}

static bool leader_new(wl_owner_t *owner)
{
	wl_str_t leader = wl_buf_str(&owner->options.session->leader);

	if (wl_str_equal(leader, wl_buf_str(&owner->offer_leader)))
		return false;
	wl_buf_set(&owner->offer_leader, leader);
	wl_pairs_tell_all(&owner->pairs);
	return true;
}

/*
 * wl_owner_send_offers - tell the leader what changed, and all of it now and then
 */
void wl_owner_send_offers(const wl_turn_t *turn)
{
	wl_owner_t *owner = turn->owner;
	const wl_session_t *session = owner->options.session;
	wl_msg_offer_t offer = {.session = session->id};
	wl_owned_t *owned;

	if (session->leader.len == 0 || !wl_session_valid(session, turn->now_ns))
		return;
	offer.full = leader_new(owner) || turn->now_ns >= owner->offer_whole_ns;
	if (offer.full)
		owner->offer_whole_ns = turn->now_ns + WHOLE_EVERY_MS * (uint64_t)WL_NS_PER_MS;
	TAILQ_FOREACH (owned, &owner->owned, link)
		if (owned->target->state != WL_TARGET_GONE)
			offer_row(turn, owned, offer.full, &offer.offers);
	wl_pairs_take_changes(&owner->pairs, &offer.pairs, MOST_PAIRS);
	if (offer.full || offer.offers.count || offer.pairs.count)
		wl_out_send(turn->out, wl_buf_str(&session->leader), WL_MSG_OFFER)->u.offer = offer;
}
