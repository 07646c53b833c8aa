#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/*
 * Starts without an answer, which a target may carry out seconds later, also in its next
 * incarnation under the same id.
 */

class UnansweredStart : public testing::Test
{
      protected:
	static constexpr uint64_t MS = 1000000;
	static constexpr uint64_t START_OVER_MS = 5000; /* of the time-out and the delay after it */

	/* i-1 has a run, and got a start without an answer; no lease of before is valid */
	UnansweredStart()
	{
		rig.configure("q");
		rig.runner("i-1");
		for (int i = 0; i < 100; i++) {
			rig.report_forwarded("s1", "i-1");
			rig.advance(100);
		}
		kept = start_job("kept");
		rig.answer(kept, WL_ORDER_DONE);
		rig.answer_hold(next(WL_ORDER_RENEW), {SchedRig::view(kept)}, {});
		since = rig.now;
		start = start_job("j");
	}

	SchedOrder start_job(const std::string &id)
	{
		rig.job("q", id, {1});
		rig.submit();
		auto started = starts();
		EXPECT_EQ(started.size(), 1u);
		return started.empty() ? SchedOrder() : started[0];
	}

	std::vector<SchedOrder> starts()
	{
		for (int commits = 0; commits < 3; commits++) { /* an end, the next start */
			rig.advance(10);
			rig.commit();
		}
		return rig.take_orders(WL_ORDER_START);
	}

	SchedOrder next(wl_order_kind_t kind)
	{
		for (int i = 0; i < 300; i++) {
			auto taken = rig.take_orders(kind);

			if (!taken.empty())
				return taken[0];
			rig.advance(10);
		}
		ADD_FAILURE() << "no such order was sent";
		return {};
	}

	size_t starts_of(const std::string &task)
	{
		size_t count = 0;

		rig.runner("i-2");
		for (const auto &one : starts())
			count += one.task == task;
		return count;
	}

	/* The target starts again under its id and lists nothing. */
	void restart(uint64_t life)
	{
		rig.runner("i-1", 32000, life);
		rig.answer_hold(next(WL_ORDER_RENEW), {}, {}, life);
	}

	/* Answers all renewals of i-1 so. Return: ms from the start to the next one; 0: none. */
	uint64_t started_again_ms(wl_order_outcome_t outcome, uint64_t life = 1)
	{
		rig.runner("i-2");
		while (rig.now - since < 3 * START_OVER_MS * MS) {
			for (const char *id : {"i-2", "i-3"})
				rig.report_forwarded("s1", id);
			for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
				if (outcome == WL_ORDER_DONE)
					rig.answer_hold(one, {}, {}, life);
				else
					rig.answer(one, outcome);
			for (const auto &one : starts())
				if (one.task == start.task)
					return (rig.now - since) / MS;
		}
		return 0;
	}

	SchedRig rig;
	SchedOrder kept;
	SchedOrder start;
	uint64_t since = 0;
};

TEST_F(UnansweredStart, StopThatAnEarlierIncarnationAnsweredDoesNotEndTheRun)
{
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer_hold(next(WL_ORDER_RENEW), {}, {});
	rig.answer(next(WL_ORDER_STOP), WL_ORDER_DONE);
	restart(2);
	EXPECT_EQ(starts_of(start.task), 0u) << "the target may still carry out the first start";
	EXPECT_EQ(next(WL_ORDER_STOP).run, start.run) << "to the new incarnation";
}

TEST_F(UnansweredStart, LateAnswerOfAnEarlierIncarnationToAStopDoesNotEndTheRun)
{
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer_hold(next(WL_ORDER_RENEW), {}, {});
	SchedOrder stop = next(WL_ORDER_STOP);
	restart(2);
	rig.answer(stop, WL_ORDER_DONE);
	rig.answer_hold(next(WL_ORDER_RENEW), {}, {}, 2);
	EXPECT_EQ(starts_of(start.task), 0u) << "the target may still carry out the first start";
}

/* The holds of the target fail, while its reports arrive. */
TEST_F(UnansweredStart, LeasesThatExpireDoNotEndTheRun)
{
	rig.answer(start, WL_ORDER_DONE);
	for (int i = 0; i < 45; i++) {
		rig.report_forwarded("s1", "i-1");
		rig.advance(100);
		for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
			rig.answer(one, WL_ORDER_NO_ANSWER);
	}
	since = rig.now;
	start = start_job("late");
	rig.answer(start, WL_ORDER_NO_ANSWER);
	uint64_t after_ms = started_again_ms(WL_ORDER_NO_ANSWER);
	EXPECT_GE(after_ms, START_OVER_MS);
	EXPECT_LT(after_ms, START_OVER_MS + 500);
}

/* The start names the address, where the other target refuses it. */
TEST_F(UnansweredStart, OtherTargetAtTheAddressEndsTheRunAtOnce)
{
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer(next(WL_ORDER_RENEW), WL_ORDER_OTHER_INCARNATION);
	rig.runner("i-3"); /* tasks of one crash start apart */
	EXPECT_EQ(starts_of(start.task), 1u);
}

/* A target that has crashed twice under a task may do so a third time. */
TEST_F(UnansweredStart, StopOnALaterIncarnationEndsTheRunOnceTheStartIsOver)
{
	rig.answer(start, WL_ORDER_NO_ANSWER);
	restart(2);
	rig.answer(next(WL_ORDER_STOP), WL_ORDER_DONE);
	uint64_t after_ms = started_again_ms(WL_ORDER_DONE, 2);
	EXPECT_GE(after_ms, START_OVER_MS);
	EXPECT_LT(after_ms, START_OVER_MS + 500);
}

