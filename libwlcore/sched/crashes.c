/*
 * Crashes of targets under their runs.
 *
 * A target has crashed if a later incarnation is known, at its id or at its address, and it had
 * not announced its end. Silence alone is no crash. In an outage only new runs count, of a job that
 * had a run on each of its targets.
 */

#include "internal.h"

#define START_ANSWER_MS 100  /* several round trips; a target answers before it begins */
#define START_BROKEN_MS 300  /* the same, with the way of the news to the leader */
#define OUTAGE_NEW_MS	1000 /* a run that had worked for longer is no cause of an outage */

/*
 * wl_sched_crash_contact_ns - time of the newest report, or answer to a renewal, that is known to
 * be of the known incarnation; 0: none
 */
uint64_t wl_sched_crash_contact_ns(const wl_sched_runner_t *runner)
{
	return runner->reported_ns > runner->heard_ns ? runner->reported_ns : runner->heard_ns;
}

/* How the known incarnation of a target ends if a later one is known from now on. */
static wl_sched_incarnation_end_t incarnation_end(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return (wl_sched_incarnation_end_t){
		.incarnation = runner->incarnation,
		.announced = runner->known.departing || runner->state->report.draining,
		.lost_ns = runner->unreachable_since_ns ? runner->unreachable_since_ns : now_ns,
		.contact_ns = wl_sched_crash_contact_ns(runner),
	};
}

/*
 * The incarnation that has ended if a later one is known. A new leader may find the later one
 * committed, and runs of the earlier one.
 */
static uint64_t ended_incarnation(const wl_sched_runner_t *runner, uint64_t later)
{
	const wl_sched_run_t *run;
	uint64_t newest = 0;

	if (runner->incarnation < later)
		return runner->incarnation;
	TAILQ_FOREACH (run, &runner->runs, link)
		if (run->incarnation < later && run->incarnation > newest)
			newest = run->incarnation;
	return newest;
}

/*
 * wl_sched_crash_incarnation_end - record how the known incarnation of a target has ended
 *
 * Must be called before the data of the later incarnation replaces that of the known one.
 */
void wl_sched_crash_incarnation_end(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
				    uint64_t incarnation)
{
	uint64_t ended = ended_incarnation(runner, incarnation);

	if (runner->incarnation < incarnation)
		runner->began_ns = now_ns;
	if (ended > 0)
		wl_sched_loss_add(sched, now_ns, runner, ended);
	wl_sched_lapse_ended(sched, runner, incarnation);
	runner->previous = incarnation_end(runner, now_ns);
	runner->previous.incarnation = ended;
	if (runner->state->report.incarnation == incarnation) /* says nothing of the one before */
		runner->previous.announced = false;
	runner->unreachable_since_ns = 0;
	runner->heard_ns = 0;
	runner->stopped_new_ns = 0;
}

/*
 * wl_sched_crash_unreachable - record that renewals of a target fail
 * @sent_ns: when the renewal was sent; one to the incarnation before says nothing of the known one
 */
void wl_sched_crash_unreachable(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
				uint64_t sent_ns)
{
	if (runner->unreachable_since_ns || sent_ns < runner->began_ns)
		return;
	runner->unreachable_since_ns = now_ns;
	wl_sched_loss_add(sched, now_ns, runner, runner->incarnation);
}

/*
 * wl_sched_crash_heard - record an answer to a renewal
 */
void wl_sched_crash_heard(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner)
{
	if (runner->unreachable_since_ns) {
		wl_sched_loss_end(sched, runner);
		sched->place_due = true; /* suspected tasks may start there again */
	}
	runner->unreachable_since_ns = 0;
	runner->heard_ns = now_ns;
	wl_sched_lapse_heard(sched, runner->key, runner->incarnation);
}

/*
 * A start without an answer that was chosen after the target had become unreachable did not reach
 * it. Nor did one whose answer is still due, as targets take longer to start again. When an earlier
 * leader chose it is not known.
 */
static bool run_was_there(const wl_sched_run_t *run, uint64_t lost_ns)
{
	if (run->phase == WL_RUN_INHERITED || run->phase == WL_RUN_CONFIRMED)
		return true;
	return run->phase == WL_RUN_UNCONFIRMED && run->placed_ns <= lost_ns;
}

/*
 * Whether the connection of a start was open for longer than it takes to answer it. One that broke
 * before the order timed out broke with the target: that was up until then.
 */
