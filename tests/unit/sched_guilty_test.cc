#include "../support/crash_fleet.h"

#include <algorithm>

#include <gtest/gtest.h>

/* Tasks that crash the targets that start them, among others. */

namespace
{
constexpr uint64_t MS = CrashFleet::MS;
constexpr uint64_t WARM_UP_MS = 8000;
constexpr uint64_t LEADER_GAP_MS = 1200;
/* Until the tasks of a crashed target are started again: it is back, reports, and is asked. */
constexpr uint64_t FOUND_MS = CrashFleet::BACK_MS + LEADER_GAP_MS + CrashFleet::REPORT_MS + 500;
constexpr size_t LOSSES = 3;	    /* two crashes of other tasks, and one start on a dead target */
constexpr uint64_t WAIT_MS = 10000; /* that a suspect may wait for a place of its own */
constexpr uint64_t UNAFFECTED_MS = 1000; /* of jobs that no crash meets, beyond their work */
constexpr uint64_t LIMIT_MS = 60000;
constexpr size_t LASTING = 24;
constexpr size_t WIDE_LASTING = 40; /* one on a target */

std::string task(const std::string &job, uint64_t index, uint64_t step = 0)
{
	return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

void lasting_jobs_submit(CrashFleet &fleet)
{
	fleet.job("last", {LASTING}, 0, 4000);
	fleet.submit();
	fleet.job("wide", {WIDE_LASTING}, 0, 2000)->max_per_target = 1;
	fleet.submit();
	fleet.simulate(WARM_UP_MS);
	EXPECT_EQ(fleet.running("last"), LASTING);
	EXPECT_EQ(fleet.running("wide"), WIDE_LASTING);
}

/* Short jobs of several classes, 16 in a second. */
class Mix
{
      public:
	static constexpr uint64_t INTERVAL_MS = 100;

	explicit Mix(CrashFleet &of) : fleet(of)
	{
	}

	/* @guilty: whether a tenth of the class "seat" is guilty */
	void submit_next(bool guilty)
	{
		seat(guilty && number % 10 == 4);
		if (number % 5 == 1)
			plain("batch" + std::to_string(number), {12, 4}, 600, 4000);
		if (number % 20 == 7)
			plain("long" + std::to_string(number), {8}, 6000, 2000);
		if (number % 10 == 3) {
			fleet.job("gang" + std::to_string(number), {3}, 800)->gang = true;
			fleet.submit();
		}
		number++;
	}

	void simulate(uint64_t ms, bool guilty)
	{
		for (uint64_t i = 0; i < ms / INTERVAL_MS; i++) {
			submit_next(guilty);
			fleet.simulate(INTERVAL_MS);
		}
	}

      private:
	/* One task of a guilty job is guilty, or each of them in every other one. */
	void seat(bool guilty)
	{
		std::string id = "seat" + std::to_string(number);
		std::vector<std::string> names;

		for (uint64_t i = 0; guilty && i < 8; i++)
			if (number % 20 == 4 || i == number / 10 % 8)
				names.push_back(task(id, i));
		fleet.job(id, {8}, 400, 2000);
		fleet.submit(names);
	}

	void plain(const std::string &id, const std::vector<uint64_t> &counts, uint64_t work_ms,
		   uint64_t cpu_millis)
	{
		fleet.job(id, counts, work_ms, cpu_millis);
		fleet.submit();
	}

	CrashFleet &fleet;
	uint64_t number = 0;
};

uint64_t took_ms(const FleetJob &job)
{
	return (job.ended_ns - job.submitted_ns) / MS;
}

uint64_t chain_ms(const CrashFleet &fleet, const std::string &id)
{
	const wl_job_t *job = fleet.rig.find(id);

	return job ? job->record.spec.steps.count * fleet.jobs.at(id).work_ms : 0;
}

std::string history_of(const CrashFleet &fleet, const std::string &about)
{
	std::string text;
	size_t lines = 0;

	for (const auto &line : fleet.history)
		if ((line + " ").find(" " + about + " ") != std::string::npos && lines++ < 12)
			text += "\n  " + line;
	return text;
}

/* Of the guilty task with the most crashes, and of all. */
void guilty_tasks_check(const CrashFleet &fleet)
{
	std::string worst;
	size_t crashes_max = 0;
	size_t starts_after_third = 0;

	for (const auto &one : fleet.guilty) {
		starts_after_third += one.second.starts_after_third;
		if (one.second.crashes <= crashes_max)
			continue;
		crashes_max = one.second.crashes;
		worst = one.first;
	}
	EXPECT_GE(crashes_max, 2u) << "the load has no guilty task";
	EXPECT_LE(crashes_max, CrashFleet::CRASHES_MAX) << worst << history_of(fleet, worst);
	EXPECT_EQ(starts_after_third, 0u);
}

void guilty_check(const CrashFleet &fleet)
{
	std::string wrong;

	guilty_tasks_check(fleet);
	for (const auto &one : fleet.jobs)
		if ((one.second.state == "failed") != one.second.guilty)
			wrong += " " + one.first + (one.second.guilty ? " guilty " : " innocent ") +
				 one.second.state;
	EXPECT_EQ(wrong, "");
	EXPECT_LE(fleet.crashes, CrashFleet::CRASHES_MAX * fleet.guilty.size());
}

void innocent_check(const CrashFleet &fleet)
{
	size_t count = 0;
	size_t unaffected = 0;

	for (const auto &one : fleet.jobs) {
		const FleetJob &job = one.second;
		uint64_t work_ms = chain_ms(fleet, one.first);

		if (job.guilty)
			continue;
		if (job.work_ms == 0) {
			EXPECT_EQ(fleet.rig.job_state(one.first), "running") << one.first;
			continue;
		}
		EXPECT_EQ(job.state, "completed") << one.first;
		EXPECT_LE(took_ms(job), work_ms + LOSSES * (job.work_ms + FOUND_MS) + WAIT_MS)
			<< one.first;
		count++;
		unaffected += took_ms(job) <= work_ms + UNAFFECTED_MS;
	}
	EXPECT_GE(unaffected, count / 2);
}

/* Each lasting task runs, and none was without a run for long. */
void lasting_check(CrashFleet &fleet)
{
	fleet.simulate(FOUND_MS + WAIT_MS);
	EXPECT_EQ(fleet.running("last"), LASTING);
	EXPECT_EQ(fleet.running("wide"), WIDE_LASTING);
	EXPECT_LE(fleet.interrupted_max_ms, LOSSES * FOUND_MS + WAIT_MS);
}
} // namespace

class Guilty : public testing::TestWithParam<unsigned int>
{
};

INSTANTIATE_TEST_SUITE_P(Seeds, Guilty, testing::Range(1u, 9u));

/* With a change of leader between the first crashes and the third of most tasks. */
TEST_P(Guilty, TenthOfAClassIsFoundAndNoOtherJobFails)
{
	CrashFleetOptions options;
	options.seed = GetParam();
	CrashFleet fleet(options);
	Mix mix(fleet);

	lasting_jobs_submit(fleet);
	mix.simulate(5000, false);
	mix.simulate(4000 + 300 * options.seed, true);
	fleet.leader_change(LEADER_GAP_MS, 2);
	mix.simulate(6000, true);
	mix.simulate(5000, false);
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS));
	EXPECT_GE(fleet.guilty.size(), 20u);
	guilty_check(fleet);
	innocent_check(fleet);
	lasting_check(fleet);
	printf("seed %u: guilty tasks %zu, crashes %zu, failed jobs %zu, completed %zu, longest "
	       "interruption of a lasting task %llu ms\n",
	       options.seed, fleet.guilty.size(), fleet.crashes, fleet.ended("failed"),
	       fleet.ended("completed"), (unsigned long long)fleet.interrupted_max_ms);
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
