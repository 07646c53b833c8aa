#ifndef WL_SCHED_INTERNAL_H
#define WL_SCHED_INTERNAL_H

#include <sys/queue.h>

#include <libwlbase/units.h>

#include "fit.h"
#include "images.h"
#include "order.h"
#include "pace.h"
#include "sched.h"

/* What the leader knows of a run beyond the replicated state. */
typedef enum wl_run_phase {
	WL_RUN_PROPOSED,  /* its start is not committed */
	WL_RUN_STARTING,  /* the order is on its way */
	WL_RUN_PRESENT,	  /* the target said that it has begun */
	WL_RUN_INHERITED, /* of an earlier leader: whether it has begun is not known */
	WL_RUN_UNSURE,	  /* its order got no answer; its target is told to stop it */
	WL_RUN_ENDING,	  /* its end is proposed */
} wl_run_phase_t;

struct wl_sched_runner;
struct wl_bundle;

typedef struct wl_sched_run {
	wl_str_t key;  /* over text */
	wl_buf_t text; /* job, task and number */
	wl_buf_t job;
	uint64_t task;
	uint64_t number;
	wl_run_phase_t phase;
	uint64_t life; /* of the target that it was placed on */
	struct wl_sched_runner *runner;
	wl_need_t need; /* reserved for it */
	bool best_effort;
	bool lasting;
	bool serving;	    /* lasting, with a bound on its users' tail latency */
	uint64_t waited_ns; /* until it was placed */
	uint64_t placed_ns;
	uint64_t before_ns;   /* when the run before it ended; 0: there was none */
	uint64_t answered_ns; /* when the newest order for it was answered */
	uint64_t stop_sent_ns;
	uint64_t stop_done_ns; /* when a stop was answered; 0: none */
	bool stop_wanted;
	bool listed;   /* in the answer that is being read */
	uint64_t load; /* serving: tail latency, ms */
	uint64_t tail_target_us;
	unsigned int image;	/* its number */
	uint64_t begun_ns;	/* when it was first said to be there */
	wl_press_level_t level; /* serving */
	uint64_t figure;	/* serving: its newest tail latency that was learnt from, ms */
	double headroom;	/* serving: most that it may have alone, by that figure by itself */
	double pressed;		/* serving: headroom that the best-effort work beside it takes */
	unsigned int pace;	/* best effort: percent of full speed that the target was told */
	bool pace_sent;		/* an order on it is under way */
	uint64_t slow_ns;	/* since when it has been held nearly still; 0: it is not */
	wl_buf_t checkpoint;
	TAILQ_ENTRY(wl_sched_run) link; /* of its runner */
	TAILQ_ENTRY(wl_sched_run) serving_link;
} wl_sched_run_t;

TAILQ_HEAD(wl_sched_runs, wl_sched_run);

/* What the leader knows of a target beyond the replicated state. */
typedef struct wl_sched_runner {
	wl_str_t key; /* over id */
	wl_buf_t id;
	wl_runner_t *state;
	struct wl_sched_runs runs;
	struct wl_sched_runs serving; /* those of them that serve */
	wl_fit_runner_t fit;	      /* what placement looks at */
	/* its clock: at least clock_ms at clock_ns on ours; 0: never heard */
	uint64_t clock_ms;
	uint64_t clock_ns;
	uint64_t lease_until_ms; /* on its clock; latest that any order of ours named */
	uint64_t lease_held_ms;	 /* latest that an answered order named; 0: none */
	uint64_t lease_floor_ns; /* leases that others granted, or an earlier life took, may last so
				    long */
	uint64_t lasting_millis; /* processors that lasting tasks reserve */
	uint64_t life;		 /* as its last answer said */
	uint64_t sequence;	 /* of its newest report */
	uint64_t reported_ns;
	uint64_t answered_ns; /* any order */
	uint64_t hold_id;     /* under way; 0: none */
	uint64_t hold_due_ns;
	bool hold_failed; /* the newest got no answer: the next ones ask for no lease, so that it
			     can lapse */
	const struct wl_sched_agent *unreached_by; /* its newest hold got no answer; NULL: none */
	uint64_t unreached_until_ns;
	uint64_t seen;	     /* ends up to here are committed */
	uint64_t listed;     /* ends up to here are proposed */
	uint64_t committing; /* proposals of its ends under way */
	bool ack_due;
	wl_press_shares_t window; /* best-effort work that the newest figures average over */
	uint64_t window_ns;	  /* when that was last brought up to date */
	bool pressed_due;	  /* what presses on its serving tasks has changed */
	uint64_t aside_until_ns;  /* no starts before; 0: any time */
	uint64_t failures;	  /* runs of different jobs that failed here in a row */
	uint64_t failed_job;	  /* hash of the newest job among them */
	bool gone_proposed;
	TAILQ_ENTRY(wl_sched_runner) link;
} wl_sched_runner_t;

