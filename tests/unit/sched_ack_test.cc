#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Acknowledgements of ends, which an incarnation of a target numbers anew. */

class Ack : public testing::Test
{
      protected:
	Ack()
	{
		rig.configure("q");
		rig.runner("i-1");
		rig.job("q", "long", {2});
		rig.submit();
		rig.advance(10);
		rig.commit();
		started = rig.take_orders(WL_ORDER_START);
		EXPECT_EQ(started.size(), 2u);
		for (const auto &one : started)
			rig.answer(one, WL_ORDER_DONE);
		rig.answer_hold(rig.next_renewal(), {SchedRig::view(started[1])},
				{SchedRig::end(started[0], 1, WL_END_DONE)});
		rig.commit();
		acknowledges = rig.next_renewal();
		EXPECT_EQ(acknowledges.seen, 1u);
	}

	SchedRig rig;
	std::vector<SchedOrder> started;
	SchedOrder acknowledges = {};
};

/* The target may have started again, unknown to the leader. */
TEST_F(Ack, HoldAfterAFailedOneAcknowledgesNoEndOfTheNextIncarnation)
{
	rig.answer(acknowledges, WL_ORDER_NO_ANSWER);
	EXPECT_EQ(rig.next_renewal().seen, 0u);
}

TEST_F(Ack, EndsAreAcknowledgedOnceTheTargetAnswersAgain)
{
	rig.answer(acknowledges, WL_ORDER_NO_ANSWER);
	rig.answer_hold(rig.next_renewal(), {},
			{SchedRig::end(started[0], 1, WL_END_DONE),
			 SchedRig::end(started[1], 2, WL_END_DONE)});
	EXPECT_EQ(rig.next_renewal().seen, 1u) << "the second end is not committed yet";
	rig.commit();
	rig.advance(10);
	EXPECT_EQ(rig.job_state("long"), "completed");
}

TEST_F(Ack, NoEndOfTheEarlierIncarnationIsAcknowledgedToTheNext)
{
	rig.answer(acknowledges, WL_ORDER_NO_ANSWER);
	rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	rig.runner("i-1", 32000, 2);
	for (int i = 0; i < 10; i++) {
		rig.advance(10);
		rig.commit();
	}
	ASSERT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
	EXPECT_EQ(rig.next_renewal().seen, 0u);
}
