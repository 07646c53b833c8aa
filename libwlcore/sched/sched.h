#ifndef WL_SCHED_H
#define WL_SCHED_H

#include <libwlcore/job/jobs.h>
#include <libwlcore/leader/leader.h>
#include <libwlcore/model/event.h>
#include <libwlcore/model/order.h>
#include <libwlcore/raft/raft.h>

/*
 * The job scheduler, which runs on the leader only. It chooses where tasks run, commits
 * each choice, sends the orders to targets, tracks the runs and commits their ends.
 *
 * A lasting task runs until its job is cancelled: it is a service, and placed again whenever a
 * run ends. A lasting task with a bound on its tail latency is called serving. Best-effort tasks
 * reserve no CPU, and are throttled where they endanger such a bound.
 */

typedef struct wl_sched_options {
	wl_str_t name;		   /* name of this daemon */
	const wl_leader_t *leader; /* for the group's clock */
	const wl_raft_t *raft;	   /* for the lease of the leadership; NULL: it always holds */
	wl_jobs_t *jobs;
	wl_metrics_t *metrics;
	wl_str_t placement; /* here and below: name of a policy; empty: the default */
	wl_str_t queueing;
	wl_str_t dispatch;
	wl_str_t acceptance;
	uint64_t lease_ms;     /* lease that a renewal requests */
	uint64_t lease_max_ms; /* longest lease that a target grants */
	uint64_t start_lease_ms;
	uint64_t stop_ms; /* longest time that a target takes to stop a run */
	/* measures what placement costs, ns; NULL: that is estimated */
	uint64_t (*cost_clock_ns)(void);
} wl_sched_options_t;

typedef struct wl_sched wl_sched_t;

wl_sched_t *wl_sched_new(const wl_sched_options_t *options, wl_err_t *err);
void wl_sched_free(wl_sched_t *sched);
void wl_sched_step(wl_sched_t *sched, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
bool wl_sched_handles(const wl_event_t *event);
void wl_sched_agents_set(wl_sched_t *sched, uint64_t now_ns, const wl_list_t *names, wl_out_t *out);

#endif
