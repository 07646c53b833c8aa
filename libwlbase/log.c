/* Logger: key=value lines through a bounded ring to a thread that writes them. */

#include "log.h"

#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>

#include "ring.h"

#define LOG_SLOTS   4096
#define LOG_POLL_MS 200

static const char *const level_names[] = {"debug", "info", "warn", "error"};

typedef struct logger {
	wl_ring_t *ring;
	pthread_t thread;
	int fd;
	unsigned int least;
	unsigned int running;
	uint64_t dropped;
	wl_buf_t source;
} logger_t;

static logger_t logger;

static void log_write(const wl_buf_t *line)
{
	size_t done = 0;

	while (done < line->len) {
		ssize_t n = write(logger.fd, line->at + done, line->len - done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		done += (size_t)n;
	}
}

static void log_drain(wl_buf_t *line)
{
	while (line) {
		log_write(line);
		wl_buf_free(line);
		free(line);
		line = wl_ring_pop(logger.ring);
	}
}

static void *log_main(void *arg)
{
	(void)arg;
	while (ck_pr_load_uint(&logger.running))
		log_drain(wl_ring_wait(logger.ring, LOG_POLL_MS));
	log_drain(wl_ring_pop(logger.ring));
	return NULL;
}

/*
 * wl_log_start - start the logger's thread
 * @fd: descriptor to write to; stays the caller's
 * @least: least level that is written
 * @source: daemon name, in each line
 * @err: WL_E_IO
 */
bool wl_log_start(int fd, wl_level_t least, wl_str_t source, wl_err_t *err)
{
	logger.ring = wl_ring_new(LOG_SLOTS, err);
	if (!logger.ring)
		return false;
	logger.fd = fd;
	logger.least = least;
	logger.running = 1;
	wl_buf_set(&logger.source, source);
	if (pthread_create(&logger.thread, NULL, log_main, NULL) == 0)
		return true;

	wl_ring_free(logger.ring);
	logger.ring = NULL;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "logger: no thread");
}

/*
 * wl_log_stop - write what is left and end the thread; no other thread may log any more
 */
void wl_log_stop(void)
{
	if (!logger.ring)
		return;
	ck_pr_store_uint(&logger.running, 0);
	pthread_join(logger.thread, NULL);
	wl_ring_free(logger.ring);
	logger.ring = NULL;
	wl_buf_free(&logger.source);
}

/*
 * wl_log_line - log pairs that are already formatted, "event=..." first
 */
void wl_log_line(wl_level_t level, wl_str_t pairs)
{
	struct timespec at;
	struct tm day;
	wl_buf_t *line;
	char stamp[32];

	if (!logger.ring || level < logger.least)
		return;
	clock_gettime(CLOCK_REALTIME, &at);
	gmtime_r(&at.tv_sec, &day);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &day);

	line = wl_alloc(sizeof(*line));
	wl_buf_printf(line, "time=%s.%03ldZ level=%s source=" WL_STR_FMT " " WL_STR_FMT "\n", stamp,
		      at.tv_nsec / 1000000, level_names[level],
		      WL_STR_ARG(wl_buf_str(&logger.source)), WL_STR_ARG(pairs));
	if (wl_ring_push(logger.ring, line))
		return;
	ck_pr_inc_64(&logger.dropped);
	wl_buf_free(line);
	free(line);
}

/*
 * wl_log_event - log one event
 * @event: its name
 * @pairs: format of its key=value pairs, or ""
 */
void wl_log_event(wl_level_t level, const char *event, const char *pairs, ...)
{
	wl_buf_t line = {0};
	char text[1024];
	va_list args;

	if (!logger.ring || level < logger.least)
		return;
	va_start(args, pairs);
	vsnprintf(text, sizeof(text), pairs, args);
	va_end(args);
	wl_buf_printf(&line, "event=%s%s%s", event, text[0] ? " " : "", text);
	wl_log_line(level, wl_buf_str(&line));
	wl_buf_free(&line);
}

/*
 * wl_log_dropped - lines lost to a full ring so far
 */
uint64_t wl_log_dropped(void)
{
	return ck_pr_load_64(&logger.dropped);
}

/*
 * wl_level_parse - read a level's name
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
 * wl_log_quote - add a value, quoted where it would break the line
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
