#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

/* Faults that a relay injects; "up" is the direction to the upstream. */
struct RelayFaults {
	bool refuse = false;  /* reset new connections at once */
	bool hold_up = false; /* buffer bytes until the hold ends */
	bool hold_down = false;
	uint64_t delay_ms = 0;	/* delay of each chunk */
	uint64_t jitter_ms = 0; /* upper limit of an added delay that differs by connection */
	int64_t reset_after_bytes =
		-1; /* reset a connection after this many bytes down; -1: never */
	std::set<std::string> hold_callers; /* hold both directions for these callers */
};

/* A TCP relay to one upstream that injects faults, on its own thread. */
class Relay
{
      public:
	/* Modifies relayed bytes. */
	using Filter = std::function<void(bool up, std::string &bytes)>;
	/* Identifies the caller by the first bytes of a connection; empty: needs more bytes. */
	using CallerIdentifier = std::function<std::string(const std::string &first)>;

	/* listen: 127.0.0.1:port; port 0: chosen by the kernel. */
	Relay(const std::string &listen, const std::string &upstream);
	~Relay();
	Relay(const Relay &) = delete;
	Relay &operator=(const Relay &) = delete;

	uint16_t port() const
	{
		return listen_port;
	}
	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(listen_port);
	}
	void set(const RelayFaults &faults);
	void set_filter(Filter filter);
	void set_caller_identifier(CallerIdentifier identifier);
	void set_upstream(const std::string &upstream);
	/* Resets every connection. */
	void reset();
	size_t connections();

      private:
	struct Direction;
	struct Link;

	void run();
	void wake();
	void accept_connection();
	void pump(Link &link);
	bool pump_direction(Link &link, bool up);
	bool is_held(const Link &link, bool up) const;
	int wait_ms(const Link &link) const;

	int listen_fd = -1;
	int wake_fd = -1;
	uint16_t listen_port = 0;
	uint64_t accepted = 0;
	std::atomic<bool> stopping{false};
	std::mutex lock;
	/* protected by the lock */
	std::string upstream_address;
	RelayFaults faults;
	Filter active_filter;
	CallerIdentifier identify;
	std::list<Link> links;
	std::thread thread;
};

#endif
