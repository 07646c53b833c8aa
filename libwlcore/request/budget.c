/*
 * Retry budget: bounds the load that retries add when targets fail.
 *
 * Each request adds a fraction of a token when it ends, and a retry costs a whole
 * token.  The balance starts at zero, so that the number of retries never exceeds
 * the configured share of the ended requests, however many of them failed.
 */

#include "budget.h"

#include <libwlbase/units.h>

#define TOKEN_MILLI	1000
#define DEFAULT_WINDOW	(10 * WL_NS_PER_S)
#define DEFAULT_FLOOR_S 10

/*
 * wl_budget_init - initialize an empty budget
 * @options: share_permille is used as it is; zero in the other members selects the default
 * @now_ns: monotonic time, nanoseconds
 */
void wl_budget_init(wl_budget_t *budget, const wl_budget_options_t *options, uint64_t now_ns)
{
	*budget = (wl_budget_t){.options = *options};
	if (!budget->options.window_ns)
		budget->options.window_ns = DEFAULT_WINDOW;
	if (!budget->options.floor_per_s)
		budget->options.floor_per_s = DEFAULT_FLOOR_S;
	budget->window_end_ns = now_ns + budget->options.window_ns;
	budget->floor_end_ns = now_ns + WL_NS_PER_S;
}

/* Starts a new window if due.  Tokens earned two windows ago and not spent expire. */
static void budget_rotate(wl_budget_t *budget, uint64_t now_ns)
{
	uint64_t cap;

	if (now_ns < budget->window_end_ns)
		return;
	budget->earned_last =
		now_ns < budget->window_end_ns + budget->options.window_ns ? budget->earned_now : 0;
	budget->earned_now = 0;
	budget->window_end_ns = now_ns + budget->options.window_ns;
	cap = budget->earned_last;
	if (budget->tokens_milli > cap)
		budget->tokens_milli = cap;
}

/*
 * Failed requests also add to the budget, but only a few per second: enough for a customer
 * with a low request rate.
 */
static bool budget_floor_allows(wl_budget_t *budget, uint64_t now_ns)
{
	if (now_ns >= budget->floor_end_ns) {
		budget->floor_end_ns = now_ns + WL_NS_PER_S;
		budget->floor_used = 0;
	}
	if (budget->floor_used >= budget->options.floor_per_s)
		return false;
	budget->floor_used++;
	return true;
}

/*
 * wl_budget_end - account for a request that ended, once per request
 * @success: the service answered it
 * @now_ns: monotonic time, nanoseconds
 */
void wl_budget_end(wl_budget_t *budget, bool success, uint64_t now_ns)
{
	budget_rotate(budget, now_ns);
	if (!success && !budget_floor_allows(budget, now_ns))
		return;
	budget->earned_now += budget->options.share_permille;
	budget->tokens_milli += budget->options.share_permille;
}

/*
 * wl_budget_take - spend one retry
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: true if the retry may be sent; otherwise the budget is unchanged.
 */
bool wl_budget_take(wl_budget_t *budget, uint64_t now_ns)
{
	budget_rotate(budget, now_ns);
	if (!budget->options.share_permille || budget->tokens_milli < TOKEN_MILLI)
		return false;
	budget->tokens_milli -= TOKEN_MILLI;
	return true;
}
