#ifndef WL_PEER_H
#define WL_PEER_H

#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>

/*
 * Links between daemons over TCP.  Both sides first prove that they hold the
 * shared secret.  After that, each frame is a 4-byte length, an authentication
 * tag and a msgpack message.
 */

typedef struct wl_peer_options {
	wl_str_t name;	 /* of this daemon */
	wl_str_t listen; /* IP:port; port 0: chosen by the kernel */
	wl_str_t secret;
	wl_ring_t *events;    /* receives wl_event_t *: PEER, PEER_UP, PEER_DOWN */
	uint32_t queue_slots; /* limit of each send queue, messages */
	uint64_t max_frame_bytes;
	uint64_t max_queue_bytes; /* limit of each send queue */
	uint64_t handshake_ms;
	uint64_t idle_ms; /* a link that receives nothing for this long is closed */
	uint64_t seed;
} wl_peer_options_t;

/* Kinds that sent messages are counted by: wl_msg_kind_t, then the kinds of Raft messages. */
#define WL_PEER_KIND_RAFT  WL_MSG_KINDS
#define WL_PEER_SENT_KINDS (WL_PEER_KIND_RAFT + WL_RAFT_MSG_KINDS)

/* Messages accepted for sending, and their encoded size. */
typedef struct wl_peer_sent {
	uint64_t messages;
	uint64_t bytes;
} wl_peer_sent_t;

typedef struct wl_peers wl_peers_t;

wl_peers_t *wl_peers_start(const wl_peer_options_t *options, wl_err_t *err);
void wl_peers_dial(wl_peers_t *peers, wl_str_t name, wl_str_t address);
bool wl_peers_send(wl_peers_t *peers, wl_str_t name, const wl_msg_t *msg);
void wl_peers_sent(const wl_peers_t *peers, size_t kind, wl_peer_sent_t *sent);
void wl_peers_stop(wl_peers_t *peers);
uint16_t wl_peers_port(const wl_peers_t *peers);
size_t wl_peers_known(wl_peers_t *peers);
uint64_t wl_peers_refused(const wl_peers_t *peers);

#endif
