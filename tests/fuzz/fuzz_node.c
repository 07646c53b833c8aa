/*
 * Fuzzes a whole daemon, without I/O: a replica that leads by itself, with two targets. The input
 * is a message of another daemon, a call, or the answer of one of the targets to each order. The
 * daemon must go on, and after a call or an answer it must still start a job on the other target.
 */

#include <stdlib.h>
#include <string.h>

#include <libwlbase/units.h>
#include <libwlcore/node/node.h>
#include <platform/platform.h>

#include "check.h"

#define TICK_NS	      (10 * WL_NS_PER_MS)
#define LEAD_MAX_MS   5000
#define ODD_MS	      400
#define START_MAX_MS  5000
#define ODD_ADDRESS   "10.0.0.1:8080"
#define SOUND_ADDRESS "10.0.0.2:8080"
#define FETCHES_MAX   64

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct daemon_state {
	wl_node_t *node;
	uint64_t now_ns;
	uint64_t calls;
	uint64_t status; /* of the newest reply */
	uint64_t sequence;
	wl_str_t odd; /* answers of the odd target */
	size_t sound_starts;
} daemon_state_t;

static wl_buf_t task_chart;
static wl_buf_t target_chart;

static void file_read(const char *path, wl_buf_t *text)
{
	char chunk[4096];
	FILE *file = fopen(path, "rb");
	size_t len;

	FUZZ_CHECK(file != NULL);
	while ((len = fread(chunk, 1, sizeof(chunk), file)) > 0)
		wl_buf_append(text, (wl_str_t){chunk, len});
	fclose(file);
}

static void charts_free(void)
{
	wl_buf_free(&task_chart);
	wl_buf_free(&target_chart);
}

static void charts_read(void)
{
	file_read(PROJECT_DIR "/charts/task.json", &task_chart);
	file_read(PROJECT_DIR "/charts/target.json", &target_chart);
	atexit(charts_free);
}

static void step(daemon_state_t *daemon, wl_event_t *event);

/* The answer of a target to an order. */
static void fetch_answer(daemon_state_t *daemon, const wl_fetch_t *fetch)
{
	bool odd = wl_str_equal(wl_buf_str(&fetch->address), WL_STR(ODD_ADDRESS));
	wl_event_t event;

	if (!odd && wl_str_equal(wl_buf_str(&fetch->path), WL_STR("/-/run-start")))
		daemon->sound_starts++;
	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = fetch->id;
	event.fetched.sent = true;
	event.fetched.complete = true;
	event.fetched.status = 200;
	if (odd && daemon->odd.len > 0)
		wl_buf_set(&event.fetched.body, daemon->odd);
	else
		wl_buf_printf(&event.fetched.body, "{\"clock_ms\":%llu,\"born\":1700000000000}",
			      (unsigned long long)(daemon->now_ns / WL_NS_PER_MS));
	step(daemon, &event);
}

static void persisted(daemon_state_t *daemon, uint64_t ticket)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PERSISTED);
	event.ticket = ticket;
	step(daemon, &event);
}

static void actions_take(daemon_state_t *daemon, wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		const wl_action_t *action = &out->actions[i];

		FUZZ_CHECK(action->kind != WL_ACTION_FATAL && action->kind != WL_ACTION_EXIT);
		if (action->kind == WL_ACTION_REPLY)
			daemon->status = action->reply.status;
		if (action->kind == WL_ACTION_PERSIST)
			persisted(daemon, action->persist.ticket);
	}
}

/* Orders are answered at the next tick, so that an odd answer causes a bounded number of orders. */
static wl_fetch_t fetches[FETCHES_MAX];
static size_t fetch_count;

static void fetches_keep(wl_out_t *out)
{
	for (size_t i = 0; i < out->count && fetch_count < FETCHES_MAX; i++) {
		wl_action_t *action = &out->actions[i];

		if (action->kind != WL_ACTION_FETCH)
			continue;
		fetches[fetch_count++] = action->fetch;
		memset(&action->fetch, 0, sizeof(action->fetch));
	}
}

static void fetch_free(wl_fetch_t *fetch)
{
	wl_buf_free(&fetch->address);
	wl_buf_free(&fetch->method);
	wl_buf_free(&fetch->path);
	wl_buf_free(&fetch->body);
	wl_list_free(&wl_header_schema, &fetch->headers);
}

static void step(daemon_state_t *daemon, wl_event_t *event)
{
	wl_out_t out = {0};

	wl_node_step(daemon->node, daemon->now_ns, event, &out);
	wl_event_free(event);
	fetches_keep(&out);
	actions_take(daemon, &out);
	wl_out_free(&out);
}

static void tick(daemon_state_t *daemon)
{
	wl_fetch_t open[FETCHES_MAX];
	size_t count = fetch_count;
	wl_event_t event;

	memcpy(open, fetches, count * sizeof(open[0]));
	fetch_count = 0;
	for (size_t i = 0; i < count; i++) {
		fetch_answer(daemon, &open[i]);
		fetch_free(&open[i]);
	}
	daemon->now_ns += TICK_NS;
	wl_event_init(&event, WL_EVENT_TICK);
	event.wall_ms = 1700000000000 + daemon->now_ns / WL_NS_PER_MS;
	step(daemon, &event);
}

