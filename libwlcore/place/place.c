/*
 * Table of free capacity: offers of owners, less what was assigned since; indexed by
 * service and rack.
 */

#include "internal.h"

#include <stdlib.h>

#include <libwlcore/owner/ledger.h>

#define STREAM_PLACE	    0x706c61
#define SERVICE_MIN_TARGETS 8
#define RECENT_SHORT_NS	    30000000000ULL
#define ALL_PERMILLE	    1000

/*
 * wl_place_new - make an empty table
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: the table, or NULL.
 */
wl_place_t *wl_place_new(const wl_place_options_t *options, wl_err_t *err)
{
	const wl_place_policy_t *policy = wl_place_policy_find(options->policy);
	wl_place_t *place;

	if (!policy) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "unknown placement policy: " WL_STR_FMT,
			   WL_STR_ARG(options->policy));
		return NULL;
	}
	place = wl_alloc(sizeof(*place));
	place->options = *options;
	place->policy = policy;
	wl_rng_init(&place->rng, options->seed, STREAM_PLACE);
	wl_map_init(&place->by_target);
	TAILQ_INIT(&place->targets);
	wl_map_init(&place->by_service);
	TAILQ_INIT(&place->services);
	wl_map_init(&place->by_rack);
	TAILQ_INIT(&place->racks);
	wl_map_init(&place->by_pair);
	TAILQ_INIT(&place->pairs);
	return place;
}

static wl_place_service_t *service_get(wl_place_t *place, wl_str_t name)
{
	wl_place_service_t *service = wl_map_get(&place->by_service, name);

	if (service)
		return service;
	service = wl_alloc(sizeof(*service));
	wl_buf_set(&service->name, name);
	service->key = wl_buf_str(&service->name);
	wl_map_put(&place->by_service, service);
	TAILQ_INSERT_TAIL(&place->services, service, link);
	return service;
}

static void service_add(wl_place_service_t *service, wl_place_target_t *target)
{
	if (service->count == service->targets_size) {
		service->targets_size =
			service->targets_size ? 2 * service->targets_size : SERVICE_MIN_TARGETS;
		service->targets = wl_realloc(service->targets,
					      service->targets_size * sizeof(wl_place_target_t *));
	}
	service->targets[service->count++] = target;
}

static void service_remove(wl_place_service_t *service, const wl_place_target_t *target)
{
	for (size_t i = 0; i < service->count; i++) {
		if (service->targets[i] != target)
			continue;
		service->targets[i] = service->targets[--service->count];
		return;
	}
}

static void services_join(wl_place_t *place, wl_place_target_t *target)
{
	const wl_buf_t *names = target->row.services.items;

	for (size_t i = 0; i < target->row.services.count; i++)
		service_add(service_get(place, wl_buf_str(&names[i])), target);
}

static void services_leave(wl_place_t *place, wl_place_target_t *target)
{
	const wl_buf_t *names = target->row.services.items;

	for (size_t i = 0; i < target->row.services.count; i++)
		service_remove(service_get(place, wl_buf_str(&names[i])), target);
}

static wl_place_rack_t *rack_get(wl_place_t *place, wl_str_t name)
{
	wl_place_rack_t *rack = wl_map_get(&place->by_rack, name);

	if (rack)
		return rack;
	rack = wl_alloc(sizeof(*rack));
	wl_buf_set(&rack->name, name);
	rack->key = wl_buf_str(&rack->name);
	wl_map_put(&place->by_rack, rack);
	TAILQ_INSERT_TAIL(&place->racks, rack, link);
	return rack;
}

/* Slots' worth of a part of a capacity, in thousandths; zero while the capacity is unknown. */
static uint64_t part_milli(uint64_t part, uint64_t whole, uint64_t slots)
{
	return whole ? part * slots * WL_SLOT_MILLI / whole : 0;
}

/*
 * A task that takes four slots' worth of processors blocks as much as four
 * tasks of one slot: the resource of which it takes the largest share counts.
 */
