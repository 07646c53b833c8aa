/*
 * The exchange between entries: free room by service, use by customer.
 *
 * Peers are told what changed.  A peer that may have missed something, as its
 * link broke or its session is new, is told everything first.  The more there
 * is to tell, the longer the interval, so that the exchange stays within its
 * part of the bytes that a daemon may spend.
 */

#include "internal.h"

#include <libwlbase/units.h>

#define REMIND_NS \
	(400 * WL_NS_PER_MS) /* a message is sent at least so often: peers forget in 1 s */
#define PACED_MOST_NS (4000 * WL_NS_PER_MS)
#define WHOLE_NS      (10000 * WL_NS_PER_MS)
#define BYTES_PER_S   12000
/*
 * wl_requests_owe - have a peer told everything next time
 */
void wl_requests_owe(wl_requests_t *requests, wl_str_t peer)
{
	wl_requests_peer_get(requests, peer)->told_session = 0;
}

static bool peer_owed(wl_request_peer_t *peer, const wl_requests_t *requests,
		      const wl_member_t *member, uint64_t now_ns)
{
	if (peer->told_session == member->session && peer->told_as == requests->session &&
	    now_ns < peer->whole_ns + WHOLE_NS)
		return false;
	peer->told_session = member->session;
	peer->told_as = requests->session;
	peer->whole_ns = now_ns;
	return true;
}

static uint64_t msg_bytes(const wl_msg_t *msg)
{
	wl_buf_t bytes = {0};
	uint64_t count;

	wl_msg_pack(msg, &bytes);
	count = bytes.len;
	wl_buf_free(&bytes);
	return count;
}

/* Sends each peer the changes, or everything. */
static uint64_t tell_peers(wl_requests_t *requests, const wl_msg_t *changes, const wl_msg_t *all,
			   uint64_t now_ns, wl_out_t *out)
{
	const wl_list_t *list = &requests->options.view->members;
	const wl_member_t *members = list->items;
	uint64_t changes_bytes = msg_bytes(changes);
	uint64_t all_bytes = msg_bytes(all);
	uint64_t sent = 0;

	for (size_t i = 0; i < list->count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);
		bool whole;

		if (wl_str_equal(name, wl_buf_str(&requests->entry)))
			continue;
		whole = peer_owed(wl_requests_peer_get(requests, name), requests, &members[i],
				  now_ns);
		wl_msg_copy(wl_out_send(out, name, WL_MSG_NONE), whole ? all : changes);
		sent += whole ? all_bytes : changes_bytes;
	}
	return sent;
}

static bool peers_owed(wl_requests_t *requests)
{
	const wl_list_t *list = &requests->options.view->members;
	const wl_member_t *members = list->items;

	for (size_t i = 0; i < list->count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);

		if (!wl_str_equal(name, wl_buf_str(&requests->entry)) &&
		    wl_requests_peer_get(requests, name)->told_session != members[i].session)
			return true;
	}
	return false;
}

static void tell_plan(wl_requests_t *requests, uint64_t sent_bytes, uint64_t now_ns)
{
	uint64_t interval_ns = requests->options.room_ms * WL_NS_PER_MS;
	uint64_t paced_ns = sent_bytes * WL_NS_PER_S / BYTES_PER_S;

	if (paced_ns > PACED_MOST_NS)
		paced_ns = PACED_MOST_NS;
	requests->tell_ns = now_ns + (paced_ns > interval_ns ? paced_ns : interval_ns);
}

static void tell_send(wl_requests_t *requests, const wl_msg_t *changes, const wl_msg_t *all,
		      uint64_t now_ns, wl_out_t *out)
{
	uint64_t sent = tell_peers(requests, changes, all, now_ns, out);

	requests->told_ns = now_ns;
	wl_metrics_add(requests->options.metrics, "wisterialead_exchange_bytes_total", "", sent);
	tell_plan(requests, sent, now_ns);
}

/* A message without rows says that what was told holds still. */
static void tell_remind(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	const wl_list_t *list = &requests->options.view->members;
	const wl_member_t *members = list->items;

	if (!requests->session || now_ns < requests->told_ns + REMIND_NS)
		return;
	requests->told_ns = now_ns;
	for (size_t i = 0; i < list->count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);

		if (!wl_str_equal(name, wl_buf_str(&requests->entry)))
			wl_out_send(out, name, WL_MSG_CAPACITY)->u.capacity.session =
				requests->session;
	}
}

/*
 * wl_requests_tell - end the exchange interval if it is over, and tell peers what changed
 */
void wl_requests_tell(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	bool ready;
	wl_err_t err;
	wl_msg_t changes;
	wl_msg_t all;

	if (now_ns < requests->tell_ns) {
		tell_remind(requests, now_ns, out);
		return;
	}
	ready = wl_requests_ready(requests, now_ns, &err);
	wl_msg_init(&changes, WL_MSG_CAPACITY);
	wl_msg_init(&all, WL_MSG_CAPACITY);
	all.u.capacity.full = true;
	changes.u.capacity.session = all.u.capacity.session = requests->session;
	wl_admit_exchange(&requests->admit, now_ns, &changes.u.capacity.usage_rows,
			  &all.u.capacity.usage_rows);
	wl_tell_measure(&requests->tell, ready ? requests->options.ledger : NULL);
	wl_tell_changes(&requests->tell, &changes.u.capacity.capacity_rows);
	wl_tell_all(&requests->tell, &all.u.capacity.capacity_rows);
	tell_plan(requests, 0, now_ns);
	if (requests->session &&
	    (changes.u.capacity.capacity_rows.count || changes.u.capacity.usage_rows.count ||
	     now_ns >= requests->told_ns + REMIND_NS || peers_owed(requests)))
		tell_send(requests, &changes, &all, now_ns, out);
	wl_msg_free(&changes);
	wl_msg_free(&all);
}