static void call(daemon_state_t *daemon, wl_str_t text)
{
	wl_str_t line;
	wl_str_t body;
	wl_str_t method;
	wl_str_t path;
	wl_event_t event;

	wl_str_split(text, '\n', &line, &body);
	wl_str_split(line, ' ', &method, &path);
	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = ++daemon->calls;
	wl_buf_set(&event.call.method, method);
	wl_buf_set(&event.call.path, path);
	wl_buf_set(&event.call.body, body);
	wl_headers_add(&event.call.headers, WL_STR("Host"), WL_STR("q.example"));
	event.call.listener =
		wl_str_starts(path, WL_STR("/-/")) || wl_str_starts(path, WL_STR("/v1/"))
			? WL_LISTENER_CONTROL
			: WL_LISTENER_CALLER;
	daemon->status = 0;
	step(daemon, &event);
}

static void heartbeat(daemon_state_t *daemon, const char *id, const char *address)
{
	wl_buf_t text = {0};

	wl_buf_printf(
		&text,
		"POST /-/instances/%s/heartbeat\n"
		"{\"backend\":\"sort1\",\"address\":\"%s\",\"zone\":\"a\",\"state\":\"ready\","
		"\"version\":\"v1\",\"slots\":8,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},"
		"\"labels\":[\"%s\",\"r1\"],"
		"\"clock_ms\":%llu,\"sequence\":%llu,\"born\":1700000000000}",
		id, address, id, (unsigned long long)(daemon->now_ns / WL_NS_PER_MS),
		(unsigned long long)++daemon->sequence);
	call(daemon, wl_buf_str(&text));
	wl_buf_free(&text);
}

static void job(daemon_state_t *daemon, const char *id, const char *label)
{
	wl_buf_t text = {0};

	wl_buf_printf(&text,
		      "POST /lohu930/%s\n{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":500,"
		      "\"mem_mb\":256,\"required_label\":\"%s\"}]}",
		      id, label);
	call(daemon, wl_buf_str(&text));
	wl_buf_free(&text);
}

static void pass(daemon_state_t *daemon, uint64_t ms)
{
	for (uint64_t end_ns = daemon->now_ns + ms * WL_NS_PER_MS; daemon->now_ns < end_ns;)
		tick(daemon);
}

static void daemon_start(daemon_state_t *daemon)
{
	static const char config[] =
		"POST /-/config/replace\n{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":"
		"\"q.example\",\"path_prefix\":\"/lohu930/\",\"timeout_ms\":3000,\"backend\":"
		"\"sort1\"}],\"services\":[{\"name\":\"sort1\"}]}";
	static wl_node_peer_t self = {{"s1", 2}, {"127.0.0.1:1", 11}};
	wl_raft_saved_t saved = {0};
	wl_node_options_t options = {
		.name = WL_STR("s1"),
		.availability_zone = WL_STR("a"),
		.peer_address = WL_STR("127.0.0.1:1"),
		.entry = true,
		.store = true,
		.stores = &self,
		.store_count = 1,
		.boot = 1,
		.store_id = 7,
		.saved = &saved,
		.dialect = &wl_platform_dialect,
		.control_port = 8081,
		.task_chart = wl_buf_str(&task_chart),
		.target_chart = wl_buf_str(&target_chart),
		.seed = 1,
	};
	wl_err_t err;

	daemon->now_ns = WL_NS_PER_S;
	daemon->node = wl_node_new(&options, daemon->now_ns, &err);
	FUZZ_CHECK(daemon->node != NULL);
	for (uint64_t ms = 0; daemon->status != 200 && ms < LEAD_MAX_MS; ms += 100) {
		pass(daemon, 100);
		call(daemon, wl_str_from(config));
	}
	FUZZ_CHECK(daemon->status == 200);
	heartbeat(daemon, "i-7f", ODD_ADDRESS);
	heartbeat(daemon, "sound-target-1", SOUND_ADDRESS);
	job(daemon, "5c0e7a21d94b36f8", "i-7f");
	pass(daemon, 100);
}

static void check_starts(daemon_state_t *daemon)
{
	job(daemon, "00000000000000aa", "sound-target-1");
	for (uint64_t ms = 0; daemon->sound_starts == 0 && ms < START_MAX_MS; ms += 100) {
		if (ms % 1000 == 0)
			heartbeat(daemon, "sound-target-1", SOUND_ADDRESS);
		pass(daemon, 100);
	}
	FUZZ_CHECK(daemon->sound_starts > 0);
}

static void daemon_stop(daemon_state_t *daemon)
{
	for (size_t i = 0; i < fetch_count; i++)
		fetch_free(&fetches[i]);
	fetch_count = 0;
	wl_node_free(daemon->node);
}

static bool message(daemon_state_t *daemon, wl_str_t bytes)
{
	wl_event_t event;
	wl_err_t err;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, WL_STR("e1"));
	if (!wl_msg_unpack(bytes, &event.msg, &err)) {
		wl_event_free(&event);
		return false;
	}
	step(daemon, &event);
	pass(daemon, ODD_MS);
	return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_str_t input = {(const char *)data, size};
	daemon_state_t daemon = {0};
	bool config;

	if (task_chart.len == 0)
		charts_read();
	daemon_start(&daemon);
	if (message(&daemon, input)) {
		daemon_stop(&daemon);
		return 0;
	}
	if (size > 0 && data[0] == '{')
		daemon.odd = input;
	else
		call(&daemon, input);
	/* a valid configuration may remove the queue, and a valid call may end the daemon's work */
	config = wl_str_starts(input, WL_STR("POST /-/config"));
	pass(&daemon, ODD_MS);
	if (!config)
		check_starts(&daemon);
	daemon_stop(&daemon);
	return 0;
}
