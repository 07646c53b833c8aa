/*
 * Peers by name, with their send queues.
 *
 * wl_peers_send() reports at once whether a message was accepted, so the
 * queues are protected by a lock instead of being fed through a ring.
 */

#include "peer_table.h"

#include <stdlib.h>
#include <string.h>

/*
 * wl_peer_table_init - initialize an empty table
 * @max_queued: limit of the send queue of each peer, frames
 * @max_queued_bytes: limit of the send queue of each peer, bytes
 */
void wl_peer_table_init(wl_peer_table_t *table, uint64_t max_queued, uint64_t max_queued_bytes)
{
	memset(table, 0, sizeof(*table));
	pthread_mutex_init(&table->lock, NULL);
	wl_map_init(&table->by_name);
	TAILQ_INIT(&table->all);
	STAILQ_INIT(&table->pending);
	table->max_queued = max_queued;
	table->max_queued_bytes = max_queued_bytes;
}

/*
 * wl_frame_free - release a frame
 */
void wl_frame_free(wl_frame_t *frame)
{
	wl_buf_free(&frame->bytes);
	free(frame);
}

static wl_frame_t *frame_pop(wl_peer_t *peer)
{
	struct wl_frame_list *list = STAILQ_EMPTY(&peer->urgent) ? &peer->queue : &peer->urgent;
	wl_frame_t *frame = STAILQ_FIRST(list);

	if (!frame)
		return NULL;
	STAILQ_REMOVE_HEAD(list, link);
	peer->queued--;
	peer->queued_bytes -= frame->bytes.len;
	return frame;
}

static void queue_clear(wl_peer_t *peer)
{
	wl_frame_t *frame;

	while ((frame = frame_pop(peer)) != NULL)
		wl_frame_free(frame);
}

static void peer_free(wl_peer_t *peer)
{
	queue_clear(peer);
	wl_buf_free(&peer->name);
	wl_buf_free(&peer->address);
	free(peer);
}

/*
 * wl_peer_table_free - release a table that no other thread uses
 */
void wl_peer_table_free(wl_peer_table_t *table)
{
	wl_peer_t *peer;

	while ((peer = TAILQ_FIRST(&table->all)) != NULL) {
		TAILQ_REMOVE(&table->all, peer, link);
		peer_free(peer);
	}
	wl_map_free(&table->by_name);
	pthread_mutex_destroy(&table->lock);
}

static wl_peer_t *table_get(wl_peer_table_t *table, wl_str_t name)
{
	wl_peer_t *peer = wl_map_get(&table->by_name, name);

	if (peer)
		return peer;
	peer = wl_alloc(sizeof(*peer));
	memset(peer, 0, sizeof(*peer));
	wl_buf_set(&peer->name, name);
	peer->key = wl_buf_str(&peer->name);
	STAILQ_INIT(&peer->urgent);
	STAILQ_INIT(&peer->queue);
	wl_map_put(&table->by_name, peer);
	TAILQ_INSERT_TAIL(&table->all, peer, link);
	return peer;
}

/*
 * wl_peer_table_get - find a peer, or add it
 */
wl_peer_t *wl_peer_table_get(wl_peer_table_t *table, wl_str_t name)
{
	wl_peer_t *peer;

	pthread_mutex_lock(&table->lock);
	peer = table_get(table, name);
	pthread_mutex_unlock(&table->lock);
	return peer;
}

/* Marks a peer as pending.  Returns whether the list was empty before, which the caller reports. */
static bool peer_set_pending(wl_peer_table_t *table, wl_peer_t *peer)
{
	bool first = STAILQ_EMPTY(&table->pending);

	if (peer->pending)
		return false;
	peer->pending = true;
	STAILQ_INSERT_TAIL(&table->pending, peer, pending_link);
	return first;
}

/*
 * wl_peer_table_set_address - set the address that a peer is dialled at
 * @address: IP:port
 *
 * Return: whether the peer thread must be woken.
 */
bool wl_peer_table_set_address(wl_peer_table_t *table, wl_str_t name, wl_str_t address)
{
	bool wake = false;
	wl_peer_t *peer;

	pthread_mutex_lock(&table->lock);
	peer = table_get(table, name);
	if (!wl_str_equal(wl_buf_str(&peer->address), address)) {
		wl_buf_set(&peer->address, address);
		peer->address_changed = true;
		wake = peer_set_pending(table, peer);
	}
	pthread_mutex_unlock(&table->lock);
	return wake;
}

