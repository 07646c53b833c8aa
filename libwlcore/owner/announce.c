/* Announces of targets: handled by the entry that owns the target, forwarded by the others. */

#include "internal.h"

#include <libwlbase/endpoint.h>

static void set_services(wl_owned_target_t *owned, const wl_list_t *services)
{
	wl_target_t *target = owned->target;

	if (wl_strings_equal(&target->services, services))
		return;
	wl_ledger_set_open(owned->owner->options.ledger, target, false);
	wl_strings_set(&target->services, services);
}

static void set_attributes(wl_owned_target_t *owned, const wl_announce_t *announce)
{
	wl_target_t *target = owned->target;

	wl_buf_set(&target->address, wl_buf_str(&announce->address));
	wl_buf_set(&target->availability_zone, wl_buf_str(&announce->availability_zone));
	wl_buf_set(&target->rack, wl_buf_str(&announce->rack));
	set_services(owned, &announce->services);
	owned->capacity = (wl_need_t){
		.cpu_millis = announce->cpu_millis,
		.memory_mib = announce->memory_mib,
		.accelerators = announce->accelerators,
		.slots = announce->slots,
		.connections = announce->connections,
	};
	owned->leaving = announce->state == WL_ANNOUNCE_DRAINING;
}

static bool buf_equal(const wl_buf_t *a, const wl_buf_t *b)
{
	return wl_str_equal(wl_buf_str(a), wl_buf_str(b));
}

/*
 * Sends the leader the announce of a target whose address, zone, rack or
 * services have changed.  The leader grants the target again with these values,
 * so that its next owner can reach it.
 */
static void notify_leader_of_change(const wl_owner_ctx_t *ctx, const wl_announce_t *announce)
{
	const wl_owner_options_t *options = &ctx->owner->options;
	const wl_owner_row_t *row = wl_view_owner(options->view, wl_buf_str(&announce->name));
	wl_msg_t *msg;

	if (!row || options->session->leader.len == 0 ||
	    (buf_equal(&row->address, &announce->address) &&
	     buf_equal(&row->rack, &announce->rack) &&
	     buf_equal(&row->availability_zone, &announce->availability_zone) &&
	     wl_strings_equal(&row->services, &announce->services)))
		return;
	msg = wl_out_send(ctx->out, wl_buf_str(&options->session->leader), WL_MSG_ANNOUNCE);
	wl_record_copy(&wl_announce_schema, &msg->u.announce.announce, announce);
}

/*
 * A new boot id is not proof of a restart, as an outdated announce may have
 * been delayed on its way.  The adoption that follows proves it or not.
 */
static void handle_own(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
		       const wl_announce_t *announce)
{
	wl_target_t *target = owned->target;
	uint64_t age_ns = announce->usage.taken_ms_ago * WL_NS_PER_MS;

	if (announce->boot == target->boot && announce->seq <= target->seq)
		return;
	target->boot = announce->boot;
	target->seq = announce->seq;
	target->last_announce_ns = ctx->now_ns;
	owned->leases_ended = false;
	owned->usage_taken_ns = age_ns < ctx->now_ns ? ctx->now_ns - age_ns : 0;
	set_attributes(owned, announce);
	if (owned->adopted_boot == announce->boot)
		owned->adopted_left = owned->leaving;
	notify_leader_of_change(ctx, announce);
	if (owned->adopted_boot && owned->adopted_boot != announce->boot)
		wl_owned_handle_event(ctx, owned, WL_TARGET_REBOOT);
	else if (owned->adopted_boot) {
		wl_owned_set_inherited(owned, announce->usage.old_epoch_requests <
							      owned->inherited_requests
						      ? announce->usage.old_epoch_requests
						      : owned->inherited_requests);
		wl_owned_update_attempts(ctx, owned, &announce->tasks, announce->seq);
	}
	wl_owned_handle_event(ctx, owned, WL_TARGET_ANNOUNCED);
	wl_owned_handle_event(ctx, owned, owned->leaving ? WL_TARGET_LEAVE : WL_TARGET_STAY);
	if (owned->health.quarantined)
		wl_owned_handle_event(ctx, owned, WL_TARGET_FAIL);
	wl_owned_sync_ledger(ctx, owned);
	wl_owned_schedule_now(ctx, owned);
}

/*
 * wl_owner_handle_announce - handle an announce that another entry forwarded
 *
 * The announce of a target that this entry does not own is dropped: the view of
 * the sender is older or newer than this entry's, and the next announce follows
 * soon.
 */
void wl_owner_handle_announce(const wl_owner_ctx_t *ctx, const wl_announce_t *announce)
{
	wl_owned_target_t *owned = wl_owner_find(ctx->owner, wl_buf_str(&announce->name));

	if (owned && owned->target->state != WL_TARGET_GONE)
		handle_own(ctx, owned, announce);
}

/*
 * Forwards an announce to the owner of the target, or to the leader when it has
 * none.  Takes the announce from the caller.
 */
static void forward(const wl_owner_ctx_t *ctx, const wl_owner_row_t *row, wl_announce_t *announce)
{
	const wl_owner_options_t *options = &ctx->owner->options;
	wl_str_t to = row && row->entry.len ? wl_buf_str(&row->entry)
					    : wl_buf_str(&options->session->leader);
	wl_msg_t *msg;

	if (to.len == 0)
		return;
	msg = wl_out_send(ctx->out, to, WL_MSG_ANNOUNCE);
	msg->u.announce.announce = *announce;
	*announce = (wl_announce_t){0};
}

/*
 * wl_owner_handle_call - handle an announce that a target sent by HTTP
 */
void wl_owner_handle_call(const wl_owner_ctx_t *ctx, const wl_call_t *call)
{
	wl_announce_t announce;
	wl_reply_t *reply;
	wl_err_t err = {0};
	const wl_owner_options_t *options = &ctx->owner->options;
	const wl_owner_row_t *row;

	if (!wl_record_from_json(&wl_announce_schema, wl_buf_str(&call->body), &announce, &err) ||
	    !wl_endpoint_check(wl_buf_str(&announce.address), "address", &err)) {
		wl_out_reply_error(ctx->out, call->id, &err);
		wl_record_free(&wl_announce_schema, &announce);
		return;
	}

	reply = wl_out_reply(ctx->out, call->id, 200);
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_buf_printf(&reply->body, "{\"interval_ms\":%llu}\n",
		      (unsigned long long)options->announce_ms);
	row = wl_view_owner(options->view, wl_buf_str(&announce.name));
	if (row && wl_str_equal(wl_buf_str(&row->entry), options->entry))
		wl_owner_handle_announce(ctx, &announce);
	else
		forward(ctx, row, &announce);
	wl_record_free(&wl_announce_schema, &announce);
}
