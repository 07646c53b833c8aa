/* Tasks whose targets crash, and are back only after the leases of their runs. */

#include "../support/crash_targets.h"

namespace
{
class LateCrash : public CrashTargets
{
};

TEST_F(LateCrash, TaskIsGivenUpThoughItsTargetIsBackAfterAllLeases)
{
	target("a");
	job("j");
	for (int i = 0; i < 8; i++) {
		pass(100);
		crash("a");
		pass(LEASES_OVER_MS);
		target("a");
	}
	pass(START_OVER_MS);
	EXPECT_LE(started.size(), 6u); /* three more than the crashes that give it up */
	EXPECT_EQ(rig.job_state("j"), "failed");
}
} // namespace
