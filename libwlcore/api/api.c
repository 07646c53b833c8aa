/*
 * HTTP API for operators, and for callers about tasks: routes, authorization, calls to the
 * leader.
 */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>
#include <libwlcore/api/auth.h>

#define MAX_TASKS      10000 /* per answer */
#define MAX_ZONE_BYTES 128
#define API_STREAM     0x617069

typedef enum access {
	ACCESS_ANY,
	ACCESS_OPERATOR,
	ACCESS_CALLER, /* the handler checks the customer */
} access_t;

#define ON_CALLER  (1u << WL_LISTENER_CALLER)
#define ON_CONTROL (1u << WL_LISTENER_CONTROL)
#define ON_METRICS (1u << WL_LISTENER_METRICS)

typedef struct route {
	const char *method;
	const char *path; /* a "*" at the end matches the rest, which is the handler's argument */
	unsigned int listeners; /* bit set of ON_* */
	access_t access;
	wl_api_handler_t handle;
} route_t;

/*
 * wl_api_reply_json - send a JSON answer
 */
void wl_api_reply_json(wl_out_t *out, uint64_t call, uint64_t status, wl_str_t body)
{
	wl_reply_t *reply = wl_out_reply(out, call, status);

	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_buf_set(&reply->body, body);
}

/*
 * wl_api_reply_result - send the leader's error as the answer
 */
void wl_api_reply_result(wl_out_t *out, uint64_t call, const wl_result_t *result)
{
	wl_err_t err;

	wl_err_set(&err, (wl_code_t)result->code, (wl_verdict_t)result->verdict, WL_STR_FMT,
		   WL_STR_ARG(wl_buf_str(&result->text)));
	wl_out_reply_error(out, call, &err);
}

/*
 * wl_api_param - find a parameter in the query of a URL
 * @query: without "?"; names and values are not percent-decoded
 * @value: receives the value of the first parameter with that name
 *
 * Return: false if there is none.
 */
bool wl_api_param(wl_str_t query, wl_str_t name, wl_str_t *value)
{
	wl_str_t rest = query;

	while (rest.len) {
		wl_str_t pair;
		wl_str_t found;

		wl_str_split(rest, '&', &pair, &rest);
		wl_str_split(pair, '=', &found, value);
		if (wl_str_equal(found, name))
			return true;
	}
	*value = (wl_str_t){NULL, 0};
	return false;
}

/*
 * wl_api_pending_call_add - register an HTTP call that waits for the leader
 */
wl_api_pending_call_t *wl_api_pending_call_add(wl_api_t *api, const wl_call_t *call,
					       wl_api_pending_kind_t kind)
{
	wl_api_pending_call_t *pending = wl_alloc(sizeof(*pending));

	pending->id = WL_PART_ID(WL_PART_API, api->next_id++);
	pending->call = call->id;
	pending->kind = kind;
	pending->key = (wl_str_t){(const char *)&pending->id, sizeof(pending->id)};
	wl_map_put(&api->by_id, pending);
	TAILQ_INSERT_TAIL(&api->pending_calls, pending, link);
	return pending;
}

/*
 * wl_api_pending_call_remove - remove an HTTP call that was answered
 */
void wl_api_pending_call_remove(wl_api_t *api, wl_api_pending_call_t *pending)
{
	wl_map_remove(&api->by_id, pending->key);
	TAILQ_REMOVE(&api->pending_calls, pending, link);
	free(pending);
}

static void healthz(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		    wl_out_t *out)
{
	(void)api;
	(void)now_ns;
	(void)arg;
	wl_api_reply_json(out, call->id, 200, WL_STR("{\"status\":\"ok\"}\n"));
}

static void readyz(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		   wl_out_t *out)
{
	bool session = !api->options.entry || wl_session_valid(api->options.session, now_ns);

	(void)arg;
	if (api->draining)
		wl_api_reply_json(out, call->id, 503, WL_STR("{\"status\":\"draining\"}\n"));
	else if (!session)
		wl_api_reply_json(out, call->id, 503, WL_STR("{\"status\":\"no-session\"}\n"));
	else
		wl_api_reply_json(out, call->id, 200, WL_STR("{\"status\":\"ready\"}\n"));
}

