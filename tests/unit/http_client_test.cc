#include "../support/events.h"
#include "../support/tcp.h"

extern "C" {
#include <libwlbase/clock.h>
#include <libwlnet/http_client.h>
}

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

#include <sys/syscall.h>
#include <unistd.h>

#include <gtest/gtest.h>

extern "C" __attribute__((weak)) int
__sanitizer_install_malloc_and_free_hooks(void (*malloc_hook)(const volatile void *, size_t),
					  void (*free_hook)(const volatile void *));

namespace
{
class HttpClient : public ::testing::Test
{
      protected:
	HttpClient()
	{
		wl_http_client_options_t options = {};
		wl_err_t err = {};

		options.events = events.ring;
		options.queue_slots = 64;
		options.max_body_bytes = 1000;
		options.connect_ms = 2000;
		options.max_connections_per_host = 2;
		client = wl_http_client_start(&options, &err);
	}
	~HttpClient() override
	{
		wl_http_client_stop(client);
	}

	bool fetch(uint64_t id, const std::string &address, const std::string &method = "GET",
		   const std::string &body = "", uint64_t timeout_ms = 5000,
		   const std::string &header = "")
	{
		wl_fetch_t call = {};

		call.id = id;
		call.timeout_ms = timeout_ms;
		wl_buf_set(&call.address, str(address));
		wl_buf_set(&call.method, str(method));
		wl_buf_set(&call.path, str("/a/../b%2F?q"));
		wl_buf_set(&call.body, str(body));
		if (!header.empty())
			wl_headers_add(&call.headers, str("X-Test"), str(header));
		return wl_http_client_fetch(client, &call);
	}

	Event fetched(uint64_t id)
	{
		Event event = events.next(10000);

		EXPECT_TRUE(event);
		if (!event)
			abort();
		EXPECT_EQ(event->kind, WL_EVENT_FETCHED);
		EXPECT_EQ(event->fetched.id, id);
		return event;
	}

	/* Result of a request to a server that sends these bytes and closes the connection. */
	Event serve_once(const std::string &bytes, const std::string &method = "GET")
	{
		EXPECT_TRUE(fetch(1, listener.address(), method));
		Tcp tcp = listener.accept();
		request = tcp.read_until("\r\n\r\n");
		tcp.send(bytes);
		tcp.close();
		return fetched(1);
	}

	Events events;
	TcpListener listener;
	wl_http_client_t *client = nullptr;
	std::string request;
};

constexpr useconds_t SLOW_ALLOCATION_US = 200000; /* several wake-ups of a thread with calls */
thread_local bool allocations_are_slow;

void allocation_wait(const volatile void *, size_t)
{
	if (allocations_are_slow)
		usleep(SLOW_ALLOCATION_US);
}

void release_ignore(const volatile void *)
{
}

/* Has no effect without a sanitizer. */
void slow_allocations_install()
{
	if (__sanitizer_install_malloc_and_free_hooks)
		__sanitizer_install_malloc_and_free_hooks(allocation_wait, release_ignore);
}

TEST_F(HttpClient, ResponseIsNotModified)
{
	Event event =
		serve_once("HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
			   "Content-Encoding: gzip\r\nX-Empty:\r\nContent-Length: 3\r\n\r\nabc");

	EXPECT_TRUE(event->fetched.complete);
	EXPECT_TRUE(event->fetched.sent);
	EXPECT_EQ(event->fetched.status, 302u);
	EXPECT_EQ(text(event->fetched.body), "abc");
	EXPECT_EQ(event->fetched.headers.count, 4u);
	EXPECT_EQ(request.substr(0, request.find('\r')), "GET /a/../b%2F?q HTTP/1.1");
	EXPECT_EQ(request.find("Accept"), std::string::npos) << request;
	EXPECT_EQ(request.find("User-Agent"), std::string::npos) << request;
}

TEST_F(HttpClient, ChunkedResponseWithoutLastChunkIsIncomplete)
{
	const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	EXPECT_TRUE(serve_once(head + "3\r\nabc\r\n0\r\n\r\n")->fetched.complete);
	EXPECT_FALSE(serve_once(head + "3\r\nabc\r\n")->fetched.complete);
}

/* Suspends a thread of this process in a signal handler until resume(). */
class ThreadStop
{
      public:
	explicit ThreadStop(const std::string &name)
	{
		struct sigaction action = {};

		action.sa_handler = wait_in_handler;
		EXPECT_EQ(pipe(resume_pipe), 0);
		EXPECT_EQ(pipe(entered_pipe), 0);
		sigaction(SIGUSR1, &action, nullptr);
		EXPECT_EQ(syscall(SYS_tgkill, getpid(), find(name), SIGUSR1), 0);
		char byte;
		EXPECT_EQ(read(entered_pipe[0], &byte, 1), 1);
	}

