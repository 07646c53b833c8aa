/*
 * Targets that run tasks: the renewals of their leases and the runs that they list.
 *
 * A renewal (WL_ORDER_RENEW) renews the lease of all runs on a target. The target delays its
 * answer until a run ends or the wait is over.
 */

#include "internal.h"

#include <stdlib.h>

#define RENEWAL_WAIT_MS 1000 /* allows several renewals within a lease */
/* Wait where best-effort work may endanger a tail bound: one interval of the tail samples. */
#define RENEWAL_TAILS_MS   500
#define RENEWAL_TIMEOUT_MS 800	/* in addition to the wait */
#define RENEWAL_RETRY_MS   200	/* after a failed renewal */
#define RENEWAL_REPORT_MS  400	/* for an agent to report, in addition to the time-out */
#define STANDSTILL_MS	   200	/* after a longer pause between ticks results may wait to be read */
#define PROBE_INTERVAL_MS  1000 /* between questions which incarnation a target is */
#define UNKNOWN_RETRY_MS   1000 /* between lists of a target that only unknown runs may be on */
#define UNREACHABLE_MS	   3500 /* a target that was silent for longer gets no starts */
/* A target that was silent for longer and runs nothing is removed. */
#define REMOVE_AFTER_MS 20000
/* A target lists at most so many ends: an answer with as many may be incomplete. */
#define ENDS_LISTED_MAX 500

/*
 * wl_sched_runner_find - find a target by its id
 *
 * Return: the target, or NULL.
 */
wl_sched_runner_t *wl_sched_runner_find(const wl_sched_t *sched, wl_str_t id)
{
	return wl_map_get(&sched->by_runner, id);
}

/*
 * What agents had as answers says nothing of another address or incarnation. Orders for a target
 * that was removed may still be answered when another one has its id: numbers do not recur.
 */
static void lookup_begin(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	runner->lookup = ++sched->newest_lookup;
	runner->known.answered_agents = 0;
}

/*
 * An incarnation refuses orders for the ones before it once it has received its first order. A
 * start that is carried out late would run a task again. A renewal would make it forget ends that
 * it has not listed yet, as each incarnation numbers its ends anew.
 */
static void fence_raise(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	runner->fence = ++sched->newest_fence;
}

static void address_update(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner)
{
	wl_str_t address = wl_buf_str(&runner->state->report.address);

	if (wl_str_equal(wl_buf_str(&runner->address), address))
		return;
	wl_buf_set(&runner->address, address);
	lookup_begin(sched, runner);
	wl_sched_open_starts_stop(sched, now_ns, runner);
}

/*
 * An incarnation may have other labels than the one before, so that they are unknown until it has
 * reported itself. Its rack and capacity are those of its machine.
 */
static void labels_update(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	const wl_runner_report_t *report = &runner->state->report;
	bool were_known = runner->fit.labels != NULL;

	runner->fit.labels = runner->incarnation == report->incarnation ? &report->labels : NULL;
	sched->place_due |= runner->fit.labels && !were_known;
}

static void fit_update(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	const wl_runner_report_t *report = &runner->state->report;

	runner->fit.service = wl_buf_str(&report->service);
	runner->fit.rack = wl_buf_str(&report->rack);
	labels_update(sched, runner);
	wl_sched_capacity_reported(sched, runner, report);
	wl_sched_runner_zone_update(sched, runner);
}

/* Time of the target's newest report or answer; 0: none. */
static uint64_t last_contact_ns(const wl_sched_runner_t *runner)
{
	return runner->reported_ns > runner->answered_ns ? runner->reported_ns
							 : runner->answered_ns;
}

static bool is_silent(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return now_ns - last_contact_ns(runner) >= UNREACHABLE_MS * WL_NS_PER_MS;
}

/*
 * An incarnation that reports itself and answers no order may be no target at all: it gets starts
 * only until a renewal has failed.
 */
static bool is_unproved(const wl_sched_runner_t *runner)
{
	return runner->known.renewal_failed && !runner->known.fenced;
}

