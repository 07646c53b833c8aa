#include "../support/sched_rig.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include <gtest/gtest.h>

/*
 * More best-effort work than fits beside serving tasks. An accepted job must have a task at work
 * whenever capacity for it is free.
 */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t TICK_MS = 10;
constexpr size_t TARGETS = 48;
constexpr uint64_t TARGET_CPU = 32000;
constexpr uint64_t SERVING_CPU = 4000;
constexpr size_t SERVING_PER_TARGET = 2;
constexpr uint64_t BOUND_MS = 125; /* on the tail latency of serving tasks */
constexpr uint64_t STALLED_MAX_MS = 3000;
constexpr uint64_t HARM_MAX_MS = 4000; /* a serving task over its bound by others' doing */
constexpr uint64_t TASK_MS = 1900;
constexpr uint64_t SAVE_MS = 1000; /* interval of checkpoints */
constexpr uint64_t OBJECTIVE_MS = 1000;
constexpr uint64_t SLACK_MILLIS = 2000;
constexpr size_t IMAGES = 6;
constexpr size_t HEAVY_IMAGES = 3;
constexpr double HEAVY = 12; /* headroom that an image takes with a whole target */
constexpr double LIGHT = 1.5;

struct Result {
	size_t jobs = 0;
	size_t in_time = 0;
	uint64_t stalled_max_ms = 0; /* longest time without a task at work, beside free capacity */
	std::string stalled;
	uint64_t harm_max_ms = 0;
};

class ServingFleet
{
      public:
	ServingFleet()
	{
		rig.configure("users");
		rig.objective_ms = OBJECTIVE_MS;
		rig.slack_millis = SLACK_MILLIS;
		rig.configure("batch", 2);
		for (size_t i = 0; i < TARGETS; i++) {
			std::string id = "i-" + std::to_string(100 + i);
			Target &target = targets[id];

			target.headroom = 1.7 + 1.5 * static_cast<double>(i) / TARGETS;
			target.phase = static_cast<double>(i);
			rig.runner(id, TARGET_CPU);
		}
		for (size_t i = 0; i < SERVING_PER_TARGET; i++) {
			wl_step_spec_t *step =
				rig.job("users", "serve" + std::to_string(i), {TARGETS});

			step->lasting = true;
			step->max_per_target = 1;
			step->cpu_millis = SERVING_CPU;
			step->tail_target_us = BOUND_MS * 1000;
			rig.submit();
		}
		simulate(3000, 0);
	}

	Result overload(bool leader_changes)
	{
		simulate(20000, JOBS_PER_S);
		if (leader_changes) {
			rig.follow();
			rig.orders.clear();
			for (auto &target : targets)
				target.second.renewal.clear();
			rig.lead(2);
		}
		simulate(20000, JOBS_PER_S);
		simulate(14000, 0);
		return result;
	}

      private:
	static constexpr double JOBS_PER_S = 4;
	static constexpr uint64_t REPORT_MS = 1000;

	struct Run {
		SchedOrder start;
		std::string job;
		bool serving;
		uint64_t over_since_ns;
		uint64_t percent;
		uint64_t work; /* done, ms in hundredths */
	};

	struct End {
		SchedOrder start;
		uint64_t number;
		wl_run_outcome_t how;
	};

	struct Target {
		double headroom; /* mean, without best-effort work */
		double phase;
		std::vector<Run> runs;
		std::vector<End> ends; /* not acknowledged */
		uint64_t newest_end = 0;
		uint64_t newest_listed_end = 0;
		std::vector<SchedOrder> renewal; /* at most one */
		uint64_t renewal_ns = 0;
	};

	struct Job {
		uint64_t cpu;
		double weight;
		uint64_t submitted_ns;
		uint64_t allowed_ms;
		uint64_t idle_since_ns;
		uint64_t at_work;
		std::map<std::string, uint64_t> saved; /* by task: work, ms in hundredths */
	};

