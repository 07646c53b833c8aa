/* The table of settings: flags, environment variables, defaults and limits. */

#include "settings.h"

#include <stdlib.h>
#include <string.h>

#define TEXT(flag_, member, default_, unit_, help_)                                         \
	{                                                                                   \
		.flag = (flag_), .kind = WL_OPTION_TEXT, .default_value = (default_),       \
		.offset = offsetof(wl_settings_t, member), .unit = (unit_), .help = (help_) \
	}
#define ADDRESS(flag_, member, default_, help_)                                               \
	{                                                                                     \
		.flag = (flag_), .kind = WL_OPTION_ADDRESS, .default_value = (default_),      \
		.offset = offsetof(wl_settings_t, member), .unit = "IP:port", .help = (help_) \
	}
#define NUMBER(flag_, member, default_, unit_, min_, max_, help_)                            \
	{                                                                                    \
		.flag = (flag_), .kind = WL_OPTION_NUMBER, .default_value = (default_),      \
		.offset = offsetof(wl_settings_t, member), .unit = (unit_), .help = (help_), \
		.min = (min_), .max = (max_)                                                 \
	}
#define CHOICE(flag_, member, default_, choices_, help_)                                    \
	{                                                                                   \
		.flag = (flag_), .kind = WL_OPTION_CHOICE, .default_value = (default_),     \
		.offset = offsetof(wl_settings_t, member), .unit = "NAME", .help = (help_), \
		.choices = (choices_)                                                       \
	}
#define SWITCH(flag_, member, help_)                                       \
	{                                                                  \
		.flag = (flag_), .kind = WL_OPTION_FLAG,                   \
		.offset = offsetof(wl_settings_t, member), .help = (help_) \
	}

#define MINUTE_MS (60ull * 1000)
#define DAY_MS	  (24ull * 60 * MINUTE_MS)
#define KIB	  1024ull
#define MIB	  (1024ull * KIB)
#define GIB	  (1024ull * MIB)

static const char *const role_names[] = {"entry", "store", "entry,store", NULL};
static const char *const level_names[] = {"debug", "info", "warn", "error", NULL};
static const char *const routing_names[] = {"least-slowdown", "round-robin", NULL};
static const char *const queueing_names[] = {"fair-deadline", "fifo", NULL};
static const char *const placement_names[] = {"first-fit", "interference-fair", NULL};
static const char *const yes_no_names[] = {"no", "yes", NULL};
static const char *const dialect_names[] = {"own", "platform", NULL};
static const char *const eviction_names[] = {"least-lost", "youngest-first", NULL};

