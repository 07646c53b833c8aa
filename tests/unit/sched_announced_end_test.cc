/* A target that announced its end has not crashed, whoever learns of its next incarnation. */

#include "../support/crash_targets.h"

namespace
{
class AnnouncedEnd : public CrashTargets
{
      protected:
	AnnouncedEnd()
	{
		target("a");
		job("j");
		pass(100);
	}

	void drain()
	{
		rig.runner("a", 32000, targets["a"].life, "r1", true);
	}

	/* The next incarnation has reported itself, and has answered no renewal. */
	void back_under_the_next_leader(uint64_t term)
	{
		crash("a");
		target("a");
		rig.follow();
		rig.orders.clear();
		rig.reload();
		rig.lead(term);
		pass(100);
	}

	uint64_t counted() const
	{
		return rig.find("j")->tasks[0].crashes.count;
	}
};

TEST_F(AnnouncedEnd, NextLeaderCountsNoCrash)
{
	for (uint64_t term = 2; term < 8; term++) {
		drain();
		back_under_the_next_leader(term);
		pass(START_OVER_MS); /* the start may be of the next incarnation until then */
		EXPECT_EQ(counted(), 0u) << term;
	}
	EXPECT_EQ(rig.job_state("j"), "running");
}

/* The crash of the one between says nothing of the run. */
TEST_F(AnnouncedEnd, CrashOfTheNextIncarnationIsNoneOfTheRunBefore)
{
	drain();
	crash("a");
	quiet.insert("a");
	target("a");
	pass(100);
	quiet.clear();
	crash("a");
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(ends("crashed"), 0u);
	EXPECT_EQ(counted(), 0u);
}
} // namespace
