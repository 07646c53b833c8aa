#ifndef WL_MSG_H
#define WL_MSG_H

#include <libwlcore/model/cmd.h>
#include <libwlcore/model/model.h>
#include <libwlcore/model/order.h>
#include <libwlcore/raft/msg.h>

/*
 * Messages between daemons, one for each frame of the peer link.
 *
 * A report (REPORT) is the owner's report on an attempt; a target report (ORDERED, KEEPALIVES) is
 * a target's answer to a RENEW order.  WL_MSG_RENEW renews the session of an entry, while
 * WL_ORDER_RENEW renews the leases of the runs on a target.
 */

typedef enum wl_msg_kind {
	WL_MSG_NONE,
	WL_MSG_RAFT,	   /* replica to replica */
	WL_MSG_RENEW,	   /* entry to leader */
	WL_MSG_RENEWED,	   /* leader to entry */
	WL_MSG_VIEW,	   /* leader to entry */
	WL_MSG_COMMAND,	   /* entry to leader: propose this command */
	WL_MSG_QUERY,	   /* entry to leader: read from the leader's state */
	WL_MSG_RESULT,	   /* leader to entry, for COMMAND and QUERY */
	WL_MSG_ANNOUNCE,   /* entry to owner, or to the leader when there is no owner */
	WL_MSG_REQUEST,	   /* entry to owner: run a caller's request */
	WL_MSG_ANSWER,	   /* owner to entry */
	WL_MSG_CANCEL,	   /* entry to owner: the caller closed its connection */
	WL_MSG_CAPACITY,   /* entry to entry: free capacity by service, usage by customer */
	WL_MSG_OFFER,	   /* owner to leader: free capacity by target */
	WL_MSG_ASSIGN,	   /* leader to owner: start this attempt */
	WL_MSG_STOP,	   /* leader to owner: stop this attempt */
	WL_MSG_REPORT,	   /* owner to leader: reports on attempts */
	WL_MSG_REPORTED,   /* leader to owner: these reports are committed */
	WL_MSG_ORDERS,	   /* leader to replica: send these orders to their targets */
	WL_MSG_ORDERED,	   /* replica to leader: outcomes of the orders */
	WL_MSG_KEEPALIVES, /* replica to leader: answered target reports without changes */
	WL_MSG_KINDS
} wl_msg_kind_t;

typedef struct wl_msg_renew {
	wl_buf_t entry;
	uint64_t boot;
	uint64_t session; /* 0: open one */
	wl_buf_t address;
	wl_buf_t availability_zone;
	uint64_t group;	       /* group id that the entry belongs to; 0: none yet */
	uint64_t sent_ns;      /* entry's clock; echoed in the answer */
	uint64_t revision;     /* revision of the lists in use at the entry */
	uint64_t owners_index; /* latest ownership change that the entry has */
	bool draining;
} wl_msg_renew_t;

typedef struct wl_msg_renewed {
	uint64_t boot;
	uint64_t session;
	uint64_t group;
	uint64_t term;
	uint64_t sent_ns;     /* of the renewal */
	uint64_t validity_ms; /* counted by the entry from sent_ns */
	/*
	 * WL_OK; WL_E_NO_LEADER; WL_E_NO_SESSION: the entry opens a new session; WL_E_CONFLICT: the
	 * entry belongs to another group
	 */
	uint64_t code;
	wl_buf_t leader; /* name of the leader; empty: unknown */
} wl_msg_renewed_t;

/* An entry as announced to the others. */
typedef struct wl_member {
	wl_buf_t entry;
	uint64_t session;
	wl_buf_t address;
	wl_buf_t availability_zone;
	bool draining;
} wl_member_t;

/* Who owns a target. */
typedef struct wl_owner_row {
	wl_buf_t target;
	uint64_t epoch;
	uint64_t session;
	wl_buf_t entry;	  /* empty: no owner now */
	wl_buf_t address; /* of the target */
	wl_buf_t availability_zone;
	wl_buf_t rack;
	wl_list_t services; /* strings */
	bool forgotten;	    /* the row is removed from the table */
	wl_list_t running; /* wl_assignment_t: attempts assigned to the target, for its new owner */
} wl_owner_row_t;

/* State kept by every entry: the lists, and the ownership changes since owners_from. */
typedef struct wl_msg_view {
	uint64_t group;
	uint64_t term;
	uint64_t revision;
	bool has_lists; /* customers and plans are included, as of the revision */
	uint64_t customers_version;
	uint64_t plans_version;
	wl_buf_t customers;   /* JSON */
	wl_buf_t plans;	      /* JSON */
	uint64_t owners_from; /* 0: the whole table */
	uint64_t owners_to;
	wl_list_t owners;   /* wl_owner_row_t */
	wl_list_t members;  /* wl_member_t: all */
	wl_list_t replicas; /* strings: names of the store's members */
} wl_msg_view_t;

