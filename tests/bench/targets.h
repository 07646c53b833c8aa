#ifndef WL_BENCH_TARGETS_H
#define WL_BENCH_TARGETS_H

#include <libwlcore/model/event.h>

/* Simulated targets: they start what they are told to, and answer at once. */

#define TARGETS_MOST 2000

/* Called with each answer; the body is valid during the call. */
typedef void (*targets_answer_t)(size_t node, uint64_t id, wl_str_t body);

void targets_init(size_t count, targets_answer_t to);
void targets_free(void);
void targets_take(size_t node, const wl_fetch_t *fetch, uint64_t now_ns);
void targets_play(uint64_t now_ns);
uint64_t targets_starts(void);
uint64_t targets_holds(void);
uint64_t targets_running(void);

#endif
