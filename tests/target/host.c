/*
 * HTTP front end of the fake targets: one listener for each target and one for control.
 *
 * All listeners and the HTTP client that sends announces put their events into one ring, so that a
 * single thread runs all targets.
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include <libwlbase/units.h>
#include <libwlbase/record_internal.h>

#include "host_internal.h"

#define RING_SLOTS	    65536
#define MAX_BODY_BYTES	    (16u << 20)
#define MAX_HEADER_BYTES    32768
#define IDLE_MS		    60000
#define SPARE_CONNECTIONS   64	/* for commands, in addition to those for requests */
#define ANNOUNCE_MS	    500 /* until an answer sets the interval */
#define ANNOUNCE_TIMEOUT_MS 1000
#define BUSY_WAIT_MS	    1
#define IDLE_WAIT_MS	    10
/* Largest integer up to which a double is exact; JSON parsers may use doubles. */
#define EXACT_NUMBER ((1ull << 53) - 1)

static uint64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * WL_NS_PER_S + (uint64_t)now.tv_nsec;
}

/*
 * host_boot_new - draw a random nonzero boot id for a new incarnation
 */
uint64_t host_boot_new(void)
{
	uint64_t boot = 0;

	if (getrandom(&boot, sizeof(boot), 0) != sizeof(boot))
		abort();
	return (boot & EXACT_NUMBER) | 1;
}

static void record_line(void *context, wl_str_t line)
{
	host_t *host = context;

	if (host->record)
		fwrite(line.at, 1, line.len, host->record);
}

/* Returns the n-th of comma-separated names, modulo their number. */
static wl_str_t name_at(wl_str_t names, size_t n)
{
	wl_str_t rest = names;
	wl_str_t name;
	size_t count = 1;

	for (size_t i = 0; i < names.len; i++)
		count += names.at[i] == ',';
	n %= count;
	do
		wl_str_split(rest, ',', &name, &rest);
	while (n--);
	return name;
}

static bool name_in_list(wl_str_t names, wl_str_t name)
{
	wl_str_t one;

	while (names.len) {
		wl_str_split(names, ',', &one, &names);
		if (wl_str_equal(one, name))
			return true;
	}
	return false;
}

/*
 * host_listen - start the HTTP server of a target
 */
bool host_listen(host_t *host, size_t index, wl_err_t *err)
{
	host_target_t *target = &host->targets[index];
	wl_http_server_options_t options = {
		.listen = wl_buf_str(&target->listen),
		.listener = WL_LISTENER_CALLER,
		.max_body_bytes = MAX_BODY_BYTES,
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_connections = host->settings->connections + SPARE_CONNECTIONS,
		.idle_ms = IDLE_MS,
		.events = host->ring,
		.first_call = index + host->count + 1,
		.call_step = host->count + 1,
	};

	target->server = wl_http_server_start(&options, err);
	return target->server != NULL;
}

static void target_fake(host_t *host, host_target_t *target)
{
	const host_settings_t *settings = host->settings;
	fake_options_t options = {
		.name = wl_buf_str(&target->name),
		.address = wl_buf_str(&target->address),
		.availability_zone = wl_buf_str(&target->availability_zone),
		.rack = wl_buf_str(&target->rack),
		.services = &host->services,
		.capacity = {settings->cpu_millis, settings->memory_mib, settings->accelerators,
			     settings->slots, settings->connections},
		.seed = settings->seed,
		.service_ms = settings->service_ms,
		.straggler_permille = settings->straggler_permille,
		.fail_permille = settings->fail_permille,
		.time_permille = settings->time_permille,
		.usage_lag_ms = settings->usage_lag_ms,
		.interference_permille = settings->interference_permille,
		.record = record_line,
		.context = host,
	};

	target->fake = fake_new(&options, host_boot_new());
	target->fake->failing =
		name_in_list(wl_buf_str(&settings->fail_targets), wl_buf_str(&target->name));
}

