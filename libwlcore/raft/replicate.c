/* Replication on the leader. */

#include "internal.h"

#include <string.h>

#define STREAM_WINDOW	 2  /* append messages in flight to one member; proposals are batched */
#define DRIFT_PERCENT	 10 /* how much two clocks may drift apart during a lease */
#define LEASE_PERCENT	 (100 - DRIFT_PERCENT)
#define ENTRY_HEAD_BYTES 32 /* counted for each entry in addition to its data */

static bool is_own(const wl_raft_t *raft, const wl_raft_peer_t *peer)
{
	return peer->id == raft->id;
}

static uint64_t peer_synced(const wl_raft_t *raft, const wl_raft_peer_t *peer)
{
	return is_own(raft, peer) ? raft->synced_index : peer->match;
}

static uint64_t peer_lease(const wl_raft_t *raft, const wl_raft_peer_t *peer)
{
	return is_own(raft, peer) ? UINT64_MAX : peer->acked_send_ns;
}

/*
 * wl_raft_advance_commit - advance the commit index to what a majority has synced
 *
 * Only an entry of the current term is committed by counting replicas; earlier
 * entries are committed with it.
 */
void wl_raft_advance_commit(wl_raft_t *raft)
{
	uint64_t index = wl_raft_quorum_value(raft, peer_synced);
	wl_raft_action_t *action;
	uint64_t term;

	if (raft->role != WL_RAFT_LEADER || index <= raft->commit)
		return;
	if (!wl_raft_log_term(raft, index, &term) || term != raft->term)
		return;
	wl_raft_commit_to(raft, index);
	if (raft->leadership_reported)
		return;
	raft->leadership_reported = true;
	action = wl_raft_out_add(raft, WL_RAFT_DO_LEAD);
	action->term = raft->term;
	action->index = raft->elected_commit;
}

static void append_entry(wl_raft_t *raft, uint64_t now_ns, wl_raft_entry_kind_t kind, wl_str_t data,
			 uint64_t tag)
{
	wl_raft_entry_t entry = {
		.index = wl_raft_last_index(raft) + 1,
		.term = raft->term,
		.kind = kind,
		.tag = tag,
	};

	wl_buf_set(&entry.data, data);
	wl_raft_log_append(raft, &entry, now_ns);
}

/*
 * wl_raft_become_leader - become the leader of the current term
 */
void wl_raft_become_leader(wl_raft_t *raft, uint64_t now_ns)
{
	uint64_t last = wl_raft_last_index(raft);

	raft->role = WL_RAFT_LEADER;
	raft->leader = raft->id;
	raft->elected_commit = raft->commit;
	raft->leadership_reported = false;
	raft->lease_released = false;
	raft->hand_over_to = 0;
	raft->heartbeat_at_ns = now_ns;
	for (size_t i = 0; i < raft->members.members.count; i++) {
		uint64_t id = raft->peers[i].id;

		raft->peers[i] = (wl_raft_peer_t){
			.id = id,
			.next = last + 1,
			.last_answer_ns = now_ns,
			.acked_send_ns = now_ns,
		};
	}
	append_entry(raft, now_ns, WL_RAFT_NOOP, (wl_str_t){0}, 0);
	wl_raft_leader_tick(raft, now_ns);
}

static void drop_not_run(wl_raft_t *raft, uint64_t tag)
{
	wl_raft_action_t *action = wl_raft_out_add(raft, WL_RAFT_DO_DROP);

	action->tag = tag;
	action->verdict = WL_NOT_RUN;
}

/*
 * wl_raft_propose - append an entry, or drop it as not-run if this replica cannot append
 * @tag: of the proposal; zero requests no answer
 */
void wl_raft_propose(wl_raft_t *raft, uint64_t now_ns, wl_raft_entry_kind_t kind, wl_str_t data,
		     uint64_t tag)
{
	if (raft->role != WL_RAFT_LEADER || raft->hand_over_to) {
		if (tag)
			drop_not_run(raft, tag);
		return;
	}
	append_entry(raft, now_ns, kind, data, tag);
}

static void fill_entries(const wl_raft_t *raft, uint64_t next, wl_raft_msg_t *msg)
{
	uint64_t bytes = 0;

	for (uint64_t i = next; i <= wl_raft_last_index(raft); i++) {
		const wl_raft_entry_t *entry = wl_raft_log_at(raft, i);

		bytes += entry->data.len + ENTRY_HEAD_BYTES;
		if (msg->entries.count && bytes > raft->max_append_bytes)
			return;
		wl_record_copy(&wl_raft_entry_schema,
			       wl_list_add(&wl_raft_entry_schema, &msg->entries), entry);
	}
}

