#include "crash_fleet.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t BROKEN_MS = 1000;	 /* until members of a gang miss one that has gone */
constexpr uint64_t INCOMPLETE_MS = 5000; /* that a member of a gang waits for the others */
constexpr uint64_t ORDER_TIMEOUT_MS = 1000;
constexpr uint64_t RENEWAL_TIMEOUT_MS = 800; /* in addition to the wait */
constexpr uint64_t LOOK_MS = 50;	     /* between looks at the states of jobs */
constexpr uint64_t NEW_ID_PERCENT = 70;	     /* of the crashed targets */
constexpr uint64_t UNANSWERED_PERCENT = 25;  /* of the starts of guilty tasks */
} // namespace

CrashFleet::CrashFleet(const CrashFleetOptions &of) : options(of), random(of.seed)
{
	rig.first_renewals_answered = false;
	rig.configure("q");
	for (size_t i = 0; i < options.targets; i++) {
		Machine machine = {};

		machine.cpu_millis = options.cpu_millis;
		machine.address = "10.0.1." + std::to_string(i) + ":80";
		machine.rack = "r" + std::to_string(i % options.racks);
		machine.zone = "z" + std::to_string(i % options.racks % options.zones);
		machines.push_back(machine);
		work.emplace_back();
		target_begin(i, "i-" + std::to_string(100 + i));
		machines[i].reported_ns -= i % 10 * (REPORT_MS / 10) * MS;
	}
}

CrashFleet::~CrashFleet() = default;

std::string CrashFleet::job_of(const std::string &task)
{
	return task.substr(0, task.find('.'));
}

uint64_t CrashFleet::index_of(const std::string &task)
{
	return std::stoull(task.substr(task.rfind('.') + 1));
}

uint64_t CrashFleet::clock_ms() const
{
	return rig.now / MS + rig.clock_offset_ms;
}

void CrashFleet::history_add(const std::string &text)
{
	history.push_back(std::to_string(rig.now / MS) + " " + text);
}

/* A new incarnation on a machine. */
void CrashFleet::target_begin(size_t at, const std::string &id)
{
	Machine &machine = machines[at];

	machine.id = id;
	machine.incarnation = next_incarnation++;
	machine.up = true;
	machine.draining = false;
	machine.crash_ns = 0;
	machine.silent_ns = 0;
	machine_by_id[id] = at;
	work[at] = Work();
	target_report(at);
}

void CrashFleet::target_report(size_t at)
{
	Machine &machine = machines[at];

	machine.reported_ns = rig.now;
	if (!leading || rig.now < machine.cut_ns)
		return;
	rig.address = machine.address;
	rig.zone = machine.zone;
	machine.known_cpu_millis = machine.cpu_millis;
	rig.runner(machine.id, machine.cpu_millis, machine.incarnation, machine.rack,
		   machine.draining);
}

wl_step_spec_t *CrashFleet::job(const std::string &id, const std::vector<uint64_t> &counts,
				uint64_t work_ms, uint64_t cpu_millis)
{
	wl_step_spec_t *steps = rig.job("q", id, counts);

	for (size_t i = 0; i < counts.size(); i++) {
		steps[i].cpu_millis = cpu_millis;
		steps[i].estimated_ms = work_ms;
		steps[i].lasting = work_ms == 0;
	}
	next_job = id;
	next = {work_ms, cpu_millis, false, false, rig.now, 0, "queued"};
	return steps;
}

void CrashFleet::submit(const std::vector<std::string> &guilty_tasks)
{
	for (const auto &task : guilty_tasks)
		guilty[task];
	next.guilty = !guilty_tasks.empty();
	rig.hold_commits = false;
	rig.submit();
	rig.hold_commits = options.commit_percent < 100;
	const wl_job_t *added = rig.find(next_job);
	if (!added) {
		ADD_FAILURE() << "job " << next_job << " was not accepted";
		return;
	}
	next.gang = wl_job_step(added, 0)->gang;
	step_sizes[next_job] = wl_job_step(added, 0)->count;
	jobs[next_job] = next;
}

void CrashFleet::leader_change(uint64_t gap_ms, uint64_t term)
{
	rig.follow();
	rig.orders.clear();
	failing.clear();
	leading = false;
	for (auto &one : work) {
		one.renewals.clear();
		one.renewals_ns.clear();
		one.unanswered.clear();
	}
	simulate(gap_ms);
	rig.lead(term);
	leading = true;
	for (auto &machine : machines)
		machine.known_cpu_millis = 0;
}

