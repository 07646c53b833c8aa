/* What the transitions of the chart "task" do to a task and to what is counted of it. */

#include "internal.h"

#include <libwlcore/owner/ledger.h>

const char *const wl_task_state_names[] = {"queued",   "assigned", "running", "evicting",
					   "stopping", "done",	   "failed",  "cancelled",
					   "refused",  "unknown",  NULL};

static const char *const event_names[] = {
	"assign", "start",	   "refuse", "finish",	      "fail",	"give_up", "checkpoint",
	"stop",	  "stop_for_good", "lose",   "lose_for_good", "cancel", "reject",  NULL};

static uint64_t class_of(const wl_task_t *task)
{
	return task->record.spec.work_class == WL_CLASS_URGENT ? WL_CLASS_URGENT : WL_CLASS_BATCH;
}

/* Queues a task behind its customer's older ones; an evicted one is among the oldest again. */
void wl_task_queue_in(wl_task_t *task)
{
	wl_task_list_t *queue = &task->customer->queued[class_of(task)];
	wl_task_t *after = TAILQ_LAST(queue, wl_task_list);

	while (after && after->record.number > task->record.number)
		after = TAILQ_PREV(after, wl_task_list, queue);
	if (after)
		TAILQ_INSERT_AFTER(queue, after, task, queue);
	else
		TAILQ_INSERT_HEAD(queue, task, queue);
	task->customer->queued_count[class_of(task)]++;
}

static void queue_out(wl_task_t *task)
{
	TAILQ_REMOVE(&task->customer->queued[class_of(task)], task, queue);
	task->customer->queued_count[class_of(task)]--;
}

/* Counts an attempt on its target and against its customer's plan. */
void wl_task_place_on(wl_task_t *task, wl_state_target_t *target)
{
	wl_task_t *after = TAILQ_LAST(&target->assigned, wl_task_list);

	while (after && after->record.number > task->record.number)
		after = TAILQ_PREV(after, wl_task_list, on);
	if (after)
		TAILQ_INSERT_AFTER(&target->assigned, after, task, on);
	else
		TAILQ_INSERT_HEAD(&target->assigned, task, on);
	target->assigned_count++;
	task->target = target;
	task->customer->held_count++;
	wl_need_add(&task->customer->held[class_of(task)], &task->record.held);
}

static void take_off(wl_task_t *task)
{
	if (!task->target)
		return;
	TAILQ_REMOVE(&task->target->assigned, task, on);
	task->target->assigned_count--;
	task->target = NULL;
	task->customer->held_count--;
	wl_need_subtract(&task->customer->held[class_of(task)], &task->record.held);
}

static void keep_checkpoint(wl_task_t *task, const wl_report_t *report)
{
	if (report && report->checkpoint.len > 0)
		wl_buf_set(&task->record.checkpoint, wl_buf_str(&report->checkpoint));
}

static void on_begin(void *subject)
{
	wl_task_move_t *move = subject;
	wl_task_record_t *record = &move->task->record;

	queue_out(move->task);
	record->attempt++;
	record->started = false;
	record->epoch = move->epoch;
	record->assigned_ms = move->state->clock_ms;
	wl_buf_set(&record->target, move->target->key);
	wl_state_need(move->state, &record->spec, &record->held);
	wl_task_place_on(move->task, move->target);
}

static void on_mark_started(void *subject)
{
	wl_task_move_t *move = subject;

	move->task->record.started = true;
}

static void on_keep_checkpoint(void *subject)
{
	wl_task_move_t *move = subject;

	move->task->record.started = true;
	keep_checkpoint(move->task, move->report);
}

static void on_requeue(void *subject)
{
	wl_task_move_t *move = subject;

	keep_checkpoint(move->task, move->report);
	take_off(move->task);
	wl_task_queue_in(move->task);
}

static void keep_outcome(wl_task_record_t *record, const wl_report_t *report)
{
	if (!report)
		return;
	wl_buf_set(&record->result, wl_buf_str(&report->result));
	wl_buf_set(&record->reason, wl_buf_str(&report->reason));
}

/* A task that ended needs no payload any more; its key and outcome are kept. */
static void on_end(void *subject)
{
	wl_task_move_t *move = subject;
	wl_task_t *task = move->task;
	wl_state_t *state = move->state;

	keep_outcome(&task->record, move->report);
	wl_buf_free(&task->record.spec.payload);
	wl_buf_free(&task->record.checkpoint);
	if (task->record.ended_ms > 0)
		return;
	if (task->target)
		take_off(task);
	else
		queue_out(task);
	task->record.ended_ms = state->clock_ms > 0 ? state->clock_ms : 1;
	TAILQ_REMOVE(&state->live, task, link);
	state->live_count--;
	TAILQ_INSERT_TAIL(&state->ended, task, link);
}

static const wl_chart_action_binding_t actions[] = {
	{"begin", on_begin},
	{"end", on_end},
	{"keep_checkpoint", on_keep_checkpoint},
	{"mark_started", on_mark_started},
	{"requeue", on_requeue},
};

const wl_chart_binding_t wl_task_chart_binding = {
	.name = "task",
	.states = wl_task_state_names,
	.events = event_names,
	.actions = actions,
	.action_count = sizeof(actions) / sizeof(actions[0]),
};

/* Lets an event happen to a task. */
wl_chart_outcome_t wl_task_step(wl_task_move_t *move, wl_task_event_t event)
{
	wl_task_record_t *record = &move->task->record;
	uint64_t before = record->state;
	wl_chart_outcome_t outcome =
		wl_chart_step(move->state->options.task_chart, &record->state, event, move);

	if (before == WL_TASK_EVICTING && record->state == WL_TASK_QUEUED)
		record->evictions++;
	return outcome;
}