static bool start_was_open(const wl_sched_run_t *run)
{
	uint64_t open_ns = run->start_failed_ns - run->start_sent_ns;

	return run->start_failed_ns > run->start_sent_ns &&
	       open_ns > START_BROKEN_MS * WL_NS_PER_MS &&
	       open_ns < WL_SCHED_START_TIMEOUT_MS * WL_NS_PER_MS;
}

/*
 * Whether the target was up for longer than it takes to answer a start, and neither answered that
 * of the run nor listed it. A task that crashes its target at once leaves no such time. What is
 * heard of a target says nothing of that if it has started twice since.
 */
static bool was_left(const wl_sched_run_t *run, const wl_sched_incarnation_end_t *end)
{
	if (run->phase != WL_RUN_UNCONFIRMED)
		return false;
	return start_was_open(run) ||
	       (run->incarnation == end->incarnation &&
		end->contact_ns > run->start_sent_ns + START_ANSWER_MS * WL_NS_PER_MS);
}

/*
 * Whether nothing shows that the order of a run was sent. A leader orders a start once it has
 * committed it, and then the other replicas soon know that it is committed.
 */
static bool may_be_unsent(const wl_sched_run_t *run)
{
	return run->phase == WL_RUN_INHERITED && run->doubtful;
}

/*
 * How long a run is known to have worked. What an earlier leader started most likely worked until
 * one lease before this one led: as a rule the target was heard since, or the run would have ended.
 *
 * The target may have restarted again since the incarnation of the run, so that what is known of
 * the newest incarnations says nothing of the run.
 */
static uint64_t ran_ms(const wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run)
{
	uint64_t seen_ns = run->last_listed_ns;
	uint64_t began_ms = run->started_ms;
	uint64_t seen_ms;

	if (run->phase == WL_RUN_INHERITED) {
		seen_ns = sched->leader_since_ns;
		began_ms += sched->options.lease_max_ms;
	}
	if (!seen_ns || !run->started_ms)
		return 0;
	seen_ms = wl_sched_clock_ms(sched, now_ns) - (now_ns - seen_ns) / WL_NS_PER_MS;
	return seen_ms > began_ms ? seen_ms - began_ms : 0;
}

/* Whether the crash of a target in an outage says nothing of a run that was there. */
static bool outage_explains(wl_sched_t *sched, uint64_t outage, wl_str_t job, uint64_t ran_ms)
{
	return outage && (ran_ms > OUTAGE_NEW_MS || !wl_sched_outage_spanned(sched, outage, job));
}

/*
 * wl_sched_crash_late - judge the crash of a target under a run that was taken for lost
 * @row: its end; the outage is filled in
 *
 * An earlier leader has judged its own losses when the run ended.
 *
 * Return: whether it counts.
 */
bool wl_sched_crash_late(wl_sched_t *sched, uint64_t now_ns, wl_run_end_t *row)
{
	uint64_t outage =
		wl_sched_outage_find(sched, now_ns, wl_buf_str(&row->runner), row->incarnation);

	row->outage |= outage > 0;
	return !outage_explains(sched, outage, wl_buf_str(&row->job), row->ran_ms);
}

/* Whether the incarnation of a run has announced its end. */
static bool is_announced(const wl_sched_t *sched, const wl_sched_run_t *run,
			 const wl_sched_incarnation_end_t *end)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	const wl_run_t *committed = job ? wl_job_run(job, run->task, run->number) : NULL;

	return end->announced || (committed && committed->announced);
}

/* Fills in the end of a run that its target did not list, if that crashed. */
static void crash_fill(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
		       const wl_sched_incarnation_end_t *end, wl_run_end_t *row)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	uint64_t outage;

	if (is_announced(sched, run, end) || !run_was_there(run, end->lost_ns))
		return;
	row->ran_ms = ran_ms(sched, now_ns, run);
	outage = wl_sched_outage_find(sched, now_ns, run->runner->key, end->incarnation);
	row->outage = outage > 0;
	if (outage_explains(sched, outage, wl_buf_str(&run->job), row->ran_ms))
		return;
	row->outcome = WL_END_CRASHED;
	row->unconfirmed = was_left(run, end) || may_be_unsent(run) ||
			   (job && wl_sched_trial_shared(run, job));
	/* An earlier leader may have missed the crash. That a run is sound is committed. */
	if (run->phase == WL_RUN_INHERITED)
		row->ran_ms = 0;
}

