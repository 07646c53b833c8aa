#ifndef WL_SCHED_INTERNAL_H
#define WL_SCHED_INTERNAL_H

#include <sys/queue.h>

#include <libwlbase/units.h>
#include <libwlcore/contention/reserve.h>
#include <libwlcore/contention/stretch.h>
#include <libwlcore/evacuation/warmup.h>
#include <libwlcore/locality/wait.h>

#include "fit.h"
#include "forecast.h"
#include "images.h"
#include "ordering.h"
#include "throttle.h"
#include "sched.h"

#define WL_SCHED_START_TIMEOUT_MS 1000 /* several round trips, and the answer of a busy target */
#define WL_SCHED_STOP_TIMEOUT_MS  1000
#define WL_SCHED_AGENT_HOLD_MS	  3000 /* no agent sends an order later than this */
/* An order without an answer may be carried out so long after its agent has sent it. */
#define WL_SCHED_ORDER_LATE_MS 4000

/* What the leader knows of a run, in addition to the replicated state. */
typedef enum wl_run_phase {
	WL_RUN_PROPOSED,    /* its start is proposed, not committed */
	WL_RUN_STARTING,    /* the start order is in flight */
	WL_RUN_CONFIRMED,   /* the target has confirmed it */
	WL_RUN_INHERITED,   /* started by an earlier leader; the target has not confirmed it yet */
	WL_RUN_UNCONFIRMED, /* the start order got no answer; the target is ordered to stop it */
	WL_RUN_ENDING,	    /* its end is proposed, not committed */
} wl_run_phase_t;

extern const char *const wl_run_phase_names[];

/* How a run on trial keeps away from others. */
enum {
	WL_TRIAL_NONE,
	WL_TRIAL_APART, /* from other runs on trial after the same crash */
	WL_TRIAL_ALONE, /* from all runs on trial; its target gets no other start */
	WL_TRIALS
};

struct wl_sched_runner;
struct wl_task_batch;

typedef struct wl_sched_run {
	wl_str_t key;  /* over text */
	wl_buf_t text; /* "job/task/number" */
	wl_buf_t job;
	uint64_t task;
	uint64_t number;
	wl_run_phase_t phase;
	uint64_t incarnation; /* of the target, when the run was placed */
	struct wl_sched_runner *runner;
	wl_need_t need; /* what is reserved for it */
	bool best_effort;
	/* best effort: placed whatever the forecast tail latency was, and slowed before others */
	bool background;
	bool expired; /* its job was too late to be of use when it was placed */
	bool lasting;
	bool serving;	    /* lasting, with a bound on its tail latency (tail_target_us) */
	uint64_t waited_ns; /* from queueing to placement */
	uint64_t placed_ns;
	uint64_t job_at_work_ns; /* wl_sched_job.at_work_ns before it was placed */
	uint64_t started_ms; /* when its start was committed, on the group's clock; 0: unknown */
	uint64_t previous_end_ns; /* when the task's previous run ended; 0: there was none */
	uint64_t start_sent_ns;
	uint64_t start_failed_ns; /* when its start ended without an answer; 0: not known */
	uint64_t start_over_ns;	  /* without an answer its start may be carried out until then */
	uint64_t answered_ns;	  /* when the newest answer about it arrived */
	uint64_t listed_by;	  /* incarnation of the target that listed it; 0: none yet */
	/* its start was answered with a clock that bounds its lease */
	bool lease_bounded;
	uint64_t stop_sent_ns; /* to the known incarnation of the target; 0: never */
	uint64_t stop_due_ns;  /* without an answer the next one is sent then */
	uint64_t stops;	       /* stop orders sent */
	const struct wl_sched_agent *start_agent; /* that has its start; NULL: not this leader's */
	const struct wl_sched_agent *stop_agent;  /* that has the newest stop; NULL: none */
	bool stop_open;				  /* the result of the newest stop is not known */
	uint64_t stop_answered_ns; /* when that incarnation answered a stop order; 0: never */
	bool stop_wanted;
	bool torn_down;	  /* counted by the teardown of its job */
	bool doubtful;	  /* wl_run.doubtful, known to this leader before it is committed */
	bool withheld;	  /* its start was committed and not ordered */
	bool listed;	  /* present in the renewal answer that is being processed */
	uint64_t tail_ms; /* serving: newest reported tail latency */
	uint64_t tail_target_us;
	unsigned int image;		     /* id in the table of images */
	uint64_t first_listed_ns;	     /* when a renewal answer first listed it; 0: never */
	uint64_t last_listed_ns;	     /* when one last listed it; 0: never */
	wl_interference_baseline_t baseline; /* serving */
	uint64_t last_tail_ms;		     /* serving: newest tail latency used as a sample, ms */
	double headroom;     /* serving: without best-effort work, from the newest sample alone */
	double interference; /* serving: headroom lost to the best-effort work on the target */
	unsigned int speed_percent;  /* best effort: speed last ordered, percent of full speed */
	bool throttle_sent;	     /* a THROTTLE order is in flight */
	uint64_t throttled_since_ns; /* it has made no progress since then; 0: it does */
	uint64_t trial;		     /* WL_TRIAL_NONE: it is not on trial */
	uint64_t trial_ms;	     /* how long the trial lasts */
	bool settling;	  /* on trial: other tasks of a job that starts slowly wait for it */
	bool proved;	  /* has worked for longer than any trial */
	uint64_t crash;	  /* on trial: number of the newest crash under its task; 0: none */
	uint64_t counted; /* on trial: wl_job_shared_task() */
	wl_buf_t checkpoint;
	const char *end_reason;		/* how its end is known; NULL: it is not proposed */
	TAILQ_ENTRY(wl_sched_run) link; /* in the list of its runner */
	TAILQ_ENTRY(wl_sched_run) serving_link;
	bool stopping; /* in wl_sched.stopping */
	TAILQ_ENTRY(wl_sched_run) stopping_link;
} wl_sched_run_t;

