#ifndef WL_CONDITIONAL_H
#define WL_CONDITIONAL_H

#include <sys/queue.h>

#include <libwlcore/node/calls.h>

/*
 * Commands to the leader that are valid only if no other one for the same object came between.
 *
 * Such a command may have waited in a process that stood still, whose caller has gone on to another
 * daemon and has given further orders since. So the leader is asked for the basis of the object
 * first. Then the caller must still be there: what it orders elsewhere from then on changes the
 * basis. The command names the basis, and the leader refuses it if that has changed.
 */

typedef struct wl_conditional {
	uint64_t id;	 /* WL_PART_ID() of the call for the basis */
	uint64_t origin; /* WL_PART_ID() of the caller's component */
	uint64_t caller; /* HTTP call */
	uint64_t deadline_ns;
	bool has_basis; /* whether the caller is there is asked */
	wl_cmd_t cmd;
	TAILQ_ENTRY(wl_conditional) link;
} wl_conditional_t;

typedef struct wl_conditionals {
	uint64_t next_id;
	TAILQ_HEAD(wl_conditional_list, wl_conditional) open;
} wl_conditionals_t;

void wl_conditionals_init(wl_conditionals_t *conditionals);
void wl_conditionals_free(wl_conditionals_t *conditionals);
void wl_conditionals_add(wl_conditionals_t *conditionals, const wl_action_t *action, wl_out_t *out);
bool wl_conditionals_basis(wl_conditionals_t *conditionals, const wl_event_t *result,
			   wl_call_outcome_t *outcome, wl_out_t *out);
bool wl_conditionals_caller(wl_conditionals_t *conditionals, uint64_t caller, bool present,
			    wl_call_outcome_t *outcome, wl_out_t *out);

#endif
