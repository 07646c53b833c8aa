/*
 * An index of the targets by the next time at which a tick has something to do there.
 *
 * Whatever changes what a tick reads of a target touches the target, so that the next tick looks at
 * it and finds out anew when it is due. A tick looks at all others only once they are due.
 */

#include "internal.h"

#include <stdlib.h>

/*
 * wl_sched_runner_touch - have the next tick look at a target
 */
void wl_sched_runner_touch(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	if (runner->touched)
		return;
	runner->touched = true;
	TAILQ_INSERT_TAIL(&sched->touched, runner, touched_link);
}

static void touched_remove(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	if (!runner->touched)
		return;
	runner->touched = false;
	TAILQ_REMOVE(&sched->touched, runner, touched_link);
}

/*
 * wl_sched_runner_due_set - set when a tick looks at a target that is not touched before
 * @due_ns: UINT64_MAX: never
 */
void wl_sched_runner_due_set(wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t due_ns)
{
	runner->due.owner = runner;
	if (due_ns == UINT64_MAX)
		wl_heap_remove(&sched->due, &runner->due);
	else
		wl_heap_put(&sched->due, &runner->due, due_ns);
}

/*
 * wl_sched_runner_due_remove - take a target out of the index
 */
void wl_sched_runner_due_remove(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	touched_remove(sched, runner);
	wl_heap_remove(&sched->due, &runner->due);
}

static int runner_compare(const void *a, const void *b)
{
	const wl_sched_runner_t *one = *(const wl_sched_runner_t *const *)a;
	const wl_sched_runner_t *other = *(const wl_sched_runner_t *const *)b;

	return one->position < other->position ? -1 : one->position > other->position;
}

static void due_reserve(wl_sched_t *sched)
{
	size_t count = wl_map_count(&sched->by_runner);

	if (count <= sched->due_capacity)
		return;
	sched->due_capacity = count;
	sched->due_runners = wl_realloc(sched->due_runners, count * sizeof(wl_sched_runner_t *));
}

/*
 * wl_sched_runners_due - take the targets that are touched or due out of the index
 *
 * Return: their number; they are in sched->due_runners, in the order of sched->runners.
 */
size_t wl_sched_runners_due(wl_sched_t *sched, uint64_t now_ns)
{
	wl_sched_runner_t *runner;
	wl_heap_node_t *node;
	size_t count = 0;

	due_reserve(sched);
	while ((runner = TAILQ_FIRST(&sched->touched))) {
		wl_sched_runner_due_remove(sched, runner);
		sched->due_runners[count++] = runner;
	}
	while ((node = wl_heap_pop(&sched->due, now_ns)))
		sched->due_runners[count++] = node->owner;
	if (count > 1)
		qsort(sched->due_runners, count, sizeof(wl_sched_runner_t *), runner_compare);
	return count;
}

/*
 * wl_sched_due_free - release the index, which must be empty
 */
void wl_sched_due_free(wl_sched_t *sched)
{
	wl_heap_free(&sched->due);
	free(sched->due_runners);
}
