/* Offers: the free capacity on this entry's targets, sent to the leader when it changes. */

#include "internal.h"

#define FULL_INTERVAL_MS	 5000
#define LARGE_CHANGE_INTERVAL_MS 500  /* after a change by more than an eighth of the capacity */
#define SMALL_CHANGE_INTERVAL_MS 2000 /* after any smaller change */
#define LARGE_CHANGE_DIVISOR	 8
#define URGENT_RESERVE_PERMILLE	 250 /* slots kept from batch work where requests are served */
#define RECENT_REQUEST_NS	 5000000000ull
#define MAX_PAIRS		 64

/*
 * wl_owned_serves_requests - whether a target has served requests recently
 */
bool wl_owned_serves_requests(const wl_owned_target_t *owned, uint64_t now_ns)
{
	return owned->last_request_ns && owned->last_request_ns + RECENT_REQUEST_NS > now_ns;
}

/*
 * wl_owned_reserve_for_urgent - add the capacity that must stay free to the need of batch work
 * @need: of batch work; the capacity reserved for urgent work is added
 *
 * On a target that serves requests a share of the slots is kept for them;
 * requests that run now count as part of it.  After an eviction batch work
 * regains its slots one by one.
 */
void wl_owned_reserve_for_urgent(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned,
				 wl_need_t *need)
{
	const wl_target_t *target = owned->target;
	wl_need_t requests = ctx->owner->options.ledger->request;
	uint64_t kept = target->capacity.slots * URGENT_RESERVE_PERMILLE / 1000;
	uint64_t batch_slots = wl_owned_free_batch_slots(owned, ctx->now_ns);
	uint64_t free_slots = target->capacity.slots > target->reserved.slots
				      ? target->capacity.slots - target->reserved.slots
				      : 0;

	if (!wl_owned_serves_requests(owned, ctx->now_ns) || kept <= target->running_requests)
		kept = 0;
	else
		kept -= target->running_requests;
	need->cpu_millis += kept * requests.cpu_millis;
	need->memory_mib += kept * requests.memory_mib;
	kept *= requests.slots;
	if (batch_slots < free_slots && free_slots - batch_slots > kept)
		kept = free_slots - batch_slots;
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

static void row_fill(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned, wl_offer_row_t *row)
{
	const wl_target_t *target = owned->target;
	const wl_buf_t *services = target->services.items;
	wl_need_t taken = target->reserved;
	const wl_attempt_t *attempt;

	wl_buf_set(&row->target, owned->key);
	row->epoch = target->epoch;
	row->boot = owned->adopted_boot;
	row->available = target->open && !ctx->owner->options.session->draining;
	row->quarantined = target->state == WL_TARGET_QUARANTINED;
	wl_buf_set(&row->availability_zone, wl_buf_str(&target->availability_zone));
	wl_buf_set(&row->rack, wl_buf_str(&target->rack));
	for (size_t i = 0; i < target->services.count; i++)
		wl_strings_add(&row->services, wl_buf_str(&services[i]));
	wl_owned_reserve_for_urgent(ctx, owned, &taken);
	row->capacity = target->capacity;
	row->free = target->capacity;
	wl_need_subtract(&row->free, &taken);
	row->evictable = target->evictable;
	row->slowdown_permille = target->slowdown_permille;
	TAILQ_FOREACH (attempt, &owned->attempts, target_link)
		if (attempt->phase < WL_ATTEMPT_ENDED)
			kind_add(&row->kinds, wl_buf_str(&attempt->kind));
	if (wl_owned_serves_requests(owned, ctx->now_ns))
		kind_add(&row->kinds, wl_buf_str(&owned->last_service));
}

static bool kinds_equal(const wl_list_t *a, const wl_list_t *b)
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

static bool need_equal(const wl_need_t *a, const wl_need_t *b)
{
	return wl_need_within(a, b) && wl_need_within(b, a);
}

static bool differs_widely(uint64_t a, uint64_t b, uint64_t capacity)
{
	return (a > b ? a - b : b - a) * LARGE_CHANGE_DIVISOR > capacity;
}

static bool need_differs_widely(const wl_need_t *a, const wl_need_t *b, const wl_need_t *capacity)
{
	return differs_widely(a->cpu_millis, b->cpu_millis, capacity->cpu_millis) ||
	       differs_widely(a->memory_mib, b->memory_mib, capacity->memory_mib) ||
	       differs_widely(a->accelerators, b->accelerators, capacity->accelerators) ||
	       differs_widely(a->slots, b->slots, capacity->slots);
}

/*
 * Free capacity changes with each request; sending every change would cost more
 * than the leader gains from it.
 */
static bool row_changed(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned,
			const wl_offer_row_t *row)
{
	const wl_offer_row_t *sent = &owned->offered;
	uint64_t age_ns = ctx->now_ns - owned->offered_ns;

	if (row->epoch != sent->epoch || row->boot != sent->boot ||
	    row->available != sent->available || row->quarantined != sent->quarantined ||
	    !need_equal(&row->capacity, &sent->capacity) ||
	    row->services.count != sent->services.count || !kinds_equal(&row->kinds, &sent->kinds))
		return true;
	if (need_differs_widely(&row->free, &sent->free, &row->capacity))
		return age_ns >= LARGE_CHANGE_INTERVAL_MS * (uint64_t)WL_NS_PER_MS;
	if (need_equal(&row->free, &sent->free) && need_equal(&row->evictable, &sent->evictable))
		return false;
	return age_ns >= SMALL_CHANGE_INTERVAL_MS * (uint64_t)WL_NS_PER_MS;
}

static void offer_row(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned, bool whole,
		      wl_list_t *rows)
{
	wl_offer_row_t row = {0};

	row_fill(ctx, owned, &row);
	if (!whole && !row_changed(ctx, owned, &row)) {
		wl_record_free(&wl_offer_row_schema, &row);
		return;
	}
	wl_record_copy(&wl_offer_row_schema, wl_list_add(&wl_offer_row_schema, rows), &row);
	wl_record_free(&wl_offer_row_schema, &owned->offered);
	owned->offered = row;
	owned->offered_ns = ctx->now_ns;
}

static bool leader_changed(wl_owner_t *owner)
{
	wl_str_t leader = wl_buf_str(&owner->options.session->leader);

	if (wl_str_equal(leader, wl_buf_str(&owner->offer_leader)))
		return false;
	wl_buf_set(&owner->offer_leader, leader);
	wl_pairs_resend_all(&owner->pairs);
	return true;
}

/*
 * wl_owner_send_offers - send the leader the offers that changed, periodically all of them
 */
void wl_owner_send_offers(const wl_owner_ctx_t *ctx)
{
	wl_owner_t *owner = ctx->owner;
	const wl_session_t *session = owner->options.session;
	wl_msg_offer_t offer = {.session = session->id};
	wl_owned_target_t *owned;

	owner->offers_due = false;
	if (session->leader.len == 0 || !wl_session_valid(session, ctx->now_ns))
		return;
	offer.full = leader_changed(owner) || ctx->now_ns >= owner->full_offer_next_ns;
	if (offer.full)
		owner->full_offer_next_ns = ctx->now_ns + FULL_INTERVAL_MS * (uint64_t)WL_NS_PER_MS;
	TAILQ_FOREACH (owned, &owner->owned, link)
		if (owned->target->state != WL_TARGET_GONE)
			offer_row(ctx, owned, offer.full, &offer.offers);
	wl_pairs_take_changes(&owner->pairs, &offer.pairs, MAX_PAIRS);
	if (offer.full || offer.offers.count || offer.pairs.count)
		wl_out_send(ctx->out, wl_buf_str(&session->leader), WL_MSG_OFFER)->u.offer = offer;
}
