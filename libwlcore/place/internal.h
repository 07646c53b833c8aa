#ifndef WL_PLACE_INTERNAL_H
#define WL_PLACE_INTERNAL_H

#include "place.h"

#define WL_SLOT_MILLI 1000 /* one slot, in thousandths */

/* Classes of requests; a failed one is remembered per class during a round of placement. */
typedef enum wl_place_class {
	WL_PLACE_URGENT,
	WL_PLACE_SHORT,
	WL_PLACE_LONG,
	WL_PLACE_CLASSES
} wl_place_class_t;

typedef struct wl_place_service {
	wl_str_t key;
	wl_buf_t name;
	wl_place_target_t **targets;
	size_t count;
	size_t targets_size;
	bool failed[WL_PLACE_CLASSES];		 /* a request found no target in this round */
	wl_need_t failed_need[WL_PLACE_CLASSES]; /* need of that request */
	uint64_t short_queued_ns;		 /* when short work was last queued; 0: never */
	TAILQ_ENTRY(wl_place_service) link;
} wl_place_service_t;

typedef struct wl_place_pair {
	wl_str_t key;
	wl_buf_t text; /* kind, a zero byte, and the kind beside it */
	uint64_t slowdown_permille;
	uint64_t weight_milli;
	uint64_t decayed_ns;
	TAILQ_ENTRY(wl_place_pair) link;
} wl_place_pair_t;

/*
 * Chooses among the targets of a service.  With @evict, capacity that eviction can
 * free counts as free.
 */
typedef struct wl_place_policy {
	const char *name;
	bool (*choose)(wl_place_t *place, const wl_place_service_t *service,
		       const wl_place_request_t *request, bool evict, wl_place_choice_t *choice);
} wl_place_policy_t;

struct wl_place {
	wl_place_options_t options;
	const wl_place_policy_t *policy;
	wl_rng_t rng;
	uint64_t now_ns; /* start of the round */
	wl_map_t by_target;
	TAILQ_HEAD(wl_place_targets, wl_place_target) targets;
	wl_map_t by_service;
	TAILQ_HEAD(wl_place_services, wl_place_service) services;
	wl_map_t by_rack;
	TAILQ_HEAD(wl_place_racks, wl_place_rack) racks;
	wl_map_t by_pair;
	TAILQ_HEAD(wl_place_pairs, wl_place_pair) pairs;
	wl_list_t interfering_kinds; /* strings: kinds that slow others or are slowed */
};

/* policy.c */
const wl_place_policy_t *wl_place_policy_find(wl_str_t name);
bool wl_place_fits(const wl_place_t *place, const wl_place_target_t *target,
		   const wl_place_request_t *request, bool evict, wl_need_t *need);

/* pairs.c */
uint64_t wl_place_slowdown(const wl_place_t *place, wl_str_t kind, wl_str_t beside);
void wl_place_pairs_clear(wl_place_t *place);

#endif
