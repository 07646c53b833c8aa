/*
 * Ends of runs that their target has not listed.
 *
 * A run counts as ended without such a listing only if its target certainly does not have it, if
 * every lease has expired, or if the end of the target's incarnation is proved.
 */

#include "internal.h"

/*
 * wl_sched_runs_expire - propose the ends of a target's runs, whose leases have all expired
 */
void wl_sched_runs_expire(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			  wl_out_t *out)
{
	wl_cmd_runs_end_t ends = {0};

	wl_sched_crash_expired(sched, now_ns, runner, &ends, out);
	wl_out_log(out, WL_WARN, "target-lapsed",
		   "target=" WL_STR_FMT " runs=%zu silent_ms=%llu lease_ms=%llu life=%llu",
		   WL_STR_ARG(runner->key), ends.ends.count,
		   (unsigned long long)((now_ns - runner->answered_ns) / WL_NS_PER_MS),
		   (unsigned long long)sched->options.lease_ms,
		   (unsigned long long)runner->incarnation);
	wl_sched_ends_propose(sched, now_ns, &ends, out);
}

/*
 * wl_sched_absent_collect - collect the ends of the runs that the target no longer has
 * @sent_ns: when the renewal was sent whose answer does not list them
 */
void wl_sched_absent_collect(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			     uint64_t sent_ns, wl_cmd_runs_end_t *ends)
{
	wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link)
		if (!run->listed && wl_sched_run_absent(sched, now_ns, run, sent_ns))
			wl_sched_run_lost_add(sched, now_ns, run,
					      run->incarnation == runner->incarnation ? "absent"
										      : "restarted",
					      ends);
}

/*
 * wl_sched_removal_propose - propose to remove a target, which ends all its runs
 * @reason: for the log
 * @agent: the agent whose order led to it; NULL: none
 */
void wl_sched_removal_propose(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      const char *reason, const wl_sched_agent_t *agent, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_RUNNER_PUT};

	runner->removal_proposed = true;
	runner->fit.usable = false;
	runner->removal_reason = reason;
	wl_buf_set(&cmd.u.runner_put.id, runner->key);
	cmd.u.runner_put.incarnation = runner->state->report.incarnation;
	cmd.u.runner_put.exiting = true;
	wl_out_log(out, runner->departing ? WL_INFO : WL_WARN, "target-gone",
		   "target=" WL_STR_FMT " reason=%s answered_ms=%llu life=%llu address=" WL_STR_FMT
		   " agent=" WL_STR_FMT " agent_answered=%s",
		   WL_STR_ARG(runner->key), reason,
		   (unsigned long long)((now_ns - runner->answered_ns) / WL_NS_PER_MS),
		   (unsigned long long)runner->incarnation,
		   WL_STR_ARG(wl_buf_str(&runner->state->report.address)),
		   WL_STR_ARG(agent ? wl_buf_str(&agent->name) : WL_STR("-")),
		   agent && (runner->answered_agents & agent->bit) ? "yes" : "no");
	wl_sched_propose(sched, now_ns, &cmd, out);
}

/*
 * wl_sched_runner_departed - remove a target that has left, and queue the tasks that it ran
 */
void wl_sched_runner_departed(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      wl_out_t *out)
{
	const char *reason = runner->removal_reason ? runner->removal_reason : "departed";
	wl_sched_run_t *run;

	wl_out_log(out, WL_INFO, "target-left", "target=" WL_STR_FMT " life=%llu reason=%s",
		   WL_STR_ARG(runner->key), (unsigned long long)runner->incarnation, reason);
	while ((run = TAILQ_FIRST(&runner->runs))) {
		wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
		uint64_t task = run->task;
		uint64_t ended_ns = run->phase == WL_RUN_PROPOSED ? run->previous_end_ns : now_ns;

		if (run->phase != WL_RUN_PROPOSED)
			wl_sched_run_end_log(run, WL_END_LOST, reason, out);
		wl_sched_run_remove(sched, run);
		if (job)
			wl_sched_task_enqueue(sched, now_ns, job, task, ended_ns);
	}
	wl_sched_runner_remove(sched, runner);
}
