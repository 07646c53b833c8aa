/* Replicas in one process; the processor time of each is counted, with that of its messages. */

#include "replicas.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <libwlbase/units.h>
#include <libwlcore/node/node.h>
#include <platform/platform.h>

#define TICK_NS	    (10 * WL_NS_PER_MS)
#define LINKED_MOST 65536

/* On the way to a replica: a packed message, or a ticket of its disk. */
typedef struct parcel {
	size_t from;
	size_t to;
	wl_buf_t bytes;
	uint64_t ticket; /* of a sync */
} parcel_t;

typedef struct replica {
	wl_node_t *node;
	wl_raft_saved_t saved;
	char name[8];
	uint64_t spent_ns;
	uint64_t sent_bytes;
	uint64_t logged;
} replica_t;

static replica_t replicas[REPLICAS];
static parcel_t parcels[LINKED_MOST];
static size_t parcel_count;
static replicas_fetch_t fetch_to;
static size_t leader = REPLICAS;
static uint64_t now_ns = 5 * WL_NS_PER_S;
static uint64_t ticked_ns;
static uint64_t next_call = 1;

static uint64_t cpu_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static size_t replica_named(const wl_buf_t *name)
{
	for (size_t i = 0; i < REPLICAS; i++)
		if (wl_str_equal(wl_buf_str(name), wl_str_from(replicas[i].name)))
			return i;
	abort();
}

static parcel_t *parcel_add(size_t from, size_t to)
{
	if (parcel_count == LINKED_MOST)
		abort();
	parcels[parcel_count] = (parcel_t){.from = from, .to = to};
	return &parcels[parcel_count++];
}

/* Of the calls that all replicas make, in their order. */
static uint64_t calls_digest;

static void fetch_digest(const wl_fetch_t *fetch)
{
	calls_digest = wl_str_hash(wl_buf_str(&fetch->address), calls_digest);
	calls_digest = wl_str_hash(wl_buf_str(&fetch->path), calls_digest);
	calls_digest = wl_str_hash(wl_buf_str(&fetch->body), calls_digest);
}

static void act(size_t node, wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		wl_action_t *action = &out->actions[i];

		if (action->kind == WL_ACTION_FETCH) {
			fetch_digest(&action->fetch);
			fetch_to(node, &action->fetch, now_ns);
		}
		if (action->kind == WL_ACTION_PERSIST)
			parcel_add(node, node)->ticket = action->persist.ticket;
		if (action->kind == WL_ACTION_LOG) {
			replicas[node].logged++;
			if (strstr(action->line.at, "event=sched-lead"))
				leader = node;
		}
	}
}

static void sends_pack(size_t node, const wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		const wl_action_t *action = &out->actions[i];
		parcel_t *parcel;

		if (action->kind != WL_ACTION_SEND)
			continue;
		parcel = parcel_add(node, replica_named(&action->peer));
		wl_msg_pack(&action->msg, &parcel->bytes);
		replicas[node].sent_bytes += parcel->bytes.len;
	}
}

static void step(size_t node, wl_event_t *event)
{
	uint64_t before = cpu_ns();
	wl_out_t out;

	wl_out_init(&out);
	wl_node_step(replicas[node].node, now_ns, event, &out);
	sends_pack(node, &out);
	replicas[node].spent_ns += cpu_ns() - before;
	act(node, &out);
	before = cpu_ns();
	wl_out_free(&out);
	wl_event_free(event);
	replicas[node].spent_ns += cpu_ns() - before;
}

static void parcel_deliver(parcel_t *parcel)
{
	uint64_t before = cpu_ns();
	wl_event_t event;
	wl_err_t err;

	wl_event_init(&event, parcel->ticket ? WL_EVENT_PERSISTED : WL_EVENT_PEER);
	event.ticket = parcel->ticket;
	if (!parcel->ticket) {
		wl_buf_set(&event.peer, wl_str_from(replicas[parcel->from].name));
		if (!wl_msg_unpack(wl_buf_str(&parcel->bytes), &event.msg, &err))
			abort();
	}
	replicas[parcel->to].spent_ns += cpu_ns() - before;
	step(parcel->to, &event);
	wl_buf_free(&parcel->bytes);
}

static void parcels_deliver(void)
{
	size_t count = parcel_count;

	for (size_t i = 0; i < count; i++)
		parcel_deliver(&parcels[i]);
	memmove(parcels, parcels + count, (parcel_count - count) * sizeof(*parcels));
	parcel_count -= count;
}

void replicas_pass(uint64_t ns)
{
	now_ns += ns;
	parcels_deliver();
	if (now_ns - ticked_ns < TICK_NS)
		return;
	ticked_ns = now_ns;
	for (size_t i = 0; i < REPLICAS; i++) {
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_TICK);
		event.wall_ms = now_ns / WL_NS_PER_MS;
		step(i, &event);
	}
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

	fetch_to = fetch;
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
	for (size_t i = 0; i < parcel_count; i++)
		wl_buf_free(&parcels[i].bytes);
}

uint64_t replicas_now_ns(void)
{
	return now_ns;
}

size_t replicas_leader(void)
{
	return leader;
}

uint64_t replicas_spent_ns(size_t node)
{
	return replicas[node].spent_ns;
}

uint64_t replicas_sent_bytes(size_t node)
{
	return replicas[node].sent_bytes;
}

uint64_t replicas_logged(size_t node)
{
	return replicas[node].logged;
}

uint64_t replicas_digest(void)
{
	return calls_digest;
}

void replicas_count_anew(void)
{
	for (size_t i = 0; i < REPLICAS; i++) {
		replicas[i].spent_ns = 0;
		replicas[i].sent_bytes = 0;
		replicas[i].logged = 0;
	}
}
