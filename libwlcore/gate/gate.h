#ifndef WL_GATE_H
#define WL_GATE_H

#include <libwlcore/agent/reports.h>
#include <libwlcore/model/dialect.h>
#include <libwlcore/node/session.h>

/* HTTP calls in a dialect: parses them, forwards them to the leader and sends the answers. */

typedef struct wl_gate_options {
	const wl_dialect_t *dialect;
	const wl_session_t *session;
	wl_metrics_t *metrics;
	bool entry;	       /* an entry is ready only with a valid session */
	uint16_t control_port; /* port of all replicas' control listeners; 0: not sent to targets */
	/* Chooses what becomes of a target's report; NULL: all go to the leader. */
	wl_report_route_t (*report_route)(void *context, uint64_t now_ns,
					  const wl_runner_report_t *report);
	/* Called when the leader acknowledged a report sent to it at @sent_ns; may be NULL. */
	void (*report_acknowledged)(void *context, uint64_t sent_ns);
	void *context; /* argument of both callbacks */
} wl_gate_options_t;

typedef struct wl_gate wl_gate_t;

wl_gate_t *wl_gate_new(const wl_gate_options_t *options);
void wl_gate_free(wl_gate_t *gate);
void wl_gate_step(wl_gate_t *gate, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_gate_drain(wl_gate_t *gate);
size_t wl_gate_open(const wl_gate_t *gate);

#endif
