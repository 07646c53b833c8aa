/*
 * Runs, from the committed start to the committed end.
 *
 * A run is over only once its target lists its end, or certainly does not have the run:
 * the target has a new incarnation, every lease there has expired, or the start was
 * fenced. Until then its capacity stays reserved and its task is not placed again.
 */

#include "internal.h"

#include <stdlib.h>

#define STOP_RETRY_MS	      300  /* pause before an unanswered stop is sent again */
#define STOP_REFUSED_RETRY_MS 1000 /* pause before a refused one is */
/* A run that is listed so long after the answer to its stop has not been stopped. */
#define STOP_EFFECT_MS 1000
/* After a refusal for lack of capacity: the target counts its capacity anew by then. */
#define NO_ROOM_QUARANTINE_MS	300
#define UNHEALTHY_QUARANTINE_MS 1000
/* Failed runs of different jobs in a row that quarantine a target. */
#define FAILURES_MAX	       3
#define FAILURES_QUARANTINE_MS 4000

const char *const wl_run_phase_names[] = {"proposed",  "starting",    "confirmed",
					  "inherited", "unconfirmed", "ending"};

static void run_text(wl_str_t job, uint64_t task, uint64_t number, wl_buf_t *text)
{
	wl_buf_set(text, job);
	wl_buf_append(text, WL_STR("/"));
	wl_buf_append_u64(text, task);
	wl_buf_append(text, WL_STR("/"));
	wl_buf_append_u64(text, number);
}

/*
 * wl_sched_run_find - find a run by its job, task and number
 *
 * Return: the run, or NULL.
 */
wl_sched_run_t *wl_sched_run_find(const wl_sched_t *sched, wl_str_t job, uint64_t task,
				  uint64_t number)
{
	wl_buf_t text = {0};
	wl_sched_run_t *run;

	run_text(job, task, number, &text);
	run = wl_map_get(&sched->by_run, wl_buf_str(&text));
	wl_buf_free(&text);
	return run;
}

/*
 * wl_sched_job_runs_next - go to the next run of a job that the leader knows, by tasks
 *
 * Return: the run, or NULL after the last one.
 */
wl_sched_run_t *wl_sched_job_runs_next(const wl_sched_t *sched, wl_sched_job_runs_t *at)
{
	const wl_job_t *job = at->job;

	while (job->active > 0 && at->task < job->task_count) {
		wl_sched_run_t *known;

		at->run = at->run ? TAILQ_NEXT(at->run, of_task)
				  : TAILQ_FIRST(&job->tasks[at->task].runs);
		if (!at->run) {
			at->task++;
			continue;
		}
		known = wl_sched_run_find(sched, job->key, at->task, at->run->number);
		if (known)
			return known;
	}
	return NULL;
}

static void need_add(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_sched_run_t *run)
{
	runner->fit.used.cpu_millis += run->best_effort ? 0 : run->need.cpu_millis;
	runner->fit.used.memory_mib += run->need.memory_mib;
	runner->fit.used.accelerators += run->need.accelerators;
	runner->fit.best_effort_millis += run->best_effort ? run->need.cpu_millis : 0;
	runner->lasting_millis += run->lasting ? run->need.cpu_millis : 0;
	runner->fit.serving += run->serving;
	runner->fit.serving_millis += run->serving ? run->need.cpu_millis : 0;
	wl_sched_interference_outdate(sched, runner);
}

static void need_subtract(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_sched_run_t *run)
{
	runner->fit.used.cpu_millis -= run->best_effort ? 0 : run->need.cpu_millis;
	runner->fit.used.memory_mib -= run->need.memory_mib;
	runner->fit.used.accelerators -= run->need.accelerators;
	runner->fit.best_effort_millis -= run->best_effort ? run->need.cpu_millis : 0;
	runner->lasting_millis -= run->lasting ? run->need.cpu_millis : 0;
	runner->fit.serving -= run->serving;
	runner->fit.serving_millis -= run->serving ? run->need.cpu_millis : 0;
	runner->fit.background -= run->background;
	runner->promotion_due = true;
	sched->promotion_due |= runner->fit.background > 0;
	wl_sched_interference_outdate(sched, runner);
}

/*
 * wl_sched_run_add - create a run and reserve its capacity
 */
