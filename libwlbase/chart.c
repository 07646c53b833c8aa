/* State charts: read from JSON, checked against their binding, and run by events. */

#include "chart.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

/* The transition of one state by one event. */
typedef struct edge {
	bool known; /* handled or ignored by the chart */
	bool ignored;
	uint64_t to;
	wl_chart_guard_t guard;
	wl_chart_action_t action;
} edge_t;

struct wl_chart {
	const wl_chart_binding_t *binding;
	size_t states;
	size_t events;
	uint64_t initial;
	edge_t *edges; /* states x events, by state first */
};

static size_t names_count(const char *const *names)
{
	size_t count = 0;

	while (names[count])
		count++;
	return count;
}

static bool name_index(const char *const *names, const char *name, uint64_t *index)
{
	for (size_t i = 0; name && names[i]; i++) {
		if (strcmp(names[i], name) != 0)
			continue;
		*index = i;
		return true;
	}
	return false;
}

static bool fail(const wl_chart_t *chart, wl_err_t *err, const char *what, const char *name)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "chart %s: %s: %s", chart->binding->name,
			  what, name ? name : "(none)");
}

static edge_t *chart_edge(const wl_chart_t *chart, uint64_t state, uint64_t event)
{
	return &chart->edges[state * chart->events + event];
}

static bool bind_guard(const wl_chart_t *chart, const json_t *json, edge_t *edge, wl_err_t *err)
{
	const char *name = json_string_value(json);

	if (!json)
		return true;
	for (size_t i = 0; name && i < chart->binding->guard_count; i++) {
		if (strcmp(chart->binding->guards[i].name, name) != 0)
			continue;
		edge->guard = chart->binding->guards[i].guard;
		return true;
	}
	return fail(chart, err, "unknown guard", name);
}

static bool bind_action(const wl_chart_t *chart, const json_t *json, edge_t *edge, wl_err_t *err)
{
	const char *name = json_string_value(json);

	if (!json)
		return true;
	for (size_t i = 0; name && i < chart->binding->action_count; i++) {
		if (strcmp(chart->binding->actions[i].name, name) != 0)
			continue;
		edge->action = chart->binding->actions[i].action;
		return true;
	}
	return fail(chart, err, "unknown action", name);
}

static bool edge_keys(const wl_chart_t *chart, json_t *json, wl_err_t *err)
{
	const char *key;
	json_t *value;

	if (!json_is_object(json))
		return fail(chart, err, "a transition is not an object", NULL);
	json_object_foreach(json, key,
			    value) if (strcmp(key, "to") != 0 && strcmp(key, "guard") != 0 &&
				       strcmp(key, "action") !=
					       0) return fail(chart, err,
							      "unknown field of a transition", key);
	return true;
}

static bool load_state(wl_chart_t *chart, uint64_t state, json_t *json, wl_err_t *err)
{
	const char *event_name;
	json_t *value;

	if (!json_is_object(json))
		return fail(chart, err, "not an object", chart->binding->states[state]);
	json_object_foreach(json, event_name, value)
	{
		uint64_t event;
		edge_t *edge;

		if (!name_index(chart->binding->events, event_name, &event))
			return fail(chart, err, "unknown event", event_name);
		if (!edge_keys(chart, value, err))
			return false;
		edge = chart_edge(chart, state, event);
		edge->known = true;
		if (!name_index(chart->binding->states,
				json_string_value(json_object_get(value, "to")), &edge->to))
			return fail(chart, err, "transition to an unknown state", event_name);
		if (!bind_guard(chart, json_object_get(value, "guard"), edge, err) ||
		    !bind_action(chart, json_object_get(value, "action"), edge, err))
			return false;
	}
	return true;
}

static bool load_states(wl_chart_t *chart, json_t *states, wl_err_t *err)
{
	const char *name;
	json_t *value;

	if (!json_is_object(states))
		return fail(chart, err, "missing field", "states");
	json_object_foreach(states, name, value)
	{
		uint64_t state;

		if (!name_index(chart->binding->states, name, &state))
			return fail(chart, err, "unknown state", name);
		if (!load_state(chart, state, value, err))
			return false;
	}
	for (size_t i = 0; i < chart->states; i++)
		if (!json_object_get(states, chart->binding->states[i]))
			return fail(chart, err, "missing state", chart->binding->states[i]);
	return true;
}

static bool load_ignored(wl_chart_t *chart, json_t *ignore, wl_err_t *err)
{
	const char *name;
	json_t *events;
	json_t *item;
	size_t i;

	if (!ignore)
		return true;
	if (!json_is_object(ignore))
		return fail(chart, err, "not an object", "ignore");
	json_object_foreach(ignore, name, events)
	{
		uint64_t state;

		if (!name_index(chart->binding->states, name, &state))
			return fail(chart, err, "ignore in an unknown state", name);
		json_array_foreach(events, i, item)
		{
			uint64_t event;
			edge_t *edge;

			if (!name_index(chart->binding->events, json_string_value(item), &event))
				return fail(chart, err, "unknown event", json_string_value(item));
			edge = chart_edge(chart, state, event);
			if (edge->known)
				return fail(chart, err, "both handled and ignored",
					    json_string_value(item));
			edge->known = true;
			edge->ignored = true;
			edge->to = state;
		}
	}
	return true;
}

