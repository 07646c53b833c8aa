/* Entry points of the scheduler: leadership changes, events, proposals. */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/preset.h>

/* Set in the tags of the scheduler's proposals, which thereby differ from those of wl_leader. */
#define TAG_SCHED (UINT64_C(1) << 63)

#define LEASE_MS_DEFAULT       6000
#define LEASE_MAX_MS_DEFAULT   6000
#define START_LEASE_MS_DEFAULT 2000
#define ORDER_ID_TERM_SHIFT    40 /* bits for the order ids of one term */

/*
 * wl_sched_new - create a scheduler that does not lead yet
 * @options: zero numbers select the defaults; what it points to must outlive the scheduler
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: the scheduler, or NULL.
 */
wl_sched_t *wl_sched_new(const wl_sched_options_t *options, wl_err_t *err)
{
	wl_sched_t *sched = wl_alloc(sizeof(*sched));

	sched->options = *options;
	sched->options.lease_ms = wl_preset(sched->options.lease_ms, LEASE_MS_DEFAULT);
	sched->options.lease_max_ms = wl_preset(sched->options.lease_max_ms, LEASE_MAX_MS_DEFAULT);
	sched->options.start_lease_ms =
		wl_preset(sched->options.start_lease_ms, START_LEASE_MS_DEFAULT);
	sched->jobs = options->jobs;
	sched->placement = wl_fit_policy_find(options->placement);
	sched->ordering = wl_ordering_policy_find(options->queueing);
	sched->dispatch = wl_dispatch_policy_find(options->dispatch);
	sched->acceptance = wl_forecast_policy_find(options->acceptance);
	if (!sched->placement || !sched->ordering || !sched->dispatch || !sched->acceptance) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			   "unknown policy for the placement, queueing, dispatch or acceptance of "
			   "jobs");
		free(sched);
		return NULL;
	}
	wl_map_init(&sched->orders_by_id);
	TAILQ_INIT(&sched->orders);
	TAILQ_INIT(&sched->agents);
	wl_map_init(&sched->by_tag);
	TAILQ_INIT(&sched->proposals);
	wl_map_init(&sched->by_runner);
	TAILQ_INIT(&sched->runners);
	wl_map_init(&sched->by_run);
	wl_map_init(&sched->by_ended_job);
	TAILQ_INIT(&sched->teardowns);
	TAILQ_INIT(&sched->departures);
	TAILQ_INIT(&sched->losses);
	TAILQ_INIT(&sched->crashes);
	TAILQ_INIT(&sched->stopping);
	TAILQ_INIT(&sched->pending);
	TAILQ_INIT(&sched->by_tried);
	TAILQ_INIT(&sched->timed);
	TAILQ_INIT(&sched->zone_orders);
	wl_sched_acceptance_init(sched);
	TAILQ_INIT(&sched->reserves);
	wl_images_init(&sched->images);
	wl_interference_init(&sched->interference);
	return sched;
}

static void proposal_remove(wl_sched_t *sched, wl_sched_proposal_t *proposal)
{
	sched->starts_proposed -= proposal->starts;
	wl_map_remove(&sched->by_tag, proposal->key);
	TAILQ_REMOVE(&sched->proposals, proposal, link);
	wl_buf_free(&proposal->peer);
	wl_buf_free(&proposal->runner);
	free(proposal);
}

/* Releases everything that only a leader keeps. */
static void sched_clear(wl_sched_t *sched)
{
	wl_job_t *job;

	while (!TAILQ_EMPTY(&sched->proposals))
		proposal_remove(sched, TAILQ_FIRST(&sched->proposals));
	wl_sched_teardowns_clear(sched);
	wl_sched_departures_clear(sched);
	wl_sched_acceptance_clear(sched);
	wl_sched_reserves_clear(sched);
	wl_sched_zone_orders_clear(sched);
	wl_sched_losses_clear(sched);
	wl_sched_crashes_clear(sched);
	wl_sched_orders_clear(sched);
	wl_sched_agents_clear(sched);
	wl_sched_runners_clear(sched);
	TAILQ_FOREACH (job, &sched->jobs->live, link)
		wl_sched_job_close(sched, job);
	TAILQ_FOREACH (job, &sched->jobs->ended, link)
		wl_sched_job_close(sched, job);
	wl_list_free(&wl_run_start_schema, &sched->starts.runs);
	sched->place_due = false;
	sched->full_pass_due = false;
	sched->waiting_due_ns = 0;
}

