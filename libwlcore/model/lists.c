/* The lists of customers and plans: read from JSON, validated, looked up by name. */

#include "lists.h"

#include <stdlib.h>

#define TOKEN_HEX_BYTES 64

typedef struct customer_ref {
	wl_str_t key;
	const wl_customer_t *customer;
	const wl_plan_t *plan;
} customer_ref_t;

typedef struct plan_ref {
	wl_str_t key;
	const wl_plan_t *plan;
} plan_ref_t;

struct wl_lists {
	wl_customers_t customers;
	wl_plans_t plans;
	customer_ref_t *customer_refs;
	plan_ref_t *plan_refs;
	wl_map_t by_customer;
	wl_map_t by_plan;
};

static const wl_customer_t *customer_at(const wl_lists_t *lists, size_t i)
{
	return (const wl_customer_t *)lists->customers.customers.items + i;
}

static const wl_plan_t *plan_at(const wl_lists_t *lists, size_t i)
{
	return (const wl_plan_t *)lists->plans.plans.items + i;
}

static bool token_valid(wl_str_t token)
{
	if (token.len == 0)
		return true;
	if (token.len != TOKEN_HEX_BYTES)
		return false;
	for (size_t i = 0; i < token.len; i++) {
		char c = token.at[i];

		if (!(c >= '0' && c <= '9') && !(c >= 'a' && c <= 'f') && !(c >= 'A' && c <= 'F'))
			return false;
	}
	return true;
}

/* Names are written unescaped to logs, metric labels and headers. */
static bool name_valid(wl_str_t name)
{
	for (size_t i = 0; i < name.len; i++) {
		unsigned char c = (unsigned char)name.at[i];

		if (c <= ' ' || c == '"' || c == '\\' || c == 0x7f)
			return false;
	}
	return name.len > 0;
}

static bool name_wrong(const char *list, size_t i, const char *field, wl_err_t *err)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "%s[%zu].%s: must have no space, quote, backslash or control character",
			  list, i, field);
}

static bool check_classes(const wl_plan_t *plan, size_t i, wl_err_t *err)
{
	const wl_buf_t *classes = plan->classes.items;

	for (size_t k = 0; k < plan->classes.count; k++) {
		wl_str_t name = wl_buf_str(&classes[k]);

		if (!wl_str_equal(name, wl_str_from(wl_class_names[WL_CLASS_URGENT])) &&
		    !wl_str_equal(name, wl_str_from(wl_class_names[WL_CLASS_BATCH])))
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "plans[%zu].classes[%zu]: must be urgent or batch", i, k);
	}
	return true;
}

static bool check_services(const wl_plan_t *plan, size_t i, wl_err_t *err)
{
	const wl_buf_t *services = plan->services.items;

	for (size_t k = 0; k < plan->services.count; k++) {
		if (services[k].len == 0)
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "plans[%zu].services[%zu]: must not be empty", i, k);
		if (!name_valid(wl_buf_str(&services[k])))
			return name_wrong("plans", i, "services", err);
	}
	return true;
}

static bool index_plans(wl_lists_t *lists, wl_err_t *err)
{
	size_t count = lists->plans.plans.count;

	lists->plan_refs = wl_alloc(count * sizeof(*lists->plan_refs));
	for (size_t i = 0; i < count; i++) {
		const wl_plan_t *plan = plan_at(lists, i);
		plan_ref_t *ref = &lists->plan_refs[i];

		if (!name_valid(wl_buf_str(&plan->name)))
			return name_wrong("plans", i, "name", err);
		*ref = (plan_ref_t){wl_buf_str(&plan->name), plan};
		if (!wl_map_put(&lists->by_plan, ref))
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "plans[%zu].name: " WL_STR_FMT " is used twice", i,
					  WL_STR_ARG(ref->key));
		if (plan->weight == 0)
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "plans[%zu].weight: must be above 0", i);
		if (!check_classes(plan, i, err) || !check_services(plan, i, err))
			return false;
	}
	return true;
}

