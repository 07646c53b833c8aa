#include "sched_history.h"

#include <algorithm>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t STEPS_MAX = 2;
constexpr uint64_t TASKS_MAX = 4;
constexpr uint64_t WORK_MAX = 10 * SECOND;
constexpr uint64_t WORK_SHORT_MAX = 2 * SECOND;
constexpr uint64_t ENDLESS = 1000000 * SECOND;
constexpr uint64_t GANG_TIMEOUT = 3 * SECOND;
constexpr uint64_t FAILS_PERMILLE = 30;
constexpr uint64_t CANCELLED_PERMILLE = 700;
constexpr uint64_t CANCEL_SOON = 200 * MS; /* its submission may be on its way */
constexpr uint64_t CANCEL_LATER = 8 * SECOND;
constexpr uint64_t CRASHES_MAX = 3; /* under a task, at which its job fails */

std::string job_of(const std::string &task)
{
	return task.substr(0, task.find('.'));
}
} // namespace

void SchedHistory::job_submit()
{
	uint64_t kind = below(10);
	uint64_t lasting_max = faults & FAULT_CANCELS ? 5 : 2;
	Job job = {"j" + std::to_string(jobs.size() + 1),
		   {},
		   kind < 2,
		   kind >= 2 && kind <= lasting_max,
		   false};

	for (uint64_t i = 0; i <= below(STEPS_MAX) && !(i && job.lasting); i++)
		job.counts.push_back(1 + below(TASKS_MAX));
	if (faults & FAULT_CANCELS) {
		job.submit_ns = rig.now;
		if (chance(CANCELLED_PERMILLE))
			job.cancel_ns = rig.now + below(chance(300) ? CANCEL_SOON : CANCEL_LATER);
	} else {
		job_send(job);
	}
	jobs.push_back(job);
	note("job %s%s%s", job.id.c_str(), job.gang ? ", a gang" : "",
	     job.lasting ? ", lasting" : "");
}

uint64_t SchedHistory::job_send(const Job &job)
{
	wl_step_spec_t *steps = rig.job("q", job.id, job.counts);

	for (size_t i = 0; i < job.counts.size(); i++) {
		steps[i].gang = job.gang;
		steps[i].lasting = job.lasting;
	}
	return rig.submit();
}

void SchedHistory::lasting_cancel()
{
	if (!leading)
		lead();
	for (auto &job : jobs) {
		job.cancelled = job.lasting && chance(500);
		if (!job.cancelled)
			continue;
		if (!(faults & FAULT_CANCELS))
			rig.cancel("q", job.id);
		else if (!job.cancel_ns)
			job.cancel_ns = rig.now;
	}
}

size_t SchedHistory::runs_up(const std::string &job) const
{
	size_t count = 0;

	for (const auto &target : targets)
		for (const auto &run : target->model.runs)
			count += job_of(run.task) == job;
	return count;
}

/* Whether as many targets have crashed under a task, or under the members of a gang, as give it up.
 */
bool SchedHistory::may_fail(const Job &job) const
{
	uint64_t most = 0;
	uint64_t sum = 0;

	for (const auto &one : crashes) {
		if (job_of(one.first) != job.id)
			continue;
		most = std::max(most, one.second);
		sum += one.second;
	}
	return (job.gang ? sum : most) >= CRASHES_MAX;
}

bool SchedHistory::job_settled(const Job &job) const
{
	if (rig.job_state(job.id) == "failed" && may_fail(job))
		return runs_up(job.id) == 0;
	if ((faults & FAULT_CANCELS) && (!job.submitted || job.cancel_ns))
		return job.submitted && ended(job) && runs_up(job.id) == 0;
	if (job.cancelled)
		return rig.job_state(job.id) == "cancelled" && runs_up(job.id) == 0;
	if (job.lasting)
		return runs_up(job.id) == job.counts[0];
	return rig.job_state(job.id) == "completed";
}

/* The first job that is not completed, or of a lasting job not at work; empty: there is none. */
std::string SchedHistory::unsettled() const
{
	for (const auto &job : jobs)
		if (!job_settled(job))
			return job.id;
	return "";
}

bool SchedHistory::in_gang(const std::string &task) const
{
	return std::any_of(jobs.begin(), jobs.end(),
			   [&](const Job &job) { return job.gang && job.id == job_of(task); });
}

TargetModel::Work SchedHistory::work_of(const std::string &task)
{
	TargetModel::Work work = {below(chance(500) ? WORK_SHORT_MAX : WORK_MAX),
				  chance(FAILS_PERMILLE)};

	for (const auto &job : jobs)
		if (job.id == job_of(task) && (job.gang || job.lasting) && !work.fails)
			work.duration_ns = ENDLESS;
	return work;
}

SchedHistory::Gang *SchedHistory::gang_of(const TargetModel::Run &run)
{
	std::string step = run.task.substr(0, run.task.rfind('.'));
	size_t index = std::stoul(step.substr(step.rfind('.') + 1));

	for (auto &gang : gangs)
		if (gang.step == step && gang.run == run.run)
			return &gang;
	for (const auto &job : jobs)
		if (job.id == job_of(run.task))
			gangs.push_back({step, run.run, job.counts[index], rig.now, 0, {}});
	return &gangs.back();
}

void SchedHistory::gang_end(const Gang &gang, wl_run_outcome_t how)
{
	for (const auto &member : gang.members)
		member.first->model.end(rig.now, member.second, how);
}

/* The members make progress only while all of them run, and end together. */
void SchedHistory::gang_step(Gang *gang)
{
	bool complete = gang->members.size() == gang->size;

	if (complete && !gang->done_ns)
		gang->done_ns = rig.now + below(WORK_MAX);
	else if (complete && rig.now >= gang->done_ns)
		gang_end(*gang, WL_END_DONE);
	else if (!complete && gang->done_ns)
		gang_end(*gang, WL_END_GANG_BROKEN);
	else if (!complete && rig.now >= gang->since_ns + GANG_TIMEOUT)
		gang_end(*gang, WL_END_GANG_INCOMPLETE);
}

void SchedHistory::gangs_step()
{
	for (auto &gang : gangs)
		gang.members.clear();
	for (const auto &target : targets)
		for (const auto &run : target->model.runs)
			if (in_gang(run.task))
				gang_of(run)->members.emplace_back(target, run.task);
	for (auto &gang : gangs)
		if (!gang.members.empty())
			gang_step(&gang);
}
