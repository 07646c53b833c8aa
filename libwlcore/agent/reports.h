#ifndef WL_REPORTS_H
#define WL_REPORTS_H

#include <libwlbase/counter.h>
#include <libwlcore/job/jobs.h>
#include <libwlcore/model/event.h>
#include <libwlcore/raft/raft.h>

/* Answers reports of targets that need no commit, and forwards them to the leader. */

typedef struct wl_reports_options {
	const wl_jobs_t *jobs; /* replicated state; may lag behind the leader's */
	const wl_raft_t *raft;
	wl_metrics_t *metrics;
	uint64_t flush_ms; /* between two messages to the leader; 0: the default */
	/* how long an answer of the leader proves that it is reachable; 0: the default */
	uint64_t forwarded_valid_ms;
} wl_reports_options_t;

/* What becomes of a report at a replica. */
typedef enum wl_report_route {
	WL_REPORT_FORWARD, /* the leader has to answer it */
	WL_REPORT_KNOWN,   /* answered here; the leader will hear of it */
	WL_REPORT_WAIT	   /* judged again once the leader has answered one that was forwarded */
} wl_report_route_t;

typedef struct wl_reports wl_reports_t;

wl_reports_t *wl_reports_new(const wl_reports_options_t *options);
void wl_reports_free(wl_reports_t *reports);
wl_report_route_t wl_reports_route(wl_reports_t *reports, uint64_t now_ns,
				   const wl_runner_report_t *report);
void wl_reports_leader_answered(wl_reports_t *reports, uint64_t sent_ns);
void wl_reports_tick(wl_reports_t *reports, uint64_t now_ns, wl_out_t *out);

#endif
