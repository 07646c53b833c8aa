#include "../support/sched_rig.h"

#include <functional>

#include <gtest/gtest.h>

/* Targets that announce their departure, and what becomes of the runs there. */

class Departure : public testing::Test
{
      protected:
	static constexpr uint64_t MS = 1000000;
	static constexpr uint64_t LEASE_MS = 6000;
	/* of a slow clock, with the margin of the leader and the interval of the ticks */
	static constexpr uint64_t LEASE_OVER_MS = LEASE_MS * 100 / 98 + 300 + 50;

	/* time-out of an order, and how late it may be carried out after that */
	static constexpr uint64_t START_LATE_MS = 5800;

	Departure()
	{
		rig.configure("q");
		rig.runner("i-1");
	}

	std::vector<SchedOrder> starts()
	{
		rig.advance(10);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
	}

	SchedOrder start_job(const std::string &id)
	{
		rig.job("q", id, {1});
		rig.submit();
		auto started = starts();
		EXPECT_EQ(started.size(), 1u);
		if (started.empty())
			return {};
		rig.answer(started[0], WL_ORDER_DONE);
		return started[0];
	}

	void drain()
	{
		rig.runner("i-1", 32000, 1, "r1", true);
	}

	/* A run whose lease has been renewed, on a target that drains; i-2 has room. */
	SchedOrder run_on_draining_target()
	{
		SchedOrder start = start_job("j");

		rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
		rig.advance(10);
		rig.runner("i-2");
		drain();
		return start;
	}

	/* Fails all holds until a start is ordered. Return: after how many ms; 0: none was. */
	uint64_t started_after_ms(uint64_t limit_ms)
	{
		uint64_t since = rig.now;

		while (rig.now - since < limit_ms * MS) {
			rig.report_forwarded("s1", "i-2");
			for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
				rig.answer(one, WL_ORDER_NO_ANSWER);
			if (!starts().empty())
				return (rig.now - since) / MS;
		}
		return 0;
	}

	/* Answers all renewals so, and refuses stops, until a start is ordered; as above. */
	uint64_t started_behind_ms(const std::function<void(const SchedOrder &)> &answer,
				   uint64_t limit_ms)
	{
		uint64_t since = rig.now;

		while (rig.now - since < limit_ms * MS) {
			rig.report_forwarded("s1", "i-2");
			for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
				answer(one);
			for (const auto &one : rig.take_orders(WL_ORDER_STOP))
				rig.answer(one, WL_ORDER_UNHEALTHY);
			if (!starts().empty())
				return (rig.now - since) / MS;
		}
		return 0;
	}

	SchedRig rig;
};

TEST_F(Departure, TaskOfATargetThatLeavesDoesNotRunElsewhereWhileItsLeaseIsValid)
{
	run_on_draining_target();
	rig.runner_left("i-1");
	EXPECT_EQ(started_after_ms(LEASE_MS - 200), 0u) << "two runs of one task may overlap";
}

TEST_F(Departure, TaskOfATargetThatLeftInSilenceWaitsNoLongerThanItsLease)
{
	run_on_draining_target();
	rig.runner_left("i-1");
	uint64_t after_ms = started_after_ms(2 * LEASE_MS);
	EXPECT_GT(after_ms, 0u);
	EXPECT_LE(after_ms, LEASE_OVER_MS);
}

TEST_F(Departure, TaskThatATargetStopsAsItLeavesStartsElsewhereAtOnceWithItsCheckpoint)
{
	SchedOrder start = run_on_draining_target();
	SchedOrder open = rig.next_renewal();

	rig.runner_left("i-1");
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(stops[0].task, start.task);
	rig.answer(stops[0], WL_ORDER_DONE);
	wl_end_view_t stopped = SchedRig::end(start, 1, WL_END_STOPPED);
	wl_buf_set(&stopped.checkpoint, WL_STR("c1"));
	rig.take_results();
	rig.answer_hold(open, {}, {stopped});
	rig.commit();
	EXPECT_EQ(rig.take_results(), 1u) << "no run is left, the target may exit";
	auto restarted = starts();
	ASSERT_EQ(restarted.size(), 1u);
	EXPECT_EQ(restarted[0].runner, "i-2");
	EXPECT_EQ(restarted[0].checkpoint, "c1");
}

TEST_F(Departure, StartCommittedAfterTheDepartureIsNotOrdered)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.runner_left("i-1", 1);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.runner("i-2");
	rig.commit();
	auto restarted = starts();
	ASSERT_EQ(restarted.size(), 1u);
	EXPECT_EQ(restarted[0].runner, "i-2");
	rig.advance(10);
	rig.commit();
	EXPECT_NE(wl_jobs_runner(rig.jobs, WL_STR("i-1"))->departed_ms, 0u);
}

