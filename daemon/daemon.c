/*
 * Starts the daemon's threads, which exchange events through rings, and stops them in order.
 *
 * - main thread: waits for signals and for the outcome that the event loop reports
 * - wl-decide: the event loop, which steps the node (event_loop.c)
 * - wl-disk: writes and syncs the store's files; only with the role store (disk.c)
 * - wl-peer: the links to other daemons (libwlnet/peer_loop.c)
 * - wl-http-out: outgoing HTTP calls (libwlnet/http_client.c)
 * - for each HTTP listener, a thread of libmicrohttpd, and wl-http-watch, which detects clients
 *   that disconnect (libwlnet/http_server.c)
 * - logger: writes the log lines (libwlbase/log.c)
 */

#include "daemon.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include "event_loop.h"

#include <platform/platform.h>

#include <libwlbase/clock.h>
#include <libwlbase/units.h>

#define DRAIN_POLL_MS	    10	 /* interval of checks for open requests while draining */
#define FILE_CHECK_MS	    1000 /* interval of checks for a changed settings file */
#define FINAL_REPLY_MS	    1000 /* least time for open requests, even past the deadline */
#define METRICS_CONNECTIONS 16	 /* connection limit of the metrics listener */
#define LOG_FLUSH_MS	    100	 /* time for the logger to write its queue before _exit() */

typedef struct wl_daemon {
	wl_settings_t *settings;
	uint64_t boot;	/* random number that identifies this start; not 0 */
	int outcome_fd; /* eventfd that the event loop writes once it has an outcome */
	int signal_fd;
	wl_ring_t *events;
	wl_store_t *store;
	wl_raft_saved_t saved;
	wl_disk_t *disk;
	wl_peers_t *peers;
	wl_http_client_t *client;
	wl_http_server_t *caller;
	wl_http_server_t *control;
	wl_http_server_t *metrics;
	wl_buf_t peer_address;
	wl_node_t *node;
	wl_event_loop_t *loop;
	bool storage_failed;
	struct timespec file_mtime; /* of the settings file; zero before the first check */
	bool reload_pending;	    /* new seeds did not fit into the event ring; retry */
	uint64_t deadline_ns;	    /* of the drain; 0 if none has begun */
} wl_daemon_t;

/*
 * wl_daemon_check - validate charts and policies without touching disk or network
 * @settings: settings that were checked and loaded
 * @err: WL_E_BAD_INPUT
 *
 * Return: true if a node can be created from them.
 */
bool wl_daemon_check(wl_settings_t *settings, wl_err_t *err)
{
	wl_node_options_t options;
	wl_node_t *node;

	wl_settings_node_options(settings, &options);
	options.store = false;
	options.boot = 1;
	node = wl_node_new(&options, wl_clock_ns(), err);
	wl_node_free(node);
	return node != NULL;
}

static bool random_init(wl_daemon_t *daemon, wl_err_t *err)
{
	uint64_t numbers[2];

	if (getrandom(numbers, sizeof(numbers), 0) != sizeof(numbers))
		return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "getrandom: %s", strerror(errno));
	daemon->boot = numbers[0] ? numbers[0] : 1;
	if (daemon->settings->seed == 0)
		daemon->settings->seed = numbers[1];
	return true;
}

/*
 * Blocks the signals that the main thread reads from signal_fd.  Must run before any thread
 * starts, the logger included: threads inherit the mask, and a signal delivered to a thread that
 * does not block it terminates the process.
 */
static bool signals_block(wl_daemon_t *daemon, wl_err_t *err)
{
	sigset_t wanted;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&wanted);
	sigaddset(&wanted, SIGTERM);
	sigaddset(&wanted, SIGINT);
	sigaddset(&wanted, SIGHUP);
	daemon->outcome_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (pthread_sigmask(SIG_BLOCK, &wanted, NULL) == 0)
		daemon->signal_fd = signalfd(-1, &wanted, SFD_CLOEXEC | SFD_NONBLOCK);
	if (daemon->outcome_fd >= 0 && daemon->signal_fd >= 0)
		return true;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "signals: eventfd or signalfd: %s",
			  strerror(errno));
}