TAILQ_HEAD(wl_sched_runner_list, wl_sched_runner);

typedef struct wl_bundle_task {
	uint64_t task;	   /* place in the job */
	uint64_t ended_ns; /* when its last run ended; 0: it has had none */
} wl_bundle_task_t;

/*
 * The waiting tasks of one step of one occurrence; those of a lasting step whose run
 * has ended are a bundle of their own.
 */
typedef struct wl_bundle {
	wl_job_t *job;
	uint64_t occurrence;
	uint64_t step;
	bool away;		 /* each has had a run; longest without one last */
	wl_bundle_task_t *tasks; /* the next one is the last */
	size_t count;
	size_t room;
	unsigned int image;
	uint64_t key; /* order of the queue: lowest first */
	uint64_t ready_ns;
	uint64_t queued_ns; /* since when any of its tasks has been waiting */
	wl_buf_t rack;	    /* where its first task went; empty: none yet */
	bool queued;	    /* among those that wait */
	TAILQ_ENTRY(wl_bundle) link;
} wl_bundle_t;

TAILQ_HEAD(wl_bundle_list, wl_bundle);

/* What the leader keeps with a job. */
typedef struct wl_sched_job {
	wl_bundle_t **bundles;	  /* by occurrence, step and away; NULL: none yet */
	uint64_t chain_ms;	  /* longest chain of an occurrence's steps, as estimated */
	uint64_t next_occurrence; /* that has not come due */
	TAILQ_ENTRY(wl_sched_job) timed;
	wl_job_t *job;
} wl_sched_job_t;

TAILQ_HEAD(wl_sched_timed, wl_sched_job);

/* A replica that sends orders to targets. */
typedef struct wl_sched_agent {
	wl_buf_t name;
	uint64_t seed;	    /* of its ranks for targets */
	bool usable;	    /* it answers; the own one stands in where none does */
	uint64_t barred_ns; /* not to be used before */
	wl_list_t orders;   /* wl_order_t, sent at the end of the step */
	TAILQ_ENTRY(wl_sched_agent) link;
} wl_sched_agent_t;

TAILQ_HEAD(wl_sched_agents, wl_sched_agent);

/* Chooses the agent that sends the orders for a target. */
typedef struct wl_dispatch_policy {
	const char *name;
	wl_sched_agent_t *(*choose)(const wl_sched_t *sched, const wl_sched_runner_t *runner);
} wl_dispatch_policy_t;

/* An order under way. */
typedef struct wl_sched_call {
	wl_str_t key; /* over id */
	uint64_t id;
	wl_order_kind_t kind;
	wl_buf_t runner;
	uint64_t life;	  /* of the runner, when it was sent */
	wl_buf_t run;	  /* key of the run; empty: a hold */
	uint64_t percent; /* PACE */
	uint64_t lease_ms;
	uint64_t sent_ns;
	uint64_t expires_ns; /* without a word of the agent it has no answer */
	wl_sched_agent_t *agent;
	TAILQ_ENTRY(wl_sched_call) link;
} wl_sched_call_t;

