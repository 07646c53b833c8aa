/* Measures each replica's processor time, including that of packing and unpacking its messages. */

#include "replicas.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <libwlbase/units.h>
#include <libwlcore/node/node.h>
#include <platform/platform.h>

#define TICK_NS			(10 * WL_NS_PER_MS)
#define IDLE_TICKS		1000 /* of which the mean is taken */
#define DELIVERIES_CAPACITY_MIN 1024

/* A packed message to a replica, or the completion of a sync of its disk. */
typedef struct delivery {
	size_t from;
	size_t to;
	wl_buf_t bytes;
	uint64_t ticket; /* of the sync; 0 for a message */
} delivery_t;

typedef struct replica {
	wl_node_t *node;
	wl_raft_saved_t saved;
	char name[8];
	uint64_t cpu_ns_total;
	uint64_t sent_bytes;
	uint64_t log_lines;
} replica_t;

static replica_t replicas[REPLICAS];
static delivery_t *deliveries;
static size_t delivery_count;
static size_t delivery_capacity;
static replicas_fetch_t on_fetch;
static size_t leader = REPLICAS;
static uint64_t now_ns = 5 * WL_NS_PER_S;
static uint64_t last_tick_ns;
static uint64_t next_call = 1;

static uint64_t cpu_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static size_t replica_by_name(const wl_buf_t *name)
{
	for (size_t i = 0; i < REPLICAS; i++)
		if (wl_str_equal(wl_buf_str(name), wl_str_from(replicas[i].name)))
			return i;
	abort();
}

static delivery_t *delivery_add(size_t from, size_t to)
{
	if (delivery_count == delivery_capacity) {
		delivery_capacity =
			delivery_capacity ? 2 * delivery_capacity : DELIVERIES_CAPACITY_MIN;
		deliveries = wl_realloc(deliveries, delivery_capacity * sizeof(*deliveries));
	}
	deliveries[delivery_count] = (delivery_t){.from = from, .to = to};
	return &deliveries[delivery_count++];
}

/* Hash of the HTTP calls of all replicas, in order. */
static uint64_t calls_digest;

static void fetch_digest(const wl_fetch_t *fetch)
{
	calls_digest = wl_str_hash(wl_buf_str(&fetch->address), calls_digest);
	calls_digest = wl_str_hash(wl_buf_str(&fetch->path), calls_digest);
	calls_digest = wl_str_hash(wl_buf_str(&fetch->body), calls_digest);
}

static void actions_handle(size_t node, wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		wl_action_t *action = &out->actions[i];

		if (action->kind == WL_ACTION_FETCH) {
			fetch_digest(&action->fetch);
			on_fetch(node, &action->fetch, now_ns);
		}
		if (action->kind == WL_ACTION_PERSIST)
			delivery_add(node, node)->ticket = action->persist.ticket;
		if (action->kind == WL_ACTION_LOG) {
			replicas[node].log_lines++;
			if (strstr(action->line.at, "event=sched-lead"))
				leader = node;
		}
	}
}

static void messages_send(size_t node, const wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		const wl_action_t *action = &out->actions[i];
		delivery_t *delivery;

		if (action->kind != WL_ACTION_SEND)
			continue;
		delivery = delivery_add(node, replica_by_name(&action->peer));
		wl_msg_pack(&action->msg, &delivery->bytes);
		replicas[node].sent_bytes += delivery->bytes.len;
	}
}

static void step(size_t node, wl_event_t *event)
{
	uint64_t before = cpu_ns();
	wl_out_t out;

	wl_out_init(&out);
	wl_node_step(replicas[node].node, now_ns, event, &out);
	messages_send(node, &out);
	replicas[node].cpu_ns_total += cpu_ns() - before;
	actions_handle(node, &out);
	before = cpu_ns();
	wl_out_free(&out);
	wl_event_free(event);
	replicas[node].cpu_ns_total += cpu_ns() - before;
}

static void delivery_complete(delivery_t *delivery)
{
	uint64_t before = cpu_ns();
	wl_event_t event;
	wl_err_t err;

	wl_event_init(&event, delivery->ticket ? WL_EVENT_PERSISTED : WL_EVENT_PEER);
	event.ticket = delivery->ticket;
	if (!delivery->ticket) {
		wl_buf_set(&event.peer, wl_str_from(replicas[delivery->from].name));
		if (!wl_msg_unpack(wl_buf_str(&delivery->bytes), &event.msg, &err))
			abort();
	}
	replicas[delivery->to].cpu_ns_total += cpu_ns() - before;
	step(delivery->to, &event);
	wl_buf_free(&delivery->bytes);
}

static void deliveries_complete(void)
{
	size_t count = delivery_count;

	for (size_t i = 0; i < count; i++) {
		delivery_t delivery = deliveries[i]; /* its step may add others and move them */

		delivery_complete(&delivery);
	}
	memmove(deliveries, deliveries + count, (delivery_count - count) * sizeof(*deliveries));
	delivery_count -= count;
}

