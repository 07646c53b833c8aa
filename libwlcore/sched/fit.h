#ifndef WL_FIT_H
#define WL_FIT_H

#include <libwlcore/model/job.h>
#include <libwlcore/model/model.h>

/* Which target a task goes to: pure, and compared by policies. */

/* A target as placement sees it. */
typedef struct wl_fit_runner {
	wl_str_t service;
	wl_str_t rack;
	const wl_list_t *labels; /* strings */
	wl_need_t capacity;
	wl_need_t used;		     /* reserved, best effort's processors left out */
	uint64_t best_effort_millis; /* processors that best-effort tasks ask for */
	uint64_t serving;	     /* lasting tasks with a bound on their tail latency */
	uint64_t serving_millis;     /* processors reserved for these */
	uint64_t other_image_millis; /* and for those of another image than the step's */
	uint64_t same_step;	     /* tasks of the step in question that run here */
	uint64_t tail_permille; /* best effort: worst tail here if it came, permille of the bound */
	bool usable;		/* heard of lately, not draining, not put aside */
} wl_fit_runner_t;

/* What is asked for. */
typedef struct wl_fit_request {
	const wl_step_spec_t *step;
	wl_str_t service;
	wl_str_t rack;	    /* same_rack: where the first one went; empty: none yet */
	uint64_t waited_ms; /* how long the step has had tasks that wait */
} wl_fit_request_t;

/* The most that any of some targets has left; nothing that needs more fits on one of them. */
typedef struct wl_fit_free {
	int64_t cpu_millis;
	int64_t best_effort_millis;
	int64_t memory_mib;
} wl_fit_free_t;

typedef struct wl_fit_policy {
	const char *name;
	/* Higher is better; both fit. */
	int64_t (*score)(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
} wl_fit_policy_t;

const wl_fit_policy_t *wl_fit_policy_find(wl_str_t name);
void wl_fit_free_add(wl_fit_free_t *free_max, const wl_fit_runner_t *runner);
bool wl_fit_free_suffices(const wl_fit_free_t *free_max, const wl_step_spec_t *step);
bool wl_fit_has_capacity(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
bool wl_fit_allows(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
bool wl_fit_fits(const wl_fit_request_t *request, const wl_fit_runner_t *runner);
bool wl_fit_eligible(const wl_fit_request_t *request, const wl_fit_runner_t *runner);

#endif
