#ifndef WL_CMD_H
#define WL_CMD_H

#include <libwlcore/model/job.h>
#include <libwlcore/model/model.h>

/* Commands: the records of the replicated log.  Each is idempotent, so it may be sent again. */

typedef enum wl_cmd_kind {
	WL_CMD_NONE,
	WL_CMD_LIST_PUT,
	WL_CMD_SESSION_OPEN,
	WL_CMD_SESSION_END,
	WL_CMD_TARGET_OWN,
	WL_CMD_TARGET_FORGET,
	WL_CMD_TASK_ADD,
	WL_CMD_TASK_CANCEL,
	WL_CMD_TASK_ASSIGN,
	WL_CMD_TASK_REPORT,
	WL_CMD_KEY_BEGIN,
	WL_CMD_KEY_END,
	WL_CMD_CATALOG_PUT,
	WL_CMD_JOB_ADD,
	WL_CMD_JOB_CANCEL,
	WL_CMD_RUNS_START,
	WL_CMD_RUNS_END,
	WL_CMD_RUNNER_PUT,
	WL_CMD_ZONE_EVACUATE,
	WL_CMD_KINDS
} wl_cmd_kind_t;

typedef enum wl_list_name {
	WL_LIST_CUSTOMERS,
	WL_LIST_PLANS,
} wl_list_name_t;

/*
 * Replaces a list.  Applied only if base is the current version; an equal change that is repeated
 * gets the same answer.
 */
typedef struct wl_cmd_list_put {
	uint64_t list;	 /* wl_list_name_t */
	uint64_t base;	 /* version that the change is based on */
	wl_buf_t digest; /* sha256 of text, hex */
	wl_buf_t text;	 /* JSON */
} wl_cmd_list_put_t;

typedef struct wl_cmd_session_open {
	wl_buf_t entry;	  /* name of the daemon */
	uint64_t boot;	  /* random, generated at each start of the daemon */
	wl_buf_t address; /* peer address, IP:port */
	wl_buf_t availability_zone;
} wl_cmd_session_open_t;

typedef struct wl_cmd_session_end {
	uint64_t session;
} wl_cmd_session_end_t;

/* Assigns the ownership of a target to a session; the index of the command is the epoch. */
typedef struct wl_cmd_target_own {
	wl_buf_t target;
	wl_buf_t address;
	wl_buf_t availability_zone;
	wl_buf_t rack;
	wl_list_t services; /* strings */
	uint64_t session;
	uint64_t from_epoch; /* rejected unless this is its current epoch; 0: not yet owned */
} wl_cmd_target_own_t;

typedef struct wl_cmd_target_forget {
	wl_buf_t target;
	uint64_t epoch;
} wl_cmd_target_forget_t;

typedef struct wl_cmd_task_add {
	wl_buf_t customer;
	wl_buf_t key;	/* Idempotency-Key; empty: none */
	uint64_t nonce; /* of the call, so that its resends add one task only */
	wl_task_spec_t spec;
} wl_cmd_task_add_t;

typedef struct wl_cmd_task_cancel {
	wl_buf_t customer; /* only tasks of this customer are cancelled */
	wl_list_t tasks;   /* strings */
} wl_cmd_task_cancel_t;

typedef struct wl_assignment {
	wl_buf_t task;
	uint64_t attempt; /* number of the attempt that this assignment starts */
	wl_buf_t target;
	uint64_t epoch; /* of the target's ownership */
	uint64_t boot;	/* of the target that it is for; 0: unknown */
} wl_assignment_t;

typedef struct wl_cmd_task_assign {
	wl_list_t assignments; /* wl_assignment_t */
} wl_cmd_task_assign_t;

typedef enum wl_report_kind {
	WL_REPORT_STARTED,
	WL_REPORT_REFUSED, /* the attempt never started and never will */
	WL_REPORT_FINISHED,
	WL_REPORT_FAILED,     /* the target ran the attempt and it failed */
	WL_REPORT_CHECKPOINT, /* taken for an eviction; the attempt still runs */
	WL_REPORT_STOPPED, /* the attempt ran and is confirmed as stopped: evicted or cancelled */
	WL_REPORT_LOST,	   /* unreachable past every possible lease: it no longer runs */
	WL_REPORT_UNPLACEABLE, /* from the leader: no target can ever run the task */
	WL_REPORT_KINDS
} wl_report_kind_t;

