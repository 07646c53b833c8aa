/*
 * The node: all logic of one daemon.  It connects the log, the replicated state, the leader and
 * the components of an entry, and routes events and actions between them.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>

#define TICK_MS 10

static void queue_event(wl_node_t *node, wl_event_t *event)
{
	wl_queued_event_t *queued = wl_alloc(sizeof(*queued));

	queued->event = *event;
	TAILQ_INSERT_TAIL(&node->queue, queued, link);
}

/* Queues a message to this node itself; it is processed after the current event. */
static void queue_message(wl_node_t *node, wl_action_t *action)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_move(&event.peer, &action->peer);
	event.msg = action->msg;
	wl_msg_init(&action->msg, WL_MSG_NONE);
	queue_event(node, &event);
}

static wl_str_t node_leader(const wl_node_t *node)
{
	if (node->raft && wl_raft_is_leader(node->raft))
		return node->options.name;
	if (node->raft && wl_raft_leader_name(node->raft).len)
		return wl_raft_leader_name(node->raft);
	return wl_buf_str(&node->session.leader);
}

static void call_ended(wl_node_t *node, uint64_t now_ns, wl_call_outcome_t *outcome, wl_out_t *out);

static void basis_received(wl_node_t *node, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_call_outcome_t outcome;

	if (wl_conditionals_basis(&node->conditionals, event, &outcome, out))
		call_ended(node, now_ns, &outcome, out);
}

static void caller_checked(wl_node_t *node, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_call_outcome_t outcome;

	if (wl_conditionals_caller(&node->conditionals, event->call.id,
				   event->kind == WL_EVENT_CALL_PRESENT, &outcome, out))
		call_ended(node, now_ns, &outcome, out);
}

static void call_ended(wl_node_t *node, uint64_t now_ns, wl_call_outcome_t *outcome, wl_out_t *out)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_RESULT);
	event.tag = outcome->id;
	event.result = &outcome->result;
	switch (WL_PART_OF(outcome->id)) {
	case WL_PART_REQUEST:
		wl_requests_step(node->requests, now_ns, &event, out);
		break;
	case WL_PART_OWNER:
		wl_owner_step(node->owner, now_ns, &event, out);
		break;
	case WL_PART_API:
		wl_api_step(node->api, now_ns, &event, out);
		break;
	case WL_PART_NODE:
		node->session_ended = true;
		break;
	case WL_PART_GATE:
		wl_gate_step(node->gate, now_ns, &event, out);
		break;
	case WL_PART_CONDITIONAL:
		basis_received(node, now_ns, &event, out);
		break;
	case WL_PART_AGENT: /* makes no calls to the leader */
		break;
	}
	wl_result_free(&outcome->result);
}

/* Executes the actions that concern this node itself, and passes the others on to the daemon. */
static void route_actions(wl_node_t *node, uint64_t now_ns, wl_out_t *from, wl_out_t *out)
{
	for (size_t i = 0; i < from->count; i++) {
		wl_action_t *action = &from->actions[i];
		wl_action_t *copy;

		if (action->kind == WL_ACTION_SEND &&
		    wl_str_equal(wl_buf_str(&action->peer), node->options.name)) {
			queue_message(node, action);
			wl_action_free(action);
			continue;
		}
		if (action->kind == WL_ACTION_PROPOSE) {
			wl_node_propose(node, now_ns, action, out);
			wl_action_free(action);
			continue;
		}
		if (action->kind == WL_ACTION_LEADER_CALL && action->caller) {
			wl_conditionals_add(&node->conditionals, action, &node->deferred);
			wl_action_free(action);
			continue;
		}
		if (action->kind == WL_ACTION_LEADER_CALL) {
			wl_calls_add(&node->calls, action, node_leader(node), now_ns,
				     &node->deferred);
			wl_action_free(action);
			continue;
		}
		copy = wl_out_add(out, action->kind);
		*copy = *action;
	}
	from->count = 0;
}

/*
 * wl_node_dial - add an action to keep a connection to a daemon
 * @address: IP:port of its peer listener; empty: the connection is not made anew once it has ended
 */
void wl_node_dial(wl_out_t *out, wl_str_t name, wl_str_t address)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_DIAL);

	wl_buf_set(&action->peer, name);
	wl_buf_set(&action->address, address);
}