static void usable_update(wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns)
{
	uint64_t last_ns = last_contact_ns(runner);
	bool usable = !runner->state->departed_ms && !runner->known.departing &&
		      !runner->known.removal_proposed && !is_unproved(runner) &&
		      !runner->state->report.draining && !wl_sched_zone_closed(runner, now_ns) &&
		      runner->known.clock_ns && last_ns && !is_silent(runner, now_ns) &&
		      now_ns >= runner->quarantined_until_ns;

	if (usable == runner->fit.usable)
		return;
	sched->place_due |= usable;
	runner->fit.usable = usable;
	wl_sched_row_outdate(sched, runner);
}

/*
 * wl_sched_runner_sync - create or update a target from the replicated state
 */
wl_sched_runner_t *wl_sched_runner_sync(wl_sched_t *sched, uint64_t now_ns, wl_runner_t *state)
{
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, state->key);

	if (!runner) {
		runner = wl_alloc(sizeof(*runner));
		wl_buf_set(&runner->id, state->key);
		runner->key = wl_buf_str(&runner->id);
		runner->incarnation = state->report.incarnation;
		fence_raise(sched, runner);
		runner->renewal_due_ns = now_ns;
		runner->began_ns = now_ns;
		runner->previous_leases_expiry_ns =
			sched->leader_since_ns +
			wl_sched_lease_bound_ns(sched->options.lease_max_ms);
		runner->late_orders_over_ns =
			sched->leader_since_ns +
			(WL_SCHED_AGENT_HOLD_MS + WL_SCHED_ORDER_LATE_MS) * WL_NS_PER_MS;
		wl_warmup_report(&runner->warmup, now_ns, state->report.warmup_ms);
		TAILQ_INIT(&runner->runs);
		TAILQ_INIT(&runner->serving);
		TAILQ_INIT(&runner->open_starts);
		wl_map_put(&sched->by_runner, runner);
		TAILQ_INSERT_TAIL(&sched->runners, runner, link);
		wl_sched_rows_reset(sched);
	}
	runner->state = state;
	address_update(sched, now_ns, runner);
	fit_update(sched, runner);
	usable_update(sched, runner, now_ns);
	return runner;
}

static void incarnation_begin(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      uint64_t incarnation)
{
	uint64_t lease_max_ns = wl_sched_lease_bound_ns(sched->options.lease_max_ms);

	if (incarnation == 0 || incarnation == runner->incarnation)
		return;
	wl_sched_crash_incarnation_end(sched, now_ns, runner, incarnation);
	runner->former_incarnation = runner->incarnation;
	runner->incarnation = incarnation;
	runner->known = (wl_sched_incarnation_t){0};
	runner->warmup = (wl_warmup_t){0};
	fence_raise(sched, runner);
	if (incarnation < runner->capacity_incarnation)
		runner->capacity_incarnation = 0;
	runner->previous_leases_expiry_ns = now_ns + lease_max_ns;
	runner->known.late_leases_expiry_ns = runner->late_orders_over_ns + lease_max_ns;
	wl_sched_stops_forget(runner);
	lookup_begin(sched, runner);
	runner->renewal_id = 0; /* the one in flight says nothing of this incarnation */
	labels_update(sched, runner);
	wl_sched_open_starts_stop(sched, now_ns, runner);
}

/*
 * A report with an earlier start time is late, or of a later incarnation whose clock was set back.
 * The target's answer to a renewal tells which; while it has runs, renewals are sent anyway.
 */
static void probe_schedule(wl_sched_runner_t *runner, uint64_t now_ns)
{
	if (runner->probe_due || now_ns < runner->next_probe_ns)
		return;
	runner->probe_due = true;
	runner->next_probe_ns = now_ns + PROBE_INTERVAL_MS * WL_NS_PER_MS;
	if (runner->renewal_due_ns > now_ns)
		runner->renewal_due_ns = now_ns;
}

/*
 * wl_sched_runner_reported - process a report of a target
 *
 * Reports of an incarnation that has ended, or that are older than the newest one, are ignored.
 */
