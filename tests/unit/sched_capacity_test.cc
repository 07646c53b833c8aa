#include "../support/crash_fleet.h"

#include <gtest/gtest.h>

/* Targets whose capacity shrinks and grows while they run. */

class Capacity : public testing::Test
{
      protected:
	static constexpr uint64_t TASK_MILLIS = 1000;

	Capacity()
	{
		rig.configure("q");
		rig.runner("i-1", 3 * TASK_MILLIS);
		first = started("first", 2);
		EXPECT_EQ(first.size(), 2u);
		for (const auto &start : first)
			rig.answer(start, WL_ORDER_DONE);
		list(first, {});
	}

	std::vector<SchedOrder> starts()
	{
		rig.advance(50);
		rig.commit();
		rig.advance(50);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
	}

	std::vector<SchedOrder> started(const std::string &job, uint64_t count)
	{
		rig.job("q", job, {count});
		rig.submit();
		return starts();
	}

	/* The target lists its runs and ends. */
	void list(const std::vector<SchedOrder> &runs, const std::vector<wl_end_view_t> &ends)
	{
		std::vector<wl_run_view_t> views;

		for (const auto &run : runs)
			views.push_back(SchedRig::view(run));
		for (int i = 0; i < 300 && holds.empty(); i++) {
			rig.advance(10);
			holds = rig.take_orders(WL_ORDER_RENEW);
		}
		ASSERT_FALSE(holds.empty()) << "no hold order was sent";
		rig.answer_hold(holds.back(), views, ends);
		holds.clear();
		rig.commit();
	}

	void resize(uint64_t tasks, const std::string &id = "i-1")
	{
		rig.runner(id, tasks * TASK_MILLIS);
	}

	SchedRig rig;
	std::vector<SchedOrder> first;
	std::vector<SchedOrder> holds;
};

TEST_F(Capacity, ShrunkTargetKeepsItsWorkAndGetsNoMore)
{
	resize(1);
	EXPECT_TRUE(started("second", 1).empty());
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
	list({first[0]}, {SchedRig::end(first[1], 1, WL_END_DONE)});
	EXPECT_TRUE(starts().empty()) << "one task fills the target";
	list({},
	     {SchedRig::end(first[1], 1, WL_END_DONE), SchedRig::end(first[0], 2, WL_END_DONE)});
	EXPECT_EQ(starts().size(), 1u);
}

TEST_F(Capacity, ReportBindsPlacementsBeforeItsCommit)
{
	rig.hold_commits = true;
	rig.job("q", "second", {1});
	rig.submit();
	resize(2);
	rig.hold_commits = false;
	EXPECT_TRUE(starts().empty()) << "the start brings the target over its capacity";
}

TEST_F(Capacity, MemoryThatShrinksBindsLikeProcessors)
{
	rig.memory_mib = 200; /* of two tasks */
	rig.hold_commits = true;
	rig.job("q", "second", {1});
	rig.submit();
	resize(3);
	rig.hold_commits = false;
	EXPECT_TRUE(starts().empty());
	rig.memory_mib = 300;
	resize(3);
	EXPECT_EQ(starts().size(), 1u);
}

TEST_F(Capacity, StartPlacedBeforeTheReportIsNotOrdered)
{
	rig.job("q", "second", {1});
	rig.submit();
	rig.hold_commits = true;
	rig.advance(50);
	resize(2);
	rig.hold_commits = false;
	EXPECT_TRUE(starts().empty()) << "the start brings the target over its capacity";
	resize(3);
	EXPECT_EQ(starts().size(), 1u) << "the task is queued again";
	EXPECT_EQ(rig.job_state("second"), "running");
}

TEST_F(Capacity, PlacedStartsThatStillFitAreOrdered)
{
	resize(6);
	rig.job("q", "second", {4});
	rig.submit();
	rig.hold_commits = true;
	rig.advance(50);
	resize(4);
	rig.hold_commits = false;
	EXPECT_EQ(starts().size(), 2u);
}

