#ifndef WL_RAFT_INTERNAL_H
#define WL_RAFT_INTERNAL_H

#include <libwlbase/rng.h>
#include <libwlcore/raft/raft.h>

/* Private to the files of the replicated log. */

typedef enum wl_raft_role {
	WL_RAFT_FOLLOWER,
	WL_RAFT_PRECANDIDATE, /* runs a pre-vote: asks whether it could win an election */
	WL_RAFT_CANDIDATE,
	WL_RAFT_LEADER,
} wl_raft_role_t;

/* How a leader replicates to one member. */
typedef enum wl_raft_progress {
	WL_RAFT_PROGRESS_PROBE,	   /* common prefix unknown: one append message in flight */
	WL_RAFT_PROGRESS_STREAM,   /* append messages are pipelined */
	WL_RAFT_PROGRESS_SNAPSHOT, /* the entries it needs are compacted: a snapshot is sent */
} wl_raft_progress_t;

/* State of a member; it has the same position as that member in the members list. */
typedef struct wl_raft_peer {
	uint64_t id;
	wl_raft_progress_t progress;
	uint64_t match;		  /* last entry synced there that matches the log here */
	uint64_t next;		  /* index of the next entry to send */
	uint64_t appends_sent;	  /* append messages sent so far */
	uint64_t newest_answered; /* number of the newest append message that it answered */
	uint64_t last_answer_ns;  /* time of the last answer of any kind */
	uint64_t acked_send_ns;	  /* send time of the newest append message that it answered */
	uint64_t snapshot_index;
	uint64_t snapshot_offset;
	uint64_t snapshot_sent_ns;
	bool granted; /* it granted its vote or pre-vote */
} wl_raft_peer_t;

/*
 * Identity that a replica sent in a probe or in its answer.  A blank replica has no stored
 * state: it belongs to no group.
 */
typedef struct wl_raft_contact {
	uint64_t id;
	bool blank;
	uint64_t received_ns; /* 0: none received */
} wl_raft_contact_t;

/*
 * A known replica: named in the settings, or discovered as the sender of a probe.  It need not be
 * a member of the group; the leader admits members from the known replicas.
 */
typedef struct wl_raft_known {
	wl_buf_t name;
	bool seed;		  /* named in the settings */
	wl_raft_contact_t probe;  /* its latest probe */
	wl_raft_contact_t answer; /* its latest answer to a probe sent since this process started */
	uint64_t heard_ns;	  /* newest of both; when it became known, until there is one */
	bool replace; /* an operator requested the replacement of the member of this name */
} wl_raft_known_t;

/* A message that is sent once a PERSIST is synced. */
typedef struct wl_raft_deferred_msg {
	uint64_t ticket;
	wl_buf_t name;
	wl_raft_msg_t msg;
} wl_raft_deferred_msg_t;

struct wl_raft {
	uint64_t id;
	wl_buf_t name;
	uint64_t election_ns;
	uint64_t heartbeat_ns;
	uint64_t max_append_bytes;
	uint64_t snapshot_chunk_bytes;
	uint64_t compact_entries;
	uint64_t max_voters; /* 0: all replicas that the settings name */
	uint64_t replace_ns;
	bool may_found; /* whether this replica may found a group */
	wl_rng_t rng;
	wl_raft_out_t *out; /* actions of the current step */

	/* Stored state; the fields under "Persistence" tell which part is not synced yet. */
	uint64_t term;
	uint64_t vote;
	wl_raft_members_t base; /* membership at the snapshot, else the founding record */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	wl_buf_t snapshot;
	wl_list_t log; /* wl_raft_entry_t from snapshot_index + 1 */

	/* Membership: the latest in the log, committed or not. */
	wl_raft_members_t members;
	uint64_t members_index;
	wl_raft_peer_t *peers; /* one for each member */

	/*
	 * Persistence: at most one PERSIST is in flight.  State is issued when it is part of
	 * a PERSIST, and synced when that PERSIST is on stable storage.
	 */
	uint64_t issued_ticket;
	uint64_t synced_ticket;
	uint64_t vote_ticket;  /* PERSIST that syncs the current term and vote */
	uint64_t group_ticket; /* PERSIST that syncs the founding record */
	uint64_t log_ticket;   /* PERSIST that syncs the current end of the log */
	bool vote_dirty;
	bool group_dirty;
	bool snapshot_dirty;
	uint64_t truncate_from; /* 0: none */
	uint64_t unsaved_from;	/* first entry that no PERSIST contains yet */
	uint64_t issued_index;	/* last entry of the PERSIST in flight */
	uint64_t synced_index;
	wl_raft_deferred_msg_t *deferred;
	size_t deferred_count;
	size_t deferred_capacity;

	/* Role. */
	wl_raft_role_t role;
	uint64_t leader; /* store id; 0: not known */
	uint64_t commit;
	uint64_t elected_commit; /* leader: commit when it was elected */
	uint64_t leader_contact_ns;
	/*
	 * Before this time no vote is granted: before its restart this replica may have
	 * answered an append message on which the leader's lease rests.
	 */
	uint64_t no_vote_until_ns;
	uint64_t election_at_ns;
	uint64_t campaign_ticket;
	bool transfer_campaign;	  /* candidate: the leader requested the election by a hand-over */
	bool started;		  /* the RESTORE action for the stored snapshot was emitted */
	bool leadership_reported; /* LEAD was emitted: an entry of the own term is committed */
	uint64_t heartbeat_at_ns;
	uint64_t hand_over_to; /* leadership transfer in progress: receiver's store id; 0: none */
	uint64_t hand_over_end_ns;
	bool lease_released; /* a hand-over began in this term: the lease is no longer used */
	bool snapshot_requested;

