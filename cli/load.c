/*
 * Open-loop load: requests are sent at their scheduled times whether or not earlier ones have
 * been answered, and latency is measured from the scheduled time.
 */

#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <libwlbase/units.h>
#include <libwlnet/http_client.h>

#define MAX_CUSTOMERS	64 /* also the limit of servers; further ones are ignored */
#define EVENT_SLOTS	65536
#define ANSWER_GRACE_NS (2 * WL_NS_PER_S) /* wait for answers past the last deadline */
#define PERMILLE	1000
#define MARKER_BYTES	64

/* One request or task submission. */
typedef struct load_request {
	uint64_t due_ns; /* scheduled time, monotonic clock */
	size_t customer; /* index in the load's customers */
	bool task;
	wl_load_phase_t phase;
	bool done;
} load_request_t;

typedef struct load {
	const wl_cli_settings_t *settings;
	wl_schedule_t schedule;
	wl_load_customer_t customers[MAX_CUSTOMERS];
	size_t customer_count;
	wl_str_t servers[MAX_CUSTOMERS];
	size_t server_count;
	wl_load_tally_t tasks;
	load_request_t *requests;
	size_t request_count;
	size_t request_capacity;
	size_t open; /* requests sent and not answered yet */
	wl_rng_t rng;
	wl_buf_t body;
	wl_ring_t *events;
	wl_http_client_t *client;
	uint64_t start_ns;
	uint64_t next_row_second; /* second since the start that the next CSV row covers */
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
		fprintf(stderr, "wisteriactl: load: needs --customer NAME[:SERVICE],...\n");
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
	free(load->requests);
	if (load->csv)
		fclose(load->csv);
}

/* Writes a text that is unique to the request; the target echoes it in the answer. */
static void request_marker(const load_t *load, size_t index, char marker[MARKER_BYTES])
{
	snprintf(marker, MARKER_BYTES, "n=%llu-%zu-%llu", (unsigned long long)load->settings->seed,
		 index, (unsigned long long)load->start_ns);
}

static size_t request_new(load_t *load, uint64_t due_ns, size_t customer, bool task)
{
	if (load->request_count == load->request_capacity) {
		load->request_capacity = load->request_capacity ? 2 * load->request_capacity : 1024;
		load->requests = wl_realloc(load->requests,
					    load->request_capacity * sizeof(*load->requests));
	}
	load->requests[load->request_count] = (load_request_t){
		.due_ns = due_ns,
		.customer = customer,
		.task = task,
		.phase = wl_schedule_phase(&load->schedule, due_ns - load->start_ns),
	};
	return load->request_count++;
}

static void request_fill(load_t *load, size_t index, wl_fetch_t *fetch)
{
	const wl_load_customer_t *customer = &load->customers[load->requests[index].customer];
	char marker[MARKER_BYTES];

	request_marker(load, index, marker);
	wl_buf_set(&fetch->method, wl_buf_str(&load->settings->method));
	wl_buf_printf(&fetch->path, "/s/" WL_STR_FMT "/" WL_STR_FMT "?%s",
		      WL_STR_ARG(wl_buf_str(&customer->service)),
		      WL_STR_ARG(wl_buf_str(&load->settings->path)), marker);
	wl_buf_set(&fetch->body, wl_buf_str(&load->body));
}

static void task_fill(load_t *load, size_t index, wl_fetch_t *fetch)
{
	const wl_cli_settings_t *settings = load->settings;
	const wl_load_customer_t *customer = &load->customers[load->requests[index].customer];
	bool is_long = wl_rng_below(&load->rng, PERMILLE) < settings->long_permille;
	bool urgent = wl_rng_below(&load->rng, PERMILLE) < settings->urgent_permille;
	uint64_t run_ms = is_long ? settings->long_run_ms : settings->task_run_ms;
	char marker[MARKER_BYTES];

	request_marker(load, index, marker);
	wl_buf_set(&fetch->method, WL_STR("POST"));
	wl_buf_set(&fetch->path, WL_STR("/v1/tasks"));
	wl_headers_add(&fetch->headers, WL_STR("Idempotency-Key"), wl_str_from(marker));
	wl_buf_printf(&fetch->body,
		      "{\"kind\":\"%s\",\"service\":\"" WL_STR_FMT "\",\"class\":\"%s\","
		      "\"cpu_millis\":%llu,\"memory_mib\":1024,\"accelerators\":0,\"run_ms\":%llu,"
		      "\"restartable\":true,\"payload\":\"run_ms=%llu\"}",
		      is_long ? "long" : "short", WL_STR_ARG(wl_buf_str(&customer->service)),
		      urgent ? "urgent" : "batch", (unsigned long long)settings->task_cpu_millis,
		      (unsigned long long)run_ms, (unsigned long long)run_ms);
}

static void fetch_free(wl_fetch_t *fetch)
{
	wl_buf_free(&fetch->address);
	wl_buf_free(&fetch->method);
	wl_buf_free(&fetch->path);
	wl_list_free(&wl_header_schema, &fetch->headers);
	wl_buf_free(&fetch->body);
}

static void tally_sent(load_t *load, const load_request_t *request)
{
	wl_load_customer_t *customer = &load->customers[request->customer];

	if (request->task) {
		load->tasks.sent++;
		return;
	}
	customer->total.sent++;
	customer->current_second.sent++;
	customer->phases[request->phase].sent++;
}

