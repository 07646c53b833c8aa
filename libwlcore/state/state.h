#ifndef WL_STATE_H
#define WL_STATE_H

#include <libwlbase/chart.h>
#include <libwlcore/model/cmd.h>
#include <libwlcore/model/lists.h>
#include <libwlcore/model/msg.h>

/*
 * The replicated state: lists, sessions, ownership, tasks, idempotency keys and jobs.  It is
 * deterministic: replicas that apply the same commands have the same state.
 */

typedef struct wl_state_options {
	const wl_chart_t *task_chart;
	uint64_t key_keep_ms;  /* retention of idempotency keys and their outcomes */
	uint64_t task_keep_ms; /* retention of ended tasks */
	uint64_t job_keep_ms;  /* retention of ended jobs */
	uint64_t change_keep;  /* number of answers to list changes that are kept for resends */
	uint64_t max_attempts; /* failures on different targets after which a task is refused */
	uint64_t max_tasks;    /* tasks queued or running */
} wl_state_options_t;

typedef struct wl_state wl_state_t;
struct wl_jobs;

wl_state_t *wl_state_new(const wl_state_options_t *options, wl_err_t *err);
void wl_state_free(wl_state_t *state);
void wl_state_apply(wl_state_t *state, uint64_t index, const wl_cmd_t *cmd, wl_result_t *result);
void wl_state_pack(const wl_state_t *state, wl_buf_t *out);
bool wl_state_unpack(wl_state_t *state, wl_str_t bytes, wl_err_t *err);
struct wl_jobs *wl_state_jobs(wl_state_t *state);
uint64_t wl_state_clock_ms(const wl_state_t *state);
uint64_t wl_state_revision(const wl_state_t *state);
bool wl_state_entries_cooperate(const wl_state_t *state);
void wl_state_view(const wl_state_t *state, uint64_t revision_have, uint64_t owners_have,
		   wl_msg_view_t *view);

extern const wl_chart_binding_t wl_task_chart_binding;

#endif
