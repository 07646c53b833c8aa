/*
 * Measures the processor time of wl_node_step() per request, announce, task and configuration
 * change, for several numbers of targets and tasks.  Prints CSV.
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

static void bench_requests(harness_t *harness)
{
	char customer[32];

	harness_reset_counters(harness);
	for (int i = 0; i < REQUESTS; i++) {
		snprintf(customer, sizeof(customer), "c%d", i % CUSTOMERS);
		harness_call(harness, WL_LISTENER_CALLER, "GET", "/s/tube-sort/x", customer, NULL,
			     WL_STR(""));
		if (i % REQUEST_BURST == 0)
			harness->now_ns += 1000000;
	}
	row("request_cpu", harness->target_count, 0, (double)harness->step_cpu_ns / REQUESTS, "ns");
}

static void bench_idle(harness_t *harness, size_t tasks)
{
	harness_reset_counters(harness);
	harness_advance(harness, 1000);
	row("idle_second_cpu", harness->target_count, tasks, (double)harness->step_cpu_ns / 1000,
	    "us");
	row("idle_second_messages", harness->target_count, tasks, (double)harness->messages,
	    "count");
	row("idle_second_message_bytes", harness->target_count, tasks,
	    (double)harness->message_bytes, "bytes");
}

static void bench_announces(harness_t *harness, size_t tasks)
{
	harness_reset_counters(harness);
	for (int i = 0; i < 10; i++)
		harness_announce_all(harness);
	row("announce_cpu", harness->target_count, tasks,
	    (double)harness->step_cpu_ns / (10.0 * (double)harness->target_count), "ns");
}

static void bench_changes(harness_t *harness)
{
	harness_reset_counters(harness);
	for (int i = 0; i < CHANGES; i++) {
		harness_put_lists(harness, CUSTOMERS, (uint64_t)i + 1, (uint64_t)i + 2);
		if (harness->last_status != 200)
			fprintf(stderr, "change %d: status %llu\n", i,
				(unsigned long long)harness->last_status);
	}
	row("change_cpu", harness->target_count, 0, (double)harness->step_cpu_ns / CHANGES / 1000,
	    "us");
	row("change_log_bytes", harness->target_count, 0,
	    (double)harness->persisted_bytes / CHANGES, "bytes");
}

static void add_tasks(harness_t *harness, size_t tasks)
{
	static const char body[] =
		"{\"kind\":\"report\",\"service\":\"tube-sort\",\"class\":\"batch\","
		"\"cpu_millis\":2000,\"memory_mib\":4096,\"run_ms\":30000,"
		"\"restartable\":true,\"payload\":\"x\"}";
	char customer[32];

	for (size_t i = 0; i < tasks; i++) {
		snprintf(customer, sizeof(customer), "c%zu", i % CUSTOMERS);
		harness_call(harness, WL_LISTENER_CALLER, "POST", "/v1/tasks", customer, NULL,
			     wl_str_from(body));
	}
}

static void bench_tasks(harness_t *harness, size_t tasks)
{
	uint64_t added_ns;

	harness->keep_tasks_running = true;
	harness_reset_counters(harness);
	add_tasks(harness, tasks);
	added_ns = harness->step_cpu_ns;
	row("task_add_cpu", harness->target_count, tasks, (double)added_ns / (double)tasks, "ns");
	for (int i = 0; i < 200 && harness->tasks_started < tasks; i++) {
		if (i % 10 == 0)
			harness_announce_all(harness);
		harness_advance(harness, 100);
	}
	row("task_place_cpu", harness->target_count, tasks,
	    (double)(harness->step_cpu_ns - added_ns) /
		    (double)(harness->tasks_started ? harness->tasks_started : 1),
	    "ns");
	row("tasks_started", harness->target_count, tasks, (double)harness->tasks_started, "count");
	row("task_log_bytes", harness->target_count, tasks,
	    (double)harness->persisted_bytes / (double)tasks, "bytes");
}

static void bench_size(size_t targets, size_t tasks)
{
	double before = memory_mib();
	harness_t harness;

	harness_init(&harness, targets, CUSTOMERS);
	row("memory", targets, 0, memory_mib() - before, "MiB");
	bench_requests(&harness);
	bench_changes(&harness);
	bench_idle(&harness, 0);
	bench_announces(&harness, 0);
	bench_tasks(&harness, tasks);
	bench_idle(&harness, tasks);
	bench_announces(&harness, tasks);
	row("memory", targets, tasks, memory_mib() - before, "MiB");
	harness_free(&harness);
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
