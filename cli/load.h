#ifndef WL_LOAD_H
#define WL_LOAD_H

#include <stdio.h>

#include <libwlbase/hist.h>
#include <libwlbase/rng.h>

#include "cli.h"

/* Part of the load's sine wave in which the scheduled time of a request falls. */
typedef enum wl_load_phase {
	WL_PHASE_REST,
	WL_PHASE_MIDDLE,
	WL_PHASE_CREST,
	WL_PHASES
} wl_load_phase_t;

/* The schedule of the requests. */

typedef struct wl_schedule_point {
	uint64_t at_ms;
	uint64_t rate_per_s;
} wl_schedule_point_t;

typedef struct wl_schedule {
	wl_schedule_point_t *points; /* from a file, ordered by time; NULL if there is none */
	size_t count;
	uint64_t rest_per_s;  /* without points: a sine wave between these */
	uint64_t crest_per_s; /* 0: constant at rest_per_s */
	uint64_t period_ms;
	uint64_t length_ms;
	wl_rng_t rng;
} wl_schedule_t;

bool wl_schedule_init(wl_schedule_t *schedule, const wl_cli_settings_t *settings);
void wl_schedule_free(wl_schedule_t *schedule);
double wl_schedule_rate(const wl_schedule_t *schedule, uint64_t at_ns);
wl_load_phase_t wl_schedule_phase(const wl_schedule_t *schedule, uint64_t at_ns);
bool wl_schedule_next(wl_schedule_t *schedule, uint64_t *at_ns);

/* Results of the requests, by customer. */

typedef struct wl_load_tally {
	uint64_t sent;
	uint64_t ran;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t wrong;	   /* status 200, but without the marker of the request */
	wl_hist_t latency; /* of requests that ran, since their scheduled time */
} wl_load_tally_t;

typedef struct wl_load_customer {
	wl_buf_t name;
	wl_buf_t service;
	wl_load_tally_t total;
	wl_load_tally_t phases[WL_PHASES];
	wl_load_tally_t current_second; /* for the next row of the CSV */
} wl_load_customer_t;

void wl_load_report_row(FILE *csv, uint64_t second, wl_load_customer_t *customer);
void wl_load_report(const wl_cli_settings_t *settings, const wl_load_customer_t *customers,
		    size_t count, const wl_load_tally_t *tasks);

#endif
