#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Another target answers where the scheduler's orders for a target are sent. */

class Address : public testing::Test
{
      protected:
	static constexpr uint64_t MS = 1000000;
	static constexpr uint64_t LEASE_MS = 6000;
	/* of a slow clock, with the margin of the leader and the interval of the ticks */
	static constexpr uint64_t LEASE_OVER_MS = LEASE_MS * 100 / 98 + 300 + 50;
	static constexpr uint64_t LIFE = 5;

	Address()
	{
		rig.agents({"s2", "s3"});
		rig.configure("q");
		rig.runner("i-1", 32000, LIFE);
		rig.job("q", "j", {1});
		rig.submit();
		auto started = starts();
		EXPECT_EQ(started.size(), 1u);
		if (started.empty())
			return;
		start = started[0];
		rig.answer(start, WL_ORDER_DONE);
		answered = rig.next_renewal();
		rig.answer_hold(answered, {SchedRig::view(start)}, {}, LIFE);
		rig.address = "10.0.0.2:80";
		rig.runner("i-2");
		rig.address = "10.0.0.1:80";
	}

	std::vector<SchedOrder> starts()
	{
		rig.advance(10);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
	}

	/* The next hold is sent through the other agent, which has not reached the target yet. */
	SchedOrder hold_of_other_agent()
	{
		rig.answer(rig.next_renewal(), WL_ORDER_NO_ANSWER);
		SchedOrder next = rig.next_renewal();
		EXPECT_NE(next.agent, answered.agent);
		return next;
	}

	/* Another target answers all holds. Return: after how many ms; 0: none was. */
	uint64_t started_after_ms(uint64_t limit_ms)
	{
		uint64_t since = rig.now;

		while (rig.now - since < limit_ms * MS) {
			rig.report_forwarded("s1", "i-2");
			for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
				rig.answer(one, one.agent == answered.agent
							? WL_ORDER_NO_ANSWER
							: WL_ORDER_OTHER_INCARNATION);
			if (!starts().empty())
				return (rig.now - since) / MS;
		}
		return 0;
	}

	SchedRig rig;
	SchedOrder start = {};
	SchedOrder answered = {};
};

TEST_F(Address, AnswerToAnAgentThatNeverReachedTheTargetEndsNoRun)
{
	rig.answer(hold_of_other_agent(), WL_ORDER_OTHER_INCARNATION);
	SchedOrder next = rig.next_renewal();
	EXPECT_EQ(next.agent, "s1") << "both agents that failed are avoided";
	EXPECT_EQ(next.lease_ms, 0u);
	EXPECT_TRUE(starts().empty()) << "two runs of one task may overlap";
	rig.answer_hold(next, {SchedRig::view(start)}, {}, LIFE);
	EXPECT_GT(rig.next_renewal().lease_ms, 0u);
}

TEST_F(Address, RunsBehindSuchAnswersEndWithTheirLeases)
{
	rig.answer(hold_of_other_agent(), WL_ORDER_OTHER_INCARNATION);
	uint64_t after_ms = started_after_ms(2 * LEASE_MS);
	EXPECT_GT(after_ms, LEASE_MS - 1000);
	EXPECT_LE(after_ms, LEASE_OVER_MS);
}

TEST_F(Address, LaterTargetThatReportsTheAddressProvesTheEnd)
{
	SchedOrder elsewhere = hold_of_other_agent();

	rig.runner("i-9", 32000, LIFE + 1);
	rig.answer(elsewhere, WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	EXPECT_EQ(starts().size(), 1u);
}

TEST_F(Address, EarlierTargetThatReportsTheAddressProvesNothing)
{
	SchedOrder elsewhere = hold_of_other_agent();

	rig.runner("i-9", 32000, LIFE - 1);
	rig.answer(elsewhere, WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	EXPECT_TRUE(starts().empty());
}

TEST_F(Address, AnswerFromTheFormerAddressEndsNoRun)
{
	SchedOrder former = rig.next_renewal();

	rig.address = "10.0.0.3:80";
	rig.runner("i-1", 32000, LIFE);
	rig.answer(former, WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	EXPECT_TRUE(starts().empty());
}

TEST_F(Address, NewLeaderTakesALaterTargetAtTheAddressAsProof)
{
	rig.follow();
	rig.orders.clear();
	rig.runner("i-9", 32000, LIFE + 1);
	rig.lead(2);
	rig.runner("i-9", 32000, LIFE + 1);
	rig.answer(rig.next_renewal(), WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	EXPECT_EQ(starts().size(), 1u);
}
