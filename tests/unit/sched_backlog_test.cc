#include "../support/sched_rig.h"

#include <algorithm>
#include <map>
#include <random>

#include <gtest/gtest.h>

/*
 * Short work above the capacity of a fleet, together with lasting tasks that fail now and
 * then.
 */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t TICK_MS = 10;
constexpr uint64_t INTERRUPTED_MAX_MS = 6000; /* a lasting task must run again within this time */

struct LoadOptions {
	size_t targets = 20;
	uint64_t target_cpu = 32000;
	size_t lasting_jobs = 8;
	uint64_t lasting_count = 6;
	uint64_t lasting_cpu = 4000;
	double lasting_s = 10; /* mean duration of their runs */
	wl_run_outcome_t lasting_how = WL_END_FAILED;
	double short_jobs_per_s = 0;
	uint64_t short_count = 6;
	uint64_t short_cpu = 2300;
	uint64_t short_ms = 540;
	uint64_t length_ms = 30000;
};

struct LoadResult {
	uint64_t interrupted_max_ms = 0; /* longest interruption of a lasting task */
	size_t lasting_ends = 0;
	size_t short_jobs = 0;
	size_t short_in_time = 0;
};

/*
 * Simulated targets. They answer starts at once, and a renewal when a run has ended or its wait
 * time is over. Runs end when their duration is over.
 */
class LoadedFleet
{
      public:
	LoadedFleet(const LoadOptions &of) : options(of)
	{
		rig.objective_ms = OBJECTIVE_MS;
		rig.slack_millis = SLACK_MILLIS;
		rig.configure("q");
		for (size_t i = 0; i < options.targets; i++) {
			std::string id = "i-" + std::to_string(100 + i);

			rig.runner(id, options.target_cpu);
			targets[id];
		}
		for (size_t i = 0; i < options.lasting_jobs; i++) {
			wl_step_spec_t *step =
				rig.job("q", "last" + std::to_string(i), {options.lasting_count});

			step->lasting = true;
			step->cpu_millis = options.lasting_cpu;
			rig.submit();
		}
		simulate(2000, 0);
	}

	LoadResult simulate_load()
	{
		simulate(options.length_ms, options.short_jobs_per_s);
		for (const auto &one : interrupted_since)
			interruption_record(rig.now - one.second);
		return result;
	}

      private:
	static constexpr uint64_t OBJECTIVE_MS = 250;
	static constexpr uint64_t SLACK_MILLIS = 1500;
	static constexpr uint64_t REPORT_MS = 1000;

	struct Run {
		SchedOrder start;
		uint64_t end_ns;
		bool lasting;
	};

	struct Target {
		std::vector<Run> runs;
		std::vector<std::pair<uint64_t, SchedOrder>> ends; /* not acknowledged */
		uint64_t newest_end = 0;
		uint64_t newest_listed_end = 0;
		uint64_t used_cpu = 0;
		std::vector<SchedOrder> renewal; /* at most one */
		uint64_t renewal_ns = 0;
	};

	void interruption_record(uint64_t ns)
	{
		result.interrupted_max_ms = std::max(result.interrupted_max_ms, ns / MS);
	}

	void simulate(uint64_t ms, double jobs_per_s)
	{
		for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
			for (due += jobs_per_s * TICK_MS / 1000; due >= 1; due -= 1)
				short_job();
			report();
			rig.advance(TICK_MS);
			rig.commit();
			for (const auto &start : rig.take_orders(WL_ORDER_START))
				begin(start);
			for (const auto &renewal : rig.take_orders(WL_ORDER_RENEW)) {
				targets[renewal.runner].renewal = {renewal};
				targets[renewal.runner].renewal_ns = rig.now;
			}
			for (auto &target : targets)
				target_step(target.second);
			rig.commit();
		}
	}

	/* Each target reports once a second. */
	void report()
	{
		if (rig.now - reported_ns < REPORT_MS * MS)
			return;
		reported_ns = rig.now;
		for (const auto &target : targets)
			rig.runner(target.first, options.target_cpu);
	}

	void short_job()
	{
		std::string id = "j" + std::to_string(result.short_jobs++);
		wl_step_spec_t *step = rig.job("q", id, {options.short_count});

		step->cpu_millis = options.short_cpu;
		step->estimated_ms = options.short_ms;
		rig.submit();
		pending_jobs[id] = {options.short_count, rig.now};
	}

	uint64_t cpu(bool lasting) const
	{
		return lasting ? options.lasting_cpu : options.short_cpu;
	}

	void begin(const SchedOrder &start)
	{
		Target &target = targets[start.runner];
		bool lasting = start.task.compare(0, 4, "last") == 0;
		std::exponential_distribution<double> fails(1 / options.lasting_s);
		uint64_t ms =
			lasting ? static_cast<uint64_t>(fails(random) * 1000) : options.short_ms;

		target.used_cpu += cpu(lasting);
		EXPECT_LE(target.used_cpu, options.target_cpu);
		target.runs.push_back({start, rig.now + ms * MS, lasting});
		if (lasting && interrupted_since.count(start.task)) {
			interruption_record(rig.now - interrupted_since[start.task]);
			interrupted_since.erase(start.task);
		}
		rig.answer(start, WL_ORDER_DONE);
	}

	void ended(Target &target, const Run &run)
	{
		target.used_cpu -= cpu(run.lasting);
		target.ends.emplace_back(++target.newest_end, run.start);
		if (run.lasting) {
			result.lasting_ends++;
			interrupted_since[run.start.task] = rig.now;
			return;
		}
		auto &job = pending_jobs[run.start.task.substr(0, run.start.task.find('.'))];
		uint64_t allowed_ms = OBJECTIVE_MS + options.short_ms * SLACK_MILLIS / 1000;

		if (--job.first == 0 && rig.now - job.second <= allowed_ms * MS)
			result.short_in_time++;
	}

	void target_step(Target &target)
	{
		std::vector<wl_run_view_t> views;
		std::vector<wl_end_view_t> ends;

		for (size_t i = target.runs.size(); i-- > 0;) {
			if (target.runs[i].end_ns > rig.now)
				continue;
			ended(target, target.runs[i]);
			target.runs.erase(target.runs.begin() + static_cast<long>(i));
		}
		if (target.renewal.empty())
			return;
		SchedOrder renewal = target.renewal[0];
		while (!target.ends.empty() && target.ends[0].first <= renewal.seen)
			target.ends.erase(target.ends.begin());
		if (target.newest_end == target.newest_listed_end &&
		    rig.now - target.renewal_ns < renewal.wait_ms * MS)
			return;
		target.newest_listed_end = target.newest_end;
		target.renewal.clear();
		for (const auto &run : target.runs)
			views.push_back(SchedRig::view(run.start));
		for (const auto &end : target.ends) {
			bool lasting = end.second.task.compare(0, 4, "last") == 0;

			ends.push_back(SchedRig::end(end.second, end.first,
						     lasting ? options.lasting_how : WL_END_DONE));
		}
		rig.answer_hold(renewal, views, ends);
	}

	SchedRig rig;
	LoadOptions options;
	LoadResult result;
	std::mt19937 random{7};
	std::map<std::string, Target> targets;
	std::map<std::string, uint64_t> interrupted_since;
	/* tasks that are not done, time of submission */
	std::map<std::string, std::pair<uint64_t, uint64_t>> pending_jobs;
	double due = 0;
	uint64_t reported_ns = 0;
};
} // namespace

