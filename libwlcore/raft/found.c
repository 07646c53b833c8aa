/*
 * Founding (bootstrap) of a group, and discovery by replicas without a group.
 *
 * A blank replica (empty folder, no group) probes the replicas that the settings
 * name.  Only the one with the lowest name may found the group, and only while
 * all others answer as blank: a replica that restarts on an empty disk therefore
 * never founds a second group.  The others wait for the founding record or for a
 * leader that admits them.
 */

#include "internal.h"

#include <string.h>

#define FRESH_ELECTIONS	     1 /* election timeouts within which every peer must have answered */
#define LEADERLESS_ELECTIONS 2 /* election timeouts without a leader before probing */

static bool blank(const wl_raft_t *raft)
{
	return raft->members.group == 0;
}

static bool lowest_name(const wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->known_count; i++)
		if (raft->known[i].seed &&
		    wl_str_compare(wl_buf_str(&raft->known[i].name), wl_buf_str(&raft->name)) < 0)
			return false;
	return raft->may_found;
}

static bool all_blank(const wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->known_count; i++) {
		const wl_raft_contact_t *seen = &raft->known[i].answer;

		if (!raft->known[i].seed)
			continue;
		if (!seen->blank || !seen->received_ns || seen->id == raft->id ||
		    now_ns - seen->received_ns > FRESH_ELECTIONS * raft->election_ns)
			return false;
	}
	return true;
}

static void member_add(wl_raft_members_t *members, uint64_t id, wl_str_t name)
{
	wl_raft_member_t *member = wl_list_add(&wl_raft_member_schema, &members->members);

	member->id = id;
	member->voter = true;
	wl_buf_set(&member->name, name);
}

/*
 * wl_raft_join - adopt a founding record as the start of the own log
 * @members: copied
 */
void wl_raft_join(wl_raft_t *raft, wl_raft_members_t *members, uint64_t now_ns)
{
	wl_record_free(&wl_raft_members_schema, &raft->base);
	wl_record_copy(&wl_raft_members_schema, &raft->base, members);
	wl_raft_members_set(raft, members, 0, now_ns);
	raft->group_dirty = true;
	raft->group_ticket = raft->issued_ticket + 1;
}

static void found_group(wl_raft_t *raft, uint64_t now_ns)
{
	wl_raft_members_t members = {0};

	while (members.group == 0)
		members.group = wl_rng_next(&raft->rng);
	member_add(&members, raft->id, wl_buf_str(&raft->name));
	for (size_t i = 0; i < raft->known_count; i++)
		if (raft->known[i].seed)
			member_add(&members, raft->known[i].answer.id,
				   wl_buf_str(&raft->known[i].name));
	wl_raft_join(raft, &members, now_ns);
	wl_record_free(&wl_raft_members_schema, &members);
	raft->election_at_ns = now_ns;
}

static void send_probes(wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->known_count; i++) {
		wl_raft_msg_t msg = {.kind = WL_RAFT_PROBE, .round = raft->probe_round};

		msg.blank = blank(raft);
		wl_raft_send(raft, wl_buf_str(&raft->known[i].name), &msg);
	}
}

/* Members that the settings do not name are probed too, since all seeds may have been replaced. */
static void send_probes_to_members(wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		wl_str_t name = wl_buf_str(&wl_raft_member_at(&raft->members, i)->name);
		wl_raft_msg_t msg = {.kind = WL_RAFT_PROBE, .round = raft->probe_round};

		if (!wl_str_equal(name, wl_buf_str(&raft->name)) && !wl_raft_known_find(raft, name))
			wl_raft_send(raft, name, &msg);
	}
}

/* After this long without a leader, this replica may have been removed while it was unreachable. */
static bool leaderless(const wl_raft_t *raft, uint64_t now_ns)
{
	return !blank(raft) && raft->max_voters && raft->role != WL_RAFT_LEADER &&
	       now_ns - raft->leader_contact_ns > LEADERLESS_ELECTIONS * raft->election_ns;
}

/*
 * wl_raft_discovering - whether this replica probes for a group, or for the leader of its own
 */
bool wl_raft_discovering(const wl_raft_t *raft, uint64_t now_ns)
{
	return blank(raft) || leaderless(raft, now_ns);
}

static void send_record(wl_raft_t *raft, wl_str_t name, uint64_t id)
{
	wl_raft_msg_t msg = {.kind = WL_RAFT_FOUND, .to = id};

	wl_record_copy(&wl_raft_members_schema, &msg.members, &raft->base);
	wl_raft_send_after(raft, raft->group_ticket, name, &msg);
}

static void send_record_to_all(wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (raft->peers[i].id != raft->id)
			send_record(raft, wl_raft_peer_name(raft, &raft->peers[i]),
				    raft->peers[i].id);
}

