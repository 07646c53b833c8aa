#include "../support/sched_rig.h"

#include <map>
#include <set>

#include <gtest/gtest.h>

/* How many starts agents get that are slow. */

namespace
{
const std::vector<std::string> OTHERS = {"s2", "s3", "s4", "s5"};
constexpr size_t TASKS = 8000;
constexpr size_t JOB_TASKS = 20;
constexpr size_t IN_FLIGHT_MAX = 256; /* of an agent; placement goes on while any has fewer */
constexpr size_t UNEVEN_MAX = 1000;   /* by which agents with more targets exceed that */

class SchedStarts : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		rig.agents(OTHERS);
		rig.configure("q");
		for (int i = 0; i < 200; i++)
			rig.runner("i-" + std::to_string(i), 100000);
		for (size_t i = 0; i < TASKS / JOB_TASKS; i++) {
			rig.job("q", "j" + std::to_string(i), {JOB_TASKS});
			rig.submit();
		}
	}

	/* Starts that were sent in some ms. */
	std::vector<SchedOrder> pass(uint64_t ms)
	{
		std::vector<SchedOrder> starts;

		for (uint64_t passed = 0; passed < ms; passed += 10) {
			rig.advance(10);
			rig.commit();
			for (const auto &order : rig.take_orders(WL_ORDER_START))
				starts.push_back(order);
		}
		return starts;
	}

	void answer(const std::vector<SchedOrder> &starts, wl_order_outcome_t outcome)
	{
		for (const auto &start : starts)
			rig.answer(start, outcome);
	}

	SchedRig rig;
};
} // namespace

/* Regression: starts that slow agents held up came back, were committed and ordered again. */
TEST_F(SchedStarts, OnlySoManyAreInFlight)
{
	std::vector<SchedOrder> sent = pass(500);
	std::map<std::string, size_t> by_agent;

	for (const auto &start : sent)
		by_agent[start.agent]++;
	EXPECT_GE(sent.size(), IN_FLIGHT_MAX * OTHERS.size());
	EXPECT_LE(sent.size(), IN_FLIGHT_MAX * OTHERS.size() + UNEVEN_MAX);
	EXPECT_EQ(by_agent.size(), OTHERS.size());
	answer(sent, WL_ORDER_DONE);
	EXPECT_GE(pass(100).size(), IN_FLIGHT_MAX * OTHERS.size());
}

TEST_F(SchedStarts, AreFewerOnceTheyAreHeldUp)
{
	std::vector<size_t> rounds;

	for (int i = 0; i < 3; i++) {
		std::vector<SchedOrder> sent = pass(1100); /* targets get none for a second */

		rounds.push_back(sent.size());
		answer(sent, WL_ORDER_HELD);
	}
	EXPECT_LT(rounds[2], rounds[0] / 2);
	EXPECT_GT(rounds[2], 0u) << "none is tried any more";
}

/* Guards against a lost agent that holds up the starts of all others. */
TEST_F(SchedStarts, OfOtherAgentsGoOn)
{
	size_t others = 0;

	for (int i = 0; i < 20; i++)
		for (const auto &start : pass(50))
			if (start.agent != OTHERS[0]) {
				rig.answer(start, WL_ORDER_DONE);
				others++;
			}
	EXPECT_GT(others, TASKS / 2);
}
