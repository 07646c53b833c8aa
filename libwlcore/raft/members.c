/*
 * Membership: store ids, not addresses.
 *
 * One change at a time, each an entry of the log that counts from the moment
 * it is appended.  A lost replica is replaced in three changes: the newcomer
 * enters as a learner, votes once it has synced all that stood in the log
 * when it entered, and then the lost id leaves.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#define KNOWN_FRESH_ELECTIONS 2	 /* a newcomer must have probed as lately as this */
#define MAX_MEMBERS	      9	 /* voters and learners; further newcomers wait */
#define MAX_KNOWN	      32 /* replicas remembered by name */
#define REACHABLE_HEARTBEATS  2	 /* a member that answered as lately as this is there */

/*
 * wl_raft_member_at - one member of a list
 */
wl_raft_member_t *wl_raft_member_at(const wl_raft_members_t *members, size_t i)
{
	return (wl_raft_member_t *)members->members.items + i;
}

static wl_raft_peer_t peer_new(const wl_raft_t *raft, uint64_t id, uint64_t now_ns)
{
	return (wl_raft_peer_t){
		.id = id,
		.next = wl_raft_last_index(raft) + 1,
		.last_answer_ns = now_ns,
	};
}

/*
 * wl_raft_members_use - make a list of members the one in use
 * @members: copied
 * @index: of its entry, or of the snapshot that holds it
 */
void wl_raft_members_use(wl_raft_t *raft, const wl_raft_members_t *members, uint64_t index,
			 uint64_t now_ns)
{
	wl_raft_peer_t *peers = wl_alloc(members->members.count * sizeof(*peers));

	for (size_t i = 0; i < members->members.count; i++) {
		uint64_t id = wl_raft_member_at(members, i)->id;
		const wl_raft_peer_t *before = wl_raft_peer_find(raft, id);

		peers[i] = before ? *before : peer_new(raft, id, now_ns);
	}
	free(raft->peers);
	raft->peers = peers;
	wl_record_free(&wl_raft_members_schema, &raft->members);
	wl_record_copy(&wl_raft_members_schema, &raft->members, members);
	raft->members_index = index;
}

/*
 * wl_raft_members_before - the newest membership below an index
 * @end: entries from here on are passed over
 * @members: a copy for the caller to free
 * @index: where it stands
 */
void wl_raft_members_before(const wl_raft_t *raft, uint64_t end, wl_raft_members_t *members,
			    uint64_t *index)
{
	for (uint64_t i = end - 1; i > raft->snapshot_index; i--) {
		const wl_raft_entry_t *entry = wl_raft_log_at(raft, i);

		if (entry->kind != WL_RAFT_MEMBERS)
			continue;
		*index = i;
		if (wl_record_unpack(&wl_raft_members_schema, wl_buf_str(&entry->data), members,
				     NULL))
			return;
	}
	*index = raft->snapshot_index;
	wl_record_copy(&wl_raft_members_schema, members, &raft->base);
}

/*
 * wl_raft_peer_find - what is known of a member, own id included
 *
 * Return: NULL if the id is no member.
 */
wl_raft_peer_t *wl_raft_peer_find(const wl_raft_t *raft, uint64_t id)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (raft->peers[i].id == id)
			return &raft->peers[i];
	return NULL;
}

/*
 * wl_raft_peer_name - the daemon's name of a member
 */
wl_str_t wl_raft_peer_name(const wl_raft_t *raft, const wl_raft_peer_t *peer)
{
	return wl_buf_str(&wl_raft_member_at(&raft->members, (size_t)(peer - raft->peers))->name);
}

/*
 * wl_raft_votes - tell whether this replica is a voter
 */
bool wl_raft_votes(const wl_raft_t *raft)
{
	const wl_raft_peer_t *own = wl_raft_peer_find(raft, raft->id);

	return own && wl_raft_member_at(&raft->members, (size_t)(own - raft->peers))->voter;
}

/*
 * wl_raft_voters - count the voters
 */
size_t wl_raft_voters(const wl_raft_t *raft)
{
	size_t voters = 0;

	for (size_t i = 0; i < raft->members.members.count; i++)
		voters += wl_raft_member_at(&raft->members, i)->voter;
	return voters;
}

/*
 * wl_raft_quorum_granted - tell whether a majority of the voters granted its vote
 */
bool wl_raft_quorum_granted(const wl_raft_t *raft)
{
	size_t granted = 0;

	for (size_t i = 0; i < raft->members.members.count; i++)
		granted += wl_raft_member_at(&raft->members, i)->voter && raft->peers[i].granted;
	return granted > wl_raft_voters(raft) / 2;
}