static bool daemon_wait_signal(wl_daemon_t *daemon, int timeout_ms);

static bool storage_wait(void *context, int wait_ms)
{
	return daemon_wait_signal(context, wait_ms);
}

static bool storage_open(wl_daemon_t *daemon, wl_err_t *err)
{
	const wl_settings_t *s = daemon->settings;
	wl_store_options_t store = {.folder = wl_buf_str(&s->data_dir)};
	wl_disk_options_t disk = {.events = daemon->events,
				  .queue_slots = (uint32_t)s->queue_slots};

	if (!s->store)
		return true;
	daemon->store = wl_disk_store_open(&store, &daemon->saved, storage_wait, daemon, err);
	daemon->storage_failed = !daemon->store && err->code != WL_E_DISK_FULL;
	if (!daemon->store)
		return false;
	disk.store = daemon->store;
	daemon->disk = wl_disk_start(&disk, err);
	return daemon->disk != NULL;
}

static void peer_address_init(wl_daemon_t *daemon)
{
	const wl_settings_t *s = daemon->settings;
	wl_str_t ip;
	wl_str_t port;

	if (s->peer_advertise.len > 0) {
		wl_buf_set(&daemon->peer_address, wl_buf_str(&s->peer_advertise));
		return;
	}
	wl_str_split_last(wl_buf_str(&s->peer_listen), ':', &ip, &port);
	wl_buf_printf(&daemon->peer_address, WL_STR_FMT ":%u", WL_STR_ARG(ip),
		      wl_peers_port(daemon->peers));
}

static bool peers_open(wl_daemon_t *daemon, wl_err_t *err)
{
	const wl_settings_t *s = daemon->settings;
	wl_peer_options_t options = {
		.name = wl_buf_str(&s->name),
		.listen = wl_buf_str(&s->peer_listen),
		.secret = wl_buf_str(&s->peer_secret),
		.events = daemon->events,
		.queue_slots = (uint32_t)s->queue_slots,
		.max_frame_bytes = s->max_frame_bytes,
		.max_queue_bytes = s->max_peer_queue_bytes,
		.handshake_ms = s->handshake_ms,
		.idle_ms = s->peer_idle_ms,
		.seed = s->seed,
	};

	daemon->peers = wl_peers_start(&options, err);
	if (!daemon->peers)
		return false;
	peer_address_init(daemon);
	return true;
}

static const wl_dialect_t *dialect_of(const wl_settings_t *settings)
{
	if (wl_str_equal(wl_buf_str(&settings->dialect), wl_str_from(wl_platform_dialect.name)))
		return &wl_platform_dialect;
	return NULL;
}

/* Returns the control port, which is the same on all replicas with seeds; 0 without seeds. */
static uint16_t control_port(const wl_settings_t *settings)
{
	uint64_t port = 0;
	wl_str_t ip;
	wl_str_t text;

	if (!settings->store || settings->replica_port == 0)
		return 0;
	wl_str_split_last(wl_buf_str(&settings->control_listen), ':', &ip, &text);
	wl_str_u64(text, &port);
	return (uint16_t)port;
}

static bool node_open(wl_daemon_t *daemon, wl_err_t *err)
{
	wl_node_options_t options;

	wl_settings_node_options(daemon->settings, &options);
	options.boot = daemon->boot;
	options.dialect = dialect_of(daemon->settings);
	options.control_port = control_port(daemon->settings);
	options.peer_address = wl_buf_str(&daemon->peer_address);
	if (daemon->store) {
		options.store_id = wl_store_id(daemon->store);
		options.saved = &daemon->saved;
	}
	daemon->node = wl_node_new(&options, wl_clock_ns(), err);
	if (!daemon->node)
		daemon->storage_failed = err->code == WL_E_DAMAGED;
	return daemon->node != NULL;
}

