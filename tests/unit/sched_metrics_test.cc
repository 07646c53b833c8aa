#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* What the scheduler shows of orders, waiting tasks and leases. */

namespace
{
const char *const WAITING_SHORT = "wisterialead_job_tasks_waiting{lasting=\"no\"}";
const char *const WAITING_LASTING = "wisterialead_job_tasks_waiting{lasting=\"yes\"}";
const char *const OLDEST_SHORT = "wisterialead_job_oldest_wait_ms{lasting=\"no\"}";
const char *const OLDEST_LASTING = "wisterialead_job_oldest_wait_ms{lasting=\"yes\"}";
const char *const LEASE_LEAST = "wisterialead_job_lease_least_ms{}";
const char *const LEASES_OVER = "wisterialead_job_leases_over{}";

std::string order_metric(const std::string &suffix, const std::string &kind,
			 const std::string &outcome)
{
	return "wisterialead_order_seconds_" + suffix + "{kind=\"" + kind + "\",outcome=\"" +
	       outcome + "\"}";
}

class SchedMetrics : public testing::Test
{
      protected:
	SchedMetrics()
	{
		rig.configure("q");
		rig.runner("i-1", 2000);
	}

	/* Hands in a job of tasks that need a processor each; what is ordered for it at once. */
	std::vector<SchedOrder> job(const std::string &id, uint64_t count, bool lasting = false)
	{
		rig.job("q", id, {count})->long_running = lasting;
		rig.hand_in();
		rig.pass(10);
		rig.commit();
		return rig.take(WL_ORDER_START);
	}

	double number(const std::string &line)
	{
		std::string value = rig.metric(line);

		EXPECT_NE(value, "") << line;
		return value.empty() ? -1 : std::stod(value);
	}

	SchedRig rig;
};

TEST_F(SchedMetrics, OrdersAreTimedByKindAndOutcome)
{
	auto starts = job("j", 2);

	ASSERT_EQ(starts.size(), 2u);
	rig.pass(40);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.pass(60);
	rig.answer(starts[1], WL_ORDER_LEASE_EXPIRED);
	EXPECT_EQ(rig.metric(order_metric("count", "start", "done")), "1");
	EXPECT_DOUBLE_EQ(number(order_metric("sum", "start", "done")), 0.04);
	EXPECT_EQ(rig.metric(order_metric("count", "start", "late")), "1");
	EXPECT_DOUBLE_EQ(number(order_metric("sum", "start", "late")), 0.1);

	auto holds = rig.take(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	rig.answer(holds[0], WL_ORDER_NO_ANSWER);
	EXPECT_EQ(rig.metric(order_metric("count", "hold", "no-answer")), "1");
	EXPECT_EQ(rig.metric(order_metric("count", "hold", "done")), "");
}

TEST_F(SchedMetrics, AnswerToAnOrderOfNoneIsNotTimed)
{
	auto starts = job("j", 1);

	ASSERT_EQ(starts.size(), 1u);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.answer(starts[0], WL_ORDER_DONE);
	EXPECT_EQ(rig.metric(order_metric("count", "start", "done")), "1");
}

TEST_F(SchedMetrics, WaitingTasksAreShownByWhetherTheyLast)
{
	ASSERT_EQ(job("full", 2).size(), 2u);
	job("lasting", 1, true);
	rig.pass(3000);
	job("short", 2);
	rig.pass(1500);
	EXPECT_EQ(rig.metric(WAITING_SHORT), "2");
	EXPECT_EQ(rig.metric(WAITING_LASTING), "1");
	EXPECT_GT(number(OLDEST_LASTING), 3400);
	EXPECT_LT(number(OLDEST_LASTING), 4600);
	EXPECT_GT(number(OLDEST_SHORT), 400);
	EXPECT_LT(number(OLDEST_SHORT), 1600);
}

/* A task that waits for the second time is as old as this wait. */
TEST_F(SchedMetrics, WaitBeginsWithTheEndOfTheRun)
{
	auto starts = job("j", 1, true);

	ASSERT_EQ(starts.size(), 1u);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.pass(1500);
	rig.runner("i-1", 2000, 1, "r1", true); /* drains: the task finds no other target */
	auto holds = rig.take(WL_ORDER_RENEW);
	ASSERT_FALSE(holds.empty());
	rig.answer_hold(holds.back(), {}, {SchedRig::end(starts[0], 1, WL_END_FAILED)});
	rig.commit();
	rig.pass(2000);
	EXPECT_EQ(rig.metric(WAITING_LASTING), "1");
	EXPECT_GE(number(OLDEST_LASTING), 900);
	EXPECT_LE(number(OLDEST_LASTING), 2000);
}

TEST_F(SchedMetrics, WaitUntilTheStartIsTimedByWhetherTheTaskLasts)
{
	ASSERT_EQ(job("short", 1).size(), 1u);
	ASSERT_EQ(job("lasting", 1, true).size(), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_wait_seconds_count{lasting=\"no\"}"), "1");
	EXPECT_EQ(rig.metric("wisterialead_job_wait_seconds_count{lasting=\"yes\"}"), "1");

	job("late", 1);
	rig.pass(2000);
	rig.runner("i-2", 1000);
	rig.pass(10);
	rig.commit();
	ASSERT_EQ(rig.take(WL_ORDER_START).size(), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_wait_seconds_count{lasting=\"no\"}"), "2");
	EXPECT_NEAR(number("wisterialead_job_wait_seconds_sum{lasting=\"no\"}"), 2.0, 0.1);
}

TEST_F(SchedMetrics, LeastLeaseFollowsWhatTargetsAnswered)
{
	rig.pass(1100);
	EXPECT_EQ(rig.metric(LEASE_LEAST), "6000"); /* nothing runs */
	auto starts = job("j", 1);
	ASSERT_EQ(starts.size(), 1u);
	rig.pass(1100); /* the order has no answer: it says nothing */
	EXPECT_EQ(rig.metric(LEASE_LEAST), "6000");
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.pass(500);
	auto holds = rig.take(WL_ORDER_RENEW);
	ASSERT_FALSE(holds.empty());
	rig.answer_hold(holds.back(), {SchedRig::view(starts[0])}, {});
	rig.pass(1000);
	EXPECT_GT(number(LEASE_LEAST), 4000);
	EXPECT_LT(number(LEASE_LEAST), 6000);
	EXPECT_EQ(rig.metric(LEASES_OVER), "0");
}

TEST_F(SchedMetrics, LeasesThatAreOverAreCounted)
{
	auto starts = job("j", 1);

	ASSERT_EQ(starts.size(), 1u);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.pass(4000); /* the lease of a start lasts 2 s, and no hold is answered */
	EXPECT_EQ(rig.metric(LEASE_LEAST), "0");
	EXPECT_EQ(rig.metric(LEASES_OVER), "1");
}

TEST_F(SchedMetrics, FollowerShowsNothingOfWhatItLed)
{
	ASSERT_EQ(job("full", 2).size(), 2u);
	job("more", 3);
	rig.pass(2000);
	EXPECT_EQ(rig.metric(WAITING_SHORT), "3");
	rig.follow();
	for (const char *line : {WAITING_SHORT, WAITING_LASTING, OLDEST_SHORT, LEASES_OVER,
				 "wisterialead_job_runs{}", "wisterialead_job_targets{}"})
		EXPECT_EQ(rig.metric(line), "0") << line;
}
} // namespace
