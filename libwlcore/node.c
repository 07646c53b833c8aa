/*
 * All decisions of one daemon: joins the log, the replicated state, the
 * leader's duties and the entry's parts, and carries what one asks of another.
 */

#include "node_internal.h"

#include <stdlib.h>
#include <string.h>

#define NS_PER_MS	1000000ull
#define TICK_MS		10
#define DRAIN_NOTICE_MS 1000 /* not ready, yet still serving: the balancer needs a moment */
#define SESSION_END_MS	2000 /* longest wait for the end of the own session to be committed */
#define HAND_OVER_MS	3000 /* longest wait for another replica to lead */

static uint64_t preset(uint64_t value, uint64_t otherwise)
{
	return value ? value : otherwise;
}

static wl_str_t preset_name(wl_str_t value, wl_str_t otherwise)
{
	return value.len ? value : otherwise;
}

static void options_fill(wl_node_options_t *options)
{
	options->routing = preset_name(options->routing, WL_STR("least-slowdown"));
	options->queueing = preset_name(options->queueing, WL_STR("fair-deadline"));
	options->placement = preset_name(options->placement, WL_STR("interference-fair"));
	options->eviction = preset_name(options->eviction, WL_STR("least-lost"));
	options->session_ms = preset(options->session_ms, 5000);
	options->renew_ms = preset(options->renew_ms, 1000);
	options->election_ms = preset(options->election_ms, 1000);
	options->heartbeat_ms = preset(options->heartbeat_ms, 150);
	options->lease_ms = preset(options->lease_ms, 8000);
	options->grace_ms = preset(options->grace_ms, 5000);
	options->drift_ms = preset(options->drift_ms, 500);
	options->announce_ms = preset(options->announce_ms, 1000);
	options->silence_ms = preset(options->silence_ms, 3000);
	options->room_ms = preset(options->room_ms, 100);
	options->drain_ms = preset(options->drain_ms, 30000);
	options->default_timeout_ms = preset(options->default_timeout_ms, 30000);
	options->max_timeout_ms = preset(options->max_timeout_ms, 600000);
	options->max_queued = preset(options->max_queued, 10000);
	options->request_cpu_millis = preset(options->request_cpu_millis, 1000);
	options->request_memory_mib = preset(options->request_memory_mib, 512);
	options->long_ms = preset(options->long_ms, 60000);
	options->long_share_permille = preset(options->long_share_permille, 500);
	options->key_keep_ms = preset(options->key_keep_ms, 24ull * 3600 * 1000);
	options->task_keep_ms = preset(options->task_keep_ms, 24ull * 3600 * 1000);
	options->compact_entries = preset(options->compact_entries, 8192);
}

static void queue_event(wl_node_t *node, wl_event_t *event)
{
	wl_queued_event_t *queued = wl_alloc(sizeof(*queued));

	queued->event = *event;
	TAILQ_INSERT_TAIL(&node->queue, queued, link);
}

/* A message to oneself takes the way of every other message, after what is being done now. */
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
	if (node->raft && wl_raft_leads(node->raft))
		return node->options.name;
	if (node->raft && wl_raft_leader_name(node->raft).len)
		return wl_raft_leader_name(node->raft);
	return wl_buf_str(&node->session.leader);
}

static void call_ended(wl_node_t *node, uint64_t now_ns, wl_call_end_t *end, wl_out_t *out)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_RESULT);
	event.tag = end->id;
	event.result = &end->result;
	switch (WL_PART_OF(end->id)) {
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
	}
	wl_result_free(&end->result);
}

/* Sorts what the parts asked for: ours to carry out, or the daemon's. */
static void node_route(wl_node_t *node, uint64_t now_ns, wl_out_t *from, wl_out_t *out)
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

static void dial(wl_out_t *out, wl_str_t name, wl_str_t address)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_DIAL);

	wl_buf_set(&action->peer, name);
	wl_buf_set(&action->address, address);
}

