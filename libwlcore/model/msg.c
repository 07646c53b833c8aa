/* Messages between daemons: schemas, packing, headers. */

#include "msg.h"

#include <string.h>
#include <strings.h>

static const wl_field_t msg_renew_fields[] = {
	WL_FIELD(wl_msg_renew_t, entry, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_renew_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_msg_renew_t, session, WL_FIELD_U64),
	WL_FIELD(wl_msg_renew_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_renew_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_renew_t, group, WL_FIELD_U64),
	WL_FIELD(wl_msg_renew_t, sent_ns, WL_FIELD_U64),
	WL_FIELD(wl_msg_renew_t, revision, WL_FIELD_U64),
	WL_FIELD(wl_msg_renew_t, owners_index, WL_FIELD_U64),
	WL_FIELD(wl_msg_renew_t, draining, WL_FIELD_BOOL),
};

static const wl_schema_t msg_renew_schema = WL_SCHEMA(wl_msg_renew_t, msg_renew_fields);

static const wl_field_t msg_renewed_fields[] = {
	WL_FIELD(wl_msg_renewed_t, boot, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, session, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, group, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, term, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, sent_ns, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, validity_ms, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, code, WL_FIELD_U64),
	WL_FIELD(wl_msg_renewed_t, leader, WL_FIELD_BYTES),
};

static const wl_schema_t msg_renewed_schema = WL_SCHEMA(wl_msg_renewed_t, msg_renewed_fields);

static const wl_field_t member_fields[] = {
	WL_FIELD(wl_member_t, entry, WL_FIELD_BYTES),
	WL_FIELD(wl_member_t, session, WL_FIELD_U64),
	WL_FIELD(wl_member_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_member_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_member_t, draining, WL_FIELD_BOOL),
};

const wl_schema_t wl_member_schema = WL_SCHEMA(wl_member_t, member_fields);

static const wl_field_t owner_row_fields[] = {
	WL_FIELD(wl_owner_row_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_owner_row_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_owner_row_t, session, WL_FIELD_U64),
	WL_FIELD(wl_owner_row_t, entry, WL_FIELD_BYTES),
	WL_FIELD(wl_owner_row_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_owner_row_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_owner_row_t, rack, WL_FIELD_BYTES),
	WL_FIELD(wl_owner_row_t, services, WL_FIELD_STRINGS),
	WL_FIELD(wl_owner_row_t, forgotten, WL_FIELD_BOOL),
	WL_FIELD_MANY(wl_owner_row_t, running, &wl_assignment_schema),
};

const wl_schema_t wl_owner_row_schema = WL_SCHEMA(wl_owner_row_t, owner_row_fields);

static const wl_field_t msg_view_fields[] = {
	WL_FIELD(wl_msg_view_t, group, WL_FIELD_U64),
	WL_FIELD(wl_msg_view_t, term, WL_FIELD_U64),
	WL_FIELD(wl_msg_view_t, revision, WL_FIELD_U64),
	WL_FIELD(wl_msg_view_t, has_lists, WL_FIELD_BOOL),
	WL_FIELD(wl_msg_view_t, customers_version, WL_FIELD_U64),
	WL_FIELD(wl_msg_view_t, plans_version, WL_FIELD_U64),
	WL_FIELD(wl_msg_view_t, customers, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_view_t, plans, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_view_t, owners_from, WL_FIELD_U64),
	WL_FIELD(wl_msg_view_t, owners_to, WL_FIELD_U64),
	WL_FIELD_MANY(wl_msg_view_t, owners, &wl_owner_row_schema),
	WL_FIELD_MANY(wl_msg_view_t, members, &wl_member_schema),
	WL_FIELD(wl_msg_view_t, replicas, WL_FIELD_STRINGS),
};

const wl_schema_t wl_msg_view_schema = WL_SCHEMA(wl_msg_view_t, msg_view_fields);

static const wl_field_t msg_command_fields[] = {
	WL_FIELD(wl_msg_command_t, call, WL_FIELD_U64),
	WL_FIELD(wl_msg_command_t, cmd_kind, WL_FIELD_U64),
	WL_FIELD(wl_msg_command_t, cmd, WL_FIELD_BYTES),
};

static const wl_schema_t msg_command_schema = WL_SCHEMA(wl_msg_command_t, msg_command_fields);

static const wl_field_t msg_query_fields[] = {
	WL_FIELD(wl_msg_query_t, call, WL_FIELD_U64),
	WL_FIELD(wl_msg_query_t, kind, WL_FIELD_U64),
	WL_FIELD(wl_msg_query_t, name, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_query_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_query_t, number, WL_FIELD_U64),
};

