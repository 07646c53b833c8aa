/*
 * Reports of targets at a replica that does not lead.
 *
 * Most reports contain no change that has to be committed. They are answered here, and the
 * leader receives one message for many of them. They are answered here only for a limited time
 * after this replica forwarded a report that the leader answered. Messages from the leader alone
 * do not prove that ours reach it, as the path may fail in one direction only.
 *
 * While the leader has not answered one, the others wait: a leader that is behind would get the
 * reports of all targets, and fall further behind.
 */

#include "reports.h"

#include <stdlib.h>

#include <libwlbase/preset.h>
#include <libwlbase/units.h>

#define FLUSH_MS_DEFAULT	   50
#define FORWARDED_VALID_MS_DEFAULT 1000 /* after forwarding; the shortest election timeout */
#define FORWARD_INTERVAL_MS	   100	/* between reports without a change that are forwarded */

struct wl_reports {
	wl_reports_options_t options;
	bool leader_answered; /* the leader has answered a forwarded report */
	/* when the newest report that the leader answered was forwarded */
	uint64_t answered_sent_ns;
	uint64_t next_forward_ns; /* of a report without a change */
	uint64_t flush_ns;	  /* time of the next message, if reports are pending */
	wl_list_t pending;	  /* wl_heard_row_t, not sent yet */
};

/*
 * wl_reports_new - create the state for reports
 * @options: what it points to must outlive it
 */
wl_reports_t *wl_reports_new(const wl_reports_options_t *options)
{
	wl_reports_t *reports = wl_alloc(sizeof(*reports));

	reports->options = *options;
	reports->options.flush_ms = wl_preset(reports->options.flush_ms, FLUSH_MS_DEFAULT);
	reports->options.forwarded_valid_ms =
		wl_preset(reports->options.forwarded_valid_ms, FORWARDED_VALID_MS_DEFAULT);
	return reports;
}

/*
 * wl_reports_free - release the state; reports that are not sent yet are lost
 */
void wl_reports_free(wl_reports_t *reports)
{
	if (!reports)
		return;
	wl_list_free(&wl_heard_row_schema, &reports->pending);
	free(reports);
}

static bool may_answer_locally(const wl_reports_t *reports, uint64_t now_ns)
{
	return reports->leader_answered &&
	       now_ns < reports->answered_sent_ns +
				reports->options.forwarded_valid_ms * WL_NS_PER_MS &&
	       wl_raft_leader_reachable(reports->options.raft, now_ns);
}

/*
 * The state of this replica may lag behind. A report that could be a change for the leader
 * is therefore never answered here.
 */
static bool needs_no_commit(const wl_jobs_t *jobs, const wl_runner_report_t *report)
{
	const wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&report->id));

	if (!runner || runner->departed_ms || report->exiting || report->draining ||
	    report->incarnation != runner->report.incarnation)
		return false;
	if (jobs->configured && !wl_catalog_service(&jobs->catalog, wl_buf_str(&report->service)))
		return false;
	return !wl_runner_report_changes(runner, report);
}

static void acknowledge(wl_reports_t *reports, uint64_t now_ns, const wl_runner_report_t *report)
{
	wl_heard_row_t *row;

	if (reports->pending.count == 0)
		reports->flush_ns = now_ns + reports->options.flush_ms * WL_NS_PER_MS;
	row = wl_list_add(&wl_heard_row_schema, &reports->pending);
	wl_buf_set(&row->runner, wl_buf_str(&report->id));
	row->incarnation = report->incarnation;
	row->sequence = report->sequence;
	row->clock_ms = report->clock_ms;
	wl_metrics_add(reports->options.metrics, "wisterialead_agent_reports_total", "", 1);
}

/*
 * wl_reports_route - choose what becomes of a report, and add it to the next message to the leader
 * if this replica may answer it itself
 */
wl_report_route_t wl_reports_route(wl_reports_t *reports, uint64_t now_ns,
				   const wl_runner_report_t *report)
{
	if (wl_raft_is_leader(reports->options.raft) ||
	    !needs_no_commit(reports->options.jobs, report))
		return WL_REPORT_FORWARD;
	if (may_answer_locally(reports, now_ns)) {
		acknowledge(reports, now_ns, report);
		return WL_REPORT_KNOWN;
	}
	if (now_ns < reports->next_forward_ns)
		return WL_REPORT_WAIT;
	reports->next_forward_ns = now_ns + FORWARD_INTERVAL_MS * WL_NS_PER_MS;
	return WL_REPORT_FORWARD;
}

/*
 * wl_reports_leader_answered - record that the leader has answered a forwarded report
 * @sent_ns: when the report was forwarded
 */
void wl_reports_leader_answered(wl_reports_t *reports, uint64_t sent_ns)
{
	reports->leader_answered = true;
	if (sent_ns > reports->answered_sent_ns)
		reports->answered_sent_ns = sent_ns;
}

/*
 * wl_reports_tick - send the answered reports to the leader, if they are due
 *
 * They are dropped if no leader is known.
 */
void wl_reports_tick(wl_reports_t *reports, uint64_t now_ns, wl_out_t *out)
{
	wl_msg_t *msg;

	if (reports->pending.count == 0 || now_ns < reports->flush_ns)
		return;
	if (!wl_raft_leader_reachable(reports->options.raft, now_ns)) {
		wl_list_free(&wl_heard_row_schema, &reports->pending);
		return;
	}
	msg = wl_out_send(out, wl_raft_leader_name(reports->options.raft), WL_MSG_KEEPALIVES);
	msg->u.keepalives.rows = reports->pending;
	reports->pending = (wl_list_t){0};
}
