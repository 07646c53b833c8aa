/*
 * Requests forwarded between entries, over one hop at most.
 *
 * A request of a peer is sent to an own target at once or refused.  Its id must be
 * above all earlier ids of the peer's session, so that a duplicate message does
 * not run twice.  An answer must match an attempt in flight, its peer and its
 * session.
 */

#include "internal.h"

#include <stdlib.h>

/*
 * wl_requests_peers_free - free the state of all peers
 */
void wl_requests_peers_free(wl_requests_t *requests)
{
	wl_request_peer_t *peer;

	while ((peer = TAILQ_FIRST(&requests->peers))) {
		TAILQ_REMOVE(&requests->peers, peer, link);
		wl_buf_free(&peer->name);
		free(peer);
	}
}

/*
 * wl_requests_peer_get - find or create the state of a peer
 */
wl_request_peer_t *wl_requests_peer_get(wl_requests_t *requests, wl_str_t name)
{
	wl_request_peer_t *peer;

	TAILQ_FOREACH (peer, &requests->peers, link)
		if (wl_str_equal(wl_buf_str(&peer->name), name))
			return peer;
	peer = wl_alloc(sizeof(*peer));
	wl_buf_set(&peer->name, name);
	TAILQ_INSERT_TAIL(&requests->peers, peer, link);
	return peer;
}

static bool peer_request_is_new(wl_requests_t *requests, wl_str_t name, const wl_msg_request_t *msg)
{
	wl_request_peer_t *peer = wl_requests_peer_get(requests, name);

	if (msg->session < peer->session ||
	    (msg->session == peer->session && msg->id <= peer->last_id))
		return false;
	peer->session = msg->session;
	peer->last_id = msg->id;
	return true;
}

static wl_request_t *peer_request(wl_requests_t *requests, wl_str_t peer, wl_msg_request_t *msg,
				  uint64_t now_ns)
{
	wl_request_t *request = wl_alloc(sizeof(*request));

	wl_buf_set(&request->origin.peer, peer);
	request->origin.id = msg->id;
	request->origin.session = msg->session;
	request->service = wl_requests_service(requests, wl_buf_str(&msg->service), now_ns);
	request->work_class = msg->work_class;
	request->idempotent = msg->idempotent;
	request->arrived_ns = now_ns;
	request->deadline_ns = now_ns + msg->timeout_ms * WL_NS_PER_MS;
	request->headers = msg->headers;
	msg->headers = (wl_list_t){0};
	wl_buf_move(&request->customer_name, &msg->customer);
	wl_buf_move(&request->method, &msg->method);
	wl_buf_move(&request->path, &msg->path);
	wl_buf_move(&request->body, &msg->body);
	wl_buf_move(&request->avoid_target, &msg->avoid);
	return request;
}

static void peer_refuse(wl_requests_t *requests, wl_request_t *request, const wl_err_t *err,
			uint64_t now_ns, wl_out_t *out)
{
	wl_outcome_error(&request->outcome, err->code, err->verdict, err->text);
	wl_buf_clear(&request->avoid_target);
	wl_request_reply(requests, request, now_ns, out);
}

static void handle_request(wl_requests_t *requests, wl_str_t peer, wl_msg_request_t *msg,
			   uint64_t now_ns, wl_out_t *out)
{
	wl_route_query_t query = {.own_only = true};
	wl_route_choice_t choice;
	wl_request_t *request;
	wl_err_t err = {0};

	if (!peer_request_is_new(requests, peer, msg)) {
		wl_metrics_add(requests->options.metrics,
			       "wisterialead_peer_requests_dropped_total", "", 1);
		return;
	}
	request = peer_request(requests, peer, msg, now_ns);
	wl_requests_add(requests, request);
	wl_metrics_add(requests->options.metrics, "wisterialead_peer_requests_total", "", 1);
	if (!wl_requests_ready(requests, now_ns, &err)) {
		peer_refuse(requests, request, &err, now_ns, out);
		return;
	}
	query.service = request->service->key;
	query.avoid_target = wl_buf_str(&request->avoid_target);
	query.latency_ns = wl_latency_mean(&request->service->latency, now_ns);
	if (!wl_router_pick(&requests->router, &query, now_ns, &choice) ||
	    !wl_request_send(requests, request, &choice, now_ns, out)) {
		wl_err_set(&err, WL_E_OVERLOADED, WL_NOT_RUN, "no free capacity at this entry");
		peer_refuse(requests, request, &err, now_ns, out);
	}
}

/* A peer's refusal before it tried a target is not charged to the retry budget. */
static bool answer_reached_target(const wl_msg_answer_t *answer)
{
	if (answer->verdict != WL_NOT_RUN)
		return true;
	return answer->code != WL_E_OVERLOADED && answer->code != WL_E_DRAINING &&
	       answer->code != WL_E_NO_SESSION;
}

/* An entry that accepts no new work has no free capacity, whatever its targets have. */
static uint64_t answer_free_requests(const wl_msg_answer_t *answer)
{
	if (answer->code == WL_E_DRAINING || answer->code == WL_E_NO_SESSION)
		return 0;
	return answer->free_requests;
}

