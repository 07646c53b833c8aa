#ifndef WL_PEER_TABLE_H
#define WL_PEER_TABLE_H

#include <pthread.h>
#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlbase/rng.h>

#include "peer_link.h"

/* Peers by name, with their send queues; internal to the peer links. */

typedef struct wl_frame {
	wl_buf_t bytes;
	STAILQ_ENTRY(wl_frame) link;
} wl_frame_t;

STAILQ_HEAD(wl_frame_list, wl_frame);

typedef struct wl_peer {
	wl_str_t key; /* over name, for wl_map_t */
	wl_buf_t name;
	/* protected by the table's lock */
	wl_buf_t address; /* empty: do not dial */
	bool address_changed;
	bool up;
	struct wl_frame_list urgent; /* sent before those in queue */
	struct wl_frame_list queue;
	uint64_t queued; /* frames, of both */
	uint64_t queued_bytes;
	bool pending; /* in wl_peer_table.pending */
	STAILQ_ENTRY(wl_peer) pending_link;
	/* used by the peer thread only */
	wl_link_t *current;  /* link that is up; NULL: none */
	wl_link_t *dialling; /* dialled link that is not up yet; NULL: none */
	uint64_t next_dial_ns;
	uint64_t backoff_ms;
	TAILQ_ENTRY(wl_peer) link;
} wl_peer_t;

TAILQ_HEAD(wl_peer_list, wl_peer);
STAILQ_HEAD(wl_pending_peers, wl_peer);

typedef struct wl_peer_table {
	pthread_mutex_t lock;
	wl_map_t by_name;
	struct wl_peer_list all;
	struct wl_pending_peers pending; /* with frames or an address new to the peer thread */
	uint64_t max_queued;
	uint64_t max_queued_bytes;
} wl_peer_table_t;

void wl_peer_table_init(wl_peer_table_t *table, uint64_t max_queued, uint64_t max_queued_bytes);
void wl_peer_table_free(wl_peer_table_t *table);
wl_peer_t *wl_peer_table_get(wl_peer_table_t *table, wl_str_t name);
bool wl_peer_table_set_address(wl_peer_table_t *table, wl_str_t name, wl_str_t address);
bool wl_peer_table_queue(wl_peer_table_t *table, wl_str_t name, wl_buf_t *bytes, bool urgent,
			 bool *wake);
wl_peer_t *wl_peer_table_release(wl_peer_table_t *table, wl_peer_t *peer);
size_t wl_peer_table_count(wl_peer_table_t *table);
wl_peer_t *wl_peer_table_take_pending(wl_peer_table_t *table);
wl_frame_t *wl_peer_table_pop(wl_peer_table_t *table, wl_peer_t *peer);
void wl_peer_table_set_up(wl_peer_table_t *table, wl_peer_t *peer, bool up);
bool wl_peer_table_address(wl_peer_table_t *table, wl_peer_t *peer, wl_buf_t *address);
void wl_frame_free(wl_frame_t *frame);

#endif
