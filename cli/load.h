#ifndef WL_LOAD_H
#define WL_LOAD_H

#include <stdio.h>

#include <libwlbase/hist.h>
#include <libwlbase/rng.h>

#include "cli.h"

/* Where in a swing of demand a request is meant to be sent. */
typedef enum wl_load_phase {
	WL_PHASE_REST,
	WL_PHASE_MIDDLE,
	WL_PHASE_CREST,
	WL_PHASES
} wl_load_phase_t;

/* When requests are meant to be sent. */

typedef struct wl_schedule_point {
	uint64_t at_ms;
	uint64_t rate_per_s;
} wl_schedule_point_t;

typedef struct wl_schedule {
	wl_schedule_point_t *points; /* ordered by time */
	size_t count;
	uint64_t rest_per_s; /* without points: a swing between these */
	uint64_t crest_per_s;
	uint64_t period_ms;
	uint64_t length_ms;
	wl_rng_t rng;
} wl_schedule_t;

bool wl_schedule_init(wl_schedule_t *schedule, const wl_cli_settings_t *settings);
void wl_schedule_free(wl_schedule_t *schedule);
double wl_schedule_rate(const wl_schedule_t *schedule, uint64_t at_ns);
wl_load_phase_t wl_schedule_phase(const wl_schedule_t *schedule, uint64_t at_ns);
bool wl_schedule_next(wl_schedule_t *schedule, uint64_t *at_ns);

/* What came of the requests, by customer. */

typedef struct wl_load_tally {
	uint64_t sent;
	uint64_t ran;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t wrong;	   /* not whole, or somebody else's */
	wl_hist_t latency; /* of what ran, from the intended time */
} wl_load_tally_t;

typedef struct wl_load_customer {
	wl_buf_t name;
	wl_buf_t service;
	wl_load_tally_t whole;
	wl_load_tally_t phases[WL_PHASES];
	wl_load_tally_t second; /* of the current row */
} wl_load_customer_t;

void wl_load_report_row(FILE *csv, uint64_t second, wl_load_customer_t *customer);
void wl_load_report(const wl_cli_settings_t *settings, const wl_load_customer_t *customers,
		    size_t count, const wl_load_tally_t *tasks);

#endif