void CrashFleet::jobs_look()
{
	for (auto &one : jobs) {
		if (one.second.ended_ns)
			continue;
		one.second.state = rig.job_state(one.first);
		if (one.second.state != "queued" && one.second.state != "running")
			one.second.ended_ns = rig.now;
	}
}

void CrashFleet::orders_take()
{
	std::deque<SchedOrder> taken;

	taken.swap(rig.orders);
	for (const auto &order : taken) {
		EXPECT_TRUE(machine_by_id.count(order.runner)) << order.runner;
		order_take(order);
	}
}

void CrashFleet::simulate(uint64_t ms)
{
	for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
		rig.advance(TICK_MS);
		if (options.commit_percent == 100 || random() % 100 < options.commit_percent)
			rig.commit();
		orders_take();
		while (!failing.empty() && failing.begin()->first <= rig.now) {
			SchedOrder order = failing.begin()->second;

			failing.erase(failing.begin());
			rig.answer(order, WL_ORDER_NO_ANSWER);
		}
		for (size_t i = 0; i < machines.size(); i++)
			target_step(i);
		if (options.commit_percent == 100)
			rig.commit();
		if (rig.now / MS % LOOK_MS < TICK_MS)
			jobs_look();
	}
}

bool CrashFleet::simulate_until_ended(uint64_t limit_ms)
{
	auto open = [](const std::pair<const std::string, FleetJob> &one) {
		return one.second.ended_ns == 0 && one.second.work_ms > 0;
	};

	for (uint64_t end = rig.now + limit_ms * MS; rig.now < end;) {
		if (std::none_of(jobs.begin(), jobs.end(), open))
			return true;
		simulate(10 * TICK_MS);
	}
	return std::none_of(jobs.begin(), jobs.end(), open);
}

void CrashFleet::fail_later(const SchedOrder &order)
{
	uint64_t ms = order.kind == WL_ORDER_RENEW ? order.wait_ms + RENEWAL_TIMEOUT_MS
						   : ORDER_TIMEOUT_MS;

	failing.emplace(rig.now + ms * MS, order);
}

/* Answers an order that was carried out. */
void CrashFleet::done(const SchedOrder &order)
{
	if (options.lost_percent && random() % 100 < options.lost_percent)
		fail_later(order);
	else
		rig.answer(order, WL_ORDER_DONE);
}

void CrashFleet::order_take(const SchedOrder &order)
{
	size_t at = machine_by_id[order.runner];
	Machine &machine = machines[at];

	if (rig.now < machine.cut_ns || rig.now < machine.silent_ns)
		fail_later(order);
	else if (!machine.up)
		rig.answer(order, WL_ORDER_NO_ANSWER);
	else if (machine.id != order.runner)
		rig.answer(order, WL_ORDER_OTHER_INCARNATION);
	else if (order.kind == WL_ORDER_START)
		start_take(at, order);
	else if (order.kind == WL_ORDER_STOP)
		stop_take(at, order);
	else if (order.kind == WL_ORDER_RENEW)
		renewal_take(at, order);
	else
		rig.answer(order, WL_ORDER_DONE);
}

uint64_t CrashFleet::used_cpu(size_t at) const
{
	uint64_t used = 0;

	for (const auto &run : work[at].runs)
		used += jobs.at(job_of(run.start.task)).cpu_millis;
	return used;
}

/* Return: false if the target refuses the start. */
bool CrashFleet::has_room(size_t at, const SchedOrder &order)
{
	uint64_t needed = used_cpu(at) + jobs[job_of(order.task)].cpu_millis;

	starts++;
	if (machines[at].known_cpu_millis && needed > machines[at].known_cpu_millis) {
		starts_over++;
		history_add("over " + machines[at].id + " start " + order.task + " used " +
			    std::to_string(used_cpu(at)) + " capacity " +
			    std::to_string(machines[at].cpu_millis));
	}
	return !options.guards || needed <= machines[at].cpu_millis;
}

