#ifndef WL_BENCH_TARGETS_H
#define WL_BENCH_TARGETS_H

#include <libwlcore/model/event.h>

/* Simulated targets, which start each task that they receive and answer at once. */

#define TARGETS_MAX 10000

/* Called for each answer; the body is valid only during the call. */
typedef void (*targets_on_answer_t)(size_t node, uint64_t id, wl_str_t body);

void targets_init(size_t count, targets_on_answer_t callback);
void targets_free(void);
void targets_receive(size_t node, const wl_fetch_t *fetch, uint64_t now_ns);
void targets_advance(uint64_t now_ns);
uint64_t targets_starts(void);
uint64_t targets_holds(void);
uint64_t targets_running(void);

#endif
