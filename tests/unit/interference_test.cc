extern "C" {
#include <libwlbase/units.h>
#include <libwlcore/sched/throttle.h>
}

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include <gtest/gtest.h>

/*
 * Best-effort work beside a serving task, simulated on a target whose tail latencies
 * follow 1 / (1 - utilization). The load swings within tens of seconds, interference
 * differs by pair of images, and samples are noisy and average over the last half second.
 */

namespace
{
constexpr unsigned int USERS = 0;
constexpr unsigned int LIGHT = 1;
constexpr unsigned int HEAVY = 2;
constexpr double BOUND = 5.0; /* relative to the tail latency of an idle server */
constexpr double LIGHT_WEIGHT = 0.5;
constexpr double HEAVY_WEIGHT = 8.0;
constexpr uint64_t TICK_MS = 100;
constexpr uint64_t SAMPLE_MS = 500;
constexpr double CORES = 32;

struct BestEffortRun {
	unsigned int image;
	double cores;
	double left_s;
	unsigned int percent;
};

struct Result {
	double over_s = 0; /* serving: time above the bound because of best-effort work */
	double done = 0;   /* best effort: work done, core-seconds */
};

wl_interference_shares_t shares_of(const std::vector<BestEffortRun> &neighbours)
{
	wl_interference_shares_t shares = {};

	for (const BestEffortRun &neighbour : neighbours)
		shares.by_image[neighbour.image] +=
			neighbour.cores / CORES * neighbour.percent / WL_SPEED_FULL;
	return shares;
}

double interference_of(const wl_interference_shares_t &shares)
{
	return shares.by_image[LIGHT] * LIGHT_WEIGHT + shares.by_image[HEAVY] * HEAVY_WEIGHT;
}

typedef void (*controller_t)(const wl_interference_t *interference,
			     const wl_interference_baseline_t *baseline, double sample,
			     std::vector<BestEffortRun> *neighbours);

void no_control(const wl_interference_t *, const wl_interference_baseline_t *, double,
		std::vector<BestEffortRun> *)
{
}

/*
 * For comparison: stops the work when the tail latency is near its bound, and resumes it a
 * second later.
 */
void stop_near_bound(const wl_interference_t *, const wl_interference_baseline_t *, double sample,
		     std::vector<BestEffortRun> *neighbours)
{
	for (BestEffortRun &neighbour : *neighbours)
		neighbour.percent = sample < 1.05 ? 0 : WL_SPEED_FULL;
}

void throttle_by_headroom(const wl_interference_t *interference,
			  const wl_interference_baseline_t *baseline, double,
			  std::vector<BestEffortRun> *neighbours)
{
	wl_throttle_serving_t serving = {USERS, baseline->headroom};
	std::vector<wl_throttle_run_t> runs;

	for (const BestEffortRun &neighbour : *neighbours)
		runs.push_back({neighbour.image, neighbour.cores / CORES, 0, false});
	wl_throttle_choose(interference, &serving, 1, runs.data(), runs.size());
	for (size_t i = 0; i < runs.size(); i++)
		(*neighbours)[i].percent = runs[i].percent;
}

Result simulate(controller_t control, unsigned int seed, wl_interference_t *interference)
{
	std::mt19937 random(seed);
	std::uniform_real_distribution<double> unit(0, 1);
	std::vector<BestEffortRun> neighbours;
	wl_interference_baseline_t baseline = {};
	wl_interference_shares_t average = {};
	double phase = unit(random) * 20;
	Result result;

	wl_interference_init(interference);
	for (uint64_t now = TICK_MS; now < 120000; now += TICK_MS) {
		double load = 0.45 * (1 + 0.5 * std::sin(2 * M_PI * (now / 1000.0 + phase) / 20));
		double alone = BOUND * (1 - load);

		while (neighbours.size() < 4)
			neighbours.push_back({unit(random) < 0.5 ? LIGHT : HEAVY,
					      2 + 4 * unit(random), 1 + 2 * unit(random),
					      WL_SPEED_FULL});
		wl_interference_shares_t shares = shares_of(neighbours);
		double headroom = alone - interference_of(shares);

		wl_interference_average_update(&average, &shares, TICK_MS * WL_NS_PER_MS);
		result.over_s += headroom < 1 && alone >= 1 ? TICK_MS / 1000.0 : 0;
		for (BestEffortRun &neighbour : neighbours) {
			double seconds = TICK_MS / 1000.0 * neighbour.percent / WL_SPEED_FULL;

			neighbour.left_s -= seconds;
			result.done += seconds * neighbour.cores;
		}
		neighbours.erase(
			std::remove_if(neighbours.begin(), neighbours.end(),
				       [](const BestEffortRun &f) { return f.left_s <= 0; }),
			neighbours.end());
		if (now % SAMPLE_MS)
			continue;
		double sample = std::max(0.05, alone - interference_of(average)) *
				(0.95 + 0.1 * unit(random));
		wl_interference_update(interference, &baseline, USERS, &average, sample,
				       now * WL_NS_PER_MS);
		control(interference, &baseline, sample, &neighbours);
	}
	return result;
}

Result simulate_all(controller_t control)
{
	Result sum;
	wl_interference_t interference;

	for (unsigned int seed = 1; seed <= 10; seed++) {
		Result one = simulate(control, seed, &interference);

		sum.over_s += one.over_s;
		sum.done += one.done;
	}
	return sum;
}
} // namespace

