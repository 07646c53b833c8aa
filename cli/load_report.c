/* Results of a load: a CSV row per customer and second, and a summary at the end. */

#include "load.h"

#include <string.h>

#define NS_PER_US 1000

static unsigned long long quantile_us(const wl_hist_t *hist, uint32_t permyriad)
{
	return wl_hist_quantile(hist, permyriad) / NS_PER_US;
}

/*
 * wl_load_report_row - write the CSV row of one second and reset its counters
 * @csv: NULL if no file is written
 */
void wl_load_report_row(FILE *csv, uint64_t second, wl_load_customer_t *customer)
{
	wl_load_tally_t *tally = &customer->current_second;

	if (csv)
		fprintf(csv, "%llu," WL_STR_FMT ",%llu,%llu,%llu,%llu,%llu,%llu,%llu,%llu\n",
			(unsigned long long)second, WL_STR_ARG(wl_buf_str(&customer->name)),
			(unsigned long long)tally->sent, (unsigned long long)tally->ran,
			(unsigned long long)tally->not_run, (unsigned long long)tally->unknown,
			(unsigned long long)tally->wrong, quantile_us(&tally->latency, 5000),
			quantile_us(&tally->latency, 9900), quantile_us(&tally->latency, 9990));
	memset(tally, 0, sizeof(*tally));
}

static void print_tally(const wl_cli_settings_t *settings, wl_str_t name, const char *part,
			const wl_load_tally_t *tally)
{
	const char *format =
		settings->json
			? "{\"customer\":\"" WL_STR_FMT "\",\"part\":\"%s\",\"sent\":%llu,"
			  "\"ran\":%llu,\"not_run\":%llu,\"unknown\":%llu,\"wrong\":%llu,"
			  "\"p50_us\":%llu,\"p99_us\":%llu,\"p999_us\":%llu,\"max_us\":%llu}\n"
			: WL_STR_FMT
			" %s: sent=%llu ran=%llu not-run=%llu unknown=%llu "
			"wrong=%llu p50_us=%llu p99_us=%llu p999_us=%llu max_us=%llu\n";

	printf(format, WL_STR_ARG(name), part, (unsigned long long)tally->sent,
	       (unsigned long long)tally->ran, (unsigned long long)tally->not_run,
	       (unsigned long long)tally->unknown, (unsigned long long)tally->wrong,
	       quantile_us(&tally->latency, 5000), quantile_us(&tally->latency, 9900),
	       quantile_us(&tally->latency, 9990),
	       (unsigned long long)tally->latency.max_ns / NS_PER_US);
}

/*
 * wl_load_report - print the totals of the run, by customer
 */
void wl_load_report(const wl_cli_settings_t *settings, const wl_load_customer_t *customers,
		    size_t count, const wl_load_tally_t *tasks)
{
	for (size_t i = 0; i < count; i++) {
		wl_str_t name = wl_buf_str(&customers[i].name);

		print_tally(settings, name, "all", &customers[i].total);
		if (customers[i].phases[WL_PHASE_REST].sent)
			print_tally(settings, name, "rest", &customers[i].phases[WL_PHASE_REST]);
		if (customers[i].phases[WL_PHASE_CREST].sent)
			print_tally(settings, name, "crest", &customers[i].phases[WL_PHASE_CREST]);
	}
	if (tasks->sent)
		print_tally(settings, WL_STR("tasks"), "accept", tasks);
}