/*
 * wl_sched_free - release a scheduler
 *
 * Must be called before the job state is released.
 */
void wl_sched_free(wl_sched_t *sched)
{
	if (!sched)
		return;
	if (sched->leading)
		sched_clear(sched);
	wl_map_free(&sched->orders_by_id);
	wl_map_free(&sched->by_tag);
	wl_map_free(&sched->by_runner);
	wl_map_free(&sched->by_run);
	wl_map_free(&sched->by_ended_job);
	wl_images_free(&sched->images);
	free(sched->rows);
	free(sched);
}

/*
 * wl_sched_clock_ms - time of the Raft group's clock, Unix ms
 */
uint64_t wl_sched_clock_ms(const wl_sched_t *sched, uint64_t now_ns)
{
	return wl_leader_clock_ms(sched->options.leader, now_ns);
}

/*
 * wl_sched_propose - propose a command
 * @cmd: moved from
 *
 * Return: the proposal; the caller sets what is to happen once it is committed.
 */
wl_sched_proposal_t *wl_sched_propose(wl_sched_t *sched, uint64_t now_ns, wl_cmd_t *cmd,
				      wl_out_t *out)
{
	wl_sched_proposal_t *proposal = wl_alloc(sizeof(*proposal));

	proposal->tag = TAG_SCHED | ++sched->next_tag;
	proposal->key = (wl_str_t){(const char *)&proposal->tag, sizeof(proposal->tag)};
	wl_map_put(&sched->by_tag, proposal);
	TAILQ_INSERT_TAIL(&sched->proposals, proposal, link);
	cmd->at_ms = wl_sched_clock_ms(sched, now_ns);
	wl_out_propose(out, cmd, proposal->tag);
	return proposal;
}

/* When the start of a run was committed, on our clock; now if that is not known. */
static uint64_t committed_ns(const wl_sched_t *sched, uint64_t now_ns, const wl_run_t *run)
{
	uint64_t clock_ms = wl_sched_clock_ms(sched, now_ns);
	uint64_t age_ns = 0;

	if (run->started_ms && run->started_ms < clock_ms)
		age_ns = (clock_ms - run->started_ms) * WL_NS_PER_MS;
	return age_ns < now_ns ? now_ns - age_ns : 0;
}

static void inherited_runs_add(wl_sched_t *sched, uint64_t now_ns, wl_runner_t *state)
{
	wl_sched_runner_t *runner = wl_sched_runner_sync(sched, now_ns, state);
	const wl_run_t *run;

	runner->began_ns = 0;
	TAILQ_FOREACH (run, &state->runs, of_runner) {
		wl_sched_run_t *known =
			wl_sched_run_add(sched, runner, run->job, run->task, run->number);

		known->phase = WL_RUN_INHERITED;
		wl_sched_run_start_sent(known, committed_ns(sched, now_ns, run));
		known->speed_percent = WL_SPEED_UNKNOWN;
		known->incarnation = run->incarnation;
		known->placed_ns = now_ns;
		known->started_ms = run->started_ms;
		known->doubtful = run->doubtful || run->start_index > sched->elected_index;
		known->stop_wanted = wl_job_ended(run->job);
		if (known->stop_wanted)
			wl_sched_run_stop_due(sched, known, now_ns); /* at the next tick */
	}
	wl_sched_crash_incarnation_end(sched, now_ns, runner, state->report.incarnation);
}

