#ifndef WL_BUDGET_H
#define WL_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Configuration of a retry budget. */
typedef struct wl_budget_options {
	uint64_t share_permille; /* retries allowed per 1000 requests; 0: none */
	uint64_t floor_per_s;	 /* failed requests per second that still add to the budget */
	uint64_t window_ns;	 /* unused budget expires after one to two windows */
} wl_budget_options_t;

/* Retry budget of one customer. */
typedef struct wl_budget {
	wl_budget_options_t options;
	uint64_t window_end_ns;
	uint64_t earned_now;  /* thousandths of a retry, earned in this window */
	uint64_t earned_last; /* earned in the previous window */
	uint64_t tokens_milli;
	uint64_t floor_end_ns;
	uint64_t floor_used;
} wl_budget_t;

void wl_budget_init(wl_budget_t *budget, const wl_budget_options_t *options, uint64_t now_ns);
void wl_budget_end(wl_budget_t *budget, bool success, uint64_t now_ns);
bool wl_budget_take(wl_budget_t *budget, uint64_t now_ns);

#endif
