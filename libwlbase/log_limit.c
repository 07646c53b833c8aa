/*
 * Limit of log lines by event.
 *
 * A busy leader logs each start and end of a run.  The limit applies to each event of its own, so
 * that frequent events do not displace rare ones.
 */

#include "log_limit.h"

#include <stdlib.h>
#include <string.h>

#include <libwlbase/preset.h>
#include <libwlbase/units.h>

#define LINES_PER_S_DEFAULT 200
#define EVENTS_MAX_DEFAULT  256
#define OTHER_EVENTS	    "other"

/*
 * wl_log_limit_init - initialize a limit
 */
void wl_log_limit_init(wl_log_limit_t *limit, const wl_log_limit_options_t *options)
{
	memset(limit, 0, sizeof(*limit));
	limit->options.lines_per_s = (uint32_t)wl_preset(options->lines_per_s, LINES_PER_S_DEFAULT);
	limit->options.events_max = (uint32_t)wl_preset(options->events_max, EVENTS_MAX_DEFAULT);
	wl_map_init(&limit->by_event);
	TAILQ_INIT(&limit->events);
}

/*
 * wl_log_limit_free - release a limit
 */
void wl_log_limit_free(wl_log_limit_t *limit)
{
	wl_log_limit_event_t *event;

	while ((event = TAILQ_FIRST(&limit->events))) {
		TAILQ_REMOVE(&limit->events, event, link);
		wl_buf_free(&event->name);
		free(event);
	}
	wl_map_free(&limit->by_event);
}

static wl_log_limit_event_t *event_get(wl_log_limit_t *limit, wl_str_t name)
{
	wl_log_limit_event_t *event = wl_map_get(&limit->by_event, name);

	if (event)
		return event;
	if (wl_map_count(&limit->by_event) >= limit->options.events_max &&
	    !wl_str_equal(name, WL_STR(OTHER_EVENTS)))
		return event_get(limit, WL_STR(OTHER_EVENTS));
	event = wl_alloc(sizeof(*event));
	wl_buf_set(&event->name, name);
	event->key = wl_buf_str(&event->name);
	wl_map_put(&limit->by_event, event);
	TAILQ_INSERT_TAIL(&limit->events, event, link);
	return event;
}

static void omission_take(wl_log_limit_event_t *event, wl_log_omission_t *omission)
{
	size_t len = event->name.len < sizeof(omission->event) - 1 ? event->name.len
								   : sizeof(omission->event) - 1;

	memcpy(omission->event, event->name.at, len);
	omission->event[len] = '\0';
	omission->lines = event->omitted;
	event->omitted = 0;
}

/*
 * wl_log_limit_admit - count a line, and decide whether to write it
 * @event: its event
 * @now_ns: monotonic time, nanoseconds
 *
 * Return: false if the event has as many lines in this second as the limit allows.
 */
bool wl_log_limit_admit(wl_log_limit_t *limit, wl_str_t event, uint64_t now_ns)
{
	wl_log_limit_event_t *counted = event_get(limit, event);
	uint64_t second = now_ns / WL_NS_PER_S;

	if (counted->second != second) {
		counted->second = second;
		counted->lines = 0;
	}
	if (counted->lines < limit->options.lines_per_s) {
		counted->lines++;
		return true;
	}
	counted->omitted++;
	return false;
}

/*
 * wl_log_limit_report - take the count of omitted lines of one event
 * @now_ns: monotonic time; lines of the current second are reported once it is over
 * @omission: filled
 *
 * Return: false if there is nothing to report.
 */
bool wl_log_limit_report(wl_log_limit_t *limit, uint64_t now_ns, wl_log_omission_t *omission)
{
	wl_log_limit_event_t *event;

	TAILQ_FOREACH (event, &limit->events, link) {
		if (event->omitted == 0 || event->second == now_ns / WL_NS_PER_S)
			continue;
		omission_take(event, omission);
		return true;
	}
	return false;
}
