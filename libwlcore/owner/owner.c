/*
 * The owner component of an entry: dispatches its events, and follows which targets
 * are granted to it.
 *
 * A target is commanded only while the view grants it to this entry's present
 * session, and under the epoch of that grant.
 */

#include "internal.h"

#include <stdlib.h>

#define REPORT_INTERVAL_MS 500

/*
 * Records the present and the previous session with the ends of their validity.
 * A new session applies the whole view again.  While the session has no id, as
 * no leader has granted one yet, the last one stays recorded.
 */
static void session_update(wl_owner_t *owner)
{
	const wl_session_t *session = owner->options.session;

	if (session->id && session->id != owner->session) {
		owner->previous_session = owner->session;
		owner->previous_session_until_ns = owner->session_until_ns;
		owner->session = session->id;
		owner->view_index = 0;
	}
	if (session->id == owner->session)
		owner->session_until_ns = session->valid_until_ns;
}

/*
 * wl_owner_find - the target with a name that is or was owned by this entry, or NULL
 */
wl_owned_target_t *wl_owner_find(const wl_owner_t *owner, wl_str_t target)
{
	return wl_map_get(&owner->by_name, target);
}

/*
 * wl_owned_may_command - whether commands may be sent to a target now
 */
bool wl_owned_may_command(const wl_owned_target_t *owned, uint64_t now_ns)
{
	const wl_session_t *session = owned->owner->options.session;

	return owned->target->state != WL_TARGET_GONE && owned->session == session->id &&
	       wl_session_valid(session, now_ns);
}

/*
 * wl_owned_may_renew - whether leases on a target may be renewed now
 *
 * Renewals continue for the grace period after the session has ended, so that a
 * short loss of the store stops no running work.
 */
bool wl_owned_may_renew(const wl_owned_target_t *owned, uint64_t now_ns)
{
	const wl_owner_t *owner = owned->owner;
	uint64_t until_ns = 0;

	if (owned->target->state == WL_TARGET_GONE)
		return false;
	if (wl_owned_may_command(owned, now_ns))
		return true;
	if (owned->session == owner->session)
		until_ns = owner->session_until_ns;
	else if (owned->session == owner->previous_session)
		until_ns = owner->previous_session_until_ns;
	return until_ns && now_ns < until_ns + owner->options.grace_ms * WL_NS_PER_MS;
}

/*
 * wl_owned_schedule_now - make a target due now
 */
void wl_owned_schedule_now(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned)
{
	wl_heap_put(&ctx->owner->due, &owned->due, ctx->now_ns);
}

static bool row_is_own(const wl_owner_t *owner, const wl_owner_row_t *row)
{
	return !row->forgotten && wl_str_equal(wl_buf_str(&row->entry), owner->options.entry) &&
	       row->session == owner->options.session->id;
}

/* A row of an earlier session of this entry is ignored until the leader grants it again. */
static bool row_is_outdated(const wl_owner_t *owner, const wl_owned_target_t *owned,
			    const wl_owner_row_t *row)
{
	return !row->forgotten && wl_str_equal(wl_buf_str(&row->entry), owner->options.entry) &&
	       row->epoch == owned->target->epoch;
}

static void apply_row(const wl_owner_ctx_t *ctx, const wl_owner_row_t *row)
{
	wl_owned_target_t *owned = wl_owner_find(ctx->owner, wl_buf_str(&row->target));

	if (row_is_own(ctx->owner, row)) {
		if (!owned)
			owned = wl_owned_add(ctx, row);
		if (owned->target->epoch != row->epoch || owned->target->state == WL_TARGET_GONE ||
		    owned->session != row->session)
			wl_owned_grant(ctx, owned, row);
		return;
	}
	if (owned && !row_is_outdated(ctx->owner, owned, row))
		wl_owned_revoke(ctx, owned);
}

static void apply_view(const wl_owner_ctx_t *ctx)
{
	wl_owner_t *owner = ctx->owner;
	const wl_view_t *view = owner->options.view;
	const wl_view_target_t *target;

	TAILQ_FOREACH_REVERSE (target, &view->targets, wl_view_targets, link) {
		if (owner->view_index && target->changed <= owner->view_index)
			break;
		apply_row(ctx, &target->row);
	}
	owner->view_index = view->owners_index;
}

/* Opens or closes all targets when the session begins or ends. */
static void session_check(const wl_owner_ctx_t *ctx)
{
	wl_owner_t *owner = ctx->owner;
	bool ok = wl_session_valid(owner->options.session, ctx->now_ns);
	wl_owned_target_t *owned;

	if (owner->view_index == 0 && owner->options.session->id)
		apply_view(ctx);
	if (ok == owner->session_ok)
		return;
	owner->session_ok = ok;
	TAILQ_FOREACH (owned, &owner->owned, link) {
		wl_owned_sync_ledger(ctx, owned);
		wl_owned_schedule_now(ctx, owned);
	}
}

