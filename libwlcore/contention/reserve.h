#ifndef WL_RESERVE_H
#define WL_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * CPU that is kept for short urgent work on a fleet that lasting tasks fill.
 *
 * Decides how much CPU lasting tasks that have not run yet may take, from the demand of short work
 * in the last seconds.  Answers demand that swings: a lasting task that starts in a trough holds
 * its CPU over many crests, and short work then waits for it beside CPU in pieces too small.
 */

#define WL_RESERVE_BUCKETS   12 /* of WL_RESERVE_BUCKET_MS: longer than a swing of the demand */
#define WL_RESERVE_BUCKET_MS 2000

typedef struct wl_reserve {
	uint64_t peaks[WL_RESERVE_BUCKETS]; /* of the demand, in thousandths of a CPU */
	uint64_t bucket;		    /* number of the newest one */
} wl_reserve_t;

/* CPU of the usable targets of a service, in thousandths. */
typedef struct wl_reserve_use {
	uint64_t capacity_millis;
	uint64_t lasting_millis;
	uint64_t short_millis;
} wl_reserve_use_t;

void wl_reserve_sample(wl_reserve_t *reserve, uint64_t now_ns, uint64_t demand_millis);
uint64_t wl_reserve_millis(const wl_reserve_t *reserve, uint64_t now_ns);
bool wl_reserve_allows(const wl_reserve_t *reserve, uint64_t now_ns, const wl_reserve_use_t *use,
		       uint64_t cpu_millis);

#endif
