#include "../support/sched_rig.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

/*
 * Which jobs are accepted by a fleet that gets more work than it can do. Each load is simulated
 * twice: with all jobs accepted, which shows what could be served, and by the default policy.
 */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t TICK_MS = 10;
constexpr size_t TARGETS = 20;
constexpr uint64_t TARGET_CPU = 32000;
constexpr uint64_t TASKS = 6;
constexpr uint64_t TASK_CPU = 2300;
constexpr uint64_t TASK_MS = 540;
constexpr uint64_t LONG_TASK_MS = 100000;
constexpr uint64_t OBJECTIVE_MS = 250;
constexpr uint64_t SLACK_MILLIS = 1500;
constexpr uint64_t ALLOWED_MS = OBJECTIVE_MS + TASK_MS * SLACK_MILLIS / 1000;
constexpr uint64_t USEFUL_MS = 3 * ALLOWED_MS; /* a later result is of no use */
constexpr uint64_t REPORT_MS = 1000;
/* Jobs in a second that fill the fleet: 13 tasks a target, each 20 ms longer for its orders. */
constexpr double CAPACITY = TARGETS * 13.0 / TASKS * 1000 / (TASK_MS + 20);

struct Submission {
	bool urgent;
	uint64_t sent_ns;
	bool refused;
	uint64_t retry_ms;
	uint64_t done_ns; /* 0: not done */
	uint64_t left;	  /* tasks that are not done */
};

using Submissions = std::vector<Submission>;

class BurstFleet
{
      public:
	explicit BurstFleet(const std::string &acceptance) : rig(acceptance)
	{
		rig.objective_ms = OBJECTIVE_MS;
		rig.slack_millis = SLACK_MILLIS;
		rig.configure("q", 1);
		rig.configure("urgent", 0);
		for (size_t i = 0; i < TARGETS; i++)
			target_add("i-" + std::to_string(100 + i), TARGET_CPU);
		simulate(11000, 0);
	}

	void target_add(const std::string &id, uint64_t cpu)
	{
		targets[id].cpu = cpu;
		rig.runner(id, cpu);
	}

	/* Rates are by the capacity. */
	Submissions burst(double before, double during, uint64_t burst_ms, double after)
	{
		simulate(5000, before);
		simulate(burst_ms, during);
		simulate(14000, after);
		simulate(14000, 0);
		return submissions;
	}

	/* Few jobs behind a burst of more urgent ones. */
	Submissions behind_urgent(double urgent, uint64_t burst_ms, double others)
	{
		simulate(burst_ms, others, urgent);
		simulate(14000, others);
		simulate(14000, 0);
		return submissions;
	}

	/*
	 * Few tasks that take long, in a queue of many short ones that wait for a while. The queue
	 * has more time than others: its jobs are of use for 6.9 s, not only for USEFUL_MS.
	 */
	Submissions behind_long(uint64_t tasks, double after)
	{
		rig.objective_ms = 6 * OBJECTIVE_MS;
		rig.configure("q", 1);
		simulate(8000, 1.4);
		simulate(6000, 1.05);
		wl_step_spec_t *step = rig.job("q", "long", {tasks});
		step->cpu_millis = TASK_CPU;
		step->estimated_ms = LONG_TASK_MS;
		rig.submit();
		simulate(6000, after);
		simulate(14000, 0);
		return submissions;
	}

	/* Submits a job of a task that fits on none of the targets. */
	SchedResult submit_large(const std::string &id)
	{
		wl_step_spec_t *step = rig.job("q", id, {1});

		step->cpu_millis = TARGET_CPU + 1;
		step->estimated_ms = TASK_MS;
		rig.submit();
		return rig.newest;
	}