static uint64_t load_slots_milli(const wl_need_t *need, const wl_need_t *capacity)
{
	uint64_t parts[] = {
		part_milli(need->cpu_millis, capacity->cpu_millis, capacity->slots),
		part_milli(need->memory_mib, capacity->memory_mib, capacity->slots),
		part_milli(need->accelerators, capacity->accelerators, capacity->slots),
	};
	uint64_t most = WL_SLOT_MILLI;

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		if (parts[i] > most)
			most = parts[i];
	return most;
}

static void load_weigh(wl_place_load_t *load, const wl_place_target_t *target)
{
	load->slots_milli = load_slots_milli(&load->need, &target->row.capacity);
}

static uint64_t long_loads_milli(const wl_place_target_t *target)
{
	const wl_place_load_t *load;
	uint64_t sum = 0;

	TAILQ_FOREACH (load, &target->loads, link)
		sum += load->is_long ? load->slots_milli : 0;
	return sum;
}

static void rack_join(wl_place_t *place, wl_place_target_t *target)
{
	wl_place_load_t *load;

	TAILQ_FOREACH (load, &target->loads, link)
		load_weigh(load, target);
	target->rack = rack_get(place, wl_buf_str(&target->row.rack));
	target->rack->long_held_milli += long_loads_milli(target);
	if (target->row.available)
		target->rack->slots += target->row.capacity.slots;
}

static void rack_leave(wl_place_target_t *target)
{
	if (!target->rack)
		return;
	target->rack->long_held_milli -= long_loads_milli(target);
	if (target->row.available)
		target->rack->slots -= target->row.capacity.slots;
	target->rack = NULL;
}

/*
 * wl_place_target_find - the target with a name, or NULL
 */
wl_place_target_t *wl_place_target_find(const wl_place_t *place, wl_str_t name)
{
	return wl_map_get(&place->by_target, name);
}

/*
 * wl_place_target_get - find a target, or add one without an offer
 * @now_ns: monotonic time, from which an added target counts as closed
 */
wl_place_target_t *wl_place_target_get(wl_place_t *place, uint64_t now_ns, wl_str_t name)
{
	wl_place_target_t *target = wl_place_target_find(place, name);

	if (target)
		return target;
	target = wl_alloc(sizeof(*target));
	wl_buf_set(&target->row.target, name);
	target->key = wl_buf_str(&target->row.target);
	target->closed_ns = now_ns ? now_ns : 1;
	TAILQ_INIT(&target->loads);
	wl_map_put(&place->by_target, target);
	TAILQ_INSERT_TAIL(&place->targets, target, link);
	return target;
}

static uint64_t running_of(const wl_offer_row_t *row, wl_str_t kind)
{
	const wl_offer_kind_t *kinds = row->kinds.items;

	for (size_t i = 0; i < row->kinds.count; i++)
		if (wl_str_equal(wl_buf_str(&kinds[i].kind), kind))
			return kinds[i].running;
	return 0;
}

static uint64_t included_of(const wl_place_target_t *target, const wl_place_load_t *before)
{
	const wl_place_load_t *load;
	uint64_t count = 0;

	TAILQ_FOREACH (load, &target->loads, link) {
		if (load == before)
			break;
		count += load->included &&
			 wl_str_equal(wl_buf_str(&load->kind), wl_buf_str(&before->kind));
	}
	return count;
}

/*
 * An offer counts the running work by kind.  The oldest loads of each kind are
 * taken as included in that number, newer ones are pending.
 */
static void loads_include(wl_place_target_t *target)
{
	wl_place_load_t *load;

	target->pending = (wl_need_t){0};
	TAILQ_FOREACH (load, &target->loads, link) {
		load->included = included_of(target, load) <
				 running_of(&target->row, wl_buf_str(&load->kind));
		if (!load->included)
			wl_need_add(&target->pending, &load->need);
	}
}

/*
 * wl_place_offer - apply an owner's newest offer of a target
 * @now_ns: monotonic time
 * @row: copied
 */
