#ifndef WL_ENDPOINT_H
#define WL_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include <libwlbase/err.h>
#include <libwlbase/str.h>

bool wl_endpoint_parse(wl_str_t text, uint64_t *port);
bool wl_endpoint_check(wl_str_t text, const char *field, wl_err_t *err);

#endif
