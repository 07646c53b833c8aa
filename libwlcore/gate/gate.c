/*
 * Front end for HTTP calls in a dialect, which is one of the supported wire formats:
 * translates the calls to commands and queries of the leader.
 *
 * The leader has the configuration and the jobs.  Each call is forwarded to it, so
 * that no daemon answers from outdated state.  Commands are idempotent: they
 * are sent to the next leader if one is lost, until the caller's time-out.
 */

#include "gate.h"

#include <stdlib.h>

#include <libwlbase/units.h>

#define CALLER_TIMEOUT_MS  3000 /* default time-out of callers */
#define CONTROL_TIMEOUT_MS 900	/* operators and targets try the next daemon after a second */
#define ANSWER_MARGIN_MS   100	/* reserved for the transfer of the answer */
#define RETRY_MS	   1000 /* an election and the links after it take about a second */

typedef struct wl_gate_pending_call {
	wl_str_t key; /* bytes of id */
	uint64_t id;  /* id of the call to the leader, from WL_PART_ID() */
	uint64_t call;
	wl_operation_kind_t kind;
	wl_buf_t address; /* host and path of the job that the call is about */
	uint64_t sent_ns;
	TAILQ_ENTRY(wl_gate_pending_call) link;
} wl_gate_pending_call_t;

/* A target's report that waits until the leader has answered another one. */
typedef struct wl_gate_report {
	uint64_t call;
	wl_operation_t operation;
	uint64_t until_ns;
	TAILQ_ENTRY(wl_gate_report) link;
} wl_gate_report_t;

struct wl_gate {
	wl_gate_options_t options;
	uint64_t next_id;
	bool draining;
	wl_map_t by_id;
	TAILQ_HEAD(wl_gate_pending_calls, wl_gate_pending_call) pending_calls;
	TAILQ_HEAD(wl_gate_reports, wl_gate_report) reports; /* that wait, oldest first */
	size_t reports_waiting;
};

/*
 * wl_gate_new - create the gate
 * @options: objects it points to must outlive the gate
 */
wl_gate_t *wl_gate_new(const wl_gate_options_t *options)
{
	wl_gate_t *gate = wl_alloc(sizeof(*gate));

	gate->options = *options;
	gate->next_id = 1;
	wl_map_init(&gate->by_id);
	TAILQ_INIT(&gate->pending_calls);
	TAILQ_INIT(&gate->reports);
	return gate;
}

static void pending_call_remove(wl_gate_t *gate, wl_gate_pending_call_t *pending)
{
	wl_map_remove(&gate->by_id, pending->key);
	TAILQ_REMOVE(&gate->pending_calls, pending, link);
	wl_buf_free(&pending->address);
	free(pending);
}

static void report_remove(wl_gate_t *gate, wl_gate_report_t *waiting)
{
	TAILQ_REMOVE(&gate->reports, waiting, link);
	gate->reports_waiting--;
	wl_operation_free(&waiting->operation);
	free(waiting);
}

/*
 * wl_gate_free - free the gate; waiting calls are not answered
 */
void wl_gate_free(wl_gate_t *gate)
{
	wl_gate_report_t *waiting;

	if (!gate)
		return;
	while (!TAILQ_EMPTY(&gate->pending_calls))
		pending_call_remove(gate, TAILQ_FIRST(&gate->pending_calls));
	waiting = TAILQ_FIRST(&gate->reports);
	while (waiting) {
		wl_gate_report_t *next = TAILQ_NEXT(waiting, link);

		report_remove(gate, waiting);
		waiting = next;
	}
	wl_map_free(&gate->by_id);
	free(gate);
}

/* Returns whether the failure is temporary and not caused by the call's content. */
static bool may_retry(const wl_result_t *result)
{
	return result->verdict == WL_NOT_RUN && wl_code_http((wl_code_t)result->code) >= 500;
}

static void reply(wl_gate_t *gate, wl_operation_kind_t kind, uint64_t call,
		  const wl_result_t *result, wl_out_t *out)
{
	wl_buf_t control = {0};
	wl_result_t answer = *result; /* borrows the strings of @result */

	if (may_retry(result) && answer.retry_ms == 0)
		answer.retry_ms = RETRY_MS;
	if (result->report_to.len && gate->options.control_port)
		wl_buf_printf(&control, "%s:%u", result->report_to.at, gate->options.control_port);
	gate->options.dialect->reply_write(kind, &answer, wl_buf_str(&control),
					   wl_out_reply(out, call, 0));
	wl_buf_free(&control);
}

