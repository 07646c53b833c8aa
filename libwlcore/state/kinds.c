/* Moving averages of resource use and run time by kind of task, in the replicated state. */

#include "internal.h"

#include <stdlib.h>

#define AVERAGE_DIVISOR 8 /* a sample moves an average by 1/8 of the difference */

/* Returns the averages of a kind, or NULL if there is no sample. */
wl_state_kind_t *wl_state_kind_find(const wl_state_t *state, wl_str_t name)
{
	return wl_map_get(&state->by_kind, name);
}

/* Adds a kind without samples. */
wl_state_kind_t *wl_state_kind_add(wl_state_t *state, wl_str_t name)
{
	wl_state_kind_t *kind = wl_alloc(sizeof(*kind));

	wl_buf_set(&kind->name, name);
	kind->key = wl_buf_str(&kind->name);
	wl_map_put(&state->by_kind, kind);
	TAILQ_INSERT_TAIL(&state->kinds, kind, link);
	return kind;
}

static void average_update(uint64_t *average, uint64_t sample)
{
	if (sample == 0)
		return;
	if (*average == 0)
		*average = sample;
	else if (sample > *average)
		*average += (sample - *average + AVERAGE_DIVISOR - 1) / AVERAGE_DIVISOR;
	else
		*average -= (*average - sample) / AVERAGE_DIVISOR;
}

/* Adds the sample of a finished attempt to the averages of its kind. */
void wl_state_kind_add_sample(wl_state_t *state, wl_str_t name, const wl_report_t *report)
{
	wl_state_kind_t *kind = wl_state_kind_find(state, name);

	if (!kind)
		kind = wl_state_kind_add(state, name);
	kind->samples++;
	average_update(&kind->run_ms, report->ran_ms);
	average_update(&kind->cpu_millis, report->cpu_millis);
	average_update(&kind->memory_mib, report->memory_mib);
}

void wl_state_kinds_clear(wl_state_t *state)
{
	wl_state_kind_t *kind;

	while ((kind = TAILQ_FIRST(&state->kinds))) {
		wl_map_remove(&state->by_kind, kind->key);
		TAILQ_REMOVE(&state->kinds, kind, link);
		wl_buf_free(&kind->name);
		free(kind);
	}
	wl_map_free(&state->by_kind);
}

/* Fills what a task needs on a target: the larger of declared and measured use, and one slot. */
void wl_state_need(const wl_state_t *state, const wl_task_spec_t *spec, wl_need_t *need)
{
	const wl_state_kind_t *kind = wl_state_kind_find(state, wl_buf_str(&spec->kind));

	*need = (wl_need_t){.cpu_millis = spec->cpu_millis,
			    .memory_mib = spec->memory_mib,
			    .accelerators = spec->accelerators,
			    .slots = 1};
	if (kind && kind->cpu_millis > need->cpu_millis)
		need->cpu_millis = kind->cpu_millis;
	if (kind && kind->memory_mib > need->memory_mib)
		need->memory_mib = kind->memory_mib;
}

/* Returns the measured run time of a task's kind, else the declared one; 0 if unknown. */
uint64_t wl_state_expected_ms(const wl_state_t *state, const wl_task_spec_t *spec)
{
	const wl_state_kind_t *kind = wl_state_kind_find(state, wl_buf_str(&spec->kind));

	return kind && kind->run_ms ? kind->run_ms : spec->run_ms;
}
