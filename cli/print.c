/* Human-readable output: objects as lines, lists of objects as tables. */

#include "cli.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define MAX_COLUMNS 16
/* Longer cells are printed whole, yet widen no other row. */
#define WIDTH_MAX 80

static char *cell_text(const json_t *value)
{
	if (json_is_string(value))
		return strdup(json_string_value(value));
	return json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

typedef struct table {
	const char *names[MAX_COLUMNS];
	size_t widths[MAX_COLUMNS];
	size_t count;
} table_t;

static void table_init(table_t *table, const json_t *rows)
{
	json_t *row;
	json_t *value;
	const char *key;
	size_t r;

	memset(table, 0, sizeof(*table));
	json_object_foreach(json_array_get(rows, 0), key, value)
	{
		if (table->count == MAX_COLUMNS)
			break;
		table->names[table->count] = key;
		table->widths[table->count++] = strlen(key) < WIDTH_MAX ? strlen(key) : WIDTH_MAX;
	}
	json_array_foreach(rows, r, row)
	{
		for (size_t c = 0; c < table->count; c++) {
			char *text = cell_text(json_object_get(row, table->names[c]));
			size_t len = text ? strlen(text) : 0;

			if (len > WIDTH_MAX)
				len = WIDTH_MAX;
			if (len > table->widths[c])
				table->widths[c] = len;
			free(text);
		}
	}
}

static void print_table(const json_t *rows, int indent)
{
	table_t table;
	json_t *row;
	size_t r;

	if (json_array_size(rows) == 0 || !json_is_object(json_array_get(rows, 0)))
		return;
	table_init(&table, rows);
	printf("%*s", indent, "");
	for (size_t c = 0; c < table.count; c++)
		printf("%-*s  ", (int)table.widths[c], table.names[c]);
	printf("\n");
	json_array_foreach(rows, r, row)
	{
		printf("%*s", indent, "");
		for (size_t c = 0; c < table.count; c++) {
			char *text = cell_text(json_object_get(row, table.names[c]));

			printf("%-*s  ", (int)table.widths[c], text ? text : "");
			free(text);
		}
		printf("\n");
	}
}

static void print_object(json_t *object, int indent)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		char *text;

		if (json_is_object(value)) {
			printf("%*s%s:\n", indent, "", key);
			print_object(value, indent + 2);
			continue;
		}
		if (json_is_array(value) && json_is_object(json_array_get(value, 0))) {
			printf("%*s%s:\n", indent, "", key);
			print_table(value, indent + 2);
			continue;
		}
		text = cell_text(value);
		printf("%*s%s: %s\n", indent, "", key, text ? text : "");
		free(text);
	}
}

static wl_str_t trimmed(wl_str_t text)
{
	while (text.len && text.at && text.at[text.len - 1] == '\n')
		text.len--;
	return text;
}

/*
 * wl_cli_print - print an answer: unchanged with --json, else in human-readable form
 */
void wl_cli_print(const wl_cli_settings_t *settings, wl_str_t text)
{
	json_t *json =
		settings->json ? NULL : json_loadb(text.at ? text.at : "", text.len, 0, NULL);

	if (!json) {
		printf(WL_STR_FMT "\n", WL_STR_ARG(trimmed(text)));
		return;
	}
	if (json_is_array(json))
		print_table(json, 0);
	else
		print_object(json, 0);
	json_decref(json);
}
