#include "../support/sched_rig.h"

#include <gtest/gtest.h>

#include <map>

/* Stops of a target that some agents cannot reach. */

namespace
{
constexpr uint64_t MS = 1000000;
/* The users allow 3,000 ms from a cancelling until each target must have its stop. */
constexpr uint64_t STOP_WITHIN_MS = 3000;

class SchedStopAgents : public ::testing::Test
{
      protected:
	void begin(const std::vector<std::string> &agents, uint64_t tasks = 1,
		   uint64_t max_attempts = 3)
	{
		rig.agents(agents);
		rig.configure("q", 0, max_attempts);
		rig.runner("i-1", 1000000);
		rig.job("q", "j", {tasks});
		rig.submit();
		rig.advance(100);
		rig.commit();
		runs = rig.take_orders(WL_ORDER_START);
		ASSERT_EQ(runs.size(), tasks);
		for (const auto &run : runs)
			rig.answer(run, WL_ORDER_DONE);
	}

	/*
	 * Lets time pass; the target lists the run. Orders through a broken agent get no answer:
	 * their agent says so delay_ms after their time is over.
	 */
	void pass(uint64_t ms, const std::vector<std::string> &broken, uint64_t delay_ms,
		  bool renewals_too)
	{
		for (uint64_t passed = 0; passed < ms; passed += 20) {
			rig.report_forwarded("s1", "i-1");
			rig.advance(20);
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
				if (renewals_too && is_in(broken, order.agent))
					unanswered.push_back({order, rig.now});
				else
					rig.answer_hold(order, {SchedRig::view(runs[0])}, {});
			}
			for (const auto &order : rig.take_orders(WL_ORDER_STOP)) {
				stops.push_back(order);
				if (is_in(broken, order.agent))
					unanswered.push_back({order, rig.now});
			}
			time_out(delay_ms);
			rig.commit();
		}
	}

	void time_out(uint64_t delay_ms)
	{
		std::vector<std::pair<SchedOrder, uint64_t>> left;

		for (const auto &entry : unanswered) {
			uint64_t over_ms = entry.first.timeout_ms + delay_ms;

			if (rig.now - entry.second >= over_ms * MS)
				rig.answer(entry.first, WL_ORDER_NO_ANSWER);
			else
				left.push_back(entry);
		}
		unanswered = left;
	}

	static bool is_in(const std::vector<std::string> &list, const std::string &name)
	{
		for (const auto &one : list)
			if (one == name)
				return true;
		return false;
	}

	SchedRig rig;
	std::vector<SchedOrder> runs;
	std::vector<SchedOrder> stops;
	std::vector<std::pair<SchedOrder, uint64_t>> unanswered;
};
} // namespace

/* Guards against stops that alternate between two agents that cannot reach the target. */
TEST_F(SchedStopAgents, AStopIsNotBoundToTwoAgentsThatFail)
{
	begin({"s2", "s3", "s4", "s5"});
	std::vector<std::string> broken = {runs[0].agent};

	/* the second choice is found by a first failure */
	pass(500, {}, 0, true);
	rig.cancel("q", "j");
	pass(1500, broken, 0, true);
	ASSERT_GE(stops.size(), 2u);
	ASSERT_NE(stops[1].agent, broken[0]);
	broken.push_back(stops[1].agent);
	stops.clear();
	pass(2 * STOP_WITHIN_MS, broken, 0, true);
	size_t others = 0;

	for (const auto &stop : stops)
		others += !is_in(broken, stop.agent);
	EXPECT_GE(others, 1u);
}

/*
 * Guards against a stop that goes through the same agent for ever, as each failure is reported
 * after the next stop was sent, 0.3 s after the time-out.
 */
TEST_F(SchedStopAgents, AStopWhoseFailureIsReportedLateGoesThroughAnotherAgent)
{
	begin({"s2", "s3"});
	std::string broken = runs[0].agent;

	pass(500, {}, 0, false);
	rig.cancel("q", "j");
	pass(2 * STOP_WITHIN_MS, {broken}, 400, false);
	size_t others = 0;

	ASSERT_GE(stops.size(), 2u);
	for (const auto &stop : stops)
		others += stop.agent != broken;
	EXPECT_GE(others, 1u);
}

/*
 * Guards against stops that a replica swallows while it answers the leader otherwise: neither
 * their time-outs nor those of renewals make the leader choose another one.
 */
TEST_F(SchedStopAgents, AStopIsNotBoundToAnAgentThatSwallowsOrders)
{
	begin({"s2", "s3"});
	std::string broken = runs[0].agent;

	pass(500, {}, 0, true);
	rig.cancel("q", "j");
	pass(2 * STOP_WITHIN_MS, {broken}, 60000, true);
	size_t others = 0;

	ASSERT_GE(stops.size(), 2u);
	for (const auto &stop : stops)
		others += stop.agent != broken;
	EXPECT_GE(others, 1u);
}
