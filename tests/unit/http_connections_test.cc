#include "../support/events.h"

extern "C" {
#include <libwlnet/http_client.h>
#include <libwlnet/http_multi.h>
}

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

/* Connections that the HTTP client keeps to many targets. */

namespace
{
constexpr size_t TARGETS = 900;
constexpr size_t CALLS_PER_TARGET = 3;
constexpr size_t CONNECTIONS = TARGETS * CALLS_PER_TARGET;
constexpr size_t SPARE = 500; /* descriptors */

/* Answers once all calls of a round have arrived, so that each needs a connection of its own. */
class Targets
{
      public:
	Targets()
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		EXPECT_EQ(bind(listener, reinterpret_cast<struct sockaddr *>(&at), len), 0);
		EXPECT_EQ(listen(listener, 4096), 0);
		getsockname(listener, reinterpret_cast<struct sockaddr *>(&at), &len);
		port = ntohs(at.sin_port);
		thread = std::thread([this] { serve(); });
	}

	~Targets()
	{
		stopping = true;
		thread.join();
		for (const auto &connection : requests)
			close(connection.first);
		close(listener);
	}

	std::vector<std::string> addresses() const
	{
		std::vector<std::string> found;

		for (size_t target = 0; target < TARGETS; target++)
			found.push_back(address(target));
		return found;
	}

	/* Addresses whose hashes agree in what a handle could be chosen by. */
	std::vector<std::string> addresses_of_like_hashes() const
	{
		std::vector<std::string> found;

		for (size_t target = 0; found.size() < TARGETS; target++)
			if (wl_str_hash(str(address(target)), 0) % WL_MULTIS == 0)
				found.push_back(address(target));
		return found;
	}

      private:
	std::string address(size_t target) const
	{
		return "127.1." + std::to_string(target / 250) + "." +
		       std::to_string(1 + target % 250) + ":" + std::to_string(port);
	}

	void serve()
	{
		struct epoll_event ready[256];
		int epoll_fd = epoll_create1(EPOLL_CLOEXEC);

		watch(epoll_fd, listener);
		while (!stopping) {
			int count = epoll_wait(epoll_fd, ready, 256, 10);

			for (int i = 0; i < count; i++) {
				if (ready[i].data.fd == listener)
					watch(epoll_fd, accept(listener, nullptr, nullptr));
				else
					receive(ready[i].data.fd);
			}
		}
		close(epoll_fd);
	}

	static void watch(int epoll_fd, int fd)
	{
		struct epoll_event want = {};

		want.events = EPOLLIN;
		want.data.fd = fd;
		epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &want);
	}

	void receive(int fd)
	{
		const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
		char bytes[4096];
		ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

		if (n <= 0) {
			requests.erase(fd);
			close(fd);
			return;
		}
		requests[fd].append(bytes, static_cast<size_t>(n));
		if (requests[fd].find("\r\n\r\n") == std::string::npos)
			return;
		requests[fd].clear();
		waiting.push_back(fd);
		if (waiting.size() < CONNECTIONS)
			return;
		for (int one : waiting)
			EXPECT_GT(send(one, answer.data(), answer.size(), MSG_NOSIGNAL), 0);
		waiting.clear();
	}

	int listener;
	uint16_t port;
	std::atomic<bool> stopping{false};
	std::map<int, std::string> requests;
	std::vector<int> waiting;
	std::thread thread;
};

class HttpConnections : public ::testing::Test
{
      protected:
	HttpConnections()
	{
		struct rlimit limit;

		EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
		if (limit.rlim_cur < 2 * CONNECTIONS + SPARE)
			limit.rlim_cur = 2 * CONNECTIONS + SPARE;
		EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
	}

	void SetUp() override
	{
		wl_http_client_options_t options = {};
		wl_err_t err = {};

		options.events = events.ring;
		options.queue_slots = 4096;
		options.max_body_bytes = 1000;
		options.connect_ms = 60000;
		options.max_connections_per_host = 4;
		options.max_connections = 3900; /* of a replica with 6,424 descriptors */
		client = wl_http_client_start(&options, &err);
		ASSERT_NE(client, nullptr) << err.text;
	}

	void TearDown() override
	{
		wl_http_client_stop(client);
	}

	/* Makes the calls of a round at the same time; returns the connections opened for them. */
	uint64_t round(const std::vector<std::string> &addresses)
	{
		wl_http_usage_t before;
		wl_http_usage_t after;

		wl_http_client_usage(client, &before);
		for (uint64_t id = 0; id < CONNECTIONS; id++) {
			wl_fetch_t call = {};

			call.id = id;
			call.timeout_ms = 60000;
			wl_buf_set(&call.address, str(addresses[id % TARGETS]));
			wl_buf_set(&call.method, WL_STR("GET"));
			wl_buf_set(&call.path, WL_STR("/"));
			EXPECT_TRUE(wl_http_client_fetch(client, &call));
		}
		for (size_t i = 0; i < CONNECTIONS; i++) {
			Event event = events.next(60000);

			EXPECT_TRUE(event && event->fetched.complete);
		}
		wl_http_client_usage(client, &after);
		return after.connections - before.connections;
	}

	Events events{4096};
	wl_http_client_t *client = nullptr;
};

TEST_F(HttpConnections, TargetsOfALostReplicaKeepTheirConnections)
{
	Targets targets;

	EXPECT_EQ(round(targets.addresses()), CONNECTIONS);
	EXPECT_EQ(round(targets.addresses()), 0u);
}

/* Guards against targets that share a handle with too many others. */
TEST_F(HttpConnections, TargetsKeepTheirConnectionsWhateverTheirAddresses)
{
	Targets targets;

	EXPECT_EQ(round(targets.addresses_of_like_hashes()), CONNECTIONS);
	EXPECT_EQ(round(targets.addresses_of_like_hashes()), 0u);
}
} // namespace
