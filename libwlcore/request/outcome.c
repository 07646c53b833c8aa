/*
 * Handling of ended attempts: answer, retry or error.
 *
 * A request that is not idempotent is retried only after the verdict not-run.
 * Each retry is charged to the customer's retry budget, except after a peer's
 * refusal that reached no target.
 */

#include "internal.h"

#include <string.h>

#define STATUS_BAD_GATEWAY     502
#define STATUS_GATEWAY_TIMEOUT 504
#define MAX_RETRIES	       3 /* per request: one that fails everywhere takes no more of the budget */

/*
 * wl_outcome_free - free what an outcome owns and reset it
 */
void wl_outcome_free(wl_outcome_t *outcome)
{
	wl_buf_free(&outcome->text);
	wl_list_free(&wl_header_schema, &outcome->headers);
	wl_buf_free(&outcome->body);
	memset(outcome, 0, sizeof(*outcome));
}

static void outcome_move(wl_outcome_t *to, wl_outcome_t *from)
{
	if (to == from)
		return;
	wl_outcome_free(to);
	*to = *from;
	memset(from, 0, sizeof(*from));
}

/*
 * wl_outcome_error - set an outcome to an error
 * @outcome: must be empty
 */
void wl_outcome_error(wl_outcome_t *outcome, wl_code_t code, wl_verdict_t verdict, const char *text)
{
	outcome->code = code;
	outcome->verdict = verdict;
	wl_buf_set(&outcome->text, wl_str_from(text));
}

/* A gateway error of the service; another target may give a better answer. */
static bool outcome_is_gateway_error(const wl_outcome_t *outcome)
{
	return outcome->status >= STATUS_BAD_GATEWAY && outcome->status <= STATUS_GATEWAY_TIMEOUT;
}

static bool outcome_is_final(const wl_request_t *request, const wl_outcome_t *outcome)
{
	return outcome->verdict == WL_RAN &&
	       !(request->idempotent && outcome_is_gateway_error(outcome));
}

static bool request_may_retry(const wl_request_t *request, wl_verdict_t verdict, uint64_t now_ns)
{
	if (request->retries >= MAX_RETRIES)
		return false;
	if (verdict != WL_NOT_RUN && !request->idempotent)
		return false;
	return now_ns < request->deadline_ns;
}

/* Ends the request with the service's answer if there is one, otherwise with the error. */
static void request_end_with_best(wl_requests_t *requests, wl_request_t *request,
				  wl_outcome_t *error, uint64_t now_ns, wl_out_t *out)
{
	if (request->has_outcome) {
		wl_request_end(requests, request, &request->outcome, now_ns, out);
		return;
	}
	if (request->maybe_ran)
		error->verdict = WL_UNKNOWN;
	wl_request_end(requests, request, error, now_ns, out);
}

static void request_record_outcome(wl_request_t *request, wl_outcome_t *outcome)
{
	if (outcome->verdict == WL_UNKNOWN)
		request->maybe_ran = true;
	if (outcome->verdict != WL_RAN)
		return;
	outcome_move(&request->outcome, outcome);
	request->has_outcome = true;
}

/*
 * wl_request_attempt_ended - handle the end of an attempt of a request
 * @outcome: outcome of the attempt; moved from
 * @reached: a target was tried; false if a peer refused before that
 * @now_ns: monotonic time, nanoseconds
 */
void wl_request_attempt_ended(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *outcome,
			      bool reached, uint64_t now_ns, wl_out_t *out)
{
	wl_verdict_t verdict = outcome->verdict;

	if (!request->customer || outcome_is_final(request, outcome)) {
		wl_request_end(requests, request, outcome, now_ns, out);
		return;
	}
	request_record_outcome(request, outcome);
	if (!TAILQ_EMPTY(&request->attempts))
		return;
	if (!reached && now_ns < request->deadline_ns) {
		wl_request_queue(requests, request, now_ns, out);
		return;
	}
	if (request_may_retry(request, verdict, now_ns) &&
	    wl_budget_take(&request->customer->budget, now_ns)) {
		request->retries++;
		wl_metrics_add(requests->options.metrics, "wisterialead_retries_total",
			       request->customer->labels.at, 1);
		wl_request_queue(requests, request, now_ns, out);
		return;
	}
	request_end_with_best(requests, request, outcome, now_ns, out);
}

/*
 * wl_request_fail - end a request without attempts in flight with an error
 * @now_ns: monotonic time, nanoseconds
 *
 * The verdict depends on its earlier attempts.
 */
void wl_request_fail(wl_requests_t *requests, wl_request_t *request, wl_code_t code,
		     const char *text, uint64_t now_ns, wl_out_t *out)
{
	wl_outcome_t error = {0};

	wl_outcome_error(&error, code, WL_NOT_RUN, text);
	request_end_with_best(requests, request, &error, now_ns, out);
	wl_outcome_free(&error);
}

static void request_sent_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
				 wl_out_t *out)
{
	if (request->hedge_ns <= now_ns) {
		wl_request_hedge(requests, request, now_ns, out);
		return;
	}
	wl_request_cancel_attempts(requests, request, out);
	request->maybe_ran = true;
	wl_request_fail(requests, request, WL_E_DEADLINE, "no answer before the deadline", now_ns,
			out);
}

/*
 * wl_request_expired - handle the expiry of a request's timer
 */
void wl_request_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			wl_out_t *out)
{
	switch (request->state) {
	case WL_REQUEST_HELD:
		wl_request_hold_expired(requests, request, now_ns, out);
		break;
	case WL_REQUEST_KEY_COMMIT:
		wl_request_key_free(requests, request, now_ns, out);
		wl_request_fail(requests, request, WL_E_NO_LEADER,
				"Idempotency-Key: commit by the leader failed", now_ns, out);
		break;
	case WL_REQUEST_QUEUED:
		wl_request_fail(requests, request, WL_E_DEADLINE,
				"no free capacity before the deadline", now_ns, out);
		break;
	case WL_REQUEST_SENT:
		request_sent_expired(requests, request, now_ns, out);
		break;
	case WL_REQUEST_OUTCOME_COMMIT:
		wl_request_reply(requests, request, now_ns, out);
		break;
	}
}

/*
 * wl_request_end - end a request: commit its outcome if it has a key, then answer it
 * @outcome: moved from; may be the request's own
 * @now_ns: monotonic time, nanoseconds
 */
void wl_request_end(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *outcome,
		    uint64_t now_ns, wl_out_t *out)
{
	bool success = outcome->verdict == WL_RAN && !outcome_is_gateway_error(outcome);

	outcome_move(&request->outcome, outcome);
	wl_request_cancel_attempts(requests, request, out);
	wl_request_unqueue(requests, request);
	if (request->customer)
		wl_budget_end(&request->customer->budget, success, now_ns);
	if (request->key.len && request->outcome.verdict != WL_NOT_RUN) {
		wl_request_key_end(requests, request, now_ns, out);
		return;
	}
	if (request->key.len)
		wl_request_key_free(requests, request, now_ns, out);
	wl_request_reply(requests, request, now_ns, out);
}
