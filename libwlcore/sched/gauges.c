/* Metrics of the scheduler: pending tasks, runs, leases and the duration of orders. */

#include "internal.h"

#include <stdio.h>

#define GAUGES_INTERVAL_MS 1000
#define LABELS_BYTES	   64

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
	const wl_task_batch_t *batch;

	TAILQ_FOREACH (batch, &sched->pending, link) {
		waiting_t *row = &waiting[wl_job_step(batch->job, batch->step)->lasting];

		row->tasks += batch->count;
		if (now_ns - batch->queued_ns > row->oldest_ns)
			row->oldest_ns = now_ns - batch->queued_ns;
	}
	for (size_t i = 0; i < 2; i++) {
		gauge(sched, "wisterialead_job_tasks_waiting", lasting_labels[i], waiting[i].tasks);
		gauge(sched, "wisterialead_job_oldest_wait_ms", lasting_labels[i],
		      waiting[i].oldest_ns / WL_NS_PER_MS);
	}
}

/* Uses acknowledged leases only: an order without an answer may not have arrived. */
static void leases_set(const wl_sched_t *sched, uint64_t now_ns)
{
	uint64_t least_ms = sched->options.lease_ms;
	const wl_sched_runner_t *runner;
	uint64_t over = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		uint64_t clock_ms = wl_sched_runner_clock_ms(runner, now_ns);
		uint64_t remaining_ms = 0;

		if (!runner->known.lease_confirmed_ms || !wl_sched_runner_needs_lease(runner))
			continue;
		if (runner->known.lease_confirmed_ms > clock_ms)
			remaining_ms = runner->known.lease_confirmed_ms - clock_ms;
		over += remaining_ms == 0;
		if (remaining_ms < least_ms)
			least_ms = remaining_ms;
	}
	gauge(sched, "wisterialead_job_lease_least_ms", "", least_ms);
	gauge(sched, "wisterialead_job_leases_over", "", over);
}

/*
 * wl_sched_gauges_tick - update the gauges, once a second
 */
void wl_sched_gauges_tick(wl_sched_t *sched, uint64_t now_ns)
{
	if (now_ns < sched->next_gauges_ns)
		return;
	sched->next_gauges_ns = now_ns + GAUGES_INTERVAL_MS * WL_NS_PER_MS;
	waiting_set(sched, now_ns);
	leases_set(sched, now_ns);
	wl_sched_zones_measure(sched);
	gauge(sched, "wisterialead_job_suspects", "", sched->jobs->suspects);
	gauge(sched, "wisterialead_job_runs", "", wl_map_count(&sched->by_run));
	gauge(sched, "wisterialead_job_targets", "", wl_map_count(&sched->by_runner));
	gauge(sched, "wisterialead_jobs", "", wl_map_count(&sched->jobs->by_id));
}

/*
 * wl_sched_gauges_clear - zero the gauges on a replica that no longer leads
 */
void wl_sched_gauges_clear(wl_sched_t *sched)
{
	static const char *const names[] = {
		"wisterialead_job_lease_least_ms",  "wisterialead_job_leases_over",
		"wisterialead_job_suspects",	    "wisterialead_job_runs",
		"wisterialead_job_targets",	    "wisterialead_jobs",
		"wisterialead_jobs_stalled",	    "wisterialead_job_teardowns_late",
		"wisterialead_job_unconsidered_ms",
	};

	sched->next_gauges_ns = 0;
	sched->next_stalled_ns = 0;
	sched->next_teardowns_ns = 0;
	wl_sched_interruptions_clear(sched);
	wl_sched_zones_clear(sched);
	wl_sched_usage_clear(sched);
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		gauge(sched, names[i], "", 0);
	for (size_t i = 0; i < 2; i++) {
		gauge(sched, "wisterialead_job_tasks_waiting", lasting_labels[i], 0);
		gauge(sched, "wisterialead_job_oldest_wait_ms", lasting_labels[i], 0);
	}
}

/*
 * wl_sched_order_measure - record the duration of an order
 */
void wl_sched_order_measure(wl_sched_t *sched, wl_order_kind_t kind, wl_order_outcome_t outcome,
			    uint64_t took_ns)
{
	wl_metric_t **metric = &sched->order_times[kind][outcome];
	char labels[LABELS_BYTES];

	if (!*metric) {
		snprintf(labels, sizeof(labels), "kind=\"%s\",outcome=\"%s\"",
			 wl_order_kind_names[kind], wl_order_outcome_names[outcome]);
		*metric = wl_metrics_find(sched->options.metrics, "wisterialead_order_seconds",
					  labels);
	}
	wl_metric_observe(*metric, took_ns);
}

/*
 * wl_sched_wait_measure - record how long a task was pending
 */
void wl_sched_wait_measure(wl_sched_t *sched, bool lasting, uint64_t waited_ns)
{
	wl_metric_t **metric = &sched->wait_times[lasting];

	if (!*metric)
		*metric = wl_metrics_find(sched->options.metrics, "wisterialead_job_wait_seconds",
					  lasting_labels[lasting]);
	wl_metric_observe(*metric, waited_ns);
}
