#include "../support/crash_load.h"

#include <algorithm>

/* Tasks that crash the targets that start them, among others. */

class Guilty : public testing::TestWithParam<unsigned int>
{
};

INSTANTIATE_TEST_SUITE_P(Seeds, Guilty, testing::Range(1u, 9u));

TEST_P(Guilty, TenthOfAClassIsFoundAndNoOtherJobFails)
{
	tenth_of_a_class_check(GetParam());
}

class GuiltyFor18s : public testing::TestWithParam<unsigned int>
{
};

/*
 * Seeds of trials, in which an innocent task had two crashes when the leader changed, and (67) a
 * crash was found 13 s later.
 */
INSTANTIATE_TEST_SUITE_P(Seeds, GuiltyFor18s,
			 testing::Values(49, 54, 56, 59, 62, 65, 67, 72, 77, 80));

TEST_P(GuiltyFor18s, OrLongerNoOtherJobFailsWhenTheLeaderChanges)
{
	CrashFleetOptions options;
	options.seed = GetParam();
	CrashFleet fleet(options);

	tenth_of_a_class_simulate(fleet, 4000 + 300 * options.seed);
	EXPECT_EQ(fleet.rig.job_state("last"), "running");
	EXPECT_EQ(fleet.rig.job_state("wide"), "running");
}

/* No target has a run for long, so that most have none when a crash is found. */
TEST_P(Guilty, TenthOfAClassIsFoundAmongShortWorkAlone)
{
	CrashFleetOptions options;
	options.seed = GetParam();
	CrashFleet fleet(options);
	Mix mix(fleet);

	fleet.simulate(2000);
	mix.simulate(10000, true);
	mix.simulate(5000, false);
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS));
	EXPECT_GE(fleet.guilty.size(), 20u);
	guilty_check(fleet);
	innocent_check(fleet);
	printf("seed %u, short work: guilty tasks %zu, crashes %zu, failed jobs %zu, completed "
	       "%zu\n",
	       options.seed, fleet.guilty.size(), fleet.crashes, fleet.ended("failed"),
	       fleet.ended("completed"));
}

static void guilty_job_check(size_t targets, size_t racks, uint64_t tasks, unsigned int seed)
{
	CrashFleetOptions options;
	options.seed = seed;
	options.targets = targets;
	options.racks = racks;
	CrashFleet fleet(options);
	std::vector<std::string> names;

	for (uint64_t i = 0; i < tasks; i++)
		names.push_back(task("many", i));
	fleet.simulate(2000);
	for (int i = 0; i < 10; i++) {
		fleet.job("plain" + std::to_string(i), {4}, 2000);
		fleet.submit();
	}
	fleet.simulate(200);
	fleet.job("many", {tasks}, 400);
	fleet.submit(names);
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS));
	EXPECT_EQ(fleet.jobs["many"].state, "failed");
	/* Each target once by the first starts, once more, and the few until one has three. */
	EXPECT_LE(fleet.crashes, 2 * targets + 8) << tasks << " tasks on " << targets;
	guilty_tasks_check(fleet);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(fleet.jobs["plain" + std::to_string(i)].state, "completed") << i;
	printf("%llu guilty tasks in a job on %zu targets, seed %u: crashes %zu, %s\n",
	       (unsigned long long)tasks, targets, seed, fleet.crashes,
	       fleet.jobs["many"].state.c_str());
}

TEST(GuiltyJob, ThousandGuiltyTasksDoNotCrashTargetsOneByOne)
{
	for (unsigned int seed : {1, 2})
		guilty_job_check(48, 6, 1000, seed);
}

TEST(GuiltyJob, IsFoundWhereItsTasksFillASmallRack)
{
	for (unsigned int seed : {1, 2})
		for (size_t targets : {3, 4, 8})
			guilty_job_check(targets, 1, 40, seed);
}

TEST(GuiltyJob, GuiltyMemberOfAGangIsFoundAndNoOtherGangFails)
{
	for (unsigned int seed : {1, 2, 3}) {
		CrashFleetOptions options;
		options.seed = seed;
		options.targets = 8;
		options.racks = 2;
		CrashFleet fleet(options);

		fleet.simulate(2000);
		fleet.job("gang", {4}, 1000)->gang = true;
		fleet.submit({task("gang", 2)});
		for (int i = 0; i < 6; i++) {
			fleet.job("plain" + std::to_string(i), {3}, 1500)->gang = true;
			fleet.submit();
			fleet.simulate(1000);
		}
		EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS)) << seed;
		guilty_check(fleet);
		innocent_check(fleet);
	}
}

/* The leader changes some time after each crash. */
TEST(GuiltyJob, ChangesOfLeaderLoseNoCrash)
{
	for (uint64_t after_ms : {10, 1500, 3200, 3600, 5000}) {
		CrashFleetOptions options;
		options.seed = static_cast<unsigned int>(after_ms);
		CrashFleet fleet(options);
		uint64_t term = 2;

		fleet.simulate(2000);
		fleet.job("guilty", {1}, 400);
		fleet.submit({task("guilty", 0)});
		for (size_t crashes = 0; term < 8 && !fleet.simulate_until_ended(100);) {
			if (fleet.crashes == crashes)
				continue;
			crashes = fleet.crashes;
			fleet.simulate(after_ms);
			fleet.leader_change(LEADER_GAP_MS, term++);
		}
		EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS)) << after_ms;
		guilty_check(fleet);
	}
}

/* Each target has lasting tasks, so that they meet each guilty one. */
TEST(GuiltyJob, LastingTaskBesideSeveralGuiltyOnesInTurnIsNotGivenUp)
{
	for (size_t targets : {3, 6}) {
		CrashFleetOptions options;
		options.targets = targets;
		options.racks = 2;
		CrashFleet fleet(options);

		fleet.job("last", {2 * targets}, 0, 2000)->max_per_target = 2;
		fleet.submit();
		fleet.simulate(WARM_UP_MS);
		for (int i = 0; i < 8; i++) {
			std::string id = "guilty" + std::to_string(i);

			fleet.job(id, {1}, 400);
			fleet.submit({task(id, 0)});
			fleet.simulate_until_ended(LIMIT_MS / 2);
		}
		guilty_check(fleet);
		fleet.simulate(FOUND_MS + WAIT_MS);
		EXPECT_EQ(fleet.rig.job_state("last"), "running");
		EXPECT_EQ(fleet.running("last"), 2 * targets);
		EXPECT_GE(fleet.interrupted_max_ms, CrashFleet::BACK_MS);
		EXPECT_LE(fleet.interrupted_max_ms, LOSSES * FOUND_MS + WAIT_MS);
		printf("%zu targets: crashes %zu, longest interruption %llu ms\n", targets,
		       fleet.crashes, (unsigned long long)fleet.interrupted_max_ms);
	}
}
