/*
 * CPU that is kept for short urgent work.
 *
 * The reserve is the highest demand of the last seconds, and a margin as free CPU lies in pieces.
 * What short work uses already is part of it.
 */

#include "reserve.h"

#include <libwlbase/units.h>

#define MARGIN_PERMILLE 1250
/*
 * Nothing is held back while less than this share is in use, and lasting tasks keep as much beside
 * any backlog: it says little of the demand to come.
 */
#define SHARE_MAX_PERMILLE 500

static uint64_t bucket_of(uint64_t now_ns)
{
	return now_ns / (WL_RESERVE_BUCKET_MS * WL_NS_PER_MS);
}

/*
 * wl_reserve_sample - note the CPU that short work uses and waits for
 */
void wl_reserve_sample(wl_reserve_t *reserve, uint64_t now_ns, uint64_t demand_millis)
{
	uint64_t bucket = bucket_of(now_ns);
	uint64_t *peak = &reserve->peaks[bucket % WL_RESERVE_BUCKETS];

	if (bucket >= reserve->bucket + WL_RESERVE_BUCKETS)
		reserve->bucket = bucket - WL_RESERVE_BUCKETS;
	while (reserve->bucket < bucket)
		reserve->peaks[++reserve->bucket % WL_RESERVE_BUCKETS] = 0;
	if (demand_millis > *peak)
		*peak = demand_millis;
}

/*
 * wl_reserve_millis - CPU that short work may need, what it uses included
 */
uint64_t wl_reserve_millis(const wl_reserve_t *reserve, uint64_t now_ns)
{
	uint64_t bucket = bucket_of(now_ns);
	uint64_t most = 0;

	for (uint64_t i = 0; i < WL_RESERVE_BUCKETS; i++)
		if (reserve->bucket >= i && reserve->bucket - i + WL_RESERVE_BUCKETS > bucket &&
		    reserve->peaks[(reserve->bucket - i) % WL_RESERVE_BUCKETS] > most)
			most = reserve->peaks[(reserve->bucket - i) % WL_RESERVE_BUCKETS];
	return most * MARGIN_PERMILLE / WL_PERMILLE;
}

/*
 * wl_reserve_allows - whether a lasting task that has not run yet may take so much CPU
 */
bool wl_reserve_allows(const wl_reserve_t *reserve, uint64_t now_ns, const wl_reserve_use_t *use,
		       uint64_t cpu_millis)
{
	uint64_t kept = wl_reserve_millis(reserve, now_ns);
	uint64_t most = use->capacity_millis * SHARE_MAX_PERMILLE / WL_PERMILLE;

	if (use->lasting_millis + use->short_millis < most)
		return use->lasting_millis + use->short_millis + cpu_millis <= use->capacity_millis;
	if (kept > most)
		kept = most;
	if (kept < use->short_millis)
		kept = use->short_millis;
	return use->lasting_millis + cpu_millis + kept <= use->capacity_millis;
}
