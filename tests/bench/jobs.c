/*
 * Processor time of scheduling jobs: one replica that leads, targets that answer at once,
 * starts at the rate given.  Prints CSV: targets, starts, microseconds a start, cores.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <libwlbase/units.h>
#include <libwlcore/node/node.h>
#include <platform/platform.h>

#define RUN_MS	     10000ul /* simulated */
#define TASK_MS	     700
#define TASKS	     8 /* of a job */
#define RUNS_MOST    65536
#define TARGETS_MOST 2000
#define FETCHES_MOST 65536

typedef struct run {
	char name[64];
	uint64_t number;
	uint64_t until_ns;
	size_t target;
	bool listed;
} run_t;

typedef struct hold {
	uint64_t id;
	uint64_t until_ns; /* 0: none waits */
} hold_t;

static wl_node_t *node;
static uint64_t now_ns = 5 * WL_NS_PER_S;
static uint64_t spent_ns;
static uint64_t next_call = 1;
static uint64_t starts;
static run_t runs[RUNS_MOST];
static size_t run_count;
static hold_t holds[TARGETS_MOST];
static uint64_t next_end[TARGETS_MOST];
static size_t target_count;
static wl_fetch_t fetches[FETCHES_MOST];
static size_t fetch_count;

static uint64_t cpu_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static void step(wl_event_t *event);

static void act(wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		wl_action_t *action = &out->actions[i];

		if (action->kind == WL_ACTION_FETCH && fetch_count < FETCHES_MOST) {
			fetches[fetch_count++] = action->fetch;
			memset(&action->fetch, 0, sizeof(action->fetch));
		}
		if (action->kind == WL_ACTION_PERSIST) {
			wl_event_t done;

			wl_event_init(&done, WL_EVENT_PERSISTED);
			done.ticket = action->persist.ticket;
			step(&done);
		}
	}
}

static void step(wl_event_t *event)
{
	uint64_t before = cpu_ns();
	wl_out_t out;

	wl_out_init(&out);
	wl_node_step(node, now_ns, event, &out);
	spent_ns += cpu_ns() - before;
	act(&out);
	wl_out_free(&out);
	wl_event_free(event);
}

static void call(wl_listener_t listener, const char *method, const char *path, const char *body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = next_call++;
	event.call.listener = listener;
	wl_buf_set(&event.call.method, wl_str_from(method));
	wl_buf_set(&event.call.path, wl_str_from(path));
	wl_buf_set(&event.call.body, wl_str_from(body));
	wl_headers_add(&event.call.headers, WL_STR("Host"), WL_STR("h"));
	step(&event);
}

static void tick(void)
{
	wl_event_t event;

	now_ns += 10 * WL_NS_PER_MS;
	wl_event_init(&event, WL_EVENT_TICK);
	event.wall_ms = now_ns / WL_NS_PER_MS;
	step(&event);
}

static void answer(uint64_t id, wl_str_t body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = id;
	event.fetched.sent = true;
	event.fetched.whole = true;
	event.fetched.status = 200;
	wl_buf_set(&event.fetched.body, body);
	step(&event);
}

static void start_take(const wl_fetch_t *fetch, size_t target)
{
	run_t *run = &runs[run_count++ % RUNS_MOST];
	const char *name = strstr(fetch->body.at, "\"task\":\"") + 8;

	memset(run, 0, sizeof(*run));
	memcpy(run->name, name, strcspn(name, "\""));
	run->number = 1;
	run->until_ns = now_ns + TASK_MS * WL_NS_PER_MS;
	run->target = target;
	starts++;
}

static void hold_answer(size_t target, uint64_t id)
{
	size_t from = run_count > RUNS_MOST ? run_count - RUNS_MOST : 0;
	wl_buf_t running = {0};
	wl_buf_t ends = {0};
	wl_buf_t body = {0};

	for (size_t i = from; i < run_count; i++) {
		run_t *run = &runs[i % RUNS_MOST];

		if (run->target != target || run->listed)
			continue;
		if (run->until_ns <= now_ns) {
			run->listed = true;
			wl_buf_printf(&ends, "%s[%llu,\"%s\",1,\"done\",\"\"]", ends.len ? "," : "",
				      (unsigned long long)++next_end[target], run->name);
		} else {
			wl_buf_printf(&running, "%s[\"%s\",1,\"\",50,900]", running.len ? "," : "",
				      run->name);
		}
	}
	wl_buf_printf(&body, "{\"clock_ms\":%llu,\"born\":1,\"running\":[%s],\"completions\":[%s]}",
		      (unsigned long long)(now_ns / WL_NS_PER_MS), running.at ? running.at : "",
		      ends.at ? ends.at : "");
	answer(id, wl_buf_str(&body));
	wl_buf_free(&running);
	wl_buf_free(&ends);
	wl_buf_free(&body);
}

static bool has_end(size_t target)
{
	size_t from = run_count > 4096 ? run_count - 4096 : 0;

	for (size_t i = from; i < run_count; i++)
		if (runs[i % RUNS_MOST].target == target && !runs[i % RUNS_MOST].listed &&
		    runs[i % RUNS_MOST].until_ns <= now_ns)
			return true;
	return false;
}

