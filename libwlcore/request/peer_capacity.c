/* Free capacity of peers, from their latest reports. */

#include "peer_capacity.h"

#include <stdlib.h>

#define REPORT_TIMEOUT_NS 1000000000ull /* older reports are ignored */

/*
 * wl_peer_capacity_init - initialize without peers
 */
void wl_peer_capacity_init(wl_peer_capacity_t *capacity)
{
	TAILQ_INIT(&capacity->peers);
	TAILQ_INIT(&capacity->services);
	wl_map_init(&capacity->by_service);
}

static void service_free(wl_capacity_service_t *service)
{
	wl_capacity_report_t *report;

	while ((report = TAILQ_FIRST(&service->reports))) {
		TAILQ_REMOVE(&service->reports, report, link);
		wl_buf_free(&report->availability_zone);
		free(report);
	}
	wl_buf_free(&service->name);
	free(service);
}

/*
 * wl_peer_capacity_free - free all peers and services
 */
void wl_peer_capacity_free(wl_peer_capacity_t *capacity)
{
	wl_capacity_service_t *service;
	wl_capacity_peer_t *peer;

	while ((service = TAILQ_FIRST(&capacity->services))) {
		TAILQ_REMOVE(&capacity->services, service, link);
		service_free(service);
	}
	while ((peer = TAILQ_FIRST(&capacity->peers))) {
		TAILQ_REMOVE(&capacity->peers, peer, link);
		wl_buf_free(&peer->name);
		free(peer);
	}
	wl_map_free(&capacity->by_service);
}

static wl_capacity_peer_t *capacity_peer(const wl_peer_capacity_t *capacity, wl_str_t name)
{
	wl_capacity_peer_t *peer;

	TAILQ_FOREACH (peer, &capacity->peers, link)
		if (wl_str_equal(wl_buf_str(&peer->name), name))
			return peer;
	return NULL;
}

static wl_capacity_peer_t *capacity_peer_add(wl_peer_capacity_t *capacity, wl_str_t name)
{
	wl_capacity_peer_t *peer = capacity_peer(capacity, name);

	if (peer)
		return peer;
	peer = wl_alloc(sizeof(*peer));
	wl_buf_set(&peer->name, name);
	TAILQ_INSERT_TAIL(&capacity->peers, peer, link);
	return peer;
}

static wl_capacity_service_t *capacity_service_add(wl_peer_capacity_t *capacity, wl_str_t name)
{
	wl_capacity_service_t *service = wl_peer_capacity_service(capacity, name);

	if (service)
		return service;
	service = wl_alloc(sizeof(*service));
	wl_buf_set(&service->name, name);
	service->key = wl_buf_str(&service->name);
	TAILQ_INIT(&service->reports);
	wl_map_put(&capacity->by_service, service);
	TAILQ_INSERT_TAIL(&capacity->services, service, link);
	return service;
}

static wl_capacity_report_t *service_report(wl_capacity_service_t *service,
					    wl_capacity_peer_t *peer, wl_str_t zone)
{
	wl_capacity_report_t *report;

	TAILQ_FOREACH (report, &service->reports, link)
		if (report->peer == peer &&
		    wl_str_equal(wl_buf_str(&report->availability_zone), zone))
			return report;
	report = wl_alloc(sizeof(*report));
	report->peer = peer;
	wl_buf_set(&report->availability_zone, zone);
	TAILQ_INSERT_TAIL(&service->reports, report, link);
	return report;
}

/*
 * wl_peer_capacity_apply_report - apply a peer's report of its free capacity
 * @peer: name of the peer
 * @msg: a full update replaces all earlier rows of the peer, others add to them
 * @now_ns: monotonic time, nanoseconds
 *
 * wl_peer_capacity_apply_view() must be called before the peer's capacity is used.
 */
