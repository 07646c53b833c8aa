/*
 * Runs on silent targets that have ended as lost.
 *
 * A silent target has not crashed for certain. Any leader may find out later, and then counts the
 * crash under these runs, or forgets them.
 */

#include "internal.h"

#include <stdlib.h>

#define LAPSE_KEPT_MS	60000 /* a target that is back later was replaced */
#define LAPSED_ENDS_MAX 16384 /* the oldest lapses are given up for new ones */

/*
 * wl_jobs_lapse - find the lapse of a target by its id
 *
 * Return: the lapse, or NULL.
 */
wl_lapse_t *wl_jobs_lapse(const wl_jobs_t *jobs, wl_str_t runner)
{
	return wl_map_count(&jobs->by_lapsed) ? wl_map_get(&jobs->by_lapsed, runner) : NULL;
}

static void lapse_remove(wl_jobs_t *jobs, wl_lapse_t *lapse)
{
	wl_map_remove(&jobs->by_lapsed, lapse->key);
	TAILQ_REMOVE(&jobs->lapses, lapse, link);
	jobs->lapsed_ends -= lapse->record.ends.count;
	wl_record_free(&wl_lapse_row_schema, &lapse->record);
	free(lapse);
}

static wl_lapse_t *lapse_new(wl_jobs_t *jobs, wl_str_t runner)
{
	wl_lapse_t *lapse = wl_alloc(sizeof(*lapse));

	wl_buf_set(&lapse->record.runner, runner);
	lapse->key = wl_buf_str(&lapse->record.runner);
	wl_map_put(&jobs->by_lapsed, lapse);
	TAILQ_INSERT_TAIL(&jobs->lapses, lapse, link);
	return lapse;
}

/*
 * wl_lapse_end_add - keep the end of a run whose target is silent
 */
void wl_lapse_end_add(wl_jobs_t *jobs, const wl_runner_t *runner, const wl_run_end_t *end,
		      uint64_t clock_ms)
{
	wl_lapse_t *lapse = wl_jobs_lapse(jobs, runner->key);
	wl_run_end_t *kept;

	if (lapse && lapse->record.incarnation != end->incarnation) {
		lapse_remove(jobs, lapse);
		lapse = NULL;
	}
	while (jobs->lapsed_ends >= LAPSED_ENDS_MAX && TAILQ_FIRST(&jobs->lapses) != lapse)
		lapse_remove(jobs, TAILQ_FIRST(&jobs->lapses));
	if (!lapse)
		lapse = lapse_new(jobs, runner->key);
	lapse->record.incarnation = end->incarnation;
	lapse->record.at_ms = clock_ms;
	wl_buf_set(&lapse->record.address, wl_buf_str(&runner->report.address));
	kept = wl_list_add(&wl_run_end_schema, &lapse->record.ends);
	wl_record_copy(&wl_run_end_schema, kept, end);
	kept->outcome = WL_END_CRASHED;
	kept->silent = false;
	wl_buf_free(&kept->checkpoint);
	jobs->lapsed_ends++;
	TAILQ_REMOVE(&jobs->lapses, lapse, link);
	TAILQ_INSERT_TAIL(&jobs->lapses, lapse, link);
}

/*
 * wl_lapses_over - forget lapses of which it is known whether the target has crashed
 */
void wl_lapses_over(wl_jobs_t *jobs, const wl_list_t *over)
{
	const wl_lapse_over_t *rows = over->items;

	for (size_t i = 0; i < over->count; i++) {
		wl_lapse_t *lapse = wl_jobs_lapse(jobs, wl_buf_str(&rows[i].runner));

		if (lapse && lapse->record.incarnation == rows[i].incarnation)
			lapse_remove(jobs, lapse);
	}
}

/*
 * wl_lapses_expire - forget the lapses whose retention time is over
 */
void wl_lapses_expire(wl_jobs_t *jobs, uint64_t clock_ms)
{
	wl_lapse_t *first;

	while ((first = TAILQ_FIRST(&jobs->lapses)) &&
	       clock_ms > first->record.at_ms + LAPSE_KEPT_MS)
		lapse_remove(jobs, first);
}

/*
 * wl_lapses_clear - release all
 */
void wl_lapses_clear(wl_jobs_t *jobs)
{
	while (!TAILQ_EMPTY(&jobs->lapses))
		lapse_remove(jobs, TAILQ_FIRST(&jobs->lapses));
	wl_map_free(&jobs->by_lapsed);
}

/*
 * wl_lapses_fill - add the rows of a snapshot, in their order
 */
void wl_lapses_fill(const wl_jobs_t *jobs, wl_list_t *rows)
{
	const wl_lapse_t *lapse;

	TAILQ_FOREACH (lapse, &jobs->lapses, link)
		wl_record_copy(&wl_lapse_row_schema, wl_list_add(&wl_lapse_row_schema, rows),
			       &lapse->record);
}

/*
 * wl_lapses_restore - take the rows of a snapshot
 */
void wl_lapses_restore(wl_jobs_t *jobs, const wl_list_t *rows)
{
	const wl_lapse_row_t *items = rows->items;

	for (size_t i = 0; i < rows->count; i++) {
		wl_lapse_t *lapse = wl_jobs_lapse(jobs, wl_buf_str(&items[i].runner));

		if (lapse)
			lapse_remove(jobs, lapse);
		lapse = lapse_new(jobs, wl_buf_str(&items[i].runner));
		wl_record_free(&wl_lapse_row_schema, &lapse->record);
		wl_record_copy(&wl_lapse_row_schema, &lapse->record, &items[i]);
		lapse->key = wl_buf_str(&lapse->record.runner);
		jobs->lapsed_ends += items[i].ends.count;
	}
}
