/*
 * What follows when a try ends: an answer, another try, or an error.
 *
 * Work that is not idempotent is sent again only after not-run.  Every
 * further try is paid from the customer's retry budget, but those after
 * a peer's refusal, which reached no target.
 */

#include "internal.h"

#include <string.h>

#define STATUS_BAD_GATEWAY     502
#define STATUS_GATEWAY_TIMEOUT 504
#define RETRIES_MOST	       3 /* of one request: what fails everywhere takes no more of a budget */

/*
 * wl_outcome_free - release what an outcome owns and make it empty
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
 * wl_outcome_error - make an outcome of an error
 * @outcome: empty
 */
void wl_outcome_error(wl_outcome_t *outcome, wl_code_t code, wl_verdict_t verdict, const char *text)
{
	outcome->code = code;
	outcome->verdict = verdict;
	wl_buf_set(&outcome->text, wl_str_from(text));
}

/* An answer of the service itself that another target may better. */
static bool outcome_gateway(const wl_outcome_t *outcome)
{
	return outcome->status >= STATUS_BAD_GATEWAY && outcome->status <= STATUS_GATEWAY_TIMEOUT;
}

static bool outcome_final(const wl_request_t *request, const wl_outcome_t *outcome)
{
	return outcome->verdict == WL_RAN && !(request->idempotent && outcome_gateway(outcome));
}

static bool request_may_retry(const wl_request_t *request, wl_verdict_t verdict, uint64_t now_ns)
{
	if (request->retries >= RETRIES_MOST)
		return false;
	if (verdict != WL_NOT_RUN && !request->idempotent)
		return false;
	return now_ns < request->deadline_ns;
}

/* Ends with the service's answer if there is one, else with the error. */
static void request_end_best(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *error,
			     uint64_t now_ns, wl_out_t *out)
{
	if (request->has_outcome) {
		wl_request_end(requests, request, &request->outcome, now_ns, out);
		return;
	}
	if (request->maybe_ran)
		error->verdict = WL_UNKNOWN;
	wl_request_end(requests, request, error, now_ns, out);
}

static void request_remember(wl_request_t *request, wl_outcome_t *outcome)
{
	if (outcome->verdict == WL_UNKNOWN)
		request->maybe_ran = true;
	if (outcome->verdict != WL_RAN)
		return;
	outcome_move(&request->outcome, outcome);
	request->has_outcome = true;
}

/*
 * wl_request_tried - a try of a request ended
 * @outcome: of the try; moved from
 * @reached: a target was tried; false: a peer refused before that
 */
void wl_request_tried(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *outcome,
		      bool reached, uint64_t now_ns, wl_out_t *out)
{
	wl_verdict_t verdict = outcome->verdict;

	if (!request->customer || outcome_final(request, outcome)) {
		wl_request_end(requests, request, outcome, now_ns, out);
		return;
	}
	request_remember(request, outcome);
	if (!TAILQ_EMPTY(&request->tries))
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
	request_end_best(requests, request, outcome, now_ns, out);
}

/*
 * wl_request_fail - end a request of which nothing is in flight with an error
 *
 * The verdict follows from its earlier tries.
 */
void wl_request_fail(wl_requests_t *requests, wl_request_t *request, wl_code_t code,
		     const char *text, uint64_t now_ns, wl_out_t *out)
{
	wl_outcome_t error = {0};

	wl_outcome_error(&error, code, WL_NOT_RUN, text);
	request_end_best(requests, request, &error, now_ns, out);
	wl_outcome_free(&error);
}

static void request_sent_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
				 wl_out_t *out)
{
	if (request->hedge_ns <= now_ns) {
		wl_request_hedge(requests, request, now_ns, out);
		return;
	}
	wl_request_cancel_tries(requests, request, out);
	request->maybe_ran = true;
	wl_request_fail(requests, request, WL_E_DEADLINE, "no answer within the time given", now_ns,
			out);
}

/*
 * wl_request_expired - the timer of a request ran out
 */
void wl_request_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			wl_out_t *out)
{
	switch (request->state) {
	case WL_REQUEST_HELD:
		wl_request_hold_expired(requests, request, now_ns, out);
		break;
	case WL_REQUEST_KEYING:
		wl_request_key_free(requests, request, now_ns, out);
		wl_request_fail(requests, request, WL_E_NO_LEADER, "the key could not be committed",
				now_ns, out);
		break;
	case WL_REQUEST_QUEUED:
		wl_request_fail(requests, request, WL_E_DEADLINE, "no room within the time given",
				now_ns, out);
		break;
	case WL_REQUEST_SENT:
		request_sent_expired(requests, request, now_ns, out);
		break;
	case WL_REQUEST_KEEPING:
		wl_request_reply(requests, request, now_ns, out);
		break;
	}
}

/*
 * wl_request_end - a request has its outcome: keep it if it has a key, then answer
 * @outcome: moved from; may be the request's own
 */
void wl_request_end(wl_requests_t *requests, wl_request_t *request, wl_outcome_t *outcome,
		    uint64_t now_ns, wl_out_t *out)
{
	bool success = outcome->verdict == WL_RAN && !outcome_gateway(outcome);

	outcome_move(&request->outcome, outcome);
	wl_request_cancel_tries(requests, request, out);
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
