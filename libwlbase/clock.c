/* The monotonic clock that times events and decisions, and processor time. */

#include "clock.h"

#include <sys/resource.h>
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

static uint64_t time_ms(const struct timeval *time)
{
	return (uint64_t)time->tv_sec * WL_MS_PER_S + (uint64_t)time->tv_usec / WL_US_PER_MS;
}

/* Uses getrusage(): CLOCK_PROCESS_CPUTIME_ID returns elapsed time on the users' test system. */
static uint64_t used_ms(int who)
{
	struct rusage used;

	if (getrusage(who, &used) < 0)
		return 0;
	return time_ms(&used.ru_utime) + time_ms(&used.ru_stime);
}

/*
 * wl_clock_process_ms - get the processor time of the process, ms; 0 if unknown
 */
uint64_t wl_clock_process_ms(void)
{
	return used_ms(RUSAGE_SELF);
}

/*
 * wl_clock_thread_ms - get the processor time of the calling thread, ms; 0 if unknown
 */
uint64_t wl_clock_thread_ms(void)
{
	return used_ms(RUSAGE_THREAD);
}
