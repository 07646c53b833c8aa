/*
 * The capacity of a target, which may change while it runs.
 *
 * A report binds at once, before its commit, also starts that are committed and not ordered yet.
 * Runs that are on the target stay when its capacity shrinks, and count until their ends are
 * committed.
 */

#include "internal.h"

/* Reports may arrive, and be committed, after a newer one was received. */
static bool is_outdated(const wl_sched_runner_t *runner, const wl_runner_report_t *report)
{
	if (report->incarnation != runner->capacity_incarnation)
		return report->incarnation < runner->capacity_incarnation;
	return report->sequence < runner->capacity_sequence;
}

/*
 * wl_sched_capacity_reported - use the capacity that a report names
 */
void wl_sched_capacity_reported(wl_sched_t *sched, wl_sched_runner_t *runner,
				const wl_runner_report_t *report)
{
	wl_need_t *capacity = &runner->fit.capacity;

	if (is_outdated(runner, report))
		return;
	if (report->cpu_millis > capacity->cpu_millis ||
	    report->memory_mib > capacity->memory_mib ||
	    report->accelerators > capacity->accelerators)
		sched->place_due = true;
	runner->capacity_incarnation = report->incarnation;
	runner->capacity_sequence = report->sequence;
	*capacity = (wl_need_t){.cpu_millis = report->cpu_millis,
				.memory_mib = report->memory_mib,
				.accelerators = report->accelerators};
	wl_sched_row_outdate(sched, runner);
}

static bool is_within(const wl_need_t *used, const wl_need_t *capacity)
{
	return used->cpu_millis <= capacity->cpu_millis &&
	       used->memory_mib <= capacity->memory_mib &&
	       used->accelerators <= capacity->accelerators;
}

/* Whether the run fits beside the runs that may be on its target. */
static bool has_room(const wl_sched_run_t *run)
{
	const wl_fit_runner_t *fit = &run->runner->fit;
	const wl_sched_run_t *other;
	wl_need_t used = {0};

	if (is_within(&fit->used, &fit->capacity))
		return true;
	TAILQ_FOREACH (other, &run->runner->runs, link) {
		if (other != run && (other->phase == WL_RUN_PROPOSED || other->withheld))
			continue;
		used.cpu_millis += other->best_effort ? 0 : other->need.cpu_millis;
		used.memory_mib += other->need.memory_mib;
		used.accelerators += other->need.accelerators;
	}
	return is_within(&used, &fit->capacity);
}

/*
 * Why a target gets no start at all, those that were chosen before included; NULL: it does. Its
 * present incarnation must have told its clock, as orders name deadlines on it.
 */
static const char *closed_reason(const wl_sched_runner_t *runner)
{
	if (runner->known.departing || runner->known.removal_proposed)
		return "departing";
	if (runner->evacuated)
		return "evacuated";
	return runner->known.clock_ns ? NULL : "no-clock";
}

static bool is_same_gang(const wl_job_t *job, const wl_run_start_t *a, const wl_run_start_t *b)
{
	wl_task_ref_t at;
	wl_task_ref_t other;

	if (a->run != b->run || !wl_str_equal(wl_buf_str(&a->job), wl_buf_str(&b->job)))
		return false;
	wl_job_task_ref(job, a->task, &at);
	wl_job_task_ref(job, b->task, &other);
	return at.occurrence == other.occurrence && at.step == other.step;
}

/*
 * A part of a gang would wait for the other members in vain.  Its rows follow each other, and the
 * decision for the first one holds for all.
 */
static bool gang_is_withheld(const wl_sched_t *sched, const wl_job_t *job,
			     const wl_run_start_t *rows, size_t count, size_t row,
			     const wl_step_spec_t *step)
{
	if (row > 0 && is_same_gang(job, &rows[row - 1], &rows[row])) {
		const wl_sched_run_t *previous =
			wl_sched_run_find(sched, job->key, rows[row - 1].task, rows[row - 1].run);

		if (previous)
			return previous->withheld;
	}
	for (size_t i = row; i < count && is_same_gang(job, &rows[row], &rows[i]); i++) {
		const wl_sched_runner_t *runner =
			wl_sched_runner_find(sched, wl_buf_str(&rows[i].runner));

		if (!runner || closed_reason(runner) || !wl_fit_has_label(step, &runner->fit) ||
		    !is_within(&runner->fit.used, &runner->fit.capacity))
			return true;
	}
	return false;
}

/*
 * wl_sched_start_withheld - why a committed start must not be ordered
 * @row: number of its row in the command
 *
 * Return: the reason, for the log; NULL: it may be ordered.
 */
const char *wl_sched_start_withheld(const wl_sched_t *sched, const wl_cmd_runs_start_t *cmd,
				    size_t row, const wl_sched_run_t *run, const wl_job_t *job)
{
	const wl_run_start_t *rows = cmd->runs.items;
	const wl_step_spec_t *step;
	wl_task_ref_t at;

	wl_job_task_ref(job, run->task, &at);
	if (closed_reason(run->runner))
		return closed_reason(run->runner);
	step = wl_job_step(job, at.step);
	if (step->gang)
		return gang_is_withheld(sched, job, rows, cmd->runs.count, row, step) ? "gang"
										      : NULL;
	if (!wl_fit_has_label(step, &run->runner->fit))
		return "label";
	return has_room(run) ? NULL : "no-room";
}
