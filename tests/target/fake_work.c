/*
 * Model of the work on a fake target: actual run times, interference between co-located tasks, and
 * actual resource usage that differs from the declared one. All of it is derived from the seed.
 */

#include "fake.h"

#include <stdio.h>
#include <string.h>

#include <libwlbase/units.h>

#define STRAGGLER_FACTOR 10
#define TASK_RUN_MS	 1000 /* of a task that declares no run time */
#define PAIR_SEED	 7
#define SERVICE_SEED	 9
#define FULL_PERMILLE	 1000

/*
 * fake_hint - read a "name=number" pair from a text
 * @default_value: value if the name does not occur
 *
 * Tests set a task's actual behaviour in its payload: "run_ms=200 cpu_millis=900".
 */
uint64_t fake_hint(wl_str_t text, wl_str_t name, uint64_t default_value)
{
	wl_str_t word;
	wl_str_t key;
	wl_str_t value;
	uint64_t number;

	while (text.len) {
		wl_str_split(text, ' ', &word, &text);
		if (wl_str_split(word, '=', &key, &value) && wl_str_equal(key, name) &&
		    wl_str_u64(value, &number))
			return number;
	}
	return default_value;
}

/*
 * fake_chance - return true with a probability of @permille / 1000
 */
bool fake_chance(fake_t *fake, uint64_t permille)
{
	return permille && wl_rng_below(&fake->rng, FULL_PERMILLE) < permille;
}

/*
 * fake_used - sum the current resource usage of a target's tasks and requests
 */
wl_need_t fake_used(const fake_t *fake)
{
	wl_need_t used = {0};
	const fake_task_t *task;

	TAILQ_FOREACH (task, &fake->tasks, link) {
		if (task->usage.state != WL_RUN_RUNNING)
			continue;
		used.cpu_millis += task->usage.cpu_millis;
		used.memory_mib += task->usage.memory_mib;
		used.accelerators += task->need.accelerators;
		used.slots++;
	}
	used.slots += fake->request_count;
	used.connections = fake->request_count;
	return used;
}

/* Slowdown of one kind of task by another at full load, in permille on top of 1000. */
static uint64_t pair_permille(const fake_t *fake, wl_str_t kind, wl_str_t beside)
{
	uint64_t hash = wl_str_hash(beside, wl_str_hash(kind, PAIR_SEED + fake->options.seed));

	return hash % (fake->options.interference_permille + 1);
}

static uint64_t load_permille(const fake_t *fake)
{
	uint64_t slots = fake->capacity.slots;

	return slots ? fake_slots_used(fake) * FULL_PERMILLE / slots : 0;
}

static uint64_t slowdown(const fake_t *fake, wl_str_t kind, const fake_task_t *self)
{
	uint64_t load = load_permille(fake);
	uint64_t sum = FULL_PERMILLE;
	const fake_request_t *request = TAILQ_FIRST(&fake->requests);
	const fake_task_t *task;

	TAILQ_FOREACH (task, &fake->tasks, link)
		if (task != self && task->usage.state == WL_RUN_RUNNING)
			sum += pair_permille(fake, kind, wl_buf_str(&task->usage.kind)) * load /
			       FULL_PERMILLE;
	if (self && request)
		sum += pair_permille(fake, kind, wl_buf_str(&request->service)) * load /
		       FULL_PERMILLE;
	return sum;
}

/*
 * fake_request_ns - draw the service time of a request at the current load, in nanoseconds
 */
uint64_t fake_request_ns(fake_t *fake, wl_str_t service)
{
	const fake_options_t *options = &fake->options;
	uint64_t hash = wl_str_hash(service, SERVICE_SEED + options->seed);
	uint64_t ns = options->service_ms * WL_NS_PER_MS;

	ns = ns / 2 + ns * (hash % 101) / 100;
	ns = ns * (500 + wl_rng_below(&fake->rng, 1001)) / FULL_PERMILLE;
	if (fake_chance(fake, options->straggler_permille))
		ns *= STRAGGLER_FACTOR;
	ns = ns * slowdown(fake, service, NULL) / FULL_PERMILLE;
	return ns * options->time_permille / FULL_PERMILLE;
}

/*
 * fake_work_begin - set the actual run time and resource usage of a task that starts
 * @checkpoint: progress in permille to resume from; empty: start from the beginning
 */