TEST_F(Departure, NoLeaseIsRenewedForATargetThatLeaves)
{
	SchedOrder start = run_on_draining_target();

	rig.runner_left("i-1");
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
	for (int i = 0; i < 3; i++) {
		SchedOrder next = rig.next_renewal();

		EXPECT_EQ(next.lease_ms, 0u);
		rig.answer_hold(next, {SchedRig::view(start)}, {});
	}
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
}

TEST_F(Departure, EachCallOfADepartureIsAnsweredInTime)
{
	run_on_draining_target();
	rig.take_results();
	rig.runner_left("i-1");
	rig.advance(100);
	rig.runner_left("i-1");
	EXPECT_EQ(rig.take_results(), 0u) << "its runs may still be listed as ended";
	rig.advance(500);
	EXPECT_EQ(rig.take_results(), 0u) << "a stop takes several hundred ms";
	rig.advance(60);
	EXPECT_EQ(rig.take_results(), 1u);
	rig.advance(100);
	EXPECT_EQ(rig.take_results(), 1u);
}

TEST_F(Departure, NewLeaderKeepsTheRunsOfATargetThatLeavesForTheirLeases)
{
	run_on_draining_target();
	rig.runner_left("i-1");
	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	EXPECT_EQ(started_after_ms(LEASE_MS - 200), 0u);
}

TEST_F(Departure, InheritedRunIsStopped)
{
	run_on_draining_target();
	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	rig.runner_left("i-1");
	EXPECT_EQ(rig.take_orders(WL_ORDER_STOP).size(), 1u);
}

TEST_F(Departure, TargetThatStartsAgainAfterItsDepartureIsUsed)
{
	run_on_draining_target();
	SchedOrder open = rig.next_renewal();
	rig.runner_left("i-1");
	rig.answer(open, WL_ORDER_NO_ANSWER);
	rig.take_results();
	rig.runner("i-1", 32000, 2);
	EXPECT_EQ(rig.take_results(), 2u) << "the departure and the report";
	rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	rig.commit();
	EXPECT_EQ(starts().size(), 1u) << "the target runs nothing of before";
	rig.job("q", "wide", {2})->cpu_millis = 30000;
	rig.submit();
	EXPECT_EQ(starts().size(), 2u) << "one on each target";
}

/* Guards against a second run of a task while the first still has its lease. */
TEST_F(Departure, LateAnswerOfTheOneThatLeftDoesNotShortenTheLeasesOfTheNext)
{
	constexpr uint64_t CLOCK_AHEAD_MS = 10000; /* of the one that left */
	rig.advance(LEASE_OVER_MS + 1000);	   /* no leases of an earlier leader are left */
	rig.runner("i-1");
	SchedOrder start = start_job("j");

	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
	drain();
	rig.runner_left("i-1");
	rig.advance(10);
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(start, 1, WL_END_DONE)});
	rig.commit();
	rig.advance(10);
	rig.commit();
	ASSERT_NE(wl_jobs_runner(rig.jobs, WL_STR("i-1"))->departed_ms, 0u);
	rig.orders.clear();
	rig.runner("i-1", 32000, 2);
	SchedOrder next = start_job("k");
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(next)}, {}, 2);
	SchedOrder open = rig.next_renewal();
	rig.clock_offset_ms += CLOCK_AHEAD_MS;
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.clock_offset_ms -= CLOCK_AHEAD_MS;
	rig.answer(open, WL_ORDER_NO_ANSWER);
	for (uint64_t ms = 0; ms < LEASE_MS - 1000; ms += 10) {
		rig.advance(10);
		for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
			rig.answer(one, WL_ORDER_NO_ANSWER);
		rig.commit();
		ASSERT_EQ(rig.jobs->run_count, 1u) << "given up after " << ms << " ms";
	}
}

TEST_F(Departure, TargetIsRemovedOnceItRunsNothing)
{
	SchedOrder start = run_on_draining_target();

	rig.runner_left("i-1");
	rig.advance(1000);
	rig.commit();
	EXPECT_EQ(wl_jobs_runner(rig.jobs, WL_STR("i-1"))->departed_ms, 0u);
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(start, 1, WL_END_DONE)});
	rig.commit();
	rig.advance(10);
	rig.commit();
	EXPECT_NE(wl_jobs_runner(rig.jobs, WL_STR("i-1"))->departed_ms, 0u);
	EXPECT_EQ(rig.job_state("j"), "completed");
}

