/* Simulated targets.  Each holds its runs, and answers a hold when a run ends or after its wait. */

#include "targets.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>

#define RUNS_MAX		512
#define PENDING_CAPACITY_MIN	1024
#define TAIL_BASE_MS		40 /* tail latency of a serving task that runs alone */
#define TAIL_PER_BEST_EFFORT_MS 3  /* added for each best-effort task on the target */
#define TAIL_NOISE_MS		8

typedef struct run {
	char name[48];
	uint64_t number;
	uint64_t until_ns; /* 0: runs until it is stopped */
	uint64_t end;	   /* sequence number of its end; 0 while it runs */
	bool best_effort;
} run_t;

typedef struct target {
	run_t runs[RUNS_MAX];
	size_t count;
	uint64_t ends;
	uint64_t acked_end;
	uint64_t hold_id;
	uint64_t hold_until_ns; /* 0: no hold is pending */
	size_t hold_node;
} target_t;

typedef struct pending {
	uint64_t id;
	size_t node;
} pending_t;

static target_t *targets;
static size_t target_count;
static targets_on_answer_t on_answer;
static pending_t *pending;
static size_t pending_count;
static size_t pending_capacity;
static uint64_t starts;
static uint64_t holds;
static uint32_t noise = 1;

void targets_init(size_t count, targets_on_answer_t callback)
{
	targets = wl_alloc(count * sizeof(*targets));
	target_count = count;
	on_answer = callback;
}

void targets_free(void)
{
	free(targets);
	free(pending);
}

uint64_t targets_starts(void)
{
	return starts;
}

uint64_t targets_holds(void)
{
	return holds;
}

uint64_t targets_running(void)
{
	uint64_t running = 0;

	for (size_t i = 0; i < target_count; i++)
		for (size_t k = 0; k < targets[i].count; k++)
			running += targets[i].runs[k].end == 0;
	return running;
}

