#ifndef WL_JOBS_H
#define WL_JOBS_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlcore/evacuation/evacuations.h>
#include <libwlcore/model/cmd.h>

/*
 * The replicated job state: the configuration, evacuated zones, the targets that run tasks, jobs
 * and their runs. Only committed commands change it.
 */

#define WL_TASK_CRASHES_MAX  3 /* proved crashes of targets under a task at which it is given up */
#define WL_TASK_TRIAL_MAX_MS 10000 /* a run that has worked for longer is on no trial */

struct wl_job;
struct wl_runner;

/* A committed start of a task whose end is not committed. */
typedef struct wl_run {
	struct wl_job *job;
	uint64_t task;
	uint64_t number;
	struct wl_runner *runner;
	uint64_t incarnation; /* of the target */
	uint64_t started_ms;  /* when its start was committed; 0: unknown */
	uint64_t start_index; /* of its start in the log; 0: it is from a snapshot */
	/* a later leader than its own committed its start: it may never have been ordered */
	bool doubtful;
	bool announced;	   /* its incarnation of the target has announced that it drains */
	void *leader_data; /* data of the leader */
	TAILQ_ENTRY(wl_run) of_task;
	TAILQ_ENTRY(wl_run) of_runner;
} wl_run_t;

TAILQ_HEAD(wl_run_list, wl_run);

/*
 * Crashes of targets under a task. A gang has one record, that of its first member. Each crashed
 * target has a number, from 1 on, that is the same for all tasks whose runs ended with it.
 */
typedef struct wl_task_crashes {
	uint64_t count;	 /* in a row; 0: the task is not suspected */
	uint64_t crash;	 /* number of the newest one; 0: none */
	uint64_t run;	 /* newest run that counted */
	uint64_t ran_ms; /* how long that run is known to have run */
	uint64_t proved; /* of these: under runs that their target is known to have begun */
} wl_task_crashes_t;

typedef struct wl_job_task {
	uint64_t run; /* number of its newest run; 0: none */
	uint64_t failures;
	uint64_t failed_run; /* newest run that counted as a failure */
	bool done;
	wl_task_crashes_t crashes;
	wl_buf_t checkpoint;	 /* newest; of a gang: at its first member, for all */
	struct wl_run_list runs; /* more than one only if the step is speculative */
} wl_job_task_t;

/* The committed data of a job, as stored in snapshots; the tasks are kept separately. */
typedef struct wl_job_record {
	wl_buf_t id;	/* end of the path at acceptance, behind the prefix; unique over all jobs */
	wl_buf_t queue; /* name of its queue in the last configuration that had one */
	wl_job_spec_t spec;
	uint64_t accepted_ms;
	uint64_t ended_ms; /* 0: it has not ended */
	uint64_t state;	   /* wl_job_state_t */
	wl_buf_t service;  /* of its queue in the last configuration that had one */
	/* of the queue's configuration, when the job was accepted */
	uint64_t priority;
	uint64_t max_attempts;
	uint64_t objective_ms;
	uint64_t slack_millis;
	wl_list_t tasks;      /* wl_job_task_row_t, in snapshots only */
	uint64_t crash;	      /* number of the newest crash under its tasks; 0: none */
	uint64_t crash_count; /* crashed targets */
	bool outage;	      /* some crashed in an outage, and count nevertheless */
	/* the address at which it was accepted; empty: unknown, from an earlier version */
	wl_buf_t host;
	wl_buf_t path;
} wl_job_record_t;

/* Entry of the map of jobs by address. */
typedef struct wl_job_address {
	wl_str_t key; /* host and path */
	wl_buf_t text;
	struct wl_job *job;
} wl_job_address_t;

/*
 * A job belongs to the host and path at which it was accepted: calls find it by these, and its
 * queue is the one that the configuration in force routes them to. Targets know its tasks by its
 * id.
 */