	void simulate(uint64_t ms, double load, double urgent_load = 0)
	{
		for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
			for (due += load * CAPACITY * TICK_MS / 1000; due >= 1; due -= 1)
				submit(false);
			for (urgent_due += urgent_load * CAPACITY * TICK_MS / 1000; urgent_due >= 1;
			     urgent_due -= 1)
				submit(true);
			step();
		}
	}

	SchedRig rig;

      private:
	struct Run {
		SchedOrder start;
		uint64_t end_ns;
	};

	struct Target {
		uint64_t cpu;
		std::vector<Run> runs;
		std::vector<std::pair<uint64_t, SchedOrder>> ends; /* not acknowledged */
		uint64_t newest_end = 0;
		uint64_t newest_listed_end = 0;
		std::vector<SchedOrder> renewal; /* at most one */
		uint64_t renewal_ns = 0;
	};

	void step()
	{
		report();
		rig.advance(TICK_MS);
		rig.commit();
		for (const auto &start : rig.take_orders(WL_ORDER_START)) {
			bool is_long = start.task.substr(0, 5) == "long.";

			targets[start.runner].runs.push_back(
				{start, rig.now + (is_long ? LONG_TASK_MS : TASK_MS) * MS});
			rig.answer(start, WL_ORDER_DONE);
		}
		for (const auto &renewal : rig.take_orders(WL_ORDER_RENEW)) {
			targets[renewal.runner].renewal = {renewal};
			targets[renewal.runner].renewal_ns = rig.now;
		}
		for (auto &target : targets)
			target_step(target.second);
		rig.commit();
	}

	void report()
	{
		if (rig.now - reported_ns < REPORT_MS * MS)
			return;
		reported_ns = rig.now;
		for (const auto &target : targets)
			rig.runner(target.first, target.second.cpu);
	}

	void submit(bool urgent)
	{
		std::string id = "j" + std::to_string(submissions.size());
		wl_step_spec_t *step = rig.job(urgent ? "urgent" : "q", id, {TASKS});

		step->cpu_millis = TASK_CPU;
		step->estimated_ms = TASK_MS;
		rig.submit();
		bool refused = rig.newest.code == WL_E_OVERLOADED;
		submissions.push_back(
			{urgent, rig.now, refused, refused ? rig.newest.retry_ms : 0, 0, TASKS});
	}

	void target_step(Target &target)
	{
		std::vector<wl_run_view_t> views;
		std::vector<wl_end_view_t> ends;

		for (size_t i = target.runs.size(); i-- > 0;) {
			if (target.runs[i].end_ns > rig.now)
				continue;
			ended(target, target.runs[i].start);
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
		for (const auto &end : target.ends)
			ends.push_back(SchedRig::end(end.second, end.first, WL_END_DONE));
		rig.answer_hold(renewal, views, ends);
	}

	void ended(Target &target, const SchedOrder &start)
	{
		std::string job = start.task.substr(0, start.task.find('.'));

		target.ends.emplace_back(++target.newest_end, start);
		if (job[0] != 'j')
			return;
		Submission &submission = submissions.at(std::stoul(job.substr(1)));
		if (--submission.left == 0)
			submission.done_ns = rig.now;
	}

	Submissions submissions;
	std::map<std::string, Target> targets;
	double due = 0;
	double urgent_due = 0;
	uint64_t reported_ns = 0;
};

bool served(const Submission &job, uint64_t within_ms = USEFUL_MS)
{
	return job.done_ns && (job.done_ns - job.sent_ns) / MS <= within_ms;
}

struct Comparison {
	size_t jobs = 0; /* that are not urgent, here and below */
	size_t refused = 0;
	size_t refused_wrongly = 0;   /* served if all are accepted */
	size_t not_served_before = 0; /* if all are accepted */
	size_t not_served = 0;
	size_t on_time_before = 0;
	size_t on_time = 0;
};

Comparison compare(const Submissions &all, const Submissions &some)
{
	Comparison result;

	for (size_t i = 0; i < all.size(); i++) {
		if (all[i].urgent)
			continue;
		result.jobs++;
		result.refused += some[i].refused;
		result.refused_wrongly += some[i].refused && served(all[i]);
		result.not_served_before += !served(all[i]);
		result.not_served += !served(some[i]);
		result.on_time_before += served(all[i], ALLOWED_MS);
		result.on_time += served(some[i], ALLOWED_MS);
	}
	std::cout << result.jobs << " jobs, all accepted: " << result.on_time_before << " on time, "
		  << result.not_served_before
		  << " not in time to be of use; default policy: " << result.on_time << " on time, "
		  << result.not_served << " not, of these refused " << result.refused
		  << ", of which served if accepted " << result.refused_wrongly << "\n";
	return result;
}

Comparison burst(double during, double after)
{
	return compare(BurstFleet("all").burst(0.8, during, 6000, after),
		       BurstFleet("").burst(0.8, during, 6000, after));
}
} // namespace

TEST(SchedAcceptance, NobodyIsRefusedWhoWouldHaveBeenServedInABurst)
{
	for (double during : {1.5, 4.0})
		for (double after : {0.8, 1.5})
			EXPECT_EQ(burst(during, after).refused_wrongly, 0u)
				<< during << " of the capacity, then " << after;
}

