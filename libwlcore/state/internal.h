#ifndef WL_STATE_INTERNAL_H
#define WL_STATE_INTERNAL_H

#include <sys/queue.h>

#include <libwlcore/job/jobs.h>

#include "state.h"

/* Internals of the replicated state.  The leader reads them; only commands modify them. */

typedef enum wl_task_state {
	WL_TASK_QUEUED,
	WL_TASK_ASSIGNED, /* assignment committed, start not confirmed */
	WL_TASK_RUNNING,
	WL_TASK_EVICTING, /* checkpoint committed, stop not confirmed */
	WL_TASK_STOPPING, /* cancelled, stop not confirmed */
	WL_TASK_DONE,
	WL_TASK_FAILED,
	WL_TASK_CANCELLED,
	WL_TASK_REFUSED,
	WL_TASK_UNKNOWN, /* it may have run, and must not run again */
	WL_TASK_STATES
} wl_task_state_t;

typedef enum wl_task_event {
	WL_TASK_EV_ASSIGN,
	WL_TASK_EV_START,
	WL_TASK_EV_REFUSE,
	WL_TASK_EV_FINISH,
	WL_TASK_EV_FAIL,
	WL_TASK_EV_GIVE_UP,
	WL_TASK_EV_CHECKPOINT,
	WL_TASK_EV_STOP,
	WL_TASK_EV_STOP_FOR_GOOD,
	WL_TASK_EV_LOSE,
	WL_TASK_EV_LOSE_FOR_GOOD,
	WL_TASK_EV_CANCEL,
	WL_TASK_EV_REJECT,
} wl_task_event_t;

extern const char *const wl_task_state_names[];

/* The part of a task that is stored in snapshots. */
typedef struct wl_task_record {
	uint64_t number; /* log index of the command that added it */
	wl_buf_t customer;
	wl_buf_t key;
	uint64_t nonce;
	wl_task_spec_t spec;
	uint64_t state; /* wl_task_state_t */
	uint64_t attempt;
	wl_buf_t target; /* of the latest attempt */
	uint64_t epoch;	 /* under which the latest attempt was assigned */
	bool started;
	uint64_t added_ms;
	uint64_t assigned_ms;
	uint64_t ended_ms;
	uint64_t evictions;
	uint64_t failures;
	wl_list_t failed_on; /* strings: targets on which it failed */
	wl_buf_t checkpoint;
	wl_buf_t result;
	wl_buf_t reason;
	wl_buf_t digest;	   /* of the spec, to recognise a repeated add */
	wl_need_t held;		   /* share of the customer's plan that the latest attempt holds */
	uint64_t boot;		   /* of the target that the latest attempt is for; 0: unknown */
	wl_task_crashes_t crashes; /* run: the attempt; crash is not used */
} wl_task_record_t;

extern const wl_schema_t wl_task_record_schema;

struct wl_state_customer;
struct wl_state_target;

typedef struct wl_task {
	wl_str_t key; /* its id */
	wl_buf_t id;
	wl_task_record_t record;
	struct wl_state_customer *customer;
	struct wl_state_target *target;	  /* of the present attempt, or NULL */
	TAILQ_ENTRY(wl_task) link;	  /* in the live or the ended tasks */
	TAILQ_ENTRY(wl_task) queue;	  /* in its customer's queue, while queued */
	TAILQ_ENTRY(wl_task) target_link; /* in its target's list, while assigned */
} wl_task_t;

TAILQ_HEAD(wl_task_list, wl_task);
typedef struct wl_task_list wl_task_list_t;

#define WL_CLASSES 2

/* A customer's queued and assigned tasks; derived from the tasks, not stored in snapshots. */
typedef struct wl_state_customer {
	wl_str_t key;
	wl_buf_t name;
	wl_task_list_t queued[WL_CLASSES]; /* oldest task first */
	uint64_t queued_count[WL_CLASSES];
	uint64_t held_count;
	wl_need_t held[WL_CLASSES]; /* total need of its assigned attempts */
	TAILQ_ENTRY(wl_state_customer) link;
} wl_state_customer_t;

/* An alternative lookup key of a task: its idempotency key or its nonce. */
typedef struct wl_task_alias {
	wl_str_t key;
	wl_buf_t text;
	wl_task_t *task;
} wl_task_alias_t;

typedef struct wl_state_session {
	uint64_t id;
	wl_buf_t entry;
	uint64_t boot;
	wl_buf_t address;
	wl_buf_t availability_zone;
	TAILQ_ENTRY(wl_state_session) link;
} wl_state_session_t;

