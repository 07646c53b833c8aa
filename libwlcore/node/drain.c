/*
 * Draining before a planned stop.  The daemon reports not ready and transfers
 * its leadership, then waits for its requests to finish, for its targets to get
 * other owners and for its session to end, in this order.  No request is
 * interrupted unless the drain time (options.drain_ms) runs out.
 */

#include "internal.h"

#include <libwlbase/units.h>

#define DRAIN_NOTICE_MS 1000 /* keep serving while not ready, until load balancers notice */
#define SESSION_END_MS	2000 /* deadline for committing the end of this entry's session */
#define TRANSFER_MS	3000 /* longest wait for another replica to become leader */

/*
 * wl_node_drain - start draining before a planned stop; no effect if already started
 * @now_ns: monotonic time, nanoseconds
 * @event: WL_EVENT_DRAIN
 */
void wl_node_drain(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->drain_started_ns)
		return;
	node->drain_started_ns = now_ns ? now_ns : 1;
	wl_out_log(out, WL_INFO, "drain-begin", "open_requests=%zu",
		   node->options.entry ? wl_requests_open(node->requests) : 0);
	wl_api_drain(node->api);
	if (node->gate)
		wl_gate_drain(node->gate);
	if (node->options.entry)
		wl_session_step(&node->session, &node->view, now_ns, event, out);
	wl_node_transfer_leadership(node, now_ns, out);
}

static bool owns_targets(const wl_node_t *node)
{
	const wl_view_target_t *target;

	TAILQ_FOREACH (target, &node->view.targets, link)
		if (target->row.session == node->session.id && target->row.entry.len)
			return true;
	return false;
}

/* Whether all other entries are draining too, so that none can take over targets. */
static bool others_draining(const wl_node_t *node)
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
	wl_session_close(&node->session);
	cmd.u.session_end.session = node->session.id;
	wl_out_leader_command(out, WL_PART_ID(WL_PART_NODE, 1), &cmd,
			      now_ns + SESSION_END_MS * WL_NS_PER_MS);
	wl_cmd_free(&cmd);
}

/* Drains the entry: waits for requests, then for targets, then ends the session. */
static bool entry_drained(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	if (node->session_ended)
		return true;
	wl_requests_drain(node->requests);
	if (wl_requests_open(node->requests) > 0)
		return false;
	if (node->session_ending)
		return false;
	if (!wl_session_valid(&node->session, now_ns))
		return true;
	if (!owns_targets(node) || others_draining(node))
		end_session(node, now_ns, out);
	return false;
}

/* Whether nothing is left that the daemon must finish before it exits. */
static bool drained(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	uint64_t since_ms = (now_ns - node->drain_started_ns) / WL_NS_PER_MS;
	bool leads = node->raft && wl_raft_is_leader(node->raft);

	if (since_ms < DRAIN_NOTICE_MS || wl_api_open(node->api) > 0 ||
	    (node->gate && wl_gate_open(node->gate) > 0))
		return false;
	/* A replica that was elected again because the others have stopped must not wait longer. */
	if (leads && since_ms < TRANSFER_MS)
		return false;
	return !node->options.entry || entry_drained(node, now_ns, out);
}

/*
 * wl_node_drain_tick - continue draining; adds an EXIT action when it is complete or late
 * @now_ns: monotonic time, nanoseconds
 */
void wl_node_drain_tick(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	bool late = now_ns >= node->drain_started_ns + node->options.drain_ms * WL_NS_PER_MS;
	wl_action_t *action;

	if (node->exiting || !(drained(node, now_ns, out) || late))
		return;
	node->exiting = true;
	wl_out_log(out, late ? WL_WARN : WL_INFO, "drain-end", "late=%s", late ? "yes" : "no");
	action = wl_out_add(out, WL_ACTION_EXIT);
	wl_buf_set(&action->line, late ? WL_STR("drain-late") : WL_STR("drained"));
}
