/*
 * Logger: a thread writes the key=value lines that other threads put into a bounded ring.
 *
 * The lines of each event are limited (log_limit.c); the logger's thread reports how many were
 * omitted.
 */

#include "log.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>

#include "clock.h"
#include "log_limit.h"
#include "ring.h"

#define LOG_SLOTS     4096
#define LOG_POLL_MS   200	  /* longest wait for a line; wl_log_stop() may take as long */
#define WRITE_BYTES   (32U << 10) /* lines are collected up to this size, then written at once */
#define WRITE_WAIT_MS 1000	  /* longest wait for a descriptor that does not block */
#define EVENT_KEY     "event="

static const char *const level_names[] = {"debug", "info", "warn", "error"};

typedef struct logger {
	wl_ring_t *ring;
	pthread_t thread;
	int fd;
	bool stuck; /* the last wait for it was in vain: the next lines do not wait */
	unsigned int min_level;
	unsigned int running;
	uint64_t dropped;     /* the ring was full, or the lines could not be written */
	uint64_t omitted;     /* above the limit of their event */
	pthread_mutex_t lock; /* protects limit */
	wl_log_limit_t limit;
	wl_buf_t source;
} logger_t;

static logger_t logger = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Whether a write that failed can be tried again; waits until then. */
static bool write_again(int error)
{
	struct pollfd writable = {.fd = logger.fd, .events = POLLOUT};

	if (error == EINTR)
		return true;
	if (error != EAGAIN)
		return false;
	logger.stuck = poll(&writable, 1, logger.stuck ? 0 : WRITE_WAIT_MS) <= 0;
	return !logger.stuck;
}

static void lines_drop(const char *at, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (at[i] == '\n')
			ck_pr_inc_64(&logger.dropped);
}

static void log_write(const wl_buf_t *line)
{
	size_t done = 0;

	while (done < line->len) {
		ssize_t n = write(logger.fd, line->at + done, line->len - done);

		if (n > 0) {
			logger.stuck = false;
			done += (size_t)n;
		} else if (n == 0 || !write_again(errno)) {
			lines_drop(line->at + done, line->len - done);
			return;
		}
	}
}

/* Writes a line and those that wait in the ring, as few writes as possible. */
static void log_drain(wl_buf_t *line)
{
	wl_buf_t lines = {0};

	while (line) {
		wl_buf_append(&lines, wl_buf_str(line));
		wl_buf_free(line);
		free(line);
		if (lines.len >= WRITE_BYTES) {
			log_write(&lines);
			wl_buf_clear(&lines);
		}
		line = wl_ring_pop(logger.ring);
	}
	log_write(&lines);
	wl_buf_free(&lines);
}

/* Appends a line with its time, level and source. */
static void line_format(wl_level_t level, wl_str_t pairs, wl_buf_t *line)
{
	struct timespec at;
	struct tm day;
	char stamp[32];

	clock_gettime(CLOCK_REALTIME, &at);
	gmtime_r(&at.tv_sec, &day);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &day);
	wl_buf_printf(line, "time=%s.%03ldZ level=%s source=" WL_STR_FMT " " WL_STR_FMT "\n", stamp,
		      at.tv_nsec / 1000000, level_names[level],
		      WL_STR_ARG(wl_buf_str(&logger.source)), WL_STR_ARG(pairs));
}

static bool omission_next(uint64_t now_ns, wl_log_omission_t *omission)
{
	bool found;

	pthread_mutex_lock(&logger.lock);
	found = wl_log_limit_report(&logger.limit, now_ns, omission);
	pthread_mutex_unlock(&logger.lock);
	return found;
}

/* Writes how many lines of each event were omitted until @now_ns. */
static void omissions_write(uint64_t now_ns)
{
	wl_log_omission_t omission;

	while (omission_next(now_ns, &omission)) {
		wl_buf_t pairs = {0};
		wl_buf_t line = {0};

		wl_buf_printf(&pairs, "event=log-limited omitted=%llu of=%s",
			      (unsigned long long)omission.lines, omission.event);
		line_format(WL_WARN, wl_buf_str(&pairs), &line);
		log_write(&line);
		wl_buf_free(&pairs);
		wl_buf_free(&line);
	}
}

static void *log_main(void *arg)
{
	(void)arg;
	while (ck_pr_load_uint(&logger.running)) {
		log_drain(wl_ring_wait(logger.ring, LOG_POLL_MS));
		omissions_write(wl_clock_ns());
	}
	log_drain(wl_ring_pop(logger.ring));
	omissions_write(UINT64_MAX);
	return NULL;
}

/*
 * wl_log_start - start the logger's thread
 * @fd: descriptor to write to; the caller closes it
 * @min_level: lowest level that is written
 * @source: name of the daemon, written in each line
 * @err: WL_E_IO
 */
