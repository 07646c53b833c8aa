#include "../support/crash_load.h"

#include <memory>

/*
 * How long lasting tasks are without a run after targets were lost under them, though none of them
 * is to blame. Guards against suspicion that holds up lasting tasks for longer than users allow.
 */

namespace
{
constexpr uint64_t BOUND_MS = 9000; /* of a task that lasts, with room for it: 6 s, and 3 s more */
constexpr uint64_t SETTLED_MS = 20000;

struct Loss {
	size_t targets = 96;
	uint64_t tasks = 160;
	uint64_t per_mille = 350;   /* of the targets that are lost, spread over all racks */
	uint64_t down_ms = 3600;    /* and up to one second more */
	uint64_t before_ms = 12000; /* from the submission to the first loss */
	bool silent = true;	    /* orders to lost targets time out */
};

class Interruption : public testing::TestWithParam<unsigned int>
{
      protected:
	std::unique_ptr<CrashFleet> fleet_of(const Loss &loss)
	{
		CrashFleetOptions options;

		options.targets = loss.targets;
		options.racks = 12;
		options.seed = GetParam();
		options.silent_power_loss = loss.silent;
		auto fleet = std::make_unique<CrashFleet>(options);
		fleet->job("last", {loss.tasks}, 0, 2000);
		fleet->submit();
		fleet->job("wide", {loss.targets / 2}, 0, 1000)->max_per_target = 1;
		fleet->submit();
		fleet->simulate(loss.before_ms);
		EXPECT_EQ(fleet->running("last"), loss.tasks);
		return fleet;
	}

	/* Not whole racks, so that they are no outage. */
	void lose(CrashFleet &fleet, const Loss &loss, uint64_t offset = 0)
	{
		size_t at = 0;

		fleet.power_off(
			[&](const CrashFleet::Machine &) {
				return (at++ * 7 + offset) % 20 * 50 < loss.per_mille;
			},
			loss.down_ms);
	}

	void lose_twice(uint64_t apart_ms, uint64_t offset)
	{
		Loss loss;
		auto fleet = fleet_of(loss);

		lose(*fleet, loss);
		fleet->simulate(apart_ms);
		lose(*fleet, loss, offset);
		check(*fleet, loss);
	}

	void check(CrashFleet &fleet, const Loss &loss)
	{
		fleet.simulate(SETTLED_MS);
		EXPECT_EQ(fleet.running("last"), loss.tasks);
		EXPECT_EQ(fleet.running("wide"), loss.targets / 2);
		EXPECT_EQ(fleet.ended("failed"), 0u);
		EXPECT_GT(fleet.interrupted_max_ms, CrashFleet::TICK_MS);
		EXPECT_LE(fleet.interrupted_max_ms, BOUND_MS);
	}
};
} // namespace

/* Each of the twelve tasks is suspected of the one crash, and there are eight targets. */
TEST_P(Interruption, OfMoreTasksOfOneCrashThanTargets)
{
	CrashFleetOptions options;
	options.targets = 8;
	options.racks = 2;
	options.back_ms = 1500;
	options.seed = GetParam();
	CrashFleet fleet(options);

	fleet.job("last", {12}, 0, 2000)->same_rack = true;
	fleet.submit();
	fleet.simulate(8000);
	size_t most = 0;
	for (size_t i = 0; i < fleet.machines.size(); i++)
		if (fleet.used_cpu(i) > fleet.used_cpu(most))
			most = i;
	ASSERT_GE(fleet.used_cpu(most), 2000u * 10) << "tasks that are on one target";
	std::string id = fleet.machines[most].id;
	fleet.power_off([&](const CrashFleet::Machine &machine) { return machine.id == id; }, 1500);
	fleet.simulate(SETTLED_MS);
	EXPECT_EQ(fleet.running("last"), 12u);
	EXPECT_LE(fleet.interrupted_max_ms, BOUND_MS);
}

TEST_P(Interruption, OfTasksOnAThirdOfTheTargets)
{
	Loss loss;
	auto fleet = fleet_of(loss);

	lose(*fleet, loss);
	check(*fleet, loss);
}

TEST_P(Interruption, OfTasksThatHadStartedLately)
{
	Loss loss;
	loss.before_ms = 4000;
	auto fleet = fleet_of(loss);

	lose(*fleet, loss);
	check(*fleet, loss);
}

/* The new leader has heard of no run yet. */
TEST_P(Interruption, OfTasksOnAThirdOfTheTargetsAndOfTheLeader)
{
	for (uint64_t after_ms : {500, 3400, 4400}) {
		Loss loss;
		auto fleet = fleet_of(loss);

		lose(*fleet, loss);
		fleet->simulate(after_ms);
		fleet->leader_change(LEADER_GAP_MS, 2);
		check(*fleet, loss);
	}
}

/* The second loss finds runs on trial: their tasks have two crashes in a row. */
TEST_P(Interruption, OfTasksOnAThirdOfTheTargetsTwice)
{
	lose_twice(9000, 3);
}

TEST_P(Interruption, OfTasksThatAreLostAgainAtOnce)
{
	lose_twice(6500, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Interruption, testing::Range(1u, 9u));
