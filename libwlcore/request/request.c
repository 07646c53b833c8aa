/*
 * Requests at an entry: what is open, and which event goes where.
 *
 * Each request ends in exactly one answer to its origin, a caller or a peer.
 */

#include "internal.h"

#include <stdlib.h>

#define DEFAULT_TIMEOUT_MS 10000
#define DEFAULT_MAX_MS	   600000
#define DEFAULT_QUEUED	   4096
#define DEFAULT_ROOM_MS	   100

static void options_fill(wl_request_options_t *options)
{
	if (!options->max_timeout_ms)
		options->max_timeout_ms = DEFAULT_MAX_MS;
	if (!options->default_timeout_ms)
		options->default_timeout_ms = DEFAULT_TIMEOUT_MS;
	if (!options->max_queued)
		options->max_queued = DEFAULT_QUEUED;
	if (!options->room_ms)
		options->room_ms = DEFAULT_ROOM_MS;
}

/* A policy that doesn't exist is found at start, not by the first request. */
static bool queueing_known(wl_str_t queueing, wl_err_t *err)
{
	wl_fairq_t queue;

	if (!wl_fairq_init(&queue, queueing, err))
		return false;
	wl_fairq_free(&queue);
	return true;
}

/*
 * wl_requests_new - make the request part of an entry
 * @options: what they point at must outlive the part; names are copied; zero
 *	numbers mean the default, except retry_permille, of which 0 means no retries
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: the part, or NULL.
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
	route.rooms = &requests->rooms;
	if (!wl_router_init(&requests->router, &route, err)) {
		free(requests);
		return NULL;
	}
	requests->options = *options;
	options_fill(&requests->options);
	wl_buf_set(&requests->entry, options->entry);
	wl_buf_set(&requests->queueing, options->queueing);
	wl_rooms_init(&requests->rooms);
	wl_tell_init(&requests->tell);
	requests->tell_ns = now_ns + requests->options.room_ms * WL_NS_PER_MS;
	wl_admit_init(&requests->admit, &budget, now_ns);
	wl_map_init(&requests->by_origin);
	wl_map_init(&requests->tries_by_id);
	wl_map_init(&requests->by_leader_call);
	wl_map_init(&requests->services_by_name);
	TAILQ_INIT(&requests->services);
	TAILQ_INIT(&requests->peers);
	TAILQ_INIT(&requests->open);
	TAILQ_INIT(&requests->tries);
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
 * wl_requests_free - release the part with all that is open, unanswered
 */
void wl_requests_free(wl_requests_t *requests)
{
	wl_request_t *request;
	wl_try_t *one;

	if (!requests)
		return;
	while ((one = TAILQ_FIRST(&requests->tries)))
		wl_try_end(requests, one);
	while ((request = TAILQ_FIRST(&requests->open)))
		wl_requests_remove(requests, request);
	services_free(requests);
	wl_requests_peers_free(requests);
	wl_admit_free(&requests->admit);
	wl_rooms_free(&requests->rooms);
	wl_tell_free(&requests->tell);
	wl_router_free(&requests->router);
	wl_requests_linger_end(requests, UINT64_MAX);
	wl_heap_free(&requests->lingers);
	wl_heap_free(&requests->timers);
	wl_map_free(&requests->by_origin);
	wl_map_free(&requests->tries_by_id);
	wl_map_free(&requests->by_leader_call);
	wl_map_free(&requests->services_by_name);
	wl_buf_free(&requests->entry);
	wl_buf_free(&requests->queueing);
	free(requests);
}

/*
 * wl_requests_service - find a service, or begin to know it
 * @name: allowed by some plan, as it is kept from now on
 */
wl_request_service_t *wl_requests_service(wl_requests_t *requests, wl_str_t name, uint64_t now_ns)
{
	wl_request_service_t *service = wl_map_get(&requests->services_by_name, name);

	if (service)
		return service;
	service = wl_alloc(sizeof(*service));
	wl_buf_set(&service->name, name);
	service->key = wl_buf_str(&service->name);
	service->known_ns = now_ns;
	wl_fairq_init(&service->queue, wl_buf_str(&requests->queueing), NULL);
	wl_map_put(&requests->services_by_name, service);
	TAILQ_INSERT_TAIL(&requests->services, service, link);
	return service;
}

/*
 * wl_requests_id - a number that this daemon never used before
 */
uint64_t wl_requests_id(wl_requests_t *requests)
{
	return WL_PART_ID(WL_PART_REQUEST, ++requests->next_id);
}

/*
 * wl_requests_timer - have a request looked at again
 * @at_ns: monotonic time, nanoseconds; replaces the time set before
 */
void wl_requests_timer(wl_requests_t *requests, wl_request_t *request, uint64_t at_ns)
{
	request->timer.owner = request;
	wl_heap_put(&requests->timers, &request->timer, at_ns);
}

