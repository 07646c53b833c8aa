/*
 * Membership, by store id.
 *
 * The membership changes in single steps; each is a log entry that takes effect
 * when it is appended.  A lost replica is replaced in three changes: the new
 * replica is added as a learner, becomes a voter once it has synced the log up to
 * the entry that added it, and then the lost id is removed.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>

#define KNOWN_FRESH_ELECTIONS 2	    /* election timeouts; a new replica's probe must be as recent */
#define MAX_MEMBERS	      9	    /* voters and learners; further replicas wait */
#define MAX_KNOWN	      32    /* limit of replicas kept by name */
#define KNOWN_LIFE_MS	      60000 /* a replica that was not heard of for so long is forgotten */
#define REACHABLE_HEARTBEATS  2 /* heartbeat intervals within which a reachable member answers */

/*
 * wl_raft_member_at - the member at a position of a list
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
 * wl_raft_members_set - put a membership in effect
 * @members: copied
 * @index: of its entry, or of the snapshot that contains it
 */
void wl_raft_members_set(wl_raft_t *raft, const wl_raft_members_t *members, uint64_t index,
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
 * wl_raft_members_before - the latest membership below an index
 * @end: entries from this index on are skipped
 * @members: receives a copy, to be freed by the caller
 * @index: receives the index of its entry
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
 * wl_raft_peer_find - find the state of a member, the own one included
 *
 * Return: NULL if the id is not a member.
 */
wl_raft_peer_t *wl_raft_peer_find(const wl_raft_t *raft, uint64_t id)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (raft->peers[i].id == id)
			return &raft->peers[i];
	return NULL;
}

/*
 * wl_raft_peer_name - daemon name of a member
 */
wl_str_t wl_raft_peer_name(const wl_raft_t *raft, const wl_raft_peer_t *peer)
{
	return wl_buf_str(&wl_raft_member_at(&raft->members, (size_t)(peer - raft->peers))->name);
}

/*
 * wl_raft_is_voter - whether this replica is a voter
 */
bool wl_raft_is_voter(const wl_raft_t *raft)
{
	const wl_raft_peer_t *own = wl_raft_peer_find(raft, raft->id);

	return own && wl_raft_member_at(&raft->members, (size_t)(own - raft->peers))->voter;
}

/*
 * wl_raft_voter_count - count the voters
 */
size_t wl_raft_voter_count(const wl_raft_t *raft)
{
	size_t voters = 0;

	for (size_t i = 0; i < raft->members.members.count; i++)
		voters += wl_raft_member_at(&raft->members, i)->voter;
	return voters;
}

/*
 * wl_raft_quorum_granted - whether a majority of the voters granted its vote or pre-vote
 */
bool wl_raft_quorum_granted(const wl_raft_t *raft)
{
	size_t granted = 0;

	for (size_t i = 0; i < raft->members.members.count; i++)
		granted += wl_raft_member_at(&raft->members, i)->voter && raft->peers[i].granted;
	return granted > wl_raft_voter_count(raft) / 2;
}

/*
 * wl_raft_quorum_value - the largest value that a majority of the voters reaches
 * @value: returns the value of one member
 *
 * Return: zero if there are no voters.
 */
uint64_t wl_raft_quorum_value(const wl_raft_t *raft,
			      uint64_t (*value)(const wl_raft_t *raft, const wl_raft_peer_t *peer))
{
	size_t quorum = wl_raft_voter_count(raft) / 2 + 1;
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
 * wl_raft_known_find - find a known replica by name
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

static void known_remove(wl_raft_t *raft, wl_raft_known_t *known)
{
	wl_buf_free(&known->name);
	*known = raft->known[--raft->known_count];
}

static bool is_member_name(const wl_raft_t *raft, wl_str_t name)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (wl_str_equal(wl_buf_str(&wl_raft_member_at(&raft->members, i)->name), name))
			return true;
	return false;
}

/*
 * Whether a replica may be forgotten after so long without a word of it. The group is found again
 * through the seeds and the members; a replica that probes introduces itself.
 */
static bool is_forgettable(const wl_raft_t *raft, const wl_raft_known_t *known, uint64_t now_ns,
			   uint64_t silent_ns)
{
	return !known->seed && now_ns - known->heard_ns > silent_ns &&
	       !is_member_name(raft, wl_buf_str(&known->name));
}

