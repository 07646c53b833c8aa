/* HTTP calls to the daemons: fallback to the next server, bearer token, error answers. */

#include "cli.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <libwlnet/http_client.h>

#define MAX_ANSWER_BYTES (64u << 20)
#define MAX_FILE_BYTES	 (16u << 20)

/*
 * wl_cli_read_file - read a file
 * @text: receives its content
 *
 * Return: false, with a message printed, if the file cannot be read or exceeds 16 MiB.
 */
bool wl_cli_read_file(wl_str_t path, wl_buf_t *text)
{
	char chunk[65536];
	wl_buf_t name = {0};
	FILE *file;
	size_t n;
	bool ok;

	wl_buf_set(&name, path);
	file = fopen(name.at, "rb");
	if (!file) {
		fprintf(stderr, "wisteriactl: %s: cannot be opened\n", name.at);
		wl_buf_free(&name);
		return false;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), file)) > 0 && text->len <= MAX_FILE_BYTES)
		wl_buf_append(text, (wl_str_t){chunk, n});
	ok = !ferror(file) && text->len <= MAX_FILE_BYTES;
	if (!ok)
		fprintf(stderr, "wisteriactl: %s: read error, or longer than 16 MiB\n", name.at);
	fclose(file);
	wl_buf_free(&name);
	return ok;
}

static bool token_header_add(const wl_cli_settings_t *settings, wl_fetch_t *fetch)
{
	wl_buf_t token = {0};
	wl_buf_t header = {0};
	bool ok;

	if (settings->token_file.len == 0)
		return true;
	ok = wl_cli_read_file(wl_buf_str(&settings->token_file), &token);
	while (token.len && (token.at[token.len - 1] == '\n' || token.at[token.len - 1] == '\r'))
		token.len--;
	if (ok) {
		wl_buf_printf(&header, "Bearer " WL_STR_FMT, WL_STR_ARG(wl_buf_str(&token)));
		wl_headers_add(&fetch->headers, WL_STR("Authorization"), wl_buf_str(&header));
	}
	wl_buf_free(&token);
	wl_buf_free(&header);
	return ok;
}

static void fetch_free(wl_fetch_t *fetch)
{
	wl_buf_free(&fetch->address);
	wl_buf_free(&fetch->method);
	wl_buf_free(&fetch->path);
	wl_list_free(&wl_header_schema, &fetch->headers);
	wl_buf_free(&fetch->body);
}

static bool fetch_init(const wl_cli_settings_t *settings, const wl_cli_call_t *call,
		       wl_str_t server, wl_fetch_t *fetch)
{
	memset(fetch, 0, sizeof(*fetch));
	fetch->timeout_ms = settings->timeout_ms + (settings->wait ? settings->wait_ms : 0);
	wl_buf_set(&fetch->address, server);
	wl_buf_set(&fetch->method, wl_str_from(call->method));
	wl_buf_set(&fetch->path, wl_buf_str(&call->path));
	wl_buf_set(&fetch->body, call->body);
	if (call->if_match.len)
		wl_headers_add(&fetch->headers, WL_STR("If-Match"), wl_buf_str(&call->if_match));
	return token_header_add(settings, fetch);
}

/* True if this daemon could not reach the leader and changed nothing; another may reach it. */
static bool should_try_next(const wl_fetched_t *fetched)
{
	const wl_buf_t *verdict =
		wl_headers_find(&fetched->headers, WL_STR("Wisterialead-Verdict"));

	return fetched->status == 503 && verdict &&
	       wl_str_equal(wl_buf_str(verdict), WL_STR("not-run"));
}

/*
 * wl_cli_send - make a call, trying the servers in order
 * @fetched: the answer, if WL_EXIT_OK is returned; the caller frees it in any case
 *
 * Return: WL_EXIT_OK for any complete answer, whatever its status; else WL_EXIT_UNREACHABLE or
 * WL_EXIT_UNKNOWN, with a message printed.
 */
