/*
 * The agent of a replica, which sends the leader's orders to targets, and the reports of targets
 * that a replica answers without the leader.
 */

#include "internal.h"

/*
 * wl_node_agents_update - make the leader use the agents of exactly the replicas that answer it
 * @now_ns: monotonic time, nanoseconds
 */
void wl_node_agents_update(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	wl_list_t names = {0};

	if (!node->leading || !node->sched)
		return;
	wl_raft_reachable_names(node->raft, now_ns, &names);
	wl_sched_agents_set(node->sched, now_ns, &names, out);
	wl_strings_free(&names);
}

/*
 * wl_node_agent_event - pass an event to the agent of this replica
 */
void wl_node_agent_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->agent)
		wl_agent_step(node->agent, now_ns, event, out);
	if (node->reports && event->kind == WL_EVENT_TICK)
		wl_reports_tick(node->reports, now_ns, out);
}

/*
 * wl_node_report_route - choose what becomes of a target's report
 * @context: the node
 * @now_ns: monotonic time, nanoseconds
 */
wl_report_route_t wl_node_report_route(void *context, uint64_t now_ns,
				       const wl_runner_report_t *report)
{
	wl_node_t *node = context;

	return node->reports ? wl_reports_route(node->reports, now_ns, report) : WL_REPORT_FORWARD;
}

/*
 * wl_node_report_acknowledged - record that the leader has answered a forwarded report
 * @context: the node
 * @sent_ns: when the report was forwarded, monotonic time in nanoseconds
 */
void wl_node_report_acknowledged(void *context, uint64_t sent_ns)
{
	wl_node_t *node = context;

	if (node->reports)
		wl_reports_leader_answered(node->reports, sent_ns);
}

/*
 * wl_node_link_down - handle the loss of a connection: messages sent to that daemon may be lost
 */
void wl_node_link_down(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->leading && node->sched)
		wl_sched_step(node->sched, now_ns, event, out);
}
