/*
 * Sessions of entries: renewal, expiry, views, and the list revision in force.
 *
 * A list revision is in force when every session has acknowledged it or a newer one.
 *
 * A session expires when no renewal has been received for its validity plus
 * the drift margin, measured from its last renewal or from the start of
 * leadership, whichever is later.  By then it is no longer valid on the
 * entry's clock.  If the leader itself was suspended, the measurement restarts,
 * because renewals may be waiting in its receive queue.
 */

#include "internal.h"

#include <stdlib.h>

#define SUSPENDED_NS (1000 * WL_NS_PER_MS)

/* Returns the leader's record of a session, or NULL. */
wl_leader_session_t *wl_leader_session_find(wl_leader_t *leader, uint64_t id)
{
	wl_leader_session_t *session;

	TAILQ_FOREACH (session, &leader->sessions, link)
		if (session->id == id)
			return session;
	return NULL;
}

static void session_free(wl_leader_session_t *session)
{
	wl_buf_free(&session->entry);
	wl_buf_free(&session->availability_zone);
	free(session);
}

/* Releases the leader's records of all sessions. */
void wl_leader_sessions_clear(wl_leader_t *leader)
{
	wl_leader_session_t *session;
	wl_leader_session_t *next;

	for (session = TAILQ_FIRST(&leader->sessions); session; session = next) {
		next = TAILQ_NEXT(session, link);
		session_free(session);
	}
	TAILQ_INIT(&leader->sessions);
}

static void session_add(wl_leader_t *leader, uint64_t now_ns, const wl_state_session_t *known)
{
	wl_leader_session_t *session = wl_alloc(sizeof(*session));

	session->id = known->id;
	wl_buf_set(&session->entry, wl_buf_str(&known->entry));
	wl_buf_set(&session->availability_zone, wl_buf_str(&known->availability_zone));
	session->renewed_ns = now_ns;
	TAILQ_INSERT_TAIL(&leader->sessions, session, link);
}

static void mark_views_due(wl_leader_t *leader)
{
	wl_leader_session_t *session;

	TAILQ_FOREACH (session, &leader->sessions, link)
		session->view_due = true;
}

/* A member has changed: views become due, unless they do not name the members. */
static void member_changed(wl_leader_t *leader)
{
	if (wl_state_entries_cooperate(leader->state))
		mark_views_due(leader);
}

/* Matches the records to the sessions in the replicated state. */
void wl_leader_sessions_sync(wl_leader_t *leader, uint64_t now_ns)
{
	const wl_state_session_t *known;
	wl_leader_session_t *session;
	wl_leader_session_t *next;

	for (session = TAILQ_FIRST(&leader->sessions); session; session = next) {
		next = TAILQ_NEXT(session, link);
		if (wl_state_session_find(leader->state, session->id))
			continue;
		TAILQ_REMOVE(&leader->sessions, session, link);
		session_free(session);
	}
	TAILQ_FOREACH (known, &leader->state->sessions, link)
		if (!wl_leader_session_find(leader, known->id))
			session_add(leader, now_ns, known);
	member_changed(leader);
	leader->counts_due = true;
	leader->balance_due = true;
}

static wl_msg_renewed_t *renewal_answer(const wl_leader_t *leader, wl_str_t peer,
					const wl_msg_renew_t *renew, wl_code_t code, wl_out_t *out)
{
	wl_msg_renewed_t *answer = &wl_out_send(out, peer, WL_MSG_RENEWED)->u.renewed;

	answer->boot = renew->boot;
	answer->group = leader->group;
	answer->term = leader->term;
	answer->sent_ns = renew->sent_ns;
	answer->code = code;
	wl_buf_set(&answer->leader, wl_buf_str(&leader->entry));
	return answer;
}

static void session_grant(const wl_leader_t *leader, wl_str_t peer, uint64_t id,
			  const wl_msg_renew_t *renew, wl_out_t *out)
{
	wl_msg_renewed_t *answer = renewal_answer(leader, peer, renew, WL_OK, out);

	answer->session = id;
	answer->validity_ms = leader->options.session_ms;
}

