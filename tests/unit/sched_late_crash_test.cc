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

TEST_F(LateCrash, TaskIsGivenUpThoughLaterTargetsAtTheAddressStartAfterAllLeases)
{
	job("j");
	for (int i = 0; i < 8; i++) {
		std::string id = "a" + std::to_string(i);

		targets[id].life = static_cast<uint64_t>(i); /* the next one is later */
		target(id);
		rig.address = "a:80";
		rig.runner(id, 32000, targets[id].life);
		pass(100);
		crash(id);
		pass(LEASES_OVER_MS);
	}
	EXPECT_LE(started.size(), 6u);
	EXPECT_EQ(rig.job_state("j"), "failed");
}

/* Its runs have ended as the leases had, and the target has not crashed. */
TEST_F(LateCrash, TargetThatWasSilentAndIsBackHasNotCrashed)
{
	target("a");
	job("j");
	for (int i = 0; i < 8; i++) {
		pass(100);
		lose({"a"});
		pass(LEASES_OVER_MS);
		targets["a"].down = false;
		pass(2000);
	}
	EXPECT_EQ(ends("lost"), 8u);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 0u);
	crash("a");
	target("a");
	pass(100);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	EXPECT_EQ(rig.job_state("j"), "running");
}

/* Its departure explains the end of its runs. */
TEST_F(LateCrash, TargetThatDrainedHasNotCrashed)
{
	target("a");
	job("j");
	pass(100);
	rig.runner("a", 32000, targets["a"].life, "r1", true);
	crash("a");
	pass(LEASES_OVER_MS);
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(ends("lost"), 1u);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 0u);
}
} // namespace
