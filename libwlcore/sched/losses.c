/*
 * Ends of runs that their target has not listed.
 *
 * A run counts as ended without such a listing only if its target certainly does not have it, if
 * every lease has expired, or if the end of the target's incarnation is proved.
 *
 * A start without an answer may still be on its way. The incarnation that has answered a stop of
 * the run, or an order of a later leader, refuses it; a later incarnation under the same id would
 * carry it out. The deadlines of our orders say nothing of the leases that one grants, as its
 * clock is another one: they may be the longest that a target grants.
 */

#include "internal.h"

#include <stdlib.h>

/* A start without an answer of a run that has ended, as its target has answered a stop of it. */
struct wl_sched_open_start {
	wl_task_ref_t task;
	uint64_t run;
	uint64_t incarnation; /* of the target, when the run ended */
	uint64_t over_ns;     /* it may be carried out until then */
	TAILQ_ENTRY(wl_sched_open_start) link;
};

static void open_start_remove(wl_sched_runner_t *runner, wl_sched_open_start_t *start)
{
	TAILQ_REMOVE(&runner->open_starts, start, link);
	wl_buf_free(&start->task.job);
	free(start);
}

static void open_starts_expire(wl_sched_runner_t *runner, uint64_t now_ns)
{
	wl_sched_open_start_t *start = TAILQ_FIRST(&runner->open_starts);

	while (start) {
		wl_sched_open_start_t *next = TAILQ_NEXT(start, link);

		if (now_ns >= start->over_ns)
			open_start_remove(runner, start);
		start = next;
	}
}

static void open_start_add(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	wl_sched_open_start_t *start;

	open_starts_expire(run->runner, now_ns);
	if (!job)
		return;
	start = wl_alloc(sizeof(*start));
	wl_job_task_ref(job, run->task, &start->task);
	wl_buf_set(&start->task.job, wl_buf_str(&run->job));
	start->run = run->number;
	start->incarnation = run->runner->incarnation;
	start->over_ns = run->start_over_ns;
	TAILQ_INSERT_TAIL(&run->runner->open_starts, start, link);
}

/*
 * wl_sched_open_starts_stop - stop the runs of open starts on the present incarnation
 *
 * A stop that the earlier incarnation answered does not keep this one from carrying out the start.
 */
void wl_sched_open_starts_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner)
{
	const wl_sched_open_start_t *start;

	open_starts_expire(runner, now_ns);
	TAILQ_FOREACH (start, &runner->open_starts, link) {
		wl_order_t order = {
			.kind = WL_ORDER_STOP,
			.task = start->task, /* not owned */
			.run = start->run,
			.timeout_ms = WL_SCHED_STOP_TIMEOUT_MS,
		};

		wl_sched_order_add(sched, now_ns, runner, &order, NULL);
	}
}

/*
 * wl_sched_open_starts_remain - whether the present incarnation of a target may carry out a start
 * of a run that has ended
 *
 * The one that was ordered to stop the run, and is still up, refuses it.
 */
bool wl_sched_open_starts_remain(wl_sched_runner_t *runner, uint64_t now_ns)
{
	const wl_sched_open_start_t *start;

	open_starts_expire(runner, now_ns);
	TAILQ_FOREACH (start, &runner->open_starts, link)
		if (start->incarnation != runner->incarnation)
			return true;
	return false;
}

/*
 * wl_sched_open_starts_clear - release the open starts of a target
 */
void wl_sched_open_starts_clear(wl_sched_runner_t *runner)
{
	open_starts_expire(runner, UINT64_MAX);
}

/*
 * wl_sched_run_start_sent - note when the start of a run was sent
 * @sent_ns: of a run of an earlier leader: when our leadership began
 */
void wl_sched_run_start_sent(wl_sched_run_t *run, uint64_t sent_ns)
{
	run->start_sent_ns = sent_ns;
	run->start_over_ns =
		sent_ns + (WL_SCHED_START_TIMEOUT_MS + WL_SCHED_ORDER_LATE_MS) * WL_NS_PER_MS;
}