TAILQ_HEAD(wl_sched_runs, wl_sched_run);

/*
 * What the leader knows of the present incarnation of a target; nothing of it holds for the next.
 */
typedef struct wl_sched_incarnation {
	uint64_t sequence; /* of its newest report */
	/* sample of its clock: at least clock_ms when ours was clock_ns; 0: none */
	uint64_t clock_ms;
	uint64_t clock_ns;
	uint64_t lease_until_ms;     /* on its clock: latest expiry that any order named */
	uint64_t lease_over_ns;	     /* earliest bound of that on our clock, of all samples */
	uint64_t lease_confirmed_ms; /* latest expiry that an answered order named; 0: none */
	/* leases by orders for earlier incarnations may be valid until then */
	uint64_t late_leases_expiry_ns;
	/* the newest renewal failed: further ones request no lease, so that leases can expire */
	bool renewal_failed;
	uint64_t ends_committed;    /* number of the newest end that is committed */
	uint64_t ends_proposed;	    /* number of the newest end that is proposed */
	uint64_t end_proposals;	    /* proposals of its ends in flight */
	uint64_t ends_acknowledged; /* it has answered a renewal that named this number */
	bool ack_due;
	uint64_t failures;   /* failed runs in a row, each of another job than the one before */
	uint64_t failed_job; /* hash of the job of the newest one */
	/* bits of the agents that had an answer of it at the present address */
	uint64_t answered_agents;
	bool unknown_listed; /* its newest list has runs that the leader does not know */
	/* it has answered an order with its fence, and refuses those for earlier incarnations */
	bool fenced;
	bool departing; /* it has announced its departure */
	bool removal_proposed;
	const char *removal_reason;
} wl_sched_incarnation_t;

/* How an incarnation of a target ended, once a later one is known. */
typedef struct wl_sched_incarnation_end {
	uint64_t incarnation;
	bool announced; /* that it drains or leaves */
	uint64_t lost_ns;
	uint64_t contact_ns; /* newest report or answer */
} wl_sched_incarnation_end_t;

typedef struct wl_sched_open_start wl_sched_open_start_t;

TAILQ_HEAD(wl_sched_open_starts, wl_sched_open_start);

/* Least headroom of the serving tasks of one image on a target, beside the work that is there. */
typedef struct wl_sched_headroom {
	double least;
	unsigned int image;
} wl_sched_headroom_t;

/*
 * What the leader knows of a target (a wl_runner_t, "runner" in names), in addition to the
 * replicated state.
 */
typedef struct wl_sched_runner {
	wl_str_t key; /* over id */
	wl_buf_t id;
	wl_runner_t *state;
	struct wl_sched_runs runs;
	struct wl_sched_runs serving;		 /* the serving ones among them */
	struct wl_sched_open_starts open_starts; /* of runs that have ended */
	wl_fit_runner_t fit;			 /* input of placement */
	size_t row;				 /* of wl_sched.rows */
	/* leases of earlier leaders or of an earlier incarnation may be valid until then */
	uint64_t previous_leases_expiry_ns;
	/* orders with leases that got no answer may be carried out until then */
	uint64_t late_orders_over_ns;
	bool evacuated;	      /* its availability zone is */
	uint64_t reopened_ns; /* when the zone was taken back; 0: it was not */
	wl_warmup_t warmup;
	uint64_t lasting_millis;     /* CPU reserved by lasting tasks */
	uint64_t incarnation;	     /* as of its newest report or answer */
	uint64_t former_incarnation; /* the one before; 0: none is known */
	wl_sched_incarnation_t known;
	/* of the report that fit.capacity is from */
	uint64_t capacity_incarnation;
	uint64_t capacity_sequence;
	uint64_t reported_ns;
	uint64_t answered_ns; /* newest answer to any order */
	uint64_t renewal_id;  /* of the newest renewal in flight; 0: none */
	bool renewal_idle;    /* the newest renewal was sent while no run needed a lease */
	uint64_t renewal_due_ns;
	uint64_t renewal_overdue_ns;  /* its agent holds it up if it has not reported by then */
	uint64_t renewal_answered_id; /* of the newest renewal that was answered */
	bool probe_due; /* a renewal is due whatever runs there: its incarnation is in doubt */
	uint64_t next_probe_ns;
	/* bits of the agents that got no answer to a renewal or a stop */
	uint64_t avoided_agents;
	uint64_t avoided_until_ns;
	/* CPU shares of best-effort work by image, moving average over the tail sampling window */
	wl_interference_shares_t average_shares;
	uint64_t average_updated_ns; /* when average_shares was last updated */
	bool promotion_due; /* a run has ended since the runs in the background were looked at */
	bool interference_stale;	/* wl_sched_run.interference of its runs is outdated */
	double headroom_least;		/* of its serving tasks, beside the work that is there */
	wl_sched_headroom_t *headrooms; /* the same for each image of its serving tasks */
	size_t headroom_count;
	size_t headroom_capacity;
	uint64_t quarantined_until_ns; /* no starts before; 0: not quarantined */
	uint64_t began_ns; /* when this incarnation became known; 0: under an earlier leader */
	uint64_t unreachable_since_ns; /* since when renewals fail; 0: they do not */
	uint64_t heard_ns;	       /* newest answer of this incarnation to a renewal */
	wl_sched_incarnation_end_t previous;
	uint64_t trials[WL_TRIALS]; /* runs on trial */
	uint64_t stopped_new_ns; /* when a run was last placed here that ended new and not done */
	uint64_t kept_until_ns; /* no starts but of a task that is to be alone; 0: it is not kept */
	uint64_t kept_pass;	/* pass in which a batch counted on it */
	wl_buf_t address;	/* as of the newest committed report */
	uint64_t lookup;	/* another one for each address and incarnation */
	uint64_t fence;		/* in the epoch of its orders: a higher one for each incarnation */
	TAILQ_ENTRY(wl_sched_runner) link;
} wl_sched_runner_t;

