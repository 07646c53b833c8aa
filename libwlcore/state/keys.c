/*
 * Idempotency keys of requests.  A key is committed before its request is sent, the outcome of
 * the request afterwards.
 */

#include "internal.h"

#include <stdlib.h>

#define KEY_BODY_MAX_BYTES 65536

static void key_text(wl_str_t customer, wl_str_t key, wl_buf_t *text)
{
	wl_buf_set(text, customer);
	wl_buf_append(text, (wl_str_t){"", 1});
	wl_buf_append(text, key);
}

static wl_state_key_t *key_find(const wl_state_t *state, const wl_buf_t *customer,
				const wl_buf_t *key)
{
	wl_buf_t text = {0};
	wl_state_key_t *found;

	key_text(wl_buf_str(customer), wl_buf_str(key), &text);
	found = wl_map_get(&state->by_key, wl_buf_str(&text));
	wl_buf_free(&text);
	return found;
}

static struct wl_state_keys *key_list(wl_state_t *state, const wl_state_key_t *key)
{
	return key->state == WL_KEY_RUNNING ? &state->keys_running : &state->keys_ended;
}

/* Adds a key; @text is the customer and the key, joined by a zero byte, as in snapshots. */
wl_state_key_t *wl_state_key_restore(wl_state_t *state, wl_str_t text, uint64_t key_state)
{
	wl_state_key_t *key = wl_alloc(sizeof(*key));

	wl_buf_set(&key->text, text);
	key->key = wl_buf_str(&key->text);
	key->state = key_state;
	wl_map_put(&state->by_key, key);
	TAILQ_INSERT_TAIL(key_list(state, key), key, link);
	return key;
}

static void key_drop(wl_state_t *state, wl_state_key_t *key)
{
	wl_map_remove(&state->by_key, key->key);
	TAILQ_REMOVE(key_list(state, key), key, link);
	wl_buf_free(&key->text);
	wl_buf_free(&key->digest);
	wl_buf_free(&key->content_type);
	wl_buf_free(&key->body);
	free(key);
}

static void key_set_state(wl_state_t *state, wl_state_key_t *key, uint64_t key_state)
{
	TAILQ_REMOVE(key_list(state, key), key, link);
	key->state = key_state;
	key->ended_ms = state->clock_ms;
	TAILQ_INSERT_TAIL(key_list(state, key), key, link);
}

/* Fills the answer to a repeated request with a key. */
static void key_answer(const wl_state_key_t *key, uint64_t nonce, wl_result_t *result)
{
	wl_result_ok(result, 0);
	result->key_state = key->state;
	if (key->state == WL_KEY_RUNNING && key->nonce == nonce)
		result->key_state = WL_KEY_FRESH;
	if (key->state == WL_KEY_LOST)
		result->verdict = WL_UNKNOWN;
	if (key->state != WL_KEY_DONE)
		return;
	result->verdict = key->verdict;
	result->status = key->status;
	wl_buf_set(&result->content_type, wl_buf_str(&key->content_type));
	wl_buf_set(&result->body, wl_buf_str(&key->body));
}

static void key_start(wl_state_t *state, wl_str_t text, const wl_cmd_key_begin_t *cmd,
		      wl_result_t *result)
{
	wl_state_key_t *key;

	if (!wl_state_session_find(state, cmd->session)) {
		wl_result_fail(result, WL_E_NO_SESSION, "session %llu has ended",
			       (unsigned long long)cmd->session);
		return;
	}
	key = wl_state_key_restore(state, text, WL_KEY_RUNNING);
	wl_buf_set(&key->digest, wl_buf_str(&cmd->digest));
	key->session = cmd->session;
	key->nonce = cmd->nonce;
	wl_result_ok(result, 0);
	result->key_state = WL_KEY_FRESH;
}