/* A call of a daemon that waits for a commit, or the ends that one commits. */
typedef struct wl_sched_proposal {
	wl_str_t key; /* over tag */
	uint64_t tag;
	wl_buf_t peer; /* empty: nobody waits */
	uint64_t call;
	wl_buf_t runner; /* ends: of this target */
	uint64_t life;	 /* of that target */
	uint64_t listed; /* ends: up to this number */
	TAILQ_ENTRY(wl_sched_proposal) link;
} wl_sched_proposal_t;

struct wl_sched {
	wl_sched_options_t options;
	wl_jobs_t *jobs;
	const wl_fit_policy_t *fit;
	const wl_ordering_policy_t *order;
	const wl_dispatch_policy_t *dispatch;
	bool leading;
	uint64_t epoch; /* term of the log */
	uint64_t led_ns;
	uint64_t next_id;
	uint64_t next_tag;
	wl_map_t by_call;
	TAILQ_HEAD(wl_sched_calls, wl_sched_call) calls; /* in the order of their giving */
	uint64_t expiry_look_ns;
	struct wl_sched_agents agents; /* the own one first */
	wl_map_t by_tag;
	TAILQ_HEAD(wl_sched_proposals, wl_sched_proposal) proposals;
	wl_map_t by_runner;
	struct wl_sched_runner_list runners;
	wl_map_t by_run;
	struct wl_bundle_list waiting; /* by key */
	struct wl_sched_timed timed;
	wl_cmd_runs_start_t starts; /* to be proposed at the end of the step */
	wl_images_t images;
	wl_press_t press;
	bool place_due;
	uint64_t place_next_ns;	   /* no look before */
	uint64_t sorted_ns;	   /* when the queue was last put in order */
	uint64_t lasting_permille; /* of usable targets' processors, reserved by lasting tasks */
	uint64_t lasting_wanted_permille; /* with those whose runs ended */
	uint64_t next_gauges_ns;
	wl_metric_t *order_times[WL_ORDER_KINDS][WL_ORDER_OUTCOMES]; /* NULL: not counted yet */
	wl_metric_t *wait_times[2];				     /* lasting or not */
};

/* sched.c */
wl_sched_proposal_t *wl_sched_propose(wl_sched_t *sched, uint64_t now_ns, wl_cmd_t *cmd,
				      wl_out_t *out);
uint64_t wl_sched_clock_ms(const wl_sched_t *sched, uint64_t now_ns);

/* calls.c */
void wl_sched_command(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer,
		      const wl_msg_command_t *command, wl_out_t *out);
void wl_sched_query(wl_sched_t *sched, wl_str_t peer, const wl_msg_query_t *query, wl_out_t *out);
void wl_sched_heard(wl_sched_t *sched, uint64_t now_ns, const wl_msg_heard_t *msg);
void wl_sched_answer(wl_out_t *out, wl_str_t peer, uint64_t call, const wl_result_t *result);

/* queue.c */
void wl_sched_job_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job);
void wl_sched_queue_sort(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_bundle_settle(wl_sched_t *sched, wl_bundle_t *bundle);
void wl_sched_job_close(wl_sched_t *sched, wl_job_t *job);
void wl_sched_task_wait(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t task,
			uint64_t ended_ns);
void wl_sched_steps_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence);
void wl_sched_timed_tick(wl_sched_t *sched, uint64_t now_ns);

/* place.c */
void wl_sched_place(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* runs.c */
wl_sched_run_t *wl_sched_run_add(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_job_t *job,
				 uint64_t task, uint64_t number);
void wl_sched_run_drop(wl_sched_t *sched, wl_sched_run_t *run);
wl_sched_run_t *wl_sched_run_find(const wl_sched_t *sched, wl_str_t job, uint64_t task,
				  uint64_t number);
void wl_sched_starts_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_runs_start_t *cmd,
			     wl_out_t *out);
void wl_sched_ends_applied(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_runs_end_t *cmd,
			   wl_out_t *out);