TAILQ_HEAD(wl_sched_runner_list, wl_sched_runner);

/* What placement looks at first of a target. */
typedef struct wl_sched_row {
	wl_sched_runner_t *runner;
	wl_fit_free_t free;  /* -1 in each field: it is not usable */
	uint64_t tail_floor; /* wl_sched_tail_floor(); 0: it has no serving tasks */
	bool free_outdated;
	bool tail_outdated;
} wl_sched_row_t;

/* What kept a batch waiting when a pass last considered it. */
typedef enum wl_hold {
	WL_HOLD_NONE,	 /* no pass has considered it */
	WL_HOLD_ROOM,	 /* no target has room for the next task */
	WL_HOLD_APART,	 /* runs on trial rule out targets that may have room */
	WL_HOLD_ALONE,	 /* another task of the job is on trial by itself */
	WL_HOLD_SLOW,	 /* the job starts slowly after crashes */
	WL_HOLD_RESERVE, /* what is free is kept for short work */
	WL_HOLD_NEAR,	 /* it waits for a place near its data or its group */
	WL_HOLDS
} wl_hold_t;

/* How the next task of a batch has to be placed, from the crashes under it. */
typedef struct wl_suspicion {
	uint64_t at_ns; /* when this was decided */
	uint64_t level; /* WL_TRIAL_NONE: it is not suspected */
	uint64_t crash; /* number of the newest crash */
	uint64_t counted;
	bool relaxed; /* it has waited for so long that tasks of one crash may meet */
	bool urgent;  /* it has been without a run for so long that it waits for no trial */
} wl_suspicion_t;

typedef struct wl_batch_task {
	uint64_t task;	   /* index in the job */
	uint64_t ended_ns; /* when its last run ended; 0: it has not run */
} wl_batch_task_t;

/*
 * The pending tasks of one step of one occurrence. Tasks of a lasting step whose run has
 * ended form a batch of their own, and so does each suspected task.
 */
typedef struct wl_task_batch {
	wl_job_t *job;
	uint64_t occurrence;
	uint64_t step;
	bool interrupted; /* lasting tasks whose run has ended, sorted: longest interruption last */
	bool suspect;	  /* one suspected task; released once it is placed */
	wl_suspicion_t suspicion; /* set by a placement pass */
	wl_hold_t hold;
	wl_batch_task_t *tasks; /* the last one is placed first */
	size_t count;
	size_t capacity;
	unsigned int image;
	uint64_t rank; /* place in the queue: lowest first */
	uint64_t ready_ns;
	uint64_t queued_ns;    /* since when the batch has been in the queue without a break */
	uint64_t far_since_ns; /* the next task waits for a place near since then; 0: none does */
	uint64_t first_placed_ns; /* when a task of it was first placed; 0: never */
	uint64_t placed_ns;	  /* when one was last placed; 0: never */
	uint64_t tried_ns; /* when a pass last considered it; since queued_ns none: the same */
	wl_buf_t rack;	   /* rack of its first placed task; empty: none yet */
	bool queued;	   /* in wl_sched.pending */
	TAILQ_ENTRY(wl_task_batch) link;
	TAILQ_ENTRY(wl_task_batch) tried_link;
	TAILQ_ENTRY(wl_task_batch) suspect_link;
} wl_task_batch_t;

TAILQ_HEAD(wl_task_batch_list, wl_task_batch);

/* What the leader keeps for a job. */
typedef struct wl_sched_job {
	wl_task_batch_t **batches; /* by occurrence, step and interrupted; NULL: not created */
	/* longest chain of dependent steps of an occurrence, by their estimated durations */
	uint64_t critical_path_ms;
	uint64_t next_occurrence; /* first occurrence that is not due yet */
	TAILQ_ENTRY(wl_sched_job) timed;
	wl_job_t *job;
	size_t queued;		   /* batches in wl_sched.pending */
	uint64_t at_work_ns;	   /* until when a run of it was at work, or when it could begin */
	uint64_t stalled_count_ns; /* when it was last counted as stalled */
	uint64_t progress_ns;	   /* when a task was done, or a run saved its progress */
	uint64_t missing_since_ns; /* since when audits find a fault; 0: the last one found none */
	struct wl_task_batch_list suspects;
	uint64_t trials[WL_TRIALS]; /* its runs on trial */
	uint64_t settling;	    /* of these: not listed for long enough to let others start */
	uint64_t sound;		    /* runs that have settled; halved by each crash */
	uint64_t proved;   /* runs longer than any trial, counted up to the number of tasks */
	bool proved_sound; /* a run has passed its trial, or has been longer than any */
} wl_sched_job_t;

TAILQ_HEAD(wl_sched_timed, wl_sched_job);

/* A replica that sends orders to targets. */
typedef struct wl_sched_agent {
	wl_buf_t name;
	uint64_t seed; /* seed of its rendezvous hash */
	uint64_t bit;  /* its own in wl_sched_runner.answered_agents and avoided_agents */
	bool usable;   /* reachable; the leader's own agent is the fallback and needs no flag */
	uint64_t unusable_since_ns; /* if it is not usable; 0: it never was */
	uint64_t unusable_until_ns; /* not used before */
	/* sample of its clock: at least clock_ms when ours was clock_ns; 0: none */
	uint64_t clock_ms;
	uint64_t clock_ns;
	wl_list_t orders;	 /* wl_order_t; sent at the end of wl_sched_step() */
	unsigned int starts;	 /* START orders in flight */
	unsigned int starts_max; /* for how many it has room */
	uint64_t starts_cut_ns;	 /* when that was last lowered */
	TAILQ_ENTRY(wl_sched_agent) link;
} wl_sched_agent_t;

