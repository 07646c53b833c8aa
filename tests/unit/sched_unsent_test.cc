#include "../support/crash_targets.h"

/*
 * Starts that only the next leader committed: the one that proposed them ordered none, so that a
 * crash of the target does not count towards giving their task up.
 */

namespace
{
class Unsent : public CrashTargets
{
      protected:
	/* The start of a job is proposed on a target that has crashed, and the leader changes. */
	void start_by_the_next_leader()
	{
		target("a");
		pass(100);
		targets["a"].down = true;
		job("j");
		rig.advance(10);
		follow(1);
		ASSERT_NE(wl_job_run(rig.find("j"), 0, 1), nullptr) << "not committed";
	}

	void follow(size_t committed = 0)
	{
		rig.follow(committed);
		rig.orders.clear();
	}

	/* The target is back and its crash is found. */
	void back()
	{
		target("a");
		pass(START_OVER_MS);
	}

	void crash_and_back()
	{
		ASSERT_EQ(targets["a"].runs.size(), 1u) << "the task does not run";
		crash("a");
		target("a");
		pass(100);
	}

	const wl_task_crashes_t &counted() const
	{
		return rig.find("j")->tasks[0].crashes;
	}

	/* The task runs once more for each crash that is left until it is given up. */
	void give_up_check(size_t crashes_left)
	{
		for (; crashes_left > 0; crashes_left--) {
			EXPECT_EQ(rig.job_state("j"), "running") << crashes_left << " left";
			ASSERT_NO_FATAL_FAILURE(crash_and_back());
		}
		EXPECT_EQ(rig.job_state("j"), "failed");
	}
};
} // namespace

TEST_F(Unsent, CrashIsSuspectedAndNotProved)
{
	ASSERT_NO_FATAL_FAILURE(start_by_the_next_leader());
	rig.lead(2);
	back();
	EXPECT_EQ(ends("crashed"), 1u);
	EXPECT_EQ(counted().count, 1u);
	EXPECT_EQ(counted().proved, 0u);
	give_up_check(3);
}

TEST_F(Unsent, LeaderAfterTheNextKnowsIt)
{
	ASSERT_NO_FATAL_FAILURE(start_by_the_next_leader());
	rig.lead(2);
	pass(100);
	follow();
	rig.lead(3);
	pass(100);
	follow();
	rig.reload();
	rig.lead(4);
	back();
	EXPECT_EQ(counted().count, 1u);
	EXPECT_EQ(counted().proved, 0u);
	give_up_check(3);
}

/* Its target is silent until all leases are over, and the run was to be alone there. */
TEST_F(Unsent, CrashThatIsProvedLateGivesNoTaskUp)
{
	target("a");
	job("j");
	for (int i = 0; i < 2; i++) {
		pass(100);
		crash("a");
		if (i == 0)
			target("a");
	}
	targets["a"].life++;
	targets["a"].down = false;
	rig.runner("a", 32000, targets["a"].life, "r1", true);
	pass(3000);
	ASSERT_EQ(counted().count, 2u);
	rig.runner("a", 32000, targets["a"].life);
	targets["a"].down = true;
	rig.advance(10);
	follow(1);
	ASSERT_NE(wl_job_run(rig.find("j"), 0, 3), nullptr) << "not committed";
	rig.lead(2);
	pass(2 * LEASES_OVER_MS);
	EXPECT_EQ(ends("lost"), 1u);
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(counted().count, 3u);
	EXPECT_EQ(rig.job_state("j"), "running");
}

TEST_F(Unsent, StartThatItsOwnLeaderCommittedIsProved)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	follow();
	rig.lead(2);
	back();
	EXPECT_EQ(counted().proved, 1u);
	give_up_check(2);
}

/* The earlier leader had ordered it, after all. */
TEST_F(Unsent, RunThatTheTargetListsIsProvedForLaterLeadersToo)
{
	SchedOrder order = {};

	ASSERT_NO_FATAL_FAILURE(start_by_the_next_leader());
	order.task = "j.0.0.0";
	order.run = 1;
	targets["a"].down = false;
	targets["a"].runs.push_back(order);
	rig.lead(2);
	pass(100);
	EXPECT_EQ(started.size(), 0u);
	crash("a");
	follow();
	rig.lead(3);
	back();
	EXPECT_EQ(counted().proved, 1u);
	give_up_check(2);
}
