#ifndef WL_GATE_H
#define WL_GATE_H

#include <libwlcore/model/dialect.h>
#include <libwlcore/node/session.h>

/* HTTP calls in a dialect: understood, carried to the leader, answered. */

typedef struct wl_gate_options {
	const wl_dialect_t *dialect;
	const wl_session_t *session;
	wl_metrics_t *metrics;
	bool entry;	       /* else there is no session to be ready by */
	uint16_t control_port; /* of every replica's control listener; 0: targets are not told */
	/* True: the report says nothing new and needs no leader; NULL: all reports do. */
	bool (*report_known)(void *context, uint64_t now_ns, const wl_runner_report_t *report);
	/* The leader has acknowledged a report that was sent to it then; NULL: not asked for. */
	void (*report_carried)(void *context, uint64_t sent_ns);
	void *context; /* of both */
} wl_gate_options_t;

typedef struct wl_gate wl_gate_t;

wl_gate_t *wl_gate_new(const wl_gate_options_t *options);
void wl_gate_free(wl_gate_t *gate);
void wl_gate_step(wl_gate_t *gate, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_gate_drain(wl_gate_t *gate);
size_t wl_gate_open(const wl_gate_t *gate);

#endif
