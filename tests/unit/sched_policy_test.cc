extern "C" {
#include <libwlcore/sched/fit.h>
#include <libwlcore/sched/images.h>
#include <libwlcore/sched/ordering.h>
}

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include <gtest/gtest.h>

/* The policies of the scheduler, each with the load that it is designed for. */

static wl_fit_runner_t runner_of(uint64_t cpu, uint64_t used = 0)
{
	wl_fit_runner_t runner = {};

	runner.service = WL_STR("s");
	runner.rack = WL_STR("r1");
	runner.capacity = {cpu, 100000, 0, 0, 0};
	runner.used.cpu_millis = used;
	runner.usable = true;
	return runner;
}

static wl_step_spec_t step_of(uint64_t cpu, bool best_effort = false)
{
	wl_step_spec_t step = {};

	step.count = 1;
	step.cpu_millis = cpu;
	step.memory_mib = 100;
	step.best_effort = best_effort;
	return step;
}

TEST(Fit, CapacityIsNeverExceeded)
{
	wl_step_spec_t step = step_of(4000);
	wl_fit_request_t request = {&step, WL_STR("s"), {}, 0, false};
	wl_fit_runner_t runner = runner_of(32000, 28000);

	EXPECT_TRUE(wl_fit_fits(&request, &runner));
	runner.used.cpu_millis = 28001;
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	runner.used.cpu_millis = 0;
	runner.used.memory_mib = 99950;
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	runner.used.memory_mib = 0;
	step.accelerators = 1;
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
}

TEST(Fit, ServiceLabelAndLimitAreEnforced)
{
	wl_step_spec_t step = step_of(1000);
	wl_fit_request_t request = {&step, WL_STR("t"), {}, 0, false};
	wl_fit_runner_t runner = runner_of(32000);
	wl_list_t labels = {};

	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	request.service = WL_STR("s");
	wl_buf_set(&step.label, WL_STR("b"));
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	wl_strings_add(&labels, WL_STR("b"));
	runner.labels = &labels;
	EXPECT_TRUE(wl_fit_fits(&request, &runner));
	step.max_per_target = 2;
	runner.same_step = 2;
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	wl_strings_free(&labels);
	wl_buf_free(&step.label);
}

TEST(Fit, DataRackOutweighsFreeCapacity)
{
	wl_step_spec_t step = step_of(1000);
	wl_fit_request_t request = {&step, WL_STR("s"), {}, 0, false};
	wl_fit_runner_t near = runner_of(32000, 30000);
	wl_fit_runner_t remote = runner_of(32000);

	remote.rack = WL_STR("r2");
	wl_buf_set(&step.data_rack, WL_STR("r1"));
	for (const char *name : {"best-fit", "spread"}) {
		const wl_fit_policy_t *policy = wl_fit_policy_find(wl_str_from(name));

		ASSERT_NE(policy, nullptr);
		EXPECT_GT(policy->score(&request, &near), policy->score(&request, &remote)) << name;
	}
	wl_buf_free(&step.data_rack);
}

/* The rest of a fleet of 20 targets that is nearly full of serving tasks of five images. */
struct Fleet {
	size_t one_image = 0; /* targets with tasks of one image only, or of none */
	size_t wide = 0;      /* tasks of 12 CPU that still fit */
};

static Fleet fleet_filled_by(const char *name)
{
	const wl_fit_policy_t *policy = wl_fit_policy_find(wl_str_from(name));
	std::vector<wl_fit_runner_t> runners(20, runner_of(32000));
	std::vector<std::array<uint64_t, 5>> images(20);
	wl_step_spec_t wide = step_of(12000);
	wl_fit_request_t wide_request = {&wide, WL_STR("s"), {}, 0, false};
	std::mt19937 random(7);
	Fleet fleet;

	for (int i = 0; i < 85; i++) {
		wl_step_spec_t step = step_of(4000 + random() % 4000);
		wl_fit_request_t request = {&step, WL_STR("s"), {}, 0, false};
		size_t image = random() % 5;
		size_t best = runners.size();

		step.lasting = true;
		for (size_t k = 0; k < runners.size(); k++) {
			runners[k].other_image_millis =
				runners[k].serving_millis - images[k][image];
			if (wl_fit_fits(&request, &runners[k]) &&
			    (best == runners.size() ||
			     policy->score(&request, &runners[k]) >
				     policy->score(&request, &runners[best])))
				best = k;
		}
		if (best == runners.size())
			continue;
		runners[best].used.cpu_millis += step.cpu_millis;
		runners[best].serving_millis += step.cpu_millis;
		images[best][image] += step.cpu_millis;
	}
	for (size_t k = 0; k < runners.size(); k++) {
		uint64_t most = *std::max_element(images[k].begin(), images[k].end());

		fleet.one_image += most == runners[k].serving_millis;
		for (; wl_fit_fits(&wide_request, &runners[k]); fleet.wide++)
			runners[k].used.cpu_millis += wide.cpu_millis;
	}
	return fleet;
}

