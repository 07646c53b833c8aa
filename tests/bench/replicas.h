#ifndef WL_BENCH_REPLICAS_H
#define WL_BENCH_REPLICAS_H

#include <libwlcore/model/event.h>

/* Five replicas in one process; each message and each sync takes one step of the clock. */

#define REPLICAS 5

/* Called for each HTTP call that a replica makes to a target. */
typedef void (*replicas_fetch_t)(size_t node, const wl_fetch_t *fetch, uint64_t now_ns);

bool replicas_init(replicas_fetch_t fetch);
void replicas_free(void);
void replicas_advance(uint64_t ns); /* advances the clock, delivers messages and ticks */
void replicas_call(size_t node, wl_listener_t listener, const char *method, const char *path,
		   wl_str_t body);
void replicas_answer(size_t node, uint64_t id, wl_str_t body);
uint64_t replicas_now_ns(void);
size_t replicas_leader(void); /* index of the leader; REPLICAS if there is none yet */
uint64_t replicas_cpu_ns(size_t node);
uint64_t replicas_sent_bytes(size_t node);
uint64_t replicas_log_lines(size_t node);
uint64_t replicas_calls_digest(void);	     /* hash of all replicas' HTTP calls, in order */
uint64_t replicas_idle_tick_ns(size_t node); /* processor time of a tick with nothing due */
void replicas_reset_counters(void);

#endif
