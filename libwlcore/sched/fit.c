/*
 * Choice of a target for a task.
 *
 * Designed for many small tasks of several widths on a fleet with two thirds of its
 * capacity in use and bursts above its capacity: free capacity must remain in one piece
 * where wide tasks fit, and the loss of one target must not hit a whole step.
 */

#include "fit.h"

#include <libwlbase/named.h>
#include <libwlbase/units.h>

/* Share of the serving tasks' reservation that is idle at ordinary load. */
#define SERVING_IDLE_PERMILLE 500
/*
 * Best-effort work is placed only where the forecast tail latency stays below a limit. The
 * limit rises with the waiting time, since a late job is worth less, and throttling the
 * work afterwards protects a tail for which the forecast was wrong.
 */
#define TAIL_LIMIT_PERMILLE	750 /* permille of the bound, without waiting */
#define TAIL_LIMIT_STEP_MS	10  /* waiting time that raises the limit by 1 permille */
#define TAIL_LIMIT_MAX_PERMILLE 900
#define TAIL_WEIGHT		20 /* CPU, millis, that weighs as much as 1 permille */
#define BACKGROUND_PENALTY	(INT64_C(1) << 30) /* above any weighted tail latency */
#define OTHER_IMAGE_WEIGHT	4 /* free CPU that weighs as much as 1 CPU of another image */
#define REMOTE_PENALTY		(INT64_C(1) << 40) /* above any difference in free CPU, millis */
#define WARMUP_PENALTY		(INT64_C(1) << 36) /* above any difference on one rack */

static uint64_t reserved_cpu(const wl_step_spec_t *step)
{
	return step->best_effort ? 0 : step->cpu_millis;
}

/*
 * wl_fit_eligible - whether a target could run a task of the step if it were empty
 */
bool wl_fit_eligible(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	const wl_step_spec_t *step = request->step;

	return wl_str_equal(request->service, runner->service) && wl_fit_has_label(step, runner) &&
	       reserved_cpu(step) <= runner->capacity.cpu_millis &&
	       step->memory_mib <= runner->capacity.memory_mib &&
	       step->accelerators <= runner->capacity.accelerators;
}

/* CPU of the target that tasks of the step may use. */
static uint64_t usable_cpu(const wl_step_spec_t *step, const wl_fit_runner_t *runner)
{
	return runner->capacity.cpu_millis - (step->lasting ? 0 : runner->warmup_millis);
}

static bool has_free(const wl_step_spec_t *step, const wl_fit_runner_t *runner)
{
	uint64_t cpu = reserved_cpu(step);

	return (cpu == 0 || runner->used.cpu_millis + cpu <= usable_cpu(step, runner)) &&
	       runner->used.cpu_millis + cpu <= runner->capacity.cpu_millis &&
	       runner->used.memory_mib + step->memory_mib <= runner->capacity.memory_mib &&
	       runner->used.accelerators + step->accelerators <= runner->capacity.accelerators;
}

/*
 * wl_fit_tail_limit - the highest forecast tail latency at which a task may join a target
 *
 * Return: permille of the bound; UINT64_MAX: no forecast forbids a target.
 */
uint64_t wl_fit_tail_limit(const wl_fit_request_t *request)
{
	uint64_t most = TAIL_LIMIT_PERMILLE + request->waited_ms / TAIL_LIMIT_STEP_MS;

	if (!request->step->best_effort || request->background)
		return UINT64_MAX;
	return most < TAIL_LIMIT_MAX_PERMILLE ? most : TAIL_LIMIT_MAX_PERMILLE;
}

/* CPU not available to best-effort work: serving tasks leave part of their reservation unused. */
static uint64_t best_effort_taken(const wl_fit_runner_t *runner)
{
	uint64_t idle = runner->serving_millis * SERVING_IDLE_PERMILLE / WL_PERMILLE;

	return runner->used.cpu_millis - idle + runner->best_effort_millis;
}

static bool best_effort_fits(const wl_step_spec_t *step, const wl_fit_runner_t *runner)
{
	return !step->best_effort ||
	       best_effort_taken(runner) + step->cpu_millis <= usable_cpu(step, runner);
}

static void raise_max(int64_t *most, uint64_t capacity, uint64_t taken)
{
	int64_t left = (int64_t)capacity - (int64_t)taken;

	if (left > *most)
		*most = left;
}

/*
 * wl_fit_free_add - include a target in the maxima
 * @free_max: starts with -1 in each field, which means that no target is usable
 */
