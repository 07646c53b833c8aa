#ifndef WL_LEADER_H
#define WL_LEADER_H

#include <libwlcore/model/event.h>
#include <libwlcore/state/state.h>

/* What only the leader does: sessions, in-force, ownership, placement. */

typedef struct wl_leader_options {
	wl_str_t entry; /* own daemon name */
	wl_state_t *state;
	wl_metrics_t *metrics;
	wl_str_t placement;  /* name of the policy */
	uint64_t session_ms; /* validity of a session */
	uint64_t drift_ms;
	uint64_t grace_ms;
	uint64_t lease_ms;
	uint64_t long_share_permille; /* slots of a rack that long work may hold while short work
					 waits */
	uint64_t long_ms;	      /* run time from which work is long */
	uint64_t seed;
} wl_leader_options_t;

typedef struct wl_leader wl_leader_t;

wl_leader_t *wl_leader_new(const wl_leader_options_t *options, uint64_t now_ns, wl_err_t *err);
void wl_leader_free(wl_leader_t *leader);
void wl_leader_replicas_set(wl_leader_t *leader, const wl_list_t *names);
uint64_t wl_leader_clock_ms(const wl_leader_t *leader, uint64_t now_ns);
void wl_leader_step(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event, wl_out_t *out);

#endif
