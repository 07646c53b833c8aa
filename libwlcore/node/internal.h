#ifndef WL_NODE_INTERNAL_H
#define WL_NODE_INTERNAL_H

#include <sys/queue.h>

#include <libwlcore/agent/agent.h>
#include <libwlcore/agent/reports.h>
#include <libwlcore/api/api.h>
#include <libwlcore/api/auth.h>
#include <libwlcore/gate/gate.h>
#include <libwlcore/node/calls.h>
#include <libwlcore/node/conditional.h>
#include <libwlcore/leader/leader.h>
#include <libwlcore/node/node.h>
#include <libwlcore/owner/owner.h>
#include <libwlcore/request/request.h>
#include <libwlcore/node/session.h>
#include <libwlcore/node/start_times.h>
#include <libwlcore/sched/sched.h>
#include <libwlcore/state/state.h>
#include <libwlcore/node/view.h>

typedef struct wl_queued_event {
	wl_event_t event;
	TAILQ_ENTRY(wl_queued_event) link;
} wl_queued_event_t;

/* Timing of events, commits and writes; a metric is looked up when its first value is recorded. */
typedef struct wl_measures {
	wl_start_times_t proposed; /* start times of proposals, by tag */
	uint64_t ticket;	   /* of the write in progress */
	uint64_t ticket_ns;
	wl_metric_t *event_wait[WL_EVENT_KINDS];
	wl_metric_t *commit;
	wl_metric_t *persist;
} wl_measures_t;

struct wl_node {
	wl_node_options_t options;
	wl_list_t seeds;       /* strings */
	wl_list_t replicas;    /* strings: the seeds and members that this daemon knows */
	wl_str_t *store_names; /* the names in replicas, for the session */
	wl_metrics_t metrics;
	wl_measures_t measures;
	wl_chart_t *task_chart;
	wl_chart_t *target_chart;

	/* role entry */
	wl_view_t view;
	wl_session_t session;
	wl_ledger_t ledger;
	wl_owner_t *owner;
	wl_requests_t *requests;

	/* role store */
	wl_raft_t *raft;
	wl_state_t *state;
	wl_leader_t *leader;
	wl_sched_t *sched;
	wl_agent_t *agent;
	wl_reports_t *reports;
	uint64_t applied; /* index of the last applied log entry */
	bool leading;
	const char *role; /* last logged role, with its term and leader */
	uint64_t role_term;
	wl_buf_t role_leader;
	size_t known_replicas; /* as reported last, and so is the next */
	uint64_t probes_ignored;
	uint64_t next_seek_ns;	       /* next search for replicas to dial */
	uint64_t next_no_group_log_ns; /* next log line about belonging to no group */

	wl_api_t *api;
	wl_gate_t *gate;  /* NULL without a dialect */
	uint64_t wall_ms; /* Unix time at the last tick */
	wl_calls_t calls;
	wl_conditionals_t conditionals;

	uint64_t drain_started_ns; /* when draining started; 0: not draining */
	bool session_ending;
	bool session_ended;
	bool exiting;

	TAILQ_HEAD(wl_queued_events, wl_queued_event) queue;
	wl_out_t scratch;
	wl_out_t deferred; /* actions that result from routing other actions */
};

bool wl_node_is_store(const wl_node_t *node, wl_str_t name);
void wl_node_undial(const wl_node_t *node, wl_str_t name, wl_out_t *out);
void wl_node_dial(wl_out_t *out, wl_str_t name, wl_str_t address);
void wl_node_leader_hint(wl_node_t *node, wl_str_t name, wl_out_t *out);
void wl_node_seeds_set(wl_node_t *node, const wl_list_t *seeds, wl_out_t *out);
void wl_node_replicas_update(wl_node_t *node, wl_out_t *out);
void wl_node_drain(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_node_drain_tick(wl_node_t *node, uint64_t now_ns, wl_out_t *out);
bool wl_node_make_state(wl_node_t *node, uint64_t now_ns, wl_err_t *err);
void wl_node_propose(wl_node_t *node, uint64_t now_ns, wl_action_t *action, wl_out_t *out);
void wl_node_raft_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_node_raft_tick(wl_node_t *node, uint64_t now_ns, wl_out_t *out);
void wl_node_persisted(wl_node_t *node, uint64_t now_ns, uint64_t ticket, wl_out_t *out);
void wl_node_transfer_leadership(wl_node_t *node, uint64_t now_ns, wl_out_t *out);
void wl_node_agents_update(wl_node_t *node, uint64_t now_ns, wl_out_t *out);
void wl_node_agent_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
wl_report_route_t wl_node_report_route(void *context, uint64_t now_ns,
				       const wl_runner_report_t *report);
void wl_node_report_acknowledged(void *context, uint64_t sent_ns);
void wl_node_link_down(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_node_measure_event(wl_node_t *node, uint64_t now_ns, const wl_event_t *event);
void wl_node_measure_applied(wl_node_t *node, uint64_t now_ns, uint64_t tag);
void wl_node_measure_persisted(wl_node_t *node, uint64_t now_ns, const wl_event_t *event);
void wl_node_leader_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out);

#endif
