#include "sched_history.h"

#include <algorithm>

/* Histories whose jobs are cancelled at any time: callers, agents, routes and the users' bound. */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t QUICK = 30 * MS;
constexpr uint64_t TROUBLE_MIN = SECOND;
constexpr uint64_t TROUBLE_MORE = 4 * SECOND;
constexpr uint64_t CALM_MIN = 5 * SECOND;
constexpr uint64_t CALM_MORE = 4 * SECOND;
constexpr uint64_t RESEND = SECOND;
constexpr uint64_t CUT_NOTICED = 3 * SECOND; /* peer_idle_ms */
constexpr uint64_t CUT_MORE = 5 * SECOND;
constexpr uint64_t REPLACED_MIN = 500 * MS;
constexpr uint64_t REPLACED_MORE = 4 * SECOND;
constexpr uint64_t AGENT_PERMILLE = 8; /* in each step */
constexpr uint64_t ROUTE_PERMILLE = 8;
constexpr uint64_t CANCEL_NEAR_PERMILLE = 500; /* of the faults */
/* The users' bound: cancel_ms and stop_timeout_ms, for late starts after contact_ms. */
constexpr uint64_t CANCEL = 4000 * MS;
constexpr uint64_t GONE_WITHIN = CANCEL + 400 * MS;
constexpr uint64_t GONE_WITHIN_LATE = GONE_WITHIN + 4000 * MS;
constexpr uint64_t CALM_BEFORE = CANCEL;

std::string job_of(const std::string &task)
{
	return task.substr(0, task.find('.'));
}

std::string start_key(const TargetModel &model, const std::string &task, uint64_t run)
{
	return std::to_string(model.born_ms) + "/" + task + "/" + std::to_string(run);
}

bool answered(uint64_t code)
{
	return code == WL_OK || code == WL_E_GONE;
}
} // namespace

void SchedHistory::cancels_step()
{
	calm_step();
	agents_step();
	callers_step();
	if (!leading || rig.now < paused_until_ns || rig.now < commit_ns)
		disturbed_ns = std::max(disturbed_ns, rig.now);
	if (leading && rig.now >= paused_until_ns)
		route_step();
}

/* Trouble and calm alternate, so that there is something to judge. */
void SchedHistory::calm_step()
{
	if (rig.now < calm_change_ns)
		return;
	calm = calm_change_ns && !calm;
	calm_change_ns =
		rig.now + (calm ? CALM_MIN + below(CALM_MORE) : TROUBLE_MIN + below(TROUBLE_MORE));
}

/* A version removes the route of the jobs, a later one brings it back. */
void SchedHistory::route_step()
{
	const wl_queue_t *queues = static_cast<const wl_queue_t *>(rig.jobs->catalog.queues.items);
	bool routed = rig.jobs->catalog.queues.count && queues[0].host.len == 0;

	if (quiet ? routed : !fault(FAULT_CANCELS, ROUTE_PERMILLE))
		return;
	note("a version %s the route", routed ? "removes" : "brings back");
	cancel_near();
	if (routed)
		rig.routes({{"other", "other.example", "/q/", rig.service, 0}});
	else
		rig.routes({{"q", "", "/q/", rig.service, 1000}});
}

/* What is on its way to and from the agent is lost; the leader notices it when its link is down. */
void SchedHistory::agent_cut(const std::string &agent, uint64_t ns, bool noticed)
{
	agent_cut_ns[agent] = rig.now + ns;
	agent_lost_ns[agent] = rig.now + (noticed ? 0 : CUT_NOTICED);
	note("agent %s is %s for %llu ms", agent.c_str(), noticed ? "replaced" : "cut off",
	     static_cast<unsigned long long>(ns / MS));
	cancel_near();
}

/* A caller cancels a job at about the time of a fault. */
void SchedHistory::cancel_near()
{
	if (!(faults & FAULT_CANCELS) || jobs.empty() || !chance(CANCEL_NEAR_PERMILLE))
		return;
	Job &job = jobs[below(jobs.size())];

	if (!job.cancel_ns || job.cancel_ns > rig.now)
		job.cancel_ns = rig.now + below(SECOND);
}

void SchedHistory::agents_reached()
{
	std::vector<std::string> names;

	for (const char *agent : {"s2", "s3"})
		if (rig.now >= agent_cut_ns[agent])
			names.emplace_back(agent);
	rig.agents(names);
}

/* One agent at a time is cut off or replaced. */
void SchedHistory::agent_trouble()
{
	std::string agent = "s" + std::to_string(2 + below(2));
	uint64_t kind = below(3);

	if (!fault(FAULT_CANCELS, AGENT_PERMILLE) || rig.now < agent_cut_ns["s2"] + CALM_BEFORE ||
	    rig.now < agent_cut_ns["s3"] + CALM_BEFORE)
		return;
	if (kind == 0)
		agent_cut(agent, CUT_NOTICED + below(CUT_MORE), false);
	else if (kind == 1)
		agent_cut(agent, REPLACED_MIN + below(REPLACED_MORE), true);
	else
		agent_held_ns[agent] = std::max(agent_held_ns[agent], rig.now + below(CUT_NOTICED));
}

void SchedHistory::agents_step()
{
	bool listens = leading && rig.now >= paused_until_ns;

	agent_trouble();
	for (const char *agent : {"s1", "s2", "s3"}) {
		if (rig.now < agent_held_ns[agent])
			disturbed_ns = rig.now;
		if (!listens || !agent_lost_ns[agent] || rig.now < agent_lost_ns[agent])
			continue;
		agent_lost_ns[agent] = 0;
		agent_link[agent]++;
		note("the link to %s is down", agent);
		rig.link_down(agent);
	}
	if (listens)
		agents_reached();
}