/*
 * wl_peer_table_take_pending - remove the first pending peer
 *
 * Return: a peer that may have new frames or a new address, or NULL.
 */
wl_peer_t *wl_peer_table_take_pending(wl_peer_table_t *table)
{
	wl_peer_t *peer;

	pthread_mutex_lock(&table->lock);
	peer = STAILQ_FIRST(&table->pending);
	if (peer) {
		STAILQ_REMOVE_HEAD(&table->pending, pending_link);
		peer->pending = false;
	}
	pthread_mutex_unlock(&table->lock);
	return peer;
}

/*
 * wl_peer_table_release - remove a peer that is not dialled, without a link and without work
 *
 * Called by the peer thread for a peer to which it has no link. Return: the next peer, or NULL.
 */
wl_peer_t *wl_peer_table_release(wl_peer_table_t *table, wl_peer_t *peer)
{
	wl_peer_t *next;
	bool unused;

	pthread_mutex_lock(&table->lock);
	next = TAILQ_NEXT(peer, link);
	unused = peer->address.len == 0 && !peer->up && !peer->pending;
	if (unused) {
		wl_map_remove(&table->by_name, peer->key);
		TAILQ_REMOVE(&table->all, peer, link);
	}
	pthread_mutex_unlock(&table->lock);
	if (unused)
		peer_free(peer);
	return next;
}

/*
 * wl_peer_table_count - number of peers
 */
size_t wl_peer_table_count(wl_peer_table_t *table)
{
	size_t count;

	pthread_mutex_lock(&table->lock);
	count = wl_map_count(&table->by_name);
	pthread_mutex_unlock(&table->lock);
	return count;
}

/*
 * wl_peer_table_queue - queue a frame for a peer
 * @bytes: payload; moved from on success
 * @urgent: it is sent before those that are not
 * @wake: set to whether the peer thread must be woken
 *
 * Return: false if the link to the peer is down or its send queue is full.
 */
bool wl_peer_table_queue(wl_peer_table_t *table, wl_str_t name, wl_buf_t *bytes, bool urgent,
			 bool *wake)
{
	wl_frame_t *frame;
	wl_peer_t *peer;
	bool accepted;

	*wake = false;
	pthread_mutex_lock(&table->lock);
	peer = wl_map_get(&table->by_name, name);
	accepted = peer && peer->up && peer->queued < table->max_queued &&
		   peer->queued_bytes + bytes->len <= table->max_queued_bytes;
	if (accepted) {
		frame = wl_alloc(sizeof(*frame));
		frame->bytes = *bytes;
		*bytes = (wl_buf_t){0};
		STAILQ_INSERT_TAIL(urgent ? &peer->urgent : &peer->queue, frame, link);
		peer->queued++;
		peer->queued_bytes += frame->bytes.len;
		*wake = peer_set_pending(table, peer);
	}
	pthread_mutex_unlock(&table->lock);
	return accepted;
}

/*
 * wl_peer_table_pop - remove the next frame from the send queue of a peer
 *
 * Return: the frame, which the caller releases, or NULL if the queue is empty.
 */
wl_frame_t *wl_peer_table_pop(wl_peer_table_t *table, wl_peer_t *peer)
{
	wl_frame_t *frame;

	pthread_mutex_lock(&table->lock);
	frame = frame_pop(peer);
	pthread_mutex_unlock(&table->lock);
	return frame;
}

/*
 * wl_peer_table_set_up - mark the link of a peer as up or down, and clear its send queue
 */
void wl_peer_table_set_up(wl_peer_table_t *table, wl_peer_t *peer, bool up)
{
	pthread_mutex_lock(&table->lock);
	peer->up = up;
	queue_clear(peer);
	pthread_mutex_unlock(&table->lock);
}

/*
 * wl_peer_table_address - copy the address that a peer is dialled at
 * @address: overwritten; empty if the peer is not dialled
 *
 * Return: whether the address changed since the last call.
 */
bool wl_peer_table_address(wl_peer_table_t *table, wl_peer_t *peer, wl_buf_t *address)
{
	bool changed;

	pthread_mutex_lock(&table->lock);
	wl_buf_set(address, wl_buf_str(&peer->address));
	changed = peer->address_changed;
	peer->address_changed = false;
	pthread_mutex_unlock(&table->lock);
	return changed;
}
