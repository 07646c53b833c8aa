/*
 * Placement of suspected tasks: those under which targets have crashed.
 *
 * A run of a suspected task is on trial until the target has listed it for long enough. After one
 * crash a task keeps apart from the other tasks of that crash, so that a second crash tells which
 * of them caused it. After two it is alone among suspected tasks, with as little other work beside
 * it as there is, and its target gets no other start.
 *
 * A lasting task that has been without a run for INTERRUPTED_MAX_MS waits for no trial any more: it
 * is alone where that is possible at once, and shares a target otherwise. A crash there counts no
 * further, as it would not tell which task caused it.
 */

#include "internal.h"

/* A crash after the end of a trial must not count as one within it, however times are rounded. */
#define TRIAL_MARGIN_MS 100
#define NEW_RUN_WEIGHT	1000 /* runs that weigh as much as a new one */
/* Exceeds any difference between scores of a placement policy. */
#define SHARED_TRIAL_COST (INT64_C(1) << 56)
#define KEPT_MS		  4000 /* how long a target is kept free: until its runs are not new, and longer */
#define KEPT_SHARE	  4   /* one of so many targets is kept free or has a run that is alone */
#define RETRY_MS	  200 /* while a task that is to be alone waits */
/* Waiting time after which tasks of one crash may share a target. */
#define APART_WAIT_MS 10000
/* Time without a run after which a lasting task waits for no trial. */
#define INTERRUPTED_MAX_MS 5000
/*
 * After so many crashes under a job its suspected tasks start slowly: so many at a time, one more
 * for each that has settled, and half of these after a crash. Fewer than three lost targets are no
 * outage, so that the crashes count. Until one has proved sound this goes for all its tasks.
 */
#define SLOW_START_CRASHES 3
#define SLOW_START_TRIALS  2
#define PROVED_SHARE	   4	/* one more for so many runs that have been longer than any trial */
#define SETTLED_MS	   2000 /* a run that was listed after so long lets the next ones start */

static const wl_task_crashes_t *crashes_of(const wl_job_t *job, uint64_t task)
{
	return &job->tasks[wl_job_shared_task(job, task)].crashes;
}

static uint64_t level_of(const wl_task_crashes_t *crashes)
{
	return crashes->count < WL_TRIAL_ALONE ? crashes->count : WL_TRIAL_ALONE;
}

static bool has_slow_start(const wl_job_t *job)
{
	return job->record.outage || job->record.crash_count >= SLOW_START_CRASHES;
}

static bool is_distrusted(const wl_job_t *job)
{
	const wl_sched_job_t *sched_job = job->leader_data;

	return has_slow_start(job) && job->remaining == job->task_count && sched_job &&
	       !sched_job->proved_sound;
}

static wl_sched_job_t *sched_job_of(const wl_sched_t *sched, const wl_sched_run_t *run)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));

	return job ? job->leader_data : NULL;
}

/*
 * When the next task of a batch no longer waits for trials, though it is suspected or its job
 * distrusted; UINT64_MAX: such a time is not set.
 */
