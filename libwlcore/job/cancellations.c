/*
 * Cancellings that were committed before their job.
 *
 * A submission may be held up on its way, and be committed after the caller has cancelled it and
 * was told that there is no such job. The address of such a cancelling is kept, and a submission
 * to it is refused.
 */

#include "internal.h"

#include <stdlib.h>

#define CANCELLATIONS_MAX 8192 /* the oldest one is given up for a new one */

static void cancellation_remove(wl_jobs_t *jobs, wl_job_cancellation_t *cancellation)
{
	wl_map_remove(&jobs->by_cancelled, cancellation->key);
	TAILQ_REMOVE(&jobs->cancellations, cancellation, link);
	wl_buf_free(&cancellation->record.address);
	free(cancellation);
}

/*
 * wl_job_cancellation_add - remember the cancelling of a job that is not known
 * @address: host and path, as in wl_job_address_t
 */
void wl_job_cancellation_add(wl_jobs_t *jobs, wl_str_t address, uint64_t clock_ms)
{
	wl_job_cancellation_t *cancellation = wl_map_get(&jobs->by_cancelled, address);

	if (cancellation)
		cancellation_remove(jobs, cancellation);
	else if (wl_map_count(&jobs->by_cancelled) >= CANCELLATIONS_MAX)
		cancellation_remove(jobs, TAILQ_FIRST(&jobs->cancellations));
	cancellation = wl_alloc(sizeof(*cancellation));
	wl_buf_set(&cancellation->record.address, address);
	cancellation->record.at_ms = clock_ms;
	cancellation->key = wl_buf_str(&cancellation->record.address);
	wl_map_put(&jobs->by_cancelled, cancellation);
	TAILQ_INSERT_TAIL(&jobs->cancellations, cancellation, link);
}

/*
 * wl_job_cancellations_expire - forget the cancellings whose retention time is over
 */
void wl_job_cancellations_expire(wl_jobs_t *jobs, uint64_t clock_ms)
{
	wl_job_cancellation_t *first;

	while ((first = TAILQ_FIRST(&jobs->cancellations)) &&
	       clock_ms > first->record.at_ms + jobs->keep_ms)
		cancellation_remove(jobs, first);
}

/*
 * wl_job_cancellations_clear - release all
 */
void wl_job_cancellations_clear(wl_jobs_t *jobs)
{
	while (!TAILQ_EMPTY(&jobs->cancellations))
		cancellation_remove(jobs, TAILQ_FIRST(&jobs->cancellations));
	wl_map_free(&jobs->by_cancelled);
}

/*
 * wl_job_cancellations_fill - add the rows of a snapshot, oldest first
 */
void wl_job_cancellations_fill(const wl_jobs_t *jobs, wl_list_t *rows)
{
	const wl_job_cancellation_t *cancellation;

	TAILQ_FOREACH (cancellation, &jobs->cancellations, link)
		wl_record_copy(&wl_job_cancellation_schema,
			       wl_list_add(&wl_job_cancellation_schema, rows),
			       &cancellation->record);
}

/*
 * wl_job_cancellations_restore - take the rows of a snapshot
 */
void wl_job_cancellations_restore(wl_jobs_t *jobs, const wl_list_t *rows)
{
	const wl_job_cancellation_row_t *items = rows->items;

	for (size_t i = 0; i < rows->count; i++)
		wl_job_cancellation_add(jobs, wl_buf_str(&items[i].address), items[i].at_ms);
}
