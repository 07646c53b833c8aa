/*
 * Choice of the replica that sends the orders for a target.
 *
 * Calls to targets cost far more than the decisions behind them, and one CPU cannot carry
 * those of a large fleet. The leader spreads the targets over the other replicas by
 * rendezvous hashing: when a replica is lost, only its targets move. Leases, fencing and
 * runs stay with the leader.
 */

#include "internal.h"

#include <stdlib.h>

#include <libwlbase/named.h>

#define RECONNECT_DELAY_MS 1000 /* an agent whose link went down is not used for this time */
/* A message with payloads of this size gets no further orders. */
#define MESSAGE_BYTES_SOFT_MAX (1024UL * 1024)
/*
 * START orders in flight at an agent.  An agent that is slower gets fewer a second by that, and one
 * that holds them up gets half as many, and one more for each that it has sent.
 */
#define STARTS_MAX	  256
#define STARTS_MIN	  8
#define STARTS_CUT_MIN_MS 200 /* between two cuts: those in flight were sent before the first */
/* For how long an agent that got no answer of a target is avoided for that target. */
#define AVOID_MS 10000

static wl_sched_agent_t *own_agent(const wl_sched_t *sched, const wl_sched_runner_t *runner)
{
	(void)runner;
	return TAILQ_FIRST(&sched->agents);
}

static wl_sched_agent_t *spread_agent(const wl_sched_t *sched, const wl_sched_runner_t *runner)
{
	wl_sched_agent_t *best = NULL;
	wl_sched_agent_t *agent;
	uint64_t highest = 0;

	TAILQ_FOREACH (agent, &sched->agents, link) {
		uint64_t rank = wl_str_hash(runner->key, agent->seed);

		if (!agent->usable || (runner->avoided_agents & agent->bit) ||
		    (best && rank <= highest))
			continue;
		best = agent;
		highest = rank;
	}
	return best ? best : own_agent(sched, runner);
}

/* Sorted by name; the last is the default. */
static const wl_dispatch_policy_t policies[] = {
	{"leader", own_agent},
	{"replicas", spread_agent},
};

/*
 * wl_dispatch_policy_find - find a dispatch policy by name
 * @name: empty: the default
 *
 * Return: the policy, or NULL if the name is unknown.
 */
const wl_dispatch_policy_t *wl_dispatch_policy_find(wl_str_t name)
{
	if (name.len == 0)
		return &policies[sizeof(policies) / sizeof(policies[0]) - 1];
	return WL_NAMED_FIND(policies, name);
}

static wl_sched_agent_t *agent_find(const wl_sched_t *sched, wl_str_t name)
{
	wl_sched_agent_t *agent;

	TAILQ_FOREACH (agent, &sched->agents, link)
		if (wl_str_equal(wl_buf_str(&agent->name), name))
			return agent;
	return NULL;
}

/* Return: 0 if the masks have no bit left. */
static uint64_t next_bit(const wl_sched_t *sched)
{
	const wl_sched_agent_t *newest = TAILQ_LAST(&sched->agents, wl_sched_agents);

	return newest ? newest->bit << 1 : 1;
}

static void agent_name_set(wl_sched_agent_t *agent, wl_str_t name)
{
	wl_buf_set(&agent->name, name);
	agent->seed = wl_str_hash(name, 0);
	agent->starts_max = STARTS_MAX;
}

static void agent_add(wl_sched_t *sched, wl_str_t name)
{
	wl_sched_agent_t *agent = wl_alloc(sizeof(*agent));

	agent_name_set(agent, name);
	agent->bit = next_bit(sched);
	TAILQ_INSERT_TAIL(&sched->agents, agent, link);
}

static void run_forget_agent(wl_sched_run_t *run, const wl_sched_agent_t *agent)
{
	if (run->start_agent == agent)
		run->start_agent = NULL;
	if (run->stop_agent != agent)
		return;
	run->stop_agent = NULL;
	run->stop_open = false;
}

