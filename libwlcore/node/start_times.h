#ifndef WL_START_TIMES_H
#define WL_START_TIMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Start times of numbered operations, which end in the order in which they were started. */

typedef struct wl_since_row {
	uint64_t number;
	uint64_t began_ns;
} wl_since_row_t;

typedef struct wl_since {
	wl_since_row_t *rows; /* ring buffer */
	size_t first;	      /* position of the oldest row */
	size_t count;
	size_t room; /* capacity: a power of two, or 0 */
} wl_since_t;

void wl_since_free(wl_since_t *since);
void wl_since_begin(wl_since_t *since, uint64_t number, uint64_t now_ns);
bool wl_since_end(wl_since_t *since, uint64_t number, uint64_t *began_ns);
void wl_since_clear(wl_since_t *since);

#endif
