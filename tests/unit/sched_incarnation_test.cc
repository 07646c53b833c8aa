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

	SchedOrder hold()
	{
		for (int i = 0; i < 300; i++) {
			auto holds = rig.take_orders(WL_ORDER_RENEW);

			if (!holds.empty())
				return holds[0];
			rig.advance(10);
		}
		ADD_FAILURE() << "no hold order was sent";
		return {};
	}

	/* The target is back under its id; its report has arrived. */
	void restart(uint64_t life = 2)
	{
		rig.clock_offset_ms = NEW_CLOCK;
		rig.runner("i-1", 32000, life);
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
	rig.answer(hold(), WL_ORDER_NO_ANSWER);
	restart();
	EXPECT_GT(hold().lease_ms, 0u);
}