/*
 * wl_leader_replicas_set - set the names of the group's members, which views carry to all entries
 * @names: strings, copied
 */
void wl_leader_replicas_set(wl_leader_t *leader, const wl_list_t *names)
{
	if (wl_strings_equal(&leader->replicas, names))
		return;
	wl_strings_set(&leader->replicas, names);
	mark_views_due(leader);
}

static void session_renewed(wl_leader_t *leader, uint64_t now_ns, wl_leader_session_t *session,
			    const wl_msg_renew_t *renew)
{
	if (!session->renewed)
		session->view_due = true;
	session->renewed = true;
	session->renewed_ns = now_ns;
	if (renew->revision > session->acked)
		session->acked = renew->revision;
	session->revision = renew->revision;
	session->owners_index = renew->owners_index;
	if (session->draining == renew->draining)
		return;
	session->draining = renew->draining;
	member_changed(leader);
}

static bool open_in_flight(const wl_leader_t *leader, const wl_msg_renew_t *renew)
{
	const wl_proposal_t *proposal;

	TAILQ_FOREACH (proposal, &leader->proposals, link)
		if (proposal->kind == WL_PROPOSAL_OPEN && proposal->renew.boot == renew->boot &&
		    wl_str_equal(wl_buf_str(&proposal->name), wl_buf_str(&renew->entry)))
			return true;
	return false;
}

static void session_open(wl_leader_t *leader, uint64_t now_ns, const wl_msg_renew_t *renew,
			 wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_SESSION_OPEN};
	wl_cmd_session_open_t *open = &cmd.u.session_open;
	wl_msg_t from = {.kind = WL_MSG_RENEW, .u.renew = *renew};
	wl_proposal_t *proposal;
	wl_msg_t copy;

	if (open_in_flight(leader, renew))
		return;
	open->boot = renew->boot;
	wl_buf_set(&open->entry, wl_buf_str(&renew->entry));
	wl_buf_set(&open->address, wl_buf_str(&renew->address));
	wl_buf_set(&open->availability_zone, wl_buf_str(&renew->availability_zone));
	proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_OPEN, &cmd, out);
	wl_buf_set(&proposal->name, wl_buf_str(&renew->entry));
	wl_msg_copy(&copy, &from);
	proposal->renew = copy.u.renew;
}

/* Answers the renewal that opened a session; the validity counts from when that was sent. */
void wl_leader_opened(wl_leader_t *leader, uint64_t now_ns, const wl_proposal_t *proposal,
		      const wl_result_t *result, wl_out_t *out)
{
	wl_leader_session_t *session = wl_leader_session_find(leader, result->index);

	if (result->code != WL_OK || !session)
		return;
	session_renewed(leader, now_ns, session, &proposal->renew);
	session_grant(leader, wl_buf_str(&proposal->name), session->id, &proposal->renew, out);
}

/* Handles a renewal: grants it at once for a live session, proposes a new session otherwise. */
void wl_leader_renew(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
		     const wl_msg_renew_t *renew, wl_out_t *out)
{
	const wl_state_session_t *known =
		wl_state_session_of_entry(leader->state, wl_buf_str(&renew->entry));
	wl_leader_session_t *session;

	if (renew->entry.len == 0 || !wl_str_equal(peer, wl_buf_str(&renew->entry)))
		return;
	if (renew->group != 0 && renew->group != leader->group) {
		renewal_answer(leader, peer, renew, WL_E_CONFLICT, out);
		return;
	}
	if (known && known->boot != renew->boot && renew->session != 0) {
		/*
		 * The renewal may be a delayed one from before a restart of the daemon.  A running
		 * daemon answers this error with a request for a new session.
		 */
		renewal_answer(leader, peer, renew, WL_E_NO_SESSION, out);
		return;
	}
	if (!known || known->boot != renew->boot) {
		session_open(leader, now_ns, renew, out);
		return;
	}
	session = wl_leader_session_find(leader, known->id);
	if (!session || session->ending)
		return;
	session_renewed(leader, now_ns, session, renew);
	session_grant(leader, peer, session->id, renew, out);
}