TAILQ_HEAD(wl_sched_agents, wl_sched_agent);

/* Chooses the agent that sends the orders for a target. */
typedef struct wl_dispatch_policy {
	const char *name;
	wl_sched_agent_t *(*choose)(const wl_sched_t *sched, const wl_sched_runner_t *runner);
} wl_dispatch_policy_t;

/* An order to a target that is in flight. */
typedef struct wl_sched_order {
	wl_str_t key; /* over id */
	uint64_t id;
	wl_order_kind_t kind;
	wl_buf_t runner;
	uint64_t incarnation; /* of the target, when the order was created */
	uint64_t lookup;      /* wl_sched_runner.lookup at that time */
	wl_buf_t run;	      /* key of the run; empty: the order concerns no known run */
	uint64_t percent;     /* THROTTLE: percent of full speed */
	uint64_t lease_ms;
	uint64_t clock_least_ms; /* lower bound of the incarnation's clock at that time */
	uint64_t committed_ends; /* RENEW: as in the order */
	uint64_t sent_ns;
	uint64_t late_until_ns; /* without an answer it may be carried out until then */
	uint64_t expires_ns; /* if the agent has not answered by then, the order counts as lost */
	wl_sched_agent_t *agent;
	TAILQ_ENTRY(wl_sched_order) link;
} wl_sched_order_t;

/* A proposed command: a daemon's call that waits for the commit, or ends of runs. */
typedef struct wl_sched_proposal {
	wl_str_t key; /* over tag */
	uint64_t tag;
	wl_buf_t peer;		/* daemon that waits for the result; empty: none */
	uint64_t call;		/* id of the daemon's call */
	wl_buf_t runner;	/* ends of runs: the target */
	uint64_t incarnation;	/* incarnation of that target */
	uint64_t ends_proposed; /* ends of runs: number of the newest one */
	uint64_t address;	/* submission: wl_sched_address_hash(); 0: another command */
	size_t starts;		/* of runs */
	TAILQ_ENTRY(wl_sched_proposal) link;
} wl_sched_proposal_t;

typedef struct wl_sched_class wl_sched_class_t;

TAILQ_HEAD(wl_sched_classes, wl_sched_class);

typedef struct wl_sched_reserve wl_sched_reserve_t;

TAILQ_HEAD(wl_sched_reserves, wl_sched_reserve);

typedef struct wl_sched_refusal wl_sched_refusal_t;

TAILQ_HEAD(wl_sched_refusals, wl_sched_refusal);

typedef struct wl_sched_loss wl_sched_loss_t;

TAILQ_HEAD(wl_sched_losses, wl_sched_loss);

typedef struct wl_sched_crash wl_sched_crash_t;

TAILQ_HEAD(wl_sched_crashes, wl_sched_crash);

typedef struct wl_sched_teardown wl_sched_teardown_t;

TAILQ_HEAD(wl_sched_teardowns, wl_sched_teardown);

typedef struct wl_sched_departure wl_sched_departure_t;

TAILQ_HEAD(wl_sched_departures, wl_sched_departure);

typedef struct wl_sched_zone_order wl_sched_zone_order_t;

TAILQ_HEAD(wl_sched_zone_orders, wl_sched_zone_order);

/* Progress of a new leader, for the log. */
typedef struct wl_sched_takeover {
	bool open;		 /* not logged yet */
	size_t targets;		 /* inherited with runs */
	uint64_t first_start_ns; /* when a start was first ordered; 0: none yet */
	uint64_t next_check_ns;
} wl_sched_takeover_t;

/* What CPU and memory are reserved for. */
typedef enum wl_sched_use {
	WL_SCHED_USE_LASTING,
	WL_SCHED_USE_SHORT,
	WL_SCHED_USE_BEST_EFFORT,
	WL_SCHED_USE_BACKGROUND, /* best effort, placed whatever the forecast was */
	WL_SCHED_USES
} wl_sched_use_t;

/* Of all usable targets; CPU of best-effort tasks is asked for, not reserved. */
typedef struct wl_sched_usage {
	wl_need_t capacity;
	wl_need_t used[WL_SCHED_USES];
	wl_need_t waiting[WL_SCHED_USES];
} wl_sched_usage_t;

