#ifndef WL_JOB_H
#define WL_JOB_H

#include <libwlbase/record.h>

/*
 * Records of jobs: what callers submit, operators configure, and targets that run
 * tasks report.
 *
 * A job has steps, a step has tasks, and each start of a task is a run.  A job
 * that repeats has occurrences, each of which runs all steps.
 */

#define WL_JOB_MAX_STEPS 64 /* so that a step's dependencies fit into 64 bits */
#define WL_JOB_MAX_TASKS \
	20000 /* over all occurrences: bounds the state that one call adds to the replicas */

typedef struct wl_step_spec {
	uint64_t count; /* number of tasks */
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint64_t estimated_ms; /* rough estimate of the run time of a task */
	uint64_t after;	       /* bit N: all tasks of step N must be done before this step starts */
	bool checkpoints;      /* its tasks save their progress */
	bool gang;	       /* its tasks make progress only while all of them run */
	bool same_rack;	       /* slower when spread over racks */
	bool lasting;	       /* its tasks run until the job is cancelled */
	bool speculative;      /* several runs of a task may overlap; the first to finish counts */
	bool best_effort;      /* its tasks use only processors that other tasks leave idle */
	wl_buf_t label;	       /* label that the target must have; empty: any target */
	wl_buf_t data_rack;    /* rack of its data: tasks are slower on other racks; empty: none */
	uint64_t max_per_target;  /* tasks of an occurrence on one target; 0: no limit */
	uint64_t max_unavailable; /* lasting: limit of unavailable tasks; 0: none */
	wl_buf_t image;		  /* tasks of the same image behave alike */
	uint64_t tail_target_us;  /* lasting: bound on the users' tail latency; 0: none */
} wl_step_spec_t;

typedef struct wl_job_spec {
	wl_buf_t payload;  /* passed unchanged to every run */
	wl_list_t steps;   /* wl_step_spec_t */
	uint64_t repeat;   /* number of timed occurrences; 0: a single one, without delay */
	uint64_t first_ms; /* Unix time at which the first occurrence is due */
	uint64_t every_ms; /* interval from one occurrence to the next */
} wl_job_spec_t;

/* Time limits of a service that decides where a queue's steps may run; see docs/design/jobs.md. */
typedef struct wl_advice_spec {
	uint64_t question_ms;	/* for one request to it */
	uint64_t per_target_ms; /* additional time for each target in the request */
	uint64_t validity_ms;	/* validity of a ticket */
} wl_advice_spec_t;

/* A queue of jobs, chosen by the host and the longest path prefix of a call. */
typedef struct wl_queue {
	wl_buf_t name;
	wl_buf_t host;
	wl_buf_t prefix;
	wl_buf_t service; /* service whose targets run its tasks */
	uint64_t timeout_ms;
	uint64_t objective_ms;
	uint64_t priority;	 /* 0 is the highest */
	uint64_t max_attempts;	 /* number of failed runs of one task at which the job fails */
	uint64_t slack_millis;	 /* a job is on time within this many thousandths of its own work */
	wl_advice_spec_t advice; /* all zero: its tasks require no ticket */
} wl_queue_t;

typedef struct wl_service {
	wl_buf_t name;
	wl_buf_t health_path;
	uint64_t max_connections;
	bool refuses_overload; /* its targets reject work that exceeds their capacity */
	bool standby;	       /* its machines are powered off */
} wl_service_t;

/* The operator's configuration: queues and services under one version. */
typedef struct wl_catalog {
	uint64_t version;
	wl_list_t queues;   /* wl_queue_t */
	wl_list_t services; /* wl_service_t */
} wl_catalog_t;

/* Report of a runner.  A runner is a target that runs the tasks of jobs. */
typedef struct wl_runner_report {
	wl_buf_t id;
	wl_buf_t service;
	wl_buf_t address; /* IP:port */
	wl_buf_t availability_zone;
	wl_list_t labels; /* strings */
	wl_buf_t rack;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint64_t incarnation; /* Unix time of its start, ms; distinguishes incarnations of one id */
	uint64_t sequence;    /* increases within an incarnation */
	uint64_t clock_ms;    /* its monotonic clock */
	uint64_t warmup_ms;   /* remaining time for which it is slow after its start */
	uint64_t remaining_ms; /* draining: minimum time until it exits; 0: none given */
	bool draining;
	bool exiting; /* it exits now */
	wl_buf_t machine;
	/* set by the leader: an incarnation that is known to have ended before, though it was born
	 * later by the time of day; 0: none */
	uint64_t supersedes;
} wl_runner_report_t;

/* A task: occurrence, step and index count from 0. */
typedef struct wl_task_ref {
	wl_buf_t job;
	uint64_t occurrence;
	uint64_t step;
	uint64_t index;
} wl_task_ref_t;

typedef enum wl_run_outcome {
	WL_END_DONE,
	WL_END_FAILED,
	WL_END_STOPPED,
	WL_END_LEASE_EXPIRED,	/* its lease expired */
	WL_END_GANG_BROKEN,	/* another member of its gang has ended */
	WL_END_GANG_INCOMPLETE, /* the other members of its gang did not start in time */
	WL_END_LOST, /* its target has exited, or has been unreachable for longer than any lease */
	WL_END_NOT_STARTED, /* it did not start and never will */
	WL_END_CRASHED,	    /* its target crashed */
	WL_END_OUTCOMES
} wl_run_outcome_t;

extern const char *const wl_run_outcome_names[];

typedef enum wl_job_state {
	WL_JOB_QUEUED, /* no task has started */
	WL_JOB_RUNNING,
	WL_JOB_COMPLETED,
	WL_JOB_FAILED,
	WL_JOB_CANCELLED,
	WL_JOB_STATES
} wl_job_state_t;

extern const char *const wl_job_state_names[];

extern const wl_schema_t wl_step_spec_schema;
extern const wl_schema_t wl_job_spec_schema;
extern const wl_schema_t wl_queue_schema;
extern const wl_schema_t wl_service_schema;
extern const wl_schema_t wl_catalog_schema;
extern const wl_schema_t wl_runner_report_schema;
extern const wl_schema_t wl_task_ref_schema;

uint64_t wl_job_spec_tasks(const wl_job_spec_t *spec);
bool wl_job_spec_check(const wl_job_spec_t *spec, wl_err_t *err);
bool wl_catalog_check(const wl_catalog_t *catalog, wl_err_t *err);
void wl_catalog_sort(wl_catalog_t *catalog);
const wl_queue_t *wl_catalog_route(const wl_catalog_t *catalog, wl_str_t host, wl_str_t path);
const wl_queue_t *wl_catalog_queue(const wl_catalog_t *catalog, wl_str_t name);
const wl_service_t *wl_catalog_service(const wl_catalog_t *catalog, wl_str_t name);

#endif
