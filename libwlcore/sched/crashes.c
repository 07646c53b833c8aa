/*
 * Crashes of targets under their runs.
 *
 * A target has crashed if a later incarnation is known, at its id or at its address, and it had
 * not announced its end. Silence alone is no crash.
 */

#include "internal.h"

/* Whether the target announced that it drains or leaves. */
static bool has_announced_end(const wl_sched_runner_t *runner)
{
	return runner->departing || runner->state->report.draining;
}

/*
 * wl_sched_crash_incarnation_end - record how the known incarnation of a target has ended
 *
 * Must be called before the data of the later incarnation replaces that of the known one.
 */
void wl_sched_crash_incarnation_end(uint64_t now_ns, wl_sched_runner_t *runner,
				    uint64_t incarnation)
{
	runner->previous_announced_end =
		runner->state->report.incarnation < incarnation && has_announced_end(runner);
	runner->previous_lost_ns =
		runner->unreachable_since_ns ? runner->unreachable_since_ns : now_ns;
	runner->unreachable_since_ns = 0;
	runner->previous_heard_ns = runner->heard_ns;
	runner->heard_ns = 0;
}

/*
 * A run that was placed after the target had become unreachable was not there. When an earlier
 * leader placed it is not known.
 */
static bool run_was_there(const wl_sched_run_t *run, uint64_t lost_ns)
{
	return run->phase == WL_RUN_INHERITED ||
	       (run->phase != WL_RUN_PROPOSED && run->placed_ns < lost_ns);
}

/*
 * Adds the end of a run that its target did not list.
 * @crashed: whether the incarnation crashed that it ran on
 * @heard_ns: newest answer of that incarnation; 0: none is known
 */
static void end_add(const wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, bool crashed,
		    uint64_t heard_ns, const char *reason, wl_cmd_runs_end_t *ends)
{
	bool was_heard = heard_ns && run->started_ms && run->phase != WL_RUN_UNCONFIRMED;
	wl_run_end_t *row =
		wl_sched_run_end_add(run, crashed ? WL_END_CRASHED : WL_END_LOST, reason, ends);
	uint64_t heard_ms = wl_sched_clock_ms(sched, now_ns) - (now_ns - heard_ns) / WL_NS_PER_MS;

	if (crashed && was_heard && heard_ms > run->started_ms)
		row->ran_ms = heard_ms - run->started_ms;
}

/*
 * wl_sched_run_lost_add - add the end of a run that its target does not list any more
 * @reason: for the log
 */
void wl_sched_run_lost_add(const wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			   const char *reason, wl_cmd_runs_end_t *ends)
{
	const wl_sched_runner_t *runner = run->runner;
	bool crashed = run->incarnation < runner->incarnation && !runner->previous_announced_end &&
		       run_was_there(run, runner->previous_lost_ns);

	end_add(sched, now_ns, run, crashed, runner->previous_heard_ns, reason, ends);
}

static void crash_log(const wl_sched_runner_t *runner, uint64_t lost_ns, uint64_t now_ns,
		      const char *reason, size_t runs, wl_out_t *out)
{
	wl_out_log(out, WL_WARN, "target-crash",
		   "target=" WL_STR_FMT " life=%llu address=" WL_STR_FMT
		   " reason=%s runs=%zu lost_ms_ago=%llu",
		   WL_STR_ARG(runner->key), (unsigned long long)runner->state->report.incarnation,
		   WL_STR_ARG(wl_buf_str(&runner->state->report.address)), reason, runs,
		   (unsigned long long)((now_ns - lost_ns) / WL_NS_PER_MS));
}

/*
 * wl_sched_crash_restarted - log the crash that a later incarnation of a target proves
 * @ends: of the runs that ended with it
 */
void wl_sched_crash_restarted(uint64_t now_ns, const wl_sched_runner_t *runner,
			      const wl_cmd_runs_end_t *ends, wl_out_t *out)
{
	const wl_run_end_t *rows = ends->ends.items;
	size_t crashed = 0;

	for (size_t i = 0; i < ends->ends.count; i++)
		crashed += rows[i].outcome == WL_END_CRASHED;
	if (crashed > 0)
		crash_log(runner, runner->previous_lost_ns, now_ns, "restarted", crashed, out);
}

/*
 * wl_sched_crash_address_taken - end the runs of a target whose address another one has, and
 * remove it
 * @agent: the agent that found it
 *
 * The ends are committed first, so that they count if the leader changes before the removal.
 */
void wl_sched_crash_address_taken(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
				  const wl_sched_agent_t *agent, wl_out_t *out)
{
	uint64_t lost_ns = runner->unreachable_since_ns ? runner->unreachable_since_ns : now_ns;
	bool announced = has_announced_end(runner);
	wl_cmd_runs_end_t ends = {0};
	wl_sched_run_t *run;
	size_t crashed = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		bool counts = !announced && run_was_there(run, lost_ns);

		if (run->phase == WL_RUN_PROPOSED || run->phase == WL_RUN_ENDING)
			continue;
		end_add(sched, now_ns, run, counts, runner->heard_ns, "address-taken", &ends);
		crashed += counts;
	}
	if (crashed > 0)
		crash_log(runner, lost_ns, now_ns, "address-taken", crashed, out);
	wl_sched_ends_propose(sched, now_ns, &ends, out);
	wl_sched_removal_propose(sched, now_ns, runner, "address-taken", agent, out);
}
