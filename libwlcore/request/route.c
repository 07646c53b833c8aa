/*
 * Routing: own targets first, preferably in the own availability zone, then a peer
 * with free capacity.
 *
 * The cost does not depend on the number of targets: a choice compares a few
 * random samples, and scans a bounded window if none of them has free capacity.
 */

#include "route.h"

#include <stdlib.h>

#include <libwlbase/named.h>
#include <libwlbase/units.h>

#define SAMPLES		   4	      /* targets compared per choice */
#define MAX_SCAN	   32	      /* targets scanned if no sample has free capacity */
#define EXPLORE_ONE_IN	   64	      /* one random choice in 64 corrects outdated latencies */
#define ZONE_WEIGHT	   4	      /* weight of capacity in the own availability zone */
#define SLOWDOWN_SCALE	   64	      /* keeps small weights above zero after a slowdown */
#define DEFAULT_LATENCY_NS 1000000ull /* if no sample exists: targets then differ only by load */

typedef struct wl_route_policy {
	const char *name;
	wl_target_t *(*target)(wl_router_t *router, const wl_ledger_service_t *service,
			       const wl_route_query_t *query);
	wl_capacity_report_t *(*peer)(wl_router_t *router, const wl_capacity_service_t *service,
				      const wl_route_query_t *query, uint64_t now_ns);
} wl_route_policy_t;

static bool target_usable(const wl_router_t *router, const wl_target_t *target,
			  const wl_route_query_t *query)
{
	if (query->avoid_target.len && wl_str_equal(wl_buf_str(&target->name), query->avoid_target))
		return false;
	return target->open && wl_ledger_fits(target, &router->ledger->request);
}

static bool peer_usable(const wl_capacity_report_t *report, const wl_route_query_t *query,
			uint64_t now_ns)
{
	if (query->avoid_peer.len &&
	    wl_str_equal(wl_buf_str(&report->peer->name), query->avoid_peer))
		return false;
	return report->free_requests > 0 && wl_capacity_report_valid(report, now_ns);
}

/* Returns the first usable target in a bounded window that starts at @first. */
static wl_target_t *target_scan(const wl_router_t *router, const wl_ledger_service_t *service,
				const wl_route_query_t *query, uint64_t first)
{
	size_t window = service->count < MAX_SCAN ? service->count : MAX_SCAN;

	for (size_t i = 0; i < window; i++) {
		wl_target_t *target = service->targets[(first + i) % service->count];

		if (target_usable(router, target, query))
			return target;
	}
	return NULL;
}

/*
 * Expected latency: recent latency, scaled by the slowdown from co-located work and by the
 * requests in progress.
 */
static uint64_t target_expected_latency(const wl_target_t *target, const wl_route_query_t *query)
{
	uint64_t latency = target->latency_ns ? target->latency_ns : query->latency_ns;
	uint64_t slowdown = target->slowdown_permille;
	uint64_t slots = target->capacity.slots ? target->capacity.slots : 1;

	if (!latency)
		latency = DEFAULT_LATENCY_NS;
	if (slowdown < WL_PERMILLE)
		slowdown = WL_PERMILLE;
	return latency / WL_PERMILLE * slowdown * (slots + target->running_requests) / slots;
}

static bool target_better(const wl_router_t *router, const wl_target_t *a, const wl_target_t *b,
			  const wl_route_query_t *query)
{
	wl_str_t zone = wl_buf_str(&router->availability_zone);
	bool near_a = wl_str_equal(wl_buf_str(&a->availability_zone), zone);
	bool near_b = wl_str_equal(wl_buf_str(&b->availability_zone), zone);

	if (near_a != near_b)
		return near_a;
	return target_expected_latency(a, query) < target_expected_latency(b, query);
}

static wl_target_t *target_least_latency(wl_router_t *router, const wl_ledger_service_t *service,
					 const wl_route_query_t *query)
{
	wl_target_t *best = NULL;
	uint64_t first = wl_rng_below(&router->rng, service->count);
	uint64_t samples = wl_rng_below(&router->rng, EXPLORE_ONE_IN) ? SAMPLES : 1;

	for (uint64_t i = 0; i < samples; i++) {
		uint64_t at = wl_rng_below(&router->rng, service->count);
		wl_target_t *target = service->targets[at];

		if (!target_usable(router, target, query))
			continue;
		if (!best || target_better(router, target, best, query))
			best = target;
	}
	return best ? best : target_scan(router, service, query, first);
}

/*
 * Selects a peer at random, weighted by free capacity and speed, so that entries that
 * choose at the same time do not all choose the same peer.
 */