typedef struct wl_msg_command {
	uint64_t call;
	uint64_t cmd_kind;
	wl_buf_t cmd; /* packed wl_cmd_t */
} wl_msg_command_t;

typedef enum wl_query_kind {
	WL_QUERY_LIST,	/* name: "customers" or "plans" */
	WL_QUERY_TASK,	/* name: task id */
	WL_QUERY_TASKS, /* name: customer, or empty for all */
	WL_QUERY_TARGETS,
	WL_QUERY_MEMBERS,
	WL_QUERY_STATUS,
	WL_QUERY_IN_FORCE, /* number: revision; result code WL_OK once it is in force */
	WL_QUERY_REPLACE,  /* name: daemon whose lost replica may be replaced */
	WL_QUERY_JOB,	   /* customer: host; name: path of a job or of its queue */
	WL_QUERY_CATALOG,  /* body: the configuration as it was sent */
	WL_QUERY_EVACUATIONS,
	WL_QUERY_ZONE_BASIS, /* name: availability zone; index: basis of the next order for it */
} wl_query_kind_t;

typedef struct wl_msg_query {
	uint64_t call;
	uint64_t kind; /* wl_query_kind_t */
	wl_buf_t name;
	wl_buf_t
		customer; /* limits the result to what this customer may read; empty: an operator */
	uint64_t number;
} wl_msg_query_t;

typedef struct wl_msg_result {
	uint64_t call;
	wl_result_t result;
} wl_msg_result_t;

typedef struct wl_msg_announce {
	wl_announce_t announce;
} wl_msg_announce_t;

typedef struct wl_header {
	wl_buf_t name;
	wl_buf_t value;
} wl_header_t;

typedef struct wl_msg_request {
	uint64_t id;	  /* unique within a session of the sender */
	uint64_t session; /* of the sender */
	wl_buf_t customer;
	wl_buf_t service;
	wl_buf_t method;
	wl_buf_t path;	   /* as sent to the target, query included */
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
	uint64_t timeout_ms; /* remaining time until the caller's deadline */
	uint64_t work_class;
	bool idempotent;
	wl_buf_t avoid; /* target on which an earlier try of this request failed */
} wl_msg_request_t;

typedef struct wl_msg_answer {
	uint64_t id;
	uint64_t session; /* of the requesting entry, echoed */
	uint64_t code;	  /* wl_code_t */
	uint64_t verdict;
	wl_buf_t text;
	uint64_t status;
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
	wl_buf_t target;	/* target that ran the request, or on which it failed */
	uint64_t free_requests; /* free capacity for the service at the sender, requests */
} wl_msg_answer_t;

typedef struct wl_msg_cancel {
	uint64_t id;
	uint64_t session;
} wl_msg_cancel_t;

/* CAPACITY: free capacity of the sender's targets for one service in one availability zone. */
typedef struct wl_room_row {
	wl_buf_t service;
	wl_buf_t availability_zone;
	uint64_t free_requests; /* requests that could start without waiting */
	uint64_t slowdown_permille;
	uint64_t targets;
} wl_room_row_t;

/* CAPACITY: the requests of one customer at the sender. */
typedef struct wl_use_row {
	wl_buf_t customer;
	uint64_t running;    /* requests accepted and not yet answered */
	uint64_t rate_milli; /* accepted per second, thousandths */
	uint64_t demand; /* running, plus those rejected recently because the share was used up */
	uint64_t demand_rate_milli; /* requested per second, thousandths */
} wl_use_row_t;

/* Message CAPACITY. */
typedef struct wl_msg_room {
	uint64_t session;
	wl_list_t capacity_rows; /* wl_room_row_t */
	wl_list_t usage_rows;	 /* wl_use_row_t */
	bool full;		 /* all rows, replacing earlier ones; otherwise changed rows only */
} wl_msg_room_t;

typedef struct wl_offer_kind {
	wl_buf_t kind;
	uint64_t running;
} wl_offer_kind_t;

typedef struct wl_offer_row {
	wl_buf_t target;
	uint64_t epoch;
	bool available;	  /* adopted, ready and not quarantined */
	bool quarantined; /* quarantined because work fails on it */
	wl_buf_t availability_zone;
	wl_buf_t rack;
	wl_list_t services; /* strings */
	wl_need_t capacity;
	wl_need_t free;
	wl_need_t evictable; /* reserved by batch tasks that could be evicted */
	uint64_t slowdown_permille;
	wl_list_t kinds; /* wl_offer_kind_t */
	uint64_t boot;	 /* boot id of the target as adopted; 0: not adopted */
} wl_offer_row_t;

/* Estimated slowdown of one kind of task while another runs on the same target. */
typedef struct wl_pair_row {
	wl_buf_t kind;
	wl_buf_t colocated_kind;
	uint64_t slowdown_permille;
	uint64_t weight_milli; /* weight of the estimate, thousandths of a sample */
} wl_pair_row_t;

