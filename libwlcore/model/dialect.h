#ifndef WL_DIALECT_H
#define WL_DIALECT_H

#include <libwlcore/model/event.h>
#include <libwlcore/model/order.h>

/*
 * What the system speaks with callers, operators and targets: a dialect turns
 * HTTP calls into operations and results back into replies, orders into HTTP
 * calls and their answers back into ends of orders.  It decides nothing, and
 * holds no state, clock or socket.
 */

typedef enum wl_operation_kind {
	WL_OPERATION_NONE, /* not a call of this dialect */
	WL_OPERATION_READY,
	WL_OPERATION_JOB_ADD,
	WL_OPERATION_JOB_GET, /* of a job, or of a queue */
	WL_OPERATION_JOB_CANCEL,
	WL_OPERATION_CATALOG_PUT,
	WL_OPERATION_CATALOG_GET,
	WL_OPERATION_RUNNER_REPORT,
} wl_operation_kind_t;

extern const char *const wl_operation_names[];

/* A call, understood. */
typedef struct wl_operation {
	wl_operation_kind_t kind;
	uint64_t timeout_ms;	   /* that the caller waits; 0: not said */
	wl_buf_t host;		   /* JOB_* */
	wl_buf_t path;		   /* JOB_* */
	wl_job_spec_t spec;	   /* JOB_ADD */
	wl_catalog_t catalog;	   /* CATALOG_PUT */
	wl_buf_t text;		   /* CATALOG_PUT: as it came */
	wl_runner_report_t report; /* RUNNER_REPORT */
} wl_operation_t;

typedef struct wl_dialect {
	const char *name;
	/* False: the call is of this dialect but wrong; err says why. */
	bool (*call_read)(const wl_call_t *call, wl_operation_t *operation, wl_err_t *err);
	/* control: "IP:port" of the replica for a target's later reports; empty: not known. */
	void (*reply_write)(wl_operation_kind_t kind, const wl_result_t *result, wl_str_t control,
			    wl_reply_t *reply);
	void (*order_write)(const wl_order_t *order, wl_fetch_t *fetch);
	/* Always fills the end; err says what of the answer was not understood. */
	bool (*order_read)(wl_order_kind_t kind, const wl_fetched_t *fetched, wl_order_end_t *end,
			   wl_err_t *err);
} wl_dialect_t;

void wl_operation_free(wl_operation_t *operation);

#endif