static uint64_t fresh_ns(const wl_raft_t *raft)
{
	return KNOWN_FRESH_ELECTIONS * raft->election_ns;
}

/* Forgets the replica that was heard of longest ago. Return: whether there was one to forget. */
static bool known_displace(wl_raft_t *raft, uint64_t now_ns)
{
	wl_raft_known_t *longest = NULL;

	for (size_t i = 0; i < raft->known_count; i++) {
		wl_raft_known_t *known = &raft->known[i];

		if (is_forgettable(raft, known, now_ns, fresh_ns(raft)) &&
		    (!longest || known->heard_ns < longest->heard_ns))
			longest = known;
	}
	if (longest)
		known_remove(raft, longest);
	return longest != NULL;
}

/*
 * wl_raft_known_expire - forget the replicas that were not heard of for KNOWN_LIFE_MS
 */
void wl_raft_known_expire(wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->known_count;) {
		wl_raft_known_t *known = &raft->known[i];

		if (is_forgettable(raft, known, now_ns, KNOWN_LIFE_MS * WL_NS_PER_MS))
			known_remove(raft, known);
		else
			i++;
	}
}

/*
 * wl_raft_known_add - add a replica to the known ones
 *
 * At MAX_KNOWN it takes the place of the one that was heard of longest ago.
 *
 * Return: the replica, or NULL if it is not known and either only replicas named in the
 * settings are admitted (max_voters is 0) or none of the known ones may be forgotten.
 */
wl_raft_known_t *wl_raft_known_add(wl_raft_t *raft, uint64_t now_ns, wl_str_t name)
{
	wl_raft_known_t *known = wl_raft_known_find(raft, name);

	if (known || raft->max_voters == 0)
		return known;
	if (raft->known_count >= MAX_KNOWN && !known_displace(raft, now_ns)) {
		raft->probes_ignored++;
		return NULL;
	}
	known = known_new(raft, name);
	known->heard_ns = now_ns;
	return known;
}

/* Removes replicas that the settings no longer name and that have not probed. */
static void known_prune(wl_raft_t *raft)
{
	for (size_t i = 0; i < raft->known_count;) {
		wl_raft_known_t *known = &raft->known[i];

		if (known->seed || known->probe.received_ns) {
			i++;
			continue;
		}
		known_remove(raft, known);
	}
}

/*
 * wl_raft_seeds_set - replace the replicas that the settings name
 * @names: the own name is ignored
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
 * wl_raft_member_names - append the names of all members, learners included
 * @names: list of strings
 */
void wl_raft_member_names(const wl_raft_t *raft, wl_list_t *names)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		wl_str_t name = wl_buf_str(&wl_raft_member_at(&raft->members, i)->name);

		if (!wl_strings_contain(names, name))
			wl_strings_add(names, name);
	}
}

/*
 * wl_raft_known_names - append the names of the known replicas, through which a group may be found
 * @names: list of strings
 */
void wl_raft_known_names(const wl_raft_t *raft, wl_list_t *names)
{
	for (size_t i = 0; i < raft->known_count; i++)
		if (!wl_strings_contain(names, wl_buf_str(&raft->known[i].name)))
			wl_strings_add(names, wl_buf_str(&raft->known[i].name));
}

/*
 * wl_raft_known_count - number of replicas known by name
 */
size_t wl_raft_known_count(const wl_raft_t *raft)
{
	return raft->known_count;
}

/*
 * wl_raft_probes_ignored - how often a replica was ignored because MAX_KNOWN others are known
 */
uint64_t wl_raft_probes_ignored(const wl_raft_t *raft)
{
	return raft->probes_ignored;
}

static void members_propose(wl_raft_t *raft, uint64_t now_ns, wl_raft_members_t *members)
{
	wl_buf_t data = {0};

	wl_record_pack(&wl_raft_members_schema, members, &data);
	wl_raft_propose(raft, now_ns, WL_RAFT_MEMBERS, wl_buf_str(&data), 0);
	wl_buf_free(&data);
	wl_record_free(&wl_raft_members_schema, members);
}

/* The current members, without the learners of a name and without one id. */
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
 * A voter that fails right after its promotion would enlarge the majority without
 * helping to reach it, so a learner is promoted only while it is reachable and a majority
 * of the enlarged set of voters is.
 */
