#ifndef WL_RAFT_MSG_H
#define WL_RAFT_MSG_H

#include <libwlbase/record.h>

typedef enum wl_raft_entry_kind {
	WL_RAFT_NOOP,
	WL_RAFT_DATA,	 /* a packed wl_cmd_t */
	WL_RAFT_MEMBERS, /* a packed wl_raft_members_t */
} wl_raft_entry_kind_t;

typedef struct wl_raft_entry {
	uint64_t index;
	uint64_t term;
	uint64_t kind; /* wl_raft_entry_kind_t */
	wl_buf_t data;
	uint64_t tag; /* of the proposal, at the proposing leader only; not stored or sent */
} wl_raft_entry_t;

typedef struct wl_raft_member {
	uint64_t id;   /* store id: random, generated once for each data folder */
	wl_buf_t name; /* of the daemon */
	bool voter;    /* else a learner */
} wl_raft_member_t;

typedef struct wl_raft_members {
	uint64_t group;	   /* random, generated once when the group is founded */
	wl_list_t members; /* wl_raft_member_t */
} wl_raft_members_t;

typedef enum wl_raft_msg_kind {
	WL_RAFT_PROBE, /* asks for the receiver's id and group; sent while no group is known */
	WL_RAFT_PROBED,
	WL_RAFT_FOUND,	 /* founds a group: carries the founding record to a blank replica */
	WL_RAFT_FOUNDED, /* acknowledges the founding record */
	WL_RAFT_PREVOTE,
	WL_RAFT_PREVOTED,
	WL_RAFT_VOTE,
	WL_RAFT_VOTED,
	WL_RAFT_APPEND,
	WL_RAFT_APPENDED,
	WL_RAFT_SNAPSHOT, /* one chunk */
	WL_RAFT_SNAPSHOT_ANSWER,
	WL_RAFT_TIMEOUT_NOW, /* leadership transfer: start an election at once */
	WL_RAFT_MSG_KINDS
} wl_raft_msg_kind_t;

typedef struct wl_raft_msg {
	uint64_t kind; /* wl_raft_msg_kind_t */
	uint64_t group;
	uint64_t from; /* store id */
	uint64_t to;   /* store id; 0: any replica of that daemon name */
	uint64_t term;
	uint64_t index; /* append: before the entries; vote: last; appended: match */
	uint64_t index_term;
	uint64_t commit;
	uint64_t round; /* echoed in the answer */
	bool ok;	/* answer: granted or accepted; vote: the leader requested the election */
	bool blank;	/* the sender belongs to no group and has acknowledged nothing */
	wl_list_t entries; /* wl_raft_entry_t */
	wl_buf_t data;	   /* chunk of a snapshot */
	uint64_t offset;   /* of the chunk, bytes; append, appended: number of the message */
	uint64_t total;	   /* size of the snapshot, bytes; refused append: index of that message */
	wl_raft_members_t members;
	wl_buf_t name; /* of the sender */
} wl_raft_msg_t;

extern const wl_schema_t wl_raft_entry_schema;
extern const wl_schema_t wl_raft_member_schema;
extern const wl_schema_t wl_raft_members_schema;
extern const wl_schema_t wl_raft_msg_schema;

#endif
