/*
 * A daemon in the role "store", which is a replica: executes the actions of the log, applies
 * commands, and drives the leader.
 */

#include "internal.h"

#include <string.h>

#include <libwlbase/units.h>

#define SEEK_INTERVAL_MS 100   /* between searches for replicas to dial, while no leader is known */
#define NO_GROUP_LOG_MS	 10000 /* between log lines of a replica that belongs to no group */

static void raft_event(wl_node_t *node, uint64_t now_ns, const wl_raft_event_t *event,
		       wl_out_t *out);

static void fatal(wl_out_t *out, const char *what, const wl_err_t *err)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_FATAL);

	wl_buf_printf(&action->line, "%s: %s", what, err->text);
}

static void leader_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (!node->leading)
		return;
	wl_leader_step(node->leader, now_ns, event, out);
	if (node->sched)
		wl_sched_step(node->sched, now_ns, event, out);
}

static void apply_entry(wl_node_t *node, uint64_t now_ns, const wl_raft_entry_t *entry,
			const wl_cmd_t *cmd, wl_out_t *out)
{
	wl_result_t result;
	wl_event_t event;

	memset(&result, 0, sizeof(result));
	wl_node_measure_applied(node, now_ns, entry->tag);
	wl_state_apply(node->state, entry->index, cmd, &result);
	wl_event_init(&event, WL_EVENT_APPLIED);
	event.tag = entry->tag;
	event.index = entry->index;
	event.term = entry->term;
	event.cmd = cmd;
	event.result = &result;
	leader_event(node, now_ns, &event, out);
	wl_result_free(&result);
}

/* Logs the members, each as NAME:ID, followed by "+learner" if it has no vote. */
static void members_log(const wl_raft_entry_t *entry, wl_out_t *out)
{
	wl_raft_members_t members;
	wl_buf_t list = {0};
	wl_err_t err;

	if (!wl_record_unpack(&wl_raft_members_schema, wl_buf_str(&entry->data), &members, &err))
		return;
	for (size_t i = 0; i < members.members.count; i++) {
		const wl_raft_member_t *member = (wl_raft_member_t *)members.members.items + i;

		wl_buf_printf(&list, "%s" WL_STR_FMT ":%016llx%s", i ? "," : "",
			      WL_STR_ARG(wl_buf_str(&member->name)), (unsigned long long)member->id,
			      member->voter ? "" : "+learner");
	}
	wl_out_log(out, WL_INFO, "members", "index=%llu members=" WL_STR_FMT,
		   (unsigned long long)entry->index, WL_STR_ARG(wl_buf_str(&list)));
	wl_buf_free(&list);
	wl_record_free(&wl_raft_members_schema, &members);
}

/* Updates the known replicas after a change of members, which is effective once appended. */
static void members_update(wl_node_t *node, wl_out_t *out)
{
	wl_list_t names = {0};

	wl_raft_member_names(node->raft, &names);
	wl_leader_replicas_set(node->leader, &names);
	wl_strings_free(&names);
	wl_node_replicas_update(node, out);
}

static void do_commit(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_cmd_t cmd;
	wl_err_t err;

	node->applied = action->entry.index;
	if (action->entry.kind == WL_RAFT_MEMBERS) {
		members_log(&action->entry, out);
		members_update(node, out);
	}
	if (action->entry.kind != WL_RAFT_DATA)
		return;
	if (!wl_cmd_unpack(wl_buf_str(&action->entry.data), &cmd, &err)) {
		fatal(out, "committed command is invalid", &err);
		return;
	}
	apply_entry(node, now_ns, &action->entry, &cmd, out);
	wl_cmd_free(&cmd);
}

static void do_restore(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_err_t err;

	(void)now_ns;
	node->applied = action->index;
	if (!wl_state_unpack(node->state, wl_buf_str(&action->data), &err))
		fatal(out, "state of the snapshot cannot be decoded", &err);
	members_update(node, out);
}

static void do_snapshot(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_raft_event_t event = {.kind = WL_RAFT_EV_SNAPSHOT, .index = node->applied};
	wl_buf_t packed = {0};

	(void)action;
	wl_state_pack(node->state, &packed);
	event.data = wl_buf_str(&packed);
	raft_event(node, now_ns, &event, out);
	wl_buf_free(&packed);
}

static void do_lead(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_event_t event;

	node->leading = true;
	members_update(node, out);
	wl_event_init(&event, WL_EVENT_LEAD);
	event.term = action->term;
	event.index = action->index;
	event.group = wl_raft_group(node->raft);
	event.wall_ms = node->wall_ms;
	leader_event(node, now_ns, &event, out);
}

