/*
 * Open-loop load: requests leave at their intended times whatever became of
 * the ones before, and their latency counts from those times.
 */

#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <libwlbase/units.h>
#include <libwlnet/http_client.h>

#define MAX_CUSTOMERS 64
#define EVENT_SLOTS   65536
#define LATE_NS	      (2 * WL_NS_PER_S)
#define PERMILLE      1000
#define CHECK_BYTES   64

/* One request or task on its way. */
typedef struct shot {
	uint64_t due_ns; /* intended time, monotonic */
	size_t customer;
	bool task;
	wl_load_phase_t phase;
	bool done;
} shot_t;

typedef struct load {
	const wl_cli_settings_t *settings;
	wl_schedule_t schedule;
	wl_load_customer_t customers[MAX_CUSTOMERS];
	size_t customer_count;
	wl_str_t servers[MAX_CUSTOMERS];
	size_t server_count;
	wl_load_tally_t tasks;
	shot_t *shots;
	size_t shot_count;
	size_t shot_room;
	size_t open;
	wl_rng_t rng;
	wl_buf_t body;
	wl_ring_t *events;
	wl_http_client_t *client;
	uint64_t start_ns;
	uint64_t row;
	FILE *csv;
} load_t;

static uint64_t now_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static bool load_customers(load_t *load)
{
	wl_str_t rest = wl_buf_str(&load->settings->customer);

	while (rest.len && load->customer_count < MAX_CUSTOMERS) {
		wl_load_customer_t *customer = &load->customers[load->customer_count++];
		wl_str_t word;
		wl_str_t name;
		wl_str_t service;

		wl_str_split(rest, ',', &word, &rest);
		if (!wl_str_split(word, ':', &name, &service))
			service = wl_buf_str(&load->settings->service);
		wl_buf_set(&customer->name, name);
		wl_buf_set(&customer->service, service);
	}
	if (load->customer_count == 0)
		fprintf(stderr, "wisteriactl: load: --customer NAME[:SERVICE],...\n");
	return load->customer_count > 0;
}

static void load_servers(load_t *load)
{
	wl_str_t rest = wl_buf_str(&load->settings->server);

	while (rest.len && load->server_count < MAX_CUSTOMERS)
		wl_str_split(rest, ',', &load->servers[load->server_count++], &rest);
}

static bool load_init(load_t *load, const wl_cli_settings_t *settings)
{
	wl_http_client_options_t client = {
		.queue_slots = EVENT_SLOTS,
		.max_body_bytes = 4u << 20,
		.connect_ms = 2000,
		.max_connections_per_host = settings->connections,
	};
	wl_err_t err;

	memset(load, 0, sizeof(*load));
	load->settings = settings;
	wl_rng_init(&load->rng, settings->seed, 2);
	load_servers(load);
	if (!load_customers(load) || !wl_schedule_init(&load->schedule, settings))
		return false;
	for (uint64_t i = 0; i < settings->body_bytes; i++)
		wl_buf_append(&load->body, WL_STR("x"));
	load->events = wl_ring_new(EVENT_SLOTS, &err);
	client.events = load->events;
	load->client = load->events ? wl_http_client_start(&client, &err) : NULL;
	if (load->client)
		return true;
	fprintf(stderr, "wisteriactl: load: %s\n", err.text);
	return false;
}

static void load_free(load_t *load)
{
	wl_event_t *event;

	if (load->client)
		wl_http_client_stop(load->client);
	while (load->events && (event = wl_ring_pop(load->events))) {
		wl_event_free(event);
		free(event);
	}
	wl_ring_free(load->events);
	for (size_t i = 0; i < load->customer_count; i++) {
		wl_buf_free(&load->customers[i].name);
		wl_buf_free(&load->customers[i].service);
	}
	wl_schedule_free(&load->schedule);
	wl_buf_free(&load->body);
	free(load->shots);
	if (load->csv)
		fclose(load->csv);
}

/* A text that only this request has; its answer must hold it. */
static void shot_mark(const load_t *load, size_t index, char mark[CHECK_BYTES])
{
	snprintf(mark, CHECK_BYTES, "n=%llu-%zu-%llu", (unsigned long long)load->settings->seed,
		 index, (unsigned long long)load->start_ns);
}

static size_t shot_new(load_t *load, uint64_t due_ns, size_t customer, bool task)
{
	if (load->shot_count == load->shot_room) {
		load->shot_room = load->shot_room ? 2 * load->shot_room : 1024;
		load->shots = wl_realloc(load->shots, load->shot_room * sizeof(*load->shots));
	}
	load->shots[load->shot_count] = (shot_t){
		.due_ns = due_ns,
		.customer = customer,
		.task = task,
		.phase = wl_schedule_phase(&load->schedule, due_ns - load->start_ns),
	};
	return load->shot_count++;
}