wl_sched_run_t *wl_sched_run_add(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_job_t *job,
				 uint64_t task, uint64_t number)
{
	wl_sched_run_t *run = wl_alloc(sizeof(*run));
	const wl_step_spec_t *step;
	wl_task_ref_t at;

	wl_job_task_ref(job, task, &at);
	step = wl_job_step(job, at.step);
	run_text(job->key, task, number, &run->text);
	run->key = wl_buf_str(&run->text);
	wl_buf_set(&run->job, job->key);
	run->task = task;
	run->number = number;
	run->runner = runner;
	run->incarnation = runner->incarnation;
	run->best_effort = step->best_effort;
	run->speed_percent = WL_SPEED_FULL;
	run->lasting = step->lasting;
	run->serving = step->lasting && step->tail_target_us > 0;
	run->tail_target_us = step->tail_target_us;
	run->image = wl_images_id(&sched->images, wl_buf_str(&step->image));
	run->need = (wl_need_t){.cpu_millis = step->cpu_millis,
				.memory_mib = step->memory_mib,
				.accelerators = step->accelerators};
	need_add(sched, runner, run);
	wl_sched_trial_begin(run, job);
	wl_map_put(&sched->by_run, run);
	TAILQ_INSERT_TAIL(&runner->runs, run, link);
	if (run->serving)
		TAILQ_INSERT_TAIL(&runner->serving, run, serving_link);
	return run;
}

/*
 * wl_sched_run_remove - release a run and its reservation
 */
void wl_sched_run_remove(wl_sched_t *sched, wl_sched_run_t *run)
{
	need_subtract(sched, run->runner, run);
	wl_sched_trial_end(sched, run);
	wl_map_remove(&sched->by_run, run->key);
	TAILQ_REMOVE(&run->runner->runs, run, link);
	if (run->serving)
		TAILQ_REMOVE(&run->runner->serving, run, serving_link);
	if (run->stopping)
		TAILQ_REMOVE(&sched->stopping, run, stopping_link);
	wl_buf_free(&run->text);
	wl_buf_free(&run->job);
	wl_buf_free(&run->checkpoint);
	free(run);
	sched->place_due = true;
}

static void task_of(const wl_sched_run_t *run, const wl_job_t *job, wl_task_ref_t *ref)
{
	wl_job_task_ref(job, run->task, ref);
	ref->job = run->job; /* not owned */
}

static void start_send(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, const wl_job_t *job,
		       wl_out_t *out)
{
	wl_order_t order = {
		.kind = WL_ORDER_START,
		.run = run->number,
		.payload = job->record.spec.payload, /* not owned, like the fields below */
		.checkpoint = job->tasks[wl_job_shared_task(job, run->task)].checkpoint,
		.timeout_ms = WL_SCHED_START_TIMEOUT_MS,
	};

	task_of(run, job, &order.task);
	order.lease_ms =
		wl_sched_runner_clock_ms(run->runner, now_ns) + sched->options.start_lease_ms;
	run->incarnation = run->runner->incarnation;
	run->phase = WL_RUN_STARTING;
	wl_sched_run_start_sent(run, now_ns);
	wl_sched_takeover_started(sched, now_ns);
	run->started_ms = wl_sched_clock_ms(sched, now_ns);
	run->start_agent = wl_sched_order_add(sched, now_ns, run->runner, &order, run);
	wl_sched_wait_measure(sched, wl_job_step(job, order.task.step)->lasting, run->waited_ns);
	wl_out_log(out, WL_INFO, "run-start",
		   "job=" WL_STR_FMT " task=%llu.%llu.%llu run=%llu target=" WL_STR_FMT
		   " waited_ms=%llu commit_ms=%llu cpu_used=%llu",
		   WL_STR_ARG(job->key), (unsigned long long)order.task.occurrence,
		   (unsigned long long)order.task.step, (unsigned long long)order.task.index,
		   (unsigned long long)run->number, WL_STR_ARG(run->runner->key),
		   (unsigned long long)(run->waited_ns / WL_NS_PER_MS),
		   (unsigned long long)((now_ns - run->placed_ns) / WL_NS_PER_MS),
		   (unsigned long long)run->runner->fit.used.cpu_millis);
}

