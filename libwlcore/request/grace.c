/*
 * Reservations of requests that were interrupted or cancelled after they were sent.
 *
 * The target may keep processing such a request and does not report its end.  The
 * reservation is kept for the 95th percentile of the service's latency, or if that
 * is unknown for as long as the request ran, so that the target is not
 * overcommitted in the meantime.
 */

#include "internal.h"

#include <stdlib.h>

#define MIN_GRACE_NS (10 * WL_NS_PER_MS)
#define MAX_GRACE_NS (2000 * WL_NS_PER_MS)

typedef struct wl_kept_reservation {
	wl_heap_node_t node; /* by the time at which the reservation is released */
	wl_buf_t target;
} wl_kept_reservation_t;

static uint64_t grace_ns(const wl_request_service_t *service, uint64_t took_ns)
{
	uint64_t p95 = wl_latency_p95(&service->latency);
	uint64_t keep_ns = p95 ? p95 : took_ns;

	if (keep_ns < MIN_GRACE_NS)
		return MIN_GRACE_NS;
	return keep_ns < MAX_GRACE_NS ? keep_ns : MAX_GRACE_NS;
}

/*
 * wl_requests_keep_reservation - keep the reservation of a request that may still run
 * @service: service of the request
 * @target: target on which the request has its reservation
 * @took_ns: time from its start to the interruption, nanoseconds
 * @now_ns: monotonic time, nanoseconds
 */
void wl_requests_keep_reservation(wl_requests_t *requests, const wl_request_service_t *service,
				  wl_str_t target, uint64_t took_ns, uint64_t now_ns)
{
	wl_kept_reservation_t *kept = wl_alloc(sizeof(*kept));

	kept->node.owner = kept;
	wl_buf_set(&kept->target, target);
	wl_heap_put(&requests->kept_reservations, &kept->node, now_ns + grace_ns(service, took_ns));
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
 * wl_requests_release_expired - release the reservations that have been kept long enough
 * @now_ns: monotonic time, nanoseconds; UINT64_MAX releases all
 */
void wl_requests_release_expired(wl_requests_t *requests, uint64_t now_ns)
{
	wl_heap_node_t *node;

	while ((node = wl_heap_first(&requests->kept_reservations)) && node->key <= now_ns) {
		wl_kept_reservation_t *kept = node->owner;

		wl_heap_remove(&requests->kept_reservations, node);
		wl_requests_release_reservation(requests, wl_buf_str(&kept->target));
		wl_buf_free(&kept->target);
		free(kept);
	}
}
