/* Recent latency of a service: moving average and 95th percentile. */

#include "latency.h"

#define MEAN_SHIFT    4	  /* a sample weighs a sixteenth */
#define HALF_SAMPLES  512 /* samples in each of the two histograms */
#define LEAST_SAMPLES 32  /* fewer say nothing about a 95th percentile */
#define P95_EVERY     16  /* samples between two reckonings */
#define P95_PERMYRIAD 9500
#define FADE_NS	      1000000000ull /* without samples the mean halves each second */
#define FADE_MOST     32

static void latency_p95(wl_latency_t *latency)
{
	wl_hist_t both = latency->now;

	wl_hist_merge(&both, &latency->before);
	latency->p95_ns = both.total < LEAST_SAMPLES ? 0 : wl_hist_quantile(&both, P95_PERMYRIAD);
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
	if (latency->now.total % P95_EVERY == 0)
		latency_p95(latency);
}

/*
 * wl_latency_mean - what a request is expected to take
 *
 * The value fades while no request runs: a refusal that rests on it would
 * otherwise keep out the very requests that could correct it.
 *
 * Return: nanoseconds; 0 if nothing is known.
 */
uint64_t wl_latency_mean(const wl_latency_t *latency, uint64_t now_ns)
{
	uint64_t idle = now_ns > latency->last_ns ? (now_ns - latency->last_ns) / FADE_NS : 0;

	return idle < FADE_MOST ? latency->mean_ns >> idle : 0;
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
