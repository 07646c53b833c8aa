/* Recent latency of a service: moving average, median and 95th percentile. */

#include "latency.h"

#define MEAN_SHIFT	4   /* weight of a sample: 1/16 */
#define HALF_SAMPLES	512 /* samples in each of the two histograms */
#define MIN_SAMPLES	32  /* too few samples for a 95th percentile below this */
#define QUANTILE_EVERY	16  /* samples between two updates of the quantiles */
#define P50_PERMYRIAD	5000
#define P95_PERMYRIAD	9500
#define DECAY_NS	1000000000ull /* half-life of an estimate without samples */
#define MAX_DECAY_SHIFT 32

static void latency_quantiles(wl_latency_t *latency)
{
	wl_hist_t both = latency->current;

	wl_hist_merge(&both, &latency->previous);
	if (both.total < MIN_SAMPLES)
		return;
	latency->p50_ns = wl_hist_quantile(&both, P50_PERMYRIAD);
	latency->p95_ns = wl_hist_quantile(&both, P95_PERMYRIAD);
}

/*
 * Halves an estimate for each second without samples.  Requests are refused based
 * on it, and an outdated high estimate would otherwise refuse the very requests
 * that could correct it.
 */
static uint64_t latency_decay(const wl_latency_t *latency, uint64_t value_ns, uint64_t now_ns)
{
	uint64_t idle = now_ns > latency->last_ns ? (now_ns - latency->last_ns) / DECAY_NS : 0;

	return idle < MAX_DECAY_SHIFT ? value_ns >> idle : 0;
}

/*
 * wl_latency_add - add the latency of one request
 * @took_ns: latency, nanoseconds
 * @now_ns: monotonic time, nanoseconds
 */
void wl_latency_add(wl_latency_t *latency, uint64_t took_ns, uint64_t now_ns)
{
	uint64_t mean = wl_latency_mean(latency, now_ns);

	latency->mean_ns = mean ? mean - (mean >> MEAN_SHIFT) + (took_ns >> MEAN_SHIFT) : took_ns;
	latency->last_ns = now_ns;

	if (latency->current.total >= HALF_SAMPLES) {
		latency->previous = latency->current;
		wl_hist_init(&latency->current);
	}
	wl_hist_add(&latency->current, took_ns);
	if (latency->current.total % QUANTILE_EVERY == 0)
		latency_quantiles(latency);
}

/*
 * wl_latency_mean - moving average, which decays while there are no samples
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: nanoseconds; 0 if unknown.
 */
uint64_t wl_latency_mean(const wl_latency_t *latency, uint64_t now_ns)
{
	return latency_decay(latency, latency->mean_ns, now_ns);
}

/*
 * wl_latency_typical - median latency, which decays while there are no samples
 * @now_ns: monotonic time, nanoseconds
 *
 * The mean is misleading for a service that answers some calls in milliseconds
 * and others in seconds.  It is used only until the median is known.
 *
 * Return: nanoseconds; 0 if unknown.
 */
uint64_t wl_latency_typical(const wl_latency_t *latency, uint64_t now_ns)
{
	uint64_t typical = latency->p50_ns ? latency->p50_ns : latency->mean_ns;

	return latency_decay(latency, typical, now_ns);
}

/*
 * wl_latency_p95 - 95th percentile of at most the last 1024 requests
 *
 * Return: nanoseconds; 0 if there are too few samples.
 */
uint64_t wl_latency_p95(const wl_latency_t *latency)
{
	return latency->p95_ns;
}
