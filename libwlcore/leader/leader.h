#ifndef WL_LEADER_H
#define WL_LEADER_H

#include <libwlcore/model/event.h>
#include <libwlcore/state/state.h>

/*
 * The leader's duties: sessions of entries, tracking of which list revision is in force,
 * ownership of targets, and placement of tasks.
 */

typedef struct wl_leader_options {
	wl_str_t entry; /* own daemon name */
	wl_state_t *state;
	wl_metrics_t *metrics;
	wl_str_t placement;  /* name of the policy */
	uint64_t session_ms; /* validity of a session */
	uint64_t drift_ms;   /* margin for clock drift between leader and entry */
	uint64_t grace_ms;
	uint64_t lease_ms;
	uint64_t long_share_permille; /* share of a rack's slots that long tasks may hold while
					 short tasks are queued */
	uint64_t long_ms;	      /* expected run time from which a task is long */
	uint64_t seed;
} wl_leader_options_t;

typedef struct wl_leader wl_leader_t;

wl_leader_t *wl_leader_new(const wl_leader_options_t *options, uint64_t now_ns, wl_err_t *err);
void wl_leader_free(wl_leader_t *leader);
void wl_leader_replicas_set(wl_leader_t *leader, const wl_list_t *names);
uint64_t wl_leader_clock_ms(const wl_leader_t *leader, uint64_t now_ns);
bool wl_leader_has_zone(const wl_leader_t *leader, wl_str_t availability_zone);
void wl_leader_step(wl_leader_t *leader, uint64_t now_ns, const wl_event_t *event, wl_out_t *out);

#endif
