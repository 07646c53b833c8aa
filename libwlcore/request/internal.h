#ifndef WL_REQUEST_INTERNAL_H
#define WL_REQUEST_INTERNAL_H

#include <libwlbase/units.h>
#include <libwlcore/request/admit.h>
#include <libwlcore/request/fairq.h>
#include <libwlcore/model/ids.h>
#include <libwlcore/request/latency.h>
#include <libwlcore/request/request.h>
#include <libwlcore/request/route.h>
#include <libwlcore/owner/advertise.h>

/* Declarations shared by the files of the request component. */

/*
 * States of a request at an entry:
 *
 *	held -> key commit -> queued <-> sent -> outcome commit -> answered
 *
 * Only requests over the limits of their plan are held, and only those with an
 * idempotency key pass through the two commit states.  A request forwarded by a
 * peer is sent at once or refused.
 */
typedef enum wl_request_state {
	WL_REQUEST_HELD,	   /* delayed until its customer's limits admit it */
	WL_REQUEST_KEY_COMMIT,	   /* the leader commits its key; nothing was sent yet */
	WL_REQUEST_QUEUED,	   /* waits for free capacity */
	WL_REQUEST_SENT,	   /* one or more attempts in flight */
	WL_REQUEST_OUTCOME_COMMIT, /* the leader commits its outcome */
} wl_request_state_t;

/* Queue, latency and availability of a service, as seen by this entry. */
typedef struct wl_request_service {
	wl_str_t key;
	wl_buf_t name;
	wl_fairq_t queue;
	wl_latency_t latency;
	uint64_t last_offered_ns; /* time at which a target was last known to offer it */
	uint64_t next_relief_ns;  /* earliest time of the next call to relieve pressure */
	bool answered_full;	  /* a peer was told of no free capacity since the last exchange */
	TAILQ_ENTRY(wl_request_service) link;
} wl_request_service_t;

/* Result of a request or of one of its attempts. */
typedef struct wl_outcome {
	wl_code_t code;
	wl_verdict_t verdict;
	wl_buf_t text;
	uint64_t status;   /* HTTP status of the service's answer; 0: there is none */
	wl_list_t headers; /* wl_header_t */
	wl_buf_t body;
	bool replayed; /* stored by an earlier request with the same key */
} wl_outcome_t;

/* Where a request came from: a caller's HTTP call or a peer's message. */
typedef struct wl_request_origin {
	wl_str_t key;
	wl_buf_t bytes;
	struct wl_request *request;
	uint64_t call;
	wl_buf_t peer; /* empty if the request came from a caller */
	uint64_t id;   /* id of the peer's message */
	uint64_t session;
	bool caller_gone; /* the caller has disconnected, so no answer is sent */
} wl_request_origin_t;

/*
 * One attempt to send a request.  It outlives a cancelled request until its reservation is
 * released.
 */
typedef struct wl_request_attempt {
	wl_id_node_t node;
	struct wl_request *request; /* NULL after cancellation */
	wl_request_service_t *service;
	wl_buf_t target;  /* own target with a reservation for this attempt */
	wl_buf_t peer;	  /* set instead of @target for a forwarded request */
	uint64_t session; /* own session as sent to the peer */
	uint64_t sent_ns;
	TAILQ_ENTRY(wl_request_attempt) request_link;
	TAILQ_ENTRY(wl_request_attempt) link;
} wl_request_attempt_t;

typedef struct wl_request {
	wl_request_state_t state;
	wl_request_origin_t origin;
	wl_admit_customer_t *customer; /* NULL for a request of a peer, which has admitted it */
	wl_buf_t customer_name;
	wl_request_service_t *service;
	wl_buf_t method;
	wl_buf_t path;
	wl_list_t headers; /* wl_header_t; forwarded to the target */
	wl_buf_t body;
	uint64_t work_class;
	bool idempotent;
	uint64_t arrived_ns;
	uint64_t queued_ns;
	uint64_t deadline_ns;
	uint64_t hedge_ns; /* time of the hedged attempt; UINT64_MAX: none */
	bool admitted;	   /* counts against its customer's limits */
	wl_heap_node_t held;
	wl_fairq_item_t waiting;
	wl_heap_node_t timer;
	TAILQ_HEAD(wl_request_attempts, wl_request_attempt) attempts;
	uint64_t retries;
	bool maybe_ran; /* an attempt ended with verdict unknown */
	wl_buf_t avoid_target;
	wl_buf_t avoid_peer;
	bool has_outcome;
	wl_outcome_t outcome; /* best so far; final while it is committed */
	wl_buf_t key;	      /* Idempotency-Key; empty: none */
	uint64_t nonce;
	wl_id_node_t leader_call;
	TAILQ_ENTRY(wl_request) link;
} wl_request_t;

/*
 * State of the message exchange with a peer, including the newest request id for duplicate
 * detection.
 */
typedef struct wl_request_peer {
	wl_buf_t name;
	uint64_t session;
	uint64_t last_id;
	uint64_t synced_session;     /* peer's session at the last full update; 0: none sent */
	uint64_t synced_own_session; /* own session at the last full update */
	uint64_t synced_ns;
	TAILQ_ENTRY(wl_request_peer) link;
} wl_request_peer_t;

TAILQ_HEAD(wl_request_list, wl_request);
TAILQ_HEAD(wl_request_attempt_list, wl_request_attempt);

