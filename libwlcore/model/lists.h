#ifndef WL_LISTS_H
#define WL_LISTS_H

#include <libwlbase/map.h>
#include <libwlcore/model/model.h>

/* The lists of customers and plans, validated and indexed by name. */
typedef struct wl_lists wl_lists_t;

wl_lists_t *wl_lists_new(wl_str_t customers, wl_str_t plans, wl_err_t *err);
void wl_lists_free(wl_lists_t *lists);
const wl_customer_t *wl_lists_customer(const wl_lists_t *lists, wl_str_t name);
const wl_plan_t *wl_lists_plan(const wl_lists_t *lists, wl_str_t name);
const wl_plan_t *wl_lists_plan_of(const wl_lists_t *lists, wl_str_t customer);
size_t wl_lists_customer_count(const wl_lists_t *lists);
const wl_customer_t *wl_lists_customer_at(const wl_lists_t *lists, size_t i);
bool wl_plan_allows(const wl_plan_t *plan, wl_str_t service, wl_class_t work_class);

#endif
