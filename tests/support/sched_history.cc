#include "sched_history.h"

#include <algorithm>
#include <cstdarg>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t STEP = 20 * MS;
constexpr uint64_t PERMILLE = 1000;
constexpr uint64_t TROUBLE = 20 * SECOND; /* how long faults begin */
constexpr uint64_t TROUBLE_CANCELS = 30 * SECOND;
constexpr uint64_t FAULT_IN_HISTORY_PERMILLE = 600;
constexpr uint64_t RENAME_PERMILLE = 5;	   /* in each step */
constexpr uint64_t LATE_MAX = 12 * SECOND; /* as late as anything arrives */
constexpr uint64_t QUICK = 30 * MS;
constexpr uint64_t REPORTED = SECOND; /* a new target has reported, and that is committed */
constexpr uint64_t SLOW_COMMIT = 3 * SECOND;
constexpr uint64_t PAUSE = 3 * SECOND;
constexpr uint64_t ELECTION = 2 * SECOND;
constexpr size_t JOBS = 5;
constexpr size_t JOBS_CANCELS = 12;
constexpr size_t TRACE_LINES = 4000;
/* The longest lease on the slowest clock, with the leader's margin. */
constexpr uint64_t LEASE_OVER = 6000 * MS * 100 / 98 + 300 * MS;
constexpr uint64_t WORK_MAX = 10 * SECOND;
constexpr uint64_t STEPS = 2;
/* An order without an answer, a stop, a pause of a target that refused. */
constexpr uint64_t RESTART = 8 * SECOND;
/*
 * Once nothing is late any more, each task's run has ended or goes on within two leases: that
 * of its target and that of the newest incarnation. It then needs one more run for each step.
 */
constexpr uint64_t SETTLE = LATE_MAX + 2 * LEASE_OVER + STEPS * (WORK_MAX + RESTART);
} // namespace

SchedHistory::SchedHistory(uint64_t seed, unsigned allowed, bool with_trace)
    : random(seed * 0x9e3779b97f4a7c15 + 1), faults(0), traced(with_trace)
{
	for (unsigned bit = 1; bit < FAULTS_ALL; bit <<= 1)
		if (chance(FAULT_IN_HISTORY_PERMILLE) && (allowed & bit))
			faults |= bit;
	faults |= allowed & (FAULT_RENAMES | FAULT_CANCELS);
	begin_ns = rig.now;
	rig.first_renewals_answered = false;
	rig.agents({"s2", "s3"});
	rig.configure("q", 0, PERMILLE);
	rig.hold_commits = faults & FAULT_CANCELS;
	change_ns = begin_ns + (3 + below(8)) * SECOND;
	for (int i = 0; i < 3; i++)
		spawn("", "");
	if (fault(FAULT_ROUTES, PERMILLE)) {
		misled_agent = "s" + std::to_string(1 + below(3));
		misled_address = targets[below(targets.size())]->model.address;
	}
}

uint64_t SchedHistory::below(uint64_t bound)
{
	uint64_t mixed = random += 0x9e3779b97f4a7c15;

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
	return (mixed ^ (mixed >> 31)) % bound;
}

bool SchedHistory::chance(uint64_t permille)
{
	return below(PERMILLE) < permille;
}

bool SchedHistory::fault(HistoryFault which, uint64_t permille)
{
	return chance(permille) && !quiet && !calm && (faults & which);
}

uint64_t SchedHistory::delay_ns()
{
	if (fault(FAULT_LATE, 120))
		return below(below(LATE_MAX) + 1);
	return below(QUICK);
}

void SchedHistory::at(uint64_t when, std::function<void()> what)
{
	events.emplace(when, std::move(what));
}

/* A suspended leader gets its messages later; without a leader they are lost. */
void SchedHistory::to_leader(uint64_t when, std::function<void()> what)
{
	at(when, [this, what] {
		if (!leading)
			return;
		if (rig.now < paused_until_ns)
			to_leader(paused_until_ns, what);
		else
			what();
	});
}

void SchedHistory::note(const char *format, ...)
{
	char line[512];
	int len;
	va_list args;

	if (!traced)
		return;
	len = snprintf(line, sizeof(line), "%8.3f ",
		       static_cast<double>(rig.now - begin_ns) / static_cast<double>(SECOND));
	va_start(args, format);
	vsnprintf(line + len, sizeof(line) - static_cast<size_t>(len), format, args);
	va_end(args);
	trace.emplace_back(line);
	if (trace.size() > TRACE_LINES)
		trace.erase(trace.begin());
}

void SchedHistory::fail(const std::string &what)
{
	if (!failure.empty())
		return;
	failure = what;
	note("FAILED %s", what.c_str());
}

void SchedHistory::lead()
{
	leading = true;
	note("leader of term %llu", static_cast<unsigned long long>(++term));
	rig.lead(term);
	agents_reached();
	for (const char *agent : {"s1", "s2", "s3"})
		at(std::max(rig.now, agent_cut_ns[agent]) + below(SECOND),
		   [this, agent, known = term] {
			   agent_term[agent] = std::max(agent_term[agent], known);
		   });
}

