#ifndef WL_AGENT_H
#define WL_AGENT_H

#include <libwlbase/counter.h>
#include <libwlcore/model/dialect.h>

/*
 * Sends the leader's orders to targets and reports their results to it. Every replica has
 * an agent. It makes no decisions and stores nothing persistently.
 */

typedef struct wl_agent_options {
	const wl_dialect_t *dialect;
	const wl_raft_t *raft; /* for the current term */
	wl_metrics_t *metrics;
	uint64_t calls_max; /* limit of orders in flight; 0: the default */
} wl_agent_options_t;

typedef struct wl_agent wl_agent_t;

wl_agent_t *wl_agent_new(const wl_agent_options_t *options);
void wl_agent_free(wl_agent_t *agent);
void wl_agent_step(wl_agent_t *agent, uint64_t now_ns, const wl_event_t *event, wl_out_t *out);

#endif
