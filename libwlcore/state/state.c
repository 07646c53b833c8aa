/*
 * The replicated state, which results from the commands in the log and is the
 * same on each replica.
 *
 * This file dispatches commands to the files that apply them, and holds the
 * group clock and the view that entries receive.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/preset.h>

#define KEEP_MS_DEFAULT	     86400000ULL /* one day */
#define JOB_KEEP_MS_DEFAULT  600000ULL	 /* ten minutes */
#define CHANGE_KEEP_DEFAULT  4096
#define MAX_ATTEMPTS_DEFAULT 3
#define MAX_TASKS_DEFAULT    200000

/* Initialises a zeroed state, whose options are set already, to the empty one. */
void wl_state_init_empty(wl_state_t *state)
{
	wl_err_t err;

	state->lists = wl_lists_new((wl_str_t){0}, (wl_str_t){0}, &err);
	wl_map_init(&state->by_change);
	TAILQ_INIT(&state->changes);
	TAILQ_INIT(&state->sessions);
	wl_map_init(&state->by_target);
	TAILQ_INIT(&state->targets);
	wl_map_init(&state->by_task);
	wl_map_init(&state->by_alias);
	TAILQ_INIT(&state->live);
	TAILQ_INIT(&state->ended);
	wl_map_init(&state->by_customer);
	TAILQ_INIT(&state->customers);
	wl_map_init(&state->by_key);
	TAILQ_INIT(&state->keys_running);
	TAILQ_INIT(&state->keys_ended);
	wl_map_init(&state->by_ended_call);
	TAILQ_INIT(&state->ended_calls);
	wl_map_init(&state->by_kind);
	TAILQ_INIT(&state->kinds);
	wl_jobs_init(&state->jobs, state->options.job_keep_ms);
}

/* Releases everything but the options; wl_state_init_empty() must follow before further use. */
void wl_state_clear(wl_state_t *state)
{
	wl_state_options_t options = state->options;

	wl_state_tasks_clear(state);
	wl_state_targets_clear(state);
	wl_state_sessions_clear(state);
	wl_state_keys_clear(state);
	wl_state_ended_calls_clear(state);
	wl_state_kinds_clear(state);
	wl_jobs_clear(&state->jobs);
	wl_state_changes_clear(state);
	for (size_t i = 0; i < WL_LISTS; i++)
		wl_buf_free(&state->list[i].text);
	wl_lists_free(state->lists);
	memset(state, 0, sizeof(*state));
	state->options = options;
}

/*
 * wl_state_new - create an empty state
 * @options: numbers that are zero take their default; the chart must outlive the state
 * @err: WL_E_BAD_INPUT if the chart is missing
 *
 * Return: the state, or NULL.
 */
wl_state_t *wl_state_new(const wl_state_options_t *options, wl_err_t *err)
{
	wl_state_t *state;

	if (!options->task_chart) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "state: options without a task chart");
		return NULL;
	}

	state = wl_alloc(sizeof(*state));
	state->options = *options;
	state->options.key_keep_ms = wl_preset(state->options.key_keep_ms, KEEP_MS_DEFAULT);
	state->options.task_keep_ms = wl_preset(state->options.task_keep_ms, KEEP_MS_DEFAULT);
	state->options.job_keep_ms = wl_preset(state->options.job_keep_ms, JOB_KEEP_MS_DEFAULT);
	state->options.change_keep = wl_preset(state->options.change_keep, CHANGE_KEEP_DEFAULT);
	state->options.max_attempts = wl_preset(state->options.max_attempts, MAX_ATTEMPTS_DEFAULT);
	state->options.max_tasks = wl_preset(state->options.max_tasks, MAX_TASKS_DEFAULT);
	wl_state_init_empty(state);
	return state;
}

/*
 * wl_state_free - release a state
 */
void wl_state_free(wl_state_t *state)
{
	if (!state)
		return;
	wl_state_clear(state);
	free(state);
}

static void apply_task(wl_state_t *state, uint64_t index, const wl_cmd_t *cmd, wl_result_t *result)
{
	switch ((wl_cmd_kind_t)cmd->kind) {
	case WL_CMD_TASK_ADD:
		wl_state_task_add(state, index, &cmd->u.task_add, result);
		break;
	case WL_CMD_TASK_CANCEL:
		wl_state_task_cancel(state, index, &cmd->u.task_cancel, result);
		break;
	case WL_CMD_TASK_ASSIGN:
		wl_state_task_assign(state, index, &cmd->u.task_assign, result);
		break;
	case WL_CMD_TASK_REPORT:
		wl_state_task_report(state, index, &cmd->u.task_report, result);
		break;
	default:
		wl_result_fail(result, WL_E_BAD_INPUT, "command of unknown kind");
		break;
	}
}