/*
 * wl_node_is_store - whether a name is that of a known replica
 */
bool wl_node_is_store(const wl_node_t *node, wl_str_t name)
{
	return wl_strings_contain(&node->replicas, name);
}

/*
 * wl_node_undial - stop dialling a daemon that is neither a known replica nor an entry with a
 * session
 */
void wl_node_undial(const wl_node_t *node, wl_str_t name, wl_out_t *out)
{
	if (!wl_node_is_store(node, name) && !wl_view_member(&node->view, name))
		wl_node_dial(out, name, WL_STR(""));
}

static void member_names(const wl_node_t *node, wl_list_t *names)
{
	const wl_member_t *members = node->view.members.items;

	for (size_t i = 0; i < node->view.members.count; i++)
		wl_strings_add(names, wl_buf_str(&members[i].entry));
}

/* Dials entries at the addresses in their sessions; replicas are dialled as the settings say. */
static void dial_members(wl_node_t *node, wl_out_t *out)
{
	const wl_member_t *members = node->view.members.items;

	for (size_t i = 0; i < node->view.members.count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);

		if (!wl_str_equal(name, node->options.name) && !wl_node_is_store(node, name))
			wl_node_dial(out, name, wl_buf_str(&members[i].address));
	}
}

static void view_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_event_t changed;
	uint64_t revision = node->view.revision;
	wl_list_t before = {0};
	wl_err_t err;

	member_names(node, &before);
	if (!wl_view_apply(&node->view, &event->msg.u.view, &err)) {
		wl_out_log(out, WL_DEBUG, "view-refused", "from=" WL_STR_FMT " reason=\"%s\"",
			   WL_STR_ARG(wl_buf_str(&event->peer)), err.text);
		wl_strings_free(&before);
		return;
	}
	if (node->view.revision != revision)
		wl_out_log(out, WL_INFO, "lists-in-use", "revision=%llu customers=%llu plans=%llu",
			   (unsigned long long)node->view.revision,
			   (unsigned long long)node->view.customers_version,
			   (unsigned long long)node->view.plans_version);
	wl_node_replicas_update(node, out);
	for (size_t i = 0; i < before.count; i++)
		wl_node_undial(node, wl_buf_str((const wl_buf_t *)before.items + i), out);
	wl_strings_free(&before);
	dial_members(node, out);
	wl_event_init(&changed, WL_EVENT_VIEW);
	wl_session_step(&node->session, &node->view, now_ns, &changed, out);
	wl_owner_step(node->owner, now_ns, &changed, out);
	wl_requests_step(node->requests, now_ns, &changed, out);
}

static void renewed_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_node_leader_hint(node, wl_buf_str(&event->msg.u.renewed.leader), out);
	wl_session_step(&node->session, &node->view, now_ns, event, out);
}

static void result_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_call_outcome_t outcome;

	if (wl_calls_answer(&node->calls, &event->msg.u.result, now_ns, &outcome))
		call_ended(node, now_ns, &outcome, out);
}

static void request_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_requests_step(node->requests, now_ns, event, out);
}

static void owner_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_owner_step(node->owner, now_ns, event, out);
}

/*
 * Announces of targets that this entry owns go to the owner.  All others go to the leader, and
 * so does a message from this entry to itself: the owner forwards announces of targets that have
 * no owner, or whose description has changed.
 */
static void announce_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_str_t target = wl_buf_str(&event->msg.u.announce.announce.name);
	const wl_owner_row_t *row = node->options.entry ? wl_view_owner(&node->view, target) : NULL;
	bool from_self = wl_str_equal(wl_buf_str(&event->peer), node->options.name);
	bool ours = row && wl_str_equal(wl_buf_str(&row->entry), node->options.name);

	if (ours && !from_self)
		wl_owner_step(node->owner, now_ns, event, out);
	else
		wl_node_leader_event(node, now_ns, event, out);
}

typedef void (*message_handler_t)(wl_node_t *node, uint64_t now_ns, wl_event_t *event,
				  wl_out_t *out);

typedef struct message_route {
	message_handler_t handle;
	bool entry; /* ignored without the role entry */
} message_route_t;

