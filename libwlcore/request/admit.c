/*
 * Admission by plan over all entries of a cell, without a call to anybody.
 *
 * Entries tell each other every exchange interval what each customer runs and
 * asks for.  Each one takes the part of a limit that its demand has in the
 * sum; as all reckon from the same told numbers, the own ones too, the parts
 * add up to the limit.  A part that grows counts one exchange later, a part
 * that shrinks at once, so numbers that are one message old don't add up to
 * more either.
 *
 * Bounds, for N entries: requests admitted in any T seconds are at most
 * rate * (T + BURST) + N.  Concurrent ones exceed the limit by at most N, and
 * by what entries still run of a part that went elsewhere; in both cases for
 * one exchange interval, as nothing is admitted while the told sum is at the limit.
 * An entry that is silent counts with its last numbers until its session ends.
 */

#include "admit.h"

#include <stdlib.h>

#include <libwlbase/units.h>

#define MILLI	       1000ull
#define TOKEN_NANO     WL_NS_PER_S
#define BURST_DIVISOR  4  /* bucket depth: a quarter of a second of the rate */
#define FLOOR_DIVISOR  16 /* of a limit in short supply, kept for entries that are idle */
#define FOLLOW_DIVISOR 4
#define FILL_MOST_NS   (4 * WL_NS_PER_S)
#define LEAST_INTERVAL 1000000ull

/*
 * wl_admit_init - know of no customer
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
	wl_admit_told_t *told;

	while ((told = TAILQ_FIRST(&customer->told))) {
		TAILQ_REMOVE(&customer->told, told, link);
		free(told);
	}
	wl_heap_free(&customer->waiting);
	wl_buf_free(&customer->name);
	wl_buf_free(&customer->labels);
	free(customer);
}

/*
 * wl_admit_free - release all customers
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
 * The part of @limit of an entry that wants @mine of @total.  What nobody wants
 * is split evenly; when all is wanted, a little is kept for entries that
 * want nothing yet.
 */
static uint64_t share_of(uint64_t limit, uint64_t mine, uint64_t total, uint64_t members)
{
	uint64_t floor = limit / FLOOR_DIVISOR;

	if (total == 0 || total <= limit)
		return mine + (limit - total) / members;
	return floor / members + (uint64_t)((unsigned __int128)(limit - floor) * mine / total);
}

static void share_turn(wl_admit_share_t *share, uint64_t part)
{
	share->before = share->now;
	share->now = part;
}

static uint64_t share_least(const wl_admit_share_t *share)
{
	return share->now < share->before ? share->now : share->before;
}

static void customer_share(const wl_admit_t *admit, wl_admit_customer_t *customer)
{
	const wl_admit_use_t *mine = &customer->use_told;
	uint64_t wanted = mine->wanted;
	uint64_t wanted_milli = mine->wanted_milli;
	const wl_admit_told_t *told;

	customer->elsewhere = 0;
	TAILQ_FOREACH (told, &customer->told, link) {
		if (told->generation != told->peer->generation)
			continue;
		wanted += told->use.wanted;
		wanted_milli += told->use.wanted_milli;
		customer->elsewhere += told->use.running;
	}
	share_turn(&customer->concurrent,
		   share_of(customer->max_concurrent, mine->wanted, wanted, admit->members));
	share_turn(&customer->rate, share_of(customer->rate_milli, mine->wanted_milli, wanted_milli,
					     admit->members));
}

static uint64_t bucket_depth_nano(const wl_admit_customer_t *customer)
{
	uint64_t depth = share_least(&customer->rate) * (TOKEN_NANO / MILLI) / BURST_DIVISOR;

	return depth > TOKEN_NANO ? depth : TOKEN_NANO;
}

/* Takes the limits of the plan as it is now; an edit of the list counts at once. */
static void customer_plan(const wl_admit_t *admit, wl_admit_customer_t *customer,
			  const wl_plan_t *plan, uint64_t now_ns)
{
	uint64_t rate_milli = plan->requests_per_second * MILLI;

	customer->weight = plan->weight;
	if (customer->planned && customer->max_concurrent == plan->max_concurrent &&
	    customer->rate_milli == rate_milli)
		return;
	customer->max_concurrent = plan->max_concurrent;
	customer->rate_milli = rate_milli;
	customer_share(admit, customer);
	customer->concurrent.before = customer->concurrent.now;
	customer->rate.before = customer->rate.now;
	if (customer->planned)
		return;
	customer->planned = true;
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
	TAILQ_INIT(&customer->told);
	wl_budget_init(&customer->budget, &admit->budget, now_ns);
	wl_map_put(&admit->by_name, customer);
	TAILQ_INSERT_TAIL(&admit->customers, customer, link);
	return customer;
}

/*
 * wl_admit_get - find a customer, with the limits of its plan
 * @name: must stand in the list of customers, as it is kept from now on
 * @plan: its plan now
 * @now_ns: monotonic time, nanoseconds
 */
wl_admit_customer_t *wl_admit_get(wl_admit_t *admit, wl_str_t name, const wl_plan_t *plan,
				  uint64_t now_ns)
{
	wl_admit_customer_t *customer = customer_get(admit, name, now_ns);

	customer_plan(admit, customer, plan, now_ns);
	return customer;
}

