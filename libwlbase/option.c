/* Settings from flags, environment variables and a file, based on argtable2. */

#include "option.h"

#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "endpoint.h"

#define MAX_OPTIONS	    96
#define MAX_REST	    64
#define MAX_ERRORS	    16 /* parse errors that argtable keeps; only the first is reported */
#define VARIABLE_NAME_BYTES 96

static void *option_at(const wl_option_t *option, void *settings)
{
	return (char *)settings + option->offset;
}

static void option_variable(const wl_option_t *option, char name[VARIABLE_NAME_BYTES])
{
	size_t len = (size_t)snprintf(name, VARIABLE_NAME_BYTES, "WISTERIALEAD_%s", option->flag);

	for (size_t i = 0; i < len && i < VARIABLE_NAME_BYTES - 1; i++) {
		if (name[i] == '-')
			name[i] = '_';
		else if (name[i] >= 'a' && name[i] <= 'z')
			name[i] = (char)(name[i] - 'a' + 'A');
	}
}

static bool option_error(const wl_option_t *option, const char *want, const char *value,
			 wl_err_t *err)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "--%s: must be %s, not \"%.80s\"",
			  option->flag, want, value);
}

static bool option_number(const wl_option_t *option, const char *value, uint64_t *to, wl_err_t *err)
{
	uint64_t max = option->max ? option->max : UINT64_MAX;
	uint64_t number;

	if (!wl_str_u64(wl_str_from(value), &number) || number < option->min || number > max)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "--%s: must be a whole number from %llu to %llu, not \"%.40s\"",
				  option->flag, (unsigned long long)option->min,
				  (unsigned long long)max, value);
	*to = number;
	return true;
}

static bool option_choice(const wl_option_t *option, const char *value, wl_buf_t *to, wl_err_t *err)
{
	wl_buf_t known = {0};

	for (size_t i = 0; option->choices[i]; i++) {
		if (strcmp(option->choices[i], value) == 0) {
			wl_buf_free(&known);
			wl_buf_set(to, wl_str_from(value));
			return true;
		}
		wl_buf_printf(&known, "%s%s", i ? ", " : "one of ", option->choices[i]);
	}
	option_error(option, known.at, value, err);
	wl_buf_free(&known);
	return false;
}

static bool option_flag(const wl_option_t *option, const char *value, bool *to, wl_err_t *err)
{
	if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0)
		return option_error(option, "yes or no", value, err);
	*to = value[0] == 'y';
	return true;
}

static bool option_set(const wl_option_t *option, const char *value, void *settings, wl_err_t *err)
{
	void *to = option_at(option, settings);
	uint64_t port;

	switch (option->kind) {
	case WL_OPTION_TEXT:
		wl_buf_set(to, wl_str_from(value));
		return true;
	case WL_OPTION_NUMBER:
		return option_number(option, value, to, err);
	case WL_OPTION_FLAG:
		return option_flag(option, value, to, err);
	case WL_OPTION_CHOICE:
		return option_choice(option, value, to, err);
	case WL_OPTION_ADDRESS:
		if (value[0] != '\0' && !wl_endpoint_parse(wl_str_from(value), &port))
			return option_error(option, "IP:port", value, err);
		wl_buf_set(to, wl_str_from(value));
		return true;
	}
	return false;
}

/* The argtable entries of the flags, then of the positional arguments, then the end mark. */
typedef struct flags {
	void *table[MAX_OPTIONS + 2];
	size_t count;
	struct arg_str *rest;
	struct arg_end *end;
} flags_t;

static void flags_make(flags_t *flags, const wl_option_t *options, size_t count)
{
	memset(flags, 0, sizeof(*flags));
	for (size_t i = 0; i < count && i < MAX_OPTIONS; i++) {
		const wl_option_t *option = &options[i];

		if (option->kind == WL_OPTION_FLAG)
			flags->table[i] = arg_lit0(NULL, option->flag, option->help);
		else
			flags->table[i] =
				arg_str0(NULL, option->flag, option->unit ? option->unit : "TEXT",
					 option->help);
	}
	flags->rest = arg_strn(NULL, NULL, "WORD", 0, MAX_REST, NULL);
	flags->end = arg_end(MAX_ERRORS);
	flags->table[count] = flags->rest;
	flags->table[count + 1] = flags->end;
	flags->count = count + 2;
}

static bool flags_error(const flags_t *flags, const char *program, wl_err_t *err)
{
	char *text = NULL;
	size_t len = 0;
	FILE *memory = open_memstream(&text, &len);

	if (memory) {
		arg_print_errors(memory, flags->end, program);
		fclose(memory);
	}
	if (text)
		text[strcspn(text, "\n")] = '\0';
	wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%.200s", text ? text : "bad flags");
	free(text);
	return false;
}