static void apply(wl_state_t *state, uint64_t index, const wl_cmd_t *cmd, wl_result_t *result)
{
	switch ((wl_cmd_kind_t)cmd->kind) {
	case WL_CMD_LIST_PUT:
		wl_state_list_put(state, index, &cmd->u.list_put, result);
		break;
	case WL_CMD_SESSION_OPEN:
		wl_state_session_open(state, index, &cmd->u.session_open, result);
		break;
	case WL_CMD_SESSION_END:
		wl_state_session_end(state, index, &cmd->u.session_end, result);
		break;
	case WL_CMD_TARGET_OWN:
		wl_state_target_own(state, index, &cmd->u.target_own, result);
		break;
	case WL_CMD_TARGET_FORGET:
		wl_state_target_forget(state, index, &cmd->u.target_forget, result);
		break;
	case WL_CMD_KEY_BEGIN:
		wl_state_key_begin(state, &cmd->u.key_begin, result);
		break;
	case WL_CMD_KEY_END:
		wl_state_key_end(state, &cmd->u.key_end, result);
		break;
	default:
		state->jobs.index = index;
		if (wl_jobs_handles(cmd->kind))
			wl_jobs_apply(&state->jobs, cmd, state->clock_ms, result);
		else
			apply_task(state, index, cmd, result);
		break;
	}
}

/*
 * wl_state_apply - apply one committed command
 * @index: its log index; each index is applied once, in order
 * @cmd: the command
 * @result: overwritten without release; verdict not-run means that nothing changed
 */
void wl_state_apply(wl_state_t *state, uint64_t index, const wl_cmd_t *cmd, wl_result_t *result)
{
	memset(result, 0, sizeof(*result));
	state->index = index;
	if (cmd->at_ms > state->clock_ms)
		state->clock_ms = cmd->at_ms;
	wl_state_tasks_expire(state);
	wl_state_keys_expire(state);
	wl_jobs_expire(&state->jobs, state->clock_ms);
	apply(state, index, cmd, result);
}

/*
 * wl_state_clock_ms - group clock at the latest applied command
 *
 * Return: milliseconds.
 */
uint64_t wl_state_clock_ms(const wl_state_t *state)
{
	return state->clock_ms;
}

/*
 * wl_state_revision - log index of the latest accepted list change
 *
 * Return: the index; 0 if there was no change.
 */
uint64_t wl_state_revision(const wl_state_t *state)
{
	return state->revision;
}

static void view_row(const wl_state_target_t *target, wl_msg_view_t *view)
{
	wl_owner_row_t *row = wl_list_add(&wl_owner_row_schema, &view->owners);
	const wl_task_t *task;

	wl_record_copy(&wl_owner_row_schema, row, &target->row);
	TAILQ_FOREACH (task, &target->assigned, target_link) {
		wl_assignment_t *running = wl_list_add(&wl_assignment_schema, &row->running);

		wl_buf_set(&running->task, wl_buf_str(&task->id));
		wl_buf_set(&running->target, target->key);
		running->attempt = task->record.attempt;
		running->epoch = task->record.epoch;
		running->boot = task->record.boot;
	}
}

static void view_owners(const wl_state_t *state, uint64_t from, wl_msg_view_t *view)
{
	const wl_state_target_t *target;
	const wl_state_target_t *first = TAILQ_FIRST(&state->targets);
	bool whole = from == 0 || from < state->owners_floor || from > state->owners_index;

	view->owners_from = whole ? 0 : from;
	view->owners_to = state->owners_index;
	if (!whole) {
		first = NULL;
		TAILQ_FOREACH_REVERSE (target, &state->targets, wl_state_targets, link) {
			if (target->changed <= from)
				break;
			first = target;
		}
	}
	for (target = first; target; target = TAILQ_NEXT(target, link))
		if (!whole || !target->row.forgotten)
			view_row(target, view);
}

/*
 * wl_state_entries_cooperate - whether entries exchange requests and usage with each other
 *
 * They do so for customers in the lists and for targets with owners.  Otherwise views do not name
 * the other entries, and an entry has links to the replicas only.
 */
bool wl_state_entries_cooperate(const wl_state_t *state)
{
	return state->revision > 0 || !TAILQ_EMPTY(&state->targets);
}

/*
 * wl_state_view - fill a view with the changes that an entry lacks
 * @revision_have: revision of the lists that the entry has
 * @owners_have: index of the latest ownership change that the entry has; 0: none
 * @view: overwritten without release; the caller sets group and term
 */
void wl_state_view(const wl_state_t *state, uint64_t revision_have, uint64_t owners_have,
		   wl_msg_view_t *view)
{
	const wl_state_session_t *session;

	memset(view, 0, sizeof(*view));
	view->revision = state->revision;
	view->customers_version = state->list[WL_LIST_CUSTOMERS].version;
	view->plans_version = state->list[WL_LIST_PLANS].version;
	view->has_lists = revision_have != state->revision;
	if (view->has_lists) {
		wl_buf_set(&view->customers, wl_buf_str(&state->list[WL_LIST_CUSTOMERS].text));
		wl_buf_set(&view->plans, wl_buf_str(&state->list[WL_LIST_PLANS].text));
	}
	view_owners(state, owners_have, view);
	if (!wl_state_entries_cooperate(state))
		return;
	TAILQ_FOREACH (session, &state->sessions, link) {
		wl_member_t *member = wl_list_add(&wl_member_schema, &view->members);

		member->session = session->id;
		wl_buf_set(&member->entry, wl_buf_str(&session->entry));
		wl_buf_set(&member->address, wl_buf_str(&session->address));
		wl_buf_set(&member->availability_zone, wl_buf_str(&session->availability_zone));
	}
}

/*
 * wl_state_jobs - the state of jobs, for the job scheduler
 */
wl_jobs_t *wl_state_jobs(wl_state_t *state)
{
	return &state->jobs;
}
