#ifndef WL_CHART_H
#define WL_CHART_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <libwlbase/err.h>
#include <libwlbase/str.h>

/*
 * A state chart: a finite state machine read from JSON, which gives for each state and event the
 * next state, a guard that may refuse the transition and an action that it runs:
 *
 *   {"chart": "task", "initial": "queued",
 *    "states": {"queued": {"assign": {"to": "assigned", "guard": "has_room", "action": "start"}},
 *               "done": {}},
 *    "ignore": {"done": ["cancel"]}}
 *
 * Every event of the binding must be handled or ignored in every state, every
 * state must be reachable, and every guard and action must be in the binding.
 */

typedef bool (*wl_chart_guard_t)(const void *subject);
typedef void (*wl_chart_action_t)(void *subject);

typedef struct wl_chart_guard_binding {
	const char *name;
	wl_chart_guard_t guard;
} wl_chart_guard_binding_t;

typedef struct wl_chart_action_binding {
	const char *name;
	wl_chart_action_t action;
} wl_chart_action_binding_t;

/*
 * What the code implements of a chart.  A state or an event has its index in the
 * table as its number; a guard or an action is found by its name.
 */
typedef struct wl_chart_binding {
	const char *name;
	const char *const *states; /* NULL-terminated; index = state number */
	const char *const *events; /* NULL-terminated; index = event number */
	const wl_chart_guard_binding_t *guards;
	size_t guard_count;
	const wl_chart_action_binding_t *actions;
	size_t action_count;
} wl_chart_binding_t;

typedef enum wl_chart_outcome {
	WL_CHART_MOVED,
	WL_CHART_IGNORED, /* listed under ignore */
	WL_CHART_REFUSED, /* the guard returned false */
} wl_chart_outcome_t;

typedef struct wl_chart wl_chart_t;

wl_chart_t *wl_chart_load(const wl_chart_binding_t *binding, wl_str_t text, wl_err_t *err);
void wl_chart_free(wl_chart_t *chart);
uint64_t wl_chart_initial(const wl_chart_t *chart);
wl_chart_outcome_t wl_chart_step(const wl_chart_t *chart, uint64_t *state, uint64_t event,
				 void *subject);

#endif
