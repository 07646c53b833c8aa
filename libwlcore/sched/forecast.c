/*
 * Forecast of the end of a submitted job.
 *
 * Designed to be wrong in one direction only: a job is impossible if it would come too late even
 * at twice the measured rate. A job that is refused wrongly costs its caller more than a late one.
 */

#include "forecast.h"

#include <libwlbase/named.h>
#include <libwlbase/units.h>

/* The rate that a backlog may at most be done at, by the measured one. */
#define RATE_MARGIN 2

/* Shortest delay of a return: longer than a daemon sends a submission again. */
#define RETURN_MIN_MS	4000
#define RETURN_MAX_MS	60000
#define SLOT_MIN_MS	20
#define SLOT_MAX_MS	1000
#define DRAIN_WINDOW_MS (WL_DRAIN_BUCKETS * WL_MS_PER_S)

const char *const wl_forecast_verdict_names[] = {"possible", "no-target", "path", "backlog"};

/* Clears the buckets of the seconds without work since the newest one. */
static void drain_advance(wl_drain_t *drain, uint64_t second)
{
	if (second >= drain->second + WL_DRAIN_BUCKETS)
		drain->second = second - WL_DRAIN_BUCKETS;
	while (drain->second < second)
		drain->done_ms[++drain->second % WL_DRAIN_BUCKETS] = 0;
}

/*
 * wl_drain_done - count work that is done
 */
void wl_drain_done(wl_drain_t *drain, uint64_t now_ms, uint64_t work_ms)
{
	uint64_t second = now_ms / WL_MS_PER_S;

	drain_advance(drain, second);
	drain->done_ms[second % WL_DRAIN_BUCKETS] += work_ms;
}

/*
 * wl_drain_waiting - note whether work waits at present
 */
void wl_drain_waiting(wl_drain_t *drain, uint64_t now_ms, bool waiting)
{
	if (!waiting)
		drain->waiting_since_ms = 0;
	else if (drain->waiting_since_ms == 0)
		drain->waiting_since_ms = now_ms;
}

/*
 * wl_drain_rate_millis - rate at which work was done lately
 *
 * Return: 0 unless work has waited during the whole time: the rate would be that of the demand.
 */
uint64_t wl_drain_rate_millis(const wl_drain_t *drain, uint64_t now_ms)
{
	uint64_t second = now_ms / WL_MS_PER_S;
	uint64_t done_ms = 0;

	if (drain->waiting_since_ms == 0 || now_ms < drain->waiting_since_ms + DRAIN_WINDOW_MS)
		return 0;
	for (uint64_t i = 0; i < WL_DRAIN_BUCKETS; i++)
		if (drain->second >= i && drain->second - i + WL_DRAIN_BUCKETS > second)
			done_ms += drain->done_ms[(drain->second - i) % WL_DRAIN_BUCKETS];
	/* the newest bucket is not full */
	return done_ms * WL_PERMILLE / (DRAIN_WINDOW_MS - WL_MS_PER_S + now_ms % WL_MS_PER_S + 1);
}

static uint64_t duration_ms(uint64_t work_ms, uint64_t rate_millis)
{
	return work_ms * WL_PERMILLE / rate_millis;
}

/* How long the work ahead of a job takes if it is done as fast as it may be. */
static uint64_t least_ms(const wl_forecast_t *forecast, uint64_t ahead_ms)
{
	return duration_ms(ahead_ms, RATE_MARGIN * forecast->rate_millis);
}

/* The same until its tasks have started: each of them may still need its whole time. */
static uint64_t least_start_ms(const wl_forecast_t *forecast, uint64_t ahead_ms)
{
	uint64_t end_ms = least_ms(forecast, ahead_ms);

	return end_ms > forecast->longest_ms ? end_ms - forecast->longest_ms : 0;
}

static bool may_end(const wl_forecast_t *forecast, uint64_t wait_ms, uint64_t path_ms,
		    uint64_t end_ms)
{
	return forecast->now_ms + wait_ms + path_ms <= end_ms;
}

/*
 * wl_forecast_add - include the work of a job that is placed earlier
 * @forecast: the work of the jobs before it is included already
 *
 * A job that would come too late itself falls back in the queue, and is not ahead any more.
 */