/*
 * wl_raft_found_tick - send probes, found the group, or resend the founding record
 */
void wl_raft_found_tick(wl_raft_t *raft, uint64_t now_ns)
{
	if (now_ns < raft->probe_at_ns)
		return;
	raft->probe_at_ns = now_ns + raft->heartbeat_ns;
	wl_raft_known_expire(raft, now_ns);

	if (!blank(raft)) {
		if (wl_raft_last_index(raft) == 0 && lowest_name(raft))
			send_record_to_all(raft);
		if (leaderless(raft, now_ns)) {
			send_probes(raft);
			send_probes_to_members(raft);
		}
		return;
	}
	if (lowest_name(raft) && all_blank(raft, now_ns)) {
		found_group(raft, now_ns);
		send_record_to_all(raft);
		return;
	}
	send_probes(raft);
}

static bool base_has_voter(const wl_raft_t *raft, uint64_t id)
{
	for (size_t i = 0; i < raft->base.members.count; i++)
		if (wl_raft_member_at(&raft->base, i)->id == id)
			return wl_raft_member_at(&raft->base, i)->voter;
	return false;
}

/*
 * wl_raft_on_probe - answer a probe with the own id and group
 * @name: of the sender, as authenticated by the link
 *
 * A blank replica whose id the founding record lists as a voter missed the
 * founding.  It has acknowledged nothing, so it may vote as soon as it stores the
 * record; the group may depend on its vote when another member is lost.
 */
void wl_raft_on_probe(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_known_t *known = wl_raft_known_add(raft, now_ns, name);
	wl_raft_msg_t answer = {.kind = WL_RAFT_PROBED, .to = msg->from, .round = msg->round};

	if (!known || !wl_str_equal(name, wl_buf_str(&msg->name)))
		return;
	if (!msg->blank && msg->group != raft->members.group)
		return;
	known->probe = (wl_raft_contact_t){msg->from, msg->blank, now_ns};
	known->heard_ns = now_ns;
	answer.blank = blank(raft);
	if (raft->max_voters && !blank(raft))
		wl_record_copy(&wl_raft_members_schema, &answer.members, &raft->members);
	wl_raft_send_after(raft, raft->group_ticket, name, &answer);
	if (msg->blank && base_has_voter(raft, msg->from))
		send_record(raft, name, msg->from);
}

/* Only the leader admits members, and it may not be among the replicas of the settings. */
static void learn_members(wl_raft_t *raft, uint64_t now_ns, const wl_raft_members_t *members)
{
	if (!blank(raft) && raft->members.group != members->group)
		return;
	for (size_t i = 0; i < members->members.count; i++) {
		wl_str_t name = wl_buf_str(&wl_raft_member_at(members, i)->name);

		if (!wl_str_equal(name, wl_buf_str(&raft->name)))
			wl_raft_known_add(raft, now_ns, name);
	}
}

/*
 * wl_raft_on_probed - handle the answer to a probe
 */
void wl_raft_on_probed(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_known_t *known = wl_raft_known_find(raft, name);

	if (!known || msg->round != raft->probe_round)
		return;
	known->answer = (wl_raft_contact_t){msg->from, msg->blank, now_ns};
	known->heard_ns = now_ns;
	if (!msg->blank)
		learn_members(raft, now_ns, &msg->members);
}

static bool record_lists(const wl_raft_t *raft, const wl_raft_members_t *record)
{
	bool found = false;

	for (size_t i = 0; i < record->members.count; i++)
		found = found || wl_raft_member_at(record, i)->id == raft->id;
	return found && record->group;
}

/*
 * wl_raft_on_found - handle a founding record
 *
 * A record is stale if the sender's latest probe answer carries another id.
 */
void wl_raft_on_found(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	const wl_raft_known_t *known = wl_raft_known_find(raft, name);
	wl_raft_msg_t answer = {.kind = WL_RAFT_FOUNDED, .to = msg->from};

	if (msg->to != raft->id || !record_lists(raft, &msg->members))
		return;
	if (blank(raft)) {
		if (!known || (known->answer.received_ns && known->answer.id != msg->from))
			return;
		wl_raft_join(raft, &msg->members, now_ns);
		wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	}
	if (raft->members.group != msg->members.group)
		return;
	wl_raft_send_after(raft, raft->group_ticket, name, &answer);
}

/*
 * wl_raft_on_founded - handle the acknowledgement of a founding record
 */
void wl_raft_on_founded(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_peer_t *peer = wl_raft_peer_find(raft, msg->from);

	(void)name;
	if (!peer || msg->group != raft->members.group || raft->leader || raft->term)
		return;
	raft->election_at_ns = now_ns;
}