/* Memory that this process may use. */
static uint64_t machine_bytes(void)
{
	struct rlimit limit;
	struct sysinfo info;
	uint64_t bytes = UINT64_MAX;

	if (sysinfo(&info) == 0)
		bytes = (uint64_t)info.totalram * info.mem_unit;
	if (getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur < bytes)
		bytes = limit.rlim_cur;
	return bytes;
}

typedef struct listener_config {
	const wl_buf_t *listen;
	uint64_t connections;
	uint64_t first_call;
} listener_config_t;

static wl_http_server_t *server_open(wl_daemon_t *daemon, wl_listener_t listener, wl_err_t *err)
{
	const wl_settings_t *s = daemon->settings;
	const listener_config_t configs[] = {
		[WL_LISTENER_CALLER] = {&s->caller_listen, s->max_connections, WL_CALLER_FIRST},
		[WL_LISTENER_CONTROL] = {&s->control_listen, s->max_connections, WL_CONTROL_FIRST},
		[WL_LISTENER_METRICS] = {&s->metrics_listen, METRICS_CONNECTIONS, WL_METRICS_FIRST},
	};
	wl_http_server_options_t options = {
		.listen = wl_buf_str(configs[listener].listen),
		.listener = listener,
		.max_body_bytes = s->max_body_bytes,
		.max_header_bytes = s->max_header_bytes,
		.max_connections = configs[listener].connections,
		.intake_bytes = wl_settings_intake_bytes(s, listener, machine_bytes()),
		.idle_ms = s->http_idle_ms,
		.events = daemon->events,
		.first_call = configs[listener].first_call,
		.call_step = WL_CALL_STEP,
	};

	return wl_http_server_start(&options, err);
}

static uint64_t descriptors_max(void)
{
	struct rlimit limit;

	return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 0;
}

static bool http_open(wl_daemon_t *daemon, wl_err_t *err)
{
	const wl_settings_t *s = daemon->settings;
	wl_http_client_options_t client = {
		.events = daemon->events,
		.queue_slots = (uint32_t)s->queue_slots,
		.max_body_bytes = s->max_response_bytes,
		.connect_ms = s->connect_ms,
		.max_connections_per_host = s->max_target_connections,
		.max_connections = wl_settings_target_connections(s, descriptors_max()),
	};

	daemon->client = wl_http_client_start(&client, err);
	if (!daemon->client)
		return false;
	daemon->control = server_open(daemon, WL_LISTENER_CONTROL, err);
	if (!daemon->control)
		return false;
	if (s->metrics_listen.len > 0) {
		daemon->metrics = server_open(daemon, WL_LISTENER_METRICS, err);
		if (!daemon->metrics)
			return false;
	}
	if (s->entry)
		daemon->caller = server_open(daemon, WL_LISTENER_CALLER, err);
	return daemon->caller || !s->entry;
}

static bool loop_start(wl_daemon_t *daemon, wl_err_t *err)
{
	wl_event_loop_options_t options = {
		.node = daemon->node,
		.events = daemon->events,
		.queue_slots = (uint32_t)daemon->settings->queue_slots,
		.peers = daemon->peers,
		.client = daemon->client,
		.caller = daemon->caller,
		.control = daemon->control,
		.metrics = daemon->metrics,
		.disk = daemon->disk,
		.outcome_fd = daemon->outcome_fd,
	};

	daemon->loop = wl_event_loop_start(&options, err);
	return daemon->loop != NULL;
}

static bool daemon_start(wl_daemon_t *daemon, wl_err_t *err)
{
	daemon->events = wl_ring_new((uint32_t)daemon->settings->queue_slots, err);
	return daemon->events && random_init(daemon, err) && storage_open(daemon, err) &&
	       peers_open(daemon, err) && node_open(daemon, err) && http_open(daemon, err) &&
	       loop_start(daemon, err);
}

