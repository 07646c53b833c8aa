#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* What was learnt from or sent to one incarnation of a target says nothing of another one. */

class Incarnation : public testing::Test
{
      protected:
	static constexpr uint64_t MS = 1000000;
	static constexpr uint64_t LEASE_MS = 6000;
	static constexpr uint64_t START_LEASE_MS = 2000;
	static constexpr uint64_t OLD_CLOCK = 500000; /* how far it is ahead of ours, ms */
	static constexpr uint64_t NEW_CLOCK = 100;
	/* of a slow clock, with the margin of the leader and the interval of the ticks */
	static constexpr uint64_t LEASE_OVER_MS = LEASE_MS * 100 / 98 + 300 + 50;
	/* how long an agent may hold a renewal, and how late it may be carried out after that */
	static constexpr uint64_t LATE_MS = 7000;

	Incarnation()
	{
		rig.configure("q");
		rig.clock_offset_ms = OLD_CLOCK;
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
		return started.empty() ? SchedOrder{} : started[0];
	}

	void end_and_commit(const std::string &id)
	{
		SchedOrder start = start_job(id);

		rig.answer(start, WL_ORDER_DONE);
		rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(start, 1, WL_END_DONE)});
		rig.commit();
	}

	void end_and_acknowledge(const std::string &id)
	{
		end_and_commit(id);
		SchedOrder acknowledging = rig.next_renewal();
		EXPECT_EQ(acknowledging.seen, 1u);
		rig.answer_hold(acknowledging, {}, {});
	}

	/* The target is back under its id; its report has arrived. */
	void restart(uint64_t life = 2)
	{
		rig.clock_offset_ms = NEW_CLOCK;
		rig.runner("i-1", 32000, life);
	}

	void lead_again()
	{
		rig.follow();
		rig.orders.clear();
		rig.lead(2);
	}

	/* A report with the clock of the earlier incarnation. */
	void report_late(uint64_t life)
	{
		rig.clock_offset_ms = OLD_CLOCK;
		rig.runner("i-1", 32000, life);
		rig.clock_offset_ms = NEW_CLOCK;
	}

	/* No order may name a deadline that is far ahead of the clock of the next incarnation. */
	void expect_deadlines_by_its_clock()
	{
		rig.job("q", "later", {1});
		rig.submit();
		for (const auto &one : starts())
			EXPECT_LE(one.lease_ms, clock_now_ms() + START_LEASE_MS);
		for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
			EXPECT_LE(one.lease_ms, clock_now_ms() + LEASE_MS);
	}

	/* The target crashes: for so long its holds fail, and nothing reaches it. */
	void crash(uint64_t ms)
	{
		for (uint64_t until = rig.now + ms * MS; rig.now < until; rig.advance(10))
			for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
				rig.answer(one, WL_ORDER_NOT_SENT);
	}

	/* A start that the next incarnation takes, whose first report is on its way. */
	SchedOrder start_taken_by_the_next()
	{
		for (uint64_t i = 0; i < LATE_MS; i += 100) { /* no order of before is late now */
			rig.report_forwarded("s1", "i-1");
			rig.advance(100);
		}
		SchedOrder first = start_job("first");
		rig.answer(first, WL_ORDER_DONE);
		rig.answer_hold(rig.next_renewal(), {SchedRig::view(first)}, {});
		crash(2000);
		SchedOrder start = start_job("j");
		rig.clock_offset_ms = NEW_CLOCK;
		rig.answer(start, WL_ORDER_DONE);
		return start;
	}

	/* i-1 is cut off. Return: ms until another target gets the task; 0: none does. */
	uint64_t started_elsewhere_ms(const std::string &task)
	{
		uint64_t since = rig.now;

		rig.runner("i-2");
		while (rig.now - since < 4 * LEASE_MS * MS) {
			rig.report_forwarded("s1", "i-2");
			for (auto kind : {WL_ORDER_RENEW, WL_ORDER_STOP})
				for (const auto &one : rig.take_orders(kind))
					rig.answer(one, WL_ORDER_NO_ANSWER);
			for (const auto &one : starts()) {
				if (one.task == task)
					return (rig.now - since) / MS;
				rig.answer(one, WL_ORDER_NO_ANSWER);
			}
		}
		return 0;
	}

	uint64_t clock_now_ms() const
	{
		return rig.now / MS + rig.clock_offset_ms;
	}

	SchedRig rig;
};

TEST_F(Incarnation, FailedRenewalOfTheEarlierOneDoesNotLeaveTheNextWithoutLeases)
{
	rig.answer(start_job("j"), WL_ORDER_DONE);
	rig.answer(rig.next_renewal(), WL_ORDER_NO_ANSWER);
	restart();
	EXPECT_GT(rig.next_renewal().lease_ms, 0u);
}

