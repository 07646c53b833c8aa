#ifndef WL_SETTINGS_H
#define WL_SETTINGS_H

#include <libwlbase/log.h>
#include <libwlbase/option.h>
#include <libwlcore/node/node.h>

/* The settings of a daemon, and the contents of the files that they name. */

#define WL_STORES_MAX 5

/* Descriptors for peers and files, beside those of callers and targets. */
#define WL_SPARE_DESCRIPTORS 1024

/*
 * The members up to version hold the options of the table in settings.c, where each is described.
 * Their names are those of the flags, except exchange_interval_ms for --room-ms.
 */
typedef struct wl_settings {
	wl_buf_t name;
	wl_buf_t availability_zone;
	wl_buf_t rack;
	wl_buf_t role;
	wl_buf_t caller_listen;
	wl_buf_t control_listen;
	wl_buf_t metrics_listen;
	wl_buf_t peer_listen;
	wl_buf_t peer_advertise;
	wl_buf_t store_peers;
	wl_buf_t store_seeds;
	wl_buf_t found_group;
	wl_buf_t dialect;
	wl_buf_t data_dir;
	wl_buf_t chart_dir;
	wl_buf_t peer_secret_file;
	wl_buf_t operator_token_file;
	wl_buf_t target_token_file;
	wl_buf_t ready_file;
	wl_buf_t log_level;
	wl_buf_t routing;
	wl_buf_t queueing;
	wl_buf_t placement;
	wl_buf_t eviction;
	uint64_t session_ms;
	uint64_t renew_ms;
	uint64_t election_ms;
	uint64_t heartbeat_ms;
	uint64_t lease_ms;
	uint64_t grace_ms;
	uint64_t drift_ms;
	uint64_t announce_ms;
	uint64_t silence_ms;
	uint64_t exchange_interval_ms;
	uint64_t drain_ms;
	uint64_t default_timeout_ms;
	uint64_t max_timeout_ms;
	uint64_t max_queued;
	uint64_t retry_permille;
	uint64_t request_cpu_millis;
	uint64_t request_memory_mib;
	uint64_t long_ms;
	uint64_t long_share_permille;
	uint64_t key_keep_ms;
	uint64_t task_keep_ms;
	uint64_t compact_entries;
	uint64_t voters;
	uint64_t replace_ms;
	uint64_t seed;
	uint64_t max_body_bytes;
	uint64_t max_header_bytes;
	uint64_t max_response_bytes;
	uint64_t max_connections;
	uint64_t intake_mib; /* 0: by the machine's memory */
	uint64_t max_target_connections;
	uint64_t max_frame_bytes;
	uint64_t max_peer_queue_bytes;
	uint64_t queue_slots;
	uint64_t http_idle_ms;
	uint64_t connect_ms;
	uint64_t handshake_ms;
	uint64_t peer_idle_ms;
	bool print_settings;
	bool check;
	bool help;
	bool version;
	/* sources of the settings, for wl_settings_reread() */
	int argc;
	char **argv;
	const char *file; /* path of the settings file; NULL if none */
	/* derived by wl_settings_check() and wl_settings_load() */
	bool entry; /* has the role entry */
	bool store; /* has the role store */
	wl_level_t level;
	wl_node_peer_t stores[WL_STORES_MAX]; /* point into store_peers */
	size_t store_count;
	wl_list_t seeds;       /* strings: IP addresses in store_seeds, which are replica names */
	uint16_t replica_port; /* with seeds: peer port of every replica */
	wl_buf_t peer_secret;
	wl_buf_t operator_token;
	wl_buf_t target_token;
	wl_buf_t task_chart;
	wl_buf_t target_chart;
} wl_settings_t;

bool wl_settings_read(int argc, char **argv, wl_settings_t *settings, wl_err_t *err);
bool wl_settings_reread(const wl_settings_t *settings, wl_settings_t *fresh, wl_err_t *err);
void wl_settings_changes(const wl_settings_t *before, const wl_settings_t *after, wl_buf_t *names);
bool wl_settings_check(wl_settings_t *settings, wl_err_t *err);
bool wl_settings_load(wl_settings_t *settings, wl_err_t *err);
uint64_t wl_settings_intake_bytes(const wl_settings_t *s, wl_listener_t listener,
				  uint64_t machine_bytes);
uint64_t wl_settings_target_connections(const wl_settings_t *s, uint64_t descriptors);
void wl_settings_node_options(const wl_settings_t *s, wl_node_options_t *o);
void wl_settings_print(const wl_settings_t *settings);
void wl_settings_help(void);
void wl_settings_free(wl_settings_t *settings);

#endif
