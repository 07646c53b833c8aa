/* A daemon's surroundings, answered at once. */

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

static wl_buf_t read_whole(const char *path)
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

static void step(world_t *world, wl_event_t *event);

static world_target_t *target_at(world_t *world, wl_str_t address)
{
	for (size_t i = 0; i < world->target_count; i++)
		if (wl_str_equal(wl_buf_str(&world->targets[i].announce.address), address))
			return &world->targets[i];
	return NULL;
}

static void task_started(world_t *world, world_target_t *target, const wl_target_command_t *command)
{
	wl_task_usage_t *task = wl_list_add(&wl_task_usage_schema, &target->announce.tasks);

	wl_buf_set(&task->id, wl_buf_str(&command->task));
	wl_buf_set(&task->kind, wl_buf_str(&command->spec.kind));
	task->attempt = command->attempt;
	task->cpu_millis = command->spec.cpu_millis;
	task->memory_mib = command->spec.memory_mib;
	task->slowdown_permille = 1000;
	task->state = world->hold_tasks ? WL_RUN_RUNNING : WL_RUN_FINISHED;
	world->started++;
}

static void task_gone(world_target_t *target, wl_str_t id)
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

static void command_answer(world_t *world, const wl_fetch_t *fetch, wl_buf_t *body)
{
	world_target_t *target = target_at(world, wl_buf_str(&fetch->address));
	wl_target_answer_t answer = {0};
	wl_target_command_t command;
	wl_err_t err;

	if (!target || !wl_record_from_json(&wl_target_command_schema, wl_buf_str(&fetch->body),
					    &command, &err)) {
		wl_buf_set(body, WL_STR("{}"));
		return;
	}
	if (wl_str_equal(wl_buf_str(&fetch->path), WL_STR("/v1/tasks/start")))
		task_started(world, target, &command);
	if (wl_str_equal(wl_buf_str(&fetch->path), WL_STR("/v1/tasks/ack")))
		task_gone(target, wl_buf_str(&command.task));
	answer.epoch = command.epoch;
	answer.boot = target->announce.boot;
	answer.seq = target->announce.seq;
	wl_record_to_json(&wl_target_answer_schema, &answer, body);
	wl_record_free(&wl_target_command_schema, &command);
}

static void fetched(world_t *world, const wl_fetch_t *fetch)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = fetch->id;
	event.fetched.sent = true;
	event.fetched.whole = true;
	event.fetched.status = 200;
	event.fetched.took_ns = 5 * WL_NS_PER_MS;
	if (wl_str_starts(wl_buf_str(&fetch->path), WL_STR("/v1/")))
		command_answer(world, fetch, &event.fetched.body);
	else
		wl_buf_set(&event.fetched.body, WL_STR("answer"));
	step(world, &event);
	wl_event_free(&event);
}

static void persisted(world_t *world, const wl_raft_persist_t *persist)
{
	const wl_raft_entry_t *entries = persist->entries.items;
	wl_event_t event;

	for (size_t i = 0; i < persist->entries.count; i++)
		world->persisted_bytes += entries[i].data.len;
	wl_event_init(&event, WL_EVENT_PERSISTED);
	event.ticket = persist->ticket;
	step(world, &event);
}

static void sent(world_t *world, const wl_msg_t *msg)
{
	wl_buf_t bytes = {0};

	wl_msg_pack(msg, &bytes);
	world->messages++;
	world->message_bytes += bytes.len;
	wl_buf_free(&bytes);
}

static void act(world_t *world, wl_action_t *action)
{
	switch (action->kind) {
	case WL_ACTION_FETCH:
		fetched(world, &action->fetch);
		return;
	case WL_ACTION_PERSIST:
		persisted(world, &action->persist);
		return;
	case WL_ACTION_REPLY:
		world->replies++;
		world->last_status = action->reply.status;
		return;
	case WL_ACTION_SEND:
		sent(world, &action->msg);
		return;
	case WL_ACTION_FATAL:
		fprintf(stderr, "fatal: " WL_STR_FMT "\n", WL_STR_ARG(wl_buf_str(&action->line)));
		exit(1);
	case WL_ACTION_DIAL:
	case WL_ACTION_FETCH_CANCEL:
	case WL_ACTION_PROPOSE:
	case WL_ACTION_LEADER_CALL:
	case WL_ACTION_LOG:
	case WL_ACTION_EXIT:
		return;
	}
}

