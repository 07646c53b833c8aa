#ifndef WL_ROOM_H
#define WL_ROOM_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlcore/owner/ledger.h>
#include <libwlcore/node/view.h>

/* Free capacity reported by peers, by service and availability zone. */

typedef struct wl_room_peer {
	wl_buf_t name;
	uint64_t session;
	uint64_t heard_ns;
	uint64_t generation; /* of its newest full update; rows of older ones are ignored */
	bool member;	     /* in the view with that session and not draining */
	bool silent;	     /* its connection was lost after its last message */
	TAILQ_ENTRY(wl_room_peer) link;
} wl_room_peer_t;

typedef struct wl_room_entry {
	wl_room_peer_t *peer;
	wl_buf_t availability_zone;
	uint64_t generation;
	uint64_t room; /* requests it can start: as reported, less those sent to it since */
	uint64_t targets;
	uint64_t slowdown_permille;
	TAILQ_ENTRY(wl_room_entry) link;
} wl_room_entry_t;

typedef struct wl_room_service {
	wl_str_t key;
	wl_buf_t name;
	TAILQ_HEAD(wl_room_entries, wl_room_entry) entries;
	TAILQ_ENTRY(wl_room_service) link;
} wl_room_service_t;

typedef struct wl_rooms {
	TAILQ_HEAD(wl_room_peers, wl_room_peer) peers;
	wl_map_t by_service;
	TAILQ_HEAD(wl_room_services, wl_room_service) services;
} wl_rooms_t;

void wl_rooms_init(wl_rooms_t *rooms);
void wl_rooms_free(wl_rooms_t *rooms);
void wl_rooms_hear(wl_rooms_t *rooms, wl_str_t peer, const wl_msg_room_t *msg, uint64_t now_ns);
void wl_rooms_view(wl_rooms_t *rooms, const wl_view_t *view);
void wl_rooms_lost(wl_rooms_t *rooms, wl_str_t peer);
void wl_rooms_answer(wl_rooms_t *rooms, wl_str_t peer, wl_str_t service, uint64_t room);
wl_room_service_t *wl_rooms_service(const wl_rooms_t *rooms, wl_str_t service);
bool wl_room_live(const wl_room_entry_t *entry, uint64_t now_ns);

#endif