static const message_route_t message_routes[WL_MSG_KINDS] = {
	[WL_MSG_RAFT] = {wl_node_raft_message, false},
	[WL_MSG_RENEW] = {wl_node_leader_event, false},
	[WL_MSG_RENEWED] = {renewed_message, true},
	[WL_MSG_VIEW] = {view_message, true},
	[WL_MSG_COMMAND] = {wl_node_leader_event, false},
	[WL_MSG_QUERY] = {wl_node_leader_event, false},
	[WL_MSG_RESULT] = {result_message, false},
	[WL_MSG_ANNOUNCE] = {announce_message, false},
	[WL_MSG_REQUEST] = {request_message, true},
	[WL_MSG_ANSWER] = {request_message, true},
	[WL_MSG_CANCEL] = {request_message, true},
	[WL_MSG_CAPACITY] = {request_message, true},
	[WL_MSG_OFFER] = {wl_node_leader_event, false},
	[WL_MSG_ASSIGN] = {owner_message, true},
	[WL_MSG_STOP] = {owner_message, true},
	[WL_MSG_REPORT] = {wl_node_leader_event, false},
	[WL_MSG_REPORTED] = {owner_message, true},
	[WL_MSG_ORDERS] = {wl_node_agent_event, false},
	[WL_MSG_ORDERED] = {wl_node_leader_event, false},
	[WL_MSG_KEEPALIVES] = {wl_node_leader_event, false},
};

static void node_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	const message_route_t *route;

	if (event->msg.kind >= WL_MSG_KINDS)
		return;
	route = &message_routes[event->msg.kind];
	if (route->handle && (!route->entry || node->options.entry))
		route->handle(node, now_ns, event, out);
}

static void announce_call(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_err_t err;

	if (wl_auth_bearer(&event->call.headers, node->options.target_token, &err)) {
		wl_owner_step(node->owner, now_ns, event, out);
		return;
	}
	wl_metrics_add(&node->metrics, "wisterialead_unauthorized_total", "listener=\"announce\"",
		       1);
	wl_out_reply_error(out, event->call.id, &err);
}

/*
 * Whether a call belongs to this project's own interface.  On the control listener all other
 * paths belong to the dialect; the metrics listener serves only own paths.
 */
static bool is_own_path(const wl_call_t *call)
{
	static const char *const own[] = {"/healthz", "/metrics", "/readyz"};
	wl_str_t path = wl_buf_str(&call->path);

	if (call->listener != WL_LISTENER_CONTROL)
		return call->listener == WL_LISTENER_METRICS;
	for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++)
		if (wl_str_equal(path, wl_str_from(own[i])))
			return true;
	return wl_str_starts(path, WL_STR("/v1/"));
}

static void node_call(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	const wl_call_t *call = &event->call;
	bool caller = call->listener == WL_LISTENER_CALLER;
	bool control = call->listener == WL_LISTENER_CONTROL;
	wl_str_t path = wl_buf_str(&call->path);

	if (node->gate && !is_own_path(call))
		wl_gate_step(node->gate, now_ns, event, out);
	else if (node->options.entry && caller && wl_str_starts(path, WL_STR("/s/")))
		wl_requests_step(node->requests, now_ns, event, out);
	else if (node->options.entry && control &&
		 wl_str_equal(path, WL_STR("/v1/targets/announce")) &&
		 wl_str_equal(wl_buf_str(&call->method), WL_STR("POST")))
		announce_call(node, now_ns, event, out);
	else
		wl_api_step(node->api, now_ns, event, out);
	if (wl_api_drain_requested(node->api) && node->drain_started_ns == 0) {
		wl_event_t drain;

		wl_event_init(&drain, WL_EVENT_DRAIN);
		queue_event(node, &drain);
	}
}

static void node_fetched(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (WL_PART_OF(event->fetched.id) == WL_PART_REQUEST)
		wl_requests_step(node->requests, now_ns, event, out);
	else if (WL_PART_OF(event->fetched.id) == WL_PART_OWNER)
		wl_owner_step(node->owner, now_ns, event, out);
}

