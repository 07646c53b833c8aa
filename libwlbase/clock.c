/* The monotonic clock that times events and decisions. */

#include "clock.h"

#include <time.h>

#include "units.h"

/*
 * wl_clock_ns - read the monotonic clock; thread-safe
 *
 * The clock includes the time for which the machine was suspended, because leases
 * expire during that time too.
 *
 * Return: nanoseconds.
 */
uint64_t wl_clock_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_BOOTTIME, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}
