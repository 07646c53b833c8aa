/* Simulates the surroundings of a node: its disk, targets and callers. */

#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <libwlbase/units.h>

#define SETTLE_MS 4000

static uint64_t cpu_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static wl_buf_t file_read(const char *path)
{
	wl_buf_t text = {0};
	char chunk[4096];
	FILE *file = fopen(path, "rb");
	size_t n;

	while (file && (n = fread(chunk, 1, sizeof(chunk), file)) > 0)
		wl_buf_append(&text, (wl_str_t){chunk, n});
	if (file)
		fclose(file);
	return text;
}

static void step(harness_t *harness, wl_event_t *event);

static harness_target_t *target_at(harness_t *harness, wl_str_t address)
{
	for (size_t i = 0; i < harness->target_count; i++)
		if (wl_str_equal(wl_buf_str(&harness->targets[i].announce.address), address))
			return &harness->targets[i];
	return NULL;
}

static void task_start(harness_t *harness, harness_target_t *target,
		       const wl_target_command_t *command)
{
	wl_task_usage_t *task = wl_list_add(&wl_task_usage_schema, &target->announce.tasks);

	wl_buf_set(&task->id, wl_buf_str(&command->task));
	wl_buf_set(&task->kind, wl_buf_str(&command->spec.kind));
	task->attempt = command->attempt;
	task->cpu_millis = command->spec.cpu_millis;
	task->memory_mib = command->spec.memory_mib;
	task->slowdown_permille = 1000;
	task->state = harness->keep_tasks_running ? WL_RUN_RUNNING : WL_RUN_FINISHED;
	harness->tasks_started++;
}

static void task_remove(harness_target_t *target, wl_str_t id)
{
	wl_task_usage_t *tasks = target->announce.tasks.items;

	for (size_t i = 0; i < target->announce.tasks.count; i++) {
		if (!wl_str_equal(wl_buf_str(&tasks[i].id), id))
			continue;
		wl_record_free(&wl_task_usage_schema, &tasks[i]);
		tasks[i] = tasks[--target->announce.tasks.count];
		return;
	}
}

static void command_answer(harness_t *harness, const wl_fetch_t *fetch, wl_buf_t *body)
{
	harness_target_t *target = target_at(harness, wl_buf_str(&fetch->address));
	wl_target_answer_t answer = {0};
	wl_target_command_t command;
	wl_err_t err;

	if (!target || !wl_record_from_json(&wl_target_command_schema, wl_buf_str(&fetch->body),
					    &command, &err)) {
		wl_buf_set(body, WL_STR("{}"));
		return;
	}
	if (wl_str_equal(wl_buf_str(&fetch->path), WL_STR("/v1/tasks/start")))
		task_start(harness, target, &command);
	if (wl_str_equal(wl_buf_str(&fetch->path), WL_STR("/v1/tasks/ack")))
		task_remove(target, wl_buf_str(&command.task));
	answer.epoch = command.epoch;
	answer.boot = target->announce.boot;
	answer.seq = target->announce.seq;
	wl_record_to_json(&wl_target_answer_schema, &answer, body);
	wl_record_free(&wl_target_command_schema, &command);
}

static void fetch_respond(harness_t *harness, const wl_fetch_t *fetch)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = fetch->id;
	event.fetched.sent = true;
	event.fetched.complete = true;
	event.fetched.status = 200;
	event.fetched.took_ns = 5 * WL_NS_PER_MS;
	if (wl_str_starts(wl_buf_str(&fetch->path), WL_STR("/v1/")))
		command_answer(harness, fetch, &event.fetched.body);
	else
		wl_buf_set(&event.fetched.body, WL_STR("answer"));
	step(harness, &event);
	wl_event_free(&event);
}

static void persist_complete(harness_t *harness, const wl_raft_persist_t *persist)
{
	const wl_raft_entry_t *entries = persist->entries.items;
	wl_event_t event;

	for (size_t i = 0; i < persist->entries.count; i++)
		harness->persisted_bytes += entries[i].data.len;
	wl_event_init(&event, WL_EVENT_PERSISTED);
	event.ticket = persist->ticket;
	step(harness, &event);
}

static void message_record(harness_t *harness, const wl_msg_t *msg)
{
	wl_buf_t bytes = {0};

	wl_msg_pack(msg, &bytes);
	harness->messages++;
	harness->message_bytes += bytes.len;
	wl_buf_free(&bytes);
}