static void step(world_t *world, wl_event_t *event)
{
	wl_out_t out = {0};
	uint64_t before = cpu_ns();

	wl_node_step(world->node, world->now_ns, event, &out);
	world->spent_ns += cpu_ns() - before;
	world->steps++;
	for (size_t i = 0; i < out.count; i++)
		act(world, &out.actions[i]);
	wl_out_free(&out);
}

/*
 * world_tick - let time pass in steps of the node's tick
 */
void world_tick(world_t *world, uint64_t ms)
{
	uint64_t end_ns = world->now_ns + ms * WL_NS_PER_MS;
	wl_event_t event;

	while (world->now_ns < end_ns) {
		world->now_ns += wl_node_tick_ns(world->node);
		wl_event_init(&event, WL_EVENT_TICK);
		step(world, &event);
	}
}

/*
 * world_call - make an HTTP request
 *
 * Return: the status of the last reply that came meanwhile.
 */
uint64_t world_call(world_t *world, wl_listener_t listener, const char *method, const char *path,
		    const char *customer, const char *if_match, wl_str_t body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = ++world->next_call;
	event.call.listener = listener;
	wl_buf_set(&event.call.method, wl_str_from(method));
	wl_buf_set(&event.call.path, wl_str_from(path));
	wl_buf_set(&event.call.body, body);
	if (customer)
		wl_headers_add(&event.call.headers, WL_STR("Wisterialead-Customer"),
			       wl_str_from(customer));
	if (if_match)
		wl_headers_add(&event.call.headers, WL_STR("If-Match"), wl_str_from(if_match));
	step(world, &event);
	wl_event_free(&event);
	return world->last_status;
}

/*
 * world_announce_all - one announce of each target
 */
void world_announce_all(world_t *world)
{
	for (size_t i = 0; i < world->target_count; i++) {
		wl_announce_t *announce = &world->targets[i].announce;
		wl_buf_t body = {0};

		announce->seq++;
		wl_record_to_json(&wl_announce_schema, announce, &body);
		world_call(world, WL_LISTENER_CONTROL, "POST", "/v1/targets/announce", NULL, NULL,
			   wl_buf_str(&body));
		wl_buf_free(&body);
	}
}

static void target_init(world_target_t *target, size_t i)
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
 * world_lists - apply both lists
 * @base: version that they are at
 */
void world_lists(world_t *world, size_t customer_count, uint64_t base, uint64_t weight)
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
	world_call(world, WL_LISTENER_CONTROL, "PUT", "/v1/config/plans", NULL, match,
		   wl_buf_str(&plans));
	if (base == 0)
		world_call(world, WL_LISTENER_CONTROL, "PUT", "/v1/config/customers", NULL, match,
			   wl_buf_str(&customers));
	wl_buf_free(&plans);
	wl_buf_free(&customers);
}

/*
 * world_reset - begin to count anew
 */
void world_reset(world_t *world)
{
	world->spent_ns = 0;
	world->steps = 0;
	world->started = 0;
	world->messages = 0;
	world->message_bytes = 0;
	world->persisted_bytes = 0;
	world->replies = 0;
}

/*
 * world_init - a daemon that is entry and the only replica, owning all targets
 */
void world_init(world_t *world, size_t target_count, size_t customer_count)
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

	memset(world, 0, sizeof(*world));
	memset(&saved, 0, sizeof(saved));
	wl_buf_free(&task_chart);
	wl_buf_free(&target_chart);
	task_chart = read_whole(PROJECT_DIR "/charts/task.json");
	target_chart = read_whole(PROJECT_DIR "/charts/target.json");
	options.task_chart = wl_buf_str(&task_chart);
	options.target_chart = wl_buf_str(&target_chart);
	world->now_ns = WL_NS_PER_S;
	world->node = wl_node_new(&options, world->now_ns, &err);
	if (!world->node) {
		fprintf(stderr, "node: %s\n", err.text);
		exit(1);
	}
	world->targets = wl_alloc(target_count * sizeof(*world->targets));
	world->target_count = target_count;
	for (size_t i = 0; i < target_count; i++)
		target_init(&world->targets[i], i);
	world_tick(world, SETTLE_MS);
	world_lists(world, customer_count, 0, 1);
	for (int i = 0; i < 4; i++) {
		world_announce_all(world);
		world_tick(world, 1000);
	}
	world_reset(world);
}

/*
 * world_free - release the daemon and its surroundings
 */
void world_free(world_t *world)
{
	wl_node_free(world->node);
	for (size_t i = 0; i < world->target_count; i++)
		wl_record_free(&wl_announce_schema, &world->targets[i].announce);
	free(world->targets);
}
