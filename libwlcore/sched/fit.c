/*
 * Which target a task goes to.
 *
 * Answers the load of many small tasks of several widths on a fleet that is
 * two thirds full, with bursts above what it holds: room must stay where wide
 * tasks fit, and a lost target must not take a whole step with it.
 */

#include "fit.h"

#include <libwlbase/named.h>
#include <libwlbase/units.h>

/* Of what serving tasks reserve: left unused at an ordinary load. */
#define SERVING_IDLE_PERMILLE 500
/*
 * What waits may come nearer to a bound than fresh work: a late job is worth
 * less, and slowing the work saves a tail for which the forecast was wrong.
 */
#define TAIL_MOST_PERMILLE    750 /* of the bound */
#define TAIL_GROWTH_MS	      10  /* of waiting for each thousandth more */
#define TAIL_EXTREME_PERMILLE 900
#define TAIL_WEIGHT	      20 /* processors, millis, that a thousandth of a bound weighs */
#define OTHER_IMAGE_WEIGHT    4	 /* processors left free that one of another image weighs */
#define FAR_PENALTY	      (INT64_C(1) << 40) /* above any difference in free room, millis */

static bool labelled(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	wl_str_t label = wl_buf_str(&question->step->label);

	return label.len == 0 || (runner->labels && wl_strings_have(runner->labels, label));
}

static uint64_t cpu_of(const wl_step_spec_t *step)
{
	return step->best_effort ? 0 : step->cpu_millis;
}

/*
 * wl_fit_ever - could the target run a task of the step if it ran nothing else
 */
bool wl_fit_ever(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	const wl_step_spec_t *step = question->step;

	return wl_str_equal(question->service, runner->service) && labelled(question, runner) &&
	       cpu_of(step) <= runner->capacity.cpu_millis &&
	       step->memory_mib <= runner->capacity.memory_mib &&
	       step->accelerators <= runner->capacity.accelerators;
}

static bool room(const wl_step_spec_t *step, const wl_fit_runner_t *runner)
{
	return runner->used.cpu_millis + cpu_of(step) <= runner->capacity.cpu_millis &&
	       runner->used.memory_mib + step->memory_mib <= runner->capacity.memory_mib &&
	       runner->used.accelerators + step->accelerators <= runner->capacity.accelerators;
}

static uint64_t tail_most_permille(const wl_fit_question_t *question)
{
	uint64_t most = TAIL_MOST_PERMILLE + question->waited_ms / TAIL_GROWTH_MS;

	return most < TAIL_EXTREME_PERMILLE ? most : TAIL_EXTREME_PERMILLE;
}

/* Processors that best-effort work can't have: what serves leaves some of its own unused. */
static uint64_t best_effort_taken(const wl_fit_runner_t *runner)
{
	uint64_t idle = runner->serving_millis * SERVING_IDLE_PERMILLE / WL_PERMILLE;

	return runner->used.cpu_millis - idle + runner->best_effort_millis;
}

static bool best_effort_room(const wl_step_spec_t *step, const wl_fit_runner_t *runner)
{
	return !step->best_effort ||
	       best_effort_taken(runner) + step->cpu_millis <= runner->capacity.cpu_millis;
}

static void raise_to(int64_t *most, uint64_t capacity, uint64_t taken)
{
	int64_t left = (int64_t)capacity - (int64_t)taken;

	if (left > *most)
		*most = left;
}

/*
 * wl_fit_room_add - count a target in
 * @room: starts with -1 in each field: no target has anything left
 */
void wl_fit_room_add(wl_fit_room_t *room, const wl_fit_runner_t *runner)
{
	if (!runner->usable)
		return;
	raise_to(&room->cpu_millis, runner->capacity.cpu_millis, runner->used.cpu_millis);
	raise_to(&room->best_effort_millis, runner->capacity.cpu_millis, best_effort_taken(runner));
	raise_to(&room->memory_mib, runner->capacity.memory_mib, runner->used.memory_mib);
}

/*
 * wl_fit_room_for - may any of the targets have room for a task of the step
 *
 * Return: false if certainly none has.
 */
bool wl_fit_room_for(const wl_fit_room_t *room, const wl_step_spec_t *step)
{
	int64_t cpu = step->best_effort ? room->best_effort_millis : room->cpu_millis;

	return room->memory_mib >= 0 && step->memory_mib <= (uint64_t)room->memory_mib &&
	       cpu >= 0 && step->cpu_millis <= (uint64_t)cpu;
}

/*
 * wl_fit_has_room - is the target there for the step, and has it room for one more task
 */
bool wl_fit_has_room(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	const wl_step_spec_t *step = question->step;

	return runner->usable && room(step, runner) && best_effort_room(step, runner) &&
	       wl_fit_ever(question, runner);
}

/*
 * wl_fit_allows - may a task of the step start beside what runs on a target that has room
 *
 * Needs the target's same_step, and its tail_permille for best-effort work.
 */
bool wl_fit_allows(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	const wl_step_spec_t *step = question->step;

	if (step->best_effort && runner->tail_permille > tail_most_permille(question))
		return false;
	return step->max_per_target == 0 || runner->same_step < step->max_per_target;
}

/*
 * wl_fit_fits - may a task of the step start on the target now
 */
bool wl_fit_fits(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	return wl_fit_has_room(question, runner) && wl_fit_allows(question, runner);
}

static int64_t free_millis(const wl_fit_runner_t *runner)
{
	return (int64_t)runner->capacity.cpu_millis - (int64_t)runner->used.cpu_millis -
	       (int64_t)runner->best_effort_millis;
}

static bool far(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	wl_str_t data = wl_buf_str(&question->step->data_rack);

	if (data.len && !wl_str_equal(data, runner->rack))
		return true;
	return question->step->same_rack && question->rack.len &&
	       !wl_str_equal(question->rack, runner->rack);
}

/* Fills targets up, so that room for wide tasks stays elsewhere. */
static int64_t score_best_fit(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	return -free_millis(runner) - (far(question, runner) ? FAR_PENALTY : 0);
}

static int64_t score_first_fit(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	(void)question;
	(void)runner;
	return 0;
}

/*
 * Tasks that serve users fill a target up, so that wide tasks find room elsewhere,
 * and stand with those of their image: best-effort work disturbs some images
 * much and others not at all, and finds more targets without any of the former.
 */
static int64_t score_lasting(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	return score_best_fit(question, runner) -
	       (int64_t)runner->other_image_millis * OTHER_IMAGE_WEIGHT;
}

/*
 * Spreads work evenly, so that a lost or slow target takes little with it;
 * best-effort work first goes where it disturbs least.
 */
static int64_t score_spread(const wl_fit_question_t *question, const wl_fit_runner_t *runner)
{
	int64_t tail =
		question->step->best_effort ? (int64_t)runner->tail_permille * TAIL_WEIGHT : 0;

	if (question->step->long_running)
		return score_lasting(question, runner);
	return free_millis(runner) - tail - (far(question, runner) ? FAR_PENALTY : 0);
}

/* Sorted by name; the last is the default. */
static const wl_fit_policy_t policies[] = {
	{"best-fit", score_best_fit},
	{"first-fit", score_first_fit},
	{"spread", score_spread},
};

#define POLICY_DEFAULT (&policies[sizeof(policies) / sizeof(policies[0]) - 1])

/*
 * wl_fit_policy_find - find a policy
 * @name: empty: the default
 *
 * Return: NULL if there is none of that name.
 */
const wl_fit_policy_t *wl_fit_policy_find(wl_str_t name)
{
	if (name.len == 0)
		return POLICY_DEFAULT;
	return WL_NAMED_FIND(policies, name);
}
