/* Reports how long a new leader needs until starts go on and the inherited targets have answered.
 */

#include "internal.h"

#define CHECK_INTERVAL_MS 100
#define REPORT_AFTER_MS	  10000 /* for targets that do not answer at all */

static bool is_inherited(const wl_sched_runner_t *runner)
{
	return runner->began_ns == 0 && !TAILQ_EMPTY(&runner->runs);
}

static size_t unanswered_count(const wl_sched_t *sched)
{
	const wl_sched_runner_t *runner;
	size_t count = 0;

	TAILQ_FOREACH (runner, &sched->runners, link)
		count += is_inherited(runner) && runner->answered_ns < sched->leader_since_ns;
	return count;
}

static uint64_t since_lead_ms(const wl_sched_t *sched, uint64_t at_ns)
{
	return at_ns > sched->leader_since_ns ? (at_ns - sched->leader_since_ns) / WL_NS_PER_MS : 0;
}

/*
 * wl_sched_takeover_begin - note that this replica leads from now on
 */
void wl_sched_takeover_begin(wl_sched_t *sched, uint64_t now_ns)
{
	wl_sched_runner_t *runner;

	sched->takeover = (wl_sched_takeover_t){.next_check_ns = now_ns};
	TAILQ_FOREACH (runner, &sched->runners, link)
		sched->takeover.targets += is_inherited(runner);
	sched->takeover.open = sched->takeover.targets > 0;
}

/*
 * wl_sched_takeover_started - note that a start was ordered
 */
void wl_sched_takeover_started(wl_sched_t *sched, uint64_t now_ns)
{
	if (sched->takeover.first_start_ns == 0)
		sched->takeover.first_start_ns = now_ns;
}

/*
 * wl_sched_takeover_tick - log the takeover once every inherited target has answered, or at the
 * latest after REPORT_AFTER_MS
 */
void wl_sched_takeover_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_takeover_t *takeover = &sched->takeover;
	bool late = since_lead_ms(sched, now_ns) >= REPORT_AFTER_MS;
	size_t unanswered;

	if (!takeover->open || now_ns < takeover->next_check_ns)
		return;
	takeover->next_check_ns = now_ns + CHECK_INTERVAL_MS * WL_NS_PER_MS;
	unanswered = unanswered_count(sched);
	if ((unanswered > 0 || takeover->first_start_ns == 0) && !late)
		return;
	takeover->open = false;
	wl_out_log(out, WL_INFO, "sched-takeover",
		   "epoch=%llu first_start_ms=%llu answered_ms=%llu targets=%zu unanswered=%zu",
		   (unsigned long long)sched->epoch,
		   (unsigned long long)since_lead_ms(sched, takeover->first_start_ns),
		   (unsigned long long)since_lead_ms(sched, now_ns), takeover->targets, unanswered);
}
