/*
 * Departures of targets, which wait for the answer of a renewal in flight.
 *
 * A departure ends all runs of the target.  A target that leaves when its last run has ended lists
 * that end in its last answer, which passes through an agent and may arrive after the departure.
 */

#include "internal.h"

#include <stdlib.h>

/* Above the delay that an agent adds, and below the time-out of the target's call. */
#define DEPARTURE_WAIT_MS 500

struct wl_sched_departure {
	wl_buf_t peer; /* daemon that waits for the result */
	uint64_t call;
	wl_cmd_t cmd; /* WL_CMD_RUNNER_PUT of the target */
	uint64_t since_ns;
	TAILQ_ENTRY(wl_sched_departure) link;
};

static void departure_remove(wl_sched_t *sched, wl_sched_departure_t *departure)
{
	TAILQ_REMOVE(&sched->departures, departure, link);
	wl_buf_free(&departure->peer);
	wl_cmd_free(&departure->cmd);
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

static bool answer_pending(const wl_sched_t *sched, const wl_cmd_t *cmd)
{
	const wl_sched_runner_t *runner =
		wl_sched_runner_find(sched, wl_buf_str(&cmd->u.runner_put.id));

	return runner && runner->renewal_id && !TAILQ_EMPTY(&runner->runs);
}

static void departure_log(const wl_sched_runner_t *runner, const wl_runner_report_t *report,
			  wl_out_t *out)
{
	size_t runs = 0;
	const wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, link)
		runs++;
	wl_out_log(out, WL_INFO, "target-leave",
		   "target=" WL_STR_FMT " named_life=%llu life=%llu draining=%s hold=%s runs=%zu",
		   WL_STR_ARG(runner->key), (unsigned long long)report->incarnation,
		   (unsigned long long)runner->incarnation,
		   runner->state->report.draining ? "yes" : "no",
		   runner->renewal_id ? "open" : "none", runs);
}

static void departure_answer(const wl_sched_t *sched, wl_str_t peer, uint64_t call,
			     const wl_runner_report_t *report, wl_out_t *out)
{
	wl_result_t result = {0};

	wl_result_ok(&result, 0);
	wl_buf_set(&result.report_to, wl_sched_report_to(sched, wl_buf_str(&report->id)));
	wl_sched_answer(out, peer, call, &result);
	wl_result_free(&result);
}

static void departure_defer(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
			    wl_cmd_t *cmd)
{
	wl_sched_departure_t *departure = wl_alloc(sizeof(*departure));

	wl_buf_set(&departure->peer, peer);
	departure->call = call;
	departure->cmd = *cmd;
	*cmd = (wl_cmd_t){0};
	departure->since_ns = now_ns;
	TAILQ_INSERT_TAIL(&sched->departures, departure, link);
}

/*
 * wl_sched_departure_receive - process the departure of a target
 * @cmd: moved from
 */
void wl_sched_departure_receive(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
				wl_cmd_t *cmd, wl_out_t *out)
{
	wl_runner_report_t *report = &cmd->u.runner_put;
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&report->id));

	if (!runner) {
		wl_out_log(out, WL_INFO, "target-leave-ignored",
			   "target=" WL_STR_FMT " reason=unknown",
			   WL_STR_ARG(wl_buf_str(&report->id)));
		departure_answer(sched, peer, call, report, out);
		wl_cmd_free(cmd);
		return;
	}
	departure_log(runner, report, out);
	if (report->incarnation == 0)
		report->incarnation = runner->state->report.incarnation;
	if (answer_pending(sched, cmd))
		departure_defer(sched, now_ns, peer, call, cmd);
	else
		wl_sched_command_propose(sched, now_ns, peer, call, cmd, out);
}

static void departure_answered_log(const wl_sched_t *sched, uint64_t now_ns,
				   const wl_sched_departure_t *departure, wl_out_t *out)
{
	wl_str_t id = wl_buf_str(&departure->cmd.u.runner_put.id);
	const wl_sched_runner_t *runner = wl_sched_runner_find(sched, id);
	const wl_sched_run_t *run;
	size_t runs = 0;

	if (runner)
		TAILQ_FOREACH (run, &runner->runs, link)
			runs++;
	wl_out_log(out, WL_INFO, "target-leave-answered",
		   "target=" WL_STR_FMT " after_ms=%llu runs=%zu", WL_STR_ARG(id),
		   (unsigned long long)((now_ns - departure->since_ns) / WL_NS_PER_MS), runs);
}

/*
 * wl_sched_departures_propose - propose the departures that need not wait any longer
 *
 * Must be called after the event's results were processed, so that the ends of runs that a
 * renewal has brought are proposed before.
 */
void wl_sched_departures_propose(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_departure_t *departure = TAILQ_FIRST(&sched->departures);

	while (departure) {
		wl_sched_departure_t *next = TAILQ_NEXT(departure, link);

		if (now_ns - departure->since_ns >= DEPARTURE_WAIT_MS * WL_NS_PER_MS ||
		    !answer_pending(sched, &departure->cmd)) {
			departure_answered_log(sched, now_ns, departure, out);
			wl_sched_command_propose(sched, now_ns, wl_buf_str(&departure->peer),
						 departure->call, &departure->cmd, out);
			departure_remove(sched, departure);
		}
		departure = next;
	}
}
