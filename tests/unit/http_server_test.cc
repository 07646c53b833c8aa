#include "../support/events.h"
#include "../support/tcp.h"

extern "C" {
#include <libwlnet/http_server.h>
}

#include <thread>

#include <gtest/gtest.h>

namespace
{
class HttpServer : public ::testing::Test
{
      protected:
	HttpServer()
	{
		options.listen = str("127.0.0.1:0");
		options.listener = WL_LISTENER_CALLER;
		options.max_body_bytes = 1000;
		options.max_header_bytes = 4000;
		options.max_connections = 100;
		options.idle_ms = 5000;
		options.first_call = 1;
		options.call_step = 2;
	}
	~HttpServer() override
	{
		wl_http_server_stop(server);
	}

	void start(Events &to)
	{
		wl_err_t err = {};

		options.events = to.ring;
		server = wl_http_server_start(&options, &err);
		ASSERT_TRUE(server) << err.text;
		port = wl_http_server_port(server);
	}

	void reply(uint64_t call, const std::string &body, uint64_t status = 200)
	{
		wl_reply_t answer = {};

		answer.call = call;
		answer.status = status;
		answer.has_verdict = true;
		answer.verdict = WL_RAN;
		wl_buf_set(&answer.body, str(body));
		wl_http_server_reply(server, &answer);
	}

	/* Reads the head and body of one response. */
	static std::string response(Tcp &tcp)
	{
		std::string head = tcp.read_until("\r\n\r\n");
		size_t at = head.find("Content-Length: ");

		if (at == std::string::npos)
			return head;
		return head + tcp.read_bytes(std::stoul(head.substr(at + 16)));
	}

	wl_http_server_options_t options = {};
	wl_http_server_t *server = nullptr;
	uint16_t port = 0;
	Events events;
};

bool contains(const std::string &all, const std::string &part)
{
	return all.find(part) != std::string::npos;
}

TEST_F(HttpServer, RequestIsPublishedAsACallEvent)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	tcp.send("PATCH /s/a%2Fb/../c?x=%20y&z HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nX-One: 2\r\n"
		 "Content-Length: 3\r\n\r\n");
	tcp.send(std::string("a\0b", 3));
	Event event = events.next();
	ASSERT_TRUE(event);
	EXPECT_EQ(event->kind, WL_EVENT_CALL);
	EXPECT_EQ(event->call.id, 1u);
	EXPECT_EQ(event->call.listener, WL_LISTENER_CALLER);
	EXPECT_EQ(text(event->call.method), "PATCH");
	EXPECT_EQ(text(event->call.path), "/s/a%2Fb/../c");
	EXPECT_EQ(text(event->call.query), "x=%20y&z");
	EXPECT_EQ(text(event->call.body), std::string("a\0b", 3));
	EXPECT_EQ(event->call.headers.count, 4u);

	reply(1, "whole");
	std::string got = response(tcp);
	EXPECT_TRUE(contains(got, "HTTP/1.1 200 OK\r\n")) << got;
	EXPECT_TRUE(contains(got, "Wisterialead-Verdict: ran\r\n")) << got;
	EXPECT_TRUE(contains(got, "\r\n\r\nwhole")) << got;
}

TEST_F(HttpServer, ConnectionServesSeveralRequests)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	for (int i = 0; i < 3; i++) {
		tcp.send("GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n");
		Event event = events.next();
		ASSERT_TRUE(event);
		EXPECT_EQ(event->call.id, 1u + 2 * i);
		reply(event->call.id, "answer " + std::to_string(i));
		EXPECT_TRUE(contains(response(tcp), "answer " + std::to_string(i)));
	}
}

TEST_F(HttpServer, RepliesInAnyOrderReachTheirCallers)
{
	start(events);
	std::vector<Tcp> callers;
	std::vector<std::pair<uint64_t, std::string>> calls;
	for (int i = 0; i < 40; i++) {
		callers.push_back(Tcp::connect(port));
		callers[i].send("GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n");
	}
	for (int i = 0; i < 40; i++) {
		Event event = events.next();
		ASSERT_TRUE(event);
		calls.emplace_back(event->call.id, text(event->call.path));
	}
	for (auto call = calls.rbegin(); call != calls.rend(); ++call)
		reply(call->first, "for " + call->second + ".");
	for (int i = 0; i < 40; i++)
		EXPECT_TRUE(contains(response(callers[i]), "for /" + std::to_string(i) + "."));
}

TEST_F(HttpServer, ChunkedBodyIsReassembled)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	tcp.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
	Event event = events.next();
	ASSERT_TRUE(event);
	EXPECT_EQ(text(event->call.body), "abcde");
}

TEST_F(HttpServer, HeadHasNoBody)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	tcp.send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
	Event event = events.next();
	ASSERT_TRUE(event);
	reply(event->call.id, "12345");
	std::string head = tcp.read_until("\r\n\r\n");
	EXPECT_TRUE(contains(head, "Content-Length: 5")) << head;

	tcp.send("GET /after HTTP/1.1\r\nHost: h\r\n\r\n");
	event = events.next();
	ASSERT_TRUE(event);
	reply(event->call.id, "", 204);
	EXPECT_TRUE(contains(response(tcp), "HTTP/1.1 204 "));
}

TEST_F(HttpServer, BodyOverTheLimitIsRefusedAsNotRun)
{
	start(events);
	Tcp known = Tcp::connect(port);
	known.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" +
		   std::string(1001, 'x'));
	Tcp chunked = Tcp::connect(port);
	chunked.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
		     std::string(1001, 'x') + "\r\n0\r\n\r\n");
	Tcp huge = Tcp::connect(port);
	huge.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n");
	for (Tcp *tcp : {&known, &chunked, &huge}) {
		std::string got = response(*tcp);

		EXPECT_TRUE(contains(got, "HTTP/1.1 413 ")) << got;
		EXPECT_TRUE(contains(got, "\"verdict\":\"not-run\"")) << got;
	}
	EXPECT_FALSE(events.next(0));
}

