/* Unbounded FIFO in front of an event ring: keeps events in order while the ring is full. */

#include "event_backlog.h"

#include <stdlib.h>

#include <libwlbase/clock.h>

struct wl_event_backlog_entry {
	wl_event_t *event;
	STAILQ_ENTRY(wl_event_backlog_entry) link;
};

/*
 * wl_event_backlog_init - initialize an empty backlog in front of a ring
 */
void wl_event_backlog_init(wl_event_backlog_t *backlog, wl_ring_t *ring)
{
	backlog->ring = ring;
	STAILQ_INIT(&backlog->events);
}

/*
 * wl_event_backlog_free - release the events that are still in the backlog
 */
void wl_event_backlog_free(wl_event_backlog_t *backlog)
{
	struct wl_event_backlog_entry *first;

	while ((first = STAILQ_FIRST(&backlog->events)) != NULL) {
		STAILQ_REMOVE_HEAD(&backlog->events, link);
		wl_event_free(first->event);
		free(first->event);
		free(first);
	}
}

/*
 * wl_event_backlog_push - push an event to the ring, or to the backlog while the ring is full
 * @event: owned by the backlog from here on
 */
void wl_event_backlog_push(wl_event_backlog_t *backlog, wl_event_t *event)
{
	struct wl_event_backlog_entry *last;

	event->made_ns = wl_clock_ns();
	if (STAILQ_EMPTY(&backlog->events) && wl_ring_push(backlog->ring, event))
		return;
	last = wl_alloc(sizeof(*last));
	last->event = event;
	STAILQ_INSERT_TAIL(&backlog->events, last, link);
}

/*
 * wl_event_backlog_flush - move events from the backlog to the ring
 *
 * Return: false if the ring became full first.
 */
bool wl_event_backlog_flush(wl_event_backlog_t *backlog)
{
	struct wl_event_backlog_entry *first;

	while ((first = STAILQ_FIRST(&backlog->events)) != NULL) {
		if (!wl_ring_push(backlog->ring, first->event))
			return false;
		STAILQ_REMOVE_HEAD(&backlog->events, link);
		free(first);
	}
	return true;
}

/*
 * wl_event_backlog_empty - whether the backlog is empty
 */
bool wl_event_backlog_empty(const wl_event_backlog_t *backlog)
{
	return STAILQ_EMPTY(&backlog->events);
}
