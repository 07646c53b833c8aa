#include "sched_history.h"

#include <algorithm>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t QUICK = 30 * MS;
constexpr uint64_t HOLD_MAX = 10 * SECOND;
constexpr uint64_t STOP_MAX = 400 * MS;
constexpr uint64_t HOLD_STEP = 20 * MS;
} // namespace

/* Sends the scheduler's orders to its agents. */
void SchedHistory::orders_take()
{
	for (const auto &order : rig.orders) {
		auto call = std::make_shared<Call>();
		const wl_runner_t *known =
			wl_jobs_runner(rig.jobs, {order.runner.data(), order.runner.size()});
		uint64_t when = rig.now + below(QUICK);

		call->order = order;
		/* the scheduler cannot tell one that does not arrive from one that crashes */
		crashes[order.task] += order.kind == WL_ORDER_START;
		call->origin = {term, known ? known->report.incarnation : 0};
		call->link = agent_link[order.agent];
		if (order.kind == WL_ORDER_START)
			start_ordered_check(order);
		if (fault(FAULT_HELD, 5))
			agent_held_ns[order.agent] = rig.now + below(HOLD_MAX);
		when = std::max(when, agent_held_ns[order.agent]);
		at(when, [this, call] { agent_receive(call); });
	}
	rig.orders.clear();
}

void SchedHistory::agent_receive(const CallRef &call)
{
	Answer refused;
	const SchedOrder &order = call->order;

	if (call->link != agent_link[order.agent] || rig.now < agent_cut_ns[order.agent])
		return;
	call->received_ns = rig.now;
	call->deadline_ns = rig.now + order.timeout_ms * MS;
	refused.outcome = WL_ORDER_HELD;
	if (call->origin.term < agent_term[order.agent] ||
	    (order.send_by_ms && rig.agent_clock_ms(order.agent) > order.send_by_ms)) {
		reply(call, refused, 0);
		return;
	}
	at(call->deadline_ns, [this, call] { reply(call, Answer(), 0); });
	target_receive(call);
}

void SchedHistory::target_receive(const CallRef &call)
{
	const SchedOrder &order = call->order;
	Target target = target_at(order.address);
	Answer answer;

	answer.outcome = WL_ORDER_OTHER_INCARNATION;
	if (order.agent == misled_agent && order.address == misled_address) {
		if (target) {
			target->misled = true;
			disturb(target, rig.now);
		}
		reply(call, answer, below(QUICK));
		return;
	}
	if (!target) {
		answer.outcome = chance(500) ? WL_ORDER_NOT_SENT : WL_ORDER_NO_ANSWER;
		reply(call, answer, below(QUICK));
		return;
	}
	if (rig.now < target->cut_until_ns)
		return;
	if (target->model.id != order.runner) {
		reply(call, answer, below(QUICK));
		return;
	}
	answer.outcome = WL_ORDER_UNHEALTHY;
	if (fault(FAULT_LOST, 10)) {
		disturb(target, rig.now);
		reply(call, answer, below(QUICK));
		return;
	}
	uint64_t when = rig.now + delay_ns();
	if (when > rig.now + QUICK)
		disturb(target, when);
	at(when, [this, call, target] { execute(call, target); });
}

/* A process that has ended takes the orders with it that it had received. */
void SchedHistory::execute(const CallRef &call, const Target &target)
{
	Answer answer;
	const SchedOrder &order = call->order;

	if (!target->up)
		return;
	answer = carry_out(call, target);
	crashes[order.task] -= order.kind == WL_ORDER_START;
	note("%s: %s %s run %llu term %llu lease %llu seen %llu (sent for life %llu): %s, clock "
	     "%llu lease %llu",
	     target->model.id.c_str(), wl_order_kind_names[order.kind], order.task.c_str(),
	     static_cast<unsigned long long>(order.run),
	     static_cast<unsigned long long>(order.epoch),
	     static_cast<unsigned long long>(order.lease_ms),
	     static_cast<unsigned long long>(order.seen),
	     static_cast<unsigned long long>(call->origin.life),
	     wl_order_outcome_names[answer.outcome],
	     static_cast<unsigned long long>(target->model.clock_ms(rig.now)),
	     static_cast<unsigned long long>(target->model.lease_until_ms));
	if (order.kind == WL_ORDER_RENEW && answer.outcome == WL_ORDER_DONE)
		hold_answer(call, target, rig.now + order.wait_ms * MS, target->model.ends.size());
	else
		reply(call, answer, answer_delay_ns(call));
}

SchedHistory::Answer SchedHistory::carry_out(const CallRef &call, const Target &target)
{
	const SchedOrder &order = call->order;
	TargetModel &model = target->model;
	TargetModel::Work work = work_of(order.task);
	uint64_t stopped_ns = rig.now + below(STOP_MAX);
	Answer answer;

	answer.has_clock = true;
	if (order.kind == WL_ORDER_START) {
		bool there = model.find(order.task) && model.find(order.task)->run == order.run;

		answer.outcome = model.start(rig.now, order, call->origin, work);
		if (answer.outcome == WL_ORDER_DONE && !there) {
			start_note(call, target);
			start_check(call, target);
		}
	} else if (order.kind == WL_ORDER_STOP) {
		answer.outcome = model.stop(order, stopped_ns);
	} else {
		acknowledged_note(call, target);
		answer.outcome = model.hold(rig.now, order, call->origin);
	}
	answer.clock_ms = model.clock_ms(rig.now);
	return answer;
}

