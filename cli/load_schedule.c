/* Arrival times of an open-loop load: a Poisson process whose rate changes over time. */

#include "load.h"

#include <math.h>
#include <stdlib.h>

#include <libwlbase/units.h>

#define RNG_STREAM 1
#define CREST_MIN  0.8 /* level of the sine from which a request counts as at the crest */
#define REST_MAX   0.2 /* level up to which a request counts as at rest */

static bool schedule_read(wl_schedule_t *schedule, wl_str_t path)
{
	wl_buf_t text = {0};
	wl_str_t rest;

	if (!wl_cli_read_file(path, &text))
		return false;
	rest = wl_buf_str(&text);
	while (rest.len) {
		wl_schedule_point_t point;
		wl_str_t line;
		wl_str_t at;
		wl_str_t rate;

		wl_str_split(rest, '\n', &line, &rest);
		if (line.len == 0 || line.at[0] == '#')
			continue;
		wl_str_split(line, ' ', &at, &rate);
		if (!wl_str_u64(at, &point.at_ms) || !wl_str_u64(rate, &point.rate_per_s) ||
		    (schedule->count &&
		     point.at_ms <= schedule->points[schedule->count - 1].at_ms)) {
			fprintf(stderr,
				"wisteriactl: schedule: \"" WL_STR_FMT
				"\": must be MS RATE, with MS ascending\n",
				WL_STR_ARG(line));
			wl_buf_free(&text);
			return false;
		}
		schedule->points =
			wl_realloc(schedule->points, (schedule->count + 1) * sizeof(point));
		schedule->points[schedule->count++] = point;
	}
	wl_buf_free(&text);
	return schedule->count > 0;
}

/*
 * wl_schedule_init - read the schedule file, or take rate and sine from the settings
 *
 * Return: false if the file is invalid; a message is printed for an unreadable file or bad line.
 */
bool wl_schedule_init(wl_schedule_t *schedule, const wl_cli_settings_t *settings)
{
	*schedule = (wl_schedule_t){
		.rest_per_s = settings->rate_per_s,
		.crest_per_s = settings->crest_per_s,
		.period_ms = settings->period_ms,
		.length_ms = settings->seconds * 1000,
	};
	wl_rng_init(&schedule->rng, settings->seed, RNG_STREAM);
	if (settings->schedule.len == 0)
		return true;
	if (!schedule_read(schedule, wl_buf_str(&settings->schedule)))
		return false;
	schedule->length_ms = schedule->points[schedule->count - 1].at_ms;
	return true;
}

/*
 * wl_schedule_free - release a schedule
 */
void wl_schedule_free(wl_schedule_t *schedule)
{
	free(schedule->points);
	schedule->points = NULL;
}

static double rate_of_points(const wl_schedule_t *schedule, double at_ms)
{
	const wl_schedule_point_t *points = schedule->points;

	for (size_t i = 1; i < schedule->count; i++) {
		double span_ms = (double)(points[i].at_ms - points[i - 1].at_ms);
		double weight = (at_ms - (double)points[i - 1].at_ms) / span_ms;

		if (at_ms > (double)points[i].at_ms)
			continue;
		return (double)points[i - 1].rate_per_s * (1 - weight) +
		       (double)points[i].rate_per_s * weight;
	}
	return (double)points[schedule->count - 1].rate_per_s;
}

/* Returns the level of the sine: 0 at rest, 1 at the crest. */
static double sine(const wl_schedule_t *schedule, double at_ms)
{
	return 0.5 - 0.5 * cos(2 * M_PI * at_ms / (double)schedule->period_ms);
}

/*
 * wl_schedule_rate - compute the rate at a time, in requests per second
 * @at_ns: time since the start
 */
double wl_schedule_rate(const wl_schedule_t *schedule, uint64_t at_ns)
{
	double at_ms = (double)at_ns / WL_NS_PER_MS;
	double rest = (double)schedule->rest_per_s;

	if (schedule->count)
		return rate_of_points(schedule, at_ms);
	if (schedule->crest_per_s == 0)
		return rest;
	return rest + ((double)schedule->crest_per_s - rest) * sine(schedule, at_ms);
}

/*
 * wl_schedule_phase - classify a time by the level of the sine
 * @at_ns: time since the start
 *
 * Return: WL_PHASE_MIDDLE for a schedule from a file or at a constant rate.
 */
wl_load_phase_t wl_schedule_phase(const wl_schedule_t *schedule, uint64_t at_ns)
{
	double level;

	if (schedule->count || schedule->crest_per_s == 0)
		return WL_PHASE_MIDDLE;
	level = sine(schedule, (double)at_ns / WL_NS_PER_MS);
	if (level >= CREST_MIN)
		return WL_PHASE_CREST;
	return level <= REST_MAX ? WL_PHASE_REST : WL_PHASE_MIDDLE;
}

/*
 * wl_schedule_next - draw the next arrival time
 * @at_ns: time of the previous arrival since the start; receives that of the next
 *
 * Return: false at the end of the schedule.
 */
bool wl_schedule_next(wl_schedule_t *schedule, uint64_t *at_ns)
{
	double rate = wl_schedule_rate(schedule, *at_ns);
	double gap_s = rate > 0 ? -log(1 - wl_rng_unit(&schedule->rng)) / rate : 0.1;

	*at_ns += (uint64_t)(gap_s * (double)WL_NS_PER_S) + 1;
	return *at_ns < schedule->length_ms * WL_NS_PER_MS;
}
