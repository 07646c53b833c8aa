/*
 * Clocks of targets, and the leases of their runs.
 *
 * Lease expiries are times on the target's own clock, which may be slow by CLOCK_SLOW_PERCENT. A
 * lease counts as expired only once even such a clock has passed the expiry. Each incarnation has
 * a clock of its own.
 */

#include "internal.h"

#define CLOCK_SLOW_PERCENT 2   /* as the contract with the targets allows */
#define EXPIRY_MARGIN_MS   300 /* for the transit of the last order and a late timer */
/* A sample that is so far behind the known bound of the clock comes from a late message. */
#define SAMPLE_LATE_MS 200

/*
 * wl_sched_lease_bound_ns - longest duration by our clock of a lease of so many ms by the target's
 */
uint64_t wl_sched_lease_bound_ns(uint64_t ms)
{
	return ms * WL_NS_PER_MS * 100 / (100 - CLOCK_SLOW_PERCENT) +
	       EXPIRY_MARGIN_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_runner_clock_ms - estimate a target's clock now, assuming that it is not slow
 *
 * Return: ms on the target's clock. The estimate does not include the delay of the last
 * message.
 */
uint64_t wl_sched_runner_clock_ms(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return runner->known.clock_ms + (now_ns - runner->known.clock_ns) / WL_NS_PER_MS;
}

static uint64_t clock_least_ms(uint64_t known_ms, uint64_t known_ns, uint64_t now_ns)
{
	return known_ms + (now_ns - known_ns) / WL_NS_PER_MS * (100 - CLOCK_SLOW_PERCENT) / 100;
}

/*
 * wl_sched_runner_clock_least_ms - lower bound of a target's clock now, which may be slow
 */
uint64_t wl_sched_runner_clock_least_ms(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return clock_least_ms(runner->known.clock_ms, runner->known.clock_ns, now_ns);
}

/*
 * wl_sched_clock_sample_late - whether a sample of a clock took long to arrive
 * @known_ms: the present sample
 * @known_ns: when it arrived; 0: there is none
 */
bool wl_sched_clock_sample_late(uint64_t known_ms, uint64_t known_ns, uint64_t now_ns,
				uint64_t clock_ms)
{
	return known_ns && clock_ms + SAMPLE_LATE_MS < clock_least_ms(known_ms, known_ns, now_ns);
}

/* When the newest lease is over by our clock, as far as the present sample tells. */
static uint64_t lease_over_ns(const wl_sched_incarnation_t *known)
{
	uint64_t remaining_ms = known->lease_until_ms > known->clock_ms
					? known->lease_until_ms - known->clock_ms
					: 0;

	return known->clock_ns + wl_sched_lease_bound_ns(remaining_ms);
}

/*
 * wl_sched_clock_sample - record a time on the clock of the known incarnation
 *
 * Each sample bounds the leases, so that the earliest bound holds. One that took long to arrive is
 * worse than the present one: the next lease would be shorter by its delay.
 */
void wl_sched_clock_sample(wl_sched_runner_t *runner, uint64_t now_ns, uint64_t clock_ms)
{
	uint64_t over_ns;

	if (clock_ms <= runner->known.clock_ms ||
	    wl_sched_clock_sample_late(runner->known.clock_ms, runner->known.clock_ns, now_ns,
				       clock_ms))
		return;
	runner->known.clock_ms = clock_ms;
	runner->known.clock_ns = now_ns;
	over_ns = lease_over_ns(&runner->known);
	if (over_ns < runner->known.lease_over_ns)
		runner->known.lease_over_ns = over_ns;
}

/*
 * wl_sched_lease_sent - record the expiry that an order names
 */
void wl_sched_lease_sent(wl_sched_runner_t *runner, uint64_t lease_ms)
{
	if (lease_ms <= runner->known.lease_until_ms)
		return;
	runner->known.lease_until_ms = lease_ms;
	runner->known.lease_over_ns = lease_over_ns(&runner->known);
}

/*
 * wl_sched_leases_expiry_ns - time by which every lease by the known clock has expired
 */
uint64_t wl_sched_leases_expiry_ns(const wl_sched_runner_t *runner)
{
	return runner->known.lease_over_ns > runner->previous_leases_expiry_ns
		       ? runner->known.lease_over_ns
		       : runner->previous_leases_expiry_ns;
}

/*
 * wl_sched_lease_order_completed - record how long leases by an order may last that was created for
 * another incarnation than the one that carries it out
 *
 * Its deadline is a time on the clock of the former, and may be far ahead on that of the latter,
 * which shortens the lease to the longest that it grants.
 */
void wl_sched_lease_order_completed(const wl_sched_t *sched, uint64_t now_ns,
				    wl_sched_runner_t *runner, const wl_sched_order_t *order,
				    const wl_order_end_t *end)
{
	bool late = end->outcome == WL_ORDER_NO_ANSWER || end->outcome == WL_ORDER_AGENT_LOST;
	uint64_t over_ns = late ? order->late_until_ns : now_ns;
	uint64_t expiry_ns = over_ns + wl_sched_lease_bound_ns(sched->options.lease_max_ms);

	if (order->lease_ms == 0)
		return;
	if (late && over_ns > runner->late_orders_over_ns)
		runner->late_orders_over_ns = over_ns;
	if (order->incarnation != runner->incarnation &&
	    expiry_ns > runner->known.late_leases_expiry_ns)
		runner->known.late_leases_expiry_ns = expiry_ns;
}
