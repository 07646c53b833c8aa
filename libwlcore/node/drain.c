/*
 * Planned stop of a daemon: not ready first, then leadership, requests,
 * targets and the session, in this order, and never a request cut off.
 */

#include "internal.h"

#include <libwlbase/units.h>

#define DRAIN_NOTICE_MS 1000 /* not ready, yet still serving: the balancer needs a moment */
#define SESSION_END_MS	2000 /* longest wait for the end of the own session to be committed */
#define HAND_OVER_MS	3000 /* longest wait for another replica to lead */

/*
 * wl_node_drain - begin a planned stop
 */
void wl_node_drain(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (node->drain_ns)
		return;
	node->drain_ns = now_ns ? now_ns : 1;
	wl_out_log(out, WL_INFO, "drain-begin", "open_requests=%zu",
		   node->options.entry ? wl_requests_open(node->requests) : 0);
	wl_api_drain(node->api);
	if (node->gate)
		wl_gate_drain(node->gate);
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
	wl_session_close(&node->session);
	cmd.u.session_end.session = node->session.id;
	wl_out_leader_command(out, WL_PART_ID(WL_PART_NODE, 1), &cmd,
			      now_ns + SESSION_END_MS * WL_NS_PER_MS);
	wl_cmd_free(&cmd);
}

/* The entry's part of a planned stop: requests first, then targets, then the session. */
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
	if (!owns_targets(node) || all_draining(node))
		end_session(node, now_ns, out);
	return false;
}

/* What still has to end before the daemon may. */
static bool drained(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	uint64_t since_ms = (now_ns - node->drain_ns) / WL_NS_PER_MS;
	bool leads = node->raft && wl_raft_is_leader(node->raft);

	if (since_ms < DRAIN_NOTICE_MS || wl_api_open(node->api) > 0 ||
	    (node->gate && wl_gate_open(node->gate) > 0))
		return false;
	/* One that leads again because the others have gone must not wait for them. */
	if (leads && since_ms < HAND_OVER_MS)
		return false;
	return !node->options.entry || entry_drained(node, now_ns, out);
}

/*
 * wl_node_drain_tick - go on with a planned stop; ends in one EXIT action
 */
void wl_node_drain_tick(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	bool late = now_ns >= node->drain_ns + node->options.drain_ms * WL_NS_PER_MS;
	wl_action_t *action;

	if (node->exiting || !(drained(node, now_ns, out) || late))
		return;
	node->exiting = true;
	wl_out_log(out, late ? WL_WARN : WL_INFO, "drain-end", "late=%s", late ? "yes" : "no");
	action = wl_out_add(out, WL_ACTION_EXIT);
	wl_buf_set(&action->line, late ? WL_STR("drain-late") : WL_STR("drained"));
}
