/* Targets that run tasks ("runner" in names), and the configuration. */

#include "internal.h"

#include <stdlib.h>

#define DEPARTED_RETENTION_MS 60000 /* a late report must not bring a departed target back */

/*
 * wl_jobs_runner - find a target by its id
 *
 * Return: the target, or NULL.
 */
wl_runner_t *wl_jobs_runner(const wl_jobs_t *jobs, wl_str_t id)
{
	return wl_map_get(&jobs->by_runner, id);
}

static void runs_clear(wl_jobs_t *jobs, wl_runner_t *runner)
{
	while (!TAILQ_EMPTY(&runner->runs))
		wl_run_remove(jobs, TAILQ_FIRST(&runner->runs));
}

void wl_runner_remove(wl_jobs_t *jobs, wl_runner_t *runner)
{
	runs_clear(jobs, runner);
	wl_map_remove(&jobs->by_runner, runner->key);
	TAILQ_REMOVE(&jobs->runners, runner, link);
	wl_record_free(&wl_runner_report_schema, &runner->report);
	free(runner);
}

static void departure_record(wl_jobs_t *jobs, uint64_t departed_ms)
{
	if (departed_ms &&
	    (jobs->earliest_departed_ms == 0 || departed_ms < jobs->earliest_departed_ms))
		jobs->earliest_departed_ms = departed_ms;
}

void wl_runners_expire(wl_jobs_t *jobs, uint64_t clock_ms)
{
	wl_runner_t *runner = TAILQ_FIRST(&jobs->runners);

	/* Called with each command, and mostly has nothing to remove. */
	if (jobs->earliest_departed_ms == 0 ||
	    clock_ms - jobs->earliest_departed_ms <= DEPARTED_RETENTION_MS)
		return;
	jobs->earliest_departed_ms = 0;
	while (runner) {
		wl_runner_t *next = TAILQ_NEXT(runner, link);

		if (runner->departed_ms && clock_ms - runner->departed_ms > DEPARTED_RETENTION_MS)
			wl_runner_remove(jobs, runner);
		else
			departure_record(jobs, runner->departed_ms);
		runner = next;
	}
}

static wl_runner_t *runner_add(wl_jobs_t *jobs, const wl_runner_report_t *report)
{
	wl_runner_t *runner = wl_alloc(sizeof(*runner));

	wl_record_copy(&wl_runner_report_schema, &runner->report, report);
	runner->key = wl_buf_str(&runner->report.id);
	TAILQ_INIT(&runner->runs);
	wl_map_put(&jobs->by_runner, runner);
	TAILQ_INSERT_TAIL(&jobs->runners, runner, link);
	return runner;
}

/*
 * wl_runner_report_is_newer - whether a report is newer than the committed one of a target
 */
bool wl_runner_report_is_newer(const wl_runner_t *runner, const wl_runner_report_t *report)
{
	if (report->incarnation != runner->report.incarnation)
		return report->incarnation > runner->report.incarnation ||
		       (report->supersedes && report->supersedes == runner->report.incarnation);
	return !runner->departed_ms &&
	       (report->exiting || report->sequence > runner->report.sequence);
}

static bool report_differs(const wl_runner_report_t *a, const wl_runner_report_t *b)
{
	return a->incarnation != b->incarnation || a->draining != b->draining ||
	       a->exiting != b->exiting || a->cpu_millis != b->cpu_millis ||
	       a->memory_mib != b->memory_mib || a->accelerators != b->accelerators ||
	       (a->warmup_ms > 0) != (b->warmup_ms > 0) ||
	       !wl_str_equal(wl_buf_str(&a->address), wl_buf_str(&b->address)) ||
	       !wl_str_equal(wl_buf_str(&a->service), wl_buf_str(&b->service)) ||
	       !wl_str_equal(wl_buf_str(&a->machine), wl_buf_str(&b->machine)) ||
	       !wl_strings_equal(&a->labels, &b->labels);
}

/*
 * wl_runner_report_changes - whether a report has a change that must be committed
 */
bool wl_runner_report_changes(const wl_runner_t *runner, const wl_runner_report_t *report)
{
	return wl_runner_report_is_newer(runner, report) && report_differs(&runner->report, report);
}