static void node_tick(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_call_outcome_t outcome;

	node->wall_ms = event->wall_ms;
	wl_node_raft_tick(node, now_ns, out);
	wl_node_agent_event(node, now_ns, event, out);
	wl_node_agents_update(node, now_ns, out);
	wl_node_leader_event(node, now_ns, event, out);
	if (node->options.entry) {
		wl_session_step(&node->session, &node->view, now_ns, event, out);
		wl_owner_step(node->owner, now_ns, event, out);
		wl_requests_step(node->requests, now_ns, event, out);
	}
	wl_api_step(node->api, now_ns, event, out);
	if (node->gate)
		wl_gate_step(node->gate, now_ns, event, out);
	while (wl_calls_expire(&node->calls, now_ns, &outcome))
		call_ended(node, now_ns, &outcome, out);
	wl_calls_resend(&node->calls, node_leader(node), now_ns, out);
	if (node->drain_started_ns)
		wl_node_drain_tick(node, now_ns, out);
}

static void gauges_set(wl_node_t *node, const wl_event_t *event)
{
	for (size_t i = 0; i < event->gauge_count; i++)
		wl_metrics_set(&node->metrics, event->gauges[i].name, event->gauges[i].labels,
			       event->gauges[i].value);
}

static void link_changed(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_PEER_DOWN)
		wl_node_link_down(node, now_ns, event, out);
	if (!node->options.entry)
		return;
	if (event->kind == WL_EVENT_PEER_UP)
		wl_owner_step(node->owner, now_ns, event, out);
	wl_requests_step(node->requests, now_ns, event, out);
}

static void node_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	switch (event->kind) {
	case WL_EVENT_TICK:
		node_tick(node, now_ns, event, out);
		return;
	case WL_EVENT_PEER:
		node_message(node, now_ns, event, out);
		return;
	case WL_EVENT_PEER_UP:
	case WL_EVENT_PEER_DOWN:
		link_changed(node, now_ns, event, out);
		return;
	case WL_EVENT_CALL_ABANDONED:
		caller_checked(node, now_ns, event, out);
		if (node->options.entry)
			wl_requests_step(node->requests, now_ns, event, out);
		return;
	case WL_EVENT_CALL_PRESENT:
		caller_checked(node, now_ns, event, out);
		return;
	case WL_EVENT_CALL:
		node_call(node, now_ns, event, out);
		return;
	case WL_EVENT_FETCHED:
		if (WL_PART_OF(event->fetched.id) == WL_PART_AGENT)
			wl_node_agent_event(node, now_ns, event, out);
		else if (node->options.entry)
			node_fetched(node, now_ns, event, out);
		return;
	case WL_EVENT_PERSISTED:
		wl_node_measure_persisted(node, now_ns, event);
		wl_node_persisted(node, now_ns, event->ticket, out);
		return;
	case WL_EVENT_DRAIN:
		wl_node_drain(node, now_ns, event, out);
		return;
	case WL_EVENT_SEEDS:
		wl_node_seeds_set(node, &event->names, out);
		return;
	case WL_EVENT_GAUGES:
		gauges_set(node, event);
		return;
	case WL_EVENT_APPLIED:
	case WL_EVENT_LEAD:
	case WL_EVENT_FOLLOW:
	case WL_EVENT_DROPPED:
	case WL_EVENT_RESULT:
	case WL_EVENT_VIEW:
	case WL_EVENT_KINDS:
		return;
	}
}

/*
 * wl_node_step - process an event and all events that result from it
 * @now_ns: monotonic time, nanoseconds
 * @event: from the daemon's threads; may be moved from; the caller frees it
 * @out: receives the actions that the daemon must execute
 */
void wl_node_step(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_queued_event_t *queued;

	wl_node_measure_event(node, now_ns, event);
	node_event(node, now_ns, event, &node->scratch);
	route_actions(node, now_ns, &node->scratch, out);
	route_actions(node, now_ns, &node->deferred, out);
	while ((queued = TAILQ_FIRST(&node->queue))) {
		TAILQ_REMOVE(&node->queue, queued, link);
		node_event(node, now_ns, &queued->event, &node->scratch);
		route_actions(node, now_ns, &node->scratch, out);
		route_actions(node, now_ns, &node->deferred, out);
		wl_event_free(&queued->event);
		free(queued);
	}
}

/*
 * wl_node_tick_ns - interval at which the node expects TICK events
 *
 * Return: nanoseconds.
 */
uint64_t wl_node_tick_ns(const wl_node_t *node)
{
	(void)node;
	return TICK_MS * WL_NS_PER_MS;
}
