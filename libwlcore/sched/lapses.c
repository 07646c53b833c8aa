/*
 * Whether silent targets, whose runs were taken for lost as their leases had expired, have crashed.
 *
 * A silent target has not crashed for certain. A later incarnation that becomes known proves it
 * afterwards, at its id or its address, and the crash counts from then on; a sign of the same
 * incarnation disproves it. The runs are part of the replicated state (wl_lapse_t), so that a later
 * leader finds it out too, and so that the removal of the target does not matter.
 */

#include "internal.h"

static void known(wl_sched_t *sched, wl_lapse_t *lapse, wl_lapse_state_t state)
{
	if (lapse->state != WL_LAPSE_OPEN)
		return;
	lapse->state = state;
	sched->lapse_known = true;
}

/*
 * wl_sched_lapse_heard - a target is up, or was when it sent a message
 */
void wl_sched_lapse_heard(wl_sched_t *sched, wl_str_t runner, uint64_t incarnation)
{
	wl_lapse_t *lapse = wl_jobs_lapse(sched->jobs, runner);

	if (lapse && lapse->record.incarnation == incarnation)
		known(sched, lapse, WL_LAPSE_UP);
}

/*
 * wl_sched_lapse_ended - the known incarnation of a target has ended
 * @later: the one that follows, or the same when a leader takes the target over
 *
 * One that follows may seem to have started earlier, by a clock that was set back.
 */
void wl_sched_lapse_ended(wl_sched_t *sched, const wl_sched_runner_t *runner, uint64_t later)
{
	wl_lapse_t *lapse = wl_jobs_lapse(sched->jobs, runner->key);

	if (!lapse)
		return;
	if (lapse->record.incarnation < later ||
	    (lapse->record.incarnation == runner->incarnation && runner->incarnation != later))
		known(sched, lapse, WL_LAPSE_CRASHED);
}

/*
 * wl_sched_lapse_crashed - another target has answered at the address of one
 */
void wl_sched_lapse_crashed(wl_sched_t *sched, const wl_sched_runner_t *runner)
{
	wl_lapse_t *lapse = wl_jobs_lapse(sched->jobs, runner->key);

	if (lapse && lapse->record.incarnation == runner->incarnation)
		known(sched, lapse, WL_LAPSE_CRASHED);
}

/* Whether a committed report is of a later incarnation at the id or the address of a lapse. */
static bool proves(const wl_runner_t *runner, const wl_lapse_t *lapse)
{
	if (runner->departed_ms || runner->report.incarnation <= lapse->record.incarnation)
		return false;
	return wl_str_equal(runner->key, lapse->key) ||
	       wl_str_equal(wl_buf_str(&runner->report.address),
			    wl_buf_str(&lapse->record.address));
}

/*
 * wl_sched_lapses_reported - process a committed report of a target
 */
void wl_sched_lapses_reported(wl_sched_t *sched, const wl_runner_t *runner)
{
	wl_lapse_t *lapse;

	TAILQ_FOREACH (lapse, &sched->jobs->lapses, link)
		if (proves(runner, lapse))
			known(sched, lapse, WL_LAPSE_CRASHED);
}

static bool is_proved(const wl_sched_t *sched, const wl_lapse_t *lapse)
{
	const wl_sched_runner_t *same = wl_sched_runner_find(sched, lapse->key);
	const wl_runner_t *runner;

	if (same && same->incarnation > lapse->record.incarnation)
		return true;
	TAILQ_FOREACH (runner, &sched->jobs->runners, link)
		if (proves(runner, lapse))
			return true;
	return false;
}

/*
 * wl_sched_lapses_inherit - look at the lapses of earlier leaders
 */
void wl_sched_lapses_inherit(wl_sched_t *sched)
{
	wl_lapse_t *lapse;

	TAILQ_FOREACH (lapse, &sched->jobs->lapses, link) {
		lapse->state = WL_LAPSE_OPEN;
		if (is_proved(sched, lapse))
			known(sched, lapse, WL_LAPSE_CRASHED);
	}
}

/*
 * wl_sched_lapses_committed - look at the lapses that committed ends have added
 * @ends: wl_run_end_t
 *
 * A later incarnation may have become known since the ends were proposed.
 */
void wl_sched_lapses_committed(wl_sched_t *sched, const wl_list_t *ends)
{
	const wl_run_end_t *rows = ends->items;
	const wl_lapse_t *last = NULL;

	for (size_t i = 0; i < ends->count; i++) {
		wl_lapse_t *lapse =
			rows[i].silent ? wl_jobs_lapse(sched->jobs, wl_buf_str(&rows[i].runner))
				       : NULL;

		if (!lapse || lapse == last)
			continue;
		last = lapse;
		if (is_proved(sched, lapse))
			known(sched, lapse, WL_LAPSE_CRASHED);
	}
}

static void crashes_add(wl_sched_t *sched, uint64_t now_ns, wl_lapse_t *lapse, wl_list_t *late)
{
	wl_run_end_t *ends = lapse->record.ends.items;

	for (size_t i = 0; i < lapse->record.ends.count; i++) {
		wl_run_end_t row = ends[i]; /* not owned */

		if (wl_sched_crash_late(sched, now_ns, &row))
			wl_record_copy(&wl_run_end_schema, wl_list_add(&wl_run_end_schema, late),
				       &row);
	}
}

/*
 * wl_sched_lapses_settle - propose which silent targets are known to have crashed, or to be up
 *
 * Must be called before placement, which would start their tasks again on the new incarnation.
 */
void wl_sched_lapses_settle(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_cmd_runs_end_t ends = {0};
	wl_lapse_over_t *over;
	wl_lapse_t *lapse;

	if (!sched->lapse_known)
		return;
	sched->lapse_known = false;
	TAILQ_FOREACH (lapse, &sched->jobs->lapses, link) {
		if (lapse->state == WL_LAPSE_OPEN || lapse->state == WL_LAPSE_SETTLED)
			continue;
		if (lapse->state == WL_LAPSE_CRASHED)
			crashes_add(sched, now_ns, lapse, &ends.late);
		lapse->state = WL_LAPSE_SETTLED;
		over = wl_list_add(&wl_lapse_over_schema, &ends.lapses_over);
		wl_buf_set(&over->runner, lapse->key);
		over->incarnation = lapse->record.incarnation;
	}
	wl_sched_ends_propose(sched, now_ns, &ends, out);
}