	void resume()
	{
		EXPECT_EQ(write(resume_pipe[1], "x", 1), 1);
	}

      private:
	static void wait_in_handler(int)
	{
		int saved = errno;
		char byte = 0;

		if (write(entered_pipe[1], "x", 1) == 1)
			while (read(resume_pipe[0], &byte, 1) < 0 && errno == EINTR)
				;
		errno = saved;
	}

	static pid_t find(const std::string &name)
	{
		for (const auto &task : std::filesystem::directory_iterator("/proc/self/task")) {
			std::ifstream in(task.path() / "comm");
			std::string comm;

			if (std::getline(in, comm) && comm == name)
				return std::stoi(task.path().filename());
		}
		ADD_FAILURE() << "no thread named " << name;
		return 0;
	}

	static inline int resume_pipe[2];
	static inline int entered_pipe[2];
};

/*
 * A daemon that gets no processor time for longer than the time-out must still accept a response
 * that arrived in the meantime.
 */
TEST_F(HttpClient, ResponseReceivedDuringAPauseIsAcceptedAfterTheDeadline)
{
	const uint64_t timeout_ms = 200;

	ASSERT_TRUE(fetch(1, listener.address(), "GET", "", timeout_ms));
	Tcp tcp = listener.accept();
	tcp.read_until("\r\n\r\n");
	ThreadStop stop("wl-http-out");
	tcp.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
	std::this_thread::sleep_for(std::chrono::milliseconds(2 * timeout_ms));
	stop.resume();
	Event event = fetched(1);

	EXPECT_TRUE(event->fetched.complete);
	EXPECT_EQ(text(event->fetched.body), "abc");
}

/* The request waits for a connection, which becomes free during the pause. */
TEST_F(HttpClient, RequestIsNotSentAfterAPauseBeyondItsDeadline)
{
	const uint64_t timeout_ms = 200;

	ASSERT_TRUE(fetch(1, listener.address()));
	ASSERT_TRUE(fetch(2, listener.address()));
	Tcp tcp = listener.accept();
	Tcp other = listener.accept();
	tcp.read_until("\r\n\r\n");
	ASSERT_TRUE(fetch(3, listener.address(), "POST", "", timeout_ms));
	std::this_thread::sleep_for(std::chrono::milliseconds(timeout_ms / 4));
	ThreadStop stop("wl-http-out");
	tcp.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
	std::this_thread::sleep_for(std::chrono::milliseconds(2 * timeout_ms));
	stop.resume();
	Event first = events.next(10000);
	Event second = events.next(10000);
	ASSERT_TRUE(first && second);
	const wl_fetched_t &late = first->fetched.id == 3 ? first->fetched : second->fetched;
	EXPECT_EQ(late.id, 3u);
	EXPECT_FALSE(late.complete);
	EXPECT_FALSE(late.sent);
}

TEST_F(HttpClient, RequestIsNotSentAfterItsTimeToSend)
{
	for (int late : {1, 0}) {
		wl_fetch_t call = {};

		call.id = 1;
		call.timeout_ms = 2000;
		call.send_by_ns = late ? wl_clock_ns() - 1 : wl_clock_ns() + 2000 * 1000000ULL;
		wl_buf_set(&call.address, str(listener.address()));
		wl_buf_set(&call.method, WL_STR("POST"));
		wl_buf_set(&call.path, WL_STR("/"));
		ASSERT_TRUE(wl_http_client_fetch(client, &call));
		if (late) {
			Event answer = fetched(1);

			EXPECT_FALSE(answer->fetched.sent);
			EXPECT_TRUE(answer->fetched.held) << "says nothing of the server";
			continue;
		}
		Tcp tcp = listener.accept(); /* the late call made none */
		tcp.read_until("\r\n\r\n");
		tcp.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		EXPECT_TRUE(fetched(1)->fetched.complete);
	}
}

/* Its time to send passes while both connections to the host are in use. */
TEST_F(HttpClient, RequestThatWaitedForAConnectionIsNotSentLate)
{
	for (uint64_t id : {1, 2, 3}) {
		wl_fetch_t call = {};

		call.id = id;
		call.timeout_ms = 3000;
		call.send_by_ns = id == 3 ? wl_clock_ns() + 100 * 1000000ULL : 0;
		wl_buf_set(&call.address, str(listener.address()));
		wl_buf_set(&call.method, WL_STR("POST"));
		wl_buf_set(&call.path, WL_STR("/"));
		ASSERT_TRUE(wl_http_client_fetch(client, &call));
	}
	Tcp first = listener.accept();
	Tcp second = listener.accept();
	first.read_until("\r\n\r\n");
	second.read_until("\r\n\r\n");
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	first.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	second.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	for (int i = 0; i < 3; i++) {
		Event event = events.next(10000);

		ASSERT_TRUE(event);
		EXPECT_EQ(event->fetched.sent, event->fetched.id != 3);
		EXPECT_EQ(event->fetched.held, event->fetched.id == 3);
	}
}

TEST_F(HttpClient, TruncatedBodyIsIncomplete)
{
	Event event = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");

	EXPECT_FALSE(event->fetched.complete);
	EXPECT_TRUE(event->fetched.sent);
	EXPECT_NE(event->fetched.error.len, 0u);
}

TEST_F(HttpClient, BodyWithoutDefinedLengthIsIncomplete)
{
	EXPECT_FALSE(serve_once("HTTP/1.1 200 OK\r\n\r\nabc")->fetched.complete);
	EXPECT_TRUE(serve_once("HTTP/1.1 204 No Content\r\n\r\n")->fetched.complete);
	EXPECT_TRUE(serve_once("HTTP/1.1 200 OK\r\n\r\n", "HEAD")->fetched.complete);
}

TEST_F(HttpClient, InterimResponseIsIgnored)
{
	Event event = serve_once("HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n"
				 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

	EXPECT_TRUE(event->fetched.complete);
	EXPECT_EQ(event->fetched.status, 200u);
	EXPECT_EQ(event->fetched.headers.count, 1u);
}

TEST_F(HttpClient, ResponseOverTheLimitIsIncomplete)
{
	Event event = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
				 std::string(1001, 'x'));

	EXPECT_FALSE(event->fetched.complete);
	EXPECT_EQ(text(event->fetched.error), "response is too large");
}

TEST_F(HttpClient, RefusedConnectionIsReportedAsNotSent)
{
	uint16_t port;
	{
		TcpListener closed;
		port = closed.port;
	}
	ASSERT_TRUE(fetch(1, "127.0.0.1:" + std::to_string(port), "POST", "body"));
	Event event = fetched(1);
	EXPECT_FALSE(event->fetched.sent);
	EXPECT_FALSE(event->fetched.complete);
}

TEST_F(HttpClient, TimeoutAfterSendingIsReportedAsSent)
{
	ASSERT_TRUE(fetch(1, listener.address(), "POST", "body", 200));
	Tcp tcp = listener.accept();
	Event event = fetched(1);
	EXPECT_TRUE(event->fetched.sent);
	EXPECT_FALSE(event->fetched.complete);
}

/*
 * A server that reads a request on a reused connection and closes it without a response may have
 * run the request, so the client must not send it again, as libcurl does by default.
 */
TEST_F(HttpClient, RequestOnAReusedConnectionIsNotRetried)
{
	for (const char *method : {"POST", "GET", "PUT"}) {
		std::atomic<int> arrived{0};
		std::thread server([this, &arrived] {
			Tcp tcp = listener.accept();

			tcp.read_until("\r\n\r\n");
			tcp.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			for (;;) {
				if (tcp.read_until("\r\n\r\n").find("HTTP/1.1\r\n") !=
				    std::string::npos)
					arrived++;
				tcp.close();
				tcp = listener.accept(300);
				if (!tcp.open())
					return;
			}
		});
		ASSERT_TRUE(fetch(1, listener.address()));
		EXPECT_TRUE(fetched(1)->fetched.complete);
		ASSERT_TRUE(fetch(2, listener.address(), method));
		Event event = fetched(2);
		EXPECT_TRUE(event->fetched.sent);
		EXPECT_FALSE(event->fetched.complete);
		server.join();
		EXPECT_EQ(arrived, 1) << method;
	}
}

TEST_F(HttpClient, ConnectionIsReused)
{
	std::thread server([this] {
		Tcp tcp = listener.accept();

		for (int i = 0; i < 5; i++) {
			tcp.read_until("\r\n\r\n");
			tcp.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
		}
	});
	for (uint64_t id = 1; id <= 5; id++) {
		ASSERT_TRUE(fetch(id, listener.address(), "POST"));
		EXPECT_TRUE(fetched(id)->fetched.complete) << id;
	}
	server.join();
}

TEST_F(HttpClient, CallsToManyTargetsReuseTheirConnections)
{
	constexpr uint64_t TARGETS = 48;
	constexpr int ROUNDS = 3;
	std::vector<TcpListener> targets(TARGETS);
	std::vector<Tcp> connections;

	for (int round = 0; round < ROUNDS; round++) {
		for (uint64_t id = 0; id < TARGETS; id++)
			ASSERT_TRUE(fetch(id, targets[id].address(), "POST"));
		for (uint64_t id = 0; id < TARGETS; id++) {
			if (round == 0)
				connections.push_back(targets[id].accept());
			connections[id].read_until("\r\n\r\n");
			connections[id].send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
			EXPECT_TRUE(fetched(id)->fetched.complete) << round << " " << id;
		}
	}
	for (auto &target : targets)
		EXPECT_FALSE(target.accept(0).open());
}

/* The address sanitizer then reports a command that nobody takes as a leak. */
TEST_F(HttpClient, StopReleasesACommandThatTheThreadDoesNotTake)
{
	ASSERT_TRUE(fetch(1, listener.address())); /* the thread then wakes up often */
	Tcp tcp = listener.accept();
	tcp.read_until("\r\n\r\n");
	slow_allocations_install();
	allocations_are_slow = true;
	wl_http_client_stop(client);
	allocations_are_slow = false;
	client = nullptr;
	EXPECT_EQ(text(fetched(1)->fetched.error), "stopped");
}

TEST_F(HttpClient, CancelledCallEndsOnce)
{
	ASSERT_TRUE(fetch(7, listener.address()));
	Tcp tcp = listener.accept();
	tcp.read_until("\r\n\r\n");
	wl_http_client_cancel(client, 7);
	Event event = fetched(7);
	EXPECT_EQ(text(event->fetched.error), "cancelled");
	EXPECT_TRUE(event->fetched.sent);
	wl_http_client_cancel(client, 7);
	EXPECT_FALSE(events.next(50));
	EXPECT_TRUE(tcp.wait_closed());
}

TEST_F(HttpClient, CallsOverTheConnectionLimitWaitUnsent)
{
	for (uint64_t id = 1; id <= 3; id++)
		ASSERT_TRUE(fetch(id, listener.address(), "POST", "", id == 3 ? 300 : 5000));
	Tcp first = listener.accept();
	Tcp second = listener.accept();
	EXPECT_FALSE(listener.accept(50).open());
	Event event = fetched(3);
	EXPECT_FALSE(event->fetched.sent);
}

TEST_F(HttpClient, OpenCallsAreCountedByProgress)
{
	wl_http_open_calls_t calls;
	auto wait_for = [&](uint64_t connecting, uint64_t sent) {
		for (int i = 0; i < 5000; i++) {
			wl_http_client_calls(client, &calls);
			if (calls.queued == 0 && calls.connecting == connecting &&
			    calls.sent == sent)
				return true;
			std::this_thread::sleep_for(std::chrono::milliseconds(1));
		}
		return false;
	};

	for (uint64_t id = 1; id <= 5; id++)
		ASSERT_TRUE(fetch(id, listener.address(), "POST"));
	Tcp first = listener.accept();
	Tcp second = listener.accept();
	EXPECT_TRUE(wait_for(3, 2)) << calls.connecting << " " << calls.sent;
	wl_http_client_cancel(client, 5);
	EXPECT_TRUE(wait_for(2, 2)) << calls.connecting << " " << calls.sent;
	first.read_until("\r\n\r\n");
	first.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	Tcp third = listener.accept();
	EXPECT_TRUE(wait_for(1, 2)) << calls.connecting << " " << calls.sent;
	for (uint64_t id = 1; id <= 4; id++)
		wl_http_client_cancel(client, id);
	EXPECT_TRUE(wait_for(0, 0)) << calls.connecting << " " << calls.sent;
}

TEST_F(HttpClient, EventHasItsCreationTime)
{
	uint64_t before_ns = wl_clock_ns();

	Event event = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	EXPECT_GE(event->made_ns, before_ns);
	EXPECT_LE(event->made_ns, wl_clock_ns());
}

TEST_F(HttpClient, LineBreaksInHeadersAreRefused)
{
	ASSERT_TRUE(fetch(1, listener.address(), "GET", "", 5000, "a\r\nX-Evil: 1"));
	Event event = fetched(1);
	EXPECT_FALSE(event->fetched.sent);
	EXPECT_FALSE(event->fetched.complete);
}

TEST_F(HttpClient, FetchedEventsAreKeptWhileTheRingIsFull)
{
	Events small_ring(4);
	wl_http_client_options_t options = {};
	wl_err_t err = {};
	options.events = small_ring.ring;
	options.queue_slots = 64;
	options.max_body_bytes = 10;
	options.connect_ms = 2000;
	options.max_connections_per_host = 2;
	wl_http_client_t *slow = wl_http_client_start(&options, &err);
	for (uint64_t id = 1; id <= 20; id++) {
		wl_fetch_t call = {};

		call.id = id;
		wl_buf_set(&call.address, str("not an address"));
		ASSERT_TRUE(wl_http_client_fetch(slow, &call));
	}
	for (uint64_t id = 1; id <= 20; id++) {
		Event event = small_ring.next();
		ASSERT_TRUE(event);
		EXPECT_EQ(event->fetched.id, id);
	}
	wl_http_client_stop(slow);
}

TEST_F(HttpClient, BlockingCallReturnsTheResponse)
{
	wl_fetch_t call = {};
	wl_fetched_t end;
	wl_err_t err = {};
	std::thread server([this] {
		Tcp tcp = listener.accept();

		tcp.read_until("\r\n\r\nhello");
		tcp.send("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
	});
	call.timeout_ms = 5000;
	wl_buf_set(&call.address, str(listener.address()));
	wl_buf_set(&call.method, str("POST"));
	wl_buf_set(&call.path, str("/"));
	wl_buf_set(&call.body, str("hello"));
	EXPECT_TRUE(wl_http_call(&call, 100, &end, &err)) << err.text;
	EXPECT_EQ(end.status, 201u);
	EXPECT_EQ(text(end.body), "ok");
	wl_fetched_free(&end);
	server.join();

	wl_buf_set(&call.address, str("127.0.0.1:1"));
	EXPECT_FALSE(wl_http_call(&call, 100, &end, &err));
	EXPECT_EQ(err.verdict, WL_NOT_RUN);
	wl_fetched_free(&end);
	wl_buf_free(&call.address);
	wl_buf_free(&call.method);
	wl_buf_free(&call.path);
	wl_buf_free(&call.body);
}
} // namespace