wl_exit_t wl_cli_send(const wl_cli_settings_t *settings, const wl_cli_call_t *call,
		      wl_fetched_t *fetched)
{
	wl_str_t rest = wl_buf_str(&settings->server);
	wl_exit_t code = WL_EXIT_UNREACHABLE;
	wl_str_t server;

	memset(fetched, 0, sizeof(*fetched));
	while (rest.len) {
		wl_fetch_t fetch;
		wl_err_t err = {0};
		bool ok;

		wl_str_split(rest, ',', &server, &rest);
		ok = fetch_init(settings, call, server, &fetch);
		wl_fetched_free(fetched);
		memset(fetched, 0, sizeof(*fetched));
		ok = ok && wl_http_call(&fetch, MAX_ANSWER_BYTES, fetched, &err);
		fetch_free(&fetch);
		if (ok && fetched->complete && !(should_try_next(fetched) && rest.len))
			return WL_EXIT_OK;
		if (!fetched->complete)
			fprintf(stderr, "wisteriactl: " WL_STR_FMT ": " WL_STR_FMT "\n",
				WL_STR_ARG(server),
				WL_STR_ARG(ok ? wl_buf_str(&fetched->error)
					      : wl_str_from(err.text)));
		/*
		 * The next server is tried even if this call may have been executed: a GET and a
		 * change with If-Match can be repeated safely.
		 */
		if (fetched->sent && !fetched->complete)
			code = WL_EXIT_UNKNOWN;
	}
	return code;
}

/*
 * wl_cli_get - make a GET call, trying the servers in order
 *
 * Return: WL_EXIT_OK only for status 200; else the exit code of wl_cli_error() or wl_cli_send().
 * A GET has no effect, so WL_EXIT_UNKNOWN is returned as WL_EXIT_UNREACHABLE.
 */
wl_exit_t wl_cli_get(const wl_cli_settings_t *settings, const char *path, wl_fetched_t *fetched)
{
	wl_cli_call_t call = {.method = "GET"};
	wl_exit_t code;

	wl_buf_set(&call.path, wl_str_from(path));
	code = wl_cli_send(settings, &call, fetched);
	wl_buf_free(&call.path);
	if (code == WL_EXIT_UNKNOWN)
		return WL_EXIT_UNREACHABLE;
	if (code != WL_EXIT_OK)
		return code;
	return fetched->status == 200 ? WL_EXIT_OK : wl_cli_error(fetched);
}

/*
 * wl_cli_error - print an error answer
 *
 * Return: the matching exit code.
 */
wl_exit_t wl_cli_error(const wl_fetched_t *fetched)
{
	json_t *json =
		json_loadb(fetched->body.at ? fetched->body.at : "", fetched->body.len, 0, NULL);
	const char *code = json_string_value(json_object_get(json, "error"));
	const char *message = json_string_value(json_object_get(json, "message"));
	const char *verdict = json_string_value(json_object_get(json, "verdict"));
	wl_exit_t exit_code = WL_EXIT_REFUSED;

	fprintf(stderr, "wisteriactl: %llu %s: %s (%s)\n", (unsigned long long)fetched->status,
		code ? code : "error", message ? message : "", verdict ? verdict : "no verdict");
	if (fetched->status == 412)
		exit_code = WL_EXIT_CONFLICT;
	else if (verdict && strcmp(verdict, "unknown") == 0)
		exit_code = WL_EXIT_UNKNOWN;
	else if (fetched->status == 503)
		exit_code = WL_EXIT_UNREACHABLE;
	json_decref(json);
	return exit_code;
}

/*
 * wl_cli_etag - read the version of a list from the ETag header
 * @etag: receives the version, quotes included
 *
 * Return: false if the answer has no ETag.
 */
bool wl_cli_etag(const wl_fetched_t *fetched, wl_buf_t *etag)
{
	const wl_buf_t *header = wl_headers_find(&fetched->headers, WL_STR("ETag"));

	if (!header)
		return false;
	wl_buf_set(etag, wl_buf_str(header));
	return true;
}
