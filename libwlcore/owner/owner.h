#ifndef WL_OWNER_H
#define WL_OWNER_H

#include <libwlbase/chart.h>
#include <libwlcore/model/event.h>
#include <libwlcore/owner/ledger.h>
#include <libwlcore/node/session.h>
#include <libwlcore/node/view.h>

/*
 * The targets of one entry: their announces, adoption and leases, and the
 * starts, throttles, evictions and results of the work on them.
 */

typedef struct wl_owner_options {
	wl_str_t entry; /* name of this daemon */
	wl_ledger_t *ledger;
	const wl_view_t *view;
	const wl_session_t *session;
	wl_metrics_t *metrics;
	const wl_chart_t *chart; /* the chart named "target" */
	wl_str_t eviction;	 /* name of the eviction policy */
	uint64_t announce_ms;	 /* announce interval that targets are told */
	uint64_t silence_ms;	 /* without an announce for so long a target gets no new work */
	uint64_t lease_ms;	 /* lease of a task, from the announce that its renewal echoes */
	uint64_t session_ms;	 /* longest validity of a session */
	uint64_t grace_ms; /* time after the end of the session in which leases are still renewed */
	uint64_t drift_ms;
	uint64_t offer_ms;
	uint64_t seed;
} wl_owner_options_t;

typedef struct wl_owner wl_owner_t;

wl_owner_t *wl_owner_new(const wl_owner_options_t *options, uint64_t now_ns, wl_err_t *err);
void wl_owner_free(wl_owner_t *owner);
void wl_owner_step(wl_owner_t *owner, uint64_t now_ns, const wl_event_t *event, wl_out_t *out);

/* Frees capacity for urgent work that is waiting for it, by throttling or evicting batch work. */
void wl_owner_relieve_pressure(wl_owner_t *owner, wl_str_t service, uint64_t now_ns, wl_out_t *out);

/* Records the outcome and latency of a request that has ended. */
void wl_owner_record_request(wl_owner_t *owner, wl_target_t *target, wl_str_t service, bool ok,
			     uint64_t took_ns, uint64_t now_ns, wl_out_t *out);

extern const wl_chart_binding_t wl_target_chart_binding;

#endif
