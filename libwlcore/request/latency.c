/* Recent latency of a service: moving average, median and 95th percentile. */

#include "latency.h"

#define MEAN_SHIFT     4   /* a sample weighs a sixteenth */
#define HALF_SAMPLES   512 /* samples in each of the two histograms */
#define LEAST_SAMPLES  32  /* fewer say nothing about a 95th percentile */
#define QUANTILE_EVERY 16  /* samples between two reckonings */
#define P50_PERMYRIAD  5000
#define P95_PERMYRIAD  9500
#define FADE_NS	       1000000000ull
#define FADE_MOST      32

static void latency_quantiles(wl_latency_t *latency)
{
	wl_hist_t both = latency->now;

	wl_hist_merge(&both, &latency->before);
	if (both.total < LEAST_SAMPLES)
		return;
	latency->p50_ns = wl_hist_quantile(&both, P50_PERMYRIAD);
	latency->p95_ns = wl_hist_quantile(&both, P95_PERMYRIAD);
}

/*
 * An estimate halves each second without samples: a refusal that rests on it
 * would otherwise keep out the very requests that could correct it.
 */
static uint64_t latency_fade(const wl_latency_t *latency, uint64_t value_ns, uint64_t now_ns)
{
	uint64_t idle = now_ns > latency->last_ns ? (now_ns - latency->last_ns) / FADE_NS : 0;

	return idle < FADE_MOST ? value_ns >> idle : 0;
}

/*
 * wl_latency_add - count one request
 * @took_ns: how long it took
 * @now_ns: monotonic time, nanoseconds
 */
void wl_latency_add(wl_latency_t *latency, uint64_t took_ns, uint64_t now_ns)
{
	uint64_t mean = wl_latency_mean(latency, now_ns);

	latency->mean_ns = mean ? mean - (mean >> MEAN_SHIFT) + (took_ns >> MEAN_SHIFT) : took_ns;
	latency->last_ns = now_ns;

	if (latency->now.total >= HALF_SAMPLES) {
		latency->before = latency->now;
		wl_hist_init(&latency->now);
	}
	wl_hist_add(&latency->now, took_ns);
	if (latency->now.total % QUANTILE_EVERY == 0)
		latency_quantiles(latency);
}

/*
 * wl_latency_mean - moving average; it fades while no request runs
 *
 * Return: nanoseconds; 0 if nothing is known.
 */
uint64_t wl_latency_mean(const wl_latency_t *latency, uint64_t now_ns)
{
	return latency_fade(latency, latency->mean_ns, now_ns);
}

/*
 * wl_latency_typical - what half of the requests take at most; it fades like the mean
 *
 * A service that answers some calls in milliseconds and others in seconds has
 * a mean that says nothing of either.
 *
 * Return: nanoseconds; 0 if nothing is known.
 */
uint64_t wl_latency_typical(const wl_latency_t *latency, uint64_t now_ns)
{
	uint64_t typical = latency->p50_ns ? latency->p50_ns : latency->mean_ns;

	return latency_fade(latency, typical, now_ns);
}

/*
 * wl_latency_p95 - 95th percentile of the last several hundred requests
 *
 * Return: nanoseconds; 0 if too little is known.
 */
uint64_t wl_latency_p95(const wl_latency_t *latency)
{
	return latency->p95_ns;
}
