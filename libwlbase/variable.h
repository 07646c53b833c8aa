#ifndef WL_VARIABLE_H
#define WL_VARIABLE_H

#include <stdbool.h>

#include <libwlbase/err.h>
#include <libwlbase/record.h>

/* Variables of a file with one NAME=value per line, used in place of environment variables. */
typedef struct wl_variables {
	wl_list_t names;  /* strings */
	wl_list_t values; /* strings; the value has the same index as its name */
} wl_variables_t;

bool wl_variables_read(const char *path, wl_variables_t *variables, wl_err_t *err);
bool wl_variables_parse(wl_str_t text, wl_variables_t *variables, wl_err_t *err);
const char *wl_variables_get(const wl_variables_t *variables, const char *name);
void wl_variables_free(wl_variables_t *variables);

#endif