struct wl_sched {
	wl_sched_options_t options;
	wl_jobs_t *jobs;
	const wl_fit_policy_t *placement;
	const wl_ordering_policy_t *ordering;
	const wl_dispatch_policy_t *dispatch;
	const wl_forecast_policy_t *acceptance;
	bool leading;
	uint64_t epoch; /* Raft term of the leadership */
	uint64_t leader_since_ns;
	uint64_t elected_index; /* newest command known as committed when it was elected */
	wl_sched_takeover_t takeover;
	uint64_t next_id;
	uint64_t next_tag;
	wl_map_t orders_by_id;
	TAILQ_HEAD(wl_sched_orders, wl_sched_order) orders; /* in the order of their creation */
	uint64_t next_expiry_ns;
	uint64_t ticked_ns; /* newest tick of the targets */
	uint64_t
		caught_up_ns; /* results that came while the leader stood still are known by then */
	struct wl_sched_agents agents; /* the leader's own agent is first */
	wl_map_t by_tag;
	TAILQ_HEAD(wl_sched_proposals, wl_sched_proposal) proposals;
	wl_map_t by_runner;
	struct wl_sched_runner_list runners;
	uint64_t newest_lookup; /* of all runners */
	uint64_t newest_fence;	/* of all runners */
	wl_sched_row_t *rows;	/* of the runners, in their order */
	size_t row_count;
	bool rows_outdated;		       /* runners were added or removed */
	struct wl_sched_departures departures; /* not answered yet */
	struct wl_sched_losses losses;	       /* targets lost with their runs, oldest first */
	uint64_t outage_count;
	struct wl_sched_crashes crashes; /* seen by this leader, oldest first */
	size_t crashes_kept;
	wl_map_t by_run;
	wl_map_t by_ended_job;		     /* the teardowns */
	struct wl_sched_teardowns teardowns; /* oldest first */
	uint64_t next_teardowns_ns;
	wl_metric_t *teardown_times;	    /* NULL: not used yet */
	struct wl_sched_runs stopping;	    /* a stop was ordered, or is due for an inherited run */
	struct wl_task_batch_list pending;  /* by rank */
	struct wl_task_batch_list by_tried; /* the same, by tried_ns */
	struct wl_sched_timed timed;	    /* jobs with occurrences that are not due yet */
	wl_cmd_runs_start_t starts; /* collected by a placement pass and proposed at its end */
	wl_images_t images;
	wl_interference_t interference;
	bool promotion_due;	/* that of a target may be set where runs are in the background */
	size_t starts_proposed; /* runs whose start is not committed yet */
	bool place_due;
	bool lapse_known;	 /* whether a silent target has crashed is to be proposed */
	uint64_t next_pass_ns;	 /* no placement pass before */
	uint64_t pause_until_ns; /* none of any kind */
	uint64_t pass_count;
	uint64_t suspects_due_ns; /* when a suspected task may be placed more freely; 0: never */
	uint64_t waiting_due_ns;  /* when a task that waits may be placed more freely; 0: never */
	bool full_pass_due;	  /* best-effort work was left out since the last full pass */
	uint64_t next_full_pass_ns;
	uint64_t sorted_ns;	   /* when the queue was last sorted */
	uint64_t lasting_permille; /* of the usable targets' CPU: reserved by lasting tasks */
	uint64_t lasting_wanted_permille; /* with the pending lasting tasks whose run has ended */
	uint64_t next_gauges_ns;
	uint64_t next_usage_ns;
	uint64_t next_reserves_ns;
	struct wl_sched_reserves reserves; /* of the services */
	struct wl_sched_zone_orders zone_orders;
	uint64_t next_stalled_ns;
	uint64_t next_interruptions_ns;
	uint64_t next_progress_ns;
	uint64_t next_audit_ns;
	uint64_t next_acceptance_ns;
	bool own_applied;		   /* a command that it proposed as the leader is applied */
	struct wl_sched_classes classes;   /* whose rate of work is measured */
	struct wl_sched_refusals refusals; /* oldest first */
	wl_returns_t returns;
	uint64_t audits;
	wl_metric_t *order_times[WL_ORDER_KINDS][WL_ORDER_OUTCOMES]; /* NULL: not used yet */
	wl_metric_t *wait_times[2];				     /* by lasting */
	wl_metric_t *interruption_times;			     /* NULL: not used yet */
};

/* sched.c */
wl_sched_proposal_t *wl_sched_propose(wl_sched_t *sched, uint64_t now_ns, wl_cmd_t *cmd,
				      wl_out_t *out);
uint64_t wl_sched_clock_ms(const wl_sched_t *sched, uint64_t now_ns);

/* calls.c */
void wl_sched_command(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer,
		      const wl_msg_command_t *command, wl_out_t *out);
void wl_sched_query(wl_sched_t *sched, wl_str_t peer, const wl_msg_query_t *query, wl_out_t *out);
void wl_sched_reports_received(wl_sched_t *sched, uint64_t now_ns, const wl_msg_heard_t *msg);
void wl_sched_answer(wl_out_t *out, wl_str_t peer, uint64_t call, const wl_result_t *result);
void wl_sched_answer_no_leader(wl_out_t *out, wl_str_t peer, uint64_t call, wl_verdict_t verdict);

void wl_sched_command_propose(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
			      wl_cmd_t *cmd, wl_out_t *out);

/* departures.c */
void wl_sched_departure_receive(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
				const wl_runner_report_t *report, wl_out_t *out);
void wl_sched_departures_answer(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_departures_drop(wl_sched_t *sched, wl_out_t *out);
void wl_sched_departures_clear(wl_sched_t *sched);

/* acceptance.c */
uint64_t wl_sched_address_hash(const wl_cmd_job_add_t *add);
void wl_sched_acceptance_init(wl_sched_t *sched);
void wl_sched_acceptance_clear(wl_sched_t *sched);
void wl_sched_work_done(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job, uint64_t step);
void wl_sched_step_took(wl_sched_t *sched, const wl_job_t *job, uint64_t step, uint64_t took_ms);
wl_locality_t *wl_sched_locality(wl_sched_t *sched, wl_str_t service, bool best_effort);
uint64_t wl_sched_expected_ms(const wl_sched_t *sched, const wl_job_t *job, uint64_t path_ms);
void wl_sched_acceptance_tick(wl_sched_t *sched, uint64_t now_ns);
bool wl_sched_job_refused(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_job_add_t *add,
			  wl_result_t *result, wl_out_t *out);

/* queue.c */
uint64_t wl_sched_path_ms(const wl_job_spec_t *job, uint64_t done);
void wl_sched_batch_limits(const wl_task_batch_t *batch, uint64_t *on_time_ms, uint64_t *use_ms);
void wl_sched_job_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job);
uint64_t wl_sched_slot_count(const wl_job_t *job);
void wl_sched_queue_sort(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_batch_dequeue_empty(wl_sched_t *sched, wl_task_batch_t *batch);
void wl_sched_job_close(wl_sched_t *sched, wl_job_t *job);
void wl_sched_task_enqueue(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t task,
			   uint64_t ended_ns);
void wl_sched_step_close(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence,
			 uint64_t step);
void wl_sched_steps_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence);
void wl_sched_timed_tick(wl_sched_t *sched, uint64_t now_ns);