static bool may_promote(const wl_raft_t *raft, const wl_raft_peer_t *learner, uint64_t now_ns)
{
	size_t answering = 0;

	if (learner->match < raft->members_index || !is_reachable(raft, learner, now_ns))
		return false;
	for (size_t i = 0; i < raft->members.members.count; i++)
		answering += wl_raft_member_at(&raft->members, i)->voter &&
			     is_reachable(raft, &raft->peers[i], now_ns);
	return answering + 1 > (wl_raft_voter_count(raft) + 1) / 2;
}

static bool is_lost(const wl_raft_t *raft, const wl_raft_peer_t *peer, uint64_t now_ns)
{
	return peer->id != raft->id && now_ns - peer->last_answer_ns >= raft->replace_ns;
}

/* Returns a voter that has not answered for the replacement time, or NULL. */
static const wl_raft_member_t *lost_voter(const wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (wl_raft_member_at(&raft->members, i)->voter &&
		    is_lost(raft, &raft->peers[i], now_ns))
			return wl_raft_member_at(&raft->members, i);
	return NULL;
}

static bool name_has_voter(const wl_raft_t *raft, wl_str_t name)
{
	for (size_t i = 0; i < raft->members.members.count; i++) {
		const wl_raft_member_t *member = wl_raft_member_at(&raft->members, i);

		if (member->voter && wl_str_equal(wl_buf_str(&member->name), name))
			return true;
	}
	return false;
}

/*
 * A learner may become a voter if the limit is not reached, if it replaces a voter
 * of its name, or if a voter is lost.
 */
static bool voter_needed(const wl_raft_t *raft, const wl_raft_member_t *learner, uint64_t now_ns)
{
	size_t voters = wl_raft_voter_count(raft);

	if (raft->max_voters == 0 || voters < raft->max_voters)
		return true;
	if (name_has_voter(raft, wl_buf_str(&learner->name)))
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

/*
 * Removes a replaced member.  Members are in the order of their admission: of two members of
 * one name the earlier one is the replaced one, once the later one is a voter.
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

/* Removes a lost voter when there are more voters than the limit. */
static bool remove_lost(wl_raft_t *raft, uint64_t now_ns)
{
	const wl_raft_member_t *lost = lost_voter(raft, now_ns);
	wl_raft_members_t members;

	if (raft->max_voters == 0 || wl_raft_voter_count(raft) <= raft->max_voters || !lost)
		return false;
	members_without(raft, (wl_str_t){0}, lost->id, &members);
	members_propose(raft, now_ns, &members);
	return true;
}

/* Removes a lost learner, which would otherwise occupy one of the MAX_MEMBERS places. */
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

/* Whether all members of this name are lost, so that a new replica may replace them. */
static bool name_is_lost(const wl_raft_t *raft, wl_str_t name, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->members.members.count; i++)
		if (wl_str_equal(wl_buf_str(&wl_raft_member_at(&raft->members, i)->name), name) &&
		    !is_lost(raft, &raft->peers[i], now_ns))
			return false;
	return true;
}

/*
 * Whether a probing replica may be added: one without stored state, or, if max_voters is set,
 * any other too.  A replica that was removed while unreachable still has the group's log and may
 * join again.
 */
static bool may_admit(const wl_raft_t *raft, const wl_raft_known_t *known)
{
	if (raft->max_voters && raft->members.members.count >= MAX_MEMBERS)
		return false;
	return known->probe.blank || (raft->max_voters && known->probe.id);
}

static bool admit_newcomer(wl_raft_t *raft, uint64_t now_ns)
{
	for (size_t i = 0; i < raft->known_count; i++) {
		wl_raft_known_t *known = &raft->known[i];

		if (!may_admit(raft, known) || !known->probe.received_ns ||
		    now_ns - known->probe.received_ns > fresh_ns(raft) ||
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
 * wl_raft_members_tick - leader: propose the next membership change, if one is due
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
 * wl_raft_replace - let a new replica replace the member of a name, on an operator's request
 * @name: of the member; no effect if no replica of this name is known
 *
 * The leader then admits a replica of this name without waiting until the member counts as lost.
 */
void wl_raft_replace(wl_raft_t *raft, wl_str_t name)
{
	wl_raft_known_t *known = wl_raft_known_find(raft, name);

	if (known)
		known->replace = true;
}

/*
 * wl_raft_members_json - append the members as a JSON array, for operators
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
