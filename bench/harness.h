#ifndef WL_BENCH_HARNESS_H
#define WL_BENCH_HARNESS_H

#include <libwlcore/node/node.h>

/*
 * One daemon's decisions with everything around them answered at once: disk,
 * targets, callers.  Only the processor time inside wl_node_step() counts.
 */

typedef struct world_target {
	wl_announce_t announce;
	uint64_t epoch;
} world_target_t;

typedef struct world {
	wl_node_t *node;
	uint64_t now_ns;
	uint64_t next_call;
	wl_out_t out;
	world_target_t *targets;
	size_t target_count;
	uint64_t spent_ns; /* processor time inside the step function */
	uint64_t steps;
	uint64_t started; /* tasks that targets were told to start */
	uint64_t replies;
	uint64_t last_status;
	uint64_t messages; /* to other daemons */
	uint64_t message_bytes;
	uint64_t persisted_bytes;
	bool hold_tasks; /* started tasks run on; else they end with the next announce */
} world_t;

void world_init(world_t *world, size_t target_count, size_t customer_count);
void world_free(world_t *world);
void world_tick(world_t *world, uint64_t ms);
void world_announce_all(world_t *world);
uint64_t world_call(world_t *world, wl_listener_t listener, const char *method, const char *path,
		    const char *customer, const char *if_match, wl_str_t body);
void world_lists(world_t *world, size_t customer_count, uint64_t base, uint64_t weight);
void world_reset(world_t *world);

#endif