static void action_handle(harness_t *harness, wl_action_t *action)
{
	switch (action->kind) {
	case WL_ACTION_FETCH:
		fetch_respond(harness, &action->fetch);
		return;
	case WL_ACTION_PERSIST:
		persist_complete(harness, &action->persist);
		return;
	case WL_ACTION_REPLY:
		harness->replies++;
		harness->last_status = action->reply.status;
		return;
	case WL_ACTION_SEND:
		message_record(harness, &action->msg);
		return;
	case WL_ACTION_FATAL:
		fprintf(stderr, "fatal: " WL_STR_FMT "\n", WL_STR_ARG(wl_buf_str(&action->line)));
		exit(1);
	case WL_ACTION_CALLER_CHECK:
	case WL_ACTION_DIAL:
	case WL_ACTION_FETCH_CANCEL:
	case WL_ACTION_PROPOSE:
	case WL_ACTION_LEADER_CALL:
	case WL_ACTION_LOG:
	case WL_ACTION_EXIT:
		return;
	}
}

static void step(harness_t *harness, wl_event_t *event)
{
	wl_out_t out = {0};
	uint64_t before = cpu_ns();

	wl_node_step(harness->node, harness->now_ns, event, &out);
	harness->step_cpu_ns += cpu_ns() - before;
	harness->steps++;
	for (size_t i = 0; i < out.count; i++)
		action_handle(harness, &out.actions[i]);
	wl_out_free(&out);
}

/*
 * harness_advance - advance the clock, in steps of the node's tick
 * @ms: time to advance, in milliseconds
 */
void harness_advance(harness_t *harness, uint64_t ms)
{
	uint64_t end_ns = harness->now_ns + ms * WL_NS_PER_MS;
	wl_event_t event;

	while (harness->now_ns < end_ns) {
		harness->now_ns += wl_node_tick_ns(harness->node);
		wl_event_init(&event, WL_EVENT_TICK);
		step(harness, &event);
	}
}

/*
 * harness_call - make an HTTP request to the node
 * @customer: customer name, or NULL
 * @if_match: value of If-Match, or NULL
 *
 * Return: the status of the last reply that the node has sent, to any request.
 */
uint64_t harness_call(harness_t *harness, wl_listener_t listener, const char *method,
		      const char *path, const char *customer, const char *if_match, wl_str_t body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = ++harness->next_call;
	event.call.listener = listener;
	wl_buf_set(&event.call.method, wl_str_from(method));
	wl_buf_set(&event.call.path, wl_str_from(path));
	wl_buf_set(&event.call.body, body);
	if (customer)
		wl_headers_add(&event.call.headers, WL_STR("Wisterialead-Customer"),
			       wl_str_from(customer));
	if (if_match)
		wl_headers_add(&event.call.headers, WL_STR("If-Match"), wl_str_from(if_match));
	step(harness, &event);
	wl_event_free(&event);
	return harness->last_status;
}

/*
 * harness_announce_all - send one announce from each target
 */
void harness_announce_all(harness_t *harness)
{
	for (size_t i = 0; i < harness->target_count; i++) {
		wl_announce_t *announce = &harness->targets[i].announce;
		wl_buf_t body = {0};

		announce->seq++;
		wl_record_to_json(&wl_announce_schema, announce, &body);
		harness_call(harness, WL_LISTENER_CONTROL, "POST", "/v1/targets/announce", NULL,
			     NULL, wl_buf_str(&body));
		wl_buf_free(&body);
	}
}

static void target_init(harness_target_t *target, size_t i)
{
	wl_announce_t *announce = &target->announce;

	wl_buf_printf(&announce->name, "w%zu", i);
	wl_buf_printf(&announce->address, "127.%zu.%zu.1:80", i / 250, i % 250);
	wl_buf_printf(&announce->rack, "r%zu", i / 11);
	wl_buf_printf(&announce->availability_zone, "az%zu", i / 11 % 3);
	wl_strings_add(&announce->services, WL_STR("tube-sort"));
	announce->boot = i + 1;
	announce->cpu_millis = 32000;
	announce->memory_mib = 125000;
	announce->accelerators = 1;
	announce->slots = 8;
	announce->connections = 64;
}

/*
 * harness_put_lists - send a list of plans and, at version 0, a list of customers
 * @base: current version of the lists
 * @weight: weight of each plan
 */