void wl_sched_runner_reported(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      const wl_runner_report_t *report)
{
	if (runner->state->departed_ms ||
	    (report->incarnation && report->incarnation == runner->former_incarnation))
		return;
	if (report->incarnation < runner->incarnation) {
		probe_schedule(runner, now_ns);
		return;
	}
	if (report->incarnation > runner->incarnation) {
		incarnation_begin(sched, now_ns, runner, report->incarnation);
		wl_sched_renewal_schedule(runner, now_ns);
	}
	if (report->sequence <= runner->known.sequence)
		return;
	runner->known.sequence = report->sequence;
	runner->reported_ns = now_ns;
	wl_sched_lapse_heard(sched, runner->key, runner->incarnation);
	wl_sched_clock_sample(runner, now_ns, report->clock_ms);
}

/*
 * wl_sched_runner_remove - release a target and its runs
 */
void wl_sched_runner_remove(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	while (!TAILQ_EMPTY(&runner->runs))
		wl_sched_run_remove(sched, TAILQ_FIRST(&runner->runs));
	wl_sched_open_starts_clear(runner);
	wl_map_remove(&sched->by_runner, runner->key);
	TAILQ_REMOVE(&sched->runners, runner, link);
	wl_sched_rows_reset(sched);
	wl_buf_free(&runner->id);
	wl_buf_free(&runner->address);
	free(runner->headrooms);
	free(runner);
}

/*
 * wl_sched_runners_clear - release all targets and their runs
 */
void wl_sched_runners_clear(wl_sched_t *sched)
{
	while (!TAILQ_EMPTY(&sched->runners))
		wl_sched_runner_remove(sched, TAILQ_FIRST(&sched->runners));
}

/*
 * wl_sched_renewal_schedule - schedule the next renewal
 * @due_ns: when to send it
 */
void wl_sched_renewal_schedule(wl_sched_runner_t *runner, uint64_t due_ns)
{
	runner->renewal_due_ns = due_ns;
}

static bool has_unknown_run(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	const wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link)
		if (wl_sched_run_unknown(run, now_ns))
			return true;
	return false;
}

/*
 * Whether the target must answer the next renewal at once instead of waiting for an end, because
 * the state of the target or of a run is unknown.
 */
static bool needs_immediate_answer(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return runner->known.clock_ns == 0 || runner->known.renewal_failed ||
	       !runner->known.fenced || has_unknown_run(runner, now_ns);
}

/*
 * wl_sched_runner_needs_lease - whether any run on a target needs its lease renewed
 */
bool wl_sched_runner_needs_lease(const wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link)
		if (run->phase != WL_RUN_PROPOSED && run->phase != WL_RUN_ENDING)
			return true;
	return false;
}

/* Whether the target has not answered yet a renewal that named its newest committed end. */
static bool is_ack_open(const wl_sched_incarnation_t *known)
{
	return known->ends_acknowledged < known->ends_committed;
}

/*
 * Number of ends to acknowledge. An incarnation that is not known yet would forget its own ends, so
 * that ends are acknowledged only until this is answered, and not while renewals fail.
 */
static uint64_t ends_to_acknowledge(const wl_sched_incarnation_t *known)
{
	if (known->renewal_failed || !is_ack_open(known))
		return 0;
	return known->ends_committed;
}

static bool may_request_lease(const wl_sched_runner_t *runner)
{
	return runner->known.clock_ns && !runner->known.renewal_failed && !runner->known.departing;
}

static void renewal_order(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			  wl_order_t *order)
{
	order->kind = WL_ORDER_RENEW;
	order->timeout_ms = order->wait_ms + RENEWAL_TIMEOUT_MS;
	runner->probe_due = false;
	runner->renewal_overdue_ns =
		now_ns + (order->timeout_ms + RENEWAL_REPORT_MS) * WL_NS_PER_MS;
	wl_sched_order_add(sched, now_ns, runner, order, NULL);
}

static void renewal_send(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			 bool needs_lease)
{
	wl_order_t order = {.committed_ends = ends_to_acknowledge(&runner->known)};

	order.wait_ms =
		needs_lease && !needs_immediate_answer(runner, now_ns) ? RENEWAL_WAIT_MS : 0;
	if (order.wait_ms && wl_sched_tails_at_risk(sched, runner))
		order.wait_ms = RENEWAL_TAILS_MS;
	if (needs_lease && may_request_lease(runner))
		order.lease_ms = wl_sched_runner_clock_ms(runner, now_ns) + sched->options.lease_ms;
	runner->known.ack_due = false;
	runner->renewal_idle = !needs_lease;
	renewal_order(sched, now_ns, runner, &order);
}