/* Report on an attempt. */
typedef struct wl_report {
	wl_buf_t task;
	uint64_t attempt;
	wl_buf_t target;
	uint64_t epoch;
	uint64_t kind; /* wl_report_kind_t */
	wl_buf_t result;
	wl_buf_t checkpoint;
	wl_buf_t reason;
	uint64_t ran_ms;     /* run time of the attempt, for estimates of run times */
	uint64_t cpu_millis; /* highest use observed */
	uint64_t memory_mib;
	bool crashed; /* LOST: the target restarted under the attempt and had not announced it */
} wl_report_t;

typedef struct wl_cmd_task_report {
	wl_list_t reports; /* wl_report_t */
} wl_cmd_task_report_t;

typedef struct wl_cmd_key_begin {
	wl_buf_t customer;
	wl_buf_t key;
	wl_buf_t digest; /* of method, path and body; another request may not reuse the key */
	uint64_t session;
	uint64_t nonce; /* of the call: its resends belong to the same run */
} wl_cmd_key_begin_t;

typedef struct wl_cmd_key_end {
	wl_buf_t customer;
	wl_buf_t key;
	uint64_t nonce;
	uint64_t verdict; /* wl_verdict_t; not-run releases the key */
	uint64_t status;  /* HTTP status of the answer */
	wl_buf_t content_type;
	wl_buf_t body;
} wl_cmd_key_end_t;

/*
 * Replaces the configuration if its version is higher; otherwise it is acknowledged and nothing
 * changes.
 */
typedef struct wl_cmd_catalog_put {
	wl_catalog_t catalog;
	wl_buf_t text; /* as the operator sent it, for CATALOG_GET */
} wl_cmd_catalog_put_t;

/* Adds a job; a job of an id that exists is the same job. */
typedef struct wl_cmd_job_add {
	wl_buf_t host; /* host and path select the queue; its prefix is followed by the job's id */
	wl_buf_t path;
	wl_job_spec_t spec;
} wl_cmd_job_add_t;

typedef struct wl_cmd_job_cancel {
	wl_buf_t host;
	wl_buf_t path;
} wl_cmd_job_cancel_t;

/* Evacuates an availability zone, or withdraws that; the latest one for a zone is in force. */
typedef struct wl_cmd_zone_evacuate {
	wl_buf_t availability_zone;
	bool withdrawn;
	uint64_t basis; /* valid only if the leader still names it; 0: valid in any case */
} wl_cmd_zone_evacuate_t;

/* Committed before the start order is sent, so that every later leader has the run. */
typedef struct wl_run_start {
	wl_buf_t job;
	uint64_t task; /* position in the job, counted over occurrences and steps */
	uint64_t run;  /* increases with each run of a task; the same for all members of a gang */
	wl_buf_t runner;
	uint64_t incarnation; /* of the target */
	/* in snapshots only */
	uint64_t started_ms; /* when the start was committed; 0: unknown */
	bool doubtful;	     /* as in wl_run_t, and so is the next */
	bool announced;
} wl_run_start_t;

typedef struct wl_cmd_runs_start {
	wl_list_t runs; /* wl_run_start_t */
} wl_cmd_runs_start_t;

typedef struct wl_run_end {
	wl_buf_t job;
	uint64_t task;
	uint64_t run;
	wl_buf_t runner;
	uint64_t outcome;    /* wl_run_outcome_t */
	wl_buf_t checkpoint; /* empty: none */
	uint64_t ran_ms;     /* CRASHED: how long it is known to have run */
	bool outage;	     /* CRASHED: in an outage, which is weak evidence against its task */
	bool unconfirmed;    /* CRASHED: nothing shows that the target had begun it */
	/* of late crashes, and of runs on silent targets */
	uint64_t incarnation; /* of the target */
	bool alone;	      /* it was on trial alone */
	bool silent;	      /* LOST: its target is silent, and may have crashed */
} wl_run_end_t;

/* A run that works on, and has worked for so long that earlier crashes were not due to its task. */
typedef struct wl_run_sound {
	wl_buf_t job;
	uint64_t task;
	uint64_t run;
} wl_run_sound_t;