/*
 * wl_sched_run_stop_due - set when the next stop is sent, if no other is answered before
 */
void wl_sched_run_stop_due(wl_sched_t *sched, wl_sched_run_t *run, uint64_t due_ns)
{
	run->stop_due_ns = due_ns;
	if (run->stopping)
		return;
	run->stopping = true;
	TAILQ_INSERT_TAIL(&sched->stopping, run, stopping_link);
}

/*
 * wl_sched_stop_send - order a run to stop, again if there was no answer
 */
void wl_sched_stop_send(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	wl_order_t order = {
		.kind = WL_ORDER_STOP, .run = run->number, .timeout_ms = WL_SCHED_STOP_TIMEOUT_MS};

	run->stop_sent_ns = now_ns;
	wl_sched_run_stop_due(sched, run,
			      now_ns + (WL_SCHED_STOP_TIMEOUT_MS + STOP_RETRY_MS) * WL_NS_PER_MS);
	if (!job)
		return;
	task_of(run, job, &order.task);
	run->stop_agent = wl_sched_order_add(sched, now_ns, run->runner, &order, run);
	run->stop_open = true;
	run->stops++;
}

/*
 * wl_sched_run_stop - order a run to stop
 * @reason: for the log
 */
void wl_sched_run_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, const char *reason,
		       wl_out_t *out)
{
	if (run->stop_wanted || run->phase == WL_RUN_ENDING)
		return;
	run->stop_wanted = true;
	wl_sched_interference_outdate(sched, run->runner);
	wl_out_log(out, WL_INFO, "run-stop", "run=" WL_STR_FMT " target=" WL_STR_FMT " reason=%s",
		   WL_STR_ARG(run->key), WL_STR_ARG(run->runner->key), reason);
	if (run->phase != WL_RUN_PROPOSED)
		wl_sched_stop_send(sched, now_ns, run);
}

/*
 * wl_sched_run_end_add - add the end of a run to the ends to be committed
 * @reason: for the log: how the leader knows of it
 */
wl_run_end_t *wl_sched_run_end_add(wl_sched_run_t *run, wl_run_outcome_t outcome,
				   const char *reason, wl_cmd_runs_end_t *ends)
{
	wl_run_end_t *row = wl_list_add(&wl_run_end_schema, &ends->ends);

	wl_buf_set(&row->job, wl_buf_str(&run->job));
	row->task = run->task;
	row->run = run->number;
	wl_buf_set(&row->runner, run->runner->key);
	row->outcome = outcome;
	wl_buf_set(&row->checkpoint, wl_buf_str(&run->checkpoint));
	run->phase = WL_RUN_ENDING;
	run->end_reason = reason;
	return row;
}

/*
 * wl_sched_ends_propose - propose a command if it says anything of runs
 * @ends: moved from
 */
void wl_sched_ends_propose(wl_sched_t *sched, uint64_t now_ns, wl_cmd_runs_end_t *ends,
			   wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_RUNS_END, .u.runs_end = *ends};

	*ends = (wl_cmd_runs_end_t){0};
	if (cmd.u.runs_end.ends.count + cmd.u.runs_end.sound.count + cmd.u.runs_end.doubts.count +
		    cmd.u.runs_end.late.count + cmd.u.runs_end.lapses_over.count >
	    0)
		wl_sched_propose(sched, now_ns, &cmd, out);
}

static void run_end_propose(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			    wl_run_outcome_t outcome, const char *reason, wl_out_t *out)
{
	wl_cmd_runs_end_t ends = {0};

	wl_sched_run_end_add(run, outcome, reason, &ends);
	wl_sched_ends_propose(sched, now_ns, &ends, out);
}

/*
 * Handles a start whose run was released with its target before the commit. It was not sent: if the
 * job state has accepted it, for a later incarnation of the target, its run ends at once.
 */
static void start_withdrawn(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job,
			    const wl_run_start_t *row, wl_out_t *out)
{
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&row->runner));
	wl_sched_run_t *run;

	if (!runner || !wl_job_run(job, row->task, row->run)) {
		wl_sched_task_enqueue(sched, now_ns, job, row->task,
				      row->run > 1 ? wl_sched_inherited_end_ns(sched) : 0);
		return;
	}
	run = wl_sched_run_add(sched, runner, job, row->task, row->run);
	run->previous_end_ns = row->run > 1 ? wl_sched_inherited_end_ns(sched) : 0;
	run_end_propose(sched, now_ns, run, WL_END_NOT_STARTED, "withdrawn", out);
}