TEST(Interference, LightAndHeavyImagesAreDistinguished)
{
	wl_interference_t interference;

	simulate(no_control, 1, &interference);
	EXPECT_NEAR(wl_interference_weight(&interference, USERS, HEAVY), HEAVY_WEIGHT, 3);
	EXPECT_NEAR(wl_interference_weight(&interference, USERS, LIGHT), LIGHT_WEIGHT, 2);
	EXPECT_EQ(wl_interference_weight(&interference, HEAVY, USERS),
		  wl_interference_weight(&interference, LIGHT, USERS))
		<< "no sample of either pair";
}

TEST(Interference, BaselineNeverExceedsTheHighestSample)
{
	wl_interference_t interference;
	wl_interference_baseline_t baseline = {};
	wl_interference_shares_t average = {};

	wl_interference_init(&interference);
	average.by_image[HEAVY] = 0.5;
	for (uint64_t i = 1; i < 50; i++)
		wl_interference_update(&interference, &baseline, USERS, &average,
				       i % 2 ? 2.0 : 0.01, i * WL_NS_PER_S);
	EXPECT_LE(baseline.headroom, 2.0);
	EXPECT_GE(wl_interference_weight(&interference, USERS, HEAVY), 0);
}

TEST(Throttle, ServingTasksStayWithinTheirBoundAndWorkProgresses)
{
	Result none = simulate_all(no_control);
	Result stopped = simulate_all(stop_near_bound);
	Result throttled = simulate_all(throttle_by_headroom);

	EXPECT_LT(throttled.over_s, none.over_s / 3);
	EXPECT_LT(throttled.over_s, stopped.over_s);
	EXPECT_GT(throttled.done, none.done / 2);
}

TEST(Throttle, HeaviestRunIsThrottledFirst)
{
	wl_interference_t interference;
	wl_throttle_serving_t serving = {USERS, 1.6};
	wl_throttle_run_t runs[] = {{LIGHT, 0.1, 0, false}, {HEAVY, 0.1, 0, false}};

	wl_interference_init(&interference);
	interference.pairs[USERS][LIGHT].weight = 1;
	interference.pairs[USERS][HEAVY].weight = 8;
	wl_throttle_choose(&interference, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 100u);
	EXPECT_LT(runs[1].percent, 50u);
	EXPECT_GT(runs[1].percent, 0u);
}

TEST(Throttle, BestEffortStopsBesideATaskWithoutHeadroom)
{
	wl_interference_t interference;
	wl_throttle_serving_t serving = {USERS, 0.8};
	wl_throttle_run_t runs[] = {{LIGHT, 0.1, 0, false}, {HEAVY, 0.1, 0, false}};

	wl_interference_init(&interference);
	wl_throttle_choose(&interference, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 0u);
	EXPECT_EQ(runs[1].percent, 0u);
}

TEST(Throttle, BackgroundIsSlowedFirstAndLeavesAMargin)
{
	wl_interference_t interference;
	wl_throttle_serving_t serving = {USERS, 1.6};
	wl_throttle_run_t runs[] = {{LIGHT, 0.1, 0, true}, {HEAVY, 0.1, 0, false}};

	wl_interference_init(&interference);
	interference.pairs[USERS][LIGHT].weight = 1;
	interference.pairs[USERS][HEAVY].weight = 3.5;
	wl_throttle_choose(&interference, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 10u);
	EXPECT_EQ(runs[1].percent, 100u);
	serving.headroom = 1.5;
	wl_throttle_choose(&interference, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 0u);
	EXPECT_LT(runs[1].percent, 100u);
	serving.headroom = 2.2;
	wl_throttle_choose(&interference, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 100u);
}

TEST(Throttle, WithoutServingTasksAllRunAtFullSpeed)
{
	wl_interference_t interference;
	wl_throttle_run_t runs[] = {{HEAVY, 1, 0, false}};

	wl_interference_init(&interference);
	wl_throttle_choose(&interference, nullptr, 0, runs, 1);
	EXPECT_EQ(runs[0].percent, 100u);
}
