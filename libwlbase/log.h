#ifndef WL_LOG_H
#define WL_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <libwlbase/err.h>
#include <libwlbase/str.h>

typedef enum wl_level {
	WL_DEBUG,
	WL_INFO,
	WL_WARN,
	WL_ERROR,
} wl_level_t;

/*
 * Each event is one line of key=value pairs, written by the logger's thread.  The
 * caller never waits for it: if the ring is full, the line is dropped and counted.
 */
bool wl_log_start(int fd, wl_level_t min_level, wl_str_t source, wl_err_t *err);
void wl_log_stop(void);
void wl_log_event(wl_level_t level, const char *event, const char *pairs, ...)
	__attribute__((format(printf, 3, 4)));
void wl_log_line(wl_level_t level, wl_str_t pairs);
uint64_t wl_log_dropped(void);
uint64_t wl_log_omitted(void);
bool wl_level_parse(wl_str_t name, wl_level_t *level);
void wl_log_quote(wl_buf_t *out, wl_str_t value);

#endif
