/*
 * Ledger of the targets that this entry owns.
 *
 * All capacity is reserved here: for each request and each task before it is sent.
 * The reservation is released once the work certainly no longer runs.
 */

#include "ledger.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_MIN_TARGETS 8

/*
 * wl_need_add - add a need to another
 */
void wl_need_add(wl_need_t *to, const wl_need_t *more)
{
	to->cpu_millis += more->cpu_millis;
	to->memory_mib += more->memory_mib;
	to->accelerators += more->accelerators;
	to->slots += more->slots;
	to->connections += more->connections;
}

static uint64_t saturating_sub(uint64_t from, uint64_t by)
{
	return from > by ? from - by : 0;
}

/*
 * wl_need_subtract - subtract a need from another; no component drops below zero
 */
void wl_need_subtract(wl_need_t *from, const wl_need_t *less)
{
	from->cpu_millis = saturating_sub(from->cpu_millis, less->cpu_millis);
	from->memory_mib = saturating_sub(from->memory_mib, less->memory_mib);
	from->accelerators = saturating_sub(from->accelerators, less->accelerators);
	from->slots = saturating_sub(from->slots, less->slots);
	from->connections = saturating_sub(from->connections, less->connections);
}

/*
 * wl_need_within - whether no component of a need exceeds that of the available capacity
 */
bool wl_need_within(const wl_need_t *need, const wl_need_t *available)
{
	return need->cpu_millis <= available->cpu_millis &&
	       need->memory_mib <= available->memory_mib &&
	       need->accelerators <= available->accelerators && need->slots <= available->slots &&
	       need->connections <= available->connections;
}

/*
 * wl_ledger_init - make an empty ledger
 * @request: reserved for one request on a target
 */
void wl_ledger_init(wl_ledger_t *ledger, const wl_need_t *request)
{
	memset(ledger, 0, sizeof(*ledger));
	wl_map_init(&ledger->by_name);
	TAILQ_INIT(&ledger->targets);
	wl_map_init(&ledger->by_service);
	TAILQ_INIT(&ledger->services);
	ledger->request = *request;
}

static void target_free(wl_target_t *target)
{
	wl_buf_free(&target->name);
	wl_buf_free(&target->address);
	wl_buf_free(&target->availability_zone);
	wl_buf_free(&target->rack);
	wl_strings_free(&target->services);
	free(target);
}

static void service_free(wl_ledger_service_t *service)
{
	wl_buf_free(&service->name);
	free(service->targets);
	free(service);
}

/*
 * wl_ledger_free - release the ledger with its targets
 */
void wl_ledger_free(wl_ledger_t *ledger)
{
	wl_target_t *target;
	wl_ledger_service_t *service;

	while ((target = TAILQ_FIRST(&ledger->targets))) {
		TAILQ_REMOVE(&ledger->targets, target, link);
		target_free(target);
	}
	while ((service = TAILQ_FIRST(&ledger->services))) {
		TAILQ_REMOVE(&ledger->services, service, link);
		service_free(service);
	}
	wl_map_free(&ledger->by_name);
	wl_map_free(&ledger->by_service);
}

/*
 * wl_ledger_add - add a target, closed and without capacity
 * @name: not in the ledger yet
 * @epoch: of this entry's ownership
 */
wl_target_t *wl_ledger_add(wl_ledger_t *ledger, wl_str_t name, uint64_t epoch)
{
	wl_target_t *target = wl_alloc(sizeof(*target));

	wl_buf_set(&target->name, name);
	target->key = wl_buf_str(&target->name);
	target->epoch = epoch;
	wl_map_put(&ledger->by_name, target);
	TAILQ_INSERT_TAIL(&ledger->targets, target, link);
	return target;
}

/*
 * wl_ledger_remove - remove a target, on which this entry may have no reservations left
 */
void wl_ledger_remove(wl_ledger_t *ledger, wl_target_t *target)
{
	wl_ledger_set_open(ledger, target, false);
	wl_map_remove(&ledger->by_name, target->key);
	TAILQ_REMOVE(&ledger->targets, target, link);
	target_free(target);
}

/*
 * wl_ledger_find - the target with a name, or NULL
 */
wl_target_t *wl_ledger_find(const wl_ledger_t *ledger, wl_str_t name)
{
	return wl_map_get(&ledger->by_name, name);
}

/*
 * wl_ledger_service - the open targets of a service, or NULL if it never had any
 */
wl_ledger_service_t *wl_ledger_service(const wl_ledger_t *ledger, wl_str_t service)
{
	return wl_map_get(&ledger->by_service, service);
}

static wl_ledger_service_t *service_get(wl_ledger_t *ledger, wl_str_t name)
{
	wl_ledger_service_t *service = wl_map_get(&ledger->by_service, name);

	if (service)
		return service;
	service = wl_alloc(sizeof(*service));
	wl_buf_set(&service->name, name);
	service->key = wl_buf_str(&service->name);
	wl_map_put(&ledger->by_service, service);
	TAILQ_INSERT_TAIL(&ledger->services, service, link);
	return service;
}