static void request_send(load_t *load, uint64_t due_ns, bool task)
{
	size_t customer = wl_rng_below(&load->rng, load->customer_count);
	size_t index = request_new(load, due_ns, customer, task);
	wl_fetch_t fetch = {.id = index, .timeout_ms = load->settings->deadline_ms + 1000};
	wl_buf_t deadline = {0};

	wl_buf_set(&fetch.address, load->servers[wl_rng_below(&load->rng, load->server_count)]);
	wl_headers_add(&fetch.headers, WL_STR("Wisterialead-Customer"),
		       wl_buf_str(&load->customers[customer].name));
	wl_buf_printf(&deadline, "%llu", (unsigned long long)load->settings->deadline_ms);
	wl_headers_add(&fetch.headers, WL_STR("Wisterialead-Timeout-Ms"), wl_buf_str(&deadline));
	if (task)
		task_fill(load, index, &fetch);
	else
		request_fill(load, index, &fetch);
	tally_sent(load, &load->requests[index]);
	if (wl_http_client_fetch(load->client, &fetch))
		load->open++;
	else
		load->requests[index].done = true;
	fetch_free(&fetch);
	wl_buf_free(&deadline);
}

static bool answer_matches(const load_t *load, size_t index, const wl_fetched_t *fetched)
{
	char marker[MARKER_BYTES];

	if (load->requests[index].task || fetched->status != 200)
		return true;
	request_marker(load, index, marker);
	return memmem(fetched->body.at ? fetched->body.at : "", fetched->body.len, marker,
		      strlen(marker)) != NULL;
}

static wl_verdict_t answer_verdict(const load_request_t *request, const wl_fetched_t *fetched)
{
	const wl_buf_t *header = wl_headers_find(&fetched->headers, WL_STR("Wisterialead-Verdict"));
	wl_verdict_t verdict = WL_UNKNOWN;

	if (!fetched->sent)
		return WL_NOT_RUN;
	if (!fetched->complete)
		return WL_UNKNOWN;
	if (request->task && fetched->status == 202)
		return WL_RAN;
	if (header)
		wl_verdict_parse(wl_buf_str(header), &verdict);
	return verdict;
}

static void tally_add(wl_load_tally_t *tally, wl_verdict_t verdict, bool wrong, uint64_t latency_ns)
{
	switch (verdict) {
	case WL_RAN:
		tally->ran++;
		wl_hist_add(&tally->latency, latency_ns);
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

static void answer_receive(load_t *load, const wl_fetched_t *fetched, uint64_t at_ns)
{
	load_request_t *request = &load->requests[fetched->id];
	wl_load_customer_t *customer = &load->customers[request->customer];
	wl_verdict_t verdict = answer_verdict(request, fetched);
	bool wrong = !answer_matches(load, fetched->id, fetched);
	uint64_t latency_ns = at_ns - request->due_ns;

	request->done = true;
	load->open--;
	if (request->task) {
		tally_add(&load->tasks, verdict, wrong, latency_ns);
		return;
	}
	tally_add(&customer->total, verdict, wrong, latency_ns);
	tally_add(&customer->current_second, verdict, wrong, latency_ns);
	tally_add(&customer->phases[request->phase], verdict, wrong, latency_ns);
}

static void rows_write(load_t *load, uint64_t at_ns)
{
	while (at_ns >= load->start_ns + (load->next_row_second + 1) * WL_NS_PER_S) {
		for (size_t i = 0; i < load->customer_count; i++)
			wl_load_report_row(load->csv, load->next_row_second, &load->customers[i]);
		load->next_row_second++;
	}
}

/* Receives answers until a time of the monotonic clock. */
static void answers_receive_until(load_t *load, uint64_t until_ns)
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
		answer_receive(load, &event->fetched, now_ns());
		wl_event_free(event);
		free(event);
		rows_write(load, at_ns);
	}
}

static void load_run(load_t *load)
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

		answers_receive_until(load, load->start_ns + due_ns);
		request_send(load, load->start_ns + due_ns, task);
		if (task)
			task_ns += task_gap_ns;
		else
			more = wl_schedule_next(&load->schedule, &request_ns);
	}
	for (uint64_t limit_ns =
		     now_ns() + load->settings->deadline_ms * WL_NS_PER_MS + ANSWER_GRACE_NS;
	     load->open > 0 && now_ns() < limit_ns;)
		answers_receive_until(load, now_ns() + 20 * WL_NS_PER_MS);
	rows_write(load, now_ns() + WL_NS_PER_S);
}

static wl_exit_t load_exit_code(const load_t *load)
{
	uint64_t failures = load->open;

	for (size_t i = 0; i < load->customer_count; i++) {
		const wl_load_tally_t *tally = &load->customers[i].total;

		failures += tally->wrong + (tally->sent - tally->ran);
	}
	failures += load->tasks.sent - load->tasks.ran;
	if (!load->settings->check || failures == 0)
		return WL_EXIT_OK;
	fprintf(stderr, "wisteriactl: load: %llu requests failed or have a wrong answer\n",
		(unsigned long long)failures);
	return WL_EXIT_FAILED;
}

/*
 * wl_cmd_load - send open-loop load to the caller listeners and report the results
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
		load_run(load);
		wl_load_report(settings, load->customers, load->customer_count, &load->tasks);
		code = load_exit_code(load);
	}
	load_free(load);
	free(load);
	return code;
}
