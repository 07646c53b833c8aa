/* Metrics of the leader: gauges of the group, task wait times and ended attempts. */

#include "internal.h"

#define GAUGES_NS (1000 * WL_NS_PER_MS)

/* Counts sessions, targets and tasks; the cost is linear in sessions, targets and customers. */
void wl_leader_count(const wl_leader_t *leader, wl_leader_counts_t *counts)
{
	const wl_state_customer_t *customer;
	const wl_state_target_t *target;
	const wl_leader_session_t *session;

	*counts = (wl_leader_counts_t){0};
	TAILQ_FOREACH (session, &leader->sessions, link)
		counts->sessions++;
	TAILQ_FOREACH (target, &leader->state->targets, link) {
		counts->targets += !target->row.forgotten;
		counts->targets_without_owner += !target->row.forgotten && target->row.session == 0;
	}
	TAILQ_FOREACH (customer, &leader->state->customers, link) {
		counts->queued[WL_CLASS_URGENT] += customer->queued_count[WL_CLASS_URGENT];
		counts->queued[WL_CLASS_BATCH] += customer->queued_count[WL_CLASS_BATCH];
		counts->placed += customer->held_count;
	}
	counts->ended = wl_map_count(&leader->state->by_task) - leader->state->live_count;
}

/* Records how long a task waited for its first assignment, by customer and class. */
void wl_leader_count_wait(const wl_leader_t *leader, const wl_task_t *task)
{
	const wl_task_record_t *record = &task->record;
	wl_buf_t labels = {0};

	if (record->attempt != 1)
		return;
	wl_buf_printf(&labels, "customer=\"" WL_STR_FMT "\",class=\"%s\"",
		      WL_STR_ARG(wl_buf_str(&record->customer)),
		      wl_class_names[record->spec.work_class]);
	wl_metrics_observe(leader->options.metrics, "wisterialead_task_wait_seconds", labels.at,
			   (record->assigned_ms - record->added_ms) * WL_NS_PER_MS);
	wl_buf_free(&labels);
}

/* Counts an ended attempt, by customer and by the state its task is in now. */
void wl_leader_count_end(const wl_leader_t *leader, const wl_task_t *task)
{
	const wl_task_record_t *record = &task->record;
	wl_buf_t labels = {0};

	wl_buf_printf(&labels, "customer=\"" WL_STR_FMT "\",state=\"%s\"",
		      WL_STR_ARG(wl_buf_str(&record->customer)),
		      wl_task_state_names[record->state]);
	wl_metrics_add(leader->options.metrics, "wisterialead_attempts_ended_total", labels.at, 1);
	wl_buf_free(&labels);
}

/*
 * Counts and logs the end of a task's latest attempt if its target crashed, and that the task is
 * given up for it.
 */
void wl_leader_count_crash(const wl_leader_t *leader, const wl_task_t *task, wl_out_t *out)
{
	const wl_task_record_t *record = &task->record;

	if (record->crashes.run != record->attempt || record->crashes.count == 0)
		return;
	wl_metrics_add(leader->options.metrics, "wisterialead_task_crashes_total", "", 1);
	wl_out_log(
		out, WL_WARN, "task-crash",
		"task=" WL_STR_FMT " attempt=%llu target=" WL_STR_FMT " in_a_row=%llu ran_ms=%llu",
		WL_STR_ARG(task->key), (unsigned long long)record->attempt,
		WL_STR_ARG(wl_buf_str(&record->target)), (unsigned long long)record->crashes.count,
		(unsigned long long)record->crashes.ran_ms);
	if (record->state != WL_TASK_FAILED)
		return;
	wl_metrics_add(leader->options.metrics, "wisterialead_tasks_given_up_total", "", 1);
	wl_out_log(out, WL_ERROR, "task-given-up",
		   "task=" WL_STR_FMT " customer=" WL_STR_FMT " kind=" WL_STR_FMT " crashes=%llu",
		   WL_STR_ARG(task->key), WL_STR_ARG(wl_buf_str(&record->customer)),
		   WL_STR_ARG(wl_buf_str(&record->spec.kind)),
		   (unsigned long long)record->crashes.count);
}

static void gauge(const wl_leader_t *leader, const char *name, const char *labels, uint64_t value)
{
	wl_metrics_set(leader->options.metrics, name, labels, value);
}

static void gauges_set(const wl_leader_t *leader, const wl_leader_counts_t *counts,
		       uint64_t in_force)
{
	gauge(leader, "wisterialead_sessions", "", counts->sessions);
	gauge(leader, "wisterialead_targets", "", counts->targets);
	gauge(leader, "wisterialead_targets_without_owner", "", counts->targets_without_owner);
	gauge(leader, "wisterialead_tasks_queued", "class=\"urgent\"",
	      counts->queued[WL_CLASS_URGENT]);
	gauge(leader, "wisterialead_tasks_queued", "class=\"batch\"",
	      counts->queued[WL_CLASS_BATCH]);
	gauge(leader, "wisterialead_tasks_placed", "", counts->placed);
	gauge(leader, "wisterialead_revision_in_force", "", in_force);
}

/* Updates the gauges of the group every GAUGES_NS. */
void wl_leader_status_tick(wl_leader_t *leader, uint64_t now_ns)
{
	wl_leader_counts_t counts;

	if (now_ns < leader->next_gauges_ns)
		return;
	leader->next_gauges_ns = now_ns + GAUGES_NS;
	wl_leader_count(leader, &counts);
	gauges_set(leader, &counts, wl_leader_min_acked(leader));
}

/*
 * Zeroes the gauges of the group at the end of leadership: only the leader reports them, so that
 * sums over all daemons count each value once.
 */
void wl_leader_status_clear(wl_leader_t *leader)
{
	wl_leader_counts_t none = {0};

	leader->next_gauges_ns = 0;
	gauges_set(leader, &none, 0);
}
