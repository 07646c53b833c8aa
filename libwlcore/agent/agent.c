/*
 * The agent of a replica: turns orders of the leader into HTTP calls to targets.
 *
 * Results are collected from tick to tick, so that the leader of many targets receives few
 * messages.
 */

#include "agent.h"

#include <stdlib.h>
#include <sys/queue.h>

#include <libwlbase/preset.h>
#include <libwlbase/units.h>

#define CALLS_MAX_DEFAULT 4096
#define ENDS_MAX	  64 /* results that wait for the next tick */

/* An order in flight. */
typedef struct wl_agent_call {
	wl_str_t key; /* over id */
	uint64_t id;  /* of the HTTP call */
	uint64_t order;
	wl_order_kind_t kind;
	wl_buf_t leader; /* that sent the order */
	wl_buf_t runner;
	TAILQ_ENTRY(wl_agent_call) link;
} wl_agent_call_t;

struct wl_agent {
	wl_agent_options_t options;
	uint64_t next_id;
	wl_map_t by_id;
	TAILQ_HEAD(wl_agent_calls, wl_agent_call) calls;
	wl_buf_t leader; /* to which the results in ends go */
	wl_list_t ends;	 /* wl_order_end_t, not sent yet */
};

/*
 * wl_agent_new - create an agent
 * @options: what it points to must outlive the agent
 */
wl_agent_t *wl_agent_new(const wl_agent_options_t *options)
{
	wl_agent_t *agent = wl_alloc(sizeof(*agent));

	agent->options = *options;
	agent->options.calls_max = wl_preset(agent->options.calls_max, CALLS_MAX_DEFAULT);
	wl_map_init(&agent->by_id);
	TAILQ_INIT(&agent->calls);
	return agent;
}

static void call_remove(wl_agent_t *agent, wl_agent_call_t *call)
{
	wl_map_remove(&agent->by_id, call->key);
	TAILQ_REMOVE(&agent->calls, call, link);
	wl_buf_free(&call->leader);
	wl_buf_free(&call->runner);
	free(call);
}

/*
 * wl_agent_free - release an agent; the results of calls in flight are lost
 */
void wl_agent_free(wl_agent_t *agent)
{
	if (!agent)
		return;
	while (!TAILQ_EMPTY(&agent->calls))
		call_remove(agent, TAILQ_FIRST(&agent->calls));
	wl_map_free(&agent->by_id);
	wl_list_free(&wl_order_end_schema, &agent->ends);
	wl_buf_free(&agent->leader);
	free(agent);
}

static wl_msg_ordered_t *message_send(wl_str_t leader, uint64_t now_ns, wl_out_t *out)
{
	wl_msg_ordered_t *msg = &wl_out_send(out, leader, WL_MSG_ORDERED)->u.ordered;

	msg->clock_ms = now_ns / WL_NS_PER_MS;
	return msg;
}

static void ends_send(wl_agent_t *agent, uint64_t now_ns, wl_out_t *out)
{
	if (agent->ends.count == 0)
		return;
	message_send(wl_buf_str(&agent->leader), now_ns, out)->ends = agent->ends;
	agent->ends = (wl_list_t){0};
}

/* Adds a result for a leader. Results for another leader are sent first. */
static wl_order_end_t *end_add(wl_agent_t *agent, uint64_t now_ns, wl_str_t leader, uint64_t order,
			       wl_out_t *out)
{
	wl_order_end_t *end;

	if (!wl_str_equal(wl_buf_str(&agent->leader), leader) || agent->ends.count >= ENDS_MAX)
		ends_send(agent, now_ns, out);
	wl_buf_set(&agent->leader, leader);
	end = wl_list_add(&wl_order_end_schema, &agent->ends);
	end->id = order;
	return end;
}

static void order_refuse(wl_agent_t *agent, uint64_t now_ns, wl_str_t leader,
			 const wl_order_t *order, wl_out_t *out)
{
	wl_metrics_add(agent->options.metrics, "wisterialead_agent_refused_total", "", 1);
	end_add(agent, now_ns, leader, order->id, out)->outcome = WL_ORDER_HELD;
}