typedef struct wl_state_target {
	wl_str_t key;
	wl_owner_row_t row; /* its field "running" is filled only in views */
	uint64_t changed;   /* log index of its latest ownership change */
	wl_task_list_t assigned;
	uint64_t assigned_count;
	TAILQ_ENTRY(wl_state_target) link; /* sorted by changed */
} wl_state_target_t;

/* The answer to an accepted list change, kept for resends of it. */
typedef struct wl_state_change {
	wl_str_t key;
	wl_buf_t text; /* list, base version and digest */
	uint64_t version;
	uint64_t index;
	TAILQ_ENTRY(wl_state_change) link;
} wl_state_change_t;

typedef struct wl_state_key {
	wl_str_t key;
	wl_buf_t text;
	wl_buf_t digest;
	uint64_t session;
	uint64_t nonce;
	uint64_t state; /* wl_key_state_t; never FRESH */
	uint64_t ended_ms;
	uint64_t verdict;
	uint64_t status;
	wl_buf_t content_type;
	wl_buf_t body;
	TAILQ_ENTRY(wl_state_key) link;
} wl_state_key_t;

TAILQ_HEAD(wl_state_keys, wl_state_key);

typedef struct wl_state_ended_call_row {
	wl_buf_t id; /* customer, key and nonce */
	uint64_t ended_ms;
} wl_state_ended_call_row_t;

/* A call with a key that has ended without its request. */
typedef struct wl_state_ended_call {
	wl_str_t key;
	wl_state_ended_call_row_t row;
	TAILQ_ENTRY(wl_state_ended_call) link;
} wl_state_ended_call_t;

extern const wl_schema_t wl_state_ended_call_schema;

/* Measured resource use of a kind of task: moving averages, each sample weighs one eighth. */
typedef struct wl_state_kind {
	wl_str_t key;
	wl_buf_t name;
	uint64_t samples;
	uint64_t run_ms;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	TAILQ_ENTRY(wl_state_kind) link;
} wl_state_kind_t;

typedef struct wl_state_list {
	uint64_t version;
	wl_buf_t text;
} wl_state_list_t;

#define WL_LISTS 2

struct wl_state {
	wl_state_options_t options;
	uint64_t index;
	uint64_t clock_ms;
	uint64_t revision;
	wl_state_list_t list[WL_LISTS];
	wl_lists_t *lists;
	wl_map_t by_change;
	TAILQ_HEAD(wl_state_changes, wl_state_change) changes;
	uint64_t change_count;

	TAILQ_HEAD(wl_state_sessions, wl_state_session) sessions;

	wl_map_t by_target;
	TAILQ_HEAD(wl_state_targets, wl_state_target) targets;
	uint64_t owners_index; /* log index of the latest ownership change */
	uint64_t owners_floor; /* rows forgotten at or before this index may have been dropped */
	uint64_t forgotten_count;

	wl_map_t by_task;
	wl_map_t by_alias;
	wl_task_list_t live;
	wl_task_list_t ended;
	uint64_t live_count;
	wl_map_t by_customer;
	TAILQ_HEAD(wl_state_customers, wl_state_customer) customers;

	wl_map_t by_key;
	struct wl_state_keys keys_running;
	struct wl_state_keys keys_ended;
	wl_map_t by_ended_call;
	TAILQ_HEAD(wl_state_ended_calls, wl_state_ended_call) ended_calls; /* oldest first */

	wl_map_t by_kind;
	TAILQ_HEAD(wl_state_kinds, wl_state_kind) kinds;

	wl_jobs_t jobs;
};

/* state.c */
void wl_state_init_empty(wl_state_t *state);
void wl_state_clear(wl_state_t *state);

/* list_put.c */
void wl_state_list_put(wl_state_t *state, uint64_t index, const wl_cmd_list_put_t *cmd,
		       wl_result_t *result);
void wl_state_change_keep(wl_state_t *state, wl_str_t text, uint64_t version, uint64_t index);
void wl_state_changes_clear(wl_state_t *state);

/* sessions.c */
wl_state_session_t *wl_state_session_find(const wl_state_t *state, uint64_t id);
wl_state_session_t *wl_state_session_of_entry(const wl_state_t *state, wl_str_t entry);
wl_state_session_t *wl_state_session_add(wl_state_t *state, uint64_t id);
void wl_state_session_open(wl_state_t *state, uint64_t index, const wl_cmd_session_open_t *cmd,
			   wl_result_t *result);
