/*
 * Open requests at an entry, and dispatch of events.
 *
 * Each request ends with exactly one answer to its origin: the caller's call or the
 * message of the peer that forwarded it.
 */

#include "internal.h"

#include <stdlib.h>

#define DEFAULT_TIMEOUT_MS  10000
#define DEFAULT_MAX_MS	    600000
#define DEFAULT_QUEUED	    4096
#define DEFAULT_EXCHANGE_MS 100

static void options_fill(wl_request_options_t *options)
{
	if (!options->max_timeout_ms)
		options->max_timeout_ms = DEFAULT_MAX_MS;
	if (!options->default_timeout_ms)
		options->default_timeout_ms = DEFAULT_TIMEOUT_MS;
	if (!options->max_queued)
		options->max_queued = DEFAULT_QUEUED;
	if (!options->exchange_interval_ms)
		options->exchange_interval_ms = DEFAULT_EXCHANGE_MS;
}

/* Checks the policy name at start-up instead of at the first request. */
static bool queueing_known(wl_str_t queueing, wl_err_t *err)
{
	wl_fairq_t queue;

	if (!wl_fairq_init(&queue, queueing, err))
		return false;
	wl_fairq_free(&queue);
	return true;
}

/*
 * wl_requests_new - create the request component of an entry
 * @options: objects it points to must outlive the component; names are copied; zero
 *	numbers select the default, except that retry_permille 0 disables retries
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: the component, or NULL.
 */
wl_requests_t *wl_requests_new(const wl_request_options_t *options, uint64_t now_ns, wl_err_t *err)
{
	wl_budget_options_t budget = {.share_permille = options->retry_permille};
	wl_requests_t *requests;
	wl_route_options_t route = {
		.policy = options->routing,
		.availability_zone = options->availability_zone,
		.ledger = options->ledger,
		.seed = options->seed,
	};

	if (!queueing_known(options->queueing, err))
		return NULL;
	requests = wl_alloc(sizeof(*requests));
	route.peer_capacity = &requests->peer_capacity;
	if (!wl_router_init(&requests->router, &route, err)) {
		free(requests);
		return NULL;
	}
	requests->options = *options;
	options_fill(&requests->options);
	wl_buf_set(&requests->entry, options->entry);
	wl_buf_set(&requests->queueing, options->queueing);
	wl_peer_capacity_init(&requests->peer_capacity);
	wl_advert_init(&requests->own_capacity);
	requests->exchange_end_ns = now_ns + requests->options.exchange_interval_ms * WL_NS_PER_MS;
	wl_admit_init(&requests->admit, &budget, now_ns);
	wl_map_init(&requests->by_origin);
	wl_map_init(&requests->attempts_by_id);
	wl_map_init(&requests->by_leader_call);
	wl_map_init(&requests->services_by_name);
	TAILQ_INIT(&requests->services);
	TAILQ_INIT(&requests->peers);
	TAILQ_INIT(&requests->open);
	TAILQ_INIT(&requests->attempts);
	return requests;
}

static void services_free(wl_requests_t *requests)
{
	wl_request_service_t *service;

	while ((service = TAILQ_FIRST(&requests->services))) {
		TAILQ_REMOVE(&requests->services, service, link);
		wl_fairq_free(&service->queue);
		wl_buf_free(&service->name);
		free(service);
	}
}

/*
 * wl_requests_free - free the component; open requests are not answered
 */
void wl_requests_free(wl_requests_t *requests)
{
	wl_request_t *request;
	wl_request_attempt_t *attempt;

	if (!requests)
		return;
	while ((attempt = TAILQ_FIRST(&requests->attempts)))
		wl_request_attempt_end(requests, attempt);
	while ((request = TAILQ_FIRST(&requests->open)))
		wl_requests_remove(requests, request);
	services_free(requests);
	wl_requests_peers_free(requests);
	wl_admit_free(&requests->admit);
	wl_peer_capacity_free(&requests->peer_capacity);
	wl_advert_free(&requests->own_capacity);
	wl_router_free(&requests->router);
	wl_requests_release_expired(requests, UINT64_MAX);
	wl_heap_free(&requests->kept_reservations);
	wl_heap_free(&requests->timers);
	wl_map_free(&requests->by_origin);
	wl_map_free(&requests->attempts_by_id);
	wl_map_free(&requests->by_leader_call);
	wl_map_free(&requests->services_by_name);
	wl_buf_free(&requests->entry);
	wl_buf_free(&requests->queueing);
	free(requests);
}

