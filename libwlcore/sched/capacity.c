/*
 * The capacity of a target, which may change while it runs.
 *
 * A report binds placements at once, before its commit.  Runs that are on the target stay when its
 * capacity shrinks, and count until their ends are committed.
 */

#include "internal.h"

/* Reports may arrive, and be committed, after a newer one was received. */
static bool is_outdated(const wl_sched_runner_t *runner, const wl_runner_report_t *report)
{
	if (report->incarnation != runner->capacity_incarnation)
		return report->incarnation < runner->capacity_incarnation;
	return report->sequence < runner->capacity_sequence;
}

/*
 * wl_sched_capacity_reported - use the capacity that a report names
 */
void wl_sched_capacity_reported(wl_sched_t *sched, wl_sched_runner_t *runner,
				const wl_runner_report_t *report)
{
	wl_need_t *capacity = &runner->fit.capacity;

	if (is_outdated(runner, report))
		return;
	if (report->cpu_millis > capacity->cpu_millis ||
	    report->memory_mib > capacity->memory_mib ||
	    report->accelerators > capacity->accelerators)
		sched->place_due = true;
	runner->capacity_incarnation = report->incarnation;
	runner->capacity_sequence = report->sequence;
	*capacity = (wl_need_t){.cpu_millis = report->cpu_millis,
				.memory_mib = report->memory_mib,
				.accelerators = report->accelerators};
}
