#include "../support/sched_rig.h"

extern "C" {
#include <libwlcore/sched/fit.h>
}

#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

/*
 * Placement against a reference model. Each start must go to the first of the targets with
 * the highest score among all on which the task fits, evaluated again for each task, and
 * pending tasks must fit on no target.
 */

namespace
{
constexpr int TARGETS = 12;
constexpr int RACKS = 4;
constexpr int JOBS = 40;

struct Target {
	wl_fit_runner_t fit = {};
	std::string rack;
	std::map<std::string, uint64_t> serving_millis; /* by image */
	std::map<std::string, uint64_t> tasks;		/* by job */
};

std::string text(const wl_buf_t &buf)
{
	return {buf.at ? buf.at : "", buf.len};
}

wl_str_t str(const std::string &s)
{
	return {s.data(), s.size()};
}

class Placement
{
      public:
	explicit Placement(unsigned int seed) : random(seed), targets(TARGETS)
	{
		rig.configure("q");
		for (int i = 0; i < TARGETS; i++) {
			Target &target = targets[i];

			target.rack = "r" + std::to_string(i % RACKS);
			target.fit.capacity.cpu_millis = 24000 + 8000 * (random() % 2);
			rig.runner(name_of(i), target.fit.capacity.cpu_millis, 1, target.rack);
		}
		for (int i = 0; i < TARGETS; i++) {
			const wl_runner_t *state = wl_jobs_runner(rig.jobs, str(name_of(i)));
			Target &target = targets[i];

			target.fit.usable = true;
			target.fit.service = wl_buf_str(&state->report.service);
			target.fit.rack = str(target.rack);
			target.fit.labels = &state->report.labels;
			target.fit.capacity.memory_mib = state->report.memory_mib;
		}
	}

	void simulate()
	{
		for (int i = 0; i < JOBS; i++) {
			submit("j" + std::to_string(i));
			if (random() % 3 == 0)
				placement_pass();
		}
		placement_pass();
	}

	std::map<std::string, int> starts_by_shape; /* by shape of the job */
	/* number of checks that found a step with pending tasks */
	int unplaced = 0;

      private:
	static std::string name_of(int i)
	{
		return "i-" + std::to_string(100 + i);
	}

	void submit(const std::string &id)
	{
		static const char *const shapes[] = {"plain",	    "gang",	 "rack",
						     "limit",	    "label",	 "lasting",
						     "best-effort", "label-gang"};
		std::string shape = shapes[random() % 8];
		wl_step_spec_t *step = rig.job("q", id, {1 + random() % 12});
		std::string image = "m" + std::to_string(random() % 3);

		step->cpu_millis = 1000 * (1 + random() % 8);
		step->memory_mib = 10;
		wl_buf_set(&step->image, str(image));
		step->gang = shape == "gang" || shape == "label-gang";
		if (shape == "label" || shape == "label-gang")
			wl_buf_set(&step->label, str("r" + std::to_string(random() % (RACKS + 1))));
		step->same_rack = shape == "rack";
		step->max_per_target = shape == "limit" ? 1 + random() % 2 : 0;
		step->lasting = shape == "lasting";
		step->tail_target_us = step->lasting ? 100000 : 0;
		step->best_effort = shape == "best-effort";
		if (random() % 4 == 0)
			wl_buf_set(&step->data_rack, str("r" + std::to_string(random() % RACKS)));
		shape_of[id] = shape;
		rig.submit();
	}

	void placement_pass()
	{
		rig.advance(10);
		rig.commit();
		rig.advance(10);
		rig.commit();
		for (const SchedOrder &start : rig.take_orders(WL_ORDER_START))
			start_check(start, start.task.substr(0, start.task.find('.')));
		for (const auto &[job, shape] : shape_of)
			pending_check(job, shape);
	}