static void dial_stores(wl_node_t *node, wl_out_t *out)
{
	for (size_t i = 0; i < node->options.store_count; i++) {
		const wl_node_peer_t *store = &node->options.stores[i];

		if (!wl_str_equal(store->name, node->options.name))
			dial(out, store->name, store->address);
	}
}

static bool is_store(const wl_node_t *node, wl_str_t name)
{
	for (size_t i = 0; i < node->options.store_count; i++)
		if (wl_str_equal(node->options.stores[i].name, name))
			return true;
	return false;
}

/* Entries are dialled where their sessions say; replicas where the settings say. */
static void dial_members(wl_node_t *node, wl_out_t *out)
{
	const wl_member_t *members = node->view.members.items;

	for (size_t i = 0; i < node->view.members.count; i++) {
		wl_str_t name = wl_buf_str(&members[i].entry);

		if (!wl_str_equal(name, node->options.name) && !is_store(node, name))
			dial(out, name, wl_buf_str(&members[i].address));
	}
}

static void view_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_event_t changed;
	uint64_t revision = node->view.revision;
	wl_err_t err;

	if (!wl_view_apply(&node->view, &event->msg.u.view, &err)) {
		wl_out_log(out, WL_DEBUG, "view-refused", "from=" WL_STR_FMT " reason=\"%s\"",
			   WL_STR_ARG(wl_buf_str(&event->peer)), err.text);
		return;
	}
	if (node->view.revision != revision)
		wl_out_log(out, WL_INFO, "lists-in-use", "revision=%llu customers=%llu plans=%llu",
			   (unsigned long long)node->view.revision,
			   (unsigned long long)node->view.customers_version,
			   (unsigned long long)node->view.plans_version);
	dial_members(node, out);
	wl_event_init(&changed, WL_EVENT_VIEW);
	wl_session_step(&node->session, &node->view, now_ns, &changed, out);
	wl_owner_step(node->owner, now_ns, &changed, out);
	wl_requests_step(node->requests, now_ns, &changed, out);
}

static void renewed_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_session_step(&node->session, &node->view, now_ns, event, out);
}

static void result_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_call_end_t end;

	if (wl_calls_answer(&node->calls, &event->msg.u.result, now_ns, &end))
		call_ended(node, now_ns, &end, out);
}

static void request_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_requests_step(node->requests, now_ns, event, out);
}

static void owner_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_owner_step(node->owner, now_ns, event, out);
}

/* The leader takes announces of targets that nobody owns; the owner takes the others. */
static void announce_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_str_t target = wl_buf_str(&event->msg.u.announce.announce.name);
	const wl_owner_row_t *row = node->options.entry ? wl_view_owner(&node->view, target) : NULL;
	bool ours = row && wl_str_equal(wl_buf_str(&row->entry), node->options.name);

	if (ours)
		wl_owner_step(node->owner, now_ns, event, out);
	else
		wl_node_leader_event(node, now_ns, event, out);
}

typedef void (*message_handler_t)(wl_node_t *node, uint64_t now_ns, wl_event_t *event,
				  wl_out_t *out);

