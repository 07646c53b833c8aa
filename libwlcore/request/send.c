/* Sends requests to own targets, with a reservation, or to peers. */

#include "internal.h"

#include <stdlib.h>

#define ANSWER_GRACE_NS (100 * WL_NS_PER_MS) /* lets the verdict arrive after the deadline */
#define MIN_HEDGE_NS	WL_NS_PER_MS

/*
 * wl_request_remaining_ms - time until the caller's deadline
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: milliseconds, at least 1.
 */
uint64_t wl_request_remaining_ms(const wl_request_t *request, uint64_t now_ns)
{
	uint64_t left = 0;

	if (request->deadline_ns > now_ns)
		left = (request->deadline_ns - now_ns) / WL_NS_PER_MS;
	return left ? left : 1;
}

static wl_request_attempt_t *attempt_new(wl_requests_t *requests, wl_request_t *request,
					 uint64_t now_ns)
{
	wl_request_attempt_t *attempt = wl_alloc(sizeof(*attempt));

	attempt->request = request;
	attempt->service = request->service;
	attempt->sent_ns = now_ns;
	wl_id_put(&requests->attempts_by_id, &attempt->node, wl_requests_id(requests), attempt);
	TAILQ_INSERT_TAIL(&request->attempts, attempt, request_link);
	TAILQ_INSERT_TAIL(&requests->attempts, attempt, link);
	return attempt;
}

/*
 * wl_request_attempt_end - remove and free an attempt that ended or whose answer is not needed
 */
void wl_request_attempt_end(wl_requests_t *requests, wl_request_attempt_t *attempt)
{
	if (attempt->request)
		TAILQ_REMOVE(&attempt->request->attempts, attempt, request_link);
	TAILQ_REMOVE(&requests->attempts, attempt, link);
	wl_id_remove(&requests->attempts_by_id, &attempt->node);
	wl_buf_free(&attempt->target);
	wl_buf_free(&attempt->peer);
	free(attempt);
}

static void header_number(wl_list_t *headers, wl_str_t name, uint64_t number)
{
	wl_buf_t text = {0};

	wl_buf_printf(&text, "%llu", (unsigned long long)number);
	wl_headers_add(headers, name, wl_buf_str(&text));
	wl_buf_free(&text);
}

static void headers_copy(wl_list_t *to, const wl_list_t *from)
{
	const wl_header_t *items = from->items;

	for (size_t i = 0; i < from->count; i++)
		wl_headers_add(to, wl_buf_str(&items[i].name), wl_buf_str(&items[i].value));
}

static bool send_to_target(wl_requests_t *requests, wl_request_t *request, wl_target_t *target,
			   uint64_t now_ns, wl_out_t *out)
{
	wl_ledger_t *ledger = requests->options.ledger;
	wl_fetch_t *fetch;
	wl_request_attempt_t *attempt;

	if (!wl_ledger_reserve(ledger, target, &ledger->request))
		return false;
	attempt = attempt_new(requests, request, now_ns);
	wl_buf_set(&attempt->target, wl_buf_str(&target->name));

	fetch = wl_out_fetch(out, attempt->node.id, wl_buf_str(&target->address),
			     wl_buf_str(&request->method), wl_buf_str(&request->path),
			     wl_request_remaining_ms(request, now_ns));
	headers_copy(&fetch->headers, &request->headers);
	header_number(&fetch->headers, WL_STR("Wisterialead-Epoch"), target->epoch);
	header_number(&fetch->headers, WL_STR("Wisterialead-Boot"), target->boot);
	header_number(&fetch->headers, WL_STR("Wisterialead-Seq"), target->seq);
	wl_headers_add(&fetch->headers, WL_STR("Wisterialead-Service"), request->service->key);
	wl_headers_add(&fetch->headers, WL_STR("Wisterialead-Customer"),
		       wl_buf_str(&request->customer_name));
	wl_buf_set(&fetch->body, wl_buf_str(&request->body));
	return true;
}

static void send_to_peer(wl_requests_t *requests, wl_request_t *request,
			 wl_capacity_report_t *report, uint64_t now_ns, wl_out_t *out)
{
	wl_request_attempt_t *attempt = attempt_new(requests, request, now_ns);
	wl_msg_request_t *msg;

	report->free_requests--;
	attempt->session = requests->session;
	wl_buf_set(&attempt->peer, wl_buf_str(&report->peer->name));

	msg = &wl_out_send(out, wl_buf_str(&attempt->peer), WL_MSG_REQUEST)->u.request;
	msg->id = attempt->node.id;
	msg->session = attempt->session;
	wl_buf_set(&msg->customer, wl_buf_str(&request->customer_name));
	wl_buf_set(&msg->service, request->service->key);
	wl_buf_set(&msg->method, wl_buf_str(&request->method));
	wl_buf_set(&msg->path, wl_buf_str(&request->path));
	headers_copy(&msg->headers, &request->headers);
	wl_buf_set(&msg->body, wl_buf_str(&request->body));
	msg->timeout_ms = wl_request_remaining_ms(request, now_ns);
	msg->work_class = request->work_class;
	msg->idempotent = request->idempotent;
	wl_buf_set(&msg->avoid, wl_buf_str(&request->avoid_target));
	wl_metrics_add(requests->options.metrics, "wisterialead_forwards_total",
		       request->customer->labels.at, 1);
}

