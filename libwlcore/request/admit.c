/*
 * Distributed admission control: enforces the limits of a customer's plan across
 * all entries of a cell without a remote call per request.
 *
 * In every exchange interval the entries send each other how many requests of
 * each customer they run and receive.  Each entry takes a share of a limit in
 * proportion to its share of the total demand.  All entries compute the shares
 * from the same reported numbers, including their own, so that the shares add up
 * to the limit.  A share that grows takes effect one exchange later and a share
 * that shrinks takes effect at once, so that the limit also holds while numbers
 * are one message old.
 *
 * Bounds for N entries: at most rate * (T + 1/4) + N requests are admitted in any
 * T seconds, where 1/4 s is the depth of the token buckets.  The number of
 * concurrent requests exceeds the limit by at most N plus the requests that
 * entries still run under a share that has moved to another entry.  Both terms of
 * this excess last one exchange interval, as nothing is admitted while the
 * reported sum is at the limit.  An entry that sends nothing counts with its
 * last numbers until its session ends.
 */

#include "admit.h"

#include <stdlib.h>

#include <libwlbase/units.h>

#define MILLI		  1000ull
#define TOKEN_NANO	  WL_NS_PER_S
#define BURST_DIVISOR	  4  /* depth of the token bucket: a quarter of a second of the rate */
#define RESERVE_DIVISOR	  16 /* share of an exhausted limit that is reserved for idle entries */
#define SMOOTHING_DIVISOR 4  /* weight of a new sample: a quarter */
#define MAX_REFILL_NS	  (4 * WL_NS_PER_S) /* bounds the refill after a pause */
#define MIN_INTERVAL_NS	  1000000ull	    /* lower bound when rates are computed */

/*
 * wl_admit_init - initialize admission without customers
 * @budget: retry budget of each customer
 * @now_ns: monotonic time, nanoseconds
 */
void wl_admit_init(wl_admit_t *admit, const wl_budget_options_t *budget, uint64_t now_ns)
{
	*admit = (wl_admit_t){.budget = *budget, .members = 1, .exchanged_ns = now_ns};
	wl_map_init(&admit->by_name);
	TAILQ_INIT(&admit->customers);
	TAILQ_INIT(&admit->peers);
}

static void customer_free(wl_admit_customer_t *customer)
{
	wl_admit_report_t *report;

	while ((report = TAILQ_FIRST(&customer->reports))) {
		TAILQ_REMOVE(&customer->reports, report, link);
		free(report);
	}
	wl_heap_free(&customer->held);
	wl_buf_free(&customer->name);
	wl_buf_free(&customer->labels);
	free(customer);
}

/*
 * wl_admit_free - free all customers and peers
 */
void wl_admit_free(wl_admit_t *admit)
{
	wl_admit_customer_t *customer;
	wl_admit_peer_t *peer;

	while ((customer = TAILQ_FIRST(&admit->customers))) {
		TAILQ_REMOVE(&admit->customers, customer, link);
		customer_free(customer);
	}
	while ((peer = TAILQ_FIRST(&admit->peers))) {
		TAILQ_REMOVE(&admit->peers, peer, link);
		wl_buf_free(&peer->name);
		free(peer);
	}
	wl_map_free(&admit->by_name);
}

/*
 * Computes the share of @limit for an entry with demand @demand out of @total.
 * Unused capacity is split evenly.  When demand exceeds the limit, a small share
 * is reserved for entries without demand.
 */
static uint64_t compute_share(uint64_t limit, uint64_t demand, uint64_t total, uint64_t members)
{
	uint64_t reserve = limit / RESERVE_DIVISOR;

	if (total == 0 || total <= limit)
		return demand + (limit - total) / members;
	return reserve / members +
	       (uint64_t)((unsigned __int128)(limit - reserve) * demand / total);
}

static void share_advance(wl_admit_share_t *share, uint64_t next)
{
	share->previous = share->current;
	share->current = next;
}

static uint64_t share_effective(const wl_admit_share_t *share)
{
	return share->current < share->previous ? share->current : share->previous;
}

static void customer_update_share(const wl_admit_t *admit, wl_admit_customer_t *customer)
{
	const wl_admit_usage_t *own = &customer->usage_sent;
	uint64_t demand = own->demand;
	uint64_t demand_milli = own->demand_milli;
	const wl_admit_report_t *report;

	customer->running_on_peers = 0;
	TAILQ_FOREACH (report, &customer->reports, link) {
		if (report->generation != report->peer->generation)
			continue;
		demand += report->usage.demand;
		demand_milli += report->usage.demand_milli;
		customer->running_on_peers += report->usage.running;
	}
	share_advance(&customer->concurrent,
		      compute_share(customer->max_concurrent, own->demand, demand, admit->members));
	share_advance(&customer->rate, compute_share(customer->rate_milli, own->demand_milli,
						     demand_milli, admit->members));
}

