#ifndef WL_FORECAST_H
#define WL_FORECAST_H

#include <libwlbase/str.h>

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a submitted job can be done before its result is of no use, from the work ahead of it and
 * the rate at which such work is done. Pure functions.
 *
 * Work is counted in processor milliseconds, by the estimated durations of tasks; a rate in
 * thousandths of a processor.
 */

#define WL_DRAIN_BUCKETS 4 /* of a second */

/* Measures the rate at which work is done while more of it waits. */
typedef struct wl_drain {
	uint64_t done_ms[WL_DRAIN_BUCKETS]; /* work, by second */
	uint64_t second;		    /* of the newest bucket */
	uint64_t waiting_since_ms;	    /* work has waited without a break; 0: none waits */
} wl_drain_t;

void wl_drain_done(wl_drain_t *drain, uint64_t now_ms, uint64_t work_ms);
void wl_drain_waiting(wl_drain_t *drain, uint64_t now_ms, bool waiting);
uint64_t wl_drain_rate_millis(const wl_drain_t *drain, uint64_t now_ms);

typedef struct wl_forecast_job {
	uint64_t work_ms;
	uint64_t path_ms;     /* longest chain of dependent steps that are not done */
	uint64_t on_time_ms;  /* latest end of a job that is on time */
	uint64_t deadline_ms; /* its result is of no use later; 0: it always is */
} wl_forecast_job_t;

typedef struct wl_forecast {
	uint64_t now_ms;
	uint64_t rate_millis;	  /* 0: unknown */
	uint64_t on_time_work_ms; /* ahead of a job that is on time */
	uint64_t late_work_ms;	  /* ahead of a job that is late and still of use */
	uint64_t longest_ms;	  /* a task ahead of it takes so long at most */
} wl_forecast_t;

typedef enum wl_forecast_verdict {
	WL_FORECAST_POSSIBLE,
	WL_FORECAST_NO_TARGET, /* no known target is large enough for a task of it */
	WL_FORECAST_PATH,      /* its own chain of steps takes longer than there is time */
	WL_FORECAST_BACKLOG,   /* the work ahead takes longer than there is time */
	WL_FORECAST_VERDICTS
} wl_forecast_verdict_t;

extern const char *const wl_forecast_verdict_names[];

/* Which submitted jobs are refused. The policies are interchangeable. */
typedef struct wl_forecast_policy {
	const char *name;
	/* @fits: some target is large enough for each of the job's tasks */
	wl_forecast_verdict_t (*decide)(const wl_forecast_t *forecast, const wl_forecast_job_t *job,
					bool fits);
} wl_forecast_policy_t;

const wl_forecast_policy_t *wl_forecast_policy_find(wl_str_t name);
void wl_forecast_add(wl_forecast_t *forecast, const wl_forecast_job_t *job);
wl_forecast_verdict_t wl_forecast_decide(const wl_forecast_t *forecast,
					 const wl_forecast_job_t *job, bool fits);
uint64_t wl_forecast_wait_ms(const wl_forecast_t *forecast, const wl_forecast_job_t *job);

/* Spreads the returns of refused jobs: one slot after another, in the order of refusal. */
typedef struct wl_returns {
	uint64_t next_ms; /* begin of the next free slot */
} wl_returns_t;

uint64_t wl_returns_take(wl_returns_t *returns, const wl_forecast_t *forecast,
			 const wl_forecast_job_t *job, uint64_t hash);

#endif
