/* Operators' calls on the lists of customers and plans. */

#include "internal.h"

#include <libwlbase/units.h>
#include <libwlbase/digest.h>

#define POLL_MS	    50
#define MAX_WAIT_MS 120000

static bool list_by_name(wl_str_t name, uint64_t *list, wl_err_t *err)
{
	if (wl_str_equal(name, WL_STR("customers"))) {
		*list = WL_LIST_CUSTOMERS;
		return true;
	}
	if (wl_str_equal(name, WL_STR("plans"))) {
		*list = WL_LIST_PLANS;
		return true;
	}
	return wl_err_set(err, WL_E_NOT_FOUND, WL_NOT_RUN,
			  "unknown list: expected customers or plans");
}

/*
 * wl_api_list_get - GET /v1/config/NAME
 */
void wl_api_list_get(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out)
{
	wl_msg_query_t *query;
	wl_api_pending_call_t *pending;
	wl_err_t err;
	uint64_t list;

	if (!list_by_name(arg, &list, &err)) {
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	pending = wl_api_pending_call_add(api, call, WL_API_PENDING_LIST_GET);
	query = wl_out_leader_query(out, pending->id, WL_QUERY_LIST,
				    now_ns + WL_API_CALL_MS * WL_NS_PER_MS);
	wl_buf_set(&query->name, arg);
}

static void add_version(wl_reply_t *reply, uint64_t version)
{
	wl_buf_t etag = {0};

	wl_buf_printf(&etag, "\"%llu\"", (unsigned long long)version);
	wl_headers_add(&reply->headers, WL_STR("ETag"), wl_buf_str(&etag));
	wl_buf_free(&etag);
}

/*
 * wl_api_list_got - answer GET with the leader's list
 */
void wl_api_list_got(wl_api_t *api, wl_api_pending_call_t *pending, const wl_result_t *result,
		     wl_out_t *out)
{
	wl_reply_t *reply;

	if (result->code != WL_OK) {
		wl_api_reply_result(out, pending->call, result);
		wl_api_pending_call_remove(api, pending);
		return;
	}
	reply = wl_out_reply(out, pending->call, 200);
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	add_version(reply, result->version);
	wl_buf_set(&reply->body, wl_buf_str(&result->body));
	wl_api_pending_call_remove(api, pending);
}

/* Reads the version on which a change is based, from If-Match: "VERSION". */
static bool read_base_version(const wl_list_t *headers, uint64_t *base, wl_err_t *err)
{
	const wl_buf_t *match = wl_headers_find(headers, WL_STR("If-Match"));

	if (match && match->len > 2 && match->at[0] == '"' && match->at[match->len - 1] == '"' &&
	    wl_str_u64((wl_str_t){match->at + 1, match->len - 2}, base))
		return true;
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "If-Match: must be the list's version in quotes");
}

static bool read_wait(wl_str_t query, uint64_t *wait_ms, wl_err_t *err)
{
	wl_str_t value;

	*wait_ms = 0;
	if (!wl_api_param(query, WL_STR("wait_ms"), &value))
		return true;
	if (wl_str_u64(value, wait_ms) && *wait_ms <= MAX_WAIT_MS)
		return true;
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "wait_ms: must be a number up to %d",
			  MAX_WAIT_MS);
}

/*
 * wl_api_list_put - PUT /v1/config/NAME
 */
void wl_api_list_put(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		     wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_LIST_PUT};
	char digest[WL_SHA256_HEX + 1];
	wl_api_pending_call_t *pending;
	uint64_t wait_ms;
	wl_err_t err;

	if (!list_by_name(arg, &cmd.u.list_put.list, &err) ||
	    !read_base_version(&call->headers, &cmd.u.list_put.base, &err) ||
	    !read_wait(wl_buf_str(&call->query), &wait_ms, &err)) {
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	wl_sha256_hex(wl_buf_str(&call->body), digest);
	wl_buf_set(&cmd.u.list_put.digest, wl_str_from(digest));
	wl_buf_set(&cmd.u.list_put.text, wl_buf_str(&call->body));

	pending = wl_api_pending_call_add(api, call, WL_API_PENDING_LIST_PUT);
	pending->deadline_ns = now_ns + wait_ms * WL_NS_PER_MS;
	wl_out_leader_command(out, pending->id, &cmd, now_ns + WL_API_CALL_MS * WL_NS_PER_MS);
	wl_cmd_free(&cmd);
}

static void reply_accepted(wl_out_t *out, const wl_api_pending_call_t *pending, bool in_force)
{
	wl_reply_t *reply = wl_out_reply(out, pending->call, 200);

	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	add_version(reply, pending->version);
	wl_buf_printf(&reply->body, "{\"version\":\"%llu\",\"revision\":%llu,\"in_force\":%s}\n",
		      (unsigned long long)pending->version, (unsigned long long)pending->revision,
		      in_force ? "true" : "false");
}

static void reply_conflict(wl_out_t *out, uint64_t call, const wl_result_t *result)
{
	wl_reply_t *reply = wl_out_reply(out, call, 412);

	reply->has_verdict = true;
	reply->verdict = WL_NOT_RUN;
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	add_version(reply, result->version);
	wl_buf_printf(&reply->body,
		      "{\"error\":\"conflict\",\"message\":\"the list is at version %llu\","
		      "\"verdict\":\"not-run\",\"version\":\"%llu\"}\n",
		      (unsigned long long)result->version, (unsigned long long)result->version);
}

/*
 * wl_api_list_poll - query the leader whether an accepted change is in force
 */
void wl_api_list_poll(wl_api_t *api, uint64_t now_ns, wl_api_pending_call_t *pending, wl_out_t *out)
{
	wl_msg_query_t *query;

	(void)api;
	pending->next_poll_ns = 0;
	query = wl_out_leader_query(out, pending->id, WL_QUERY_IN_FORCE,
				    now_ns + WL_API_CALL_MS * WL_NS_PER_MS);
	query->number = pending->revision;
}

/*
 * wl_api_list_accepted - handle the leader's result for a change
 */
void wl_api_list_accepted(wl_api_t *api, uint64_t now_ns, wl_api_pending_call_t *pending,
			  const wl_result_t *result, wl_out_t *out)
{
	if (result->code == WL_E_CONFLICT)
		reply_conflict(out, pending->call, result);
	else if (result->code != WL_OK)
		wl_api_reply_result(out, pending->call, result);
	if (result->code != WL_OK) {
		wl_api_pending_call_remove(api, pending);
		return;
	}

	pending->kind = WL_API_PENDING_IN_FORCE;
	pending->version = result->version;
	pending->revision = result->index;
	wl_api_list_poll(api, now_ns, pending, out);
}

/*
 * wl_api_list_in_force - answer if the change is in force or the time limit is over; else
 * poll again
 */
void wl_api_list_in_force(wl_api_t *api, uint64_t now_ns, wl_api_pending_call_t *pending,
			  const wl_result_t *result, wl_out_t *out)
{
	bool in_force = result->code == WL_OK;

	if (!in_force && now_ns < pending->deadline_ns) {
		pending->next_poll_ns = now_ns + POLL_MS * WL_NS_PER_MS;
		return;
	}
	reply_accepted(out, pending, in_force);
	wl_api_pending_call_remove(api, pending);
}
