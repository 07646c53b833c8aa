#ifndef WL_LEDGER_H
#define WL_LEDGER_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlcore/model/model.h>

/* Capacity and reservations of the targets that this entry owns. */

struct wl_ledger_service_row;

typedef struct wl_target {
	wl_str_t key; /* the target's name */
	wl_buf_t name;
	wl_buf_t address;
	wl_buf_t availability_zone;
	wl_buf_t rack;
	wl_list_t services; /* strings */
	uint64_t epoch;
	uint64_t boot;
	uint64_t seq;		   /* number of the newest announce */
	uint64_t last_announce_ns; /* when that announce arrived */
	uint64_t state;		   /* state of the chart "target" */
	bool open;		   /* adopted, ready and not quarantined: gets new work */
	wl_need_t capacity;
	wl_need_t reserved;  /* by requests and tasks of this entry, and by work that it adopted */
	wl_need_t evictable; /* part of reserved: batch tasks that may be evicted */
	uint64_t running_requests;  /* number of requests that hold a reservation */
	uint64_t latency_ns;	    /* moving average over requests */
	uint64_t slowdown_permille; /* mean over the work on the target */
	TAILQ_ENTRY(wl_target) link;
} wl_target_t;

/* Open targets of one service, indexed so that a choice need not scan all targets. */
typedef struct wl_ledger_service_row {
	wl_str_t key;
	wl_buf_t name;
	wl_target_t **targets;
	size_t count;
	size_t targets_size;
	uint64_t free_requests; /* requests that the targets together have capacity for */
	TAILQ_ENTRY(wl_ledger_service_row) link;
} wl_ledger_service_t;

typedef struct wl_ledger {
	wl_map_t by_name;
	TAILQ_HEAD(wl_ledger_targets, wl_target) targets;
	wl_map_t by_service;
	TAILQ_HEAD(wl_ledger_services, wl_ledger_service_row) services;
	wl_need_t request; /* reserved for one request: one slot, one connection, a share of the
			      rest */
} wl_ledger_t;

void wl_ledger_init(wl_ledger_t *ledger, const wl_need_t *request);
void wl_ledger_free(wl_ledger_t *ledger);
wl_target_t *wl_ledger_add(wl_ledger_t *ledger, wl_str_t name, uint64_t epoch);
void wl_ledger_remove(wl_ledger_t *ledger, wl_target_t *target);
wl_target_t *wl_ledger_find(const wl_ledger_t *ledger, wl_str_t name);
wl_ledger_service_t *wl_ledger_service(const wl_ledger_t *ledger, wl_str_t service);
void wl_ledger_set_open(wl_ledger_t *ledger, wl_target_t *target, bool open);
bool wl_ledger_fits(const wl_target_t *target, const wl_need_t *need);
void wl_ledger_add_reserved(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need);
void wl_ledger_subtract_reserved(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need);
bool wl_ledger_reserve(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need);
void wl_ledger_release(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *need);
void wl_ledger_set_capacity(wl_ledger_t *ledger, wl_target_t *target, const wl_need_t *capacity);
uint64_t wl_ledger_free_requests(const wl_ledger_t *ledger, const wl_target_t *target);
void wl_need_add(wl_need_t *to, const wl_need_t *more);
void wl_need_subtract(wl_need_t *from, const wl_need_t *less);
bool wl_need_within(const wl_need_t *need, const wl_need_t *available);

#endif
