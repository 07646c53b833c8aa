#include "../support/crash_load.h"

#include <algorithm>
#include <memory>

/* Targets that are lost for other reasons than their tasks. */

namespace
{
constexpr uint64_t DOWN_MS = 3300;
constexpr uint64_t BACK_SPREAD_MS = 1000;
constexpr uint64_t POWER_INTERVAL_MS = 7000;
constexpr uint64_t SWEEP_MS = 15000; /* hit by all three losses */
constexpr uint64_t DELAY_MS = 3500;  /* until the tasks run again after their targets are back */

struct PowerLoss {
	std::string name;
	std::function<bool(const CrashFleet::Machine &)> which;
	bool silent;
};

/* Return: when the last power loss was, ns. */
uint64_t power_load(CrashFleet &fleet, const PowerLoss &loss, bool lost)
{
	Mix mix(fleet);
	uint64_t last_ns = 0;

	fleet.job("everywhere", {fleet.machines.size()}, 0, 500)->max_per_target = 1;
	fleet.submit();
	lasting_jobs_submit(fleet);
	fleet.job("sweep", {192}, SWEEP_MS, 2000);
	fleet.submit();
	mix.simulate(5000, false);
	for (int i = 0; i < 3; i++) {
		last_ns = fleet.rig.now;
		if (lost)
			fleet.power_off(loss.which, DOWN_MS);
		mix.simulate(POWER_INTERVAL_MS, false);
	}
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS)) << loss.name;
	return last_ns;
}

void power_loss_check(const PowerLoss &loss, unsigned int seed)
{
	CrashFleetOptions options;
	options.seed = seed;
	options.silent_power_loss = loss.silent;
	CrashFleet calm(options);
	CrashFleet fleet(options);

	power_load(calm, loss, false);
	uint64_t last_ns = power_load(fleet, loss, true);
	EXPECT_EQ(fleet.ended("failed"), 0u) << loss.name;
	for (const auto &one : calm.jobs) {
		const FleetJob &job = fleet.jobs[one.first];
		uint64_t again_ns =
			std::max(last_ns, job.submitted_ns) +
			(DOWN_MS + BACK_SPREAD_MS + DELAY_MS + chain_ms(fleet, one.first)) * MS;

		if (one.second.work_ms == 0)
			continue;
		EXPECT_EQ(job.state, "completed") << loss.name << " " << one.first;
		EXPECT_LE(job.ended_ns, std::max(again_ns, one.second.ended_ns))
			<< loss.name << " " << one.first;
	}
	fleet.simulate(FOUND_MS);
	EXPECT_EQ(fleet.running("last"), LASTING) << loss.name;
	EXPECT_EQ(fleet.running("wide"), WIDE_LASTING) << loss.name;
	EXPECT_EQ(fleet.running("everywhere"), fleet.machines.size()) << loss.name;
	EXPECT_GE(fleet.interrupted_max_ms, CrashFleet::TICK_MS) << loss.name;
	EXPECT_LE(fleet.interrupted_max_ms, DOWN_MS + BACK_SPREAD_MS + DELAY_MS) << loss.name;
}

bool in_rack(const CrashFleet::Machine &machine)
{
	return machine.rack == "r1";
}

bool in_zone(const CrashFleet::Machine &machine)
{
	return machine.zone == "z1";
}

bool anywhere(const CrashFleet::Machine &)
{
	return true;
}
} // namespace

TEST(PowerLoss, OfARackThreeTimesFailsNoJob)
{
	power_loss_check({"rack", in_rack, false}, 1);
	power_loss_check({"rack, silent", in_rack, true}, 2);
}

TEST(PowerLoss, OfAZoneThreeTimesFailsNoJob)
{
	power_loss_check({"zone", in_zone, false}, 1);
	power_loss_check({"zone, silent", in_zone, true}, 2);
}

TEST(PowerLoss, OfAllTargetsThreeTimesFailsNoJob)
{
	power_loss_check({"all", anywhere, false}, 1);
	power_loss_check({"all, silent", anywhere, true}, 2);
}

/* All other targets of the rack are idle. */
TEST(PowerLoss, OfTheRackOfALoneTaskThreeTimesFailsNoJob)
{
	for (bool silent : {false, true}) {
		CrashFleetOptions options;
		options.silent_power_loss = silent;
		CrashFleet fleet(options);

		fleet.simulate(2000);
		fleet.job("lone", {1}, SWEEP_MS);
		fleet.submit();
		for (int i = 0; i < 3; i++) {
			fleet.simulate(POWER_INTERVAL_MS);
			long at = fleet.machine_of(task("lone", 0));
			ASSERT_GE(at, 0);
			std::string rack = fleet.machines[static_cast<size_t>(at)].rack;
			fleet.power_off(
				[rack](const CrashFleet::Machine &one) { return one.rack == rack; },
				DOWN_MS);
		}
		EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS)) << silent;
		EXPECT_EQ(fleet.jobs["lone"].state, "completed") << silent;
	}
}

class NoCrash : public testing::Test
{
      protected:
	static constexpr uint64_t WORK_MS = 20000;
	static constexpr int TIMES = 5;

	NoCrash()
	{
		CrashFleetOptions options;
		options.targets = 6;
		options.racks = 2;
		fleet = std::make_unique<CrashFleet>(options);
		fleet->simulate(2000);
		fleet->job("plain", {1}, WORK_MS);
		fleet->submit();
	}

	/* The machine of the task once it has worked for a while. */
	size_t machine()
	{
		for (int i = 0; i < 1500 && fleet->machine_of(task("plain", 0)) < 0; i++)
			fleet->simulate(CrashFleet::TICK_MS);
		fleet->simulate(500);
		long at = fleet->machine_of(task("plain", 0));
		EXPECT_GE(at, 0) << "the task does not run";
		return at < 0 ? 0 : static_cast<size_t>(at);
	}

	void completes()
	{
		EXPECT_TRUE(fleet->simulate_until_ended(WORK_MS + FOUND_MS));
		EXPECT_EQ(fleet->jobs["plain"].state, "completed");
		EXPECT_GT(fleet->rig.find("plain")->tasks[0].run, static_cast<uint64_t>(TIMES));
	}

	std::unique_ptr<CrashFleet> fleet;
};

TEST_F(NoCrash, DepartureOfTargetsThatStopTheirRuns)
{
	for (int i = 0; i < TIMES; i++)
		fleet->depart(machine(), 300, CrashFleet::BACK_MS);
	completes();
}

TEST_F(NoCrash, DepartureOfTargetsThatExitAtOnce)
{
	for (int i = 0; i < TIMES; i++)
		fleet->depart(machine(), 0, CrashFleet::BACK_MS);
	completes();
}

TEST_F(NoCrash, LeasesThatLapseBehindACut)
{
	for (int i = 0; i < TIMES; i++) {
		fleet->cut(machine(), 9000);
		fleet->simulate(7000);
	}
	completes();
}
