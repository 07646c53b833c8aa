/* Latency histogram with log-linear buckets. */

#include "hist.h"

#include <stdio.h>
#include <string.h>

#define SUB_BITS  3
#define SUB_COUNT (1u << SUB_BITS)
#define PERMYRIAD 10000

static size_t hist_bucket(uint64_t value)
{
	unsigned int high;
	size_t bucket;

	if (value < SUB_COUNT)
		return (size_t)value;
	high = 63 - (unsigned int)__builtin_clzll(value);
	bucket = ((size_t)(high - SUB_BITS + 1) << SUB_BITS) +
		 (size_t)((value >> (high - SUB_BITS)) & (SUB_COUNT - 1));
	return bucket < WL_HIST_BUCKETS ? bucket : WL_HIST_BUCKETS - 1;
}

static uint64_t hist_upper(size_t bucket)
{
	size_t high = bucket >> SUB_BITS;
	uint64_t low;

	if (high == 0)
		return bucket;
	low = (uint64_t)(SUB_COUNT + (bucket & (SUB_COUNT - 1))) << (high - 1);
	return low + ((uint64_t)1 << (high - 1)) - 1;
}

/*
 * wl_hist_init - initialize an empty histogram
 */
void wl_hist_init(wl_hist_t *hist)
{
	memset(hist, 0, sizeof(*hist));
}

/*
 * wl_hist_add - add one value
 * @value_ns: nanoseconds
 */
void wl_hist_add(wl_hist_t *hist, uint64_t value_ns)
{
	hist->counts[hist_bucket(value_ns)]++;
	hist->total++;
	hist->sum_ns += value_ns;
	if (value_ns > hist->max_ns)
		hist->max_ns = value_ns;
}

/*
 * wl_hist_merge - add the counts of one histogram to another
 */
void wl_hist_merge(wl_hist_t *into, const wl_hist_t *from)
{
	for (size_t i = 0; i < WL_HIST_BUCKETS; i++)
		into->counts[i] += from->counts[i];
	into->total += from->total;
	into->sum_ns += from->sum_ns;
	if (from->max_ns > into->max_ns)
		into->max_ns = from->max_ns;
}

/*
 * wl_hist_quantile - get a quantile of the values
 * @permyriad: the quantile in ten thousandths; 9900 is the 99th percentile
 *
 * Return: nanoseconds; zero for an empty histogram.
 */
uint64_t wl_hist_quantile(const wl_hist_t *hist, uint32_t permyriad)
{
	uint64_t rank = (hist->total * permyriad + PERMYRIAD - 1) / PERMYRIAD;
	uint64_t seen = 0;

	if (hist->total == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (size_t i = 0; i < WL_HIST_BUCKETS; i++) {
		seen += hist->counts[i];
		if (seen < rank)
			continue;
		return hist_upper(i) < hist->max_ns ? hist_upper(i) : hist->max_ns;
	}
	return hist->max_ns;
}

static void hist_print_line(wl_str_t name, const char *suffix, wl_str_t labels, const char *le,
			    uint64_t value, wl_buf_t *out)
{
	wl_buf_printf(out, WL_STR_FMT "%s{" WL_STR_FMT "%s", WL_STR_ARG(name), suffix,
		      WL_STR_ARG(labels), labels.len && le ? "," : "");
	if (le)
		wl_buf_printf(out, "le=\"%s\"", le);
	wl_buf_printf(out, "} %llu\n", (unsigned long long)value);
}

/*
 * wl_hist_print - append a histogram as Prometheus text, in seconds
 * @name: metric name
 * @labels: inner text of the labels, may be empty
 */
void wl_hist_print(const wl_hist_t *hist, wl_str_t name, wl_str_t labels, wl_buf_t *out)
{
	uint64_t seen = 0;
	char le[32];

	for (size_t i = 0; i < WL_HIST_BUCKETS; i++) {
		if (hist->counts[i] == 0)
			continue;
		seen += hist->counts[i];
		snprintf(le, sizeof(le), "%.9g", (double)hist_upper(i) / 1e9);
		hist_print_line(name, "_bucket", labels, le, seen, out);
	}
	hist_print_line(name, "_bucket", labels, "+Inf", hist->total, out);
	wl_buf_printf(out, WL_STR_FMT "_sum{" WL_STR_FMT "} %.9f\n", WL_STR_ARG(name),
		      WL_STR_ARG(labels), (double)hist->sum_ns / 1e9);
	hist_print_line(name, "_count", labels, NULL, hist->total, out);
}
