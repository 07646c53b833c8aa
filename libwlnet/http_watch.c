/* A thread that detects clients closing their connections. */

#include "http_watch.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define WATCH_EVENTS 64
#define STOP_ID	     UINT64_MAX

struct wl_http_watch {
	wl_http_disconnect_t on_disconnect;
	void *context;
	int epoll_fd;
	int stop_fd;
	pthread_t thread;
};

static void *watch_main(void *arg)
{
	wl_http_watch_t *watch = arg;
	struct epoll_event events[WATCH_EVENTS];

	pthread_setname_np(pthread_self(), "wl-http-watch");
	while (!wl_http_watch_stopping(watch, 0)) {
		int count = epoll_wait(watch->epoll_fd, events, WATCH_EVENTS, -1);

		for (int i = 0; i < count; i++)
			if (events[i].data.u64 != STOP_ID)
				watch->on_disconnect(watch->context, events[i].data.u64);
	}
	return NULL;
}

static bool watch_open(wl_http_watch_t *watch)
{
	struct epoll_event stop = {.events = EPOLLIN, .data.u64 = STOP_ID};

	watch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	watch->stop_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	return watch->epoll_fd >= 0 && watch->stop_fd >= 0 &&
	       epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, watch->stop_fd, &stop) == 0 &&
	       pthread_create(&watch->thread, NULL, watch_main, watch) == 0;
}

static void watch_free(wl_http_watch_t *watch)
{
	if (watch->epoll_fd >= 0)
		close(watch->epoll_fd);
	if (watch->stop_fd >= 0)
		close(watch->stop_fd);
	free(watch);
}

/*
 * wl_http_watch_start - start the thread
 * @on_disconnect: called with the id of each socket that its client closed
 * @err: WL_E_IO
 */
wl_http_watch_t *wl_http_watch_start(wl_http_disconnect_t on_disconnect, void *context,
				     wl_err_t *err)
{
	wl_http_watch_t *watch = wl_alloc(sizeof(*watch));

	watch->on_disconnect = on_disconnect;
	watch->context = context;
	watch->stop_fd = -1;
	if (watch_open(watch))
		return watch;
	wl_err_set(err, WL_E_IO, WL_NOT_RUN, "HTTP listener: thread that detects disconnects: %s",
		   strerror(errno));
	watch_free(watch);
	return NULL;
}

/*
 * wl_http_watch_add - watch a socket until its client closes it, reported once
 * @fd: removed from the watch when it is closed; an earlier id of it is replaced
 * @id: passed to the callback
 */
void wl_http_watch_add(wl_http_watch_t *watch, int fd, uint64_t id)
{
	struct epoll_event interest = {.events = EPOLLRDHUP | EPOLLONESHOT, .data.u64 = id};

	if (epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, fd, &interest) == 0)
		return;
	if (errno == EEXIST)
		epoll_ctl(watch->epoll_fd, EPOLL_CTL_MOD, fd, &interest);
}

/*
 * wl_http_watch_stopping - wait for wl_http_watch_stop()
 * @timeout_ms: longest wait, milliseconds
 *
 * Return: whether the watch is being stopped.
 */
bool wl_http_watch_stopping(const wl_http_watch_t *watch, int timeout_ms)
{
	struct pollfd wait = {.fd = watch->stop_fd, .events = POLLIN};

	return poll(&wait, 1, timeout_ms) > 0;
}

/*
 * wl_http_watch_stop - stop the thread; NULL is ignored
 */
void wl_http_watch_stop(wl_http_watch_t *watch)
{
	uint64_t one = 1;

	if (!watch)
		return;
	while (write(watch->stop_fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
	pthread_join(watch->thread, NULL);
	watch_free(watch);
}
