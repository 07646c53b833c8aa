/*
 * Owner's side of targets: what reaches it, and which targets are its own.
 *
 * Only a target that the view grants to this entry's own session is
 * commanded, under the epoch of that grant.
 */

#include "internal.h"

#include <stdlib.h>

#define REPORT_EVERY_MS 500

/* Before the grant of a leader that is not heard, an entry counts as without a session. */
static void session_note(wl_owner_t *owner)
{
	const wl_session_t *session = owner->options.session;

	if (session->id && session->id != owner->session) {
		owner->past_session = owner->session;
		owner->past_until_ns = owner->session_until_ns;
		owner->session = session->id;
		owner->view_index = 0;
	}
	if (session->id == owner->session)
		owner->session_until_ns = session->valid_until_ns;
}

/*
 * wl_owner_find - the target of a name that is or was this entry's, or NULL
 */
wl_owned_t *wl_owner_find(const wl_owner_t *owner, wl_str_t target)
{
	return wl_map_get(&owner->by_name, target);
}

/*
 * wl_owned_mine - tell whether a target may be commanded now
 */
bool wl_owned_mine(const wl_owned_t *owned, uint64_t now_ns)
{
	const wl_session_t *session = owned->owner->options.session;

	return owned->target->state != WL_TARGET_GONE && owned->session == session->id &&
	       wl_session_valid(session, now_ns);
}

/*
 * wl_owned_may_renew - tell whether leases on a target may be renewed now
 *
 * This lasts a stated time longer than the session, so that a short loss of
 * the store stops no running work.
 */
bool wl_owned_may_renew(const wl_owned_t *owned, uint64_t now_ns)
{
	const wl_owner_t *owner = owned->owner;
	uint64_t until_ns = 0;

	if (owned->target->state == WL_TARGET_GONE)
		return false;
	if (wl_owned_mine(owned, now_ns))
		return true;
	if (owned->session == owner->session)
		until_ns = owner->session_until_ns;
	else if (owned->session == owner->past_session)
		until_ns = owner->past_until_ns;
	return until_ns && now_ns < until_ns + owner->options.grace_ms * WL_NS_PER_MS;
}

/*
 * wl_owned_touch - have a target looked at in this turn
 */
void wl_owned_touch(const wl_turn_t *turn, wl_owned_t *owned)
{
	wl_heap_put(&turn->owner->due, &owned->due, turn->now_ns);
}

static bool row_mine(const wl_owner_t *owner, const wl_owner_row_t *row)
{
	return !row->forgotten && wl_str_equal(wl_buf_str(&row->entry), owner->options.entry) &&
	       row->session == owner->options.session->id;
}

/* A row of an earlier session of this entry stays as it is until the leader grants it anew. */
static bool row_past(const wl_owner_t *owner, const wl_owned_t *owned, const wl_owner_row_t *row)
{
	return !row->forgotten && wl_str_equal(wl_buf_str(&row->entry), owner->options.entry) &&
	       row->epoch == owned->target->epoch;
}

static void take_row(const wl_turn_t *turn, const wl_owner_row_t *row)
{
	wl_owned_t *owned = wl_owner_find(turn->owner, wl_buf_str(&row->target));

	if (row_mine(turn->owner, row)) {
		if (!owned)
			owned = wl_owned_add(turn, row);
		if (owned->target->epoch != row->epoch || owned->target->state == WL_TARGET_GONE ||
		    owned->session != row->session)
			wl_owned_grant(turn, owned, row);
		return;
	}
	if (owned && !row_past(turn->owner, owned, row))
		wl_owned_move(turn, owned);
}

static void take_view(const wl_turn_t *turn)
{
	wl_owner_t *owner = turn->owner;
	const wl_view_t *view = owner->options.view;
	const wl_view_target_t *target;

	TAILQ_FOREACH_REVERSE (target, &view->targets, wl_view_targets, link) {
		if (owner->view_index && target->changed <= owner->view_index)
			break;
		take_row(turn, &target->row);
	}
	owner->view_index = view->owners_index;
}

/* Opens or closes every target when the session begins or ends. */
static void session_check(const wl_turn_t *turn)
{
	wl_owner_t *owner = turn->owner;
	bool ok = wl_session_valid(owner->options.session, turn->now_ns);
	wl_owned_t *owned;

	if (owner->view_index == 0 && owner->options.session->id)
		take_view(turn);
	if (ok == owner->session_ok)
		return;
	owner->session_ok = ok;
	TAILQ_FOREACH (owned, &owner->owned, link) {
		wl_owned_settle(turn, owned);
		wl_owned_touch(turn, owned);
	}
}

/* What an earlier leader sent may have been overtaken by what a later one committed. */
static bool term_current(wl_owner_t *owner, uint64_t term)
{
	if (owner->options.view->term > owner->term)
		owner->term = owner->options.view->term;
	if (term > owner->term)
		owner->term = term;
	return term == owner->term;
}

