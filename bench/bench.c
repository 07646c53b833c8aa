/*
 * Processor time of the decisions: per request, announce, task and
 * configuration change, by the number of targets and tasks.  Prints CSV.
 */

#include "harness.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS      20000
#define REQUEST_BURST 100
#define CHANGES	      20
#define CUSTOMERS     250
#define MIB	      1048576.0

static void row(const char *what, size_t targets, size_t tasks, double value, const char *unit)
{
	printf("%s,%zu,%zu,%.3f,%s\n", what, targets, tasks, value, unit);
	fflush(stdout);
}

static double memory_mib(void)
{
	return (double)mallinfo2().uordblks / MIB;
}

static void bench_requests(world_t *world)
{
	char customer[32];

	world_reset(world);
	for (int i = 0; i < REQUESTS; i++) {
		snprintf(customer, sizeof(customer), "c%d", i % CUSTOMERS);
		world_call(world, WL_LISTENER_CALLER, "GET", "/s/tube-sort/x", customer, NULL,
			   WL_STR(""));
		if (i % REQUEST_BURST == 0)
			world->now_ns += 1000000;
	}
	row("request_cpu", world->target_count, 0, (double)world->spent_ns / REQUESTS, "ns");
}

static void bench_idle(world_t *world, size_t tasks)
{
	world_reset(world);
	world_tick(world, 1000);
	row("idle_second_cpu", world->target_count, tasks, (double)world->spent_ns / 1000, "us");
	row("idle_second_messages", world->target_count, tasks, (double)world->messages, "count");
	row("idle_second_message_bytes", world->target_count, tasks, (double)world->message_bytes,
	    "bytes");
}

static void bench_announces(world_t *world, size_t tasks)
{
	world_reset(world);
	for (int i = 0; i < 10; i++)
		world_announce_all(world);
	row("announce_cpu", world->target_count, tasks,
	    (double)world->spent_ns / (10.0 * (double)world->target_count), "ns");
}

static void bench_changes(world_t *world)
{
	world_reset(world);
	for (int i = 0; i < CHANGES; i++) {
		world_lists(world, CUSTOMERS, (uint64_t)i + 1, (uint64_t)i + 2);
		if (world->last_status != 200)
			fprintf(stderr, "change %d: status %llu\n", i,
				(unsigned long long)world->last_status);
	}
	row("change_cpu", world->target_count, 0, (double)world->spent_ns / CHANGES / 1000, "us");
	row("change_log_bytes", world->target_count, 0, (double)world->persisted_bytes / CHANGES,
	    "bytes");
}

static void add_tasks(world_t *world, size_t tasks)
{
	static const char body[] =
		"{\"kind\":\"report\",\"service\":\"tube-sort\",\"class\":\"batch\","
		"\"cpu_millis\":2000,\"memory_mib\":4096,\"run_ms\":30000,"
		"\"restartable\":true,\"payload\":\"x\"}";
	char customer[32];

	for (size_t i = 0; i < tasks; i++) {
		snprintf(customer, sizeof(customer), "c%zu", i % CUSTOMERS);
		world_call(world, WL_LISTENER_CALLER, "POST", "/v1/tasks", customer, NULL,
			   wl_str_from(body));
	}
}

static void bench_tasks(world_t *world, size_t tasks)
{
	uint64_t added_ns;

	world->hold_tasks = true;
	world_reset(world);
	add_tasks(world, tasks);
	added_ns = world->spent_ns;
	row("task_add_cpu", world->target_count, tasks, (double)added_ns / (double)tasks, "ns");
	for (int i = 0; i < 200 && world->started < tasks; i++) {
		if (i % 10 == 0)
			world_announce_all(world);
		world_tick(world, 100);
	}
	row("task_place_cpu", world->target_count, tasks,
	    (double)(world->spent_ns - added_ns) / (double)(world->started ? world->started : 1),
	    "ns");
	row("tasks_started", world->target_count, tasks, (double)world->started, "count");
	row("task_log_bytes", world->target_count, tasks,
	    (double)world->persisted_bytes / (double)tasks, "bytes");
}

static void bench_size(size_t targets, size_t tasks)
{
	double before = memory_mib();
	world_t world;

	world_init(&world, targets, CUSTOMERS);
	row("memory", targets, 0, memory_mib() - before, "MiB");
	bench_requests(&world);
	bench_changes(&world);
	bench_idle(&world, 0);
	bench_announces(&world, 0);
	bench_tasks(&world, tasks);
	bench_idle(&world, tasks);
	bench_announces(&world, tasks);
	row("memory", targets, tasks, memory_mib() - before, "MiB");
	world_free(&world);
}

int main(void)
{
	static const struct {
		size_t targets;
		size_t tasks;
	} sizes[] = {{50, 350}, {200, 1000}, {600, 4000}, {1200, 8800}};

	printf("what,targets,tasks,value,unit\n");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		bench_size(sizes[i].targets, sizes[i].tasks);
	return 0;
}