/* Whether a renewal is in flight that also renews the leases of the runs that are there now. */
static bool is_renewal_open(const wl_sched_runner_t *runner)
{
	if (!runner->renewal_id)
		return false;
	return !runner->renewal_idle || !wl_sched_runner_needs_lease(runner);
}

/* Whether the agent of the renewal in flight holds it up, and another replica can send it. */
static bool renewal_held_up(const wl_sched_t *sched, uint64_t now_ns,
			    const wl_sched_runner_t *runner)
{
	return runner->renewal_id && now_ns >= runner->renewal_overdue_ns &&
	       !wl_sched_stood_still(sched, now_ns) &&
	       wl_sched_agent_replaceable(sched, runner,
					  wl_sched_order_agent(sched, runner->renewal_id));
}

/*
 * Sends a renewal that an agent holds up through another one. It names no later expiry than those
 * before, so that the lease of a silent target ends as early as without it, and acknowledges
 * nothing.
 */
static void renewal_repeat(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner)
{
	wl_order_t order = {0};

	wl_sched_agent_avoid(sched, runner, now_ns,
			     wl_sched_order_agent(sched, runner->renewal_id));
	if (wl_sched_runner_needs_lease(runner) && may_request_lease(runner))
		order.lease_ms = runner->known.lease_until_ms;
	renewal_order(sched, now_ns, runner, &order);
}

/* Whether the target has runs that the leader does not know, or may get one by a late start. */
static bool may_have_unknown(wl_sched_runner_t *runner, uint64_t now_ns)
{
	return runner->known.unknown_listed || wl_sched_open_starts_remain(runner, now_ns);
}

static void renewal_send_due(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner)
{
	bool needs_lease = wl_sched_runner_needs_lease(runner);

	if (needs_lease || runner->known.ack_due || runner->probe_due || !runner->known.fenced ||
	    may_have_unknown(runner, now_ns))
		renewal_send(sched, now_ns, runner, needs_lease);
}

static bool leases_are_over(const wl_sched_runner_t *runner, uint64_t now_ns)
{
	return (runner->known.renewal_failed || runner->known.departing) &&
	       now_ns > wl_sched_leases_expiry_ns(runner);
}

/* Looks at the runs only where it matters: at most ticks, a renewal is in flight. */
static void runner_tick(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			wl_out_t *out)
{
	uint64_t last_ns = last_contact_ns(runner);

	if (runner->fit.warmup_millis)
		wl_sched_warmup_tick(sched, now_ns, runner);
	usable_update(sched, runner, now_ns);
	wl_sched_agent_retry(runner, now_ns);
	if (leases_are_over(runner, now_ns) && wl_sched_runner_needs_lease(runner))
		wl_sched_runs_expire(sched, now_ns, runner, out);
	if (now_ns >= runner->renewal_due_ns && !is_renewal_open(runner))
		renewal_send_due(sched, now_ns, runner);
	else if (renewal_held_up(sched, now_ns, runner))
		renewal_repeat(sched, now_ns, runner);
	if (!TAILQ_EMPTY(&runner->runs) || runner->known.removal_proposed)
		return;
	if (last_ns < sched->leader_since_ns)
		last_ns = sched->leader_since_ns;
	if (runner->known.departing)
		wl_sched_removal_propose(sched, now_ns, runner, "departed", NULL, out);
	else if (now_ns - last_ns > REMOVE_AFTER_MS * WL_NS_PER_MS)
		wl_sched_removal_propose(sched, now_ns, runner, "silent", NULL, out);
}

