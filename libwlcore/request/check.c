/* Validation, authentication and admission of a caller's request. */

#include "internal.h"

#include <stdlib.h>

#include <libwlcore/api/auth.h>

#define PATH_PREFIX   "/s/"
#define MAX_KEY_BYTES 256

/*
 * wl_requests_ready - check whether this entry accepts new work
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_DRAINING or WL_E_NO_SESSION, verdict not-run
 */
bool wl_requests_ready(const wl_requests_t *requests, uint64_t now_ns, wl_err_t *err)
{
	if (requests->draining)
		return wl_err_set(err, WL_E_DRAINING, WL_NOT_RUN,
				  "entry is draining and accepts no new requests");
	if (!wl_session_valid(requests->options.session, now_ns))
		return wl_err_set(err, WL_E_NO_SESSION, WL_NOT_RUN, "entry has no valid session");
	return true;
}

static bool check_path(wl_str_t path, wl_str_t *service, wl_str_t *rest, wl_err_t *err)
{
	wl_str_t after;
	wl_str_t tail;

	if (!wl_str_starts(path, WL_STR(PATH_PREFIX)))
		return wl_err_set(err, WL_E_NOT_FOUND, WL_NOT_RUN, "no such path");
	after = (wl_str_t){path.at + sizeof(PATH_PREFIX) - 1, path.len - sizeof(PATH_PREFIX) + 1};
	if (wl_str_split(after, '/', service, &tail))
		*rest = (wl_str_t){tail.at - 1, tail.len + 1};
	else
		*rest = WL_STR("/");
	if (!service->len)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "path has no service name after /s/");
	return true;
}

static bool check_timeout(const wl_requests_t *requests, const wl_list_t *headers,
			  uint64_t *timeout_ms, wl_err_t *err)
{
	const wl_buf_t *value = wl_headers_find(headers, WL_STR("Wisterialead-Timeout-Ms"));

	*timeout_ms = requests->options.default_timeout_ms;
	if (!value)
		return true;
	if (wl_str_u64(wl_buf_str(value), timeout_ms) && *timeout_ms > 0 &&
	    *timeout_ms <= requests->options.max_timeout_ms)
		return true;
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "Wisterialead-Timeout-Ms: must be a number from 1 to %llu",
			  (unsigned long long)requests->options.max_timeout_ms);
}

static bool method_idempotent(wl_str_t method)
{
	static const char *const methods[] = {"DELETE", "GET", "HEAD", "OPTIONS", "PUT"};

	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (wl_str_equal(method, wl_str_from(methods[i])))
			return true;
	return false;
}

static bool check_idempotent(const wl_call_t *call, bool *idempotent, wl_err_t *err)
{
	const wl_buf_t *value = wl_headers_find(&call->headers, WL_STR("Wisterialead-Idempotent"));

	*idempotent = method_idempotent(wl_buf_str(&call->method));
	if (!value)
		return true;
	*idempotent = wl_str_equal(wl_buf_str(value), WL_STR("yes"));
	if (*idempotent || wl_str_equal(wl_buf_str(value), WL_STR("no")))
		return true;
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "Wisterialead-Idempotent: must be yes or no");
}

static bool check_key(const wl_call_t *call, bool idempotent, wl_str_t *key, wl_err_t *err)
{
	const wl_buf_t *value = wl_headers_find(&call->headers, WL_STR("Idempotency-Key"));

	*key = (wl_str_t){NULL, 0};
	if (!value || idempotent)
		return true;
	*key = wl_buf_str(value);
	if (key->len > 0 && key->len <= MAX_KEY_BYTES)
		return true;
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "Idempotency-Key: must have 1 to %d bytes", MAX_KEY_BYTES);
}

static const wl_plan_t *check_plan(const wl_requests_t *requests, wl_str_t customer,
				   wl_str_t service, wl_err_t *err)
{
	const wl_plan_t *plan = wl_lists_plan_of(requests->options.view->lists, customer);

	if (plan && wl_plan_allows(plan, service, WL_CLASS_URGENT))
		return plan;
	wl_err_set(err, WL_E_FORBIDDEN, WL_NOT_RUN,
		   "the plan allows no urgent work for service " WL_STR_FMT, WL_STR_ARG(service));
	return NULL;
}

/* Options from the request headers.  Strings are borrowed from the call. */
typedef struct call_options {
	uint64_t timeout_ms;
	bool idempotent;
	wl_str_t key;
} call_options_t;

static bool check_headers(const wl_requests_t *requests, const wl_call_t *call,
			  call_options_t *options, wl_err_t *err)
{
	return check_timeout(requests, &call->headers, &options->timeout_ms, err) &&
	       check_idempotent(call, &options->idempotent, err) &&
	       check_key(call, options->idempotent, &options->key, err);
}

static wl_request_t *request_new(const call_options_t *options, wl_call_t *call, wl_str_t rest,
				 uint64_t now_ns)
{
	wl_request_t *request = wl_alloc(sizeof(*request));

	request->origin.call = call->id;
	request->work_class = WL_CLASS_URGENT;
	request->idempotent = options->idempotent;
	request->arrived_ns = now_ns;
	request->deadline_ns = now_ns + options->timeout_ms * WL_NS_PER_MS;
	wl_buf_set(&request->key, options->key);
	wl_headers_to_target(&request->headers, &call->headers);
	wl_buf_move(&request->method, &call->method);
	wl_buf_set(&request->path, rest);
	if (call->query.len) {
		wl_buf_append(&request->path, WL_STR("?"));
		wl_buf_append(&request->path, wl_buf_str(&call->query));
	}
	wl_buf_move(&request->body, &call->body);
	return request;
}

/*
 * wl_request_accept - validate a caller's request and try to admit it
 * @now_ns: monotonic time, nanoseconds
 * @call: moved from if the request is accepted
 * @err: reason of the refusal, verdict not-run: WL_E_DRAINING, WL_E_NO_SESSION,
 *	WL_E_BAD_INPUT, WL_E_FORBIDDEN, WL_E_UNAUTHORIZED, WL_E_NOT_FOUND, WL_E_OVER_PLAN
 *
 * Return: the open request without a state, to be held if it is not marked
 * admitted; or NULL.
 */
wl_request_t *wl_request_accept(wl_requests_t *requests, uint64_t now_ns, wl_call_t *call,
				wl_err_t *err)
{
	const wl_lists_t *lists = requests->options.view->lists;
	const wl_customer_t *customer;
	const wl_plan_t *plan;
	wl_admit_customer_t *admitted;
	wl_request_t *request;
	bool enters;
	call_options_t options = {0};
	wl_str_t service = {0};
	wl_str_t rest = {0};

	if (!wl_requests_ready(requests, now_ns, err))
		return NULL;
	customer = wl_auth_customer(lists, &call->headers, err);
	if (!customer || !check_path(wl_buf_str(&call->path), &service, &rest, err))
		return NULL;
	plan = check_plan(requests, wl_buf_str(&customer->name), service, err);
	if (!plan || !check_headers(requests, call, &options, err))
		return NULL;
	admitted = wl_admit_get(&requests->admit, wl_buf_str(&customer->name), plan, now_ns);
	enters = wl_admit_enter(admitted, now_ns, err);
	if (!enters && !wl_request_may_hold(requests, admitted)) {
		wl_admit_refuse(admitted);
		return NULL;
	}

	request = request_new(&options, call, rest, now_ns);
	request->admitted = enters;
	request->customer = admitted;
	wl_buf_set(&request->customer_name, admitted->key);
	request->service = wl_requests_service(requests, service, now_ns);
	wl_requests_add(requests, request);
	return request;
}
