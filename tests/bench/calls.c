/*
 * Processor time of HTTP calls to targets: kept connections to many addresses, a long-polled
 * hold open at each, short starts at the rate given.  The targets are a server in a child
 * process.  Prints CSV: addresses, starts a second, calls that ended, failed calls,
 * connections opened, microseconds a call (client's thread; whole process), wake-ups a call
 * (voluntary switches).
 */

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <libwlbase/units.h>
#include <libwlnet/http_client.h>

#define ADDRESSES_MOST 2000
#define FILES_MOST     16384
#define EVENTS_MOST    256
#define REQUEST_BYTES  8192
#define STEP_MS	       10 /* between two bursts of starts, as a tick of the daemon */
#define WARM_MS	       3000
#define TIMEOUT_MS     5000
#define HOLD_BIT       (1ull << 62)

static uint64_t clock_of(clockid_t clock)
{
	struct timespec at;

	clock_gettime(clock, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

/* A connection of the server; a hold waits for its time in the order of arrival. */
typedef struct held {
	int fd;
	uint64_t until_ns;
} held_t;

static struct {
	char text[REQUEST_BYTES];
	size_t len;
} files[FILES_MOST];
static held_t held[FILES_MOST];
static size_t held_first;
static size_t held_count;
static uint64_t hold_ms = 1000;

static void server_answer(int fd)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
				   "Content-Length: 19\r\n\r\n{\"clock_ms\":482113}";

	(void)!send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
}

static void server_request(int fd, const char *head)
{
	if (strncmp(head, "POST /-/hold", 12) != 0) {
		server_answer(fd);
		return;
	}
	held[(held_first + held_count++) % FILES_MOST] =
		(held_t){fd, clock_of(CLOCK_MONOTONIC) + hold_ms * WL_NS_PER_MS};
}

static void server_read(int fd)
{
	char *text = files[fd].text;
	ssize_t n = recv(fd, text + files[fd].len, REQUEST_BYTES - 1 - files[fd].len, 0);
	char *body;
	char *length;

	if (n <= 0) {
		files[fd].len = 0;
		close(fd);
		return;
	}
	files[fd].len += (size_t)n;
	text[files[fd].len] = 0;
	body = strstr(text, "\r\n\r\n");
	length = strcasestr(text, "Content-Length:");
	if (!body || !length || strlen(body + 4) < strtoul(length + 15, NULL, 10))
		return;
	files[fd].len = 0;
	server_request(fd, text);
}

static void server_main(int listener, int told)
{
	struct epoll_event events[EVENTS_MOST];
	int epoll_fd = epoll_create1(0);
	struct epoll_event want = {.events = EPOLLIN, .data.fd = listener};

	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, listener, &want);
	for (;;) {
		int count = epoll_wait(epoll_fd, events, EVENTS_MOST, 2);

		for (int i = 0; i < count; i++) {
			if (events[i].data.fd != listener) {
				server_read(events[i].data.fd);
				continue;
			}
			want.data.fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
			if (want.data.fd < 0 || want.data.fd >= FILES_MOST)
				continue;
			epoll_ctl(epoll_fd, EPOLL_CTL_ADD, want.data.fd, &want);
			(void)!write(told, "", 1);
		}
		for (; held_count > 0 && held[held_first].until_ns <= clock_of(CLOCK_MONOTONIC);
		     held_count--, held_first = (held_first + 1) % FILES_MOST)
			server_answer(held[held_first].fd);
	}
}

static pid_t server_start(uint16_t *port, int told)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	socklen_t len = sizeof(at);
	pid_t child;

	if (bind(listener, (struct sockaddr *)&at, len) < 0 || listen(listener, 4096) < 0)
		return -1;
	getsockname(listener, (struct sockaddr *)&at, &len);
	*port = ntohs(at.sin_port);
	child = fork();
	if (child == 0)
		server_main(listener, told);
	close(listener);
	return child;
}

static wl_http_client_t *client;
static wl_ring_t *ring;
static uint16_t server_port;
static uint64_t ended;
static uint64_t failed;

static void call(uint64_t id, size_t address)
{
	bool hold = (id & HOLD_BIT) != 0;
	wl_fetch_t fetch = {.id = id, .timeout_ms = TIMEOUT_MS};

	wl_buf_printf(&fetch.address, "127.%zu.%zu.1:%u", 1 + address / 250, 1 + address % 250,
		      server_port);
	wl_buf_set(&fetch.method, WL_STR("POST"));
	wl_buf_set(&fetch.path, hold ? WL_STR("/-/hold") : WL_STR("/-/run-start"));
	wl_headers_add(&fetch.headers, WL_STR("Content-Type"), WL_STR("application/json"));
	wl_headers_add(&fetch.headers, WL_STR("Expected-Instance"), WL_STR("i-9291ffbdb5:1"));
	wl_buf_set(&fetch.body,
		   hold ? WL_STR("{\"deadline_ms\":486000,\"fencing_token\":7,\"last_seen\":57,"
				 "\"wait_ms\":1000}")
			: WL_STR("{\"task\":\"5c0e7a21d94b36f8.0.1.17\",\"run_id\":2,\"spec\":"
				 "\"0123456789012345678901234567890123456789\",\"deadline_ms\":"
				 "486000,\"fencing_token\":7}"));
	if (!wl_http_client_fetch(client, &fetch))
		failed++;
}