static void on_lead(wl_sched_t *sched, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_runner_t *runner;
	wl_job_t *job;

	sched->leading = true;
	sched->epoch = event->term;
	sched->next_id = event->term << ORDER_ID_TERM_SHIFT;
	sched->leader_since_ns = now_ns;
	sched->elected_index = event->index;
	wl_sched_agents_init(sched);
	TAILQ_FOREACH (runner, &sched->jobs->runners, link)
		if (!runner->departed_ms)
			inherited_runs_add(sched, now_ns, runner);
	wl_sched_lapses_inherit(sched);
	TAILQ_FOREACH (job, &sched->jobs->live, link)
		wl_sched_job_open(sched, now_ns, job);
	wl_sched_teardowns_inherit(sched, now_ns, out);
	wl_sched_crash_doubts_commit(sched, now_ns, out);
	wl_sched_takeover_begin(sched, now_ns);
	wl_out_log(out, WL_INFO, "sched-lead", "epoch=%llu targets=%zu runs=%llu jobs=%zu",
		   (unsigned long long)sched->epoch, wl_map_count(&sched->by_runner),
		   (unsigned long long)sched->jobs->run_count, wl_map_count(&sched->jobs->by_id));
}

static void proposal_dropped(wl_sched_t *sched, wl_sched_proposal_t *proposal, wl_verdict_t verdict,
			     wl_out_t *out)
{
	if (proposal->peer.len > 0)
		wl_sched_answer_no_leader(out, wl_buf_str(&proposal->peer), proposal->call,
					  verdict);
	proposal_remove(sched, proposal);
}

static void on_follow(wl_sched_t *sched, wl_out_t *out)
{
	while (!TAILQ_EMPTY(&sched->proposals))
		proposal_dropped(sched, TAILQ_FIRST(&sched->proposals), WL_UNKNOWN, out);
	wl_sched_departures_drop(sched, out);
	sched_clear(sched);
	wl_sched_gauges_clear(sched);
	sched->leading = false;
}

static wl_sched_proposal_t *proposal_of(const wl_sched_t *sched, uint64_t tag)
{
	return wl_map_get(&sched->by_tag, (wl_str_t){(const char *)&tag, sizeof(tag)});
}

static void runner_applied(wl_sched_t *sched, uint64_t now_ns, const wl_runner_report_t *report,
			   wl_out_t *out)
{
	wl_runner_t *state = wl_jobs_runner(sched->jobs, wl_buf_str(&report->id));
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&report->id));

	if (state && !state->departed_ms) {
		bool is_new = !runner;

		runner = wl_sched_runner_sync(sched, now_ns, state);
		wl_sched_runner_reported(sched, now_ns, runner, report);
		wl_sched_lapses_reported(sched, state);
		sched->place_due = true;
		wl_out_log(out, WL_INFO, "target",
			   "target=" WL_STR_FMT " new=%s service=%s rack=%s state=%s cpu=%llu",
			   WL_STR_ARG(runner->key), is_new ? "yes" : "no", state->report.service.at,
			   state->report.rack.at ? state->report.rack.at : "",
			   state->report.draining ? "draining" : "ready",
			   (unsigned long long)state->report.cpu_millis);
		return;
	}
	if (!runner)
		return;
	wl_sched_runner_departed(sched, now_ns, runner, out);
}

/* @peer: the daemon that has sent the command; empty: it is not known */
static void job_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_job_add_t *add,
			wl_str_t peer, const wl_result_t *result, wl_out_t *out)
{
	const wl_queue_t *queue;
	wl_job_t *job = wl_jobs_by_path(sched->jobs, wl_buf_str(&add->host), wl_buf_str(&add->path),
					&queue);

	if (result->code == WL_E_GONE)
		wl_out_log(out, WL_INFO, "job-cancelled-before",
			   "host=" WL_STR_FMT " path=" WL_STR_FMT " entry=" WL_STR_FMT,
			   WL_STR_ARG(wl_buf_str(&add->host)), WL_STR_ARG(wl_buf_str(&add->path)),
			   WL_STR_ARG(peer));
	if (!job || job->leader_data || wl_job_ended(job))
		return;
	wl_out_log(out, WL_INFO, "job-accept",
		   "job=" WL_STR_FMT
		   " queue=%s priority=%llu tasks=%llu steps=%zu entry=" WL_STR_FMT,
		   WL_STR_ARG(job->key), job->record.queue.at,
		   (unsigned long long)job->record.priority, (unsigned long long)job->task_count,
		   job->record.spec.steps.count, WL_STR_ARG(peer));
	wl_sched_job_open(sched, now_ns, job);
}

