extern "C" {
#include <libwlbase/units.h>
#include <libwlcore/sched/pace.h>
}

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include <gtest/gtest.h>

/*
 * Best-effort work beside tasks that serve users, played on a target whose
 * tails follow 1 / (1 - utilization): load swings within tens of seconds,
 * pairs of images disturb each other a little or much, figures are rough and
 * average over the last half second.
 */

namespace
{
constexpr unsigned int USERS = 0;
constexpr unsigned int CALM = 1;
constexpr unsigned int HEAVY = 2;
constexpr double BOUND = 5.0; /* of the tail of an idle server */
constexpr double CALM_PRESS = 0.5;
constexpr double HEAVY_PRESS = 8.0;
constexpr uint64_t TICK_MS = 100;
constexpr uint64_t FIGURE_MS = 500;
constexpr double CORES = 32;

struct Filler {
	unsigned int image;
	double cores;
	double left_s;
	unsigned int percent;
};

struct Play {
	double over_s = 0; /* serving: over its bound, and not without the work beside it */
	double done = 0;   /* best effort: core-seconds */
};

wl_press_shares_t shares_of(const std::vector<Filler> &fillers)
{
	wl_press_shares_t shares = {};

	for (const Filler &filler : fillers)
		shares.of[filler.image] += filler.cores / CORES * filler.percent / WL_PACE_FULL;
	return shares;
}

double pressed(const wl_press_shares_t &shares)
{
	return shares.of[CALM] * CALM_PRESS + shares.of[HEAVY] * HEAVY_PRESS;
}

typedef void (*control_t)(const wl_press_t *press, const wl_press_level_t *level, double figure,
			  std::vector<Filler> *fillers);

void no_control(const wl_press_t *, const wl_press_level_t *, double, std::vector<Filler> *)
{
}

/* The baseline: the work is stopped, and comes back a second later, once the tail is near its
 * bound.
 */
void stop_near_bound(const wl_press_t *, const wl_press_level_t *, double figure,
		     std::vector<Filler> *fillers)
{
	for (Filler &filler : *fillers)
		filler.percent = figure < 1.05 ? 0 : WL_PACE_FULL;
}

void pace_by_headroom(const wl_press_t *press, const wl_press_level_t *level, double,
		      std::vector<Filler> *fillers)
{
	wl_pace_serving_t serving = {USERS, level->headroom};
	std::vector<wl_pace_run_t> runs;

	for (const Filler &filler : *fillers)
		runs.push_back({filler.image, filler.cores / CORES, 0});
	wl_pace_choose(press, &serving, 1, runs.data(), runs.size());
	for (size_t i = 0; i < runs.size(); i++)
		(*fillers)[i].percent = runs[i].percent;
}

Play play(control_t control, unsigned int seed, wl_press_t *press)
{
	std::mt19937 random(seed);
	std::uniform_real_distribution<double> unit(0, 1);
	std::vector<Filler> fillers;
	wl_press_level_t level = {};
	wl_press_shares_t window = {};
	double phase = unit(random) * 20;
	Play result;

	wl_press_init(press);
	for (uint64_t now = TICK_MS; now < 120000; now += TICK_MS) {
		double load = 0.45 * (1 + 0.5 * std::sin(2 * M_PI * (now / 1000.0 + phase) / 20));
		double alone = BOUND * (1 - load);

		while (fillers.size() < 4)
			fillers.push_back({unit(random) < 0.5 ? CALM : HEAVY, 2 + 4 * unit(random),
					   1 + 2 * unit(random), WL_PACE_FULL});
		wl_press_shares_t shares = shares_of(fillers);
		double headroom = alone - pressed(shares);

		wl_press_window(&window, &shares, TICK_MS * WL_NS_PER_MS);
		result.over_s += headroom < 1 && alone >= 1 ? TICK_MS / 1000.0 : 0;
		for (Filler &filler : fillers) {
			double seconds = TICK_MS / 1000.0 * filler.percent / WL_PACE_FULL;

			filler.left_s -= seconds;
			result.done += seconds * filler.cores;
		}
		fillers.erase(std::remove_if(fillers.begin(), fillers.end(),
					     [](const Filler &f) { return f.left_s <= 0; }),
			      fillers.end());
		if (now % FIGURE_MS)
			continue;
		double figure =
			std::max(0.05, alone - pressed(window)) * (0.95 + 0.1 * unit(random));
		wl_press_learn(press, &level, USERS, &window, figure, now * WL_NS_PER_MS);
		control(press, &level, figure, &fillers);
	}
	return result;
}

Play play_all(control_t control)
{
	Play sum;
	wl_press_t press;

	for (unsigned int seed = 1; seed <= 10; seed++) {
		Play one = play(control, seed, &press);

		sum.over_s += one.over_s;
		sum.done += one.done;
	}
	return sum;
}
} // namespace