static unsigned int metrics_port(const wl_daemon_t *daemon)
{
	return daemon->metrics ? wl_http_server_port(daemon->metrics) : 0;
}

/* Writes a temporary file and renames it, so that a reader never sees a partial file. */
static bool ready_write(const wl_daemon_t *daemon, wl_err_t *err)
{
	const wl_buf_t *path = &daemon->settings->ready_file;
	wl_buf_t part = {0};
	FILE *file;
	bool ok;

	if (path->len == 0)
		return true;
	wl_buf_printf(&part, "%s.part", path->at);
	file = fopen(part.at, "we");
	ok = file && fprintf(file,
			     "{\"name\":\"%s\",\"pid\":%d,\"caller\":%u,\"control\":%u,"
			     "\"peer\":%u,\"metrics\":%u}\n",
			     daemon->settings->name.at, (int)getpid(),
			     daemon->caller ? wl_http_server_port(daemon->caller) : 0,
			     wl_http_server_port(daemon->control), wl_peers_port(daemon->peers),
			     metrics_port(daemon)) > 0;
	if (file)
		ok = fclose(file) == 0 && ok;
	ok = ok && rename(part.at, path->at) == 0;
	wl_buf_free(&part);
	return ok || wl_err_set(err, WL_E_IO, WL_NOT_RUN, "--ready-file: %.200s: %s", path->at,
				strerror(errno));
}

/* Warns of a low descriptor limit: it is set outside the daemon and shows only under load. */
static void descriptors_log(const wl_settings_t *settings)
{
	uint64_t wanted = 2 * settings->max_connections + WL_SPARE_DESCRIPTORS;
	uint64_t limit = descriptors_max();

	if (limit > 0 && limit < wanted)
		wl_log_event(WL_WARN, "few-descriptors", "limit=%llu wanted=%llu",
			     (unsigned long long)limit, (unsigned long long)wanted);
}

static void ready_log(const wl_daemon_t *daemon)
{
	wl_log_event(WL_INFO, "ready",
		     "version=" WL_VERSION " role=%s availability_zone=%s caller_port=%u "
		     "control_port=%u metrics_port=%u peer_port=%u peer_address=%s "
		     "target_connections=%llu",
		     daemon->settings->role.at, daemon->settings->availability_zone.at,
		     daemon->caller ? wl_http_server_port(daemon->caller) : 0,
		     wl_http_server_port(daemon->control), metrics_port(daemon),
		     wl_peers_port(daemon->peers), daemon->peer_address.at,
		     (unsigned long long)wl_settings_target_connections(daemon->settings,
									descriptors_max()));
	descriptors_log(daemon->settings);
	if (daemon->settings->operator_token.len == 0 || daemon->settings->target_token.len == 0)
		wl_log_event(WL_WARN, "open-control", "operator_token=%s target_token=%s",
			     daemon->settings->operator_token.len ? "set" : "none",
			     daemon->settings->target_token.len ? "set" : "none");
}

static void exit_now(const char *why)
{
	wl_log_event(WL_ERROR, "stopped", "outcome=late reason=\"%s\"", why);
	poll(NULL, 0, LOG_FLUSH_MS);
	_exit(WL_EXIT_LATE);
}

static void seeds_submit(wl_daemon_t *daemon, wl_settings_t *fresh)
{
	wl_event_t *event = wl_alloc(sizeof(*event));

	wl_event_init(event, WL_EVENT_SEEDS);
	event->made_ns = wl_clock_ns();
	wl_strings_set(&event->names, &fresh->seeds);
	if (wl_ring_push(daemon->events, event)) {
		wl_strings_set(&daemon->settings->seeds, &fresh->seeds);
		wl_buf_set(&daemon->settings->store_seeds, wl_buf_str(&fresh->store_seeds));
		return;
	}
	/* settings->seeds is unchanged, so the next check finds the difference and retries. */
	daemon->reload_pending = true;
	wl_event_free(event);
	free(event);
}