static void customer_fill(wl_admit_customer_t *customer, uint64_t now_ns)
{
	uint64_t passed = now_ns - customer->filled_ns;
	uint64_t depth = bucket_depth_nano(customer);

	if (passed > FILL_MOST_NS)
		passed = FILL_MOST_NS;
	customer->tokens_nano += share_least(&customer->rate) * passed / MILLI;
	if (customer->tokens_nano > depth)
		customer->tokens_nano = depth;
	customer->filled_ns = now_ns;
}

/* At least one, so that a limit below the number of entries shuts none of them out. */
static uint64_t concurrent_most(const wl_admit_customer_t *customer)
{
	uint64_t share = share_least(&customer->concurrent);

	return share ? share : 1;
}

/*
 * wl_admit_retry - admit a request that was not admitted before
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_OVER_PLAN, not-run, naming the limit
 *
 * Return: true if it is admitted; wl_admit_leave() must follow.
 */
bool wl_admit_retry(wl_admit_customer_t *customer, uint64_t now_ns, wl_err_t *err)
{
	customer_fill(customer, now_ns);
	if (!customer->rate_milli || customer->tokens_nano < TOKEN_NANO)
		return wl_err_set(err, WL_E_OVER_PLAN, WL_NOT_RUN,
				  "over requests_per_second of customer " WL_STR_FMT,
				  WL_STR_ARG(customer->key));
	if (customer->running >= concurrent_most(customer) ||
	    customer->running + customer->elsewhere >= customer->max_concurrent)
		return wl_err_set(err, WL_E_OVER_PLAN, WL_NOT_RUN,
				  "over max_concurrent of customer " WL_STR_FMT,
				  WL_STR_ARG(customer->key));
	customer->tokens_nano -= TOKEN_NANO;
	customer->admitted++;
	customer->running++;
	return true;
}

/*
 * wl_admit_enter - admit a new request, unless others of its customer wait
 * @now_ns: monotonic time, nanoseconds
 * @err: WL_E_OVER_PLAN, not-run, naming the limit
 *
 * Return: true if it is admitted; wl_admit_leave() must follow.  Else it may
 * wait and be tried by wl_admit_retry(); wl_admit_refuse() ends that.
 */
bool wl_admit_enter(wl_admit_customer_t *customer, uint64_t now_ns, wl_err_t *err)
{
	customer->asked++;
	if (customer->waiting.count)
		return wl_err_set(err, WL_E_OVER_PLAN, WL_NOT_RUN,
				  "over the limits of customer " WL_STR_FMT,
				  WL_STR_ARG(customer->key));
	return wl_admit_retry(customer, now_ns, err);
}

/*
 * wl_admit_refuse - a request is refused for the limits: more is wanted than runs
 */
void wl_admit_refuse(wl_admit_customer_t *customer)
{
	customer->refused++;
}

/*
 * wl_admit_spacing - time between two requests at the own part of the rate
 *
 * Return: nanoseconds; UINT64_MAX if the part is none.
 */
uint64_t wl_admit_spacing(const wl_admit_customer_t *customer)
{
	uint64_t rate_milli = share_least(&customer->rate);

	return rate_milli ? WL_NS_PER_S * MILLI / rate_milli : UINT64_MAX;
}

/*
 * wl_admit_leave - an admitted request was answered
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

static wl_admit_told_t *customer_told(wl_admit_customer_t *customer, wl_admit_peer_t *peer)
{
	wl_admit_told_t *told;

	TAILQ_FOREACH (told, &customer->told, link)
		if (told->peer == peer)
			return told;
	told = wl_alloc(sizeof(*told));
	told->peer = peer;
	TAILQ_INSERT_TAIL(&customer->told, told, link);
	return told;
}

/*
 * wl_admit_hear - take in what a peer told of customers
 * @msg: a whole one replaces all that the peer told before, else it adds to it
 * @now_ns: monotonic time, nanoseconds
 */
void wl_admit_hear(wl_admit_t *admit, wl_str_t peer, const wl_msg_room_t *msg, uint64_t now_ns)
{
	wl_admit_peer_t *from = admit_peer(admit, peer);
	const wl_use_row_t *rows = msg->usage_rows.items;

	if (msg->session < from->session)
		return;
	if (msg->full || msg->session > from->session)
		from->generation++;
	if (msg->session > from->session)
		from->member = false;
	from->session = msg->session;
	for (size_t i = 0; i < msg->usage_rows.count; i++) {
		wl_admit_customer_t *customer =
			customer_get(admit, wl_buf_str(&rows[i].customer), now_ns);
		wl_admit_told_t *told = customer_told(customer, from);

		told->generation = from->generation;
		told->use = (wl_admit_use_t){rows[i].running, rows[i].demand,
					     rows[i].demand_rate_milli};
	}
}

