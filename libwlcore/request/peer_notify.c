/*
 * Periodic exchange between entries: free capacity by service, usage by customer.
 *
 * Peers receive what changed.  A peer that may have missed a message, because its
 * connection was lost or its session is new, receives a full update first.  The
 * interval grows with the size of the messages, so that the exchange stays within
 * its share of the bandwidth that a daemon may use.
 */

#include "internal.h"

#include <libwlbase/units.h>

#define KEEPALIVE_INTERVAL_NS (400 * WL_NS_PER_MS)   /* below 1 s, after which reports expire */
#define MAX_INTERVAL_NS	      (4000 * WL_NS_PER_MS)  /* bound of the interval by message size */
#define FULL_UPDATE_NS	      (10000 * WL_NS_PER_MS) /* interval of periodic full updates */
#define MAX_BYTES_PER_S	      12000		     /* bandwidth of the exchange */

/*
 * wl_requests_schedule_full_update - send a peer a full update in the next exchange
 */
void wl_requests_schedule_full_update(wl_requests_t *requests, wl_str_t peer)
{
	wl_requests_peer_get(requests, peer)->synced_session = 0;
}

static bool peer_needs_full_update(const wl_request_peer_t *peer, const wl_requests_t *requests,
				   const wl_member_t *member, uint64_t now_ns)
{
	return peer->synced_session != member->session ||
	       peer->synced_own_session != requests->session ||
	       now_ns >= peer->synced_ns + FULL_UPDATE_NS;
}

/* Returns whether a peer needs a full update; if so, records it as sent at @now_ns. */
static bool peer_mark_full_update(wl_request_peer_t *peer, const wl_requests_t *requests,
				  const wl_member_t *member, uint64_t now_ns)
{
	if (!peer_needs_full_update(peer, requests, member, now_ns))
		return false;
	peer->synced_session = member->session;
	peer->synced_own_session = requests->session;
	peer->synced_ns = now_ns;
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

/* Sends each peer the changes or a full update.  Returns the bytes sent. */
static uint64_t send_to_peers(wl_requests_t *requests, const wl_msg_t *changes, const wl_msg_t *all,
			      uint64_t now_ns, wl_out_t *out)
{
	const wl_list_t *list = &requests->options.view->members;
	const wl_member_t *members = list->items;
	uint64_t changes_bytes = msg_bytes(changes);
	uint64_t all_bytes = msg_bytes(all);
	uint64_t sent = 0;

	for (size_t i = 0; i < list->count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);
		bool full;

		if (wl_str_equal(name, wl_buf_str(&requests->entry)))
			continue;
		full = peer_mark_full_update(wl_requests_peer_get(requests, name), requests,
					     &members[i], now_ns);
		wl_msg_copy(wl_out_send(out, name, WL_MSG_NONE), full ? all : changes);
		sent += full ? all_bytes : changes_bytes;
	}
	return sent;
}

/*
 * A peer that was told of no free capacity sends no request for the service, so that no answer
 * corrects what it knows.
 */
static void resend_answered_full(wl_requests_t *requests)
{
	wl_request_service_t *service;

	TAILQ_FOREACH (service, &requests->services, link) {
		if (!service->answered_full)
			continue;
		service->answered_full = false;
		wl_advert_resend(&requests->own_capacity, service->key);
	}
}

static bool any_peer_needs_full_update(wl_requests_t *requests, uint64_t now_ns)
{
	const wl_list_t *list = &requests->options.view->members;
	const wl_member_t *members = list->items;

	for (size_t i = 0; i < list->count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);

		if (!wl_str_equal(name, wl_buf_str(&requests->entry)) &&
		    peer_needs_full_update(wl_requests_peer_get(requests, name), requests,
					   &members[i], now_ns))
			return true;
	}
	return false;
}

static void exchange_schedule(wl_requests_t *requests, uint64_t sent_bytes, uint64_t now_ns)
{
	uint64_t interval_ns = requests->options.exchange_interval_ms * WL_NS_PER_MS;
	uint64_t bandwidth_interval_ns = sent_bytes * WL_NS_PER_S / MAX_BYTES_PER_S;

	if (bandwidth_interval_ns > MAX_INTERVAL_NS)
		bandwidth_interval_ns = MAX_INTERVAL_NS;
	requests->exchange_end_ns =
		now_ns +
		(bandwidth_interval_ns > interval_ns ? bandwidth_interval_ns : interval_ns);
}

static void exchange_send(wl_requests_t *requests, const wl_msg_t *changes, const wl_msg_t *all,
			  uint64_t now_ns, wl_out_t *out)
{
	uint64_t sent = send_to_peers(requests, changes, all, now_ns, out);

	requests->last_sent_ns = now_ns;
	wl_metrics_add(requests->options.metrics, "wisterialead_exchange_bytes_total", "", sent);
	exchange_schedule(requests, sent, now_ns);
}

/* Sends messages without rows, which confirm that earlier reports are still valid. */
static void keepalive_send(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	const wl_list_t *list = &requests->options.view->members;
	const wl_member_t *members = list->items;

	if (!requests->session || now_ns < requests->last_sent_ns + KEEPALIVE_INTERVAL_NS)
		return;
	requests->last_sent_ns = now_ns;
	for (size_t i = 0; i < list->count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);

		if (!wl_str_equal(name, wl_buf_str(&requests->entry)))
			wl_out_send(out, name, WL_MSG_CAPACITY)->u.capacity.session =
				requests->session;
	}
}

/*
 * wl_requests_exchange - run the exchange if its interval is over, otherwise send keepalives if due
 * @now_ns: monotonic time, nanoseconds
 */
void wl_requests_exchange(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	bool ready;
	wl_err_t err;
	wl_msg_t changes;
	wl_msg_t all;

	if (now_ns < requests->exchange_end_ns) {
		keepalive_send(requests, now_ns, out);
		return;
	}
	ready = wl_requests_ready(requests, now_ns, &err);
	wl_msg_init(&changes, WL_MSG_CAPACITY);
	wl_msg_init(&all, WL_MSG_CAPACITY);
	all.u.capacity.full = true;
	changes.u.capacity.session = all.u.capacity.session = requests->session;
	wl_admit_exchange(&requests->admit, now_ns, &changes.u.capacity.usage_rows,
			  &all.u.capacity.usage_rows);
	wl_advert_update(&requests->own_capacity, ready ? requests->options.ledger : NULL);
	resend_answered_full(requests);
	wl_advert_take_changes(&requests->own_capacity, &changes.u.capacity.capacity_rows);
	wl_advert_copy_all(&requests->own_capacity, &all.u.capacity.capacity_rows);
	exchange_schedule(requests, 0, now_ns);
	if (requests->session &&
	    (changes.u.capacity.capacity_rows.count || changes.u.capacity.usage_rows.count ||
	     now_ns >= requests->last_sent_ns + KEEPALIVE_INTERVAL_NS ||
	     any_peer_needs_full_update(requests, now_ns)))
		exchange_send(requests, &changes, &all, now_ns, out);
	wl_msg_free(&changes);
	wl_msg_free(&all);
}