static bool check_complete(const wl_chart_t *chart, wl_err_t *err)
{
	for (uint64_t s = 0; s < chart->states; s++)
		for (uint64_t e = 0; e < chart->events; e++) {
			if (chart_edge(chart, s, e)->known)
				continue;
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "chart %s: missing transition: %s in %s",
					  chart->binding->name, chart->binding->events[e],
					  chart->binding->states[s]);
		}
	return true;
}

static bool check_reachable(const wl_chart_t *chart, wl_err_t *err)
{
	bool *seen = wl_alloc(chart->states * sizeof(*seen));
	bool grew = true;
	bool ok = true;

	seen[chart->initial] = true;
	while (grew) {
		grew = false;
		for (uint64_t s = 0; s < chart->states; s++)
			for (uint64_t e = 0; seen[s] && e < chart->events; e++) {
				uint64_t to = chart_edge(chart, s, e)->to;

				grew = grew || !seen[to];
				seen[to] = true;
			}
	}
	for (uint64_t s = 0; s < chart->states && ok; s++)
		if (!seen[s])
			ok = fail(chart, err, "unreachable state", chart->binding->states[s]);
	free(seen);
	return ok;
}

static bool check_keys(const wl_chart_t *chart, json_t *json, wl_err_t *err)
{
	static const char *const known[] = {"chart", "initial", "states", "ignore", NULL};
	const char *key;
	json_t *value;
	uint64_t index;

	json_object_foreach(json, key, value) if (!name_index(known, key, &index)) return fail(
		chart, err, "unknown field", key);
	return true;
}

static bool load(wl_chart_t *chart, json_t *json, wl_err_t *err)
{
	const char *name = json_string_value(json_object_get(json, "chart"));
	const char *initial = json_string_value(json_object_get(json, "initial"));

	if (!check_keys(chart, json, err))
		return false;
	if (!name || strcmp(name, chart->binding->name) != 0)
		return fail(chart, err, "file is of another chart", name);
	if (!name_index(chart->binding->states, initial, &chart->initial))
		return fail(chart, err, "unknown initial state", initial);
	return load_states(chart, json_object_get(json, "states"), err) &&
	       load_ignored(chart, json_object_get(json, "ignore"), err) &&
	       check_complete(chart, err) && check_reachable(chart, err);
}

/*
 * wl_chart_load - read and check a chart
 * @binding: what the code implements of the chart; must outlive it
 * @text: JSON
 * @err: WL_E_BAD_INPUT, with the names of the chart and of the invalid item
 *
 * Return: the chart, or NULL.
 */
wl_chart_t *wl_chart_load(const wl_chart_binding_t *binding, wl_str_t text, wl_err_t *err)
{
	json_error_t at;
	json_t *json = json_loadb(text.len ? text.at : "", text.len, JSON_REJECT_DUPLICATES, &at);
	wl_chart_t *chart;
	bool ok;

	if (!json) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "chart %s: JSON, line %d: %.120s",
			   binding->name, at.line, at.text);
		return NULL;
	}

	chart = wl_alloc(sizeof(*chart));
	chart->binding = binding;
	chart->states = names_count(binding->states);
	chart->events = names_count(binding->events);
	chart->edges = wl_alloc(chart->states * chart->events * sizeof(*chart->edges));
	ok = load(chart, json, err);
	json_decref(json);
	if (ok)
		return chart;
	wl_chart_free(chart);
	return NULL;
}

/*
 * wl_chart_free - release a chart
 */
void wl_chart_free(wl_chart_t *chart)
{
	if (!chart)
		return;
	free(chart->edges);
	free(chart);
}

/*
 * wl_chart_initial - get the number of the initial state
 */
uint64_t wl_chart_initial(const wl_chart_t *chart)
{
	return chart->initial;
}

/*
 * wl_chart_step - apply an event to a subject
 * @state: state number of the subject; changes on WL_CHART_MOVED, before the action runs
 * @event: event number in the binding
 * @subject: passed to the guard and the action
 */
wl_chart_outcome_t wl_chart_step(const wl_chart_t *chart, uint64_t *state, uint64_t event,
				 void *subject)
{
	const edge_t *edge = chart_edge(chart, *state, event);

	if (edge->ignored)
		return WL_CHART_IGNORED;
	if (edge->guard && !edge->guard(subject))
		return WL_CHART_REFUSED;
	*state = edge->to;
	if (edge->action)
		edge->action(subject);
	return WL_CHART_MOVED;
}