static bool target_start(host_t *host, size_t index, wl_err_t *err)
{
	const host_settings_t *settings = host->settings;
	host_target_t *target = &host->targets[index];
	wl_str_t ip = wl_buf_str(settings->advertise_ip.len ? &settings->advertise_ip
							    : &settings->listen_ip);
	size_t rack = index % settings->racks;
	uint64_t port;

	TAILQ_INIT(&target->replies);
	TAILQ_INIT(&target->deferred);
	wl_buf_printf(&target->name, "%s%zu", settings->name_prefix.at, index + 1);
	wl_buf_printf(&target->listen, "%s:%llu", settings->listen_ip.at,
		      settings->base_port ? (unsigned long long)(settings->base_port + index) : 0);
	wl_buf_printf(&target->rack, "rack-%zu", rack + 1);
	wl_buf_set(&target->availability_zone,
		   name_at(wl_buf_str(&settings->availability_zones), rack));
	if (!host_listen(host, index, err))
		return false;
	port = wl_http_server_port(target->server);
	wl_buf_clear(&target->listen);
	wl_buf_printf(&target->listen, "%s:%llu", settings->listen_ip.at, (unsigned long long)port);
	if (settings->advertise_base_port)
		port = settings->advertise_base_port + index;
	wl_buf_printf(&target->address, WL_STR_FMT ":%llu", WL_STR_ARG(ip),
		      (unsigned long long)port);
	target_fake(host, target);
	target->announce_to = index;
	target->announce_ns = now_ns() + index * ANNOUNCE_MS * WL_NS_PER_MS / host->count;
	printf("target=%s listen=%s announced=%s\n", target->name.at, target->listen.at,
	       target->address.at);
	return true;
}

static bool file_read(const char *path, wl_buf_t *out, wl_err_t *err)
{
	char bytes[4096];
	FILE *file = fopen(path, "re");
	size_t count;

	if (!file)
		return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "%s: %s", path, strerror(errno));
	count = fread(bytes, 1, sizeof(bytes), file);
	fclose(file);
	while (count && (bytes[count - 1] == '\n' || bytes[count - 1] == '\r'))
		count--;
	wl_buf_append(out, (wl_str_t){bytes, count});
	return true;
}

static bool files_open(host_t *host, wl_err_t *err)
{
	const host_settings_t *settings = host->settings;

	if (settings->token_file.len) {
		wl_buf_set(&host->authorization, WL_STR("Bearer "));
		if (!file_read(settings->token_file.at, &host->authorization, err))
			return false;
	}
	if (!settings->record.len)
		return true;
	host->record = fopen(settings->record.at, "ae");
	if (host->record)
		return true;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "%s: %s", settings->record.at, strerror(errno));
}

static bool client_start(host_t *host, wl_err_t *err)
{
	wl_http_client_options_t options = {
		.events = host->ring,
		.queue_slots = 4096,
		.max_body_bytes = MAX_HEADER_BYTES,
		.connect_ms = ANNOUNCE_TIMEOUT_MS,
		.max_connections_per_host = 64,
	};

	host->client = wl_http_client_start(&options, err);
	return host->client != NULL;
}

static bool control_start(host_t *host, wl_err_t *err)
{
	wl_http_server_options_t options = {
		.listen = wl_buf_str(&host->settings->control_listen),
		.listener = WL_LISTENER_CONTROL,
		.max_body_bytes = MAX_HEADER_BYTES,
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_connections = SPARE_CONNECTIONS,
		.idle_ms = IDLE_MS,
		.events = host->ring,
		.first_call = 2 * host->count + 1,
		.call_step = host->count + 1,
	};

	host->control = wl_http_server_start(&options, err);
	if (!host->control)
		return false;
	printf("control port=%u\n", wl_http_server_port(host->control));
	return true;
}

static void lists_parse(host_t *host)
{
	wl_str_t rest = wl_buf_str(&host->settings->services);
	wl_str_t one;

	while (rest.len) {
		wl_str_split(rest, ',', &one, &rest);
		wl_strings_add(&host->services, one);
	}
	rest = wl_buf_str(&host->settings->announce_to);
	while (rest.len && host->announce_count < MAX_ADDRESSES) {
		wl_str_split(rest, ',', &one, &rest);
		host->announce_to[host->announce_count++] = one;
	}
}

/*
 * host_start - start all targets and their listeners
 * @settings: must outlive the host
 * @err: WL_E_IO, WL_E_BAD_INPUT
 *
 * Return: the host, or NULL.
 */
host_t *host_start(const host_settings_t *settings, wl_err_t *err)
{
	host_t *host = wl_alloc(sizeof(*host));
	bool ok;

	host->settings = settings;
	host->count = settings->targets;
	host->targets = wl_alloc(host->count * sizeof(*host->targets));
	lists_parse(host);
	host->ring = wl_ring_new(RING_SLOTS, err);
	ok = host->ring && files_open(host, err) && client_start(host, err) &&
	     control_start(host, err);
	for (size_t i = 0; ok && i < host->count; i++)
		ok = target_start(host, i, err);
	if (!ok) {
		host_free(host);
		return NULL;
	}
	printf("ready\n");
	fflush(stdout);
	return host;
}