/*
 * wl_raft_quorum_value - the largest value that a majority of the voters reaches
 * @value: of one member
 *
 * Return: zero when there are no voters.
 */
uint64_t wl_raft_quorum_value(const wl_raft_t *raft,
			      uint64_t (*value)(const wl_raft_t *raft, const wl_raft_peer_t *peer))
{
	size_t quorum = wl_raft_voters(raft) / 2 + 1;
	uint64_t best = 0;

	for (size_t i = 0; i < raft->members.members.count; i++) {
		uint64_t candidate = value(raft, &raft->peers[i]);
		size_t reached = 0;

		for (size_t k = 0; k < raft->members.members.count; k++)
			reached += wl_raft_member_at(&raft->members, k)->voter &&
				   value(raft, &raft->peers[k]) >= candidate;
		if (reached >= quorum && candidate > best)
			best = candidate;
	}
	return best;
}

/*
 * wl_raft_known_find - a replica named in the settings, or one that probed this one
 *
 * Return: NULL if it is not known.
 */
wl_raft_known_t *wl_raft_known_find(const wl_raft_t *raft, wl_str_t name)
{
	for (size_t i = 0; i < raft->known_count; i++)
		if (wl_str_equal(wl_buf_str(&raft->known[i].name), name))
			return &raft->known[i];
	return NULL;
}

static wl_raft_known_t *known_new(wl_raft_t *raft, wl_str_t name)
{
	wl_raft_known_t *known;

	if (raft->known_count == raft->known_capacity) {
		raft->known_capacity = raft->known_capacity ? 2 * raft->known_capacity : 4;
		raft->known = wl_realloc(raft->known, raft->known_capacity * sizeof(*raft->known));
	}
	known = &raft->known[raft->known_count++];
	*known = (wl_raft_known_t){0};
	wl_buf_set(&known->name, name);
	return known;
}

/*
 * wl_raft_known_add - remember a replica by name
 *
 * Return: the replica, or NULL where the settings name all, or too many are known.
 */
wl_raft_known_t *wl_raft_known_add(wl_raft_t *raft, wl_str_t name)
{
	wl_raft_known_t *known = wl_raft_known_find(raft, name);

	if (known || raft->max_voters == 0 || raft->known_count >= MAX_KNOWN)
		return known;
	return known_new(raft, name);
}

/* The settings no longer name it and it has not probed: there is nothing to remember. */
static void known_prune(wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->known_count;) {
		wl_raft_known_t *known = &raft->known[i];

		if (known->seed || known->probe.received_ns) {
			i++;
			continue;
		}
		wl_buf_free(&known->name);
		*known = raft->known[--raft->known_count];
	}
}

/*
 * wl_raft_seeds_set - the settings name these replicas from now on
 * @names: own name is passed over
 */
void wl_raft_seeds_set(wl_raft_t *raft, const wl_str_t *names, size_t count)
{
	for (size_t i = 0; i < raft->known_count; i++)
		raft->known[i].seed = false;
	for (size_t i = 0; i < count; i++) {
		wl_raft_known_t *known = wl_raft_known_find(raft, names[i]);

		if (wl_str_equal(names[i], wl_buf_str(&raft->name)))
			continue;
		if (!known)
			known = known_new(raft, names[i]);
		known->seed = true;
	}
	known_prune(raft);
}

/*
 * wl_raft_member_names - add the names of all members, learners too
 * @names: list of strings
 */
void wl_raft_member_names(const wl_raft_t *raft, wl_list_t *names)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		wl_str_t name = wl_buf_str(&wl_raft_member_at(&raft->members, i)->name);

		if (!wl_strings_have(names, name))
			wl_strings_add(names, name);
	}
}

/*
 * wl_raft_known_names - add the names of the replicas that may lead to the group
 * @names: list of strings
 */
void wl_raft_known_names(const wl_raft_t *raft, wl_list_t *names)
{
	for (size_t i = 0; i < raft->known_count; i++)
		if (!wl_strings_have(names, wl_buf_str(&raft->known[i].name)))
			wl_strings_add(names, wl_buf_str(&raft->known[i].name));
}

static void members_propose(wl_raft_t *raft, uint64_t now_ns, wl_raft_members_t *members)
{
	wl_buf_t data = {0};

	wl_record_pack(&wl_raft_members_schema, members, &data);
	wl_raft_propose(raft, now_ns, WL_RAFT_MEMBERS, wl_buf_str(&data), 0);
	wl_buf_free(&data);
	wl_record_free(&wl_raft_members_schema, members);
}