/* The end of a run in the next incarnation has a number that was acknowledged to the earlier one.
 */
TEST_F(Incarnation, EndsAcknowledgedToTheEarlierOneAreNotForgottenByTheNext)
{
	end_and_acknowledge("a");
	SchedOrder b = start_job("b");
	rig.answer(b, WL_ORDER_DONE);
	SchedOrder next = rig.next_renewal();
	EXPECT_EQ(next.seen, 0u) << "the next incarnation forgets its end";
	rig.answer_hold(next, {}, {SchedRig::end(b, 1, WL_END_DONE)}, 2);
	rig.commit();
	EXPECT_EQ(rig.job_state("b"), "completed");
	EXPECT_TRUE(starts().empty()) << "started again after it was done";
}

/*
 * A renewal that acknowledges ends gets no answer, and is carried out by the next incarnation,
 * which would forget an end that it has not listed: it refuses it, by its epoch, from its first
 * order on.
 */
TEST_F(Incarnation, LateAcknowledgementOfTheEarlierOneIsRefusedByTheNext)
{
	end_and_commit("a");
	SchedOrder late = rig.next_renewal();
	ASSERT_EQ(late.seen, 1u);
	restart();
	rig.answer(late, WL_ORDER_NO_ANSWER);
	SchedOrder b = start_job("b");
	EXPECT_GT(b.epoch, late.epoch);
	SchedOrder renewal = rig.next_renewal();
	EXPECT_EQ(renewal.epoch, b.epoch);
	restart(3);
	EXPECT_GT(start_job("c").epoch, b.epoch);
}

/* The same for a target that was removed before it came back, and for a later leader. */
TEST_F(Incarnation, EpochsRiseAcrossRemovalsAndLeaders)
{
	SchedOrder first = start_job("a");

	rig.runner_left("i-1", 1);
	rig.commit();
	rig.advance(100);
	restart();
	SchedOrder second = start_job("b");
	EXPECT_GT(second.epoch, first.epoch);
	lead_again();
	rig.runner("i-1", 32000, 2);
	EXPECT_GT(rig.next_renewal().epoch, second.epoch);
}

TEST_F(Incarnation, EndsAreNotAcknowledgedWhileRenewalsFail)
{
	end_and_commit("a");
	rig.answer(rig.next_renewal(), WL_ORDER_NO_ANSWER);
	SchedOrder b = start_job("b");
	rig.answer(b, WL_ORDER_DONE);
	SchedOrder next = rig.next_renewal();
	EXPECT_EQ(next.seen, 0u) << "the target may be a later incarnation by now";
	rig.answer_hold(next, {SchedRig::view(b)}, {});
	EXPECT_EQ(rig.next_renewal().seen, 1u);
}

TEST_F(Incarnation, DelayedReportOfTheEarlierOneDoesNotSetTheClockOfANewLeader)
{
	restart();
	lead_again();
	report_late(1);
	expect_deadlines_by_its_clock();
}

TEST_F(Incarnation, ReportWithoutStartTimeDoesNotSetTheClockOfANewLeader)
{
	restart();
	lead_again();
	report_late(0);
	expect_deadlines_by_its_clock();
}

TEST_F(Incarnation, DelayedReportOfTheEarlierOneDoesNotHideADepartureFromANewLeader)
{
	restart();
	rig.answer(start_job("j"), WL_ORDER_DONE);
	rig.runner("i-1", 32000, 2, "r1", true);
	lead_again();
	report_late(1);
	rig.runner_left("i-1");
	EXPECT_EQ(rig.take_orders(WL_ORDER_STOP).size(), 1u);
}

TEST_F(Incarnation, StartThatTheNextOneTookIsKeptForTheLongestLease)
{
	SchedOrder start = start_taken_by_the_next();
	uint64_t after_ms = started_elsewhere_ms(start.task);
	EXPECT_GE(after_ms, LEASE_MS) << "two runs of one task may overlap";
	EXPECT_LE(after_ms, LEASE_OVER_MS);
}

/* It is carried out late, when the start that is answered before it has been. */
TEST_F(Incarnation, RenewalForTheEarlierOneMayLengthenTheLeasesOfTheNext)
{
	rig.answer(start_job("first"), WL_ORDER_DONE);
	SchedOrder late = rig.next_renewal();
	EXPECT_GT(late.lease_ms, 0u);
	restart();
	rig.answer(late, WL_ORDER_NO_ANSWER);
	SchedOrder renewal = rig.next_renewal();
	rig.answer_hold(renewal, {}, {}, 2);
	rig.commit();
	auto again = starts();
	ASSERT_EQ(again.size(), 1u);
	rig.answer(again[0], WL_ORDER_DONE);
	uint64_t after_ms = started_elsewhere_ms(again[0].task);
	EXPECT_GE(after_ms, LATE_MS - 100 + LEASE_MS) << "two runs of one task may overlap";
	EXPECT_LE(after_ms, LATE_MS + LEASE_OVER_MS);
}

