#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* The number of a queue's jobs of which no task has begun. */

namespace
{
class Pending : public ::testing::Test
{
      protected:
	Pending()
	{
		rig.agents({"s1"});
		rig.configure("q");
		rig.runner("i-1");
	}

	void submit(const std::string &id)
	{
		rig.job("q", id, {1});
		rig.submit();
	}

	SchedOrder start()
	{
		for (int i = 0; i < 100; i++) {
			auto found = rig.take_orders(WL_ORDER_START);

			if (!found.empty())
				return found[0];
			rig.advance(100);
			rig.commit();
			rig.report_forwarded("s1", "i-1");
		}
		ADD_FAILURE() << "no start was sent";
		return {};
	}

	uint64_t pending()
	{
		return rig.query("/q/").pending;
	}

	SchedRig rig;
};
} // namespace

TEST_F(Pending, AJobHasBegunOnceItsStartIsAnswered)
{
	submit("a");
	EXPECT_EQ(pending(), 1u);
	SchedOrder first = start();
	EXPECT_EQ(pending(), 1u);
	rig.answer(first, WL_ORDER_DONE);
	EXPECT_EQ(pending(), 0u);
}

/* Guards against jobs that are missing in the count although their starts reached no target. */
TEST_F(Pending, AJobWhoseStartGotNoAnswerHasNotBegun)
{
	submit("a");
	SchedOrder first = start();
	rig.answer(first, WL_ORDER_NO_ANSWER);
	EXPECT_EQ(pending(), 1u);
	rig.advance(100);
	for (const auto &order : rig.take_orders(WL_ORDER_STOP))
		rig.answer(order, WL_ORDER_DONE);
	for (int i = 0; i < 30; i++) {
		rig.advance(100);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(order, {}, {});
		for (const auto &order : rig.take_orders(WL_ORDER_STOP))
			rig.answer(order, WL_ORDER_DONE);
		rig.commit();
		EXPECT_EQ(pending(), 1u);
	}
	SchedOrder again = start();
	EXPECT_GT(again.run, first.run);
	rig.answer(again, WL_ORDER_DONE);
	EXPECT_EQ(pending(), 0u);
}

TEST_F(Pending, AJobWhoseStartWasRefusedHasNotBegun)
{
	submit("a");
	rig.answer(start(), WL_ORDER_NO_CAPACITY);
	rig.commit();
	EXPECT_EQ(pending(), 1u);
}

/* The target lists the run although its answer to the start was lost. */
TEST_F(Pending, AJobHasBegunOnceATargetListsItsRun)
{
	submit("a");
	SchedOrder first = start();
	rig.answer(first, WL_ORDER_NO_ANSWER);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(first)}, {});
	EXPECT_EQ(pending(), 0u);
}

TEST_F(Pending, ALeaderAndASnapshotKnowTheJobsWithDoneTasks)
{
	rig.job("q", "a", {2});
	rig.submit();
	submit("b");
	SchedOrder first = start();
	rig.answer(first, WL_ORDER_DONE);
	rig.answer_hold(rig.next_renewal(), {}, {SchedRig::end(first, 1, WL_END_DONE)});
	rig.commit();
	rig.follow();
	rig.reload();
	rig.lead(2);
	EXPECT_EQ(pending(), 1u);
}