/* Applies changed seeds at once; other changes are only logged and apply at the next start. */
static void settings_reload(wl_daemon_t *daemon, const char *cause)
{
	wl_settings_t fresh = {0};
	wl_buf_t changes = {0};
	wl_err_t err = {0};

	daemon->reload_pending = false;
	if (!wl_settings_reread(daemon->settings, &fresh, &err)) {
		wl_log_event(WL_ERROR, "reload-refused", "cause=%s reason=\"%s\"", cause, err.text);
		wl_settings_free(&fresh);
		return;
	}
	wl_settings_changes(daemon->settings, &fresh, &changes);
	wl_log_event(WL_INFO, "reload", "cause=%s changed=%s applied=%s", cause,
		     changes.len ? changes.at : "none",
		     wl_strings_equal(&fresh.seeds, &daemon->settings->seeds) ? "none"
									      : "store-seeds");
	if (!wl_strings_equal(&fresh.seeds, &daemon->settings->seeds))
		seeds_submit(daemon, &fresh);
	wl_buf_free(&changes);
	wl_settings_free(&fresh);
}

/* Reloads when the file's modification time changes, since no signal need accompany a change. */
static void settings_file_check(wl_daemon_t *daemon)
{
	struct stat status;
	bool first = daemon->file_mtime.tv_sec == 0;
	bool changed;

	if (!daemon->settings->file || stat(daemon->settings->file, &status) < 0)
		return;
	changed = status.st_mtim.tv_sec != daemon->file_mtime.tv_sec ||
		  status.st_mtim.tv_nsec != daemon->file_mtime.tv_nsec;
	daemon->file_mtime = status.st_mtim;
	if ((changed && !first) || daemon->reload_pending)
		settings_reload(daemon, "file");
}

/* Waits for a signal. Returns true for SIGTERM or SIGINT. */
static bool daemon_wait_signal(wl_daemon_t *daemon, int timeout_ms)
{
	struct pollfd wait = {.fd = daemon->signal_fd, .events = POLLIN};
	struct signalfd_siginfo signal;

	if (poll(&wait, 1, timeout_ms) <= 0)
		return false;
	if (read(daemon->signal_fd, &signal, sizeof(signal)) != sizeof(signal))
		return false;
	if (signal.ssi_signo != SIGHUP)
		return true;
	settings_reload(daemon, "signal");
	return false;
}

/* Waits for a signal or an outcome. Returns true for SIGTERM or SIGINT. */
static bool daemon_wait(wl_daemon_t *daemon, int timeout_ms)
{
	struct pollfd wait[] = {{.fd = daemon->signal_fd, .events = POLLIN},
				{.fd = daemon->outcome_fd, .events = POLLIN}};

	if (poll(wait, 2, timeout_ms) <= 0)
		return false;
	return daemon_wait_signal(daemon, 0);
}

static void daemon_stop_begin(wl_daemon_t *daemon)
{
	wl_log_event(WL_INFO, "stopping", "drain_ms=%llu",
		     (unsigned long long)daemon->settings->drain_ms);
	daemon->deadline_ns = wl_clock_ns() + daemon->settings->drain_ms * WL_NS_PER_MS;
	wl_event_loop_drain(daemon->loop);
}

static wl_outcome_t daemon_serve(wl_daemon_t *daemon)
{
	wl_outcome_t outcome;

	while ((outcome = wl_event_loop_outcome(daemon->loop)) == WL_OUTCOME_NONE) {
		if (daemon->deadline_ns && wl_clock_ns() > daemon->deadline_ns)
			return WL_OUTCOME_LATE;
		settings_file_check(daemon);
		if (!daemon_wait(daemon, daemon->deadline_ns ? DRAIN_POLL_MS : FILE_CHECK_MS))
			continue;
		if (daemon->deadline_ns)
			exit_now("second signal");
		daemon_stop_begin(daemon);
	}
	return outcome;
}

