/* Unbounded FIFO in front of an event ring: keeps events in order while the ring is full. */

#include "event_backlog.h"

#include <stdlib.h>

#include <libwlbase/clock.h>

struct wl_late_event {
	wl_event_t *event;
	STAILQ_ENTRY(wl_late_event) link;
};

/*
 * wl_late_init - initialise an empty backlog in front of a ring
 */
void wl_late_init(wl_late_t *late, wl_ring_t *ring)
{
	late->ring = ring;
	STAILQ_INIT(&late->events);
}

/*
 * wl_late_free - release the events that are still in the backlog
 */
void wl_late_free(wl_late_t *late)
{
	struct wl_late_event *first;

	while ((first = STAILQ_FIRST(&late->events)) != NULL) {
		STAILQ_REMOVE_HEAD(&late->events, link);
		wl_event_free(first->event);
		free(first->event);
		free(first);
	}
}

/*
 * wl_late_push - push an event to the ring, or to the backlog while the ring is full
 * @event: owned by the backlog from here on
 */
void wl_late_push(wl_late_t *late, wl_event_t *event)
{
	struct wl_late_event *last;

	event->made_ns = wl_clock_ns();
	if (STAILQ_EMPTY(&late->events) && wl_ring_push(late->ring, event))
		return;
	last = wl_alloc(sizeof(*last));
	last->event = event;
	STAILQ_INSERT_TAIL(&late->events, last, link);
}

/*
 * wl_late_flush - move events from the backlog to the ring
 *
 * Return: false if the ring became full first.
 */
bool wl_late_flush(wl_late_t *late)
{
	struct wl_late_event *first;

	while ((first = STAILQ_FIRST(&late->events)) != NULL) {
		if (!wl_ring_push(late->ring, first->event))
			return false;
		STAILQ_REMOVE_HEAD(&late->events, link);
		free(first);
	}
	return true;
}

/*
 * wl_late_empty - whether the backlog is empty
 */
bool wl_late_empty(const wl_late_t *late)
{
	return STAILQ_EMPTY(&late->events);
}
