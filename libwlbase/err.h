#ifndef WL_ERR_H
#define WL_ERR_H

#include <stdbool.h>

#include <libwlbase/str.h>

/* Whether a request may have run. */
typedef enum wl_verdict {
	WL_NOT_RUN, /* it did not run and never will */
	WL_RAN,	    /* it ran, and the reply is its result */
	WL_UNKNOWN, /* it may have run */
} wl_verdict_t;

typedef enum wl_code {
	WL_OK,
	WL_E_BAD_INPUT,	   /* the request is malformed; the message names the field */
	WL_E_UNAUTHORIZED, /* the token is missing or wrong */
	WL_E_FORBIDDEN,	   /* unknown customer, or the plan does not allow it */
	WL_E_NOT_FOUND,
	WL_E_GONE,	 /* it does not exist, or no longer exists */
	WL_E_CONFLICT,	 /* version or key differs; the message has the current version */
	WL_E_OVER_PLAN,	 /* a limit of the customer's plan is exceeded */
	WL_E_OVERLOADED, /* no capacity at present; a retry may succeed */
	WL_E_DEADLINE,	 /* the caller's deadline has passed, or cannot be met */
	WL_E_NO_LEADER,
	WL_E_NO_SESSION,
	WL_E_NO_TARGET,	    /* no target offers the service */
	WL_E_TOO_LARGE,	    /* larger than any target or than a limit allows */
	WL_E_TARGET_FAILED, /* the target or the connection to it failed */
	WL_E_STALE,	    /* the epoch, attempt or announcement is outdated */
	WL_E_DRAINING,
	WL_E_DAMAGED, /* stored data fails its integrity check */
	WL_E_IO,
	WL_E_DISK_FULL, /* nothing was written; the same write may succeed later */
	WL_E_CODES
} wl_code_t;

#define WL_ERR_TEXT_BYTES 256

/* Why a function failed; the caller provides the struct, and the callee fills it. */
typedef struct wl_err {
	wl_code_t code;
	wl_verdict_t verdict;
	char text[WL_ERR_TEXT_BYTES];
} wl_err_t;

bool wl_err_set(wl_err_t *err, wl_code_t code, wl_verdict_t verdict, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
void wl_err_clear(wl_err_t *err);
const char *wl_code_name(wl_code_t code);
unsigned int wl_code_http(wl_code_t code);
const char *wl_verdict_name(wl_verdict_t verdict);
bool wl_verdict_parse(wl_str_t name, wl_verdict_t *verdict);

#endif
