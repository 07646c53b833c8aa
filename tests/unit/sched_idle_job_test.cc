#include "../support/sched_rig.h"

#include <map>

#include <gtest/gtest.h>

/*
 * A few targets, each with one task that serves users, and best-effort jobs that the forecast of
 * its tail latency forbids there. An accepted job must get a task at work all the same.
 */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t TICK_MS = 10;
constexpr uint64_t CPU = 32000;
constexpr uint64_t BOUND_MS = 125;
constexpr uint64_t CROWDED_TAIL_MS = 120; /* forbids best-effort work however long it waits */
constexpr uint64_t RELAXED_TAIL_MS = 30;
constexpr uint64_t LOW_TAIL_MS = 10; /* permits best-effort work on all CPU */
constexpr uint64_t STALLED_MAX_MS = 3000;

struct Start {
	SchedOrder order;
	uint64_t at_ms;
};

class Crowd
{
      public:
	explicit Crowd(const std::vector<uint64_t> &tails)
	{
		rig.configure("users");
		rig.configure("batch", 2);
		rig.configure("plain", 3);
		for (size_t i = 0; i < tails.size(); i++) {
			std::string id = "i-" + std::to_string(100 + i);

			targets[id].tail_ms = tails[i];
			rig.runner(id, CPU);
		}
		wl_step_spec_t *step = rig.job("users", "serve", {tails.size()});

		step->lasting = true;
		step->max_per_target = 1;
		step->cpu_millis = 4000;
		step->tail_target_us = BOUND_MS * 1000;
		rig.submit();
		simulate(3000);
	}

	wl_step_spec_t *best_effort(const std::string &id, uint64_t count, uint64_t cpu)
	{
		wl_step_spec_t *step = rig.job("batch", id, {count});

		step->cpu_millis = cpu;
		step->best_effort = true;
		step->estimated_ms = 2000;
		wl_buf_set(&step->image, WL_STR("m"));
		return step;
	}

	void simulate(uint64_t ms)
	{
		for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
			report();
			rig.advance(TICK_MS);
			rig.commit();
			for (const auto &start : rig.take_orders(WL_ORDER_START))
				begin(start);
			for (const auto &order : rig.take_orders(WL_ORDER_THROTTLE)) {
				speeds.push_back(order.percent);
				rig.answer(order, WL_ORDER_DONE);
			}
			for (const auto &order : rig.take_orders(WL_ORDER_STOP))
				stop(order);
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
				targets[order.runner].renewal = {order};
			for (auto &target : targets)
				renew(target.second);
			rig.commit();
		}
	}

	/* Starts of a job's tasks. */
	std::vector<Start> starts_of(const std::string &job) const
	{
		std::vector<Start> found;

		for (const auto &start : starts)
			if (start.order.task.compare(0, job.size() + 1, job + ".") == 0)
				found.push_back(start);
		return found;
	}

	/* Sets the tail latency of the tasks that serve users, and forgets the speeds. */
	void tails_set(uint64_t tail_ms)
	{
		for (auto &target : targets)
			target.second.tail_ms = tail_ms;
		speeds.clear();
	}

	uint64_t now_ms() const
	{
		return rig.now / MS;
	}

	SchedRig rig;
	bool changing = false; /* capacities change ten times a second, so that passes are due */
	size_t refusals = 0;   /* best-effort starts to refuse */
	std::vector<uint64_t> speeds; /* ordered, percent */

      private:
	struct Target {
		uint64_t tail_ms;
		std::vector<SchedOrder> runs;
		std::vector<SchedOrder> stopped;
		std::vector<SchedOrder> renewal;
	};

	void report()
	{
		if (now_ms() - reported_ms < (changing ? 100 : 1000))
			return;
		reported_ms = now_ms();
		changes += changing;
		for (const auto &target : targets)
			rig.runner(target.first, CPU + changes % 2);
	}

	void begin(const SchedOrder &start)
	{
		bool serving = start.task.compare(0, 6, "serve.") == 0;

		starts.push_back({start, now_ms()});
		if (!serving && refusals > 0) {
			refusals--;
			rig.answer(start, WL_ORDER_NO_CAPACITY);
			return;
		}
		targets[start.runner].runs.push_back(start);
		rig.answer(start, WL_ORDER_DONE);
	}

	void stop(const SchedOrder &order)
	{
		Target &target = targets[order.runner];

		for (size_t i = target.runs.size(); i-- > 0;) {
			if (target.runs[i].task != order.task || target.runs[i].run != order.run)
				continue;
			target.stopped.push_back(target.runs[i]);
			target.runs.erase(target.runs.begin() + static_cast<long>(i));
		}
		rig.answer(order, WL_ORDER_DONE);
	}

	void renew(Target &target)
	{
		std::vector<wl_run_view_t> views;
		std::vector<wl_end_view_t> ends;

		if (target.renewal.empty() || now_ms() % 500 != 0)
			return;
		for (const auto &run : target.runs)
			views.push_back(SchedRig::view(
				run, run.task.compare(0, 6, "serve.") == 0 ? target.tail_ms : 0));
		for (size_t i = 0; i < target.stopped.size(); i++)
			ends.push_back(SchedRig::end(target.stopped[i], i + 1, WL_END_STOPPED));
		SchedOrder renewal = target.renewal[0];

		target.renewal.clear();
		rig.answer_hold(renewal, views, ends);
	}

	std::map<std::string, Target> targets;
	std::vector<Start> starts;
	uint64_t reported_ms = 0;
	uint64_t changes = 0;
};
} // namespace

