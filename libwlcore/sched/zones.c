/*
 * Evacuated availability zones, and targets that warm up.
 *
 * Targets of an evacuated zone get no starts, those that are committed and not ordered yet
 * included.  What runs there ends by itself, and its leases are renewed: a stop would lose work
 * that the operator has not asked to lose.  When the zone is taken back, each target waits for its
 * next report, which tells whether it is still slow.
 */

#include "internal.h"

#include <stdlib.h>

/* Above the interval between two reports of a target. */
#define REOPENED_REPORT_MS 1500

#define ZONE_BASIS_TERM_SHIFT 32 /* the term of the leader is above the number of the order */

static wl_str_t zone_of(const wl_sched_runner_t *runner)
{
	return wl_buf_str(&runner->state->report.availability_zone);
}

/*
 * wl_sched_runner_zone_update - look up whether the zone of a target is evacuated
 */
void wl_sched_runner_zone_update(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	runner->evacuated = wl_evacuation_find(&sched->jobs->evacuations, zone_of(runner)) != NULL;
}

/*
 * wl_sched_zone_closed - whether the zone of a target keeps it from getting starts
 */
bool wl_sched_zone_closed(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	if (runner->evacuated)
		return true;
	return runner->reopened_ns && runner->reported_ns <= runner->reopened_ns &&
	       now_ns - runner->reopened_ns < REOPENED_REPORT_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_warmup_reported - use the warm-up time that a report names
 */
void wl_sched_warmup_reported(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      const wl_runner_report_t *report)
{
	if (report->incarnation != runner->incarnation)
		return;
	wl_warmup_report(&runner->warmup, now_ns, report->warmup_ms);
	wl_sched_warmup_tick(sched, now_ns, runner);
}

/*
 * wl_sched_warmup_tick - offer more of a target that warms up
 */
void wl_sched_warmup_tick(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner)
{
	uint64_t held =
		wl_warmup_held_millis(&runner->warmup, now_ns, runner->fit.capacity.cpu_millis);

	if (held == runner->fit.warmup_millis)
		return;
	sched->place_due |= held < runner->fit.warmup_millis;
	runner->fit.warmup_millis = held;
	wl_sched_row_outdate(sched, runner);
}

/* The newest order for a zone that this leader has proposed. */
struct wl_sched_zone_order {
	wl_buf_t zone;
	uint64_t number;
	TAILQ_ENTRY(wl_sched_zone_order) link;
};

static wl_sched_zone_order_t *zone_order_find(const wl_sched_t *sched, wl_str_t zone)
{
	wl_sched_zone_order_t *order;

	TAILQ_FOREACH (order, &sched->zone_orders, link)
		if (wl_str_equal(wl_buf_str(&order->zone), zone))
			return order;
	return NULL;
}

/*
 * wl_sched_zone_basis - basis of the next order for an availability zone
 *
 * Another one for each leader, and after each order for the zone that it has proposed. A leader has
 * applied what was committed before it, so that an order cannot be older than its basis.
 */
uint64_t wl_sched_zone_basis(const wl_sched_t *sched, wl_str_t zone)
{
	const wl_sched_zone_order_t *order = zone_order_find(sched, zone);

	return sched->epoch << ZONE_BASIS_TERM_SHIFT | (order ? order->number : 0);
}

/*
 * wl_sched_zone_ordered - note that an order for an availability zone is being proposed
 */
void wl_sched_zone_ordered(wl_sched_t *sched, wl_str_t zone)
{
	wl_sched_zone_order_t *order = zone_order_find(sched, zone);

	if (!order) {
		order = wl_alloc(sizeof(*order));
		wl_buf_set(&order->zone, zone);
		TAILQ_INSERT_TAIL(&sched->zone_orders, order, link);
	}
	order->number++;
}

/*
 * wl_sched_zone_orders_clear - forget the orders of this leader
 */
void wl_sched_zone_orders_clear(wl_sched_t *sched)
{
	wl_sched_zone_order_t *order = TAILQ_FIRST(&sched->zone_orders);

	while (order) {
		wl_sched_zone_order_t *next = TAILQ_NEXT(order, link);

		TAILQ_REMOVE(&sched->zone_orders, order, link);
		wl_buf_free(&order->zone);
		free(order);
		order = next;
	}
}

/*
 * wl_sched_zone_known - whether anything is known of an availability zone
 */
bool wl_sched_zone_known(const wl_sched_t *sched, wl_str_t zone)
{
	const wl_runner_t *runner;

	if (wl_evacuation_find(&sched->jobs->evacuations, zone) ||
	    wl_leader_has_zone(sched->options.leader, zone))
		return true;
	TAILQ_FOREACH (runner, &sched->jobs->runners, link)
		if (wl_str_equal(wl_buf_str(&runner->report.availability_zone), zone))
			return true;
	return false;
}

/*
 * wl_sched_zone_applied - close or open the targets of a zone
 */
void wl_sched_zone_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_zone_evacuate_t *cmd,
			   const wl_result_t *result, wl_out_t *out)
{
	wl_str_t zone = wl_buf_str(&cmd->availability_zone);
	wl_sched_runner_t *runner;
	wl_buf_t pairs = {0};
	size_t targets = 0;
	size_t runs = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		const wl_sched_run_t *run;
		bool was_evacuated = runner->evacuated;

		if (!wl_str_equal(zone_of(runner), zone))
			continue;
		wl_sched_runner_zone_update(sched, runner);
		if (was_evacuated && !runner->evacuated)
			runner->reopened_ns = now_ns;
		targets++;
		TAILQ_FOREACH (run, &runner->runs, link)
			runs++;
		if (!runner->evacuated || !runner->fit.usable)
			continue;
		runner->fit.usable = false;
		wl_sched_row_outdate(sched, runner);
	}
	wl_buf_printf(&pairs, "availability_zone=" WL_STR_FMT " revision=%llu targets=%zu runs=%zu",
		      WL_STR_ARG(zone), (unsigned long long)result->index, targets, runs);
	if (cmd->withdrawn)
		wl_out_log(out, WL_INFO, "zone-reopened", "%s", pairs.at);
	else
		wl_out_log(out, WL_INFO, "zone-evacuated", "%s", pairs.at);
	wl_buf_free(&pairs);
}

static void gauge(const wl_sched_t *sched, const char *name, uint64_t value)
{
	wl_metrics_set(sched->options.metrics, name, "", value);
}

/*
 * wl_sched_zones_measure - update the gauges of evacuated zones and of targets that warm up
 */
void wl_sched_zones_measure(const wl_sched_t *sched)
{
	const wl_sched_runner_t *runner;
	const wl_sched_run_t *run;
	uint64_t warming = 0;
	uint64_t runs = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		warming += runner->fit.warmup_millis > 0;
		if (!runner->evacuated)
			continue;
		TAILQ_FOREACH (run, &runner->runs, link)
			runs++;
	}
	gauge(sched, "wisterialead_zones_evacuated", sched->jobs->evacuations.count);
	gauge(sched, "wisterialead_evacuated_runs", runs);
	gauge(sched, "wisterialead_targets_warming_up", warming);
}

/*
 * wl_sched_zones_clear - zero these gauges on a replica that no longer leads
 */
void wl_sched_zones_clear(const wl_sched_t *sched)
{
	gauge(sched, "wisterialead_zones_evacuated", 0);
	gauge(sched, "wisterialead_evacuated_runs", 0);
	gauge(sched, "wisterialead_targets_warming_up", 0);
}
