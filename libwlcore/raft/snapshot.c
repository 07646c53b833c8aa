/*
 * Snapshots: compaction of the own log, and transfer in chunks to members that need
 * compacted entries.
 */

#include "internal.h"

#include <string.h>

#define RESEND_ELECTION_PERMILLE 500 /* time to resend a chunk, of an election timeout */
#define COMPACT_LIMIT		 4   /* times compact_entries: no more waiting for a transfer */

/*
 * wl_raft_send_chunk - send the next chunk of the snapshot unless one is in flight
 *
 * Without a snapshot, a single chunk carries the founding record at index zero.
 */
void wl_raft_send_chunk(wl_raft_t *raft, uint64_t now_ns, wl_raft_peer_t *peer)
{
	wl_raft_msg_t msg = {.kind = WL_RAFT_SNAPSHOT, .to = peer->id};
	uint64_t len;

	if (peer->snapshot_index != raft->snapshot_index) {
		peer->snapshot_index = raft->snapshot_index;
		peer->snapshot_offset = 0;
		peer->snapshot_sent_ns = 0;
	}
	if (peer->snapshot_sent_ns &&
	    now_ns - peer->snapshot_sent_ns < raft->election_ns / 1000 * RESEND_ELECTION_PERMILLE)
		return;

	len = raft->snapshot.len - peer->snapshot_offset;
	if (len > raft->snapshot_chunk_bytes)
		len = raft->snapshot_chunk_bytes;
	msg.index = raft->snapshot_index;
	msg.index_term = raft->snapshot_term;
	msg.offset = peer->snapshot_offset;
	msg.total = raft->snapshot.len;
	if (len)
		wl_buf_set(&msg.data, (wl_str_t){raft->snapshot.at + peer->snapshot_offset, len});
	wl_record_copy(&wl_raft_members_schema, &msg.members, &raft->base);
	peer->snapshot_sent_ns = now_ns;
	wl_raft_send(raft, wl_raft_peer_name(raft, peer), &msg);
}

static bool transfer_active(const wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role != WL_RAFT_LEADER)
		return false;
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (raft->peers[i].progress == WL_RAFT_PROGRESS_SNAPSHOT &&
		    now_ns - raft->peers[i].last_answer_ns < raft->election_ns)
			return true;
	return false;
}

/*
 * wl_raft_request_snapshot - request the applied state when the log has grown long
 *
 * A new snapshot restarts a transfer in progress, so it is delayed until the
 * transfer ends or the log reaches COMPACT_LIMIT.
 */
void wl_raft_request_snapshot(wl_raft_t *raft, uint64_t now_ns)
{
	uint64_t length = raft->commit - raft->snapshot_index;

	if (raft->snapshot_requested || length < raft->compact_entries)
		return;
	if (length < COMPACT_LIMIT * raft->compact_entries && transfer_active(raft, now_ns))
		return;
	raft->snapshot_requested = true;
	wl_raft_out_add(raft, WL_RAFT_DO_SNAPSHOT)->index = raft->commit;
}

/*
 * wl_raft_take_snapshot - compact the log with a snapshot of the applied state
 * @index: of the last entry applied in @state
 */
void wl_raft_take_snapshot(wl_raft_t *raft, uint64_t index, wl_str_t state)
{
	wl_raft_members_t members;
	wl_buf_t copy = {0};
	uint64_t members_index;
	uint64_t term;

	raft->snapshot_requested = false;
	if (index <= raft->snapshot_index || index > raft->commit ||
	    !wl_raft_log_term(raft, index, &term))
		return;
	wl_raft_members_before(raft, index + 1, &members, &members_index);
	wl_buf_set(&copy, state);
	wl_raft_log_compact(raft, index, term, &members, &copy);
}

/*
 * If the own log does not contain the snapshot's last entry, its uncommitted
 * entries are discarded.
 */
