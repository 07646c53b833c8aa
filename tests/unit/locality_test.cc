#include "../support/sched_rig.h"

extern "C" {
#include <libwlcore/locality/wait.h>
}

#include <algorithm>

#include <gtest/gtest.h>

/* How long a task waits for a place near its data. */

namespace
{
constexpr uint64_t MS = 1000000;

wl_locality_task_t task_of(uint64_t estimated_ms, uint64_t waited_ms, uint64_t free_ms)
{
	wl_locality_task_t task = {estimated_ms, waited_ms, free_ms};

	return task;
}

TEST(LocalityWait, PaysWhileThePlaceIsFreeSoon)
{
	wl_locality_t locality = {};
	wl_locality_task_t soon = task_of(1000, 0, 200);
	wl_locality_task_t later = task_of(1000, 0, 250);
	wl_locality_task_t unknown = task_of(1000, 0, UINT64_MAX);

	EXPECT_EQ(wl_locality_wait_ms(&locality, &soon), 250u);
	EXPECT_EQ(wl_locality_wait_ms(&locality, &later), 0u);
	EXPECT_EQ(wl_locality_wait_ms(&locality, &unknown), 0u);
}

/* Places that are always said to be free soon: the wait ends all the same. */
TEST(LocalityWait, HasAnEnd)
{
	wl_locality_t locality = {};

	for (uint64_t waited_ms = 0; waited_ms < 240; waited_ms += 20) {
		wl_locality_task_t task = task_of(1000, waited_ms, 5);

		EXPECT_EQ(wl_locality_wait_ms(&locality, &task), 250 - waited_ms);
	}
	wl_locality_task_t over = task_of(1000, 250, 5);
	EXPECT_EQ(wl_locality_wait_ms(&locality, &over), 0u);
}

TEST(LocalityWait, UsesLearntRunTimes)
{
	wl_locality_t locality = {};

	for (int i = 0; i < 64; i++) {
		wl_locality_learn(&locality, true, 1000, 2000);
		wl_locality_learn(&locality, false, 1000, 3000);
	}
	EXPECT_EQ(wl_locality_run_ms(&locality, 1000), 2000u);
	EXPECT_EQ(wl_locality_loss_ms(&locality, 1000), 1000u);
	/* Where it makes no difference, nothing waits. */
	for (int i = 0; i < 1000; i++)
		wl_locality_learn(&locality, false, 1000, 1900);
	wl_locality_task_t task = task_of(1000, 0, 1);
	EXPECT_EQ(wl_locality_wait_ms(&locality, &task), 0u);
}

/* Two racks of four targets; all data are on rack a, which one job in two keeps full. */
class DataOnOneRack : public testing::Test
{
      protected:
	static constexpr uint64_t STEP_MS = 10;

	DataOnOneRack()
	{
		rig.objective_ms = 100000;
		rig.configure("q");
		for (const char *id : {"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"})
			rig.runner(id, 4000, 1, std::string("r") + id[0]);
	}

	void submit(const std::string &id, uint64_t tasks, uint64_t work_ms)
	{
		auto *step = rig.job("q", id, {tasks});

		step->estimated_ms = work_ms;
		wl_buf_set(&step->data_rack, WL_STR("ra"));
		work[id] = {rig.now, work_ms};
		rig.submit();
	}

	void simulate(uint64_t ms)
	{
		for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
			rig.advance(STEP_MS);
			rig.commit();
			for (const auto &start : rig.take_orders(WL_ORDER_START)) {
				std::string job = start.task.substr(0, start.task.find('.'));
				bool near = start.runner[0] == 'a';

				rig.answer(start, WL_ORDER_DONE);
				(near ? near_starts : far_starts)++;
				running.push_back(
					{start, rig.now + work[job].second * MS * (near ? 1 : 2)});
			}
			for (const auto &renewal : rig.take_orders(WL_ORDER_RENEW))
				renewal_answer(renewal);
			for (const char *id : {"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"})
				rig.report_forwarded("s1", id);
		}
	}

