/* Replication on a follower. */

#include "internal.h"

/* Appends the entries of the message that follow the common prefix. */
static void take_entries(wl_raft_t *raft, uint64_t now_ns, wl_raft_msg_t *msg)
{
	wl_raft_entry_t *entries = msg->entries.items;

	for (size_t i = 0; i < msg->entries.count; i++) {
		uint64_t term;

		if (entries[i].index <= raft->commit)
			continue;
		if (wl_raft_log_term(raft, entries[i].index, &term)) {
			if (term == entries[i].term)
				continue;
			wl_raft_log_truncate(raft, entries[i].index, now_ns);
		}
		wl_raft_log_append(raft, &entries[i], now_ns);
	}
}

static bool entries_in_order(const wl_raft_msg_t *msg)
{
	const wl_raft_entry_t *entries = msg->entries.items;

	for (size_t i = 0; i < msg->entries.count; i++)
		if (entries[i].index != msg->index + 1 + i || entries[i].term > msg->term)
			return false;
	return true;
}

static bool prefix_agrees(const wl_raft_t *raft, const wl_raft_msg_t *msg)
{
	uint64_t term;

	if (msg->index <= raft->commit)
		return true;
	return wl_raft_log_term(raft, msg->index, &term) && term == msg->index_term;
}

static void refuse_append(wl_raft_t *raft, wl_str_t name, const wl_raft_msg_t *msg,
			  wl_raft_msg_t *answer)
{
	answer->index = wl_raft_log_find_conflict(raft, msg->index - 1, msg->index_term);
	wl_raft_log_term(raft, answer->index, &answer->index_term);
	answer->total = msg->index;
	wl_raft_send_after(raft, raft->vote_ticket, name, answer);
}

/*
 * A heartbeat is answered at once with the synced index, so that a replica with a
 * slow disk is not taken for a failed one.  Entries are answered once they are
 * synced.
 */
static void accept_append(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg,
			  wl_raft_msg_t *answer)
{
	uint64_t match = msg->index + msg->entries.count;
	uint64_t ticket = raft->vote_ticket;

	take_entries(raft, now_ns, msg);
	if (msg->commit > raft->commit)
		wl_raft_commit_to(raft, msg->commit < match ? msg->commit : match);

	answer->ok = true;
	answer->index = match;
	if (msg->entries.count && match > raft->synced_index)
		ticket = raft->log_ticket > ticket ? raft->log_ticket : ticket;
	else if (match > raft->synced_index)
		answer->index = raft->synced_index;
	wl_raft_send_after(raft, ticket, name, answer);
}

/*
 * wl_raft_on_append - handle entries or a heartbeat from the leader of a term
 */
void wl_raft_on_append(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_msg_t answer = {.kind = WL_RAFT_APPENDED, .to = msg->from, .round = msg->round};

	answer.offset = msg->offset;
	if (raft->members.group == 0) {
		answer.blank = true;
		answer.group = msg->group;
		answer.term = msg->term;
		wl_raft_send(raft, name, &answer);
		return;
	}
	if (msg->term < raft->term) {
		wl_raft_send_after(raft, raft->vote_ticket, name, &answer);
		return;
	}
	if (!entries_in_order(msg))
		return;
	wl_raft_become_follower(raft, msg->term, msg->from, now_ns);
	raft->leader_contact_ns = now_ns;
	wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	if (prefix_agrees(raft, msg))
		accept_append(raft, now_ns, name, msg, &answer);
	else
		refuse_append(raft, name, msg, &answer);
}