/* Schedules a hedged attempt for a caller's idempotent request. */
static void send_plan_hedge(const wl_requests_t *requests, wl_request_t *request, uint64_t now_ns)
{
	uint64_t p95 = wl_latency_p95(&request->service->latency);

	request->hedge_ns = UINT64_MAX;
	if (!request->customer || !request->idempotent || !p95 || !requests->options.retry_permille)
		return;
	request->hedge_ns = now_ns + (p95 > MIN_HEDGE_NS ? p95 : MIN_HEDGE_NS);
}

static void send_timer(wl_requests_t *requests, wl_request_t *request)
{
	uint64_t end_ns = request->deadline_ns + ANSWER_GRACE_NS;

	wl_requests_timer(requests, request,
			  request->hedge_ns < end_ns ? request->hedge_ns : end_ns);
}

static bool send_attempt(wl_requests_t *requests, wl_request_t *request,
			 const wl_route_choice_t *choice, uint64_t now_ns, wl_out_t *out)
{
	if (choice->target)
		return send_to_target(requests, request, choice->target, now_ns, out);
	send_to_peer(requests, request, choice->peer, now_ns, out);
	return true;
}

/*
 * wl_request_send - send a request
 * @request: not queued, without attempts in flight
 * @choice: result of wl_router_pick() in the same step
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: false, with nothing sent, if the target has no free capacity.
 */
bool wl_request_send(wl_requests_t *requests, wl_request_t *request,
		     const wl_route_choice_t *choice, uint64_t now_ns, wl_out_t *out)
{
	if (!send_attempt(requests, request, choice, now_ns, out))
		return false;
	request->state = WL_REQUEST_SENT;
	send_plan_hedge(requests, request, now_ns);
	send_timer(requests, request);
	return true;
}

/*
 * wl_request_hedge - send a second attempt elsewhere if capacity and retry budget allow it
 * @request: has one attempt in flight
 * @now_ns: monotonic time, nanoseconds
 */
void wl_request_hedge(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out)
{
	const wl_request_attempt_t *first = TAILQ_FIRST(&request->attempts);
	wl_route_query_t query = {
		.service = request->service->key,
		.avoid_target = wl_buf_str(&first->target),
		.avoid_peer = wl_buf_str(&first->peer),
		.latency_ns = wl_latency_mean(&request->service->latency, now_ns),
		.strict = true,
	};
	wl_route_choice_t choice;

	request->hedge_ns = UINT64_MAX;
	send_timer(requests, request);
	/* queued requests take precedence over hedged attempts */
	if (now_ns >= request->deadline_ns || request->service->queue.count ||
	    TAILQ_NEXT(first, request_link))
		return;
	if (!wl_router_pick(&requests->router, &query, now_ns, &choice) ||
	    !wl_budget_take(&request->customer->budget, now_ns))
		return;
	if (send_attempt(requests, request, &choice, now_ns, out))
		wl_metrics_add(requests->options.metrics, "wisterialead_hedges_total",
			       request->customer->labels.at, 1);
}

static void attempt_cancel_at_peer(wl_requests_t *requests, wl_request_attempt_t *attempt,
				   wl_out_t *out)
{
	wl_msg_t *msg = wl_out_send(out, wl_buf_str(&attempt->peer), WL_MSG_CANCEL);

	msg->u.cancel.id = attempt->node.id;
	msg->u.cancel.session = attempt->session;
	wl_peer_capacity_return(&requests->peer_capacity, wl_buf_str(&attempt->peer),
				attempt->service->key);
	wl_request_attempt_end(requests, attempt);
}

/*
 * wl_request_cancel_attempts - cancel all attempts in flight
 *
 * An attempt on an own target keeps its reservation until its end is reported.
 */
void wl_request_cancel_attempts(wl_requests_t *requests, wl_request_t *request, wl_out_t *out)
{
	wl_request_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&request->attempts))) {
		TAILQ_REMOVE(&request->attempts, attempt, request_link);
		attempt->request = NULL;
		if (attempt->target.len)
			wl_out_fetch_cancel(out, attempt->node.id);
		else
			attempt_cancel_at_peer(requests, attempt, out);
	}
}