/* Messages of an earlier leader are dropped: a newer leader may have committed otherwise. */
static bool term_current(wl_owner_t *owner, uint64_t term)
{
	if (owner->options.view->term > owner->term)
		owner->term = owner->options.view->term;
	if (term > owner->term)
		owner->term = term;
	return term == owner->term;
}

static void handle_peer(const wl_owner_ctx_t *ctx, const wl_event_t *event)
{
	wl_owner_t *owner = ctx->owner;

	switch (event->msg.kind) {
	case WL_MSG_ANNOUNCE:
		wl_owner_handle_announce(ctx, &event->msg.u.announce.announce);
		break;
	case WL_MSG_ASSIGN:
		if (term_current(owner, event->msg.u.assign.term))
			wl_owner_handle_assign(ctx, &event->msg.u.assign);
		break;
	case WL_MSG_STOP:
		if (term_current(owner, event->msg.u.stop.term))
			wl_owner_handle_stop(ctx, &event->msg.u.stop);
		break;
	case WL_MSG_REPORTED:
		wl_owner_handle_reported(ctx, &event->msg.u.reported);
		break;
	default:
		break;
	}
}

static void tick(const wl_owner_ctx_t *ctx)
{
	wl_owner_t *owner = ctx->owner;

	if (ctx->now_ns >= owner->report_next_ns) {
		owner->report_next_ns = ctx->now_ns + REPORT_INTERVAL_MS * (uint64_t)WL_NS_PER_MS;
		wl_owner_send_reports(ctx, true);
		wl_owner_expire_closed(ctx);
	}
	if (ctx->now_ns >= owner->offer_next_ns) {
		owner->offer_next_ns = ctx->now_ns + owner->options.offer_ms * WL_NS_PER_MS;
		wl_owner_send_offers(ctx);
	}
}

static void run_due(const wl_owner_ctx_t *ctx)
{
	wl_heap_node_t *due;

	while ((due = wl_heap_pop(&ctx->owner->due, ctx->now_ns)))
		wl_owned_run(ctx, due->owner);
}

/*
 * wl_owner_step - handle one event
 * @event: kinds that do not concern targets are ignored
 * @out: gets commands to targets, messages, replies and log lines
 */
void wl_owner_step(wl_owner_t *owner, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_owner_ctx_t ctx = {owner, now_ns, out};

	session_update(owner);
	session_check(&ctx);
	switch (event->kind) {
	case WL_EVENT_TICK:
		tick(&ctx);
		break;
	case WL_EVENT_PEER:
		handle_peer(&ctx, event);
		break;
	case WL_EVENT_PEER_UP:
		/*
		 * Offers sent over the previous connection may be lost: send all of them again.
		 */
		if (wl_str_equal(wl_buf_str(&event->peer), wl_buf_str(&owner->offer_leader)))
			wl_buf_clear(&owner->offer_leader);
		break;
	case WL_EVENT_CALL:
		wl_owner_handle_call(&ctx, &event->call);
		break;
	case WL_EVENT_FETCHED:
		wl_owner_handle_fetched(&ctx, &event->fetched);
		break;
	case WL_EVENT_VIEW:
		apply_view(&ctx);
		break;
	default:
		break;
	}
	run_due(&ctx);
	if (owner->offers_due)
		wl_owner_send_offers(&ctx);
	if (owner->reports_unsent)
		wl_owner_send_reports(&ctx, false);
}

/*
 * wl_owner_new - create the owner component of an entry
 * @options: what they point to must outlive the owner
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: the owner, or NULL.
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
	owner->next_call_id = 1;
	wl_rng_init(&owner->rng, options->seed, WL_PART_OWNER);
	wl_map_init(&owner->by_name);
	wl_map_init(&owner->attempts);
	wl_map_init(&owner->calls);
	wl_map_init(&owner->pressure_by_service);
	TAILQ_INIT(&owner->owned);
	TAILQ_INIT(&owner->reports);
	TAILQ_INIT(&owner->closed);
	TAILQ_INIT(&owner->open_calls);
	TAILQ_INIT(&owner->pressures);
	wl_pairs_init(&owner->pairs);
	wl_kinds_init(&owner->kinds);
	return owner;
}

/*
 * wl_owner_free - release the owner; its ledger stays
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
	wl_owner_pressures_free(owner);
	wl_pairs_free(&owner->pairs);
	wl_kinds_free(&owner->kinds);
	wl_heap_free(&owner->due);
	wl_buf_free(&owner->offer_leader);
	wl_map_free(&owner->by_name);
	wl_map_free(&owner->attempts);
	wl_map_free(&owner->calls);
	wl_map_free(&owner->pressure_by_service);
	free(owner);
}