TEST_F(Departure, ReportThatANewLeaderGetsAfterTheDepartureDoesNotUndoIt)
{
	SchedOrder start = run_on_draining_target();

	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	rig.runner_left("i-1");
	drain();
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
	EXPECT_EQ(rig.next_renewal().lease_ms, 0u);
}

TEST_F(Departure, CallOfAnEarlierIncarnationDoesNotStopTheRunsOfTheNext)
{
	drain();
	rig.runner("i-1", 32000, 2);
	SchedOrder start = start_job("j");

	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {}, 2);
	rig.take_results();
	rig.runner_left("i-1");
	EXPECT_EQ(rig.take_results(), 1u);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
	EXPECT_GT(rig.next_renewal().lease_ms, 0u);
}

/* The newest committed report is that of the earlier incarnation. */
TEST_F(Departure, CallOfAnEarlierIncarnationDoesNotCountOnceAnAnswerNamedTheNext)
{
	run_on_draining_target();
	rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	rig.take_results();
	rig.runner_left("i-1");
	EXPECT_EQ(rig.take_results(), 1u) << "answered at once";
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
	rig.advance(1000);
	rig.commit();
	EXPECT_EQ(wl_jobs_runner(rig.jobs, WL_STR("i-1"))->departed_ms, 0u);
}

TEST_F(Departure, GangWaitsForTheMemberOnTheTargetThatLeaves)
{
	wl_step_spec_t *step = rig.job("q", "g", {2});

	step->gang = true;
	step->cpu_millis = 20000;
	rig.runner("i-2");
	rig.submit();
	auto members = starts();
	ASSERT_EQ(members.size(), 2u);
	for (const auto &one : members)
		rig.answer(one, WL_ORDER_DONE);
	size_t leaves = members[0].runner == "i-1" ? 0 : 1;
	rig.advance(20);
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 2u);
	size_t of_leaving = holds[0].runner == "i-1" ? 0 : 1;
	rig.runner("i-3");
	drain();
	rig.runner_left("i-1");
	rig.answer_hold(holds[1 - of_leaving], {},
			{SchedRig::end(members[1 - leaves], 1, WL_END_STOPPED)});
	rig.commit();
	EXPECT_TRUE(starts().empty());
	rig.answer_hold(holds[of_leaving], {}, {SchedRig::end(members[leaves], 1, WL_END_STOPPED)});
	rig.commit();
	auto restarted = starts();
	ASSERT_EQ(restarted.size(), 2u);
	EXPECT_EQ(restarted[0].run, restarted[1].run);
	EXPECT_NE(restarted[0].runner, "i-1");
	EXPECT_NE(restarted[1].runner, "i-1");
}

TEST_F(Departure, TargetThatAnswersRenewalsButNoStopDoesNotKeepItsTaskWithoutEnd)
{
	rig.job("q", "j", {1});
	rig.submit();
	auto started = starts();
	ASSERT_EQ(started.size(), 1u);
	rig.answer(started[0], WL_ORDER_NO_ANSWER);
	rig.runner("i-2");
	drain();
	rig.runner_left("i-1");
	uint64_t renewals = 0;
	uint64_t after_ms = started_behind_ms(
		[&](const SchedOrder &renewal) {
			renewals++;
			rig.answer_hold(renewal, {}, {});
		},
		4 * LEASE_MS);
	EXPECT_GE(after_ms, LEASE_MS) << "its start may be carried out late";
	EXPECT_LE(after_ms, START_LATE_MS + LEASE_OVER_MS);
	EXPECT_LE(renewals, after_ms / 100)
		<< "an answer that settles nothing is not asked for at once";
}

TEST_F(Departure, RefusedRenewalsWithAClockDoNotKeepTheRuns)
{
	run_on_draining_target();
	rig.runner_left("i-1");
	uint64_t after_ms = started_behind_ms(
		[&](const SchedOrder &renewal) { rig.answer(renewal, WL_ORDER_UNHEALTHY); },
		4 * LEASE_MS);
	EXPECT_GE(after_ms, LEASE_MS - 200);
	EXPECT_LE(after_ms, LEASE_OVER_MS);
}

TEST_F(Departure, OpenCallIsNotDroppedWhenTheLeadershipEnds)
{
	run_on_draining_target();
	rig.take_results();
	rig.runner_left("i-1");
	EXPECT_EQ(rig.take_results(), 0u);
	rig.follow();
	EXPECT_EQ(rig.take_results(), 1u) << "the daemon sends it to the next leader";
}

TEST_F(Departure, CallThatNamesAnotherIncarnationHasNoEffect)
{
	run_on_draining_target();
	rig.take_results();
	rig.runner_left("i-1", 7);
	EXPECT_EQ(rig.take_results(), 1u);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
}