/*
 * wl_sched_starts_applied - send the start orders of committed starts
 *
 * A target that leaves, or has no longer room for it, gets no start that was chosen before.
 * If the job state rejected a start, for example because its job was cancelled meanwhile, the run
 * is removed.
 */
void wl_sched_starts_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_runs_start_t *cmd,
			     wl_out_t *out)
{
	const wl_run_start_t *rows = cmd->runs.items;
	wl_cmd_runs_end_t ends = {0};

	for (size_t i = 0; i < cmd->runs.count; i++) {
		wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&rows[i].job));
		wl_sched_run_t *run = wl_sched_run_find(sched, wl_buf_str(&rows[i].job),
							rows[i].task, rows[i].run);
		const char *reason;
		uint64_t previous_end_ns;

		if (!run && job)
			start_withdrawn(sched, now_ns, job, &rows[i], out);
		if (!run || run->phase != WL_RUN_PROPOSED)
			continue;
		if (job && wl_job_run(job, rows[i].task, rows[i].run)) {
			reason = wl_sched_start_withheld(sched, cmd, i, run, job);
			run->withheld = reason != NULL;
			if (reason)
				wl_sched_run_end_add(run, WL_END_NOT_STARTED, reason, &ends);
			else
				start_send(sched, now_ns, run, job, out);
			continue;
		}
		previous_end_ns = run->previous_end_ns;
		if (job)
			wl_sched_job_not_started(job, run);
		wl_sched_run_remove(sched, run);
		if (job)
			wl_sched_task_enqueue(sched, now_ns, job, rows[i].task, previous_end_ns);
	}
	wl_sched_ends_propose(sched, now_ns, &ends, out);
}

static void runner_quarantine(wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns,
			      uint64_t ms)
{
	uint64_t until_ns = now_ns + ms * WL_NS_PER_MS;

	if (until_ns > runner->quarantined_until_ns)
		runner->quarantined_until_ns = until_ns;
	runner->fit.usable = false;
	wl_sched_row_outdate(sched, runner);
}

static void start_refused(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			  wl_order_outcome_t outcome, wl_out_t *out)
{
	if (outcome == WL_ORDER_NO_CAPACITY)
		runner_quarantine(sched, run->runner, now_ns, NO_ROOM_QUARANTINE_MS);
	if (outcome == WL_ORDER_UNHEALTHY || outcome == WL_ORDER_NOT_SENT ||
	    outcome == WL_ORDER_HELD || outcome == WL_ORDER_OTHER_INCARNATION)
		runner_quarantine(sched, run->runner, now_ns, UNHEALTHY_QUARANTINE_MS);
	run_end_propose(sched, now_ns, run, WL_END_NOT_STARTED, "refused", out);
}

/*
 * wl_sched_run_begun - note that a target is known to have begun a run
 */
void wl_sched_run_begun(const wl_sched_t *sched, const wl_sched_run_t *run)
{
	wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));

	if (job)
		job->begun = true;
}

static void start_answered(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			   const wl_sched_order_t *order, const wl_order_end_t *end, wl_out_t *out)
{
	wl_order_outcome_t outcome = (wl_order_outcome_t)end->outcome;

	if (run->phase != WL_RUN_STARTING)
		return;
	if (outcome != WL_ORDER_DONE)
		wl_out_log(out, WL_WARN, "run-start-refused",
			   "run=" WL_STR_FMT " target=" WL_STR_FMT " outcome=%s",
			   WL_STR_ARG(run->key), WL_STR_ARG(run->runner->key),
			   wl_order_outcome_names[outcome]);
	switch (outcome) {
	case WL_ORDER_DONE:
		wl_sched_run_begun(sched, run);
		/* fall through */
	case WL_ORDER_STALE: /* the target had this run before, and lists its end */
		wl_sched_average_shares_update(run->runner, now_ns);
		run->phase = WL_RUN_CONFIRMED;
		run->answered_ns = now_ns;
		run->lease_bounded = end->has_clock && end->clock_ms >= order->clock_least_ms;
		if (run->stop_wanted)
			wl_sched_stop_send(sched, now_ns, run);
		else
			wl_sched_background_throttle(sched, now_ns, run, out);
		break;
	case WL_ORDER_NO_ANSWER:
		run->start_failed_ns = wl_sched_stood_still(sched, now_ns) ? 0 : now_ns;
		/* fall through */
	case WL_ORDER_AGENT_LOST:
		run->phase = WL_RUN_UNCONFIRMED;
		break;
	default:
		start_refused(sched, now_ns, run, outcome, out);
		return;
	}
	wl_sched_renewal_schedule(run->runner, now_ns);
}

