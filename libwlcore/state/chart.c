/* The actions of the state chart "task": changes to a task, its queue and its reservations. */

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

/* Inserts a task into its customer's queue, sorted by number: evicted tasks keep their place. */
void wl_task_enqueue(wl_task_t *task)
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

static void dequeue(wl_task_t *task)
{
	TAILQ_REMOVE(&task->customer->queued[class_of(task)], task, queue);
	task->customer->queued_count[class_of(task)]--;
}

/* Reserves a task's need on its target and in its customer's plan. */
void wl_task_place(wl_task_t *task, wl_state_target_t *target)
{
	wl_task_t *after = TAILQ_LAST(&target->assigned, wl_task_list);

	while (after && after->record.number > task->record.number)
		after = TAILQ_PREV(after, wl_task_list, target_link);
	if (after)
		TAILQ_INSERT_AFTER(&target->assigned, after, task, target_link);
	else
		TAILQ_INSERT_HEAD(&target->assigned, task, target_link);
	target->assigned_count++;
	task->target = target;
	task->customer->held_count++;
	wl_need_add(&task->customer->held[class_of(task)], &task->record.held);
}

static void unplace(wl_task_t *task)
{
	if (!task->target)
		return;
	TAILQ_REMOVE(&task->target->assigned, task, target_link);
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
	wl_task_transition_t *transition = subject;
	wl_task_record_t *record = &transition->task->record;

	dequeue(transition->task);
	record->attempt++;
	record->started = false;
	record->epoch = transition->epoch;
	record->boot = transition->boot;
	record->assigned_ms = transition->state->clock_ms;
	wl_buf_set(&record->target, transition->target->key);
	wl_state_need(transition->state, &record->spec, &record->held);
	wl_task_place(transition->task, transition->target);
}

static void on_mark_started(void *subject)
{
	wl_task_transition_t *transition = subject;

	transition->task->record.started = true;
}

static void on_keep_checkpoint(void *subject)
{
	wl_task_transition_t *transition = subject;

	transition->task->record.started = true;
	keep_checkpoint(transition->task, transition->report);
}

static void on_requeue(void *subject)
{
	wl_task_transition_t *transition = subject;

	keep_checkpoint(transition->task, transition->report);
	unplace(transition->task);
	wl_task_enqueue(transition->task);
}

static void keep_outcome(wl_task_record_t *record, const wl_report_t *report)
{
	if (!report)
		return;
	wl_buf_set(&record->result, wl_buf_str(&report->result));
	wl_buf_set(&record->reason, wl_buf_str(&report->reason));
}

/* Ends a task: releases its payload and checkpoint, keeps its key and outcome. */
static void on_end(void *subject)
{
	wl_task_transition_t *transition = subject;
	wl_task_t *task = transition->task;
	wl_state_t *state = transition->state;

	keep_outcome(&task->record, transition->report);
	wl_buf_free(&task->record.spec.payload);
	wl_buf_free(&task->record.checkpoint);
	if (task->record.ended_ms > 0)
		return;
	if (task->target)
		unplace(task);
	else
		dequeue(task);
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

/* Applies an event to a task's state chart. */
wl_chart_outcome_t wl_task_step(wl_task_transition_t *transition, wl_task_event_t event)
{
	wl_task_record_t *record = &transition->task->record;
	uint64_t before = record->state;
	wl_chart_outcome_t outcome = wl_chart_step(transition->state->options.task_chart,
						   &record->state, event, transition);

	if (before == WL_TASK_EVICTING && record->state == WL_TASK_QUEUED)
		record->evictions++;
	return outcome;
}
