#ifndef WL_LOG_LIMIT_H
#define WL_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <libwlbase/map.h>

/* How a limit is built; zero means the default. */
typedef struct wl_log_limit_options {
	uint32_t lines_per_s; /* lines of one event in a second */
	uint32_t events_max;  /* events that are counted apart; further ones share one count */
} wl_log_limit_options_t;

/* Lines of one event that were left out in a second. */
typedef struct wl_log_omission {
	char event[64]; /* NUL-terminated, shortened where it is longer */
	uint64_t lines;
} wl_log_omission_t;

typedef struct wl_log_limit_event {
	wl_str_t key; /* over name */
	wl_buf_t name;
	uint64_t second; /* in which the lines below were counted */
	uint64_t lines;
	uint64_t omitted;
	TAILQ_ENTRY(wl_log_limit_event) link;
} wl_log_limit_event_t;

TAILQ_HEAD(wl_log_limit_events, wl_log_limit_event);

/* Bounds the volume of the log: so many lines of each event in a second. */
typedef struct wl_log_limit {
	wl_log_limit_options_t options;
	wl_map_t by_event;
	struct wl_log_limit_events events;
} wl_log_limit_t;

void wl_log_limit_init(wl_log_limit_t *limit, const wl_log_limit_options_t *options);
void wl_log_limit_free(wl_log_limit_t *limit);
bool wl_log_limit_admit(wl_log_limit_t *limit, wl_str_t event, uint64_t now_ns);
bool wl_log_limit_report(wl_log_limit_t *limit, uint64_t now_ns, wl_log_omission_t *omission);

#endif
