#include "../support/sched_rig.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <tuple>

/* Leases of targets whose agents are slow, and not silent. */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t STEP_MS = 10;
const std::vector<std::string> OTHERS = {"s2", "s3", "s4", "s5"};

/* How long an agent holds an order before the call to the target, and its result after it. */
struct Delay {
	uint64_t order_ms;
	uint64_t result_ms;
};

/* A target with the runs that it has begun; times are on its clock. */
struct Target {
	struct Run {
		SchedOrder start;
		uint64_t lease_until_ms;
	};
	std::map<std::string, Run> runs; /* by task */
};

/* An order on its way; at_ns: when its next stage is reached. */
struct Call {
	SchedOrder order;
	uint64_t at_ns;
	enum {
		HELD,
		WAITING,
		ANSWERED
	} stage;
	wl_order_outcome_t outcome;
	uint64_t clock_ms;
	std::vector<SchedOrder> listed;
};

class SchedSlowAgents : public ::testing::Test
{
      protected:
	void begin(size_t count, const std::vector<std::string> &agents)
	{
		rig.agents(agents);
		rig.configure("q");
		for (size_t i = 0; i < count; i++)
			rig.runner("i-" + std::to_string(i), 1000);
		submit(count);
		pass(3000);
		ASSERT_EQ(begun.size(), count);
	}

	void submit(size_t tasks)
	{
		rig.job("q", "j" + std::to_string(++jobs), {tasks});
		rig.submit();
	}

	void pass(uint64_t ms)
	{
		for (uint64_t passed = 0; passed < ms; passed += STEP_MS)
			step();
	}

	void step()
	{
		rig.advance(STEP_MS);
		for (const auto &order : rig.orders)
			take(order);
		rig.orders.clear();
		lapse();
		calls_go_on();
		rig.commit();
	}

	/* Lets the leader and all others stand still. */
	void stand_still(uint64_t ms)
	{
		rig.now += ms * MS;
	}

	/* The renewals of some seconds, and the most for a target in one of them. */
	std::pair<size_t, size_t> renewals_of(uint64_t seconds)
	{
		size_t count = 0;
		size_t most = 0;

		for (uint64_t i = 0; i < seconds; i++) {
			renewals.clear();
			pass(1000);
			for (const auto &one : renewals) {
				count += one.second;
				most = std::max(most, one.second);
			}
		}
		return {count, most};
	}

	SchedRig rig;
	std::map<std::string, Delay> slow;
	std::map<std::string, Target> targets;
	std::map<std::string, size_t> begun;		       /* by task */
	std::map<std::string, size_t> renewals;		       /* sent, by target */
	std::map<std::string, std::string> agents_of_renewals; /* newest, by target */
	std::vector<std::string> lapsed;
	std::vector<std::string> twice;

      private:
	uint64_t clock_now_ms() const
	{
		return rig.now / MS + rig.clock_offset_ms;
	}

	Delay delay(const std::string &agent) const
	{
		auto found = slow.find(agent);

		return found == slow.end() ? Delay{0, 0} : found->second;
	}

	void take(const SchedOrder &order)
	{
		if (order.kind == WL_ORDER_RENEW) {
			renewals[order.runner]++;
			agents_of_renewals[order.runner] = order.agent;
		}
		calls.push_back({order,
				 rig.now + delay(order.agent).order_ms * MS,
				 Call::HELD,
				 WL_ORDER_DONE,
				 0,
				 {}});
	}

	void lapse()
	{
		for (auto &target : targets)
			for (auto at = target.second.runs.begin();
			     at != target.second.runs.end();) {
				if (clock_now_ms() < at->second.lease_until_ms) {
					at++;
					continue;
				}
				lapsed.push_back(target.first + " " + at->first);
				at = target.second.runs.erase(at);
			}
	}

	bool runs_elsewhere(const std::string &task) const
	{
		for (const auto &target : targets)
			if (target.second.runs.count(task))
				return true;
		return false;
	}