void wl_fit_free_add(wl_fit_free_t *free_max, const wl_fit_runner_t *runner)
{
	if (!runner->usable)
		return;
	raise_max(&free_max->cpu_millis, runner->capacity.cpu_millis, runner->used.cpu_millis);
	raise_max(&free_max->best_effort_millis, runner->capacity.cpu_millis,
		  best_effort_taken(runner));
	raise_max(&free_max->memory_mib, runner->capacity.memory_mib, runner->used.memory_mib);
}

/*
 * wl_fit_free_suffices - whether some target may have capacity for a task of the step
 *
 * Return: false if certainly none has.
 */
bool wl_fit_free_suffices(const wl_fit_free_t *free_max, const wl_fit_request_t *request)
{
	const wl_step_spec_t *step = request->step;
	int64_t cpu = step->best_effort ? free_max->best_effort_millis : free_max->cpu_millis;

	return free_max->memory_mib >= 0 && step->memory_mib <= (uint64_t)free_max->memory_mib &&
	       (request->background || (cpu >= 0 && step->cpu_millis <= (uint64_t)cpu));
}

/*
 * wl_fit_has_capacity - whether a target is usable, eligible and has capacity for one more
 * task
 */
bool wl_fit_has_capacity(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	const wl_step_spec_t *step = request->step;

	return runner->usable && has_free(step, runner) &&
	       (best_effort_fits(step, runner) ||
		(request->background && runner->background == 0)) &&
	       wl_fit_eligible(request, runner);
}

/*
 * wl_fit_allows - whether a task may join the runs on a target that has capacity
 *
 * The target's same_step must be set, and its tail_permille for best-effort work.
 */
bool wl_fit_allows(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	const wl_step_spec_t *step = request->step;

	if (runner->tail_permille > wl_fit_tail_limit(request))
		return false;
	return step->max_per_target == 0 || runner->same_step < step->max_per_target;
}

/*
 * wl_fit_fits - whether a task of the step may start on the target now
 */
bool wl_fit_fits(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	return wl_fit_has_capacity(request, runner) && wl_fit_allows(request, runner);
}

static int64_t free_millis(const wl_fit_runner_t *runner)
{
	return (int64_t)runner->capacity.cpu_millis - (int64_t)runner->used.cpu_millis -
	       (int64_t)runner->best_effort_millis;
}

/*
 * wl_fit_is_remote - whether a task would be slower there: away from its data, or from its step's
 * first task
 */
bool wl_fit_is_remote(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	wl_str_t data = wl_buf_str(&request->step->data_rack);

	if (data.len && !wl_str_equal(data, runner->rack))
		return true;
	return request->step->same_rack && request->rack.len &&
	       !wl_str_equal(request->rack, runner->rack);
}

/* What a target costs that makes tasks slower. */
static int64_t slowness(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	return (wl_fit_is_remote(request, runner) ? REMOTE_PENALTY : 0) +
	       (runner->warmup_millis ? WARMUP_PENALTY : 0);
}

/* Fills targets up, so that free capacity for wide tasks remains on others. */
static int64_t score_best_fit(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	return -free_millis(runner) - slowness(request, runner);
}

static int64_t score_first_fit(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	(void)request;
	(void)runner;
	return 0;
}

/*
 * Lasting tasks fill targets up, so that wide tasks fit elsewhere, and are grouped by
 * image. The interference of best-effort work differs much by image: grouping leaves more
 * targets without the images that suffer from it.
 */
static int64_t score_lasting(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	return score_best_fit(request, runner) -
	       (int64_t)runner->other_image_millis * OTHER_IMAGE_WEIGHT;
}

/*
 * Spreads work evenly, so that a lost or slow target affects few tasks. Best-effort work
 * prefers the targets with the lowest forecast tail latency.
 */
static int64_t score_spread(const wl_fit_request_t *request, const wl_fit_runner_t *runner)
{
	int64_t tail =
		request->step->best_effort ? (int64_t)runner->tail_permille * TAIL_WEIGHT : 0;

	if (request->step->lasting && !request->background)
		return score_lasting(request, runner);
	if (request->background)
		tail += (int64_t)runner->background * BACKGROUND_PENALTY;
	return free_millis(runner) - tail - slowness(request, runner);
}

/* Sorted by name; the last is the default. */
static const wl_fit_policy_t policies[] = {
	{"best-fit", score_best_fit},
	{"first-fit", score_first_fit},
	{"spread", score_spread},
};

#define POLICY_DEFAULT (&policies[sizeof(policies) / sizeof(policies[0]) - 1])

/*
 * wl_fit_policy_find - find a placement policy by name
 * @name: empty: the default
 *
 * Return: the policy, or NULL if the name is unknown.
 */
const wl_fit_policy_t *wl_fit_policy_find(wl_str_t name)
{
	if (name.len == 0)
		return POLICY_DEFAULT;
	return WL_NAMED_FIND(policies, name);
}
