/* Calls to one target: requests, whose replies are ready later, and commands. */

#include "host_internal.h"

#include <stdlib.h>

/*
 * host_reply_send - send a reply, which is released
 */
void host_reply_send(wl_http_server_t *server, uint64_t call, fake_reply_t *fake)
{
	wl_reply_t reply = {.call = call, .status = fake->status};

	reply.has_verdict = fake->not_run;
	reply.verdict = WL_NOT_RUN;
	wl_headers_add(&reply.headers, WL_STR("Content-Type"), WL_STR("application/json"));
	if (fake->id.len)
		wl_headers_add(&reply.headers, WL_STR("Fake-Request-Id"), wl_buf_str(&fake->id));
	wl_buf_move(&reply.body, &fake->body);
	wl_http_server_reply(server, &reply);
	wl_buf_free(&fake->id);
	wl_buf_free(&fake->body);
}

static void request_take(host_target_t *target, const wl_call_t *call, uint64_t now)
{
	host_reply_t *later = wl_alloc(sizeof(*later));
	wl_buf_t path = {0};
	fake_call_t in = {
		.id = call->id,
		.method = wl_buf_str(&call->method),
		.headers = &call->headers,
		.body = wl_buf_str(&call->body),
	};
	bool begun;

	wl_buf_printf(&path, WL_STR_FMT "%s" WL_STR_FMT, WL_STR_ARG(wl_buf_str(&call->path)),
		      call->query.len ? "?" : "", WL_STR_ARG(wl_buf_str(&call->query)));
	in.path = wl_buf_str(&path);
	later->call = call->id;
	begun = fake_request_begin(target->fake, now, &in, &later->reply, &later->due_ns);
	wl_buf_free(&path);
	if (begun) {
		TAILQ_INSERT_TAIL(&target->replies, later, link);
		return;
	}
	host_reply_send(target->server, call->id, &later->reply);
	free(later);
}

static void command_take(host_target_t *target, const wl_call_t *call, uint64_t now)
{
	fake_reply_t reply = {0};

	reply.status = fake_command(target->fake, now, wl_buf_str(&call->path),
				    wl_buf_str(&call->body), &reply.body);
	reply.not_run = reply.status == 409;
	host_reply_send(target->server, call->id, &reply);
}

static void request_gone(host_target_t *target, uint64_t call, uint64_t now)
{
	host_reply_t *later;

	TAILQ_FOREACH (later, &target->replies, link) {
		if (later->call != call)
			continue;
		TAILQ_REMOVE(&target->replies, later, link);
		fake_request_end(target->fake, now, call, false);
		wl_buf_free(&later->reply.id);
		wl_buf_free(&later->reply.body);
		free(later);
		return;
	}
}

/*
 * host_replies_send - send the replies that are ready
 */
void host_replies_send(host_target_t *target, uint64_t now)
{
	host_reply_t *later;
	host_reply_t *next;

	for (later = TAILQ_FIRST(&target->replies); later; later = next) {
		next = TAILQ_NEXT(later, link);
		if (later->due_ns > now)
			continue;
		TAILQ_REMOVE(&target->replies, later, link);
		fake_request_end(target->fake, now, later->call, true);
		host_reply_send(target->server, later->call, &later->reply);
		free(later);
	}
}

/*
 * host_replies_drop - forget the replies to come
 */
void host_replies_drop(host_target_t *target)
{
	host_reply_t *later;

	while ((later = TAILQ_FIRST(&target->replies))) {
		TAILQ_REMOVE(&target->replies, later, link);
		wl_buf_free(&later->reply.id);
		wl_buf_free(&later->reply.body);
		free(later);
	}
}

/*
 * host_event_free - release an event
 */
void host_event_free(wl_event_t *event)
{
	wl_event_free(event);
	free(event);
}

/*
 * host_held_drop - forget what came while the target was frozen
 */
void host_held_drop(host_target_t *target)
{
	host_held_t *held;

	while ((held = TAILQ_FIRST(&target->held))) {
		TAILQ_REMOVE(&target->held, held, link);
		host_event_free(held->event);
		free(held);
	}
}

/*
 * host_target_event - take in a call to a target, or the end of its caller; the event is taken over
 */
void host_target_event(host_target_t *target, wl_event_t *event, uint64_t now)
{
	host_held_t *held;

	if (target->fake->frozen) {
		held = wl_alloc(sizeof(*held));
		held->event = event;
		TAILQ_INSERT_TAIL(&target->held, held, link);
		return;
	}
	if (event->kind == WL_EVENT_CALL_ABANDONED)
		request_gone(target, event->call.id, now);
	else if (target->server && wl_str_starts(wl_buf_str(&event->call.path), WL_STR("/v1/")))
		command_take(target, &event->call, now);
	else if (target->server)
		request_take(target, &event->call, now);
	host_event_free(event);
}

/*
 * host_held_run - take in what came while the target was frozen
 */
void host_held_run(host_target_t *target, uint64_t now)
{
	host_held_t *held;

	while ((held = TAILQ_FIRST(&target->held))) {
		TAILQ_REMOVE(&target->held, held, link);
		host_target_event(target, held->event, now);
		free(held);
	}
}