static void reply_code(wl_gate_t *gate, wl_operation_kind_t kind, uint64_t call, wl_code_t code,
		       wl_out_t *out)
{
	wl_result_t result = {.code = code, .verdict = code == WL_OK ? WL_RAN : WL_NOT_RUN};

	reply(gate, kind, call, &result, out);
}

/* A draining daemon answers with the same code as one without a valid session. */
static void reply_ready(wl_gate_t *gate, uint64_t now_ns, const wl_call_t *call, wl_out_t *out)
{
	bool ready = !gate->draining &&
		     (!gate->options.entry || wl_session_valid(gate->options.session, now_ns));

	reply_code(gate, WL_OPERATION_READY, call->id, ready ? WL_OK : WL_E_NO_SESSION, out);
}

static uint64_t pending_call_add(wl_gate_t *gate, uint64_t now_ns, uint64_t call,
				 const wl_operation_t *operation)
{
	wl_gate_pending_call_t *pending = wl_alloc(sizeof(*pending));

	pending->id = WL_PART_ID(WL_PART_GATE, gate->next_id++);
	pending->key = (wl_str_t){(const char *)&pending->id, sizeof(pending->id)};
	pending->call = call;
	pending->kind = operation->kind;
	wl_buf_set(&pending->address, wl_buf_str(&operation->host));
	wl_buf_append(&pending->address, wl_buf_str(&operation->path));
	pending->sent_ns = now_ns;
	wl_map_put(&gate->by_id, pending);
	TAILQ_INSERT_TAIL(&gate->pending_calls, pending, link);
	return pending->id;
}

static uint64_t deadline_ns(const wl_call_t *call, const wl_operation_t *operation, uint64_t now_ns)
{
	uint64_t ms = call->listener == WL_LISTENER_CALLER ? CALLER_TIMEOUT_MS : CONTROL_TIMEOUT_MS;

	if (operation->timeout_ms)
		ms = operation->timeout_ms;
	if (ms > ANSWER_MARGIN_MS)
		ms -= ANSWER_MARGIN_MS;
	return now_ns + ms * WL_NS_PER_MS;
}

/* Converts an operation to a command and moves from it.  Returns false if it is a read. */
static bool operation_to_command(wl_operation_t *operation, wl_cmd_t *cmd)
{
	switch (operation->kind) {
	case WL_OPERATION_JOB_ADD:
		cmd->kind = WL_CMD_JOB_ADD;
		wl_buf_move(&cmd->u.job_add.host, &operation->host);
		wl_buf_move(&cmd->u.job_add.path, &operation->path);
		cmd->u.job_add.spec = operation->spec;
		operation->spec = (wl_job_spec_t){0};
		return true;
	case WL_OPERATION_JOB_CANCEL:
		cmd->kind = WL_CMD_JOB_CANCEL;
		wl_buf_move(&cmd->u.job_cancel.host, &operation->host);
		wl_buf_move(&cmd->u.job_cancel.path, &operation->path);
		return true;
	case WL_OPERATION_CATALOG_PUT:
		cmd->kind = WL_CMD_CATALOG_PUT;
		cmd->u.catalog_put.catalog = operation->catalog;
		operation->catalog = (wl_catalog_t){0};
		wl_buf_move(&cmd->u.catalog_put.text, &operation->text);
		return true;
	case WL_OPERATION_RUNNER_REPORT:
		cmd->kind = WL_CMD_RUNNER_PUT;
		cmd->u.runner_put = operation->report;
		operation->report = (wl_runner_report_t){0};
		return true;
	case WL_OPERATION_ZONE_EVACUATE:
		cmd->kind = WL_CMD_ZONE_EVACUATE;
		cmd->u.zone_evacuate = operation->evacuation;
		operation->evacuation = (wl_cmd_zone_evacuate_t){0};
		return true;
	case WL_OPERATION_NONE:
	case WL_OPERATION_READY:
	case WL_OPERATION_JOB_GET:
	case WL_OPERATION_CATALOG_GET:
		break;
	}
	return false;
}

