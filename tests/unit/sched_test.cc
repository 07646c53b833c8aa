#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Orders, commits and acknowledgements of the scheduler, and their sequence. */

class Sched : public testing::Test
{
      protected:
	Sched()
	{
		rig.configure("q");
		rig.runner("i-1");
	}

	/* Submits a job of one task and lets its run start. */
	SchedOrder start_job(const std::string &id)
	{
		rig.job("q", id, {1});
		rig.submit();
		rig.advance(10);
		rig.commit();
		auto starts = rig.take_orders(WL_ORDER_START);
		EXPECT_EQ(starts.size(), 1u);
		if (starts.empty())
			return {};
		rig.answer(starts[0], WL_ORDER_DONE);
		return starts[0];
	}

	/* Commits the ends, then returns the start orders that follow. */
	std::vector<SchedOrder> next_starts()
	{
		rig.commit();
		rig.advance(10);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
	}

	SchedRig rig;
};

TEST_F(Sched, StartIsOrderedOnlyOnceItIsCommitted)
{
	rig.job("q", "j", {2});
	rig.submit();
	rig.advance(10);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.commit();
	EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), 2u);
	EXPECT_EQ(rig.job_state("j"), "running");
}

TEST_F(Sched, StartCarriesAShortLeaseOnTheTargetsClock)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	auto starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_NEAR(static_cast<double>(starts[0].lease_ms),
		    static_cast<double>(rig.now / 1000000 + rig.clock_offset_ms + 2000), 20);
}

TEST_F(Sched, EndIsAcknowledgedOnlyOnceItIsCommitted)
{
	SchedOrder start = start_job("j");

	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(start, 1, WL_END_DONE)});
	EXPECT_EQ(rig.job_state("j"), "running");
	EXPECT_EQ(rig.commit(), 1u);
	EXPECT_EQ(rig.job_state("j"), "completed");
	EXPECT_EQ(rig.next_renewal().seen, 1u);
}

/*
 * A target lists an end again until it is acknowledged. If the leader acknowledged an end
 * whose commit is still pending and then lost its leadership, the end would be lost and
 * the task would run twice.
 */
TEST_F(Sched, EndThatIsListedAgainBeforeItsCommitIsNotAcknowledged)
{
	SchedOrder other = start_job("other");
	SchedOrder start = start_job("j");

	for (int i = 0; i < 3; i++) {
		SchedOrder received = rig.next_renewal();

		EXPECT_EQ(received.seen, 0u);
		rig.answer_hold(received, {SchedRig::view(other)},
				{SchedRig::end(start, 1, WL_END_DONE)});
		rig.advance(1500);
	}
	rig.commit();
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(other)}, {});
	EXPECT_EQ(rig.next_renewal().seen, 1u);
}

TEST_F(Sched, NextStepOpensOnceAllTasksAreDone)
{
	rig.job("q", "j", {2, 1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	auto starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 2u);
	for (const auto &start : starts)
		rig.answer(start, WL_ORDER_DONE);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(starts[1])},
			{SchedRig::end(starts[0], 1, WL_END_DONE)});
	rig.commit();
	rig.advance(10);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(starts[1], 2, WL_END_DONE)});
	rig.commit();
	rig.advance(10);
	rig.commit();
	starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].task, "j.0.1.0");
}

TEST_F(Sched, TaskFailsTheJobAfterItsAttempts)
{
	SchedOrder start = start_job("j");

	for (uint64_t attempt = 1; attempt <= 3; attempt++) {
		EXPECT_EQ(start.run, attempt);
		EXPECT_EQ(rig.job_state("j"), "running");
		rig.answer_hold(rig.next_renewal(), {},
				{SchedRig::end(start, attempt, WL_END_FAILED)});
		auto starts = next_starts();
		if (starts.empty())
			break;
		start = starts[0];
		rig.answer(start, WL_ORDER_DONE);
	}
	EXPECT_EQ(rig.job_state("j"), "failed");
}

TEST_F(Sched, UnansweredStartIsAdoptedWhereTheTargetListsIt)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	SchedOrder start = rig.take_orders(WL_ORDER_START).at(0);
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
	rig.advance(500);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
}