/* msg.round is the send time, for the lease; msg.offset numbers the messages to this member. */
static void send_append(wl_raft_t *raft, uint64_t now_ns, wl_raft_peer_t *peer, bool entries)
{
	wl_raft_msg_t msg = {.kind = WL_RAFT_APPEND, .to = peer->id, .round = now_ns};

	msg.commit = raft->commit;
	msg.offset = ++peer->appends_sent;
	if (peer->progress != WL_RAFT_PROGRESS_SNAPSHOT) {
		msg.index = peer->next - 1;
		wl_raft_log_term(raft, msg.index, &msg.index_term);
	}
	if (entries && peer->progress != WL_RAFT_PROGRESS_SNAPSHOT)
		fill_entries(raft, peer->next, &msg);
	if (peer->progress == WL_RAFT_PROGRESS_STREAM)
		peer->next += msg.entries.count;
	wl_raft_send(raft, wl_raft_peer_name(raft, peer), &msg);
}

static void replicate_to_peer(wl_raft_t *raft, uint64_t now_ns, wl_raft_peer_t *peer)
{
	uint64_t window = peer->progress == WL_RAFT_PROGRESS_STREAM ? STREAM_WINDOW : 1;

	if (peer->progress != WL_RAFT_PROGRESS_SNAPSHOT && peer->next <= raft->snapshot_index) {
		peer->progress = WL_RAFT_PROGRESS_SNAPSHOT;
		peer->snapshot_index = UINT64_MAX;
	}
	if (peer->progress == WL_RAFT_PROGRESS_SNAPSHOT) {
		wl_raft_send_chunk(raft, now_ns, peer);
		return;
	}
	while (peer->next <= wl_raft_last_index(raft) &&
	       peer->appends_sent - peer->newest_answered < window)
		send_append(raft, now_ns, peer, true);
}

/*
 * wl_raft_replicate - leader: send each member the entries it lacks, within its window
 */
void wl_raft_replicate(wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role != WL_RAFT_LEADER)
		return;
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (!is_own(raft, &raft->peers[i]))
			replicate_to_peer(raft, now_ns, &raft->peers[i]);
}

static void heartbeat(wl_raft_t *raft, uint64_t now_ns)
{
	if (now_ns < raft->heartbeat_at_ns)
		return;
	raft->heartbeat_at_ns = now_ns + raft->heartbeat_ns;
	for (size_t i = 0; i < raft->members.members.count; i++) {
		wl_raft_peer_t *peer = &raft->peers[i];

		if (!is_own(raft, peer))
			send_append(raft, now_ns, peer, peer->progress == WL_RAFT_PROGRESS_PROBE);
	}
}

static void hand_over_step(wl_raft_t *raft, uint64_t now_ns)
{
	const wl_raft_peer_t *peer = wl_raft_peer_find(raft, raft->hand_over_to);
	wl_raft_msg_t msg = {.kind = WL_RAFT_TIMEOUT_NOW, .to = raft->hand_over_to};

	if (!raft->hand_over_to)
		return;
	if (!peer || now_ns >= raft->hand_over_end_ns) {
		wl_raft_become_follower(raft, raft->term, 0, now_ns);
		return;
	}
	if (peer->match == wl_raft_last_index(raft))
		wl_raft_send(raft, wl_raft_peer_name(raft, peer), &msg);
}

/*
 * wl_raft_hand_over - leader: transfer the leadership to the most up-to-date voter
 *
 * No proposals are accepted meanwhile.  A hand-over that does not complete within
 * the minimum election timeout still ends the leadership: the lease is released
 * and cannot be restored, since the other replica's vote request may still be in
 * flight, and a leader without a lease is of no use.
 */
void wl_raft_hand_over(wl_raft_t *raft, uint64_t now_ns)
{
	const wl_raft_peer_t *best = NULL;

	if (raft->role != WL_RAFT_LEADER || raft->hand_over_to)
		return;
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_peer_t *peer = &raft->peers[i];

		if (is_own(raft, peer) || !wl_raft_member_at(&raft->members, i)->voter ||
		    now_ns - peer->last_answer_ns > raft->election_ns)
			continue;
		if (!best || peer->match > best->match)
			best = peer;
	}
	if (!best)
		return;
	raft->hand_over_to = best->id;
	raft->hand_over_end_ns = now_ns + raft->election_ns;
	raft->lease_released = true;
	hand_over_step(raft, now_ns);
}

