#ifndef WL_DIALECT_H
#define WL_DIALECT_H

#include <libwlcore/model/event.h>
#include <libwlcore/model/order.h>

/*
 * A dialect is the HTTP protocol used with callers, operators and targets.  It
 * converts HTTP calls to operations and results to replies, and orders to HTTP
 * calls and their answers to ends of orders.  It makes no decisions and has no
 * state, clock or socket.
 */

typedef enum wl_operation_kind {
	WL_OPERATION_NONE, /* the call does not belong to this dialect */
	WL_OPERATION_READY,
	WL_OPERATION_JOB_ADD,
	WL_OPERATION_JOB_GET, /* of a job, or of a queue */
	WL_OPERATION_JOB_CANCEL,
	WL_OPERATION_CATALOG_PUT,
	WL_OPERATION_CATALOG_GET,
	WL_OPERATION_RUNNER_REPORT,
	WL_OPERATION_ZONE_EVACUATE,
} wl_operation_kind_t;

extern const char *const wl_operation_names[];

/* A parsed call. */
typedef struct wl_operation {
	wl_operation_kind_t kind;
	uint64_t timeout_ms;		   /* time that the caller waits; 0: none given */
	wl_buf_t host;			   /* JOB_* */
	wl_buf_t path;			   /* JOB_* */
	wl_job_spec_t spec;		   /* JOB_ADD */
	wl_catalog_t catalog;		   /* CATALOG_PUT */
	wl_buf_t text;			   /* CATALOG_PUT: as received */
	wl_runner_report_t report;	   /* RUNNER_REPORT */
	wl_cmd_zone_evacuate_t evacuation; /* ZONE_EVACUATE */
} wl_operation_t;

typedef struct wl_dialect {
	const char *name;
	/* Returns false if the call is of this dialect but invalid; err gives the reason. */
	bool (*call_read)(const wl_call_t *call, wl_operation_t *operation, wl_err_t *err);
	/* control: "IP:port" of the replica for the target's later reports; empty: unknown. */
	void (*reply_write)(wl_operation_kind_t kind, const wl_result_t *result, wl_str_t control,
			    wl_reply_t *reply);
	void (*order_write)(const wl_order_t *order, wl_fetch_t *fetch);
	/* Always fills end, with the valid parts; returns false if any is not, which err names. */
	bool (*order_read)(wl_order_kind_t kind, const wl_fetched_t *fetched, wl_order_end_t *end,
			   wl_err_t *err);
} wl_dialect_t;

void wl_operation_free(wl_operation_t *operation);

#endif