	void simulate(uint64_t ms, double jobs_per_s)
	{
		for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
			for (due += jobs_per_s * TICK_MS / 1000; due >= 1; due -= 1)
				submit();
			report();
			rig.advance(TICK_MS);
			rig.commit();
			orders_take();
			for (auto &target : targets)
				target_step(target.second);
			rig.commit();
			if (jobs_per_s > 0 || result.jobs > 0)
				jobs_check();
		}
	}

	/* Each target reports once a second. */
	void report()
	{
		if (rig.now - reported_ns < REPORT_MS * MS)
			return;
		reported_ns = rig.now;
		for (const auto &target : targets)
			rig.runner(target.first, TARGET_CPU);
	}

	void submit()
	{
		std::string id = "j" + std::to_string(result.jobs++);
		std::vector<uint64_t> counts(1 + random() % 3, 2 + random() % 12);
		wl_step_spec_t *steps = rig.job("batch", id, counts);
		size_t image = random() % IMAGES;
		uint64_t cpu = 2000 + random() % 5000;

		for (size_t i = 0; i < counts.size(); i++) {
			std::string name = "m" + std::to_string(image);

			steps[i].cpu_millis = cpu;
			steps[i].estimated_ms = TASK_MS;
			steps[i].best_effort = true;
			wl_buf_set(&steps[i].image, {name.data(), name.size()});
		}
		rig.submit();
		open[id] = {cpu,     image < HEAVY_IMAGES ? HEAVY : LIGHT,
			    rig.now, OBJECTIVE_MS + counts.size() * TASK_MS * SLACK_MILLIS / 1000,
			    rig.now, 0,
			    {}};
	}

	void orders_take()
	{
		for (const auto &start : rig.take_orders(WL_ORDER_START))
			begin(start);
		for (const auto &order : rig.take_orders(WL_ORDER_THROTTLE)) {
			if (Run *run = find(order))
				run->percent = order.percent;
			rig.answer(order, WL_ORDER_DONE);
		}
		for (const auto &order : rig.take_orders(WL_ORDER_STOP)) {
			Target &target = targets[order.runner];

			for (size_t i = target.runs.size(); i-- > 0;)
				if (target.runs[i].start.task == order.task &&
				    target.runs[i].start.run == order.run)
					end(target, i, WL_END_STOPPED);
			rig.answer(order, WL_ORDER_DONE);
		}
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
			targets[order.runner].renewal = {order};
			targets[order.runner].renewal_ns = rig.now;
		}
	}

	Run *find(const SchedOrder &order)
	{
		for (auto &run : targets[order.runner].runs)
			if (run.start.task == order.task && run.start.run == order.run)
				return &run;
		return nullptr;
	}

	void begin(const SchedOrder &start)
	{
		std::string job = start.task.substr(0, start.task.find('.'));
		Run run = {start, job, job.compare(0, 5, "serve") == 0, 0, 100, 0};

		if (!run.serving) {
			Job &of = open.at(job);

			run.work = of.saved[start.task];
			of.at_work++;
		}
		targets[start.runner].runs.push_back(run);
		rig.answer(start, WL_ORDER_DONE);
	}

	void end(Target &target, size_t index, wl_run_outcome_t how)
	{
		Run run = target.runs[index];
		Job &job = open.at(run.job);

		target.runs.erase(target.runs.begin() + static_cast<long>(index));
		target.newest_end++;
		target.ends.push_back({run.start, target.newest_end, how});
		job.saved[run.start.task] = run.work / (SAVE_MS * 100) * (SAVE_MS * 100);
		if (--job.at_work == 0)
			job.idle_since_ns = rig.now;
	}

	/* Headroom of its serving tasks, as a share of which the tail is reported. */
	double headroom(const Target &target, bool alone) const
	{
		double seconds = static_cast<double>(rig.now) / 1e9;
		double left = target.headroom + 0.4 * std::sin(seconds / 2.5 + target.phase);

		for (const auto &run : target.runs)
			if (!alone && !run.serving)
				left -= open.at(run.job).weight *
					static_cast<double>(open.at(run.job).cpu * run.percent) /
					(TARGET_CPU * 100.0);
		return std::max(left, 0.25);
	}

	/* A serving task is harmed if it is over its bound by others' doing, and these work on. */
	void harm_check(Target &target)
	{
		bool others = false;

		for (const auto &run : target.runs)
			others = others || (!run.serving && run.percent > 0);
		for (auto &run : target.runs) {
			if (!run.serving)
				continue;
			if (!others || headroom(target, false) >= 1 || headroom(target, true) < 1)
				run.over_since_ns = 0;
			else if (run.over_since_ns == 0)
				run.over_since_ns = rig.now;
			if (run.over_since_ns)
				result.harm_max_ms = std::max(result.harm_max_ms,
							      (rig.now - run.over_since_ns) / MS);
		}
	}

	void target_step(Target &target)
	{
		std::vector<wl_run_view_t> views;
		std::vector<wl_end_view_t> ends;
		auto tail = static_cast<uint64_t>(BOUND_MS / headroom(target, false));

		harm_check(target);
		for (size_t i = target.runs.size(); i-- > 0;) {
			Run &run = target.runs[i];

			run.work += TICK_MS * run.percent;
			if (!run.serving && run.work >= TASK_MS * 100)
				end(target, i, WL_END_DONE);
		}
		if (target.renewal.empty())
			return;
		SchedOrder renewal = target.renewal[0];
		while (!target.ends.empty() && target.ends[0].number <= renewal.seen)
			target.ends.erase(target.ends.begin());
		if (target.newest_end == target.newest_listed_end &&
		    rig.now - target.renewal_ns < renewal.wait_ms * MS)
			return;
		target.newest_listed_end = target.newest_end;
		target.renewal.clear();
		for (const auto &run : target.runs)
			views.push_back(SchedRig::view(run.start, run.serving ? tail : 0));
		for (const auto &one : target.ends)
			ends.push_back(SchedRig::end(one.start, one.number, one.how));
		rig.answer_hold(renewal, views, ends);
	}

	uint64_t free_cpu(const Target &target) const
	{
		uint64_t used = 0;

		for (const auto &run : target.runs)
			used += run.serving ? SERVING_CPU : open.at(run.job).cpu;
		return TARGET_CPU > used ? TARGET_CPU - used : 0;
	}

	/* Whether a task of the job fits twice, with less than half of the fleet in use. */
	bool has_room(const Job &job) const
	{
		uint64_t free = 0;
		uint64_t fits = 0;

		for (const auto &target : targets) {
			free += free_cpu(target.second);
			fits += free_cpu(target.second) / job.cpu;
		}
		return fits >= 2 && free > TARGETS * TARGET_CPU / 2;
	}

	void jobs_check()
	{
		for (auto &one : open) {
			Job &job = one.second;
			uint64_t age_ms = (rig.now - job.submitted_ns) / MS;

			if (job.submitted_ns == 0)
				continue;
			if (rig.job_state(one.first) == "completed") {
				result.in_time += age_ms <= job.allowed_ms;
				job.submitted_ns = 0;
				continue;
			}
			if (job.at_work > 0 || !has_room(job)) {
				job.idle_since_ns = rig.now;
				continue;
			}
			if ((rig.now - job.idle_since_ns) / MS <= result.stalled_max_ms)
				continue;
			result.stalled_max_ms = (rig.now - job.idle_since_ns) / MS;
			result.stalled = one.first + ", CPU millis " + std::to_string(job.cpu) +
					 ", at " + std::to_string(rig.now / MS) + " ms";
		}
	}

	SchedRig rig;
	Result result;
	std::mt19937 random{11};
	std::map<std::string, Target> targets;
	std::map<std::string, Job> open; /* submitted_ns is 0 once it is done */
	double due = 0;
	uint64_t reported_ns = 0;
};
} // namespace

static void result_check(const Result &result)
{
	EXPECT_LE(result.stalled_max_ms, STALLED_MAX_MS) << result.stalled;
	EXPECT_LE(result.harm_max_ms, HARM_MAX_MS);
	EXPECT_GE(result.in_time, result.jobs / 2) << result.jobs << " jobs";
	std::cout << "in time: " << result.in_time << " of " << result.jobs << ", stalled "
		  << result.stalled_max_ms << " ms, harm " << result.harm_max_ms << " ms\n";
}

TEST(SchedStalled, AcceptedJobIsAtWorkBesideFreeCapacity)
{
	result_check(ServingFleet().overload(false));
}

TEST(SchedStalled, AcceptedJobIsAtWorkBesideFreeCapacityAfterAChangeOfLeader)
{
	result_check(ServingFleet().overload(true));
}