void CrashFleet::start_take(size_t at, const SchedOrder &order)
{
	const FleetJob &job = jobs[job_of(order.task)];
	auto guilty_one = guilty.find(order.task);

	if (!has_room(at, order)) {
		rig.answer(order, WL_ORDER_NO_CAPACITY);
		return;
	}
	EXPECT_EQ(running_tasks[order.task]++, 0u) << order.task << " runs twice";
	if (interrupted_since.count(order.task)) {
		interrupted_max_ms = std::max(interrupted_max_ms,
					      (rig.now - interrupted_since[order.task]) / MS);
		interrupted_since.erase(order.task);
	}
	uint64_t end_ns = job.work_ms && !job.gang ? rig.now + job.work_ms * MS : 0;
	work[at].runs.push_back({order, end_ns, WL_END_DONE, order.lease_ms, rig.now});
	if (job.gang)
		gang_update(order);
	if (guilty_one == guilty.end()) {
		done(order);
		return;
	}
	guilty_one->second.starts++;
	guilty_one->second.starts_after_third += guilty_one->second.crashes >= CRASHES_MAX;
	history_add("start " + order.task + " run " + std::to_string(order.run) + " on " +
		    machines[at].id + " beside " + std::to_string(work[at].runs.size() - 1));
	if (machines[at].crash_ns == 0)
		machines[at].crash_ns = rig.now + CRASH_MS * MS;
	if (random() % 100 < UNANSWERED_PERCENT)
		work[at].unanswered.push_back(order);
	else
		done(order);
}

/* A gang works from the moment when all its members are present. */
void CrashFleet::gang_update(const SchedOrder &start)
{
	std::string job = job_of(start.task);
	std::vector<Run *> members;

	for (auto &one : work)
		for (auto &run : one.runs)
			if (job_of(run.start.task) == job && run.start.run == start.run)
				members.push_back(&run);
	bool complete = members.size() == step_sizes[job];
	for (auto *member : members) {
		member->end_ns = rig.now + (complete ? jobs[job].work_ms : INCOMPLETE_MS) * MS;
		member->how = complete ? WL_END_DONE : WL_END_GANG_INCOMPLETE;
	}
}

/* The other members of a gang notice that one has gone. */
void CrashFleet::gang_break(const Run &gone)
{
	std::string job = job_of(gone.start.task);

	for (auto &one : work)
		for (auto &run : one.runs)
			if (job_of(run.start.task) == job && run.start.run == gone.start.run &&
			    run.how != WL_END_GANG_BROKEN) {
				run.end_ns = rig.now + BROKEN_MS * MS;
				run.how = WL_END_GANG_BROKEN;
			}
}

void CrashFleet::run_gone(const Run &run, bool done)
{
	const FleetJob &job = jobs[job_of(run.start.task)];

	running_tasks[run.start.task]--;
	if (job.work_ms == 0)
		interrupted_since[run.start.task] = rig.now;
	if (job.gang && !done)
		gang_break(run);
}

void CrashFleet::run_end(size_t at, size_t index, wl_run_outcome_t how)
{
	Work &target = work[at];
	Run run = target.runs[index];

	target.runs.erase(target.runs.begin() + static_cast<long>(index));
	target.ends.push_back({++target.newest_end, run.start, how});
	run_gone(run, how == WL_END_DONE);
}

void CrashFleet::stop_take(size_t at, const SchedOrder &order)
{
	std::vector<Run> &runs = work[at].runs;

	for (size_t i = runs.size(); i-- > 0;)
		if (runs[i].start.task == order.task && runs[i].start.run == order.run) {
			runs[i].end_ns = rig.now + options.stop_ms * MS;
			runs[i].how = WL_END_STOPPED;
		}
	done(order);
}

void CrashFleet::renewal_take(size_t at, const SchedOrder &order)
{
	std::vector<End> &ends = work[at].ends;

	for (auto &run : work[at].runs)
		run.lease_ms = std::max(run.lease_ms, order.lease_ms);
	while (!ends.empty() && ends.front().number <= order.seen)
		ends.erase(ends.begin());
	work[at].renewals.push_back(order);
	work[at].renewals_ns.push_back(rig.now);
}

void CrashFleet::renewal_answer(size_t at, const SchedOrder &renewal)
{
	std::vector<wl_run_view_t> views;
	std::vector<wl_end_view_t> ends;

	for (const auto &run : work[at].runs)
		views.push_back(SchedRig::view(run.start));
	for (const auto &end : work[at].ends)
		ends.push_back(SchedRig::end(end.start, end.number, end.how));
	work[at].newest_listed_end = work[at].newest_end;
	rig.answer_hold(renewal, views, ends, machines[at].incarnation);
}