typedef struct message_route {
	message_handler_t handle;
	bool entry; /* only with the role entry */
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
	[WL_MSG_ROOM] = {request_message, true},
	[WL_MSG_OFFER] = {wl_node_leader_event, false},
	[WL_MSG_ASSIGN] = {owner_message, true},
	[WL_MSG_STOP] = {owner_message, true},
	[WL_MSG_REPORT] = {wl_node_leader_event, false},
	[WL_MSG_REPORTED] = {owner_message, true},
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

static void node_call(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	const wl_call_t *call = &event->call;
	bool caller = call->listener == WL_LISTENER_CALLER;
	wl_str_t path = wl_buf_str(&call->path);

	if (node->options.entry && caller && wl_str_starts(path, WL_STR("/s/")))
		wl_requests_step(node->requests, now_ns, event, out);
	else if (node->options.entry && !caller &&
		 wl_str_equal(path, WL_STR("/v1/targets/announce")) &&
		 wl_str_equal(wl_buf_str(&call->method), WL_STR("POST")))
		announce_call(node, now_ns, event, out);
	else
		wl_api_step(node->api, now_ns, event, out);
	if (wl_api_drain_asked(node->api) && node->drain_ns == 0) {
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

static void node_drain(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->drain_ns)
		return;
	node->drain_ns = now_ns ? now_ns : 1;
	wl_out_log(out, WL_INFO, "drain-begin", "open_requests=%zu",
		   node->options.entry ? wl_requests_open(node->requests) : 0);
	wl_api_drain(node->api);
	if (node->options.entry)
		wl_session_step(&node->session, &node->view, now_ns, event, out);
	wl_node_hand_over(node, now_ns, out);
}

static bool owns_targets(const wl_node_t *node)
{
	const wl_view_target_t *target;

	TAILQ_FOREACH (target, &node->view.targets, link)
		if (target->row.session == node->session.id && target->row.entry.len)
			return true;
	return false;
}

/* When every entry stops, nobody is left to take targets over. */
static bool all_draining(const wl_node_t *node)
{
	const wl_member_t *members = node->view.members.items;

	for (size_t i = 0; i < node->view.members.count; i++)
		if (!members[i].draining && members[i].session != node->session.id)
			return false;
	return true;
}

static void end_session(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_SESSION_END};

	node->session_ending = true;
	cmd.u.session_end.session = node->session.id;
	wl_out_leader_command(out, WL_PART_ID(WL_PART_NODE, 1), &cmd,
			      now_ns + SESSION_END_MS * NS_PER_MS);
	wl_cmd_free(&cmd);
}

/* The entry's part of a planned stop: requests first, then targets, then the session. */
static bool entry_drained(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	wl_requests_drain(node->requests);
	if (wl_requests_open(node->requests) > 0)
		return false;
	if (!node->session_ending && !wl_session_valid(&node->session, now_ns))
		return true;
	if (owns_targets(node) && !all_draining(node))
		return false;
	if (!node->session_ending)
		end_session(node, now_ns, out);
	return node->session_ended;
}

/* What still has to end before the daemon may. */
static bool drained(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	uint64_t since_ms = (now_ns - node->drain_ns) / NS_PER_MS;
	bool leads = node->raft && wl_raft_leads(node->raft);

	if (since_ms < DRAIN_NOTICE_MS || wl_api_open(node->api) > 0)
		return false;
	/* One that leads again because the others have gone must not wait for them. */
	if (leads && since_ms < HAND_OVER_MS)
		return false;
	return !node->options.entry || entry_drained(node, now_ns, out);
}

static void drain_tick(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	bool late = now_ns >= node->drain_ns + node->options.drain_ms * NS_PER_MS;
	wl_action_t *action;

	if (node->exiting || !(drained(node, now_ns, out) || late))
		return;
	node->exiting = true;
	wl_out_log(out, late ? WL_WARN : WL_INFO, "drain-end", "late=%s", late ? "yes" : "no");
	action = wl_out_add(out, WL_ACTION_EXIT);
	wl_buf_set(&action->line, late ? WL_STR("drain-late") : WL_STR("drained"));
}

static void node_tick(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_call_end_t end;

	wl_node_raft_tick(node, now_ns, out);
	wl_node_leader_event(node, now_ns, event, out);
	if (node->options.entry) {
		wl_session_step(&node->session, &node->view, now_ns, event, out);
		wl_owner_step(node->owner, now_ns, event, out);
		wl_requests_step(node->requests, now_ns, event, out);
	}
	wl_api_step(node->api, now_ns, event, out);
	while (wl_calls_expire(&node->calls, now_ns, &end))
		call_ended(node, now_ns, &end, out);
	wl_calls_resend(&node->calls, node_leader(node), now_ns, out);
	if (node->drain_ns)
		drain_tick(node, now_ns, out);
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
		if (node->options.entry)
			wl_owner_step(node->owner, now_ns, event, out);
		/* fall through */
	case WL_EVENT_PEER_DOWN:
	case WL_EVENT_CALL_GONE:
		if (node->options.entry)
			wl_requests_step(node->requests, now_ns, event, out);
		return;
	case WL_EVENT_CALL:
		node_call(node, now_ns, event, out);
		return;
	case WL_EVENT_FETCHED:
		if (node->options.entry)
			node_fetched(node, now_ns, event, out);
		return;
	case WL_EVENT_PERSISTED:
		wl_node_persisted(node, now_ns, event->ticket, out);
		return;
	case WL_EVENT_DRAIN:
		node_drain(node, now_ns, event, out);
		return;
	case WL_EVENT_GAUGE:
		wl_metrics_set(&node->metrics, event->peer.at, "", event->index);
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
 * wl_node_step - let an event happen
 * @event: from the daemon's threads; may be moved from, stays the caller's to free
 * @out: gets the actions that the daemon is to carry out
 */
void wl_node_step(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_queued_event_t *queued;

	node_event(node, now_ns, event, &node->scratch);
	node_route(node, now_ns, &node->scratch, out);
	node_route(node, now_ns, &node->deferred, out);
	while ((queued = TAILQ_FIRST(&node->queue))) {
		TAILQ_REMOVE(&node->queue, queued, link);
		node_event(node, now_ns, &queued->event, &node->scratch);
		node_route(node, now_ns, &node->scratch, out);
		node_route(node, now_ns, &node->deferred, out);
		wl_event_free(&queued->event);
		free(queued);
	}
}

/*
 * wl_node_tick_ns - how often the node wants a TICK event
 *
 * Return: nanoseconds.
 */
uint64_t wl_node_tick_ns(const wl_node_t *node)
{
	(void)node;
	return TICK_MS * NS_PER_MS;
}

static bool node_make_entry(wl_node_t *node, uint64_t now_ns, wl_err_t *err)
{
	const wl_node_options_t *o = &node->options;
	wl_need_t request = {o->request_cpu_millis, o->request_memory_mib, 0, 1, 1};
	wl_owner_options_t owner = {
		.entry = o->name,
		.ledger = &node->ledger,
		.view = &node->view,
		.session = &node->session,
		.metrics = &node->metrics,
		.chart = node->target_chart,
		.eviction = o->eviction,
		.announce_ms = o->announce_ms,
		.silence_ms = o->silence_ms,
		.lease_ms = o->lease_ms,
		.session_ms = o->session_ms,
		.grace_ms = o->grace_ms,
		.drift_ms = o->drift_ms,
		.offer_ms = o->room_ms,
		.seed = o->seed,
	};
	wl_request_options_t requests = {
		.entry = o->name,
		.availability_zone = o->availability_zone,
		.ledger = &node->ledger,
		.view = &node->view,
		.session = &node->session,
		.metrics = &node->metrics,
		.routing = o->routing,
		.queueing = o->queueing,
		.default_timeout_ms = o->default_timeout_ms,
		.max_timeout_ms = o->max_timeout_ms,
		.max_queued = o->max_queued,
		.retry_permille = o->retry_permille,
		.room_ms = o->room_ms,
		.seed = o->seed,
	};

	wl_ledger_init(&node->ledger, &request);
	node->owner = wl_owner_new(&owner, now_ns, err);
	if (!node->owner)
		return false;
	requests.owner = node->owner;
	node->requests = wl_requests_new(&requests, now_ns, err);
	return node->requests != NULL;
}

static bool node_make_store(wl_node_t *node, uint64_t now_ns, wl_err_t *err)
{
	const wl_node_options_t *o = &node->options;
	wl_str_t *peers = wl_alloc(o->store_count * sizeof(*peers));
	wl_raft_options_t raft = {
		.id = o->store_id,
		.name = o->name,
		.peers = peers,
		.peer_count = o->store_count,
		.election_ms = o->election_ms,
		.heartbeat_ms = o->heartbeat_ms,
		.compact_entries = o->compact_entries,
		.seed = o->seed ^ o->boot,
	};

	for (size_t i = 0; i < o->store_count; i++)
		peers[i] = o->stores[i].name;
	node->raft = wl_raft_new(&raft, o->saved, now_ns, err);
	free(peers);
	return node->raft && wl_node_make_state(node, now_ns, err);
}

static void node_make_session(wl_node_t *node, uint64_t now_ns)
{
	const wl_node_options_t *o = &node->options;
	wl_session_options_t session = {
		.entry = o->name,
		.address = o->peer_address,
		.availability_zone = o->availability_zone,
		.boot = o->boot,
		.store_count = o->store_count,
		.renew_ms = o->renew_ms,
	};

	node->store_names = wl_alloc(o->store_count * sizeof(*node->store_names));
	for (size_t i = 0; i < o->store_count; i++)
		node->store_names[i] = o->stores[i].name;
	session.stores = node->store_names;
	wl_session_init(&node->session, &session, now_ns);
}

static void node_make_api(wl_node_t *node)
{
	wl_api_options_t api = {
		.name = node->options.name,
		.view = &node->view,
		.session = &node->session,
		.metrics = &node->metrics,
		.operator_token = node->options.operator_token,
		.entry = node->options.entry,
		.boot = node->options.boot,
	};

	node->api = wl_api_new(&api);
}

/*
 * wl_node_new - make the decisions of one daemon
 * @options: its strings must outlive the node; the saved state is taken over
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_BAD_INPUT for a chart or a policy's name, WL_E_DAMAGED for saved state
 *
 * Return: the node, or NULL.
 */
wl_node_t *wl_node_new(const wl_node_options_t *options, uint64_t now_ns, wl_err_t *err)
{
	wl_node_t *node = wl_alloc(sizeof(*node));
	bool ok = true;

	node->options = *options;
	options_fill(&node->options);
	TAILQ_INIT(&node->queue);
	wl_metrics_init(&node->metrics);
	wl_view_init(&node->view);
	wl_calls_init(&node->calls, options->boot);
	node_make_session(node, now_ns);
	node_make_api(node);

	node->task_chart = wl_chart_load(&wl_task_chart_binding, options->task_chart, err);
	node->target_chart = node->task_chart ? wl_chart_load(&wl_target_chart_binding,
							      options->target_chart, err)
					      : NULL;
	ok = node->target_chart != NULL;
	if (ok && options->entry)
		ok = node_make_entry(node, now_ns, err);
	if (ok && options->store)
		ok = node_make_store(node, now_ns, err);
	if (!ok) {
		wl_node_free(node);
		return NULL;
	}
	dial_stores(node, &node->deferred);
	return node;
}

/*
 * wl_node_free - release a node
 */
void wl_node_free(wl_node_t *node)
{
	wl_queued_event_t *queued;

	if (!node)
		return;
	while ((queued = TAILQ_FIRST(&node->queue))) {
		TAILQ_REMOVE(&node->queue, queued, link);
		wl_event_free(&queued->event);
		free(queued);
	}
	wl_requests_free(node->requests);
	wl_owner_free(node->owner);
	if (node->options.entry && node->target_chart)
		wl_ledger_free(&node->ledger);
	wl_leader_free(node->leader);
	wl_state_free(node->state);
	wl_raft_free(node->raft);
	wl_api_free(node->api);
	wl_calls_free(&node->calls);
	wl_session_free(&node->session);
	wl_view_free(&node->view);
	wl_chart_free(node->task_chart);
	wl_chart_free(node->target_chart);
	wl_metrics_free(&node->metrics);
	wl_out_free(&node->scratch);
	wl_out_free(&node->deferred);
	free(node->store_names);
	free(node);
}
