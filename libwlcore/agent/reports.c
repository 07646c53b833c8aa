/*
 * Reports of targets at a replica that does not lead.
 *
 * Most say nothing that has to be committed: they are answered here, and the
 * leader gets one message for many.  A replica that the leader hears no more may
 * still hear it, so that it answers by itself only for a while after the leader
 * answered a report that it carried.
 */

#include "reports.h"

#include <stdlib.h>

#include <libwlbase/preset.h>
#include <libwlbase/units.h>

#define TELL_MS_DEFAULT	   50
#define CARRIED_MS_DEFAULT 1000 /* the least election time */

struct wl_reports {
	wl_reports_options_t options;
	bool carried;	     /* the leader has ever answered a report of this replica */
	uint64_t carried_ns; /* when the newest of those was sent */
	uint64_t tell_ns;    /* next message, if there is anything to tell */
	wl_list_t heard;     /* wl_heard_row_t, not told yet */
};

/*
 * wl_reports_new - make the part
 * @options: what it points to must outlive the part
 */
wl_reports_t *wl_reports_new(const wl_reports_options_t *options)
{
	wl_reports_t *reports = wl_alloc(sizeof(*reports));

	reports->options = *options;
	reports->options.tell_ms = wl_preset(reports->options.tell_ms, TELL_MS_DEFAULT);
	reports->options.carried_ms = wl_preset(reports->options.carried_ms, CARRIED_MS_DEFAULT);
	return reports;
}

/*
 * wl_reports_free - release the part; what was not told is lost
 */
void wl_reports_free(wl_reports_t *reports)
{
	if (!reports)
		return;
	wl_list_free(&wl_heard_row_schema, &reports->heard);
	free(reports);
}

static bool leader_reached(const wl_reports_t *reports, uint64_t now_ns)
{
	return reports->carried &&
	       now_ns < reports->carried_ns + reports->options.carried_ms * WL_NS_PER_MS &&
	       wl_raft_leader_reachable(reports->options.raft, now_ns);
}

/* The state here may lack the newest: what would be a change at the leader is never answered. */
static bool says_nothing_new(const wl_jobs_t *jobs, const wl_runner_report_t *report)
{
	const wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&report->id));

	if (!runner || runner->left_ms || report->exiting || report->draining ||
	    report->incarnation != runner->report.incarnation)
		return false;
	if (jobs->configured && !wl_catalog_service(&jobs->catalog, wl_buf_str(&report->service)))
		return false;
	return !wl_runner_news(runner, report);
}

/*
 * wl_reports_known - whether a report may be acknowledged here; if so, the leader will hear of it
 */
bool wl_reports_known(wl_reports_t *reports, uint64_t now_ns, const wl_runner_report_t *report)
{
	wl_heard_row_t *row;

	if (!leader_reached(reports, now_ns) || !says_nothing_new(reports->options.jobs, report))
		return false;
	if (reports->heard.count == 0)
		reports->tell_ns = now_ns + reports->options.tell_ms * WL_NS_PER_MS;
	row = wl_list_add(&wl_heard_row_schema, &reports->heard);
	wl_buf_set(&row->runner, wl_buf_str(&report->id));
	row->incarnation = report->incarnation;
	row->sequence = report->sequence;
	row->clock_ms = report->clock_ms;
	wl_metrics_add(reports->options.metrics, "wisterialead_agent_reports_total", "", 1);
	return true;
}

/*
 * wl_reports_carried - the leader has acknowledged a report of this replica
 * @sent_ns: when it was sent there
 */
void wl_reports_carried(wl_reports_t *reports, uint64_t sent_ns)
{
	reports->carried = true;
	if (sent_ns > reports->carried_ns)
		reports->carried_ns = sent_ns;
}

/*
 * wl_reports_tick - tell the leader of the reports that were answered, once they are due
 */
void wl_reports_tick(wl_reports_t *reports, uint64_t now_ns, wl_out_t *out)
{
	wl_msg_t *msg;

	if (reports->heard.count == 0 || now_ns < reports->tell_ns)
		return;
	if (!wl_raft_leader_reachable(reports->options.raft, now_ns)) {
		wl_list_free(&wl_heard_row_schema, &reports->heard);
		return;
	}
	msg = wl_out_send(out, wl_raft_leader_name(reports->options.raft), WL_MSG_KEEPALIVES);
	msg->u.keepalives.rows = reports->heard;
	reports->heard = (wl_list_t){0};
}