static void row_add(wl_sched_run_t *run, const wl_run_end_t *found, const char *reason,
		    wl_cmd_runs_end_t *ends)
{
	wl_run_end_t *row =
		wl_sched_run_end_add(run, (wl_run_outcome_t)found->outcome, reason, ends);

	row->ran_ms = found->ran_ms;
	row->outage = found->outage;
	row->unconfirmed = found->unconfirmed;
	row->incarnation = found->incarnation;
	row->alone = found->alone;
	row->silent = found->silent;
}

/* Return: whether the run crashed. */
static bool end_add(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
		    const wl_sched_incarnation_end_t *end, const char *reason,
		    wl_cmd_runs_end_t *ends)
{
	wl_run_end_t found = {.outcome = WL_END_LOST};

	if (end)
		crash_fill(sched, now_ns, run, end, &found);
	row_add(run, &found, reason, ends);
	return found.outcome == WL_END_CRASHED;
}

/*
 * wl_sched_run_lost_add - add the end of a run that its target does not list any more
 * @reason: for the log
 */
void wl_sched_run_lost_add(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			   const char *reason, wl_cmd_runs_end_t *ends)
{
	const wl_sched_runner_t *runner = run->runner;

	end_add(sched, now_ns, run,
		run->incarnation < runner->incarnation ? &runner->previous : NULL, reason, ends);
}

static void doubt_add(wl_sched_run_t *run, bool over, wl_cmd_runs_end_t *ends)
{
	wl_run_doubt_t *row = wl_list_add(&wl_run_doubt_schema, &ends->doubts);

	wl_buf_set(&row->job, wl_buf_str(&run->job));
	row->task = run->task;
	row->run = run->number;
	row->over = over;
}

/*
 * wl_sched_crash_doubts_commit - commit which inherited runs may never have been ordered
 *
 * A later leader can't tell: to it they were committed long before.
 */
void wl_sched_crash_doubts_commit(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_runner_t *runner;
	wl_cmd_runs_end_t ends = {0};
	wl_sched_run_t *run;

	TAILQ_FOREACH (runner, &sched->runners, link)
		TAILQ_FOREACH (run, &runner->runs, link)
			if (run->doubtful)
				doubt_add(run, false, &ends);
	wl_sched_ends_propose(sched, now_ns, &ends, out);
}

/*
 * wl_sched_crash_run_listed - process that a target lists a run
 * @ends: the run is added to the sound ones if crashes count against its task and its trial is
 * over, and to the doubts if these are over
 *
 * A later leader does not know how long the run has worked.
 */
void wl_sched_crash_run_listed(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			       wl_cmd_runs_end_t *ends)
{
	bool was_on_trial = run->trial != WL_TRIAL_NONE;
	const wl_job_t *job;
	wl_run_sound_t *row;

	if (run->doubtful)
		doubt_add(run, true, ends);
	run->doubtful = false;
	wl_sched_trial_listed(sched, now_ns, run);
	if (!was_on_trial || run->trial != WL_TRIAL_NONE)
		return;
	job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	if (!job || job->tasks[run->counted].crashes.count == 0)
		return;
	row = wl_list_add(&wl_run_sound_schema, &ends->sound);
	wl_buf_set(&row->job, wl_buf_str(&run->job));
	row->task = run->task;
	row->run = run->number;
}

static void crash_log(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
		      const wl_sched_incarnation_end_t *end, const char *reason, size_t crashed,
		      size_t runs, wl_out_t *out)
{
	uint64_t outage;

	if (end->announced || runs == 0)
		return;
	outage = wl_sched_outage_find(sched, now_ns, runner->key, end->incarnation);
	wl_out_log(out, WL_WARN, "target-crash",
		   "target=" WL_STR_FMT " life=%llu address=" WL_STR_FMT
		   " reason=%s runs=%zu suspected=%zu outage=%llu lost_ms_ago=%llu",
		   WL_STR_ARG(runner->key), (unsigned long long)end->incarnation,
		   WL_STR_ARG(wl_buf_str(&runner->state->report.address)), reason, runs, crashed,
		   (unsigned long long)outage,
		   (unsigned long long)((now_ns - end->lost_ns) / WL_NS_PER_MS));
}