	/* How many tasks of a step that is not best-effort fit at the same time. */
	uint64_t room_for(const wl_step_spec_t *step, const std::string &job)
	{
		wl_fit_request_t request = {step, targets[0].fit.service, {}, 0, false};
		uint64_t room = 0;

		for (Target &target : targets) {
			wl_fit_runner_t after = target.fit;

			after.same_step = target.tasks[job];
			while (wl_fit_fits(&request, &after)) {
				after.used.cpu_millis += step->cpu_millis;
				after.used.memory_mib += step->memory_mib;
				room++;
			}
		}
		return room;
	}

	/* Pending tasks fit on no target, and gangs have no room for all members. */
	void pending_check(const std::string &job, const std::string &shape)
	{
		const wl_step_spec_t *step = wl_job_step(rig.find(job), 0);

		if (started[job] == step->count)
			return;
		if (step->gang)
			ASSERT_LT(room_for(step, job), step->count) << job << " " << shape;
		else
			ASSERT_EQ(best_for(step, job), -1) << job << " " << shape;
		unplaced++;
	}

	void request_prepare(Target &target, const wl_step_spec_t *step, const std::string &job)
	{
		target.fit.same_step = target.tasks[job];
		target.fit.other_image_millis = 0;
		for (const auto &[image, millis] : target.serving_millis)
			if (step->lasting && image != text(step->image))
				target.fit.other_image_millis += millis;
	}

	int best_for(const wl_step_spec_t *step, const std::string &job)
	{
		wl_fit_request_t request = {step, targets[0].fit.service,
					    step->gang ? wl_str_t{} : str(rack_of[job]), 0, false};
		int best = -1;
		int64_t best_score = 0;

		for (int i = 0; i < TARGETS; i++) {
			int64_t score;

			request_prepare(targets[i], step, job);
			if (!wl_fit_fits(&request, &targets[i].fit))
				continue;
			score = wl_fit_policy_find({})->score(&request, &targets[i].fit);
			if (best >= 0 && score <= best_score)
				continue;
			best = i;
			best_score = score;
		}
		return best;
	}

	void start_check(const SchedOrder &start, const std::string &job)
	{
		const wl_step_spec_t *step = wl_job_step(rig.find(job), 0);
		int best = best_for(step, job);

		ASSERT_GE(best, 0) << start.task;
		ASSERT_EQ(start.runner, name_of(best)) << start.task << " " << shape_of[job];
		start_add(targets[best], step, job);
		started[job]++;
		starts_by_shape[shape_of[job]]++;
	}

	void start_add(Target &target, const wl_step_spec_t *step, const std::string &job)
	{
		uint64_t cpu = step->cpu_millis;

		target.fit.used.memory_mib += step->memory_mib;
		target.fit.used.cpu_millis += step->best_effort ? 0 : cpu;
		target.fit.best_effort_millis += step->best_effort ? cpu : 0;
		target.fit.serving += step->lasting;
		target.fit.serving_millis += step->lasting ? cpu : 0;
		target.serving_millis[text(step->image)] += step->lasting ? cpu : 0;
		target.tasks[job]++;
		if (rack_of[job].empty())
			rack_of[job] = target.rack;
	}

	std::mt19937 random;
	SchedRig rig;
	std::vector<Target> targets;
	std::map<std::string, std::string> shape_of;
	std::map<std::string, uint64_t> started;
	std::map<std::string, std::string> rack_of; /* of the job's first task */
};
} // namespace

TEST(Place, EachTaskGoesToTheBestTargetOfThatMoment)
{
	std::map<std::string, int> starts_by_shape;
	int unplaced = 0;

	for (unsigned int seed = 1; seed <= 200; seed++) {
		Placement placement(seed);

		placement.simulate();
		ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed;
		for (const auto &[shape, count] : placement.starts_by_shape)
			starts_by_shape[shape] += count;
		unplaced += placement.unplaced;
	}
	EXPECT_GT(unplaced, 100);
	for (const char *shape :
	     {"plain", "gang", "rack", "limit", "label", "lasting", "best-effort", "label-gang"})
		EXPECT_GT(starts_by_shape[shape], 100) << shape;
}