static void tick(size_t node)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_TICK);
	event.wall_ms = now_ns / WL_NS_PER_MS;
	step(node, &event);
}

void replicas_advance(uint64_t ns)
{
	now_ns += ns;
	deliveries_complete();
	if (now_ns - last_tick_ns < TICK_NS)
		return;
	last_tick_ns = now_ns;
	for (size_t i = 0; i < REPLICAS; i++)
		tick(i);
}

/* A tick at the time of the one before finds nothing due. Return: whether it did nothing. */
static bool idle_tick(size_t node)
{
	wl_event_t event;
	wl_out_t out;
	bool idle;

	wl_event_init(&event, WL_EVENT_TICK);
	event.wall_ms = now_ns / WL_NS_PER_MS;
	wl_out_init(&out);
	wl_node_step(replicas[node].node, now_ns, &event, &out);
	idle = out.count == 0;
	wl_out_free(&out);
	wl_event_free(&event);
	return idle;
}

uint64_t replicas_idle_tick_ns(size_t node)
{
	uint64_t before;

	tick(node);
	before = cpu_ns();
	for (int i = 0; i < IDLE_TICKS; i++) {
		if (!idle_tick(node)) {
			fprintf(stderr, "wl-bench-jobs: a tick did something with nothing due\n");
			exit(1);
		}
	}
	return (cpu_ns() - before) / IDLE_TICKS;
}

void replicas_call(size_t node, wl_listener_t listener, const char *method, const char *path,
		   wl_str_t body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = next_call++;
	event.call.listener = listener;
	wl_buf_set(&event.call.method, wl_str_from(method));
	wl_buf_set(&event.call.path, wl_str_from(path));
	wl_buf_set(&event.call.body, body);
	wl_headers_add(&event.call.headers, WL_STR("Host"), WL_STR("h"));
	step(node, &event);
}

void replicas_answer(size_t node, uint64_t id, wl_str_t body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = id;
	event.fetched.sent = true;
	event.fetched.complete = true;
	event.fetched.status = 200;
	wl_buf_set(&event.fetched.body, body);
	step(node, &event);
}

static void chart_read(const char *path, wl_buf_t *chart)
{
	FILE *file = fopen(path, "re");
	char bytes[65536];
	size_t n = file ? fread(bytes, 1, sizeof(bytes), file) : 0;

	wl_buf_set(chart, (wl_str_t){bytes, n});
	if (file)
		fclose(file);
}

bool replicas_init(replicas_fetch_t fetch)
{
	static wl_node_peer_t peers[REPLICAS];
	static wl_buf_t charts[2];
	wl_err_t err;

	on_fetch = fetch;
	chart_read(PROJECT_DIR "/charts/task.json", &charts[0]);
	chart_read(PROJECT_DIR "/charts/target.json", &charts[1]);
	for (size_t i = 0; i < REPLICAS; i++) {
		snprintf(replicas[i].name, sizeof(replicas[i].name), "s%zu", i);
		peers[i].name = wl_str_from(replicas[i].name);
		peers[i].address = WL_STR("127.0.0.1:1");
	}
	for (size_t i = 0; i < REPLICAS; i++) {
		wl_node_options_t options = {
			.name = peers[i].name,
			.availability_zone = WL_STR("a"),
			.peer_address = peers[i].address,
			.store = true,
			.stores = peers,
			.store_count = REPLICAS,
			.boot = i + 1,
			.store_id = i + 1,
			.saved = &replicas[i].saved,
			.dialect = &wl_platform_dialect,
			.task_chart = wl_buf_str(&charts[0]),
			.target_chart = wl_buf_str(&charts[1]),
		};

		replicas[i].node = wl_node_new(&options, now_ns, &err);
		if (!replicas[i].node)
			return fprintf(stderr, "%s\n", err.text) < 0;
	}
	return true;
}

void replicas_free(void)
{
	for (size_t i = 0; i < REPLICAS; i++)
		wl_node_free(replicas[i].node);
	for (size_t i = 0; i < delivery_count; i++)
		wl_buf_free(&deliveries[i].bytes);
	free(deliveries);
}

uint64_t replicas_now_ns(void)
{
	return now_ns;
}

size_t replicas_leader(void)
{
	return leader;
}

uint64_t replicas_cpu_ns(size_t node)
{
	return replicas[node].cpu_ns_total;
}

uint64_t replicas_sent_bytes(size_t node)
{
	return replicas[node].sent_bytes;
}

uint64_t replicas_log_lines(size_t node)
{
	return replicas[node].log_lines;
}

uint64_t replicas_calls_digest(void)
{
	return calls_digest;
}

void replicas_reset_counters(void)
{
	for (size_t i = 0; i < REPLICAS; i++) {
		replicas[i].cpu_ns_total = 0;
		replicas[i].sent_bytes = 0;
		replicas[i].log_lines = 0;
	}
}