static void targets_play(void)
{
	size_t count = fetch_count;

	for (size_t i = 0; i < count; i++) {
		size_t target = strtoul(strchr(fetches[i].address.at, ':') + 1, NULL, 10);
		bool hold = strstr(fetches[i].path.at, "hold") != NULL;

		if (hold) {
			holds[target] = (hold_t){fetches[i].id, now_ns + WL_NS_PER_S};
		} else {
			char body[64];

			if (strstr(fetches[i].path.at, "start"))
				start_take(&fetches[i], target);
			snprintf(body, sizeof(body), "{\"clock_ms\":%llu}",
				 (unsigned long long)(now_ns / WL_NS_PER_MS));
			answer(fetches[i].id, wl_str_from(body));
		}
		wl_buf_free(&fetches[i].address);
		wl_buf_free(&fetches[i].method);
		wl_buf_free(&fetches[i].path);
		wl_buf_free(&fetches[i].body);
		wl_list_free(&wl_header_schema, &fetches[i].headers);
	}
	memmove(fetches, fetches + count, (fetch_count - count) * sizeof(*fetches));
	fetch_count -= count;
	for (size_t i = 0; i < target_count; i++) {
		hold_t hold = holds[i];

		if (hold.until_ns == 0 || (now_ns < hold.until_ns && !has_end(i)))
			continue;
		holds[i].until_ns = 0;
		hold_answer(i, hold.id);
	}
}

static void report_all(uint64_t sequence)
{
	char path[64];
	char body[512];

	for (size_t i = 0; i < target_count; i++) {
		snprintf(path, sizeof(path), "/-/instances/i-%zu/heartbeat", i);
		snprintf(body, sizeof(body),
			 "{\"backend\":\"s\",\"address\":\"10.0.0.1:%zu\",\"zone\":\"a\",\"state\":"
			 "\"ready\",\"capacity\":{\"cpu\":32000,\"mem_mb\":128000},\"labels\":["
			 "\"a\","
			 "\"r%zu\"],\"clock_ms\":%llu,\"sequence\":%llu,\"born\":1}",
			 i, i / 12, (unsigned long long)(now_ns / WL_NS_PER_MS),
			 (unsigned long long)sequence);
		call(WL_LISTENER_CONTROL, "POST", path, body);
	}
}

static void job_hand_in(uint64_t number)
{
	char path[64];

	snprintf(path, sizeof(path), "/q/%016llx", (unsigned long long)number);
	call(WL_LISTENER_CALLER, "POST", path,
	     "{\"spec\":\"work\",\"steps\":[{\"count\":8,\"cpu\":3100,\"mem_mb\":6000,"
	     "\"estimated_ms\":700}]}");
}

static bool node_make(void)
{
	static wl_raft_saved_t saved;
	static wl_node_peer_t store = {{"s1", 2}, {"127.0.0.1:1", 11}};
	wl_node_options_t options = {
		.name = WL_STR("s1"),
		.availability_zone = WL_STR("a"),
		.peer_address = WL_STR("127.0.0.1:1"),
		.store = true,
		.stores = &store,
		.store_count = 1,
		.boot = 1,
		.store_id = 7,
		.saved = &saved,
		.dialect = &wl_platform_dialect,
		.compact_entries = 1000000,
	};
	wl_buf_t charts[2] = {{0}, {0}};
	const char *const names[2] = {PROJECT_DIR "/charts/task.json",
				      PROJECT_DIR "/charts/target.json"};
	wl_err_t err;

	for (int i = 0; i < 2; i++) {
		FILE *file = fopen(names[i], "re");
		char bytes[65536];
		size_t n = file ? fread(bytes, 1, sizeof(bytes), file) : 0;

		wl_buf_set(&charts[i], (wl_str_t){bytes, n});
		if (file)
			fclose(file);
	}
	options.task_chart = wl_buf_str(&charts[0]);
	options.target_chart = wl_buf_str(&charts[1]);
	node = wl_node_new(&options, now_ns, &err);
	if (!node)
		fprintf(stderr, "%s\n", err.text);
	return node != NULL;
}

int main(int argc, char **argv)
{
	uint64_t per_s = argc > 2 ? strtoul(argv[2], NULL, 10) : 180;
	uint64_t jobs = 0;

	target_count = argc > 1 ? strtoul(argv[1], NULL, 10) : 66;
	if (target_count > TARGETS_MOST || !node_make())
		return 1;
	for (int i = 0; i < 200; i++)
		tick();
	call(WL_LISTENER_CONTROL, "POST", "/-/config/replace",
	     "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
	     "\"timeout_ms\":3000,\"backend\":\"s\",\"target_latency_ms\":250,\"slack_factor\":1.5}"
	     "],"
	     "\"services\":[{\"name\":\"s\"}]}");
	report_all(1);
	spent_ns = 0;
	for (uint64_t ms = 0; ms < RUN_MS; ms += 10) {
		for (; jobs * TASKS * 1000 < per_s * ms; jobs++)
			job_hand_in(jobs + 1);
		if (ms % 1100 == 0)
			report_all(2 + ms);
		tick();
		targets_play();
	}
	printf("targets,starts,us_a_start,cores\n%zu,%llu,%.1f,%.4f\n", target_count,
	       (unsigned long long)starts, (double)spent_ns / 1000 / (double)(starts ? starts : 1),
	       (double)spent_ns / (RUN_MS * WL_NS_PER_MS));
	wl_node_free(node);
	return 0;
}
