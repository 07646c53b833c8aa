#ifndef WL_OPTION_H
#define WL_OPTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <libwlbase/err.h>
#include <libwlbase/str.h>
#include <libwlbase/variable.h>

typedef enum wl_option_kind {
	WL_OPTION_TEXT,	   /* wl_buf_t */
	WL_OPTION_NUMBER,  /* uint64_t within min..max */
	WL_OPTION_FLAG,	   /* bool */
	WL_OPTION_CHOICE,  /* wl_buf_t, one of choices */
	WL_OPTION_ADDRESS, /* wl_buf_t, IP:port */
} wl_option_kind_t;

/* A setting that a flag or the environment variable of the same name gives. */
typedef struct wl_option {
	const char *flag; /* "data-dir": --data-dir, WISTERIALEAD_DATA_DIR */
	wl_option_kind_t kind;
	size_t offset;		   /* in the struct that wl_options_read() fills */
	const char *default_value; /* if neither flag nor variable is set; NULL: zero or empty */
	const char *unit;	   /* for the help text: "ms", "IP:port", ... */
	const char *help;
	uint64_t min;
	uint64_t max;		    /* 0: no limit */
	const char *const *choices; /* NULL-terminated */
} wl_option_t;

/*
 * Reads flags and environment variables; flags take precedence.  Positional
 * arguments are returned in rest (at most rest_capacity of them); if rest is NULL,
 * they are errors.
 */
bool wl_options_read(const wl_option_t *options, size_t count, int argc, char **argv,
		     void *settings, const char **rest, size_t rest_capacity, size_t *rest_count,
		     wl_err_t *err);
/*
 * Does the same without positional arguments, and also uses the variables of a
 * file; the environment takes precedence over the file.
 */
bool wl_options_read_file(const wl_option_t *options, size_t count, int argc, char **argv,
			  const wl_variables_t *file, void *settings, wl_err_t *err);
void wl_options_print(const wl_option_t *options, size_t count, const void *settings, FILE *to);
void wl_options_help(const wl_option_t *options, size_t count, const char *program, FILE *to);
void wl_options_free(const wl_option_t *options, size_t count, void *settings);

#endif
