/*
 * Reports of attempts: which ones are valid, and which event they cause.
 *
 * Only reports of the latest attempt are valid.  A report that originates at
 * the target (started, finished, failed, stopped) is valid whichever owner
 * forwards it.  So is a refusal: it comes from the owner to which the attempt
 * was assigned, which alone can have started it, or from a later one whose
 * epoch bars that start.  An owner's own conclusions (lost, after silence) and
 * plans (checkpoint) are valid from the present owner only, because a later
 * owner may be renewing the task's lease.
 *
 * A loss with proof that the target crashed counts against the task, as the task
 * may be what crashes it.
 */

#include "internal.h"

#define FAILURES_PER_TARGET 2

static bool report_is_valid(const wl_state_t *state, const wl_task_t *task,
			    const wl_report_t *report)
{
	const wl_state_target_t *target = wl_state_target_find(state, wl_buf_str(&report->target));

	if (report->kind == WL_REPORT_UNPLACEABLE)
		return task->record.attempt == report->attempt;
	if (task->record.attempt == 0 || task->record.attempt != report->attempt ||
	    report->epoch < task->record.epoch ||
	    !wl_str_equal(wl_buf_str(&task->record.target), wl_buf_str(&report->target)))
		return false;
	if (report->kind != WL_REPORT_LOST && report->kind != WL_REPORT_CHECKPOINT)
		return true;
	return target && report->epoch >= target->row.epoch;
}

/* A task that is not restartable may run again only from a checkpoint. */
static bool resumable(const wl_task_t *task, const wl_report_t *report)
{
	return task->record.spec.restartable || report->checkpoint.len > 0;
}

static wl_task_event_t refused_event(const wl_task_t *task)
{
	uint64_t state = task->record.state;

	if (state != WL_TASK_RUNNING && state != WL_TASK_EVICTING)
		return WL_TASK_EV_REFUSE;
	return task->record.spec.restartable ? WL_TASK_EV_LOSE : WL_TASK_EV_LOSE_FOR_GOOD;
}

/*
 * A task is refused after failures on max_attempts different targets.  Where there are fewer
 * targets, the total number of failures is bounded too: FAILURES_PER_TARGET for each attempt
 * allowed.
 */
static wl_task_event_t failed_event(const wl_state_t *state, const wl_task_t *task,
				    const wl_report_t *report)
{
	const wl_task_record_t *record = &task->record;
	uint64_t most = state->options.max_attempts;
	uint64_t targets = record->failed_on.count;

	if (!wl_strings_contain(&record->failed_on, wl_buf_str(&report->target)))
		targets++;
	if (!record->spec.restartable || targets >= most ||
	    record->failures + 1 >= most * FAILURES_PER_TARGET)
		return WL_TASK_EV_GIVE_UP;
	return WL_TASK_EV_FAIL;
}

/* A task that is not restartable does not run again, whatever it lost its target to. */
static wl_task_event_t lost_event(const wl_task_t *task, const wl_report_t *report)
{
	const wl_task_crashes_t *crashes = &task->record.crashes;

	if (!task->record.spec.restartable)
		return WL_TASK_EV_LOSE_FOR_GOOD;
	if (report->crashed && wl_task_crashes_next(crashes, report->ran_ms) >= WL_TASK_CRASHES_MAX)
		return WL_TASK_EV_GIVE_UP;
	return WL_TASK_EV_LOSE;
}

static void record_crash(wl_task_t *task, const wl_report_t *report)
{
	wl_task_record_t *record = &task->record;

	record->crashes.count = wl_task_crashes_next(&record->crashes, report->ran_ms);
	record->crashes.run = report->attempt;
	record->crashes.ran_ms = report->ran_ms;
	if (record->state != WL_TASK_FAILED)
		return;
	wl_buf_clear(&record->reason);
	wl_buf_printf(&record->reason,
		      "targets crashed under it %llu times in a row, the last one was " WL_STR_FMT,
		      (unsigned long long)record->crashes.count,
		      WL_STR_ARG(wl_buf_str(&report->target)));
}

static void record_failure(wl_task_t *task, const wl_report_t *report)
{
	wl_str_t target = wl_buf_str(&report->target);

	task->record.failures++;
	if (!wl_strings_contain(&task->record.failed_on, target))
		wl_strings_add(&task->record.failed_on, target);
}

static wl_task_event_t report_event(const wl_state_t *state, const wl_task_t *task,
				    const wl_report_t *report)
{
	switch ((wl_report_kind_t)report->kind) {
	case WL_REPORT_STARTED:
		return WL_TASK_EV_START;
	case WL_REPORT_REFUSED:
		return refused_event(task);
	case WL_REPORT_FINISHED:
		return WL_TASK_EV_FINISH;
	case WL_REPORT_FAILED:
		return failed_event(state, task, report);
	case WL_REPORT_CHECKPOINT:
		return WL_TASK_EV_CHECKPOINT;
	case WL_REPORT_STOPPED:
		return resumable(task, report) ? WL_TASK_EV_STOP : WL_TASK_EV_STOP_FOR_GOOD;
	case WL_REPORT_LOST:
		return lost_event(task, report);
	case WL_REPORT_UNPLACEABLE:
	case WL_REPORT_KINDS:
		break;
	}
	return WL_TASK_EV_REJECT;
}

static bool report_apply(wl_state_t *state, const wl_report_t *report)
{
	wl_task_t *task = wl_state_task_find(state, wl_buf_str(&report->task));
	wl_task_transition_t transition = {.state = state, .task = task, .report = report};

	if (!task || report->kind >= WL_REPORT_KINDS || !report_is_valid(state, task, report))
		return false;
	if (wl_task_step(&transition, report_event(state, task, report)) != WL_CHART_MOVED)
		return false;
	if (report->kind == WL_REPORT_FINISHED)
		wl_state_kind_add_sample(state, wl_buf_str(&task->record.spec.kind), report);
	if (report->kind == WL_REPORT_FAILED)
		record_failure(task, report);
	if (report->kind == WL_REPORT_FAILED || report->kind == WL_REPORT_STOPPED)
		task->record.crashes = (wl_task_crashes_t){0};
	if (report->kind == WL_REPORT_LOST && report->crashed)
		record_crash(task, report);
	return true;
}

/* Applies reports; the result's text counts the stale ones. */
void wl_state_task_report(wl_state_t *state, uint64_t index, const wl_cmd_task_report_t *cmd,
			  wl_result_t *result)
{
	const wl_report_t *reports = cmd->reports.items;
	uint64_t stale = 0;

	for (size_t i = 0; i < cmd->reports.count; i++)
		if (!report_apply(state, &reports[i]))
			stale++;
	wl_result_ok(result, index);
	if (stale > 0)
		wl_buf_printf(&result->text, "ignored=%llu", (unsigned long long)stale);
}