/* Makes an agent without orders in flight that of another replica. */
static void agent_reuse(wl_sched_t *sched, wl_sched_agent_t *agent, wl_str_t name)
{
	wl_sched_runner_t *runner;
	wl_sched_run_t *run;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		runner->avoided_agents &= ~agent->bit;
		runner->known.answered_agents &= ~agent->bit;
		TAILQ_FOREACH (run, &runner->runs, link)
			run_forget_agent(run, agent);
	}
	wl_list_free(&wl_order_schema, &agent->orders);
	agent_name_set(agent, name);
	agent->unusable_until_ns = 0;
}

/* Return: the agent that has been unusable for longest, and is none of the given ones. */
static wl_sched_agent_t *longest_unusable(const wl_sched_t *sched, const wl_list_t *names)
{
	wl_sched_agent_t *agent = TAILQ_FIRST(&sched->agents);
	wl_sched_agent_t *longest = NULL;

	while ((agent = TAILQ_NEXT(agent, link)))
		if (!agent->usable && !wl_strings_contain(names, wl_buf_str(&agent->name)) &&
		    (!longest || agent->unusable_since_ns < longest->unusable_since_ns))
			longest = agent;
	return longest;
}

/*
 * wl_sched_agents_init - add the leader's own agent, which serves all targets until others
 * are known
 */
void wl_sched_agents_init(wl_sched_t *sched)
{
	agent_add(sched, sched->options.name);
}

/*
 * wl_sched_agents_clear - release all agents and their unsent orders
 */
void wl_sched_agents_clear(wl_sched_t *sched)
{
	wl_sched_agent_t *agent;

	while ((agent = TAILQ_FIRST(&sched->agents))) {
		TAILQ_REMOVE(&sched->agents, agent, link);
		wl_list_free(&wl_order_schema, &agent->orders);
		wl_buf_free(&agent->name);
		free(agent);
	}
}

/* Orders name the time until which they may be sent on the agent's clock. */
static void clock_ask(const wl_sched_t *sched, wl_sched_agent_t *agent, wl_out_t *out)
{
	agent->clock_ms = 0;
	agent->clock_ns = 0;
	wl_out_send(out, wl_buf_str(&agent->name), WL_MSG_ORDERS)->u.orders.term = sched->epoch;
}

static void agent_usable_set(wl_sched_t *sched, uint64_t now_ns, wl_sched_agent_t *agent,
			     bool usable, wl_out_t *out)
{
	if (agent->usable == usable)
		return;
	agent->usable = usable;
	agent->unusable_since_ns = now_ns;
	if (usable)
		clock_ask(sched, agent, out);
	wl_out_log(out, WL_INFO, "agent", "replica=" WL_STR_FMT " usable=%s",
		   WL_STR_ARG(wl_buf_str(&agent->name)), usable ? "yes" : "no");
	if (!usable)
		wl_sched_orders_fail(sched, now_ns, agent, out);
}

/* A replica that was replaced does not come back: one that has been gone for long gives its bit. */
static void agent_admit(wl_sched_t *sched, const wl_list_t *names, wl_str_t name)
{
	wl_sched_agent_t *gone = next_bit(sched) ? NULL : longest_unusable(sched, names);

	if (gone)
		agent_reuse(sched, gone, name);
	else
		agent_add(sched, name);
}

/*
 * wl_sched_agents_set - set the other replicas that are reachable
 * @names: strings
 *
 * The orders in flight at a replica that is no longer reachable fail.
 */
void wl_sched_agents_set(wl_sched_t *sched, uint64_t now_ns, const wl_list_t *names, wl_out_t *out)
{
	const wl_buf_t *items = names->items;
	wl_sched_agent_t *agent;

	if (!sched->leading)
		return;
	for (size_t i = 0; i < names->count; i++)
		if (!agent_find(sched, wl_buf_str(&items[i])))
			agent_admit(sched, names, wl_buf_str(&items[i]));
	agent = TAILQ_FIRST(&sched->agents);
	while ((agent = TAILQ_NEXT(agent, link)))
		agent_usable_set(sched, now_ns, agent,
				 now_ns >= agent->unusable_until_ns &&
					 wl_strings_contain(names, wl_buf_str(&agent->name)),
				 out);
}

/*
 * wl_sched_agent_down - handle a lost link to a replica: messages on it may be lost
 */
