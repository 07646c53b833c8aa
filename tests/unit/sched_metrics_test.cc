#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Metrics of orders, pending tasks and leases. */

namespace
{
const char *const WAITING_SHORT = "wisterialead_job_tasks_waiting{lasting=\"no\"}";
const char *const WAITING_LASTING = "wisterialead_job_tasks_waiting{lasting=\"yes\"}";
const char *const OLDEST_SHORT = "wisterialead_job_oldest_wait_ms{lasting=\"no\"}";
const char *const OLDEST_LASTING = "wisterialead_job_oldest_wait_ms{lasting=\"yes\"}";
const char *const LEASE_MIN = "wisterialead_job_lease_least_ms{}";
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

	/*
	 * Submits a job of tasks that need one CPU each. Returns the orders that follow at
	 * once.
	 */
	std::vector<SchedOrder> job(const std::string &id, uint64_t count, bool lasting = false)
	{
		rig.job("q", id, {count})->lasting = lasting;
		rig.submit();
		rig.advance(10);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
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
	/* of the first renewals of the targets */
	std::string holds_done = rig.metric(order_metric("count", "hold", "done"));

	ASSERT_EQ(starts.size(), 2u);
	rig.advance(40);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.advance(60);
	rig.answer(starts[1], WL_ORDER_LEASE_EXPIRED);
	EXPECT_EQ(rig.metric(order_metric("count", "start", "done")), "1");
	EXPECT_DOUBLE_EQ(number(order_metric("sum", "start", "done")), 0.04);
	EXPECT_EQ(rig.metric(order_metric("count", "start", "late")), "1");
	EXPECT_DOUBLE_EQ(number(order_metric("sum", "start", "late")), 0.1);

	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	rig.answer(holds[0], WL_ORDER_NO_ANSWER);
	EXPECT_EQ(rig.metric(order_metric("count", "hold", "no-answer")), "1");
	EXPECT_EQ(rig.metric(order_metric("count", "hold", "done")), holds_done);
}

TEST_F(SchedMetrics, SecondAnswerToAnOrderIsNotTimed)
{
	auto starts = job("j", 1);

	ASSERT_EQ(starts.size(), 1u);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.answer(starts[0], WL_ORDER_DONE);
	EXPECT_EQ(rig.metric(order_metric("count", "start", "done")), "1");
}

TEST_F(SchedMetrics, PendingTasksAreCountedByLasting)
{
	ASSERT_EQ(job("full", 2).size(), 2u);
	job("lasting", 1, true);
	rig.advance(3000);
	job("short", 2);
	rig.advance(1500);
	EXPECT_EQ(rig.metric(WAITING_SHORT), "2");
	EXPECT_EQ(rig.metric(WAITING_LASTING), "1");
	EXPECT_GT(number(OLDEST_LASTING), 3400);
	EXPECT_LT(number(OLDEST_LASTING), 4600);
	EXPECT_GT(number(OLDEST_SHORT), 400);
	EXPECT_LT(number(OLDEST_SHORT), 1600);
}

/* The wait of a task that is pending for the second time starts anew. */
TEST_F(SchedMetrics, WaitStartsAtTheEndOfTheRun)
{
	auto starts = job("j", 1, true);

	ASSERT_EQ(starts.size(), 1u);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.advance(1500);
	rig.runner("i-1", 2000, 1, "r1", true); /* draining; there is no other target */
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_FALSE(holds.empty());
	rig.answer_hold(holds.back(), {}, {SchedRig::end(starts[0], 1, WL_END_FAILED)});
	rig.commit();
	rig.advance(2000);
	EXPECT_EQ(rig.metric(WAITING_LASTING), "1");
	EXPECT_GE(number(OLDEST_LASTING), 900);
	EXPECT_LE(number(OLDEST_LASTING), 2000);
}

TEST_F(SchedMetrics, WaitUntilTheStartIsTimedByLasting)
{
	ASSERT_EQ(job("short", 1).size(), 1u);
	ASSERT_EQ(job("lasting", 1, true).size(), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_wait_seconds_count{lasting=\"no\"}"), "1");
	EXPECT_EQ(rig.metric("wisterialead_job_wait_seconds_count{lasting=\"yes\"}"), "1");

	job("late", 1);
	rig.advance(2000);
	rig.runner("i-2", 1000);
	rig.advance(10);
	rig.commit();
	ASSERT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_wait_seconds_count{lasting=\"no\"}"), "2");
	EXPECT_NEAR(number("wisterialead_job_wait_seconds_sum{lasting=\"no\"}"), 2.0, 0.1);
}

TEST_F(SchedMetrics, ShortestLeaseCountsAnsweredOrdersOnly)
{
	rig.advance(1100);
	EXPECT_EQ(rig.metric(LEASE_MIN), "6000"); /* no run needs a lease */
	auto starts = job("j", 1);
	ASSERT_EQ(starts.size(), 1u);
	rig.advance(1100); /* an unanswered order does not count */
	EXPECT_EQ(rig.metric(LEASE_MIN), "6000");
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.advance(500);
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_FALSE(holds.empty());
	rig.answer_hold(holds.back(), {SchedRig::view(starts[0])}, {});
	rig.advance(1000);
	EXPECT_GT(number(LEASE_MIN), 4000);
	EXPECT_LT(number(LEASE_MIN), 6000);
	EXPECT_EQ(rig.metric(LEASES_OVER), "0");
}

TEST_F(SchedMetrics, ExpiredLeasesAreCounted)
{
	auto starts = job("j", 1);

	ASSERT_EQ(starts.size(), 1u);
	rig.answer(starts[0], WL_ORDER_DONE);
	rig.advance(4000); /* the lease of a start lasts 2 s, and no hold is answered */
	EXPECT_EQ(rig.metric(LEASE_MIN), "0");
	EXPECT_EQ(rig.metric(LEASES_OVER), "1");
}

TEST_F(SchedMetrics, FollowerResetsItsGauges)
{
	ASSERT_EQ(job("full", 2).size(), 2u);
	job("more", 3);
	rig.advance(2000);
	EXPECT_EQ(rig.metric(WAITING_SHORT), "3");
	rig.follow();
	for (const char *line : {WAITING_SHORT, WAITING_LASTING, OLDEST_SHORT, LEASES_OVER,
				 "wisterialead_job_runs{}", "wisterialead_job_targets{}"})
		EXPECT_EQ(rig.metric(line), "0") << line;
}
} // namespace
