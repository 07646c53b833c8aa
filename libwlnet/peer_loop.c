/*
 * Peer thread: all links between daemons, on one epoll instance.
 *
 * Either side may dial.  When two daemons dial each other at the same time,
 * both keep the link dialled by the daemon with the lower name.  Otherwise
 * the newest authenticated link replaces the older one.  The PEER_DOWN event
 * of a link precedes the PEER_UP event of its replacement.
 */

#include "peer_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>

#include <libwlbase/units.h>
#include <libwlbase/log.h>

#include "address.h"

#define SCAN_INTERVAL_MS       50 /* between checks of all links and peers for time-outs and dials */
#define RETRY_MS	       2  /* retry interval while the event ring is full */
#define BACKOFF_MIN_MS	       50
#define BACKOFF_MAX_MS	       2000
#define MAX_UNAUTHENTICATED    64	   /* accepted links with an unfinished handshake */
#define OUTPUT_WATERMARK_BYTES (256 << 10) /* no more frames are moved to a link above this */
#define EPOLL_EVENTS	       64
#define FLUSH_ATTEMPTS	       20
#define FLUSH_WAIT_MS	       10
#define PINGS_PER_IDLE	       3 /* pings that an idle link sends within its idle limit */

static uint64_t monotonic_now_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static void emit_peer(wl_peers_t *peers, wl_event_kind_t kind, const wl_peer_t *peer)
{
	wl_event_t *event = wl_alloc(sizeof(*event));

	wl_event_init(event, kind);
	wl_buf_set(&event->peer, wl_buf_str(&peer->name));
	wl_event_backlog_push(&peers->backlog, event);
}

static void emit_message(wl_peers_t *peers, wl_link_t *link, wl_str_t payload)
{
	wl_event_t *event = wl_alloc(sizeof(*event));
	wl_err_t err;

	wl_event_init(event, WL_EVENT_PEER);
	if (!wl_msg_unpack(payload, &event->msg, &err)) {
		wl_link_fail(link, "message could not be decoded");
		wl_event_free(event);
		free(event);
		return;
	}
	wl_buf_set(&event->peer, wl_buf_str(&link->peer->name));
	wl_event_backlog_push(&peers->backlog, event);
}

static void link_touch(wl_peers_t *peers, wl_link_t *link)
{
	if (link->touched)
		return;
	link->touched = true;
	TAILQ_INSERT_TAIL(&peers->touched, link, touched_link);
}

static void link_update_events(wl_peers_t *peers, wl_link_t *link, int operation)
{
	bool write = link->state == WL_LINK_CONNECTING || wl_link_unsent(link) > 0;
	struct epoll_event interest = {.events = EPOLLIN | (write ? EPOLLOUT : 0),
				       .data.ptr = link};

	if (operation == EPOLL_CTL_MOD && write == link->wants_write)
		return;
	link->wants_write = write;
	if (epoll_ctl(peers->epoll_fd, operation, link->fd, &interest) < 0)
		wl_link_fail(link, NULL);
}

static wl_link_t *link_start(wl_peers_t *peers, int fd, bool dialled, uint64_t now_ns)
{
	wl_link_options_t options = {.name = wl_buf_str(&peers->name),
				     .secret = wl_buf_str(&peers->secret),
				     .boot = peers->boot,
				     .max_frame_bytes = peers->options.max_frame_bytes,
				     .dialled = dialled};
	wl_link_t *link = wl_link_new(fd, &options, now_ns);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	TAILQ_INSERT_TAIL(&peers->links, link, link);
	link_touch(peers, link);
	peers->unauthenticated += !dialled;
	if (!dialled)
		wl_link_connected(link);
	link_update_events(peers, link, EPOLL_CTL_ADD);
	return link;
}