TEST(Fit, ServingTasksAreGroupedByImageAndLeaveSpaceForWideTasks)
{
	Fleet spread = fleet_filled_by("spread");
	Fleet first_fit = fleet_filled_by("first-fit");
	Fleet best_fit = fleet_filled_by("best-fit");

	EXPECT_GE(spread.one_image, 14u);
	EXPECT_GT(spread.one_image, 2 * best_fit.one_image);
	EXPECT_GT(spread.one_image, 2 * first_fit.one_image);
	EXPECT_GE(spread.wide, 5u);
}

TEST(Fit, BestEffortUsesWhatServingTasksLeaveUnused)
{
	wl_step_spec_t step = step_of(4000, true);
	wl_fit_request_t request = {&step, WL_STR("s"), {}, 0, false};
	wl_fit_runner_t runner = runner_of(32000, 32000);

	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	runner.serving = 4;
	runner.serving_millis = 24000;
	EXPECT_TRUE(wl_fit_fits(&request, &runner));
}

TEST(Fit, TailLimitRisesWithTheWaitingTime)
{
	wl_step_spec_t step = step_of(1000, true);
	wl_fit_request_t request = {&step, WL_STR("s"), {}, 0, false};
	wl_fit_runner_t runner = runner_of(32000);

	runner.serving = 1;
	runner.tail_permille = 800;
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
	request.waited_ms = 2000;
	EXPECT_TRUE(wl_fit_fits(&request, &runner));
	runner.tail_permille = 1000;
	request.waited_ms = 1000000;
	EXPECT_FALSE(wl_fit_fits(&request, &runner));
}

TEST(Fit, UnknownPolicyIsNotFound)
{
	EXPECT_EQ(wl_fit_policy_find(WL_STR("best")), nullptr);
	EXPECT_EQ(wl_ordering_policy_find(WL_STR("best")), nullptr);
}

TEST(Images, ImagesBeyondTheLimitShareAnId)
{
	wl_images_t images;

	wl_images_init(&images);
	for (int i = 0; i < 200; i++) {
		std::string name = "image" + std::to_string(i);

		EXPECT_LT(wl_images_id(&images, {name.data(), name.size()}), 64u);
	}
	wl_images_free(&images);
}

/*
 * A burst of twice the capacity: jobs of one second on ten places, each with a deadline of
 * 3 s.
 */
static size_t served_in_time(const char *policy_name)
{
	const wl_ordering_policy_t *policy = wl_ordering_policy_find(wl_str_from(policy_name));
	std::vector<wl_ordering_item_t> waiting;
	std::vector<uint64_t> busy_until(10, 0);
	size_t in_time = 0;

	for (uint64_t now = 0; now < 60000; now += 50) {
		if (now < 30000) {
			wl_ordering_item_t item = {};

			item.since_ms = now;
			item.deadline_ms = now + 3000;
			item.remaining_ms = 1000;
			waiting.push_back(item);
		}
		for (uint64_t &until : busy_until) {
			if (until > now || waiting.empty())
				continue;
			auto next = std::min_element(
				waiting.begin(), waiting.end(),
				[&](const wl_ordering_item_t &a, const wl_ordering_item_t &b) {
					return policy->rank(&a, now) < policy->rank(&b, now);
				});
			until = now + 1000;
			in_time += until <= next->deadline_ms;
			waiting.erase(next);
		}
	}
	return in_time;
}

TEST(Ordering, OnTimePolicyServesMoreJobsInTimeInABurst)
{
	size_t fifo = served_in_time("fifo");
	size_t on_time = served_in_time("on-time");

	EXPECT_GT(on_time, 250u) << "ten places for thirty seconds can serve 300";
	EXPECT_GT(on_time, 2 * fifo);
}

