#ifndef WL_PEER_CAPACITY_H
#define WL_PEER_CAPACITY_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlcore/owner/ledger.h>
#include <libwlcore/node/view.h>

/* Free capacity reported by peers, by service and availability zone. */

typedef struct wl_capacity_peer {
	wl_buf_t name;
	uint64_t session;
	uint64_t last_report_ns;
	uint64_t generation; /* of its newest full update; rows of older ones are ignored */
	bool member;	     /* in the view with that session and not draining */
	bool link_down;	     /* its connection was lost after its last message */
	TAILQ_ENTRY(wl_capacity_peer) link;
} wl_capacity_peer_t;

typedef struct wl_capacity_report {
	wl_capacity_peer_t *peer;
	wl_buf_t availability_zone;
	uint64_t generation;
	uint64_t free_requests; /* as reported, less the requests sent since */
	uint64_t targets;
	uint64_t slowdown_permille;
	TAILQ_ENTRY(wl_capacity_report) link;
} wl_capacity_report_t;

typedef struct wl_capacity_service {
	wl_str_t key;
	wl_buf_t name;
	TAILQ_HEAD(wl_capacity_reports, wl_capacity_report) reports;
	TAILQ_ENTRY(wl_capacity_service) link;
} wl_capacity_service_t;

typedef struct wl_peer_capacity {
	TAILQ_HEAD(wl_capacity_peers, wl_capacity_peer) peers;
	wl_map_t by_service;
	TAILQ_HEAD(wl_capacity_services, wl_capacity_service) services;
} wl_peer_capacity_t;

void wl_peer_capacity_init(wl_peer_capacity_t *capacity);
void wl_peer_capacity_free(wl_peer_capacity_t *capacity);
void wl_peer_capacity_apply_report(wl_peer_capacity_t *capacity, wl_str_t peer,
				   const wl_msg_room_t *msg, uint64_t now_ns);
void wl_peer_capacity_apply_view(wl_peer_capacity_t *capacity, const wl_view_t *view);
void wl_peer_capacity_link_down(wl_peer_capacity_t *capacity, wl_str_t peer);
void wl_peer_capacity_update_service(wl_peer_capacity_t *capacity, wl_str_t peer, wl_str_t service,
				     uint64_t free_requests);
void wl_peer_capacity_return(wl_peer_capacity_t *capacity, wl_str_t peer, wl_str_t service);
wl_capacity_service_t *wl_peer_capacity_service(const wl_peer_capacity_t *capacity,
						wl_str_t service);
bool wl_capacity_report_valid(const wl_capacity_report_t *report, uint64_t now_ns);

#endif
