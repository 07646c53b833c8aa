/* Answers to callers and peers, and their metrics. */

#include "internal.h"

#include <stdio.h>

#define LABEL_BYTES 512

/*
 * wl_requests_refused - count a call that was not accepted
 * @customer: name given by the caller; used as a label only if the customer exists
 * @err: reason of the refusal
 */
void wl_requests_refused(wl_requests_t *requests, wl_str_t customer, const wl_err_t *err)
{
	const wl_lists_t *lists = requests->options.view->lists;
	char labels[LABEL_BYTES];

	if (!lists || !wl_lists_customer(lists, customer))
		customer = WL_STR("");
	snprintf(labels, sizeof(labels), "customer=\"" WL_STR_FMT "\",reason=\"%s\"",
		 WL_STR_ARG(customer), wl_code_name(err->code));
	wl_metrics_add(requests->options.metrics, "wisterialead_requests_refused_total", labels, 1);
}

static void reply_count(wl_requests_t *requests, const wl_request_t *request, uint64_t now_ns)
{
	const wl_outcome_t *outcome = &request->outcome;
	wl_metrics_t *metrics = requests->options.metrics;
	const char *customer = request->customer->labels.at;
	char labels[LABEL_BYTES];

	snprintf(labels, sizeof(labels), "%s,service=\"" WL_STR_FMT "\",verdict=\"%s\",code=\"%s\"",
		 customer, WL_STR_ARG(request->service->key), wl_verdict_name(outcome->verdict),
		 wl_code_name(outcome->code));
	wl_metrics_add(metrics, "wisterialead_requests_total", labels, 1);
	snprintf(labels, sizeof(labels), "%s,class=\"%s\"", customer,
		 wl_class_names[request->work_class]);
	wl_metrics_observe(metrics, "wisterialead_request_seconds", labels,
			   now_ns - request->arrived_ns);
}

static void outcome_err(const wl_outcome_t *outcome, wl_err_t *err)
{
	wl_err_set(err, outcome->code, outcome->verdict, WL_STR_FMT,
		   WL_STR_ARG(wl_buf_str(&outcome->text)));
}

static void reply_caller(wl_request_t *request, wl_out_t *out)
{
	wl_outcome_t *outcome = &request->outcome;
	wl_err_t err = {0};
	wl_reply_t *reply;

	if (!outcome->status) {
		outcome_err(outcome, &err);
		wl_out_reply_error(out, request->origin.call, &err);
		return;
	}
	reply = wl_out_reply(out, request->origin.call, outcome->status);
	reply->has_verdict = true;
	reply->verdict = outcome->verdict;
	reply->headers = outcome->headers;
	outcome->headers = (wl_list_t){0};
	if (outcome->replayed)
		wl_headers_add(&reply->headers, WL_STR("Wisterialead-Replayed"), WL_STR("yes"));
	wl_buf_move(&reply->body, &outcome->body);
}

static void reply_peer(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		       wl_out_t *out)
{
	wl_err_t err;
	wl_outcome_t *outcome = &request->outcome;
	wl_msg_answer_t *answer =
		&wl_out_send(out, wl_buf_str(&request->origin.peer), WL_MSG_ANSWER)->u.answer;

	answer->id = request->origin.id;
	answer->session = request->origin.session;
	answer->code = outcome->code;
	answer->verdict = outcome->verdict;
	answer->status = outcome->status;
	answer->headers = outcome->headers;
	outcome->headers = (wl_list_t){0};
	wl_buf_move(&answer->text, &outcome->text);
	wl_buf_move(&answer->body, &outcome->body);
	wl_buf_set(&answer->target, wl_buf_str(&request->avoid_target));
	if (wl_requests_ready(requests, now_ns, &err))
		answer->free_requests =
			wl_router_free_requests(&requests->router, request->service->key);
	if (answer->free_requests == 0)
		request->service->answered_full = true;
}

/*
 * wl_request_reply - answer a request with its outcome and remove it
 */
void wl_request_reply(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
		      wl_out_t *out)
{
	if (request->customer)
		reply_count(requests, request, now_ns);
	if (request->origin.peer.len)
		reply_peer(requests, request, now_ns, out);
	else if (!request->origin.caller_gone)
		reply_caller(request, out);
	wl_requests_remove(requests, request);
}
