/* Events and actions: construction and release. */

#include "event.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OUT_MIN_CAPACITY 16

/*
 * wl_event_init - initialize an empty event of a kind
 */
void wl_event_init(wl_event_t *event, wl_event_kind_t kind)
{
	memset(event, 0, sizeof(*event));
	event->kind = kind;
}

/*
 * wl_event_free - free the contents of an event
 */
void wl_event_free(wl_event_t *event)
{
	wl_buf_free(&event->peer);
	wl_msg_free(&event->msg);
	wl_buf_free(&event->call.method);
	wl_buf_free(&event->call.path);
	wl_buf_free(&event->call.query);
	wl_list_free(&wl_header_schema, &event->call.headers);
	wl_buf_free(&event->call.body);
	wl_list_free(&wl_header_schema, &event->fetched.headers);
	wl_buf_free(&event->fetched.body);
	wl_buf_free(&event->fetched.error);
	wl_strings_free(&event->names);
}

/*
 * wl_out_init - initialize an empty list of actions
 */
void wl_out_init(wl_out_t *out)
{
	*out = (wl_out_t){0};
}

/*
 * wl_action_free - free the contents of an action
 */
void wl_action_free(wl_action_t *action)
{
	wl_buf_free(&action->peer);
	wl_buf_free(&action->address);
	wl_msg_free(&action->msg);
	wl_list_free(&wl_header_schema, &action->reply.headers);
	wl_buf_free(&action->reply.body);
	wl_buf_free(&action->fetch.address);
	wl_buf_free(&action->fetch.method);
	wl_buf_free(&action->fetch.path);
	wl_list_free(&wl_header_schema, &action->fetch.headers);
	wl_buf_free(&action->fetch.body);
	wl_raft_persist_free(&action->persist);
	wl_cmd_free(&action->cmd);
	wl_buf_free(&action->line);
}

/*
 * wl_out_clear - free all actions, keeping the memory of the list
 */
void wl_out_clear(wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++)
		wl_action_free(&out->actions[i]);
	out->count = 0;
}

/*
 * wl_out_free - free all actions and the memory of the list
 */
void wl_out_free(wl_out_t *out)
{
	wl_out_clear(out);
	free(out->actions);
	*out = (wl_out_t){0};
}

/*
 * wl_out_add - append an empty action of a kind
 *
 * Return: the action, valid until the next one is added.
 */
wl_action_t *wl_out_add(wl_out_t *out, wl_action_kind_t kind)
{
	wl_action_t *action;

	if (out->count == out->capacity) {
		out->capacity = out->capacity ? 2 * out->capacity : OUT_MIN_CAPACITY;
		out->actions = wl_realloc(out->actions, out->capacity * sizeof(*out->actions));
	}
	action = &out->actions[out->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}

/*
 * wl_out_send - send a message to a daemon
 * @peer: name of the daemon
 *
 * Return: the empty message, to be filled in.
 */
wl_msg_t *wl_out_send(wl_out_t *out, wl_str_t peer, wl_msg_kind_t kind)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_SEND);

	wl_buf_set(&action->peer, peer);
	wl_msg_init(&action->msg, kind);
	return &action->msg;
}

/*
 * wl_out_fetch - make an HTTP call
 * @id: WL_PART_ID(), unique while the daemon runs
 * @address: IP:port
 * @timeout_ms: limit for the whole call
 *
 * Return: the call, to which headers and a body may be added.
 */
wl_fetch_t *wl_out_fetch(wl_out_t *out, uint64_t id, wl_str_t address, wl_str_t method,
			 wl_str_t path, uint64_t timeout_ms)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_FETCH);

	action->fetch.id = id;
	action->fetch.timeout_ms = timeout_ms;
	wl_buf_set(&action->fetch.address, address);
	wl_buf_set(&action->fetch.method, method);
	wl_buf_set(&action->fetch.path, path);
	return &action->fetch;
}

/*
 * wl_out_fetch_cancel - cancel an HTTP call; it still ends in one FETCHED event
 */
void wl_out_fetch_cancel(wl_out_t *out, uint64_t id)
{
	wl_out_add(out, WL_ACTION_FETCH_CANCEL)->fetch.id = id;
}

/*
 * wl_out_reply - answer an HTTP request
 * @call: id of the request
 * @status: HTTP status
 *
 * Return: the reply, to which a verdict, headers and a body may be added.
 */
wl_reply_t *wl_out_reply(wl_out_t *out, uint64_t call, uint64_t status)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_REPLY);

	action->reply.call = call;
	action->reply.status = status;
	return &action->reply;
}

