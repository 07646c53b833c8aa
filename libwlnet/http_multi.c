/* The multi handles of libcurl, on one epoll descriptor. */

#include "http_multi.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <libwlbase/units.h>

#define PRUNE_MS   1000	      /* interval in which a handle looks for expired addresses */
#define MAX_EVENTS 64	      /* sockets handled per epoll_wait() */
#define WAKE_DATA  UINT64_MAX /* in the epoll data of the descriptor that ends a wait */
#define UNUSED_MS  120000     /* longer than a call lasts and its connection is used again */

struct wl_multi_address {
	wl_str_t key;
	wl_buf_t address;
	wl_multi_t *multi;
	uint64_t used_ns;
	TAILQ_ENTRY(wl_multi_address) link;
};

static uint64_t monotonic_now_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

/* libcurl callback: starts, changes or stops polling a socket. */
static int socket_watch(CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
	wl_multi_t *multi = arg;
	struct epoll_event interest = {.data.u64 = (uint64_t)multi->index << 32 | (uint32_t)fd};

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(multi->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	interest.events =
		(what & CURL_POLL_IN ? EPOLLIN : 0) | (what & CURL_POLL_OUT ? EPOLLOUT : 0);
	if (epoll_ctl(multi->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &interest) < 0 &&
	    errno == EEXIST)
		epoll_ctl(multi->epoll_fd, EPOLL_CTL_MOD, fd, &interest);
	curl_multi_assign(multi->curl, fd, multi);
	return 0;
}

/* libcurl callback: sets the timer; a negative time-out removes it. */
static int timer_set(CURLM *curl, long timeout_ms, void *arg)
{
	wl_multi_t *multi = arg;

	(void)curl;
	multi->timer_ns =
		timeout_ms < 0 ? 0 : monotonic_now_ns() + (uint64_t)timeout_ms * WL_NS_PER_MS;
	return 0;
}

static bool multi_open(wl_multi_t *multi, const wl_multis_options_t *options)
{
	multi->curl = curl_multi_init();
	if (!multi->curl)
		return false;
	curl_multi_setopt(multi->curl, CURLMOPT_SOCKETFUNCTION, socket_watch);
	curl_multi_setopt(multi->curl, CURLMOPT_SOCKETDATA, multi);
	curl_multi_setopt(multi->curl, CURLMOPT_TIMERFUNCTION, timer_set);
	curl_multi_setopt(multi->curl, CURLMOPT_TIMERDATA, multi);
	curl_multi_setopt(multi->curl, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(multi->curl, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)options->max_connections_per_host);
	curl_multi_setopt(multi->curl, CURLMOPT_MAXCONNECTS,
			  (long)(options->max_connections_kept / WL_MULTIS));
	return true;
}

/*
 * wl_multis_init - initialize a set without handles
 */
void wl_multis_init(wl_multis_t *multis)
{
	memset(multis, 0, sizeof(*multis));
	multis->epoll_fd = -1;
	wl_map_init(&multis->by_address);
	TAILQ_INIT(&multis->addresses);
}

/*
 * wl_multis_open - create the handles, which keep pointers into @multis
 * @err: WL_E_IO; the caller calls wl_multis_free() after a failure too
 */
bool wl_multis_open(wl_multis_t *multis, const wl_multis_options_t *options, wl_err_t *err)
{
	struct epoll_event wake = {.events = EPOLLIN, .data.u64 = WAKE_DATA};

	multis->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (multis->epoll_fd < 0 ||
	    epoll_ctl(multis->epoll_fd, EPOLL_CTL_ADD, options->wake_fd, &wake) < 0)
		return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "HTTP client: epoll: %s",
				  strerror(errno));
	for (uint32_t i = 0; i < WL_MULTIS; i++) {
		multis->all[i].index = i;
		multis->all[i].epoll_fd = multis->epoll_fd;
		if (!multi_open(&multis->all[i], options))
			return wl_err_set(err, WL_E_IO, WL_NOT_RUN,
					  "HTTP client: libcurl multi handle could not be created");
	}
	return true;
}

static void address_remove(wl_multis_t *multis, wl_multi_address_t *address)
{
	address->multi->addresses--;
	wl_map_remove(&multis->by_address, address->key);
	TAILQ_REMOVE(&multis->addresses, address, link);
	wl_buf_free(&address->address);
	free(address);
}

static void addresses_expire(wl_multis_t *multis, uint64_t now_ns)
{
	wl_multi_address_t *address;

	while ((address = TAILQ_FIRST(&multis->addresses)) != NULL &&
	       now_ns - address->used_ns > UNUSED_MS * WL_NS_PER_MS)
		address_remove(multis, address);
}

static wl_multi_t *multi_of_fewest_addresses(wl_multis_t *multis)
{
	wl_multi_t *found = &multis->all[0];

	for (size_t i = 1; i < WL_MULTIS; i++)
		if (multis->all[i].addresses < found->addresses)
			found = &multis->all[i];
	return found;
}