void wl_place_offer(wl_place_t *place, uint64_t now_ns, const wl_offer_row_t *row)
{
	wl_place_target_t *target = wl_place_target_get(place, now_ns, wl_buf_str(&row->target));

	bool moved = !wl_strings_equal(&target->row.services, &row->services);

	if (moved)
		services_leave(place, target);
	rack_leave(target);
	wl_record_free(&wl_offer_row_schema, &target->row);
	wl_record_copy(&wl_offer_row_schema, &target->row, row);
	target->key = wl_buf_str(&target->row.target);
	if (moved)
		services_join(place, target);
	rack_join(place, target);
	loads_include(target);
	if (target->row.available)
		target->closed_ns = 0;
	else if (target->closed_ns == 0)
		target->closed_ns = now_ns ? now_ns : 1;
}

/*
 * wl_place_close - place no work on a target until its next offer
 */
void wl_place_close(wl_place_t *place, uint64_t now_ns, wl_str_t name)
{
	wl_place_target_t *target = wl_place_target_get(place, now_ns, name);

	rack_leave(target);
	if (target->row.available)
		target->closed_ns = now_ns ? now_ns : 1;
	target->row.available = false;
	rack_join(place, target);
}

/*
 * wl_place_remove - remove a target
 */
void wl_place_remove(wl_place_t *place, wl_str_t name)
{
	wl_place_target_t *target = wl_place_target_find(place, name);

	if (!target)
		return;
	services_leave(place, target);
	rack_leave(target);
	while (!TAILQ_EMPTY(&target->loads))
		wl_place_load_remove(TAILQ_FIRST(&target->loads));
	wl_map_remove(&place->by_target, target->key);
	TAILQ_REMOVE(&place->targets, target, link);
	wl_record_free(&wl_offer_row_schema, &target->row);
	free(target);
}

/*
 * wl_place_clear - remove all targets; what was learnt of pairs of kinds stays
 */
void wl_place_clear(wl_place_t *place)
{
	while (!TAILQ_EMPTY(&place->targets))
		wl_place_remove(place, TAILQ_FIRST(&place->targets)->key);
}

/*
 * wl_place_suspend - place no work on a target for some time, as its owner just refused some
 * @until_ns: monotonic time
 */
void wl_place_suspend(wl_place_t *place, uint64_t until_ns, wl_str_t name)
{
	wl_place_target_t *target = wl_place_target_find(place, name);

	if (target)
		target->suspended_until_ns = until_ns;
}

/*
 * wl_place_begin - begin a round of placement, and clear the failures of the last one
 * @now_ns: monotonic time
 */
void wl_place_begin(wl_place_t *place, uint64_t now_ns)
{
	wl_place_service_t *service;

	place->now_ns = now_ns;
	TAILQ_FOREACH (service, &place->services, link)
		for (size_t i = 0; i < WL_PLACE_CLASSES; i++)
			service->failed[i] = false;
}

static wl_place_class_t class_of(const wl_place_request_t *request)
{
	if (request->urgent)
		return WL_PLACE_URGENT;
	return request->is_long ? WL_PLACE_LONG : WL_PLACE_SHORT;
}

/*
 * Free capacity only shrinks within a round, so a need that is nowhere smaller than one
 * that failed fails too.
 */
static bool failed_before(const wl_place_service_t *service, const wl_place_request_t *request)
{
	wl_place_class_t work_class = class_of(request);

	return service->failed[work_class] &&
	       wl_need_within(&service->failed_need[work_class], &request->need);
}

/*
 * wl_place_note_short_queued - record that short batch work for a service is
 * queued in this round
 */
void wl_place_note_short_queued(wl_place_t *place, wl_str_t service)
{
	wl_place_service_t *found = wl_map_get(&place->by_service, service);

	if (found)
		found->short_queued_ns = place->now_ns ? place->now_ns : 1;
}

/*
 * Recent short work is likely to be followed by more.  Long work may not take
 * the last slots in between, as the next short task would wait behind it.
 */
static uint64_t long_permille(const wl_place_t *place, const wl_place_service_t *service)
{
	uint64_t share = place->options.long_share_permille;

	if (service->short_queued_ns == 0 ||
	    place->now_ns > service->short_queued_ns + RECENT_SHORT_NS)
		return ALL_PERMILLE;
	return service->short_queued_ns == place->now_ns ? share : (share + ALL_PERMILLE) / 2;
}