/*
 * On a large fleet, best-effort work of many images that fits nowhere must not delay tasks with
 * reserved CPU: they are placed at the next tick.
 */
TEST(Place, ReservedTasksDoNotWaitForTheChecksOfBestEffortWork)
{
	const size_t targets = 1800;
	const size_t images = 30;
	const uint64_t wait_max_ms = 10;
	SchedRig rig;
	uint64_t waited_ms = 0;

	rig.configure("q");
	for (size_t i = 0; i < targets; i++)
		rig.runner("i-" + std::to_string(i));
	for (size_t i = 0; i < images; i++) {
		wl_step_spec_t *step = rig.job("q", "b" + std::to_string(i), {1});

		step->best_effort = true;
		step->cpu_millis = 40000;
		wl_buf_set(&step->image, wl_str_from(("m" + std::to_string(i)).c_str()));
		rig.submit();
	}
	rig.commit();
	rig.advance(10); /* a pass checks all of them */
	ASSERT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.job("q", "r", {1});
	rig.submit();
	rig.commit();
	while (rig.take_orders(WL_ORDER_START).empty() && waited_ms < 1000) {
		rig.advance(10);
		rig.commit();
		waited_ms += 10;
	}
	EXPECT_LE(waited_ms, wait_max_ms);
}

/*
 * A burst that would take one pass for longer than heartbeats can wait is placed by several, with
 * other events between them.
 */
TEST(Place, ABurstOfJobsIsPlacedInSeveralPasses)
{
	const uint64_t targets = 1000;
	const uint64_t jobs = 2000;
	const uint64_t checks_max = 500000 + targets; /* 25 ms by estimate, and the last job */
	const int ticks_max = 8;
	SchedRig rig;
	uint64_t before = 0;
	size_t started = 0;
	int ticks = 0;

	rig.configure("q");
	for (uint64_t i = 0; i < targets; i++)
		rig.runner("i-" + std::to_string(i));
	for (uint64_t i = 0; i < jobs; i++) {
		rig.job("q", "j" + std::to_string(i), {1});
		rig.submit();
	}
	while (started < jobs && ticks < ticks_max) {
		rig.advance(10);
		ticks++;
		uint64_t checks = std::stoul(rig.metric("wisterialead_job_target_checks_total{}"));
		EXPECT_LE(checks - before, checks_max) << "tick " << ticks;
		before = checks;
		rig.commit();
		for (const auto &start : rig.take_orders(WL_ORDER_START)) {
			rig.answer(start, WL_ORDER_DONE); /* only so many may be in flight */
			started++;
		}
	}
	EXPECT_EQ(started, jobs) << "in " << ticks << " ticks";
}

namespace
{
constexpr uint64_t READING_NS = 500000; /* each reading of the clock finds it later by this */
uint64_t cost_ns;

uint64_t cost_clock_ns(void)
{
	cost_ns += READING_NS;
	return cost_ns;
}
} // namespace

/* Guards against passes that leave a busy leader no time for its heartbeats. */
TEST(Place, PassesTakeHalfOfTheTimeThatIsMeasured)
{
	const uint64_t jobs = 200;
	const uint64_t pass_max = 25 * 1000000 / READING_NS + 1;
	const uint64_t ticks_max = 2 * jobs * READING_NS * 2 / 10000000 + 10;
	SchedRig rig("", cost_clock_ns);
	uint64_t pause_ticks = 0;
	size_t started = 0;
	uint64_t ticks = 0;

	rig.configure("q");
	for (int i = 0; i < 10; i++)
		rig.runner("i-" + std::to_string(i));
	rig.hold_commits = true;
	for (uint64_t i = 0; i < jobs; i++) {
		rig.job("q", "j" + std::to_string(i), {1});
		rig.submit();
	}
	for (; started < jobs && ticks < ticks_max; ticks++) {
		rig.advance(10);
		rig.commit();
		size_t now = rig.take_orders(WL_ORDER_START).size();
		EXPECT_LE(now, pass_max);
		pause_ticks += now == 0;
		started += now;
	}
	EXPECT_EQ(started, jobs) << "in " << ticks << " ticks";
	EXPECT_GE(pause_ticks, 2u);
}

