/*
 * Start-time fair queueing among customers.
 *
 * Each customer has a lane with a virtual start time.  Taking an item advances
 * the start of its lane by a fixed step divided by the weight, and the lane with
 * the least start is served next, so that busy lanes are served in proportion to
 * their weights.  The policy orders the items within a lane.
 */

#include "fairq.h"

#include <stdlib.h>

#include <libwlbase/named.h>

#define VIRTUAL_STEP (1ull << 32)

typedef struct wl_fairq_policy {
	const char *name;
	wl_str_t (*lane)(wl_str_t customer);
	uint64_t (*rank)(wl_fairq_t *queue, const wl_fairq_item_t *item);
} wl_fairq_policy_t;

static wl_str_t lane_of_customer(wl_str_t customer)
{
	return customer;
}

static wl_str_t lane_shared(wl_str_t customer)
{
	(void)customer;
	return WL_STR("");
}

static uint64_t rank_deadline(wl_fairq_t *queue, const wl_fairq_item_t *item)
{
	(void)queue;
	return item->deadline_ns;
}

static uint64_t rank_arrival(wl_fairq_t *queue, const wl_fairq_item_t *item)
{
	(void)item;
	return queue->next_order++;
}

static const wl_fairq_policy_t policies[] = {
	{"fair-deadline", lane_of_customer, rank_deadline},
	{"fifo", lane_shared, rank_arrival},
};

/*
 * wl_fairq_init - initialize an empty queue
 * @policy: "fair-deadline" or "fifo"; "" selects the first
 * @err: WL_E_BAD_INPUT for an unknown policy
 *
 * Return: false for an unknown policy.
 */
bool wl_fairq_init(wl_fairq_t *queue, wl_str_t policy, wl_err_t *err)
{
	*queue = (wl_fairq_t){0};
	queue->policy = policy.len ? WL_NAMED_FIND(policies, policy) : &policies[0];
	if (!queue->policy)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "unknown queueing policy " WL_STR_FMT, WL_STR_ARG(policy));
	wl_map_init(&queue->by_name);
	TAILQ_INIT(&queue->lanes);
	return true;
}

/*
 * wl_fairq_free - free the queue; the items belong to their owners
 */
void wl_fairq_free(wl_fairq_t *queue)
{
	wl_fairq_lane_t *lane;

	if (!queue->policy)
		return;
	while ((lane = TAILQ_FIRST(&queue->lanes))) {
		TAILQ_REMOVE(&queue->lanes, lane, link);
		wl_heap_free(&lane->items);
		wl_buf_free(&lane->name);
		free(lane);
	}
	wl_heap_free(&queue->busy);
	wl_map_free(&queue->by_name);
	queue->policy = NULL;
}

static wl_fairq_lane_t *fairq_lane(wl_fairq_t *queue, wl_str_t name)
{
	wl_fairq_lane_t *lane = wl_map_get(&queue->by_name, name);

	if (lane)
		return lane;
	lane = wl_alloc(sizeof(*lane));
	wl_buf_set(&lane->name, name);
	lane->key = wl_buf_str(&lane->name);
	lane->node.owner = lane;
	wl_map_put(&queue->by_name, lane);
	TAILQ_INSERT_TAIL(&queue->lanes, lane, link);
	return lane;
}

/*
 * wl_fairq_push - add a request to the queue
 * @item: owner and deadline_ns must be set
 * @weight: weight of the customer's plan; 0 counts as 1
 */
void wl_fairq_push(wl_fairq_t *queue, wl_fairq_item_t *item, wl_str_t customer, uint64_t weight)
{
	wl_fairq_lane_t *lane = fairq_lane(queue, queue->policy->lane(customer));

	lane->weight = weight ? weight : 1;
	if (lane->items.count == 0) {
		/* an idle customer accumulates no credit */
		if (lane->start < queue->virtual_time)
			lane->start = queue->virtual_time;
		wl_heap_put(&queue->busy, &lane->node, lane->start);
	}
	item->lane = lane;
	item->node.owner = item;
	wl_heap_put(&lane->items, &item->node, queue->policy->rank(queue, item));
	queue->count++;
}

/*
 * wl_fairq_first - get the next request
 *
 * Return: its item, which stays in the queue, or NULL if the queue is empty.
 */
wl_fairq_item_t *wl_fairq_first(const wl_fairq_t *queue)
{
	const wl_heap_node_t *node = wl_heap_first(&queue->busy);
	const wl_fairq_lane_t *lane;

	if (!node)
		return NULL;
	lane = node->owner;
	return wl_heap_first(&lane->items)->owner;
}

/*
 * wl_fairq_pop - remove a request that is sent and charge its customer for it
 */
void wl_fairq_pop(wl_fairq_t *queue, wl_fairq_item_t *item)
{
	wl_fairq_lane_t *lane = item->lane;

	if (queue->virtual_time < lane->start)
		queue->virtual_time = lane->start;
	lane->start += VIRTUAL_STEP / lane->weight;
	wl_fairq_remove(queue, item);
	if (lane->items.count)
		wl_heap_put(&queue->busy, &lane->node, lane->start);
}

/*
 * wl_fairq_remove - remove a request without a charge; no effect on one that is not queued
 */
void wl_fairq_remove(wl_fairq_t *queue, wl_fairq_item_t *item)
{
	wl_fairq_lane_t *lane = item->lane;

	if (!lane)
		return;
	wl_heap_remove(&lane->items, &item->node);
	item->lane = NULL;
	queue->count--;
	if (lane->items.count == 0)
		wl_heap_remove(&queue->busy, &lane->node);
}