/*
 * wl_place_choose - choose a target for a task
 * @request: the task; targets on which it failed are avoided unless there are no others
 * @choice: target and need; may_evict is set if capacity has to be freed first
 *
 * Return: false if no target has enough free capacity now.
 */
bool wl_place_choose(wl_place_t *place, const wl_place_request_t *request,
		     wl_place_choice_t *choice)
{
	wl_place_service_t *service = wl_map_get(&place->by_service, request->service);
	wl_place_request_t adjusted = *request;

	if (!service || failed_before(service, request))
		return false;
	adjusted.long_permille = long_permille(place, service);
	if (request->avoid && request->avoid->count >= service->count)
		adjusted.avoid = NULL;
	choice->may_evict = false;
	choice->deferred = false;
	if (place->policy->choose(place, service, &adjusted, false, choice))
		return true;
	choice->may_evict = true;
	if (request->urgent && place->policy->choose(place, service, &adjusted, true, choice))
		return true;
	if (!choice->deferred && !request->alone &&
	    (!adjusted.avoid || adjusted.avoid->count == 0)) {
		service->failed[class_of(request)] = true;
		service->failed_need[class_of(request)] = request->need;
	}
	return false;
}

/*
 * wl_place_too_large - whether a task is larger than every target of its service
 *
 * Return: false also while no target of the service is known.
 */
bool wl_place_too_large(const wl_place_t *place, const wl_place_request_t *request)
{
	const wl_place_service_t *service = wl_map_get(&place->by_service, request->service);

	if (!service || service->count == 0)
		return false;
	for (size_t i = 0; i < service->count; i++)
		if (wl_need_within(&request->declared, &service->targets[i]->row.capacity))
			return false;
	return true;
}

/*
 * wl_place_load_add - count an attempt on a target
 * @load: kind, need and is_long are set; owned by the caller
 */
void wl_place_load_add(wl_place_target_t *target, wl_place_load_t *load)
{
	load->target = target;
	load_weigh(load, target);
	TAILQ_INSERT_TAIL(&target->loads, load, link);
	wl_need_add(&target->pending, &load->need);
	if (target->rack && load->is_long)
		target->rack->long_held_milli += load->slots_milli;
}

/*
 * wl_place_load_try - take an attempt as on trial for some time
 * @until_ns: monotonic time
 * @alone: no other work starts beside it meanwhile
 */
void wl_place_load_try(wl_place_load_t *load, uint64_t until_ns, bool alone)
{
	load->alone = alone;
	load->trial_until_ns = until_ns;
	if (alone)
		load->target->alone_until_ns = until_ns;
}

/*
 * wl_place_load_remove - no longer count an attempt on its target
 */
void wl_place_load_remove(wl_place_load_t *load)
{
	wl_place_target_t *target = load->target;

	if (!target)
		return;
	TAILQ_REMOVE(&target->loads, load, link);
	if (!load->included)
		wl_need_subtract(&target->pending, &load->need);
	if (target->rack && load->is_long)
		target->rack->long_held_milli -= load->slots_milli;
	if (load->alone && target->alone_until_ns == load->trial_until_ns)
		target->alone_until_ns = 0;
	load->target = NULL;
}

static void services_clear(wl_place_t *place)
{
	wl_place_service_t *service;

	while ((service = TAILQ_FIRST(&place->services))) {
		TAILQ_REMOVE(&place->services, service, link);
		wl_buf_free(&service->name);
		free(service->targets);
		free(service);
	}
	wl_map_free(&place->by_service);
}

static void racks_clear(wl_place_t *place)
{
	wl_place_rack_t *rack;

	while ((rack = TAILQ_FIRST(&place->racks))) {
		TAILQ_REMOVE(&place->racks, rack, link);
		wl_buf_free(&rack->name);
		free(rack);
	}
	wl_map_free(&place->by_rack);
}

/*
 * wl_place_free - release the table; loads that are left are detached from their targets
 */
void wl_place_free(wl_place_t *place)
{
	if (!place)
		return;
	wl_place_clear(place);
	wl_map_free(&place->by_target);
	services_clear(place);
	racks_clear(place);
	wl_place_pairs_clear(place);
	free(place);
}