static void operation_forward(wl_gate_t *gate, uint64_t now_ns, uint64_t call,
			      wl_operation_t *operation, uint64_t until_ns, wl_out_t *out)
{
	uint64_t id = pending_call_add(gate, now_ns, call, operation);
	wl_msg_query_t *query;
	wl_cmd_t cmd = {0};

	if (operation_to_command(operation, &cmd)) {
		if (cmd.kind == WL_CMD_ZONE_EVACUATE)
			wl_out_leader_conditional(out, id, &cmd, until_ns, call);
		else
			wl_out_leader_command(out, id, &cmd, until_ns);
		wl_cmd_free(&cmd);
		return;
	}
	query = wl_out_leader_query(
		out, id, operation->kind == WL_OPERATION_JOB_GET ? WL_QUERY_JOB : WL_QUERY_CATALOG,
		until_ns);
	/* a query for a job carries its host and path in these members */
	wl_buf_move(&query->customer, &operation->host);
	wl_buf_move(&query->name, &operation->path);
}

static void report_wait(wl_gate_t *gate, uint64_t call, wl_operation_t *operation,
			uint64_t until_ns)
{
	wl_gate_report_t *waiting = wl_alloc(sizeof(*waiting));

	waiting->call = call;
	waiting->operation = *operation;
	*operation = (wl_operation_t){0};
	waiting->until_ns = until_ns;
	TAILQ_INSERT_TAIL(&gate->reports, waiting, link);
	gate->reports_waiting++;
}

static wl_report_route_t report_route(const wl_gate_t *gate, uint64_t now_ns,
				      const wl_operation_t *operation)
{
	if (operation->kind != WL_OPERATION_RUNNER_REPORT || !gate->options.report_route)
		return WL_REPORT_FORWARD;
	return gate->options.report_route(gate->options.context, now_ns, &operation->report);
}

/* @operation: moved from unless it is answered at once */
static void operation_serve(wl_gate_t *gate, uint64_t now_ns, const wl_call_t *call,
			    wl_operation_t *operation, wl_out_t *out)
{
	uint64_t until_ns = deadline_ns(call, operation, now_ns);

	switch (report_route(gate, now_ns, operation)) {
	case WL_REPORT_FORWARD:
		operation_forward(gate, now_ns, call->id, operation, until_ns, out);
		return;
	case WL_REPORT_KNOWN:
		reply_code(gate, operation->kind, call->id, WL_OK, out);
		return;
	case WL_REPORT_WAIT:
		report_wait(gate, call->id, operation, until_ns);
		return;
	}
}

static void call_invalid(wl_gate_t *gate, const wl_call_t *call, wl_operation_kind_t kind,
			 const wl_err_t *err, wl_out_t *out)
{
	wl_buf_t path = {0};

	wl_log_quote(&path, wl_buf_str(&call->path));
	wl_metrics_add(gate->options.metrics, "wisterialead_gate_bad_calls_total", "", 1);
	wl_out_log(out, WL_WARN, "call-bad", "path=%s reason=\"%s\"", path.at, err->text);
	wl_buf_free(&path);
	reply_code(gate, kind, call->id, err->code, out);
}

static void gate_call(wl_gate_t *gate, uint64_t now_ns, const wl_call_t *call, wl_out_t *out)
{
	wl_operation_t operation = {0};
	wl_err_t err = {0};

	if (!gate->options.dialect->call_read(call, &operation, &err))
		call_invalid(gate, call, operation.kind, &err, out);
	else if (operation.kind == WL_OPERATION_NONE)
		reply_code(gate, operation.kind, call->id, WL_E_NOT_FOUND, out);
	else if (operation.kind == WL_OPERATION_READY)
		reply_ready(gate, now_ns, call, out);
	else
		operation_serve(gate, now_ns, call, &operation, out);
	wl_operation_free(&operation);
}

