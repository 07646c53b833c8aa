/*
 * Measures the processor time of messages between daemons: one sender sends to several receivers
 * in a child process, in bursts like those of the daemon's tick.
 *
 * Usage: wl-bench-links [PEERS [MESSAGES_PER_S [BYTES [SECONDS]]]]
 * Prints CSV: peers, messages per second, bytes, messages that arrived, microseconds per message
 * at the sender (peer thread; whole process) and at the receivers (whole process).
 */

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <libwlbase/units.h>
#include <libwlnet/peer.h>

#define PEERS_MAX	   64
#define STEP_MS		   10
#define CONNECT_TIMEOUT_MS 5000
#define RING_SLOTS	   16384

static uint64_t clock_ns(clockid_t clock)
{
	struct timespec at;

	clock_gettime(clock, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static wl_peers_t *peers_start(const char *name, wl_ring_t **ring)
{
	wl_err_t err;
	wl_peer_options_t options = {.name = wl_str_from(name),
				     .listen = WL_STR("127.0.0.1:0"),
				     .secret = WL_STR("open sesame"),
				     .queue_slots = 65536,
				     .max_frame_bytes = 16 << 20,
				     .max_queue_bytes = 256 << 20,
				     .handshake_ms = 5000,
				     .idle_ms = 3000,
				     .seed = 1};

	if (!*ring)
		*ring = wl_ring_new(RING_SLOTS, &err);
	options.events = *ring;
	return *ring ? wl_peers_start(&options, &err) : NULL;
}

/* What the child process reports at the end. */
typedef struct result {
	uint64_t arrived;
	uint64_t cpu_ns;
} result_t;

static bool event_receive(wl_ring_t *ring, uint64_t *arrived)
{
	wl_event_t *event = wl_ring_wait(ring, 100);

	if (!event)
		return false;
	*arrived += event->kind == WL_EVENT_PEER;
	wl_event_free(event);
	free(event);
	return true;
}

static void receivers_run(size_t count, int ports_fd, int result_fd, int go_fd)
{
	wl_ring_t *ring = NULL;
	result_t result = {0};
	char name[32];
	char byte;

	for (size_t i = 0; i < count; i++) {
		uint16_t port;

		snprintf(name, sizeof(name), "r%zu", i);
		port = wl_peers_port(peers_start(name, &ring));
		if (write(ports_fd, &port, sizeof(port)) != sizeof(port))
			_exit(1);
	}
	for (;;) {
		if (event_receive(ring, &result.arrived))
			continue;
		if (read(go_fd, &byte, 1) != 1)
			continue;
		if (byte == 'e')
			break;
		result.arrived = 0;
		result.cpu_ns = clock_ns(CLOCK_PROCESS_CPUTIME_ID);
	}
	result.cpu_ns = clock_ns(CLOCK_PROCESS_CPUTIME_ID) - result.cpu_ns;
	_exit(write(result_fd, &result, sizeof(result)) != sizeof(result));
}

static uint64_t sent;

static void burst_send(wl_peers_t *peers, size_t count, uint64_t until, wl_msg_t *msg)
{
	char name[32];

	for (; sent < until; sent++) {
		snprintf(name, sizeof(name), "r%zu", (size_t)(sent % count));
		msg->u.answer.id = sent;
		if (!wl_peers_send(peers, wl_str_from(name), msg))
			fprintf(stderr, "message refused by wl_peers_send()\n");
	}
}

static bool wait_connected(wl_ring_t *ring, size_t count)
{
	uint64_t until_ns = clock_ns(CLOCK_MONOTONIC) + CONNECT_TIMEOUT_MS * WL_NS_PER_MS;
	uint64_t ignored = 0;
	size_t connected = 0;

	while (connected < count && clock_ns(CLOCK_MONOTONIC) < until_ns)
		connected += event_receive(ring, &ignored);
	return connected == count;
}

static void dial(wl_peers_t *peers, size_t count, int ports_fd)
{
	char name[32];
	char address[32];
	uint16_t port;

	for (size_t i = 0; i < count && read(ports_fd, &port, sizeof(port)) == sizeof(port); i++) {
		snprintf(name, sizeof(name), "r%zu", i);
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		wl_peers_dial(peers, wl_str_from(name), wl_str_from(address));
	}
}

/* Returns the time of the process without this thread, in ns; @process_ns includes it. */
static uint64_t load_run(wl_peers_t *peers, size_t count, uint64_t per_s, size_t bytes,
			 uint64_t seconds, uint64_t *process_ns)
{
	uint64_t start_ns = clock_ns(CLOCK_MONOTONIC);
	uint64_t thread_ns;
	wl_msg_t msg;

	wl_msg_init(&msg, WL_MSG_ANSWER);
	for (size_t i = 0; i < bytes; i++)
		wl_buf_append(&msg.u.answer.body, WL_STR("x"));
	thread_ns = clock_ns(CLOCK_THREAD_CPUTIME_ID);
	*process_ns = clock_ns(CLOCK_PROCESS_CPUTIME_ID);
	for (uint64_t ms = 0; ms <= seconds * WL_MS_PER_S; ms += STEP_MS) {
		struct timespec until = {
			.tv_sec = (time_t)((start_ns + ms * WL_NS_PER_MS) / WL_NS_PER_S),
			.tv_nsec = (long)((start_ns + ms * WL_NS_PER_MS) % WL_NS_PER_S)};

		clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL);
		burst_send(peers, count, per_s * ms / WL_MS_PER_S, &msg);
	}
	usleep(200000);
	thread_ns = clock_ns(CLOCK_THREAD_CPUTIME_ID) - thread_ns;
	*process_ns = clock_ns(CLOCK_PROCESS_CPUTIME_ID) - *process_ns;
	wl_msg_free(&msg);
	return *process_ns - thread_ns;
}

int main(int argc, char **argv)
{
	size_t count = argc > 1 ? strtoul(argv[1], NULL, 10) : 46;
	uint64_t per_s = argc > 2 ? strtoul(argv[2], NULL, 10) : 1000;
	size_t bytes = argc > 3 ? strtoul(argv[3], NULL, 10) : 200;
	uint64_t seconds = argc > 4 ? strtoul(argv[4], NULL, 10) : 5;
	wl_ring_t *ring = NULL;
	wl_peers_t *peers;
	result_t result = {0};
	uint64_t link_ns;
	uint64_t process_ns;
	int pipes[3][2];
	pid_t child;

	if (count == 0 || count > PEERS_MAX || pipe(pipes[0]) < 0 || pipe(pipes[1]) < 0 ||
	    pipe(pipes[2]) < 0 || fcntl(pipes[2][0], F_SETFL, O_NONBLOCK) < 0)
		return 1;
	child = fork();
	if (child == 0)
		receivers_run(count, pipes[0][1], pipes[1][1], pipes[2][0]);
	peers = peers_start("sender", &ring);
	if (child < 0 || !peers)
		return 1;
	dial(peers, count, pipes[0][0]);
	if (!wait_connected(ring, count) || write(pipes[2][1], "b", 1) != 1)
		return 1;
	usleep(300000);
	link_ns = load_run(peers, count, per_s, bytes, seconds, &process_ns);
	if (write(pipes[2][1], "e", 1) != 1 ||
	    read(pipes[1][0], &result, sizeof(result)) != sizeof(result))
		return 1;
	printf("peers,per_s,bytes,arrived,us_link,us_sender,us_receivers\n"
	       "%zu,%llu,%zu,%llu,%.1f,%.1f,%.1f\n",
	       count, (unsigned long long)per_s, bytes, (unsigned long long)result.arrived,
	       (double)link_ns / 1000 / (double)sent, (double)process_ns / 1000 / (double)sent,
	       (double)result.cpu_ns / 1000 / (double)sent);
	wl_peers_stop(peers);
	waitpid(child, NULL, 0);
	return 0;
}