TEST(Press, CalmImagesAreToldFromHeavyOnes)
{
	wl_press_t press;

	play(no_control, 1, &press);
	EXPECT_NEAR(wl_press_weight(&press, USERS, HEAVY), HEAVY_PRESS, 3);
	EXPECT_NEAR(wl_press_weight(&press, USERS, CALM), CALM_PRESS, 2);
	EXPECT_EQ(wl_press_weight(&press, HEAVY, USERS), wl_press_weight(&press, CALM, USERS))
		<< "nothing was seen of either";
}

TEST(Press, LevelNeverPassesWhatWasSeen)
{
	wl_press_t press;
	wl_press_level_t level = {};
	wl_press_shares_t window = {};

	wl_press_init(&press);
	window.of[HEAVY] = 0.5;
	for (uint64_t i = 1; i < 50; i++)
		wl_press_learn(&press, &level, USERS, &window, i % 2 ? 2.0 : 0.01, i * WL_NS_PER_S);
	EXPECT_LE(level.headroom, 2.0);
	EXPECT_GE(wl_press_weight(&press, USERS, HEAVY), 0);
}

TEST(Pace, ServingTasksStayWithinTheirBoundAndWorkGoesOn)
{
	Play none = play_all(no_control);
	Play stopped = play_all(stop_near_bound);
	Play paced = play_all(pace_by_headroom);

	EXPECT_LT(paced.over_s, none.over_s / 3);
	EXPECT_LT(paced.over_s, stopped.over_s);
	EXPECT_GT(paced.done, none.done / 2);
}

TEST(Pace, WhatTakesMostHeadroomIsSlowedFirst)
{
	wl_press_t press;
	wl_pace_serving_t serving = {USERS, 1.6};
	wl_pace_run_t runs[] = {{CALM, 0.1, 0}, {HEAVY, 0.1, 0}};

	wl_press_init(&press);
	press.pairs[USERS][CALM].weight = 1;
	press.pairs[USERS][HEAVY].weight = 8;
	wl_pace_choose(&press, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 100u);
	EXPECT_LT(runs[1].percent, 50u);
	EXPECT_GT(runs[1].percent, 0u);
}

TEST(Pace, NothingRunsBesideATaskWithoutHeadroom)
{
	wl_press_t press;
	wl_pace_serving_t serving = {USERS, 0.8};
	wl_pace_run_t runs[] = {{CALM, 0.1, 0}, {HEAVY, 0.1, 0}};

	wl_press_init(&press);
	wl_pace_choose(&press, &serving, 1, runs, 2);
	EXPECT_EQ(runs[0].percent, 0u);
	EXPECT_EQ(runs[1].percent, 0u);
}

TEST(Pace, WithoutServingTasksAllRunAtFullSpeed)
{
	wl_press_t press;
	wl_pace_run_t runs[] = {{HEAVY, 1, 0}};

	wl_press_init(&press);
	wl_pace_choose(&press, nullptr, 0, runs, 1);
	EXPECT_EQ(runs[0].percent, 100u);
}