static void links_accept(wl_peers_t *peers, uint64_t now_ns)
{
	int fd;

	while ((fd = accept4(peers->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (peers->unauthenticated >= MAX_UNAUTHENTICATED) {
			ck_pr_inc_64(&peers->refused);
			close(fd);
			continue;
		}
		link_start(peers, fd, false, now_ns);
	}
	/*
	 * When descriptors run out, the listener stays readable.  The wait keeps the
	 * thread from spinning on it.
	 */
	if (errno == EMFILE || errno == ENFILE)
		poll(NULL, 0, RETRY_MS);
}

static void peer_back_off(wl_peers_t *peers, wl_peer_t *peer, uint64_t now_ns)
{
	uint64_t base_ms = peer->backoff_ms ? peer->backoff_ms : BACKOFF_MIN_MS;
	uint64_t wait_ms = base_ms / 2 + wl_rng_below(&peers->rng, base_ms);

	peer->next_dial_ns = now_ns + wait_ms * WL_NS_PER_MS;
	peer->backoff_ms = base_ms * 2 < BACKOFF_MAX_MS ? base_ms * 2 : BACKOFF_MAX_MS;
}

static void peer_dial(wl_peers_t *peers, wl_peer_t *peer, wl_str_t text, uint64_t now_ns)
{
	wl_address_t address;
	wl_err_t err;
	int fd = -1;

	peer_back_off(peers, peer, now_ns);
	if (!wl_address_parse(text, &address, &err)) {
		wl_log_event(WL_WARN, "peer-address", "peer=%s", peer->name.at);
		return;
	}
	fd = socket(address.at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return;
	if (connect(fd, (struct sockaddr *)&address.at, address.len) < 0 && errno != EINPROGRESS) {
		close(fd);
		return;
	}
	peer->dialling = link_start(peers, fd, true, now_ns);
	peer->dialling->peer = peer;
}

static void peer_down(wl_peers_t *peers, wl_peer_t *peer, uint64_t now_ns)
{
	peer->current = NULL;
	peer->backoff_ms = 0;
	peer_back_off(peers, peer, now_ns);
	wl_peer_table_set_up(&peers->table, peer, false);
	emit_peer(peers, WL_EVENT_PEER_DOWN, peer);
	wl_log_event(WL_INFO, "peer-down", "peer=%s", peer->name.at);
}

/*
 * Whether @link is to be closed in favour of @current, when both daemons dialled at the same
 * time.  Both ends choose the same link.
 */
static bool link_is_redundant(const wl_peers_t *peers, const wl_link_t *link,
			      const wl_link_t *current)
{
	bool local_is_lower =
		wl_str_compare(wl_buf_str(&peers->name), wl_buf_str(&link->proof.remote.name)) < 0;
	bool recent = link->up_ns - current->up_ns < peers->options.handshake_ms * WL_NS_PER_MS;

	if (link->proof.remote.boot != current->proof.remote.boot || !recent)
		return false;
	return current->proof.dialled == local_is_lower && link->proof.dialled != local_is_lower;
}

static void link_up(wl_peers_t *peers, wl_link_t *link, uint64_t now_ns)
{
	wl_str_t name = wl_buf_str(&link->proof.remote.name);
	wl_peer_t *peer = link->peer ? link->peer : wl_peer_table_get(&peers->table, name);
	wl_link_t *current = peer->current;

	peers->unauthenticated -= !link->proof.dialled;
	if (!wl_str_equal(wl_buf_str(&peer->name), name)) {
		wl_link_fail(link, "peer name does not match the dialled peer");
		return;
	}
	link->peer = peer;
	if (peer->dialling == link)
		peer->dialling = NULL;
	if (current && link_is_redundant(peers, link, current)) {
		wl_link_fail(link, NULL);
		return;
	}
	if (current) {
		wl_link_fail(current, NULL);
		link_touch(peers, current);
		peer_down(peers, peer, now_ns);
	}
	peer->current = link;
	peer->backoff_ms = 0;
	wl_peer_table_set_up(&peers->table, peer, true);
	emit_peer(peers, WL_EVENT_PEER_UP, peer);
	wl_log_event(WL_INFO, "peer-up", "peer=%s dialled=%s", peer->name.at,
		     link->proof.dialled ? "yes" : "no");
}

static void link_receive(wl_peers_t *peers, wl_link_t *link, uint64_t now_ns)
{
	wl_link_state_t before;
	wl_str_t payload;

	wl_link_read(link, now_ns);
	for (;;) {
		before = link->state;
		if (wl_link_take(link, now_ns, &payload)) {
			emit_message(peers, link, payload);
			continue;
		}
		if (before == WL_LINK_UP || link->state != WL_LINK_UP)
			return;
		link_up(peers, link, now_ns);
	}
}

static void link_handle(wl_peers_t *peers, wl_link_t *link, uint32_t events, uint64_t now_ns)
{
	int error = 0;
	socklen_t len = sizeof(error);

	link_touch(peers, link);
	if (link->state == WL_LINK_CLOSED)
		return;
	if (link->state == WL_LINK_CONNECTING) {
		if (getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error != 0) {
			wl_link_fail(link, NULL);
			return;
		}
		wl_link_connected(link);
	}
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && wl_event_backlog_empty(&peers->backlog))
		link_receive(peers, link, now_ns);
}

/* Moves frames from the send queue to the output buffer and writes them to the socket. */
static void link_flush(wl_peers_t *peers, wl_link_t *link, uint64_t now_ns)
{
	wl_frame_t *frame;

	if (link->state == WL_LINK_CLOSED || link->state == WL_LINK_CONNECTING)
		return;
	do {
		while (link->peer && link->peer->current == link &&
		       wl_link_unsent(link) < OUTPUT_WATERMARK_BYTES &&
		       (frame = wl_peer_table_pop(&peers->table, link->peer)) != NULL) {
			wl_link_put(link, wl_buf_str(&frame->bytes));
			wl_frame_free(frame);
		}
		if (wl_link_unsent(link) == 0)
			break;
		wl_link_write(link, now_ns);
	} while (link->state != WL_LINK_CLOSED && wl_link_unsent(link) == 0);
	if (link->state != WL_LINK_CLOSED)
		link_update_events(peers, link, EPOLL_CTL_MOD);
}

static void link_check_timers(const wl_peers_t *peers, wl_link_t *link, uint64_t now_ns)
{
	uint64_t idle_ns = peers->options.idle_ms * WL_NS_PER_MS;

	if (link->state == WL_LINK_CLOSED)
		return;
	if (link->state != WL_LINK_UP) {
		if (now_ns - link->started_ns > peers->options.handshake_ms * WL_NS_PER_MS)
			wl_link_fail(link, link->state == WL_LINK_CONNECTING
						   ? NULL
						   : "handshake timed out");
		return;
	}
	if (now_ns > link->received_ns && now_ns - link->received_ns > idle_ns) {
		wl_log_event(WL_WARN, "peer-silent", "peer=%s", link->peer->name.at);
		wl_link_fail(link, NULL);
		return;
	}
	if (now_ns - link->sent_ns > idle_ns / PINGS_PER_IDLE && wl_link_unsent(link) == 0)
		wl_link_put(link, (wl_str_t){0});
}

static void link_close(wl_peers_t *peers, wl_link_t *link, uint64_t now_ns)
{
	wl_peer_t *peer = link->peer;
	wl_buf_t name = {0};

	if (link->protocol_error) {
		ck_pr_inc_64(&peers->refused);
		wl_log_quote(&name, wl_buf_str(&link->proof.remote.name));
		wl_log_event(WL_WARN, "peer-refused", "peer=%s why=\"%s\"", name.at,
			     link->protocol_error);
		wl_buf_free(&name);
	}
	if (peer && peer->dialling == link)
		peer->dialling = NULL;
	if (peer && peer->current == link)
		peer_down(peers, peer, now_ns);
	if (link->up_ns == 0 && !link->proof.dialled)
		peers->unauthenticated--;
	TAILQ_REMOVE(&peers->links, link, link);
	if (link->touched)
		TAILQ_REMOVE(&peers->touched, link, touched_link);
	wl_link_free(link);
}

/* Writes what the touched links have to send, and closes those that failed. */
static void links_service(wl_peers_t *peers, uint64_t now_ns)
{
	wl_link_t *link;

	while ((link = TAILQ_FIRST(&peers->touched))) {
		TAILQ_REMOVE(&peers->touched, link, touched_link);
		link->touched = false;
		link_flush(peers, link, now_ns);
		if (link->state == WL_LINK_CLOSED)
			link_close(peers, link, now_ns);
	}
}

static void peer_dial_due(wl_peers_t *peers, wl_peer_t *peer, uint64_t now_ns)
{
	wl_buf_t address = {0};

	if (peer->current || peer->dialling)
		return;
	if (wl_peer_table_address(&peers->table, peer, &address))
		peer->next_dial_ns = now_ns;
	if (address.len > 0 && now_ns >= peer->next_dial_ns)
		peer_dial(peers, peer, wl_buf_str(&address), now_ns);
	wl_buf_free(&address);
}

/* Serves the peers for which another thread has set an address or queued a frame. */
static void peers_take_pending(wl_peers_t *peers, uint64_t now_ns)
{
	wl_peer_t *peer;

	while ((peer = wl_peer_table_take_pending(&peers->table))) {
		if (peer->current)
			link_touch(peers, peer->current);
		peer_dial_due(peers, peer, now_ns);
	}
}

static void peers_scan(wl_peers_t *peers, uint64_t now_ns)
{
	wl_link_t *link;
	wl_peer_t *peer;

	peers->next_scan_ns = now_ns + SCAN_INTERVAL_MS * WL_NS_PER_MS;
	TAILQ_FOREACH (link, &peers->links, link) {
		link_check_timers(peers, link, now_ns);
		if (link->state == WL_LINK_CLOSED || wl_link_unsent(link) > 0)
			link_touch(peers, link);
	}
	pthread_mutex_lock(&peers->table.lock);
	peer = TAILQ_FIRST(&peers->table.all);
	pthread_mutex_unlock(&peers->table.lock);
	while (peer) {
		peer_dial_due(peers, peer, now_ns);
		if (!peer->current && !peer->dialling) {
			peer = wl_peer_table_release(&peers->table, peer);
			continue;
		}
		pthread_mutex_lock(&peers->table.lock);
		peer = TAILQ_NEXT(peer, link);
		pthread_mutex_unlock(&peers->table.lock);
	}
}

static int scan_wait_ms(const wl_peers_t *peers)
{
	uint64_t now_ns = monotonic_now_ns();

	if (now_ns >= peers->next_scan_ns)
		return 0;
	return (int)((peers->next_scan_ns - now_ns + WL_NS_PER_MS - 1) / WL_NS_PER_MS);
}

static void peers_wait(wl_peers_t *peers)
{
	struct epoll_event events[EPOLL_EVENTS];
	int count = epoll_wait(peers->epoll_fd, events, EPOLL_EVENTS, scan_wait_ms(peers));
	uint64_t now_ns = monotonic_now_ns();
	uint64_t woken;

	for (int i = 0; i < count; i++) {
		if (events[i].data.ptr == &peers->wake_fd)
			(void)!read(peers->wake_fd, &woken, sizeof(woken));
		else if (events[i].data.ptr == &peers->listen_fd)
			links_accept(peers, now_ns);
		else
			link_handle(peers, events[i].data.ptr, events[i].events, now_ns);
	}
	peers_take_pending(peers, now_ns);
	if (now_ns >= peers->next_scan_ns)
		peers_scan(peers, now_ns);
	links_service(peers, now_ns);
}

/*
 * Writes the messages that were accepted before the stop, for at most
 * FLUSH_ATTEMPTS * FLUSH_WAIT_MS.
 */
static void peers_flush(wl_peers_t *peers)
{
	for (int i = 0; i < FLUSH_ATTEMPTS; i++) {
		uint64_t unsent = 0;
		wl_link_t *link;

		TAILQ_FOREACH (link, &peers->links, link) {
			link_flush(peers, link, monotonic_now_ns());
			unsent += link->state == WL_LINK_UP ? wl_link_unsent(link) : 0;
		}
		if (unsent == 0)
			return;
		poll(NULL, 0, FLUSH_WAIT_MS);
	}
}

/*
 * wl_peers_main - run the peer thread until wl_peers_stop()
 */
void *wl_peers_main(void *arg)
{
	wl_peers_t *peers = arg;

	pthread_setname_np(pthread_self(), "wl-peer");
	while (!ck_pr_load_uint(&peers->stopping)) {
		if (wl_event_backlog_flush(&peers->backlog))
			peers_wait(peers);
		else
			poll(NULL, 0, RETRY_MS);
	}
	peers_flush(peers);
	return NULL;
}