static void session_end(wl_leader_t *leader, uint64_t now_ns, wl_leader_session_t *session,
			wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_SESSION_END};
	wl_proposal_t *proposal;

	cmd.u.session_end.session = session->id;
	session->ending = true;
	wl_out_log(out, WL_WARN, "session-end", "entry=" WL_STR_FMT " session=%llu",
		   WL_STR_ARG(wl_buf_str(&session->entry)), (unsigned long long)session->id);
	wl_metrics_add(leader->options.metrics, "wisterialead_sessions_ended_total", "", 1);
	proposal = wl_leader_propose(leader, now_ns, WL_PROPOSAL_END, &cmd, out);
	proposal->session = session->id;
}

static void view_send(wl_leader_t *leader, wl_leader_session_t *session, wl_out_t *out)
{
	wl_msg_view_t *view = &wl_out_send(out, wl_buf_str(&session->entry), WL_MSG_VIEW)->u.view;
	wl_member_t *members;

	wl_state_view(leader->state, session->revision, session->owners_index, view);
	view->group = leader->group;
	view->term = leader->term;
	wl_strings_set(&view->replicas, &leader->replicas);
	members = view->members.items;
	for (size_t i = 0; i < view->members.count; i++) {
		const wl_leader_session_t *member =
			wl_leader_session_find(leader, members[i].session);

		members[i].draining = member && member->draining;
	}
	session->revision = view->revision;
	session->owners_index = view->owners_to;
	session->view_due = false;
}

/* Returns the lowest revision that every session has acknowledged, or the newest one if none. */
uint64_t wl_leader_min_acked(const wl_leader_t *leader)
{
	const wl_leader_session_t *session;
	uint64_t lowest = wl_state_revision(leader->state);

	TAILQ_FOREACH (session, &leader->sessions, link)
		if (session->acked < lowest)
			lowest = session->acked;
	return lowest;
}

/* Whether each entry that may still accept work uses this revision of the lists or a newer one. */
bool wl_leader_in_force(const wl_leader_t *leader, uint64_t revision)
{
	return revision <= wl_leader_min_acked(leader);
}

/* Starts measuring how long a list change takes to be in force. */
void wl_leader_change_applied(wl_leader_t *leader, uint64_t now_ns, uint64_t revision)
{
	wl_leader_change_t *change = wl_alloc(sizeof(*change));

	change->revision = revision;
	change->applied_ns = now_ns;
	TAILQ_INSERT_TAIL(&leader->changes, change, link);
}

static void changes_measure(wl_leader_t *leader, uint64_t now_ns)
{
	wl_leader_change_t *change;
	wl_leader_change_t *next;

	for (change = TAILQ_FIRST(&leader->changes); change; change = next) {
		next = TAILQ_NEXT(change, link);
		if (!wl_leader_in_force(leader, change->revision))
			return;
		wl_metrics_observe(leader->options.metrics, "wisterialead_list_in_force_seconds",
				   "", now_ns - change->applied_ns);
		TAILQ_REMOVE(&leader->changes, change, link);
		free(change);
	}
}

/* Ends expired sessions and sends views to those that lack changes. */
void wl_leader_sessions_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out)
{
	uint64_t expiry_ns = (leader->options.session_ms + leader->options.drift_ms) * WL_NS_PER_MS;
	wl_leader_session_t *session;

	if (now_ns > leader->last_tick_ns + SUSPENDED_NS)
		leader->expiry_base_ns = now_ns;
	leader->last_tick_ns = now_ns;
	TAILQ_FOREACH (session, &leader->sessions, link) {
		uint64_t from = session->renewed_ns > leader->expiry_base_ns
					? session->renewed_ns
					: leader->expiry_base_ns;

		if (!session->ending && now_ns >= from + expiry_ns)
			session_end(leader, now_ns, session, out);
		if (!session->renewed)
			continue;
		if (session->view_due || session->revision != wl_state_revision(leader->state) ||
		    session->owners_index != leader->state->owners_index)
			view_send(leader, session, out);
	}
	changes_measure(leader, now_ns);
}