void SchedHistory::callers_step()
{
	for (size_t i = 0; i < jobs.size(); i++) {
		if (!jobs[i].submitted && rig.now >= jobs[i].submit_ns)
			submission_send(i);
		if (jobs[i].cancel_ns && !jobs[i].cancelled_ns && rig.now >= jobs[i].cancel_ns)
			cancel_send(i);
	}
}

/* Without an answer it is sent again, so that copies of it may arrive late. */
void SchedHistory::submission_send(size_t job)
{
	jobs[job].submit_ns = rig.now + RESEND;
	if (fault(FAULT_LOST, 100))
		return;
	to_leader(rig.now + delay_ns(), [this, job] {
		uint64_t call = job_send(jobs[job]);

		note("submission of %s arrives", jobs[job].id.c_str());
		on_answer[call] = [this, job, call] {
			bool lost = fault(FAULT_LOST, 150);

			jobs[job].submitted |= answered(rig.codes[call]) && !lost;
		};
	});
}

void SchedHistory::cancel_send(size_t job)
{
	jobs[job].cancel_ns = rig.now + RESEND;
	if (fault(FAULT_LOST, 100))
		return;
	to_leader(rig.now + delay_ns(), [this, job] {
		uint64_t call = rig.cancel("q", jobs[job].id);

		note("cancelling of %s arrives", jobs[job].id.c_str());
		on_answer[call] = [this, job, call] {
			bool lost = fault(FAULT_LOST, 150);
			uint64_t code = rig.codes[call];

			note("cancelling of %s is answered with %s%s", jobs[job].id.c_str(),
			     wl_code_name(static_cast<wl_code_t>(code)), lost ? ", lost" : "");
			if (answered(code) && !lost && !jobs[job].cancelled_ns)
				jobs[job].cancelled_ns = rig.now;
		};
	});
}

/* Whether a job has ended, or was never accepted. */
bool SchedHistory::ended(const Job &job) const
{
	const wl_job_t *known = rig.find(job.id);

	return (!job.cancel_ns || job.cancelled_ns) && (!known || wl_job_ended(known));
}

/* The leader orders no start of a job whose caller knows that it is cancelled. */
void SchedHistory::start_ordered_check(const SchedOrder &order)
{
	for (const auto &job : jobs)
		if (job.id == job_of(order.task) && job.cancelled_ns &&
		    rig.now > job.cancelled_ns) {
			conditions = "start ordered after the cancelling; ";
			fail("start of " + order.task + " was ordered after its cancelling");
		}
}

/* A start counts as late if it is carried out later than its agent has sent it. */
void SchedHistory::start_note(const CallRef &call, const Target &target)
{
	if (rig.now > call->received_ns + 2 * QUICK)
		late_starts[start_key(target->model, call->order.task, call->order.run)] = rig.now;
}

void SchedHistory::disturb(const Target &target, uint64_t until_ns)
{
	if (target)
		target->disturbed_ns = std::max(target->disturbed_ns, until_ns);
}

uint64_t SchedHistory::answer_delay_ns(const CallRef &call)
{
	uint64_t delay = delay_ns();

	if (delay > QUICK)
		disturb(target_at(call->order.address), rig.now + delay);
	return delay;
}

/*
 * No disruption near: rules, UNASKED. That one agent is cut off is none, as the leader has others
 * for its orders.
 */
bool SchedHistory::is_calm(const Target &target) const
{
	uint64_t newest_ns = std::max(
		{disturbed_ns, target->disturbed_ns, target->cut_until_ns, target->up_since_ns});

	return rig.now >= newest_ns + CALM_BEFORE;
}

void SchedHistory::cancels_check()
{
	for (const auto &target : targets)
		for (const auto &run : target->model.runs)
			cancelled_run_check(target, run);
}

void SchedHistory::cancelled_run_check(const Target &target, const TargetModel::Run &run)
{
	auto late = late_starts.find(start_key(target->model, run.task, run.run));
	uint64_t limit_ns = late == late_starts.end() ? 0 : late->second + GONE_WITHIN_LATE;

	for (const auto &job : jobs) {
		if (job.id != job_of(run.task) || !job.cancelled_ns || !failure.empty())
			continue;
		limit_ns = std::max(limit_ns, job.cancelled_ns + GONE_WITHIN);
		if (rig.now < limit_ns || !is_calm(target))
			continue;
		conditions = "run of a cancelled job; ";
		if (!rig.find(job.id))
			conditions += "job not known; ";
		else if (!wl_job_ended(rig.find(job.id)))
			conditions += "job live; ";
		if (late != late_starts.end())
			conditions += "late start; ";
		if (run.origin.term < term)
			conditions += "start of deposed leader; ";
		if (run.origin.life != target->model.born_ms)
			conditions += "start on other incarnation; ";
		if (run.stop_ns)
			conditions += "stop ordered; ";
		if (target->draining)
			conditions += "target drains; ";
		fail("run " + std::to_string(run.run) + " of " + run.task + " is on " +
		     target->model.id + " " + std::to_string((rig.now - job.cancelled_ns) / MS) +
		     " ms after its cancelling was acknowledged");
	}
}

bool SchedHistory::teardown_late() const
{
	std::string late = rig.metric("wisterialead_job_teardowns_late{}");

	return !late.empty() && late != "0";
}

/* After the faults, nothing of a cancelled job is left, and the leader is done with all. */
void SchedHistory::cancels_end_check()
{
	for (const auto &job : jobs)
		if (job.cancelled_ns && runs_up(job.id)) {
			conditions = "run of a cancelled job at the end; ";
			fail("job " + job.id + " has runs at the end");
		}
	if (teardown_late()) {
		conditions = "late teardowns at the end; ";
		fail("teardowns are late at the end");
	}
}
