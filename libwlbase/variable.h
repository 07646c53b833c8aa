#ifndef WL_VARIABLE_H
#define WL_VARIABLE_H

#include <stdbool.h>

#include <libwlbase/err.h>
#include <libwlbase/record.h>

/* A file of variables, one NAME=value a line, that stands in for the environment. */
typedef struct wl_variables {
	wl_list_t names;  /* strings */
	wl_list_t values; /* strings, at the place of their names */
} wl_variables_t;

bool wl_variables_read(const char *path, wl_variables_t *variables, wl_err_t *err);
bool wl_variables_parse(wl_str_t text, wl_variables_t *variables, wl_err_t *err);
const char *wl_variables_get(const wl_variables_t *variables, const char *name);
void wl_variables_free(wl_variables_t *variables);

#endif
