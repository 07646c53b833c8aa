#ifndef TESTS_CRASH_LOAD_H
#define TESTS_CRASH_LOAD_H

#include "crash_fleet.h"

#include <algorithm>

#include <gtest/gtest.h>

/* Load for a CrashFleet: lasting jobs, and a mix of short ones of which some are guilty. */

constexpr uint64_t MS = CrashFleet::MS;
constexpr uint64_t WARM_UP_MS = 8000;
constexpr uint64_t LEADER_GAP_MS = 1200;
/* Until the tasks of a crashed target are started again: it is back, reports, and is asked. */
constexpr uint64_t FOUND_MS = CrashFleet::BACK_MS + LEADER_GAP_MS + CrashFleet::REPORT_MS + 500;
constexpr uint64_t LIMIT_MS = 60000;
constexpr size_t LASTING = 24;
constexpr size_t WIDE_LASTING = 40; /* one on a target */

inline std::string task(const std::string &job, uint64_t index, uint64_t step = 0)
{
	return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

inline void lasting_jobs_submit(CrashFleet &fleet)
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

inline uint64_t took_ms(const FleetJob &job)
{
	return (job.ended_ns - job.submitted_ns) / MS;
}

inline uint64_t chain_ms(const CrashFleet &fleet, const std::string &id)
{
	const wl_job_t *job = fleet.rig.find(id);

	return job ? job->record.spec.steps.count * fleet.jobs.at(id).work_ms : 0;
}

constexpr size_t LOSSES = 3;	    /* two crashes of other tasks, and one start on a dead target */
constexpr uint64_t WAIT_MS = 10000; /* that a suspect may wait for a place of its own */
constexpr uint64_t UNAFFECTED_MS = 1000; /* of jobs that no crash meets, beyond their work */

inline std::string history_of(const CrashFleet &fleet, const std::string &about)
{
	std::string text;
	size_t lines = 0;

	for (const auto &line : fleet.history)
		if ((line + " ").find(" " + about + " ") != std::string::npos && lines++ < 12)
			text += "\n  " + line;
	return text;
}

/* Of the guilty task with the most crashes, and of all. */
inline void guilty_tasks_check(const CrashFleet &fleet)
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

inline void guilty_check(const CrashFleet &fleet)
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

inline void innocent_check(const CrashFleet &fleet)
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
inline void lasting_check(CrashFleet &fleet)
{
	fleet.simulate(FOUND_MS + WAIT_MS);
	EXPECT_EQ(fleet.running("last"), LASTING);
	EXPECT_EQ(fleet.running("wide"), WIDE_LASTING);
	EXPECT_LE(fleet.interrupted_max_ms, LOSSES * FOUND_MS + WAIT_MS);
}

/* A tenth of a class is guilty for a time, and then the leader changes between their crashes. */
inline void tenth_of_a_class_simulate(CrashFleet &fleet, uint64_t guilty_ms)
{
	Mix mix(fleet);

	lasting_jobs_submit(fleet);
	mix.simulate(5000, false);
	mix.simulate(guilty_ms, true);
	fleet.leader_change(LEADER_GAP_MS, 2);
	mix.simulate(6000, true);
	mix.simulate(5000, false);
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS));
	EXPECT_GE(fleet.guilty.size(), 20u);
	guilty_check(fleet);
}

/* Tasks crash their targets for 40 s, one after the other. */
inline void long_series_simulate(CrashFleet &fleet)
{
	Mix mix(fleet);

	lasting_jobs_submit(fleet);
	mix.simulate(40000, true);
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS));
	guilty_check(fleet);
}

inline void tenth_of_a_class_check(unsigned int seed)
{
	CrashFleetOptions options;
	options.seed = seed;
	CrashFleet fleet(options);

	tenth_of_a_class_simulate(fleet, 4000 + 300 * (options.seed % 9));
	innocent_check(fleet);
	lasting_check(fleet);
	printf("seed %u: guilty tasks %zu, crashes %zu, failed jobs %zu, completed %zu, longest "
	       "interruption of a lasting task %llu ms\n",
	       options.seed, fleet.guilty.size(), fleet.crashes, fleet.ended("failed"),
	       fleet.ended("completed"), (unsigned long long)fleet.interrupted_max_ms);
}

#endif
