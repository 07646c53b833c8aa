/* Counters, gauges and histograms with labels, printed as Prometheus text. */

#include "counter.h"

#include <stdlib.h>

/*
 * wl_metrics_init - initialize an empty set of metrics
 */
void wl_metrics_init(wl_metrics_t *metrics)
{
	wl_map_init(&metrics->by_id);
	TAILQ_INIT(&metrics->all);
}

static void metric_free(wl_metric_t *metric)
{
	wl_buf_free(&metric->name);
	wl_buf_free(&metric->labels);
	wl_buf_free(&metric->id);
	free(metric->hist);
	free(metric);
}

/*
 * wl_metrics_free - release a set and its metrics
 */
void wl_metrics_free(wl_metrics_t *metrics)
{
	wl_metric_t *metric;

	while ((metric = TAILQ_FIRST(&metrics->all))) {
		TAILQ_REMOVE(&metrics->all, metric, link);
		metric_free(metric);
	}
	wl_map_free(&metrics->by_id);
}

static void metric_id(const char *name, const char *labels, wl_buf_t *id)
{
	wl_buf_append(id, wl_str_from(name));
	wl_buf_append(id, WL_STR("{"));
	wl_buf_append(id, wl_str_from(labels));
}

/* Keeps metrics of one name together, as the Prometheus text format requires. */
static void metric_insert(wl_metrics_t *metrics, wl_metric_t *metric)
{
	wl_metric_t *other;

	TAILQ_FOREACH_REVERSE (other, &metrics->all, wl_metric_list, link) {
		if (!wl_str_equal(wl_buf_str(&other->name), wl_buf_str(&metric->name)))
			continue;
		TAILQ_INSERT_AFTER(&metrics->all, other, metric, link);
		return;
	}
	TAILQ_INSERT_TAIL(&metrics->all, metric, link);
}

/*
 * wl_metrics_find - find a metric, or create it
 *
 * Return: the metric, valid until the set is released; a caller that updates the
 * metric often may keep it to save the look-up.
 */
wl_metric_t *wl_metrics_find(wl_metrics_t *metrics, const char *name, const char *labels)
{
	wl_buf_t id = {0};
	wl_metric_t *metric;

	metric_id(name, labels, &id);
	metric = wl_map_get(&metrics->by_id, wl_buf_str(&id));
	if (metric) {
		wl_buf_free(&id);
		return metric;
	}

	metric = wl_alloc(sizeof(*metric));
	wl_buf_set(&metric->name, wl_str_from(name));
	wl_buf_set(&metric->labels, wl_str_from(labels));
	wl_buf_move(&metric->id, &id);
	metric->key = wl_buf_str(&metric->id);
	wl_map_put(&metrics->by_id, metric);
	metric_insert(metrics, metric);
	return metric;
}

/*
 * wl_metrics_add - increment a counter
 * @name: metric name, "wisterialead_requests_total"
 * @labels: inner text of the labels, "customer=\"norrlamp\"", or ""
 * @increment: amount to add
 */
void wl_metrics_add(wl_metrics_t *metrics, const char *name, const char *labels, uint64_t increment)
{
	wl_metrics_find(metrics, name, labels)->value += increment;
}

/*
 * wl_metrics_set - set a gauge
 */
void wl_metrics_set(wl_metrics_t *metrics, const char *name, const char *labels, uint64_t value)
{
	wl_metrics_find(metrics, name, labels)->value = value;
}

/*
 * wl_metric_observe - add a time to a histogram from wl_metrics_find()
 * @value_ns: nanoseconds
 */
void wl_metric_observe(wl_metric_t *metric, uint64_t value_ns)
{
	if (!metric->hist)
		metric->hist = wl_alloc(sizeof(*metric->hist));
	wl_hist_add(metric->hist, value_ns);
}

/*
 * wl_metrics_observe - add a time to a histogram
 * @value_ns: nanoseconds
 */
void wl_metrics_observe(wl_metrics_t *metrics, const char *name, const char *labels,
			uint64_t value_ns)
{
	wl_metric_observe(wl_metrics_find(metrics, name, labels), value_ns);
}

/*
 * wl_metrics_get - read a counter or a gauge
 *
 * Return: its value; zero if the metric does not exist.
 */
uint64_t wl_metrics_get(const wl_metrics_t *metrics, const char *name, const char *labels)
{
	wl_buf_t id = {0};
	const wl_metric_t *metric;

	metric_id(name, labels, &id);
	metric = wl_map_get(&metrics->by_id, wl_buf_str(&id));
	wl_buf_free(&id);
	return metric ? metric->value : 0;
}

/*
 * wl_metrics_print - append all metrics as Prometheus text
 */
void wl_metrics_print(const wl_metrics_t *metrics, wl_buf_t *out)
{
	const wl_metric_t *metric;

	TAILQ_FOREACH (metric, &metrics->all, link) {
		if (metric->hist) {
			wl_hist_print(metric->hist, wl_buf_str(&metric->name),
				      wl_buf_str(&metric->labels), out);
			continue;
		}
		wl_buf_printf(out, WL_STR_FMT "{" WL_STR_FMT "} %llu\n",
			      WL_STR_ARG(wl_buf_str(&metric->name)),
			      WL_STR_ARG(wl_buf_str(&metric->labels)),
			      (unsigned long long)metric->value);
	}
}
