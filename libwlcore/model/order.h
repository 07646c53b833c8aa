#ifndef WL_ORDER_H
#define WL_ORDER_H

#include <libwlcore/model/job.h>

/*
 * Orders from the leader to targets that run tasks, and their outcomes.
 *
 * wl_end_view_t is the end of a run as the target reports it; wl_order_end_t is the result of an
 * order, which may list such ends.
 */

typedef enum wl_order_kind {
	WL_ORDER_START,
	WL_ORDER_STOP,
	WL_ORDER_RENEW,	   /* renew the leases of all runs on the target, which reports them */
	WL_ORDER_THROTTLE, /* limit a run to a share of its speed */
	WL_ORDER_KINDS
} wl_order_kind_t;

#define WL_ORDER_EPOCH_TERM_SHIFT 32 /* bits of an epoch below the term */

typedef struct wl_order {
	uint64_t id;   /* unique across all leaders, not 0; also in the order's result */
	uint64_t kind; /* wl_order_kind_t */
	wl_buf_t runner;
	wl_buf_t address;
	/*
	 * Rises with the leader's term and with each incarnation of the target; targets ignore
	 * orders below the highest epoch received.
	 */
	uint64_t epoch;
	/* The lease's expiry, not its length: a time on the target's clock, ms; 0: no lease. */
	uint64_t lease_ms;
	wl_task_ref_t task; /* START, STOP, THROTTLE */
	uint64_t run;
	wl_buf_t payload;	 /* START */
	wl_buf_t checkpoint;	 /* START */
	uint64_t percent;	 /* THROTTLE */
	uint64_t committed_ends; /* RENEW: ends up to this number are committed */
	uint64_t wait_ms; /* RENEW: the target may delay its answer this long until a run ends */
	uint64_t timeout_ms;
	uint64_t send_by_ms; /* not sent later than this, on the agent's clock, ms; 0: no limit */
} wl_order_t;

typedef enum wl_order_outcome {
	WL_ORDER_DONE,
	WL_ORDER_NOT_SENT,	/* no byte was sent, as the target could not be reached */
	WL_ORDER_NO_ANSWER,	/* the order may be carried out, also at a later time */
	WL_ORDER_FENCED,	/* the target has received a higher epoch */
	WL_ORDER_STALE,		/* this run, or a later one, has ended or was stopped there */
	WL_ORDER_LEASE_EXPIRED, /* the order's lease has expired on the target's clock */
	WL_ORDER_NO_CAPACITY,
	WL_ORDER_NO_TICKET,
	WL_ORDER_OTHER_INCARNATION, /* another target, or another start of it, answers there */
	WL_ORDER_UNHEALTHY,	    /* overloaded or unavailable; the order was not carried out */
	WL_ORDER_REFUSED,	    /* the order itself is invalid */
	WL_ORDER_AGENT_LOST, /* its agent is unreachable: it may be carried out, also later */
	WL_ORDER_HELD,	     /* no byte was sent, for reasons that say nothing of the target */
	WL_ORDER_OUTCOMES
} wl_order_outcome_t;

extern const char *const wl_order_kind_names[];
extern const char *const wl_order_outcome_names[];

/* A run that a target reports as present. */
typedef struct wl_run_view {
	wl_buf_t task; /* text, as the protocol names tasks; same task as ref */
	wl_task_ref_t ref;
	uint64_t run;
	wl_buf_t checkpoint;
	uint64_t percent;
	uint64_t load; /* serving: tail latency in ms; otherwise CPU use in thousandths */
} wl_run_view_t;

/* The end of a run; the target numbers ends from 1 in each incarnation. */
typedef struct wl_end_view {
	uint64_t number;
	wl_buf_t task;
	wl_task_ref_t ref;
	uint64_t run;
	uint64_t outcome; /* wl_run_outcome_t */
	wl_buf_t checkpoint;
} wl_end_view_t;

/* The result of an order. */
typedef struct wl_order_end {
	uint64_t id;	  /* of the order */
	uint64_t outcome; /* wl_order_outcome_t */
	bool has_clock;
	uint64_t clock_ms;
	uint64_t incarnation; /* RENEW; 0: none given */
	wl_list_t runs;	      /* wl_run_view_t */
	wl_list_t ends;	      /* wl_end_view_t */
	bool partial;	      /* RENEW: a run that is not listed may be present all the same */
} wl_order_end_t;

extern const wl_schema_t wl_order_schema;
extern const wl_schema_t wl_order_end_schema;
extern const wl_schema_t wl_run_view_schema;
extern const wl_schema_t wl_end_view_schema;

#endif