/* Fills in the end of a run on a silent target, if a crash of that may be proved later. */
static void lapse_fill(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
		       const wl_sched_incarnation_end_t *end, wl_run_end_t *row)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	bool begun = !was_left(run, end) && !may_be_unsent(run);

	if (is_announced(sched, run, end) || run->incarnation != end->incarnation ||
	    !run_was_there(run, end->lost_ns))
		return;
	wl_buf_set(&row->job, wl_buf_str(&run->job));
	wl_buf_set(&row->runner, run->runner->key);
	row->incarnation = run->incarnation;
	row->ran_ms = run->phase != WL_RUN_INHERITED ? ran_ms(sched, now_ns, run) : 0;
	row->unconfirmed = true;
	row->alone =
		begun && run->trial == WL_TRIAL_ALONE && job && !wl_sched_trial_shared(run, job);
	row->silent = wl_sched_crash_late(sched, now_ns, row);
}

static void lapse_add(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
		      const wl_sched_incarnation_end_t *end, wl_cmd_runs_end_t *ends)
{
	wl_run_end_t found = {.outcome = WL_END_LOST};

	lapse_fill(sched, now_ns, run, end, &found);
	if (found.silent)
		row_add(run, &found, "expired", ends);
	else
		wl_sched_run_lost_add(sched, now_ns, run, "expired", ends);
	wl_record_free(&wl_run_end_schema, &found);
}

static bool has_expired(const wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run)
{
	return run->phase != WL_RUN_PROPOSED && run->phase != WL_RUN_ENDING &&
	       wl_sched_lease_over(sched, run, now_ns);
}

static bool any_has_expired(const wl_sched_t *sched, uint64_t now_ns,
			    const wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link)
		if (has_expired(sched, now_ns, run))
			return true;
	return false;
}

/*
 * wl_sched_crash_expired - add the ends of the runs of a target whose leases have all expired
 *
 * That a later target has reported its address proves a crash even if none answers there now.
 */
void wl_sched_crash_expired(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			    wl_cmd_runs_end_t *ends, wl_out_t *out)
{
	wl_sched_incarnation_end_t end = incarnation_end(runner, now_ns);
	wl_sched_run_t *run;
	size_t crashed = 0;
	bool is_replaced;

	if (!any_has_expired(sched, now_ns, runner))
		return; /* as in most ticks: the search below is for all targets */
	is_replaced = wl_sched_later_target_at_address(sched, runner);
	TAILQ_FOREACH (run, &runner->runs, link) {
		if (!has_expired(sched, now_ns, run))
			continue;
		if (is_replaced && run->incarnation >= runner->incarnation) {
			crashed += end_add(sched, now_ns, run, &end, "expired", ends);
			continue;
		}
		lapse_add(sched, now_ns, run, &end, ends);
	}
	if (is_replaced)
		crash_log(sched, now_ns, runner, &end, "expired", crashed, ends->ends.count, out);
}

/*
 * wl_sched_crash_restarted - log the crash that a later incarnation of a target proves
 * @ends: what was collected from its answer
 */
void wl_sched_crash_restarted(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
			      const wl_cmd_runs_end_t *ends, wl_out_t *out)
{
	const wl_run_end_t *rows = ends->ends.items;
	const wl_sched_run_t *run;
	size_t crashed = 0;
	size_t runs = 0;

	for (size_t i = 0; i < ends->ends.count; i++)
		crashed += rows[i].outcome == WL_END_CRASHED;
	TAILQ_FOREACH (run, &runner->runs, link)
		runs += run->phase == WL_RUN_ENDING && run->incarnation < runner->incarnation;
	if (ends->ends.count > 0)
		crash_log(sched, now_ns, runner, &runner->previous, "restarted", crashed, runs,
			  out);
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
	wl_sched_incarnation_end_t end = incarnation_end(runner, now_ns);
	wl_cmd_runs_end_t ends = {0};
	wl_sched_run_t *run;
	size_t crashed = 0;

	wl_sched_loss_add(sched, now_ns, runner, end.incarnation);
	if (!end.announced)
		wl_sched_lapse_crashed(sched, runner);
	TAILQ_FOREACH (run, &runner->runs, link)
		if (run->phase != WL_RUN_PROPOSED && run->phase != WL_RUN_ENDING)
			crashed += end_add(sched, now_ns, run, &end, "address-taken", &ends);
	crash_log(sched, now_ns, runner, &end, "address-taken", crashed, ends.ends.count, out);
	wl_sched_ends_propose(sched, now_ns, &ends, out);
	wl_sched_removal_propose(sched, now_ns, runner, "address-taken", agent, out);
}
