#ifndef WL_WARMUP_H
#define WL_WARMUP_H

#include <stdint.h>

/*
 * Targets that are slow for a time after their start or after an evacuation.
 *
 * Decides how much CPU of such a target new short tasks may use, from the remaining time that it
 * reports.  Answers the load of a whole availability zone that returns at once: it is the emptiest
 * one, and would take the next burst while it is slow.
 */
typedef struct wl_warmup {
	uint64_t began_ns;
	uint64_t until_ns; /* 0: it is not warming up */
} wl_warmup_t;

void wl_warmup_report(wl_warmup_t *warmup, uint64_t now_ns, uint64_t remaining_ms);
uint64_t wl_warmup_held_millis(const wl_warmup_t *warmup, uint64_t now_ns, uint64_t cpu_millis);

#endif
