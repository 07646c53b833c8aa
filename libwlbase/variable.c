/*
 * Reads a file of variables, for platforms that write settings to a file instead
 * of the environment.
 *
 * Each line has the form NAME=value.  The value is the text after the first '=',
 * without quoting or expansion.  Empty lines and lines that begin with '#' are
 * ignored.
 */

#include "variable.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define FILE_MAX_BYTES 65536u /* bytes; a settings file takes a few KiB */

/*
 * wl_variables_parse - parse variables from a text
 * @variables: zeroed by the caller, who frees it, also after a failure
 * @err: WL_E_BAD_INPUT, with the number of the line
 */
bool wl_variables_parse(wl_str_t text, wl_variables_t *variables, wl_err_t *err)
{
	wl_str_t rest = text;
	unsigned int number = 0;

	while (rest.len > 0) {
		wl_str_t line;
		wl_str_t name;
		wl_str_t value;

		number++;
		wl_str_split(rest, '\n', &line, &rest);
		if (line.len > 0 && line.at[line.len - 1] == '\r')
			line.len--;
		if (line.len == 0 || line.at[0] == '#')
			continue;
		if (!wl_str_split(line, '=', &name, &value) || name.len == 0)
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "settings file, line %u: must be NAME=value", number);
		if (memchr(line.at, '\0', line.len))
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "settings file, line %u: must be text, not NUL bytes",
					  number);
		wl_strings_add(&variables->names, name);
		wl_strings_add(&variables->values, value);
	}
	return true;
}

/*
 * wl_variables_read - read a file of variables
 * @variables: zeroed by the caller, who frees it, also after a failure
 * @err: WL_E_IO or WL_E_TOO_LARGE with the path, WL_E_BAD_INPUT with the line number
 */
bool wl_variables_read(const char *path, wl_variables_t *variables, wl_err_t *err)
{
	char bytes[FILE_MAX_BYTES + 1];
	FILE *file = fopen(path, "re");
	size_t len;
	bool failed;

	if (!file)
		return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "%.200s: %s", path, strerror(errno));
	len = fread(bytes, 1, sizeof(bytes), file);
	failed = ferror(file) != 0;
	fclose(file);
	if (failed)
		return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "%.200s: read error", path);
	if (len > FILE_MAX_BYTES)
		return wl_err_set(err, WL_E_TOO_LARGE, WL_NOT_RUN,
				  "%.200s: longer than 65536 bytes", path);
	return wl_variables_parse((wl_str_t){bytes, len}, variables, err);
}

/*
 * wl_variables_get - get the value of a variable
 *
 * Return: the value on the last line that sets the variable, or NULL if none does.
 */
const char *wl_variables_get(const wl_variables_t *variables, const char *name)
{
	const wl_buf_t *names = variables->names.items;
	const wl_buf_t *values = variables->values.items;

	for (size_t i = variables->names.count; i > 0; i--)
		if (wl_str_equal(wl_buf_str(&names[i - 1]), wl_str_from(name)))
			return values[i - 1].at ? values[i - 1].at : "";
	return NULL;
}

/*
 * wl_variables_free - release the memory of the variables
 */
void wl_variables_free(wl_variables_t *variables)
{
	wl_strings_free(&variables->names);
	wl_strings_free(&variables->values);
}
