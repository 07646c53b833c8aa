/* Commands on the lists of customers and plans: apply, and diff, which changes nothing. */

#include "cli.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include <libwlnet/http_client.h>

#define MAX_ATTEMPTS 5

/* A list as given in a file and as the servers hold it. */
typedef struct config_list {
	const char *name;
	wl_buf_t text;	  /* content of the file */
	wl_buf_t current; /* content that the servers hold */
	wl_buf_t etag;	  /* version of @current */
} config_list_t;

static void list_free(config_list_t *list)
{
	wl_buf_free(&list->text);
	wl_buf_free(&list->current);
	wl_buf_free(&list->etag);
}

static wl_exit_t list_fetch(const wl_cli_settings_t *settings, config_list_t *list)
{
	wl_fetched_t fetched;
	wl_buf_t path = {0};
	wl_exit_t code;

	wl_buf_printf(&path, "/v1/config/%s", list->name);
	code = wl_cli_get(settings, path.at, &fetched);
	if (code == WL_EXIT_OK) {
		wl_buf_set(&list->current, wl_buf_str(&fetched.body));
		if (!wl_cli_etag(&fetched, &list->etag)) {
			fprintf(stderr, "wisteriactl: version of the list is unknown: answer has "
					"no ETag header\n");
			code = WL_EXIT_REFUSED;
		}
	}
	wl_buf_free(&path);
	wl_fetched_free(&fetched);
	return code;
}

static bool list_unchanged(const config_list_t *list)
{
	json_t *a = json_loadb(list->text.at ? list->text.at : "", list->text.len, 0, NULL);
	json_t *b =
		json_loadb(list->current.at ? list->current.at : "", list->current.len, 0, NULL);
	bool same = a && b && json_equal(a, b);

	json_decref(a);
	json_decref(b);
	return same;
}

static void print_accepted(const wl_cli_settings_t *settings, const config_list_t *list,
			   const wl_fetched_t *fetched)
{
	const char *version;
	json_t *json;

	if (settings->json) {
		wl_cli_print(settings, wl_buf_str(&fetched->body));
		return;
	}
	json = json_loadb(fetched->body.at ? fetched->body.at : "", fetched->body.len, 0, NULL);
	version = json_string_value(json_object_get(json, "version"));
	printf("%s: version %s, revision %lld, %s\n", list->name, version ? version : "unknown",
	       (long long)json_integer_value(json_object_get(json, "revision")),
	       json_is_true(json_object_get(json, "in_force")) ? "in force" : "accepted");
	json_decref(json);
}

static bool in_force(const wl_fetched_t *fetched)
{
	json_t *json =
		json_loadb(fetched->body.at ? fetched->body.at : "", fetched->body.len, 0, NULL);
	bool is = json_is_true(json_object_get(json, "in_force"));

	json_decref(json);
	return is;
}

/* Retries if the answer is lost: a repeated change gets the answer of the first one. */
static wl_exit_t list_put(const wl_cli_settings_t *settings, config_list_t *list)
{
	wl_cli_call_t call = {.method = "PUT", .body = wl_buf_str(&list->text)};
	wl_fetched_t fetched = {0};
	wl_exit_t code = WL_EXIT_UNREACHABLE;

	wl_buf_printf(&call.path, "/v1/config/%s?wait_ms=%llu", list->name,
		      settings->wait ? (unsigned long long)settings->wait_ms : 0ull);
	wl_buf_set(&call.if_match, wl_buf_str(&list->etag));
	if (settings->wait)
		fprintf(stderr, "%s: sent, waiting until it is in force on all daemons\n",
			list->name);
	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		wl_fetched_free(&fetched);
		code = wl_cli_send(settings, &call, &fetched);
		if (code == WL_EXIT_OK && fetched.status != 503)
			break;
		fprintf(stderr, "%s: no answer or status 503, retrying\n", list->name);
		nanosleep(&(struct timespec){.tv_sec = 1}, NULL);
	}
	if (code == WL_EXIT_OK && fetched.status != 200)
		code = wl_cli_error(&fetched);
	else if (code == WL_EXIT_OK) {
		print_accepted(settings, list, &fetched);
		if (settings->wait && !in_force(&fetched))
			code = WL_EXIT_NOT_IN_FORCE;
	}
	wl_buf_free(&call.path);
	wl_buf_free(&call.if_match);
	wl_fetched_free(&fetched);
	return code;
}

