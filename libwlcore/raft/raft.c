/*
 * Replicated log.
 *
 * wl_raft_step() handles one event and appends the resulting actions.  Messages
 * that depend on stored state are deferred until a PERSISTED event reports that
 * this state is synced.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/preset.h>
#include <libwlbase/units.h>

#define ELECTION_MS_DEFAULT	     1000
#define HEARTBEAT_MS_DEFAULT	     150
#define MAX_APPEND_BYTES_DEFAULT     (256UL * 1024)
#define SNAPSHOT_CHUNK_BYTES_DEFAULT (256UL * 1024)
#define COMPACT_ENTRIES_DEFAULT	     10000
#define REPLACE_MS_DEFAULT	     5000

static bool saved_check(const wl_raft_saved_t *saved, wl_err_t *err)
{
	const wl_raft_entry_t *entries = saved->entries.items;

	if (saved->members.group == 0 &&
	    (saved->entries.count || saved->snapshot_index || saved->term))
		return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
				  "log: entries or a term are stored, but no group record");
	for (size_t i = 0; i < saved->entries.count; i++) {
		unsigned long long expected = saved->snapshot_index + 1 + i;

		if (entries[i].index != expected)
			return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN,
					  "log: found entry %llu, expected entry %llu",
					  (unsigned long long)entries[i].index, expected);
	}
	return true;
}

/* Where the settings name only seeds, replicas that are not seeds never found a group. */
static bool own_name_listed(const wl_raft_options_t *options)
{
	for (size_t i = 0; i < options->peer_count; i++)
		if (wl_str_equal(options->peers[i], options->name))
			return true;
	return options->max_voters == 0;
}

static void options_apply(wl_raft_t *raft, const wl_raft_options_t *options)
{
	raft->id = options->id;
	wl_buf_set(&raft->name, options->name);
	raft->election_ns = wl_preset(options->election_ms, ELECTION_MS_DEFAULT) * WL_NS_PER_MS;
	raft->heartbeat_ns = wl_preset(options->heartbeat_ms, HEARTBEAT_MS_DEFAULT) * WL_NS_PER_MS;
	raft->max_append_bytes = wl_preset(options->max_append_bytes, MAX_APPEND_BYTES_DEFAULT);
	raft->snapshot_chunk_bytes =
		wl_preset(options->snapshot_chunk_bytes, SNAPSHOT_CHUNK_BYTES_DEFAULT);
	raft->compact_entries = wl_preset(options->compact_entries, COMPACT_ENTRIES_DEFAULT);
	raft->max_voters = options->max_voters;
	raft->replace_ns = wl_preset(options->replace_ms, REPLACE_MS_DEFAULT) * WL_NS_PER_MS;
	raft->may_found = !options->never_found && own_name_listed(options);
	wl_raft_seeds_set(raft, options->peers, options->peer_count);
}

static void saved_adopt(wl_raft_t *raft, wl_raft_saved_t *saved, uint64_t now_ns)
{
	wl_raft_members_t members;
	uint64_t index;

	raft->term = saved->term;
	raft->vote = saved->vote;
	raft->base = saved->members;
	raft->snapshot_index = saved->snapshot_index;
	raft->snapshot_term = saved->snapshot_term;
	raft->snapshot = saved->snapshot;
	raft->log = saved->entries;
	*saved = (wl_raft_saved_t){0};

	raft->commit = raft->snapshot_index;
	raft->synced_index = wl_raft_last_index(raft);
	raft->issued_index = raft->synced_index;
	raft->unsaved_from = raft->synced_index + 1;
	wl_raft_members_before(raft, raft->unsaved_from, &members, &index);
	wl_raft_members_set(raft, &members, index, now_ns);
	wl_record_free(&wl_raft_members_schema, &members);
}

/*
 * wl_raft_new - create a replica
 * @options: copied
 * @saved: stored state; ownership is taken
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_BAD_INPUT for a missing id or name, WL_E_DAMAGED for a log with a gap
 *
 * Return: the replica, to be freed by wl_raft_free(), or NULL.
 */