static void answer_outcome(wl_msg_answer_t *answer, wl_outcome_t *outcome)
{
	outcome->code = (wl_code_t)answer->code;
	outcome->verdict =
		answer->verdict <= WL_UNKNOWN ? (wl_verdict_t)answer->verdict : WL_UNKNOWN;
	outcome->status = answer->status;
	outcome->headers = answer->headers;
	answer->headers = (wl_list_t){0};
	wl_buf_move(&outcome->text, &answer->text);
	wl_buf_move(&outcome->body, &answer->body);
}

static wl_request_attempt_t *answer_find_attempt(wl_requests_t *requests, wl_str_t peer,
						 const wl_msg_answer_t *answer)
{
	wl_request_attempt_t *attempt = wl_id_get(&requests->attempts_by_id, answer->id);

	if (attempt && wl_str_equal(wl_buf_str(&attempt->peer), peer) &&
	    attempt->session == answer->session)
		return attempt;
	wl_metrics_add(requests->options.metrics, "wisterialead_answers_dropped_total", "", 1);
	return NULL;
}

static void handle_answer(wl_requests_t *requests, wl_str_t peer, wl_msg_answer_t *answer,
			  uint64_t now_ns, wl_out_t *out)
{
	wl_request_attempt_t *attempt = answer_find_attempt(requests, peer, answer);
	bool reached = answer_reached_target(answer);
	wl_outcome_t outcome = {0};
	wl_request_service_t *service;
	wl_request_t *request;

	if (!attempt)
		return;
	request = attempt->request;
	service = attempt->service;
	wl_peer_capacity_update_service(&requests->peer_capacity, peer, service->key,
					answer_free_requests(answer));
	if (answer->verdict == WL_RAN)
		wl_latency_add(&service->latency, now_ns - attempt->sent_ns, now_ns);
	if (reached)
		wl_buf_move(&request->avoid_target, &answer->target);
	answer_outcome(answer, &outcome);
	wl_request_attempt_end(requests, attempt);
	wl_request_attempt_ended(requests, request, &outcome, reached, now_ns, out);
	wl_outcome_free(&outcome);
	wl_requests_dispatch(requests, service, now_ns, out);
}

static void handle_cancel(wl_requests_t *requests, wl_str_t peer, const wl_msg_cancel_t *msg,
			  wl_out_t *out)
{
	wl_request_origin_t origin = {.id = msg->id, .session = msg->session};
	wl_request_t *request;

	wl_buf_set(&origin.peer, peer);
	wl_request_origin_key(&origin);
	request = wl_requests_find(requests, &origin);
	wl_buf_free(&origin.bytes);
	wl_buf_free(&origin.peer);
	if (!request)
		return;
	wl_request_cancel_attempts(requests, request, out);
	wl_requests_remove(requests, request);
}

static void handle_capacity(wl_requests_t *requests, wl_str_t peer, const wl_msg_room_t *msg,
			    uint64_t now_ns, wl_out_t *out)
{
	wl_peer_capacity_apply_report(&requests->peer_capacity, peer, msg, now_ns);
	wl_peer_capacity_apply_view(&requests->peer_capacity, requests->options.view);
	wl_admit_apply_report(&requests->admit, peer, msg, now_ns);
	wl_requests_dispatch_all(requests, now_ns, out);
}

/*
 * wl_requests_peer_message - handle a message of another entry
 * @now_ns: monotonic time, nanoseconds
 * @event: its message is moved from
 */
void wl_requests_peer_message(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event,
			      wl_out_t *out)
{
	wl_str_t peer = wl_buf_str(&event->peer);

	switch (event->msg.kind) {
	case WL_MSG_REQUEST:
		handle_request(requests, peer, &event->msg.u.request, now_ns, out);
		break;
	case WL_MSG_ANSWER:
		handle_answer(requests, peer, &event->msg.u.answer, now_ns, out);
		break;
	case WL_MSG_CANCEL:
		handle_cancel(requests, peer, &event->msg.u.cancel, out);
		break;
	case WL_MSG_CAPACITY:
		handle_capacity(requests, peer, &event->msg.u.capacity, now_ns, out);
		break;
	default:
		break;
	}
}

/*
 * wl_requests_peer_down - end all attempts at a peer whose connection was lost
 * @now_ns: monotonic time, nanoseconds
 *
 * The requests may have run, so the verdict of these attempts is unknown.
 */
void wl_requests_peer_down(wl_requests_t *requests, wl_str_t peer, uint64_t now_ns, wl_out_t *out)
{
	wl_request_attempt_t *attempt;
	wl_request_attempt_t *next;

	wl_peer_capacity_link_down(&requests->peer_capacity, peer);
	wl_requests_schedule_full_update(requests, peer);
	for (attempt = TAILQ_FIRST(&requests->attempts); attempt; attempt = next) {
		wl_request_t *request = attempt->request;
		wl_outcome_t outcome = {0};

		next = TAILQ_NEXT(attempt, link);
		if (!attempt->peer.len || !wl_str_equal(wl_buf_str(&attempt->peer), peer))
			continue;
		wl_outcome_error(&outcome, WL_E_TARGET_FAILED, WL_UNKNOWN,
				 "connection to the owner of the target was lost");
		wl_buf_move(&request->avoid_peer, &attempt->peer);
		wl_request_attempt_end(requests, attempt);
		wl_request_attempt_ended(requests, request, &outcome, true, now_ns, out);
		wl_outcome_free(&outcome);
	}
}