static bool pause_is_long(const wl_sched_t *sched, uint64_t now_ns)
{
	return now_ns - sched->ticked_ns > STANDSTILL_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_stood_still - whether what is known now may have come long before
 */
bool wl_sched_stood_still(const wl_sched_t *sched, uint64_t now_ns)
{
	return now_ns < sched->caught_up_ns || pause_is_long(sched, now_ns);
}

/*
 * wl_sched_runners_tick - send the renewals that are due, expire leases, remove silent
 * targets
 */
void wl_sched_runners_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_runner_t *runner;

	if (pause_is_long(sched, now_ns))
		sched->caught_up_ns = now_ns + RENEWAL_REPORT_MS * WL_NS_PER_MS;
	sched->ticked_ns = now_ns;
	TAILQ_FOREACH (runner, &sched->runners, link)
		runner_tick(sched, now_ns, runner, out);
}

static wl_sched_run_t *run_of_ref(const wl_sched_t *sched, const wl_task_ref_t *ref,
				  uint64_t number)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&ref->job));
	uint64_t task;

	if (!job || !wl_job_task_index(job, ref, &task))
		return NULL;
	return wl_sched_run_find(sched, job->key, task, number);
}

/* A run that the leader does not know is stopped: its task has ended or runs elsewhere. */
static void unknown_run_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			     const wl_run_view_t *view, wl_out_t *out)
{
	wl_order_t order = {
		.kind = WL_ORDER_STOP,
		.task = view->ref,
		.run = view->run,
		.timeout_ms = RENEWAL_TIMEOUT_MS,
	};

	wl_out_log(out, WL_WARN, "run-unknown",
		   "job=" WL_STR_FMT " task=%llu.%llu.%llu run=%llu target=" WL_STR_FMT,
		   WL_STR_ARG(wl_buf_str(&view->ref.job)), (unsigned long long)view->ref.occurrence,
		   (unsigned long long)view->ref.step, (unsigned long long)view->ref.index,
		   (unsigned long long)view->run, WL_STR_ARG(runner->key));
	wl_sched_order_add(sched, now_ns, runner, &order, NULL);
}

/* Keeps a checkpoint that a target lists; a newer one is progress of the job. */
static void checkpoint_listed(const wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			      wl_str_t checkpoint)
{
	const wl_job_t *job;

	if (checkpoint.len == 0 || wl_str_equal(checkpoint, wl_buf_str(&run->checkpoint)))
		return;
	wl_buf_set(&run->checkpoint, checkpoint);
	job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	if (job)
		wl_sched_job_progressed(job, now_ns);
}

static void views_apply(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			uint64_t sent_ns, const wl_order_end_t *end, wl_out_t *out)
{
	const wl_run_view_t *views = end->runs.items;
	wl_cmd_runs_end_t sound = {0};

	for (size_t i = 0; i < end->runs.count; i++) {
		wl_sched_run_t *run = run_of_ref(sched, &views[i].ref, views[i].run);

		if (!run || run->runner != runner) {
			runner->known.unknown_listed = true;
			unknown_run_stop(sched, now_ns, runner, &views[i], out);
			continue;
		}
		run->listed = true;
		run->listed_by = end->incarnation;
		wl_sched_crash_run_listed(sched, now_ns, run, &sound);
		if (run->first_listed_ns == 0) {
			run->first_listed_ns = now_ns;
			wl_sched_interruption_measure(sched, now_ns, run);
		}
		run->last_listed_ns = now_ns;
		wl_sched_stop_listed(run, sent_ns);
		run->tail_ms = views[i].load; /* the tail latency of a serving run, in ms */
		checkpoint_listed(sched, now_ns, run, wl_buf_str(&views[i].checkpoint));
		if (run->phase != WL_RUN_INHERITED && run->phase != WL_RUN_UNCONFIRMED)
			continue;
		run->phase = WL_RUN_CONFIRMED;
		run->answered_ns = now_ns;
		wl_sched_run_begun(sched, run);
	}
	wl_sched_ends_propose(sched, now_ns, &sound, out);
}

static void ends_collect(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_order_end_t *end,
			 wl_cmd_runs_end_t *ends)
{
	const wl_end_view_t *views = end->ends.items;

	for (size_t i = 0; i < end->ends.count; i++) {
		wl_sched_run_t *run = run_of_ref(sched, &views[i].ref, views[i].run);

		if (views[i].number <= runner->known.ends_proposed)
			continue;
		runner->known.ends_proposed = views[i].number;
		if (!run || run->runner != runner || run->phase == WL_RUN_ENDING ||
		    run->phase == WL_RUN_PROPOSED)
			continue;
		if (views[i].checkpoint.len)
			wl_buf_set(&run->checkpoint, wl_buf_str(&views[i].checkpoint));
		wl_sched_run_end_add(run, (wl_run_outcome_t)views[i].outcome, "listed", ends);
	}
}

