#ifndef WL_ORDERING_H
#define WL_ORDERING_H

#include <libwlbase/str.h>

#include <stdbool.h>
#include <stdint.h>

/* In which order waiting work is placed: pure, and compared by policies. */

/* Waiting tasks of one step, as the order sees them; times on the group's clock. */
typedef struct wl_ordering_item {
	uint64_t priority;	   /* of the queue; 0 first */
	uint64_t since_ms;	   /* accepted, or due */
	uint64_t deadline_ms;	   /* until when the job is on time; 0: it has no end */
	uint64_t remaining_ms;	   /* longest chain of what is not done, as estimated */
	uint64_t interrupted_ms;   /* lasting: since its last run ended; 0: it has had none */
	uint64_t lasting_permille; /* of the targets' processors: what lasting tasks reserve */
	uint64_t lasting_wanted_permille; /* and with those whose runs ended */
	bool lasting;			  /* runs until it is cancelled */
	bool started;			  /* a task of the job has begun */
} wl_ordering_item_t;

typedef struct wl_ordering_policy {
	const char *name;
	/* Lower goes first; equal ones in the order in which they came. */
	uint64_t (*rank)(const wl_ordering_item_t *item, uint64_t now_ms);
} wl_ordering_policy_t;

const wl_ordering_policy_t *wl_ordering_policy_find(wl_str_t name);

#endif
