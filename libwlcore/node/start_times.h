#ifndef WL_START_TIMES_H
#define WL_START_TIMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Start times of numbered operations, which end in the order in which they were started. */

typedef struct wl_start_time {
	uint64_t number;
	uint64_t began_ns;
} wl_start_time_t;

typedef struct wl_start_times {
	wl_start_time_t *rows; /* ring buffer */
	size_t first;	       /* position of the oldest row */
	size_t count;
	size_t capacity; /* a power of two, or 0 */
} wl_start_times_t;

void wl_start_times_free(wl_start_times_t *times);
void wl_start_times_begin(wl_start_times_t *times, uint64_t number, uint64_t now_ns);
bool wl_start_times_end(wl_start_times_t *times, uint64_t number, uint64_t *began_ns);
void wl_start_times_clear(wl_start_times_t *times);

#endif
