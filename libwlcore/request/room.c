/* Free room at peers, as they told it lately. */

#include "room.h"

#include <stdlib.h>

#define SILENCE_NS 1000000000ull /* room told longer ago doesn't count */

/*
 * wl_rooms_init - know of no peer
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
 * wl_rooms_free - release all
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
 * wl_rooms_hear - take in what a peer told
 * @peer: its name
 * @msg: a whole one replaces all that the peer told before, else it adds to it
 * @now_ns: monotonic time, nanoseconds
 *
 * wl_rooms_view() must follow, before the peer's room is used.
 */
void wl_rooms_hear(wl_rooms_t *rooms, wl_str_t peer, const wl_msg_room_t *msg, uint64_t now_ns)
{
	wl_room_peer_t *from = rooms_peer_add(rooms, peer);
	const wl_room_row_t *rows = msg->capacity_rows.items;

	if (msg->session < from->session)
		return;
	if (msg->full || msg->session > from->session)
		from->generation++;
	from->session = msg->session;
	from->heard_ns = now_ns;
	from->silent = false;
	for (size_t i = 0; i < msg->capacity_rows.count; i++) {
		wl_room_service_t *service = rooms_service_add(rooms, wl_buf_str(&rows[i].service));
		wl_room_entry_t *entry =
			service_entry(service, from, wl_buf_str(&rows[i].availability_zone));

		entry->generation = from->generation;
		entry->room = rows[i].free_requests;
		entry->targets = rows[i].targets;
		entry->slowdown_permille = rows[i].slowdown_permille;
	}
}

/*
 * wl_rooms_view - use the room of those peers only that are members under the session they told
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
 * wl_rooms_lost - a link broke: don't use the peer's room until it tells something again
 */
void wl_rooms_lost(wl_rooms_t *rooms, wl_str_t peer)
{
	wl_room_peer_t *lost = rooms_peer(rooms, peer);

	if (lost)
		lost->silent = true;
}

/*
 * wl_rooms_answer - take in the present room for a service that came with a peer's answer
 * @room: requests that the peer could start, in all availability zones
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
	/* which zone the rest is in was not said */
	if (last)
		last->room += room;
}

/*
 * wl_rooms_service - what peers told of a service
 *
 * Return: its entries, or NULL if no peer named it yet.
 */
wl_room_service_t *wl_rooms_service(const wl_rooms_t *rooms, wl_str_t service)
{
	return wl_map_get(&rooms->by_service, service);
}

/*
 * wl_room_live - tell whether an entry holds still, and its peer lives
 * @now_ns: monotonic time, nanoseconds
 */
bool wl_room_live(const wl_room_entry_t *entry, uint64_t now_ns)
{
	const wl_room_peer_t *peer = entry->peer;

	return entry->generation == peer->generation && peer->member && !peer->silent &&
	       now_ns < peer->heard_ns + SILENCE_NS;
}
