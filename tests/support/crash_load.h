#ifndef TESTS_CRASH_LOAD_H
#define TESTS_CRASH_LOAD_H

#include "crash_fleet.h"

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

#endif