static const wl_schema_t msg_query_schema = WL_SCHEMA(wl_msg_query_t, msg_query_fields);

static const wl_field_t msg_result_fields[] = {
	WL_FIELD(wl_msg_result_t, call, WL_FIELD_U64),
	WL_FIELD_NEST(wl_msg_result_t, result, &wl_result_schema),
};

static const wl_schema_t msg_result_schema = WL_SCHEMA(wl_msg_result_t, msg_result_fields);

static const wl_field_t msg_announce_fields[] = {
	WL_FIELD_NEST(wl_msg_announce_t, announce, &wl_announce_schema),
};

static const wl_schema_t msg_announce_schema = WL_SCHEMA(wl_msg_announce_t, msg_announce_fields);

static const wl_field_t header_fields[] = {
	WL_FIELD(wl_header_t, name, WL_FIELD_BYTES),
	WL_FIELD(wl_header_t, value, WL_FIELD_BYTES),
};

const wl_schema_t wl_header_schema = WL_SCHEMA(wl_header_t, header_fields);

static const wl_field_t msg_request_fields[] = {
	WL_FIELD(wl_msg_request_t, id, WL_FIELD_U64),
	WL_FIELD(wl_msg_request_t, session, WL_FIELD_U64),
	WL_FIELD(wl_msg_request_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_request_t, service, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_request_t, method, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_request_t, path, WL_FIELD_BYTES),
	WL_FIELD_MANY(wl_msg_request_t, headers, &wl_header_schema),
	WL_FIELD(wl_msg_request_t, body, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_request_t, timeout_ms, WL_FIELD_U64),
	{.name = "class",
	 .kind = WL_FIELD_ENUM,
	 .offset = offsetof(wl_msg_request_t, work_class),
	 .names = wl_class_names},
	WL_FIELD(wl_msg_request_t, idempotent, WL_FIELD_BOOL),
	WL_FIELD(wl_msg_request_t, avoid, WL_FIELD_BYTES),
};

static const wl_schema_t msg_request_schema = WL_SCHEMA(wl_msg_request_t, msg_request_fields);

static const wl_field_t msg_answer_fields[] = {
	WL_FIELD(wl_msg_answer_t, id, WL_FIELD_U64),
	WL_FIELD(wl_msg_answer_t, session, WL_FIELD_U64),
	WL_FIELD(wl_msg_answer_t, code, WL_FIELD_U64),
	WL_FIELD(wl_msg_answer_t, verdict, WL_FIELD_U64),
	WL_FIELD(wl_msg_answer_t, text, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_answer_t, status, WL_FIELD_U64),
	WL_FIELD_MANY(wl_msg_answer_t, headers, &wl_header_schema),
	WL_FIELD(wl_msg_answer_t, body, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_answer_t, target, WL_FIELD_BYTES),
	WL_FIELD_AS("room", wl_msg_answer_t, free_requests, WL_FIELD_U64),
};

static const wl_schema_t msg_answer_schema = WL_SCHEMA(wl_msg_answer_t, msg_answer_fields);

static const wl_field_t msg_cancel_fields[] = {
	WL_FIELD(wl_msg_cancel_t, id, WL_FIELD_U64),
	WL_FIELD(wl_msg_cancel_t, session, WL_FIELD_U64),
};

static const wl_schema_t msg_cancel_schema = WL_SCHEMA(wl_msg_cancel_t, msg_cancel_fields);