static uint64_t number_after(const char *body, const char *name)
{
	const char *at = strstr(body, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

/* The payload of a task contains its run time and whether it is best-effort. */
static void run_start(target_t *target, const wl_fetch_t *fetch, uint64_t now_ns)
{
	const char *name = strstr(fetch->body.at, "\"task\":\"") + 8;
	uint64_t run_ms = number_after(fetch->body.at, "run_ms=");
	run_t *run = &target->runs[target->count];

	if (target->count == RUNS_MAX) {
		fprintf(stderr, "wl-bench-jobs: a target has more than %d runs\n", RUNS_MAX);
		exit(1);
	}
	memset(run, 0, sizeof(*run));
	memcpy(run->name, name, strcspn(name, "\""));
	run->number = number_after(fetch->body.at, "\"run_id\":");
	run->until_ns = run_ms ? now_ns + run_ms * WL_NS_PER_MS : 0;
	run->best_effort = strstr(fetch->body.at, "best-effort") != NULL;
	target->count++;
	starts++;
}

static void run_stop(target_t *target, const wl_fetch_t *fetch, uint64_t now_ns)
{
	const char *name = strstr(fetch->body.at, "\"task\":\"") + 8;
	size_t len = strcspn(name, "\"");

	for (size_t i = 0; i < target->count; i++)
		if (strncmp(target->runs[i].name, name, len) == 0 && !target->runs[i].name[len])
			target->runs[i].until_ns = now_ns;
}

static void ends_acknowledge(target_t *target, uint64_t acked_end)
{
	size_t kept = 0;

	for (size_t i = 0; i < target->count; i++)
		if (target->runs[i].end == 0 || target->runs[i].end > acked_end)
			target->runs[kept++] = target->runs[i];
	target->count = kept;
	target->acked_end = acked_end;
}

static void pending_add(uint64_t id, size_t node)
{
	if (pending_count == pending_capacity) {
		pending_capacity = pending_capacity ? 2 * pending_capacity : PENDING_CAPACITY_MIN;
		pending = wl_realloc(pending, pending_capacity * sizeof(*pending));
	}
	pending[pending_count++] = (pending_t){id, node};
}

void targets_receive(size_t node, const wl_fetch_t *fetch, uint64_t now_ns)
{
	target_t *target = &targets[strtoul(strchr(fetch->address.at, ':') + 1, NULL, 10)];

	if (strstr(fetch->path.at, "hold")) {
		ends_acknowledge(target, number_after(fetch->body.at, "\"last_seen\":"));
		target->hold_id = fetch->id;
		target->hold_node = node;
		target->hold_until_ns =
			now_ns + 1 + number_after(fetch->body.at, "\"wait_ms\":") * WL_NS_PER_MS;
		holds++;
		return;
	}
	if (strstr(fetch->path.at, "start"))
		run_start(target, fetch, now_ns);
	else if (strstr(fetch->path.at, "stop"))
		run_stop(target, fetch, now_ns);
	pending_add(fetch->id, node);
}

static void runs_end(target_t *target, uint64_t now_ns)
{
	for (size_t i = 0; i < target->count; i++) {
		run_t *run = &target->runs[i];

		if (run->end == 0 && run->until_ns && run->until_ns <= now_ns)
			run->end = ++target->ends;
	}
}

static uint64_t tail_ms(size_t best_effort)
{
	noise = noise * 1664525 + 1013904223;
	return TAIL_BASE_MS + best_effort * TAIL_PER_BEST_EFFORT_MS + (noise >> 16) % TAIL_NOISE_MS;
}

static void rows_write(const target_t *target, wl_buf_t *running, wl_buf_t *ends)
{
	size_t best_effort = 0;

	for (size_t i = 0; i < target->count; i++)
		best_effort += target->runs[i].best_effort && target->runs[i].end == 0;
	for (size_t i = 0; i < target->count; i++) {
		const run_t *run = &target->runs[i];

		if (run->end)
			wl_buf_printf(ends, "%s[%llu,\"%s\",%llu,\"done\",\"\"]",
				      ends->len ? "," : "", (unsigned long long)run->end, run->name,
				      (unsigned long long)run->number);
		else
			wl_buf_printf(
				running, "%s[\"%s\",%llu,\"\",%d,%llu]", running->len ? "," : "",
				run->name, (unsigned long long)run->number,
				run->until_ns ? 50 : 100,
				(unsigned long long)(run->until_ns ? 900 : tail_ms(best_effort)));
	}
}

static void hold_answer(target_t *target, uint64_t now_ns)
{
	wl_buf_t running = {0};
	wl_buf_t ends = {0};
	wl_buf_t body = {0};

	rows_write(target, &running, &ends);
	wl_buf_printf(&body, "{\"clock_ms\":%llu,\"born\":1,\"running\":[%s],\"completions\":[%s]}",
		      (unsigned long long)(now_ns / WL_NS_PER_MS), running.at ? running.at : "",
		      ends.at ? ends.at : "");
	target->hold_until_ns = 0;
	on_answer(target->hold_node, target->hold_id, wl_buf_str(&body));
	wl_buf_free(&running);
	wl_buf_free(&ends);
	wl_buf_free(&body);
}

void targets_advance(uint64_t now_ns)
{
	size_t count = pending_count;
	wl_buf_t body = {0};

	wl_buf_printf(&body, "{\"clock_ms\":%llu}", (unsigned long long)(now_ns / WL_NS_PER_MS));
	for (size_t i = 0; i < count; i++)
		on_answer(pending[i].node, pending[i].id, wl_buf_str(&body));
	wl_buf_free(&body);
	memmove(pending, pending + count, (pending_count - count) * sizeof(*pending));
	pending_count -= count;
	for (size_t i = 0; i < target_count; i++) {
		target_t *target = &targets[i];

		runs_end(target, now_ns);
		if (target->hold_until_ns &&
		    (now_ns >= target->hold_until_ns || target->ends > target->acked_end))
			hold_answer(target, now_ns);
	}
}
