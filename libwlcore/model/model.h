#ifndef WL_MODEL_H
#define WL_MODEL_H

#include <libwlbase/record.h>

/* Records of the HTTP interface: customers, plans, tasks, targets.  docs/API.md describes them. */

/*
 * Numbers that tell one generation of something from the next:
 *
 *   boot         random, of one start of a daemon, or of a target that sends wl_announce_t
 *   incarnation  Unix time in ms, of one start of a runner (wl_runner_report_t)
 *   session      log index of the command that opened an entry's session; a boot may have
 *                several, one after the other
 *   epoch        log index of the grant of a target's ownership; in a wl_order_t, the leader's
 *                term
 *   term         of the replicated log; each election has a higher one
 *   nonce        of one call, so that its resends are recognised
 */

typedef enum wl_class {
	WL_CLASS_URGENT,
	WL_CLASS_BATCH,
} wl_class_t;

typedef struct wl_customer {
	wl_buf_t name;
	wl_buf_t plan;
	wl_buf_t token_sha256; /* hex; empty: no token is required */
} wl_customer_t;

typedef struct wl_customers {
	wl_list_t customers; /* wl_customer_t */
} wl_customers_t;

typedef struct wl_plan {
	wl_buf_t name;
	uint64_t weight;
	wl_list_t services; /* strings */
	wl_list_t classes;  /* strings: "urgent", "batch" */
	uint64_t max_concurrent;
	uint64_t requests_per_second;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
} wl_plan_t;

typedef struct wl_plans {
	wl_list_t plans; /* wl_plan_t */
} wl_plans_t;

/* Resources that a request or task requires, or that a target has. */
typedef struct wl_need {
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint64_t slots;
	uint64_t connections;
} wl_need_t;

typedef struct wl_task_spec {
	wl_buf_t kind;
	wl_buf_t service;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint64_t run_ms;     /* declared run time, ms */
	uint64_t work_class; /* wl_class_t */
	bool restartable;
	wl_buf_t payload;
} wl_task_spec_t;

/* One task as a target reports it in an announce or in its answer to an adoption. */
typedef struct wl_task_usage {
	wl_buf_t id;
	uint64_t attempt;
	wl_buf_t kind;
	uint64_t state; /* wl_run_state_t */
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t progress_permille;
	uint64_t slowdown_permille; /* run time so far over run time alone; 1000: no slowdown */
	bool throttled;
	wl_buf_t result;     /* of a finished task, kept until acknowledged */
	wl_buf_t reason;     /* of a failed task */
	wl_buf_t checkpoint; /* the latest; empty: none */
	wl_need_t need;	     /* reservation made by the owner that started it */
	uint64_t work_class; /* wl_class_t */
	bool restartable;
	uint64_t ran_ms;
} wl_task_usage_t;

typedef enum wl_run_state {
	WL_RUN_RUNNING,
	WL_RUN_FINISHED,
	WL_RUN_FAILED,
	WL_RUN_STOPPED,
} wl_run_state_t;

typedef struct wl_usage {
	uint64_t taken_ms_ago;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t running_requests;
	uint64_t old_epoch_requests; /* running requests sent with an epoch below the highest */
} wl_usage_t;

typedef enum wl_announce_state {
	WL_ANNOUNCE_READY,
	WL_ANNOUNCE_DRAINING,
} wl_announce_state_t;

typedef struct wl_announce {
	wl_buf_t name;
	wl_buf_t address;   /* IP:port of its HTTP listener */
	uint64_t boot;	    /* random, generated at each start of the target */
	uint64_t seq;	    /* increases with each announce of one boot */
	wl_list_t services; /* strings */
	wl_buf_t availability_zone;
	wl_buf_t rack;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint64_t slots;
	uint64_t connections;
	uint64_t state; /* wl_announce_state_t */
	wl_usage_t usage;
	wl_list_t tasks; /* wl_task_usage_t: all tasks that it runs or keeps a result of */
} wl_announce_t;

/* An attempt whose lease is renewed. */
typedef struct wl_target_lease {
	wl_buf_t task;
	uint64_t attempt;
} wl_target_lease_t;

/* Fields of a command to a target; those marked with a kind are set for that kind only. */
typedef struct wl_target_command {
	uint64_t epoch;
	uint64_t boot;
	uint64_t seq; /* latest announce that the owner received */
	wl_buf_t task;
	uint64_t attempt;
	uint64_t lease_ms;     /* counted by the target from the time of announce seq */
	uint64_t cpu_permille; /* throttle: permitted share of its cpu_millis, thousandths */
	wl_task_spec_t spec;   /* start */
	wl_buf_t checkpoint;   /* start: resume from here */
	wl_need_t need;	       /* start: reservation; the target reports it back */
	wl_list_t leases;      /* renew: wl_target_lease_t */
} wl_target_command_t;

/* Answer of a target to a command. */
typedef struct wl_target_answer {
	uint64_t epoch; /* highest epoch that the target has received */
	uint64_t boot;
	uint64_t seq;
	uint64_t running_requests;
	wl_list_t tasks;     /* wl_task_usage_t; adopt: all tasks */
	wl_buf_t checkpoint; /* checkpoint */
	wl_buf_t error;
	uint64_t old_epoch_requests; /* running requests that were sent with a lower epoch */
} wl_target_answer_t;

extern const char *const wl_class_names[];
extern const char *const wl_run_state_names[];
extern const char *const wl_announce_state_names[];

extern const wl_schema_t wl_customer_schema;
extern const wl_schema_t wl_customers_schema;
extern const wl_schema_t wl_plan_schema;
extern const wl_schema_t wl_plans_schema;
extern const wl_schema_t wl_need_schema;
extern const wl_schema_t wl_task_spec_schema;
extern const wl_schema_t wl_task_usage_schema;
extern const wl_schema_t wl_usage_schema;
extern const wl_schema_t wl_announce_schema;
extern const wl_schema_t wl_target_lease_schema;
extern const wl_schema_t wl_target_command_schema;
extern const wl_schema_t wl_target_answer_schema;

#endif