/* @jobs_per_s: rate of short jobs; 60 fill the capacity that the lasting tasks leave */
static LoadResult simulate_load(double jobs_per_s, uint64_t lasting_cpu)
{
	LoadOptions options;

	options.short_jobs_per_s = jobs_per_s;
	options.lasting_cpu = lasting_cpu;
	return LoadedFleet(options).simulate_load();
}

/* A standing backlog of short work, below and above the capacity of the fleet. */
TEST(SchedBacklog, LastingTaskRestartsSoonDespiteABacklog)
{
	for (double jobs_per_s : {50, 60, 70, 90, 180})
		for (uint64_t cpu : {2000, 4000, 8000}) {
			LoadResult result = simulate_load(jobs_per_s, cpu);

			EXPECT_LE(result.interrupted_max_ms, INTERRUPTED_MAX_MS)
				<< jobs_per_s
				<< " short jobs per second, lasting tasks of CPU millis " << cpu;
			EXPECT_GE(result.lasting_ends, 100u);
		}
}

/* Lasting tasks need nine tenths of the fleet, which can hold all of them. */
TEST(SchedBacklog, LastingTaskRestartsSoonWhereLastingTasksNeedMostCapacity)
{
	LoadOptions options;

	options.lasting_jobs = 16;
	options.lasting_cpu = 6000;
	options.lasting_s = 60;
	for (double jobs_per_s : {20, 60, 180}) {
		options.short_jobs_per_s = jobs_per_s;
		LoadResult result = LoadedFleet(options).simulate_load();

		EXPECT_LE(result.interrupted_max_ms, INTERRUPTED_MAX_MS)
			<< jobs_per_s << " short jobs per second";
		EXPECT_GE(result.lasting_ends, 30u);
	}
}

/* Lasting tasks need three tenths of the capacity. */
TEST(SchedBacklog, ShortWorkIsServedInTheRemainingCapacity)
{
	LoadResult full = simulate_load(60, 4000);
	LoadResult burst = simulate_load(180, 4000);

	EXPECT_GE(full.short_in_time, full.short_jobs * 9 / 10);
	EXPECT_GE(burst.short_in_time, burst.short_jobs / 5)
		<< "capacity is a third of the load; a fifth must be done in time";
}

/*
 * There are more lasting tasks than the fleet can hold. A fifth of it must still serve
 * short work.
 */
TEST(SchedBacklog, ShortWorkIsServedWhenLastingWorkExceedsCapacity)
{
	LoadOptions options;

	options.lasting_jobs = 40;
	options.lasting_how = WL_END_DONE; /* does not quarantine targets */
	options.short_jobs_per_s = 8;
	LoadResult result = LoadedFleet(options).simulate_load();

	EXPECT_GE(result.short_in_time, result.short_jobs / 2);
}

/* Targets with many failures are quarantined. The failed tasks must run on other targets. */
TEST(SchedBacklog, FailedTasksRunElsewhereWhileTargetsAreQuarantined)
{
	for (uint64_t cpu : {2000, 4000, 8000}) {
		LoadResult result = simulate_load(0, cpu);

		EXPECT_LE(result.interrupted_max_ms, INTERRUPTED_MAX_MS)
			<< "lasting tasks of CPU millis " << cpu;
		EXPECT_GE(result.lasting_ends, 100u);
	}
}