/* place.c */
bool wl_sched_place_due(const wl_sched_t *sched, uint64_t now_ns);
void wl_sched_place(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
bool wl_sched_runner_fits(wl_sched_t *sched, wl_sched_runner_t *runner,
			  const wl_task_batch_t *batch, const wl_fit_request_t *request);
wl_fit_request_t wl_sched_fit_request(uint64_t now_ns, const wl_task_batch_t *batch);

/* rows.c */
void wl_sched_rows_reset(wl_sched_t *sched);
void wl_sched_rows_update(wl_sched_t *sched);
void wl_sched_row_outdate(wl_sched_t *sched, const wl_sched_runner_t *runner);
void wl_sched_interference_outdate(wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_row_free_update(wl_sched_row_t *row);
void wl_sched_row_tail_update(const wl_sched_t *sched, wl_sched_row_t *row);
wl_fit_free_t wl_sched_rows_free_max(const wl_sched_t *sched);

/* audit.c */
const char *wl_sched_job_audit(const wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			       uint64_t *task);
uint64_t wl_sched_run_heard_ns(const wl_sched_t *sched, const wl_sched_run_t *run);
void wl_sched_audit_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* progress.c */
void wl_sched_job_progressed(const wl_job_t *job, uint64_t now_ns);
void wl_sched_progress_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* stalled.c */
void wl_sched_job_at_work(const wl_job_t *job, uint64_t now_ns);
void wl_sched_job_placed(const wl_job_t *job, wl_sched_run_t *run);
void wl_sched_job_not_started(const wl_job_t *job, const wl_sched_run_t *run);
uint64_t wl_sched_job_idle_ms(const wl_job_t *job, uint64_t now_ns);
bool wl_sched_batch_stalled(const wl_task_batch_t *batch, uint64_t now_ns);
uint64_t wl_sched_stalled_due_ns(const wl_task_batch_t *batch, uint64_t now_ns);
void wl_sched_stalled_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* interruptions.c */
void wl_sched_interruption_measure(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run);
void wl_sched_interruptions_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_interruptions_clear(wl_sched_t *sched);

/* Position in the runs of a job that the leader knows; begins with the job alone. */
typedef struct wl_sched_job_runs {
	const wl_job_t *job;
	uint64_t task;
	const wl_run_t *run; /* the newest one that was looked at; NULL: none of this task */
} wl_sched_job_runs_t;

/* runs.c */
wl_sched_run_t *wl_sched_job_runs_next(const wl_sched_t *sched, wl_sched_job_runs_t *at);
wl_sched_run_t *wl_sched_run_add(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_job_t *job,
				 uint64_t task, uint64_t number);
void wl_sched_run_remove(wl_sched_t *sched, wl_sched_run_t *run);
wl_sched_run_t *wl_sched_run_find(const wl_sched_t *sched, wl_str_t job, uint64_t task,
				  uint64_t number);
void wl_sched_starts_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_runs_start_t *cmd,
			     wl_out_t *out);
uint64_t wl_sched_run_lost_ns(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns);
uint64_t wl_sched_inherited_end_ns(const wl_sched_t *sched);
void wl_sched_ends_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_runs_end_t *cmd,
			   wl_out_t *out);
void wl_sched_run_answered(wl_sched_t *sched, uint64_t now_ns, const wl_sched_order_t *order,
			   const wl_order_end_t *end, wl_out_t *out);
void wl_sched_run_begun(const wl_sched_t *sched, const wl_sched_run_t *run);
void wl_sched_run_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, const char *reason,
		       wl_out_t *out);
wl_run_end_t *wl_sched_run_end_add(wl_sched_run_t *run, wl_run_outcome_t outcome,
				   const char *reason, wl_cmd_runs_end_t *ends);
void wl_sched_run_end_note(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
			   wl_run_outcome_t outcome, const char *reason, wl_out_t *out);
void wl_sched_ends_propose(wl_sched_t *sched, uint64_t now_ns, wl_cmd_runs_end_t *ends,
			   wl_out_t *out);
