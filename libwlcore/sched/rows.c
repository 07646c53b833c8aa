/*
 * An index of the targets by what is free there: a compact row for each, in their order.
 *
 * A placement pass looks at every target for every batch. The rows rule most of them out without
 * access to the targets. A row is outdated by each change of its target, and refreshed when it is
 * next looked at. It may promise too much and never too little: what it lets through is checked
 * against the target itself.
 */

#include "internal.h"

#include <stdlib.h>

/*
 * wl_sched_rows_reset - note that a target was added or removed
 */
void wl_sched_rows_reset(wl_sched_t *sched)
{
	sched->rows_outdated = true;
}

/*
 * wl_sched_row_outdate - note that a target has changed
 */
void wl_sched_row_outdate(wl_sched_t *sched, const wl_sched_runner_t *runner)
{
	if (sched->rows_outdated)
		return;
	sched->rows[runner->row].free_outdated = true;
	sched->rows[runner->row].tail_outdated = true;
}

/*
 * wl_sched_interference_outdate - note that the headroom on a target has changed
 */
void wl_sched_interference_outdate(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	runner->interference_stale = true;
	wl_sched_row_outdate(sched, runner);
}

/*
 * wl_sched_row_free_update - refresh what is free on the target of a row
 */
void wl_sched_row_free_update(wl_sched_row_t *row)
{
	row->free_outdated = false;
	row->free = (wl_fit_free_t){-1, -1, -1};
	wl_fit_free_add(&row->free, &row->runner->fit);
}

/*
 * wl_sched_rows_update - create the rows again if targets were added or removed, and refresh what
 * is free
 */
void wl_sched_rows_update(wl_sched_t *sched)
{
	wl_sched_runner_t *runner;
	size_t count = 0;

	if (sched->rows_outdated) {
		free(sched->rows);
		sched->rows = wl_alloc(wl_map_count(&sched->by_runner) * sizeof(*sched->rows));
		TAILQ_FOREACH (runner, &sched->runners, link) {
			runner->row = count;
			sched->rows[count++] = (wl_sched_row_t){
				.runner = runner, .free_outdated = true, .tail_outdated = true};
		}
		sched->row_count = count;
		sched->rows_outdated = false;
	}
	for (size_t i = 0; i < sched->row_count; i++)
		if (sched->rows[i].free_outdated)
			wl_sched_row_free_update(&sched->rows[i]);
}

/*
 * wl_sched_row_tail_update - refresh the lowest forecast of a row, and the headroom on its target
 */
void wl_sched_row_tail_update(const wl_sched_t *sched, wl_sched_row_t *row)
{
	row->tail_outdated = false;
	row->tail_floor = row->runner->fit.serving ? wl_sched_tail_floor(sched, row->runner) : 0;
}

/*
 * wl_sched_rows_free_max - the largest free amounts of all targets
 *
 * wl_sched_rows_update() must have been called since the last change.
 */
wl_fit_free_t wl_sched_rows_free_max(const wl_sched_t *sched)
{
	wl_fit_free_t most = {-1, -1, -1};

	for (size_t i = 0; i < sched->row_count; i++) {
		const wl_fit_free_t *at = &sched->rows[i].free;

		if (at->cpu_millis > most.cpu_millis)
			most.cpu_millis = at->cpu_millis;
		if (at->best_effort_millis > most.best_effort_millis)
			most.best_effort_millis = at->best_effort_millis;
		if (at->memory_mib > most.memory_mib)
			most.memory_mib = at->memory_mib;
	}
	return most;
}
