/*
 * Elections: pre-vote and vote.  A replica that received a message of a leader
 * within the minimum election timeout grants neither.
 */

#include "internal.h"

#include <string.h>

/*
 * wl_raft_reset_election_timer - set the election timer
 * @min_ns: minimum wait, nanoseconds; the wait is random between this and twice this
 */
void wl_raft_reset_election_timer(wl_raft_t *raft, uint64_t now_ns, uint64_t min_ns)
{
	raft->election_at_ns = now_ns + min_ns + wl_rng_below(&raft->rng, min_ns);
}

/* Entries that this replica appended as leader may or may not be committed by a later leader. */
static void drop_proposals(wl_raft_t *raft)
{
	for (uint64_t i = raft->commit + 1; i <= wl_raft_last_index(raft); i++) {
		wl_raft_entry_t *entry = wl_raft_log_at(raft, i);
		wl_raft_action_t *action;

		if (!entry->tag)
			continue;
		action = wl_raft_out_add(raft, WL_RAFT_DO_DROP);
		action->tag = entry->tag;
		action->verdict = WL_UNKNOWN;
		entry->tag = 0;
	}
}

/*
 * wl_raft_become_follower - become a follower
 * @term: the current term or a higher one
 * @leader: store id, or zero
 */
void wl_raft_become_follower(wl_raft_t *raft, uint64_t term, uint64_t leader, uint64_t now_ns)
{
	bool led = raft->role == WL_RAFT_LEADER;

	if (raft->role != WL_RAFT_FOLLOWER)
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	raft->role = WL_RAFT_FOLLOWER;
	raft->leader = leader;
	if (term > raft->term)
		wl_raft_set_term(raft, term, 0);
	if (!led)
		return;

	raft->hand_over_to = 0;
	drop_proposals(raft);
	if (raft->leadership_reported)
		wl_raft_out_add(raft, WL_RAFT_DO_FOLLOW)->term = raft->term;
	raft->leadership_reported = false;
}

static void request_votes(wl_raft_t *raft, uint64_t kind, uint64_t term, uint64_t ticket)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		wl_raft_peer_t *peer = &raft->peers[i];
		wl_raft_msg_t msg = {.kind = kind, .to = peer->id, .term = term};

		if (peer->id == raft->id || !wl_raft_member_at(&raft->members, i)->voter)
			continue;
		msg.index = wl_raft_last_index(raft);
		msg.index_term = wl_raft_last_term(raft);
		msg.ok = raft->transfer_campaign;
		wl_raft_send_after(raft, ticket, wl_raft_peer_name(raft, peer), &msg);
	}
}

static void clear_votes(wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		raft->peers[i].granted = false;
}

/*
 * The own vote counts, and vote requests are sent, only once the vote is synced.
 * Disks may be slow here and at the voters, so the campaign lasts a full election
 * timeout, counted from the time at which the requests are sent.
 */
static void campaign(wl_raft_t *raft, uint64_t now_ns)
{
	clear_votes(raft);
	raft->role = WL_RAFT_CANDIDATE;
	raft->leader = 0;
	wl_raft_set_term(raft, raft->term + 1, raft->id);
	raft->campaign_ticket = raft->vote_ticket;
	wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	request_votes(raft, WL_RAFT_VOTE, raft->term, raft->vote_ticket);
}

static void start_prevote(wl_raft_t *raft, uint64_t now_ns)
{
	clear_votes(raft);
	raft->transfer_campaign = false;
	raft->role = WL_RAFT_PRECANDIDATE;
	raft->leader = 0;
	wl_raft_peer_find(raft, raft->id)->granted = true;
	wl_raft_reset_election_timer(raft, now_ns, raft->election_ns / 2);
	if (wl_raft_quorum_granted(raft)) {
		campaign(raft, now_ns);
		return;
	}
	request_votes(raft, WL_RAFT_PREVOTE, raft->term + 1, raft->group_ticket);
}

/*
 * wl_raft_election_tick - start a pre-vote when the election timer has expired
 */
void wl_raft_election_tick(wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role == WL_RAFT_LEADER || now_ns < raft->election_at_ns ||
	    !wl_raft_is_voter(raft))
		return;
	if (raft->group_ticket > raft->synced_ticket)
		return;
	if (raft->role == WL_RAFT_CANDIDATE && raft->campaign_ticket > raft->synced_ticket)
		return;
	start_prevote(raft, now_ns);
}

/*
 * wl_raft_election_synced - count the own vote once it is synced
 */
