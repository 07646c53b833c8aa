/* Ownership of targets: one session at a time; each grant has a higher epoch. */

#include "internal.h"

#include <stdlib.h>

#define FORGOTTEN_MAX 1024

/* Returns the target with a name, even if it is forgotten, or NULL. */
wl_state_target_t *wl_state_target_find(const wl_state_t *state, wl_str_t name)
{
	return wl_map_get(&state->by_target, name);
}

/* Adds a target with an empty row to the tail of the list. */
wl_state_target_t *wl_state_target_add(wl_state_t *state, wl_str_t name)
{
	wl_state_target_t *target = wl_alloc(sizeof(*target));

	wl_buf_set(&target->row.target, name);
	target->key = wl_buf_str(&target->row.target);
	TAILQ_INIT(&target->assigned);
	wl_map_put(&state->by_target, target);
	TAILQ_INSERT_TAIL(&state->targets, target, link);
	return target;
}

static void target_free(wl_state_t *state, wl_state_target_t *target)
{
	wl_map_remove(&state->by_target, target->key);
	TAILQ_REMOVE(&state->targets, target, link);
	wl_record_free(&wl_owner_row_schema, &target->row);
	free(target);
}

/*
 * Records a change of a target and moves it to the tail of the list.  The list stays sorted by
 * latest change, so that the cost of a delta depends only on the number of changes.
 */
static void target_mark_changed(wl_state_t *state, uint64_t index, wl_state_target_t *target)
{
	target->changed = index;
	state->owners_index = index;
	TAILQ_REMOVE(&state->targets, target, link);
	TAILQ_INSERT_TAIL(&state->targets, target, link);
}

/* Replaces the row of a target by that of a new grant. */
static void target_grant(wl_state_target_t *target, uint64_t index,
			 const wl_state_session_t *session, const wl_cmd_target_own_t *cmd)
{
	const wl_buf_t *services = cmd->services.items;
	wl_owner_row_t row = {.epoch = index, .session = session->id};

	wl_buf_set(&row.target, wl_buf_str(&cmd->target));
	wl_buf_set(&row.entry, wl_buf_str(&session->entry));
	wl_buf_set(&row.address, wl_buf_str(&cmd->address));
	wl_buf_set(&row.availability_zone, wl_buf_str(&cmd->availability_zone));
	wl_buf_set(&row.rack, wl_buf_str(&cmd->rack));
	for (size_t i = 0; i < cmd->services.count; i++)
		wl_strings_add(&row.services, wl_buf_str(&services[i]));
	wl_record_free(&wl_owner_row_schema, &target->row);
	target->row = row;
	target->key = wl_buf_str(&target->row.target);
}

/* Removes the owner of all targets of a session; their epochs stay. */
void wl_state_owners_release(wl_state_t *state, uint64_t index, uint64_t session)
{
	wl_state_target_t *target;
	wl_state_target_t *next;

	for (target = TAILQ_FIRST(&state->targets); target && target->changed < index;
	     target = next) {
		next = TAILQ_NEXT(target, link);
		if (target->row.session != session || target->row.forgotten)
			continue;
		target->row.session = 0;
		wl_buf_clear(&target->row.entry);
		target_mark_changed(state, index, target);
	}
}

/* Grants a target to a session, unless its epoch changed since the leader proposed the grant. */
void wl_state_target_own(wl_state_t *state, uint64_t index, const wl_cmd_target_own_t *cmd,
			 wl_result_t *result)
{
	const wl_state_session_t *session = wl_state_session_find(state, cmd->session);
	wl_state_target_t *target = wl_state_target_find(state, wl_buf_str(&cmd->target));
	uint64_t epoch = target && !target->row.forgotten ? target->row.epoch : 0;

	if (cmd->target.len == 0) {
		wl_result_fail(result, WL_E_BAD_INPUT, "ownership grant without a target name");
		return;
	}
	if (!session) {
		wl_result_fail(result, WL_E_NO_SESSION, "session %llu has ended",
			       (unsigned long long)cmd->session);
		return;
	}
	if (cmd->from_epoch != epoch) {
		wl_result_fail(result, WL_E_CONFLICT, "target " WL_STR_FMT " is at epoch %llu",
			       WL_STR_ARG(wl_buf_str(&cmd->target)), (unsigned long long)epoch);
		result->index = epoch;
		return;
	}
	if (!target)
		target = wl_state_target_add(state, wl_buf_str(&cmd->target));
	if (target->row.forgotten)
		state->forgotten_count--;
	target_grant(target, index, session, cmd);
	target_mark_changed(state, index, target);
	wl_result_ok(result, index);
}

/*
 * Drops the oldest forgotten rows beyond FORGOTTEN_MAX.  A delta from before the latest dropped
 * row would lack it, so wl_state_view() then sends the whole table.
 */
static void forgotten_trim(wl_state_t *state)
{
	wl_state_target_t *target = TAILQ_FIRST(&state->targets);

	while (target && state->forgotten_count > FORGOTTEN_MAX) {
		wl_state_target_t *next = TAILQ_NEXT(target, link);

		if (target->row.forgotten) {
			state->owners_floor = target->changed;
			state->forgotten_count--;
			target_free(state, target);
		}
		target = next;
	}
}

/* Marks a target as forgotten, unless tasks are assigned to it or its epoch changed. */
void wl_state_target_forget(wl_state_t *state, uint64_t index, const wl_cmd_target_forget_t *cmd,
			    wl_result_t *result)
{
	wl_state_target_t *target = wl_state_target_find(state, wl_buf_str(&cmd->target));

	if (!target || target->row.forgotten) {
		wl_result_ok(result, index);
		return;
	}
	if (target->row.epoch != cmd->epoch || target->assigned_count > 0) {
		wl_result_fail(result, WL_E_CONFLICT,
			       "target " WL_STR_FMT " is at epoch %llu with %llu attempts",
			       WL_STR_ARG(target->key), (unsigned long long)target->row.epoch,
			       (unsigned long long)target->assigned_count);
		return;
	}
	target->row.forgotten = true;
	target->row.session = 0;
	wl_buf_clear(&target->row.entry);
	state->forgotten_count++;
	target_mark_changed(state, index, target);
	forgotten_trim(state);
	wl_result_ok(result, index);
}

/* Releases all targets; no task may be assigned to one. */
void wl_state_targets_clear(wl_state_t *state)
{
	while (!TAILQ_EMPTY(&state->targets))
		target_free(state, TAILQ_FIRST(&state->targets));
	wl_map_free(&state->by_target);
}