/* Without an answer the speed is unknown, so that the next choice is always sent. */
static void throttle_answered(wl_sched_run_t *run, uint64_t now_ns, unsigned int percent,
			      wl_order_outcome_t outcome)
{
	run->throttle_sent = false;
	if (outcome != WL_ORDER_DONE && outcome != WL_ORDER_NO_ANSWER &&
	    outcome != WL_ORDER_AGENT_LOST)
		return;
	wl_sched_average_shares_update(run->runner, now_ns);
	run->speed_percent = outcome == WL_ORDER_DONE ? percent : WL_SPEED_UNKNOWN;
}

/*
 * The next stop goes through another agent if the path of this one may be broken; at once if the
 * agent is lost. The result of an older stop tells of its agent only.
 */
static void stop_failed(const wl_sched_t *sched, wl_sched_run_t *run, uint64_t now_ns,
			const wl_sched_order_t *order, wl_order_outcome_t outcome)
{
	uint64_t pause_ms = STOP_REFUSED_RETRY_MS;

	if (outcome == WL_ORDER_NO_ANSWER || outcome == WL_ORDER_NOT_SENT) {
		wl_sched_agent_avoid(sched, run->runner, now_ns, order->agent);
		pause_ms = STOP_RETRY_MS;
	} else if (outcome == WL_ORDER_HELD) {
		wl_sched_agent_slow(sched, run->runner, now_ns, order->agent);
		pause_ms = STOP_RETRY_MS;
	}
	if (order->sent_ns != run->stop_sent_ns)
		return;
	if (outcome == WL_ORDER_AGENT_LOST)
		pause_ms = 0;
	run->stop_open = false;
	run->stop_due_ns = now_ns + pause_ms * WL_NS_PER_MS;
}

/*
 * wl_sched_run_answered - process the result of a START, THROTTLE or STOP order
 */
void wl_sched_run_answered(wl_sched_t *sched, uint64_t now_ns, const wl_sched_order_t *order,
			   const wl_order_end_t *end, wl_out_t *out)
{
	wl_sched_run_t *run = wl_map_get(&sched->by_run, wl_buf_str(&order->run));

	if (!run)
		return;
	if (order->kind == WL_ORDER_START) {
		start_answered(sched, now_ns, run, order, end, out);
		return;
	}
	if (order->kind == WL_ORDER_THROTTLE) {
		throttle_answered(run, now_ns, (unsigned int)order->percent,
				  (wl_order_outcome_t)end->outcome);
		return;
	}
	/* the answer may be that of an earlier incarnation if the order was sent to that one */
	if (order->lookup != run->runner->lookup)
		return;
	if (end->outcome == WL_ORDER_DONE || end->outcome == WL_ORDER_STALE) {
		run->stop_answered_ns = now_ns;
		run->stop_open = false;
		wl_sched_renewal_schedule(run->runner, now_ns);
		return;
	}
	stop_failed(sched, run, now_ns, order, (wl_order_outcome_t)end->outcome);
}

/*
 * Quarantines a target after failures in a row. Failures of a single job are no evidence
 * against the target.
 */
static void failures_count(wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns,
			   const wl_run_end_t *end, wl_out_t *out)
{
	uint64_t job = wl_str_hash(wl_buf_str(&end->job), 0);

	if (end->outcome == WL_END_DONE)
		runner->known.failures = 0;
	if (end->outcome != WL_END_FAILED || runner->known.failed_job == job)
		return;
	runner->known.failed_job = job;
	if (++runner->known.failures < FAILURES_MAX)
		return;
	runner_quarantine(sched, runner, now_ns, FAILURES_QUARANTINE_MS);
	wl_out_log(out, WL_WARN, "target-aside", "target=" WL_STR_FMT " failures=%llu pause_ms=%d",
		   WL_STR_ARG(runner->key), (unsigned long long)runner->known.failures,
		   FAILURES_QUARANTINE_MS);
}