/* A customer that left the list is forgotten once nothing of it runs. */
static void admit_drop_gone(wl_admit_t *admit, const wl_lists_t *lists)
{
	wl_admit_customer_t *customer;
	wl_admit_customer_t *next;

	for (customer = TAILQ_FIRST(&admit->customers); customer; customer = next) {
		next = TAILQ_NEXT(customer, link);
		if (customer->running || customer->waiting.count ||
		    wl_lists_customer(lists, customer->key))
			continue;
		TAILQ_REMOVE(&admit->customers, customer, link);
		wl_map_remove(&admit->by_name, customer->key);
		customer_free(customer);
	}
}

/*
 * wl_admit_view - take the number of entries; forget those whose session ended, and customers
 * that are gone
 */
void wl_admit_view(wl_admit_t *admit, const wl_view_t *view)
{
	wl_admit_peer_t *peer;

	admit->members = view->members.count ? view->members.count : 1;
	TAILQ_FOREACH (peer, &admit->peers, link) {
		const wl_member_t *member = wl_view_member(view, wl_buf_str(&peer->name));
		bool holds = member && member->session == peer->session;

		/* one that the view does not show yet is no ended one */
		if (peer->member && !holds)
			peer->generation++;
		peer->member = holds;
	}
	if (view->lists)
		admit_drop_gone(admit, view->lists);
}

/*
 * Smooths a measure over several intervals: a single one holds few requests of a
 * small customer, and peaks that entries see in turn would add up to more than
 * is wanted.
 */
static uint64_t follow(uint64_t before, uint64_t now)
{
	if (now > before)
		return before + (now - before + FOLLOW_DIVISOR - 1) / FOLLOW_DIVISOR;
	return before - (before - now + FOLLOW_DIVISOR - 1) / FOLLOW_DIVISOR;
}

/* Where some are refused, up to twice of what runs is wanted: how much more is not known. */
static uint64_t customer_wants(const wl_admit_customer_t *customer)
{
	uint64_t runs = customer->running + customer->waiting.count;
	uint64_t more = customer->refused < runs + 1 ? customer->refused : runs + 1;

	return runs + more;
}

static void customer_measure(wl_admit_customer_t *customer, uint64_t passed_ns)
{
	uint64_t asked_milli = customer->asked * MILLI * WL_NS_PER_S / passed_ns;
	uint64_t admitted_milli = customer->admitted * MILLI * WL_NS_PER_S / passed_ns;

	customer->use.running = customer->running;
	customer->use.wanted = follow(customer->use.wanted, customer_wants(customer));
	customer->use.wanted_milli = follow(customer->use.wanted_milli, asked_milli);
	customer->admitted_milli = follow(customer->admitted_milli, admitted_milli);
	customer->asked = 0;
	customer->admitted = 0;
	customer->refused = 0;
}

/*
 * A use below its step need not be told: what is kept for idle entries covers
 * it.  A use that ended is.
 */
static bool use_moved(uint64_t now, uint64_t told, uint64_t limit, uint64_t members)
{
	uint64_t step = limit / FLOOR_DIVISOR / members;
	uint64_t change = now > told ? now - told : told - now;

	return change > 0 && (change >= step || now == 0);
}

static bool customer_moved(const wl_admit_t *admit, const wl_admit_customer_t *customer)
{
	const wl_admit_use_t *now = &customer->use;
	const wl_admit_use_t *told = &customer->use_told;

	return use_moved(now->running, told->running, customer->max_concurrent, admit->members) ||
	       use_moved(now->wanted, told->wanted, customer->max_concurrent, admit->members) ||
	       use_moved(now->wanted_milli, told->wanted_milli, customer->rate_milli,
			 admit->members);
}

static void customer_tell(const wl_admit_customer_t *customer, wl_list_t *uses)
{
	wl_use_row_t *row = wl_list_add(&wl_use_row_schema, uses);

	wl_buf_set(&row->customer, customer->key);
	row->running = customer->use_told.running;
	row->rate_milli = customer->admitted_milli;
	row->demand = customer->use_told.wanted;
	row->demand_rate_milli = customer->use_told.wanted_milli;
}

static bool use_none(const wl_admit_use_t *use)
{
	return !use->running && !use->wanted && !use->wanted_milli;
}

/*
 * wl_admit_exchange - end an exchange interval: measure, tell, reckon shares
 * @now_ns: monotonic time, nanoseconds
 * @changes: of wl_use_row_t; what peers must be told
 * @all: of wl_use_row_t; what a peer must be told that knows nothing
 */
void wl_admit_exchange(wl_admit_t *admit, uint64_t now_ns, wl_list_t *changes, wl_list_t *all)
{
	uint64_t passed = now_ns - admit->exchanged_ns;
	wl_admit_customer_t *customer;

	if (passed < LEAST_INTERVAL)
		passed = LEAST_INTERVAL;
	admit->exchanged_ns = now_ns;
	TAILQ_FOREACH (customer, &admit->customers, link) {
		if (!customer->planned)
			continue;
		customer_fill(customer, now_ns);
		customer_measure(customer, passed);
		if (customer_moved(admit, customer)) {
			customer->use_told = customer->use;
			customer_tell(customer, changes);
		}
		if (!use_none(&customer->use_told))
			customer_tell(customer, all);
		customer_share(admit, customer);
	}
}
