#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* The work of a tick follows from what has happened or is due, not from the number of targets. */

namespace
{
constexpr size_t TARGETS = 10000;

class Visits : public testing::Test
{
      protected:
	Visits()
	{
		rig.configure("q");
		for (size_t i = 0; i < TARGETS; i++)
			rig.runner("i-" + std::to_string(i));
		rig.advance(100);
		before = rig.target_visits();
	}

	SchedRig rig;
	uint64_t before = 0;
};

TEST_F(Visits, TickWithNothingDueLooksAtNoTarget)
{
	rig.advance(1000);
	EXPECT_EQ(rig.target_visits() - before, 0u);
}

TEST_F(Visits, TickLooksAtTheTargetThatReported)
{
	rig.runner("i-17");
	rig.advance(1000);
	EXPECT_EQ(rig.target_visits() - before, 1u);
}

TEST_F(Visits, TickLooksAtTheTargetThatGetsATask)
{
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	rig.advance(10);
	EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
	EXPECT_EQ(rig.take_orders(WL_ORDER_RENEW).size(), 1u);
	rig.advance(1000);
	EXPECT_LE(rig.target_visits() - before, 3u);
}

TEST_F(Visits, TickLooksAtEachTargetThatFallsSilent)
{
	rig.advance(10000);
	EXPECT_GE(rig.target_visits() - before, TARGETS);
	EXPECT_LE(rig.target_visits() - before, 2 * TARGETS);
}
} // namespace