/* The present members, without the learners of a name and without one id. */
static void members_without(const wl_raft_t *raft, wl_str_t name, uint64_t id,
			    wl_raft_members_t *members)
{
	*members = (wl_raft_members_t){.group = raft->members.group};
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_member_t *member = wl_raft_member_at(&raft->members, i);

		if (member->id == id)
			continue;
		if (!member->voter && wl_str_equal(wl_buf_str(&member->name), name))
			continue;
		wl_record_copy(&wl_raft_member_schema,
			       wl_list_add(&wl_raft_member_schema, &members->members), member);
	}
}

static void members_admit(wl_raft_t *raft, uint64_t now_ns, wl_raft_known_t *known)
{
	wl_raft_members_t members;
	wl_raft_member_t *member;

	members_without(raft, wl_buf_str(&known->name), 0, &members);
	member = wl_list_add(&wl_raft_member_schema, &members.members);
	member->id = known->probe.id;
	wl_buf_set(&member->name, wl_buf_str(&known->name));
	known->replace = false;
	members_propose(raft, now_ns, &members);
}

static bool is_reachable(const wl_raft_t *raft, const wl_raft_peer_t *peer, uint64_t now_ns)
{
	return peer->id == raft->id ||
	       now_ns - peer->last_answer_ns < REACHABLE_HEARTBEATS * raft->heartbeat_ns;
}

/*
 * A voter that is lost just as it enters would count towards a majority that
 * cannot be reached any more, so it enters only while that majority is_reachable.
 */
static bool may_promote(const wl_raft_t *raft, const wl_raft_peer_t *learner, uint64_t now_ns)
{
	size_t answering = 0;

	if (learner->match < raft->members_index || !is_reachable(raft, learner, now_ns))
		return false;
	for (size_t i = 0; i < raft->members.members.count; i++)
		answering += wl_raft_member_at(&raft->members, i)->voter &&
			     is_reachable(raft, &raft->peers[i], now_ns);
	return answering + 1 > (wl_raft_voters(raft) + 1) / 2;
}

static bool is_lost(const wl_raft_t *raft, const wl_raft_peer_t *peer, uint64_t now_ns)
{
	return peer->id != raft->id && now_ns - peer->last_answer_ns >= raft->replace_ns;
}

/* A voter that has been silent for too long, or NULL. */
static const wl_raft_member_t *lost_voter(const wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (wl_raft_member_at(&raft->members, i)->voter &&
		    is_lost(raft, &raft->peers[i], now_ns))
			return wl_raft_member_at(&raft->members, i);
	return NULL;
}

static bool name_votes(const wl_raft_t *raft, wl_str_t name)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_member_t *member = wl_raft_member_at(&raft->members, i);

		if (member->voter && wl_str_equal(wl_buf_str(&member->name), name))
			return true;
	}
	return false;
}

/* Whether one more may vote: there is a place, it replaces a namesake, or one has gone. */
static bool voter_needed(const wl_raft_t *raft, const wl_raft_member_t *learner, uint64_t now_ns)
{
	size_t voters = wl_raft_voters(raft);

	if (raft->max_voters == 0 || voters < raft->max_voters)
		return true;
	if (name_votes(raft, wl_buf_str(&learner->name)))
		return true;
	return voters == raft->max_voters && lost_voter(raft, now_ns);
}

static bool promote_learner(wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		wl_raft_members_t members;

		if (wl_raft_member_at(&raft->members, i)->voter ||
		    !may_promote(raft, &raft->peers[i], now_ns) ||
		    !voter_needed(raft, wl_raft_member_at(&raft->members, i), now_ns))
			continue;
		wl_record_copy(&wl_raft_members_schema, &members, &raft->members);
		wl_raft_member_at(&members, i)->voter = true;
		members_propose(raft, now_ns, &members);
		return true;
	}
	return false;
}

/* Members are in the order in which they came: of two voters of a name the first is the lost one.
 */
static bool remove_replaced(wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_member_t *old = wl_raft_member_at(&raft->members, i);

		for (size_t k = i + 1; k < raft->members.members.count; k++) {
			const wl_raft_member_t *new = wl_raft_member_at(&raft->members, k);
			wl_raft_members_t members;

			if (!new->voter || old->id == raft->id ||
			    !wl_str_equal(wl_buf_str(&old->name), wl_buf_str(&new->name)))
				continue;
			members_without(raft, wl_buf_str(&old->name), old->id, &members);
			members_propose(raft, now_ns, &members);
			return true;
		}
	}
	return false;
}