static void install_snapshot(wl_raft_t *raft, uint64_t now_ns, wl_raft_msg_t *msg)
{
	wl_raft_members_t members;
	wl_raft_action_t *action;
	uint64_t index;
	uint64_t term;

	if (raft->commit < wl_raft_last_index(raft) &&
	    (!wl_raft_log_term(raft, msg->index, &term) || term != msg->index_term))
		wl_raft_log_truncate(raft, raft->commit + 1, now_ns);
	wl_raft_log_compact(raft, msg->index, msg->index_term, &msg->members, &raft->incoming);
	wl_raft_members_before(raft, wl_raft_last_index(raft) + 1, &members, &index);
	wl_raft_members_set(raft, &members, index, now_ns);
	wl_record_free(&wl_raft_members_schema, &members);

	raft->commit = msg->index;
	raft->snapshot_requested = false;
	action = wl_raft_out_add(raft, WL_RAFT_DO_RESTORE);
	action->index = msg->index;
	wl_buf_set(&action->data, wl_buf_str(&raft->snapshot));
}

static bool take_chunk(wl_raft_t *raft, const wl_raft_msg_t *msg)
{
	if (raft->incoming_from != msg->from || raft->incoming_index != msg->index ||
	    raft->incoming_term != msg->index_term) {
		raft->incoming_from = msg->from;
		raft->incoming_index = msg->index;
		raft->incoming_term = msg->index_term;
		wl_buf_clear(&raft->incoming);
	}
	if (msg->offset == raft->incoming.len)
		wl_buf_append(&raft->incoming, wl_buf_str(&msg->data));
	return raft->incoming.len == msg->total;
}

/*
 * A blank replica joins only a leader that has its id as a member and addresses
 * the message to it.
 */
static bool accepts_join(const wl_raft_t *raft, const wl_raft_msg_t *msg)
{
	return msg->to == raft->id && msg->group && msg->members.group == msg->group;
}

/*
 * wl_raft_on_snapshot - handle a chunk of the leader's snapshot
 */
void wl_raft_on_snapshot(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_msg_t answer = {
		.kind = WL_RAFT_SNAPSHOT_ANSWER, .to = msg->from, .index = msg->index};
	bool blank = raft->members.group == 0;

	if (blank && !accepts_join(raft, msg))
		return;
	if (msg->term < raft->term) {
		wl_raft_send_after(raft, raft->vote_ticket, name, &answer);
		return;
	}
	answer.group = msg->group;
	answer.term = msg->term;
	if (!blank) {
		wl_raft_become_follower(raft, msg->term, msg->from, now_ns);
		raft->leader_contact_ns = now_ns;
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	}
	if ((blank || msg->index > raft->commit) && !take_chunk(raft, msg)) {
		answer.offset = raft->incoming.len;
		wl_raft_send_after(raft, raft->vote_ticket, name, &answer);
		return;
	}
	if (blank) {
		wl_raft_join(raft, &msg->members, now_ns);
		wl_raft_become_follower(raft, msg->term, msg->from, now_ns);
		raft->leader_contact_ns = now_ns;
	}
	if (msg->index > raft->commit)
		install_snapshot(raft, now_ns, msg);
	answer.ok = true;
	wl_raft_send_after(
		raft, raft->log_ticket > raft->group_ticket ? raft->log_ticket : raft->group_ticket,
		name, &answer);
}

/*
 * wl_raft_on_snapshot_answer - handle a member's answer to a chunk
 */
void wl_raft_on_snapshot_answer(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_peer_t *peer = wl_raft_answer_sender(raft, now_ns, msg);

	(void)name;
	if (!peer)
		return;
	if (peer->progress != WL_RAFT_PROGRESS_SNAPSHOT || msg->index != peer->snapshot_index)
		return;
	if (!msg->ok) {
		if (msg->offset <= raft->snapshot.len && msg->index == raft->snapshot_index)
			peer->snapshot_offset = msg->offset;
		peer->snapshot_sent_ns = 0;
		return;
	}
	if (msg->index > peer->match)
		peer->match = msg->index;
	peer->next = peer->match + 1;
	peer->progress = WL_RAFT_PROGRESS_STREAM;
	wl_raft_advance_commit(raft);
}
