#ifndef WL_ORDERING_H
#define WL_ORDERING_H

#include <libwlbase/str.h>

#include <stdbool.h>
#include <stdint.h>

/* Order in which pending work is placed. Pure functions; the policies are interchangeable. */

/* Pending tasks of one step, as seen by the policies; times on the Raft group's clock. */
typedef struct wl_ordering_item {
	uint64_t priority;    /* of the queue; 0 is the most urgent */
	uint64_t since_ms;    /* when the job was accepted, or the occurrence due */
	uint64_t deadline_ms; /* latest end of a job that is on time; 0: none, the job has no end */
	uint64_t remaining_ms;	   /* longest chain of steps that are not done, by their estimated
				      durations */
	uint64_t interrupted_ms;   /* lasting: time since its last run ended; 0: it has not run */
	uint64_t lasting_permille; /* of the usable targets' CPU: reserved by lasting tasks */
	/* lasting_permille if the interrupted lasting tasks were placed too */
	uint64_t lasting_wanted_permille;
	bool lasting; /* runs until it is cancelled */
	bool started; /* a task of the job has started */
} wl_ordering_item_t;

typedef struct wl_ordering_policy {
	const char *name;
	/* Lower ranks are placed first; equal ranks in the order of arrival. */
	uint64_t (*rank)(const wl_ordering_item_t *item, uint64_t now_ms);
} wl_ordering_policy_t;

const wl_ordering_policy_t *wl_ordering_policy_find(wl_str_t name);
bool wl_ordering_expired(uint64_t rank);
uint64_t wl_ordering_late_ms(uint64_t allowed_ms);

#endif