/* Ends are acknowledged to the target only once they are committed. */
static void ends_commit(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			wl_cmd_runs_end_t *ends, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_RUNS_END, .u.runs_end = *ends};
	wl_sched_proposal_t *proposal;

	if (ends->ends.count == 0) {
		if (runner->known.end_proposals ||
		    runner->known.ends_committed == runner->known.ends_proposed)
			return;
		runner->known.ack_due = true;
		runner->known.ends_committed = runner->known.ends_proposed;
		return;
	}
	runner->known.end_proposals++;
	proposal = wl_sched_propose(sched, now_ns, &cmd, out);
	wl_buf_set(&proposal->runner, runner->key);
	proposal->incarnation = runner->incarnation;
	proposal->ends_proposed = runner->known.ends_proposed;
	/* The commit schedules a renewal too, if it completes earlier. */
	runner->renewal_due_ns = now_ns + RENEWAL_WAIT_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_later_target_at_address - whether a target that has started later has reported the
 * address of this one
 */
bool wl_sched_later_target_at_address(const wl_sched_t *sched, const wl_sched_runner_t *runner)
{
	const wl_sched_runner_t *other;

	TAILQ_FOREACH (other, &sched->runners, link)
		if (other->state->report.incarnation > runner->state->report.incarnation &&
		    wl_str_equal(wl_buf_str(&other->address), wl_buf_str(&runner->address)))
			return true;
	return false;
}

/*
 * Whether the answer proves that the reported incarnation has ended with all its runs. That
 * another target answers is a proof only if this one was at the address before, as the agent
 * has found, or if the other one has started later.
 */
static bool address_taken(const wl_sched_t *sched, const wl_sched_runner_t *runner,
			  const wl_sched_order_t *order, const wl_order_end_t *end)
{
	if (end->outcome != WL_ORDER_OTHER_INCARNATION || runner->known.removal_proposed ||
	    order->lookup != runner->lookup)
		return false;
	return (runner->known.answered_agents & order->agent->bit) ||
	       wl_sched_later_target_at_address(sched, runner);
}

static bool only_unknown_left(wl_sched_runner_t *runner, uint64_t now_ns)
{
	return may_have_unknown(runner, now_ns) && !wl_sched_runner_needs_lease(runner);
}

static uint64_t retry_ms(wl_sched_runner_t *runner, uint64_t now_ns)
{
	if (wl_sched_runner_needs_lease(runner))
		return RENEWAL_RETRY_MS;
	return may_have_unknown(runner, now_ns) || is_silent(runner, now_ns) ? UNKNOWN_RETRY_MS
									     : RENEWAL_RETRY_MS;
}

static void renewal_fail(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			 const wl_sched_order_t *order, const wl_order_end_t *end, wl_out_t *out)
{
	if (!runner->known.renewal_failed)
		wl_out_log(out, WL_INFO, "target-hold-failed",
			   "target=" WL_STR_FMT " outcome=%s answered_ms=%llu",
			   WL_STR_ARG(runner->key), wl_order_outcome_names[end->outcome],
			   (unsigned long long)((now_ns - runner->answered_ns) / WL_NS_PER_MS));
	wl_sched_crash_unreachable(sched, now_ns, runner, order->sent_ns);
	runner->known.renewal_failed = true;
	runner->known.ack_due |= is_ack_open(&runner->known);
	if (end->outcome == WL_ORDER_NO_ANSWER || end->outcome == WL_ORDER_NOT_SENT ||
	    end->outcome == WL_ORDER_OTHER_INCARNATION)
		wl_sched_agent_avoid(sched, runner, now_ns, order->agent);
	wl_sched_renewal_schedule(runner, now_ns + retry_ms(runner, now_ns) * WL_NS_PER_MS);
}

/*
 * Whether an incarnation before the known one answered. One that answers an order that was sent
 * after the known one had started is a later one, whatever its start time.
 */