/* Whether nothing shows that the order of a committed start was ever sent. */
typedef struct wl_run_doubt {
	wl_buf_t job;
	uint64_t task;
	uint64_t run;
	bool over; /* the target has it */
} wl_run_doubt_t;

/* A silent incarnation of a target of which it is known now whether it has crashed. */
typedef struct wl_lapse_over {
	wl_buf_t runner;
	uint64_t incarnation;
} wl_lapse_over_t;

typedef struct wl_cmd_runs_end {
	wl_list_t ends;	       /* wl_run_end_t */
	wl_list_t sound;       /* wl_run_sound_t */
	wl_list_t doubts;      /* wl_run_doubt_t */
	wl_list_t late;	       /* wl_run_end_t: crashes of runs that had been taken for lost */
	wl_list_t lapses_over; /* wl_lapse_over_t */
} wl_cmd_runs_end_t;

typedef struct wl_cmd {
	uint64_t kind;	/* wl_cmd_kind_t */
	uint64_t at_ms; /* the group's clock, stamped by the leader */
	union {
		wl_cmd_list_put_t list_put;
		wl_cmd_session_open_t session_open;
		wl_cmd_session_end_t session_end;
		wl_cmd_target_own_t target_own;
		wl_cmd_target_forget_t target_forget;
		wl_cmd_task_add_t task_add;
		wl_cmd_task_cancel_t task_cancel;
		wl_cmd_task_assign_t task_assign;
		wl_cmd_task_report_t task_report;
		wl_cmd_key_begin_t key_begin;
		wl_cmd_key_end_t key_end;
		wl_cmd_catalog_put_t catalog_put;
		wl_cmd_job_add_t job_add;
		wl_cmd_job_cancel_t job_cancel;
		wl_cmd_runs_start_t runs_start;
		wl_cmd_runs_end_t runs_end;
		wl_runner_report_t runner_put;
		wl_cmd_zone_evacuate_t zone_evacuate;
	} u;
} wl_cmd_t;

typedef enum wl_key_state {
	WL_KEY_FRESH,	/* claimed by this call: send the request */
	WL_KEY_RUNNING, /* claimed by another call that has no outcome yet */
	WL_KEY_DONE,	/* the outcome is in the result */
	WL_KEY_LOST,	/* the request may have run; its outcome will never be known */
} wl_key_state_t;

/* Result of a command or query, returned to its sender. */
typedef struct wl_result {
	uint64_t code;	    /* wl_code_t */
	uint64_t verdict;   /* wl_verdict_t of the command, or of the stored outcome of a key */
	wl_buf_t text;	    /* of an error */
	uint64_t index;	    /* log index: session id, epoch, revision */
	uint64_t version;   /* list: current version */
	wl_buf_t id;	    /* task */
	uint64_t key_state; /* wl_key_state_t */
	uint64_t status;    /* stored HTTP status of a key */
	wl_buf_t content_type;
	wl_buf_t body;	    /* stored body of a key; JSON of a query */
	uint64_t job_state; /* wl_job_state_t */
	bool is_queue;	    /* the path names a queue; pending counts its unstarted jobs */
	uint64_t pending;
	uint64_t retry_ms;  /* rejection: delay before a retry, ms; 0: none given */
	wl_buf_t report_to; /* report: name of the replica that takes the target's later reports */
} wl_result_t;

extern const wl_schema_t wl_run_start_schema;
extern const wl_schema_t wl_run_end_schema;
extern const wl_schema_t wl_run_sound_schema;
extern const wl_schema_t wl_run_doubt_schema;
extern const wl_schema_t wl_lapse_over_schema;
extern const wl_schema_t wl_report_schema;
extern const wl_schema_t wl_assignment_schema;
extern const wl_schema_t wl_result_schema;

void wl_cmd_free(wl_cmd_t *cmd);
void wl_cmd_copy(wl_cmd_t *to, const wl_cmd_t *from);
void wl_cmd_pack(const wl_cmd_t *cmd, wl_buf_t *out);
bool wl_cmd_unpack(wl_str_t bytes, wl_cmd_t *cmd, wl_err_t *err);
const char *wl_cmd_name(uint64_t kind);
void wl_result_free(wl_result_t *result);
void wl_result_error(wl_result_t *result, const wl_err_t *err);
void wl_result_ok(wl_result_t *result, uint64_t index);
void wl_result_fail(wl_result_t *result, wl_code_t code, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