/* Whether the start of a run may be on its way to any incarnation of its target. */
static bool start_open(const wl_sched_run_t *run, uint64_t now_ns)
{
	if (run->phase != WL_RUN_STARTING && run->phase != WL_RUN_UNCONFIRMED &&
	    run->phase != WL_RUN_INHERITED)
		return false;
	return now_ns < run->start_over_ns;
}

/*
 * Whether the lease of a run is over that neither a list of its target nor the answer to its start
 * places on the known incarnation. A later one that has taken the start grants the longest lease.
 * Without a sign of a later one, a start that got no answer was not carried out.
 */
static bool unknown_lease_over(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns)
{
	uint64_t late_ns = run->runner->late_orders_over_ns;
	uint64_t start_ns = run->phase == WL_RUN_CONFIRMED ? run->answered_ns : run->start_over_ns;

	if (run->phase == WL_RUN_INHERITED ||
	    (run->phase != WL_RUN_CONFIRMED && run->incarnation == run->runner->incarnation))
		return now_ns >= run->start_over_ns;
	return now_ns > (late_ns > start_ns ? late_ns : start_ns) +
				wl_sched_lease_bound_ns(sched->options.lease_max_ms);
}

/*
 * wl_sched_lease_over - whether the lease of a run is over, given that those by the target's known
 * clock are
 */
bool wl_sched_lease_over(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns)
{
	if (run->listed_by && run->listed_by != run->runner->incarnation)
		return true;
	if (run->listed_by || run->lease_bounded)
		return now_ns > run->runner->known.late_leases_expiry_ns;
	return unknown_lease_over(sched, run, now_ns);
}

/*
 * wl_sched_runs_expire - propose the ends of a target's runs, whose leases have all expired
 *
 * Return: whether any has ended. Runs that may be on a later incarnation have not.
 */
bool wl_sched_runs_expire(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			  wl_out_t *out)
{
	wl_cmd_runs_end_t ends = {0};

	wl_sched_crash_expired(sched, now_ns, runner, &ends, out);
	if (ends.ends.count == 0)
		return false;
	wl_out_log(out, WL_WARN, "target-lapsed",
		   "target=" WL_STR_FMT " runs=%zu silent_ms=%llu lease_ms=%llu life=%llu",
		   WL_STR_ARG(runner->key), ends.ends.count,
		   (unsigned long long)((now_ns - runner->answered_ns) / WL_NS_PER_MS),
		   (unsigned long long)sched->options.lease_ms,
		   (unsigned long long)runner->incarnation);
	wl_sched_ends_propose(sched, now_ns, &ends, out);
	return true;
}

/*
 * wl_sched_stops_forget - forget the stops sent to an incarnation of a target that has ended
 *
 * The next one knows nothing of them, and would carry out a start that arrives late.
 */
void wl_sched_stops_forget(wl_sched_runner_t *runner)
{
	wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link) {
		run->stop_sent_ns = 0;
		run->stop_due_ns = 0;
		run->stop_open = false;
		run->stop_answered_ns = 0;
	}
}

/* Whether another incarnation may still carry out the start that the present one refuses. */
static bool may_start_later(const wl_sched_run_t *run, uint64_t now_ns)
{
	return run->incarnation != run->runner->incarnation && start_open(run, now_ns);
}

/*
 * wl_sched_run_unknown - whether the target's next answer tells what became of a run
 */
bool wl_sched_run_unknown(const wl_sched_run_t *run, uint64_t now_ns)
{
	if (run->phase == WL_RUN_UNCONFIRMED && run->stop_answered_ns == 0)
		return true;
	if (run->phase != WL_RUN_UNCONFIRMED && run->phase != WL_RUN_INHERITED)
		return false;
	return !may_start_later(run, now_ns);
}

