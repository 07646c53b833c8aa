#include "../support/sched_rig.h"

extern "C" {
#include <libwlcore/contention/reserve.h>
}

#include <cmath>

#include <gtest/gtest.h>

/* CPU that is kept for short work on a fleet that lasting tasks fill. */

namespace
{
constexpr uint64_t MS = 1000000;

TEST(Reserve, FollowsTheHighestDemandOfTheLastSeconds)
{
	wl_reserve_t reserve = {};
	uint64_t now_ns = 100000 * MS;

	EXPECT_EQ(wl_reserve_millis(&reserve, now_ns), 0u);
	wl_reserve_sample(&reserve, now_ns, 8000);
	wl_reserve_sample(&reserve, now_ns + 100 * MS, 2000);
	EXPECT_EQ(wl_reserve_millis(&reserve, now_ns + 200 * MS), 10000u);
	wl_reserve_sample(&reserve, now_ns + 17000 * MS, 2000);
	EXPECT_EQ(wl_reserve_millis(&reserve, now_ns + 17000 * MS), 10000u);
	EXPECT_EQ(wl_reserve_millis(&reserve, now_ns + 30000 * MS), 2500u);
	EXPECT_EQ(wl_reserve_millis(&reserve, now_ns + 60000 * MS), 0u);
}

TEST(Reserve, WhatShortWorkUsesIsPartOfIt)
{
	wl_reserve_t reserve = {};
	wl_reserve_use_t use = {
		.capacity_millis = 100000, .lasting_millis = 80000, .short_millis = 0};

	EXPECT_TRUE(wl_reserve_allows(&reserve, MS, &use, 20000));
	wl_reserve_sample(&reserve, MS, 12000);
	EXPECT_TRUE(wl_reserve_allows(&reserve, MS, &use, 5000));
	EXPECT_FALSE(wl_reserve_allows(&reserve, MS, &use, 5001));
	use.short_millis = 15000;
	EXPECT_TRUE(wl_reserve_allows(&reserve, MS, &use, 5000));
	use.short_millis = 16000;
	EXPECT_FALSE(wl_reserve_allows(&reserve, MS, &use, 5000));
}

TEST(Reserve, BacklogLeavesAPartToLastingTasks)
{
	wl_reserve_t reserve = {};
	wl_reserve_use_t use = {
		.capacity_millis = 100000, .lasting_millis = 30000, .short_millis = 20000};

	wl_reserve_sample(&reserve, MS, 1000000);
	EXPECT_TRUE(wl_reserve_allows(&reserve, MS, &use, 20000));
	EXPECT_FALSE(wl_reserve_allows(&reserve, MS, &use, 20001));
}

TEST(Reserve, HoldsNothingBackWhileLessThanHalfIsInUse)
{
	wl_reserve_t reserve = {};
	wl_reserve_use_t use = {
		.capacity_millis = 100000, .lasting_millis = 49000, .short_millis = 900};

	wl_reserve_sample(&reserve, MS, 60000);
	EXPECT_TRUE(wl_reserve_allows(&reserve, MS, &use, 6000));
	use.short_millis = 1000;
	EXPECT_FALSE(wl_reserve_allows(&reserve, MS, &use, 6000));
}

/* Demand that swings by half within 17 s beside lasting jobs that keep coming. */
class SwingingDemand : public testing::Test
{
      protected:
	static constexpr int TARGETS = 40;
	static constexpr uint64_t STEP_MS = 50;
	static constexpr uint64_t WORK_MS = 700;

	SwingingDemand()
	{
		rig.configure("q");
		for (int i = 0; i < TARGETS; i++)
			rig.runner("t" + std::to_string(i), 32000, 1, "r" + std::to_string(i / 8));
	}

	void submit(const std::string &id, uint64_t tasks, uint64_t cpu_millis, bool lasting)
	{
		auto *spec = rig.job("q", id, {tasks});

		spec->cpu_millis = cpu_millis;
		spec->lasting = lasting;
		spec->estimated_ms = lasting ? 0 : WORK_MS;
		submitted_ns[id] = rig.now;
		rig.submit();
	}

	void targets_work()
	{
		for (const auto &start : rig.take_orders(WL_ORDER_START)) {
			std::string job = start.task.substr(0, start.task.find('.'));

			rig.answer(start, WL_ORDER_DONE);
			if (job[0] == 's')
				waits_ms.push_back((rig.now - submitted_ns[job]) / MS);
			else
				lasting_started++;
			running.push_back({start, job[0] == 's' ? rig.now + WORK_MS * MS : 0});
		}
		for (const auto &renewal : rig.take_orders(WL_ORDER_RENEW))
			renewal_answer(renewal);
	}

	void renewal_answer(const SchedOrder &renewal)
	{
		std::vector<wl_run_view_t> views;
		std::vector<wl_end_view_t> ends;

		for (size_t i = 0; i < running.size();) {
			const Run &run = running[i];

			if (run.start.runner != renewal.runner) {
				i++;
			} else if (run.end_ns && run.end_ns <= rig.now) {
				ends.push_back(SchedRig::end(run.start, ++ended[renewal.runner],
							     WL_END_DONE));
				running.erase(running.begin() + static_cast<long>(i));
			} else {
				views.push_back(SchedRig::view(run.start));
				i++;
			}
		}
		rig.answer_hold(renewal, views, ends);
	}

	void simulate(int steps)
	{
		for (int i = 0; i < steps; i++, step++) {
			double swing =
				std::sin(static_cast<double>(step) * STEP_MS / 17000 * 2 * M_PI);
			double demand = 2.6 * (1 + 0.55 * swing); /* tasks of 5 CPUs in a step */

			due += demand;
			if (due >= 8) {
				submit("s" + std::to_string(step), 8, 5000, false);
				due -= 8;
			}
			if (step % 20 == 0)
				submit("l" + std::to_string(step), 14, 6000, true);
			rig.advance(STEP_MS);
			rig.commit();
			targets_work();
			for (int t = 0; t < TARGETS; t++)
				rig.report_forwarded("s1", "t" + std::to_string(t));
		}
	}

	struct Run {
		SchedOrder start;
		uint64_t end_ns;
	};

	SchedRig rig;
	std::map<std::string, uint64_t> submitted_ns;
	std::map<std::string, uint64_t> ended;
	std::vector<Run> running;
	std::vector<uint64_t> waits_ms;
	size_t lasting_started = 0;
	int step = 0;
	double due = 0;
};

TEST_F(SwingingDemand, ShortTasksFindRoomBesideLastingJobsThatKeepComing)
{
	simulate(800);
	ASSERT_GT(waits_ms.size(), 1000u);
	std::sort(waits_ms.begin(), waits_ms.end());
	uint64_t most = waits_ms[waits_ms.size() * 99 / 100];
	printf("short tasks %zu: 99 of 100 wait at most %llu ms; lasting tasks started: %zu\n",
	       waits_ms.size(), (unsigned long long)most, lasting_started);
	EXPECT_LE(most, 1000u);
	EXPECT_GT(lasting_started, 100u);
}
} // namespace