static void do_follow(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_event_t event;

	if (!node->leading)
		return;
	wl_event_init(&event, WL_EVENT_FOLLOW);
	event.term = action->term;
	leader_event(node, now_ns, &event, out);
	wl_start_times_clear(&node->measures.proposed);
	node->leading = false;
}

static void do_drop(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_DROPPED);
	event.tag = action->tag;
	event.verdict = action->verdict;
	leader_event(node, now_ns, &event, out);
}

static void do_send(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	wl_msg_t *msg = wl_out_send(out, wl_buf_str(&action->name), WL_MSG_RAFT);

	(void)node;
	(void)now_ns;
	msg->u.raft = action->msg;
	memset(&action->msg, 0, sizeof(action->msg));
}

static void do_persist(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action, wl_out_t *out)
{
	node->measures.ticket = action->persist.ticket;
	node->measures.ticket_ns = now_ns;
	wl_out_add(out, WL_ACTION_PERSIST)->persist = action->persist;
	memset(&action->persist, 0, sizeof(action->persist));
}

typedef void (*raft_handler_t)(wl_node_t *node, uint64_t now_ns, wl_raft_action_t *action,
			       wl_out_t *out);

static const raft_handler_t raft_handlers[] = {
	[WL_RAFT_DO_SEND] = do_send,	 [WL_RAFT_DO_PERSIST] = do_persist,
	[WL_RAFT_DO_COMMIT] = do_commit, [WL_RAFT_DO_RESTORE] = do_restore,
	[WL_RAFT_DO_LEAD] = do_lead,	 [WL_RAFT_DO_FOLLOW] = do_follow,
	[WL_RAFT_DO_DROP] = do_drop,	 [WL_RAFT_DO_SNAPSHOT] = do_snapshot,
};

/* Logs the replica's role, term and leader when one of them has changed. */
static void role_log(wl_node_t *node, wl_out_t *out)
{
	const char *role = wl_raft_role_name(node->raft);
	uint64_t term = wl_raft_term(node->raft);
	wl_str_t leader = wl_raft_leader_name(node->raft);

	if (role == node->role && term == node->role_term &&
	    wl_str_equal(leader, wl_buf_str(&node->role_leader)))
		return;
	node->role = role;
	node->role_term = term;
	wl_buf_set(&node->role_leader, leader);
	wl_out_log(out, WL_INFO, "replica", "role=%s term=%llu leader=" WL_STR_FMT " commit=%llu",
		   role, (unsigned long long)term, WL_STR_ARG(leader),
		   (unsigned long long)wl_raft_commit_index(node->raft));
}

static void raft_event(wl_node_t *node, uint64_t now_ns, const wl_raft_event_t *event,
		       wl_out_t *out)
{
	wl_raft_out_t actions;

	wl_raft_out_init(&actions);
	wl_raft_step(node->raft, now_ns, event, &actions);
	for (size_t i = 0; i < actions.count; i++)
		raft_handlers[actions.actions[i].kind](node, now_ns, &actions.actions[i], out);
	wl_raft_out_clear(&actions);
	role_log(node, out);
}

static bool make_sched(wl_node_t *node, wl_err_t *err)
{
	wl_sched_options_t sched = {
		.name = node->options.name,
		.leader = node->leader,
		.raft = node->raft,
		.jobs = wl_state_jobs(node->state),
		.metrics = &node->metrics,
		.placement = node->options.job_placement,
		.dispatch = node->options.job_dispatch,
		.cost_clock_ns = node->options.cost_clock_ns,
	};
	wl_agent_options_t agent = {
		.dialect = node->options.dialect,
		.raft = node->raft,
		.metrics = &node->metrics,
	};
	wl_reports_options_t reports = {
		.jobs = wl_state_jobs(node->state),
		.raft = node->raft,
		.metrics = &node->metrics,
	};

	node->agent = wl_agent_new(&agent);
	node->reports = wl_reports_new(&reports);
	node->sched = wl_sched_new(&sched, err);
	return node->sched != NULL;
}

/*
 * wl_node_make_state - create the replicated state and the leader of a replica
 * @now_ns: monotonic time, nanoseconds
 * @err: why it failed
 *
 * Return: false on error.
 */
