#ifndef WL_CALLS_H
#define WL_CALLS_H

#include <sys/queue.h>

#include <libwlcore/model/event.h>

/* Calls of a daemon's components to the leader, resent to the current leader until the deadline. */

typedef struct wl_leader_call {
	wl_str_t key;	  /* the bytes of wire_id */
	uint64_t wire_id; /* of its first copy; not used by an earlier start of the daemon */
	uint64_t copy;	  /* number of the copy sent last, from 0 */
	uint64_t id;	  /* WL_PART_ID() of the caller */
	uint64_t deadline_ns;
	uint64_t resend_ns;
	bool sent;
	wl_buf_t leader; /* to which it was sent last */
	wl_msg_t msg;
	TAILQ_ENTRY(wl_leader_call) link;
} wl_leader_call_t;

typedef struct wl_calls {
	uint64_t next_wire_id;
	wl_map_t by_wire_id;
	TAILQ_HEAD(wl_leader_calls, wl_leader_call) open;
} wl_calls_t;

/* Outcome of a call that was answered or reached its deadline. */
typedef struct wl_call_outcome {
	uint64_t id;
	wl_result_t result;
} wl_call_outcome_t;

void wl_calls_init(wl_calls_t *calls, uint64_t boot);
void wl_calls_free(wl_calls_t *calls);
void wl_calls_add(wl_calls_t *calls, wl_action_t *action, wl_str_t leader, uint64_t now_ns,
		  wl_out_t *out);
bool wl_calls_answer(wl_calls_t *calls, wl_msg_result_t *answer, uint64_t now_ns,
		     wl_call_outcome_t *outcome);
bool wl_calls_expire(wl_calls_t *calls, uint64_t now_ns, wl_call_outcome_t *outcome);
void wl_calls_resend(wl_calls_t *calls, wl_str_t leader, uint64_t now_ns, wl_out_t *out);
size_t wl_calls_open_count(const wl_calls_t *calls);

#endif
