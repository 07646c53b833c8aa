/*
 * Room of requests that were cut or called off after they were sent.
 *
 * The target may go on with such a request for a while, and nothing tells when
 * it ends.  Its room is kept for as long as a slow request of the service
 * takes, so that the target is not given more than it can carry meanwhile.
 */

#include "internal.h"

#include <stdlib.h>

#define LEAST_NS (10 * WL_NS_PER_MS)
#define MOST_NS	 (2000 * WL_NS_PER_MS)

typedef struct wl_linger {
	wl_heap_node_t node; /* by the time at which its room is given back */
	wl_buf_t target;
} wl_linger_t;

static uint64_t linger_ns(const wl_request_service_t *service, uint64_t took_ns)
{
	uint64_t p95 = wl_latency_p95(&service->latency);
	uint64_t keep_ns = p95 ? p95 : took_ns;

	if (keep_ns < LEAST_NS)
		return LEAST_NS;
	return keep_ns < MOST_NS ? keep_ns : MOST_NS;
}

/*
 * wl_requests_linger - keep the room of a request that may still run
 * @target: on which its room is reserved
 * @took_ns: how long it ran till it was cut
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
 * wl_requests_release - give the room of one request back
 */
void wl_requests_release(wl_requests_t *requests, wl_str_t target)
{
	wl_ledger_t *ledger = requests->options.ledger;
	wl_target_t *found = wl_ledger_find(ledger, target);

	if (found)
		wl_ledger_release(ledger, found, &ledger->request);
}

/*
 * wl_requests_linger_end - give back what has been kept long enough
 * @now_ns: monotonic time, nanoseconds; UINT64_MAX for all
 */
void wl_requests_linger_end(wl_requests_t *requests, uint64_t now_ns)
{
	wl_heap_node_t *node;

	while ((node = wl_heap_first(&requests->lingers)) && node->key <= now_ns) {
		wl_linger_t *linger = node->owner;

		wl_heap_remove(&requests->lingers, node);
		wl_requests_release(requests, wl_buf_str(&linger->target));
		wl_buf_free(&linger->target);
		free(linger);
	}
}