	void renewal_answer(const SchedOrder &renewal)
	{
		std::vector<wl_run_view_t> views;
		std::vector<wl_end_view_t> ends;

		for (size_t i = 0; i < running.size();) {
			const auto &run = running[i];

			if (run.first.runner != renewal.runner) {
				i++;
			} else if (run.second <= rig.now) {
				std::string task = run.first.task;
				std::string job = task.substr(0, task.find('.'));

				took_ms.push_back((rig.now - work[job].first) / MS);
				ends.push_back(SchedRig::end(run.first, ++ended[renewal.runner],
							     WL_END_DONE));
				running.erase(running.begin() + static_cast<long>(i));
			} else {
				views.push_back(SchedRig::view(run.first));
				i++;
			}
		}
		rig.answer_hold(renewal, views, ends);
	}

	SchedRig rig;
	std::map<std::string, std::pair<uint64_t, uint64_t>> work; /* submitted ns, ms */
	std::map<std::string, uint64_t> ended;
	std::vector<std::pair<SchedOrder, uint64_t>> running;
	std::vector<uint64_t> took_ms;
	size_t near_starts = 0;
	size_t far_starts = 0;
};

TEST_F(DataOnOneRack, TaskWaitsForAPlaceThatIsFreeSoon)
{
	submit("full", 16, 600);
	simulate(520);
	submit("next", 4, 600);
	simulate(1500);
	EXPECT_EQ(near_starts, 20u);
	EXPECT_EQ(far_starts, 0u);
}

TEST_F(DataOnOneRack, TaskStartsElsewhereWhereTheWaitIsLonger)
{
	submit("full", 16, 5000);
	simulate(100);
	submit("next", 4, 600);
	simulate(100);
	EXPECT_EQ(far_starts, 4u);
}

/* The place that was said to be free soon is not: the wait ends. */
TEST_F(DataOnOneRack, WaitHasAnEnd)
{
	submit("full", 16, 300);
	for (auto &one : work)
		one.second.second = 60000;
	simulate(200);
	submit("next", 4, 600);
	simulate(100);
	EXPECT_EQ(far_starts, 0u);
	simulate(100);
	EXPECT_EQ(far_starts, 4u);
}

/* A target of the rack is lost while tasks wait for it. */
TEST_F(DataOnOneRack, TargetsOfTheRackAreLost)
{
	submit("full", 16, 600);
	simulate(520);
	submit("next", 4, 600);
	simulate(50);
	EXPECT_EQ(far_starts, 0u);
	for (const char *id : {"a1", "a2", "a3", "a4"})
		rig.runner(id, 4000, 1, "ra", true);
	simulate(700);
	EXPECT_EQ(far_starts, 4u);
}

/* Jobs of 6 tasks of 400 ms whose data are on the rack, at 0.75 and all of its room. */
class DataLoad : public DataOnOneRack, public testing::WithParamInterface<uint64_t>
{
};

INSTANTIATE_TEST_SUITE_P(IntervalMs, DataLoad, testing::Values(150, 160, 200));

TEST_P(DataLoad, EndsEarlyOnAverageAndFewAreLate)
{
	for (int i = 0; i < 60; i++) {
		submit("j" + std::to_string(i), 6, 400);
		simulate(GetParam());
	}
	simulate(6000);
	ASSERT_EQ(took_ms.size(), 360u);
	std::sort(took_ms.begin(), took_ms.end());
	uint64_t sum = 0;
	for (uint64_t ms : took_ms)
		sum += ms;
	uint64_t mean = sum / took_ms.size();
	printf("every %llu ms: near %zu, elsewhere %zu; from submission to end: mean %llu ms, "
	       "95 of 100 within %llu ms\n",
	       (unsigned long long)GetParam(), near_starts, far_starts, (unsigned long long)mean,
	       (unsigned long long)took_ms[took_ms.size() * 95 / 100]);
	/* without waiting: 454 ms, and 810 ms for 95 of 100, at each of the intervals */
	EXPECT_LE(mean, 460u);
	EXPECT_LE(took_ms[took_ms.size() * 95 / 100], 810u);
	EXPECT_GT(near_starts, far_starts);
}
} // namespace