static void take(uint64_t until_ns)
{
	uint64_t now_ns;

	while ((now_ns = clock_of(CLOCK_MONOTONIC)) < until_ns) {
		int wait_ms = (int)((until_ns - now_ns + WL_NS_PER_MS - 1) / WL_NS_PER_MS);
		wl_event_t *event = wl_ring_wait(ring, wait_ms);
		uint64_t id;

		for (; event; event = wl_ring_pop(ring)) {
			id = event->fetched.id;
			ended++;
			failed += !event->fetched.complete;
			wl_event_free(event);
			free(event);
			if (id & HOLD_BIT)
				call(id, (size_t)(id & ~HOLD_BIT));
		}
	}
}

static uint64_t switches(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (uint64_t)usage.ru_nvcsw;
}

static uint64_t play(size_t addresses, uint64_t per_s, uint64_t for_ms, uint64_t id)
{
	uint64_t start_ns = clock_of(CLOCK_MONOTONIC);
	uint64_t made = 0;

	for (uint64_t ms = 0; ms < for_ms; ms += STEP_MS) {
		for (; made * 1000 < per_s * ms; made++)
			call(id + made, (size_t)random() % addresses);
		take(start_ns + (ms + STEP_MS) * WL_NS_PER_MS);
	}
	return id + made;
}

/* Connections that the server has taken since the last look. */
static uint64_t opened_take(int told)
{
	char bytes[4096];
	uint64_t opened = 0;
	ssize_t n;

	while ((n = read(told, bytes, sizeof(bytes))) > 0)
		opened += (uint64_t)n;
	return opened;
}

int main(int argc, char **argv)
{
	size_t addresses = argc > 1 ? strtoul(argv[1], NULL, 10) : 350;
	uint64_t per_s = argc > 2 ? strtoul(argv[2], NULL, 10) : 650;
	uint64_t seconds = argc > 3 ? strtoul(argv[3], NULL, 10) : 10;
	wl_http_client_options_t options = {.queue_slots = 8192,
					    .max_body_bytes = 1 << 20,
					    .connect_ms = 1000,
					    .max_connections_per_host = 8};
	uint64_t all_ns;
	uint64_t own_ns;
	uint64_t woken;
	uint64_t id;
	pid_t server;
	int told[2];
	wl_err_t err;

	hold_ms = argc > 4 ? strtoul(argv[4], NULL, 10) : hold_ms;
	if (pipe2(told, O_NONBLOCK | O_CLOEXEC) < 0)
		return 1;
	server = server_start(&server_port, told[1]);
	options.events = ring = wl_ring_new(8192, &err);
	client = wl_http_client_start(&options, &err);
	if (addresses == 0 || addresses > ADDRESSES_MOST || server <= 0 || !client)
		return 1;
	for (size_t i = 0; i < addresses; i++)
		call(HOLD_BIT | i, i);
	id = play(addresses, per_s, WARM_MS, 1);
	opened_take(told[0]);
	ended = failed = 0;
	all_ns = clock_of(CLOCK_PROCESS_CPUTIME_ID);
	own_ns = clock_of(CLOCK_THREAD_CPUTIME_ID);
	woken = switches();
	play(addresses, per_s, seconds * WL_MS_PER_S, id);
	own_ns = clock_of(CLOCK_THREAD_CPUTIME_ID) - own_ns;
	all_ns = clock_of(CLOCK_PROCESS_CPUTIME_ID) - all_ns;
	printf("addresses,starts_per_s,ended,failed,opened,us_client,us_all,wakes\n"
	       "%zu,%llu,%llu,%llu,%llu,%.1f,%.1f,%.2f\n",
	       addresses, (unsigned long long)per_s, (unsigned long long)ended,
	       (unsigned long long)failed, (unsigned long long)opened_take(told[0]),
	       (double)(all_ns - own_ns) / 1000 / (double)ended,
	       (double)all_ns / 1000 / (double)ended, (double)(switches() - woken) / (double)ended);
	kill(server, SIGKILL);
	waitpid(server, NULL, 0);
	return 0;
}