TEST_F(HttpServer, HeadersOverTheLimitAreRefused)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	tcp.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(4100, 'x') + "\r\n\r\n");
	EXPECT_TRUE(contains(response(tcp), "HTTP/1.1 431 "));
	EXPECT_FALSE(events.next(0));
}

TEST_F(HttpServer, FullRingRefusesRequestsAsNotRun)
{
	Events small_ring(4);
	start(small_ring);
	std::vector<Tcp> callers;
	for (int i = 0; i < 10; i++) {
		callers.push_back(Tcp::connect(port));
		callers[i].send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	}
	/* The ring holds three events, so the other seven requests are refused. */
	while (wl_http_server_refused(server) < 7)
		std::this_thread::yield();
	for (int i = 0; i < 3; i++) {
		Event event = small_ring.next();
		ASSERT_TRUE(event);
		reply(event->call.id, "served");
	}
	int served = 0;
	int refused = 0;
	for (Tcp &tcp : callers) {
		std::string got = response(tcp);

		served += contains(got, "served");
		refused += contains(got, "HTTP/1.1 503 ") &&
			   contains(got, "\"error\":\"overloaded\"") &&
			   contains(got, "Retry-After: 1") &&
			   contains(got, "\"verdict\":\"not-run\"");
	}
	EXPECT_EQ(served, 3);
	EXPECT_EQ(refused, 7);
	EXPECT_FALSE(small_ring.next(0));
}

TEST_F(HttpServer, DisconnectedCallerIsReportedOnce)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	tcp.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	Event call = events.next();
	ASSERT_TRUE(call);
	tcp.close();
	Event gone = events.next();
	ASSERT_TRUE(gone);
	EXPECT_EQ(gone->kind, WL_EVENT_CALL_ABANDONED);
	EXPECT_EQ(gone->call.id, call->call.id);
	reply(call->call.id, "too late");
	EXPECT_FALSE(events.next(50));

	Tcp again = Tcp::connect(port);
	again.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	call = events.next();
	ASSERT_TRUE(call);
	reply(call->call.id, "fine");
	EXPECT_TRUE(contains(response(again), "fine"));
}

/* Guards against orders of callers that have gone on to another daemon. */
TEST_F(HttpServer, CallerWaitsUntilItClosesEitherDirection)
{
	start(events);
	for (bool half : {false, true}) {
		Tcp tcp = Tcp::connect(port);
		tcp.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		Event call = events.next();
		ASSERT_TRUE(call);
		EXPECT_TRUE(wl_http_server_caller_waits(server, call->call.id));
		if (half)
			tcp.close_write();
		else
			tcp.close();
		EXPECT_FALSE(wl_http_server_caller_waits(server, call->call.id));
		ASSERT_TRUE(events.next()); /* abandoned */
		EXPECT_FALSE(wl_http_server_caller_waits(server, call->call.id));
	}
	EXPECT_FALSE(wl_http_server_caller_waits(server, 12345));
}

TEST_F(HttpServer, QuiescingFinishesOpenCalls)
{
	start(events);
	Tcp idle = Tcp::connect(port);
	idle.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
	Event event = events.next();
	ASSERT_TRUE(event);
	reply(event->call.id, "first");
	response(idle);
	Tcp open = Tcp::connect(port);
	open.send("GET /open HTTP/1.1\r\nHost: h\r\n\r\n");
	event = events.next();
	ASSERT_TRUE(event);

	wl_http_server_quiesce(server);
	EXPECT_FALSE(Tcp::connect(port).open());
	EXPECT_EQ(wl_http_server_open_calls(server), 1u);
	reply(event->call.id, "finished");
	std::string got = response(open);
	EXPECT_TRUE(contains(got, "finished")) << got;
	EXPECT_TRUE(contains(got, "Connection: close")) << got;
	EXPECT_TRUE(open.wait_closed());

	idle.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
	event = events.next();
	ASSERT_TRUE(event);
	reply(event->call.id, "late");
	EXPECT_TRUE(contains(response(idle), "late"));
	while (wl_http_server_open_calls(server) > 0)
		std::this_thread::yield();
}

TEST_F(HttpServer, StopsWithACallOpen)
{
	start(events);
	Tcp tcp = Tcp::connect(port);
	tcp.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(events.next());
	wl_http_server_stop(server);
	server = nullptr;
	EXPECT_TRUE(tcp.wait_closed());
}

TEST_F(HttpServer, RepliesFromAnotherThreadUnderLoad)
{
	constexpr int callers = 8;
	constexpr int rounds = 200;
	start(events);
	std::thread replier([this] {
		for (int i = 0; i < callers * rounds; i++) {
			Event event = events.next();

			if (!event)
				return;
			reply(event->call.id, "for " + text(event->call.path) + ".");
		}
	});
	std::vector<std::thread> threads;
	std::atomic<int> right{0};
	for (int c = 0; c < callers; c++)
		threads.emplace_back([this, c, &right] {
			Tcp tcp = Tcp::connect(port);

			for (int i = 0; i < rounds; i++) {
				std::string path =
					"/" + std::to_string(c) + "." + std::to_string(i);

				tcp.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
				right += contains(response(tcp), "for " + path + ".");
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	replier.join();
	EXPECT_EQ(right, callers * rounds);
}
} // namespace