TEST_F(Sched, UnansweredStartIsFencedBeforeTheTaskRunsElsewhere)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	SchedOrder start = rig.take_orders(WL_ORDER_START).at(0);
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer_hold(rig.next_renewal(), {}, {});
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(rig.commit(), 0u) << "the run was ended before the stop was answered";
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.advance(10);
	rig.answer_hold(rig.next_renewal(), {}, {});
	auto starts = next_starts();
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].run, 2u);
}

TEST_F(Sched, RunsOfAnUnreachableTargetAreLostOnlyAfterEveryLease)
{
	SchedOrder start = start_job("j");

	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
	SchedOrder renewed = rig.next_renewal();
	uint64_t lease_end_ms = renewed.lease_ms - rig.clock_offset_ms;

	rig.answer(renewed, WL_ORDER_NO_ANSWER);
	while (rig.commit() == 0 && rig.now / 1000000 < lease_end_ms + 2000) {
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
			EXPECT_EQ(order.lease_ms, 0u) << "a lease that may be granted again";
			rig.answer(order, WL_ORDER_NO_ANSWER);
		}
		rig.advance(10);
	}
	EXPECT_GT(rig.now / 1000000, lease_end_ms + lease_end_ms / 50);
	EXPECT_LT(rig.now / 1000000, lease_end_ms + 2000);
}

TEST_F(Sched, RunsOfAnEarlierIncarnationAreLostAtOnce)
{
	start_job("j");
	rig.runner("i-1", 32000, 2);
	rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	auto starts = next_starts();
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].run, 2u);
}

/* The clock of the other target must not be used for the leases of the earlier one. */
TEST_F(Sched, RunsAreLostWhereAnotherTargetAnswersAtTheAddress)
{
	rig.runner("i2");
	rig.job("q", "j", {1});
	rig.submit();
	SchedOrder start = next_starts().at(0);
	rig.answer(start, WL_ORDER_DONE);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {});
	SchedOrder next = rig.next_renewal();
	rig.clock_offset_ms += 1000000;
	rig.answer(next, WL_ORDER_OTHER_INCARNATION);
	auto restarted = next_starts();
	ASSERT_EQ(restarted.size(), 1u);
	EXPECT_EQ(restarted[0].run, 2u);
	EXPECT_NE(restarted[0].runner, start.runner);
}

TEST_F(Sched, NewLeaderSendsItsEpochAndAdoptsRuns)
{
	SchedOrder start = start_job("j");

	rig.follow();
	rig.take_orders(WL_ORDER_RENEW);
	rig.lead(2);
	SchedOrder first = rig.next_renewal();
	EXPECT_EQ(first.epoch >> WL_ORDER_EPOCH_TERM_SHIFT, 2u);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.answer_hold(first, {SchedRig::view(start)}, {});
	rig.advance(200);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
}

/*
 * A new leader has adopted a run and granted no lease yet when the target becomes
 * unreachable. The lease of its predecessor is still valid, so that the run must not be
 * counted as lost: the task would run twice.
 */
TEST_F(Sched, NewLeaderRespectsLeasesOfItsPredecessor)
{
	SchedOrder kept = start_job("kept");
	SchedOrder ended = start_job("ended");

	rig.answer_hold(rig.next_renewal(), {SchedRig::view(kept), SchedRig::view(ended)}, {});
	rig.follow();
	rig.take_orders(WL_ORDER_RENEW);
	rig.lead(2);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(kept)},
			{SchedRig::end(ended, 1, WL_END_DONE)});
	for (int i = 0; i < 10; i++) {
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer(order, WL_ORDER_NO_ANSWER);
		rig.advance(100);
	}
	rig.commit();
	EXPECT_EQ(rig.find("kept")->active, 1u);
}

/*
 * On a leader short of CPU time, a hold may be in flight for seconds while the target has
 * already listed the end. The run must not be counted as lost meanwhile: the task would
 * run twice.
 */