static const wl_option_t options[] = {
	TEXT("name", name, NULL, "NAME", "name of this daemon, unique among all"),
	TEXT("availability-zone", availability_zone, NULL, "NAME", "where this daemon runs"),
	TEXT("rack", rack, NULL, "NAME", "rack that this daemon runs in"),
	CHOICE("role", role, "entry", role_names, "entry, store, or both: entry,store"),
	ADDRESS("caller-listen", caller_listen, "127.0.0.1:8080", "listener for callers"),
	ADDRESS("control-listen", control_listen, "127.0.0.1:8081",
		"listener for operators and targets"),
	ADDRESS("metrics-listen", metrics_listen, NULL,
		"listener that serves only GET /metrics; off if not set"),
	ADDRESS("peer-listen", peer_listen, "127.0.0.1:8082", "listener for other daemons"),
	ADDRESS("peer-advertise", peer_advertise, NULL,
		"address that other daemons dial; default: --peer-listen"),
	TEXT("store-peers", store_peers, NULL, "NAME=IP:port,...",
	     "the store replicas, the same on every daemon"),
	TEXT("store-seeds", store_seeds, NULL, "IP:port,...",
	     "some replicas, each named by its IP address; the others join by themselves"),
	CHOICE("found-group", found_group, "yes", yes_no_names,
	       "whether a blank replica may take part in founding a group"),
	CHOICE("dialect", dialect, "own", dialect_names,
	       "HTTP interface of callers, targets, operators"),
	TEXT("data-dir", data_dir, NULL, "FOLDER", "folder of the store replica"),
	TEXT("chart-dir", chart_dir, WL_CHART_DIR, "FOLDER", "folder of the state charts"),
	TEXT("peer-secret-file", peer_secret_file, NULL, "FILE",
	     "secret that all daemons share, 16 bytes or more"),
	TEXT("operator-token-file", operator_token_file, NULL, "FILE",
	     "token of operators; not checked if not set"),
	TEXT("target-token-file", target_token_file, NULL, "FILE",
	     "token of targets; not checked if not set"),
	TEXT("ready-file", ready_file, NULL, "FILE", "written with the ports once ready"),
	CHOICE("log-level", log_level, "info", level_names, "lowest level that is logged"),
	CHOICE("routing", routing, "least-slowdown", routing_names, "choice of a target"),
	CHOICE("queueing", queueing, "fair-deadline", queueing_names, "order of requests"),
	CHOICE("placement", placement, "interference-fair", placement_names,
	       "choice of a target for a task"),
	CHOICE("eviction", eviction, "least-lost", eviction_names, "choice of a task to evict"),

	NUMBER("session-ms", session_ms, "5000", "ms", 100, 10 * MINUTE_MS,
	       "how long a session lasts without a renewal"),
	NUMBER("renew-ms", renew_ms, "1000", "ms", 10, MINUTE_MS, "between renewals of a session"),
	NUMBER("election-ms", election_ms, "1000", "ms", 20, MINUTE_MS,
	       "silence of the leader before an election"),
	NUMBER("heartbeat-ms", heartbeat_ms, "150", "ms", 5, MINUTE_MS, "between heartbeats"),
	NUMBER("lease-ms", lease_ms, "8000", "ms", 100, 60 * MINUTE_MS,
	       "how long a task runs on a target without a renewal"),
	NUMBER("grace-ms", grace_ms, "5000", "ms", 0, 60 * MINUTE_MS,
	       "how long an owner renews leases after its session"),
	NUMBER("drift-ms", drift_ms, "500", "ms", 1, MINUTE_MS,
	       "clock drift allowed for in a session or lease"),
	NUMBER("announce-ms", announce_ms, "1000", "ms", 10, MINUTE_MS,
	       "between announces of a target"),
	NUMBER("silence-ms", silence_ms, "3000", "ms", 20, 10 * MINUTE_MS,
	       "silence after which a target gets no new work"),
	NUMBER("room-ms", exchange_interval_ms, "100", "ms", 10, 10000,
	       "between exchanges of free capacity"),
	NUMBER("drain-ms", drain_ms, "30000", "ms", 100, 60 * MINUTE_MS, "longest planned stop"),
	NUMBER("default-timeout-ms", default_timeout_ms, "30000", "ms", 1, 60 * MINUTE_MS,
	       "deadline of a request that states none"),
	NUMBER("max-timeout-ms", max_timeout_ms, "600000", "ms", 1, DAY_MS,
	       "longest deadline of a request"),
	NUMBER("max-queued", max_queued, "10000", "requests", 1, 1000000,
	       "longest queue of requests"),
	NUMBER("retry-permille", retry_permille, "100", "permille", 0, 1000,
	       "retries per recent successes"),
	NUMBER("request-cpu-millis", request_cpu_millis, "1000", "millis", 1, 1000000,
	       "processor capacity assumed for a request"),
	NUMBER("request-memory-mib", request_memory_mib, "512", "MiB", 1, 1000000,
	       "memory assumed for a request"),
	NUMBER("long-ms", long_ms, "60000", "ms", 1, DAY_MS, "run time that makes a task long"),
	NUMBER("long-share-permille", long_share_permille, "500", "permille", 1, 1000,
	       "slots of a rack that long tasks may hold"),
	NUMBER("key-keep-ms", key_keep_ms, "86400000", "ms", 1000, 30 * DAY_MS,
	       "how long an Idempotency-Key is kept"),
	NUMBER("task-keep-ms", task_keep_ms, "86400000", "ms", 1000, 30 * DAY_MS,
	       "how long an ended task is kept"),
	NUMBER("compact-entries", compact_entries, "8192", "entries", 16, 10000000,
	       "log length that triggers a snapshot"),
	NUMBER("voters", voters, "5", "replicas", 1, 9,
	       "number of voting replicas with --store-seeds"),
	NUMBER("replace-ms", replace_ms, "5000", "ms", 100, 10 * MINUTE_MS,
	       "silence after which a new replica may replace one"),
	NUMBER("seed", seed, "0", "NUMBER", 0, 0, "seed of random choices; 0: a new one"),

	NUMBER("max-body-bytes", max_body_bytes, "1048576", "bytes", 1, GIB,
	       "longest body of a request"),
	NUMBER("max-header-bytes", max_header_bytes, "16384", "bytes", 512, MIB,
	       "headers of a request"),
	NUMBER("max-response-bytes", max_response_bytes, "8388608", "bytes", 1, GIB,
	       "longest body of a target's response"),
	NUMBER("max-connections", max_connections, "4096", "connections", 1, 1000000,
	       "open connections of each HTTP listener"),
	NUMBER("intake-mib", intake_mib, "0", "MiB", 0, 1024 * KIB,
	       "memory for requests being received or answered; 0: by the machine's memory"),
	NUMBER("max-target-connections", max_target_connections, "72", "connections", 1, 10000,
	       "open connections to each target"),
	NUMBER("max-frame-bytes", max_frame_bytes, "16777216", "bytes", 64 * KIB, GIB,
	       "longest message between daemons"),
	NUMBER("max-peer-queue-bytes", max_peer_queue_bytes, "33554432", "bytes", 64 * KIB, 4 * GIB,
	       "messages that wait for one daemon"),
	NUMBER("queue-slots", queue_slots, "8192", "slots", 64, 1048576,
	       "length of the rings between threads, a power of two"),
	NUMBER("http-idle-ms", http_idle_ms, "60000", "ms", 1000, 60 * MINUTE_MS,
	       "idle time that closes a caller's connection"),
	NUMBER("connect-ms", connect_ms, "1000", "ms", 10, MINUTE_MS,
	       "longest wait for a connection to a target"),
	NUMBER("handshake-ms", handshake_ms, "2000", "ms", 10, MINUTE_MS,
	       "longest handshake between daemons"),
	NUMBER("peer-idle-ms", peer_idle_ms, "3000", "ms", 100, 10 * MINUTE_MS,
	       "silence that closes a link between daemons"),

	SWITCH("print-settings", print_settings, "print the settings in force and exit"),
	SWITCH("check", check, "check settings, files and charts, and exit"),
	SWITCH("help", help, "print this help and exit"),
	SWITCH("version", version, "print the version and exit"),
};