/* The runs of a target that left have ended. */
static void runner_departed(wl_jobs_t *jobs, wl_runner_t *runner, uint64_t clock_ms)
{
	runner->departed_ms = clock_ms ? clock_ms : 1;
	departure_record(jobs, runner->departed_ms);
	runs_clear(jobs, runner);
}

/* The next incarnation's reports say nothing of how this one ends, so its runs keep that. */
static void runs_announced(wl_runner_t *runner)
{
	wl_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, of_runner)
		run->announced |= run->incarnation == runner->report.incarnation;
}

void wl_jobs_runner_put(wl_jobs_t *jobs, const wl_runner_report_t *report, uint64_t clock_ms,
			wl_result_t *result)
{
	wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&report->id));

	wl_result_ok(result, 0);
	if (!runner) {
		if (!report->exiting)
			runner_add(jobs, report);
		return;
	}
	if (!wl_runner_report_is_newer(runner, report))
		return;
	if (report->exiting) {
		runner_departed(jobs, runner, clock_ms);
		return;
	}
	wl_record_free(&wl_runner_report_schema, &runner->report);
	wl_record_copy(&wl_runner_report_schema, &runner->report, report);
	runner->key = wl_buf_str(&runner->report.id);
	runner->departed_ms = 0;
	if (report->draining)
		runs_announced(runner);
}

static void catalog_put(wl_jobs_t *jobs, const wl_cmd_catalog_put_t *cmd, wl_result_t *result)
{
	wl_result_ok(result, 0);
	result->version = jobs->catalog.version;
	if (jobs->configured && cmd->catalog.version <= jobs->catalog.version)
		return;
	wl_record_free(&wl_catalog_schema, &jobs->catalog);
	wl_record_copy(&wl_catalog_schema, &jobs->catalog, &cmd->catalog);
	wl_buf_set(&jobs->catalog_text, wl_buf_str(&cmd->text));
	jobs->configured = true;
	wl_jobs_catalog_changed(jobs);
	result->version = jobs->catalog.version;
}

/*
 * wl_jobs_handles - whether a kind of command belongs to the job state
 */
bool wl_jobs_handles(uint64_t cmd_kind)
{
	return cmd_kind >= WL_CMD_CATALOG_PUT && cmd_kind <= WL_CMD_ZONE_EVACUATE;
}

/*
 * wl_jobs_apply - apply a committed command
 * @clock_ms: time of the Raft group's clock
 * @result: zeroed; verdict not-run means that nothing changed
 */
void wl_jobs_apply(wl_jobs_t *jobs, const wl_cmd_t *cmd, uint64_t clock_ms, wl_result_t *result)
{
	switch ((wl_cmd_kind_t)cmd->kind) {
	case WL_CMD_CATALOG_PUT:
		catalog_put(jobs, &cmd->u.catalog_put, result);
		break;
	case WL_CMD_JOB_ADD:
		wl_jobs_add(jobs, &cmd->u.job_add, clock_ms, result);
		break;
	case WL_CMD_JOB_CANCEL:
		wl_jobs_cancel(jobs, &cmd->u.job_cancel, clock_ms, result);
		break;
	case WL_CMD_RUNS_START:
		wl_jobs_runs_start(jobs, &cmd->u.runs_start, clock_ms, result);
		break;
	case WL_CMD_RUNS_END:
		wl_jobs_runs_end(jobs, &cmd->u.runs_end, clock_ms, result);
		break;
	case WL_CMD_RUNNER_PUT:
		wl_jobs_runner_put(jobs, &cmd->u.runner_put, clock_ms, result);
		break;
	case WL_CMD_ZONE_EVACUATE:
		wl_evacuation_apply(&jobs->evacuations, &cmd->u.zone_evacuate, clock_ms,
				    jobs->index, result);
		break;
	default:
		wl_result_fail(result, WL_E_BAD_INPUT, "command does not belong to the job state");
		break;
	}
}

/*
 * wl_jobs_restore_runner - add a target from a snapshot
 * @record: moved from
 */
wl_runner_t *wl_jobs_restore_runner(wl_jobs_t *jobs, wl_runner_record_t *record)
{
	wl_runner_t *runner = runner_add(jobs, &record->report);

	runner->departed_ms = record->departed_ms;
	runner->crash = record->crash;
	runner->crashed_incarnation = record->crashed_incarnation;
	departure_record(jobs, runner->departed_ms);
	wl_record_free(&wl_runner_record_schema, record);
	return runner;
}