static void fill_request(load_t *load, size_t index, wl_fetch_t *fetch)
{
	const wl_load_customer_t *customer = &load->customers[load->shots[index].customer];
	char mark[CHECK_BYTES];

	shot_mark(load, index, mark);
	wl_buf_set(&fetch->method, wl_buf_str(&load->settings->method));
	wl_buf_printf(&fetch->path, "/s/" WL_STR_FMT "/" WL_STR_FMT "?%s",
		      WL_STR_ARG(wl_buf_str(&customer->service)),
		      WL_STR_ARG(wl_buf_str(&load->settings->path)), mark);
	wl_buf_set(&fetch->body, wl_buf_str(&load->body));
}

static void fill_task(load_t *load, size_t index, wl_fetch_t *fetch)
{
	const wl_cli_settings_t *settings = load->settings;
	const wl_load_customer_t *customer = &load->customers[load->shots[index].customer];
	bool is_long = wl_rng_below(&load->rng, PERMILLE) < settings->long_permille;
	bool urgent = wl_rng_below(&load->rng, PERMILLE) < settings->urgent_permille;
	uint64_t run_ms = is_long ? settings->long_run_ms : settings->task_run_ms;
	char mark[CHECK_BYTES];

	shot_mark(load, index, mark);
	wl_buf_set(&fetch->method, WL_STR("POST"));
	wl_buf_set(&fetch->path, WL_STR("/v1/tasks"));
	wl_headers_add(&fetch->headers, WL_STR("Idempotency-Key"), wl_str_from(mark));
	wl_buf_printf(&fetch->body,
		      "{\"kind\":\"%s\",\"service\":\"" WL_STR_FMT "\",\"class\":\"%s\","
		      "\"cpu_millis\":%llu,\"memory_mib\":1024,\"accelerators\":0,\"run_ms\":%llu,"
		      "\"restartable\":true,\"payload\":\"run_ms=%llu\"}",
		      is_long ? "long" : "short", WL_STR_ARG(wl_buf_str(&customer->service)),
		      urgent ? "urgent" : "batch", (unsigned long long)settings->task_cpu_millis,
		      (unsigned long long)run_ms, (unsigned long long)run_ms);
}

static void fetch_release(wl_fetch_t *fetch)
{
	wl_buf_free(&fetch->address);
	wl_buf_free(&fetch->method);
	wl_buf_free(&fetch->path);
	wl_list_free(&wl_header_schema, &fetch->headers);
	wl_buf_free(&fetch->body);
}

static void tally_sent(load_t *load, const shot_t *shot)
{
	wl_load_customer_t *customer = &load->customers[shot->customer];

	if (shot->task) {
		load->tasks.sent++;
		return;
	}
	customer->whole.sent++;
	customer->second.sent++;
	customer->phases[shot->phase].sent++;
}

static void shoot(load_t *load, uint64_t due_ns, bool task)
{
	size_t customer = wl_rng_below(&load->rng, load->customer_count);
	size_t index = shot_new(load, due_ns, customer, task);
	wl_fetch_t fetch = {.id = index, .timeout_ms = load->settings->deadline_ms + 1000};
	wl_buf_t deadline = {0};

	wl_buf_set(&fetch.address, load->servers[wl_rng_below(&load->rng, load->server_count)]);
	wl_headers_add(&fetch.headers, WL_STR("Wisterialead-Customer"),
		       wl_buf_str(&load->customers[customer].name));
	wl_buf_printf(&deadline, "%llu", (unsigned long long)load->settings->deadline_ms);
	wl_headers_add(&fetch.headers, WL_STR("Wisterialead-Timeout-Ms"), wl_buf_str(&deadline));
	if (task)
		fill_task(load, index, &fetch);
	else
		fill_request(load, index, &fetch);
	tally_sent(load, &load->shots[index]);
	if (wl_http_client_fetch(load->client, &fetch))
		load->open++;
	else
		load->shots[index].done = true;
	fetch_release(&fetch);
	wl_buf_free(&deadline);
}

static bool answer_right(const load_t *load, size_t index, const wl_fetched_t *fetched)
{
	char mark[CHECK_BYTES];

	if (load->shots[index].task || fetched->status != 200)
		return true;
	shot_mark(load, index, mark);
	return memmem(fetched->body.at ? fetched->body.at : "", fetched->body.len, mark,
		      strlen(mark)) != NULL;
}

static wl_verdict_t answer_verdict(const shot_t *shot, const wl_fetched_t *fetched)
{
	const wl_buf_t *header = wl_headers_find(&fetched->headers, WL_STR("Wisterialead-Verdict"));
	wl_verdict_t verdict = WL_UNKNOWN;

	if (!fetched->sent)
		return WL_NOT_RUN;
	if (!fetched->complete)
		return WL_UNKNOWN;
	if (shot->task && fetched->status == 202)
		return WL_RAN;
	if (header)
		wl_verdict_parse(wl_buf_str(header), &verdict);
	return verdict;
}