static void refusal_log(const wl_gate_pending_call_t *pending, const wl_result_t *result,
			wl_out_t *out)
{
	wl_buf_t address = {0};

	if (pending->address.len > 0) {
		wl_buf_append(&address, WL_STR(" address="));
		wl_log_quote(&address, wl_buf_str(&pending->address));
	}
	wl_out_log(out, WL_INFO, "call-refused",
		   "operation=%s code=%s verdict=%s reason=\"" WL_STR_FMT "\"" WL_STR_FMT,
		   wl_operation_names[pending->kind], wl_code_name((wl_code_t)result->code),
		   wl_verdict_name((wl_verdict_t)result->verdict),
		   WL_STR_ARG(wl_buf_str(&result->text)), WL_STR_ARG(wl_buf_str(&address)));
	wl_buf_free(&address);
}

static void report_expire(wl_gate_t *gate, wl_gate_report_t *waiting, wl_out_t *out)
{
	wl_result_t result = {0};
	wl_err_t err;

	wl_err_set(&err, WL_E_NO_LEADER, WL_NOT_RUN, "the leader answered no report in time");
	wl_result_error(&result, &err);
	wl_metrics_add(gate->options.metrics, "wisterialead_gate_reports_late_total", "", 1);
	reply(gate, waiting->operation.kind, waiting->call, &result, out);
	wl_result_free(&result);
	report_remove(gate, waiting);
}

/* Return: whether the report waits no longer. */
static bool report_retry(wl_gate_t *gate, uint64_t now_ns, wl_gate_report_t *waiting, wl_out_t *out)
{
	wl_report_route_t route = report_route(gate, now_ns, &waiting->operation);

	if (route == WL_REPORT_WAIT)
		return false;
	if (route == WL_REPORT_KNOWN)
		reply_code(gate, waiting->operation.kind, waiting->call, WL_OK, out);
	else
		operation_forward(gate, now_ns, waiting->call, &waiting->operation,
				  waiting->until_ns, out);
	report_remove(gate, waiting);
	return true;
}

/* Ends the reports that have waited for too long, and serves the others as far as possible. */
static void reports_retry(wl_gate_t *gate, uint64_t now_ns, wl_out_t *out)
{
	wl_gate_report_t *waiting = TAILQ_FIRST(&gate->reports);

	while (waiting) {
		wl_gate_report_t *next = TAILQ_NEXT(waiting, link);

		if (now_ns >= waiting->until_ns)
			report_expire(gate, waiting, out);
		else if (!report_retry(gate, now_ns, waiting, out))
			return;
		waiting = next;
	}
}

static void gate_result(wl_gate_t *gate, uint64_t now_ns, uint64_t id, const wl_result_t *result,
			wl_out_t *out)
{
	wl_gate_pending_call_t *pending =
		wl_map_get(&gate->by_id, (wl_str_t){(const char *)&id, sizeof(id)});

	if (!pending)
		return;
	if (result->code != WL_OK && result->code != WL_E_GONE)
		refusal_log(pending, result, out);
	if (pending->kind == WL_OPERATION_RUNNER_REPORT && result->code == WL_OK &&
	    gate->options.report_acknowledged)
		gate->options.report_acknowledged(gate->options.context, pending->sent_ns);
	reply(gate, pending->kind, pending->call, result, out);
	pending_call_remove(gate, pending);
	reports_retry(gate, now_ns, out);
}

/*
 * wl_gate_step - handle an event
 * @now_ns: monotonic time, nanoseconds
 * @event: CALL, TICK, or RESULT of a call with WL_PART_GATE; others are ignored
 * @out: actions are added
 */
void wl_gate_step(wl_gate_t *gate, uint64_t now_ns, wl_event_t *event, wl_out_t *out)
{
	if (event->kind == WL_EVENT_CALL)
		gate_call(gate, now_ns, &event->call, out);
	else if (event->kind == WL_EVENT_RESULT)
		gate_result(gate, now_ns, event->tag, event->result, out);
	else if (event->kind == WL_EVENT_TICK)
		reports_retry(gate, now_ns, out);
}

/*
 * wl_gate_drain - report not ready from now on; calls are still served
 */
void wl_gate_drain(wl_gate_t *gate)
{
	gate->draining = true;
}

/*
 * wl_gate_open - number of calls that wait for the leader
 */
size_t wl_gate_open(const wl_gate_t *gate)
{
	return wl_map_count(&gate->by_id) + gate->reports_waiting;
}