TEST_F(Sched, RunsAreNotLostWhileAHoldIsInFlight)
{
	SchedOrder start = start_job("j");
	SchedOrder late = rig.next_renewal();

	rig.answer_hold(late, {SchedRig::view(start)}, {});
	late = rig.next_renewal();
	rig.advance(9000);
	EXPECT_EQ(rig.commit(), 0u);
	rig.answer_hold(late, {}, {SchedRig::end(start, 1, WL_END_DONE)});
	rig.commit();
	EXPECT_EQ(rig.job_state("j"), "completed");
}

TEST_F(Sched, CancelledJobIsStoppedAndNothingOfItStarts)
{
	SchedOrder start = start_job("j");

	rig.cancel("q", "j");
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(stops[0].task, start.task);
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.advance(10);
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(start, 1, WL_END_STOPPED)});
	rig.commit();
	rig.advance(100);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	EXPECT_EQ(rig.job_state("j"), "cancelled");
}

TEST_F(Sched, CancelBetweenPlacementAndCommitStartsNothing)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10); /* the start is proposed */
	rig.cancel("q", "j");
	rig.advance(10);
	rig.commit();
	for (const auto &start : rig.take_orders(WL_ORDER_START))
		EXPECT_EQ(rig.take_orders(WL_ORDER_STOP).size(), 1u) << start.task;
	EXPECT_EQ(rig.job_state("j"), "cancelled");
}

TEST_F(Sched, DrainingTargetGetsNoStarts)
{
	rig.runner("i-1", 32000, 1, "r1", true);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(100);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
}

TEST_F(Sched, TasksOfATargetThatLeftAreRestarted)
{
	SchedOrder start = start_job("j");
	SchedOrder last = rig.next_renewal();

	rig.runner("i-2");
	rig.runner("i-1", 32000, 1, "r1", true);
	rig.runner_left("i-1");
	EXPECT_TRUE(next_starts().empty()) << "the target may work on";
	rig.answer_hold(last, {}, {SchedRig::end(start, 1, WL_END_STOPPED)});
	auto starts = next_starts();
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].runner, "i-2");
}

/*
 * A target may leave when its last run has ended.  Its last answer lists that end, and passes
 * through an agent while the departure does not.
 */
TEST_F(Sched, EndInTheLastAnswerOfATargetThatLeftCounts)
{
	SchedOrder start = start_job("j");
	SchedOrder last = rig.next_renewal();

	rig.runner("i-2");
	rig.runner("i-1", 32000, 1, "r1", true);
	rig.runner_left("i-1");
	rig.advance(20);
	rig.commit();
	rig.answer_hold(last, {}, {SchedRig::end(start, 1, WL_END_DONE)});
	rig.advance(10);
	rig.commit();
	rig.advance(1000);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty()) << "the task was started twice";
	EXPECT_EQ(rig.job_state("j"), "completed");
}

TEST_F(Sched, CheckpointOfAStoppedRunIsPassedToTheNext)
{
	SchedOrder start = start_job("j");
	wl_end_view_t stopped = SchedRig::end(start, 1, WL_END_STOPPED);

	wl_buf_set(&stopped.checkpoint, WL_STR("c1"));
	rig.answer_hold(rig.next_renewal(), {}, {stopped});
	auto starts = next_starts();
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].checkpoint, "c1");
}

TEST_F(Sched, GangStartsCompletelyOrNotAtAll)
{
	wl_step_spec_t *step = rig.job("q", "j", {3});

	step->gang = true;
	step->cpu_millis = 12000;
	rig.submit();
	rig.advance(50);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty()) << "only two of three members fit";
	rig.runner("i-2");
	rig.advance(50);
	rig.commit();
	EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), 3u);
}

/*
 * Guards against a gang whose members go on from different checkpoints: they never work together
 * again, and each run of it ends with a member alone.
 */