void CrashFleet::renewals_answer(size_t at)
{
	Work &target = work[at];

	for (size_t i = target.renewals.size(); i-- > 0;) {
		SchedOrder renewal = target.renewals[i];

		if (target.newest_end == target.newest_listed_end &&
		    rig.now - target.renewals_ns[i] < renewal.wait_ms * MS)
			continue;
		target.renewals.erase(target.renewals.begin() + static_cast<long>(i));
		target.renewals_ns.erase(target.renewals_ns.begin() + static_cast<long>(i));
		renewal_answer(at, renewal);
	}
}

/* Everything on a target ends without a trace. */
void CrashFleet::target_down(size_t at, uint64_t down_ms, bool silent)
{
	Machine &machine = machines[at];
	Work lost = work[at];

	work[at] = Work();
	machine.up = false;
	machine.crash_ns = 0;
	machine.back_ns = rig.now + down_ms * MS;
	machine.silent_ns = silent ? machine.back_ns : 0;
	for (const auto &run : lost.runs)
		run_gone(run, false);
	lost.renewals.insert(lost.renewals.end(), lost.unanswered.begin(), lost.unanswered.end());
	for (const auto &order : lost.renewals)
		if (silent)
			fail_later(order);
		else
			rig.answer(order, WL_ORDER_NO_ANSWER);
}

void CrashFleet::crash(size_t at)
{
	std::string names;

	for (const auto &run : work[at].runs) {
		auto found = guilty.find(run.start.task);

		if (found == guilty.end())
			continue;
		found->second.crashes++;
		names += " " + run.start.task;
	}
	crashes++;
	machines[at].crashes++;
	history_add("crash " + machines[at].id + " runs " + std::to_string(work[at].runs.size()) +
		    " guilty" + names);
	target_down(at, options.back_ms, false);
}

void CrashFleet::target_step(size_t at)
{
	Machine &machine = machines[at];

	if (!machine.up) {
		if (rig.now < machine.back_ns)
			return;
		bool renamed = random() % 100 < NEW_ID_PERCENT;
		target_begin(at,
			     renamed ? "i-" + std::to_string(1000 + next_incarnation) : machine.id);
		return;
	}
	if (machine.crash_ns && rig.now >= machine.crash_ns) {
		crash(at);
		return;
	}
	for (size_t i = work[at].runs.size(); i-- > 0;) {
		const Run &run = work[at].runs[i];

		if (run.lease_ms <= clock_ms())
			run_end(at, i, WL_END_LEASE_EXPIRED);
		else if (run.end_ns && run.end_ns <= rig.now)
			run_end(at, i, run.how);
	}
	if (rig.now >= machine.cut_ns)
		renewals_answer(at);
	if (rig.now - machine.reported_ns >= REPORT_MS * MS)
		target_report(at);
}

void CrashFleet::power_off(const std::function<bool(const Machine &)> &which, uint64_t down_ms)
{
	for (size_t i = 0; i < machines.size(); i++)
		if (machines[i].up && which(machines[i]))
			target_down(i, down_ms + random() % 1000, options.silent_power_loss);
}

void CrashFleet::resize(size_t at, uint64_t cpu_millis)
{
	/* The orders that were sent before the report arrive before the change. */
	orders_take();
	machines[at].cpu_millis = cpu_millis;
	if (machines[at].up)
		target_report(at);
}

void CrashFleet::cut(size_t at, uint64_t ms)
{
	machines[at].cut_ns = rig.now + ms * MS;
	for (const auto &renewal : work[at].renewals)
		fail_later(renewal);
	work[at].renewals.clear();
	work[at].renewals_ns.clear();
}

/* A target drains, announces its exit, and exits later; what it runs is stopped until then. */
void CrashFleet::depart(size_t at, uint64_t exit_ms, uint64_t down_ms)
{
	machines[at].draining = true;
	target_report(at);
	rig.runner_left(machines[at].id, machines[at].incarnation);
	simulate(exit_ms);
	target_down(at, down_ms, false);
}

long CrashFleet::machine_of(const std::string &task) const
{
	for (size_t i = 0; i < work.size(); i++)
		for (const auto &run : work[i].runs)
			if (run.start.task == task)
				return static_cast<long>(i);
	return -1;
}

size_t CrashFleet::running(const std::string &job) const
{
	size_t count = 0;

	for (const auto &one : work)
		for (const auto &run : one.runs)
			count += job_of(run.start.task) == job;
	return count;
}

size_t CrashFleet::ended(const std::string &state) const
{
	size_t count = 0;

	for (const auto &one : jobs)
		count += one.second.state == state;
	return count;
}
