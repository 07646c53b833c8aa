/*
 * Requests over the limits of their plan wait a little before they are refused.
 *
 * An entry's part of a limit may be a few requests, of which some come
 * together by chance; and a part that has to grow takes two exchanges.  Both
 * pass in the time that a request is held, in which it counts for nothing.
 */

#include "internal.h"

#define HOLD_LEAST_NS	 (200 * WL_NS_PER_MS)
#define HOLD_MOST_NS	 (1000 * WL_NS_PER_MS) /* as Retry-After says */
#define HOLD_REQUESTS	 3		       /* that may go first at the own part of the rate */
#define CUSTOMER_DIVISOR 4 /* of those held, the most that one customer may have */

/*
 * wl_request_may_hold - tell whether one more request of a customer may be held
 */
bool wl_request_may_hold(const wl_requests_t *requests, const wl_admit_customer_t *customer)
{
	uint64_t most = requests->options.max_queued;

	return customer->max_concurrent && customer->rate_milli && requests->held < most &&
	       customer->waiting.count < most / CUSTOMER_DIVISOR;
}

static uint64_t hold_ns(const wl_admit_customer_t *customer)
{
	uint64_t spacing = wl_admit_spacing(customer);

	if (spacing >= HOLD_MOST_NS / HOLD_REQUESTS)
		return HOLD_MOST_NS;
	spacing *= HOLD_REQUESTS;
	return spacing > HOLD_LEAST_NS ? spacing : HOLD_LEAST_NS;
}

/*
 * wl_request_hold - let a request wait for its customer's limits
 */
void wl_request_hold(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns)
{
	uint64_t end_ns = now_ns + hold_ns(request->customer);

	request->state = WL_REQUEST_HELD;
	request->held.owner = request;
	requests->held++;
	wl_heap_put(&request->customer->waiting, &request->held, now_ns);
	wl_requests_timer(requests, request,
			  end_ns < request->deadline_ns ? end_ns : request->deadline_ns);
}

/*
 * wl_request_unhold - end a request's wait; no effect on one that is not held
 */
void wl_request_unhold(wl_requests_t *requests, wl_request_t *request)
{
	if (!request->held.place)
		return;
	wl_heap_remove(&request->customer->waiting, &request->held);
	requests->held--;
}

/*
 * wl_request_hold_expired - refuse a request that was held long enough
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
	/* its key was never begun */
	wl_buf_clear(&request->key);
	wl_request_fail(requests, request, err.code, err.text, now_ns, out);
}

/*
 * wl_requests_admit - go on with those of a customer's held requests that its limits allow now
 */
void wl_requests_admit(wl_requests_t *requests, wl_admit_customer_t *customer, uint64_t now_ns,
		       wl_out_t *out)
{
	const wl_heap_node_t *node;

	while ((node = wl_heap_first(&customer->waiting)) &&
	       wl_admit_retry(customer, now_ns, NULL)) {
		wl_request_t *request = node->owner;

		wl_request_unhold(requests, request);
		request->admitted = true;
		wl_request_begin(requests, request, now_ns, out);
	}
}

/*
 * wl_requests_admit_all - the same for all customers
 */
void wl_requests_admit_all(wl_requests_t *requests, uint64_t now_ns, wl_out_t *out)
{
	wl_admit_customer_t *customer;

	if (!requests->held)
		return;
	TAILQ_FOREACH (customer, &requests->admit.customers, link)
		wl_requests_admit(requests, customer, now_ns, out);
}