static void cancel_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_job_cancel_t *cancel,
			   wl_str_t peer, const wl_result_t *result, wl_out_t *out)
{
	wl_job_t *job =
		wl_jobs_at(sched->jobs, wl_buf_str(&cancel->host), wl_buf_str(&cancel->path));

	wl_out_log(out, WL_INFO, "job-cancel",
		   "job=" WL_STR_FMT " host=" WL_STR_FMT " path=" WL_STR_FMT
		   " code=%s state=%s runs=%llu entry=" WL_STR_FMT,
		   WL_STR_ARG(job ? job->key : WL_STR("-")), WL_STR_ARG(wl_buf_str(&cancel->host)),
		   WL_STR_ARG(wl_buf_str(&cancel->path)), wl_code_name((wl_code_t)result->code),
		   job ? wl_job_state_names[job->record.state] : "-",
		   (unsigned long long)(job ? job->active : 0), WL_STR_ARG(peer));
	if (job && job->leader_data && wl_job_ended(job))
		wl_sched_job_ended(sched, now_ns, job, out);
}

static void catalog_applied(wl_sched_t *sched, wl_out_t *out)
{
	sched->place_due = true;
	wl_out_log(out, WL_INFO, "catalog", "version=%llu queues=%zu services=%zu",
		   (unsigned long long)sched->jobs->catalog.version,
		   sched->jobs->catalog.queues.count, sched->jobs->catalog.services.count);
}

/* Updates the leader's data after any applied command, whoever proposed it. */
static void state_update(wl_sched_t *sched, uint64_t now_ns, const wl_event_t *event, wl_str_t peer,
			 wl_out_t *out)
{
	const wl_cmd_t *cmd = event->cmd;

	switch ((wl_cmd_kind_t)cmd->kind) {
	case WL_CMD_CATALOG_PUT:
		catalog_applied(sched, out);
		break;
	case WL_CMD_JOB_ADD:
		job_applied(sched, now_ns, &cmd->u.job_add, peer, event->result, out);
		break;
	case WL_CMD_JOB_CANCEL:
		cancel_applied(sched, now_ns, &cmd->u.job_cancel, peer, event->result, out);
		break;
	case WL_CMD_RUNS_START:
		wl_sched_starts_applied(sched, now_ns, &cmd->u.runs_start, out);
		break;
	case WL_CMD_RUNS_END:
		wl_sched_ends_applied(sched, now_ns, &cmd->u.runs_end, out);
		break;
	case WL_CMD_RUNNER_PUT:
		runner_applied(sched, now_ns, &cmd->u.runner_put, out);
		break;
	case WL_CMD_ZONE_EVACUATE:
		wl_sched_zone_applied(sched, now_ns, &cmd->u.zone_evacuate, event->result, out);
		break;
	default:
		break;
	}
}

static void ends_confirm(wl_sched_t *sched, uint64_t now_ns, const wl_sched_proposal_t *proposal)
{
	wl_sched_runner_t *runner = wl_sched_runner_find(sched, wl_buf_str(&proposal->runner));

	if (!runner || proposal->incarnation != runner->incarnation)
		return;
	runner->known.end_proposals--;
	if (proposal->ends_proposed <= runner->known.ends_committed)
		return;
	runner->known.ends_committed = proposal->ends_proposed;
	runner->known.ack_due = true;
	wl_sched_renewal_schedule(runner, now_ns);
}

static void on_applied(wl_sched_t *sched, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_sched_proposal_t *proposal = proposal_of(sched, event->tag);

	state_update(sched, now_ns, event, proposal ? wl_buf_str(&proposal->peer) : WL_STR("-"),
		     out);
	if (!proposal)
		return;
	sched->own_applied = true;
	if (proposal->peer.len > 0) {
		wl_result_t result;

		wl_record_copy(&wl_result_schema, &result, event->result);
		if (event->cmd->kind == WL_CMD_RUNNER_PUT)
			wl_buf_set(&result.report_to,
				   wl_sched_report_to(sched,
						      wl_buf_str(&event->cmd->u.runner_put.id)));
		wl_sched_answer(out, wl_buf_str(&proposal->peer), proposal->call, &result);
		wl_result_free(&result);
	}
	if (proposal->runner.len > 0)
		ends_confirm(sched, now_ns, proposal);
	proposal_remove(sched, proposal);
}

