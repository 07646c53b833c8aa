#ifndef WL_LOCALITY_WAIT_H
#define WL_LOCALITY_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How long a task waits for a place near its data, or near the other tasks of its step.
 *
 * Decides between a start elsewhere now, which takes longer, and a start near later, from learnt
 * run times and from when a place near is expected to be free.  Answers load at which the targets
 * near are full while others have room.
 */

/* How long tasks run compared with their estimates, on one side. */
typedef struct wl_locality_side {
	uint64_t factor_permille;
	uint64_t samples;
} wl_locality_side_t;

typedef struct wl_locality {
	wl_locality_side_t near;
	wl_locality_side_t far;
} wl_locality_t;

/* A task that could start elsewhere now. */
typedef struct wl_locality_task {
	uint64_t estimated_ms;
	uint64_t waited_ms; /* since it could first have started elsewhere */
	uint64_t free_ms;   /* until a place near is expected to be free; UINT64_MAX: unknown */
} wl_locality_task_t;

void wl_locality_learn(wl_locality_t *locality, bool near, uint64_t estimated_ms, uint64_t ran_ms);
uint64_t wl_locality_run_ms(const wl_locality_t *locality, uint64_t estimated_ms);
uint64_t wl_locality_loss_ms(const wl_locality_t *locality, uint64_t estimated_ms);
uint64_t wl_locality_wait_ms(const wl_locality_t *locality, const wl_locality_task_t *task);

#endif