typedef struct wl_msg_offer {
	uint64_t session;
	bool full;	  /* all targets of the owner; otherwise changed ones only */
	wl_list_t offers; /* wl_offer_row_t */
	wl_list_t pairs;  /* wl_pair_row_t, changed ones */
} wl_msg_offer_t;

typedef struct wl_msg_assign {
	wl_buf_t task;
	uint64_t attempt;
	wl_buf_t target;
	uint64_t epoch;
	wl_buf_t customer;
	wl_task_spec_t spec;
	wl_need_t need; /* to reserve: the larger of declared and estimated use */
	wl_buf_t checkpoint;
	uint64_t expected_ms; /* estimated run time */
	bool may_evict;	      /* batch work may be evicted to make room */
	uint64_t term;	      /* of the leader; an assignment of an earlier leader is void */
	uint64_t session;     /* owner of the target; each start of an entry has its own */
	uint64_t boot;	      /* of the target that it is for; 0: any */
} wl_msg_assign_t;

typedef struct wl_msg_stop {
	wl_buf_t task;
	uint64_t attempt;
	wl_buf_t target;
	uint64_t epoch;
	bool checkpoint; /* evict: take a checkpoint first; false: cancel */
	uint64_t term;	 /* of the leader */
} wl_msg_stop_t;

typedef struct wl_msg_report {
	uint64_t session;
	wl_list_t reports; /* wl_report_t; resent until acknowledged by REPORTED */
} wl_msg_report_t;

typedef struct wl_reported_row {
	wl_buf_t task;
	uint64_t attempt;
	uint64_t kind; /* wl_report_kind_t */
} wl_reported_row_t;

typedef struct wl_msg_reported {
	wl_list_t rows; /* wl_reported_row_t */
} wl_msg_reported_t;

typedef struct wl_msg_orders {
	uint64_t term;	  /* of the leader */
	wl_list_t orders; /* wl_order_t; empty: only the agent's clock is asked for */
} wl_msg_orders_t;

typedef struct wl_msg_ordered {
	wl_list_t ends;	   /* wl_order_end_t */
	uint64_t clock_ms; /* the agent's, when it sent this; 0: not by the agent */
} wl_msg_ordered_t;

/* KEEPALIVES: a target report without changes. */
typedef struct wl_heard_row {
	wl_buf_t runner;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t clock_ms; /* the target's */
} wl_heard_row_t;

/* Message KEEPALIVES. */
typedef struct wl_msg_heard {
	wl_list_t rows; /* wl_heard_row_t */
} wl_msg_heard_t;

typedef struct wl_msg {
	uint64_t kind; /* wl_msg_kind_t */
	union {
		wl_raft_msg_t raft;
		wl_msg_renew_t renew;
		wl_msg_renewed_t renewed;
		wl_msg_view_t view;
		wl_msg_command_t command;
		wl_msg_query_t query;
		wl_msg_result_t result;
		wl_msg_announce_t announce;
		wl_msg_request_t request;
		wl_msg_answer_t answer;
		wl_msg_cancel_t cancel;
		wl_msg_room_t capacity;
		wl_msg_offer_t offer;
		wl_msg_assign_t assign;
		wl_msg_stop_t stop;
		wl_msg_report_t report;
		wl_msg_reported_t reported;
		wl_msg_orders_t orders;
		wl_msg_ordered_t ordered;
		wl_msg_heard_t keepalives;
	} u;
} wl_msg_t;

extern const wl_schema_t wl_header_schema;
extern const wl_schema_t wl_member_schema;
extern const wl_schema_t wl_owner_row_schema;
extern const wl_schema_t wl_room_row_schema;
extern const wl_schema_t wl_use_row_schema;
extern const wl_schema_t wl_offer_row_schema;
extern const wl_schema_t wl_offer_kind_schema;
extern const wl_schema_t wl_pair_row_schema;
extern const wl_schema_t wl_reported_row_schema;
extern const wl_schema_t wl_heard_row_schema;
extern const wl_schema_t wl_msg_view_schema;
extern const wl_schema_t wl_msg_assign_schema;

void wl_msg_init(wl_msg_t *msg, wl_msg_kind_t kind);
void wl_msg_free(wl_msg_t *msg);
void wl_msg_copy(wl_msg_t *to, const wl_msg_t *from);
void wl_msg_pack(const wl_msg_t *msg, wl_buf_t *out);
bool wl_msg_unpack(wl_str_t bytes, wl_msg_t *msg, wl_err_t *err);
const char *wl_msg_name(uint64_t kind);

const wl_buf_t *wl_headers_find(const wl_list_t *headers, wl_str_t name);
void wl_headers_add(wl_list_t *headers, wl_str_t name, wl_str_t value);
void wl_msg_orders_reject(const wl_msg_orders_t *orders, wl_msg_t *ordered);

#endif
