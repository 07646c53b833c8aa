/*
 * Teardowns: the runs of a job that has ended, until the last of them has ended too.
 *
 * The lines of single runs are limited by event, so that a busy leader omits most of them. The
 * story of a job that has ended with runs is therefore told in a few lines of its own: what was
 * active when it ended, and how each run ended. Runs that stay for too long are logged as long as
 * they do.
 */

#include "internal.h"

#include <stdlib.h>

#define TICK_MS	    500
#define LATE_MS	    3000 /* two stops without an answer, and the stop itself */
#define LIST_BYTES  700	 /* runs of a line are listed up to this length */
#define RUNS_LOGGED 64	 /* of those that are late, in one report */
#define AGENT_NONE  "-"

struct wl_sched_teardown {
	wl_str_t key; /* over job */
	wl_buf_t job;
	wl_job_state_t state;
	uint64_t began_ns;
	uint64_t report_due_ns; /* when runs that are still there are logged */
	bool late;
	uint64_t runs; /* when it began */
	uint64_t left;
	uint64_t stops;
	uint64_t parts; /* lines of ends that were logged */
	wl_buf_t ends;	/* not logged yet */
	TAILQ_ENTRY(wl_sched_teardown) link;
};

static uint64_t age_ms(uint64_t since_ns, uint64_t now_ns)
{
	return since_ns && now_ns > since_ns ? (now_ns - since_ns) / WL_NS_PER_MS : 0;
}

static wl_str_t agent_name(const wl_sched_agent_t *agent)
{
	return agent ? wl_buf_str(&agent->name) : WL_STR(AGENT_NONE);
}

/* Appends "TASK/RUN@TARGET". */
static void run_name(const wl_sched_run_t *run, wl_buf_t *text)
{
	if (text->len)
		wl_buf_append(text, WL_STR(" "));
	wl_buf_printf(text, "%llu/%llu@" WL_STR_FMT, (unsigned long long)run->task,
		      (unsigned long long)run->number, WL_STR_ARG(run->runner->key));
}

static void active_log(const wl_sched_teardown_t *teardown, uint64_t unknown, uint64_t part,
		       wl_buf_t *active, wl_out_t *out)
{
	wl_out_log(out, WL_INFO, "job-teardown",
		   "job=" WL_STR_FMT " state=%s runs=%llu unknown=%llu part=%llu "
		   "active=\"" WL_STR_FMT "\"",
		   WL_STR_ARG(teardown->key), wl_job_state_names[teardown->state],
		   (unsigned long long)teardown->runs, (unsigned long long)unknown,
		   (unsigned long long)part, WL_STR_ARG(wl_buf_str(active)));
	wl_buf_clear(active);
}

/* Logs the runs that are active as the job ends: phase, age of the start order, its agent. */
static void runs_log(const wl_sched_t *sched, uint64_t now_ns, const wl_sched_teardown_t *teardown,
		     const wl_job_t *job, wl_out_t *out)
{
	uint64_t unknown = job->active - teardown->runs;
	wl_sched_job_runs_t at = {.job = job};
	wl_buf_t active = {0};
	uint64_t part = 0;
	const wl_sched_run_t *run;

	while ((run = wl_sched_job_runs_next(sched, &at))) {
		if (active.len > LIST_BYTES)
			active_log(teardown, unknown, ++part, &active, out);
		run_name(run, &active);
		wl_buf_printf(&active, ":%s,%llums,by:" WL_STR_FMT, wl_run_phase_names[run->phase],
			      (unsigned long long)age_ms(run->start_sent_ns, now_ns),
			      WL_STR_ARG(agent_name(run->start_agent)));
	}
	active_log(teardown, unknown, ++part, &active, out);
	wl_buf_free(&active);
}

/* Marks the runs that are left, and counts those that the leader knows. */
static uint64_t runs_mark(const wl_sched_t *sched, const wl_job_t *job)
{
	wl_sched_job_runs_t at = {.job = job};
	uint64_t count = 0;
	wl_sched_run_t *run;

	while ((run = wl_sched_job_runs_next(sched, &at))) {
		run->torn_down = true;
		count++;
	}
	return count;
}

/*
 * wl_sched_teardown_begin - follow the runs of a job that has ended
 */
void wl_sched_teardown_begin(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job, wl_out_t *out)
{
	wl_sched_teardown_t *teardown;
	uint64_t known;

	if (job->active == 0 || wl_map_get(&sched->by_ended_job, job->key))
		return;
	known = runs_mark(sched, job);
	teardown = wl_alloc(sizeof(*teardown));
	wl_buf_set(&teardown->job, job->key);
	teardown->key = wl_buf_str(&teardown->job);
	teardown->state = (wl_job_state_t)job->record.state;
	teardown->began_ns = now_ns;
	teardown->report_due_ns = now_ns + LATE_MS * WL_NS_PER_MS;
	teardown->runs = known;
	teardown->left = known;
	wl_map_put(&sched->by_ended_job, teardown);
	TAILQ_INSERT_TAIL(&sched->teardowns, teardown, link);
	runs_log(sched, now_ns, teardown, job, out);
}

static void teardown_remove(wl_sched_t *sched, wl_sched_teardown_t *teardown)
{
	wl_map_remove(&sched->by_ended_job, teardown->key);
	TAILQ_REMOVE(&sched->teardowns, teardown, link);
	wl_buf_free(&teardown->job);
	wl_buf_free(&teardown->ends);
	free(teardown);
}