/* Begins the only run of a key, or answers with the state of the run that was begun before. */
void wl_state_key_begin(wl_state_t *state, const wl_cmd_key_begin_t *cmd, wl_result_t *result)
{
	wl_state_key_t *key = key_find(state, &cmd->customer, &cmd->key);
	wl_buf_t text = {0};
	bool has_ended;

	key_text(wl_buf_str(&cmd->customer), wl_buf_str(&cmd->key), &text);
	has_ended = wl_state_ended_call_known(state, wl_buf_str(&text), cmd->nonce);
	if (has_ended)
		wl_result_fail(result, WL_E_STALE,
			       "the call that began this key has already ended");
	else if (key && !wl_str_equal(wl_buf_str(&key->digest), wl_buf_str(&cmd->digest)))
		wl_result_fail(result, WL_E_CONFLICT, "the key was used for a different request");
	else if (key)
		key_answer(key, cmd->nonce, result);
	else
		key_start(state, wl_buf_str(&text), cmd, result);
	wl_buf_free(&text);
}

static void key_store_outcome(wl_state_t *state, wl_state_key_t *key, const wl_cmd_key_end_t *cmd)
{
	if (cmd->body.len > KEY_BODY_MAX_BYTES || cmd->verdict == WL_UNKNOWN) {
		key_set_state(state, key, WL_KEY_LOST);
		return;
	}
	key->verdict = cmd->verdict;
	key->status = cmd->status;
	wl_buf_set(&key->content_type, wl_buf_str(&cmd->content_type));
	wl_buf_set(&key->body, wl_buf_str(&cmd->body));
	key_set_state(state, key, WL_KEY_DONE);
}

/* Remembers a call that has ended without its request; another one may begin its key. */
static void key_free(wl_state_t *state, wl_state_key_t *key, const wl_cmd_key_end_t *cmd)
{
	wl_buf_t text = {0};

	key_text(wl_buf_str(&cmd->customer), wl_buf_str(&cmd->key), &text);
	wl_state_ended_call_add(state, wl_buf_str(&text), cmd->nonce, state->clock_ms);
	wl_buf_free(&text);
	if (key)
		key_drop(state, key);
}

/*
 * Ends the run of a key.  Only the call that began the run may end it, even
 * after its session ended.  If the request did not run, the key is freed for
 * other calls; if the outcome is unknown or too large to keep, the key is lost.
 */
void wl_state_key_end(wl_state_t *state, const wl_cmd_key_end_t *cmd, wl_result_t *result)
{
	wl_state_key_t *key = key_find(state, &cmd->customer, &cmd->key);
	bool began = key && key->nonce == cmd->nonce;

	if (key && !began)
		wl_result_fail(result, WL_E_STALE, "the key was begun by another call");
	else
		wl_result_ok(result, 0);
	if (began && key->state == WL_KEY_DONE)
		return;
	if (cmd->verdict == WL_NOT_RUN)
		key_free(state, began ? key : NULL, cmd);
	else if (began)
		key_store_outcome(state, key, cmd);
}

/* Marks the running keys of an ended session as lost, since no outcome will be reported. */
void wl_state_keys_mark_lost(wl_state_t *state, uint64_t session)
{
	wl_state_key_t *key;
	wl_state_key_t *next;

	for (key = TAILQ_FIRST(&state->keys_running); key; key = next) {
		next = TAILQ_NEXT(key, link);
		if (key->session == session)
			key_set_state(state, key, WL_KEY_LOST);
	}
}

/* Removes keys whose retention has passed. */
void wl_state_keys_expire(wl_state_t *state)
{
	wl_state_key_t *key;

	while ((key = TAILQ_FIRST(&state->keys_ended)) &&
	       key->ended_ms + state->options.key_keep_ms <= state->clock_ms)
		key_drop(state, key);
	wl_state_ended_calls_expire(state);
}

static void list_clear(wl_state_t *state, struct wl_state_keys *keys)
{
	while (!TAILQ_EMPTY(keys))
		key_drop(state, TAILQ_FIRST(keys));
}

void wl_state_keys_clear(wl_state_t *state)
{
	list_clear(state, &state->keys_running);
	list_clear(state, &state->keys_ended);
	wl_map_free(&state->by_key);
}
