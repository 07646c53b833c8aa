#ifndef WL_PEER_INTERNAL_H
#define WL_PEER_INTERNAL_H

#include "late.h"
#include "peer.h"
#include "peer_table.h"

/* The links of a daemon and their thread; internal to the peer link. */

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
	/* the thread's own */
	wl_rng_t rng;
	struct wl_link_list links;
	uint64_t unproven;
	wl_late_t events; /* on their way to the ring */
};

void *wl_peers_main(void *arg);

#endif