static bool index_customers(wl_lists_t *lists, wl_err_t *err)
{
	size_t count = lists->customers.customers.count;

	lists->customer_refs = wl_alloc(count * sizeof(*lists->customer_refs));
	for (size_t i = 0; i < count; i++) {
		const wl_customer_t *customer = customer_at(lists, i);
		customer_ref_t *ref = &lists->customer_refs[i];
		wl_str_t plan = wl_buf_str(&customer->plan);

		if (!name_valid(wl_buf_str(&customer->name)))
			return name_wrong("customers", i, "name", err);
		*ref = (customer_ref_t){wl_buf_str(&customer->name), customer,
					wl_lists_plan(lists, plan)};
		if (!wl_map_put(&lists->by_customer, ref))
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "customers[%zu].name: " WL_STR_FMT " is used twice", i,
					  WL_STR_ARG(ref->key));
		if (!ref->plan)
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "customers[%zu].plan: no plan named " WL_STR_FMT, i,
					  WL_STR_ARG(plan));
		if (!token_valid(wl_buf_str(&customer->token_sha256)))
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "customers[%zu].token_sha256: must be 64 hex digits", i);
	}
	return true;
}

static bool lists_read(wl_lists_t *lists, wl_str_t customers, wl_str_t plans, wl_err_t *err)
{
	if (plans.len && !wl_record_from_json(&wl_plans_schema, plans, &lists->plans, err))
		return false;
	if (customers.len &&
	    !wl_record_from_json(&wl_customers_schema, customers, &lists->customers, err))
		return false;
	return index_plans(lists, err) && index_customers(lists, err);
}

/*
 * wl_lists_new - read both lists and check each against the other
 * @customers: JSON; empty text is an empty list
 * @plans: JSON; empty text is an empty list
 * @err: WL_E_BAD_INPUT, naming the invalid field
 *
 * Return: the lists, or NULL.
 */
wl_lists_t *wl_lists_new(wl_str_t customers, wl_str_t plans, wl_err_t *err)
{
	wl_lists_t *lists = wl_alloc(sizeof(*lists));

	wl_map_init(&lists->by_customer);
	wl_map_init(&lists->by_plan);
	if (lists_read(lists, customers, plans, err))
		return lists;
	wl_lists_free(lists);
	return NULL;
}

/*
 * wl_lists_free - release the lists
 */
void wl_lists_free(wl_lists_t *lists)
{
	if (!lists)
		return;
	wl_map_free(&lists->by_customer);
	wl_map_free(&lists->by_plan);
	free(lists->customer_refs);
	free(lists->plan_refs);
	wl_record_free(&wl_customers_schema, &lists->customers);
	wl_record_free(&wl_plans_schema, &lists->plans);
	free(lists);
}

/*
 * wl_lists_customer - find a customer by name
 *
 * Return: the customer, or NULL.
 */
const wl_customer_t *wl_lists_customer(const wl_lists_t *lists, wl_str_t name)
{
	const customer_ref_t *ref = wl_map_get(&lists->by_customer, name);

	return ref ? ref->customer : NULL;
}

/*
 * wl_lists_plan - find a plan by its name
 *
 * Return: the plan, or NULL.
 */
const wl_plan_t *wl_lists_plan(const wl_lists_t *lists, wl_str_t name)
{
	const plan_ref_t *ref = wl_map_get(&lists->by_plan, name);

	return ref ? ref->plan : NULL;
}

/*
 * wl_lists_plan_of - find the plan of a customer
 *
 * Return: the plan, or NULL for an unknown customer.
 */
const wl_plan_t *wl_lists_plan_of(const wl_lists_t *lists, wl_str_t customer)
{
	const customer_ref_t *ref = wl_map_get(&lists->by_customer, customer);

	return ref ? ref->plan : NULL;
}

/*
 * wl_lists_customer_count - number of customers
 */
size_t wl_lists_customer_count(const wl_lists_t *lists)
{
	return lists->customers.customers.count;
}

/*
 * wl_lists_customer_at - get a customer by its position in the list
 * @i: below wl_lists_customer_count()
 */
const wl_customer_t *wl_lists_customer_at(const wl_lists_t *lists, size_t i)
{
	return customer_at(lists, i);
}

/*
 * wl_plan_allows - whether a plan permits work of a class on a service
 */
bool wl_plan_allows(const wl_plan_t *plan, wl_str_t service, wl_class_t work_class)
{
	return wl_strings_contain(&plan->services, service) &&
	       wl_strings_contain(&plan->classes, wl_str_from(wl_class_names[work_class]));
}