bool wl_node_make_state(wl_node_t *node, uint64_t now_ns, wl_err_t *err)
{
	const wl_node_options_t *o = &node->options;
	wl_state_options_t state = {
		.task_chart = node->task_chart,
		.key_keep_ms = o->key_keep_ms,
		.task_keep_ms = o->task_keep_ms,
	};
	wl_leader_options_t leader = {
		.entry = o->name,
		.metrics = &node->metrics,
		.placement = o->placement,
		.session_ms = o->session_ms,
		.drift_ms = o->drift_ms,
		.grace_ms = o->grace_ms,
		.lease_ms = o->lease_ms,
		.long_share_permille = o->long_share_permille,
		.long_ms = o->long_ms,
		.seed = o->seed,
	};

	node->state = wl_state_new(&state, err);
	if (!node->state)
		return false;
	leader.state = node->state;
	node->leader = wl_leader_new(&leader, now_ns, err);
	return node->leader && (!o->dialect || make_sched(node, err));
}

/*
 * wl_node_propose - pass a command of the leader to the log
 * @now_ns: monotonic time, nanoseconds
 * @action: WL_ACTION_PROPOSE
 *
 * The resulting actions go to node->deferred, because actions in @out have been routed already.
 */
void wl_node_propose(wl_node_t *node, uint64_t now_ns, wl_action_t *action, wl_out_t *out)
{
	wl_raft_event_t event = {.kind = WL_RAFT_EV_PROPOSE, .tag = action->tag};
	wl_buf_t packed = {0};

	(void)out;
	wl_cmd_pack(&action->cmd, &packed);
	event.data = wl_buf_str(&packed);
	wl_start_times_begin(&node->measures.proposed, action->tag, now_ns);
	raft_event(node, now_ns, &event, &node->deferred);
	wl_buf_free(&packed);
}

/*
 * wl_node_raft_message - pass a message from another replica to the log
 */
void wl_node_raft_message(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_raft_event_t raft = {
		.kind = WL_RAFT_EV_MSG,
		.msg = &event->msg.u.raft,
		.name = wl_buf_str(&event->peer),
	};

	if (node->raft)
		raft_event(node, now_ns, &raft, out);
}

/* Reports the replicas known by name, and those that found no place among them. */
static void known_report(wl_node_t *node, wl_out_t *out)
{
	uint64_t ignored = wl_raft_probes_ignored(node->raft);
	size_t known = wl_raft_known_count(node->raft);

	if (known != node->known_replicas)
		wl_metrics_set(&node->metrics, "wisterialead_known_replicas", "", known);
	node->known_replicas = known;
	if (ignored == node->probes_ignored)
		return;
	wl_metrics_set(&node->metrics, "wisterialead_probes_ignored_total", "", ignored);
	wl_out_log(out, WL_WARN, "probe-ignored", "ignored=%llu known=%zu",
		   (unsigned long long)ignored, known);
	node->probes_ignored = ignored;
}

/*
 * wl_node_raft_tick - run the timers of the log
 * @now_ns: monotonic time, nanoseconds
 */
void wl_node_raft_tick(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	wl_raft_event_t event = {.kind = WL_RAFT_EV_TICK};

	if (!node->raft)
		return;
	raft_event(node, now_ns, &event, out);
	known_report(node, out);
	if (node->options.replica_port && wl_raft_discovering(node->raft, now_ns) &&
	    now_ns >= node->next_seek_ns) {
		node->next_seek_ns = now_ns + SEEK_INTERVAL_MS * WL_NS_PER_MS;
		wl_node_replicas_update(node, out);
	}
	if (wl_raft_group(node->raft) != 0 || now_ns < node->next_no_group_log_ns)
		return;
	if (node->next_no_group_log_ns)
		wl_out_log(out, WL_WARN, "store-blank", "waiting=admission-or-founding");
	node->next_no_group_log_ns = now_ns + NO_GROUP_LOG_MS * WL_NS_PER_MS;
}

/*
 * wl_node_persisted - notify the log that a write to stored state is synced
 * @ticket: of the write
 */
void wl_node_persisted(wl_node_t *node, uint64_t now_ns, uint64_t ticket, wl_out_t *out)
{
	wl_raft_event_t event = {.kind = WL_RAFT_EV_PERSISTED, .ticket = ticket};

	if (node->raft)
		raft_event(node, now_ns, &event, out);
}

/*
 * wl_node_transfer_leadership - transfer leadership to another replica before a planned stop
 */
void wl_node_transfer_leadership(wl_node_t *node, uint64_t now_ns, wl_out_t *out)
{
	wl_raft_event_t event = {.kind = WL_RAFT_EV_HAND_OVER};

	if (node->raft && wl_raft_is_leader(node->raft))
		raft_event(node, now_ns, &event, out);
}

static void answer_not_leading(wl_node_t *node, wl_event_t *event, uint64_t call, wl_out_t *out)
{
	wl_msg_result_t *answer =
		&wl_out_send(out, wl_buf_str(&event->peer), WL_MSG_RESULT)->u.result;

	(void)node;
	answer->call = call;
	answer->result.code = WL_E_NO_LEADER;
	answer->result.verdict = WL_NOT_RUN;
	wl_buf_set(&answer->result.text, WL_STR("this replica does not lead"));
}

