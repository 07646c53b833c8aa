/*
 * Changes to the two lists, customers and plans.  For each base version one change is accepted;
 * a resend of that change gets the same answer again.
 */

#include "internal.h"

#include <stdlib.h>

#include <libwlbase/digest.h>

/* Writes what identifies a change: number of the list, base version and SHA-256 of the text. */
static void change_id(const wl_cmd_list_put_t *cmd, wl_buf_t *text)
{
	char digest[WL_SHA256_HEX + 1];

	wl_sha256_hex(wl_buf_str(&cmd->text), digest);
	wl_buf_printf(text, "%llu:%llu:%s", (unsigned long long)cmd->list,
		      (unsigned long long)cmd->base, digest);
}

static void change_drop(wl_state_t *state, wl_state_change_t *change)
{
	wl_map_remove(&state->by_change, change->key);
	TAILQ_REMOVE(&state->changes, change, link);
	state->change_count--;
	wl_buf_free(&change->text);
	free(change);
}

/* Keeps the answer to an accepted change; drops the oldest ones beyond change_keep. */
void wl_state_change_keep(wl_state_t *state, wl_str_t text, uint64_t version, uint64_t index)
{
	wl_state_change_t *change = wl_alloc(sizeof(*change));

	wl_buf_set(&change->text, text);
	change->key = wl_buf_str(&change->text);
	change->version = version;
	change->index = index;
	wl_map_put(&state->by_change, change);
	TAILQ_INSERT_TAIL(&state->changes, change, link);
	state->change_count++;
	while (state->change_count > state->options.change_keep)
		change_drop(state, TAILQ_FIRST(&state->changes));
}

void wl_state_changes_clear(wl_state_t *state)
{
	while (!TAILQ_EMPTY(&state->changes))
		change_drop(state, TAILQ_FIRST(&state->changes));
	wl_map_free(&state->by_change);
}

static wl_lists_t *lists_with(const wl_state_t *state, const wl_cmd_list_put_t *cmd, wl_err_t *err)
{
	wl_str_t text = wl_buf_str(&cmd->text);

	if (cmd->list == WL_LIST_CUSTOMERS)
		return wl_lists_new(text, wl_buf_str(&state->list[WL_LIST_PLANS].text), err);
	return wl_lists_new(wl_buf_str(&state->list[WL_LIST_CUSTOMERS].text), text, err);
}

static void list_accept(wl_state_t *state, uint64_t index, const wl_cmd_list_put_t *cmd,
			wl_lists_t *lists, wl_result_t *result)
{
	wl_state_list_t *list = &state->list[cmd->list];
	wl_buf_t text = {0};

	wl_lists_free(state->lists);
	state->lists = lists;
	list->version++;
	wl_buf_set(&list->text, wl_buf_str(&cmd->text));
	state->revision = index;
	change_id(cmd, &text);
	wl_state_change_keep(state, wl_buf_str(&text), list->version, index);
	wl_buf_free(&text);
	wl_result_ok(result, index);
	result->version = list->version;
}

static bool answer_repeat(const wl_state_t *state, const wl_cmd_list_put_t *cmd,
			  wl_result_t *result)
{
	const wl_state_change_t *change;
	wl_buf_t text = {0};

	change_id(cmd, &text);
	change = wl_map_get(&state->by_change, wl_buf_str(&text));
	wl_buf_free(&text);
	if (!change)
		return false;
	wl_result_ok(result, change->index);
	result->version = change->version;
	return true;
}

/* Replaces a list if the change is based on its present version and the new text is valid. */
void wl_state_list_put(wl_state_t *state, uint64_t index, const wl_cmd_list_put_t *cmd,
		       wl_result_t *result)
{
	wl_lists_t *lists;
	wl_err_t err;

	if (cmd->list >= WL_LISTS) {
		wl_result_fail(result, WL_E_NOT_FOUND,
			       "no such list: the lists are customers and plans");
		return;
	}
	if (cmd->base != state->list[cmd->list].version) {
		if (answer_repeat(state, cmd, result))
			return;
		wl_result_fail(result, WL_E_CONFLICT, "the list is at version %llu, not %llu",
			       (unsigned long long)state->list[cmd->list].version,
			       (unsigned long long)cmd->base);
		result->version = state->list[cmd->list].version;
		return;
	}
	lists = lists_with(state, cmd, &err);
	if (!lists) {
		wl_result_fail(result, err.code, "%s", err.text);
		result->version = state->list[cmd->list].version;
		return;
	}
	list_accept(state, index, cmd, lists, result);
}
