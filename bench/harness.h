#ifndef WL_BENCH_HARNESS_H
#define WL_BENCH_HARNESS_H

#include <libwlcore/node/node.h>

/*
 * Runs one node against a simulated disk, targets and callers that respond at once; messages to
 * other daemons are only counted.  Only the processor time inside wl_node_step() is measured.
 */

typedef struct harness_target {
	wl_announce_t announce;
	uint64_t epoch;
} harness_target_t;

typedef struct harness {
	wl_node_t *node;
	uint64_t now_ns;
	uint64_t next_call;
	wl_out_t out;
	harness_target_t *targets;
	size_t target_count;
	uint64_t step_cpu_ns; /* processor time inside wl_node_step() */
	uint64_t steps;
	uint64_t tasks_started; /* start commands that targets received */
	uint64_t replies;
	uint64_t last_status;
	uint64_t messages; /* sent to other daemons */
	uint64_t message_bytes;
	uint64_t persisted_bytes;
	bool keep_tasks_running; /* if false, a task finishes with the next announce */
} harness_t;

void harness_init(harness_t *harness, size_t target_count, size_t customer_count);
void harness_free(harness_t *harness);
void harness_advance(harness_t *harness, uint64_t ms);
void harness_announce_all(harness_t *harness);
uint64_t harness_call(harness_t *harness, wl_listener_t listener, const char *method,
		      const char *path, const char *customer, const char *if_match, wl_str_t body);
void harness_put_lists(harness_t *harness, size_t customer_count, uint64_t base, uint64_t weight);
void harness_reset_counters(harness_t *harness);

#endif