struct wl_requests {
	wl_request_options_t options;
	wl_buf_t entry;
	wl_buf_t queueing;
	wl_router_t router;
	wl_peer_capacity_t peer_capacity;
	wl_admit_t admit;
	wl_map_t by_origin;
	wl_map_t attempts_by_id;
	wl_map_t by_leader_call;
	wl_map_t services_by_name;
	TAILQ_HEAD(wl_request_services, wl_request_service) services;
	TAILQ_HEAD(wl_request_peers, wl_request_peer) peers;
	struct wl_request_list open;
	struct wl_request_attempt_list attempts;
	wl_heap_t timers;
	wl_heap_t kept_reservations; /* of interrupted requests, by release time; see grace.c */
	size_t open_count;
	size_t queued;
	size_t held;
	wl_admit_customer_t *released_customer; /* customer of which a request ended in this step */
	uint64_t session;			/* newest session of this daemon */
	uint64_t next_id;
	wl_advert_t own_capacity;
	uint64_t last_sent_ns;	  /* time of the last message to the peers */
	uint64_t exchange_end_ns; /* end of the exchange interval: the next exchange is due */
	bool draining;
};

/* request.c */
wl_request_service_t *wl_requests_service(wl_requests_t *requests, wl_str_t name, uint64_t now_ns);
uint64_t wl_requests_id(wl_requests_t *requests);
void wl_requests_timer(wl_requests_t *requests, wl_request_t *request, uint64_t at_ns);
void wl_requests_add(wl_requests_t *requests, wl_request_t *request);
void wl_requests_remove(wl_requests_t *requests, wl_request_t *request);
wl_request_t *wl_requests_find(const wl_requests_t *requests, const wl_request_origin_t *origin);
void wl_request_origin_key(wl_request_origin_t *origin);
void wl_request_free(wl_request_t *request);
void wl_request_begin(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out);

/* check.c */
bool wl_requests_ready(const wl_requests_t *requests, uint64_t now_ns, wl_err_t *err);
wl_request_t *wl_request_accept(wl_requests_t *requests, uint64_t now_ns, wl_call_t *call,
				wl_err_t *err);

/* hold.c */
bool wl_request_may_hold(const wl_requests_t *requests, const wl_admit_customer_t *customer);
void wl_request_hold(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns);
void wl_request_unhold(wl_requests_t *requests, wl_request_t *request);
void wl_request_hold_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			     wl_out_t *out);
void wl_requests_admit(wl_requests_t *requests, wl_admit_customer_t *customer, uint64_t now_ns,
		       wl_out_t *out);
void wl_requests_admit_all(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out);

/* queue.c */
void wl_request_queue(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out);
void wl_request_unqueue(wl_requests_t *requests, wl_request_t *request);
void wl_requests_dispatch(wl_requests_t *requests, wl_request_service_t *service, uint64_t now_ns,
			  wl_out_t *out);
void wl_requests_dispatch_all(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out);

/* send.c */
bool wl_request_send(wl_requests_t *requests, wl_request_t *request,
		     const wl_route_choice_t *choice, uint64_t now_ns, wl_out_t *out);
void wl_request_hedge(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out);
void wl_request_cancel_attempts(wl_requests_t *requests, wl_request_t *request, wl_out_t *out);
void wl_request_attempt_end(wl_requests_t *requests, wl_request_attempt_t *attempt);
uint64_t wl_request_remaining_ms(const wl_request_t *request, uint64_t now_ns);

/* fetched.c */
void wl_requests_fetched(wl_requests_t *requests, uint64_t now_ns, wl_fetched_t *fetched,
			 wl_out_t *out);

/* grace.c */
void wl_requests_keep_reservation(wl_requests_t *requests, const wl_request_service_t *service,
				  wl_str_t target, uint64_t took_ns, uint64_t now_ns);
void wl_requests_release_reservation(wl_requests_t *requests, wl_str_t target);
void wl_requests_release_expired(wl_requests_t *requests, uint64_t now_ns);

/* peer.c */
void wl_requests_peer_message(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event,
			      wl_out_t *out);
void wl_requests_peer_down(wl_requests_t *requests, wl_str_t peer, uint64_t now_ns, wl_out_t *out);
void wl_requests_peers_free(wl_requests_t *requests);
wl_request_peer_t *wl_requests_peer_get(wl_requests_t *requests, wl_str_t name);

/* peer_notify.c */
void wl_requests_exchange(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out);
void wl_requests_schedule_full_update(wl_requests_t *requests, wl_str_t peer);

/* outcome.c */
void wl_outcome_free(wl_outcome_t *outcome);
void wl_outcome_error(wl_outcome_t *outcome, wl_code_t code, wl_verdict_t verdict,
		      const char *text);
void wl_request_attempt_ended(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *outcome,
			      bool reached, uint64_t now_ns, wl_out_t *out);
void wl_request_fail(wl_requests_t *requests, wl_request_t *request, wl_code_t code,
		     const char *text, uint64_t now_ns, wl_out_t *out);
void wl_request_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			wl_out_t *out);
void wl_request_end(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *outcome,
		    uint64_t now_ns, wl_out_t *out);

/* reply.c */
void wl_request_reply(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out);
void wl_requests_refused(wl_requests_t *requests, wl_str_t customer, const wl_err_t *err);

/* key.c */
void wl_request_key_begin(wl_requests_t *requests, wl_request_t *request, wl_out_t *out);
void wl_request_key_end(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			wl_out_t *out);
void wl_request_key_free(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			 wl_out_t *out);
void wl_requests_result(wl_requests_t *requests, uint64_t tag, const wl_result_t *result,
			uint64_t now_ns, wl_out_t *out);

/* headers.c */
void wl_headers_to_target(wl_list_t *to, const wl_list_t *from);
void wl_headers_to_caller(wl_list_t *to, const wl_list_t *from);

#endif