void harness_put_lists(harness_t *harness, size_t customer_count, uint64_t base, uint64_t weight)
{
	wl_buf_t customers = {0};
	wl_buf_t plans = {0};
	char match[32];

	wl_buf_printf(&plans, "{\"plans\":[");
	wl_buf_printf(&customers, "{\"customers\":[");
	for (size_t i = 0; i < customer_count; i++) {
		wl_buf_printf(&plans,
			      "%s{\"name\":\"p%zu\",\"weight\":%llu,\"services\":[\"tube-sort\"],"
			      "\"classes\":[\"urgent\",\"batch\"],\"max_concurrent\":100000,"
			      "\"requests_per_second\":1000000,\"cpu_millis\":40000000,"
			      "\"memory_mib\":200000000,\"accelerators\":1300}",
			      i ? "," : "", i, (unsigned long long)weight);
		wl_buf_printf(&customers, "%s{\"name\":\"c%zu\",\"plan\":\"p%zu\"}", i ? "," : "",
			      i, i);
	}
	wl_buf_printf(&plans, "]}");
	wl_buf_printf(&customers, "]}");
	snprintf(match, sizeof(match), "\"%llu\"", (unsigned long long)base);
	harness_call(harness, WL_LISTENER_CONTROL, "PUT", "/v1/config/plans", NULL, match,
		     wl_buf_str(&plans));
	if (base == 0)
		harness_call(harness, WL_LISTENER_CONTROL, "PUT", "/v1/config/customers", NULL,
			     match, wl_buf_str(&customers));
	wl_buf_free(&plans);
	wl_buf_free(&customers);
}

/*
 * harness_reset_counters - reset all counters to zero
 */
void harness_reset_counters(harness_t *harness)
{
	harness->step_cpu_ns = 0;
	harness->steps = 0;
	harness->tasks_started = 0;
	harness->messages = 0;
	harness->message_bytes = 0;
	harness->persisted_bytes = 0;
	harness->replies = 0;
}

/*
 * harness_init - start a node that is entry and the only replica, and owns all targets
 */
void harness_init(harness_t *harness, size_t target_count, size_t customer_count)
{
	static wl_raft_saved_t saved;
	static wl_buf_t task_chart;
	static wl_buf_t target_chart;
	static const wl_node_peer_t stores[] = {
		{{"e1", 2}, {"127.0.0.1:1", 11}},
	};
	wl_node_options_t options = {
		.name = WL_STR("e1"),
		.availability_zone = WL_STR("az0"),
		.peer_address = WL_STR("127.0.0.1:1"),
		.entry = true,
		.store = true,
		.stores = stores,
		.store_count = 1,
		.boot = 1,
		.store_id = 1,
		.saved = &saved,
		.seed = 1,
		.max_queued = 100000,
	};
	wl_err_t err = {0};

	memset(harness, 0, sizeof(*harness));
	memset(&saved, 0, sizeof(saved));
	wl_buf_free(&task_chart);
	wl_buf_free(&target_chart);
	task_chart = file_read(PROJECT_DIR "/charts/task.json");
	target_chart = file_read(PROJECT_DIR "/charts/target.json");
	options.task_chart = wl_buf_str(&task_chart);
	options.target_chart = wl_buf_str(&target_chart);
	harness->now_ns = WL_NS_PER_S;
	harness->node = wl_node_new(&options, harness->now_ns, &err);
	if (!harness->node) {
		fprintf(stderr, "node: %s\n", err.text);
		exit(1);
	}
	harness->targets = wl_alloc(target_count * sizeof(*harness->targets));
	harness->target_count = target_count;
	for (size_t i = 0; i < target_count; i++)
		target_init(&harness->targets[i], i);
	harness_advance(harness, SETTLE_MS);
	harness_put_lists(harness, customer_count, 0, 1);
	for (int i = 0; i < 4; i++) {
		harness_announce_all(harness);
		harness_advance(harness, 1000);
	}
	harness_reset_counters(harness);
}

/*
 * harness_free - free the node and the targets
 */
void harness_free(harness_t *harness)
{
	wl_node_free(harness->node);
	for (size_t i = 0; i < harness->target_count; i++)
		wl_record_free(&wl_announce_schema, &harness->targets[i].announce);
	free(harness->targets);
}
