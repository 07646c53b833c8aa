#ifndef WL_FAIRQ_H
#define WL_FAIRQ_H

#include <sys/queue.h>

#include <libwlbase/err.h>
#include <libwlbase/map.h>
#include <libwlbase/heap.h>

/* Queue of waiting requests with weighted fairness among customers. */

struct wl_fairq_lane;
struct wl_fairq_policy;

/* Embedded in a request; zero-initialized if it is not queued. */
typedef struct wl_fairq_item {
	wl_heap_node_t node;
	struct wl_fairq_lane *lane;
	uint64_t deadline_ns;
	void *owner;
} wl_fairq_item_t;

/* The waiting requests of one customer. */
typedef struct wl_fairq_lane {
	wl_str_t key;
	wl_buf_t name;
	wl_heap_node_t node; /* in the heap of lanes with items */
	wl_heap_t items;
	uint64_t weight;
	uint64_t start; /* virtual time at which its next item is due */
	TAILQ_ENTRY(wl_fairq_lane) link;
} wl_fairq_lane_t;

typedef struct wl_fairq {
	const struct wl_fairq_policy *policy;
	wl_map_t by_name;
	TAILQ_HEAD(wl_fairq_lanes, wl_fairq_lane) lanes;
	wl_heap_t busy; /* lanes with items, by start */
	uint64_t virtual_time;
	uint64_t next_order;
	size_t count;
} wl_fairq_t;

bool wl_fairq_init(wl_fairq_t *queue, wl_str_t policy, wl_err_t *err);
void wl_fairq_free(wl_fairq_t *queue);
void wl_fairq_push(wl_fairq_t *queue, wl_fairq_item_t *item, wl_str_t customer, uint64_t weight);
wl_fairq_item_t *wl_fairq_first(const wl_fairq_t *queue);
void wl_fairq_pop(wl_fairq_t *queue, wl_fairq_item_t *item);
void wl_fairq_remove(wl_fairq_t *queue, wl_fairq_item_t *item);

#endif
