#ifndef WL_RING_H
#define WL_RING_H

#include <stdbool.h>
#include <stdint.h>

#include <libwlbase/err.h>

struct wl_ring;

/*
 * A bounded ring of pointers with any number of senders and one receiver, which
 * can wait on a descriptor.
 */
typedef struct wl_ring wl_ring_t;

wl_ring_t *wl_ring_new(uint32_t slots, wl_err_t *err);
void wl_ring_free(wl_ring_t *ring);
bool wl_ring_push(wl_ring_t *ring, void *item);
void *wl_ring_pop(wl_ring_t *ring);
void *wl_ring_wait(wl_ring_t *ring, int timeout_ms);
int wl_ring_fd(const wl_ring_t *ring);
void wl_ring_rearm(wl_ring_t *ring);
uint32_t wl_ring_count(const wl_ring_t *ring);
uint32_t wl_ring_room(const wl_ring_t *ring);

#endif