static uint64_t calls_open(const wl_daemon_t *daemon)
{
	return wl_http_server_open_calls(daemon->control) +
	       (daemon->caller ? wl_http_server_open_calls(daemon->caller) : 0);
}

/*
 * Refuses new connections and waits until open requests are answered or the drain deadline
 * passes.  Returns false if requests are left open.
 */
static bool daemon_quiesce(wl_daemon_t *daemon)
{
	uint64_t min_deadline_ns = wl_clock_ns() + FINAL_REPLY_MS * WL_NS_PER_MS;
	uint64_t deadline_ns =
		daemon->deadline_ns > min_deadline_ns ? daemon->deadline_ns : min_deadline_ns;

	if (daemon->caller)
		wl_http_server_quiesce(daemon->caller);
	wl_http_server_quiesce(daemon->control);
	while (calls_open(daemon) > 0) {
		if (wl_clock_ns() > deadline_ns)
			return false;
		if (daemon_wait_signal(daemon, DRAIN_POLL_MS))
			exit_now("second signal");
	}
	return true;
}

static void events_free(wl_ring_t *events)
{
	wl_event_t *event;

	while (events && (event = wl_ring_pop(events)) != NULL) {
		wl_event_free(event);
		free(event);
	}
	wl_ring_free(events);
}

/* Stops the event loop before the threads that it uses, and those before the ring is freed. */
static void daemon_close(wl_daemon_t *daemon)
{
	wl_event_loop_stop(daemon->loop);
	wl_http_server_stop(daemon->caller);
	wl_http_server_stop(daemon->control);
	wl_http_server_stop(daemon->metrics);
	wl_http_client_stop(daemon->client);
	wl_peers_stop(daemon->peers);
	wl_disk_stop(daemon->disk);
	wl_node_free(daemon->node);
	if (daemon->store)
		wl_store_close(daemon->store);
	events_free(daemon->events);
	wl_buf_free(&daemon->peer_address);
	if (daemon->outcome_fd >= 0)
		close(daemon->outcome_fd);
	if (daemon->signal_fd >= 0)
		close(daemon->signal_fd);
}

static int daemon_finish(wl_daemon_t *daemon, wl_outcome_t outcome)
{
	int code = WL_EXIT_OK;

	if (outcome == WL_OUTCOME_FATAL)
		code = WL_EXIT_DAMAGED;
	else if (!daemon_quiesce(daemon) || outcome == WL_OUTCOME_LATE)
		code = WL_EXIT_LATE;
	daemon_close(daemon);
	wl_log_event(code == WL_EXIT_OK ? WL_INFO : WL_ERROR, "stopped", "outcome=%s",
		     code == WL_EXIT_OK	       ? "drained"
		     : code == WL_EXIT_DAMAGED ? "fatal"
					       : "late");
	return code;
}

/*
 * wl_daemon_run - run the daemon until it stops
 * @settings: settings that were checked and loaded
 *
 * Return: the exit code, WL_EXIT_*.
 */
int wl_daemon_run(wl_settings_t *settings)
{
	wl_daemon_t daemon = {.settings = settings, .outcome_fd = -1, .signal_fd = -1};
	wl_err_t err = {0};
	int code;

	if (!signals_block(&daemon, &err) ||
	    !wl_log_start(STDOUT_FILENO, settings->level, wl_buf_str(&settings->name), &err)) {
		fprintf(stderr, "wisterialeadd: %s\n", err.text);
		return WL_EXIT_START;
	}
	if (daemon_start(&daemon, &err) && ready_write(&daemon, &err)) {
		ready_log(&daemon);
		code = daemon_finish(&daemon, daemon_serve(&daemon));
	} else {
		wl_log_event(WL_ERROR, "no-start", "reason=\"%s\"", err.text);
		code = daemon.storage_failed ? WL_EXIT_DAMAGED : WL_EXIT_START;
		daemon_close(&daemon);
	}
	wl_log_stop();
	return code;
}
