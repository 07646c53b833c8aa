#ifndef WL_FEED_H
#define WL_FEED_H

#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>

struct wl_feed;

/*
 * The order in which the event loop takes events from its ring: what keeps the replicated log
 * going first, the others behind it.  Within each of the two the order is that of the ring.
 */
typedef struct wl_feed wl_feed_t;

wl_feed_t *wl_feed_new(wl_ring_t *ring, uint32_t slots);
void wl_feed_free(wl_feed_t *feed);
wl_event_t *wl_feed_next(wl_feed_t *feed, uint64_t now_ns, uint64_t tick_ns);
wl_event_t *wl_feed_pop_urgent(wl_feed_t *feed);
uint32_t wl_feed_count(const wl_feed_t *feed);
wl_event_t *wl_feed_wait(wl_feed_t *feed, int timeout_ms);

#endif