wl_raft_t *wl_raft_new(const wl_raft_options_t *options, wl_raft_saved_t *saved, uint64_t now_ns,
		       wl_err_t *err)
{
	wl_raft_t *raft;

	if (options->id == 0 || options->name.len == 0) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			   "replica: store id and daemon name must be set");
		return NULL;
	}
	if (!saved_check(saved, err))
		return NULL;

	raft = wl_alloc(sizeof(*raft));
	options_apply(raft, options);
	wl_rng_init(&raft->rng, options->seed ^ now_ns, options->id);
	saved_adopt(raft, saved, now_ns);
	raft->probe_round = wl_rng_next(&raft->rng);
	raft->probe_at_ns = now_ns;
	wl_raft_reset_election_timer(raft, now_ns, raft->election_ns);
	if (raft->members.group)
		raft->no_vote_until_ns = now_ns + raft->election_ns;
	if (wl_raft_is_voter(raft) && wl_raft_voter_count(raft) == 1)
		raft->election_at_ns = now_ns;
	return raft;
}

/*
 * wl_raft_free - release a replica
 */
void wl_raft_free(wl_raft_t *raft)
{
	if (!raft)
		return;
	for (size_t i = 0; i < raft->deferred_count; i++) {
		wl_buf_free(&raft->deferred[i].name);
		wl_record_free(&wl_raft_msg_schema, &raft->deferred[i].msg);
	}
	for (size_t i = 0; i < raft->known_count; i++)
		wl_buf_free(&raft->known[i].name);
	free(raft->deferred);
	free(raft->known);
	free(raft->peers);
	wl_buf_free(&raft->name);
	wl_buf_free(&raft->snapshot);
	wl_buf_free(&raft->incoming);
	wl_record_free(&wl_raft_members_schema, &raft->base);
	wl_record_free(&wl_raft_members_schema, &raft->members);
	wl_list_free(&wl_raft_entry_schema, &raft->log);
	free(raft);
}

typedef void (*msg_handler_t)(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);

static const struct {
	msg_handler_t handle;
	bool any_group; /* handled even if the sender's group differs or is unknown */
	bool blank;	/* also handled by a replica without a group */
} handlers[WL_RAFT_MSG_KINDS] = {
	[WL_RAFT_PROBE] = {wl_raft_on_probe, true, true},
	[WL_RAFT_PROBED] = {wl_raft_on_probed, true, true},
	[WL_RAFT_FOUND] = {wl_raft_on_found, true, true},
	[WL_RAFT_FOUNDED] = {wl_raft_on_founded, false, false},
	[WL_RAFT_PREVOTE] = {wl_raft_on_prevote, false, false},
	[WL_RAFT_PREVOTED] = {wl_raft_on_prevoted, false, false},
	[WL_RAFT_VOTE] = {wl_raft_on_vote, false, false},
	[WL_RAFT_VOTED] = {wl_raft_on_voted, false, false},
	[WL_RAFT_APPEND] = {wl_raft_on_append, false, true},
	[WL_RAFT_APPENDED] = {wl_raft_on_appended, false, false},
	[WL_RAFT_SNAPSHOT] = {wl_raft_on_snapshot, false, true},
	[WL_RAFT_SNAPSHOT_ANSWER] = {wl_raft_on_snapshot_answer, false, false},
	[WL_RAFT_TIMEOUT_NOW] = {wl_raft_on_timeout_now, false, false},
};

/* A message with another receiver id was meant for a lost replica of the same name. */
static void on_msg(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg)
{
	bool blank = raft->members.group == 0;

	if (msg->kind >= WL_RAFT_MSG_KINDS || (msg->to && msg->to != raft->id) ||
	    msg->from == raft->id)
		return;
	if (blank && !handlers[msg->kind].blank)
		return;
	if (!blank && !handlers[msg->kind].any_group && msg->group != raft->members.group)
		return;
	handlers[msg->kind].handle(raft, now_ns, name, msg);
}

static void on_tick(wl_raft_t *raft, uint64_t now_ns)
{
	wl_raft_found_tick(raft, now_ns);
	wl_raft_election_tick(raft, now_ns);
	wl_raft_leader_tick(raft, now_ns);
	wl_raft_members_tick(raft, now_ns);
	wl_raft_request_snapshot(raft, now_ns);
}