void SchedHistory::leader_step()
{
	if (!leading) {
		if (rig.now >= lead_ns)
			lead();
		return;
	}
	if (rig.now >= paused_until_ns && fault(FAULT_PAUSES, 4)) {
		paused_until_ns = rig.now + below(PAUSE);
		note("leader is suspended for %llu ms",
		     static_cast<unsigned long long>((paused_until_ns - rig.now) / MS));
	}
	if (rig.now < change_ns)
		return;
	change_ns = rig.now + (2 + below(8)) * SECOND;
	if (!fault(FAULT_LEADERS, PERMILLE))
		return;
	note("leader is deposed");
	cancel_near();
	orders_take();
	rig.follow(below(3));
	leading = false;
	paused_until_ns = 0;
	lead_ns = rig.now + below(ELECTION);
	on_answer.clear();
}

/* The name that the route had goes to one of another host and service. */
void SchedHistory::route_rename()
{
	std::string before = "q" + std::to_string(renames++);
	std::string now = "q" + std::to_string(renames);

	note("the route is renamed to %s", now.c_str());
	rig.routes({{now, "", "/q/", rig.service, PERMILLE},
		    {before, "other.example", "/q/", "press", PERMILLE}});
}

void SchedHistory::commits_step()
{
	if (!leading || rig.now < paused_until_ns || rig.now < commit_ns)
		return;
	rig.commit(chance(800) ? SIZE_MAX : below(3));
	if (fault(FAULT_COMMITS, 30))
		commit_ns = rig.now + below(SLOW_COMMIT);
}

void SchedHistory::step()
{
	rig.now += STEP;
	if (faults & FAULT_CANCELS)
		cancels_step();
	leader_step();
	for (const auto &target : targets)
		target->model.advance(rig.now);
	gangs_step();
	while (!events.empty() && events.begin()->first <= rig.now) {
		auto what = std::move(events.begin()->second);

		events.erase(events.begin());
		what();
	}
	targets_step();
	if (leading && rig.now >= paused_until_ns) {
		rig.tick();
		commits_step();
		if ((faults & FAULT_RENAMES) && fault(FAULT_RENAMES, RENAME_PERMILLE))
			route_rename();
		if (!quiet && jobs.size() < (faults & FAULT_CANCELS ? JOBS_CANCELS : JOBS) &&
		    rig.now >= next_job_ns) {
			next_job_ns = rig.now + below((faults & FAULT_CANCELS ? 4 : 6) * SECOND);
			job_submit();
		}
	}
	orders_take();
	for (uint64_t call : rig.answered) {
		auto found = on_answer.find(call);

		if (found == on_answer.end())
			continue;
		found->second();
		on_answer.erase(call);
	}
	rig.answered.clear();
	rig.codes.clear();
	rig.sent.clear();
	for (const auto &line : rig.log)
		note("  log: %s", line.c_str());
	if (traced)
		rig.log.clear();
	if (faults & FAULT_CANCELS)
		cancels_check();
}

void SchedHistory::faults_end()
{
	note("no new faults");
	quiet = true;
	misled_agent.clear();
	lead_ns = std::min(lead_ns, rig.now);
	commit_ns = 0;
	paused_until_ns = 0;
	agent_cut_ns.clear();
	disturbed_ns = rig.now;
	for (const auto &target : targets)
		target->cut_until_ns = 0;
	spawn("", "");
	lasting_cancel();
}

/* A target that runs and has not announced its departure must not be taken for gone. */
void SchedHistory::ready_targets_check()
{
	for (const auto &target : targets) {
		const TargetModel &model = target->model;
		const wl_runner_t *known =
			wl_jobs_runner(rig.jobs, {model.id.data(), model.id.size()});

		if (target->draining || rig.now - target->up_since_ns < REPORTED)
			continue;
		if (!known || known->departed_ms || known->report.incarnation != model.born_ms) {
			conditions = "target";
			fail("target " + model.id + " is ready, but is not used");
		}
	}
}

void SchedHistory::play()
{
	uint64_t end_ns = begin_ns + (faults & FAULT_CANCELS ? TROUBLE_CANCELS : TROUBLE);

	while (failure.empty() && rig.now < end_ns)
		step();
	faults_end();
	uint64_t quiet_ns = rig.now;
	end_ns = quiet_ns + SETTLE;
	while (failure.empty() && rig.now < end_ns && !unsettled().empty())
		step();
	if (failure.empty() && !unsettled().empty()) {
		conditions = "stalled";
		fail(unsettled() + " is not settled in time: " + rig.job_state(unsettled()));
	}
	end_ns = rig.now + LATE_MAX;
	while (failure.empty() && rig.now < end_ns)
		step();
	if (failure.empty())
		ready_targets_check();
	/* a run on a target that is gone is given up once its leases must be over */
	end_ns = quiet_ns + LATE_MAX + 2 * LEASE_OVER;
	while ((faults & FAULT_CANCELS) && failure.empty() && rig.now < end_ns && teardown_late())
		step();
	if (failure.empty() && (faults & FAULT_CANCELS))
		cancels_end_check();
}
