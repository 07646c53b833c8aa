#ifndef WL_RAFT_H
#define WL_RAFT_H

#include <libwlbase/err.h>
#include <libwlcore/raft/msg.h>

/*
 * Replicated log: elections, replication, snapshots and membership. Performs no
 * I/O and reads no clock.
 */

typedef struct wl_raft_options {
	uint64_t id;	       /* own store id */
	wl_str_t name;	       /* own daemon name */
	const wl_str_t *peers; /* names of the replicas in the settings */
	size_t peer_count;
	/*
	 * Zero: the settings name all replicas, this one included.  Otherwise they name seeds,
	 * other replicas join on their own, and at most this many members vote.
	 */
	uint64_t max_voters;
	bool never_found;     /* a blank replica never founds a group, it only joins one */
	uint64_t replace_ms;  /* time without answers until replacement; 0: default */
	uint64_t election_ms; /* minimum time without a leader before an election; 0: default */
	uint64_t heartbeat_ms;
	uint64_t max_append_bytes; /* limit for one append message */
	uint64_t snapshot_chunk_bytes;
	uint64_t compact_entries; /* log length at which a snapshot is requested */
	uint64_t seed;
} wl_raft_options_t;

/* Stored state at start; all zero for an empty folder. */
typedef struct wl_raft_saved {
	uint64_t term;
	uint64_t vote;
	wl_raft_members_t members; /* membership at the snapshot, else the founding record */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	wl_buf_t snapshot;
	wl_list_t entries; /* wl_raft_entry_t after the snapshot */
} wl_raft_saved_t;

typedef enum wl_raft_event_kind {
	WL_RAFT_EV_TICK,
	WL_RAFT_EV_MSG,
	WL_RAFT_EV_PROPOSE,
	WL_RAFT_EV_PERSISTED, /* a PERSIST action is synced; tickets are returned in order */
	WL_RAFT_EV_SNAPSHOT,  /* the applied state at an index, for compaction */
	WL_RAFT_EV_REPLACE,   /* operator: allow replacement of the lost replica of this name */
	WL_RAFT_EV_HAND_OVER, /* planned stop: transfer the leadership */
} wl_raft_event_kind_t;

typedef struct wl_raft_event {
	wl_raft_event_kind_t kind;
	wl_raft_msg_t *msg; /* MSG: its content may be moved out */
	wl_str_t data;	    /* PROPOSE, SNAPSHOT */
	uint64_t tag;	    /* PROPOSE */
	uint64_t ticket;    /* PERSISTED */
	uint64_t index;	    /* SNAPSHOT */
	wl_str_t name;	    /* MSG: sender's daemon name; REPLACE */
} wl_raft_event_t;

typedef enum wl_raft_action_kind {
	WL_RAFT_DO_SEND,
	WL_RAFT_DO_PERSIST,
	WL_RAFT_DO_COMMIT,  /* apply this entry; emitted in order, each index once */
	WL_RAFT_DO_RESTORE, /* replace the state by this snapshot */
	WL_RAFT_DO_LEAD,   /* leadership of term begins; its first entry is committed and applied */
	WL_RAFT_DO_FOLLOW, /* leadership has ended */
	WL_RAFT_DO_DROP,   /* a proposal's outcome is unknown, or not-run if never appended */
	WL_RAFT_DO_SNAPSHOT, /* requests a SNAPSHOT event with the applied state */
} wl_raft_action_kind_t;

/* Changes to stored state, written in this order and synced before PERSISTED is sent. */
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
	uint64_t truncate_from; /* 0: none; otherwise entries from this index on are removed */
	wl_list_t entries;	/* wl_raft_entry_t, appended */
} wl_raft_persist_t;

typedef struct wl_raft_action {
	wl_raft_action_kind_t kind;
	wl_buf_t name;		   /* SEND: name of the receiving daemon */
	wl_raft_msg_t msg;	   /* SEND */
	wl_raft_persist_t persist; /* PERSIST */
	wl_raft_entry_t entry;	   /* COMMIT */
	wl_buf_t data;		   /* RESTORE */
	uint64_t index;		   /* RESTORE, SNAPSHOT; LEAD: known as committed at the election */
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

bool wl_raft_is_leader(const wl_raft_t *raft);
bool wl_raft_leader_reachable(const wl_raft_t *raft, uint64_t now_ns);
bool wl_raft_lease_holds(const wl_raft_t *raft, uint64_t now_ns);
const char *wl_raft_role_name(const wl_raft_t *raft);
uint64_t wl_raft_term(const wl_raft_t *raft);
uint64_t wl_raft_group(const wl_raft_t *raft);
uint64_t wl_raft_commit_index(const wl_raft_t *raft);
wl_str_t wl_raft_leader_name(const wl_raft_t *raft);
bool wl_raft_discovering(const wl_raft_t *raft, uint64_t now_ns);
size_t wl_raft_known_count(const wl_raft_t *raft);
uint64_t wl_raft_probes_ignored(const wl_raft_t *raft);
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
