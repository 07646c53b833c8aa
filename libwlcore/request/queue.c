/*
 * Queueing of requests until there is free capacity: bounded, fair among customers,
 * limited by the deadline.
 */

#include "internal.h"

#define RELIEF_INTERVAL_NS (50 * WL_NS_PER_MS)	 /* per service, between calls to the owner */
#define NO_TARGET_WAIT_NS  (3000 * WL_NS_PER_MS) /* wait for a service without targets */
#define CUSTOMER_DIVISOR   4 /* one customer may use at most this share of the queue */

/* Returns whether the remaining time is less than the typical latency of the service. */
static bool request_misses_deadline(const wl_request_t *request, uint64_t now_ns)
{
	return now_ns + wl_latency_typical(&request->service->latency, now_ns) >=
	       request->deadline_ns;
}

static bool queue_full(const wl_requests_t *requests, const wl_request_t *request)
{
	uint64_t limit = requests->options.max_queued;

	return requests->queued >= limit || request->customer->queued >= limit / CUSTOMER_DIVISOR;
}

static bool service_known(wl_requests_t *requests, wl_request_service_t *service, uint64_t now_ns)
{
	if (wl_router_offers(&requests->router, service->key, now_ns))
		service->last_offered_ns = now_ns;
	return now_ns < service->last_offered_ns + NO_TARGET_WAIT_NS;
}

/*
 * wl_request_queue - queue a caller's request; it may be sent at once
 * @now_ns: monotonic time, nanoseconds
 *
 * The request is refused if it cannot finish before its deadline, the queue is
 * full, or no target offers its service.
 */
void wl_request_queue(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out)
{
	if (!service_known(requests, request->service, now_ns)) {
		wl_request_fail(requests, request, WL_E_NO_TARGET, "no target offers the service",
				now_ns, out);
		return;
	}
	if (request_misses_deadline(request, now_ns)) {
		wl_request_fail(requests, request, WL_E_DEADLINE,
				"remaining time is below the typical latency of the service",
				now_ns, out);
		return;
	}
	if (queue_full(requests, request)) {
		wl_request_fail(requests, request, WL_E_OVERLOADED, "request queue is full", now_ns,
				out);
		return;
	}
	request->state = WL_REQUEST_QUEUED;
	request->queued_ns = now_ns;
	requests->queued++;
	request->customer->queued++;
	wl_fairq_push(&request->service->queue, &request->waiting, request->customer->key,
		      request->customer->weight);
	wl_requests_timer(requests, request, request->deadline_ns);
	wl_requests_dispatch(requests, request->service, now_ns, out);
}

/*
 * wl_request_unqueue - remove a request from its queue; no effect on one that is not
 * queued
 */
void wl_request_unqueue(wl_requests_t *requests, wl_request_t *request)
{
	if (!request->waiting.lane)
		return;
	wl_fairq_remove(&request->service->queue, &request->waiting);
	requests->queued--;
	request->customer->queued--;
}

static void request_dequeue(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns)
{
	wl_fairq_pop(&request->service->queue, &request->waiting);
	requests->queued--;
	request->customer->queued--;
	wl_metrics_observe(requests->options.metrics, "wisterialead_queue_wait_seconds",
			   request->customer->labels.at, now_ns - request->queued_ns);
}

static void service_relieve_pressure(wl_requests_t *requests, wl_request_service_t *service,
				     uint64_t now_ns, wl_out_t *out)
{
	if (!service->queue.count || now_ns < service->next_relief_ns || !requests->options.owner)
		return;
	service->next_relief_ns = now_ns + RELIEF_INTERVAL_NS;
	wl_owner_relieve_pressure(requests->options.owner, service->key, now_ns, out);
}

/*
 * wl_requests_dispatch - send queued requests of a service while there is free capacity
 * @now_ns: monotonic time, nanoseconds
 *
 * If requests remain queued, the owner is asked to free capacity.
 */
void wl_requests_dispatch(wl_requests_t *requests, wl_request_service_t *service, uint64_t now_ns,
			  wl_out_t *out)
{
	const wl_fairq_item_t *item;

	while ((item = wl_fairq_first(&service->queue))) {
		wl_request_t *request = item->owner;
		wl_route_query_t query = {
			.service = service->key,
			.avoid_target = wl_buf_str(&request->avoid_target),
			.avoid_peer = wl_buf_str(&request->avoid_peer),
			.latency_ns = wl_latency_mean(&service->latency, now_ns),
		};
		wl_route_choice_t choice;

		if (request_misses_deadline(request, now_ns)) {
			wl_request_fail(
				requests, request, WL_E_DEADLINE,
				"remaining time is below the typical latency of the service",
				now_ns, out);
			continue;
		}
		if (!wl_router_pick(&requests->router, &query, now_ns, &choice))
			break;
		request_dequeue(requests, request, now_ns);
		if (!wl_request_send(requests, request, &choice, now_ns, out))
			wl_request_fail(requests, request, WL_E_OVERLOADED,
					"target has no free capacity", now_ns, out);
	}
	service_relieve_pressure(requests, service, now_ns, out);
}

/*
 * wl_requests_dispatch_all - send queued requests of all services; refuse those no target offers
 * @now_ns: monotonic time, nanoseconds
 */
void wl_requests_dispatch_all(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	wl_request_service_t *service;

	TAILQ_FOREACH (service, &requests->services, link) {
		bool known = service_known(requests, service, now_ns);
		const wl_fairq_item_t *item;

		while (!known && (item = wl_fairq_first(&service->queue)))
			wl_request_fail(requests, item->owner, WL_E_NO_TARGET,
					"no target offers the service", now_ns, out);
		if (service->queue.count)
			wl_requests_dispatch(requests, service, now_ns, out);
	}
}
