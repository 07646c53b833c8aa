/* Commands that the owner sends to a fake target. */

#include "fake.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>

#define MAX_BARRED 10000

typedef struct command {
	fake_t *fake;
	uint64_t now_ns;
	const wl_target_command_t *in;
	wl_target_answer_t *out;
} command_t;

static uint64_t refuse(const command_t *command, const char *why)
{
	wl_buf_set(&command->out->error, wl_str_from(why));
	return 409;
}

static fake_barred_t *barred_find(const fake_t *fake, wl_str_t task)
{
	return wl_map_get(&fake->barred, task);
}

static void bar(fake_t *fake, wl_str_t task, uint64_t attempt)
{
	fake_barred_t *barred = barred_find(fake, task);

	if (barred) {
		if (attempt > barred->attempt)
			barred->attempt = attempt;
		return;
	}
	if (fake->barred_count >= MAX_BARRED) {
		barred = TAILQ_FIRST(&fake->barred_list);
		TAILQ_REMOVE(&fake->barred_list, barred, link);
		wl_map_remove(&fake->barred, barred->key);
		wl_buf_free(&barred->task);
		free(barred);
		fake->barred_count--;
	}
	barred = wl_alloc(sizeof(*barred));
	wl_buf_set(&barred->task, task);
	barred->key = wl_buf_str(&barred->task);
	barred->attempt = attempt;
	wl_map_put(&fake->barred, barred);
	TAILQ_INSERT_TAIL(&fake->barred_list, barred, link);
	fake->barred_count++;
}

static void answer_task(const command_t *command, const fake_task_t *task)
{
	wl_record_copy(&wl_task_usage_schema,
		       wl_list_add(&wl_task_usage_schema, &command->out->tasks), &task->usage);
}

static uint64_t adopt(const command_t *command)
{
	fake_t *fake = command->fake;
	const fake_task_t *task;

	fake->epoch = command->in->epoch;
	TAILQ_FOREACH (task, &fake->tasks, link)
		answer_task(command, task);
	fake_record(fake, command->now_ns, "adopt", "seq=%llu",
		    (unsigned long long)command->in->seq);
	return 200;
}

static fake_task_t *attempt_find(const command_t *command)
{
	fake_task_t *task = fake_task_find(command->fake, wl_buf_str(&command->in->task));

	return task && task->usage.attempt == command->in->attempt ? task : NULL;
}

static uint64_t lease_until(const command_t *command)
{
	const fake_t *fake = command->fake;

	return fake->sent_ns[command->in->seq % FAKE_SEQS] + command->in->lease_ms * WL_NS_PER_MS;
}

static bool has_capacity(const fake_t *fake, const wl_need_t *need)
{
	wl_need_t used = fake_used(fake);

	return used.slots + 1 <= fake->capacity.slots &&
	       used.accelerators + need->accelerators <= fake->capacity.accelerators;
}

/* Return: whether the start is refused for lack of capacity. */
static bool over_capacity(const command_t *command)
{
	fake_t *fake = command->fake;

	if (has_capacity(fake, &command->in->need))
		return false;
	fake->starts_over++;
	fake_record(fake, command->now_ns, "start_over",
		    "task=" WL_STR_FMT " attempt=%llu refused=%s starts_over=%llu",
		    WL_STR_ARG(wl_buf_str(&command->in->task)),
		    (unsigned long long)command->in->attempt, fake->unguarded ? "no" : "yes",
		    (unsigned long long)fake->starts_over);
	return !fake->unguarded;
}

static void task_add(const command_t *command)
{
	const wl_target_command_t *in = command->in;
	fake_task_t *task = wl_alloc(sizeof(*task));

	wl_buf_set(&task->usage.id, wl_buf_str(&in->task));
	wl_buf_set(&task->usage.kind, wl_buf_str(&in->spec.kind));
	wl_buf_set(&task->usage.checkpoint, wl_buf_str(&in->checkpoint));
	task->usage.attempt = in->attempt;
	task->usage.work_class = in->spec.work_class;
	task->usage.restartable = in->spec.restartable;
	task->usage.need = in->need;
	task->need = in->need;
	task->cpu_permille = 1000;
	task->lease_until_ns = lease_until(command);
	fake_work_begin(command->fake, command->now_ns, task, &in->spec,
			wl_buf_str(&in->checkpoint));
	TAILQ_INSERT_TAIL(&command->fake->tasks, task, link);
	fake_record(command->fake, command->now_ns, "task_begin",
		    "task=" WL_STR_FMT " attempt=%llu from=%llu", WL_STR_ARG(wl_buf_str(&in->task)),
		    (unsigned long long)in->attempt,
		    (unsigned long long)task->usage.progress_permille);
	answer_task(command, task);
}

static uint64_t start(const command_t *command)
{
	const wl_target_command_t *in = command->in;
	wl_str_t id = wl_buf_str(&in->task);
	const fake_task_t *known = fake_task_find(command->fake, id);
	const fake_barred_t *barred = barred_find(command->fake, id);

	if (known && known->usage.attempt == in->attempt) {
		answer_task(command, known);
		return 200;
	}
	if ((known && known->usage.attempt > in->attempt) ||
	    (barred && barred->attempt >= in->attempt))
		return refuse(command, "attempt is over");
	if (known && known->usage.state == WL_RUN_RUNNING)
		return refuse(command, "another attempt runs");
	if (lease_until(command) <= command->now_ns)
		return refuse(command, "lease is over");
	if (command->fake->draining)
		return refuse(command, "leaving");
	if (over_capacity(command))
		return refuse(command, "no room");
	task_add(command);
	return 200;
}

