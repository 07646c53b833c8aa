/*
 * Calls with a key that have ended without their request.
 *
 * The command that begins the key for such a call may be delayed and be committed after its end.
 * Nobody would end it then, so it is rejected for as long as a command can be delayed.
 */

#include "internal.h"

#include <stdlib.h>

#define KEPT_MS		600000 /* longer than a command can be delayed */
#define ENDED_CALLS_MAX 65536  /* the oldest one is given up for a new one */
#define NONCE_BYTES	8

static const wl_field_t ended_call_fields[] = {
	WL_FIELD(wl_state_ended_call_row_t, id, WL_FIELD_BYTES),
	WL_FIELD(wl_state_ended_call_row_t, ended_ms, WL_FIELD_U64),
};

const wl_schema_t wl_state_ended_call_schema =
	WL_SCHEMA(wl_state_ended_call_row_t, ended_call_fields);

static void call_id(wl_str_t key, uint64_t nonce, wl_buf_t *id)
{
	char bytes[NONCE_BYTES];

	for (size_t i = 0; i < NONCE_BYTES; i++)
		bytes[i] = (char)(nonce >> (8 * i) & 0xff);
	wl_buf_set(id, key);
	wl_buf_append(id, (wl_str_t){"", 1});
	wl_buf_append(id, (wl_str_t){bytes, NONCE_BYTES});
}

static void call_remove(wl_state_t *state, wl_state_ended_call_t *call)
{
	wl_map_remove(&state->by_ended_call, call->key);
	TAILQ_REMOVE(&state->ended_calls, call, link);
	wl_buf_free(&call->row.id);
	free(call);
}

static bool call_add(wl_state_t *state, wl_str_t id, uint64_t ended_ms)
{
	wl_state_ended_call_t *call;

	if (wl_map_get(&state->by_ended_call, id))
		return false;
	if (wl_map_count(&state->by_ended_call) >= ENDED_CALLS_MAX)
		call_remove(state, TAILQ_FIRST(&state->ended_calls));
	call = wl_alloc(sizeof(*call));
	*call = (wl_state_ended_call_t){.row.ended_ms = ended_ms};
	wl_buf_set(&call->row.id, id);
	call->key = wl_buf_str(&call->row.id);
	wl_map_put(&state->by_ended_call, call);
	TAILQ_INSERT_TAIL(&state->ended_calls, call, link);
	return true;
}

/*
 * wl_state_ended_call_add - remember a call
 * @key: customer and key, as in wl_state_key_t
 *
 * Return: false if it is remembered already.
 */
bool wl_state_ended_call_add(wl_state_t *state, wl_str_t key, uint64_t nonce, uint64_t ended_ms)
{
	wl_buf_t id = {0};
	bool added;

	call_id(key, nonce, &id);
	added = call_add(state, wl_buf_str(&id), ended_ms);
	wl_buf_free(&id);
	return added;
}

/*
 * wl_state_ended_call_known - whether a call is remembered
 */
bool wl_state_ended_call_known(const wl_state_t *state, wl_str_t key, uint64_t nonce)
{
	wl_buf_t id = {0};
	bool known;

	call_id(key, nonce, &id);
	known = wl_map_get(&state->by_ended_call, wl_buf_str(&id)) != NULL;
	wl_buf_free(&id);
	return known;
}

/*
 * wl_state_ended_calls_expire - forget the calls whose commands can't be delayed any longer
 */
void wl_state_ended_calls_expire(wl_state_t *state)
{
	wl_state_ended_call_t *call;

	while ((call = TAILQ_FIRST(&state->ended_calls)) &&
	       call->row.ended_ms + KEPT_MS <= state->clock_ms)
		call_remove(state, call);
}

/*
 * wl_state_ended_calls_clear - release all
 */
void wl_state_ended_calls_clear(wl_state_t *state)
{
	while (!TAILQ_EMPTY(&state->ended_calls))
		call_remove(state, TAILQ_FIRST(&state->ended_calls));
	wl_map_free(&state->by_ended_call);
}

/*
 * wl_state_ended_calls_fill - add the rows of a snapshot, oldest first
 */
void wl_state_ended_calls_fill(const wl_state_t *state, wl_list_t *rows)
{
	const wl_state_ended_call_t *call;

	TAILQ_FOREACH (call, &state->ended_calls, link)
		wl_record_copy(&wl_state_ended_call_schema,
			       wl_list_add(&wl_state_ended_call_schema, rows), &call->row);
}

/*
 * wl_state_ended_calls_restore - take the rows of a snapshot
 */
void wl_state_ended_calls_restore(wl_state_t *state, const wl_list_t *rows)
{
	const wl_state_ended_call_row_t *items = rows->items;

	for (size_t i = 0; i < rows->count; i++)
		call_add(state, wl_buf_str(&items[i].id), items[i].ended_ms);
}