/*
 * wl_raft_lease_holds - whether no other leader can have been elected yet
 *
 * A majority answered a message that was sent within the minimum election timeout,
 * less the permitted clock drift, and grants no votes for that time.
 */
bool wl_raft_lease_holds(const wl_raft_t *raft, uint64_t now_ns)
{
	uint64_t sent_ns;

	if (raft->role != WL_RAFT_LEADER || !raft->leadership_reported || raft->lease_released)
		return false;
	sent_ns = wl_raft_quorum_value(raft, peer_lease);
	return sent_ns >= now_ns || now_ns - sent_ns < raft->election_ns / 100 * LEASE_PERCENT;
}

static bool quorum_lost(const wl_raft_t *raft, uint64_t now_ns)
{
	uint64_t sent_ns = wl_raft_quorum_value(raft, peer_lease);

	return sent_ns < now_ns && now_ns - sent_ns > raft->election_ns;
}

/*
 * wl_raft_leader_tick - send heartbeats, and step down without a quorum
 */
void wl_raft_leader_tick(wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role != WL_RAFT_LEADER)
		return;
	if (quorum_lost(raft, now_ns)) {
		wl_raft_become_follower(raft, raft->term, 0, now_ns);
		return;
	}
	heartbeat(raft, now_ns);
	hand_over_step(raft, now_ns);
}

static void peer_refused(wl_raft_t *raft, wl_raft_peer_t *peer, const wl_raft_msg_t *msg)
{
	uint64_t next;

	if (msg->total <= peer->match || msg->total >= peer->next)
		return;
	next = wl_raft_log_find_conflict(raft, msg->index, msg->index_term) + 1;
	if (msg->index < raft->snapshot_index)
		next = msg->index + 1;
	if (next <= peer->match)
		next = peer->match + 1;
	peer->next = next;
	peer->progress = WL_RAFT_PROGRESS_PROBE;
}

static void peer_accepted(wl_raft_t *raft, wl_raft_peer_t *peer, const wl_raft_msg_t *msg)
{
	if (msg->index > peer->match && msg->index <= wl_raft_last_index(raft))
		peer->match = msg->index;
	if (peer->progress == WL_RAFT_PROGRESS_SNAPSHOT)
		return;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
	peer->progress = WL_RAFT_PROGRESS_STREAM;
}

/*
 * wl_raft_answer_sender - find the member that sent an answer and record the contact
 *
 * An answer of a higher term ends the leadership.
 *
 * Return: the member, or NULL if the answer is of another term or not from a member.
 */
wl_raft_peer_t *wl_raft_answer_sender(wl_raft_t *raft, uint64_t now_ns, const wl_raft_msg_t *msg)
{
	wl_raft_peer_t *peer = wl_raft_peer_find(raft, msg->from);

	if (msg->term > raft->term) {
		wl_raft_become_follower(raft, msg->term, 0, now_ns);
		return NULL;
	}
	if (raft->role != WL_RAFT_LEADER || !peer || msg->term != raft->term)
		return NULL;
	peer->last_answer_ns = now_ns;
	return peer;
}

/*
 * wl_raft_on_appended - handle a member's answer to entries or a heartbeat
 */
void wl_raft_on_appended(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_peer_t *peer = wl_raft_answer_sender(raft, now_ns, msg);

	(void)name;
	if (!peer)
		return;
	if (msg->offset > peer->newest_answered && msg->offset <= peer->appends_sent)
		peer->newest_answered = msg->offset;
	if (msg->blank) {
		if (peer->progress != WL_RAFT_PROGRESS_SNAPSHOT)
			peer->snapshot_index = UINT64_MAX;
		peer->progress = WL_RAFT_PROGRESS_SNAPSHOT;
		return;
	}
	if (msg->round > peer->acked_send_ns && msg->round <= now_ns)
		peer->acked_send_ns = msg->round;
	if (msg->ok)
		peer_accepted(raft, peer, msg);
	else
		peer_refused(raft, peer, msg);
	wl_raft_advance_commit(raft);
	hand_over_step(raft, now_ns);
}

/*
 * wl_raft_reachable_names - append the names of the members that answered within the minimum
 * election timeout
 * @names: list of strings; nothing is added if this replica does not lead
 */
void wl_raft_reachable_names(const wl_raft_t *raft, uint64_t now_ns, wl_list_t *names)
{
	if (raft->role != WL_RAFT_LEADER)
		return;
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_peer_t *peer = &raft->peers[i];

		if (!is_own(raft, peer) && peer->newest_answered > 0 &&
		    now_ns < peer->last_answer_ns + raft->election_ns)
			wl_strings_add(names, wl_raft_peer_name(raft, peer));
	}
}