void fake_work_begin(fake_t *fake, uint64_t now_ns, fake_task_t *task, const wl_task_spec_t *spec,
		     wl_str_t checkpoint)
{
	wl_str_t payload = wl_buf_str(&spec->payload);
	uint64_t run_ms = spec->run_ms ? spec->run_ms : TASK_RUN_MS;
	uint64_t done = 0;

	run_ms = run_ms * (500 + wl_rng_below(&fake->rng, 1501)) / FULL_PERMILLE;
	if (fake_chance(fake, fake->options.straggler_permille))
		run_ms *= STRAGGLER_FACTOR;
	run_ms = fake_hint(payload, WL_STR("run_ms"), run_ms);
	task->work_ns =
		(double)run_ms * WL_NS_PER_MS * (double)fake->options.time_permille / FULL_PERMILLE;
	wl_str_u64(checkpoint, &done);
	task->done_ns = task->work_ns * (double)done / FULL_PERMILLE;
	task->usage.progress_permille = done;
	task->usage.cpu_millis = fake_hint(payload, WL_STR("cpu_millis"), spec->cpu_millis);
	task->usage.memory_mib = fake_hint(payload, WL_STR("memory_mib"), spec->memory_mib);
	task->usage.slowdown_permille = FULL_PERMILLE;
	task->fails = fake->failing || fake_hint(payload, WL_STR("fails"), 0) ||
		      fake_chance(fake, fake->options.fail_permille);
	if (task->fails)
		task->work_ns = task->done_ns + (task->work_ns - task->done_ns) / 10;
	task->begun_ns = now_ns;
	task->counted_ns = now_ns;
}

static void task_ended(fake_t *fake, uint64_t now_ns, fake_task_t *task, uint64_t state)
{
	task->usage.state = state;
	task->usage.cpu_millis = 0;
	task->usage.memory_mib = 0;
	if (state == WL_RUN_FINISHED) {
		task->usage.progress_permille = FULL_PERMILLE;
		wl_buf_clear(&task->usage.result);
		wl_buf_printf(&task->usage.result, "done " WL_STR_FMT,
			      WL_STR_ARG(wl_buf_str(&task->usage.id)));
	} else if (state == WL_RUN_FAILED) {
		wl_buf_set(&task->usage.reason, WL_STR("failed on purpose"));
	}
	fake_record(fake, now_ns, "task_end", "task=" WL_STR_FMT " attempt=%llu state=%s",
		    WL_STR_ARG(wl_buf_str(&task->usage.id)),
		    (unsigned long long)task->usage.attempt, wl_run_state_names[state]);
}

static void task_work(fake_t *fake, uint64_t now_ns, fake_task_t *task)
{
	uint64_t slow = slowdown(fake, wl_buf_str(&task->usage.kind), task);
	uint64_t until_ns = now_ns < task->lease_until_ns ? now_ns : task->lease_until_ns;
	double spent = until_ns > task->counted_ns ? (double)(until_ns - task->counted_ns) : 0;
	uint64_t permille;

	task->usage.slowdown_permille = slow;
	task->usage.ran_ms = (until_ns - task->begun_ns) / WL_NS_PER_MS;
	task->done_ns += spent * (double)task->cpu_permille / (double)slow;
	task->counted_ns = now_ns;
	permille = task->work_ns > 0 ? (uint64_t)(task->done_ns / task->work_ns * FULL_PERMILLE)
				     : FULL_PERMILLE;
	task->usage.progress_permille = permille < FULL_PERMILLE ? permille : FULL_PERMILLE - 1;
	if (task->done_ns >= task->work_ns)
		task_ended(fake, until_ns, task, task->fails ? WL_RUN_FAILED : WL_RUN_FINISHED);
	else if (now_ns >= task->lease_until_ns)
		task_ended(fake, task->lease_until_ns, task, WL_RUN_STOPPED);
}

/*
 * fake_advance - advance all running tasks to @now_ns; stop those whose lease has expired
 */
void fake_advance(fake_t *fake, uint64_t now_ns)
{
	fake_task_t *task;

	if (fake->frozen || fake->crashed)
		return;
	TAILQ_FOREACH (task, &fake->tasks, link)
		if (task->usage.state == WL_RUN_RUNNING)
			task_work(fake, now_ns, task);
}
