/* Life cycle, announces and event records of a fake target. */

#include "fake.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <libwlbase/units.h>

/*
 * fake_new - create a target that has not announced itself
 * @options: copied; its strings and lists must outlive the target
 * @boot: random incarnation number, different at each start
 */
fake_t *fake_new(const fake_options_t *options, uint64_t boot)
{
	fake_t *fake = wl_alloc(sizeof(*fake));

	fake->options = *options;
	fake->capacity = options->capacity;
	fake->boot = boot;
	wl_rng_init(&fake->rng, options->seed, wl_str_hash(options->name, 0));
	wl_map_init(&fake->barred);
	TAILQ_INIT(&fake->tasks);
	TAILQ_INIT(&fake->requests);
	TAILQ_INIT(&fake->barred_list);
	return fake;
}

static void task_release(fake_task_t *task)
{
	wl_record_free(&wl_task_usage_schema, &task->usage);
	free(task);
}

/*
 * fake_task_free - remove a task from the target and release it
 */
void fake_task_free(fake_t *fake, fake_task_t *task)
{
	TAILQ_REMOVE(&fake->tasks, task, link);
	task_release(task);
}

static void work_free(fake_t *fake)
{
	fake_task_t *task;
	fake_request_t *request;
	fake_barred_t *barred;

	while ((task = TAILQ_FIRST(&fake->tasks))) {
		TAILQ_REMOVE(&fake->tasks, task, link);
		task_release(task);
	}
	while ((request = TAILQ_FIRST(&fake->requests))) {
		TAILQ_REMOVE(&fake->requests, request, link);
		wl_buf_free(&request->name);
		wl_buf_free(&request->service);
		free(request);
	}
	while ((barred = TAILQ_FIRST(&fake->barred_list))) {
		TAILQ_REMOVE(&fake->barred_list, barred, link);
		wl_map_remove(&fake->barred, barred->key);
		wl_buf_free(&barred->task);
		free(barred);
	}
	fake->request_count = 0;
	fake->barred_count = 0;
}

/*
 * fake_free - release a target
 */
void fake_free(fake_t *fake)
{
	work_free(fake);
	wl_map_free(&fake->barred);
	free(fake);
}

/*
 * fake_crash - discard all work and state
 * @now_ns: current time in nanoseconds
 * @boot: boot id of the next incarnation
 */
void fake_crash(fake_t *fake, uint64_t now_ns, uint64_t boot)
{
	fake_record(fake, now_ns, "crash", "tasks_or_requests=%llu",
		    (unsigned long long)fake_slots_used(fake));
	work_free(fake);
	fake->boot = boot;
	fake->seq = 0;
	fake->epoch = 0;
	fake->usage = (wl_usage_t){0};
	fake->usage_ns = 0;
	fake->draining = false;
	fake->frozen = false;
	fake->crashed = true;
}

/*
 * fake_thaw - resume after a freeze; tasks make no progress while frozen
 */
void fake_thaw(fake_t *fake, uint64_t now_ns)
{
	fake_task_t *task;

	fake->frozen = false;
	TAILQ_FOREACH (task, &fake->tasks, link)
		task->counted_ns = now_ns;
	fake_advance(fake, now_ns);
}

static uint64_t share(uint64_t amount, uint64_t permille)
{
	return amount * permille / WL_PERMILLE;
}

/*
 * fake_resize - change the capacity; work that is there stays
 * @permille: of the full capacity, rounded down
 *
 * The next announce reports it.
 */
void fake_resize(fake_t *fake, uint64_t now_ns, uint64_t permille)
{
	const wl_need_t *full = &fake->options.capacity;

	fake_advance(fake, now_ns);
	fake->capacity = (wl_need_t){
		.cpu_millis = share(full->cpu_millis, permille),
		.memory_mib = share(full->memory_mib, permille),
		.accelerators = share(full->accelerators, permille),
		.slots = share(full->slots, permille),
		.connections = share(full->connections, permille),
	};
	fake_record(fake, now_ns, "resize", "permille=%llu starts_over=%llu",
		    (unsigned long long)permille, (unsigned long long)fake->starts_over);
}

/*
 * fake_record - write one event line to the record
 */