TEST(SchedIdleJob, StartsAtOnceWhereTheForecastPermitsIt)
{
	Crowd crowd({CROWDED_TAIL_MS, RELAXED_TAIL_MS});

	crowd.best_effort("j", 1, 6000);
	crowd.rig.submit();
	crowd.simulate(100);
	EXPECT_EQ(crowd.starts_of("j").size(), 1u);
}

/* Nothing else happens in the fleet, as at the end of a day. */
TEST(SchedIdleJob, IsAtWorkInAQuietFleet)
{
	Crowd crowd({CROWDED_TAIL_MS, CROWDED_TAIL_MS});

	crowd.best_effort("j", 1, 6000);
	crowd.rig.submit();
	crowd.simulate(STALLED_MAX_MS);
	EXPECT_FALSE(crowd.starts_of("j").empty());
}

TEST(SchedIdleJob, RefusedStartIsNoWork)
{
	Crowd crowd({CROWDED_TAIL_MS, CROWDED_TAIL_MS});
	uint64_t since_ms;

	crowd.changing = true;
	crowd.refusals = 1;
	crowd.best_effort("j", 1, 6000);
	crowd.rig.submit();
	since_ms = crowd.now_ms();
	crowd.simulate(2 * STALLED_MAX_MS);
	ASSERT_GE(crowd.starts_of("j").size(), 2u);
	EXPECT_LE(crowd.starts_of("j")[1].at_ms - since_ms, STALLED_MAX_MS);
}

TEST(SchedIdleJob, GangOfWhichOneMemberFitsIsNotAtWork)
{
	Crowd crowd({RELAXED_TAIL_MS, CROWDED_TAIL_MS, CROWDED_TAIL_MS});

	crowd.changing = true;
	wl_step_spec_t *step = crowd.best_effort("j", 3, 6000);

	step->gang = true;
	step->max_per_target = 1;
	crowd.rig.submit();
	crowd.simulate(STALLED_MAX_MS);
	EXPECT_EQ(crowd.starts_of("j").size(), 3u);
}

TEST(SchedIdleJob, OccurrencesThatOpenAreNoWork)
{
	Crowd crowd({CROWDED_TAIL_MS, CROWDED_TAIL_MS});

	crowd.changing = true;
	crowd.best_effort("j", 1, 6000);
	crowd.rig.repeat(20, 1500);
	crowd.rig.submit();
	crowd.simulate(2 * STALLED_MAX_MS);
	EXPECT_FALSE(crowd.starts_of("j").empty());
}