static void tally_add(wl_load_tally_t *tally, wl_verdict_t verdict, bool wrong, uint64_t took_ns)
{
	switch (verdict) {
	case WL_RAN:
		tally->ran++;
		wl_hist_add(&tally->latency, took_ns);
		break;
	case WL_NOT_RUN:
		tally->not_run++;
		break;
	case WL_UNKNOWN:
		tally->unknown++;
		break;
	}
	if (wrong)
		tally->wrong++;
}

static void answered(load_t *load, const wl_fetched_t *fetched, uint64_t at_ns)
{
	shot_t *shot = &load->shots[fetched->id];
	wl_load_customer_t *customer = &load->customers[shot->customer];
	wl_verdict_t verdict = answer_verdict(shot, fetched);
	bool wrong = !answer_right(load, fetched->id, fetched);
	uint64_t took_ns = at_ns - shot->due_ns;

	shot->done = true;
	load->open--;
	if (shot->task) {
		tally_add(&load->tasks, verdict, wrong, took_ns);
		return;
	}
	tally_add(&customer->whole, verdict, wrong, took_ns);
	tally_add(&customer->second, verdict, wrong, took_ns);
	tally_add(&customer->phases[shot->phase], verdict, wrong, took_ns);
}

static void rows(load_t *load, uint64_t at_ns)
{
	while (at_ns >= load->start_ns + (load->row + 1) * WL_NS_PER_S) {
		for (size_t i = 0; i < load->customer_count; i++)
			wl_load_report_row(load->csv, load->row, &load->customers[i]);
		load->row++;
	}
}

/* Takes answers until a time. */
static void collect_until(load_t *load, uint64_t until_ns)
{
	for (;;) {
		uint64_t at_ns = now_ns();
		int wait_ms = at_ns < until_ns ? (int)((until_ns - at_ns) / WL_NS_PER_MS) : 0;
		wl_event_t *event = wait_ms > 0 ? wl_ring_wait(load->events, wait_ms)
						: wl_ring_pop(load->events);

		if (!event) {
			if (now_ns() >= until_ns)
				return;
			continue;
		}
		answered(load, &event->fetched, now_ns());
		wl_event_free(event);
		free(event);
		rows(load, at_ns);
	}
}

static void run_load(load_t *load)
{
	uint64_t request_ns = 0;
	uint64_t task_gap_ns =
		load->settings->tasks_per_s ? WL_NS_PER_S / load->settings->tasks_per_s : 0;
	uint64_t task_ns = task_gap_ns;
	uint64_t end_ns = load->schedule.length_ms * WL_NS_PER_MS;
	bool more = wl_schedule_next(&load->schedule, &request_ns);

	load->start_ns = now_ns();
	while (more || (task_gap_ns && task_ns < end_ns)) {
		bool task = task_gap_ns && task_ns < end_ns && (!more || task_ns < request_ns);
		uint64_t due_ns = task ? task_ns : request_ns;

		collect_until(load, load->start_ns + due_ns);
		shoot(load, load->start_ns + due_ns, task);
		if (task)
			task_ns += task_gap_ns;
		else
			more = wl_schedule_next(&load->schedule, &request_ns);
	}
	for (uint64_t limit = now_ns() + load->settings->deadline_ms * WL_NS_PER_MS + LATE_NS;
	     load->open > 0 && now_ns() < limit;)
		collect_until(load, now_ns() + 20 * WL_NS_PER_MS);
	rows(load, now_ns() + WL_NS_PER_S);
}

static wl_exit_t load_verdict(const load_t *load)
{
	uint64_t bad = load->open;

	for (size_t i = 0; i < load->customer_count; i++) {
		const wl_load_tally_t *tally = &load->customers[i].whole;

		bad += tally->wrong + (tally->sent - tally->ran);
	}
	bad += load->tasks.sent - load->tasks.ran;
	if (!load->settings->check || bad == 0)
		return WL_EXIT_OK;
	fprintf(stderr, "wisteriactl: load: %llu requests without their right answer\n",
		(unsigned long long)bad);
	return WL_EXIT_FAILED;
}

/*
 * wl_cmd_load - send an open-loop load to the callers' listeners and report
 */
wl_exit_t wl_cmd_load(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_exit_t code = WL_EXIT_USAGE;
	load_t *load = wl_alloc(sizeof(*load));

	(void)words;
	(void)count;
	if (load_init(load, settings)) {
		load->csv = settings->csv.len ? fopen(settings->csv.at, "w") : NULL;
		if (load->csv)
			fputs("second,customer,sent,ran,not_run,unknown,wrong,p50_us,p99_us,p999_"
			      "us\n",
			      load->csv);
		run_load(load);
		wl_load_report(settings, load->customers, load->customer_count, &load->tasks);
		code = load_verdict(load);
	}
	load_free(load);
	free(load);
	return code;
}