bool wl_log_start(int fd, wl_level_t min_level, wl_str_t source, wl_err_t *err)
{
	const wl_log_limit_options_t limit = {0};

	logger.ring = wl_ring_new(LOG_SLOTS, err);
	if (!logger.ring)
		return false;
	logger.fd = fd;
	logger.min_level = min_level;
	logger.running = 1;
	wl_log_limit_init(&logger.limit, &limit);
	wl_buf_set(&logger.source, source);
	if (pthread_create(&logger.thread, NULL, log_main, NULL) == 0)
		return true;

	wl_ring_free(logger.ring);
	wl_log_limit_free(&logger.limit);
	logger.ring = NULL;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "logger: cannot create the thread");
}

/*
 * wl_log_stop - write the remaining lines and stop the thread
 *
 * No other thread may log during this call or after it.
 */
void wl_log_stop(void)
{
	if (!logger.ring)
		return;
	ck_pr_store_uint(&logger.running, 0);
	pthread_join(logger.thread, NULL);
	wl_ring_free(logger.ring);
	wl_log_limit_free(&logger.limit);
	logger.ring = NULL;
	wl_buf_free(&logger.source);
}

/* The event named first in @pairs; all lines without one count as the same event. */
static wl_str_t event_of(wl_str_t pairs)
{
	size_t start = sizeof(EVENT_KEY) - 1;
	size_t end = start;

	if (!wl_str_starts(pairs, WL_STR(EVENT_KEY)))
		return (wl_str_t){0};
	while (end < pairs.len && pairs.at[end] != ' ')
		end++;
	return (wl_str_t){pairs.at + start, end - start};
}

static bool line_admit(wl_level_t level, wl_str_t pairs)
{
	bool admitted;

	if (level >= WL_ERROR)
		return true;
	pthread_mutex_lock(&logger.lock);
	admitted = wl_log_limit_admit(&logger.limit, event_of(pairs), wl_clock_ns());
	pthread_mutex_unlock(&logger.lock);
	if (!admitted)
		ck_pr_inc_64(&logger.omitted);
	return admitted;
}

/*
 * wl_log_line - log formatted key=value pairs, of which "event=..." is the first
 *
 * Below the level error, lines above the limit of their event are omitted.
 */
void wl_log_line(wl_level_t level, wl_str_t pairs)
{
	wl_buf_t *line;

	if (!logger.ring || level < logger.min_level || !line_admit(level, pairs))
		return;
	line = wl_alloc(sizeof(*line));
	line_format(level, pairs, line);
	if (wl_ring_push(logger.ring, line))
		return;
	ck_pr_inc_64(&logger.dropped);
	wl_buf_free(line);
	free(line);
}

/*
 * wl_log_event - log one event
 * @event: name of the event
 * @pairs: printf format of the key=value pairs, or ""
 */
void wl_log_event(wl_level_t level, const char *event, const char *pairs, ...)
{
	wl_buf_t line = {0};
	char text[1024];
	va_list args;

	if (!logger.ring || level < logger.min_level)
		return;
	va_start(args, pairs);
	vsnprintf(text, sizeof(text), pairs, args);
	va_end(args);
	wl_buf_printf(&line, "event=%s%s%s", event, text[0] ? " " : "", text);
	wl_log_line(level, wl_buf_str(&line));
	wl_buf_free(&line);
}

/*
 * wl_log_dropped - get the number of lines dropped because the ring was full, or that could not be
 * written
 */
uint64_t wl_log_dropped(void)
{
	return ck_pr_load_64(&logger.dropped);
}

/*
 * wl_log_omitted - get the number of lines omitted because of the limit of their event
 */
uint64_t wl_log_omitted(void)
{
	return ck_pr_load_64(&logger.omitted);
}

/*
 * wl_level_parse - parse the name of a level
 */
bool wl_level_parse(wl_str_t name, wl_level_t *level)
{
	for (size_t i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (!wl_str_equal(name, wl_str_from(level_names[i])))
			continue;
		*level = (wl_level_t)i;
		return true;
	}
	return false;
}

static bool quote_needed(wl_str_t value)
{
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.at[i];

		if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f)
			return true;
	}
	return value.len == 0;
}

/*
 * wl_log_quote - append a value, quoted if it has characters that key=value lines reserve
 */
void wl_log_quote(wl_buf_t *out, wl_str_t value)
{
	if (!quote_needed(value)) {
		wl_buf_append(out, value);
		return;
	}
	wl_buf_append(out, WL_STR("\""));
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.at[i];

		if (c == '"' || c == '\\')
			wl_buf_printf(out, "\\%c", c);
		else if (c < ' ' || c >= 0x7f)
			wl_buf_printf(out, "\\x%02x", c);
		else
			wl_buf_printf(out, "%c", c);
	}
	wl_buf_append(out, WL_STR("\""));
}
