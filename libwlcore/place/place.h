#ifndef WL_PLACE_H
#define WL_PLACE_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlbase/rng.h>
#include <libwlcore/model/msg.h>

/*
 * Free capacity of targets as offered by their owners, less what was assigned
 * since, and the choice of a target for a task.
 */

typedef struct wl_place_rack {
	wl_str_t key;
	wl_buf_t name;
	uint64_t slots;		  /* total of its open targets */
	uint64_t long_held_milli; /* slots reserved for long work, thousandths */
	TAILQ_ENTRY(wl_place_rack) link;
} wl_place_rack_t;

struct wl_place_load;
TAILQ_HEAD(wl_place_loads, wl_place_load);

typedef struct wl_place_target {
	wl_str_t key;
	wl_offer_row_t row;
	wl_need_t pending; /* loads that the offer does not include yet */
	struct wl_place_loads loads;
	wl_place_rack_t *rack;
	uint64_t closed_ns;	     /* since when it has not been open; 0: it is open */
	uint64_t suspended_until_ns; /* gets no work before this time, as its owner refused some */
	uint64_t alone_until_ns;     /* gets no other work before this time */
	TAILQ_ENTRY(wl_place_target) link;
} wl_place_target_t;

/* The capacity that one attempt takes on a target. */
typedef struct wl_place_load {
	wl_place_target_t *target;
	wl_buf_t kind;
	wl_need_t need;
	bool is_long;
	bool included; /* the offer counts it as reserved */
	bool alone;    /* while it is on trial, no other work starts beside it */
	uint64_t trial_until_ns;
	uint64_t slots_milli; /* slots' worth of the resource it takes most of, thousandths */
	TAILQ_ENTRY(wl_place_load) link;
} wl_place_load_t;

/* A task that needs a target. */
typedef struct wl_place_request {
	wl_str_t service;
	wl_str_t kind;
	wl_need_t declared;
	wl_need_t need;		/* the larger of the declared and the learnt need */
	const wl_list_t *avoid; /* strings: targets on which the task failed */
	uint64_t waited_ms;
	bool urgent;
	bool is_long;
	bool alone;		/* only where no load is on trial, as targets crashed under it */
	uint64_t long_permille; /* set by wl_place_choose(): share of a rack for long work */
} wl_place_request_t;

typedef struct wl_place_choice {
	wl_place_target_t *target;
	wl_need_t need; /* to reserve on that target */
	bool may_evict;
	bool deferred; /* capacity is free, but other work would lose more than the task gains */
} wl_place_choice_t;

typedef struct wl_place_options {
	wl_str_t policy;
	uint64_t long_share_permille;
	uint64_t seed;
} wl_place_options_t;

typedef struct wl_place wl_place_t;

wl_place_t *wl_place_new(const wl_place_options_t *options, wl_err_t *err);
void wl_place_free(wl_place_t *place);
void wl_place_offer(wl_place_t *place, uint64_t now_ns, const wl_offer_row_t *row);
void wl_place_pair_learn(wl_place_t *place, uint64_t now_ns, const wl_pair_row_t *row);
void wl_place_clear(wl_place_t *place);
void wl_place_suspend(wl_place_t *place, uint64_t until_ns, wl_str_t name);
void wl_place_close(wl_place_t *place, uint64_t now_ns, wl_str_t name);
void wl_place_remove(wl_place_t *place, wl_str_t name);
wl_place_target_t *wl_place_target_find(const wl_place_t *place, wl_str_t name);
wl_place_target_t *wl_place_target_get(wl_place_t *place, uint64_t now_ns, wl_str_t name);
void wl_place_begin(wl_place_t *place, uint64_t now_ns);
void wl_place_note_short_queued(wl_place_t *place, wl_str_t service);
bool wl_place_choose(wl_place_t *place, const wl_place_request_t *request,
		     wl_place_choice_t *choice);
bool wl_place_too_large(const wl_place_t *place, const wl_place_request_t *request);
void wl_place_load_add(wl_place_target_t *target, wl_place_load_t *load);
void wl_place_load_remove(wl_place_load_t *load);
void wl_place_load_try(wl_place_load_t *load, uint64_t until_ns, bool alone);

#endif
