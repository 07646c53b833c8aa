/* Metrics of the scheduler: what waits, what runs, how long orders take. */

#include "internal.h"

#include <stdio.h>

#define GAUGES_MS    1000
#define LABELS_BYTES 64

static const char *const lasting_labels[] = {"lasting=\"no\"", "lasting=\"yes\""};

static void gauge(const wl_sched_t *sched, const char *name, const char *labels, uint64_t value)
{
	wl_metrics_set(sched->options.metrics, name, labels, value);
}

typedef struct waiting {
	uint64_t tasks;
	uint64_t oldest_ns;
} waiting_t;

static void waiting_set(const wl_sched_t *sched, uint64_t now_ns)
{
	waiting_t waiting[2] = {{0}};
	const wl_bundle_t *bundle;

	TAILQ_FOREACH (bundle, &sched->waiting, link) {
		waiting_t *row = &waiting[wl_job_step(bundle->job, bundle->step)->long_running];

		row->tasks += bundle->count;
		if (now_ns - bundle->queued_ns > row->oldest_ns)
			row->oldest_ns = now_ns - bundle->queued_ns;
	}
	for (size_t i = 0; i < 2; i++) {
		gauge(sched, "wisterialead_job_tasks_waiting", lasting_labels[i], waiting[i].tasks);
		gauge(sched, "wisterialead_job_oldest_wait_ms", lasting_labels[i],
		      waiting[i].oldest_ns / WL_NS_PER_MS);
	}
}

/* By what targets have acknowledged: an order without an answer may not have arrived. */
static void leases_set(const wl_sched_t *sched, uint64_t now_ns)
{
	uint64_t least_ms = sched->options.lease_ms;
	const wl_sched_runner_t *runner;
	uint64_t over = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		uint64_t clock_ms = wl_sched_runner_clock_ms(runner, now_ns);
		uint64_t left_ms = 0;

		if (!runner->lease_held_ms || !wl_sched_runner_holds(runner))
			continue;
		if (runner->lease_held_ms > clock_ms)
			left_ms = runner->lease_held_ms - clock_ms;
		over += left_ms == 0;
		if (left_ms < least_ms)
			least_ms = left_ms;
	}
	gauge(sched, "wisterialead_job_lease_least_ms", "", least_ms);
	gauge(sched, "wisterialead_job_leases_over", "", over);
}

/*
 * wl_sched_gauges_tick - bring the gauges up to date, once a second
 */
void wl_sched_gauges_tick(wl_sched_t *sched, uint64_t now_ns)
{
	if (now_ns < sched->next_gauges_ns)
		return;
	sched->next_gauges_ns = now_ns + GAUGES_MS * WL_NS_PER_MS;
	waiting_set(sched, now_ns);
	leases_set(sched, now_ns);
	gauge(sched, "wisterialead_job_runs", "", wl_map_count(&sched->by_run));
	gauge(sched, "wisterialead_job_targets", "", wl_map_count(&sched->by_runner));
	gauge(sched, "wisterialead_jobs", "", wl_map_count(&sched->jobs->by_id));
}

/*
 * wl_sched_gauges_clear - a replica that no longer leads shows nothing of what it led
 */
void wl_sched_gauges_clear(wl_sched_t *sched)
{
	static const char *const names[] = {
		"wisterialead_job_lease_least_ms",
		"wisterialead_job_leases_over",
		"wisterialead_job_runs",
		"wisterialead_job_targets",
		"wisterialead_jobs",
	};

	sched->next_gauges_ns = 0;
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		gauge(sched, names[i], "", 0);
	for (size_t i = 0; i < 2; i++) {
		gauge(sched, "wisterialead_job_tasks_waiting", lasting_labels[i], 0);
		gauge(sched, "wisterialead_job_oldest_wait_ms", lasting_labels[i], 0);
	}
}

/*
 * wl_sched_order_measure - an order has ended
 */
void wl_sched_order_measure(wl_sched_t *sched, wl_order_kind_t kind, wl_order_outcome_t outcome,
			    uint64_t took_ns)
{
	wl_metric_t **kept = &sched->order_times[kind][outcome];
	char labels[LABELS_BYTES];

	if (!*kept) {
		snprintf(labels, sizeof(labels), "kind=\"%s\",outcome=\"%s\"",
			 wl_order_kind_names[kind], wl_order_outcome_names[outcome]);
		*kept = wl_metrics_find(sched->options.metrics, "wisterialead_order_seconds",
					labels);
	}
	wl_metric_observe(*kept, took_ns);
}

/*
 * wl_sched_wait_measure - a task that waited is told to start
 */
void wl_sched_wait_measure(wl_sched_t *sched, bool lasting, uint64_t waited_ns)
{
	wl_metric_t **kept = &sched->wait_times[lasting];

	if (!*kept)
		*kept = wl_metrics_find(sched->options.metrics, "wisterialead_job_wait_seconds",
					lasting_labels[lasting]);
	wl_metric_observe(*kept, waited_ns);
}