/* Idle jobs that have no capacity hold nobody up. */
TEST(SchedIdleJob, ManyWithoutCapacityHoldNobodyUp)
{
	Crowd crowd({CROWDED_TAIL_MS, CROWDED_TAIL_MS});

	for (size_t i = 0; i < 70; i++) {
		wl_step_spec_t *step = crowd.best_effort("large" + std::to_string(i), 1, CPU);

		step->memory_mib = 2 * crowd.rig.memory_mib;
		crowd.rig.submit();
	}
	crowd.simulate(STALLED_MAX_MS);
	crowd.rig.job("plain", "p", {1});
	crowd.rig.submit();
	crowd.best_effort("small", 1, 6000);
	crowd.rig.submit();
	crowd.changing = true;
	crowd.simulate(STALLED_MAX_MS);
	EXPECT_FALSE(crowd.starts_of("p").empty());
	EXPECT_FALSE(crowd.starts_of("small").empty());
}

/* Jobs that wait for a label hold nobody up. */
TEST(SchedIdleJob, ManyThatWaitForALabelHoldNobodyUp)
{
	Crowd crowd({CROWDED_TAIL_MS, CROWDED_TAIL_MS});

	for (size_t i = 0; i < 70; i++) {
		wl_step_spec_t *step = crowd.rig.job("batch", "label" + std::to_string(i), {1});

		wl_buf_set(&step->label, WL_STR("none"));
		crowd.rig.submit();
	}
	crowd.rig.job("plain", "p", {1});
	crowd.rig.submit();
	crowd.changing = true;
	crowd.simulate(STALLED_MAX_MS);
	EXPECT_FALSE(crowd.starts_of("p").empty());
}

/* Each lasting task has to run, whether others of its job run or not. */
TEST(SchedIdleJob, LastingTaskIsAtWorkBesideOthersOfItsJob)
{
	Crowd crowd({RELAXED_TAIL_MS, CROWDED_TAIL_MS});

	crowd.changing = true;
	wl_step_spec_t *step = crowd.best_effort("j", 2, 6000);

	step->lasting = true;
	step->max_per_target = 1;
	crowd.rig.submit();
	crowd.simulate(3 * STALLED_MAX_MS);
	EXPECT_GE(crowd.starts_of("j").size(), 2u);
}

/* The CPU of best-effort tasks does not count against the capacity of their target. */
TEST(SchedIdleJob, IsAtWorkWhereOthersUseAllCpu)
{
	Crowd crowd({LOW_TAIL_MS, LOW_TAIL_MS});

	crowd.changing = true;
	crowd.best_effort("fill", 6, 10000);
	crowd.rig.submit();
	crowd.simulate(1000);
	EXPECT_EQ(crowd.starts_of("fill").size(), 6u);
	crowd.best_effort("j", 1, 6000);
	crowd.rig.submit();
	crowd.simulate(STALLED_MAX_MS);
	EXPECT_FALSE(crowd.starts_of("j").empty());
}

/* What is known of the weight of its image may be wrong for several samples. */
TEST(SchedIdleJob, BackgroundStandsStillBesideATailOverItsBound)
{
	Crowd crowd({CROWDED_TAIL_MS});

	crowd.best_effort("j", 1, 6400);
	crowd.rig.submit();
	crowd.simulate(STALLED_MAX_MS);
	ASSERT_EQ(crowd.starts_of("j").size(), 1u);
	crowd.tails_set(RELAXED_TAIL_MS);
	crowd.simulate(2000);
	ASSERT_FALSE(crowd.speeds.empty());
	ASSERT_EQ(crowd.speeds.back(), 100u);
	crowd.tails_set(BOUND_MS * 5 / 4);
	crowd.simulate(1500);
	ASSERT_FALSE(crowd.speeds.empty());
	for (uint64_t percent : crowd.speeds)
		EXPECT_EQ(percent, 0u);
}