static wl_multi_address_t *address_add(wl_multis_t *multis, wl_str_t text)
{
	wl_multi_address_t *address = wl_alloc(sizeof(*address));

	memset(address, 0, sizeof(*address));
	wl_buf_set(&address->address, text);
	address->key = wl_buf_str(&address->address);
	address->multi = multi_of_fewest_addresses(multis);
	address->multi->addresses++;
	wl_map_put(&multis->by_address, address);
	TAILQ_INSERT_TAIL(&multis->addresses, address, link);
	return address;
}

/*
 * wl_multis_free - release the handles, which close their connections
 */
void wl_multis_free(wl_multis_t *multis)
{
	wl_multi_address_t *address;

	while ((address = TAILQ_FIRST(&multis->addresses)) != NULL)
		address_remove(multis, address);
	wl_map_free(&multis->by_address);
	for (size_t i = 0; i < WL_MULTIS; i++)
		if (multis->all[i].curl)
			curl_multi_cleanup(multis->all[i].curl);
	if (multis->epoll_fd >= 0)
		close(multis->epoll_fd);
}

/*
 * wl_multis_find - find the handle for a call to an address
 * @now_ns: present time on CLOCK_MONOTONIC
 *
 * It is the same one as long as a connection of the last call may be used again.
 */
wl_multi_t *wl_multis_find(wl_multis_t *multis, wl_str_t address, uint64_t now_ns)
{
	wl_multi_address_t *found;

	addresses_expire(multis, now_ns);
	found = wl_map_get(&multis->by_address, address);
	if (!found)
		found = address_add(multis, address);
	found->used_ns = now_ns;
	TAILQ_REMOVE(&multis->addresses, found, link);
	TAILQ_INSERT_TAIL(&multis->addresses, found, link);
	return found->multi;
}

/*
 * wl_multi_prune_due - whether the next call is to look for expired addresses
 *
 * libcurl walks over all cached addresses at the end of each call that looks for expired ones.
 */
bool wl_multi_prune_due(wl_multi_t *multi, uint64_t now_ns)
{
	if (now_ns - multi->pruned_ns < PRUNE_MS * WL_NS_PER_MS)
		return false;
	multi->pruned_ns = now_ns;
	return true;
}

/*
 * wl_multis_timer_ns - get the time of the next timer on CLOCK_MONOTONIC; 0: none
 */
uint64_t wl_multis_timer_ns(const wl_multis_t *multis)
{
	uint64_t first_ns = 0;

	for (size_t i = 0; i < WL_MULTIS; i++) {
		uint64_t timer_ns = multis->all[i].timer_ns;

		if (timer_ns && (!first_ns || timer_ns < first_ns))
			first_ns = timer_ns;
	}
	return first_ns;
}

/*
 * wl_multis_run_timers - run the timers that are due
 * @now_ns: present time on CLOCK_MONOTONIC
 */
void wl_multis_run_timers(wl_multis_t *multis, uint64_t now_ns)
{
	int running;

	for (size_t i = 0; i < WL_MULTIS; i++) {
		wl_multi_t *multi = &multis->all[i];

		if (multi->timer_ns == 0 || now_ns < multi->timer_ns)
			continue;
		multi->timer_ns = 0;
		curl_multi_socket_action(multi->curl, CURL_SOCKET_TIMEOUT, 0, &running);
	}
}

/*
 * wl_multis_poll - wait for sockets and handle them
 *
 * Return: whether all ready sockets were handled.
 */
bool wl_multis_poll(wl_multis_t *multis, int wait_ms)
{
	struct epoll_event events[MAX_EVENTS];
	int count = epoll_wait(multis->epoll_fd, events, MAX_EVENTS, wait_ms);
	int running;

	for (int i = 0; i < count; i++) {
		uint64_t data = events[i].data.u64;
		int ready = (events[i].events & EPOLLIN ? CURL_CSELECT_IN : 0) |
			    (events[i].events & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
			    (events[i].events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);

		if (data != WAKE_DATA)
			curl_multi_socket_action(multis->all[data >> 32].curl, (int)(uint32_t)data,
						 ready, &running);
	}
	return count >= 0 && count < MAX_EVENTS;
}

/*
 * wl_multis_next_ended - find a call that has ended and is still on its handle
 * @code: overwritten with its result
 *
 * Return: its easy handle, or NULL if there is none.
 */
CURL *wl_multis_next_ended(wl_multis_t *multis, CURLcode *code)
{
	CURLMsg *message;
	int left;

	for (size_t i = 0; i < WL_MULTIS; i++)
		while ((message = curl_multi_info_read(multis->all[i].curl, &left)) != NULL) {
			if (message->msg != CURLMSG_DONE)
				continue;
			*code = message->data.result;
			return message->easy_handle;
		}
	return NULL;
}