static uint64_t urgent_ns(const wl_task_batch_t *batch)
{
	uint64_t ended_ns = batch->count > 0 ? batch->tasks[batch->count - 1].ended_ns : 0;

	if (ended_ns == 0 || !wl_job_step(batch->job, batch->step)->lasting)
		return UINT64_MAX;
	return ended_ns + INTERRUPTED_MAX_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_trial_begin - put a new run on trial if its task is suspected or its job distrusted
 */
void wl_sched_trial_begin(wl_sched_run_t *run, const wl_job_t *job)
{
	const wl_task_crashes_t *crashes = crashes_of(job, run->task);

	if (job->record.crash_count == 0)
		return;
	run->trial = level_of(crashes);
	if (run->trial == 0 && is_distrusted(job))
		run->trial = WL_TRIAL_APART;
	if (run->trial == 0)
		return;
	run->crash = crashes->count ? crashes->crash : 0;
	run->trial_ms = wl_task_trial_ms(crashes) + TRIAL_MARGIN_MS;
	run->counted = wl_job_shared_task(job, run->task);
	run->settling = true;
	run->runner->trials[run->trial]++;
	if (!job->leader_data)
		return;
	((wl_sched_job_t *)job->leader_data)->trials[run->trial]++;
	((wl_sched_job_t *)job->leader_data)->settling++;
}

/* The run has worked for long enough to let others of its job start, or has ended. */
static void settle(wl_sched_t *sched, wl_sched_run_t *run, wl_sched_job_t *sched_job, bool is_sound)
{
	if (!run->settling)
		return;
	run->settling = false;
	sched->place_due = true;
	if (!sched_job)
		return;
	sched_job->settling--;
	sched_job->sound += is_sound;
}

static void trial_end(wl_sched_t *sched, wl_sched_run_t *run, bool is_sound)
{
	wl_sched_job_t *sched_job = sched_job_of(sched, run);

	settle(sched, run, sched_job, is_sound);
	run->runner->trials[run->trial]--;
	if (sched_job) {
		sched_job->trials[run->trial]--;
		sched_job->proved_sound |= is_sound;
	}
	run->trial = 0;
	sched->place_due = true;
}

/*
 * wl_sched_trial_share - let a run that is to be alone on trial share its target all the same
 */
void wl_sched_trial_share(wl_sched_run_t *run, const wl_job_t *job)
{
	wl_sched_job_t *sched_job = job->leader_data;

	if (run->trial != WL_TRIAL_ALONE)
		return;
	run->trial = WL_TRIAL_APART;
	run->runner->trials[WL_TRIAL_ALONE]--;
	run->runner->trials[WL_TRIAL_APART]++;
	sched_job->trials[WL_TRIAL_ALONE]--;
	sched_job->trials[WL_TRIAL_APART]++;
}

/*
 * wl_sched_trial_end - the run is no longer on trial
 */
void wl_sched_trial_end(wl_sched_t *sched, wl_sched_run_t *run)
{
	if (run->trial)
		trial_end(sched, run, false);
}

/*
 * wl_sched_trial_passed - the run has shown that its task is sound
 */
void wl_sched_trial_passed(wl_sched_t *sched, wl_sched_run_t *run)
{
	if (run->trial)
		trial_end(sched, run, true);
}

/* The run has worked for longer than any trial, whether it was on one or not. */
static void prove(const wl_sched_t *sched, wl_sched_run_t *run)
{
	wl_sched_job_t *sched_job = sched_job_of(sched, run);

	run->proved = true;
	if (!sched_job)
		return;
	sched_job->proved += sched_job->proved < sched_job->job->task_count;
	sched_job->proved_sound = true;
}

/*
 * wl_sched_trial_listed - a target lists a run, whose trial ends if that was long enough
 */
void wl_sched_trial_listed(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run)
{
	uint64_t clock_ms;

	if (run->trial == 0 && run->proved)
		return;
	clock_ms = wl_sched_clock_ms(sched, now_ns);
	if (!run->proved && run->started_ms &&
	    clock_ms >= run->started_ms + WL_TASK_TRIAL_MAX_MS + TRIAL_MARGIN_MS)
		prove(sched, run);
	if (run->trial == 0)
		return;
	if (clock_ms >= run->started_ms + run->trial_ms)
		trial_end(sched, run, true);
	else if (clock_ms >= run->started_ms + SETTLED_MS)
		settle(sched, run, sched_job_of(sched, run), true);
}

/*
 * wl_sched_trial_crashed - start the suspected tasks of a job slowly again
 */
void wl_sched_trial_crashed(const wl_job_t *job)
{
	wl_sched_job_t *sched_job = job->leader_data;

	if (sched_job)
		sched_job->sound /= 2;
}

/*
 * wl_sched_trials_count - count the runs of a job that are on trial when a leader takes it over
 */
void wl_sched_trials_count(const wl_sched_t *sched, wl_sched_job_t *sched_job)
{
	const wl_job_t *job = sched_job->job;

	for (uint64_t i = 0; i < job->task_count && job->suspects > 0; i++) {
		const wl_run_t *run;

		TAILQ_FOREACH (run, &job->tasks[i].runs, of_task) {
			const wl_sched_run_t *known =
				wl_sched_run_find(sched, job->key, i, run->number);

			if (!known || !known->trial)
				continue;
			sched_job->trials[known->trial]++;
			sched_job->settling += known->settling;
		}
	}
}

/*
 * wl_sched_suspicion - how the next tasks of a batch have to be placed
 */
wl_suspicion_t wl_sched_suspicion(const wl_task_batch_t *batch, uint64_t now_ns)
{
	bool gang = wl_job_step(batch->job, batch->step)->gang;
	wl_suspicion_t suspicion = {.at_ns = now_ns, .urgent = now_ns >= urgent_ns(batch)};
	const wl_task_crashes_t *crashes;

	if (batch->job->suspects == 0 || batch->count == 0 || !(batch->suspect || gang))
		return suspicion;
	suspicion.counted = wl_job_shared_task(batch->job, batch->tasks[0].task);
	crashes = &batch->job->tasks[suspicion.counted].crashes;
	suspicion.level = level_of(crashes);
	suspicion.crash = crashes->crash;
	suspicion.relaxed =
		suspicion.urgent || now_ns - batch->queued_ns >= APART_WAIT_MS * WL_NS_PER_MS;
	if (gang && suspicion.relaxed && suspicion.level == WL_TRIAL_ALONE)
		suspicion.level = WL_TRIAL_APART;
	return suspicion;
}

static bool is_kept_free(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return runner->kept_until_ns > now_ns;
}

/* Whether the target is left to a task that is to be alone there. */
static bool is_reserved(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return runner->trials[WL_TRIAL_ALONE] > 0 || is_kept_free(runner, now_ns);
}

/*
 * wl_sched_suspicion_share - let an urgent task that is to be alone share a target
 *
 * Return: false if it need not, or may not.
 */
bool wl_sched_suspicion_share(wl_task_batch_t *batch)
{
	wl_suspicion_t *suspicion = &batch->suspicion;

	if (!suspicion->urgent || suspicion->level != WL_TRIAL_ALONE)
		return false;
	suspicion->level = WL_TRIAL_APART;
	return true;
}

/*
 * wl_sched_urgent_due_ns - when the next task of a batch no longer waits for trials
 *
 * Return: 0 if that is not due to come.
 */
uint64_t wl_sched_urgent_due_ns(const wl_task_batch_t *batch, uint64_t now_ns)
{
	uint64_t due_ns = urgent_ns(batch);

	return due_ns == UINT64_MAX || due_ns <= now_ns ? 0 : due_ns;
}

/*
 * wl_sched_suspects_due_ns - when a batch that was not placed may be placed more freely
 *
 * Return: 0 if waiting changes nothing.
 */
uint64_t wl_sched_suspects_due_ns(const wl_task_batch_t *batch)
{
	if (batch->suspicion.level == WL_TRIAL_ALONE)
		return batch->suspicion.at_ns + RETRY_MS * WL_NS_PER_MS;
	if (batch->suspicion.level == 0 || batch->suspicion.relaxed)
		return 0;
	return batch->queued_ns + APART_WAIT_MS * WL_NS_PER_MS;
}

static bool is_of_gang(const wl_sched_run_t *run, wl_str_t job, uint64_t counted)
{
	return run->trial && run->counted == counted && wl_str_equal(wl_buf_str(&run->job), job);
}

static bool is_same_gang(const wl_sched_run_t *run, const wl_task_batch_t *batch)
{
	return is_of_gang(run, batch->job->key, batch->suspicion.counted);
}

/*
 * Whether a run on trial there is to be kept apart from the tasks of the batch. Members of one gang
 * are not.
 */
static bool has_conflict(const wl_sched_runner_t *runner, const wl_task_batch_t *batch,
			 bool relaxed)
{
	const wl_suspicion_t *suspicion = &batch->suspicion;
	const wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link) {
		if (run->trial == 0 || is_same_gang(run, batch))
			continue;
		if (run->trial == WL_TRIAL_ALONE || suspicion->level == WL_TRIAL_ALONE)
			return true;
		if (run->crash && run->crash == suspicion->crash && !relaxed)
			return true;
	}
	return false;
}

