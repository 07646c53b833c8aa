#ifndef WL_INTAKE_H
#define WL_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Account of the memory that the connections of a listener hold.
 *
 * Decides which connection is closed when the account or the number of connections is at its limit,
 * and which request is refused, from what each connection holds and for how long.  Answers the load
 * of callers that nobody controls: many bodies or headers at once that stop short of their end.
 */

typedef struct wl_intake_options {
	uint64_t limit_bytes;
	uint64_t small_bytes;	   /* requests that hold no more may use all of the limit */
	uint64_t connection_bytes; /* buffers of each connection, counted beside what it holds */
	size_t max_connections;
} wl_intake_options_t;

typedef enum wl_intake_phase {
	WL_INTAKE_IDLE,	     /* no request, or its headers are incomplete */
	WL_INTAKE_READING,   /* its body is incomplete */
	WL_INTAKE_WHOLE,     /* its request is whole and not answered: it is never closed */
	WL_INTAKE_ANSWERING, /* its answer is being sent */
	WL_INTAKE_PHASES
} wl_intake_phase_t;

extern const char *const wl_intake_phase_names[];

typedef struct wl_intake_connection {
	uint64_t bytes; /* held beside the buffers of the connection */
	wl_intake_phase_t phase;
	uint64_t since_ns; /* when the phase began */
	bool closing;	   /* chosen to be closed */
	TAILQ_ENTRY(wl_intake_connection) link;
} wl_intake_connection_t;

typedef struct wl_intake {
	wl_intake_options_t options;
	uint64_t bytes; /* of all connections that are not chosen to be closed */
	size_t count;	/* connections, with those */
	size_t closing;
	uint64_t closed[WL_INTAKE_PHASES]; /* chosen so far, by their phase */
	TAILQ_HEAD(wl_intake_connections, wl_intake_connection) connections;
} wl_intake_t;

void wl_intake_init(wl_intake_t *intake, const wl_intake_options_t *options);
void wl_intake_open(wl_intake_t *intake, wl_intake_connection_t *connection, uint64_t now_ns);
void wl_intake_close(wl_intake_t *intake, wl_intake_connection_t *connection);
void wl_intake_hold(wl_intake_t *intake, wl_intake_connection_t *connection, uint64_t bytes);
void wl_intake_phase_set(wl_intake_t *intake, wl_intake_connection_t *connection,
			 wl_intake_phase_t phase, uint64_t now_ns);
bool wl_intake_has_room(const wl_intake_t *intake, const wl_intake_connection_t *connection,
			uint64_t bytes);
bool wl_intake_is_crowded(const wl_intake_t *intake);
wl_intake_connection_t *wl_intake_choose(wl_intake_t *intake, uint64_t now_ns);
void wl_intake_give_up(wl_intake_t *intake, wl_intake_connection_t *connection);

#endif