static void metrics(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		    wl_out_t *out)
{
	wl_reply_t *reply = wl_out_reply(out, call->id, 200);

	(void)now_ns;
	(void)arg;
	wl_headers_add(&reply->headers, WL_STR("Content-Type"),
		       WL_STR("text/plain; version=0.0.4"));
	wl_metrics_print(api->options.metrics, &reply->body);
}

static wl_msg_query_t *query_leader(wl_api_t *api, uint64_t now_ns, const wl_call_t *call,
				    wl_query_kind_t kind, wl_str_t name, wl_out_t *out)
{
	wl_api_pending_call_t *pending = wl_api_pending_call_add(api, call, WL_API_PENDING_FORWARD);
	wl_msg_query_t *query =
		wl_out_leader_query(out, pending->id, kind, now_ns + WL_API_CALL_MS * WL_NS_PER_MS);

	wl_buf_set(&query->name, name);
	return query;
}

static void status(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		   wl_out_t *out)
{
	query_leader(api, now_ns, call, WL_QUERY_STATUS, arg, out);
}

static void targets(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		    wl_out_t *out)
{
	query_leader(api, now_ns, call, WL_QUERY_TARGETS, arg, out);
}

/* GET /v1/tasks: of all customers or ?customer=NAME, at most ?max=N. */
static void tasks(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		  wl_out_t *out)
{
	wl_str_t query = wl_buf_str(&call->query);
	wl_msg_query_t *leader_query;
	uint64_t max_tasks = 0;
	wl_str_t customer;
	wl_str_t max;
	wl_err_t err;

	(void)arg;
	wl_api_param(query, WL_STR("customer"), &customer);
	if (wl_api_param(query, WL_STR("max"), &max) &&
	    (!wl_str_u64(max, &max_tasks) || max_tasks > MAX_TASKS)) {
		wl_err_set(&err, WL_E_BAD_INPUT, WL_NOT_RUN, "max: must be a number up to %d",
			   MAX_TASKS);
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	leader_query = query_leader(api, now_ns, call, WL_QUERY_TASKS, customer, out);
	leader_query->number = max_tasks;
}

static void task(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg, wl_out_t *out)
{
	query_leader(api, now_ns, call, WL_QUERY_TASK, arg, out);
}

static void members(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		    wl_out_t *out)
{
	query_leader(api, now_ns, call, WL_QUERY_MEMBERS, arg, out);
}

/* Body of POST /v1/members. */
typedef struct replace_body {
	wl_buf_t replace; /* name of the daemon whose disk is lost */
} replace_body_t;

static const wl_field_t replace_fields[] = {
	WL_FIELD_REQUIRED(replace_body_t, replace, WL_FIELD_BYTES, 128),
};

static const wl_schema_t replace_schema = WL_SCHEMA(replace_body_t, replace_fields);

static void replace(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		    wl_out_t *out)
{
	replace_body_t body;
	wl_err_t err;

	(void)arg;
	if (!wl_record_from_json(&replace_schema, wl_buf_str(&call->body), &body, &err)) {
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	query_leader(api, now_ns, call, WL_QUERY_REPLACE, wl_buf_str(&body.replace), out);
	wl_record_free(&replace_schema, &body);
}

static void evacuations(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			wl_out_t *out)
{
	query_leader(api, now_ns, call, WL_QUERY_EVACUATIONS, arg, out);
}

static void evacuation_command(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t zone,
			       bool withdrawn, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_ZONE_EVACUATE, .u.zone_evacuate.withdrawn = withdrawn};
	wl_api_pending_call_t *pending;
	wl_err_t err;

	if (zone.len > MAX_ZONE_BYTES) {
		wl_err_set(&err, WL_E_BAD_INPUT, WL_NOT_RUN,
			   "availability zone: expected at most %d bytes, found %zu",
			   MAX_ZONE_BYTES, zone.len);
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	wl_buf_set(&cmd.u.zone_evacuate.availability_zone, zone);
	pending = wl_api_pending_call_add(api, call, WL_API_PENDING_FORWARD);
	wl_out_leader_conditional(out, pending->id, &cmd, now_ns + WL_API_CALL_MS * WL_NS_PER_MS,
				  call->id);
	wl_cmd_free(&cmd);
}

/* PUT /v1/evacuations/ZONE */
static void evacuation_begin(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			     wl_out_t *out)
{
	evacuation_command(api, now_ns, call, arg, false, out);
}

/* DELETE /v1/evacuations/ZONE */
static void evacuation_end(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
			   wl_out_t *out)
{
	evacuation_command(api, now_ns, call, arg, true, out);
}

static void drain(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_str_t arg,
		  wl_out_t *out)
{
	(void)now_ns;
	(void)arg;
	api->drain_requested = true;
	wl_api_reply_json(out, call->id, 202, WL_STR("{\"status\":\"draining\"}\n"));
}

/* Sorted by path, then method. */
static const route_t routes[] = {
	{"GET", "/healthz", ON_CALLER | ON_CONTROL, ACCESS_ANY, healthz},
	{"GET", "/metrics", ON_CONTROL | ON_METRICS, ACCESS_ANY, metrics},
	{"GET", "/readyz", ON_CALLER | ON_CONTROL, ACCESS_ANY, readyz},
	{"GET", "/v1/config/*", ON_CONTROL, ACCESS_OPERATOR, wl_api_list_get},
	{"PUT", "/v1/config/*", ON_CONTROL, ACCESS_OPERATOR, wl_api_list_put},
	{"POST", "/v1/drain", ON_CONTROL, ACCESS_OPERATOR, drain},
	{"GET", "/v1/evacuations", ON_CONTROL, ACCESS_OPERATOR, evacuations},
	{"DELETE", "/v1/evacuations/*", ON_CONTROL, ACCESS_OPERATOR, evacuation_end},
	{"PUT", "/v1/evacuations/*", ON_CONTROL, ACCESS_OPERATOR, evacuation_begin},
	{"GET", "/v1/members", ON_CONTROL, ACCESS_OPERATOR, members},
	{"POST", "/v1/members", ON_CONTROL, ACCESS_OPERATOR, replace},
	{"GET", "/v1/status", ON_CONTROL, ACCESS_OPERATOR, status},
	{"GET", "/v1/targets", ON_CONTROL, ACCESS_OPERATOR, targets},
	{"GET", "/v1/tasks", ON_CONTROL, ACCESS_OPERATOR, tasks},
	{"POST", "/v1/tasks", ON_CALLER, ACCESS_CALLER, wl_api_task_add},
	{"GET", "/v1/tasks/*", ON_CONTROL, ACCESS_OPERATOR, task},
	{"DELETE", "/v1/tasks/*", ON_CALLER, ACCESS_CALLER, wl_api_task_cancel},
	{"GET", "/v1/tasks/*", ON_CALLER, ACCESS_CALLER, wl_api_task_get},
	{"POST", "/v1/tasks/cancel", ON_CALLER, ACCESS_CALLER, wl_api_tasks_cancel},
};

static bool path_matches(const char *pattern, wl_str_t path, wl_str_t *arg)
{
	wl_str_t want = wl_str_from(pattern);

	*arg = (wl_str_t){NULL, 0};
	if (want.len == 0 || want.at[want.len - 1] != '*')
		return wl_str_equal(want, path);
	want.len--;
	if (!wl_str_starts(path, want) || path.len == want.len)
		return false;
	*arg = (wl_str_t){path.at + want.len, path.len - want.len};
	return true;
}

static const route_t *route_find(const wl_call_t *call, wl_str_t *arg, bool *path_known)
{
	*path_known = false;
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const route_t *route = &routes[i];

		if (!(route->listeners & 1u << call->listener))
			continue;
		if (!path_matches(route->path, wl_buf_str(&call->path), arg))
			continue;
		*path_known = true;
		if (wl_str_equal(wl_buf_str(&call->method), wl_str_from(route->method)))
			return route;
	}
	return NULL;
}

static void api_call(wl_api_t *api, uint64_t now_ns, const wl_call_t *call, wl_out_t *out)
{
	const route_t *route;
	bool path_known;
	wl_str_t arg;
	wl_err_t err;

	route = route_find(call, &arg, &path_known);
	if (!route) {
		wl_err_set(&err, WL_E_NOT_FOUND, WL_NOT_RUN, "no such %s",
			   path_known ? "method on this path" : "path");
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	if (route->access == ACCESS_OPERATOR &&
	    !wl_auth_bearer(&call->headers, api->options.operator_token, &err)) {
		wl_metrics_add(api->options.metrics, "wisterialead_unauthorized_total",
			       "listener=\"control\"", 1);
		wl_out_reply_error(out, call->id, &err);
		return;
	}
	route->handle(api, now_ns, call, arg, out);
}

static void forward_result(wl_api_t *api, wl_api_pending_call_t *pending, const wl_result_t *result,
			   wl_out_t *out)
{
	if (result->code != WL_OK)
		wl_api_reply_result(out, pending->call, result);
	else if (result->body.len == 0)
		wl_api_reply_json(out, pending->call, 200, WL_STR("{\"status\":\"ok\"}\n"));
	else
		wl_api_reply_json(out, pending->call, 200, wl_buf_str(&result->body));
	wl_api_pending_call_remove(api, pending);
}

static void api_result(wl_api_t *api, uint64_t now_ns, uint64_t id, const wl_result_t *result,
		       wl_out_t *out)
{
	wl_api_pending_call_t *pending =
		wl_map_get(&api->by_id, (wl_str_t){(const char *)&id, sizeof(id)});

	if (!pending)
		return;
	switch (pending->kind) {
	case WL_API_PENDING_FORWARD:
	case WL_API_PENDING_TASK_CANCEL:
		forward_result(api, pending, result, out);
		return;
	case WL_API_PENDING_LIST_GET:
		wl_api_list_got(api, pending, result, out);
		return;
	case WL_API_PENDING_LIST_PUT:
		wl_api_list_accepted(api, now_ns, pending, result, out);
		return;
	case WL_API_PENDING_IN_FORCE:
		wl_api_list_in_force(api, now_ns, pending, result, out);
		return;
	case WL_API_PENDING_TASK_ADD:
		wl_api_task_added(api, pending, result, out);
		return;
	}
}

static void api_tick(wl_api_t *api, uint64_t now_ns, wl_out_t *out)
{
	wl_api_pending_call_t *pending;

	TAILQ_FOREACH (pending, &api->pending_calls, link)
		if (pending->next_poll_ns && now_ns >= pending->next_poll_ns)
			wl_api_list_poll(api, now_ns, pending, out);
}

/*
 * wl_api_new - create the API
 * @options: strings and objects it points to must outlive the API
 */
wl_api_t *wl_api_new(const wl_api_options_t *options)
{
	wl_api_t *api = wl_alloc(sizeof(*api));

	api->options = *options;
	api->next_id = 1;
	wl_rng_init(&api->rng, options->boot, API_STREAM);
	wl_map_init(&api->by_id);
	TAILQ_INIT(&api->pending_calls);
	return api;
}

/*
 * wl_api_free - free the API; waiting calls are not answered
 */
void wl_api_free(wl_api_t *api)
{
	wl_api_pending_call_t *pending;

	if (!api)
		return;
	while ((pending = TAILQ_FIRST(&api->pending_calls)))
		wl_api_pending_call_remove(api, pending);
	wl_map_free(&api->by_id);
	free(api);
}

/*
 * wl_api_step - handle an event
 * @now_ns: monotonic time, nanoseconds
 * @event: CALL, RESULT of a call with WL_PART_API, or TICK; others are ignored
 * @out: actions are added
 */
void wl_api_step(wl_api_t *api, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_CALL)
		api_call(api, now_ns, &event->call, out);
	else if (event->kind == WL_EVENT_RESULT)
		api_result(api, now_ns, event->tag, event->result, out);
	else if (event->kind == WL_EVENT_TICK)
		api_tick(api, now_ns, out);
}

/*
 * wl_api_drain - report not ready and refuse new tasks from now on
 */
void wl_api_drain(wl_api_t *api)
{
	api->draining = true;
}

/*
 * wl_api_open - number of HTTP calls that wait for the leader
 */
size_t wl_api_open(const wl_api_t *api)
{
	return wl_map_count(&api->by_id);
}

/*
 * wl_api_drain_requested - check whether an operator requested this daemon to drain
 */
bool wl_api_drain_requested(const wl_api_t *api)
{
	return api->drain_requested;
}