/*
 * wl_sched_run_end_note - log the committed end of a run, also for the teardown of its job
 * @reason: how the leader knows of it
 */
void wl_sched_run_end_note(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
			   wl_run_outcome_t outcome, const char *reason, wl_out_t *out)
{
	wl_buf_t pairs = {0};

	wl_buf_printf(&pairs,
		      "job=" WL_STR_FMT " task=%llu run=%llu target=" WL_STR_FMT
		      " how=%s reason=%s life=%llu",
		      WL_STR_ARG(wl_buf_str(&run->job)), (unsigned long long)run->task,
		      (unsigned long long)run->number, WL_STR_ARG(run->runner->key),
		      wl_run_outcome_names[outcome], reason, (unsigned long long)run->incarnation);
	/* an event of their own for the others, as they are far fewer */
	if (wl_run_end_is_listed(outcome))
		wl_out_log(out, WL_INFO, "run-end", "%s", pairs.at);
	else
		wl_out_log(out, WL_INFO, "run-given-up", "%s", pairs.at);
	wl_buf_free(&pairs);
	wl_sched_teardown_run_ended(sched, now_ns, run, outcome, reason, out);
}

/* Stops the remaining runs of a job that has ended. */
static void job_stop(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job, const char *reason,
		     wl_out_t *out)
{
	wl_sched_job_runs_t at = {.job = job};
	wl_sched_run_t *run;

	while ((run = wl_sched_job_runs_next(sched, &at)))
		wl_sched_run_stop(sched, now_ns, run, reason, out);
}

/*
 * wl_sched_job_ended - close a job that has ended and stop its runs
 */
void wl_sched_job_ended(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, wl_out_t *out)
{
	wl_out_log(out, WL_INFO, "job-end", "job=" WL_STR_FMT " state=%s age_ms=%llu running=%llu",
		   WL_STR_ARG(job->key), wl_job_state_names[job->record.state],
		   (unsigned long long)(job->record.ended_ms - job->record.accepted_ms),
		   (unsigned long long)job->active);
	wl_sched_job_close(sched, job);
	wl_sched_teardown_begin(sched, now_ns, job, out);
	job_stop(sched, now_ns, job, wl_job_state_names[job->record.state], out);
}

/*
 * wl_sched_run_lost_ns - since when the task of a run that was not seen to end has been without it
 *
 * A lasting task whose run was never listed has been without one since its run before.
 */
uint64_t wl_sched_run_lost_ns(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns)
{
	if (run->last_listed_ns)
		return run->last_listed_ns;
	if (!run->lasting)
		return now_ns;
	if (run->previous_end_ns)
		return run->previous_end_ns;
	return run->start_agent ? run->placed_ns : wl_sched_inherited_end_ns(sched);
}

/*
 * wl_sched_inherited_end_ns - when a run that this leader never heard of is taken to have ended
 *
 * The leader before would have ended it after one lease of silence.
 */
uint64_t wl_sched_inherited_end_ns(const wl_sched_t *sched)
{
	uint64_t silent_ns = sched->options.lease_max_ms * WL_NS_PER_MS / 2;

	return sched->leader_since_ns > silent_ns ? sched->leader_since_ns - silent_ns : 1;
}

static uint64_t run_ended_ns(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t outcome,
			     uint64_t now_ns)
{
	if (outcome == WL_END_NOT_STARTED)
		return run->previous_end_ns;
	if (outcome == WL_END_LOST || outcome == WL_END_CRASHED)
		return wl_sched_run_lost_ns(sched, run, now_ns);
	return now_ns;
}