static void on_dropped(wl_sched_t *sched, const wl_event_t *event, wl_out_t *out)
{
	wl_sched_proposal_t *proposal = proposal_of(sched, event->tag);

	if (proposal)
		proposal_dropped(sched, proposal, event->verdict, out);
}

static void on_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_timed_tick(sched, now_ns);
	wl_sched_orders_expire(sched, now_ns, out);
	wl_sched_stops_tick(sched, now_ns);
	wl_sched_runners_tick(sched, now_ns, out);
	wl_sched_gauges_tick(sched, now_ns);
	wl_sched_usage_tick(sched, now_ns, out);
	wl_sched_reserves_tick(sched, now_ns);
	wl_sched_stalled_tick(sched, now_ns, out);
	wl_sched_interruptions_tick(sched, now_ns, out);
	wl_sched_progress_tick(sched, now_ns, out);
	wl_sched_audit_tick(sched, now_ns, out);
	wl_sched_acceptance_tick(sched, now_ns);
	wl_sched_teardowns_tick(sched, now_ns, out);
	wl_sched_takeover_tick(sched, now_ns, out);
}

/*
 * wl_sched_handles - whether an event is a message for the scheduler
 */
bool wl_sched_handles(const wl_event_t *event)
{
	const wl_msg_t *msg = &event->msg;

	if (event->kind != WL_EVENT_PEER)
		return false;
	if (msg->kind == WL_MSG_COMMAND)
		return wl_jobs_handles(msg->u.command.cmd_kind);
	if (msg->kind == WL_MSG_ORDERED || msg->kind == WL_MSG_KEEPALIVES)
		return true;
	return msg->kind == WL_MSG_QUERY &&
	       (msg->u.query.kind == WL_QUERY_JOB || msg->u.query.kind == WL_QUERY_CATALOG ||
		msg->u.query.kind == WL_QUERY_ZONE_BASIS);
}

static void on_peer(wl_sched_t *sched, uint64_t now_ns, const wl_event_t *event, wl_out_t *out)
{
	wl_str_t peer = wl_buf_str(&event->peer);

	if (event->msg.kind == WL_MSG_COMMAND)
		wl_sched_command(sched, now_ns, peer, &event->msg.u.command, out);
	else if (event->msg.kind == WL_MSG_ORDERED)
		wl_sched_orders_completed(sched, now_ns, peer, &event->msg.u.ordered, out);
	else if (event->msg.kind == WL_MSG_KEEPALIVES)
		wl_sched_reports_received(sched, now_ns, &event->msg.u.keepalives);
	else
		wl_sched_query(sched, peer, &event->msg.u.query, out);
}

/*
 * wl_sched_step - process one event
 * @now_ns: monotonic time
 * @event: LEAD, FOLLOW, APPLIED, DROPPED, TICK, PEER_DOWN, and what wl_sched_handles()
 * accepts
 */
void wl_sched_step(wl_sched_t *sched, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_LEAD && !sched->leading)
		on_lead(sched, now_ns, event, out);
	if (!sched->leading)
		return;
	switch (event->kind) {
	case WL_EVENT_TICK:
		on_tick(sched, now_ns, out);
		break;
	case WL_EVENT_PEER:
		if (wl_sched_handles(event))
			on_peer(sched, now_ns, event, out);
		break;
	case WL_EVENT_APPLIED:
		on_applied(sched, now_ns, event, out);
		break;
	case WL_EVENT_DROPPED:
		on_dropped(sched, event, out);
		break;
	case WL_EVENT_PEER_DOWN:
		wl_sched_agent_down(sched, now_ns, wl_buf_str(&event->peer), out);
		break;
	case WL_EVENT_FOLLOW:
		on_follow(sched, out);
		return;
	default:
		break;
	}
	wl_sched_departures_answer(sched, now_ns, out);
	wl_sched_lapses_settle(sched, now_ns, out);
	if (wl_sched_place_due(sched, now_ns))
		wl_sched_place(sched, now_ns, out);
	wl_sched_agents_send(sched, now_ns, out);
}
