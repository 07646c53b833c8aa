/*
 * Departures of targets.
 *
 * A target that announces its departure may work on for seconds, so that the announcement ends no
 * run. The target gets no starts and no lease renewals from then on, its runs are ordered to stop,
 * and it is removed once it has none left: their ends are listed, or all leases have expired.
 *
 * The call is kept open for a while, so that the target can list these ends before it exits.
 */

#include "internal.h"

#include <stdlib.h>

/* Above the usual stop with the delay that an agent adds, below what an entry waits for us. */
#define DEPARTURE_WAIT_MS 650

struct wl_sched_departure {
	wl_buf_t peer; /* daemon that waits for the result */
	uint64_t call;
	wl_buf_t runner;
	uint64_t incarnation;
	uint64_t since_ns;
	TAILQ_ENTRY(wl_sched_departure) link;
};

static void departure_remove(wl_sched_t *sched, wl_sched_departure_t *departure)
{
	TAILQ_REMOVE(&sched->departures, departure, link);
	wl_buf_free(&departure->peer);
	wl_buf_free(&departure->runner);
	free(departure);
}

/*
 * wl_sched_departures_clear - release all departures; their calls are not answered
 */
void wl_sched_departures_clear(wl_sched_t *sched)
{
	wl_sched_departure_t *departure = TAILQ_FIRST(&sched->departures);

	while (departure) {
		wl_sched_departure_t *next = TAILQ_NEXT(departure, link);

		departure_remove(sched, departure);
		departure = next;
	}
}

/*
 * wl_sched_departures_drop - release all departures at the end of the leadership
 */
void wl_sched_departures_drop(wl_sched_t *sched, wl_out_t *out)
{
	const wl_sched_departure_t *departure;

	TAILQ_FOREACH (departure, &sched->departures, link)
		wl_sched_answer_no_leader(out, wl_buf_str(&departure->peer), departure->call,
					  WL_UNKNOWN);
	wl_sched_departures_clear(sched);
}

static size_t run_count(const wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;
	size_t count = 0;

	TAILQ_FOREACH (run, &runner->runs, link)
		count++;
	return count;
}

/* Whether the known incarnation drains, as one that leaves does before. */
static bool is_draining(const wl_sched_runner_t *runner)
{
	const wl_runner_report_t *report = &runner->state->report;

	return report->draining && report->incarnation == runner->incarnation;
}

/*
 * A call that is late or sent again may come from an earlier incarnation.
 *
 * Return: why the departure has no effect; NULL: it has.
 */
static const char *departure_check(const wl_sched_runner_t *runner,
				   const wl_runner_report_t *report)
{
	if (!runner)
		return "unknown";
	if (report->incarnation && report->incarnation != runner->incarnation)
		return "other-life";
	if (report->incarnation == 0 && !is_draining(runner))
		return "not-draining";
	return NULL;
}

static void departure_answer(const wl_sched_t *sched, wl_str_t peer, uint64_t call, wl_str_t id,
			     wl_out_t *out)
{
	wl_result_t result = {0};

	wl_result_ok(&result, 0);
	wl_buf_set(&result.report_to, wl_sched_report_to(sched, id));
	wl_sched_answer(out, peer, call, &result);
	wl_result_free(&result);
}

static void departure_log(const wl_sched_runner_t *runner, const wl_runner_report_t *report,
			  wl_out_t *out)
{
	wl_out_log(out, WL_INFO, "target-leave",
		   "target=" WL_STR_FMT " named_life=%llu life=%llu draining=%s hold=%s runs=%zu",
		   WL_STR_ARG(runner->key), (unsigned long long)report->incarnation,
		   (unsigned long long)runner->incarnation,
		   runner->state->report.draining ? "yes" : "no",
		   runner->renewal_id ? "open" : "none", run_count(runner));
}

static void departure_begin(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			    wl_out_t *out)
{
	wl_sched_run_t *run;

	if (runner->known.departing)
		return;
	runner->known.departing = true;
	runner->fit.usable = false;
	wl_sched_runner_touch(sched, runner);
	wl_sched_row_outdate(sched, runner);
	TAILQ_FOREACH (run, &runner->runs, link)
		wl_sched_run_stop(sched, now_ns, run, "departing", out);
	wl_sched_renewal_schedule(runner, now_ns);
}

/*
 * wl_sched_departure_receive - process the departure of a target
 */
void wl_sched_departure_receive(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
				const wl_runner_report_t *report, wl_out_t *out)
{
	wl_str_t id = wl_buf_str(&report->id);
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, id);
	const char *ignored = departure_check(runner, report);
	wl_sched_departure_t *departure;

	if (runner)
		departure_log(runner, report, out);
	if (ignored) {
		wl_out_log(out, WL_INFO, "target-leave-ignored", "target=" WL_STR_FMT " reason=%s",
			   WL_STR_ARG(id), ignored);
		departure_answer(sched, peer, call, id, out);
		return;
	}
	departure_begin(sched, now_ns, runner, out);
	departure = wl_alloc(sizeof(*departure));
	wl_buf_set(&departure->peer, peer);
	departure->call = call;
	wl_buf_set(&departure->runner, id);
	departure->incarnation = runner->incarnation;
	departure->since_ns = now_ns;
	TAILQ_INSERT_TAIL(&sched->departures, departure, link);
}

static bool must_wait(const wl_sched_runner_t *runner, const wl_sched_departure_t *departure,
		      uint64_t now_ns)
{
	return runner && runner->incarnation == departure->incarnation &&
	       !TAILQ_EMPTY(&runner->runs) &&
	       now_ns - departure->since_ns < DEPARTURE_WAIT_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_departures_answer - answer the departures that need not wait any longer
 */
void wl_sched_departures_answer(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_departure_t *departure = TAILQ_FIRST(&sched->departures);

	while (departure) {
		wl_sched_departure_t *next = TAILQ_NEXT(departure, link);
		wl_str_t id = wl_buf_str(&departure->runner);
		const wl_sched_runner_t *runner = wl_sched_runner_find(sched, id);

		if (!must_wait(runner, departure, now_ns)) {
			wl_out_log(
				out, WL_INFO, "target-leave-answered",
				"target=" WL_STR_FMT " after_ms=%llu runs=%zu", WL_STR_ARG(id),
				(unsigned long long)((now_ns - departure->since_ns) / WL_NS_PER_MS),
				runner ? run_count(runner) : 0);
			departure_answer(sched, wl_buf_str(&departure->peer), departure->call, id,
					 out);
			departure_remove(sched, departure);
		}
		departure = next;
	}
}
