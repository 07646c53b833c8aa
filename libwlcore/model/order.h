#ifndef WL_ORDER_H
#define WL_ORDER_H

#include <libwlcore/model/job.h>

/* What the leader tells targets that run tasks, and how that ended. */

typedef enum wl_order_kind {
	WL_ORDER_START,
	WL_ORDER_STOP,
	WL_ORDER_RENEW,	   /* renew the lease of all runs there; report them */
	WL_ORDER_THROTTLE, /* let a run work at a share of its speed */
	WL_ORDER_KINDS
} wl_order_kind_t;

typedef struct wl_order {
	uint64_t id;   /* unique among all leaderships, not 0; its end bears it too */
	uint64_t kind; /* wl_order_kind_t */
	wl_buf_t runner;
	wl_buf_t address;
	uint64_t epoch; /* of the leader; a target does nothing for a lower one than it has seen */
	uint64_t lease_ms;  /* until when runs may go on, on the target's clock; 0: not said */
	wl_task_ref_t task; /* START, STOP, PACE */
	uint64_t run;
	wl_buf_t payload;	 /* START */
	wl_buf_t checkpoint;	 /* START */
	uint64_t percent;	 /* PACE */
	uint64_t committed_ends; /* HOLD: ends up to this number are committed */
	uint64_t wait_ms;	 /* HOLD: the answer may wait so long for an end */
	uint64_t timeout_ms;
} wl_order_t;

typedef enum wl_order_outcome {
	WL_ORDER_DONE,
	WL_ORDER_NOT_SENT,	/* no byte left */
	WL_ORDER_NO_ANSWER,	/* it may be carried out, also later */
	WL_ORDER_FENCED,	/* the target has seen a higher epoch */
	WL_ORDER_STALE,		/* this run, or a later one, has ended or was stopped there */
	WL_ORDER_LEASE_EXPIRED, /* its lease is over on the target's clock */
	WL_ORDER_NO_CAPACITY,
	WL_ORDER_NO_TICKET,
	WL_ORDER_OTHER_INCARNATION, /* another target answers at this address */
	WL_ORDER_UNHEALTHY,	    /* nothing was done */
	WL_ORDER_REFUSED,	    /* the order itself is wrong */
	WL_ORDER_AGENT_LOST, /* its agent is out of reach: it may be carried out, also later */
	WL_ORDER_OUTCOMES
} wl_order_outcome_t;

extern const char *const wl_order_kind_names[];
extern const char *const wl_order_outcome_names[];

/* A run that a target says is there. */
typedef struct wl_run_view {
	wl_buf_t task; /* text, as the dialect names tasks; ref says the same */
	wl_task_ref_t ref;
	uint64_t run;
	wl_buf_t checkpoint;
	uint64_t percent;
	uint64_t load; /* serving: tail latency in ms; else processors in use, millis */
} wl_run_view_t;

/* The end of a run, numbered by its target from 1 in each life. */
typedef struct wl_end_view {
	uint64_t number;
	wl_buf_t task;
	wl_task_ref_t ref;
	uint64_t run;
	uint64_t outcome; /* wl_run_outcome_t */
	wl_buf_t checkpoint;
} wl_end_view_t;

typedef struct wl_order_end {
	uint64_t id;	  /* of the order */
	uint64_t outcome; /* wl_order_outcome_t */
	bool has_clock;
	uint64_t clock_ms;
	uint64_t incarnation; /* HOLD; 0: not said */
	wl_list_t runs;	      /* wl_run_view_t */
	wl_list_t ends;	      /* wl_end_view_t */
} wl_order_end_t;

extern const wl_schema_t wl_order_schema;
extern const wl_schema_t wl_order_end_schema;
extern const wl_schema_t wl_run_view_schema;
extern const wl_schema_t wl_end_view_schema;

#endif