TEST_F(UnansweredStart, NewLeaderDoesNotEndTheRunAfterARestart)
{
	rig.answer_hold(next(WL_ORDER_RENEW), {}, {SchedRig::end(kept, 1, WL_END_DONE)});
	rig.commit();
	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	restart(2);
	uint64_t after_ms = started_again_ms(WL_ORDER_DONE, 2);
	EXPECT_GE(after_ms, START_OVER_MS);
	EXPECT_LT(after_ms, START_OVER_MS + 500);
}

TEST_F(UnansweredStart, NoStartIsSentToATargetThatIsBeingRemoved)
{
	rig.answer(start, WL_ORDER_DONE);
	SchedOrder renewal = next(WL_ORDER_RENEW);
	rig.job("q", "late", {1});
	rig.submit();
	rig.advance(10);
	rig.answer(renewal, WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	EXPECT_EQ(starts_of("late.0.0.0"), 1u);
}

/* Its clock was ahead of that of the new incarnation by a minute. */
TEST_F(UnansweredStart, LateAnswerOfAnEarlierIncarnationDoesNotSetTheClock)
{
	const uint64_t ahead_ms = 60000;

	rig.clock_offset_ms += ahead_ms;
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer_hold(next(WL_ORDER_RENEW), {}, {});
	SchedOrder stop = next(WL_ORDER_STOP);
	rig.clock_offset_ms -= ahead_ms;
	restart(2);
	rig.clock_offset_ms += ahead_ms;
	rig.answer(stop, WL_ORDER_DONE);
	rig.clock_offset_ms -= ahead_ms;
	rig.answer_hold(next(WL_ORDER_RENEW), {}, {}, 2);
	SchedOrder renewal = next(WL_ORDER_RENEW);
	EXPECT_LE(renewal.lease_ms, rig.now / MS + rig.clock_offset_ms + 6000);
}

/* A hold that was sent to the incarnation before renews the lease of the next one. */
TEST_F(UnansweredStart, LeaseOfALateHoldOnANewIncarnationIsWaitedFor)
{
	const uint64_t hold_over_ms = 7000; /* held by its agent and on its path */
	const uint64_t lease_ms = 6000;

	rig.answer(start, WL_ORDER_DONE);
	rig.answer_hold(next(WL_ORDER_RENEW), {SchedRig::view(start)},
			{SchedRig::end(kept, 1, WL_END_DONE)});
	rig.commit();
	SchedOrder late = next(WL_ORDER_RENEW);
	since = rig.now;
	rig.answer(late, WL_ORDER_NO_ANSWER);
	restart(2);
	start = starts().at(0);
	rig.answer(start, WL_ORDER_DONE);
	uint64_t after_ms = started_again_ms(WL_ORDER_NO_ANSWER);
	EXPECT_GE(after_ms, hold_over_ms + lease_ms);
	EXPECT_LT(after_ms, hold_over_ms + lease_ms + 1000);
}

/* The next incarnation would forget its own ends of these numbers, before they are committed. */
TEST_F(UnansweredStart, HoldAfterAPauseNamesNoEndsOfTheIncarnationBefore)
{
	rig.answer(start, WL_ORDER_DONE);
	rig.answer_hold(
		next(WL_ORDER_RENEW), {},
		{SchedRig::end(start, 1, WL_END_DONE), SchedRig::end(kept, 2, WL_END_DONE)});
	rig.commit();
	SchedOrder hold = next(WL_ORDER_RENEW);
	EXPECT_EQ(hold.seen, 2u);
	rig.answer_hold(hold, {}, {});
	rig.advance(2000);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_RENEW).empty()) << "nothing runs there";
	rig.report_forwarded("s1", "i-1");
	start = start_job("later");
	rig.answer(start, WL_ORDER_DONE);
	hold = next(WL_ORDER_RENEW);
	EXPECT_EQ(hold.seen, 0u) << "it may have started again";
}

/* The first start may still be carried out, and the task runs elsewhere. */
TEST_F(UnansweredStart, NextIncarnationIsToldToStopARunThatTheEarlierOneRefuses)
{
	rig.answer(start, WL_ORDER_NO_ANSWER);
	rig.answer_hold(next(WL_ORDER_RENEW), {SchedRig::view(kept)}, {});
	rig.answer(next(WL_ORDER_STOP), WL_ORDER_DONE);
	rig.advance(10);
	rig.answer_hold(next(WL_ORDER_RENEW), {SchedRig::view(kept)}, {});
	EXPECT_EQ(starts_of(start.task), 1u);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
	rig.runner("i-1", 32000, 2);
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(stops[0].task, start.task);
	EXPECT_EQ(stops[0].run, start.run);
	rig.advance(START_OVER_MS);
	rig.take_orders(WL_ORDER_STOP);
	rig.runner("i-1", 32000, 3);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty()) << "the start is over";
}

/* The target crashes each time before it has answered a stop and a list after that. */
TEST_F(UnansweredStart, IncarnationThatBeginsOnceTheStartIsOverEndsTheRunWithoutAStop)
{
	rig.answer(start, WL_ORDER_NO_ANSWER);
	restart(2);
	EXPECT_EQ(starts_of(start.task), 0u) << "the target may still carry out the first start";
	while (rig.now - since < START_OVER_MS * MS) {
		rig.report_forwarded("s1", "i-2");
		rig.advance(100);
		for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
			rig.answer(one, WL_ORDER_NO_ANSWER);
	}
	restart(3);
	EXPECT_EQ(starts_of(start.task), 1u);
}