static void ends_log(wl_sched_teardown_t *teardown, uint64_t now_ns, wl_out_t *out)
{
	wl_out_log(out, WL_INFO, "job-torn-down",
		   "job=" WL_STR_FMT
		   " state=%s runs=%llu left=%llu ms=%llu stops=%llu part=%llu ends=\"" WL_STR_FMT
		   "\"",
		   WL_STR_ARG(teardown->key), wl_job_state_names[teardown->state],
		   (unsigned long long)teardown->runs, (unsigned long long)teardown->left,
		   (unsigned long long)age_ms(teardown->began_ns, now_ns),
		   (unsigned long long)teardown->stops, (unsigned long long)++teardown->parts,
		   WL_STR_ARG(wl_buf_str(&teardown->ends)));
	wl_buf_clear(&teardown->ends);
}

static void teardown_finish(wl_sched_t *sched, uint64_t now_ns, wl_sched_teardown_t *teardown)
{
	if (!sched->teardown_times)
		sched->teardown_times = wl_metrics_find(sched->options.metrics,
							"wisterialead_job_teardown_seconds", "");
	wl_metric_observe(sched->teardown_times, now_ns - teardown->began_ns);
	teardown_remove(sched, teardown);
}

/*
 * wl_sched_teardown_run_ended - note the committed end of a run
 * @reason: how the leader knows of it
 */
void wl_sched_teardown_run_ended(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
				 wl_run_outcome_t outcome, const char *reason, wl_out_t *out)
{
	wl_sched_teardown_t *teardown = wl_map_get(&sched->by_ended_job, wl_buf_str(&run->job));

	if (!teardown || !run->torn_down)
		return;
	run_name(run, &teardown->ends);
	wl_buf_printf(&teardown->ends, ":%s,%s,%llums,stops:%llu", wl_run_outcome_names[outcome],
		      reason, (unsigned long long)age_ms(teardown->began_ns, now_ns),
		      (unsigned long long)run->stops);
	teardown->stops += run->stops;
	teardown->left--;
	if (teardown->left > 0 && teardown->ends.len <= LIST_BYTES)
		return;
	ends_log(teardown, now_ns, out);
	if (teardown->left == 0)
		teardown_finish(sched, now_ns, teardown);
}

/*
 * wl_sched_teardowns_inherit - follow the jobs that have ended under an earlier leader
 */
void wl_sched_teardowns_inherit(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	const wl_job_t *job;

	TAILQ_FOREACH (job, &sched->jobs->ended, link)
		wl_sched_teardown_begin(sched, now_ns, job, out);
}

static void late_run_log(const wl_sched_teardown_t *teardown, uint64_t now_ns,
			 const wl_sched_run_t *run, wl_out_t *out)
{
	wl_out_log(out, WL_WARN, "job-runs-on",
		   "job=" WL_STR_FMT " state=%s ms=%llu left=%llu task=%llu run=%llu "
		   "target=" WL_STR_FMT " phase=%s listed_ms=%llu stops=%llu stop_ms=%llu "
		   "stop_by=" WL_STR_FMT " stop_answered_ms=%llu",
		   WL_STR_ARG(teardown->key), wl_job_state_names[teardown->state],
		   (unsigned long long)age_ms(teardown->began_ns, now_ns),
		   (unsigned long long)teardown->left, (unsigned long long)run->task,
		   (unsigned long long)run->number, WL_STR_ARG(run->runner->key),
		   wl_run_phase_names[run->phase],
		   (unsigned long long)age_ms(run->last_listed_ns, now_ns),
		   (unsigned long long)run->stops,
		   (unsigned long long)age_ms(run->stop_sent_ns, now_ns),
		   WL_STR_ARG(agent_name(run->stop_agent)),
		   (unsigned long long)age_ms(run->stop_answered_ns, now_ns));
}

static void late_log(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
		     wl_sched_teardown_t *teardown, wl_out_t *out)
{
	wl_sched_job_runs_t at = {.job = job};
	unsigned int logged = 0;
	const wl_sched_run_t *run;

	if (!teardown->late)
		wl_metrics_add(sched->options.metrics, "wisterialead_job_teardowns_late_total", "",
			       1);
	teardown->late = true;
	teardown->report_due_ns = now_ns + LATE_MS * WL_NS_PER_MS;
	while (logged++ < RUNS_LOGGED && (run = wl_sched_job_runs_next(sched, &at)))
		late_run_log(teardown, now_ns, run, out);
}

/*
 * wl_sched_teardowns_tick - log and count the runs that stay although their job has ended
 */
void wl_sched_teardowns_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_teardown_t *teardown = TAILQ_FIRST(&sched->teardowns);
	uint64_t late = 0;

	if (now_ns < sched->next_teardowns_ns)
		return;
	sched->next_teardowns_ns = now_ns + TICK_MS * WL_NS_PER_MS;
	while (teardown) {
		const wl_job_t *job = wl_jobs_find(sched->jobs, teardown->key);
		wl_sched_teardown_t *next = TAILQ_NEXT(teardown, link);

		/* runs that this leader does not know end without a line */
		if (!job || job->active == 0) {
			teardown_finish(sched, now_ns, teardown);
		} else {
			if (now_ns >= teardown->report_due_ns)
				late_log(sched, now_ns, job, teardown, out);
			late += teardown->late;
		}
		teardown = next;
	}
	wl_metrics_set(sched->options.metrics, "wisterialead_job_teardowns_late", "", late);
}

/*
 * wl_sched_teardowns_clear - release all teardowns at the end of the leadership
 */
void wl_sched_teardowns_clear(wl_sched_t *sched)
{
	while (!TAILQ_EMPTY(&sched->teardowns))
		teardown_remove(sched, TAILQ_FIRST(&sched->teardowns));
}
