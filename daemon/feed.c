/*
 * Order of events: messages between replicas, and what the disk has synced, go first.
 *
 * A leader whose replicas' answers wait behind other events loses its quorum, and followers that
 * find its heartbeats late elect another one, however many events wait.
 */

#include "feed.h"

#include <stdlib.h>

#include <libwlbase/str.h>

/* Events that were taken from the ring, oldest first. */
typedef struct queue {
	wl_event_t **items;
	uint32_t first;
	uint32_t count;
} queue_t;

struct wl_feed {
	wl_ring_t *ring;
	uint32_t slots; /* of each queue */
	queue_t urgent;
	queue_t others;
};

static void queue_add(queue_t *queue, uint32_t slots, wl_event_t *event)
{
	queue->items[(queue->first + queue->count++) % slots] = event;
}

static wl_event_t *queue_pop(queue_t *queue, uint32_t slots)
{
	wl_event_t *event;

	if (queue->count == 0)
		return NULL;
	event = queue->items[queue->first];
	queue->first = (queue->first + 1) % slots;
	queue->count--;
	return event;
}

static bool is_urgent(const wl_event_t *event)
{
	if (event->kind == WL_EVENT_PEER)
		return event->msg.kind == WL_MSG_RAFT;
	return event->kind == WL_EVENT_PERSISTED;
}

static void event_add(wl_feed_t *feed, wl_event_t *event)
{
	queue_add(is_urgent(event) ? &feed->urgent : &feed->others, feed->slots, event);
}

/* Takes what the ring has.  A full queue leaves the rest there, so that senders notice. */
static void ring_take(wl_feed_t *feed)
{
	while (feed->urgent.count < feed->slots && feed->others.count < feed->slots) {
		wl_event_t *event = wl_ring_pop(feed->ring);

		if (!event)
			return;
		event_add(feed, event);
	}
}

/*
 * wl_feed_new - create a feed
 * @ring: of wl_event_t; must outlive the feed, which is its only receiver
 * @slots: how many events it takes from the ring ahead, of each of the two sorts
 */
wl_feed_t *wl_feed_new(wl_ring_t *ring, uint32_t slots)
{
	wl_feed_t *feed = wl_alloc(sizeof(*feed));

	feed->ring = ring;
	feed->slots = slots;
	feed->urgent = (queue_t){.items = wl_alloc(slots * sizeof(wl_event_t *))};
	feed->others = (queue_t){.items = wl_alloc(slots * sizeof(wl_event_t *))};
	return feed;
}

/*
 * wl_feed_free - release a feed and the events that it holds; NULL is allowed
 */
void wl_feed_free(wl_feed_t *feed)
{
	wl_event_t *event;

	if (!feed)
		return;
	while ((event = queue_pop(&feed->urgent, feed->slots)) ||
	       (event = queue_pop(&feed->others, feed->slots))) {
		wl_event_free(event);
		free(event);
	}
	free(feed->urgent.items);
	free(feed->others.items);
	free(feed);
}

/*
 * wl_feed_pop_urgent - take the next event of those that go first
 *
 * Return: the event, owned by the caller, or NULL if there is none.
 */
wl_event_t *wl_feed_pop_urgent(wl_feed_t *feed)
{
	ring_take(feed);
	return queue_pop(&feed->urgent, feed->slots);
}

static wl_event_t *event_pop(wl_feed_t *feed)
{
	wl_event_t *event = wl_feed_pop_urgent(feed);

	return event ? event : queue_pop(&feed->others, feed->slots);
}

/*
 * wl_feed_next - take the next event, unless a tick is due
 * @tick_ns: when the next tick is due
 *
 * Return: the event, owned by the caller, or NULL if there is none or the tick comes first.
 */
wl_event_t *wl_feed_next(wl_feed_t *feed, uint64_t now_ns, uint64_t tick_ns)
{
	return now_ns < tick_ns ? event_pop(feed) : NULL;
}

/*
 * wl_feed_count - number of events that wait, in the feed and in its ring
 */
uint32_t wl_feed_count(const wl_feed_t *feed)
{
	return feed->urgent.count + feed->others.count + wl_ring_count(feed->ring);
}

/*
 * wl_feed_wait - take the next event, and wait for one if there is none
 * @timeout_ms: maximum wait, milliseconds
 *
 * Return: the event, owned by the caller, or NULL if there is none in time.
 */
wl_event_t *wl_feed_wait(wl_feed_t *feed, int timeout_ms)
{
	wl_event_t *event = event_pop(feed);

	return event ? event : wl_ring_wait(feed->ring, timeout_ms);
}