/* A task that fits on no target of its service says nothing of the targets of another one. */
TEST(Place, TasksOfAnotherServiceAreNotHeldUpByAMiss)
{
	SchedRig rig;
	std::vector<SchedOrder> starts;

	rig.configure("full", 0);
	rig.runner("i-1", 8000);
	rig.service = "other";
	rig.configure("free", 1);
	rig.runner("i-2", 8000);
	rig.job("full", "a", {2})->cpu_millis = 6000; /* one of them fits */
	rig.submit();
	rig.commit();
	rig.advance(10);
	rig.commit();
	ASSERT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
	rig.job("free", "b", {1})->cpu_millis = 6000;
	rig.submit();
	rig.commit();
	rig.advance(10);
	rig.commit();
	starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].runner, "i-2");
}

namespace
{
constexpr uint64_t BOUND_MS = 125;
constexpr uint64_t TAIL_MS = 100; /* 800 permille of the bound */

void best_effort_submit(SchedRig &rig, const std::string &queue, const std::string &id)
{
	wl_step_spec_t *step = rig.job(queue, id, {1});

	step->best_effort = true;
	step->cpu_millis = 32; /* takes almost no headroom */
	step->memory_mib = 2000;
	wl_buf_set(&step->image, WL_STR("b"));
	rig.submit();
}
} // namespace

/*
 * The forecast up to which a best-effort task is placed rises while it waits: one that has just
 * arrived, and misses it, must not hold up one of the same image that has waited.
 */
TEST(Place, BestEffortWorkThatHasWaitedIsNotHeldUpByAMissOfFreshWork)
{
	const uint64_t waited_ms = 900; /* less than what makes a job stalled */
	SchedRig rig;
	std::vector<SchedOrder> starts;
	wl_step_spec_t *step;
	SchedOrder renewal;

	rig.configure("users");
	rig.configure("fresh", 1);
	rig.configure("old", 2);
	rig.runner("i-1");
	step = rig.job("users", "serve", {1});
	step->lasting = true;
	step->cpu_millis = 4000;
	step->tail_target_us = BOUND_MS * 1000;
	rig.submit();
	rig.job("users", "fill", {1})->memory_mib = rig.memory_mib - 1000;
	rig.submit();
	rig.commit();
	rig.advance(10);
	rig.commit();
	starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 2u);
	if (starts[0].task.rfind("serve", 0) != 0)
		std::swap(starts[0], starts[1]);
	for (const SchedOrder &start : starts)
		rig.answer(start, WL_ORDER_DONE);
	rig.answer_hold(rig.next_renewal(),
			{SchedRig::view(starts[0], TAIL_MS), SchedRig::view(starts[1])}, {});
	renewal = rig.next_renewal();
	best_effort_submit(rig, "old", "o");
	rig.commit();
	for (uint64_t ms = 0; ms < waited_ms; ms += 10) {
		rig.advance(10);
		rig.commit();
	}
	ASSERT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	best_effort_submit(rig, "fresh", "f");
	rig.commit();
	rig.answer_hold(renewal, {SchedRig::view(starts[0], TAIL_MS)},
			{SchedRig::end(starts[1], 1, WL_END_DONE)});
	rig.commit();
	rig.advance(10);
	rig.commit();
	starts = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts.size(), 1u);
	EXPECT_EQ(starts[0].task, "o.0.0.0");
}
