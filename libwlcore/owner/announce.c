/* Announces of targets: passed on to their owner, or taken in. */

#include "internal.h"

static void take_services(wl_owned_t *owned, const wl_list_t *services)
{
	wl_target_t *target = owned->target;

	if (wl_strings_equal(&target->services, services))
		return;
	wl_ledger_open(owned->owner->options.ledger, target, false);
	wl_strings_set(&target->services, services);
}

static void take_facts(wl_owned_t *owned, const wl_announce_t *announce)
{
	wl_target_t *target = owned->target;

	wl_buf_set(&target->address, wl_buf_str(&announce->address));
	wl_buf_set(&target->availability_zone, wl_buf_str(&announce->availability_zone));
	wl_buf_set(&target->rack, wl_buf_str(&announce->rack));
	take_services(owned, &announce->services);
	owned->capacity = (wl_need_t){
		.cpu_millis = announce->cpu_millis,
		.memory_mib = announce->memory_mib,
		.accelerators = announce->accelerators,
		.slots = announce->slots,
		.connections = announce->connections,
	};
	owned->leaving = announce->state == WL_ANNOUNCE_DRAINING;
}

static bool same(const wl_buf_t *a, const wl_buf_t *b)
{
	return wl_str_equal(wl_buf_str(a), wl_buf_str(b));
}

/* The leader grants a target that changed anew, so that its next owner can reach it. */
static void tell_change(const wl_turn_t *turn, const wl_announce_t *announce)
{
	const wl_owner_options_t *options = &turn->owner->options;
	const wl_owner_row_t *row = wl_view_owner(options->view, wl_buf_str(&announce->name));
	wl_msg_t *msg;

	if (!row || options->session->leader.len == 0 ||
	    (same(&row->address, &announce->address) && same(&row->rack, &announce->rack) &&
	     same(&row->availability_zone, &announce->availability_zone) &&
	     wl_strings_equal(&row->services, &announce->services)))
		return;
	msg = wl_out_send(turn->out, wl_buf_str(&options->session->leader), WL_MSG_ANNOUNCE);
	wl_record_copy(&wl_announce_schema, &msg->u.announce.announce, announce);
}

/*
 * A different boot id is only a claim: the announce may be an old one that was
 * long on its way.  The adoption that follows proves it or not.
 */
static void take_own(const wl_turn_t *turn, wl_owned_t *owned, const wl_announce_t *announce)
{
	wl_target_t *target = owned->target;
	uint64_t ago_ns = announce->usage.taken_ms_ago * WL_NS_PER_MS;

	if (announce->boot == target->boot && announce->seq <= target->seq)
		return;
	target->boot = announce->boot;
	target->seq = announce->seq;
	target->heard_ns = turn->now_ns;
	owned->lost = false;
	owned->usage_ns = ago_ns < turn->now_ns ? turn->now_ns - ago_ns : 0;
	take_facts(owned, announce);
	tell_change(turn, announce);
	if (owned->adopted_boot && owned->adopted_boot != announce->boot)
		wl_owned_event(turn, owned, WL_TARGET_REBOOT);
	else if (owned->adopted_boot) {
		wl_owned_earlier(owned, announce->usage.old_epoch_requests < owned->earlier
						? announce->usage.old_epoch_requests
						: owned->earlier);
		wl_owned_seen(turn, owned, &announce->tasks, announce->seq);
	}
	wl_owned_event(turn, owned, WL_TARGET_HEARD);
	wl_owned_event(turn, owned, owned->leaving ? WL_TARGET_LEAVE : WL_TARGET_STAY);
	if (owned->health.aside)
		wl_owned_event(turn, owned, WL_TARGET_FAIL);
	wl_owned_settle(turn, owned);
	wl_owned_touch(turn, owned);
}

/*
 * wl_owner_take_announce - take in an announce that another entry passed on
 *
 * One of a target that is not this entry's is dropped: the sender's view is
 * older, or newer, than this entry's; the next announce comes soon.
 */
void wl_owner_take_announce(const wl_turn_t *turn, const wl_announce_t *announce)
{
	wl_owned_t *owned = wl_owner_find(turn->owner, wl_buf_str(&announce->name));

	if (owned && owned->target->state != WL_TARGET_GONE)
		take_own(turn, owned, announce);
}

/* Moves the announce to its owner, or to the leader when it has none. */
static void pass_on(const wl_turn_t *turn, const wl_owner_row_t *row, wl_announce_t *announce)
{
	const wl_owner_options_t *options = &turn->owner->options;
	wl_str_t to = row && row->entry.len ? wl_buf_str(&row->entry)
					    : wl_buf_str(&options->session->leader);
	wl_msg_t *msg;

	if (to.len == 0)
		return;
	msg = wl_out_send(turn->out, to, WL_MSG_ANNOUNCE);
	msg->u.announce.announce = *announce;
	*announce = (wl_announce_t){0};
}

/*
 * wl_owner_take_call - take in an announce that came by HTTP
 */
void wl_owner_take_call(const wl_turn_t *turn, const wl_call_t *call)
{
	wl_announce_t announce;
	wl_reply_t *reply;
	wl_err_t err = {0};
	const wl_owner_options_t *options = &turn->owner->options;
	const wl_owner_row_t *row;

	if (!wl_record_from_json(&wl_announce_schema, wl_buf_str(&call->body), &announce, &err)) {
		wl_out_reply_error(turn->out, call->id, &err);
		return;
	}

	reply = wl_out_reply(turn->out, call->id, 200);
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_buf_printf(&reply->body, "{\"interval_ms\":%llu}\n",
		      (unsigned long long)options->announce_ms);
	row = wl_view_owner(options->view, wl_buf_str(&announce.name));
	if (row && wl_str_equal(wl_buf_str(&row->entry), options->entry))
		wl_owner_take_announce(turn, &announce);
	else
		pass_on(turn, row, &announce);
	wl_record_free(&wl_announce_schema, &announce);
}
