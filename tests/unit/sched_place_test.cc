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
 * Placement against an oracle: each start must go to the first of the targets with the highest
 * score among all on which the task fits, asked anew for each task, and what waits fits nowhere.
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
			target.fit.capacity.memory_mib = state->report.memory_mib;
		}
	}

	void play()
	{
		for (int i = 0; i < JOBS; i++) {
			hand_in("j" + std::to_string(i));
			if (random() % 3 == 0)
				look();
		}
		look();
	}

	std::map<std::string, int> seen; /* starts by shape */
	int waited = 0;			 /* steps found to fit nowhere */

      private:
	static std::string name_of(int i)
	{
		return "i-" + std::to_string(100 + i);
	}

	void hand_in(const std::string &id)
	{
		static const char *const shapes[] = {"plain", "gang",	 "rack",
						     "limit", "lasting", "best-effort"};
		std::string shape = shapes[random() % 6];
		wl_step_spec_t *step = rig.job("q", id, {1 + random() % 12});
		std::string image = "m" + std::to_string(random() % 3);

		step->cpu_millis = 1000 * (1 + random() % 8);
		step->memory_mib = 10;
		wl_buf_set(&step->image, str(image));
		step->gang = shape == "gang";
		step->same_rack = shape == "rack";
		step->max_per_target = shape == "limit" ? 1 + random() % 2 : 0;
		step->long_running = shape == "lasting";
		step->tail_target_us = step->long_running ? 100000 : 0;
		step->best_effort = shape == "best-effort";
		if (random() % 4 == 0)
			wl_buf_set(&step->data_rack, str("r" + std::to_string(random() % RACKS)));
		shape_of[id] = shape;
		rig.hand_in();
	}

	void look()
	{
		rig.pass(10);
		rig.commit();
		rig.pass(10);
		rig.commit();
		for (const SchedOrder &start : rig.take(WL_ORDER_START))
			start_check(start, start.task.substr(0, start.task.find('.')));
		for (const auto &[job, shape] : shape_of)
			rest_check(job, shape);
	}

	/* What still waits fits nowhere; a gang waits for all its members. */
	void rest_check(const std::string &job, const std::string &shape)
	{
		const wl_step_spec_t *step = wl_job_step(rig.find(job), 0);

		if (shape == "gang" || started[job] == step->count)
			return;
		ASSERT_EQ(best_for(step, job), -1) << job << " " << shape;
		waited++;
	}

	void ask(Target &target, const wl_step_spec_t *step, const std::string &job)
	{
		target.fit.same_step = target.tasks[job];
		target.fit.other_image_millis = 0;
		for (const auto &[image, millis] : target.serving_millis)
			if (step->long_running && image != text(step->image))
				target.fit.other_image_millis += millis;
	}

	int best_for(const wl_step_spec_t *step, const std::string &job)
	{
		wl_fit_question_t question = {step, targets[0].fit.service,
					      step->gang ? wl_str_t{} : str(rack_of[job]), 0};
		int best = -1;
		int64_t best_score = 0;

		for (int i = 0; i < TARGETS; i++) {
			int64_t score;

			ask(targets[i], step, job);
			if (!wl_fit_fits(&question, &targets[i].fit))
				continue;
			score = wl_fit_policy_find({})->score(&question, &targets[i].fit);
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
		seen[shape_of[job]]++;
	}

	void start_add(Target &target, const wl_step_spec_t *step, const std::string &job)
	{
		uint64_t cpu = step->cpu_millis;

		target.fit.used.memory_mib += step->memory_mib;
		target.fit.used.cpu_millis += step->best_effort ? 0 : cpu;
		target.fit.best_effort_millis += step->best_effort ? cpu : 0;
		target.fit.serving += step->long_running;
		target.fit.serving_millis += step->long_running ? cpu : 0;
		target.serving_millis[text(step->image)] += step->long_running ? cpu : 0;
		target.tasks[job]++;
		if (rack_of[job].empty())
			rack_of[job] = target.rack;
	}

	std::mt19937 random;
	SchedRig rig;
	std::vector<Target> targets;
	std::map<std::string, std::string> shape_of;
	std::map<std::string, uint64_t> started;
	std::map<std::string, std::string> rack_of; /* of a job's first task */
};
} // namespace

TEST(Place, EachTaskGoesToTheBestTargetOfThatMoment)
{
	std::map<std::string, int> seen;
	int waited = 0;

	for (unsigned int seed = 1; seed <= 200; seed++) {
		Placement placement(seed);

		placement.play();
		ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed;
		for (const auto &[shape, count] : placement.seen)
			seen[shape] += count;
		waited += placement.waited;
	}
	EXPECT_GT(waited, 100);
	for (const char *shape : {"plain", "gang", "rack", "limit", "lasting", "best-effort"})
		EXPECT_GT(seen[shape], 100) << shape;
}
