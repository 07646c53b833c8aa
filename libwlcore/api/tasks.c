/* Handlers of the HTTP API for tasks. */

#include "internal.h"

#include <libwlbase/units.h>
#include <libwlcore/api/auth.h>

#define MAX_KEY_BYTES 256
#define MAX_CANCEL    10000

/* Authenticates the customer of a call about tasks. */
static const wl_customer_t *authenticate(const wl_api_t *api, const wl_call_t *call, wl_err_t *err)
{
	return wl_auth_customer(api->options.view->lists, &call->headers, err);
}

static bool check_accepts_work(const wl_api_t *api, uint64_t now_ns, wl_err_t *err)
{
	if (api->draining)
		return wl_err_set(err, WL_E_DRAINING, WL_NOT_RUN,
				  "daemon is draining and accepts no new tasks");
	if (!wl_session_valid(api->options.session, now_ns))
		return wl_err_set(err, WL_E_NO_SESSION, WL_NOT_RUN,
				  "daemon has no valid session with the leader");
	return true;
}

static bool read_key(const wl_call_t *call, wl_buf_t *key, wl_err_t *err)
{
	const wl_buf_t *header = wl_headers_find(&call->headers, WL_STR("Idempotency-Key"));

	if (!header)
		return true;
	if (header->len == 0 || header->len > MAX_KEY_BYTES)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "Idempotency-Key: must have 1 to %d bytes", MAX_KEY_BYTES);
	wl_buf_set(key, wl_buf_str(header));
	return true;
}

static bool read_task(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_cmd_t *cmd,
		      wl_err_t *err)
{
	const wl_customer_t *customer = authenticate(api, call, err);
	wl_cmd_task_add_t *add = &cmd->u.task_add;

	if (!customer || !check_accepts_work(api, now_ns, err))
		return false;
	if (!wl_record_from_json(&wl_task_spec_schema, wl_buf_str(&call->body), &add->spec, err))
		return false;
	if (!read_key(call, &add->key, err))
		return false;
	wl_buf_set(&add->customer, wl_buf_str(&customer->name));
	add->nonce = wl_rng_next(&api->rng);
	return true;
}

/*
 * wl_api_task_add - POST /v1/tasks
 */
void wl_api_task_add(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TASK_ADD};
	wl_api_pending_call_t *pending;
	wl_err_t err;

	(void)arg;
	if (!read_task(api, now_ns, call, &cmd, &err)) {
		wl_out_reply_error(out, call->id, &err);
	} else {
		pending = wl_api_pending_call_add(api, call, WL_API_PENDING_TASK_ADD);
		wl_out_leader_command(out, pending->id, &cmd,
				      now_ns + WL_API_CALL_MS * WL_NS_PER_MS);
	}
	wl_cmd_free(&cmd);
}

/*
 * wl_api_task_added - answer POST with the id of the accepted task or the leader's error
 */
void wl_api_task_added(wl_api_t *api, wl_api_pending_call_t *pending, const wl_result_t *result,
		       wl_out_t *out)
{
	wl_reply_t *reply;

	if (result->code != WL_OK) {
		wl_api_reply_result(out, pending->call, result);
		wl_api_pending_call_remove(api, pending);
		return;
	}
	reply = wl_out_reply(out, pending->call, 202);
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_buf_printf(&reply->body, "{\"id\":\"" WL_STR_FMT "\"}\n",
		      WL_STR_ARG(wl_buf_str(&result->id)));
	wl_api_pending_call_remove(api, pending);
}

/*
 * wl_api_task_get - GET /v1/tasks/ID
 */
void wl_api_task_get(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out)
{
	const wl_customer_t *customer;
	wl_msg_query_t *query;
	wl_api_pending_call_t *pending;
	wl_err_t err;

	customer = authenticate(api, call, &err);
	if (!customer) {
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	pending = wl_api_pending_call_add(api, call, WL_API_PENDING_FORWARD);
	query = wl_out_leader_query(out, pending->id, WL_QUERY_TASK,
				    now_ns + WL_API_CALL_MS * WL_NS_PER_MS);
	wl_buf_set(&query->name, arg);
	wl_buf_set(&query->customer, wl_buf_str(&customer->name));
}

static void cancel_send(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_cmd_t *cmd,
			wl_out_t *out)
{
	wl_api_pending_call_t *pending =
		wl_api_pending_call_add(api, call, WL_API_PENDING_TASK_CANCEL);

	wl_out_leader_command(out, pending->id, cmd, now_ns + WL_API_CALL_MS * WL_NS_PER_MS);
}

/*
 * wl_api_task_cancel - DELETE /v1/tasks/ID
 */
void wl_api_task_cancel(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TASK_CANCEL};
	const wl_customer_t *customer;
	wl_err_t err;

	customer = authenticate(api, call, &err);
	if (!customer) {
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	wl_buf_set(&cmd.u.task_cancel.customer, wl_buf_str(&customer->name));
	wl_strings_add(&cmd.u.task_cancel.tasks, arg);
	cancel_send(api, now_ns, call, &cmd, out);
	wl_cmd_free(&cmd);
}

/* Body of POST /v1/tasks/cancel. */
typedef struct cancel_body {
	wl_list_t tasks; /* strings */
} cancel_body_t;

static const wl_field_t cancel_fields[] = {
	WL_FIELD_REQUIRED(cancel_body_t, tasks, WL_FIELD_STRINGS, MAX_CANCEL),
};

static const wl_schema_t cancel_schema = WL_SCHEMA(cancel_body_t, cancel_fields);

/*
 * wl_api_tasks_cancel - POST /v1/tasks/cancel: cancel many tasks in one commit
 */
void wl_api_tasks_cancel(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			 wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_TASK_CANCEL};
	const wl_customer_t *customer;
	cancel_body_t body = {{0}};
	wl_err_t err;

	(void)arg;
	customer = authenticate(api, call, &err);
	if (!customer ||
	    !wl_record_from_json(&cancel_schema, wl_buf_str(&call->body), &body, &err)) {
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	wl_buf_set(&cmd.u.task_cancel.customer, wl_buf_str(&customer->name));
	cmd.u.task_cancel.tasks = body.tasks;
	cancel_send(api, now_ns, call, &cmd, out);
	wl_cmd_free(&cmd);
}