/* With one voter more than are wanted, a silent one leaves. */
static bool remove_lost(wl_raft_t *raft, uint64_t now_ns)
{
	const wl_raft_member_t *lost = lost_voter(raft, now_ns);
	wl_raft_members_t members;

	if (raft->max_voters == 0 || wl_raft_voters(raft) <= raft->max_voters || !lost)
		return false;
	members_without(raft, (wl_str_t){0}, lost->id, &members);
	members_propose(raft, now_ns, &members);
	return true;
}

/* A learner that has gone for good would keep its place from the next newcomer. */
static bool remove_lost_learner(wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; raft->max_voters && i < raft->members.members.count; i++) {
		const wl_raft_member_t *member = wl_raft_member_at(&raft->members, i);
		wl_raft_members_t members;

		if (member->voter || !is_lost(raft, &raft->peers[i], now_ns))
			continue;
		members_without(raft, (wl_str_t){0}, member->id, &members);
		members_propose(raft, now_ns, &members);
		return true;
	}
	return false;
}

/* Whether every member of the name has been silent, so that the newcomer takes its place. */
static bool name_is_lost(const wl_raft_t *raft, wl_str_t name, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (wl_str_equal(wl_buf_str(&wl_raft_member_at(&raft->members, i)->name), name) &&
		    !is_lost(raft, &raft->peers[i], now_ns))
			return false;
	return true;
}

/* A replica that was removed while it was away holds the group's log and may come back. */
static bool may_admit(const wl_raft_t *raft, const wl_raft_known_t *known)
{
	if (raft->max_voters && raft->members.members.count >= MAX_MEMBERS)
		return false;
	return known->probe.blank || (raft->max_voters && known->probe.id);
}

static bool admit_newcomer(wl_raft_t *raft, uint64_t now_ns)
{
	uint64_t fresh_ns = KNOWN_FRESH_ELECTIONS * raft->election_ns;

	for (size_t i = 0; i < raft->known_count; i++) {
		wl_raft_known_t *known = &raft->known[i];

		if (!may_admit(raft, known) || !known->probe.received_ns ||
		    now_ns - known->probe.received_ns > fresh_ns ||
		    wl_raft_peer_find(raft, known->probe.id) ||
		    wl_str_equal(wl_buf_str(&known->name), wl_buf_str(&raft->name)))
			continue;
		if (!known->replace && !name_is_lost(raft, wl_buf_str(&known->name), now_ns))
			continue;
		members_admit(raft, now_ns, known);
		return true;
	}
	return false;
}

/*
 * wl_raft_members_tick - leader: take the next step of a replacement, if any is due
 */
void wl_raft_members_tick(wl_raft_t *raft, uint64_t now_ns)
{
	if (raft->role != WL_RAFT_LEADER || raft->hand_over_to || !raft->leadership_reported ||
	    raft->members_index > raft->commit)
		return;
	if (remove_replaced(raft, now_ns) || remove_lost(raft, now_ns) ||
	    remove_lost_learner(raft, now_ns))
		return;
	if (promote_learner(raft, now_ns))
		return;
	admit_newcomer(raft, now_ns);
}

/*
 * wl_raft_replace - an operator says that the member of a name is lost for good
 */
void wl_raft_replace(wl_raft_t *raft, wl_str_t name)
{
	wl_raft_known_t *known = wl_raft_known_find(raft, name);

	if (known)
		known->replace = true;
}

/*
 * wl_raft_members_json - add the members as a JSON array, for operators
 */
void wl_raft_members_json(const wl_raft_t *raft, wl_buf_t *out)
{
	wl_buf_append(out, WL_STR("["));
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_member_t *member = wl_raft_member_at(&raft->members, i);
		const wl_raft_peer_t *peer = &raft->peers[i];
		bool own = member->id == raft->id;

		wl_buf_printf(out, "%s{\"name\":\"" WL_STR_FMT "\",\"id\":\"%016llx\"",
			      i ? "," : "", WL_STR_ARG(member->name),
			      (unsigned long long)member->id);
		wl_buf_printf(out, ",\"voter\":%s,\"leader\":%s,\"synced\":%llu}",
			      member->voter ? "true" : "false",
			      member->id == raft->leader ? "true" : "false",
			      (unsigned long long)(own ? raft->synced_index : peer->match));
	}
	wl_buf_append(out, WL_STR("]"));
}
