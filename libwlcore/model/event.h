#ifndef WL_EVENT_H
#define WL_EVENT_H

#include <libwlbase/counter.h>
#include <libwlbase/log.h>
#include <libwlcore/model/msg.h>
#include <libwlcore/raft/raft.h>

/* Events, the input of the core, and actions, its output. */

typedef enum wl_event_kind {
	/* from the daemon's threads */
	WL_EVENT_TICK,
	WL_EVENT_PEER, /* a message from a daemon */
	WL_EVENT_PEER_UP,
	WL_EVENT_PEER_DOWN,	 /* messages sent over the link may be lost */
	WL_EVENT_CALL,		 /* an HTTP request */
	WL_EVENT_CALL_ABANDONED, /* the caller closed the connection */
	WL_EVENT_CALL_PRESENT,	 /* it has not: answer to CALLER_CHECK */
	WL_EVENT_FETCHED,	 /* an outgoing HTTP call has ended */
	WL_EVENT_PERSISTED,
	WL_EVENT_DRAIN, /* planned stop */
	/* from one component of the core to another */
	WL_EVENT_APPLIED, /* to the leader and the scheduler: a command was applied */
	WL_EVENT_LEAD,	  /* this replica has become the leader */
	WL_EVENT_FOLLOW,  /* this replica is no longer the leader */
	/* to the leader and the scheduler: a proposal was not run or has an unknown outcome */
	WL_EVENT_DROPPED,
	WL_EVENT_RESULT, /* to the component that made a call to the leader */
	WL_EVENT_VIEW,	 /* the entry's copy of the leader's view (wl_msg_view_t) has changed */
	/* from the daemon's threads */
	WL_EVENT_SEEDS,	 /* the seeds in the settings have changed */
	WL_EVENT_GAUGES, /* gauges kept by the daemon, for the metrics */
	WL_EVENT_KINDS
} wl_event_kind_t;

typedef enum wl_listener {
	WL_LISTENER_CALLER,
	WL_LISTENER_CONTROL,
	WL_LISTENER_METRICS, /* GET /metrics only */
} wl_listener_t;

typedef struct wl_call {
	uint64_t id; /* unique while the daemon runs */
	wl_listener_t listener;
	wl_buf_t method;
	wl_buf_t path;	   /* percent-encoded as received, without the query */
	wl_buf_t query;	   /* without '?' */
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
} wl_call_t;

/* Outcome of an outgoing HTTP call. */
typedef struct wl_fetched {
	uint64_t id;
	bool sent;     /* some byte of the request may have been sent; false: certainly not-run */
	bool held;     /* not sent for lack of time or room here: says nothing of the server */
	bool complete; /* the response was received completely */
	uint64_t status;
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
	wl_buf_t error;
	uint64_t took_ns;
} wl_fetched_t;

/* A gauge kept by the daemon. */
typedef struct wl_gauge {
	const char *name;
	const char *labels;
	uint64_t value;
} wl_gauge_t;

typedef struct wl_event {
	wl_event_kind_t kind;
	uint64_t made_ns;     /* time of creation; TICK: time when it was due; 0: none given */
	wl_buf_t peer;	      /* PEER, PEER_UP, PEER_DOWN: daemon name */
	wl_msg_t msg;	      /* PEER */
	wl_call_t call;	      /* CALL; CALL_ABANDONED, CALL_PRESENT: id only */
	wl_fetched_t fetched; /* FETCHED */
	uint64_t ticket;      /* PERSISTED */
	uint64_t wall_ms;     /* TICK, LEAD: Unix time, ms; 0: unknown */
	wl_list_t names;      /* SEEDS: strings */
	/* APPLIED, DROPPED, RESULT; the index of LEAD: known as committed at the election */
	uint64_t tag; /* of the proposal, or of the call to the leader; 0: not from this daemon */
	uint64_t index;
	uint64_t term;		   /* LEAD, FOLLOW too */
	uint64_t group;		   /* LEAD: id of the replicated log's group */
	const wl_cmd_t *cmd;	   /* APPLIED: borrowed */
	const wl_result_t *result; /* APPLIED, RESULT: borrowed */
	wl_verdict_t verdict;	   /* DROPPED */
	const wl_gauge_t *gauges;  /* GAUGES: borrowed */
	size_t gauge_count;
} wl_event_t;