void wl_forecast_add(wl_forecast_t *forecast, const wl_forecast_job_t *job)
{
	if (forecast->rate_millis == 0)
		return;
	if (job->path_ms > forecast->longest_ms)
		forecast->longest_ms = job->path_ms;
	if (job->deadline_ms == 0 ||
	    may_end(forecast, least_ms(forecast, forecast->on_time_work_ms), job->path_ms,
		    job->on_time_ms))
		forecast->on_time_work_ms += job->work_ms;
	if (job->deadline_ms == 0 || may_end(forecast, least_ms(forecast, forecast->late_work_ms),
					     job->path_ms, job->deadline_ms))
		forecast->late_work_ms += job->work_ms;
}

/*
 * wl_forecast_decide - whether a job can be done before its result is of no use
 * @fits: some target is large enough for each of its tasks
 */
wl_forecast_verdict_t wl_forecast_decide(const wl_forecast_t *forecast,
					 const wl_forecast_job_t *job, bool fits)
{
	if (job->deadline_ms == 0)
		return WL_FORECAST_POSSIBLE;
	if (!fits)
		return WL_FORECAST_NO_TARGET;
	if (forecast->now_ms + job->path_ms > job->deadline_ms)
		return WL_FORECAST_PATH;
	if (forecast->rate_millis == 0 ||
	    may_end(forecast, least_start_ms(forecast, forecast->on_time_work_ms), job->path_ms,
		    job->on_time_ms) ||
	    may_end(forecast, least_start_ms(forecast, forecast->late_work_ms), job->path_ms,
		    job->deadline_ms))
		return WL_FORECAST_POSSIBLE;
	return WL_FORECAST_BACKLOG;
}

static wl_forecast_verdict_t accept_all(const wl_forecast_t *forecast, const wl_forecast_job_t *job,
					bool fits)
{
	(void)forecast;
	(void)job;
	(void)fits;
	return WL_FORECAST_POSSIBLE;
}

/* Sorted by name; the last is the default. */
static const wl_forecast_policy_t policies[] = {
	{"all", accept_all},
	{"in-time", wl_forecast_decide},
};

#define POLICY_DEFAULT (&policies[sizeof(policies) / sizeof(policies[0]) - 1])

/*
 * wl_forecast_policy_find - find a policy of acceptance by name
 * @name: empty: the default
 *
 * Return: the policy, or NULL if the name is unknown.
 */
const wl_forecast_policy_t *wl_forecast_policy_find(wl_str_t name)
{
	if (name.len == 0)
		return POLICY_DEFAULT;
	return WL_NAMED_FIND(policies, name);
}

/*
 * wl_forecast_wait_ms - how long the work ahead takes until a job like this would be on time
 */
uint64_t wl_forecast_wait_ms(const wl_forecast_t *forecast, const wl_forecast_job_t *job)
{
	uint64_t allowed_ms = job->on_time_ms > forecast->now_ms + job->path_ms
				      ? job->on_time_ms - forecast->now_ms - job->path_ms
				      : 0;
	uint64_t wait_ms = 0;

	if (forecast->rate_millis)
		wait_ms = duration_ms(forecast->late_work_ms, forecast->rate_millis);
	return wait_ms > allowed_ms ? wait_ms - allowed_ms : 0;
}

static uint64_t between(uint64_t value, uint64_t least, uint64_t most)
{
	if (value < least)
		return least;
	return value < most ? value : most;
}

/*
 * wl_returns_take - when the caller of a refused job is to submit it again
 * @hash: of the job: its place in its slot, which is as long as its own work takes
 *
 * Return: delay, ms.
 */
uint64_t wl_returns_take(wl_returns_t *returns, const wl_forecast_t *forecast,
			 const wl_forecast_job_t *job, uint64_t hash)
{
	uint64_t first_ms = forecast->now_ms + RETURN_MIN_MS;
	uint64_t last_ms = forecast->now_ms + RETURN_MAX_MS - SLOT_MAX_MS;
	uint64_t slot_ms = SLOT_MAX_MS;
	uint64_t start_ms = forecast->now_ms + wl_forecast_wait_ms(forecast, job);

	if (forecast->rate_millis)
		slot_ms = between(duration_ms(job->work_ms, forecast->rate_millis), SLOT_MIN_MS,
				  SLOT_MAX_MS);
	if (start_ms < returns->next_ms)
		start_ms = returns->next_ms;
	start_ms = between(start_ms, first_ms, last_ms);
	returns->next_ms = start_ms + slot_ms;
	return start_ms + hash % slot_ms - forecast->now_ms;
}