void wl_peer_capacity_apply_report(wl_peer_capacity_t *capacity, wl_str_t peer,
				   const wl_msg_room_t *msg, uint64_t now_ns)
{
	wl_capacity_peer_t *from = capacity_peer_add(capacity, peer);
	const wl_room_row_t *rows = msg->capacity_rows.items;

	if (msg->session < from->session)
		return;
	if (msg->full || msg->session > from->session)
		from->generation++;
	from->session = msg->session;
	from->last_report_ns = now_ns;
	from->link_down = false;
	for (size_t i = 0; i < msg->capacity_rows.count; i++) {
		wl_capacity_service_t *service =
			capacity_service_add(capacity, wl_buf_str(&rows[i].service));
		wl_capacity_report_t *report =
			service_report(service, from, wl_buf_str(&rows[i].availability_zone));

		report->generation = from->generation;
		report->free_requests = rows[i].free_requests;
		report->targets = rows[i].targets;
		report->slowdown_permille = rows[i].slowdown_permille;
	}
}

/*
 * wl_peer_capacity_apply_view - apply a new view of the cell
 *
 * Only peers that are members with the session of their report are used.
 */
void wl_peer_capacity_apply_view(wl_peer_capacity_t *capacity, const wl_view_t *view)
{
	wl_capacity_peer_t *peer;

	TAILQ_FOREACH (peer, &capacity->peers, link) {
		const wl_member_t *member = wl_view_member(view, wl_buf_str(&peer->name));

		peer->member = member && member->session == peer->session && !member->draining;
	}
}

/*
 * wl_peer_capacity_link_down - ignore the capacity of a peer whose connection was lost until its
 * next report
 */
void wl_peer_capacity_link_down(wl_peer_capacity_t *capacity, wl_str_t peer)
{
	wl_capacity_peer_t *lost = capacity_peer(capacity, peer);

	if (lost)
		lost->link_down = true;
}

static bool is_current_of(const wl_capacity_report_t *report, wl_str_t peer)
{
	return report->generation == report->peer->generation &&
	       wl_str_equal(wl_buf_str(&report->peer->name), peer);
}

/*
 * wl_peer_capacity_update_service - apply the free capacity for a service reported in a peer's
 * answer
 * @free_requests: requests that the peer can start, in all availability zones
 */
void wl_peer_capacity_update_service(wl_peer_capacity_t *capacity, wl_str_t peer, wl_str_t service,
				     uint64_t free_requests)
{
	const wl_capacity_service_t *rows = wl_peer_capacity_service(capacity, service);
	wl_capacity_report_t *last = NULL;
	wl_capacity_report_t *report;

	if (!rows)
		return;
	TAILQ_FOREACH (report, &rows->reports, link) {
		if (!is_current_of(report, peer))
			continue;
		if (report->free_requests > free_requests)
			report->free_requests = free_requests;
		free_requests -= report->free_requests;
		last = report;
	}
	/* the answer does not say in which zone the remainder is */
	if (last)
		last->free_requests += free_requests;
}

/*
 * wl_peer_capacity_return - give back the capacity of a forwarded request that gets no answer
 *
 * The peer may keep it reserved for longer, and then refuses the next request.
 */
void wl_peer_capacity_return(wl_peer_capacity_t *capacity, wl_str_t peer, wl_str_t service)
{
	const wl_capacity_service_t *rows = wl_peer_capacity_service(capacity, service);
	wl_capacity_report_t *report;

	if (!rows)
		return;
	TAILQ_FOREACH (report, &rows->reports, link) {
		if (!is_current_of(report, peer))
			continue;
		report->free_requests++;
		return;
	}
}

/*
 * wl_peer_capacity_service - find the reports of peers for a service
 *
 * Return: the service with its reports, or NULL if no peer has reported it.
 */
wl_capacity_service_t *wl_peer_capacity_service(const wl_peer_capacity_t *capacity,
						wl_str_t service)
{
	return wl_map_get(&capacity->by_service, service);
}

/*
 * wl_capacity_report_valid - check whether a report is current and its peer is reachable
 * @now_ns: monotonic time, nanoseconds
 */
bool wl_capacity_report_valid(const wl_capacity_report_t *report, uint64_t now_ns)
{
	const wl_capacity_peer_t *peer = report->peer;

	return report->generation == peer->generation && peer->member && !peer->link_down &&
	       now_ns < peer->last_report_ns + REPORT_TIMEOUT_NS;
}