static void end_apply(wl_sched_t *sched, uint64_t now_ns, const wl_run_end_t *end, wl_out_t *out)
{
	wl_sched_run_t *run = wl_sched_run_find(sched, wl_buf_str(&end->job), end->task, end->run);
	wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&end->job));
	wl_task_ref_t at;
	uint64_t ended_ns;

	if (!run)
		return;
	ended_ns = run_ended_ns(sched, run, end->outcome, now_ns);
	wl_sched_run_end_note(sched, now_ns, run, (wl_run_outcome_t)end->outcome,
			      run->end_reason ? run->end_reason : "other", out);
	failures_count(sched, run->runner, now_ns, end, out);
	wl_sched_crash_applied(sched, now_ns, wl_buf_str(&run->runner->address), end, out);
	wl_sched_trial_ended(run, now_ns, end);
	if (end->outcome == WL_END_DONE)
		wl_sched_trial_passed(sched, run);
	if (job && end->outcome == WL_END_DONE)
		wl_sched_near_learn(sched, now_ns, job, run);
	if (job && end->outcome == WL_END_NOT_STARTED)
		wl_sched_job_not_started(job, run);
	wl_sched_run_remove(sched, run);
	if (!job)
		return;
	if (wl_job_ended(job)) {
		if (job->leader_data)
			wl_sched_job_ended(sched, now_ns, job, out);
		return;
	}
	wl_job_task_ref(job, end->task, &at);
	if (end->outcome != WL_END_NOT_STARTED)
		wl_sched_job_at_work(job, ended_ns);
	if (end->outcome == WL_END_DONE) {
		wl_sched_job_progressed(job, now_ns);
		wl_sched_work_done(sched, now_ns, job, at.step);
	}
	wl_sched_task_enqueue(sched, now_ns, job, end->task, ended_ns);
	if (*wl_job_step_remaining(job, at.occurrence, at.step) > 0)
		return;
	wl_sched_step_close(sched, now_ns, job, at.occurrence, at.step);
	wl_sched_steps_open(sched, now_ns, job, at.occurrence);
}

static void late_apply(wl_sched_t *sched, uint64_t now_ns, const wl_run_end_t *end, wl_out_t *out)
{
	const wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&end->runner));
	wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&end->job));

	if (!job || !job->leader_data)
		return;
	wl_sched_crash_applied(sched, now_ns, runner ? wl_buf_str(&runner->address) : (wl_str_t){0},
			       end, out);
	if (wl_job_ended(job))
		wl_sched_job_ended(sched, now_ns, job, out);
}

/*
 * wl_sched_ends_applied - process committed ends: release capacity, queue tasks again,
 * open steps
 */
void wl_sched_ends_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_runs_end_t *cmd,
			   wl_out_t *out)
{
	const wl_run_end_t *rows = cmd->ends.items;
	const wl_run_end_t *late = cmd->late.items;

	for (size_t i = 0; i < cmd->ends.count; i++)
		end_apply(sched, now_ns, &rows[i], out);
	for (size_t i = 0; i < cmd->late.count; i++)
		late_apply(sched, now_ns, &late[i], out);
	wl_sched_lapses_committed(sched, &cmd->ends);
}

/*
 * wl_sched_stop_listed - note that the target lists a run, whose stop it may have answered
 * @sent_ns: when the renewal was sent whose answer lists it
 */
void wl_sched_stop_listed(wl_sched_run_t *run, uint64_t sent_ns)
{
	if (run->stop_wanted && run->stop_answered_ns &&
	    sent_ns > run->stop_answered_ns + STOP_EFFECT_MS * WL_NS_PER_MS)
		run->stop_answered_ns = 0;
}

static void stop_repeat(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run)
{
	bool wanted = run->stop_wanted || run->phase == WL_RUN_UNCONFIRMED;

	if (!wanted || run->stop_answered_ns || run->phase == WL_RUN_PROPOSED ||
	    run->phase == WL_RUN_ENDING)
		return;
	if (now_ns < run->stop_due_ns)
		return;
	if (run->stop_open)
		wl_sched_agent_avoid(sched, run->runner, now_ns, run->stop_agent);
	wl_sched_stop_send(sched, now_ns, run);
}

/*
 * wl_sched_stops_tick - repeat the unanswered stops
 */
void wl_sched_stops_tick(wl_sched_t *sched, uint64_t now_ns)
{
	wl_sched_run_t *run;

	TAILQ_FOREACH (run, &sched->stopping, stopping_link)
		stop_repeat(sched, now_ns, run);
}