static bool run_absent(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, uint64_t sent_ns)
{
	switch (run->phase) {
	case WL_RUN_CONFIRMED:
		return run->answered_ns < sent_ns;
	case WL_RUN_INHERITED:
		/*
		 * The renewal carried our epoch, so that the target refuses starts of earlier
		 * leaders.
		 */
		return !may_start_later(run, now_ns);
	case WL_RUN_UNCONFIRMED:
		/* this incarnation has begun since the start could be carried out */
		if (run->runner->began_ns >= run->start_over_ns)
			return true;
		if (run->stop_answered_ns && run->stop_answered_ns < sent_ns)
			return !may_start_later(run, now_ns);
		if (run->stop_sent_ns == 0)
			wl_sched_stop_send(sched, now_ns, run);
		return false;
	case WL_RUN_PROPOSED:
	case WL_RUN_STARTING:
	case WL_RUN_ENDING:
		break;
	}
	return false;
}

/*
 * wl_sched_absent_collect - collect the ends of the runs that the target no longer has
 * @sent_ns: when the renewal was sent whose answer does not list them
 *
 * A run whose start got no answer is first ordered to stop, unless the incarnation has begun too
 * late to carry the start out.
 */
void wl_sched_absent_collect(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			     uint64_t sent_ns, wl_cmd_runs_end_t *ends)
{
	wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link) {
		bool same = run->incarnation == runner->incarnation;

		if (run->listed || !run_absent(sched, now_ns, run, sent_ns))
			continue;
		if (start_open(run, now_ns))
			open_start_add(sched, run, now_ns);
		wl_sched_run_lost_add(sched, now_ns, run, same ? "absent" : "restarted", ends);
	}
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

	runner->known.removal_proposed = true;
	runner->known.removal_reason = reason;
	runner->fit.usable = false;
	wl_sched_row_outdate(sched, runner);
	wl_buf_set(&cmd.u.runner_put.id, runner->key);
	cmd.u.runner_put.incarnation = runner->state->report.incarnation;
	cmd.u.runner_put.exiting = true;
	wl_out_log(out, runner->known.departing ? WL_INFO : WL_WARN, "target-gone",
		   "target=" WL_STR_FMT " reason=%s answered_ms=%llu life=%llu address=" WL_STR_FMT
		   " agent=" WL_STR_FMT " agent_answered=%s",
		   WL_STR_ARG(runner->key), reason,
		   (unsigned long long)((now_ns - runner->answered_ns) / WL_NS_PER_MS),
		   (unsigned long long)runner->incarnation,
		   WL_STR_ARG(wl_buf_str(&runner->state->report.address)),
		   WL_STR_ARG(agent ? wl_buf_str(&agent->name) : WL_STR("-")),
		   agent && (runner->known.answered_agents & agent->bit) ? "yes" : "no");
	wl_sched_propose(sched, now_ns, &cmd, out);
}

/*
 * wl_sched_runner_departed - remove a target that has left, and queue the tasks that it ran
 *
 * Proposed starts on it are decided by their commit: a task that was queued again before would be
 * started elsewhere under the same run number.
 */
void wl_sched_runner_departed(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      wl_out_t *out)
{
	const char *reason =
		runner->known.removal_reason ? runner->known.removal_reason : "departed";
	wl_sched_run_t *run;

	wl_out_log(out, WL_INFO, "target-left", "target=" WL_STR_FMT " life=%llu reason=%s",
		   WL_STR_ARG(runner->key), (unsigned long long)runner->incarnation, reason);
	while ((run = TAILQ_FIRST(&runner->runs))) {
		wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
		uint64_t task = run->task;
		bool proposed = run->phase == WL_RUN_PROPOSED;
		uint64_t lost_ns = wl_sched_run_lost_ns(sched, run, now_ns);

		if (!proposed)
			wl_sched_run_end_note(sched, now_ns, run, WL_END_LOST, reason, out);
		wl_sched_run_remove(sched, run);
		if (job && !proposed)
			wl_sched_task_enqueue(sched, now_ns, job, task, lost_ns);
	}
	wl_sched_runner_remove(sched, runner);
}