static uint64_t bucket_depth_nano(const wl_admit_customer_t *customer)
{
	uint64_t depth = share_effective(&customer->rate) * (TOKEN_NANO / MILLI) / BURST_DIVISOR;

	return depth > TOKEN_NANO ? depth : TOKEN_NANO;
}

/* Applies the current limits of the plan; a change of the plan takes effect at once. */
static void customer_apply_plan(const wl_admit_t *admit, wl_admit_customer_t *customer,
				const wl_plan_t *plan, uint64_t now_ns)
{
	uint64_t rate_milli = plan->requests_per_second * MILLI;

	customer->weight = plan->weight;
	if (customer->has_plan && customer->max_concurrent == plan->max_concurrent &&
	    customer->rate_milli == rate_milli)
		return;
	customer->max_concurrent = plan->max_concurrent;
	customer->rate_milli = rate_milli;
	customer_update_share(admit, customer);
	customer->concurrent.previous = customer->concurrent.current;
	customer->rate.previous = customer->rate.current;
	if (customer->has_plan)
		return;
	customer->has_plan = true;
	customer->filled_ns = now_ns;
	customer->tokens_nano = bucket_depth_nano(customer);
}

static wl_admit_customer_t *customer_get(wl_admit_t *admit, wl_str_t name, uint64_t now_ns)
{
	wl_admit_customer_t *customer = wl_map_get(&admit->by_name, name);

	if (customer)
		return customer;
	customer = wl_alloc(sizeof(*customer));
	wl_buf_set(&customer->name, name);
	wl_buf_printf(&customer->labels, "customer=\"" WL_STR_FMT "\"", WL_STR_ARG(name));
	customer->key = wl_buf_str(&customer->name);
	TAILQ_INIT(&customer->reports);
	wl_budget_init(&customer->budget, &admit->budget, now_ns);
	wl_map_put(&admit->by_name, customer);
	TAILQ_INSERT_TAIL(&admit->customers, customer, link);
	return customer;
}

/*
 * wl_admit_get - find or create a customer and apply the limits of its plan
 * @name: must be in the list of customers, as its state is kept
 * @plan: current plan of the customer
 * @now_ns: monotonic time, nanoseconds
 */
wl_admit_customer_t *wl_admit_get(wl_admit_t *admit, wl_str_t name, const wl_plan_t *plan,
				  uint64_t now_ns)
{
	wl_admit_customer_t *customer = customer_get(admit, name, now_ns);

	customer_apply_plan(admit, customer, plan, now_ns);
	return customer;
}

static void customer_refill(wl_admit_customer_t *customer, uint64_t now_ns)
{
	uint64_t passed = now_ns - customer->filled_ns;
	uint64_t depth = bucket_depth_nano(customer);

	if (passed > MAX_REFILL_NS)
		passed = MAX_REFILL_NS;
	customer->tokens_nano += share_effective(&customer->rate) * passed / MILLI;
	if (customer->tokens_nano > depth)
		customer->tokens_nano = depth;
	customer->filled_ns = now_ns;
}

/* At least one, so that a limit below the number of entries does not exclude any of them. */
static uint64_t concurrent_limit(const wl_admit_customer_t *customer)
{
	uint64_t share = share_effective(&customer->concurrent);

	return share ? share : 1;
}

/*
 * wl_admit_retry - try again to admit a request that was not admitted
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_OVER_PLAN with verdict not-run, names the limit
 *
 * Return: true if the request is admitted; wl_admit_leave() must follow.
 */
bool wl_admit_retry(wl_admit_customer_t *customer, uint64_t now_ns, wl_err_t *err)
{
	customer_refill(customer, now_ns);
	if (!customer->rate_milli || customer->tokens_nano < TOKEN_NANO)
		return wl_err_set(err, WL_E_OVER_PLAN, WL_NOT_RUN,
				  "requests_per_second limit exceeded for customer " WL_STR_FMT,
				  WL_STR_ARG(customer->key));
	if (customer->running >= concurrent_limit(customer) ||
	    customer->running + customer->running_on_peers >= customer->max_concurrent)
		return wl_err_set(err, WL_E_OVER_PLAN, WL_NOT_RUN,
				  "max_concurrent limit exceeded for customer " WL_STR_FMT,
				  WL_STR_ARG(customer->key));
	customer->tokens_nano -= TOKEN_NANO;
	customer->admitted++;
	customer->running++;
	return true;
}

