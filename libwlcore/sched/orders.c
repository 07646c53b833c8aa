/*
 * Orders to targets: sent through agents with the leader's epoch, and matched with their
 * answers.
 */

#include "internal.h"

#include <stdlib.h>

/* Time for an order to reach its agent and for the answer to return. */
#define AGENT_ROUND_TRIP_MS 3000
#define EXPIRY_INTERVAL_MS  50

/* How long after its creation an agent may send an order. */
static uint64_t hold_ms(wl_order_kind_t kind)
{
	return kind == WL_ORDER_START ? WL_SCHED_START_TIMEOUT_MS : WL_SCHED_AGENT_HOLD_MS;
}

/* The latest time for the agent to send an order, on its clock; 0: its clock is unknown. */
static uint64_t send_by_ms(const wl_sched_t *sched, uint64_t now_ns,
			   const wl_sched_order_t *in_flight)
{
	uint64_t clock_ms = wl_sched_agent_clock_ms(sched, now_ns, in_flight->agent);

	return clock_ms ? clock_ms + hold_ms(in_flight->kind) : 0;
}

/*
 * wl_sched_order_add - queue an order for the agent of its target
 * @order: kind and what is specific to it; the other fields are filled in here
 * @run: the run that it concerns; NULL: none that is known, or all of the target's
 *
 * Return: the agent.
 */
const wl_sched_agent_t *wl_sched_order_add(wl_sched_t *sched, uint64_t now_ns,
					   wl_sched_runner_t *runner, wl_order_t *order,
					   const wl_sched_run_t *run)
{
	wl_sched_order_t *in_flight = wl_alloc(sizeof(*in_flight));

	in_flight->id = sched->next_id++;
	in_flight->key = (wl_str_t){(const char *)&in_flight->id, sizeof(in_flight->id)};
	in_flight->kind = (wl_order_kind_t)order->kind;
	in_flight->incarnation = runner->incarnation;
	in_flight->lookup = runner->lookup;
	in_flight->percent = order->percent;
	in_flight->sent_ns = now_ns;
	in_flight->late_until_ns =
		now_ns + (hold_ms(in_flight->kind) + WL_SCHED_ORDER_LATE_MS) * WL_NS_PER_MS;
	in_flight->lease_ms = order->lease_ms;
	in_flight->clock_least_ms = wl_sched_runner_clock_least_ms(runner, now_ns);
	in_flight->committed_ends = order->committed_ends;
	in_flight->expires_ns = now_ns + (order->timeout_ms + AGENT_ROUND_TRIP_MS) * WL_NS_PER_MS;
	in_flight->agent = wl_sched_agent_choose(sched, runner, in_flight->kind);
	if (in_flight->kind == WL_ORDER_START)
		wl_sched_agent_start_sent(in_flight->agent);
	wl_buf_set(&in_flight->runner, runner->key);
	if (run)
		wl_buf_set(&in_flight->run, run->key);
	wl_map_put(&sched->orders_by_id, in_flight);
	TAILQ_INSERT_TAIL(&sched->orders, in_flight, link);

	order->id = in_flight->id;
	order->runner = runner->id; /* not owned, like the address */
	order->address = runner->state->report.address;
	order->epoch = sched->epoch << WL_ORDER_EPOCH_TERM_SHIFT | runner->fence;
	order->send_by_ms = send_by_ms(sched, now_ns, in_flight);
	wl_sched_lease_sent(runner, order->lease_ms);
	wl_sched_agent_enqueue(in_flight->agent, order);
	if (order->kind == WL_ORDER_RENEW)
		runner->renewal_id = in_flight->id;
	return in_flight->agent;
}

static void order_remove(wl_sched_t *sched, wl_sched_order_t *in_flight)
{
	wl_map_remove(&sched->orders_by_id, in_flight->key);
	TAILQ_REMOVE(&sched->orders, in_flight, link);
	wl_buf_free(&in_flight->runner);
	wl_buf_free(&in_flight->run);
	free(in_flight);
}

/*
 * wl_sched_orders_clear - remove the orders in flight; their answers will be ignored
 */
void wl_sched_orders_clear(wl_sched_t *sched)
{
	while (!TAILQ_EMPTY(&sched->orders))
		order_remove(sched, TAILQ_FIRST(&sched->orders));
}

/*
 * wl_sched_order_agent - agent that has an order in flight
 *
 * Return: the agent, or NULL if the order is not in flight.
 */
const wl_sched_agent_t *wl_sched_order_agent(const wl_sched_t *sched, uint64_t id)
{
	const wl_sched_order_t *in_flight =
		wl_map_get(&sched->orders_by_id, (wl_str_t){(const char *)&id, sizeof(id)});

	return in_flight ? in_flight->agent : NULL;
}

/*
 * Whether the known incarnation answered. Only the answer to a renewal names it; other orders must
 * have been created for it, and its clock must not be behind.
 */
static bool known_answered(const wl_sched_runner_t *runner, const wl_sched_order_t *in_flight,
			   const wl_order_end_t *end)
{
	if (end->incarnation)
		return end->incarnation == runner->incarnation;
	return in_flight->lookup == runner->lookup &&
	       (!end->has_clock || end->clock_ms >= in_flight->clock_least_ms);
}