	/* The call reaches its target. */
	void carry_out(Call *call)
	{
		const SchedOrder &order = call->order;
		Target &target = targets[order.runner];

		call->at_ns = rig.now;
		call->stage = Call::WAITING;
		if (order.kind == WL_ORDER_START) {
			if (runs_elsewhere(order.task))
				twice.push_back(order.task);
			begun[order.task]++;
			target.runs[order.task] = {order, order.lease_ms};
		}
		if (order.kind == WL_ORDER_STOP)
			target.runs.erase(order.task);
		if (order.kind != WL_ORDER_RENEW)
			return;
		call->at_ns += order.wait_ms * MS;
		for (auto &run : target.runs)
			run.second.lease_until_ms =
				std::max(run.second.lease_until_ms, order.lease_ms);
	}

	/* The target answers the agent. */
	void answer(Call *call)
	{
		call->stage = Call::ANSWERED;
		call->at_ns = rig.now + delay(call->order.agent).result_ms * MS;
		call->clock_ms = clock_now_ms();
		for (const auto &run : targets[call->order.runner].runs)
			call->listed.push_back(run.second.start);
	}

	void report(const Call &call)
	{
		wl_order_end_t end = {};

		end.outcome = call.outcome;
		end.has_clock = call.outcome == WL_ORDER_DONE;
		end.clock_ms = call.clock_ms;
		if (call.order.kind == WL_ORDER_RENEW && call.outcome == WL_ORDER_DONE)
			end.incarnation = 1;
		if (call.order.kind == WL_ORDER_RENEW)
			for (const auto &start : call.listed)
				*static_cast<wl_run_view_t *>(wl_list_add(
					&wl_run_view_schema, &end.runs)) = SchedRig::view(start);
		rig.complete(call.order, &end);
	}

	void call_next(Call *call)
	{
		if (call->stage == Call::WAITING) {
			answer(call);
		} else if (rig.agent_clock_ms(call->order.agent) > call->order.send_by_ms) {
			call->stage = Call::ANSWERED;
			call->outcome = WL_ORDER_HELD;
		} else {
			carry_out(call);
		}
	}

	void calls_go_on()
	{
		std::vector<Call> due;

		for (auto &call : calls)
			while (call.stage != Call::ANSWERED && rig.now >= call.at_ns)
				call_next(&call);
		auto done =
			std::stable_partition(calls.begin(), calls.end(), [this](const Call &c) {
				return c.stage != Call::ANSWERED || rig.now < c.at_ns;
			});
		due.assign(done, calls.end());
		calls.erase(done, calls.end());
		for (const auto &call : due)
			report(call);
	}

	std::vector<Call> calls;
	size_t jobs = 0;
};

class SchedSlowAgent : public SchedSlowAgents, public ::testing::WithParamInterface<Delay>
{
};
} // namespace

/* Guards against a renewal that a slow agent holds while the leases of live jobs run out. */
TEST_P(SchedSlowAgent, NoRunLapsesAndNoneIsBegunTwice)
{
	begin(24, OTHERS);
	slow["s3"] = GetParam();
	pass(40000);
	EXPECT_EQ(lapsed.size(), 0u) << lapsed[0];
	EXPECT_TRUE(twice.empty());
	for (const auto &one : begun)
		EXPECT_EQ(one.second, 1u) << one.first;
}

/* Guards against the same where a second agent is slow too, so that the first way out fails. */
TEST_P(SchedSlowAgent, NoRunLapsesBesideTwo)
{
	begin(24, OTHERS);
	slow["s3"] = GetParam();
	slow["s4"] = GetParam();
	pass(40000);
	EXPECT_EQ(lapsed.size(), 0u) << lapsed[0];
	EXPECT_TRUE(twice.empty());
}

/* Guards against leases that a late result shortens, as its clock is taken for the present one. */
TEST_F(SchedSlowAgents, NoRunLapsesBesideTheOnlyAgentWhoseResultsAreLate)
{
	begin(24, {"s2"});
	slow["s2"] = {0, 3500};
	pass(40000);
	EXPECT_EQ(lapsed.size(), 0u) << lapsed[0];
	EXPECT_TRUE(twice.empty());
}

