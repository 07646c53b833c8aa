/* The clock that events and decisions are timed by. */

#include "clock.h"

#include <time.h>

#include "units.h"

/*
 * wl_clock_ns - monotonic time, from any thread
 *
 * Counts the time for which the machine was suspended: leases do not wait for it.
 *
 * Return: nanoseconds.
 */
uint64_t wl_clock_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_BOOTTIME, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}