static bool option_read(const flags_t *flags, const wl_option_t *option, size_t i,
			const wl_variables_t *file, void *settings, wl_err_t *err)
{
	char name[VARIABLE_NAME_BYTES];
	const struct arg_lit *lit = flags->table[i];
	const struct arg_str *str = flags->table[i];
	const char *variable;

	if (option->kind == WL_OPTION_FLAG && lit->count > 0)
		return option_set(option, "yes", settings, err);
	if (option->kind != WL_OPTION_FLAG && str->count > 0)
		return option_set(option, str->sval[0], settings, err);

	option_variable(option, name);
	variable = getenv(name);
	if (!variable && file)
		variable = wl_variables_get(file, name);
	if (variable)
		return option_set(option, variable, settings, err);
	if (option->default_value)
		return option_set(option, option->default_value, settings, err);
	return true;
}

static bool flags_rest(const flags_t *flags, const char **rest, size_t rest_capacity,
		       size_t *rest_count, wl_err_t *err)
{
	size_t count = (size_t)flags->rest->count;

	if (rest_count)
		*rest_count = 0;
	if (count > 0 && (!rest || count > rest_capacity))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "unexpected argument \"%.80s\"",
				  flags->rest->sval[rest ? rest_capacity : 0]);
	for (size_t i = 0; i < count; i++)
		rest[i] = flags->rest->sval[i];
	if (rest_count)
		*rest_count = count;
	return true;
}

static bool options_read(const wl_option_t *options, size_t count, int argc, char **argv,
			 const wl_variables_t *file, void *settings, const char **rest,
			 size_t rest_capacity, size_t *rest_count, wl_err_t *err)
{
	flags_t flags;
	bool ok = true;

	flags_make(&flags, options, count);
	if (arg_nullcheck(flags.table) != 0)
		abort();
	if (arg_parse(argc, argv, flags.table) > 0)
		ok = flags_error(&flags, argv[0], err);
	for (size_t i = 0; ok && i < count; i++)
		ok = option_read(&flags, &options[i], i, file, settings, err);
	if (ok)
		ok = flags_rest(&flags, rest, rest_capacity, rest_count, err);
	arg_freetable(flags.table, flags.count);
	return ok;
}

/*
 * wl_options_read - read settings from flags and environment variables
 * @options, @count: the known options
 * @argc, @argv: the command line with the program name first; must outlive @rest
 * @settings: zeroed struct that the offsets of the options refer to
 * @rest: receives the positional arguments; NULL: they are errors
 * @rest_capacity: size of @rest, in arguments
 * @rest_count: receives the number of positional arguments; may be NULL
 * @err: WL_E_BAD_INPUT, with the name of the setting
 *
 * A flag takes precedence over the environment variable, and the variable over
 * the default.
 */
bool wl_options_read(const wl_option_t *options, size_t count, int argc, char **argv,
		     void *settings, const char **rest, size_t rest_capacity, size_t *rest_count,
		     wl_err_t *err)
{
	return options_read(options, count, argc, argv, NULL, settings, rest, rest_capacity,
			    rest_count, err);
}

/*
 * wl_options_read_file - read settings from flags, environment variables and a file
 * @file: variables that are used if the environment does not set them; may be NULL
 * @err: WL_E_BAD_INPUT, with the name of the setting
 *
 * Positional arguments are errors.
 */
bool wl_options_read_file(const wl_option_t *options, size_t count, int argc, char **argv,
			  const wl_variables_t *file, void *settings, wl_err_t *err)
{
	return options_read(options, count, argc, argv, file, settings, NULL, 0, NULL, err);
}

/*
 * wl_options_print - write the current settings, one "flag=value" per line
 */
void wl_options_print(const wl_option_t *options, size_t count, const void *settings, FILE *to)
{
	for (size_t i = 0; i < count; i++) {
		const void *at = (const char *)settings + options[i].offset;

		fprintf(to, "%s=", options[i].flag);
		switch (options[i].kind) {
		case WL_OPTION_NUMBER:
			fprintf(to, "%llu\n", (unsigned long long)*(const uint64_t *)at);
			break;
		case WL_OPTION_FLAG:
			fprintf(to, "%s\n", *(const bool *)at ? "yes" : "no");
			break;
		case WL_OPTION_TEXT:
		case WL_OPTION_CHOICE:
		case WL_OPTION_ADDRESS:
			fprintf(to, WL_STR_FMT "\n", WL_STR_ARG(wl_buf_str(at)));
			break;
		}
	}
}

/*
 * wl_options_help - write the usage and one line per setting
 */
void wl_options_help(const wl_option_t *options, size_t count, const char *program, FILE *to)
{
	flags_t flags;

	flags_make(&flags, options, count);
	fprintf(to, "usage: %s [settings]\n\n", program);
	fprintf(to, "Each setting is also read from the environment: --data-dir is "
		    "WISTERIALEAD_DATA_DIR.\n\n");
	arg_print_glossary(to, flags.table, "  %-36s %s\n");
	arg_freetable(flags.table, flags.count);
}

/*
 * wl_options_free - release the buffers of the settings
 */
void wl_options_free(const wl_option_t *options, size_t count, void *settings)
{
	for (size_t i = 0; i < count; i++) {
		switch (options[i].kind) {
		case WL_OPTION_NUMBER:
		case WL_OPTION_FLAG:
			break;
		case WL_OPTION_TEXT:
		case WL_OPTION_CHOICE:
		case WL_OPTION_ADDRESS:
			wl_buf_free(option_at(&options[i], settings));
			break;
		}
	}
}
