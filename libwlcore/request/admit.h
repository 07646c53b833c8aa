#ifndef WL_ADMIT_H
#define WL_ADMIT_H

#include <sys/queue.h>

#include <libwlcore/request/budget.h>
#include <libwlbase/heap.h>
#include <libwlcore/node/view.h>

/* Admission control: enforces the limits of a customer's plan across all entries of the cell. */

typedef struct wl_admit_peer {
	wl_buf_t name;
	uint64_t session;
	uint64_t generation; /* of its newest full update; rows of older ones are ignored */
	bool member;	     /* the last view listed the peer with this session */
	TAILQ_ENTRY(wl_admit_peer) link;
} wl_admit_peer_t;

/* Usage of a customer's limits at one entry, as exchanged between entries. */
typedef struct wl_admit_usage {
	uint64_t running;
	uint64_t demand;       /* running, waiting, and an estimate of those refused */
	uint64_t demand_milli; /* requests received per second, thousandths */
} wl_admit_usage_t;

/* Usage that one peer reported for one customer. */
typedef struct wl_admit_report {
	wl_admit_peer_t *peer;
	uint64_t generation; /* of the peer when the report arrived */
	wl_admit_usage_t usage;
	TAILQ_ENTRY(wl_admit_report) link;
} wl_admit_report_t;

/* Own share of a limit, now and one exchange ago.  The smaller one applies. */
typedef struct wl_admit_share {
	uint64_t current;
	uint64_t previous;
} wl_admit_share_t;

typedef struct wl_admit_customer {
	wl_str_t key;
	wl_buf_t name;
	wl_buf_t labels;  /* customer="NAME", for counters */
	uint64_t running; /* admitted and not yet answered */
	uint64_t queued;
	wl_heap_t held; /* requests delayed by the limits, by arrival time */
	uint64_t weight;
	uint64_t max_concurrent; /* limit of the plan for the whole cell */
	uint64_t rate_milli;	 /* limit of the plan for the whole cell, thousandths per second */
	wl_admit_share_t concurrent;
	wl_admit_share_t rate;
	uint64_t running_on_peers; /* running at peers, as reported by them */
	uint64_t tokens_nano;
	uint64_t filled_ns;
	uint64_t arrived;  /* in this exchange interval */
	uint64_t admitted; /* in this exchange interval */
	uint64_t refused;  /* in this exchange interval */
	uint64_t admitted_milli;
	wl_admit_usage_t usage;
	wl_admit_usage_t usage_sent; /* last usage sent to the peers; shares are computed from it */
	bool has_plan;		     /* its plan is known, as a request arrived at this entry */
	wl_budget_t budget;
	TAILQ_HEAD(wl_admit_reports, wl_admit_report) reports;
	TAILQ_ENTRY(wl_admit_customer) link;
} wl_admit_customer_t;

typedef struct wl_admit {
	wl_budget_options_t budget;
	uint64_t members; /* entries in the cell, including this one */
	uint64_t exchanged_ns;
	wl_map_t by_name;
	TAILQ_HEAD(wl_admit_customers, wl_admit_customer) customers;
	TAILQ_HEAD(wl_admit_peers, wl_admit_peer) peers;
} wl_admit_t;

void wl_admit_init(wl_admit_t *admit, const wl_budget_options_t *budget, uint64_t now_ns);
void wl_admit_free(wl_admit_t *admit);
wl_admit_customer_t *wl_admit_get(wl_admit_t *admit, wl_str_t name, const wl_plan_t *plan,
				  uint64_t now_ns);
bool wl_admit_enter(wl_admit_customer_t *customer, uint64_t now_ns, wl_err_t *err);
bool wl_admit_retry(wl_admit_customer_t *customer, uint64_t now_ns, wl_err_t *err);
void wl_admit_refuse(wl_admit_customer_t *customer);
uint64_t wl_admit_spacing_ns(const wl_admit_customer_t *customer);
void wl_admit_leave(wl_admit_customer_t *customer);
void wl_admit_apply_report(wl_admit_t *admit, wl_str_t peer, const wl_msg_room_t *msg,
			   uint64_t now_ns);
void wl_admit_apply_view(wl_admit_t *admit, const wl_view_t *view);
void wl_admit_exchange(wl_admit_t *admit, uint64_t now_ns, wl_list_t *changes, wl_list_t *all);

#endif