static wl_capacity_report_t *peer_weighted(wl_router_t *router,
					   const wl_capacity_service_t *service,
					   const wl_route_query_t *query, uint64_t now_ns)
{
	wl_str_t zone = wl_buf_str(&router->availability_zone);
	wl_capacity_report_t *chosen = NULL;
	uint64_t total = 0;
	wl_capacity_report_t *report;

	TAILQ_FOREACH (report, &service->reports, link) {
		uint64_t weight = report->free_requests * SLOWDOWN_SCALE;

		if (!peer_usable(report, query, now_ns))
			continue;
		if (wl_str_equal(wl_buf_str(&report->availability_zone), zone))
			weight *= ZONE_WEIGHT;
		if (report->slowdown_permille > WL_PERMILLE)
			weight = weight * WL_PERMILLE / report->slowdown_permille;
		weight = weight ? weight : 1;
		total += weight;
		if (wl_rng_below(&router->rng, total) < weight)
			chosen = report;
	}
	return chosen;
}

static wl_target_t *target_round_robin(wl_router_t *router, const wl_ledger_service_t *service,
				       const wl_route_query_t *query)
{
	return target_scan(router, service, query, router->cursor++);
}

static wl_capacity_report_t *peer_round_robin(wl_router_t *router,
					      const wl_capacity_service_t *service,
					      const wl_route_query_t *query, uint64_t now_ns)
{
	wl_capacity_report_t *first = NULL;
	wl_capacity_report_t *report;
	uint64_t skip = router->cursor++;
	uint64_t usable = 0;

	TAILQ_FOREACH (report, &service->reports, link)
		usable += peer_usable(report, query, now_ns);
	if (!usable)
		return NULL;
	skip %= usable;
	TAILQ_FOREACH (report, &service->reports, link) {
		if (!peer_usable(report, query, now_ns))
			continue;
		first = report;
		if (skip-- == 0)
			break;
	}
	return first;
}

static const wl_route_policy_t policies[] = {
	{"least-slowdown", target_least_latency, peer_weighted},
	{"round-robin", target_round_robin, peer_round_robin},
};

/*
 * wl_router_init - initialize a router
 * @options: ledger and peer_capacity must outlive the router
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: false for an unknown policy.
 */
bool wl_router_init(wl_router_t *router, const wl_route_options_t *options, wl_err_t *err)
{
	*router = (wl_router_t){.ledger = options->ledger, .peer_capacity = options->peer_capacity};
	router->policy =
		options->policy.len ? WL_NAMED_FIND(policies, options->policy) : &policies[0];
	if (!router->policy)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "unknown routing policy " WL_STR_FMT,
				  WL_STR_ARG(options->policy));
	wl_buf_set(&router->availability_zone, options->availability_zone);
	wl_rng_init(&router->rng, options->seed, 0);
	return true;
}

/*
 * wl_router_free - free a router
 */
void wl_router_free(wl_router_t *router)
{
	wl_buf_free(&router->availability_zone);
}

static bool router_try(wl_router_t *router, const wl_route_query_t *query, uint64_t now_ns,
		       wl_route_choice_t *choice)
{
	const wl_ledger_service_t *own = wl_ledger_service(router->ledger, query->service);
	const wl_capacity_service_t *peers =
		wl_peer_capacity_service(router->peer_capacity, query->service);

	*choice = (wl_route_choice_t){0};
	if (own && own->count && own->free_requests)
		choice->target = router->policy->target(router, own, query);
	if (!choice->target && peers && !query->own_only)
		choice->peer = router->policy->peer(router, peers, query, now_ns);
	return choice->target || choice->peer;
}

/*
 * wl_router_pick - choose an own target or a peer for a request
 * @now_ns: monotonic time, nanoseconds
 * @choice: receives the choice; nothing is reserved
 *
 * Return: false if there is no free capacity.
 */
bool wl_router_pick(wl_router_t *router, const wl_route_query_t *query, uint64_t now_ns,
		    wl_route_choice_t *choice)
{
	wl_route_query_t any = *query;

	if (router_try(router, query, now_ns, choice))
		return true;
	if (query->strict || (!query->avoid_target.len && !query->avoid_peer.len))
		return false;
	any.avoid_target = WL_STR("");
	any.avoid_peer = WL_STR("");
	return router_try(router, &any, now_ns, choice);
}

/*
 * wl_router_offers - check whether any target, here or at a peer, offers a service
 * @now_ns: monotonic time, nanoseconds
 */
bool wl_router_offers(const wl_router_t *router, wl_str_t service, uint64_t now_ns)
{
	const wl_ledger_service_t *own = wl_ledger_service(router->ledger, service);
	const wl_capacity_service_t *peers =
		wl_peer_capacity_service(router->peer_capacity, service);
	const wl_capacity_report_t *report;

	if (own && own->count)
		return true;
	if (!peers)
		return false;
	TAILQ_FOREACH (report, &peers->reports, link)
		if (report->targets && wl_capacity_report_valid(report, now_ns))
			return true;
	return false;
}

/*
 * wl_router_free_requests - number of requests for a service that own targets can start now
 */
uint64_t wl_router_free_requests(const wl_router_t *router, wl_str_t service)
{
	const wl_ledger_service_t *own = wl_ledger_service(router->ledger, service);

	return own ? own->free_requests : 0;
}
