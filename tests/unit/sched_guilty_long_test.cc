#include "../support/crash_load.h"

/* Tasks that crash their targets: loads and seeds that are harder than those of sched_guilty_test.
 */

class GuiltyFound : public testing::TestWithParam<unsigned int>
{
};

/* Seeds of trials; a target restarts while the leader changes, and crashes before its next report.
 */
INSTANTIATE_TEST_SUITE_P(Seeds, GuiltyFound, testing::Values(27, 60));

TEST_P(GuiltyFound, TenthOfAClassIsFoundAndNoOtherJobFails)
{
	tenth_of_a_class_check(GetParam());
}

class GuiltyLong : public testing::TestWithParam<unsigned int>
{
};

INSTANTIATE_TEST_SUITE_P(Seeds, GuiltyLong, testing::Range(1u, 9u));

/* A lasting task meets many crashes, of one guilty task after the other. */
TEST_P(GuiltyLong, LastingTasksAreNotGivenUpInALongSeriesOfCrashes)
{
	CrashFleetOptions options;
	options.seed = GetParam();
	CrashFleet fleet(options);

	long_series_simulate(fleet);
	lasting_check(fleet);
	EXPECT_EQ(fleet.rig.job_state("last"), "running");
	EXPECT_EQ(fleet.rig.job_state("wide"), "running");
	printf("seed %u, long: guilty tasks %zu, crashes %zu, failed jobs %zu, completed %zu, "
	       "longest interruption of a lasting task %llu ms\n",
	       options.seed, fleet.guilty.size(), fleet.crashes, fleet.ended("failed"),
	       fleet.ended("completed"), (unsigned long long)fleet.interrupted_max_ms);
}