/*
 * wl_request_origin_key - make the key by which an origin is found
 * @origin: call, or peer, session and id, must be set
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
 */
wl_request_t *wl_requests_find(const wl_requests_t *requests, const wl_request_origin_t *origin)
{
	const wl_request_origin_t *found = wl_map_get(&requests->by_origin, origin->key);

	return found ? found->request : NULL;
}

/*
 * wl_requests_add - count a request as open
 */
void wl_requests_add(wl_requests_t *requests, wl_request_t *request)
{
	TAILQ_INIT(&request->tries);
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
 * wl_request_free - release a request that is not open
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
 * wl_requests_remove - end an open request; its tries are given up
 */
void wl_requests_remove(wl_requests_t *requests, wl_request_t *request)
{
	wl_try_t *one;

	while ((one = TAILQ_FIRST(&request->tries))) {
		TAILQ_REMOVE(&request->tries, one, of_request);
		one->request = NULL;
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
		requests->left = request->customer;
	}
	wl_request_free(request);
}

/*
 * wl_request_begin - go on with a request that its plan admits
 */
void wl_request_begin(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out)
{
	if (request->key.len)
		wl_request_key_begin(requests, request, out);
	else
		wl_request_queue(requests, request, now_ns, out);
}

static void requests_call(wl_requests_t *requests, uint64_t now_ns, wl_call_t *call, wl_out_t *out)
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
 * A request with a key goes on without its caller, so that its outcome is kept
 * for the caller's resend.
 */
static void requests_gone(wl_requests_t *requests, uint64_t call, wl_out_t *out)
{
	wl_request_origin_t origin = {.call = call};
	wl_request_t *request;

	wl_request_origin_key(&origin);
	request = wl_requests_find(requests, &origin);
	wl_buf_free(&origin.bytes);
	if (!request)
		return;
	request->origin.gone = true;
	if (request->key.len && request->state != WL_REQUEST_HELD)
		return;
	wl_request_cancel_tries(requests, request, out);
	wl_requests_remove(requests, request);
}

static void requests_tick(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	const wl_heap_node_t *node;

	while ((node = wl_heap_first(&requests->timers)) && node->key <= now_ns)
		wl_request_expired(requests, node->owner, now_ns, out);
	wl_requests_linger_end(requests, now_ns);
	wl_requests_tell(requests, now_ns, out);
	wl_requests_admit_all(requests, now_ns, out);
	wl_requests_pump_all(requests, now_ns, out);
}

static void requests_view(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	wl_rooms_view(&requests->rooms, requests->options.view);
	wl_admit_view(&requests->admit, requests->options.view);
	wl_requests_pump_all(requests, now_ns, out);
}

static void requests_event(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event,
			   wl_out_t *out)
{
	switch (event->kind) {
	case WL_EVENT_TICK:
		requests_tick(requests, now_ns, out);
		break;
	case WL_EVENT_CALL:
		requests_call(requests, now_ns, &event->call, out);
		break;
	case WL_EVENT_CALL_ABANDONED:
		requests_gone(requests, event->call.id, out);
		break;
	case WL_EVENT_FETCHED:
		wl_requests_fetched(requests, now_ns, &event->fetched, out);
		break;
	case WL_EVENT_PEER:
		wl_requests_peer(requests, now_ns, event, out);
		break;
	case WL_EVENT_PEER_UP:
		wl_requests_owe(requests, wl_buf_str(&event->peer));
		break;
	case WL_EVENT_PEER_DOWN:
		wl_requests_peer_down(requests, wl_buf_str(&event->peer), now_ns, out);
		break;
	case WL_EVENT_RESULT:
		wl_requests_result(requests, event->tag, event->result, now_ns, out);
		break;
	case WL_EVENT_VIEW:
		requests_view(requests, now_ns, out);
		break;
	case WL_EVENT_DRAIN:
		wl_requests_drain(requests);
		break;
	default:
		break;
	}
}

/*
 * wl_requests_step - take in one event
 * @now_ns: monotonic time, nanoseconds
 * @event: may be moved from
 * @out: actions are added
 */
void wl_requests_step(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	/* kept when a session ends: what is open then goes on under it */
	if (requests->options.session->id)
		requests->session = requests->options.session->id;
	requests->left = NULL;
	requests_event(requests, now_ns, event, out);
	if (requests->left)
		wl_requests_admit(requests, requests->left, now_ns, out);
}

/*
 * wl_requests_drain - refuse new requests from now on; open ones go on to their end
 */
void wl_requests_drain(wl_requests_t *requests)
{
	requests->draining = true;
}

/*
 * wl_requests_open - requests that have no answer yet
 */
size_t wl_requests_open(const wl_requests_t *requests)
{
	return requests->open_count;
}