static bool is_new(const wl_sched_run_t *run, uint64_t now_ns)
{
	return now_ns - run->placed_ns < SETTLED_MS * WL_NS_PER_MS;
}

/* Whether a run has been placed beside one that was to be alone. */
static bool is_beside(const wl_sched_run_t *run, const wl_sched_run_t *other, bool gang)
{
	if (other == run || other->incarnation != run->incarnation ||
	    other->started_ms + SETTLED_MS <= run->started_ms)
		return false;
	return !gang || !is_of_gang(other, wl_buf_str(&run->job), run->counted);
}

/*
 * wl_sched_trial_shared - whether a run that was to be alone on trial shared its target
 *
 * An urgent lasting task does, and a gang that has waited for long may. What an earlier leader has
 * placed is told by the runs that are about as new.
 */
bool wl_sched_trial_shared(const wl_sched_run_t *run, const wl_job_t *job)
{
	const wl_sched_run_t *other;
	wl_task_ref_t at;
	bool gang;

	if (run->trial == 0 || level_of(crashes_of(job, run->task)) != WL_TRIAL_ALONE)
		return false;
	if (run->trial != WL_TRIAL_ALONE)
		return true;
	wl_job_task_ref(job, run->task, &at);
	gang = wl_job_step(job, at.step)->gang;
	if (!run->lasting && !gang)
		return false;
	TAILQ_FOREACH (other, &run->runner->runs, link)
		if (is_beside(run, other, gang))
			return true;
	return false;
}

