/* The agent of a replica: what it and the leader are told, and the reports it answers. */

#include "internal.h"

/*
 * wl_node_agents_follow - let the leader use the replicas that answer it, and no others
 */
void wl_node_agents_follow(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	wl_list_t names = {0};

	if (!node->leading || !node->sched)
		return;
	wl_raft_reachable_names(node->raft, now_ns, &names);
	wl_sched_agents_set(node->sched, now_ns, &names, out);
	wl_strings_free(&names);
}

/*
 * wl_node_agent_event - give an event to the agent of this replica
 */
void wl_node_agent_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->agent)
		wl_agent_step(node->agent, event, out);
	if (node->reports && event->kind == WL_EVENT_TICK)
		wl_reports_tick(node->reports, now_ns, out);
}

/*
 * wl_node_report_known - whether this replica answers a target's report by itself
 * @context: the node
 */
bool wl_node_report_known(void *context, uint64_t now_ns, const wl_runner_report_t *report)
{
	wl_node_t *node = context;

	return node->reports && wl_reports_known(node->reports, now_ns, report);
}

/*
 * wl_node_report_carried - the leader has answered a report that was carried to it
 * @context: the node
 * @sent_ns: when it was sent
 */
void wl_node_report_carried(void *context, uint64_t sent_ns)
{
	wl_node_t *node = context;

	if (node->reports)
		wl_reports_carried(node->reports, sent_ns);
}

/*
 * wl_node_link_down - messages that were sent to a daemon may be lost
 */
void wl_node_link_down(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->leading && node->sched)
		wl_sched_step(node->sched, now_ns, event, out);
}
