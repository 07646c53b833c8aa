/* Errors with a code, a verdict and a message. */

#include "err.h"

#include <stdarg.h>
#include <stdio.h>

#define DELETE 0x7f

typedef struct code_row {
	const char *name;
	unsigned int http;
} code_row_t;

static const code_row_t codes[WL_E_CODES] = {
	[WL_OK] = {"ok", 200},
	[WL_E_BAD_INPUT] = {"bad-input", 400},
	[WL_E_UNAUTHORIZED] = {"unauthorized", 401},
	[WL_E_FORBIDDEN] = {"forbidden", 403},
	[WL_E_NOT_FOUND] = {"not-found", 404},
	[WL_E_GONE] = {"gone", 410},
	[WL_E_CONFLICT] = {"conflict", 409},
	[WL_E_OVER_PLAN] = {"over-plan", 429},
	[WL_E_OVERLOADED] = {"overloaded", 503},
	[WL_E_DEADLINE] = {"deadline", 504},
	[WL_E_NO_LEADER] = {"no-leader", 503},
	[WL_E_NO_SESSION] = {"no-session", 503},
	[WL_E_NO_TARGET] = {"no-target", 503},
	[WL_E_TOO_LARGE] = {"too-large", 413},
	[WL_E_TARGET_FAILED] = {"target-failed", 502},
	[WL_E_STALE] = {"stale", 409},
	[WL_E_DRAINING] = {"draining", 503},
	[WL_E_DAMAGED] = {"damaged", 500},
	[WL_E_IO] = {"io", 500},
	[WL_E_DISK_FULL] = {"disk-full", 503},
};

static const char *const verdicts[] = {
	[WL_NOT_RUN] = "not-run",
	[WL_RAN] = "ran",
	[WL_UNKNOWN] = "unknown",
};

/* Errors quote input, and stand in lines of logs, which they must not end. */
static void text_clean(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ' || *text == DELETE)
			*text = '?';
}

/*
 * wl_err_set - fill an error
 * @err: the error, or NULL if the caller does not need it
 * @code: kind of failure
 * @verdict: whether the request may have run
 * @format: message, with the name of what failed
 *
 * Return: always false, so that a failing function can return the result of the call.
 */
bool wl_err_set(wl_err_t *err, wl_code_t code, wl_verdict_t verdict, const char *format, ...)
{
	va_list args;

	if (!err)
		return false;
	err->code = code;
	err->verdict = verdict;
	va_start(args, format);
	vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
	text_clean(err->text);
	return false;
}

/*
 * wl_err_clear - reset an error to WL_OK
 */
void wl_err_clear(wl_err_t *err)
{
	*err = (wl_err_t){0};
}

/*
 * wl_code_name - get the external name of a code
 */
const char *wl_code_name(wl_code_t code)
{
	return code < WL_E_CODES ? codes[code].name : "unknown-code";
}

/*
 * wl_code_http - get the HTTP status of a code
 */
unsigned int wl_code_http(wl_code_t code)
{
	return code < WL_E_CODES ? codes[code].http : 500;
}

/*
 * wl_verdict_name - get the external name of a verdict
 */
const char *wl_verdict_name(wl_verdict_t verdict)
{
	return verdict <= WL_UNKNOWN ? verdicts[verdict] : "unknown";
}

/*
 * wl_verdict_parse - parse the external name of a verdict
 *
 * Return: false if no verdict has the name.
 */
bool wl_verdict_parse(wl_str_t name, wl_verdict_t *verdict)
{
	for (size_t i = 0; i <= WL_UNKNOWN; i++) {
		if (!wl_str_equal(name, wl_str_from(verdicts[i])))
			continue;
		*verdict = (wl_verdict_t)i;
		return true;
	}
	return false;
}
