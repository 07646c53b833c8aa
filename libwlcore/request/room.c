/* Free capacity of peers, from their latest reports. */

#include "room.h"

#include <stdlib.h>

#define REPORT_TIMEOUT_NS 1000000000ull /* older reports are ignored */

/*
 * wl_rooms_init - initialize without peers
 */
void wl_rooms_init(wl_rooms_t *rooms)
{
	TAILQ_INIT(&rooms->peers);
	TAILQ_INIT(&rooms->services);
	wl_map_init(&rooms->by_service);
}

static void service_free(wl_room_service_t *service)
{
	wl_room_entry_t *entry;

	while ((entry = TAILQ_FIRST(&service->entries))) {
		TAILQ_REMOVE(&service->entries, entry, link);
		wl_buf_free(&entry->availability_zone);
		free(entry);
	}
	wl_buf_free(&service->name);
	free(service);
}

/*
 * wl_rooms_free - free all peers and services
 */
void wl_rooms_free(wl_rooms_t *rooms)
{
	wl_room_service_t *service;
	wl_room_peer_t *peer;

	while ((service = TAILQ_FIRST(&rooms->services))) {
		TAILQ_REMOVE(&rooms->services, service, link);
		service_free(service);
	}
	while ((peer = TAILQ_FIRST(&rooms->peers))) {
		TAILQ_REMOVE(&rooms->peers, peer, link);
		wl_buf_free(&peer->name);
		free(peer);
	}
	wl_map_free(&rooms->by_service);
}

static wl_room_peer_t *rooms_peer(const wl_rooms_t *rooms, wl_str_t name)
{
	wl_room_peer_t *peer;

	TAILQ_FOREACH (peer, &rooms->peers, link)
		if (wl_str_equal(wl_buf_str(&peer->name), name))
			return peer;
	return NULL;
}

static wl_room_peer_t *rooms_peer_add(wl_rooms_t *rooms, wl_str_t name)
{
	wl_room_peer_t *peer = rooms_peer(rooms, name);

	if (peer)
		return peer;
	peer = wl_alloc(sizeof(*peer));
	wl_buf_set(&peer->name, name);
	TAILQ_INSERT_TAIL(&rooms->peers, peer, link);
	return peer;
}

static wl_room_service_t *rooms_service_add(wl_rooms_t *rooms, wl_str_t name)
{
	wl_room_service_t *service = wl_rooms_service(rooms, name);

	if (service)
		return service;
	service = wl_alloc(sizeof(*service));
	wl_buf_set(&service->name, name);
	service->key = wl_buf_str(&service->name);
	TAILQ_INIT(&service->entries);
	wl_map_put(&rooms->by_service, service);
	TAILQ_INSERT_TAIL(&rooms->services, service, link);
	return service;
}

static wl_room_entry_t *service_entry(wl_room_service_t *service, wl_room_peer_t *peer,
				      wl_str_t zone)
{
	wl_room_entry_t *entry;

	TAILQ_FOREACH (entry, &service->entries, link)
		if (entry->peer == peer &&
		    wl_str_equal(wl_buf_str(&entry->availability_zone), zone))
			return entry;
	entry = wl_alloc(sizeof(*entry));
	entry->peer = peer;
	wl_buf_set(&entry->availability_zone, zone);
	TAILQ_INSERT_TAIL(&service->entries, entry, link);
	return entry;
}

/*
 * wl_rooms_hear - apply a peer's report of its free capacity
 * @peer: name of the peer
 * @msg: a full update replaces all earlier rows of the peer, others add to them
 * @now_ns: monotonic time, nanoseconds
 *
 * wl_rooms_view() must be called before the peer's capacity is used.
 */
void wl_rooms_hear(wl_rooms_t *rooms, wl_str_t peer, const wl_msg_room_t *msg, uint64_t now_ns)
{
	wl_room_peer_t *from = rooms_peer_add(rooms, peer);
	const wl_room_row_t *rows = msg->rooms.items;

	if (msg->session < from->session)
		return;
	if (msg->whole || msg->session > from->session)
		from->generation++;
	from->session = msg->session;
	from->heard_ns = now_ns;
	from->silent = false;
	for (size_t i = 0; i < msg->rooms.count; i++) {
		wl_room_service_t *service = rooms_service_add(rooms, wl_buf_str(&rows[i].service));
		wl_room_entry_t *entry =
			service_entry(service, from, wl_buf_str(&rows[i].availability_zone));

		entry->generation = from->generation;
		entry->room = rows[i].room;
		entry->targets = rows[i].targets;
		entry->slowdown_permille = rows[i].slowdown_permille;
	}
}

/*
 * wl_rooms_view - apply a new view of the cell
 *
 * Only peers that are members with the session of their report are used.
 */
void wl_rooms_view(wl_rooms_t *rooms, const wl_view_t *view)
{
	wl_room_peer_t *peer;

	TAILQ_FOREACH (peer, &rooms->peers, link) {
		const wl_member_t *member = wl_view_member(view, wl_buf_str(&peer->name));

		peer->member = member && member->session == peer->session && !member->draining;
	}
}

/*
 * wl_rooms_lost - ignore the capacity of a peer whose connection was lost until its next
 * report
 */
void wl_rooms_lost(wl_rooms_t *rooms, wl_str_t peer)
{
	wl_room_peer_t *lost = rooms_peer(rooms, peer);

	if (lost)
		lost->silent = true;
}

/*
 * wl_rooms_answer - apply the free capacity for a service reported in a peer's answer
 * @room: requests that the peer can start, in all availability zones
 */
void wl_rooms_answer(wl_rooms_t *rooms, wl_str_t peer, wl_str_t service, uint64_t room)
{
	const wl_room_service_t *rows = wl_rooms_service(rooms, service);
	wl_room_entry_t *last = NULL;
	wl_room_entry_t *entry;

	if (!rows)
		return;
	TAILQ_FOREACH (entry, &rows->entries, link) {
		if (entry->generation != entry->peer->generation ||
		    !wl_str_equal(wl_buf_str(&entry->peer->name), peer))
			continue;
		if (entry->room > room)
			entry->room = room;
		room -= entry->room;
		last = entry;
	}
	/* the answer does not say in which zone the remainder is */
	if (last)
		last->room += room;
}

/*
 * wl_rooms_service - find the reports of peers for a service
 *
 * Return: the service with its entries, or NULL if no peer has reported it.
 */
wl_room_service_t *wl_rooms_service(const wl_rooms_t *rooms, wl_str_t service)
{
	return wl_map_get(&rooms->by_service, service);
}

/*
 * wl_room_live - check whether a report is current and its peer is reachable
 * @now_ns: monotonic time, nanoseconds
 */
bool wl_room_live(const wl_room_entry_t *entry, uint64_t now_ns)
{
	const wl_room_peer_t *peer = entry->peer;

	return entry->generation == peer->generation && peer->member && !peer->silent &&
	       now_ns < peer->heard_ns + REPORT_TIMEOUT_NS;
}
