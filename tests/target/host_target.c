/* Calls to one target: requests, which are answered after their service time, and commands. */

#include "host_internal.h"

#include <stdlib.h>

/*
 * host_reply_send - send a reply and release it
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

static void request_handle(host_target_t *target, const wl_call_t *call, uint64_t now)
{
	host_reply_t *pending = wl_alloc(sizeof(*pending));
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
	pending->call = call->id;
	begun = fake_request_begin(target->fake, now, &in, &pending->reply, &pending->due_ns);
	wl_buf_free(&path);
	if (begun) {
		TAILQ_INSERT_TAIL(&target->replies, pending, link);
		return;
	}
	host_reply_send(target->server, call->id, &pending->reply);
	free(pending);
}

static void command_handle(host_target_t *target, const wl_call_t *call, uint64_t now)
{
	fake_reply_t reply = {0};

	reply.status = fake_command(target->fake, now, wl_buf_str(&call->path),
				    wl_buf_str(&call->body), &reply.body);
	reply.not_run = reply.status == 409;
	host_reply_send(target->server, call->id, &reply);
}

static void request_abandoned(host_target_t *target, uint64_t call, uint64_t now)
{
	host_reply_t *pending;

	TAILQ_FOREACH (pending, &target->replies, link) {
		if (pending->call != call)
			continue;
		TAILQ_REMOVE(&target->replies, pending, link);
		fake_request_end(target->fake, now, call, false);
		wl_buf_free(&pending->reply.id);
		wl_buf_free(&pending->reply.body);
		free(pending);
		return;
	}
}

/*
 * host_replies_send - send the replies that are due
 */
void host_replies_send(host_target_t *target, uint64_t now)
{
	host_reply_t *pending;
	host_reply_t *next;

	for (pending = TAILQ_FIRST(&target->replies); pending; pending = next) {
		next = TAILQ_NEXT(pending, link);
		if (pending->due_ns > now)
			continue;
		TAILQ_REMOVE(&target->replies, pending, link);
		fake_request_end(target->fake, now, pending->call, true);
		host_reply_send(target->server, pending->call, &pending->reply);
		free(pending);
	}
}

/*
 * host_replies_drop - discard all pending replies
 */
void host_replies_drop(host_target_t *target)
{
	host_reply_t *pending;

	while ((pending = TAILQ_FIRST(&target->replies))) {
		TAILQ_REMOVE(&target->replies, pending, link);
		wl_buf_free(&pending->reply.id);
		wl_buf_free(&pending->reply.body);
		free(pending);
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
 * host_deferred_drop - discard the events deferred while the target was frozen
 */
void host_deferred_drop(host_target_t *target)
{
	host_deferred_t *deferred;

	while ((deferred = TAILQ_FIRST(&target->deferred))) {
		TAILQ_REMOVE(&target->deferred, deferred, link);
		host_event_free(deferred->event);
		free(deferred);
	}
}

/*
 * host_target_event - handle a call to a target or the disconnect of its caller
 * @event: consumed; deferred while the target is frozen
 */
void host_target_event(host_target_t *target, wl_event_t *event, uint64_t now)
{
	host_deferred_t *deferred;

	if (target->fake->frozen) {
		deferred = wl_alloc(sizeof(*deferred));
		deferred->event = event;
		TAILQ_INSERT_TAIL(&target->deferred, deferred, link);
		return;
	}
	if (event->kind == WL_EVENT_CALL_ABANDONED)
		request_abandoned(target, event->call.id, now);
	else if (target->server && wl_str_starts(wl_buf_str(&event->call.path), WL_STR("/v1/")))
		command_handle(target, &event->call, now);
	else if (target->server)
		request_handle(target, &event->call, now);
	host_event_free(event);
}

/*
 * host_deferred_run - handle the events deferred while the target was frozen
 */
void host_deferred_run(host_target_t *target, uint64_t now)
{
	host_deferred_t *deferred;

	while ((deferred = TAILQ_FIRST(&target->deferred))) {
		TAILQ_REMOVE(&target->deferred, deferred, link);
		host_target_event(target, deferred->event, now);
		free(deferred);
	}
}