void wl_state_session_end(wl_state_t *state, uint64_t index, const wl_cmd_session_end_t *cmd,
			  wl_result_t *result);
void wl_state_sessions_clear(wl_state_t *state);

/* owners.c */
wl_state_target_t *wl_state_target_find(const wl_state_t *state, wl_str_t name);
wl_state_target_t *wl_state_target_add(wl_state_t *state, wl_str_t name);
void wl_state_owners_release(wl_state_t *state, uint64_t index, uint64_t session);
void wl_state_target_own(wl_state_t *state, uint64_t index, const wl_cmd_target_own_t *cmd,
			 wl_result_t *result);
void wl_state_target_forget(wl_state_t *state, uint64_t index, const wl_cmd_target_forget_t *cmd,
			    wl_result_t *result);
void wl_state_targets_clear(wl_state_t *state);

/* tasks.c */
wl_task_t *wl_state_task_find(const wl_state_t *state, wl_str_t id);
void wl_state_task_add(wl_state_t *state, uint64_t index, const wl_cmd_task_add_t *cmd,
		       wl_result_t *result);
void wl_state_task_cancel(wl_state_t *state, uint64_t index, const wl_cmd_task_cancel_t *cmd,
			  wl_result_t *result);
void wl_state_task_assign(wl_state_t *state, uint64_t index, const wl_cmd_task_assign_t *cmd,
			  wl_result_t *result);
bool wl_task_ended(const wl_task_t *task);
bool wl_state_task_known(const wl_state_t *state, const wl_task_record_t *record);
wl_task_t *wl_state_task_restore(wl_state_t *state, wl_task_record_t *record);
void wl_state_tasks_expire(wl_state_t *state);
void wl_state_tasks_clear(wl_state_t *state);
wl_state_customer_t *wl_state_customer_get(wl_state_t *state, wl_str_t name);

/* chart.c */
typedef struct wl_task_transition {
	wl_state_t *state;
	wl_task_t *task;
	const wl_report_t *report; /* the cause; NULL if it is not a report */
	wl_state_target_t *target; /* of WL_TASK_EV_ASSIGN */
	uint64_t epoch;		   /* of WL_TASK_EV_ASSIGN */
	uint64_t boot;		   /* of WL_TASK_EV_ASSIGN */
} wl_task_transition_t;

wl_chart_outcome_t wl_task_step(wl_task_transition_t *transition, wl_task_event_t event);
void wl_task_enqueue(wl_task_t *task);
void wl_task_place(wl_task_t *task, wl_state_target_t *target);

/* reports.c */
void wl_state_task_report(wl_state_t *state, uint64_t index, const wl_cmd_task_report_t *cmd,
			  wl_result_t *result);

/* kinds.c */
wl_state_kind_t *wl_state_kind_find(const wl_state_t *state, wl_str_t name);
wl_state_kind_t *wl_state_kind_add(wl_state_t *state, wl_str_t name);
void wl_state_kind_add_sample(wl_state_t *state, wl_str_t name, const wl_report_t *report);
void wl_state_kinds_clear(wl_state_t *state);
void wl_state_need(const wl_state_t *state, const wl_task_spec_t *spec, wl_need_t *need);
uint64_t wl_state_expected_ms(const wl_state_t *state, const wl_task_spec_t *spec);

/* ended_calls.c */
bool wl_state_ended_call_add(wl_state_t *state, wl_str_t key, uint64_t nonce, uint64_t ended_ms);
bool wl_state_ended_call_known(const wl_state_t *state, wl_str_t key, uint64_t nonce);
void wl_state_ended_calls_expire(wl_state_t *state);
void wl_state_ended_calls_clear(wl_state_t *state);
void wl_state_ended_calls_fill(const wl_state_t *state, wl_list_t *rows);
void wl_state_ended_calls_restore(wl_state_t *state, const wl_list_t *rows);

/* keys.c */
void wl_state_key_begin(wl_state_t *state, const wl_cmd_key_begin_t *cmd, wl_result_t *result);
void wl_state_key_end(wl_state_t *state, const wl_cmd_key_end_t *cmd, wl_result_t *result);
wl_state_key_t *wl_state_key_restore(wl_state_t *state, wl_str_t text, uint64_t key_state);
void wl_state_keys_mark_lost(wl_state_t *state, uint64_t session);
void wl_state_keys_expire(wl_state_t *state);
void wl_state_keys_clear(wl_state_t *state);

#endif
