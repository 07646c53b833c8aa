/* Completion of an attempt on an own target: releases its reservation and derives the verdict. */

#include "internal.h"

#include <string.h>

#define STATUS_CONFLICT	   409
#define ENOUGH_TIME_FACTOR 4			 /* times the mean latency of the service */
#define ENOUGH_TIME_NS	   (1000 * WL_NS_PER_MS) /* used while the mean is unknown */

/* The target refused the request according to the protocol, so that it does not run any of it. */
static bool fetched_refused(const wl_fetched_t *fetched)
{
	const wl_buf_t *value = wl_headers_find(&fetched->headers, WL_STR("Wisterialead-Verdict"));

	return fetched->complete && fetched->status == STATUS_CONFLICT && value &&
	       wl_str_equal(wl_buf_str(value), WL_STR("not-run"));
}

/* The target may still be processing the request. */
static bool fetched_may_still_run(const wl_fetched_t *fetched)
{
	return fetched->sent && !fetched->complete;
}

static wl_verdict_t fetched_verdict(const wl_fetched_t *fetched)
{
	if (!fetched->sent || fetched_refused(fetched))
		return WL_NOT_RUN;
	return fetched->complete ? WL_RAN : WL_UNKNOWN;
}

static void fetched_outcome(wl_fetched_t *fetched, const wl_request_t *request, wl_str_t target,
			    uint64_t now_ns, wl_outcome_t *outcome)
{
	outcome->verdict = fetched_verdict(fetched);
	if (outcome->verdict == WL_RAN) {
		outcome->status = fetched->status;
		wl_headers_to_caller(&outcome->headers, &fetched->headers);
		wl_buf_move(&outcome->body, &fetched->body);
		return;
	}
	outcome->code = now_ns < request->deadline_ns ? WL_E_TARGET_FAILED : WL_E_DEADLINE;
	wl_buf_printf(&outcome->text, "target " WL_STR_FMT ": " WL_STR_FMT, WL_STR_ARG(target),
		      WL_STR_ARG(fetched_refused(fetched) ? WL_STR("refused the request")
							  : wl_buf_str(&fetched->error)));
}

/*
 * Whether the attempt had enough time that its failure counts against the target.  A
 * failure at a deadline that is short for the service says nothing about the target.
 */
static bool fetched_counts_as_failure(const wl_request_attempt_t *attempt,
				      const wl_fetched_t *fetched, uint64_t now_ns)
{
	uint64_t mean = wl_latency_mean(&attempt->service->latency, now_ns);

	if (now_ns < attempt->request->deadline_ns)
		return true;
	return fetched->took_ns >= (mean ? mean * ENOUGH_TIME_FACTOR : ENOUGH_TIME_NS);
}

/*
 * Records latency and target health.  A cancelled attempt, or one that the target
 * refused as stale, says nothing about the health of the target.
 */
static void fetched_observe(wl_requests_t *requests, const wl_request_attempt_t *attempt,
			    wl_target_t *target, const wl_fetched_t *fetched, uint64_t now_ns,
			    wl_out_t *out)
{
	bool ok = fetched->complete;

	if (ok)
		wl_latency_add(&attempt->service->latency, fetched->took_ns, now_ns);
	if (!target || !requests->options.owner || fetched_refused(fetched))
		return;
	if (ok || (attempt->request && fetched_counts_as_failure(attempt, fetched, now_ns)))
		wl_owner_record_request(requests->options.owner, target, attempt->service->key, ok,
					fetched->took_ns, now_ns, out);
}

/*
 * wl_requests_fetched - handle the end of an attempt on an own target
 * @now_ns: monotonic time, nanoseconds
 * @fetched: moved from
 */
void wl_requests_fetched(wl_requests_t *requests, uint64_t now_ns, wl_fetched_t *fetched,
			 wl_out_t *out)
{
	wl_request_attempt_t *attempt = wl_id_get(&requests->attempts_by_id, fetched->id);
	wl_request_service_t *service;
	wl_outcome_t outcome = {0};
	wl_request_t *request;
	wl_target_t *target;

	if (!attempt || !attempt->target.len)
		return;
	target = wl_ledger_find(requests->options.ledger, wl_buf_str(&attempt->target));
	if (fetched_may_still_run(fetched))
		wl_requests_keep_reservation(requests, attempt->service,
					     wl_buf_str(&attempt->target), fetched->took_ns,
					     now_ns);
	else
		wl_requests_release_reservation(requests, wl_buf_str(&attempt->target));
	fetched_observe(requests, attempt, target, fetched, now_ns, out);

	request = attempt->request;
	service = attempt->service;
	if (request) {
		fetched_outcome(fetched, request, wl_buf_str(&attempt->target), now_ns, &outcome);
		wl_buf_move(&request->avoid_target, &attempt->target);
	}
	wl_request_attempt_end(requests, attempt);
	if (request)
		wl_request_attempt_ended(requests, request, &outcome, true, now_ns, out);
	wl_outcome_free(&outcome);
	wl_requests_dispatch(requests, service, now_ns, out);
}