/*
 * wl_requests_service - find or create the state of a service
 * @name: must be allowed by a plan, as its state is kept
 * @now_ns: monotonic time, nanoseconds
 */
wl_request_service_t *wl_requests_service(wl_requests_t *requests, wl_str_t name, uint64_t now_ns)
{
	wl_request_service_t *service = wl_map_get(&requests->services_by_name, name);

	if (service)
		return service;
	service = wl_alloc(sizeof(*service));
	wl_buf_set(&service->name, name);
	service->key = wl_buf_str(&service->name);
	service->last_offered_ns = now_ns;
	wl_fairq_init(&service->queue, wl_buf_str(&requests->queueing), NULL);
	wl_map_put(&requests->services_by_name, service);
	TAILQ_INSERT_TAIL(&requests->services, service, link);
	return service;
}

/*
 * wl_requests_id - allocate an id that is unique in this daemon
 */
uint64_t wl_requests_id(wl_requests_t *requests)
{
	return WL_PART_ID(WL_PART_REQUEST, ++requests->next_id);
}

/*
 * wl_requests_timer - set the timer of a request
 * @at_ns: monotonic time, nanoseconds; replaces the previous time
 */
void wl_requests_timer(wl_requests_t *requests, wl_request_t *request, uint64_t at_ns)
{
	request->timer.owner = request;
	wl_heap_put(&requests->timers, &request->timer, at_ns);
}

/*
 * wl_request_origin_key - compute the map key of an origin
 * @origin: either call, or peer, session and id, must be set
 */
void wl_request_origin_key(wl_request_origin_t *origin)
{
	wl_buf_clear(&origin->bytes);
	wl_buf_append(&origin->bytes, (wl_str_t){(const char *)&origin->call, sizeof(uint64_t)});
	wl_buf_append(&origin->bytes, (wl_str_t){(const char *)&origin->session, sizeof(uint64_t)});
	wl_buf_append(&origin->bytes, (wl_str_t){(const char *)&origin->id, sizeof(uint64_t)});
	wl_buf_append(&origin->bytes, wl_buf_str(&origin->peer));
	origin->key = wl_buf_str(&origin->bytes);
}

/*
 * wl_requests_find - find an open request by its origin
 * @origin: its key must be set
 *
 * Return: the request or NULL.
 */
wl_request_t *wl_requests_find(const wl_requests_t *requests, const wl_request_origin_t *origin)
{
	const wl_request_origin_t *found = wl_map_get(&requests->by_origin, origin->key);

	return found ? found->request : NULL;
}

/*
 * wl_requests_add - initialize a request and add it to the open ones
 */
void wl_requests_add(wl_requests_t *requests, wl_request_t *request)
{
	TAILQ_INIT(&request->attempts);
	request->hedge_ns = UINT64_MAX;
	request->origin.request = request;
	request->waiting.owner = request;
	request->waiting.deadline_ns = request->deadline_ns;
	wl_request_origin_key(&request->origin);
	wl_map_put(&requests->by_origin, &request->origin);
	TAILQ_INSERT_TAIL(&requests->open, request, link);
	requests->open_count++;
}

/*
 * wl_request_free - free a request that is not open
 */
void wl_request_free(wl_request_t *request)
{
	wl_outcome_free(&request->outcome);
	wl_buf_free(&request->origin.bytes);
	wl_buf_free(&request->origin.peer);
	wl_buf_free(&request->customer_name);
	wl_buf_free(&request->method);
	wl_buf_free(&request->path);
	wl_list_free(&wl_header_schema, &request->headers);
	wl_buf_free(&request->body);
	wl_buf_free(&request->avoid_target);
	wl_buf_free(&request->avoid_peer);
	wl_buf_free(&request->key);
	free(request);
}

/*
 * wl_requests_remove - remove an open request, detach its attempts and free it
 */
void wl_requests_remove(wl_requests_t *requests, wl_request_t *request)
{
	wl_request_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&request->attempts))) {
		TAILQ_REMOVE(&request->attempts, attempt, request_link);
		attempt->request = NULL;
	}
	wl_request_unqueue(requests, request);
	wl_heap_remove(&requests->timers, &request->timer);
	wl_id_remove(&requests->by_leader_call, &request->leader_call);
	wl_map_remove(&requests->by_origin, request->origin.key);
	TAILQ_REMOVE(&requests->open, request, link);
	requests->open_count--;
	wl_request_unhold(requests, request);
	if (request->admitted) {
		wl_admit_leave(request->customer);
		requests->released_customer = request->customer;
	}
	wl_request_free(request);
}

