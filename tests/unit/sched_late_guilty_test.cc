#include "../support/crash_load.h"

/* Tasks that crash targets, which are back after the leases of their runs, among others. */

namespace
{
constexpr size_t STARTS_MORE = 2; /* than the crashes that give a task up */

class LateGuilty : public testing::TestWithParam<unsigned int>
{
};

/* In seed 15 a task to be alone starts on a target that a guilty one crashes after its stop. */
INSTANTIATE_TEST_SUITE_P(Seeds, LateGuilty, testing::Values(1, 2, 3, 4, 5, 6, 15));

TEST_P(LateGuilty, TenthOfAClassIsGivenUpAndNoOtherJobFails)
{
	CrashFleetOptions options;
	options.seed = GetParam();
	options.back_ms = 9000;
	CrashFleet fleet(options);
	Mix mix(fleet);
	size_t crashes_max = 0;

	lasting_jobs_submit(fleet);
	mix.simulate(5000, false);
	mix.simulate(4000 + 300 * (options.seed % 9), true);
	fleet.leader_change(LEADER_GAP_MS, 2);
	mix.simulate(6000, true);
	mix.simulate(5000, false);
	EXPECT_TRUE(fleet.simulate_until_ended(2 * LIMIT_MS));
	EXPECT_GE(fleet.guilty.size(), 20u);
	for (const auto &one : fleet.guilty) {
		EXPECT_LE(one.second.starts_after_third, STARTS_MORE)
			<< one.first << history_of(fleet, one.first);
		crashes_max = std::max(crashes_max, one.second.crashes);
	}
	for (const auto &one : fleet.jobs) {
		std::string state = fleet.rig.job_state(one.first);

		if (one.second.work_ms != 0)
			state = one.second.state;
		EXPECT_EQ(state == "failed", one.second.guilty) << one.first << " " << state;
	}
	printf("seed %u: guilty tasks %zu, crashes %zu, at most %zu of a task\n", options.seed,
	       fleet.guilty.size(), fleet.crashes, crashes_max);
}

class Cut : public testing::TestWithParam<unsigned int>
{
};

INSTANTIATE_TEST_SUITE_P(Seeds, Cut, testing::Range(1u, 5u));

/* Targets are cut off for 6 to 30 s, while the leader changes. */
TEST_P(Cut, TargetsThatAreSilentMakeNobodyGuiltyUnderLaterLeaders)
{
	CrashFleetOptions options;
	options.seed = GetParam();
	CrashFleet fleet(options);
	std::mt19937 random(options.seed);
	Mix mix(fleet);
	size_t crashes = 0;
	size_t lost = 0;

	lasting_jobs_submit(fleet);
	for (uint64_t round = 0; round < 4; round++) {
		for (int i = 0; i < 3; i++)
			fleet.cut(random() % options.targets, 6000 + random() % 24000);
		mix.simulate(7000, false);
		fleet.leader_change(LEADER_GAP_MS, round + 2);
		mix.simulate(2000, false);
	}
	EXPECT_TRUE(fleet.simulate_until_ended(2 * LIMIT_MS));
	for (const auto &line : fleet.rig.log) {
		crashes += line.find("event=task-crash ") != std::string::npos;
		lost += line.find("how=lost") != std::string::npos;
	}
	EXPECT_GE(lost, 10u);
	EXPECT_EQ(crashes, 0u);
	for (const auto &one : fleet.jobs)
		EXPECT_NE(fleet.rig.job_state(one.first), "failed") << one.first;
}
} // namespace