static const wl_field_t room_row_fields[] = {
	WL_FIELD(wl_room_row_t, service, WL_FIELD_BYTES),
	WL_FIELD(wl_room_row_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD_AS("room", wl_room_row_t, free_requests, WL_FIELD_U64),
	WL_FIELD(wl_room_row_t, slowdown_permille, WL_FIELD_U64),
	WL_FIELD(wl_room_row_t, targets, WL_FIELD_U64),
};

const wl_schema_t wl_room_row_schema = WL_SCHEMA(wl_room_row_t, room_row_fields);

static const wl_field_t use_row_fields[] = {
	WL_FIELD(wl_use_row_t, customer, WL_FIELD_BYTES),
	WL_FIELD(wl_use_row_t, running, WL_FIELD_U64),
	WL_FIELD(wl_use_row_t, rate_milli, WL_FIELD_U64),
	WL_FIELD_AS("wanted", wl_use_row_t, demand, WL_FIELD_U64),
	WL_FIELD_AS("wanted_milli", wl_use_row_t, demand_rate_milli, WL_FIELD_U64),
};

const wl_schema_t wl_use_row_schema = WL_SCHEMA(wl_use_row_t, use_row_fields);

static const wl_field_t msg_room_fields[] = {
	WL_FIELD(wl_msg_room_t, session, WL_FIELD_U64),
	WL_FIELD_MANY_AS("rooms", wl_msg_room_t, capacity_rows, &wl_room_row_schema),
	WL_FIELD_MANY_AS("uses", wl_msg_room_t, usage_rows, &wl_use_row_schema),
	WL_FIELD_AS("whole", wl_msg_room_t, full, WL_FIELD_BOOL),
};

static const wl_schema_t msg_room_schema = WL_SCHEMA(wl_msg_room_t, msg_room_fields);

static const wl_field_t offer_kind_fields[] = {
	WL_FIELD(wl_offer_kind_t, kind, WL_FIELD_BYTES),
	WL_FIELD(wl_offer_kind_t, running, WL_FIELD_U64),
};

const wl_schema_t wl_offer_kind_schema = WL_SCHEMA(wl_offer_kind_t, offer_kind_fields);

static const wl_field_t offer_row_fields[] = {
	WL_FIELD(wl_offer_row_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_offer_row_t, epoch, WL_FIELD_U64),
	WL_FIELD_AS("open", wl_offer_row_t, available, WL_FIELD_BOOL),
	WL_FIELD_AS("aside", wl_offer_row_t, quarantined, WL_FIELD_BOOL),
	WL_FIELD(wl_offer_row_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_offer_row_t, rack, WL_FIELD_BYTES),
	WL_FIELD(wl_offer_row_t, services, WL_FIELD_STRINGS),
	WL_FIELD_NEST(wl_offer_row_t, capacity, &wl_need_schema),
	WL_FIELD_NEST(wl_offer_row_t, free, &wl_need_schema),
	WL_FIELD_NEST(wl_offer_row_t, evictable, &wl_need_schema),
	WL_FIELD(wl_offer_row_t, slowdown_permille, WL_FIELD_U64),
	WL_FIELD_MANY(wl_offer_row_t, kinds, &wl_offer_kind_schema),
	WL_FIELD(wl_offer_row_t, boot, WL_FIELD_U64),
};

const wl_schema_t wl_offer_row_schema = WL_SCHEMA(wl_offer_row_t, offer_row_fields);

static const wl_field_t pair_row_fields[] = {
	WL_FIELD(wl_pair_row_t, kind, WL_FIELD_BYTES),
	WL_FIELD_AS("beside", wl_pair_row_t, colocated_kind, WL_FIELD_BYTES),
	WL_FIELD(wl_pair_row_t, slowdown_permille, WL_FIELD_U64),
	WL_FIELD(wl_pair_row_t, weight_milli, WL_FIELD_U64),
};

const wl_schema_t wl_pair_row_schema = WL_SCHEMA(wl_pair_row_t, pair_row_fields);

static const wl_field_t msg_offer_fields[] = {
	WL_FIELD(wl_msg_offer_t, session, WL_FIELD_U64),
	WL_FIELD_AS("whole", wl_msg_offer_t, full, WL_FIELD_BOOL),
	WL_FIELD_MANY(wl_msg_offer_t, offers, &wl_offer_row_schema),
	WL_FIELD_MANY(wl_msg_offer_t, pairs, &wl_pair_row_schema),
};

static const wl_schema_t msg_offer_schema = WL_SCHEMA(wl_msg_offer_t, msg_offer_fields);

static const wl_field_t msg_assign_fields[] = {
	WL_FIELD(wl_msg_assign_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_assign_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_msg_assign_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_assign_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_msg_assign_t, customer, WL_FIELD_BYTES),
	WL_FIELD_NEST(wl_msg_assign_t, spec, &wl_task_spec_schema),
	WL_FIELD_NEST(wl_msg_assign_t, need, &wl_need_schema),
	WL_FIELD(wl_msg_assign_t, checkpoint, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_assign_t, expected_ms, WL_FIELD_U64),
	WL_FIELD(wl_msg_assign_t, may_evict, WL_FIELD_BOOL),
	WL_FIELD(wl_msg_assign_t, term, WL_FIELD_U64),
	WL_FIELD(wl_msg_assign_t, session, WL_FIELD_U64),
	WL_FIELD(wl_msg_assign_t, boot, WL_FIELD_U64),
};

const wl_schema_t wl_msg_assign_schema = WL_SCHEMA(wl_msg_assign_t, msg_assign_fields);

static const wl_field_t msg_stop_fields[] = {
	WL_FIELD(wl_msg_stop_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_stop_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_msg_stop_t, target, WL_FIELD_BYTES),
	WL_FIELD(wl_msg_stop_t, epoch, WL_FIELD_U64),
	WL_FIELD(wl_msg_stop_t, checkpoint, WL_FIELD_BOOL),
	WL_FIELD(wl_msg_stop_t, term, WL_FIELD_U64),
};

static const wl_schema_t msg_stop_schema = WL_SCHEMA(wl_msg_stop_t, msg_stop_fields);

static const wl_field_t msg_report_fields[] = {
	WL_FIELD(wl_msg_report_t, session, WL_FIELD_U64),
	WL_FIELD_MANY(wl_msg_report_t, reports, &wl_report_schema),
};

static const wl_schema_t msg_report_schema = WL_SCHEMA(wl_msg_report_t, msg_report_fields);

static const wl_field_t reported_row_fields[] = {
	WL_FIELD(wl_reported_row_t, task, WL_FIELD_BYTES),
	WL_FIELD(wl_reported_row_t, attempt, WL_FIELD_U64),
	WL_FIELD(wl_reported_row_t, kind, WL_FIELD_U64),
};

const wl_schema_t wl_reported_row_schema = WL_SCHEMA(wl_reported_row_t, reported_row_fields);

static const wl_field_t msg_reported_fields[] = {
	WL_FIELD_MANY(wl_msg_reported_t, rows, &wl_reported_row_schema),
};

static const wl_schema_t msg_reported_schema = WL_SCHEMA(wl_msg_reported_t, msg_reported_fields);

static const wl_field_t msg_orders_fields[] = {
	WL_FIELD(wl_msg_orders_t, term, WL_FIELD_U64),
	WL_FIELD_MANY(wl_msg_orders_t, orders, &wl_order_schema),
};

static const wl_schema_t msg_orders_schema = WL_SCHEMA(wl_msg_orders_t, msg_orders_fields);

static const wl_field_t msg_ordered_fields[] = {
	WL_FIELD_MANY(wl_msg_ordered_t, ends, &wl_order_end_schema),
	WL_FIELD_AS("clock", wl_msg_ordered_t, clock_ms, WL_FIELD_U64),
};

static const wl_schema_t msg_ordered_schema = WL_SCHEMA(wl_msg_ordered_t, msg_ordered_fields);

static const wl_field_t heard_row_fields[] = {
	WL_FIELD(wl_heard_row_t, runner, WL_FIELD_BYTES),
	WL_FIELD_AS("life", wl_heard_row_t, incarnation, WL_FIELD_U64),
	WL_FIELD(wl_heard_row_t, sequence, WL_FIELD_U64),
	WL_FIELD(wl_heard_row_t, clock_ms, WL_FIELD_U64),
};

const wl_schema_t wl_heard_row_schema = WL_SCHEMA(wl_heard_row_t, heard_row_fields);

static const wl_field_t msg_heard_fields[] = {
	WL_FIELD_MANY(wl_msg_heard_t, rows, &wl_heard_row_schema),
};

static const wl_schema_t msg_heard_schema = WL_SCHEMA(wl_msg_heard_t, msg_heard_fields);

typedef struct kind_row {
	const char *name;
	const wl_schema_t *schema;
} kind_row_t;

static const kind_row_t kinds[WL_MSG_KINDS] = {
	[WL_MSG_RAFT] = {"raft", &wl_raft_msg_schema},
	[WL_MSG_RENEW] = {"renew", &msg_renew_schema},
	[WL_MSG_RENEWED] = {"renewed", &msg_renewed_schema},
	[WL_MSG_VIEW] = {"view", &wl_msg_view_schema},
	[WL_MSG_COMMAND] = {"command", &msg_command_schema},
	[WL_MSG_QUERY] = {"query", &msg_query_schema},
	[WL_MSG_RESULT] = {"result", &msg_result_schema},
	[WL_MSG_ANNOUNCE] = {"announce", &msg_announce_schema},
	[WL_MSG_REQUEST] = {"request", &msg_request_schema},
	[WL_MSG_ANSWER] = {"answer", &msg_answer_schema},
	[WL_MSG_CANCEL] = {"cancel", &msg_cancel_schema},
	[WL_MSG_CAPACITY] = {"room", &msg_room_schema},
	[WL_MSG_OFFER] = {"offer", &msg_offer_schema},
	[WL_MSG_ASSIGN] = {"assign", &wl_msg_assign_schema},
	[WL_MSG_STOP] = {"stop", &msg_stop_schema},
	[WL_MSG_REPORT] = {"report", &msg_report_schema},
	[WL_MSG_REPORTED] = {"reported", &msg_reported_schema},
	[WL_MSG_ORDERS] = {"orders", &msg_orders_schema},
	[WL_MSG_ORDERED] = {"ordered", &msg_ordered_schema},
	[WL_MSG_KEEPALIVES] = {"heard", &msg_heard_schema},
};

/*
 * wl_msg_init - initialize an empty message of a kind
 */
void wl_msg_init(wl_msg_t *msg, wl_msg_kind_t kind)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
}