TEST_F(Sched, MembersOfAGangGoOnFromOneCheckpoint)
{
	const char *const saved[] = {"a3", "b2", ""};
	wl_step_spec_t *step = rig.job("q", "j", {3});
	std::vector<wl_end_view_t> ends;

	step->gang = true;
	rig.submit();
	auto starts = next_starts();
	ASSERT_EQ(starts.size(), 3u);
	for (size_t i = 0; i < 3; i++) {
		rig.answer(starts[i], WL_ORDER_DONE);
		ends.push_back(
			SchedRig::end(starts[i], i + 1, i ? WL_END_GANG_BROKEN : WL_END_FAILED));
		wl_buf_set(&ends[i].checkpoint, wl_str_from(saved[i]));
	}
	rig.answer_hold(rig.next_renewal(), {}, ends);
	starts = next_starts();
	ASSERT_EQ(starts.size(), 3u);
	for (const auto &start : starts)
		EXPECT_EQ(start.checkpoint, "b2") << start.task;
	rig.follow();
	rig.orders.clear();
	rig.reload();
	rig.lead(2);
	rig.runner("i-1", 32000, 2);
	starts.clear();
	for (int i = 0; i < 1000 && starts.empty(); i++) {
		for (const auto &renewal : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(renewal, {}, {}, 2);
		starts = next_starts();
	}
	ASSERT_EQ(starts.size(), 3u);
	for (const auto &start : starts)
		EXPECT_EQ(start.checkpoint, "b2") << start.task;
}

TEST_F(Sched, UrgentQueueGoesFirst)
{
	rig.configure("late", 5);
	wl_step_spec_t *wide = rig.job("q", "full", {1});
	wide->cpu_millis = 32000;
	rig.submit();
	rig.advance(10);
	rig.commit();
	SchedOrder full = rig.take_orders(WL_ORDER_START).at(0);
	rig.answer(full, WL_ORDER_DONE);

	rig.job("late", "a", {1})->cpu_millis = 32000;
	rig.submit();
	rig.job("q", "b", {1})->cpu_millis = 32000;
	rig.submit();
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(full, 1, WL_END_DONE)});
	auto starts = next_starts();
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].task, "b.0.0.0");
}

TEST_F(Sched, UnknownRunIsStopped)
{
	SchedOrder start = start_job("j");
	SchedOrder unknown = start;

	unknown.task = "other.0.0.0";
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start), SchedRig::view(unknown)}, {});
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(stops[0].task, "other.0.0.0");
}

TEST_F(Sched, LastingTaskIsRestartedHoweverItEnds)
{
	rig.job("q", "j", {1})->lasting = true;
	rig.submit();
	rig.advance(10);
	rig.commit();
	SchedOrder start = rig.take_orders(WL_ORDER_START).at(0);
	for (uint64_t number = 1; number <= 5; number++) {
		rig.answer(start, WL_ORDER_DONE);
		rig.answer_hold(
			rig.next_renewal(), {},
			{SchedRig::end(start, number, number % 2 ? WL_END_FAILED : WL_END_DONE)});
		auto starts = next_starts();
		ASSERT_EQ(starts.size(), 1u) << number;
		start = starts[0];
	}
	EXPECT_EQ(rig.job_state("j"), "running");
}

/*
 * A serving task and a best-effort task on one target, both running, with a tail latency
 * well below its bound.
 */
class Tails : public Sched
{
      protected:
	void begin()
	{
		wl_step_spec_t *serving = rig.job("q", "s", {1});
		serving->lasting = true;
		serving->tail_target_us = 50000;
		wl_buf_set(&serving->image, WL_STR("users"));
		s = start();
		wl_step_spec_t *best_effort = rig.job("q", "f", {1});
		best_effort->best_effort = true;
		wl_buf_set(&best_effort->image, WL_STR("press"));
		f = start();
		tail(20);
	}

	void tail(uint64_t ms)
	{
		rig.answer_hold(rig.next_renewal(), {SchedRig::view(s, ms), SchedRig::view(f)}, {});
	}

	SchedOrder s;
	SchedOrder f;

      private:
	SchedOrder start()
	{
		rig.submit();
		rig.advance(10);
		rig.commit();
		SchedOrder order = rig.take_orders(WL_ORDER_START).at(0);
		rig.answer(order, WL_ORDER_DONE);
		return order;
	}
};

