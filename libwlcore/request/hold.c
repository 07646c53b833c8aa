/*
 * Holds requests over the limits of their plan for a short time before refusing them.
 * A held request waits for these limits, not for capacity, and does not count against
 * them.
 *
 * An entry's share of a limit may be a few requests, and some of them arrive
 * together by chance; also, a share takes two exchanges to grow.  Both resolve
 * while a request is held.
 */

#include "internal.h"

#define HOLD_MIN_NS	 (200 * WL_NS_PER_MS)
#define HOLD_MAX_NS	 (1000 * WL_NS_PER_MS) /* the value of Retry-After */
#define HOLD_SPACINGS	 3 /* hold time in units of the spacing at the own share of the rate */
#define CUSTOMER_DIVISOR 4 /* one customer may have at most this share of the held requests */

/*
 * wl_request_may_hold - check whether one more request of a customer may be held
 */
bool wl_request_may_hold(const wl_requests_t *requests, const wl_admit_customer_t *customer)
{
	uint64_t limit = requests->options.max_queued;

	return customer->max_concurrent && customer->rate_milli && requests->held < limit &&
	       customer->held.count < limit / CUSTOMER_DIVISOR;
}

static uint64_t hold_ns(const wl_admit_customer_t *customer)
{
	uint64_t spacing = wl_admit_spacing_ns(customer);

	if (spacing >= HOLD_MAX_NS / HOLD_SPACINGS)
		return HOLD_MAX_NS;
	spacing *= HOLD_SPACINGS;
	return spacing > HOLD_MIN_NS ? spacing : HOLD_MIN_NS;
}

/*
 * wl_request_hold - hold a request until its customer's limits admit it or the hold time
 * ends
 */
void wl_request_hold(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns)
{
	uint64_t end_ns = now_ns + hold_ns(request->customer);

	request->state = WL_REQUEST_HELD;
	request->held.owner = request;
	requests->held++;
	wl_heap_put(&request->customer->held, &request->held, now_ns);
	wl_requests_timer(requests, request,
			  end_ns < request->deadline_ns ? end_ns : request->deadline_ns);
}

/*
 * wl_request_unhold - remove a request from its customer's held requests; no effect on
 * others
 */
void wl_request_unhold(wl_requests_t *requests, wl_request_t *request)
{
	if (!request->held.position)
		return;
	wl_heap_remove(&request->customer->held, &request->held);
	requests->held--;
}

/*
 * wl_request_hold_expired - admit a request at the end of its hold time, or refuse it
 */
void wl_request_hold_expired(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			     wl_out_t *out)
{
	wl_err_t err = {0};

	wl_request_unhold(requests, request);
	if (wl_admit_retry(request->customer, now_ns, &err)) {
		request->admitted = true;
		wl_request_begin(requests, request, now_ns, out);
		return;
	}
	wl_admit_refuse(request->customer);
	/* its key was not committed */
	wl_buf_clear(&request->key);
	wl_request_fail(requests, request, err.code, err.text, now_ns, out);
}

/*
 * wl_requests_admit - admit those held requests of a customer that its limits allow now
 */
void wl_requests_admit(wl_requests_t *requests, wl_admit_customer_t *customer, uint64_t now_ns,
		       wl_out_t *out)
{
	const wl_heap_node_t *node;

	while ((node = wl_heap_first(&customer->held)) && wl_admit_retry(customer, now_ns, NULL)) {
		wl_request_t *request = node->owner;

		wl_request_unhold(requests, request);
		request->admitted = true;
		wl_request_begin(requests, request, now_ns, out);
	}
}

/*
 * wl_requests_admit_all - call wl_requests_admit() for all customers
 */
void wl_requests_admit_all(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	wl_admit_customer_t *customer;

	if (!requests->held)
		return;
	TAILQ_FOREACH (customer, &requests->admit.customers, link)
		wl_requests_admit(requests, customer, now_ns, out);
}