INSTANTIATE_TEST_SUITE_P(Delays, SchedSlowAgent,
			 ::testing::Values(Delay{2000, 0}, Delay{2900, 0}, Delay{3500, 0},
					   Delay{5000, 0}, Delay{0, 2000}, Delay{0, 3500},
					   Delay{0, 5000}, Delay{1300, 1300}, Delay{2500, 2500}),
			 [](const ::testing::TestParamInfo<Delay> &test) {
				 return "Order" + std::to_string(test.param.order_ms) + "Result" +
					std::to_string(test.param.result_ms);
			 });

constexpr size_t FLEET = 1800;
constexpr uint64_t BOUND_S = 9; /* less than a slow agent is avoided for a target */

/* Guards against a burst of renewals of all targets of a slow agent. */
TEST_F(SchedSlowAgents, OneSlowAgentCausesOneExtraRenewalPerTargetAndInterval)
{
	begin(FLEET, OTHERS);
	auto calm = renewals_of(BOUND_S);
	slow["s3"] = {5000, 0};
	auto beside = renewals_of(BOUND_S);
	EXPECT_LE(calm.second, 1u);
	EXPECT_LE(beside.second, calm.second + 1);
	EXPECT_LE(beside.first, calm.first);
	EXPECT_EQ(lapsed.size(), 0u);
	for (const auto &one : agents_of_renewals)
		EXPECT_NE(one.second, "s1") << one.first;
}

/* Guards against the same where no agent is better than another. */
TEST_F(SchedSlowAgents, AgentsThatAreAllSlowGetNoMoreRenewalsThanCalmOnes)
{
	begin(FLEET, OTHERS);
	auto calm = renewals_of(BOUND_S);
	for (const auto &name : OTHERS)
		slow[name] = {5000, 0};
	auto beside = renewals_of(BOUND_S);
	EXPECT_LE(beside.second, calm.second + 1);
	EXPECT_LE(beside.first, calm.first);
}

/* Guards against a leader that takes its own standstill for that of all agents. */
TEST_F(SchedSlowAgents, LeaderThatStoodStillRepeatsNoRenewal)
{
	begin(FLEET, OTHERS);
	auto before = agents_of_renewals;
	stand_still(3000);
	renewals.clear();
	pass(900);
	for (const auto &one : renewals)
		EXPECT_LE(one.second, 1u) << one.first;
	EXPECT_EQ(agents_of_renewals, before);
}

/* A target with one run. */
class SchedOneRun : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		rig.agents(OTHERS);
		rig.configure("q");
		rig.runner("i-1", 1000);
		rig.job("q", "j", {1});
		rig.submit();
		rig.advance(10);
		rig.commit();
		run = rig.take_orders(WL_ORDER_START).at(0);
		rig.answer(run, WL_ORDER_DONE);
	}

	SchedRig rig;
	SchedOrder run;
};

/* Its renewal is held up and has been sent again through another agent. */
class SchedRepeatedRenewal : public SchedOneRun
{
      protected:
	void SetUp() override
	{
		SchedOneRun::SetUp();
		held = rig.next_renewal();
		repeat = rig.next_renewal();
		ASSERT_NE(held.agent, repeat.agent);
	}

	SchedOrder held;
	SchedOrder repeat;
};

TEST_F(SchedRepeatedRenewal, NamesNoLaterExpiryAndAsksForAnAnswerAtOnce)
{
	EXPECT_EQ(repeat.lease_ms, held.lease_ms);
	EXPECT_EQ(repeat.wait_ms, 0u);
	EXPECT_EQ(repeat.seen, 0u);
}

/* Guards against a late failure that keeps the leases of a target that answers from renewal. */
TEST_F(SchedRepeatedRenewal, FailureOfTheHeldOneAfterItsAnswerIsIgnored)
{
	rig.answer_hold(repeat, {SchedRig::view(run)}, {});
	rig.answer(held, WL_ORDER_NO_ANSWER);
	SchedOrder next = rig.next_renewal();

	EXPECT_GT(next.lease_ms, repeat.lease_ms);
	EXPECT_NE(next.wait_ms, 0u);
	EXPECT_NE(next.agent, held.agent);
}

