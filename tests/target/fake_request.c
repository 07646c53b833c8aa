/* Execution of requests on a fake target. */

#include "fake.h"

#include <stdlib.h>

#include <libwlbase/units.h>
#include <libwlbase/digest.h>

static wl_str_t header(const fake_call_t *call, wl_str_t name)
{
	const wl_buf_t *value = wl_headers_find(call->headers, name);

	return value ? wl_buf_str(value) : (wl_str_t){NULL, 0};
}

static uint64_t number(const fake_call_t *call, wl_str_t name, uint64_t default_value)
{
	uint64_t value = default_value;

	wl_str_u64(header(call, name), &value);
	return value;
}

static const char *refusal(const fake_t *fake, const fake_call_t *call)
{
	if (number(call, WL_STR("Wisterialead-Epoch"), 0) != fake->epoch || fake->epoch == 0)
		return "stale epoch";
	if (!fake_seq_known(fake, number(call, WL_STR("Wisterialead-Boot"), 0),
			    number(call, WL_STR("Wisterialead-Seq"), 0)))
		return "stale announce";
	if (fake_slots_used(fake) >= fake->capacity.slots)
		return "no slot";
	if (fake->request_count >= fake->capacity.connections)
		return "no connection";
	return NULL;
}

static void reply_echo(const fake_t *fake, const fake_call_t *call, fake_reply_t *reply)
{
	char digest[WL_SHA256_HEX + 1];
	uint64_t padding = number(call, WL_STR("Fake-Response-Bytes"), 0);

	wl_sha256_hex(call->body, digest);
	wl_buf_printf(&reply->body,
		      "{\"target\":\"" WL_STR_FMT "\",\"customer\":\"" WL_STR_FMT
		      "\",\"service\":\"" WL_STR_FMT "\",\"method\":\"" WL_STR_FMT
		      "\",\"path\":\"" WL_STR_FMT "\",\"id\":\"" WL_STR_FMT
		      "\",\"body_bytes\":%zu,\"body_sha256\":\"%s\",\"padding\":\"",
		      WL_STR_ARG(fake->options.name),
		      WL_STR_ARG(header(call, WL_STR("Wisterialead-Customer"))),
		      WL_STR_ARG(header(call, WL_STR("Wisterialead-Service"))),
		      WL_STR_ARG(call->method), WL_STR_ARG(call->path),
		      WL_STR_ARG(header(call, WL_STR("Fake-Request-Id"))), call->body.len, digest);
	for (uint64_t i = 0; i < padding; i++)
		wl_buf_append(&reply->body, (wl_str_t){&"0123456789"[i % 10], 1});
	wl_buf_append(&reply->body, WL_STR("\"}\n"));
}

static void request_add(fake_t *fake, uint64_t now_ns, const fake_call_t *call, uint64_t due_ns)
{
	fake_request_t *request = wl_alloc(sizeof(*request));

	request->id = call->id;
	request->epoch = fake->epoch;
	request->due_ns = due_ns;
	wl_buf_set(&request->name, header(call, WL_STR("Fake-Request-Id")));
	wl_buf_set(&request->service, header(call, WL_STR("Wisterialead-Service")));
	TAILQ_INSERT_TAIL(&fake->requests, request, link);
	fake->request_count++;
	fake_record(fake, now_ns, "request_begin", "id=" WL_STR_FMT " customer=" WL_STR_FMT,
		    WL_STR_ARG(wl_buf_str(&request->name)),
		    WL_STR_ARG(header(call, WL_STR("Wisterialead-Customer"))));
}

/*
 * fake_request_begin - start a request, or refuse it
 * @now_ns: current time in nanoseconds
 * @reply: filled; the caller releases it
 * @due_ns: set to the time at which the reply is due
 *
 * Return: false if the request was refused and is not run.
 */
bool fake_request_begin(fake_t *fake, uint64_t now_ns, const fake_call_t *call, fake_reply_t *reply,
			uint64_t *due_ns)
{
	wl_str_t service = header(call, WL_STR("Wisterialead-Service"));
	const char *refused;
	uint64_t took_ns;

	fake_advance(fake, now_ns);
	wl_buf_set(&reply->id, header(call, WL_STR("Fake-Request-Id")));
	refused = refusal(fake, call);
	if (refused) {
		reply->status = 409;
		reply->not_run = true;
		wl_buf_printf(&reply->body, "{\"error\":\"%s\"}\n", refused);
		return false;
	}

	took_ns = number(call, WL_STR("Fake-Service-Ms"), UINT64_MAX);
	took_ns = took_ns == UINT64_MAX ? fake_request_ns(fake, service) : took_ns * WL_NS_PER_MS;
	if (fake->failing || fake_chance(fake, fake->options.fail_permille)) {
		reply->status = 500;
		took_ns = 0;
	} else {
		reply->status = 200;
	}
	*due_ns = now_ns + took_ns;
	request_add(fake, now_ns, call, *due_ns);
	reply_echo(fake, call, reply);
	return true;
}

/*
 * fake_request_end - remove a request that ended
 * @answered: false if the caller disconnected before the reply
 */
void fake_request_end(fake_t *fake, uint64_t now_ns, uint64_t id, bool answered)
{
	fake_request_t *request;

	TAILQ_FOREACH (request, &fake->requests, link) {
		if (request->id != id)
			continue;
		TAILQ_REMOVE(&fake->requests, request, link);
		fake->request_count--;
		fake_record(fake, now_ns, "request_end", "id=" WL_STR_FMT " answered=%s",
			    WL_STR_ARG(wl_buf_str(&request->name)), answered ? "yes" : "no");
		wl_buf_free(&request->name);
		wl_buf_free(&request->service);
		free(request);
		return;
	}
}
