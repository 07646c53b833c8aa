#ifndef WL_EVENT_BACKLOG_H
#define WL_EVENT_BACKLOG_H

#include <sys/queue.h>

#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>

/* Unbounded FIFO in front of an event ring, for use by one thread. */

struct wl_late_event;

typedef struct wl_late {
	wl_ring_t *ring;
	STAILQ_HEAD(wl_late_list, wl_late_event) events;
} wl_late_t;

void wl_late_init(wl_late_t *late, wl_ring_t *ring);
void wl_late_free(wl_late_t *late);
void wl_late_push(wl_late_t *late, wl_event_t *event);
bool wl_late_flush(wl_late_t *late);
bool wl_late_empty(const wl_late_t *late);

#endif
