#include "../support/sched_rig.h"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

/* Through which replicas the leader's orders go to targets. */

namespace
{
const std::vector<std::string> OTHERS = {"s2", "s3", "s4", "s5"};
constexpr size_t TARGETS = 200;
} // namespace

class SchedAgents : public testing::Test
{
      protected:
	SchedAgents()
	{
		rig.configure("q");
	}

	/* A task that runs on each target. */
	void fill(size_t targets)
	{
		for (size_t i = 0; i < targets; i++)
			rig.runner("i-" + std::to_string(i), 1000);
		rig.job("q", "j", {targets});
		rig.hand_in();
		rig.pass(10);
		rig.commit();
		for (const auto &start : rig.take(WL_ORDER_START)) {
			starts[start.runner] = start;
			rig.answer(start, WL_ORDER_DONE);
		}
		ASSERT_EQ(starts.size(), targets);
	}

	/* The agent of each target, by the holds of the next second, which are answered. */
	std::map<std::string, std::string> agents_of_holds()
	{
		std::map<std::string, std::string> agents;

		for (int i = 0; i < 100; i++) {
			rig.pass(10);
			for (const auto &hold : rig.take(WL_ORDER_HOLD)) {
				agents[hold.runner] = hold.agent;
				rig.answer_hold(hold, {SchedRig::view(starts[hold.runner])}, {});
			}
		}
		return agents;
	}

	SchedRig rig;
	std::map<std::string, SchedOrder> starts;
};

TEST_F(SchedAgents, LeaderSendsItselfWhereNoOtherReplicaAnswers)
{
	fill(5);
	for (const auto &one : agents_of_holds())
		EXPECT_EQ(one.second, "s1");
}

TEST_F(SchedAgents, OtherReplicasShareTheTargetsEvenly)
{
	std::map<std::string, size_t> counts;

	rig.agents(OTHERS);
	fill(TARGETS);
	for (const auto &one : agents_of_holds())
		counts[one.second]++;
	EXPECT_EQ(counts.count("s1"), 0u);
	ASSERT_EQ(counts.size(), OTHERS.size());
	for (const auto &one : counts)
		EXPECT_LT(one.second, TARGETS * 2 / OTHERS.size()) << one.first;
}

TEST_F(SchedAgents, OnlyTargetsOfALostReplicaMove)
{
	rig.agents(OTHERS);
	fill(TARGETS);
	auto before = agents_of_holds();
	rig.agents({"s2", "s3", "s5"});
	auto after = agents_of_holds();
	ASSERT_EQ(after.size(), TARGETS);
	for (const auto &one : before) {
		if (one.second == "s4")
			EXPECT_NE(after[one.first], "s4");
		else
			EXPECT_EQ(after[one.first], one.second);
	}
}

/* The hold that asks again goes through another replica at once. */
TEST_F(SchedAgents, TargetsOfALostReplicaAreAskedThroughAnother)
{
	rig.agents({"s2"});
	fill(1);
	rig.pass(10);
	auto first = rig.take(WL_ORDER_HOLD);
	ASSERT_EQ(first.size(), 1u);
	rig.agents({"s3"});
	rig.pass(10);
	auto again = rig.take(WL_ORDER_HOLD);
	ASSERT_EQ(again.size(), 1u);
	EXPECT_EQ(again[0].agent, "s3");
	EXPECT_NE(again[0].lease_ms, 0u) << "nothing says that the target is silent";
}

TEST_F(SchedAgents, StartThatALostReplicaHeldIsBarredBeforeItsTaskRunsElsewhere)
{
	rig.agents({"s2"});
	rig.runner("i-1", 1000);
	rig.job("q", "j", {1});
	rig.hand_in();
	rig.pass(10);
	rig.commit();
	ASSERT_EQ(rig.take(WL_ORDER_START).size(), 1u);
	rig.runner("i-2", 1000);
	rig.link_down("s2");
	rig.pass(10);
	auto holds = rig.take(WL_ORDER_HOLD);
	ASSERT_EQ(holds.size(), 1u);
	EXPECT_EQ(holds[0].agent, "s1");
	rig.answer_hold(holds[0], {}, {});
	rig.commit();
	EXPECT_TRUE(rig.take(WL_ORDER_START).empty());
	auto stops = rig.take(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.pass(10);
	holds = rig.take(WL_ORDER_HOLD);
	ASSERT_EQ(holds.size(), 1u);
	rig.answer_hold(holds[0], {}, {});
	rig.commit();
	rig.pass(10);
	rig.commit();
	EXPECT_EQ(rig.take(WL_ORDER_START).size(), 1u);
}

TEST_F(SchedAgents, ReplicaWhoseLinkWentDownIsUsedOnceItIsHeardAnew)
{
	rig.agents({"s2"});
	fill(1);
	rig.link_down("s2");
	rig.agents({"s2"}); /* by an answer from before */
	EXPECT_EQ(agents_of_holds()["i-0"], "s1");
	rig.agents({"s2"});
	EXPECT_EQ(agents_of_holds()["i-0"], "s2");
}

TEST_F(SchedAgents, OrderWhoseReplicaSaysNothingHasNoAnswer)
{
	rig.agents({"s2"});
	fill(1);
	rig.pass(10);
	ASSERT_EQ(rig.take(WL_ORDER_HOLD).size(), 1u);
	rig.pass(4700);
	EXPECT_TRUE(rig.take(WL_ORDER_HOLD).empty());
	rig.pass(400);
	EXPECT_EQ(rig.take(WL_ORDER_HOLD).size(), 1u);
}

TEST_F(SchedAgents, AnswerOfAReplicaThatDoesNotHaveTheOrderIsPassedOver)
{
	rig.agents({"s2"});
	fill(1);
	rig.pass(10);
	auto holds = rig.take(WL_ORDER_HOLD);
	ASSERT_EQ(holds.size(), 1u);
	holds[0].agent = "s3";
	rig.answer_hold(holds[0], {}, {});
	rig.commit();
	EXPECT_EQ(rig.job_state("j"), "running");
	rig.pass(300);
	EXPECT_TRUE(rig.take(WL_ORDER_HOLD).empty()) << "the hold is still under way";
}