static void answer_renew_not_leading(wl_node_t *node, wl_event_t *event, wl_out_t *out)
{
	const wl_msg_renew_t *renew = &event->msg.u.renew;
	wl_msg_renewed_t *answer =
		&wl_out_send(out, wl_buf_str(&event->peer), WL_MSG_RENEWED)->u.renewed;
	wl_str_t leader = node->raft ? wl_raft_leader_name(node->raft) : WL_STR("");

	answer->boot = renew->boot;
	answer->sent_ns = renew->sent_ns;
	answer->code = WL_E_NO_LEADER;
	/*
	 * A newly elected replica names itself as leader, but does not lead until the first log
	 * entry of its term is committed.  If it answered with its own name, the entry would
	 * retry here in a loop until then.
	 */
	if (!wl_str_equal(leader, node->options.name))
		wl_buf_set(&answer->leader, leader);
}

static void answer_no_leader(wl_node_t *node, wl_event_t *event, wl_out_t *out)
{
	if (event->kind != WL_EVENT_PEER)
		return;
	if (event->msg.kind == WL_MSG_COMMAND)
		answer_not_leading(node, event, event->msg.u.command.call, out);
	else if (event->msg.kind == WL_MSG_QUERY)
		answer_not_leading(node, event, event->msg.u.query.call, out);
	else if (event->msg.kind == WL_MSG_RENEW)
		answer_renew_not_leading(node, event, out);
}

static void query_members(wl_node_t *node, wl_event_t *event, wl_out_t *out)
{
	wl_msg_result_t *answer =
		&wl_out_send(out, wl_buf_str(&event->peer), WL_MSG_RESULT)->u.result;

	answer->call = event->msg.u.query.call;
	wl_buf_append(&answer->result.body, WL_STR("{\"replicas\":"));
	wl_raft_members_json(node->raft, &answer->result.body);
	wl_buf_printf(&answer->result.body, ",\"leader\":\"" WL_STR_FMT "\",\"term\":%llu}\n",
		      WL_STR_ARG(node->options.name), (unsigned long long)wl_raft_term(node->raft));
}

static void query_replace(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	wl_raft_event_t replace = {
		.kind = WL_RAFT_EV_REPLACE,
		.name = wl_buf_str(&event->msg.u.query.name),
	};
	wl_msg_result_t *answer =
		&wl_out_send(out, wl_buf_str(&event->peer), WL_MSG_RESULT)->u.result;

	answer->call = event->msg.u.query.call;
	if (!wl_node_is_store(node, replace.name)) {
		answer->result.code = WL_E_NOT_FOUND;
		wl_buf_set(&answer->result.text, WL_STR("replace: no replica has the given name"));
		return;
	}
	raft_event(node, now_ns, &replace, out);
}

/*
 * Refuses queries, renewals and the scheduler's commands unless the leader's lease is valid.  A
 * leader that has been replaced must not answer them: a new leader waits a full session validity
 * from the start of its leadership, so no older leader may grant a session after that.
 */
static bool refuse_without_lease(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (event->kind != WL_EVENT_PEER)
		return false;
	if (event->msg.kind != WL_MSG_QUERY && event->msg.kind != WL_MSG_RENEW &&
	    !(event->msg.kind == WL_MSG_COMMAND && wl_sched_handles(event)))
		return false;
	if (wl_raft_lease_holds(node->raft, now_ns))
		return false;
	answer_no_leader(node, event, out);
	return true;
}

static bool query_replicas(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (event->kind != WL_EVENT_PEER || event->msg.kind != WL_MSG_QUERY)
		return false;
	if (event->msg.u.query.kind == WL_QUERY_MEMBERS)
		query_members(node, event, out);
	else if (event->msg.u.query.kind == WL_QUERY_REPLACE)
		query_replace(node, now_ns, event, out);
	else
		return false;
	return true;
}

/*
 * wl_node_leader_event - pass an event to the leader, or answer that this daemon does not lead
 */
void wl_node_leader_event(wl_node_t *node, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (!node->leading) {
		answer_no_leader(node, event, out);
		return;
	}
	if (refuse_without_lease(node, now_ns, event, out) ||
	    query_replicas(node, now_ns, event, out))
		return;
	if (node->sched && wl_sched_handles(event)) {
		wl_sched_step(node->sched, now_ns, event, out);
		return;
	}
	leader_event(node, now_ns, event, out);
}