static void announce_send(host_t *host, size_t index, uint64_t now)
{
	host_target_t *target = &host->targets[index];
	wl_announce_t announce = {0};
	wl_fetch_t fetch = {.id = index, .timeout_ms = ANNOUNCE_TIMEOUT_MS};

	fake_announce(target->fake, now, &announce);
	wl_buf_set(&fetch.address, host->announce_to[target->announce_to % host->announce_count]);
	wl_buf_set(&fetch.method, WL_STR("POST"));
	wl_buf_set(&fetch.path, WL_STR("/v1/targets/announce"));
	wl_headers_add(&fetch.headers, WL_STR("Content-Type"), WL_STR("application/json"));
	if (host->authorization.len)
		wl_headers_add(&fetch.headers, WL_STR("Authorization"),
			       wl_buf_str(&host->authorization));
	wl_record_to_json_sparse(&wl_announce_schema, &announce, &fetch.body);
	wl_record_free(&wl_announce_schema, &announce);
	target->announce_ns = now + ANNOUNCE_MS * WL_NS_PER_MS;
	target->announcing = wl_http_client_fetch(host->client, &fetch);
	if (target->announcing)
		return;
	wl_buf_free(&fetch.address);
	wl_buf_free(&fetch.method);
	wl_buf_free(&fetch.path);
	wl_buf_free(&fetch.body);
	wl_list_free(&wl_header_schema, &fetch.headers);
}

/* After a failed announce the target tries the next entry, after a fifth of ANNOUNCE_MS. */
static void announce_ended(host_t *host, const wl_fetched_t *fetched, uint64_t now)
{
	host_target_t *target = &host->targets[fetched->id];
	uint64_t interval_ms = ANNOUNCE_MS;
	wl_str_t head;
	wl_str_t tail;

	target->announcing = false;
	if (!fetched->complete || fetched->status != 200) {
		target->announce_to++;
		target->announce_ns = now + ANNOUNCE_MS * WL_NS_PER_MS / 5;
		return;
	}
	if (wl_str_split(wl_buf_str(&fetched->body), ':', &head, &tail)) {
		wl_str_split(tail, '}', &head, &tail);
		wl_str_u64(head, &interval_ms);
	}
	target->announce_ns = now + interval_ms * WL_NS_PER_MS;
}

static void event_handle(host_t *host, wl_event_t *event, uint64_t now)
{
	size_t index;

	if (event->kind == WL_EVENT_FETCHED) {
		announce_ended(host, &event->fetched, now);
		host_event_free(event);
		return;
	}
	index = (event->call.id - host->count - 1) % (host->count + 1);
	if (index == host->count)
		host_control_handle(host, event, now);
	else
		host_target_event(&host->targets[index], event, now);
}

/* Returns whether replies are pending, in which case the caller polls at the shorter interval. */
static bool target_tick(host_t *host, size_t index, uint64_t now)
{
	host_target_t *target = &host->targets[index];

	if (target->fake->frozen || target->fake->crashed)
		return false;
	fake_advance(target->fake, now);
	host_replies_send(target, now);
	if (host->announce_count && !target->announcing && now >= target->announce_ns)
		announce_send(host, index, now);
	return !TAILQ_EMPTY(&target->replies);
}

/*
 * host_run - run all targets until *@stop is nonzero
 */
void host_run(host_t *host, const volatile int *stop)
{
	bool busy = false;

	while (!*stop) {
		wl_event_t *event = wl_ring_wait(host->ring, busy ? BUSY_WAIT_MS : IDLE_WAIT_MS);

		for (; event; event = wl_ring_pop(host->ring))
			event_handle(host, event, now_ns());
		busy = false;
		for (size_t i = 0; i < host->count; i++)
			busy = target_tick(host, i, now_ns()) || busy;
		if (host->record)
			fflush(host->record);
	}
}

static void target_free(host_target_t *target)
{
	if (target->server)
		wl_http_server_stop(target->server);
	if (target->fake) {
		host_replies_drop(target);
		host_deferred_drop(target);
		fake_free(target->fake);
	}
	wl_buf_free(&target->name);
	wl_buf_free(&target->listen);
	wl_buf_free(&target->address);
	wl_buf_free(&target->rack);
	wl_buf_free(&target->availability_zone);
}

/*
 * host_free - stop all listeners and release the host
 */
void host_free(host_t *host)
{
	wl_event_t *event;

	if (host->client)
		wl_http_client_stop(host->client);
	if (host->control)
		wl_http_server_stop(host->control);
	for (size_t i = 0; i < host->count; i++)
		target_free(&host->targets[i]);
	while (host->ring && (event = wl_ring_pop(host->ring)))
		host_event_free(event);
	wl_ring_free(host->ring);
	if (host->record)
		fclose(host->record);
	wl_list_free(&wl_string_schema, &host->services);
	wl_buf_free(&host->authorization);
	free(host->targets);
	free(host);
}