static bool answer_is_of_earlier(const wl_sched_runner_t *runner, const wl_sched_order_t *order,
				 const wl_order_end_t *end)
{
	return end->incarnation && end->incarnation < runner->incarnation &&
	       (end->incarnation == runner->former_incarnation ||
		order->incarnation != runner->incarnation);
}

/*
 * Whether the result of a renewal says less than that of a later one: it was answered before, or
 * this one failed where that one may not.
 */
static bool renewal_superseded(const wl_sched_runner_t *runner, const wl_sched_order_t *order,
			       const wl_order_end_t *end)
{
	return order->id < runner->renewal_answered_id ||
	       (order->id != runner->renewal_id && end->outcome != WL_ORDER_DONE);
}

/*
 * wl_sched_renewal_answered - process the result of a renewal
 */
void wl_sched_renewal_answered(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			       const wl_sched_order_t *order, const wl_order_end_t *end,
			       wl_out_t *out)
{
	wl_cmd_runs_end_t ends = {0};
	wl_sched_run_t *run;

	if (renewal_superseded(runner, order, end)) {
		if (order->lookup == runner->lookup)
			wl_sched_agent_avoid(sched, runner, now_ns, order->agent);
		return;
	}
	if (runner->renewal_id == order->id)
		runner->renewal_id = 0;
	if (address_taken(sched, runner, order, end)) {
		wl_sched_crash_address_taken(sched, now_ns, runner, order->agent, out);
		return;
	}
	/* says nothing about the target, or nothing about the present incarnation or address */
	if (end->outcome == WL_ORDER_AGENT_LOST ||
	    (end->outcome != WL_ORDER_DONE && order->lookup != runner->lookup) ||
	    answer_is_of_earlier(runner, order, end)) {
		wl_sched_renewal_schedule(runner, now_ns);
		return;
	}
	if (end->outcome == WL_ORDER_HELD) {
		wl_sched_agent_slow(sched, runner, now_ns, order->agent);
		wl_sched_renewal_schedule(runner, now_ns + RENEWAL_RETRY_MS * WL_NS_PER_MS);
		return;
	}
	if (end->outcome != WL_ORDER_DONE) {
		renewal_fail(sched, now_ns, runner, order, end, out);
		return;
	}
	if (end->incarnation && end->incarnation != runner->incarnation) {
		incarnation_begin(sched, now_ns, runner, end->incarnation);
		wl_sched_clock_sample(runner, now_ns, end->clock_ms);
		runner->answered_ns = now_ns;
	}
	runner->known.renewal_failed = false;
	runner->known.fenced |= order->lookup == runner->lookup;
	runner->renewal_answered_id = order->id;
	if (order->incarnation == runner->incarnation &&
	    order->committed_ends > runner->known.ends_acknowledged)
		runner->known.ends_acknowledged = order->committed_ends;
	runner->known.ack_due |= is_ack_open(&runner->known);
	wl_sched_crash_heard(sched, now_ns, runner);
	wl_sched_renewal_schedule(runner, now_ns);
	wl_sched_average_shares_update(runner, now_ns);
	TAILQ_FOREACH (run, &runner->runs, link)
		run->listed = false;
	runner->known.unknown_listed = false;
	views_apply(sched, now_ns, runner, order->sent_ns, end, out);
	wl_sched_tails_update(sched, now_ns, runner, out);
	ends_collect(sched, runner, end, &ends);
	if (!end->partial && end->ends.count < ENDS_LISTED_MAX)
		wl_sched_absent_collect(sched, now_ns, runner, order->sent_ns, &ends);
	if (only_unknown_left(runner, now_ns))
		wl_sched_renewal_schedule(runner, now_ns + UNKNOWN_RETRY_MS * WL_NS_PER_MS);
	if (has_unknown_run(runner, now_ns)) /* until its stop is answered */
		wl_sched_renewal_schedule(runner, now_ns + RENEWAL_RETRY_MS * WL_NS_PER_MS);
	wl_sched_crash_restarted(sched, now_ns, runner, &ends, out);
	ends_commit(sched, now_ns, runner, &ends, out);
}