void wl_sched_agent_down(wl_sched_t *sched, uint64_t now_ns, wl_str_t name, wl_out_t *out)
{
	wl_sched_agent_t *agent = agent_find(sched, name);

	if (!agent || agent == TAILQ_FIRST(&sched->agents))
		return;
	agent->unusable_until_ns = now_ns + RECONNECT_DELAY_MS * WL_NS_PER_MS;
	agent_usable_set(sched, now_ns, agent, false, out);
}

/*
 * wl_sched_agent_avoid - avoid an agent for a target that did not answer it
 *
 * The path between the two may be broken. Once the leader's own agent, the last one, fails as well,
 * each is tried again.
 */
void wl_sched_agent_avoid(const wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns,
			  const wl_sched_agent_t *agent)
{
	if (agent == TAILQ_FIRST(&sched->agents)) {
		runner->avoided_agents = 0;
		return;
	}
	runner->avoided_agents |= agent->bit;
	runner->avoided_until_ns = now_ns + AVOID_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_agent_replaceable - whether another replica can take the place of a target's agent
 *
 * The leader's own agent does not: it cannot carry the targets of a slow one besides its decisions.
 */
bool wl_sched_agent_replaceable(const wl_sched_t *sched, const wl_sched_runner_t *runner,
				const wl_sched_agent_t *agent)
{
	const wl_sched_agent_t *own = TAILQ_FIRST(&sched->agents);
	const wl_sched_agent_t *other;

	if (agent == own)
		return false;
	TAILQ_FOREACH (other, &sched->agents, link)
		if (other != own && other != agent && other->usable &&
		    !(runner->avoided_agents & other->bit))
			return true;
	return false;
}

/*
 * wl_sched_agent_slow - avoid an agent that holds orders up, if another replica can take its place
 *
 * If all are slow, the leader's own agent would take over their targets, and slow the decisions
 * down: each is tried again instead.
 */
void wl_sched_agent_slow(const wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns,
			 const wl_sched_agent_t *agent)
{
	if (wl_sched_agent_replaceable(sched, runner, agent))
		wl_sched_agent_avoid(sched, runner, now_ns, agent);
	else
		runner->avoided_agents = 0;
}

/*
 * wl_sched_agent_start_sent - count a START order that an agent gets
 */
void wl_sched_agent_start_sent(wl_sched_agent_t *agent)
{
	agent->starts++;
}

/*
 * wl_sched_agent_start_ended - count the result of a START order, and learn how many an agent can
 * carry
 */
void wl_sched_agent_start_ended(wl_sched_agent_t *agent, uint64_t now_ns,
				wl_order_outcome_t outcome)
{
	agent->starts--;
	if (outcome != WL_ORDER_HELD && outcome != WL_ORDER_AGENT_LOST) {
		agent->starts_max += agent->starts_max < STARTS_MAX;
		return;
	}
	if (now_ns < agent->starts_cut_ns + STARTS_CUT_MIN_MS * WL_NS_PER_MS)
		return;
	agent->starts_cut_ns = now_ns;
	agent->starts_max /= 2;
	if (agent->starts_max < STARTS_MIN)
		agent->starts_max = STARTS_MIN;
}

static size_t agent_room(const wl_sched_agent_t *agent)
{
	return agent->starts < agent->starts_max ? agent->starts_max - agent->starts : 0;
}

/*
 * wl_sched_starts_room - how many more starts the agents can carry
 *
 * Starts that agents hold up end unsent, and cost two commits each.
 */
size_t wl_sched_starts_room(const wl_sched_t *sched)
{
	const wl_sched_agent_t *own = TAILQ_FIRST(&sched->agents);
	const wl_sched_agent_t *agent;
	bool has_other = false;
	size_t room = 0;

	TAILQ_FOREACH (agent, &sched->agents, link) {
		if (agent == own || !agent->usable)
			continue;
		has_other = true;
		room += agent_room(agent);
	}
	if (!has_other)
		room = agent_room(own);
	return room > sched->starts_proposed ? room - sched->starts_proposed : 0;
}

/*
 * wl_sched_agent_retry - use the avoided agents again once their time is over
 */
void wl_sched_agent_retry(wl_sched_runner_t *runner, uint64_t now_ns)
{
	if (now_ns >= runner->avoided_until_ns)
		runner->avoided_agents = 0;
}

/*
 * wl_sched_agent_answered - take a sample of an agent's clock, unless it took long to arrive
 * @clock_ms: 0: none given
 */
void wl_sched_agent_answered(wl_sched_t *sched, uint64_t now_ns, wl_str_t name, uint64_t clock_ms)
{
	wl_sched_agent_t *agent = agent_find(sched, name);

	if (!agent || clock_ms == 0 ||
	    wl_sched_clock_sample_late(agent->clock_ms, agent->clock_ns, now_ns, clock_ms))
		return;
	agent->clock_ms = clock_ms;
	agent->clock_ns = now_ns;
}

/*
 * wl_sched_agent_clock_ms - estimate an agent's clock now; it is not behind the estimate
 *
 * Return: ms; 0: unknown.
 */
uint64_t wl_sched_agent_clock_ms(const wl_sched_t *sched, uint64_t now_ns,
				 const wl_sched_agent_t *agent)
{
	if (agent == TAILQ_FIRST(&sched->agents))
		return now_ns / WL_NS_PER_MS;
	if (agent->clock_ms == 0)
		return 0;
	return agent->clock_ms + (now_ns - agent->clock_ns) / WL_NS_PER_MS;
}

/*
 * wl_sched_agent_choose - choose the agent that sends an order
 *
 * An agent whose clock is unknown could hold a start for too long.
 */
wl_sched_agent_t *wl_sched_agent_choose(const wl_sched_t *sched, const wl_sched_runner_t *runner,
					wl_order_kind_t kind)
{
	wl_sched_agent_t *agent = sched->dispatch->choose(sched, runner);

	if (kind == WL_ORDER_START && agent->clock_ms == 0)
		return own_agent(sched, runner);
	return agent;
}

/*
 * wl_sched_agent_enqueue - add an order to those that are sent at the end of the step
 * @order: copied
 */
void wl_sched_agent_enqueue(wl_sched_agent_t *agent, const wl_order_t *order)
{
	wl_record_copy(&wl_order_schema, wl_list_add(&wl_order_schema, &agent->orders), order);
}

/*
 * Splits the orders into messages below the size limit of the peer link, which drops
 * longer ones.
 */
static void orders_send(const wl_sched_t *sched, wl_sched_agent_t *agent, wl_out_t *out)
{
	const wl_order_t *orders = agent->orders.items;
	wl_msg_orders_t *msg = NULL;
	size_t bytes = 0;

	for (size_t i = 0; i < agent->orders.count; i++) {
		if (!msg || bytes >= MESSAGE_BYTES_SOFT_MAX) {
			msg = &wl_out_send(out, wl_buf_str(&agent->name), WL_MSG_ORDERS)->u.orders;
			msg->term = sched->epoch;
			bytes = 0;
		}
		*(wl_order_t *)wl_list_add(&wl_order_schema, &msg->orders) = orders[i];
		bytes += orders[i].payload.len + orders[i].checkpoint.len;
	}
	free(agent->orders.items); /* their contents were moved */
	agent->orders = (wl_list_t){0};
}

/*
 * wl_sched_agents_send - send the queued orders to their agents
 *
 * A new leader waits from the beginning of its leadership for the leases that its predecessor may
 * have granted. Orders therefore wait here while another replica may lead.
 */
void wl_sched_agents_send(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_agent_t *agent;

	if (sched->options.raft && !wl_raft_lease_holds(sched->options.raft, now_ns))
		return;
	TAILQ_FOREACH (agent, &sched->agents, link)
		if (agent->orders.count > 0)
			orders_send(sched, agent, out);
}

/*
 * wl_sched_report_to - name of the replica to which a target is to send its reports: its
 * agent
 *
 * Return: the own name for an unknown target. Valid until wl_sched_agents_clear().
 */
wl_str_t wl_sched_report_to(const wl_sched_t *sched, wl_str_t id)
{
	const wl_sched_runner_t *runner = wl_sched_runner_find(sched, id);

	if (!runner)
		return sched->options.name;
	return wl_buf_str(&sched->dispatch->choose(sched, runner)->name);
}