/* Guards against a late failure that takes effect before the answer on its way. */
TEST_F(SchedRepeatedRenewal, FailureOfTheHeldOneBeforeItsAnswerIsIgnored)
{
	rig.answer(held, WL_ORDER_NOT_SENT);
	rig.advance(500);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_RENEW).empty());
	rig.answer_hold(repeat, {SchedRig::view(run)}, {});
	EXPECT_GT(rig.next_renewal().lease_ms, repeat.lease_ms);
}

/* Guards against a list that is older than the known end of a run that it names. */
TEST_F(SchedRepeatedRenewal, ListOfTheHeldOneAfterItsAnswerIsIgnored)
{
	rig.answer_hold(repeat, {}, {SchedRig::end(run, 1, WL_END_DONE)});
	rig.commit();
	EXPECT_EQ(rig.job_state("j"), "completed");
	rig.answer_hold(held, {SchedRig::view(run)}, {});
	rig.advance(100);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
}

/* Guards against a target that is silent and keeps its runs longer for the repeats. */
TEST_F(SchedRepeatedRenewal, SilentTargetIsTakenForLostWhenTheHeldOneWouldBeOver)
{
	uint64_t held_until_ms = held.lease_ms - rig.clock_offset_ms;

	rig.answer(repeat, WL_ORDER_NO_ANSWER);
	for (int i = 0; i < 1000 && rig.commit() == 0; i++) {
		rig.advance(10);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer(order, WL_ORDER_NO_ANSWER);
	}
	EXPECT_GE(rig.now / MS, held_until_ms);
	EXPECT_LE(rig.now / MS, held_until_ms + 500);
}

/* Guards against a new leader that learns of its runs late, as their list is held up. */
TEST_F(SchedRepeatedRenewal, FirstOneOfANewLeaderIsRepeatedToo)
{
	rig.follow();
	rig.lead(2);
	rig.agents(OTHERS);
	rig.orders.clear();
	uint64_t began_ns = rig.now;
	SchedOrder first = rig.next_renewal();
	SchedOrder second = rig.next_renewal();

	EXPECT_NE(second.agent, first.agent);
	EXPECT_EQ(second.lease_ms, 0u);
	EXPECT_LE(rig.now - began_ns, 1300 * MS);
}

/* No agent sends its renewals in time; another target has room for the task. */
class SchedHeldRenewals : public SchedOneRun
{
      protected:
	void SetUp() override
	{
		SchedOneRun::SetUp();
		rig.runner("i-2", 1000);
	}

	/* Return: the agents that had renewals of the target. */
	std::set<std::string> hold_renewals(uint64_t ms)
	{
		std::set<std::string> agents;

		for (uint64_t passed = 0; passed < ms; passed += STEP_MS) {
			rig.advance(STEP_MS);
			rig.commit();
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
				if (order.runner == run.runner)
					agents.insert(order.agent);
				rig.answer(order, WL_ORDER_HELD);
			}
		}
		return agents;
	}
};

/* Regression: a run was taken for lost, and started again, that had ended before anyone asked. */
TEST_F(SchedHeldRenewals, AreNoReasonToStartAgainWhatHasEnded)
{
	hold_renewals(15000);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(run, 1, WL_END_DONE)});
	rig.commit();
	EXPECT_EQ(rig.job_state("j"), "completed");
	rig.advance(100);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
}

/* Regression: targets of slow agents were left to the leader's own, besides its decisions. */
TEST_F(SchedHeldRenewals, GoRoundAmongTheOtherReplicas)
{
	EXPECT_EQ(hold_renewals(5000), std::set<std::string>(OTHERS.begin(), OTHERS.end()));
}

/* Guards against a dead target whose runs are never taken for lost, as some renewals are held. */
TEST_F(SchedHeldRenewals, OnesThatTheTargetDoesNotAnswerStillCount)
{
	hold_renewals(4000);
	for (int i = 0; i < 1000 && rig.take_orders(WL_ORDER_START).empty(); i++) {
		rig.advance(10);
		rig.commit();
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer(order, i % 2 ? WL_ORDER_HELD : WL_ORDER_NO_ANSWER);
	}
	EXPECT_LE(rig.now / MS, 25000u);
	EXPECT_EQ(wl_job_run(rig.find("j"), 0, 1), nullptr) << "still held to run";
}