TEST_F(Incarnation, StartWhoseAnswerHasTheKnownClockIsBoundedByItsLease)
{
	SchedOrder start = start_job("j");
	rig.answer(start, WL_ORDER_DONE);
	rig.answer(rig.next_renewal(), WL_ORDER_NO_ANSWER);
	uint64_t after_ms = started_elsewhere_ms(start.task);
	EXPECT_GE(after_ms, START_LEASE_MS);
	EXPECT_LE(after_ms, LEASE_OVER_MS);
}

TEST_F(Incarnation, LateAnswerOfTheEarlierOneDoesNotSetTheClockOfTheNext)
{
	SchedOrder start = start_job("j");
	rig.answer(start, WL_ORDER_DONE);
	SchedOrder late = rig.next_renewal();
	restart();
	rig.clock_offset_ms = OLD_CLOCK;
	rig.answer_hold(late, {SchedRig::view(start)}, {});
	rig.clock_offset_ms = NEW_CLOCK;
	SchedOrder next = rig.next_renewal();
	EXPECT_LE(next.lease_ms, clock_now_ms() + LEASE_MS);
	rig.answer_hold(next, {}, {}, 2);
	rig.commit();
	expect_deadlines_by_its_clock();
}

TEST_F(Incarnation, LateAnswerOfTheEarlierOneToAStopDoesNotSetTheClockOfTheNext)
{
	SchedOrder start = start_job("j");
	rig.answer(start, WL_ORDER_DONE);
	rig.cancel("q", "j");
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	restart();
	rig.clock_offset_ms = OLD_CLOCK;
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.clock_offset_ms = NEW_CLOCK;
	expect_deadlines_by_its_clock();
}

TEST_F(Incarnation, LateFailureOfARenewalOfTheEarlierOneTakesNoLeasesFromTheNext)
{
	rig.answer(start_job("j"), WL_ORDER_DONE);
	SchedOrder late = rig.next_renewal();
	restart();
	rig.answer(late, WL_ORDER_NO_ANSWER);
	EXPECT_GT(rig.next_renewal().lease_ms, 0u);
}

TEST_F(Incarnation, RunsOfTheEarlierOneEndAlsoIfTheNextHasAnEarlierStartTime)
{
	rig.runner("i-1", 32000, 5);
	SchedOrder start = start_job("j");
	rig.answer(start, WL_ORDER_DONE);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(start)}, {}, 5);
	rig.clock_offset_ms = NEW_CLOCK;
	uint64_t renewals = 0;
	std::vector<SchedOrder> again;
	for (int i = 0; i < 100 && again.empty(); i++) {
		for (const auto &one : rig.take_orders(WL_ORDER_RENEW)) {
			renewals++;
			rig.answer_hold(one, {}, {}, 4);
		}
		again = starts();
	}
	ASSERT_EQ(again.size(), 1u);
	EXPECT_EQ(renewals, 1u);
	EXPECT_LE(again[0].lease_ms, clock_now_ms() + START_LEASE_MS);
	rig.clock_offset_ms = OLD_CLOCK;
	rig.report_forwarded("s1", "i-1", 5); /* delayed */
	rig.clock_offset_ms = NEW_CLOCK;
	expect_deadlines_by_its_clock();
}

TEST_F(Incarnation, LateAnswerOfTheEarlierOneDoesNotReplaceTheNext)
{
	SchedOrder start = start_job("j");
	rig.answer(start, WL_ORDER_DONE);
	SchedOrder late = rig.next_renewal();
	restart();
	rig.answer_hold(late, {SchedRig::view(start)}, {}, 1);
	SchedOrder next = rig.next_renewal();
	rig.answer_hold(next, {}, {}, 2);
	rig.commit();
	EXPECT_EQ(starts().size(), 1u);
}

TEST_F(Incarnation, StartChosenBeforeIsNotOrderedWithoutTheClockOfTheNext)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);				  /* chosen, not committed */
	rig.clock_offset_ms = UINT64_C(0) - rig.now / MS; /* the report tells no clock */
	rig.runner("i-1", 32000, 2);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	restart();
	rig.commit();
	auto again = starts();
	ASSERT_EQ(again.size(), 1u);
	EXPECT_LE(again[0].lease_ms, clock_now_ms() + START_LEASE_MS);
}

TEST_F(Incarnation, StopAnsweredByTheOneThatGotTheStartEndsTheRunAtOnce)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10); /* chosen for the earlier one */
	restart();
	auto started = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(started.size(), 1u);
	rig.answer(started[0], WL_ORDER_NO_ANSWER);
	rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.advance(10);
	rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	rig.commit();
	EXPECT_EQ(starts().size(), 1u);
}