static wl_exit_t apply_one(const wl_cli_settings_t *settings, const char *name,
			   const wl_buf_t *file)
{
	config_list_t list = {.name = name};
	wl_exit_t code = WL_EXIT_USAGE;

	if (wl_cli_read_file(wl_buf_str(file), &list.text))
		code = list_fetch(settings, &list);
	if (code == WL_EXIT_OK && list_unchanged(&list))
		printf("%s: no change\n", name);
	else if (code == WL_EXIT_OK)
		code = list_put(settings, &list);
	list_free(&list);
	return code;
}

static bool files_given(const wl_cli_settings_t *settings)
{
	if (settings->customers.len || settings->plans.len)
		return true;
	fprintf(stderr, "wisteriactl: needs --customers FILE, --plans FILE or both\n");
	return false;
}

/*
 * wl_cmd_apply - replace the lists by the given files, plans first since customers refer to plans
 */
wl_exit_t wl_cmd_apply(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_exit_t code = WL_EXIT_OK;

	(void)words;
	(void)count;
	if (!files_given(settings))
		return WL_EXIT_USAGE;
	if (settings->plans.len)
		code = apply_one(settings, "plans", &settings->plans);
	if (code == WL_EXIT_OK && settings->customers.len)
		code = apply_one(settings, "customers", &settings->customers);
	return code;
}

static json_t *rows_by_name(const wl_buf_t *text, const char *list)
{
	json_t *json = json_loadb(text->at ? text->at : "", text->len, 0, NULL);
	json_t *by_name = json_object();
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(json, list), i, row)
	{
		const char *name = json_string_value(json_object_get(row, "name"));

		if (name)
			json_object_set(by_name, name, row);
	}
	json_decref(json);
	return by_name;
}

static void diff_line(char sign, json_t *row)
{
	char *text = json_dumps(row, JSON_COMPACT);

	printf("%c %s\n", sign, text);
	free(text);
}

static size_t diff_rows(json_t *before, json_t *after)
{
	const char *name;
	size_t changes = 0;
	json_t *row;

	json_object_foreach(before, name, row)
	{
		if (json_equal(row, json_object_get(after, name)))
			continue;
		diff_line('-', row);
		changes++;
	}
	json_object_foreach(after, name, row)
	{
		if (json_equal(row, json_object_get(before, name)))
			continue;
		diff_line('+', row);
		changes++;
	}
	return changes;
}

static wl_exit_t diff_one(const wl_cli_settings_t *settings, const char *name, const wl_buf_t *file)
{
	config_list_t list = {.name = name};
	wl_exit_t code = WL_EXIT_USAGE;
	json_t *before;
	json_t *after;

	if (wl_cli_read_file(wl_buf_str(file), &list.text))
		code = list_fetch(settings, &list);
	if (code == WL_EXIT_OK) {
		before = rows_by_name(&list.current, name);
		after = rows_by_name(&list.text, name);
		printf("%s, version " WL_STR_FMT ":\n", name, WL_STR_ARG(wl_buf_str(&list.etag)));
		if (diff_rows(before, after) > 0)
			code = WL_EXIT_FAILED;
		json_decref(before);
		json_decref(after);
	}
	list_free(&list);
	return code;
}

/*
 * wl_cmd_diff - print what apply would change
 *
 * Return: WL_EXIT_FAILED if anything differs.
 */
wl_exit_t wl_cmd_diff(const wl_cli_settings_t *settings, const char **words, size_t count)
{
	wl_exit_t plans = WL_EXIT_OK;
	wl_exit_t customers = WL_EXIT_OK;

	(void)words;
	(void)count;
	if (!files_given(settings))
		return WL_EXIT_USAGE;
	if (settings->plans.len)
		plans = diff_one(settings, "plans", &settings->plans);
	if (settings->customers.len)
		customers = diff_one(settings, "customers", &settings->customers);
	return plans != WL_EXIT_OK ? plans : customers;
}