static void take_peer(const wl_turn_t *turn, const wl_event_t *event)
{
	wl_owner_t *owner = turn->owner;

	switch (event->msg.kind) {
	case WL_MSG_ANNOUNCE:
		wl_owner_take_announce(turn, &event->msg.u.announce.announce);
		break;
	case WL_MSG_ASSIGN:
		if (term_current(owner, event->msg.u.assign.term))
			wl_owner_take_assign(turn, &event->msg.u.assign);
		break;
	case WL_MSG_STOP:
		if (term_current(owner, event->msg.u.stop.term))
			wl_owner_take_stop(turn, &event->msg.u.stop);
		break;
	case WL_MSG_REPORTED:
		wl_owner_take_reported(turn, &event->msg.u.reported);
		break;
	default:
		break;
	}
}

static void tick(const wl_turn_t *turn)
{
	wl_owner_t *owner = turn->owner;

	if (turn->now_ns >= owner->report_next_ns) {
		owner->report_next_ns = turn->now_ns + REPORT_EVERY_MS * (uint64_t)WL_NS_PER_MS;
		wl_owner_send_reports(turn, true);
		wl_owner_forget_closed(turn);
	}
	if (turn->now_ns >= owner->offer_next_ns) {
		owner->offer_next_ns = turn->now_ns + owner->options.offer_ms * WL_NS_PER_MS;
		wl_owner_send_offers(turn);
	}
}

static void run_due(const wl_turn_t *turn)
{
	wl_heap_node_t *due;

	while ((due = wl_heap_pop(&turn->owner->due, turn->now_ns)))
		wl_owned_run(turn, due->owner);
}

/*
 * wl_owner_step - take in one event
 * @event: others than those about targets are passed over
 * @out: gets calls to targets, messages, replies and log lines
 */
void wl_owner_step(wl_owner_t *owner, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_turn_t turn = {owner, now_ns, out};

	session_note(owner);
	session_check(&turn);
	switch (event->kind) {
	case WL_EVENT_TICK:
		tick(&turn);
		break;
	case WL_EVENT_PEER:
		take_peer(&turn, event);
		break;
	case WL_EVENT_PEER_UP:
		/* Offers on the link before may be lost. */
		if (wl_str_equal(wl_buf_str(&event->peer), wl_buf_str(&owner->offer_leader)))
			wl_buf_clear(&owner->offer_leader);
		break;
	case WL_EVENT_CALL:
		wl_owner_take_call(&turn, &event->call);
		break;
	case WL_EVENT_FETCHED:
		wl_owner_take_fetched(&turn, &event->fetched);
		break;
	case WL_EVENT_VIEW:
		take_view(&turn);
		break;
	default:
		break;
	}
	run_due(&turn);
	if (owner->reports_fresh)
		wl_owner_send_reports(&turn, false);
}

/*
 * wl_owner_new - make the owner's part of an entry
 * @options: what they point to must outlive the owner
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: the part, or NULL.
 */
wl_owner_t *wl_owner_new(const wl_owner_options_t *options, uint64_t now_ns, wl_err_t *err)
{
	const wl_evict_policy_t *eviction = wl_evict_policy_find(options->eviction, err);
	wl_owner_t *owner;

	if (!eviction)
		return NULL;
	owner = wl_alloc(sizeof(*owner));
	owner->options = *options;
	owner->eviction = eviction;
	owner->report_next_ns = now_ns;
	owner->offer_next_ns = now_ns;
	owner->next_call = 1;
	wl_rng_init(&owner->rng, options->seed, WL_PART_OWNER);
	wl_map_init(&owner->by_name);
	wl_map_init(&owner->attempts);
	wl_map_init(&owner->calls);
	wl_map_init(&owner->presses);
	TAILQ_INIT(&owner->owned);
	TAILQ_INIT(&owner->reports);
	TAILQ_INIT(&owner->closed);
	TAILQ_INIT(&owner->calls_open);
	TAILQ_INIT(&owner->press_list);
	wl_pairs_init(&owner->pairs);
	wl_kinds_init(&owner->kinds);
	return owner;
}

/*
 * wl_owner_free - release the part; its ledger stays
 */
void wl_owner_free(wl_owner_t *owner)
{
	if (!owner)
		return;
	while (!TAILQ_EMPTY(&owner->owned))
		wl_owned_free(owner, TAILQ_FIRST(&owner->owned));
	while (!TAILQ_EMPTY(&owner->reports))
		wl_attempt_free(owner, TAILQ_FIRST(&owner->reports));
	while (!TAILQ_EMPTY(&owner->closed))
		wl_attempt_free(owner, TAILQ_FIRST(&owner->closed));
	wl_owner_calls_free(owner);
	wl_owner_presses_free(owner);
	wl_pairs_free(&owner->pairs);
	wl_kinds_free(&owner->kinds);
	wl_heap_free(&owner->due);
	wl_buf_free(&owner->offer_leader);
	wl_map_free(&owner->by_name);
	wl_map_free(&owner->attempts);
	wl_map_free(&owner->calls);
	wl_map_free(&owner->presses);
	free(owner);
}
