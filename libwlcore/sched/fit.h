#ifndef WL_FIT_H
#define WL_FIT_H

#include <libwlcore/model/job.h>
#include <libwlcore/model/model.h>

/* Choice of a target for a task. Pure functions; the policies are interchangeable. */

/* A target, as placement sees it. */
typedef struct wl_fit_runner {
	wl_str_t service;
	wl_str_t rack;
	const wl_list_t *labels; /* strings; NULL: unknown */
	wl_need_t capacity;
	wl_need_t used;		     /* reserved; without the CPU of best-effort tasks */
	uint64_t best_effort_millis; /* CPU that best-effort tasks ask for */
	uint64_t serving;	 /* number of lasting tasks with a bound on their tail latency */
	uint64_t serving_millis; /* CPU reserved for these */
	uint64_t other_image_millis; /* CPU reserved for those of another image */
	uint64_t same_step;	     /* tasks of the requested step on this target */
	/* best effort: forecast of the worst tail latency with the task, permille of the bound */
	uint64_t tail_permille;
	uint64_t background;	/* runs in the background */
	uint64_t warmup_millis; /* CPU withheld from short tasks while it warms up; 0: it is warm */
	bool usable;		/* reachable, not draining, not quarantined */
} wl_fit_runner_t;

/* A request to place a task. */
typedef struct wl_fit_request {
	const wl_step_spec_t *step;
	wl_str_t service;
	wl_str_t rack;	    /* same_rack: rack of the step's first task; empty: none yet */
	uint64_t waited_ms; /* how long the step has had pending tasks */
	bool background;    /* best effort: no forecast forbids a target */
} wl_fit_request_t;

/*
 * Largest free amount of each resource on any usable target, each possibly of another
 * target. A task that needs more fits on none.
 */
typedef struct wl_fit_free {
	int64_t cpu_millis;
	int64_t best_effort_millis;
	int64_t memory_mib;
} wl_fit_free_t;

typedef struct wl_fit_policy {
	const char *name;
	/* Higher is better. Called only for targets that fit. */
	int64_t (*score)(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
} wl_fit_policy_t;

const wl_fit_policy_t *wl_fit_policy_find(wl_str_t name);
void wl_fit_free_add(wl_fit_free_t *free_max, const wl_fit_runner_t *runner);
bool wl_fit_free_suffices(const wl_fit_free_t *free_max, const wl_fit_request_t *request);
bool wl_fit_has_capacity(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
uint64_t wl_fit_tail_limit(const wl_fit_request_t *request);
bool wl_fit_allows(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
bool wl_fit_fits(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
/*
 * Returns whether a target has the label that a step requires, if it requires one; inline because
 * placement asks it of many targets.
 */
static inline bool wl_fit_has_label(const wl_step_spec_t *step, const wl_fit_runner_t *runner)
{
	wl_str_t label = wl_buf_str(&step->label);

	return label.len == 0 || (runner->labels && wl_strings_contain(runner->labels, label));
}

bool wl_fit_is_remote(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
bool wl_fit_eligible(const wl_fit_request_t *request, const wl_fit_runner_t *runner);

#endif
