/*
 * Ends of runs that were taken for lost as their leases had expired.
 *
 * A silent target has not crashed for certain. A later incarnation that becomes known proves it
 * afterwards, and the crash counts from then on; a sign of the same incarnation disproves it. What
 * an earlier leader took for lost is not known.
 */

#include "internal.h"

#include <stdlib.h>

#define LAPSE_KEPT_NS (60000 * WL_NS_PER_MS) /* a target that is back later was replaced */

struct wl_sched_lapse {
	wl_run_end_t end;
	uint64_t at_ns;
	TAILQ_ENTRY(wl_sched_lapse) link;
};

static void lapse_remove(wl_sched_runner_t *runner, wl_sched_lapse_t *lapse)
{
	TAILQ_REMOVE(&runner->lapses, lapse, link);
	wl_record_free(&wl_run_end_schema, &lapse->end);
	free(lapse);
}

/*
 * wl_sched_lapse_add - keep the end of a run whose target is silent
 * @ran_ms: how long the run is known to have worked
 * @begun: whether the target may have begun it
 */
void wl_sched_lapse_add(wl_sched_run_t *run, uint64_t now_ns, uint64_t ran_ms, bool begun)
{
	wl_sched_lapse_t *lapse = wl_alloc(sizeof(*lapse));

	wl_buf_set(&lapse->end.job, wl_buf_str(&run->job));
	lapse->end.task = run->task;
	lapse->end.run = run->number;
	wl_buf_set(&lapse->end.runner, run->runner->key);
	lapse->end.outcome = WL_END_CRASHED;
	lapse->end.ran_ms = ran_ms;
	lapse->end.unconfirmed = true;
	lapse->end.alone = begun && run->trial == WL_TRIAL_ALONE;
	lapse->end.incarnation = run->incarnation;
	lapse->at_ns = now_ns;
	TAILQ_INSERT_TAIL(&run->runner->lapses, lapse, link);
}

/*
 * wl_sched_lapses_heard - drop the ends on the known incarnation of a target, which is up
 */
void wl_sched_lapses_heard(wl_sched_runner_t *runner)
{
	wl_sched_lapse_t *lapse = TAILQ_FIRST(&runner->lapses);

	while (lapse) {
		wl_sched_lapse_t *next = TAILQ_NEXT(lapse, link);

		if (lapse->end.incarnation == runner->incarnation)
			lapse_remove(runner, lapse);
		lapse = next;
	}
}

/*
 * wl_sched_lapses_clear - release the ends of a target
 */
void wl_sched_lapses_clear(wl_sched_runner_t *runner)
{
	wl_sched_lapse_t *lapse = TAILQ_FIRST(&runner->lapses);

	while (lapse) {
		wl_sched_lapse_t *next = TAILQ_NEXT(lapse, link);

		lapse_remove(runner, lapse);
		lapse = next;
	}
}

/*
 * wl_sched_lapses_tick - propose the crashes that are proved by now
 */
void wl_sched_lapses_tick(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			  wl_out_t *out)
{
	wl_sched_lapse_t *lapse = TAILQ_FIRST(&runner->lapses);
	wl_cmd_runs_end_t ends = {0};
	bool is_replaced;

	if (!lapse)
		return;
	is_replaced = wl_sched_later_target_at_address(sched, runner);
	while (lapse) {
		wl_sched_lapse_t *next = TAILQ_NEXT(lapse, link);
		bool proved = is_replaced || lapse->end.incarnation != runner->incarnation;

		if (proved && wl_sched_crash_late(sched, now_ns, runner, &lapse->end))
			wl_record_copy(&wl_run_end_schema,
				       wl_list_add(&wl_run_end_schema, &ends.late), &lapse->end);
		if (proved || now_ns > lapse->at_ns + LAPSE_KEPT_NS)
			lapse_remove(runner, lapse);
		lapse = next;
	}
	wl_sched_ends_propose(sched, now_ns, &ends, out);
}

/*
 * wl_sched_lapses_prove - propose the crashes that a new incarnation has just proved
 *
 * Must be called before placement, which would start their tasks again on the new incarnation.
 */
void wl_sched_lapses_prove(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_runner_t *runner;

	if (!sched->lapse_proved)
		return;
	sched->lapse_proved = false;
	TAILQ_FOREACH (runner, &sched->runners, link)
		wl_sched_lapses_tick(sched, now_ns, runner, out);
}