/*
 * wl_request_begin - dispatch an admitted request
 *
 * Commits its idempotency key first if it has one, otherwise queues it.
 */
void wl_request_begin(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out)
{
	if (request->key.len)
		wl_request_key_begin(requests, request, out);
	else
		wl_request_queue(requests, request, now_ns, out);
}

static void requests_handle_call(wl_requests_t *requests, uint64_t now_ns, wl_call_t *call,
				 wl_out_t *out)
{
	const wl_buf_t *name = wl_headers_find(&call->headers, WL_STR("Wisterialead-Customer"));
	wl_err_t err = {0};
	wl_request_t *request = wl_request_accept(requests, now_ns, call, &err);

	if (!request) {
		wl_requests_refused(requests, name ? wl_buf_str(name) : WL_STR(""), &err);
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	if (request->admitted)
		wl_request_begin(requests, request, now_ns, out);
	else
		wl_request_hold(requests, request, now_ns);
}

/*
 * A request with an idempotency key continues after its caller has disconnected, so that its
 * outcome is stored for a retry of the caller.
 */
static void requests_handle_disconnect(wl_requests_t *requests, uint64_t call, wl_out_t *out)
{
	wl_request_origin_t origin = {.call = call};
	wl_request_t *request;

	wl_request_origin_key(&origin);
	request = wl_requests_find(requests, &origin);
	wl_buf_free(&origin.bytes);
	if (!request)
		return;
	request->origin.caller_gone = true;
	if (request->key.len && request->state != WL_REQUEST_HELD)
		return;
	wl_request_cancel_attempts(requests, request, out);
	wl_requests_remove(requests, request);
}

static void requests_tick(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	const wl_heap_node_t *node;

	while ((node = wl_heap_first(&requests->timers)) && node->key <= now_ns)
		wl_request_expired(requests, node->owner, now_ns, out);
	wl_requests_release_expired(requests, now_ns);
	wl_requests_exchange(requests, now_ns, out);
	wl_requests_admit_all(requests, now_ns, out);
	wl_requests_dispatch_all(requests, now_ns, out);
}

static void requests_handle_view(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	wl_peer_capacity_apply_view(&requests->peer_capacity, requests->options.view);
	wl_admit_apply_view(&requests->admit, requests->options.view);
	wl_requests_dispatch_all(requests, now_ns, out);
}

static void requests_handle_event(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event,
				  wl_out_t *out)
{
	switch (event->kind) {
	case WL_EVENT_TICK:
		requests_tick(requests, now_ns, out);
		break;
	case WL_EVENT_CALL:
		requests_handle_call(requests, now_ns, &event->call, out);
		break;
	case WL_EVENT_CALL_ABANDONED:
		requests_handle_disconnect(requests, event->call.id, out);
		break;
	case WL_EVENT_FETCHED:
		wl_requests_fetched(requests, now_ns, &event->fetched, out);
		break;
	case WL_EVENT_PEER:
		wl_requests_peer_message(requests, now_ns, event, out);
		break;
	case WL_EVENT_PEER_UP:
		wl_requests_schedule_full_update(requests, wl_buf_str(&event->peer));
		break;
	case WL_EVENT_PEER_DOWN:
		wl_requests_peer_down(requests, wl_buf_str(&event->peer), now_ns, out);
		break;
	case WL_EVENT_RESULT:
		wl_requests_result(requests, event->tag, event->result, now_ns, out);
		break;
	case WL_EVENT_VIEW:
		requests_handle_view(requests, now_ns, out);
		break;
	case WL_EVENT_DRAIN:
		wl_requests_drain(requests);
		break;
	default:
		break;
	}
}

/*
 * wl_requests_step - handle one event
 * @now_ns: monotonic time, nanoseconds
 * @event: may be moved from
 * @out: actions are added
 */
void wl_requests_step(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	/* kept after the session ends, as open requests continue under it */
	if (requests->options.session->id)
		requests->session = requests->options.session->id;
	requests->released_customer = NULL;
	requests_handle_event(requests, now_ns, event, out);
	if (requests->released_customer)
		wl_requests_admit(requests, requests->released_customer, now_ns, out);
}

/*
 * wl_requests_drain - refuse new requests; open ones continue to their end
 */
void wl_requests_drain(wl_requests_t *requests)
{
	requests->draining = true;
}

/*
 * wl_requests_open - number of requests without an answer
 */
size_t wl_requests_open(const wl_requests_t *requests)
{
	return requests->open_count;
}
