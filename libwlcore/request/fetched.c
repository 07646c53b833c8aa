/* The end of a try on an own target: room given back, verdict read. */

#include "internal.h"

#include <string.h>

#define STATUS_CONFLICT 409
#define PATIENCE	4 /* times the service's latency */
#define PATIENCE_NS	(1000 * WL_NS_PER_MS)

/* The target refused under the contract: it runs nothing of this request. */
static bool fetched_refused(const wl_fetched_t *fetched)
{
	const wl_buf_t *value = wl_headers_find(&fetched->headers, WL_STR("Wisterialead-Verdict"));

	return fetched->complete && fetched->status == STATUS_CONFLICT && value &&
	       wl_str_equal(wl_buf_str(value), WL_STR("not-run"));
}

/* The target may still be at it. */
static bool fetched_may_go_on(const wl_fetched_t *fetched)
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
		      WL_STR_ARG(fetched_refused(fetched) ? WL_STR("refused")
							  : wl_buf_str(&fetched->error)));
}

/* Whether a try had so long that its failure is the target's, not that of a short deadline. */
static bool fetched_had_time(const wl_try_t *one, const wl_fetched_t *fetched, uint64_t now_ns)
{
	uint64_t mean = wl_latency_mean(&one->service->latency, now_ns);

	if (now_ns < one->request->deadline_ns)
		return true;
	return fetched->took_ns >= (mean ? mean * PATIENCE : PATIENCE_NS);
}

/* A try that was given up, or refused for being stale, says nothing of the target's health. */
static void fetched_observe(wl_requests_t *requests, const wl_try_t *one, wl_target_t *target,
			    const wl_fetched_t *fetched, uint64_t now_ns, wl_out_t *out)
{
	bool ok = fetched->complete;

	if (ok)
		wl_latency_add(&one->service->latency, fetched->took_ns, now_ns);
	if (!target || !requests->options.owner || fetched_refused(fetched))
		return;
	if (ok || (one->request && fetched_had_time(one, fetched, now_ns)))
		wl_owner_observe(requests->options.owner, target, one->service->key, ok,
				 fetched->took_ns, now_ns, out);
}

/*
 * wl_requests_fetched - a try on an own target ended
 * @fetched: moved from
 */
void wl_requests_fetched(wl_requests_t *requests, uint64_t now_ns, wl_fetched_t *fetched,
			 wl_out_t *out)
{
	wl_try_t *one = wl_id_get(&requests->tries_by_id, fetched->id);
	wl_request_service_t *service;
	wl_outcome_t outcome = {0};
	wl_request_t *request;
	wl_target_t *target;

	if (!one || !one->target.len)
		return;
	target = wl_ledger_find(requests->options.ledger, wl_buf_str(&one->target));
	if (fetched_may_go_on(fetched))
		wl_requests_linger(requests, one->service, wl_buf_str(&one->target),
				   fetched->took_ns, now_ns);
	else
		wl_requests_release(requests, wl_buf_str(&one->target));
	fetched_observe(requests, one, target, fetched, now_ns, out);

	request = one->request;
	service = one->service;
	if (request) {
		fetched_outcome(fetched, request, wl_buf_str(&one->target), now_ns, &outcome);
		wl_buf_move(&request->avoid_target, &one->target);
	}
	wl_try_end(requests, one);
	if (request)
		wl_request_tried(requests, request, &outcome, true, now_ns, out);
	wl_outcome_free(&outcome);
	wl_requests_pump(requests, service, now_ns, out);
}