/*
 * wl_admit_enter - admit a new request unless others of its customer wait
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_OVER_PLAN with verdict not-run, names the limit
 *
 * Return: true if the request is admitted; wl_admit_leave() must follow.
 * Otherwise the request may wait and be tried again with wl_admit_retry();
 * wl_admit_refuse() records its final refusal.
 */
bool wl_admit_enter(wl_admit_customer_t *customer, uint64_t now_ns, wl_err_t *err)
{
	customer->arrived++;
	if (customer->held.count)
		return wl_err_set(err, WL_E_OVER_PLAN, WL_NOT_RUN,
				  "plan limits exceeded for customer " WL_STR_FMT,
				  WL_STR_ARG(customer->key));
	return wl_admit_retry(customer, now_ns, err);
}

/*
 * wl_admit_refuse - count a request refused for the limits as additional demand
 */
void wl_admit_refuse(wl_admit_customer_t *customer)
{
	customer->refused++;
}

/*
 * wl_admit_spacing_ns - mean time between requests at the own share of the rate
 *
 * Return: nanoseconds; UINT64_MAX if the share is zero.
 */
uint64_t wl_admit_spacing_ns(const wl_admit_customer_t *customer)
{
	uint64_t rate_milli = share_effective(&customer->rate);

	return rate_milli ? WL_NS_PER_S * MILLI / rate_milli : UINT64_MAX;
}

/*
 * wl_admit_leave - record that an admitted request was answered
 */
void wl_admit_leave(wl_admit_customer_t *customer)
{
	customer->running--;
}

static wl_admit_peer_t *admit_peer(wl_admit_t *admit, wl_str_t name)
{
	wl_admit_peer_t *peer;

	TAILQ_FOREACH (peer, &admit->peers, link)
		if (wl_str_equal(wl_buf_str(&peer->name), name))
			return peer;
	peer = wl_alloc(sizeof(*peer));
	wl_buf_set(&peer->name, name);
	TAILQ_INSERT_TAIL(&admit->peers, peer, link);
	return peer;
}

static wl_admit_report_t *customer_report(wl_admit_customer_t *customer, wl_admit_peer_t *peer)
{
	wl_admit_report_t *report;

	TAILQ_FOREACH (report, &customer->reports, link)
		if (report->peer == peer)
			return report;
	report = wl_alloc(sizeof(*report));
	report->peer = peer;
	TAILQ_INSERT_TAIL(&customer->reports, report, link);
	return report;
}

/*
 * wl_admit_apply_report - apply a peer's report of its usage
 * @peer: name of the peer
 * @msg: a full update replaces all earlier rows of the peer, others add to them
 * @now_ns: monotonic time, nanoseconds
 */
void wl_admit_apply_report(wl_admit_t *admit, wl_str_t peer, const wl_msg_room_t *msg,
			   uint64_t now_ns)
{
	wl_admit_peer_t *sender = admit_peer(admit, peer);
	const wl_use_row_t *rows = msg->usage_rows.items;

	if (msg->session < sender->session)
		return;
	if (msg->full || msg->session > sender->session)
		sender->generation++;
	if (msg->session > sender->session)
		sender->member = false;
	sender->session = msg->session;
	for (size_t i = 0; i < msg->usage_rows.count; i++) {
		wl_admit_customer_t *customer =
			customer_get(admit, wl_buf_str(&rows[i].customer), now_ns);
		wl_admit_report_t *report = customer_report(customer, sender);

		report->generation = sender->generation;
		report->usage = (wl_admit_usage_t){rows[i].running, rows[i].demand,
						   rows[i].demand_rate_milli};
	}
}

/* Removes customers that are no longer in the list once none of their requests runs or waits. */
static void admit_drop_removed(wl_admit_t *admit, const wl_lists_t *lists)
{
	wl_admit_customer_t *customer;
	wl_admit_customer_t *next;

	for (customer = TAILQ_FIRST(&admit->customers); customer; customer = next) {
		next = TAILQ_NEXT(customer, link);
		if (customer->running || customer->held.count ||
		    wl_lists_customer(lists, customer->key))
			continue;
		TAILQ_REMOVE(&admit->customers, customer, link);
		wl_map_remove(&admit->by_name, customer->key);
		customer_free(customer);
	}
}

/*
 * wl_admit_apply_view - apply a new view of the cell
 *
 * Updates the number of entries, discards the reports of peers whose session
 * ended, and removes deleted customers.
 */