TEST_F(Capacity, GangOfWhichAMemberNoLongerFitsIsNotOrdered)
{
	resize(6);
	rig.runner("i-2", TASK_MILLIS);
	rig.job("q", "gang", {5})->gang = true;
	rig.submit();
	rig.hold_commits = true;
	rig.advance(50);
	resize(5);
	rig.hold_commits = false;
	EXPECT_TRUE(starts().empty()) << "a part of a gang waits for the others in vain";
	resize(6);
	EXPECT_EQ(starts().size(), 5u);
}

TEST_F(Capacity, StoppedRunCountsUntilItsEndIsListed)
{
	resize(2);
	rig.cancel("q", "first");
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 2u);
	for (const auto &stop : stops)
		rig.answer(stop, WL_ORDER_DONE);
	EXPECT_TRUE(started("second", 1).empty());
	list({first[0]}, {SchedRig::end(first[1], 1, WL_END_STOPPED)});
	EXPECT_EQ(starts().size(), 1u);
}

TEST_F(Capacity, GrowthIsUsedAtOnce)
{
	EXPECT_EQ(started("second", 2).size(), 1u);
	resize(4);
	EXPECT_EQ(starts().size(), 1u);
}

TEST_F(Capacity, CommitOfAnEarlierReportDoesNotUndoALaterOne)
{
	resize(2);
	rig.hold_commits = true;
	resize(3);
	rig.job("q", "second", {1});
	rig.submit();
	resize(2);
	rig.hold_commits = false;
	EXPECT_TRUE(starts().empty());
}

TEST_F(Capacity, UnchangedReportsThroughAnotherReplicaKeepTheCapacity)
{
	rig.hold_commits = true;
	resize(2);
	rig.report_forwarded("s1", "i-1");
	rig.job("q", "second", {1});
	rig.submit();
	rig.hold_commits = false;
	EXPECT_TRUE(starts().empty());
}

/* The log commits late, runs take time to stop, answers are lost, and the leader changes. */
static void resize_at_random(bool guards, unsigned int seed)
{
	constexpr uint64_t STEP_MS = 50;
	CrashFleetOptions options;
	options.targets = 6;
	options.racks = 2;
	options.cpu_millis = 16000;
	options.guards = guards;
	options.stop_ms = 300;
	options.commit_percent = 30;
	options.lost_percent = 10;
	options.seed = seed;
	CrashFleet fleet(options);
	std::mt19937 random(seed);

	fleet.job("last", {12}, 0, 2000);
	fleet.submit();
	for (unsigned int i = 0; i < 600; i++) {
		if (i % 2 == 0) {
			std::string id = "j" + std::to_string(i);

			fleet.job(id, {4}, 500, 1000 + random() % 4 * 1000)->gang = i % 10 == 0;
			fleet.submit();
			if (random() % 8 == 0)
				fleet.rig.cancel("q", id);
		}
		if (random() % 2)
			fleet.resize(random() % options.targets, (1 + random() % 16) * 1000);
		if (i % 60 == 20)
			fleet.cut(random() % options.targets, 500 + random() % 9000);
		if (i % 200 == 150)
			fleet.leader_change(500, 2 + i);
		fleet.simulate(STEP_MS);
	}
	for (size_t i = 0; i < options.targets; i++)
		fleet.resize(i, options.cpu_millis);
	EXPECT_TRUE(fleet.simulate_until_ended(60000));
	EXPECT_GE(fleet.starts, 1000u);
	EXPECT_EQ(fleet.ended("failed"), 0u);
	EXPECT_EQ(fleet.starts_over, 0u)
		<< "of " << fleet.starts << ", guards " << guards << ", seed " << seed << "\n"
		<< (fleet.history.empty() ? "" : fleet.history[0]);
}

TEST(CapacityLoad, NoStartBringsATargetOverItsCapacity)
{
	for (unsigned int seed = 1; seed <= 8; seed++)
		resize_at_random(false, seed);
}

TEST(CapacityLoad, NoStartIsSentToATargetThatMustRefuseIt)
{
	for (unsigned int seed = 1; seed <= 8; seed++)
		resize_at_random(true, seed);
}
