/* Commands that print an answer: get, members, status, targets, tasks, drain, evacuate. */

#include "cli.h"

#include <string.h>

#include <libwlnet/http_client.h>

static wl_exit_t show(const wl_cli_settings_t *settings, const char *path)
{
	wl_fetched_t fetched;
	wl_exit_t code = wl_cli_get(settings, path, &fetched);

	if (code == WL_EXIT_OK)
		wl_cli_print(settings, wl_buf_str(&fetched.body));
	wl_fetched_free(&fetched);
	return code;
}

static wl_exit_t change(const wl_cli_settings_t *settings, const char *method, const char *path,
			wl_str_t body, uint64_t expected_status)
{
	wl_cli_call_t call = {.method = method, .body = body};
	wl_fetched_t fetched;
	wl_exit_t code;

	wl_buf_set(&call.path, wl_str_from(path));
	code = wl_cli_send(settings, &call, &fetched);
	if (code == WL_EXIT_OK && fetched.status != expected_status)
		code = wl_cli_error(&fetched);
	else if (code == WL_EXIT_OK)
		wl_cli_print(settings, wl_buf_str(&fetched.body));
	wl_buf_free(&call.path);
	wl_fetched_free(&fetched);
	return code;
}

/*
 * wl_cmd_get - print a list unchanged, and its version on standard error
 */
wl_exit_t wl_cmd_get(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_fetched_t fetched;
	wl_buf_t path = {0};
	wl_buf_t etag = {0};
	wl_exit_t code;

	if (count != 1) {
		fprintf(stderr, "wisteriactl: usage: get customers, or get plans\n");
		return WL_EXIT_USAGE;
	}
	wl_buf_printf(&path, "/v1/config/%s", words[0]);
	code = wl_cli_get(settings, path.at, &fetched);
	if (code == WL_EXIT_OK) {
		fwrite(fetched.body.at ? fetched.body.at : "", 1, fetched.body.len, stdout);
		if (wl_cli_etag(&fetched, &etag))
			fprintf(stderr, "version " WL_STR_FMT "\n", WL_STR_ARG(wl_buf_str(&etag)));
	}
	wl_buf_free(&path);
	wl_buf_free(&etag);
	wl_fetched_free(&fetched);
	return code;
}

/*
 * wl_cmd_members - print the replicas; with --replace, allow a lost replica to be replaced
 */
wl_exit_t wl_cmd_members(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_buf_t body = {0};
	wl_exit_t code;

	(void)words;
	(void)count;
	if (settings->replace.len == 0)
		return show(settings, "/v1/members");
	wl_buf_printf(&body, "{\"replace\":\"" WL_STR_FMT "\"}",
		      WL_STR_ARG(wl_buf_str(&settings->replace)));
	code = change(settings, "POST", "/v1/members", wl_buf_str(&body), 200);
	wl_buf_free(&body);
	return code;
}

/*
 * wl_cmd_evacuate - give an availability zone no new work, or take it back into use
 */
wl_exit_t wl_cmd_evacuate(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_buf_t path = {0};
	wl_exit_t code;

	if (count != 1) {
		fprintf(stderr, "wisteriactl: usage: evacuate ZONE [--withdraw]\n");
		return WL_EXIT_USAGE;
	}
	wl_buf_printf(&path, "/v1/evacuations/%s", words[0]);
	code = change(settings, settings->withdraw ? "DELETE" : "PUT", path.at, WL_STR(""), 200);
	wl_buf_free(&path);
	return code;
}

/*
 * wl_cmd_status - print the leader's view of the system
 */
wl_exit_t wl_cmd_status(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	(void)words;
	(void)count;
	return show(settings, "/v1/status");
}

/*
 * wl_cmd_targets - print targets with their owners and free capacity
 */
wl_exit_t wl_cmd_targets(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	(void)words;
	(void)count;
	return show(settings, "/v1/targets");
}

/*
 * wl_cmd_tasks - print one task, the tasks of a customer, or all tasks
 */
wl_exit_t wl_cmd_tasks(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_buf_t path = {0};
	wl_exit_t code;

	wl_buf_set(&path, WL_STR("/v1/tasks"));
	if (count > 0)
		wl_buf_printf(&path, "/%s", words[0]);
	else
		wl_buf_printf(&path, "?max=%llu&customer=" WL_STR_FMT,
			      (unsigned long long)settings->max,
			      WL_STR_ARG(wl_buf_str(&settings->customer)));
	code = show(settings, path.at);
	wl_buf_free(&path);
	return code;
}

/*
 * wl_cmd_drain - drain and stop one daemon
 */
wl_exit_t wl_cmd_drain(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	(void)words;
	(void)count;
	if (memchr(settings->server.at, ',', settings->server.len)) {
		fprintf(stderr, "wisteriactl: drain takes one --server, the daemon to stop\n");
		return WL_EXIT_USAGE;
	}
	return change(settings, "POST", "/v1/drain", WL_STR(""), 202);
}