void wl_admit_apply_view(wl_admit_t *admit, const wl_view_t *view)
{
	wl_admit_peer_t *peer;

	admit->members = view->members.count ? view->members.count : 1;
	TAILQ_FOREACH (peer, &admit->peers, link) {
		const wl_member_t *member = wl_view_member(view, wl_buf_str(&peer->name));
		bool in_view = member && member->session == peer->session;

		/* a session that is not in the view yet has not ended */
		if (peer->member && !in_view)
			peer->generation++;
		peer->member = in_view;
	}
	if (view->lists)
		admit_drop_removed(admit, view->lists);
}

/*
 * Smooths a measure over several intervals.  A single interval holds few requests
 * of a small customer, and peaks that entries see one after the other would add
 * up to more than the actual demand.
 */
static uint64_t smooth(uint64_t before, uint64_t now)
{
	if (now > before)
		return before + (now - before + SMOOTHING_DIVISOR - 1) / SMOOTHING_DIVISOR;
	return before - (before - now + SMOOTHING_DIVISOR - 1) / SMOOTHING_DIVISOR;
}

/*
 * After refusals the demand is estimated at up to twice the running requests, as the
 * actual demand is not known.
 */
static uint64_t customer_demand(const wl_admit_customer_t *customer)
{
	uint64_t runs = customer->running + customer->held.count;
	uint64_t more = customer->refused < runs + 1 ? customer->refused : runs + 1;

	return runs + more;
}

static void customer_measure(wl_admit_customer_t *customer, uint64_t passed_ns)
{
	uint64_t asked_milli = customer->arrived * MILLI * WL_NS_PER_S / passed_ns;
	uint64_t admitted_milli = customer->admitted * MILLI * WL_NS_PER_S / passed_ns;

	customer->usage.running = customer->running;
	customer->usage.demand = smooth(customer->usage.demand, customer_demand(customer));
	customer->usage.demand_milli = smooth(customer->usage.demand_milli, asked_milli);
	customer->admitted_milli = smooth(customer->admitted_milli, admitted_milli);
	customer->arrived = 0;
	customer->admitted = 0;
	customer->refused = 0;
}

/*
 * A change below the step is not sent, as the share reserved for idle entries covers
 * it.  Usage that drops to zero is always sent.
 */
static bool usage_changed(uint64_t now, uint64_t sent, uint64_t limit, uint64_t members)
{
	uint64_t step = limit / RESERVE_DIVISOR / members;
	uint64_t change = now > sent ? now - sent : sent - now;

	return change > 0 && (change >= step || now == 0);
}

static bool customer_changed(const wl_admit_t *admit, const wl_admit_customer_t *customer)
{
	const wl_admit_usage_t *now = &customer->usage;
	const wl_admit_usage_t *sent = &customer->usage_sent;

	return usage_changed(now->running, sent->running, customer->max_concurrent,
			     admit->members) ||
	       usage_changed(now->demand, sent->demand, customer->max_concurrent, admit->members) ||
	       usage_changed(now->demand_milli, sent->demand_milli, customer->rate_milli,
			     admit->members);
}

static void usage_row_add(const wl_admit_customer_t *customer, wl_list_t *rows)
{
	wl_use_row_t *row = wl_list_add(&wl_use_row_schema, rows);

	wl_buf_set(&row->customer, customer->key);
	row->running = customer->usage_sent.running;
	row->rate_milli = customer->admitted_milli;
	row->demand = customer->usage_sent.demand;
	row->demand_rate_milli = customer->usage_sent.demand_milli;
}

static bool usage_is_zero(const wl_admit_usage_t *usage)
{
	return !usage->running && !usage->demand && !usage->demand_milli;
}

/*
 * wl_admit_exchange - end an exchange interval: measure usage and recompute the shares
 * @now_ns: monotonic time, nanoseconds
 * @changes: receives the wl_use_row_t that changed, for peers that are up to date
 * @all: receives all wl_use_row_t, for peers that need a full update
 */
void wl_admit_exchange(wl_admit_t *admit, uint64_t now_ns, wl_list_t *changes, wl_list_t *all)
{
	uint64_t passed = now_ns - admit->exchanged_ns;
	wl_admit_customer_t *customer;

	if (passed < MIN_INTERVAL_NS)
		passed = MIN_INTERVAL_NS;
	admit->exchanged_ns = now_ns;
	TAILQ_FOREACH (customer, &admit->customers, link) {
		if (!customer->has_plan)
			continue;
		customer_refill(customer, now_ns);
		customer_measure(customer, passed);
		if (customer_changed(admit, customer)) {
			customer->usage_sent = customer->usage;
			usage_row_add(customer, changes);
		}
		if (!usage_is_zero(&customer->usage_sent))
			usage_row_add(customer, all);
		customer_update_share(admit, customer);
	}
}