/*
 * wl_msg_free - free the contents of a message and make it WL_MSG_NONE
 */
void wl_msg_free(wl_msg_t *msg)
{
	if (msg->kind != WL_MSG_NONE && msg->kind < WL_MSG_KINDS)
		wl_record_free(kinds[msg->kind].schema, &msg->u);
	msg->kind = WL_MSG_NONE;
}

/*
 * wl_msg_copy - deep-copy a message
 * @to: overwritten without being freed
 */
void wl_msg_copy(wl_msg_t *to, const wl_msg_t *from)
{
	wl_msg_init(to, (wl_msg_kind_t)from->kind);
	if (from->kind != WL_MSG_NONE && from->kind < WL_MSG_KINDS)
		wl_record_copy(kinds[from->kind].schema, &to->u, &from->u);
}

/*
 * wl_msg_pack - append an encoded message to a buffer: one byte for the kind, then its record
 */
void wl_msg_pack(const wl_msg_t *msg, wl_buf_t *out)
{
	char kind = (char)msg->kind;

	wl_buf_append(out, (wl_str_t){&kind, 1});
	wl_record_pack(kinds[msg->kind].schema, &msg->u, out);
}

/*
 * wl_msg_unpack - decode a message
 * @bytes: exactly one message
 * @msg: overwritten without being freed; WL_MSG_NONE after a failure
 * @err: WL_E_BAD_INPUT
 */
