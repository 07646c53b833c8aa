#ifndef WL_AUTH_H
#define WL_AUTH_H

#include <libwlcore/model/lists.h>
#include <libwlcore/model/msg.h>

/* Authentication by bearer token and customer header. */

bool wl_auth_bearer(const wl_list_t *headers, wl_str_t token, wl_err_t *err);
const wl_customer_t *wl_auth_customer(const wl_lists_t *lists, const wl_list_t *headers,
				      wl_err_t *err);

#endif