/*
 * wl_sched_trial_ended - note a run that has ended new and not done: it may have harmed its target
 */
void wl_sched_trial_ended(wl_sched_run_t *run, uint64_t now_ns, const wl_run_end_t *end)
{
	if (end->outcome != WL_END_DONE && run->incarnation == run->runner->incarnation &&
	    is_new(run, now_ns))
		run->runner->stopped_new_ns = run->placed_ns;
}

static bool has_new_runs(const wl_sched_runner_t *runner, const wl_task_batch_t *batch)
{
	uint64_t stopped_ns = runner->stopped_new_ns;
	const wl_sched_run_t *run;

	if (stopped_ns && batch->suspicion.at_ns - stopped_ns < SETTLED_MS * WL_NS_PER_MS)
		return true;
	TAILQ_FOREACH (run, &runner->runs, link)
		if (is_new(run, batch->suspicion.at_ns) && !is_same_gang(run, batch))
			return true;
	return false;
}

static bool has_trials(const wl_sched_runner_t *runner)
{
	return runner->trials[WL_TRIAL_APART] + runner->trials[WL_TRIAL_ALONE] > 0;
}

/*
 * wl_sched_trials_allow - whether the runs on trial on a target let the next task of a batch join
 *
 * A suspected task joins no target that does not answer, or whose incarnation is not committed yet:
 * its crash might not be found. One that is to be alone joins no target with new runs, any of which
 * may crash it.
 */
bool wl_sched_trials_allow(const wl_sched_runner_t *runner, const wl_task_batch_t *batch)
{
	const wl_suspicion_t *suspicion = &batch->suspicion;

	if (suspicion->level != WL_TRIAL_ALONE && is_reserved(runner, suspicion->at_ns))
		return false;
	if (suspicion->level == 0)
		return true;
	if (runner->unreachable_since_ns || runner->incarnation > runner->state->report.incarnation)
		return false;
	if (suspicion->urgent && suspicion->level != WL_TRIAL_ALONE)
		return true;
	if (suspicion->level == WL_TRIAL_ALONE && has_new_runs(runner, batch))
		return false;
	return !has_trials(runner) || !has_conflict(runner, batch, suspicion->relaxed);
}

/* How many more of its tasks a job may start at a time, by its runs that have worked so far. */
static uint64_t sound_runs(const wl_sched_job_t *sched_job)
{
	return sched_job->sound + sched_job->proved / PROVED_SHARE;
}

/*
 * wl_sched_trials_hold - whether tasks of a batch have to wait for other trials of their job
 * @members: how many start together
 *
 * Return: WL_HOLD_ALONE or WL_HOLD_SLOW, or WL_HOLD_NONE if they need not wait.
 */
