#ifndef WL_CLI_H
#define WL_CLI_H

#include <stdio.h>

#include <libwlcore/model/event.h>

/* Exit codes of wisteriactl; scripts rely on the numbers. */
typedef enum wl_exit {
	WL_EXIT_OK = 0,
	WL_EXIT_USAGE = 1,
	WL_EXIT_REFUSED = 2,	  /* error answer: bad input, no permission, not found */
	WL_EXIT_CONFLICT = 3,	  /* the list has changed since it was read */
	WL_EXIT_UNREACHABLE = 4,  /* no server processed the call; nothing changed */
	WL_EXIT_UNKNOWN = 5,	  /* the call may have been executed */
	WL_EXIT_NOT_IN_FORCE = 6, /* change accepted, but not in force within --wait-ms */
	WL_EXIT_FAILED = 7,	  /* diff found changes, or load --check failed */
} wl_exit_t;

/*
 * Settings of all commands, each described in the table in main.c; a command uses some of them.
 */
typedef struct wl_cli_settings {
	wl_buf_t server; /* IP:port,... in the order in which they are tried */
	wl_buf_t token_file;
	uint64_t timeout_ms;
	bool json;
	bool help;
	bool version;
	wl_buf_t customers; /* apply, diff: files */
	wl_buf_t plans;
	bool wait;
	uint64_t wait_ms;
	wl_buf_t customer;
	uint64_t max;	  /* tasks */
	wl_buf_t replace; /* members */
	bool withdraw;	  /* evacuate */
	wl_buf_t service; /* load */
	wl_buf_t path;
	wl_buf_t method;
	wl_buf_t schedule;
	uint64_t rate_per_s;
	uint64_t crest_per_s;
	uint64_t period_ms;
	uint64_t seconds;
	uint64_t body_bytes;
	uint64_t deadline_ms;
	uint64_t tasks_per_s;
	uint64_t task_run_ms;
	uint64_t task_cpu_millis;
	uint64_t long_permille;
	uint64_t long_run_ms;
	uint64_t urgent_permille;
	uint64_t connections;
	wl_buf_t csv;
	bool check;
	uint64_t seed;
} wl_cli_settings_t;

typedef wl_exit_t (*wl_command_handler_t)(const wl_cli_settings_t *settings, const char **words,
					  size_t count);

/* One HTTP call, which is tried on each server in order. */
typedef struct wl_cli_call {
	const char *method;
	wl_buf_t path;
	wl_buf_t if_match;
	wl_str_t body;
} wl_cli_call_t;

wl_exit_t wl_cli_send(const wl_cli_settings_t *settings, const wl_cli_call_t *call,
		      wl_fetched_t *fetched);
wl_exit_t wl_cli_get(const wl_cli_settings_t *settings, const char *path, wl_fetched_t *fetched);
wl_exit_t wl_cli_error(const wl_fetched_t *fetched);
bool wl_cli_read_file(wl_str_t path, wl_buf_t *text);
bool wl_cli_etag(const wl_fetched_t *fetched, wl_buf_t *etag);
void wl_cli_print(const wl_cli_settings_t *settings, wl_str_t text);

wl_exit_t wl_cmd_apply(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_diff(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_drain(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_evacuate(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_get(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_load(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_members(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_status(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_targets(const wl_cli_settings_t *settings, const char **words, size_t count);
wl_exit_t wl_cmd_tasks(const wl_cli_settings_t *settings, const char **words, size_t count);

#endif
