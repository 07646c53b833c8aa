#ifndef WL_API_INTERNAL_H
#define WL_API_INTERNAL_H

#include <sys/queue.h>

#include <libwlbase/rng.h>
#include <libwlcore/api/api.h>

#define WL_API_CALL_MS 10000 /* time-out of a call to the leader */

/* What an HTTP call asked the leader for. */
typedef enum wl_api_pending_kind {
	WL_API_PENDING_FORWARD, /* the body of the result is the answer */
	WL_API_PENDING_LIST_GET,
	WL_API_PENDING_LIST_PUT, /* the change is sent to the leader */
	WL_API_PENDING_IN_FORCE, /* the change is accepted but may not be in force yet */
	WL_API_PENDING_TASK_ADD,
	WL_API_PENDING_TASK_CANCEL,
} wl_api_pending_kind_t;

typedef struct wl_api_pending_call {
	wl_str_t key;  /* bytes of id */
	uint64_t id;   /* id of the call to the leader, from WL_PART_ID() */
	uint64_t call; /* id of the HTTP call */
	wl_api_pending_kind_t kind;
	uint64_t version; /* version of the accepted list */
	uint64_t revision;
	uint64_t deadline_ns;  /* when the call is answered even if the change is not in force */
	uint64_t next_poll_ns; /* time of the next query; 0: one is in flight */
	TAILQ_ENTRY(wl_api_pending_call) link;
} wl_api_pending_call_t;

struct wl_api {
	wl_api_options_t options;
	uint64_t next_id;
	wl_rng_t rng; /* for nonces of tasks */
	bool draining;
	bool drain_requested;
	wl_map_t by_id;
	TAILQ_HEAD(wl_api_pending_calls, wl_api_pending_call) pending_calls;
};

typedef void (*wl_api_handler_t)(wl_api_t *api, uint64_t now_ns, const wl_call_t *call,
				 wl_str_t arg, wl_out_t *out);

wl_api_pending_call_t *wl_api_pending_call_add(wl_api_t *api, const wl_call_t *call,
					       wl_api_pending_kind_t kind);
void wl_api_pending_call_remove(wl_api_t *api, wl_api_pending_call_t *pending);
bool wl_api_param(wl_str_t query, wl_str_t name, wl_str_t *value);
void wl_api_reply_json(wl_out_t *out, uint64_t call, uint64_t status, wl_str_t body);
void wl_api_reply_result(wl_out_t *out, uint64_t call, const wl_result_t *result);

void wl_api_list_get(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_list_put(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_list_got(wl_api_t *api, wl_api_pending_call_t *pending, const wl_result_t *result,
		     wl_out_t *out);
void wl_api_list_accepted(wl_api_t *api, uint64_t now_ns, wl_api_pending_call_t *pending,
			  const wl_result_t *result, wl_out_t *out);
void wl_api_list_in_force(wl_api_t *api, uint64_t now_ns, wl_api_pending_call_t *pending,
			  const wl_result_t *result, wl_out_t *out);
void wl_api_list_poll(wl_api_t *api, uint64_t now_ns, wl_api_pending_call_t *pending,
		      wl_out_t *out);

void wl_api_task_add(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_task_get(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_task_cancel(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			wl_out_t *out);
void wl_api_tasks_cancel(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			 wl_out_t *out);
void wl_api_task_added(wl_api_t *api, wl_api_pending_call_t *pending, const wl_result_t *result,
		       wl_out_t *out);

#endif