	/* Snapshot being received. */
	uint64_t incoming_from;
	uint64_t incoming_index;
	uint64_t incoming_term;
	wl_buf_t incoming;

	/* Founding and replacement. */
	wl_raft_known_t *known;
	size_t known_count;
	size_t known_capacity;
	uint64_t probes_ignored; /* for want of a place among the known replicas */
	uint64_t probe_at_ns;
	uint64_t probe_round;
};

/* out.c */
wl_raft_action_t *wl_raft_out_add(wl_raft_t *raft, wl_raft_action_kind_t kind);
void wl_raft_send(wl_raft_t *raft, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_send_after(wl_raft_t *raft, uint64_t ticket, wl_str_t name, wl_raft_msg_t *msg);

/* persist.c */
void wl_raft_persist_flush(wl_raft_t *raft);
bool wl_raft_persist_done(wl_raft_t *raft, uint64_t ticket);
void wl_raft_set_term(wl_raft_t *raft, uint64_t term, uint64_t vote);

/* log.c */
uint64_t wl_raft_last_index(const wl_raft_t *raft);
uint64_t wl_raft_last_term(const wl_raft_t *raft);
bool wl_raft_log_term(const wl_raft_t *raft, uint64_t index, uint64_t *term);
wl_raft_entry_t *wl_raft_log_at(const wl_raft_t *raft, uint64_t index);
uint64_t wl_raft_log_find_conflict(const wl_raft_t *raft, uint64_t index, uint64_t term);
void wl_raft_log_append(wl_raft_t *raft, wl_raft_entry_t *entry, uint64_t now_ns);
void wl_raft_log_truncate(wl_raft_t *raft, uint64_t from, uint64_t now_ns);
void wl_raft_log_compact(wl_raft_t *raft, uint64_t index, uint64_t term, wl_raft_members_t *members,
			 wl_buf_t *state);
void wl_raft_commit_to(wl_raft_t *raft, uint64_t index);

/* members.c */
wl_raft_member_t *wl_raft_member_at(const wl_raft_members_t *members, size_t i);
void wl_raft_members_set(wl_raft_t *raft, const wl_raft_members_t *members, uint64_t index,
			 uint64_t now_ns);
void wl_raft_members_before(const wl_raft_t *raft, uint64_t end, wl_raft_members_t *members,
			    uint64_t *index);
wl_raft_peer_t *wl_raft_peer_find(const wl_raft_t *raft, uint64_t id);
wl_str_t wl_raft_peer_name(const wl_raft_t *raft, const wl_raft_peer_t *peer);
bool wl_raft_is_voter(const wl_raft_t *raft);
size_t wl_raft_voter_count(const wl_raft_t *raft);
bool wl_raft_quorum_granted(const wl_raft_t *raft);
uint64_t wl_raft_quorum_value(const wl_raft_t *raft,
			      uint64_t (*value)(const wl_raft_t *raft, const wl_raft_peer_t *peer));
wl_raft_known_t *wl_raft_known_find(const wl_raft_t *raft, wl_str_t name);
wl_raft_known_t *wl_raft_known_add(wl_raft_t *raft, uint64_t now_ns, wl_str_t name);
void wl_raft_known_expire(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_members_tick(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_replace(wl_raft_t *raft, wl_str_t name);

/* found.c */
void wl_raft_found_tick(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_on_probe(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_probed(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_found(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_founded(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_join(wl_raft_t *raft, wl_raft_members_t *members, uint64_t now_ns);

/* election.c */
void wl_raft_become_follower(wl_raft_t *raft, uint64_t term, uint64_t leader, uint64_t now_ns);
void wl_raft_reset_election_timer(wl_raft_t *raft, uint64_t now_ns, uint64_t min_ns);
void wl_raft_election_tick(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_election_synced(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_on_prevote(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_prevoted(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_vote(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_voted(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_timeout_now(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);

/* replicate.c */
void wl_raft_become_leader(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_propose(wl_raft_t *raft, uint64_t now_ns, wl_raft_entry_kind_t kind, wl_str_t data,
		     uint64_t tag);
void wl_raft_replicate(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_leader_tick(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_advance_commit(wl_raft_t *raft);
void wl_raft_hand_over(wl_raft_t *raft, uint64_t now_ns);
wl_raft_peer_t *wl_raft_answer_sender(wl_raft_t *raft, uint64_t now_ns, const wl_raft_msg_t *msg);
void wl_raft_on_appended(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);

/* append.c */
void wl_raft_on_append(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);

/* snapshot.c */
void wl_raft_send_chunk(wl_raft_t *raft, uint64_t now_ns, wl_raft_peer_t *peer);
void wl_raft_request_snapshot(wl_raft_t *raft, uint64_t now_ns);
void wl_raft_take_snapshot(wl_raft_t *raft, uint64_t index, wl_str_t state);
void wl_raft_on_snapshot(wl_raft_t *raft, uint64_t now_ns, wl_str_t name, wl_raft_msg_t *msg);
void wl_raft_on_snapshot_answer(wl_raft_t *raft, uint64_t now_ns, wl_str_t name,
				wl_raft_msg_t *msg);

#endif