typedef struct wl_job {
	wl_str_t key; /* its id */
	wl_job_record_t record;
	wl_job_address_t address;
	const wl_queue_t *queue; /* in the configuration in force; NULL: none, or the job ended */
	wl_job_task_t *tasks;
	uint64_t task_count;
	/* offset of each step's first task within an occurrence; one more entry for the end */
	uint64_t *step_first;
	uint64_t *step_remaining; /* tasks not done, by occurrence and step */
	uint64_t occurrences;
	uint64_t remaining; /* tasks not done */
	uint64_t suspects;  /* tasks and gangs with crashes */
	/*
	 * A target is known to have begun a task. The leader learns of it first; a replica that
	 * does not know counts the job as pending.
	 */
	bool begun;
	uint64_t active;   /* runs whose end is not committed, also after the job has ended */
	void *leader_data; /* data of the scheduler on the leader; NULL: none */
	TAILQ_ENTRY(wl_job) link;
} wl_job_t;

TAILQ_HEAD(wl_job_list, wl_job);

/* A target that runs tasks of jobs, "runner" in names. */
typedef struct wl_runner {
	wl_str_t key;		   /* its id */
	wl_runner_report_t report; /* newest committed report */
	uint64_t departed_ms;	   /* when it deregistered or was removed, ms; 0: it has not */
	uint64_t crash;		   /* number of its newest crash; 0: none */
	uint64_t crashed_incarnation;
	struct wl_run_list runs;
	TAILQ_ENTRY(wl_runner) link;
} wl_runner_t;

TAILQ_HEAD(wl_runner_list, wl_runner);

/* A cancelling of a job that was not known, as stored in snapshots. */
typedef struct wl_job_cancellation_row {
	wl_buf_t address; /* host and path, as in wl_job_address_t */
	uint64_t at_ms;
} wl_job_cancellation_row_t;

typedef struct wl_job_cancellation {
	wl_str_t key; /* the address */
	wl_job_cancellation_row_t record;
	TAILQ_ENTRY(wl_job_cancellation) link;
} wl_job_cancellation_t;

TAILQ_HEAD(wl_job_cancellations, wl_job_cancellation);

/*
 * The runs of a silent incarnation of a target that have ended as lost, as stored in snapshots. If
 * it has crashed, a later incarnation proves that afterwards.
 */
typedef struct wl_lapse_row {
	wl_buf_t runner;
	uint64_t incarnation;
	wl_buf_t address; /* of the target, as it had reported */
	uint64_t at_ms;	  /* when the newest of the runs ended */
	wl_list_t ends;	  /* wl_run_end_t */
} wl_lapse_row_t;

/* What the leader knows of a lapse. */
typedef enum wl_lapse_state {
	WL_LAPSE_OPEN,
	WL_LAPSE_CRASHED,
	WL_LAPSE_UP,	 /* the target has not crashed */
	WL_LAPSE_SETTLED /* either is proposed */
} wl_lapse_state_t;

typedef struct wl_lapse {
	wl_str_t key; /* id of the target */
	wl_lapse_row_t record;
	wl_lapse_state_t state; /* the leader's, not replicated */
	TAILQ_ENTRY(wl_lapse) link;
} wl_lapse_t;

TAILQ_HEAD(wl_lapses, wl_lapse);

typedef struct wl_jobs {
	uint64_t keep_ms; /* how long an ended job is kept */
	bool configured;
	wl_catalog_t catalog;
	wl_buf_t catalog_text;
	wl_list_t evacuations; /* wl_evacuation_t */
	wl_map_t by_id;
	wl_map_t by_address;
	struct wl_job_list live;
	struct wl_job_list ended; /* in the order in which they ended */
	wl_map_t by_cancelled;
	struct wl_job_cancellations cancellations; /* oldest first */
	wl_map_t by_lapsed;
	struct wl_lapses lapses; /* of the oldest newest end first */
	size_t lapsed_ends;
	wl_map_t by_runner;
	struct wl_runner_list runners;
	/* when the earliest of the departed targets left; 0: none has left */
	uint64_t earliest_departed_ms;
	uint64_t index; /* in the log, of the command that is being applied; 0: unknown */
	uint64_t run_count;
	uint64_t crash_count; /* number of the newest crash of a target */
	uint64_t suspects;    /* tasks and gangs with crashes, of jobs that have not ended */
} wl_jobs_t;