static void service_add(wl_ledger_service_t *service, wl_target_t *target)
{
	if (service->count == service->targets_size) {
		service->targets_size =
			service->targets_size ? 2 * service->targets_size : SERVICE_MIN_TARGETS;
		service->targets =
			wl_realloc(service->targets, service->targets_size * sizeof(wl_target_t *));
	}
	service->targets[service->count++] = target;
}

static void service_remove(wl_ledger_service_t *service, const wl_target_t *target)
{
	for (size_t i = 0; i < service->count; i++) {
		if (service->targets[i] != target)
			continue;
		service->targets[i] = service->targets[--service->count];
		return;
	}
}

/* Adds the free requests of an open target to the sums of its services, or subtracts them. */
static void services_update(wl_ledger_t *ledger, const wl_target_t *target, bool add)
{
	uint64_t free_requests = wl_ledger_free_requests(ledger, target);
	const wl_buf_t *names = target->services.items;

	for (size_t i = 0; target->open && i < target->services.count; i++) {
		wl_ledger_service_t *service = service_get(ledger, wl_buf_str(&names[i]));

		service->free_requests =
			add ? service->free_requests + free_requests
			    : saturating_sub(service->free_requests, free_requests);
	}
}

/*
 * wl_ledger_set_open - open a target for new work, or close it
 *
 * The target's services may be changed only while it is closed.
 */
void wl_ledger_set_open(wl_ledger_t *ledger, wl_target_t *target, bool open)
{
	const wl_buf_t *names = target->services.items;

	if (target->open == open)
		return;
	if (!open)
		services_update(ledger, target, false);
	for (size_t i = 0; i < target->services.count; i++) {
		wl_ledger_service_t *service = service_get(ledger, wl_buf_str(&names[i]));

		if (open)
			service_add(service, target);
		else
			service_remove(service, target);
	}
	target->open = open;
	if (open)
		services_update(ledger, target, true);
}

/*
 * wl_ledger_fits - whether a target has capacity for a need beside its reservations
 */
bool wl_ledger_fits(const wl_target_t *target, const wl_need_t *need)
{
	wl_need_t sum = target->reserved;

	wl_need_add(&sum, need);
	return wl_need_within(&sum, &target->capacity);
}

/*
 * wl_ledger_add_reserved - reserve for work that already runs, even beyond the capacity
 */
void wl_ledger_add_reserved(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need)
{
	services_update(ledger, target, false);
	wl_need_add(&target->reserved, need);
	services_update(ledger, target, true);
}

/*
 * wl_ledger_reserve - reserve capacity for new work
 * @need: a need with connections is that of a request
 *
 * Return: false, with nothing reserved, if the target is closed or has too little free capacity.
 */
bool wl_ledger_reserve(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need)
{
	if (!target->open || !wl_ledger_fits(target, need))
		return false;

	wl_ledger_add_reserved(ledger, target, need);
	if (need->connections)
		target->running_requests++;
	return true;
}

/*
 * wl_ledger_subtract_reserved - release what wl_ledger_add_reserved() reserved
 */
void wl_ledger_subtract_reserved(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need)
{
	services_update(ledger, target, false);
	wl_need_subtract(&target->reserved, need);
	services_update(ledger, target, true);
}

/*
 * wl_ledger_release - release what wl_ledger_reserve() reserved
 */
void wl_ledger_release(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need)
{
	wl_ledger_subtract_reserved(ledger, target, need);
	if (need->connections)
		target->running_requests = saturating_sub(target->running_requests, 1);
}

/*
 * wl_ledger_set_capacity - set the capacity of a target
 */
void wl_ledger_set_capacity(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *capacity)
{
	services_update(ledger, target, false);
	target->capacity = *capacity;
	services_update(ledger, target, true);
}

static uint64_t count_fitting(uint64_t capacity, uint64_t reserved, uint64_t need, uint64_t best)
{
	uint64_t count;

	if (need == 0)
		return best;
	count = saturating_sub(capacity, reserved) / need;
	return count < best ? count : best;
}

/*
 * wl_ledger_free_requests - number of requests that a target has free capacity for now
 *
 * Return: the number as if the target was open; zero if a request needs nothing.
 */
uint64_t wl_ledger_free_requests(const wl_ledger_t *ledger, const wl_target_t *target)
{
	const wl_need_t *one = &ledger->request;
	const wl_need_t *has = &target->capacity;
	const wl_need_t *used = &target->reserved;
	uint64_t count = UINT64_MAX;

	count = count_fitting(has->cpu_millis, used->cpu_millis, one->cpu_millis, count);
	count = count_fitting(has->memory_mib, used->memory_mib, one->memory_mib, count);
	count = count_fitting(has->accelerators, used->accelerators, one->accelerators, count);
	count = count_fitting(has->slots, used->slots, one->slots, count);
	count = count_fitting(has->connections, used->connections, one->connections, count);
	return count == UINT64_MAX ? 0 : count;
}