/*
 * A tail latency above its bound throttles the best-effort work on the target. If that is
 * not enough, the work is stopped, so that it may run elsewhere.
 */
TEST_F(Tails, InterferingBestEffortIsThrottledThenStopped)
{
	begin();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_THROTTLE).empty());

	rig.advance(500);
	tail(60);
	auto paces = rig.take_orders(WL_ORDER_THROTTLE);
	ASSERT_EQ(paces.size(), 1u);
	EXPECT_EQ(paces[0].task, "f.0.0.0");
	EXPECT_EQ(paces[0].percent, 0u);
	rig.answer(paces[0], WL_ORDER_DONE);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());

	rig.advance(1000);
	tail(60);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_THROTTLE).empty()) << "the speed is unchanged";
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(stops[0].task, "f.0.0.0");
}

TEST_F(Tails, SpeedIsRestoredWhenTheTailFalls)
{
	begin();
	rig.advance(500);
	tail(60);
	rig.answer(rig.take_orders(WL_ORDER_THROTTLE).at(0), WL_ORDER_NO_ANSWER);

	rig.advance(500);
	tail(15);
	auto paces = rig.take_orders(WL_ORDER_THROTTLE);
	ASSERT_EQ(paces.size(), 1u)
		<< "the first order got no answer, so that the speed is unknown";
	EXPECT_EQ(paces[0].percent, 100u);
}

TEST_F(Tails, SpeedIsRestoredWhenNoServingTaskRemains)
{
	begin();
	rig.advance(500);
	tail(60);
	rig.answer(rig.take_orders(WL_ORDER_THROTTLE).at(0), WL_ORDER_DONE);

	rig.cancel("q", "s");
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(f)},
			{SchedRig::end(s, 1, WL_END_STOPPED)});
	rig.commit();
	rig.take_orders(WL_ORDER_THROTTLE);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(f)}, {});
	auto paces = rig.take_orders(WL_ORDER_THROTTLE);
	ASSERT_EQ(paces.size(), 1u);
	EXPECT_EQ(paces[0].percent, 100u);
}

/* Tail latencies are requested more often where best-effort work may bring one to its bound. */
TEST_F(Tails, HoldsAreLongFarFromTheBound)
{
	begin();
	rig.advance(500);
	tail(10);
	rig.advance(500);
	tail(10);
	EXPECT_EQ(rig.next_renewal().wait_ms, 1000u) << "the tail latency is a fifth of the bound";
}

TEST_F(Tails, HoldsAreShortNearTheBound)
{
	begin();
	rig.advance(500);
	tail(45);
	EXPECT_EQ(rig.next_renewal().wait_ms, 500u);
}

/* The target of the first task reports again before the second task is placed. */
TEST_F(Sched, RackOfAStepIsKeptAfterTheTargetsNextReport)
{
	rig.runner("i-2", 1000, 1, "rack-of-the-step");
	rig.runner("i-1", 0);
	wl_step_spec_t *step = rig.job("q", "j", {2});
	step->same_rack = true;
	rig.submit();
	rig.advance(10);
	rig.commit();
	ASSERT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
	rig.runner("i-2", 1000, 1, "rack-of-the-step", true);
	for (const char *id : {"i-3", "i-4", "i-5"})
		rig.runner(id, 64000, 1, "another-rack");
	rig.runner("i-6", 1000, 1, "rack-of-the-step");
	rig.advance(10);
	rig.commit();
	auto starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].runner, "i-6");
}

/* The scheduler receives messages for other parts of the leader too. */
TEST_F(Sched, MessagesForOtherPartsAreNotAnswered)
{
	for (int kind = WL_MSG_NONE; kind < WL_MSG_KINDS; kind++) {
		if (kind == WL_MSG_COMMAND || kind == WL_MSG_QUERY)
			continue;
		rig.sent.clear();
		rig.message(static_cast<wl_msg_kind_t>(kind));
		EXPECT_TRUE(rig.sent.empty()) << wl_msg_name(kind);
	}
}