void wl_jobs_init(wl_jobs_t *jobs, uint64_t keep_ms);
void wl_jobs_clear(wl_jobs_t *jobs);
bool wl_jobs_handles(uint64_t cmd_kind);
void wl_jobs_apply(wl_jobs_t *jobs, const wl_cmd_t *cmd, uint64_t clock_ms, wl_result_t *result);
void wl_jobs_expire(wl_jobs_t *jobs, uint64_t clock_ms);

wl_job_t *wl_jobs_find(const wl_jobs_t *jobs, wl_str_t id);
wl_runner_t *wl_jobs_runner(const wl_jobs_t *jobs, wl_str_t id);
wl_lapse_t *wl_jobs_lapse(const wl_jobs_t *jobs, wl_str_t runner);
bool wl_run_end_is_listed(wl_run_outcome_t outcome);
wl_run_t *wl_job_run(const wl_job_t *job, uint64_t task, uint64_t number);
const wl_step_spec_t *wl_job_step(const wl_job_t *job, uint64_t step);
uint64_t wl_job_shared_task(const wl_job_t *job, uint64_t task);
uint64_t wl_task_trial_ms(const wl_task_crashes_t *crashes);
uint64_t wl_task_crashes_next(const wl_task_crashes_t *crashes, uint64_t ran_ms);
void wl_job_task_ref(const wl_job_t *job, uint64_t task, wl_task_ref_t *ref);
bool wl_job_task_index(const wl_job_t *job, const wl_task_ref_t *ref, uint64_t *task);
uint64_t *wl_job_step_remaining(const wl_job_t *job, uint64_t occurrence, uint64_t step);
bool wl_job_step_open(const wl_job_t *job, uint64_t occurrence, uint64_t step);
uint64_t wl_job_due_ms(const wl_job_t *job, uint64_t occurrence);
bool wl_job_ended(const wl_job_t *job);
uint64_t wl_jobs_pending(const wl_jobs_t *jobs, const wl_queue_t *queue);
void wl_jobs_catalog_changed(wl_jobs_t *jobs);
wl_job_t *wl_jobs_at(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path);
wl_job_t *wl_jobs_by_path(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path,
			  const wl_queue_t **queue);
bool wl_jobs_resolve(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path, const wl_queue_t **queue,
		     wl_job_t **job, wl_result_t *result);
bool wl_jobs_accepted(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path, wl_result_t *result);
bool wl_jobs_is_cancelled(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path);
const wl_job_t *wl_jobs_elsewhere(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path);
bool wl_runner_report_is_newer(const wl_runner_t *runner, const wl_runner_report_t *report);
bool wl_runner_report_changes(const wl_runner_t *runner, const wl_runner_report_t *report);

/* Records of snapshots; a run's is a wl_run_start_t. */
typedef struct wl_job_task_row {
	uint64_t run;
	uint64_t failures;
	uint64_t failed_run;
	bool done;
	wl_buf_t checkpoint;
	wl_task_crashes_t crashes;
} wl_job_task_row_t;

typedef struct wl_runner_record {
	wl_runner_report_t report;
	uint64_t departed_ms;
	uint64_t crash;
	uint64_t crashed_incarnation;
} wl_runner_record_t;

extern const wl_schema_t wl_job_record_schema;
extern const wl_schema_t wl_job_cancellation_schema;
extern const wl_schema_t wl_lapse_row_schema;
extern const wl_schema_t wl_runner_record_schema;
extern const wl_schema_t wl_run_record_schema;

void wl_job_cancellations_fill(const wl_jobs_t *jobs, wl_list_t *rows);
void wl_job_cancellations_restore(wl_jobs_t *jobs, const wl_list_t *rows);
void wl_lapses_fill(const wl_jobs_t *jobs, wl_list_t *rows);
void wl_lapses_restore(wl_jobs_t *jobs, const wl_list_t *rows);
void wl_job_rows_fill(const wl_job_t *job, wl_job_record_t *record);
wl_job_t *wl_jobs_restore(wl_jobs_t *jobs, wl_job_record_t *record);
wl_runner_t *wl_jobs_restore_runner(wl_jobs_t *jobs, wl_runner_record_t *record);
bool wl_jobs_restore_run(wl_jobs_t *jobs, const wl_run_start_t *row);

#endif
