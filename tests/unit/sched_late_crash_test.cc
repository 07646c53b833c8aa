/* Tasks whose targets crash, and are back only after the leases of their runs. */

#include "../support/crash_targets.h"

namespace
{
class LateCrash : public CrashTargets
{
      protected:
	static constexpr uint64_t REMOVED_MS = 22000; /* after which a silent target is removed */

	void follow(size_t committed = 0)
	{
		rig.follow(committed);
		rig.orders.clear();
		rig.reload();
	}

	const wl_task_crashes_t &counted(const std::string &job = "j") const
	{
		return rig.find(job)->tasks[0].crashes;
	}

	size_t lapses() const
	{
		return wl_map_count(&rig.jobs->by_lapsed);
	}
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

TEST_F(LateCrash, NextLeaderCountsIt)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	pass(LEASES_OVER_MS);
	ASSERT_EQ(ends("lost"), 1u);
	follow();
	rig.lead(2);
	pass(1000);
	EXPECT_EQ(counted().count, 0u);
	target("a");
	pass(100);
	EXPECT_EQ(counted().count, 1u);
	EXPECT_EQ(lapses(), 0u);
}

TEST_F(LateCrash, NextLeaderCountsItAtAnotherIdOfTheAddress)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	pass(LEASES_OVER_MS);
	follow();
	rig.lead(2);
	pass(1000);
	rig.address = "a:80";
	rig.runner("b", 32000, 2);
	pass(100);
	EXPECT_EQ(counted().count, 1u);
}

/* The target is back as the leader changes. */
TEST_F(LateCrash, LeaderCountsItThatFindsTheTargetBack)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	pass(LEASES_OVER_MS);
	rig.hold_commits = true;
	target("a");
	rig.hold_commits = false;
	follow(1);
	ASSERT_EQ(counted().count, 0u);
	rig.lead(2);
	pass(100);
	EXPECT_EQ(counted().count, 1u);
}

/* Its runs have not ended by then; unit.sched_announced_end_test has the same after a drain. */
TEST_F(LateCrash, LeaderCountsItThatFindsALaterIncarnation)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	target("a");
	follow();
	rig.lead(2);
	pass(START_OVER_MS);
	EXPECT_EQ(counted().count, 1u);
}

TEST_F(LateCrash, TaskIsGivenUpThoughTheLeaderChangesWhileItsTargetIsSilent)
{
	target("a");
	job("j");
	for (uint64_t i = 0; i < 8 && rig.job_state("j") != "failed"; i++) {
		pass(100);
		crash("a");
		pass(2 * LEASES_OVER_MS);
		EXPECT_EQ(ends("lost"), i + 1);
		follow();
		rig.lead(i + 2);
		pass(1000);
		target("a");
	}
	pass(START_OVER_MS);
	EXPECT_LE(started.size(), 6u);
	EXPECT_EQ(rig.job_state("j"), "failed");
}

TEST_F(LateCrash, RemovedTargetThatIsBackHasCrashed)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	pass(REMOVED_MS);
	ASSERT_EQ(lines("event=target-left "), 1u);
	target("a");
	pass(100);
	EXPECT_EQ(counted().count, 1u);
}

TEST_F(LateCrash, CrashIsForgottenAfterItsRetention)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	pass(LEASES_OVER_MS);
	EXPECT_EQ(lapses(), 1u);
	pass(62000);
	target("b");
	EXPECT_EQ(lapses(), 0u);
	target("a");
	pass(100);
	EXPECT_EQ(counted().count, 0u);
}

TEST_F(LateCrash, NextLeaderKnowsThatASilentTargetWasBack)
{
	target("a");
	job("j");
	pass(100);
	lose({"a"});
	pass(LEASES_OVER_MS);
	EXPECT_EQ(lapses(), 1u);
	targets["a"].down = false;
	pass(100);
	EXPECT_EQ(lapses(), 0u);
	follow();
	rig.lead(2);
	pass(100);
	crash("a");
	target("a");
	pass(100);
	EXPECT_EQ(counted().count, 1u) << "of the second run";
}

TEST_F(LateCrash, RemovedTargetThatReportsHasNotCrashed)
{
	target("a");
	job("j");
	pass(100);
	lose({"a"});
	pass(REMOVED_MS);
	EXPECT_EQ(lapses(), 1u);
	rig.runner("a", 32000, targets["a"].life);
	pass(100);
	EXPECT_EQ(lapses(), 0u);
	target("a");
	pass(100);
	EXPECT_EQ(counted().count, 0u);
}

/* It was cut off, and leaves. */
TEST_F(LateCrash, RemovedTargetThatLeavesHasNotCrashed)
{
	target("a");
	job("j");
	pass(100);
	lose({"a"});
	pass(REMOVED_MS);
	rig.runner_left("a", targets["a"].life);
	pass(100);
	target("a");
	pass(100);
	EXPECT_EQ(counted().count, 0u);
}

/* The rack loses power; the targets of it are back one after the other, and the leader changes. */
TEST_F(LateCrash, OutageMakesNobodyGuiltyUnderLaterLeaders)
{
	two_racks();
	for (const char *id : {"a1", "a2", "a3", "a4"})
		targets[id].down = true;
	pass(LEASES_OVER_MS);
	start_again({"a1"}, 0);
	follow();
	rig.lead(2);
	pass(100);
	start_again({"a2", "a3"}, 0);
	pass(REMOVED_MS);
	start_again({"a4"}, 0);
	pass(1000);
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(counted("own" + std::to_string(i)).count, 0u) << i;
	EXPECT_EQ(ends("crashed"), 0u);
}

/*
 * The third target was cut off, and starts again once a later run has worked for longer than its
 * trial: that shows that the task is sound, whatever ended the target.
 */
TEST_F(LateCrash, TaskThatWasSoundSinceIsNotGivenUp)
{
	target("a");
	job("j");
	for (int i = 0; i < 2; i++) {
		pass(2000);
		crash("a");
		target("a");
	}
	pass(2000);
	ASSERT_EQ(counted().count, 2u);
	ASSERT_EQ(started.size(), 3u);
	lose({"a"});
	pass(2 * LEASES_OVER_MS);
	ASSERT_EQ(lapses(), 1u);
	target("b");
	pass(30000);
	ASSERT_EQ(started.size(), 4u);
	ASSERT_EQ(counted().count, 0u) << "the run on b has worked for long enough";
	target("a");
	pass(100);
	EXPECT_EQ(rig.job_state("j"), "running");
}
} // namespace