#define OPTION_COUNT (sizeof(options) / sizeof(options[0]))

#define FILE_VARIABLE "WISTERIALEAD_SETTINGS" /* path of a file with further variables */

/*
 * wl_settings_read - read flags, environment variables and the file of variables
 * @argv: must outlive the settings
 * @settings: zeroed; the caller frees it, also after a failure
 * @err: WL_E_BAD_INPUT, naming the setting; WL_E_IO, WL_E_TOO_LARGE for the file
 */
bool wl_settings_read(int argc, char **argv, wl_settings_t *settings, wl_err_t *err)
{
	wl_variables_t file = {0};
	bool ok = true;

	settings->argc = argc;
	settings->argv = argv;
	settings->file = getenv(FILE_VARIABLE);
	if (settings->file)
		ok = wl_variables_read(settings->file, &file, err);
	ok = ok && wl_options_read_file(options, OPTION_COUNT, argc, argv, &file, settings, err);
	wl_variables_free(&file);
	return ok;
}

/*
 * wl_settings_reread - read the settings again from the same sources
 * @fresh: zeroed; the caller frees it, also after a failure
 * @err: errors of wl_settings_read() and wl_settings_check()
 */
bool wl_settings_reread(const wl_settings_t *settings, wl_settings_t *fresh, wl_err_t *err)
{
	return wl_settings_read(settings->argc, settings->argv, fresh, err) &&
	       wl_settings_check(fresh, err);
}

static bool option_equal(const wl_option_t *option, const wl_settings_t *a, const wl_settings_t *b)
{
	const void *in_a = (const char *)a + option->offset;
	const void *in_b = (const char *)b + option->offset;

	switch (option->kind) {
	case WL_OPTION_NUMBER:
		return *(const uint64_t *)in_a == *(const uint64_t *)in_b;
	case WL_OPTION_FLAG:
		return *(const bool *)in_a == *(const bool *)in_b;
	case WL_OPTION_TEXT:
	case WL_OPTION_CHOICE:
	case WL_OPTION_ADDRESS:
		break;
	}
	return wl_str_equal(wl_buf_str(in_a), wl_buf_str(in_b));
}

/*
 * wl_settings_changes - list the settings that differ
 * @names: receives the flags, separated by commas
 */
void wl_settings_changes(const wl_settings_t *before, const wl_settings_t *after, wl_buf_t *names)
{
	for (size_t i = 0; i < OPTION_COUNT; i++)
		if (!option_equal(&options[i], before, after))
			wl_buf_printf(names, "%s%s", names->len ? "," : "", options[i].flag);
}

/*
 * wl_settings_print - print the settings in force to standard output
 */
void wl_settings_print(const wl_settings_t *settings)
{
	wl_options_print(options, OPTION_COUNT, settings, stdout);
}

/*
 * wl_settings_help - print usage to standard output
 */
void wl_settings_help(void)
{
	wl_options_help(options, OPTION_COUNT, "wisterialeadd", stdout);
}

/*
 * wl_settings_free - release the settings and wipe the secrets
 */
void wl_settings_free(wl_settings_t *settings)
{
	wl_buf_t *secrets[] = {&settings->peer_secret, &settings->operator_token,
			       &settings->target_token};

	for (size_t i = 0; i < sizeof(secrets) / sizeof(secrets[0]); i++) {
		if (secrets[i]->at)
			explicit_bzero(secrets[i]->at, secrets[i]->len);
		wl_buf_free(secrets[i]);
	}
	wl_strings_free(&settings->seeds);
	wl_buf_free(&settings->task_chart);
	wl_buf_free(&settings->target_chart);
	wl_options_free(options, OPTION_COUNT, settings);
}