void wl_sched_run_answered(wl_sched_t *sched, uint64_t now_ns, const wl_sched_call_t *call,
			   const wl_order_end_t *end, wl_out_t *out);
void wl_sched_run_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, const char *reason,
		       wl_out_t *out);
void wl_sched_run_end(wl_sched_run_t *run, wl_run_outcome_t how, wl_cmd_runs_end_t *ends);
void wl_sched_ends_propose(wl_sched_t *sched, uint64_t now_ns, wl_cmd_runs_end_t *ends,
			   wl_out_t *out);
void wl_sched_run_tick(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run);
bool wl_sched_run_absent(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, uint64_t sent_ns);
void wl_sched_job_ended(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, wl_out_t *out);

/* tails.c */
void wl_sched_tails_follow(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			   wl_out_t *out);
uint64_t wl_sched_tail_forecast(const wl_sched_t *sched, wl_sched_runner_t *runner,
				unsigned int image, uint64_t cpu_millis);
bool wl_sched_tails_watched(const wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_pressed_follow(const wl_sched_t *sched, wl_sched_runner_t *runner);
void wl_sched_window_follow(wl_sched_runner_t *runner, uint64_t now_ns);

/* runners.c */
wl_sched_runner_t *wl_sched_runner_follow(wl_sched_t *sched, uint64_t now_ns, wl_runner_t *state);
wl_sched_runner_t *wl_sched_runner_find(const wl_sched_t *sched, wl_str_t id);
void wl_sched_runner_heard(const wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			   const wl_runner_report_t *report);
void wl_sched_runner_left(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner);
void wl_sched_runners_clear(wl_sched_t *sched);
uint64_t wl_sched_runner_clock_ms(const wl_sched_runner_t *runner, uint64_t now_ns);
void wl_sched_hold_answered(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			    const wl_sched_call_t *call, const wl_order_end_t *end, wl_out_t *out);
bool wl_sched_runner_holds(const wl_sched_runner_t *runner);
void wl_sched_hold_soon(wl_sched_runner_t *runner, uint64_t now_ns);
void wl_sched_runners_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);

/* gauges.c */
void wl_sched_gauges_tick(wl_sched_t *sched, uint64_t now_ns);
void wl_sched_gauges_clear(wl_sched_t *sched);
void wl_sched_order_measure(wl_sched_t *sched, wl_order_kind_t kind, wl_order_outcome_t outcome,
			    uint64_t took_ns);
void wl_sched_wait_measure(wl_sched_t *sched, bool lasting, uint64_t waited_ns);

/* orders.c */
void wl_sched_order(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
		    wl_order_t *order, const wl_sched_run_t *run);
void wl_sched_ordered(wl_sched_t *sched, uint64_t now_ns, wl_str_t agent,
		      const wl_msg_ordered_t *msg, wl_out_t *out);
void wl_sched_calls_lose(wl_sched_t *sched, uint64_t now_ns, const wl_sched_agent_t *agent,
			 wl_out_t *out);
void wl_sched_calls_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out);
void wl_sched_calls_clear(wl_sched_t *sched);

/* agents.c */
const wl_dispatch_policy_t *wl_dispatch_policy_find(wl_str_t name);
void wl_sched_agents_begin(wl_sched_t *sched);
void wl_sched_agents_clear(wl_sched_t *sched);
void wl_sched_agent_down(wl_sched_t *sched, uint64_t now_ns, wl_str_t name, wl_out_t *out);
void wl_sched_agent_give(wl_sched_agent_t *agent, const wl_order_t *order);
void wl_sched_agents_send(wl_sched_t *sched, wl_out_t *out);
void wl_sched_agent_avoid(wl_sched_runner_t *runner, uint64_t now_ns,
			  const wl_sched_agent_t *agent);
void wl_sched_agent_retry(wl_sched_runner_t *runner, uint64_t now_ns);
wl_str_t wl_sched_report_to(const wl_sched_t *sched, wl_str_t id);

#endif