static void on_persisted(wl_raft_t *raft, uint64_t now_ns, uint64_t ticket)
{
	if (!wl_raft_persist_done(raft, ticket))
		return;
	wl_raft_election_tick(raft, now_ns);
	wl_raft_election_synced(raft, now_ns);
	wl_raft_advance_commit(raft);
}

static void restore_stored_snapshot(wl_raft_t *raft)
{
	wl_raft_action_t *action;

	raft->started = true;
	if (raft->snapshot_index == 0)
		return;
	action = wl_raft_out_add(raft, WL_RAFT_DO_RESTORE);
	action->index = raft->snapshot_index;
	wl_buf_set(&action->data, wl_buf_str(&raft->snapshot));
}

/*
 * wl_raft_step - handle one event
 * @now_ns: monotonic time, nanoseconds; never less than in an earlier call
 * @event: the content of its message may be moved out
 * @out: receives the actions, to be carried out in order
 */
void wl_raft_step(wl_raft_t *raft, uint64_t now_ns, const wl_raft_event_t *event,
		  wl_raft_out_t *out)
{
	raft->out = out;
	if (!raft->started)
		restore_stored_snapshot(raft);
	switch (event->kind) {
	case WL_RAFT_EV_TICK:
		on_tick(raft, now_ns);
		break;
	case WL_RAFT_EV_MSG:
		on_msg(raft, now_ns, event->name, event->msg);
		break;
	case WL_RAFT_EV_PROPOSE:
		wl_raft_propose(raft, now_ns, WL_RAFT_DATA, event->data, event->tag);
		break;
	case WL_RAFT_EV_PERSISTED:
		on_persisted(raft, now_ns, event->ticket);
		break;
	case WL_RAFT_EV_SNAPSHOT:
		wl_raft_take_snapshot(raft, event->index, event->data);
		break;
	case WL_RAFT_EV_REPLACE:
		wl_raft_replace(raft, event->name);
		break;
	case WL_RAFT_EV_HAND_OVER:
		wl_raft_hand_over(raft, now_ns);
		break;
	}
	wl_raft_replicate(raft, now_ns);
	wl_raft_persist_flush(raft);
	raft->out = NULL;
}

/*
 * wl_raft_is_leader - whether this replica leads and the first entry of its term is applied
 */
bool wl_raft_is_leader(const wl_raft_t *raft)
{
	return raft->role == WL_RAFT_LEADER && raft->leadership_reported;
}

/*
 * wl_raft_role_name - name of the current role, for logs
 */
const char *wl_raft_role_name(const wl_raft_t *raft)
{
	static const char *const names[] = {
		[WL_RAFT_FOLLOWER] = "follower",
		[WL_RAFT_PRECANDIDATE] = "precandidate",
		[WL_RAFT_CANDIDATE] = "candidate",
		[WL_RAFT_LEADER] = "leader",
	};

	return names[raft->role];
}

/*
 * wl_raft_term - the current term
 */
uint64_t wl_raft_term(const wl_raft_t *raft)
{
	return raft->term;
}

/*
 * wl_raft_group - id of the group, zero while none is known
 */
uint64_t wl_raft_group(const wl_raft_t *raft)
{
	return raft->members.group;
}

/*
 * wl_raft_commit_index - index of the last committed entry
 */
uint64_t wl_raft_commit_index(const wl_raft_t *raft)
{
	return raft->commit;
}

/*
 * wl_raft_leader_reachable - whether this replica follows a leader whose last message is
 * younger than the minimum election timeout
 */
bool wl_raft_leader_reachable(const wl_raft_t *raft, uint64_t now_ns)
{
	return raft->role == WL_RAFT_FOLLOWER && raft->leader != 0 &&
	       now_ns < raft->leader_contact_ns + raft->election_ns;
}

/*
 * wl_raft_leader_name - daemon name of the leader known to this replica
 *
 * Return: an empty string if none is known; valid until the next step.
 */
wl_str_t wl_raft_leader_name(const wl_raft_t *raft)
{
	const wl_raft_peer_t *peer = raft->leader ? wl_raft_peer_find(raft, raft->leader) : NULL;

	return peer ? wl_raft_peer_name(raft, peer) : (wl_str_t){0};
}