wl_hold_t wl_sched_trials_hold(const wl_task_batch_t *batch, uint64_t members)
{
	const wl_job_t *job = batch->job;
	const wl_sched_job_t *sched_job = job->leader_data;

	if (job->record.crash_count == 0)
		return WL_HOLD_NONE;
	if (batch->suspicion.level == WL_TRIAL_ALONE)
		return sched_job->trials[WL_TRIAL_ALONE] > sound_runs(sched_job) ? WL_HOLD_ALONE
										 : WL_HOLD_NONE;
	if (batch->suspicion.at_ns >= urgent_ns(batch))
		return WL_HOLD_NONE;
	if (is_distrusted(job) && sched_job->trials[WL_TRIAL_ALONE] > 0)
		return WL_HOLD_ALONE;
	if (batch->suspicion.level == 0 ? !is_distrusted(job) : !has_slow_start(job))
		return WL_HOLD_NONE;
	if (sched_job->settling == 0 ||
	    sched_job->settling + members <= SLOW_START_TRIALS + sound_runs(sched_job))
		return WL_HOLD_NONE;
	return WL_HOLD_SLOW;
}

/* An urgent task shares a target with runs on trial only if no other one has room. */
static int64_t urgent_score(const wl_sched_runner_t *runner, const wl_task_batch_t *batch,
			    int64_t score)
{
	bool shares = has_trials(runner) && has_conflict(runner, batch, false);

	return shares ? score - SHARED_TRIAL_COST : score;
}

/*
 * wl_sched_suspect_score - score of a target for a suspected task
 * @score: of the placement policy
 *
 * A task that is to be alone goes where least else runs. New runs weigh most: any of them may crash
 * the target, which would count against the task.
 */
int64_t wl_sched_suspect_score(const wl_sched_runner_t *runner, const wl_task_batch_t *batch,
			       int64_t score)
{
	const wl_sched_run_t *run;

	if (batch->suspicion.level != WL_TRIAL_ALONE)
		return batch->suspicion.urgent ? urgent_score(runner, batch, score) : score;
	score = 0;
	TAILQ_FOREACH (run, &runner->runs, link)
		score -= run->trial || is_new(run, batch->suspicion.at_ns) ? NEW_RUN_WEIGHT : 1;
	return score;
}

/* Return: whether a target that is kept free already serves the batch, or is about to. */
static bool claim_kept(wl_sched_t *sched, const wl_task_batch_t *batch,
		       const wl_fit_request_t *request)
{
	wl_sched_runner_t *runner;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!is_kept_free(runner, batch->suspicion.at_ns) ||
		    runner->kept_pass == sched->pass_count ||
		    !wl_sched_runner_fits(sched, runner, batch, request))
			continue;
		runner->kept_pass = sched->pass_count;
		return true;
	}
	return false;
}

static void keep_one(wl_sched_t *sched, const wl_task_batch_t *batch,
		     const wl_fit_request_t *request)
{
	wl_sched_runner_t *best = NULL;
	wl_sched_runner_t *runner;
	int64_t best_score = 0;
	size_t kept = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		int64_t score = wl_sched_suspect_score(runner, batch, 0);

		if (is_kept_free(runner, batch->suspicion.at_ns) ||
		    runner->trials[WL_TRIAL_ALONE] > 0) {
			kept++;
			continue;
		}
		if (!wl_sched_runner_fits(sched, runner, batch, request) ||
		    runner->unreachable_since_ns || (best && score <= best_score))
			continue;
		best = runner;
		best_score = score;
	}
	if (!best || kept * KEPT_SHARE > wl_map_count(&sched->by_runner))
		return;
	best->kept_until_ns = batch->suspicion.at_ns + KEPT_MS * WL_NS_PER_MS;
	best->kept_pass = sched->pass_count;
}

/*
 * wl_sched_targets_keep - keep targets free of new starts for a batch whose tasks are to be alone
 *
 * Called when the tasks fit on no target. What runs there is no longer new after SETTLED_MS.
 */
void wl_sched_targets_keep(wl_sched_t *sched, const wl_task_batch_t *batch,
			   const wl_fit_request_t *request)
{
	if (batch->suspicion.level != WL_TRIAL_ALONE)
		return;
	for (size_t i = 0; i < batch->count; i++)
		if (!claim_kept(sched, batch, request))
			keep_one(sched, batch, request);
}
