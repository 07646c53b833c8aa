#ifndef WL_FAIR_H
#define WL_FAIR_H

#include <libwlcore/state/internal.h>

/* One round that picks the customer whose queued task of a class is placed next. */

typedef struct wl_fair_entry {
	wl_state_customer_t *customer;
	const wl_plan_t *plan; /* NULL: the customer is no longer listed */
	wl_need_t
		held; /* reserved by tasks of both classes, including those placed in this round */
	uint64_t held_count; /* number of these tasks */
	uint64_t used;	     /* processors that the class holds */
	wl_task_t *next;
	size_t misses; /* needs that fitted no target in this round */
} wl_fair_entry_t;

typedef struct wl_fair {
	wl_fair_entry_t *entries;
	size_t count;
	wl_class_t work_class;
} wl_fair_t;

void wl_fair_init(wl_fair_t *fair, const wl_state_t *state, wl_class_t work_class);
void wl_fair_free(wl_fair_t *fair);
wl_fair_entry_t *wl_fair_next(wl_fair_t *fair);
bool wl_fair_within_plan(const wl_fair_entry_t *entry, const wl_need_t *need);
void wl_fair_take(wl_fair_entry_t *entry, const wl_need_t *need);
void wl_fair_skip(wl_fair_entry_t *entry);
bool wl_fair_same_size(const wl_task_t *a, const wl_task_t *b);
void wl_fair_drop(wl_fair_entry_t *entry);

#endif
