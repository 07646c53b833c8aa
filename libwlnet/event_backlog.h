#ifndef WL_EVENT_BACKLOG_H
#define WL_EVENT_BACKLOG_H

#include <sys/queue.h>

#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>

/* Unbounded FIFO in front of an event ring, for use by one thread. */

struct wl_event_backlog_entry;

typedef struct wl_event_backlog {
	wl_ring_t *ring;
	STAILQ_HEAD(wl_event_backlog_list, wl_event_backlog_entry) events;
} wl_event_backlog_t;

void wl_event_backlog_init(wl_event_backlog_t *backlog, wl_ring_t *ring);
void wl_event_backlog_free(wl_event_backlog_t *backlog);
void wl_event_backlog_push(wl_event_backlog_t *backlog, wl_event_t *event);
bool wl_event_backlog_flush(wl_event_backlog_t *backlog);
bool wl_event_backlog_empty(const wl_event_backlog_t *backlog);

#endif