TEST(SchedAcceptance, JobsThatCannotBeServedBehindMoreUrgentWorkHearItAtOnce)
{
	Comparison result = compare(BurstFleet("all").behind_urgent(4, 6000, 0.1),
				    BurstFleet("").behind_urgent(4, 6000, 0.1));

	EXPECT_EQ(result.refused_wrongly, 0u);
	EXPECT_GT(result.refused, result.not_served_before / 2);
	EXPECT_LE(result.not_served, result.not_served_before);
}

TEST(SchedAcceptance, JobThatFitsOnNoTargetIsRefusedAtOnce)
{
	BurstFleet fleet("");
	SchedResult result = fleet.submit_large("a");

	EXPECT_EQ(result.code, WL_E_OVERLOADED);
	EXPECT_GE(result.retry_ms, 4000u);
	EXPECT_EQ(fleet.rig.metric("wisterialead_jobs_refused_total{reason=\"no-target\"}"), "1");
	EXPECT_EQ(fleet.rig.find("a"), nullptr);
	EXPECT_EQ(BurstFleet("all").submit_large("a").code, WL_OK);
}

TEST(SchedAcceptance, RefusedJobIsRefusedAgainWhileACopyOfItMayBeOnItsWay)
{
	BurstFleet fleet("");

	EXPECT_EQ(fleet.submit_large("a").code, WL_E_OVERLOADED);
	uint64_t retry_ms = fleet.rig.newest.retry_ms;
	fleet.target_add("i-larger", 2 * TARGET_CPU);
	EXPECT_EQ(fleet.submit_large("b").code, WL_OK);
	fleet.simulate(3900, 0);
	EXPECT_EQ(fleet.submit_large("a").code, WL_E_OVERLOADED);
	EXPECT_EQ(fleet.rig.newest.retry_ms, retry_ms - 3900);
	fleet.simulate(retry_ms - 3900, 0);
	EXPECT_EQ(fleet.submit_large("a").code, WL_OK);
}

TEST(SchedAcceptance, CopyOfAProposedJobIsNotRefused)
{
	BurstFleet fleet("");

	fleet.rig.follow();
	fleet.rig.orders.clear();
	fleet.rig.lead(2);
	fleet.rig.runner("i-new", TARGET_CPU);
	fleet.rig.hold_commits = true;
	fleet.submit_large("a");
	fleet.rig.advance(11000);
	EXPECT_EQ(fleet.submit_large("b").code, WL_E_OVERLOADED);
	fleet.submit_large("a");
	EXPECT_GE(fleet.rig.commit(), 2u);
	EXPECT_EQ(fleet.rig.newest.code, WL_OK);
	EXPECT_NE(fleet.rig.find("a"), nullptr);
}

TEST(SchedAcceptance, NewLeaderRefusesNothingAtFirst)
{
	BurstFleet fleet("");

	fleet.rig.follow();
	fleet.rig.orders.clear();
	fleet.rig.lead(2);
	EXPECT_EQ(fleet.submit_large("a").code, WL_OK);
	fleet.simulate(5000, 0);
	EXPECT_EQ(fleet.submit_large("b").code, WL_OK);
	fleet.simulate(6000, 0);
	EXPECT_EQ(fleet.submit_large("c").code, WL_E_OVERLOADED);
}

TEST(SchedAcceptance, NothingIsRefusedInAQueueWithoutATime)
{
	BurstFleet fleet("");

	fleet.rig.objective_ms = 0;
	fleet.rig.slack_millis = 0;
	fleet.rig.configure("plain");
	wl_step_spec_t *step = fleet.rig.job("plain", "a", {1});
	step->cpu_millis = TARGET_CPU + 1;
	step->estimated_ms = TASK_MS;
	fleet.rig.submit();
	EXPECT_EQ(fleet.rig.newest.code, WL_OK);
}

/* Tasks that take long and wait are started beside each other: the others wait for their start. */
TEST(SchedAcceptance, NobodyIsRefusedWhoWouldHaveBeenServedBehindFewLongTasks)
{
	for (double after : {0.5, 0.7})
		EXPECT_EQ(compare(BurstFleet("all").behind_long(60, after),
				  BurstFleet("").behind_long(60, after))
				  .refused_wrongly,
			  0u)
			<< after;
}