TEST(Ordering, PriorityOutweighsDeadline)
{
	const wl_ordering_policy_t *policy = wl_ordering_policy_find({});
	wl_ordering_item_t urgent = {};
	wl_ordering_item_t batch = {};

	urgent.since_ms = 5000;
	urgent.deadline_ms = 5001;
	urgent.remaining_ms = 100000;
	batch.priority = 2;
	batch.deadline_ms = 1000000;
	EXPECT_LT(policy->rank(&urgent, 6000), policy->rank(&batch, 6000));
}

/* On a full fleet, short work would find no capacity behind lasting work. */
TEST(Ordering, UsefulShortWorkPrecedesLastingWork)
{
	const wl_ordering_policy_t *policy = wl_ordering_policy_find({});
	wl_ordering_item_t lasting = {};
	wl_ordering_item_t on_time = {};
	wl_ordering_item_t late = {};
	wl_ordering_item_t expired = {};

	lasting.lasting = true;
	on_time.since_ms = late.since_ms = expired.since_ms = 5000;
	on_time.remaining_ms = late.remaining_ms = expired.remaining_ms = 500;
	on_time.deadline_ms = 7000;
	late.deadline_ms = 6000;
	expired.deadline_ms = 5200;
	EXPECT_LT(policy->rank(&on_time, 6000), policy->rank(&late, 6000));
	EXPECT_LT(policy->rank(&late, 6000), policy->rank(&lasting, 6000));
	EXPECT_LT(policy->rank(&lasting, 6000), policy->rank(&expired, 6000));
}

/*
 * A lasting task that has run before goes ahead of short work once it is interrupted for
 * too long.
 */
TEST(Ordering, InterruptedLastingWorkWaitsForALimitedTime)
{
	const wl_ordering_policy_t *policy = wl_ordering_policy_find({});
	wl_ordering_item_t fresh = {};
	wl_ordering_item_t interrupted = {};
	wl_ordering_item_t interrupted_longer = {};
	wl_ordering_item_t short_work = {};

	fresh.lasting = interrupted.lasting = interrupted_longer.lasting = true;
	short_work.since_ms = 60000;
	short_work.deadline_ms = 70000;
	interrupted.since_ms = 50000;
	interrupted.interrupted_ms = 500;
	EXPECT_LT(policy->rank(&short_work, 61000), policy->rank(&interrupted, 61000));
	interrupted.interrupted_ms = 4000;
	interrupted_longer.interrupted_ms = 5000;
	EXPECT_LT(policy->rank(&interrupted, 61000), policy->rank(&short_work, 61000));
	EXPECT_LT(policy->rank(&interrupted_longer, 61000), policy->rank(&interrupted, 61000));
	EXPECT_LT(policy->rank(&short_work, 61000), policy->rank(&fresh, 61000));
	interrupted.priority = 1;
	EXPECT_LT(policy->rank(&short_work, 61000), policy->rank(&interrupted, 61000));
}

/* Targets may leave until the remaining ones cannot hold all lasting work. */
TEST(Ordering, ShortWorkKeepsTheCapacityThatLastingWorkMayNotReserve)
{
	const wl_ordering_policy_t *policy = wl_ordering_policy_find({});
	wl_ordering_item_t interrupted = {};
	wl_ordering_item_t short_work = {};

	interrupted.lasting = true;
	interrupted.interrupted_ms = 10000;
	short_work.since_ms = 60000;
	short_work.deadline_ms = 70000;
	interrupted.lasting_wanted_permille = 1000;
	interrupted.lasting_permille = 799;
	EXPECT_LT(policy->rank(&interrupted, 61000), policy->rank(&short_work, 61000));
	interrupted.lasting_permille = 800;
	EXPECT_LT(policy->rank(&short_work, 61000), policy->rank(&interrupted, 61000));
	interrupted.lasting_wanted_permille = 999; /* it fits completely */
	EXPECT_LT(policy->rank(&interrupted, 61000), policy->rank(&short_work, 61000));
	interrupted.interrupted_ms = 4000;
	EXPECT_LT(policy->rank(&short_work, 61000), policy->rank(&interrupted, 61000));
}
