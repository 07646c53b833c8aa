#ifndef WL_PEER_INTERNAL_H
#define WL_PEER_INTERNAL_H

#include "event_backlog.h"
#include "peer.h"
#include "peer_table.h"

/* The links of a daemon and the peer thread; internal to the peer links. */

TAILQ_HEAD(wl_link_list, wl_link);

struct wl_peers {
	wl_peer_options_t options;
	wl_buf_t name;
	wl_buf_t secret;
	uint64_t boot;
	wl_peer_table_t table;
	pthread_t thread;
	int listen_fd;
	int epoll_fd;
	int wake_fd;
	uint16_t port;
	unsigned int stopping;
	uint64_t refused;
	wl_peer_sent_t sent[WL_PEER_SENT_KINDS];
	/* used by the peer thread only */
	wl_rng_t rng;
	struct wl_link_list links;
	struct wl_link_list touched; /* to be flushed, or closed, after the events at hand */
	uint64_t
		next_scan_ns; /* next check of all links for time-outs and of all peers for dials */
	uint64_t unauthenticated;   /* accepted links with an unfinished handshake */
	wl_event_backlog_t backlog; /* waiting for the event ring */
};

void *wl_peers_main(void *arg);

#endif
