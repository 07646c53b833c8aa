/* Links between daemons: start, stop, and the functions for other threads. */

#include "peer_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <unistd.h>

#include <ck_pr.h>

#include "address.h"

static bool peers_watch(wl_peers_t *peers, int *fd)
{
	struct epoll_event interest = {.events = EPOLLIN, .data.ptr = fd};

	return epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, *fd, &interest) == 0;
}

static bool peers_open(wl_peers_t *peers, wl_err_t *err)
{
	if (peers->options.name.len == 0 || peers->options.name.len > WL_PEER_NAME_BYTES)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "peer name: must be 1 to %d bytes", WL_PEER_NAME_BYTES);
	peers->listen_fd = wl_address_listen(peers->options.listen, &peers->port, err);
	if (peers->listen_fd < 0)
		return false;
	peers->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	peers->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (peers->epoll_fd >= 0 && peers->wake_fd >= 0 &&
	    getrandom(&peers->boot, sizeof(peers->boot), 0) == sizeof(peers->boot) &&
	    peers_watch(peers, &peers->listen_fd) && peers_watch(peers, &peers->wake_fd) &&
	    pthread_create(&peers->thread, NULL, wl_peers_main, peers) == 0)
		return true;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN,
			  "peer links: epoll, eventfd, getrandom or thread: %s", strerror(errno));
}

static void peers_close(int fd)
{
	if (fd >= 0)
		close(fd);
}

static void peers_free(wl_peers_t *peers)
{
	wl_link_t *link;

	while ((link = TAILQ_FIRST(&peers->links)) != NULL) {
		TAILQ_REMOVE(&peers->links, link, link);
		wl_link_free(link);
	}
	wl_event_backlog_free(&peers->backlog);
	peers_close(peers->listen_fd);
	peers_close(peers->epoll_fd);
	peers_close(peers->wake_fd);
	wl_peer_table_free(&peers->table);
	wl_buf_free(&peers->name);
	wl_buf_free(&peers->secret);
	free(peers);
}

/*
 * wl_peers_start - listen for peers and start the peer thread
 * @options: the ring must outlive the links; the rest is copied
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: the links, or NULL.
 */
wl_peers_t *wl_peers_start(const wl_peer_options_t *options, wl_err_t *err)
{
	wl_peers_t *peers = wl_alloc(sizeof(*peers));

	memset(peers, 0, sizeof(*peers));
	peers->options = *options;
	peers->listen_fd = peers->epoll_fd = peers->wake_fd = -1;
	wl_buf_set(&peers->name, options->name);
	wl_buf_set(&peers->secret, options->secret);
	wl_rng_init(&peers->rng, options->seed, wl_str_hash(options->name, 0));
	wl_peer_table_init(&peers->table, options->queue_slots, options->max_queue_bytes);
	TAILQ_INIT(&peers->links);
	TAILQ_INIT(&peers->touched);
	wl_event_backlog_init(&peers->backlog, options->events);
	if (peers_open(peers, err))
		return peers;
	peers_free(peers);
	return NULL;
}

static void peers_wake(wl_peers_t *peers)
{
	uint64_t one = 1;

	while (write(peers->wake_fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
}

/*
 * wl_peers_dial - keep a link to a daemon, from any thread
 * @address: IP:port; a changed address applies from the next dial on
 */
void wl_peers_dial(wl_peers_t *peers, wl_str_t name, wl_str_t address)
{
	if (wl_str_equal(name, wl_buf_str(&peers->name)))
		return;
	if (wl_peer_table_set_address(&peers->table, name, address))
		peers_wake(peers);
}

static size_t sent_kind(const wl_msg_t *msg)
{
	if (msg->kind == WL_MSG_RAFT && msg->u.raft.kind < WL_RAFT_MSG_KINDS)
		return WL_PEER_KIND_RAFT + msg->u.raft.kind;
	return msg->kind < WL_MSG_KINDS ? msg->kind : WL_MSG_NONE;
}

/*
 * wl_peers_send - queue a message to a daemon, from any thread
 *
 * An accepted message is lost only if a PEER_DOWN event follows. Messages between replicas overtake
 * others that wait.
 *
 * Return: false if the link is down, the queue is full or the message too long.
 */
bool wl_peers_send(wl_peers_t *peers, wl_str_t name, const wl_msg_t *msg)
{
	wl_peer_sent_t *sent = &peers->sent[sent_kind(msg)];
	wl_buf_t bytes = {0};
	size_t len;
	bool accepted;
	bool wake = false;

	wl_msg_pack(msg, &bytes);
	len = bytes.len;
	accepted =
		len + WL_TAG_BYTES <= peers->options.max_frame_bytes &&
		wl_peer_table_queue(&peers->table, name, &bytes, msg->kind == WL_MSG_RAFT, &wake);
	wl_buf_free(&bytes);
	if (!accepted)
		return false;
	ck_pr_inc_64(&sent->messages);
	ck_pr_add_64(&sent->bytes, len);
	if (wake)
		peers_wake(peers);
	return true;
}

/*
 * wl_peers_sent - read the counters of one kind of sent messages, from any thread
 * @kind: below WL_PEER_SENT_KINDS
 */
void wl_peers_sent(const wl_peers_t *peers, size_t kind, wl_peer_sent_t *sent)
{
	sent->messages = ck_pr_load_64(&peers->sent[kind].messages);
	sent->bytes = ck_pr_load_64(&peers->sent[kind].bytes);
}

/*
 * wl_peers_stop - close all links and stop the peer thread; NULL is ignored
 */
void wl_peers_stop(wl_peers_t *peers)
{
	if (!peers)
		return;
	ck_pr_store_uint(&peers->stopping, 1);
	peers_wake(peers);
	pthread_join(peers->thread, NULL);
	peers_free(peers);
}

/*
 * wl_peers_port - port of the listener
 */
uint16_t wl_peers_port(const wl_peers_t *peers)
{
	return peers->port;
}

/*
 * wl_peers_known - number of peers that are linked or dialled, or were until a moment ago
 */
size_t wl_peers_known(wl_peers_t *peers)
{
	return wl_peer_table_count(&peers->table);
}

/*
 * wl_peers_refused - number of links refused at the limit of unfinished handshakes or
 * closed because of a protocol error of the peer
 */
uint64_t wl_peers_refused(const wl_peers_t *peers)
{
	return ck_pr_load_64(&peers->refused);
}