static void json_escape(wl_buf_t *out, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			wl_buf_printf(out, "\\%c", c);
		else if (c < ' ')
			wl_buf_printf(out, "\\u%04x", c);
		else
			wl_buf_printf(out, "%c", c);
	}
}

/*
 * wl_out_reply_error - answer an HTTP request with an error as JSON
 */
void wl_out_reply_error(wl_out_t *out, uint64_t call, const wl_err_t *err)
{
	wl_reply_t *reply = wl_out_reply(out, call, wl_code_http(err->code));

	reply->has_verdict = true;
	reply->verdict = err->verdict;
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	if (reply->status == 503 || reply->status == 429)
		wl_headers_add(&reply->headers, WL_STR("Retry-After"), WL_STR("1"));
	wl_buf_printf(&reply->body, "{\"error\":\"%s\",\"message\":\"", wl_code_name(err->code));
	json_escape(&reply->body, err->text);
	wl_buf_printf(&reply->body, "\",\"verdict\":\"%s\"}\n", wl_verdict_name(err->verdict));
}

/*
 * wl_out_propose - propose a command to the replicated log
 * @cmd: its content is moved out
 * @tag: returned in the APPLIED or DROPPED event
 */
void wl_out_propose(wl_out_t *out, wl_cmd_t *cmd, uint64_t tag)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_PROPOSE);

	action->cmd = *cmd;
	action->tag = tag;
	memset(cmd, 0, sizeof(*cmd));
}

/*
 * wl_out_leader_command - send a command to the leader; ends in one RESULT event
 * @call: WL_PART_ID(), returned as the event's tag
 * @cmd: copied
 * @deadline_ns: monotonic time at which the call is cancelled, nanoseconds
 */
void wl_out_leader_command(wl_out_t *out, uint64_t call, const wl_cmd_t *cmd, uint64_t deadline_ns)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_LEADER_CALL);

	action->deadline_ns = deadline_ns;
	wl_msg_init(&action->msg, WL_MSG_COMMAND);
	action->msg.u.command.call = call;
	action->msg.u.command.cmd_kind = cmd->kind;
	wl_cmd_pack(cmd, &action->msg.u.command.cmd);
}

/*
 * wl_out_leader_conditional - send a command to the leader unless another one for the same object
 * comes between; ends in one RESULT event
 * @call, @cmd, @deadline_ns: as for wl_out_leader_command()
 * @caller: id of the HTTP call that orders it; its caller must still be there
 */
void wl_out_leader_conditional(wl_out_t *out, uint64_t call, const wl_cmd_t *cmd,
			       uint64_t deadline_ns, uint64_t caller)
{
	wl_out_leader_command(out, call, cmd, deadline_ns);
	out->actions[out->count - 1].caller = caller;
}

/*
 * wl_out_caller_check - ask whether the caller of an HTTP call is still there; ends in a
 * CALL_PRESENT or CALL_ABANDONED event
 */
void wl_out_caller_check(wl_out_t *out, uint64_t caller)
{
	wl_out_add(out, WL_ACTION_CALLER_CHECK)->caller = caller;
}

/*
 * wl_out_leader_query - send a query to the leader; ends in one RESULT event
 * @call, @deadline_ns: as for wl_out_leader_command()
 *
 * Return: the query, to which a name, a customer and a number may be added.
 */
wl_msg_query_t *wl_out_leader_query(wl_out_t *out, uint64_t call, wl_query_kind_t kind,
				    uint64_t deadline_ns)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_LEADER_CALL);

	action->deadline_ns = deadline_ns;
	wl_msg_init(&action->msg, WL_MSG_QUERY);
	action->msg.u.query.call = call;
	action->msg.u.query.kind = kind;
	return &action->msg.u.query;
}

/*
 * wl_out_log - log one event
 * @event: name of the event
 * @pairs: format of its key=value pairs, or ""
 */
void wl_out_log(wl_out_t *out, wl_level_t level, const char *event, const char *pairs, ...)
{
	wl_action_t *action = wl_out_add(out, WL_ACTION_LOG);
	char text[1024];
	va_list args;

	va_start(args, pairs);
	vsnprintf(text, sizeof(text), pairs, args);
	va_end(args);
	action->level = level;
	wl_buf_append(&action->line, WL_STR("event="));
	wl_buf_append(&action->line, wl_str_from(event));
	wl_buf_append(&action->line, wl_str_from(text[0] ? " " : ""));
	wl_buf_append(&action->line, wl_str_from(text));
}
