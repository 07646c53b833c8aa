/* Waiting for room: bounded, fair, and never past the deadline. */

#include "internal.h"

#define PRESS_NS	 (50 * WL_NS_PER_MS)
#define UNKNOWN_NS	 (3000 * WL_NS_PER_MS) /* a service without targets is waited for so long */
#define CUSTOMER_DIVISOR 4 /* of the queue, the most that one customer may fill */

/* Whether the time left is less than what the service takes nowadays. */
static bool request_too_late(const wl_request_t *request, uint64_t now_ns)
{
	return now_ns + wl_latency_typical(&request->service->latency, now_ns) >=
	       request->deadline_ns;
}

static bool queue_full(const wl_requests_t *requests, const wl_request_t *request)
{
	uint64_t most = requests->options.max_queued;

	return requests->queued >= most || request->customer->queued >= most / CUSTOMER_DIVISOR;
}

static bool service_known(wl_requests_t *requests, wl_request_service_t *service, uint64_t now_ns)
{
	if (wl_router_knows(&requests->router, service->key, now_ns))
		service->known_ns = now_ns;
	return now_ns < service->known_ns + UNKNOWN_NS;
}

/*
 * wl_request_queue - let a caller's request wait for room; it may be sent at once
 *
 * It is refused when it can't be done in time, the queue is full, or no
 * target offers its service.
 */
void wl_request_queue(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out)
{
	if (!service_known(requests, request->service, now_ns)) {
		wl_request_fail(requests, request, WL_E_NO_TARGET, "no target offers the service",
				now_ns, out);
		return;
	}
	if (request_too_late(request, now_ns)) {
		wl_request_fail(requests, request, WL_E_DEADLINE,
				"can't be done within the time left", now_ns, out);
		return;
	}
	if (queue_full(requests, request)) {
		wl_request_fail(requests, request, WL_E_OVERLOADED, "the queue is full", now_ns,
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
	wl_requests_pump(requests, request->service, now_ns, out);
}

/*
 * wl_request_unqueue - take a request out of its queue; no effect on one that does not wait
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

static void service_press(wl_requests_t *requests, wl_request_service_t *service, uint64_t now_ns,
			  wl_out_t *out)
{
	if (!service->queue.count || now_ns < service->press_ns || !requests->options.owner)
		return;
	service->press_ns = now_ns + PRESS_NS;
	wl_owner_relieve_pressure(requests->options.owner, service->key, now_ns, out);
}

/*
 * wl_requests_pump - send what waits for a service as far as there is room
 *
 * If some still waits then, room is asked for.
 */
void wl_requests_pump(wl_requests_t *requests, wl_request_service_t *service, uint64_t now_ns,
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
		wl_route_place_t place;

		if (request_too_late(request, now_ns)) {
			wl_request_fail(requests, request, WL_E_DEADLINE,
					"can't be done within the time left", now_ns, out);
			continue;
		}
		if (!wl_router_pick(&requests->router, &query, now_ns, &place))
			break;
		request_dequeue(requests, request, now_ns);
		if (!wl_request_send(requests, request, &place, now_ns, out))
			wl_request_fail(requests, request, WL_E_OVERLOADED,
					"the target has no room", now_ns, out);
	}
	service_press(requests, service, now_ns, out);
}

/*
 * wl_requests_pump_all - send what waits for any service; refuse what no target offers
 */
void wl_requests_pump_all(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	wl_request_service_t *service;

	TAILQ_FOREACH (service, &requests->services, link) {
		bool known = service_known(requests, service, now_ns);
		const wl_fairq_item_t *item;

		while (!known && (item = wl_fairq_first(&service->queue)))
			wl_request_fail(requests, item->owner, WL_E_NO_TARGET,
					"no target offers the service", now_ns, out);
		if (service->queue.count)
			wl_requests_pump(requests, service, now_ns, out);
	}
}