void wl_sched_run_stop_due(wl_sched_t *sched, wl_sched_run_t *run, uint64_t due_ns);
void wl_sched_stops_tick(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_stop_send(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run);
void wl_sched_stop_listed(wl_sched_run_t *run, uint64_t sent_ns);
void wl_sched_job_ended(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, wl_out_t *out);

/* teardown.c */
void wl_sched_teardown_begin(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			     wl_out_t *out);
void wl_sched_teardown_run_ended(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
				 wl_run_outcome_t outcome, const char *reason, wl_out_t *out);
void wl_sched_teardowns_inherit(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_teardowns_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_teardowns_clear(wl_sched_t *sched);

/* tails.c */
void wl_sched_tails_update(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			   wl_out_t *out);
void wl_sched_background_throttle(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
				  wl_out_t *out);
void wl_sched_background_promote(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
uint64_t wl_sched_tail_floor(const wl_sched_t *sched, wl_sched_runner_t *runner);
uint64_t wl_sched_tail_forecast(const wl_sched_t *sched, wl_sched_runner_t *runner,
				unsigned int image, uint64_t cpu_millis);
bool wl_sched_tails_at_risk(const wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_interference_update(const wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_average_shares_update(wl_sched_runner_t *runner, uint64_t now_ns);

/* leases.c */
uint64_t wl_sched_lease_bound_ns(uint64_t ms);
uint64_t wl_sched_runner_clock_ms(const wl_sched_runner_t *runner, uint64_t now_ns);
uint64_t wl_sched_runner_clock_least_ms(const wl_sched_runner_t *runner, uint64_t now_ns);
bool wl_sched_clock_sample_late(uint64_t known_ms, uint64_t known_ns, uint64_t now_ns,
				uint64_t clock_ms);
void wl_sched_clock_sample(wl_sched_runner_t *runner, uint64_t now_ns, uint64_t clock_ms);
void wl_sched_lease_sent(wl_sched_runner_t *runner, uint64_t lease_ms);
uint64_t wl_sched_leases_expiry_ns(const wl_sched_runner_t *runner);
void wl_sched_lease_order_completed(const wl_sched_t *sched, uint64_t now_ns,
				    wl_sched_runner_t *runner, const wl_sched_order_t *order,
				    const wl_order_end_t *end);

/* runners.c */
wl_sched_runner_t *wl_sched_runner_sync(wl_sched_t *sched, uint64_t now_ns, wl_runner_t *state);
wl_sched_runner_t *wl_sched_runner_find(const wl_sched_t *sched, wl_str_t id);
void wl_sched_runner_reported(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      const wl_runner_report_t *report);
bool wl_sched_later_target_at_address(const wl_sched_t *sched, const wl_sched_runner_t *runner);
void wl_sched_runner_remove(wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_runners_clear(wl_sched_t *sched);
void wl_sched_renewal_answered(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			       const wl_sched_order_t *order, const wl_order_end_t *end,
			       wl_out_t *out);
bool wl_sched_runner_needs_lease(const wl_sched_runner_t *runner);
void wl_sched_renewal_schedule(wl_sched_runner_t *runner, uint64_t due_ns);
bool wl_sched_stood_still(const wl_sched_t *sched, uint64_t now_ns);
void wl_sched_runners_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* reserves.c */
void wl_sched_reserves_tick(wl_sched_t *sched, uint64_t now_ns);
bool wl_sched_reserve_holds(wl_sched_t *sched, uint64_t now_ns, const wl_task_batch_t *batch);
void wl_sched_reserves_clear(wl_sched_t *sched);

/* nearness.c */
uint64_t wl_sched_wait_near(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch,
			    const wl_fit_request_t *request);
void wl_sched_near_placed(wl_sched_t *sched, wl_task_batch_t *batch, bool near);
void wl_sched_near_learn(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			 const wl_sched_run_t *run);

/* usage.c */
void wl_sched_usage(const wl_sched_t *sched, wl_sched_usage_t *usage);
void wl_sched_usage_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_usage_clear(wl_sched_t *sched);

/* zones.c */
void wl_sched_runner_zone_update(wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_warmup_reported(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      const wl_runner_report_t *report);
void wl_sched_warmup_tick(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner);
bool wl_sched_zone_closed(const wl_sched_runner_t *runner, uint64_t now_ns);
uint64_t wl_sched_zone_basis(const wl_sched_t *sched, wl_str_t zone);
void wl_sched_zone_ordered(wl_sched_t *sched, wl_str_t zone);
void wl_sched_zone_orders_clear(wl_sched_t *sched);
bool wl_sched_zone_known(const wl_sched_t *sched, wl_str_t zone);
void wl_sched_zone_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_zone_evacuate_t *cmd,
			   const wl_result_t *result, wl_out_t *out);
void wl_sched_zones_measure(const wl_sched_t *sched);
void wl_sched_zones_clear(const wl_sched_t *sched);

/* capacity.c */
void wl_sched_capacity_reported(wl_sched_t *sched, wl_sched_runner_t *runner,
				const wl_runner_report_t *report);
const char *wl_sched_start_withheld(const wl_sched_t *sched, const wl_cmd_runs_start_t *cmd,
				    size_t row, const wl_sched_run_t *run, const wl_job_t *job);

/* losses.c */
void wl_sched_run_start_sent(wl_sched_run_t *run, uint64_t sent_ns);
void wl_sched_open_starts_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner);
bool wl_sched_open_starts_remain(wl_sched_runner_t *runner, uint64_t now_ns);
void wl_sched_open_starts_clear(wl_sched_runner_t *runner);
void wl_sched_lapses_inherit(wl_sched_t *sched);
void wl_sched_lapse_heard(wl_sched_t *sched, wl_str_t runner, uint64_t incarnation);
void wl_sched_lapse_ended(wl_sched_t *sched, const wl_sched_runner_t *runner, uint64_t later);
void wl_sched_lapse_crashed(wl_sched_t *sched, const wl_sched_runner_t *runner);
void wl_sched_lapses_reported(wl_sched_t *sched, const wl_runner_t *runner);
void wl_sched_lapses_committed(wl_sched_t *sched, const wl_list_t *ends);
void wl_sched_lapses_settle(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_stops_forget(wl_sched_runner_t *runner);
bool wl_sched_lease_over(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns);
bool wl_sched_run_unknown(const wl_sched_run_t *run, uint64_t now_ns);
bool wl_sched_runs_expire(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			  wl_out_t *out);
void wl_sched_absent_collect(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			     uint64_t sent_ns, wl_cmd_runs_end_t *ends);
void wl_sched_removal_propose(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      const char *reason, const wl_sched_agent_t *agent, wl_out_t *out);
void wl_sched_runner_departed(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			      wl_out_t *out);

/* crashes.c */
uint64_t wl_sched_crash_contact_ns(const wl_sched_runner_t *runner);
void wl_sched_crash_incarnation_end(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
				    uint64_t incarnation);
void wl_sched_crash_unreachable(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
				uint64_t sent_ns);
void wl_sched_crash_heard(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner);
void wl_sched_run_lost_add(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			   const char *reason, wl_cmd_runs_end_t *ends);
void wl_sched_crash_run_listed(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			       wl_cmd_runs_end_t *ends);
void wl_sched_crash_doubts_commit(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
bool wl_sched_crash_late(wl_sched_t *sched, uint64_t now_ns, wl_run_end_t *row);
void wl_sched_crash_expired(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			    wl_cmd_runs_end_t *ends, wl_out_t *out);
void wl_sched_crash_restarted(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
			      const wl_cmd_runs_end_t *ends, wl_out_t *out);
void wl_sched_crash_address_taken(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
				  const wl_sched_agent_t *agent, wl_out_t *out);

/* outages.c */
void wl_sched_loss_add(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
		       uint64_t incarnation);
void wl_sched_loss_end(wl_sched_t *sched, const wl_sched_runner_t *runner);
void wl_sched_losses_clear(wl_sched_t *sched);
uint64_t wl_sched_outage_find(wl_sched_t *sched, uint64_t now_ns, wl_str_t target,
			      uint64_t incarnation);
bool wl_sched_outage_spanned(const wl_sched_t *sched, uint64_t outage, wl_str_t job);

/* suspects.c */
void wl_sched_trial_begin(wl_sched_run_t *run, const wl_job_t *job);
void wl_sched_trial_share(wl_sched_run_t *run, const wl_job_t *job);
void wl_sched_trial_end(wl_sched_t *sched, wl_sched_run_t *run);
void wl_sched_trial_passed(wl_sched_t *sched, wl_sched_run_t *run);
void wl_sched_trial_ended(wl_sched_run_t *run, uint64_t now_ns, const wl_run_end_t *end);
void wl_sched_trial_crashed(const wl_job_t *job);
void wl_sched_trial_listed(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run);
void wl_sched_trials_count(const wl_sched_t *sched, wl_sched_job_t *sched_job);
wl_suspicion_t wl_sched_suspicion(const wl_task_batch_t *batch, uint64_t now_ns);
bool wl_sched_suspicion_share(wl_task_batch_t *batch);
bool wl_sched_trial_shared(const wl_sched_run_t *run, const wl_job_t *job);
uint64_t wl_sched_urgent_due_ns(const wl_task_batch_t *batch, uint64_t now_ns);
uint64_t wl_sched_suspects_due_ns(const wl_task_batch_t *batch);
bool wl_sched_trials_allow(const wl_sched_runner_t *runner, const wl_task_batch_t *batch);
wl_hold_t wl_sched_trials_hold(const wl_task_batch_t *batch, uint64_t members);
void wl_sched_targets_keep(wl_sched_t *sched, const wl_task_batch_t *batch,
			   const wl_fit_request_t *request);
int64_t wl_sched_suspect_score(const wl_sched_runner_t *runner, const wl_task_batch_t *batch,
			       int64_t score);

/* given_up.c */
void wl_sched_crashes_clear(wl_sched_t *sched);
void wl_sched_crash_applied(wl_sched_t *sched, uint64_t now_ns, wl_str_t address,
			    const wl_run_end_t *end, wl_out_t *out);

/* takeover.c */
void wl_sched_takeover_begin(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_takeover_started(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_takeover_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* gauges.c */
void wl_sched_gauges_tick(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_gauges_clear(wl_sched_t *sched);
void wl_sched_order_measure(wl_sched_t *sched, wl_order_kind_t kind, wl_order_outcome_t outcome,
			    uint64_t took_ns);
void wl_sched_wait_measure(wl_sched_t *sched, bool lasting, uint64_t waited_ns);

/* orders.c */
const wl_sched_agent_t *wl_sched_order_add(wl_sched_t *sched, uint64_t now_ns,
					   wl_sched_runner_t *runner, wl_order_t *order,
					   const wl_sched_run_t *run);
void wl_sched_orders_completed(wl_sched_t *sched, uint64_t now_ns, wl_str_t agent,
			       const wl_msg_ordered_t *msg, wl_out_t *out);
void wl_sched_orders_fail(wl_sched_t *sched, uint64_t now_ns, const wl_sched_agent_t *agent,
			  wl_out_t *out);
void wl_sched_orders_expire(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_orders_clear(wl_sched_t *sched);
const wl_sched_agent_t *wl_sched_order_agent(const wl_sched_t *sched, uint64_t id);

/* agents.c */
const wl_dispatch_policy_t *wl_dispatch_policy_find(wl_str_t name);
void wl_sched_agents_init(wl_sched_t *sched);
void wl_sched_agents_clear(wl_sched_t *sched);
void wl_sched_agent_down(wl_sched_t *sched, uint64_t now_ns, wl_str_t name, wl_out_t *out);
void wl_sched_agent_answered(wl_sched_t *sched, uint64_t now_ns, wl_str_t name, uint64_t clock_ms);
uint64_t wl_sched_agent_clock_ms(const wl_sched_t *sched, uint64_t now_ns,
				 const wl_sched_agent_t *agent);
wl_sched_agent_t *wl_sched_agent_choose(const wl_sched_t *sched, const wl_sched_runner_t *runner,
					wl_order_kind_t kind);
void wl_sched_agent_enqueue(wl_sched_agent_t *agent, const wl_order_t *order);
void wl_sched_agents_send(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_agent_avoid(const wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns,
			  const wl_sched_agent_t *agent);
void wl_sched_agent_slow(const wl_sched_t *sched, wl_sched_runner_t *runner, uint64_t now_ns,
			 const wl_sched_agent_t *agent);
void wl_sched_agent_start_sent(wl_sched_agent_t *agent);
void wl_sched_agent_start_ended(wl_sched_agent_t *agent, uint64_t now_ns,
				wl_order_outcome_t outcome);
size_t wl_sched_starts_room(const wl_sched_t *sched);
bool wl_sched_agent_replaceable(const wl_sched_t *sched, const wl_sched_runner_t *runner,
				const wl_sched_agent_t *agent);
void wl_sched_agent_retry(wl_sched_runner_t *runner, uint64_t now_ns);
wl_str_t wl_sched_report_to(const wl_sched_t *sched, wl_str_t id);

#endif