static uint64_t renew(const command_t *command)
{
	const wl_target_lease_t *leases = command->in->leases.items;
	uint64_t until_ns = lease_until(command);

	for (size_t i = 0; i < command->in->leases.count; i++) {
		fake_task_t *task = fake_task_find(command->fake, wl_buf_str(&leases[i].task));

		if (!task || task->usage.attempt != leases[i].attempt ||
		    task->usage.state != WL_RUN_RUNNING)
			continue;
		if (until_ns > task->lease_until_ns)
			task->lease_until_ns = until_ns;
	}
	return 200;
}

static uint64_t throttle(const command_t *command)
{
	fake_task_t *task = attempt_find(command);
	uint64_t permille = command->in->cpu_permille;

	if (!task)
		return refuse(command, "no such attempt");
	if (task->usage.state != WL_RUN_RUNNING || permille == 0 || permille > 1000)
		return refuse(command, "can't throttle");
	task->usage.cpu_millis = task->usage.cpu_millis * permille / task->cpu_permille;
	task->cpu_permille = permille;
	task->usage.throttled = permille < 1000;
	fake_record(command->fake, command->now_ns, "throttle",
		    "task=" WL_STR_FMT " attempt=%llu permille=%llu",
		    WL_STR_ARG(wl_buf_str(&command->in->task)),
		    (unsigned long long)command->in->attempt, (unsigned long long)permille);
	answer_task(command, task);
	return 200;
}

static uint64_t checkpoint(const command_t *command)
{
	fake_task_t *task = attempt_find(command);

	if (!task)
		return refuse(command, "no such attempt");
	if (task->usage.state == WL_RUN_RUNNING) {
		wl_buf_clear(&task->usage.checkpoint);
		wl_buf_printf(&task->usage.checkpoint, "%llu",
			      (unsigned long long)task->usage.progress_permille);
		fake_record(command->fake, command->now_ns, "checkpoint",
			    "task=" WL_STR_FMT " attempt=%llu at=%llu",
			    WL_STR_ARG(wl_buf_str(&command->in->task)),
			    (unsigned long long)command->in->attempt,
			    (unsigned long long)task->usage.progress_permille);
	}
	wl_buf_set(&command->out->checkpoint, wl_buf_str(&task->usage.checkpoint));
	answer_task(command, task);
	return 200;
}

static uint64_t stop(const command_t *command)
{
	fake_task_t *task = attempt_find(command);

	bar(command->fake, wl_buf_str(&command->in->task), command->in->attempt);
	if (!task)
		return 200;
	if (task->usage.state == WL_RUN_RUNNING) {
		task->usage.state = WL_RUN_STOPPED;
		task->usage.cpu_millis = 0;
		task->usage.memory_mib = 0;
		fake_record(command->fake, command->now_ns, "task_end",
			    "task=" WL_STR_FMT " attempt=%llu state=stopped",
			    WL_STR_ARG(wl_buf_str(&command->in->task)),
			    (unsigned long long)command->in->attempt);
	}
	answer_task(command, task);
	return 200;
}

static uint64_t ack(const command_t *command)
{
	fake_task_t *task = attempt_find(command);

	if (!task)
		return 200;
	if (task->usage.state == WL_RUN_RUNNING)
		return refuse(command, "still running");
	bar(command->fake, wl_buf_str(&command->in->task), command->in->attempt);
	fake_task_free(command->fake, task);
	return 200;
}

static const struct {
	const char *path;
	uint64_t (*run)(const command_t *command);
} commands[] = {
	{"/v1/adopt", adopt},
	{"/v1/tasks/ack", ack},
	{"/v1/tasks/checkpoint", checkpoint},
	{"/v1/tasks/renew", renew},
	{"/v1/tasks/start", start},
	{"/v1/tasks/stop", stop},
	{"/v1/tasks/throttle", throttle},
};

static uint64_t run(const command_t *command, wl_str_t path)
{
	const fake_t *fake = command->fake;
	bool adopts = wl_str_equal(path, WL_STR("/v1/adopt"));

	if (command->in->epoch < fake->epoch || (!adopts && command->in->epoch != fake->epoch))
		return refuse(command, "stale epoch");
	if (!fake_seq_known(fake, command->in->boot, command->in->seq))
		return refuse(command, "stale announce");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (wl_str_equal(path, wl_str_from(commands[i].path)))
			return commands[i].run(command);
	wl_buf_set(&command->out->error, WL_STR("no such command"));
	return 404;
}

/*
 * fake_command - execute or refuse a command
 * @now_ns: current time in nanoseconds
 * @path: "/v1/..."
 * @body: JSON command
 * @answer: receives the JSON answer
 *
 * Return: HTTP status; 409 means that the command was refused and had no effect.
 */
uint64_t fake_command(fake_t *fake, uint64_t now_ns, wl_str_t path, wl_str_t body, wl_buf_t *answer)
{
	wl_target_command_t in;
	wl_target_answer_t out = {0};
	wl_err_t err;
	command_t command = {fake, now_ns, &in, &out};
	uint64_t status;

	fake_advance(fake, now_ns);
	if (!wl_record_from_json(&wl_target_command_schema, body, &in, &err)) {
		wl_buf_set(&out.error, wl_str_from(err.text));
		status = 400;
	} else {
		status = run(&command, path);
	}
	out.epoch = fake->epoch;
	out.boot = fake->boot;
	out.seq = fake->seq;
	out.running_requests = fake->request_count;
	out.old_epoch_requests = fake_old_epoch_requests(fake);
	wl_record_to_json(&wl_target_answer_schema, &out, answer);
	wl_record_free(&wl_target_answer_schema, &out);
	wl_record_free(&wl_target_command_schema, &in);
	return status;
}
