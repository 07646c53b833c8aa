#ifndef WL_JOB_INTERNAL_H
#define WL_JOB_INTERNAL_H

#include "jobs.h"

/* Declarations shared by the files of the job state only. */

extern const wl_schema_t wl_job_task_row_schema;

/* jobs.c */
void wl_jobs_add(wl_jobs_t *jobs, const wl_cmd_job_add_t *cmd, uint64_t clock_ms,
		 wl_result_t *result);
void wl_jobs_cancel(wl_jobs_t *jobs, const wl_cmd_job_cancel_t *cmd, uint64_t clock_ms,
		    wl_result_t *result);
void wl_job_end(wl_jobs_t *jobs, wl_job_t *job, wl_job_state_t state, uint64_t clock_ms);

/* cancellations.c */
void wl_job_cancellation_add(wl_jobs_t *jobs, wl_str_t address, uint64_t clock_ms);
void wl_job_cancellations_expire(wl_jobs_t *jobs, uint64_t clock_ms);
void wl_job_cancellations_clear(wl_jobs_t *jobs);

/* lapses.c */
void wl_lapse_end_add(wl_jobs_t *jobs, const wl_runner_t *runner, const wl_run_end_t *end,
		      uint64_t clock_ms);
void wl_lapses_over(wl_jobs_t *jobs, const wl_list_t *over);
void wl_lapses_expire(wl_jobs_t *jobs, uint64_t clock_ms);
void wl_lapses_clear(wl_jobs_t *jobs);

/* runs.c */
void wl_task_done(wl_job_t *job, uint64_t task);
void wl_run_remove(wl_jobs_t *jobs, wl_run_t *run);
void wl_jobs_runs_start(wl_jobs_t *jobs, const wl_cmd_runs_start_t *cmd, uint64_t clock_ms,
			wl_result_t *result);
void wl_jobs_runs_end(wl_jobs_t *jobs, const wl_cmd_runs_end_t *cmd, uint64_t clock_ms,
		      wl_result_t *result);

/* crashes.c */
uint64_t wl_runner_crash(wl_jobs_t *jobs, wl_runner_t *runner, uint64_t incarnation);
bool wl_task_crashed(wl_jobs_t *jobs, wl_job_t *job, const wl_run_end_t *end, uint64_t crash);
void wl_task_crashes_clear(wl_jobs_t *jobs, wl_job_t *job, const wl_run_end_t *end);
void wl_task_sound(wl_jobs_t *jobs, wl_job_t *job, const wl_run_sound_t *sound);
void wl_task_crashes_restore(wl_jobs_t *jobs, wl_job_t *job, uint64_t task,
			     const wl_task_crashes_t *crashes);

/* runners.c */
void wl_runner_remove(wl_jobs_t *jobs, wl_runner_t *runner);
void wl_runners_expire(wl_jobs_t *jobs, uint64_t clock_ms);
void wl_jobs_runner_put(wl_jobs_t *jobs, const wl_runner_report_t *report, uint64_t clock_ms,
			wl_result_t *result);

#endif
