#ifndef WL_API_INTERNAL_H
#define WL_API_INTERNAL_H

#include <sys/queue.h>

#include <libwlbase/rng.h>
#include <libwlcore/api/api.h>

#define WL_API_CALL_MS 10000 /* time-out of a call to the leader */

/* What an HTTP call waits for at the leader. */
typedef enum wl_wait_kind {
	WL_WAIT_FORWARD, /* the body of the result is the answer */
	WL_WAIT_LIST_GET,
	WL_WAIT_LIST_PUT, /* the change is sent to the leader */
	WL_WAIT_IN_FORCE, /* the change is accepted but may not be in force yet */
	WL_WAIT_TASK_ADD,
	WL_WAIT_TASK_CANCEL,
} wl_wait_kind_t;

typedef struct wl_wait {
	wl_str_t key;  /* bytes of id */
	uint64_t id;   /* id of the call to the leader, from WL_PART_ID() */
	uint64_t call; /* id of the HTTP call */
	wl_wait_kind_t kind;
	uint64_t version; /* version of the accepted list */
	uint64_t revision;
	uint64_t deadline_ns;  /* time limit of the wait for the change to be in force */
	uint64_t next_poll_ns; /* time of the next query; 0: one is in flight */
	TAILQ_ENTRY(wl_wait) link;
} wl_wait_t;

struct wl_api {
	wl_api_options_t options;
	uint64_t next_id;
	wl_rng_t rng; /* for nonces of tasks */
	bool draining;
	bool drain_requested;
	wl_map_t by_id;
	TAILQ_HEAD(wl_waits, wl_wait) waits;
};

typedef void (*wl_api_handler_t)(wl_api_t *api, uint64_t now_ns, const wl_call_t *call,
				 wl_str_t arg, wl_out_t *out);

wl_wait_t *wl_api_wait(wl_api_t *api, const wl_call_t *call, wl_wait_kind_t kind);
void wl_api_wait_end(wl_api_t *api, wl_wait_t *wait);
bool wl_api_param(wl_str_t query, wl_str_t name, wl_str_t *value);
void wl_api_reply_json(wl_out_t *out, uint64_t call, uint64_t status, wl_str_t body);
void wl_api_reply_result(wl_out_t *out, uint64_t call, const wl_result_t *result);

void wl_api_list_get(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_list_put(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_list_got(wl_api_t *api, wl_wait_t *wait, const wl_result_t *result, wl_out_t *out);
void wl_api_list_accepted(wl_api_t *api, uint64_t now_ns, wl_wait_t *wait,
			  const wl_result_t *result, wl_out_t *out);
void wl_api_list_in_force(wl_api_t *api, uint64_t now_ns, wl_wait_t *wait,
			  const wl_result_t *result, wl_out_t *out);
void wl_api_list_poll(wl_api_t *api, uint64_t now_ns, wl_wait_t *wait, wl_out_t *out);

void wl_api_task_add(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_task_get(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out);
void wl_api_task_cancel(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			wl_out_t *out);
void wl_api_tasks_cancel(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			 wl_out_t *out);
void wl_api_task_added(wl_api_t *api, wl_wait_t *wait, const wl_result_t *result, wl_out_t *out);

#endif