static void runner_answered(wl_sched_runner_t *runner, uint64_t now_ns, const wl_order_end_t *end)
{
	if (end->outcome == WL_ORDER_NO_ANSWER || end->outcome == WL_ORDER_NOT_SENT ||
	    end->outcome == WL_ORDER_AGENT_LOST || end->outcome == WL_ORDER_HELD ||
	    /* another target answered, whose clock is unrelated */
	    end->outcome == WL_ORDER_OTHER_INCARNATION)
		return;
	runner->answered_ns = now_ns;
	if (end->has_clock)
		wl_sched_clock_sample(runner, now_ns, end->clock_ms);
}

static void agent_answered(wl_sched_runner_t *runner, const wl_sched_order_t *in_flight,
			   const wl_order_end_t *end)
{
	if (in_flight->kind == WL_ORDER_RENEW && end->outcome == WL_ORDER_DONE &&
	    end->incarnation == runner->incarnation && in_flight->lookup == runner->lookup)
		runner->known.answered_agents |= in_flight->agent->bit;
}

static void lease_answered(wl_sched_runner_t *runner, const wl_sched_order_t *in_flight,
			   const wl_order_end_t *end)
{
	if (end->outcome == WL_ORDER_DONE && in_flight->lease_ms > runner->known.lease_confirmed_ms)
		runner->known.lease_confirmed_ms = in_flight->lease_ms;
}

static void order_completed(wl_sched_t *sched, uint64_t now_ns, wl_sched_order_t *in_flight,
			    const wl_order_end_t *end, wl_out_t *out)
{
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&in_flight->runner));

	if (in_flight->kind == WL_ORDER_START)
		wl_sched_agent_start_ended(in_flight->agent, now_ns,
					   (wl_order_outcome_t)end->outcome);
	wl_sched_order_measure(sched, in_flight->kind, (wl_order_outcome_t)end->outcome,
			       now_ns - in_flight->sent_ns);
	if (runner && known_answered(runner, in_flight, end)) {
		runner_answered(runner, now_ns, end);
		agent_answered(runner, in_flight, end);
		lease_answered(runner, in_flight, end);
	}
	if (runner) {
		wl_sched_lease_order_completed(sched, now_ns, runner, in_flight, end);
		if (in_flight->kind == WL_ORDER_RENEW)
			wl_sched_renewal_answered(sched, now_ns, runner, in_flight, end, out);
		else
			wl_sched_run_answered(sched, now_ns, in_flight, end, out);
	}
	order_remove(sched, in_flight);
}

/*
 * wl_sched_orders_completed - process the results of orders that an agent has sent
 */
void wl_sched_orders_completed(wl_sched_t *sched, uint64_t now_ns, wl_str_t agent,
			       const wl_msg_ordered_t *msg, wl_out_t *out)
{
	const wl_order_end_t *ends = msg->ends.items;

	wl_sched_agent_answered(sched, now_ns, agent, msg->clock_ms);
	for (size_t i = 0; i < msg->ends.count; i++) {
		wl_str_t key = {(const char *)&ends[i].id, sizeof(ends[i].id)};
		wl_sched_order_t *in_flight = wl_map_get(&sched->orders_by_id, key);

		if (in_flight && ends[i].outcome < WL_ORDER_OUTCOMES &&
		    wl_str_equal(wl_buf_str(&in_flight->agent->name), agent))
			order_completed(sched, now_ns, in_flight, &ends[i], out);
	}
}

/* An agent that is reachable and does not report is avoided, if another replica can help out. */
static void agent_expired(const wl_sched_t *sched, uint64_t now_ns,
			  const wl_sched_order_t *in_flight)
{
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&in_flight->runner));

	if (runner)
		wl_sched_agent_slow(sched, runner, now_ns, in_flight->agent);
}

/* Fails the orders of a lost agent, or with NULL those whose agents did not answer in time. */
static void orders_fail(wl_sched_t *sched, uint64_t now_ns, const wl_sched_agent_t *lost,
			wl_out_t *out)
{
	const wl_order_end_t end = {.outcome = WL_ORDER_AGENT_LOST};
	const wl_sched_agent_t *own = TAILQ_FIRST(&sched->agents);
	wl_sched_order_t *in_flight = TAILQ_FIRST(&sched->orders);

	while (in_flight) {
		wl_sched_order_t *next = TAILQ_NEXT(in_flight, link);
		bool over = now_ns >= in_flight->expires_ns && in_flight->agent != own;

		if (!lost && over)
			agent_expired(sched, now_ns, in_flight);
		if (lost ? in_flight->agent == lost : over)
			order_completed(sched, now_ns, in_flight, &end, out);
		in_flight = next;
	}
}

/*
 * wl_sched_orders_fail - fail all orders of an unreachable agent
 */
void wl_sched_orders_fail(wl_sched_t *sched, uint64_t now_ns, const wl_sched_agent_t *agent,
			  wl_out_t *out)
{
	orders_fail(sched, now_ns, agent, out);
}

/*
 * wl_sched_orders_expire - fail the orders whose agents did not answer in time
 *
 * Orders of the leader's own agent never expire: that agent always answers, also after
 * this process was suspended.
 */
void wl_sched_orders_expire(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	if (now_ns < sched->next_expiry_ns)
		return;
	sched->next_expiry_ns = now_ns + EXPIRY_INTERVAL_MS * WL_NS_PER_MS;
	orders_fail(sched, now_ns, NULL, out);
}