typedef enum wl_action_kind {
	WL_ACTION_SEND,		/* send msg to a daemon by name */
	WL_ACTION_DIAL,		/* keep a link to this daemon at this address */
	WL_ACTION_REPLY,	/* to an HTTP call */
	WL_ACTION_CALLER_CHECK, /* whether the caller of an HTTP call still waits for the answer */
	WL_ACTION_FETCH,	/* make an HTTP call */
	WL_ACTION_FETCH_CANCEL,
	WL_ACTION_PERSIST,
	WL_ACTION_PROPOSE,     /* from the leader component to the log */
	WL_ACTION_LEADER_CALL, /* from a component of an entry: COMMAND or QUERY */
	WL_ACTION_LOG,
	WL_ACTION_EXIT,	 /* draining is complete */
	WL_ACTION_FATAL, /* the state on disk is unreliable: terminate */
} wl_action_kind_t;

/* Component of the core that a fetch or a call to the leader belongs to; the top byte of its id. */
typedef enum wl_part {
	WL_PART_REQUEST = 1,
	WL_PART_OWNER = 2,
	WL_PART_API = 3,
	WL_PART_NODE = 4,
	WL_PART_AGENT = 5,
	WL_PART_GATE = 6,
	WL_PART_CONDITIONAL = 7,
} wl_part_t;

#define WL_PART_SHIFT	    56
#define WL_PART_OF(id)	    ((wl_part_t)((id) >> WL_PART_SHIFT))
#define WL_PART_ID(part, n) (((uint64_t)(part) << WL_PART_SHIFT) | (n))

typedef struct wl_reply {
	uint64_t call;
	uint64_t status;
	wl_verdict_t verdict;
	bool has_verdict;  /* adds the Wisterialead-Verdict header */
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
} wl_reply_t;

typedef struct wl_fetch {
	uint64_t id;
	wl_buf_t address; /* IP:port */
	wl_buf_t method;
	wl_buf_t path;
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
	uint64_t timeout_ms;
	uint64_t send_by_ns; /* not sent later than this, monotonic time; 0: no limit */
} wl_fetch_t;

typedef struct wl_action {
	wl_action_kind_t kind;
	wl_buf_t peer;	  /* SEND, DIAL: daemon name */
	wl_buf_t address; /* DIAL: IP:port */
	wl_msg_t msg;	  /* SEND; LEADER_CALL: COMMAND or QUERY */
	wl_reply_t reply;
	wl_fetch_t fetch; /* FETCH; FETCH_CANCEL: id */
	wl_raft_persist_t persist;
	wl_cmd_t cmd;	      /* PROPOSE */
	uint64_t tag;	      /* PROPOSE */
	uint64_t deadline_ns; /* LEADER_CALL */
	/* HTTP call: CALLER_CHECK; LEADER_CALL of a conditional command, 0 for others */
	uint64_t caller;
	wl_level_t level; /* LOG */
	wl_buf_t line;	  /* LOG: key=value pairs; EXIT, FATAL: reason */
} wl_action_t;

typedef struct wl_out {
	wl_action_t *actions;
	size_t count;
	size_t capacity;
} wl_out_t;

void wl_event_init(wl_event_t *event, wl_event_kind_t kind);
void wl_event_free(wl_event_t *event);

void wl_out_init(wl_out_t *out);
void wl_out_free(wl_out_t *out);
void wl_out_clear(wl_out_t *out);
void wl_action_free(wl_action_t *action);
wl_action_t *wl_out_add(wl_out_t *out, wl_action_kind_t kind);

wl_msg_t *wl_out_send(wl_out_t *out, wl_str_t peer, wl_msg_kind_t kind);
wl_fetch_t *wl_out_fetch(wl_out_t *out, uint64_t id, wl_str_t address, wl_str_t method,
			 wl_str_t path, uint64_t timeout_ms);
void wl_out_fetch_cancel(wl_out_t *out, uint64_t id);
wl_reply_t *wl_out_reply(wl_out_t *out, uint64_t call, uint64_t status);
void wl_out_reply_error(wl_out_t *out, uint64_t call, const wl_err_t *err);
void wl_out_propose(wl_out_t *out, wl_cmd_t *cmd, uint64_t tag);
void wl_out_leader_command(wl_out_t *out, uint64_t call, const wl_cmd_t *cmd, uint64_t deadline_ns);
void wl_out_leader_conditional(wl_out_t *out, uint64_t call, const wl_cmd_t *cmd,
			       uint64_t deadline_ns, uint64_t caller);
void wl_out_caller_check(wl_out_t *out, uint64_t caller);
wl_msg_query_t *wl_out_leader_query(wl_out_t *out, uint64_t call, wl_query_kind_t kind,
				    uint64_t deadline_ns);
void wl_out_log(wl_out_t *out, wl_level_t level, const char *event, const char *pairs, ...)
	__attribute__((format(printf, 4, 5)));

#endif