bool wl_msg_unpack(wl_str_t bytes, wl_msg_t *msg, wl_err_t *err)
{
	uint64_t kind = bytes.len ? (unsigned char)bytes.at[0] : WL_MSG_NONE;

	wl_msg_init(msg, WL_MSG_NONE);
	if (kind == WL_MSG_NONE || kind >= WL_MSG_KINDS)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "message of unknown kind %llu",
				  (unsigned long long)kind);
	if (!wl_record_unpack(kinds[kind].schema, (wl_str_t){bytes.at + 1, bytes.len - 1}, &msg->u,
			      err))
		return false;
	msg->kind = kind;
	return true;
}

/*
 * wl_msg_name - name of a kind of message, for logs and metrics
 */
const char *wl_msg_name(uint64_t kind)
{
	return kind < WL_MSG_KINDS && kinds[kind].name ? kinds[kind].name : "none";
}

/*
 * wl_headers_find - find an HTTP header; case is ignored
 * @headers: of wl_header_t
 *
 * Return: its value, or NULL.
 */
const wl_buf_t *wl_headers_find(const wl_list_t *headers, wl_str_t name)
{
	const wl_header_t *items = headers->items;

	for (size_t i = 0; i < headers->count; i++)
		if (items[i].name.len == name.len &&
		    strncasecmp(items[i].name.at, name.at, name.len) == 0)
			return &items[i].value;
	return NULL;
}

/*
 * wl_headers_add - add an HTTP header
 */
void wl_headers_add(wl_list_t *headers, wl_str_t name, wl_str_t value)
{
	wl_header_t *header = wl_list_add(&wl_header_schema, headers);

	wl_buf_set(&header->name, name);
	wl_buf_set(&header->value, value);
}

/*
 * wl_msg_orders_reject - make the answer to orders of which none was sent to its target
 * @ordered: overwritten without release
 */
void wl_msg_orders_reject(const wl_msg_orders_t *orders, wl_msg_t *ordered)
{
	const wl_order_t *items = orders->orders.items;

	wl_msg_init(ordered, WL_MSG_ORDERED);
	for (size_t i = 0; i < orders->orders.count; i++) {
		wl_order_end_t *end = wl_list_add(&wl_order_end_schema, &ordered->u.ordered.ends);

		end->id = items[i].id;
		end->outcome = WL_ORDER_HELD;
	}
}
