/*
 * Sessions of entries.  At most one is open for each entry.  A committed command ends it: the
 * leader proposes one when no renewal came in time, a stopping entry submits one, and a new session
 * after a restart of the daemon replaces the old one.
 */

#include "internal.h"

#include <stdlib.h>

/* Returns the open session with an id, or NULL. */
wl_state_session_t *wl_state_session_find(const wl_state_t *state, uint64_t id)
{
	wl_state_session_t *session;

	TAILQ_FOREACH (session, &state->sessions, link)
		if (session->id == id)
			return session;
	return NULL;
}

/* Returns the open session of an entry, or NULL. */
wl_state_session_t *wl_state_session_of_entry(const wl_state_t *state, wl_str_t entry)
{
	wl_state_session_t *session;

	TAILQ_FOREACH (session, &state->sessions, link)
		if (wl_str_equal(wl_buf_str(&session->entry), entry))
			return session;
	return NULL;
}

/* Adds a session; the caller sets all fields but the id. */
wl_state_session_t *wl_state_session_add(wl_state_t *state, uint64_t id)
{
	wl_state_session_t *session = wl_alloc(sizeof(*session));

	session->id = id;
	TAILQ_INSERT_TAIL(&state->sessions, session, link);
	return session;
}

static void session_free(wl_state_session_t *session)
{
	wl_buf_free(&session->entry);
	wl_buf_free(&session->address);
	wl_buf_free(&session->availability_zone);
	free(session);
}

static void session_close(wl_state_t *state, uint64_t index, wl_state_session_t *session)
{
	wl_state_owners_release(state, index, session->id);
	wl_state_keys_mark_lost(state, session->id);
	TAILQ_REMOVE(&state->sessions, session, link);
	session_free(session);
}

/*
 * Opens a session for an entry.  A repeated command of the same start of the daemon gets the same
 * session; a later start ends the previous session.
 */
void wl_state_session_open(wl_state_t *state, uint64_t index, const wl_cmd_session_open_t *cmd,
			   wl_result_t *result)
{
	wl_state_session_t *session = wl_state_session_of_entry(state, wl_buf_str(&cmd->entry));

	if (cmd->entry.len == 0) {
		wl_result_fail(result, WL_E_BAD_INPUT, "session without an entry name");
		return;
	}
	if (session && session->boot == cmd->boot) {
		wl_result_ok(result, session->id);
		return;
	}
	if (session)
		session_close(state, index, session);
	session = wl_state_session_add(state, index);
	session->boot = cmd->boot;
	wl_buf_set(&session->entry, wl_buf_str(&cmd->entry));
	wl_buf_set(&session->address, wl_buf_str(&cmd->address));
	wl_buf_set(&session->availability_zone, wl_buf_str(&cmd->availability_zone));
	wl_result_ok(result, index);
}

/* Ends a session: its targets lose their owner, its running keys are lost. */
void wl_state_session_end(wl_state_t *state, uint64_t index, const wl_cmd_session_end_t *cmd,
			  wl_result_t *result)
{
	wl_state_session_t *session = wl_state_session_find(state, cmd->session);

	if (session)
		session_close(state, index, session);
	wl_result_ok(result, index);
}

void wl_state_sessions_clear(wl_state_t *state)
{
	wl_state_session_t *session;
	wl_state_session_t *next;

	for (session = TAILQ_FIRST(&state->sessions); session; session = next) {
		next = TAILQ_NEXT(session, link);
		session_free(session);
	}
	TAILQ_INIT(&state->sessions);
}
