#ifndef WL_ROUTE_H
#define WL_ROUTE_H

#include <libwlbase/rng.h>
#include <libwlcore/request/peer_capacity.h>

/* Routing: selects an own target or a peer with free capacity for a request. */

struct wl_route_policy;

typedef struct wl_route_options {
	wl_str_t policy; /* policy name; "" selects the default */
	wl_str_t availability_zone;
	wl_ledger_t *ledger;
	wl_peer_capacity_t *peer_capacity;
	uint64_t seed;
} wl_route_options_t;

typedef struct wl_router {
	const struct wl_route_policy *policy;
	wl_buf_t availability_zone;
	wl_ledger_t *ledger;
	wl_peer_capacity_t *peer_capacity;
	wl_rng_t rng;
	uint64_t cursor; /* position of round-robin */
} wl_router_t;

/* Requirements for a route. */
typedef struct wl_route_query {
	wl_str_t service;
	wl_str_t avoid_target; /* used only if nothing else has free capacity */
	wl_str_t avoid_peer;
	uint64_t latency_ns; /* assumed for targets without samples */
	bool own_only;	     /* request of a peer, which must not be forwarded again */
	bool strict;	     /* fail instead of using what is to be avoided */
} wl_route_query_t;

/* Result of routing: either an own target or a peer's capacity report. */
typedef struct wl_route_choice {
	wl_target_t *target;
	wl_capacity_report_t *peer;
} wl_route_choice_t;

bool wl_router_init(wl_router_t *router, const wl_route_options_t *options, wl_err_t *err);
void wl_router_free(wl_router_t *router);
bool wl_router_pick(wl_router_t *router, const wl_route_query_t *query, uint64_t now_ns,
		    wl_route_choice_t *choice);
bool wl_router_offers(const wl_router_t *router, wl_str_t service, uint64_t now_ns);
uint64_t wl_router_free_requests(const wl_router_t *router, wl_str_t service);

#endif