void wl_raft_election_synced(wl_raft_t *raft, uint64_t now_ns)
{
	wl_raft_peer_t *own = wl_raft_peer_find(raft, raft->id);

	if (raft->role != WL_RAFT_CANDIDATE || raft->campaign_ticket > raft->synced_ticket || !own)
		return;
	if (!own->granted)
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	own->granted = true;
	if (wl_raft_quorum_granted(raft))
		wl_raft_become_leader(raft, now_ns);
}

/* A leader may hold a read lease that counts this replica's last answer. */
static bool lease_may_be_active(const wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role == WL_RAFT_LEADER || now_ns < raft->no_vote_until_ns)
		return true;
	return raft->leader && now_ns - raft->leader_contact_ns < raft->election_ns;
}

static bool up_to_date(const wl_raft_t *raft, const wl_raft_msg_t *msg)
{
	uint64_t term = wl_raft_last_term(raft);

	if (msg->index_term != term)
		return msg->index_term > term;
	return msg->index >= wl_raft_last_index(raft);
}

/*
 * Delays the own election after granting a pre-vote, so that two campaigns do not
 * split the votes.
 */
static void postpone_election(wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role == WL_RAFT_FOLLOWER && raft->election_at_ns < now_ns + raft->election_ns / 2)
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns / 2);
}

/*
 * wl_raft_on_prevote - answer whether this replica would grant its vote; not binding
 */
void wl_raft_on_prevote(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_msg_t answer = {.kind = WL_RAFT_PREVOTED, .to = msg->from, .term = raft->term};

	if (lease_may_be_active(raft, now_ns) && msg->term > raft->term)
		return;
	answer.ok = msg->term > raft->term && up_to_date(raft, msg);
	if (answer.ok) {
		answer.term = msg->term;
		postpone_election(raft, now_ns);
	}
	wl_raft_send_after(raft, raft->vote_ticket, name, &answer);
}

/*
 * wl_raft_on_prevoted - count a pre-vote
 */
void wl_raft_on_prevoted(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_peer_t *peer = wl_raft_peer_find(raft, msg->from);

	(void)name;
	if (!peer || raft->role != WL_RAFT_PRECANDIDATE)
		return;
	if (!msg->ok) {
		if (msg->term > raft->term)
			wl_raft_become_follower(raft, msg->term, 0, now_ns);
		return;
	}
	if (msg->term != raft->term + 1)
		return;
	peer->granted = true;
	if (wl_raft_quorum_granted(raft))
		campaign(raft, now_ns);
}

/*
 * wl_raft_on_vote - handle a candidate's vote request
 *
 * msg->ok marks an election that the leader requested by a hand-over; it does not
 * wait for the lease to end.
 */
void wl_raft_on_vote(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_msg_t answer = {.kind = WL_RAFT_VOTED, .to = msg->from};

	if (msg->term > raft->term) {
		if (lease_may_be_active(raft, now_ns) && !msg->ok)
			return;
		wl_raft_become_follower(raft, msg->term, 0, now_ns);
	}
	answer.ok = msg->term == raft->term && raft->role == WL_RAFT_FOLLOWER &&
		    (raft->vote == 0 || raft->vote == msg->from) && up_to_date(raft, msg);
	if (answer.ok) {
		wl_raft_set_term(raft, raft->term, msg->from);
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	}
	wl_raft_send_after(raft, raft->vote_ticket, name, &answer);
}

/*
 * wl_raft_on_voted - count a vote
 */
void wl_raft_on_voted(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_peer_t *peer = wl_raft_peer_find(raft, msg->from);

	(void)name;
	if (msg->term > raft->term) {
		wl_raft_become_follower(raft, msg->term, 0, now_ns);
		return;
	}
	if (!peer || raft->role != WL_RAFT_CANDIDATE || msg->term != raft->term)
		return;
	if (!msg->ok) {
		/* The vote went to another candidate: votes are split, so retry early. */
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns / 4);
		return;
	}
	peer->granted = true;
	if (wl_raft_quorum_granted(raft))
		wl_raft_become_leader(raft, now_ns);
}

/*
 * wl_raft_on_timeout_now - start an election because the leader hands over to this replica
 */
void wl_raft_on_timeout_now(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	(void)name;
	if (msg->term != raft->term || raft->role != WL_RAFT_FOLLOWER || !wl_raft_is_voter(raft))
		return;
	raft->transfer_campaign = true;
	campaign(raft, now_ns);
	raft->transfer_campaign = false;
}
