/*
 * Reservations of requests that were interrupted or cancelled after they were sent.
 *
 * The target may keep processing such a request and does not report its end.  The
 * reservation is held for the 95th percentile of the service's latency, or if that
 * is unknown for as long as the request ran, so that the target is not
 * overcommitted in the meantime.
 */

#include "internal.h"

#include <stdlib.h>

#define MIN_LINGER_NS (10 * WL_NS_PER_MS)
#define MAX_LINGER_NS (2000 * WL_NS_PER_MS)

typedef struct wl_linger {
	wl_heap_node_t node; /* by the time at which the reservation is released */
	wl_buf_t target;
} wl_linger_t;

static uint64_t linger_ns(const wl_request_service_t *service, uint64_t took_ns)
{
	uint64_t p95 = wl_latency_p95(&service->latency);
	uint64_t keep_ns = p95 ? p95 : took_ns;

	if (keep_ns < MIN_LINGER_NS)
		return MIN_LINGER_NS;
	return keep_ns < MAX_LINGER_NS ? keep_ns : MAX_LINGER_NS;
}

/*
 * wl_requests_linger - keep the reservation of a request that may still run
 * @service: service of the request
 * @target: target on which the request has its reservation
 * @took_ns: time from its start to the interruption, nanoseconds
 * @now_ns: monotonic time, nanoseconds
 */
void wl_requests_linger(wl_requests_t *requests, const wl_request_service_t *service,
			wl_str_t target, uint64_t took_ns, uint64_t now_ns)
{
	wl_linger_t *linger = wl_alloc(sizeof(*linger));

	linger->node.owner = linger;
	wl_buf_set(&linger->target, target);
	wl_heap_put(&requests->lingers, &linger->node, now_ns + linger_ns(service, took_ns));
}

/*
 * wl_requests_release_reservation - release the reservation of one request on a target
 */
void wl_requests_release_reservation(wl_requests_t *requests, wl_str_t target)
{
	wl_ledger_t *ledger = requests->options.ledger;
	wl_target_t *found = wl_ledger_find(ledger, target);

	if (found)
		wl_ledger_release(ledger, found, &ledger->request);
}

/*
 * wl_requests_linger_expire - release the reservations that have been kept long enough
 * @now_ns: monotonic time, nanoseconds; UINT64_MAX releases all
 */
void wl_requests_linger_expire(wl_requests_t *requests, uint64_t now_ns)
{
	wl_heap_node_t *node;

	while ((node = wl_heap_first(&requests->lingers)) && node->key <= now_ns) {
		wl_linger_t *linger = node->owner;

		wl_heap_remove(&requests->lingers, node);
		wl_requests_release_reservation(requests, wl_buf_str(&linger->target));
		wl_buf_free(&linger->target);
		free(linger);
	}
}
