/*
 * Retry budget: bounds the load that retries may add when targets fail.
 *
 * Each request earns its share once, when it ends, and a retry costs a whole
 * token.  The balance starts empty, so the retries sent never exceed the
 * share of the requests that ended, however many of them failed.
 */

#include "budget.h"

#include <libwlbase/units.h>

#define TOKEN_MILLI	1000
#define DEFAULT_WINDOW	(10 * WL_NS_PER_S)
#define DEFAULT_FLOOR_S 10

/*
 * wl_budget_init - make an empty budget
 * @options: share_permille is taken as it is, the others' zero means the default
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

/* What was earned two windows ago and not spent is lost. */
static void budget_turn(wl_budget_t *budget, uint64_t now_ns)
{
	uint64_t most;

	if (now_ns < budget->window_end_ns)
		return;
	budget->earned_last =
		now_ns < budget->window_end_ns + budget->options.window_ns ? budget->earned_now : 0;
	budget->earned_now = 0;
	budget->window_end_ns = now_ns + budget->options.window_ns;
	most = budget->earned_last;
	if (budget->tokens_milli > most)
		budget->tokens_milli = most;
}

/* A failed request earns too, but only a few a second: enough for a slow customer. */
static bool budget_floor(wl_budget_t *budget, uint64_t now_ns)
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
 * wl_budget_end - count a request that ended, once
 * @success: it was answered by its service
 * @now_ns: monotonic time, nanoseconds
 */
void wl_budget_end(wl_budget_t *budget, bool success, uint64_t now_ns)
{
	budget_turn(budget, now_ns);
	if (!success && !budget_floor(budget, now_ns))
		return;
	budget->earned_now += budget->options.share_permille;
	budget->tokens_milli += budget->options.share_permille;
}

/*
 * wl_budget_take - spend one retry
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: true if the retry may be sent; false leaves the budget as it was.
 */
bool wl_budget_take(wl_budget_t *budget, uint64_t now_ns)
{
	budget_turn(budget, now_ns);
	if (!budget->options.share_permille || budget->tokens_milli < TOKEN_MILLI)
		return false;
	budget->tokens_milli -= TOKEN_MILLI;
	return true;
}