static void order_send(wl_agent_t *agent, wl_str_t leader, const wl_order_t *order, wl_out_t *out)
{
	wl_agent_call_t *call = wl_alloc(sizeof(*call));
	wl_fetch_t *fetch = &wl_out_add(out, WL_ACTION_FETCH)->fetch;

	call->id = WL_PART_ID(WL_PART_AGENT, agent->next_id++);
	call->key = (wl_str_t){(const char *)&call->id, sizeof(call->id)};
	call->order = order->id;
	call->kind = (wl_order_kind_t)order->kind;
	wl_buf_set(&call->leader, leader);
	wl_buf_set(&call->runner, wl_buf_str(&order->runner));
	wl_map_put(&agent->by_id, call);
	TAILQ_INSERT_TAIL(&agent->calls, call, link);
	fetch->id = call->id;
	fetch->send_by_ns = order->send_by_ms * WL_NS_PER_MS;
	agent->options.dialect->order_write(order, fetch);
}

/*
 * An order that this agent or the path to it has held for too long is refused: its target may have
 * started again since, and would take the order for a new one.
 */
static bool order_is_late(const wl_order_t *order, uint64_t now_ns)
{
	return order->send_by_ms && now_ns / WL_NS_PER_MS > order->send_by_ms;
}

/* Orders of a leader of an earlier term are refused. */
static void on_orders(wl_agent_t *agent, uint64_t now_ns, wl_str_t leader,
		      const wl_msg_orders_t *msg, wl_out_t *out)
{
	bool stale = msg->term < wl_raft_term(agent->options.raft);
	const wl_order_t *orders = msg->orders.items;

	if (msg->orders.count == 0)
		message_send(leader, now_ns, out);
	for (size_t i = 0; i < msg->orders.count; i++) {
		if (stale || orders[i].kind >= WL_ORDER_KINDS ||
		    order_is_late(&orders[i], now_ns) ||
		    wl_map_count(&agent->by_id) >= agent->options.calls_max)
			order_refuse(agent, now_ns, leader, &orders[i], out);
		else
			order_send(agent, leader, &orders[i], out);
	}
}

/* Clears the target's names of tasks, which the leader does not need: it uses references. */
static void task_names_clear(wl_order_end_t *end)
{
	wl_run_view_t *runs = end->runs.items;
	wl_end_view_t *ends = end->ends.items;

	for (size_t i = 0; i < end->runs.count; i++)
		wl_buf_free(&runs[i].task);
	for (size_t i = 0; i < end->ends.count; i++)
		wl_buf_free(&ends[i].task);
}

static void on_fetched(wl_agent_t *agent, uint64_t now_ns, const wl_fetched_t *fetched,
		       wl_out_t *out)
{
	wl_str_t key = {(const char *)&fetched->id, sizeof(fetched->id)};
	wl_agent_call_t *call = wl_map_get(&agent->by_id, key);
	wl_order_end_t *end;
	wl_err_t err;

	if (!call)
		return;
	end = end_add(agent, now_ns, wl_buf_str(&call->leader), call->order, out);
	if (!agent->options.dialect->order_read(call->kind, fetched, end, &err))
		wl_out_log(out, WL_WARN, "order-answer-bad", "target=%s reason=\"%s\"",
			   call->runner.at, err.text);
	end->id = call->order;
	task_names_clear(end);
	call_remove(agent, call);
}

/*
 * wl_agent_step - process one event
 * @now_ns: monotonic time
 * @event: PEER with WL_MSG_ORDERS, FETCHED of WL_PART_AGENT, TICK
 */
void wl_agent_step(wl_agent_t *agent, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_PEER && event->msg.kind == WL_MSG_ORDERS)
		on_orders(agent, now_ns, wl_buf_str(&event->peer), &event->msg.u.orders, out);
	else if (event->kind == WL_EVENT_FETCHED)
		on_fetched(agent, now_ns, &event->fetched, out);
	else if (event->kind == WL_EVENT_TICK)
		ends_send(agent, now_ns, out);
}
