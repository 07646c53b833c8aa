#ifndef WL_PEER_LINK_H
#define WL_PEER_LINK_H

#include <sys/queue.h>

#include "peer.h"
#include "peer_proof.h"

/* One TCP connection between two daemons; internal, used by the peer thread only. */

struct wl_peer;

typedef enum wl_link_state {
	WL_LINK_CONNECTING,
	WL_LINK_HELLO, /* waiting for the hello of the peer */
	WL_LINK_PROOF, /* waiting for the proof of the peer */
	WL_LINK_UP,
	WL_LINK_CLOSED,
} wl_link_state_t;

typedef struct wl_link {
	int fd;
	wl_link_state_t state;
	wl_proof_t proof;
	wl_frame_auth_t auth_out;
	wl_frame_auth_t auth_in;
	wl_buf_t in;
	size_t in_consumed; /* bytes of in that were consumed */
	wl_buf_t out;
	size_t out_written; /* bytes of out that were written */
	uint64_t max_frame_bytes;
	uint64_t started_ns;
	uint64_t up_ns;
	uint64_t received_ns;
	uint64_t sent_ns;
	bool wants_write;
	const char *protocol_error; /* of the peer, if that closed the link */
	struct wl_peer *peer; /* set at the start if dialled, once the link is up if accepted */
	TAILQ_ENTRY(wl_link) link;
	bool touched; /* in wl_peers.touched */
	TAILQ_ENTRY(wl_link) touched_link;
} wl_link_t;

typedef struct wl_link_options {
	wl_str_t name;
	wl_str_t secret;
	uint64_t boot;
	uint64_t max_frame_bytes;
	bool dialled;
} wl_link_options_t;

wl_link_t *wl_link_new(int fd, const wl_link_options_t *options, uint64_t now_ns);
void wl_link_free(wl_link_t *link);
void wl_link_connected(wl_link_t *link);
void wl_link_read(wl_link_t *link, uint64_t now_ns);
bool wl_link_take(wl_link_t *link, uint64_t now_ns, wl_str_t *payload);
void wl_link_put(wl_link_t *link, wl_str_t payload);
void wl_link_write(wl_link_t *link, uint64_t now_ns);
void wl_link_fail(wl_link_t *link, const char *protocol_error);
size_t wl_link_unsent(const wl_link_t *link);

#endif
