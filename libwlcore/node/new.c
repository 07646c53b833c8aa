/* Creation and release of a node. */

#include "internal.h"

#include <stdlib.h>

#include <libwlbase/preset.h>

static wl_str_t name_or_default(wl_str_t value, wl_str_t otherwise)
{
	return value.len ? value : otherwise;
}

static void options_set_defaults(wl_node_options_t *options)
{
	options->routing = name_or_default(options->routing, WL_STR("least-slowdown"));
	options->queueing = name_or_default(options->queueing, WL_STR("fair-deadline"));
	options->placement = name_or_default(options->placement, WL_STR("interference-fair"));
	options->eviction = name_or_default(options->eviction, WL_STR("least-lost"));
	options->session_ms = wl_preset(options->session_ms, 5000);
	options->renew_ms = wl_preset(options->renew_ms, 1000);
	options->election_ms = wl_preset(options->election_ms, 1000);
	options->heartbeat_ms = wl_preset(options->heartbeat_ms, 150);
	options->lease_ms = wl_preset(options->lease_ms, 8000);
	options->grace_ms = wl_preset(options->grace_ms, 5000);
	options->drift_ms = wl_preset(options->drift_ms, 500);
	options->announce_ms = wl_preset(options->announce_ms, 1000);
	options->silence_ms = wl_preset(options->silence_ms, 3000);
	options->room_ms = wl_preset(options->room_ms, 100);
	options->drain_ms = wl_preset(options->drain_ms, 30000);
	options->default_timeout_ms = wl_preset(options->default_timeout_ms, 30000);
	options->max_timeout_ms = wl_preset(options->max_timeout_ms, 600000);
	options->max_queued = wl_preset(options->max_queued, 10000);
	options->request_cpu_millis = wl_preset(options->request_cpu_millis, 1000);
	options->request_memory_mib = wl_preset(options->request_memory_mib, 512);
	options->long_ms = wl_preset(options->long_ms, 60000);
	options->long_share_permille = wl_preset(options->long_share_permille, 500);
	options->key_keep_ms = wl_preset(options->key_keep_ms, 24ull * 3600 * 1000);
	options->task_keep_ms = wl_preset(options->task_keep_ms, 24ull * 3600 * 1000);
	options->compact_entries = wl_preset(options->compact_entries, 8192);
	options->max_voters = wl_preset(options->max_voters, 5);
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
		.exchange_interval_ms = o->room_ms,
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
	size_t count = o->replica_port ? node->seeds.count : o->store_count;
	wl_str_t *peers = wl_alloc((count + 1) * sizeof(*peers));
	wl_raft_options_t raft = {
		.id = o->store_id,
		.name = o->name,
		.peers = peers,
		.peer_count = count,
		.election_ms = o->election_ms,
		.heartbeat_ms = o->heartbeat_ms,
		.compact_entries = o->compact_entries,
		.max_voters = o->replica_port ? o->max_voters : 0,
		.never_found = o->never_found,
		.replace_ms = o->replace_ms,
		.seed = o->seed ^ o->boot,
	};

	for (size_t i = 0; i < count; i++)
		peers[i] = o->replica_port ? wl_buf_str((const wl_buf_t *)node->seeds.items + i)
					   : o->stores[i].name;
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
		.renew_ms = o->renew_ms,
	};

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

static void node_make_gate(wl_node_t *node)
{
	wl_gate_options_t gate = {
		.dialect = node->options.dialect,
		.session = &node->session,
		.metrics = &node->metrics,
		.entry = node->options.entry,
		.control_port = node->options.control_port,
		.report_route = wl_node_report_route,
		.report_acknowledged = wl_node_report_acknowledged,
		.context = node,
	};

	if (node->options.dialect)
		node->gate = wl_gate_new(&gate);
}

/*
 * wl_node_new - create the node of one daemon
 * @options: its strings must outlive the node; the saved state is moved from
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_BAD_INPUT for an invalid chart or policy name, WL_E_DAMAGED for invalid saved state
 *
 * Return: the node, or NULL.
 */
wl_node_t *wl_node_new(const wl_node_options_t *options, uint64_t now_ns, wl_err_t *err)
{
	wl_node_t *node = wl_alloc(sizeof(*node));
	bool ok = true;

	node->options = *options;
	options_set_defaults(&node->options);
	if (options->seeds)
		wl_strings_set(&node->seeds, options->seeds);
	node->options.seeds = NULL;
	TAILQ_INIT(&node->queue);
	wl_metrics_init(&node->metrics);
	wl_view_init(&node->view);
	wl_calls_init(&node->calls, options->boot);
	wl_conditionals_init(&node->conditionals);
	node_make_session(node, now_ns);
	node_make_api(node);
	node_make_gate(node);

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
	wl_node_replicas_update(node, &node->deferred);
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
	wl_agent_free(node->agent);
	wl_reports_free(node->reports);
	wl_sched_free(node->sched);
	wl_leader_free(node->leader);
	wl_state_free(node->state);
	wl_raft_free(node->raft);
	wl_api_free(node->api);
	wl_gate_free(node->gate);
	wl_calls_free(&node->calls);
	wl_conditionals_free(&node->conditionals);
	wl_start_times_free(&node->measures.proposed);
	wl_session_free(&node->session);
	wl_view_free(&node->view);
	wl_chart_free(node->task_chart);
	wl_chart_free(node->target_chart);
	wl_metrics_free(&node->metrics);
	wl_out_free(&node->scratch);
	wl_out_free(&node->deferred);
	wl_buf_free(&node->role_leader);
	wl_strings_free(&node->seeds);
	wl_strings_free(&node->replicas);
	free(node->store_names);
	free(node);
}