/* Ends count as acknowledged only if the lease of their target has not expired since. */
void SchedHistory::acknowledged_note(const CallRef &call, const Target &target)
{
	if (call->order.epoch < target->model.epoch)
		return;
	for (const auto &one : target->model.ends) {
		if (one.outcome != WL_END_DONE || one.lapsed || one.number > call->order.seen)
			continue;
		done.insert(one.task);
		if (call->origin.life != target->model.born_ms)
			mistaken_ends.insert(one.task);
		if (started_ns[one.task] > one.ended_ns)
			start_after_done(call, target, one.task);
	}
}

void SchedHistory::start_after_done(const CallRef &call, const Target &target,
				    const std::string &task)
{
	conditions = "start after an end as done; ";
	if (mistaken_ends.count(task))
		conditions += "hold on other incarnation; ";
	else if (call->origin.life != target->model.born_ms)
		conditions += "start on other incarnation; ";
	fail("task " + task + " was started after its end as done");
}

void SchedHistory::start_check(const CallRef &call, const Target &target)
{
	const SchedOrder &order = call->order;

	started_ns[order.task] = rig.now;
	if (done.count(order.task))
		start_after_done(call, target, order.task);
	for (const auto &other : targets) {
		other->model.advance(rig.now);
		for (const auto &run : other->model.runs)
			if (run.task == order.task && run.run != order.run)
				overlap(call, target, other, run);
	}
}

void SchedHistory::overlap(const CallRef &call, const Target &target, const Target &other,
			   const TargetModel::Run &run)
{
	const SchedOrder &order = call->order;
	const TargetModel &model = other->model;

	if (!failure.empty())
		return;
	if (call->origin.life != target->model.born_ms)
		conditions += "later start on other incarnation; ";
	if (call->origin.term < term)
		conditions += "later start of deposed leader; ";
	if (run.origin.life != model.born_ms)
		conditions += "earlier start on other incarnation; ";
	if (model.lease_origin.life != model.born_ms)
		conditions += "lease of earlier run meant for other incarnation; ";
	if (model.lease_origin.term < term)
		conditions += "lease of earlier run from deposed leader; ";
	if (other->leaving)
		conditions += "earlier run on target that leaves; ";
	else if (other->draining)
		conditions += "earlier run on target that drains; ";
	if (other->mistaken)
		conditions += "departure of an earlier incarnation; ";
	if (other->misled)
		conditions += "another target answered for that of the earlier run; ";
	fail("two runs of task " + order.task + ": " + std::to_string(run.run) + " on " + model.id +
	     ", " + std::to_string(order.run) + " on " + target->model.id);
}

/* The answer waits for an end, but not longer than was asked for. */
void SchedHistory::hold_answer(const CallRef &call, const Target &target, uint64_t until_ns,
			       size_t ends)
{
	TargetModel &model = target->model;
	Answer answer;

	if (!target->up)
		return;
	if (rig.now < until_ns && model.ends.size() <= ends) {
		at(rig.now + HOLD_STEP, [this, call, target, until_ns, ends] {
			hold_answer(call, target, until_ns, ends);
		});
		return;
	}
	answer.outcome = WL_ORDER_DONE;
	answer.has_clock = true;
	answer.clock_ms = model.clock_ms(rig.now);
	answer.incarnation = model.born_ms;
	answer.runs = model.runs;
	answer.ends = model.ends;
	if (rig.now >= target->cut_until_ns)
		reply(call, answer, answer_delay_ns(call));
}

/* The agent has the answer after a delay, unless it has given up by then. */
void SchedHistory::reply(const CallRef &call, const Answer &answer, uint64_t delay)
{
	if (answer.has_clock && fault(FAULT_LOST, 80)) {
		disturb(target_at(call->order.address), rig.now);
		return;
	}
	at(rig.now + delay, [this, call, answer] {
		uint64_t &newest_ns = agent_answered_ns[call->order.agent];

		if (call->answered)
			return;
		call->answered = true;
		newest_ns = std::max(newest_ns, rig.now + below(QUICK));
		if (call->link == agent_link[call->order.agent] &&
		    rig.now >= agent_cut_ns[call->order.agent])
			to_leader(newest_ns, [this, call, answer] { deliver(call, answer); });
	});
}

void SchedHistory::deliver(const CallRef &call, const Answer &answer)
{
	wl_order_end_t end = {};

	note("answer: %s to %s of %s run %llu: %s", call->order.runner.c_str(),
	     wl_order_kind_names[call->order.kind], call->order.task.c_str(),
	     static_cast<unsigned long long>(call->order.run),
	     wl_order_outcome_names[answer.outcome]);
	end.outcome = answer.outcome;
	end.has_clock = answer.has_clock;
	end.clock_ms = answer.clock_ms;
	end.incarnation = answer.incarnation;
	for (const auto &run : answer.runs) {
		SchedOrder start = {};

		start.task = run.task;
		start.run = run.run;
		*static_cast<wl_run_view_t *>(wl_list_add(&wl_run_view_schema, &end.runs)) =
			SchedRig::view(start);
	}
	for (const auto &one : answer.ends) {
		SchedOrder start = {};

		start.task = one.task;
		start.run = one.run;
		*static_cast<wl_end_view_t *>(wl_list_add(&wl_end_view_schema, &end.ends)) =
			SchedRig::end(start, one.number, one.outcome);
	}
	rig.complete(call->order, &end);
}
