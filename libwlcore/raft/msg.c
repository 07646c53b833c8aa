/* Schemas of the replicated log's messages. */

#include "msg.h"

static const wl_field_t raft_entry_fields[] = {
	WL_FIELD(wl_raft_entry_t, index, WL_FIELD_U64),
	WL_FIELD(wl_raft_entry_t, term, WL_FIELD_U64),
	WL_FIELD(wl_raft_entry_t, kind, WL_FIELD_U64),
	WL_FIELD(wl_raft_entry_t, data, WL_FIELD_BYTES),
};

const wl_schema_t wl_raft_entry_schema = WL_SCHEMA(wl_raft_entry_t, raft_entry_fields);

static const wl_field_t raft_member_fields[] = {
	WL_FIELD(wl_raft_member_t, id, WL_FIELD_U64),
	WL_FIELD(wl_raft_member_t, name, WL_FIELD_BYTES),
	WL_FIELD(wl_raft_member_t, voter, WL_FIELD_BOOL),
};

const wl_schema_t wl_raft_member_schema = WL_SCHEMA(wl_raft_member_t, raft_member_fields);

static const wl_field_t raft_members_fields[] = {
	WL_FIELD(wl_raft_members_t, group, WL_FIELD_U64),
	WL_FIELD_MANY(wl_raft_members_t, members, &wl_raft_member_schema),
};

const wl_schema_t wl_raft_members_schema = WL_SCHEMA(wl_raft_members_t, raft_members_fields);

static const wl_field_t raft_msg_fields[] = {
	WL_FIELD(wl_raft_msg_t, kind, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, group, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, from, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, to, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, term, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, index, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, index_term, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, commit, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, round, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, ok, WL_FIELD_BOOL),
	WL_FIELD(wl_raft_msg_t, blank, WL_FIELD_BOOL),
	WL_FIELD_MANY(wl_raft_msg_t, entries, &wl_raft_entry_schema),
	WL_FIELD(wl_raft_msg_t, data, WL_FIELD_BYTES),
	WL_FIELD(wl_raft_msg_t, offset, WL_FIELD_U64),
	WL_FIELD(wl_raft_msg_t, total, WL_FIELD_U64),
	WL_FIELD_NEST(wl_raft_msg_t, members, &wl_raft_members_schema),
	WL_FIELD(wl_raft_msg_t, name, WL_FIELD_BYTES),
};

const wl_schema_t wl_raft_msg_schema = WL_SCHEMA(wl_raft_msg_t, raft_msg_fields);
