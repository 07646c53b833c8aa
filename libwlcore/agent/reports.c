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

#define FLUSH_MS_DEFAULT	   50
#define FORWARDED_VALID_MS_DEFAULT 1000 /* the least election time */

struct wl_reports {
	wl_reports_options_t options;
	bool forwarded;	       /* the leader has ever answered a report of this replica */
	uint64_t forwarded_ns; /* when the newest of those was sent */
	uint64_t flush_ns;     /* next message, if there is anything to tell */
	wl_list_t pending;     /* wl_heard_row_t, not told yet */
};

/*
 * wl_reports_new - make the part
 * @options: what it points to must outlive the part
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
 * wl_reports_free - release the part; what was not told is lost
 */
void wl_reports_free(wl_reports_t *reports)
{
	if (!reports)
		return;
	wl_list_free(&wl_heard_row_schema, &reports->pending);
	free(reports);
}

static bool leader_reachable(const wl_reports_t *reports, uint64_t now_ns)
{
	return reports->forwarded &&
	       now_ns <
		       reports->forwarded_ns + reports->options.forwarded_valid_ms * WL_NS_PER_MS &&
	       wl_raft_hears_leader(reports->options.raft, now_ns);
}

/* The state here may lack the newest: what would be a change at the leader is never answered. */
static bool needs_no_commit(const wl_jobs_t *jobs, const wl_runner_report_t *report)
{
	const wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&report->id));

	if (!runner || runner->left_ms || report->left || report->draining ||
	    report->life != runner->report.life)
		return false;
	if (jobs->configured && !wl_catalog_service(&jobs->catalog, wl_buf_str(&report->service)))
		return false;
	return !wl_runner_report_changes(runner, report);
}

/*
 * wl_reports_known - whether a report may be acknowledged here; if so, the leader will hear of it
 */
bool wl_reports_acknowledge(wl_reports_t *reports, uint64_t now_ns,
			    const wl_runner_report_t *report)
{
	wl_heard_row_t *row;

	if (!leader_reachable(reports, now_ns) || !needs_no_commit(reports->options.jobs, report))
		return false;
	if (reports->pending.count == 0)
		reports->flush_ns = now_ns + reports->options.flush_ms * WL_NS_PER_MS;
	row = wl_list_add(&wl_heard_row_schema, &reports->pending);
	wl_buf_set(&row->runner, wl_buf_str(&report->id));
	row->life = report->life;
	row->sequence = report->sequence;
	row->clock_ms = report->clock_ms;
	wl_metrics_add(reports->options.metrics, "wisterialead_agent_reports_total", "", 1);
	return true;
}

/*
 * wl_reports_carried - the leader has acknowledged a report of this replica
 * @sent_ns: when it was sent there
 */
void wl_reports_forwarded(wl_reports_t *reports, uint64_t sent_ns)
{
	reports->forwarded = true;
	if (sent_ns > reports->forwarded_ns)
		reports->forwarded_ns = sent_ns;
}

/*
 * wl_reports_tick - tell the leader of the reports that were answered, once they are due
 */
void wl_reports_tick(wl_reports_t *reports, uint64_t now_ns, wl_out_t *out)
{
	wl_msg_t *msg;

	if (reports->pending.count == 0 || now_ns < reports->flush_ns)
		return;
	if (!wl_raft_hears_leader(reports->options.raft, now_ns)) {
		wl_list_free(&wl_heard_row_schema, &reports->pending);
		return;
	}
	msg = wl_out_send(out, wl_raft_leader_name(reports->options.raft), WL_MSG_HEARD);
	msg->u.heard.rows = reports->pending;
	reports->pending = (wl_list_t){0};
}