void fake_record(fake_t *fake, uint64_t now_ns, const char *event, const char *pairs, ...)
{
	wl_need_t used = fake_used(fake);
	wl_buf_t line = {0};
	char text[512];
	va_list args;

	if (!fake->options.record)
		return;
	va_start(args, pairs);
	vsnprintf(text, sizeof(text), pairs, args);
	va_end(args);
	wl_buf_printf(&line,
		      "ns=%llu event=%s target=" WL_STR_FMT " boot=%llu epoch=%llu %s slots=%llu "
		      "requests=%llu cpu_millis=%llu memory_mib=%llu accelerators=%llu\n",
		      (unsigned long long)now_ns, event, WL_STR_ARG(fake->options.name),
		      (unsigned long long)fake->boot, (unsigned long long)fake->epoch, text,
		      (unsigned long long)fake_slots_used(fake),
		      (unsigned long long)fake->request_count, (unsigned long long)used.cpu_millis,
		      (unsigned long long)used.memory_mib, (unsigned long long)used.accelerators);
	fake->options.record(fake->options.context, wl_buf_str(&line));
	wl_buf_free(&line);
}

/*
 * fake_slots_used - count the running tasks and requests
 */
uint64_t fake_slots_used(const fake_t *fake)
{
	uint64_t count = fake->request_count;
	const fake_task_t *task;

	TAILQ_FOREACH (task, &fake->tasks, link)
		count += task->usage.state == WL_RUN_RUNNING;
	return count;
}

/*
 * fake_task_find - find the newest attempt of a task
 *
 * Return: the attempt, or NULL if the target holds none.
 */
fake_task_t *fake_task_find(fake_t *fake, wl_str_t id)
{
	fake_task_t *best = NULL;
	fake_task_t *task;

	TAILQ_FOREACH (task, &fake->tasks, link)
		if (wl_str_equal(wl_buf_str(&task->usage.id), id) &&
		    (!best || task->usage.attempt > best->usage.attempt))
			best = task;
	return best;
}

/*
 * fake_seq_known - check that a command echoes a recent announce of this incarnation
 * @boot: echoed boot id
 * @seq: echoed sequence number; one of the newest FAKE_SEQS is accepted
 */
bool fake_seq_known(const fake_t *fake, uint64_t boot, uint64_t seq)
{
	return boot == fake->boot && seq > 0 && seq <= fake->seq && seq + FAKE_SEQS > fake->seq;
}

/*
 * fake_old_epoch_requests - count the running requests that were accepted under a lower epoch
 */
uint64_t fake_old_epoch_requests(const fake_t *fake)
{
	const fake_request_t *request;
	uint64_t count = 0;

	TAILQ_FOREACH (request, &fake->requests, link)
		count += request->epoch < fake->epoch;
	return count;
}

static void usage_sample(fake_t *fake, uint64_t now_ns)
{
	wl_need_t used = fake_used(fake);

	if (fake->usage_ns && now_ns < fake->usage_ns + fake->options.usage_lag_ms * WL_NS_PER_MS)
		return;
	fake->usage = (wl_usage_t){
		.cpu_millis = used.cpu_millis,
		.memory_mib = used.memory_mib,
		.running_requests = fake->request_count,
	};
	fake->usage_ns = now_ns;
}

/*
 * fake_announce - build the next announce
 * @now_ns: current time in nanoseconds
 * @announce: empty; the caller releases it
 *
 * Leases granted by commands that echo this announce start at @now_ns.
 */
void fake_announce(fake_t *fake, uint64_t now_ns, wl_announce_t *announce)
{
	const fake_options_t *options = &fake->options;
	const wl_buf_t *services = options->services->items;
	fake_task_t *task;

	fake_advance(fake, now_ns);
	fake->seq++;
	fake->sent_ns[fake->seq % FAKE_SEQS] = now_ns;
	wl_buf_set(&announce->name, options->name);
	wl_buf_set(&announce->address, options->address);
	wl_buf_set(&announce->availability_zone, options->availability_zone);
	wl_buf_set(&announce->rack, options->rack);
	announce->boot = fake->boot;
	announce->seq = fake->seq;
	for (size_t i = 0; i < options->services->count; i++)
		wl_strings_add(&announce->services, wl_buf_str(&services[i]));
	announce->cpu_millis = fake->capacity.cpu_millis;
	announce->memory_mib = fake->capacity.memory_mib;
	announce->accelerators = fake->capacity.accelerators;
	announce->slots = fake->capacity.slots;
	announce->connections = fake->capacity.connections;
	announce->state = fake->draining ? WL_ANNOUNCE_DRAINING : WL_ANNOUNCE_READY;
	announce->usage = fake->usage;
	announce->usage.taken_ms_ago =
		fake->usage_ns ? (now_ns - fake->usage_ns) / WL_NS_PER_MS : 0;
	announce->usage.old_epoch_requests = fake_old_epoch_requests(fake);
	usage_sample(fake, now_ns);
	TAILQ_FOREACH (task, &fake->tasks, link)
		wl_record_copy(&wl_task_usage_schema,
			       wl_list_add(&wl_task_usage_schema, &announce->tasks), &task->usage);
}
