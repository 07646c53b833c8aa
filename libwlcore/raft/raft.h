#ifndef WL_RAFT_H
#define WL_RAFT_H

#include <libwlbase/err.h>
#include <libwlcore/raft/msg.h>

/* Replicated log: elections, replication, snapshots and membership.  Pure. */

typedef struct wl_raft_options {
	uint64_t id;	       /* own store id */
	wl_str_t name;	       /* own daemon name */
	const wl_str_t *peers; /* names of the replicas in the settings */
	size_t peer_count;
	/*
	 * Zero: the settings name all replicas, own one included.  Else they name seeds, others
	 * join by themselves, and so many of the members vote.
	 */
	uint64_t max_voters;
	bool never_found;     /* a blank replica waits to be admitted to a group that exists */
	uint64_t replace_ms;  /* silence after which a member may be replaced; 0: default */
	uint64_t election_ms; /* least time without a leader before an election; 0: default */
	uint64_t heartbeat_ms;
	uint64_t max_append_bytes; /* of one append message */
	uint64_t snapshot_chunk_bytes;
	uint64_t compact_entries; /* log length at which a snapshot is asked for */
	uint64_t seed;
} wl_raft_options_t;

/* What the disk held at start; zero for a blank folder. */
typedef struct wl_raft_saved {
	uint64_t term;
	uint64_t vote;
	wl_raft_members_t members; /* as of the snapshot, or the founding record */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	wl_buf_t snapshot;
	wl_list_t entries; /* wl_raft_entry_t after the snapshot */
} wl_raft_saved_t;

typedef enum wl_raft_event_kind {
	WL_RAFT_EV_TICK,
	WL_RAFT_EV_MSG,
	WL_RAFT_EV_PROPOSE,
	WL_RAFT_EV_PERSISTED, /* a PERSIST action is synced; tickets come back in order */
	WL_RAFT_EV_SNAPSHOT,  /* the state at an index, for compaction */
	WL_RAFT_EV_REPLACE,   /* operator: let the lost replica of this name be replaced */
	WL_RAFT_EV_HAND_OVER, /* planned stop: give leadership away */
} wl_raft_event_kind_t;

typedef struct wl_raft_event {
	wl_raft_event_kind_t kind;
	wl_raft_msg_t *msg; /* MSG: may be taken from */
	wl_str_t data;	    /* PROPOSE, SNAPSHOT */
	uint64_t tag;	    /* PROPOSE */
	uint64_t ticket;    /* PERSISTED */
	uint64_t index;	    /* SNAPSHOT */
	wl_str_t name;	    /* MSG: sender's daemon name; REPLACE */
} wl_raft_event_t;

typedef enum wl_raft_action_kind {
	WL_RAFT_DO_SEND,
	WL_RAFT_DO_PERSIST,
	WL_RAFT_DO_COMMIT,  /* apply this entry; in order, each index once */
	WL_RAFT_DO_RESTORE, /* replace the state by this snapshot */
	WL_RAFT_DO_LEAD,   /* leadership of term begins, its first entry is committed and applied */
	WL_RAFT_DO_FOLLOW, /* leadership is over */
	WL_RAFT_DO_DROP,   /* a proposal's outcome is unknown, or not-run when never appended */
	WL_RAFT_DO_SNAPSHOT, /* the log is long: hand in a SNAPSHOT event of the applied state */
} wl_raft_action_kind_t;

/* Changes to stored state, made in this order and synced before PERSISTED. */
typedef struct wl_raft_persist {
	uint64_t ticket;
	bool has_vote;
	uint64_t term;
	uint64_t vote;
	bool has_members;	   /* founding record */
	wl_raft_members_t members; /* founding record, or membership at the snapshot */
	bool has_snapshot;	   /* replaces the log up to snapshot_index */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	wl_buf_t snapshot;
	uint64_t truncate_from; /* 0: none; else entries at this index and after are gone */
	wl_list_t entries;	/* wl_raft_entry_t, appended */
} wl_raft_persist_t;

typedef struct wl_raft_action {
	wl_raft_action_kind_t kind;
	wl_buf_t name;		   /* SEND: to this daemon */
	wl_raft_msg_t msg;	   /* SEND */
	wl_raft_persist_t persist; /* PERSIST */
	wl_raft_entry_t entry;	   /* COMMIT */
	wl_buf_t data;		   /* RESTORE */
	uint64_t index;		   /* RESTORE, SNAPSHOT */
	uint64_t term;		   /* LEAD, FOLLOW */
	uint64_t tag;		   /* DROP */
	wl_verdict_t verdict;	   /* DROP */
} wl_raft_action_t;

typedef struct wl_raft_out {
	wl_raft_action_t *actions;
	size_t count;
	size_t capacity;
} wl_raft_out_t;

typedef struct wl_raft wl_raft_t;

wl_raft_t *wl_raft_new(const wl_raft_options_t *options, wl_raft_saved_t *saved, uint64_t now_ns,
		       wl_err_t *err);
void wl_raft_free(wl_raft_t *raft);
void wl_raft_step(wl_raft_t *raft, uint64_t now_ns, const wl_raft_event_t *event,
		  wl_raft_out_t *out);

bool wl_raft_leads(const wl_raft_t *raft);
bool wl_raft_leader_reachable(const wl_raft_t *raft, uint64_t now_ns);
bool wl_raft_lease_holds(const wl_raft_t *raft, uint64_t now_ns);
const char *wl_raft_role_name(const wl_raft_t *raft);
uint64_t wl_raft_term(const wl_raft_t *raft);
uint64_t wl_raft_group(const wl_raft_t *raft);
uint64_t wl_raft_commit_index(const wl_raft_t *raft);
wl_str_t wl_raft_leader_name(const wl_raft_t *raft);
bool wl_raft_discovering(const wl_raft_t *raft, uint64_t now_ns);
void wl_raft_known_names(const wl_raft_t *raft, wl_list_t *names);
void wl_raft_reachable_names(const wl_raft_t *raft, uint64_t now_ns, wl_list_t *names);
void wl_raft_member_names(const wl_raft_t *raft, wl_list_t *names);
void wl_raft_seeds_set(wl_raft_t *raft, const wl_str_t *names, size_t count);
void wl_raft_members_json(const wl_raft_t *raft, wl_buf_t *out);

void wl_raft_out_init(wl_raft_out_t *out);
void wl_raft_out_clear(wl_raft_out_t *out);
void wl_raft_persist_free(wl_raft_persist_t *persist);
void wl_raft_saved_free(wl_raft_saved_t *saved);

#endif
