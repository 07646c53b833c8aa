#include "relay.h"

extern "C" {
#include <libwlnet/address.h>
}

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <vector>

namespace
{
constexpr size_t MAX_BUFFERED_BYTES = 1 << 20; /* per direction of a connection */
constexpr int IDLE_MS = 1000;

uint64_t now_ms()
{
	auto now = std::chrono::steady_clock::now().time_since_epoch();

	return static_cast<uint64_t>(
		std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void close_with_reset(int fd)
{
	linger abortive = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
	close(fd);
}
} // namespace

/* One direction of a connection. */
struct Relay::Direction {
	struct Chunk {
		uint64_t due_ms;
		std::string bytes;
	};
	std::deque<Chunk> chunks;
	size_t buffered_bytes = 0;
	bool ended = false;  /* the sender has closed its side */
	bool closed = false; /* and the close was passed on to the receiver */
};

struct Relay::Link {
	int caller = -1;
	int upstream = -1;
	uint64_t jitter = 0;
	int64_t bytes_down = 0;
	bool closing = false;
	std::string first_bytes; /* received bytes, until the caller is identified */
	std::string caller_name;
	Direction up;
	Direction down;
};

Relay::Relay(const std::string &listen, const std::string &upstream) : upstream_address(upstream)
{
	wl_err_t err;

	listen_fd = wl_address_listen({listen.data(), listen.size()}, &listen_port, &err);
	wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (listen_fd < 0) {
		fprintf(stderr, "relay: cannot listen on %s: %s\n", listen.c_str(), err.text);
		abort();
	}
	thread = std::thread([this] { run(); });
}

Relay::~Relay()
{
	stopping = true;
	wake();
	thread.join();
	for (Link &link : links) {
		close_with_reset(link.caller);
		close_with_reset(link.upstream);
	}
	close(listen_fd);
	close(wake_fd);
}

void Relay::wake()
{
	uint64_t one = 1;

	(void)!write(wake_fd, &one, sizeof(one));
}

void Relay::set(const RelayFaults &new_faults)
{
	{
		std::lock_guard<std::mutex> guard(lock);
		faults = new_faults;
	}
	wake();
}

void Relay::set_filter(Filter filter)
{
	std::lock_guard<std::mutex> guard(lock);

	active_filter = std::move(filter);
}

void Relay::set_caller_identifier(CallerIdentifier identifier)
{
	std::lock_guard<std::mutex> guard(lock);

	identify = std::move(identifier);
}

void Relay::set_upstream(const std::string &upstream)
{
	std::lock_guard<std::mutex> guard(lock);

	upstream_address = upstream;
}

void Relay::reset()
{
	{
		std::lock_guard<std::mutex> guard(lock);
		for (Link &link : links)
			link.closing = true;
	}
	wake();
}

size_t Relay::connections()
{
	std::lock_guard<std::mutex> guard(lock);

	return links.size();
}

void Relay::accept_connection()
{
	int caller = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
	wl_address_t to;
	wl_err_t err;

	if (caller < 0)
		return;
	if (faults.refuse ||
	    !wl_address_parse({upstream_address.data(), upstream_address.size()}, &to, &err)) {
		close_with_reset(caller);
		return;
	}
	int upstream = socket(to.at.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(upstream, reinterpret_cast<sockaddr *>(&to.at), to.len) != 0) {
		close(upstream);
		close_with_reset(caller);
		return;
	}
	links.emplace_back();
	Link &link = links.back();
	link.caller = caller;
	link.upstream = upstream;
	link.jitter = ++accepted * 7919;
}

bool Relay::is_held(const Link &link, bool up) const
{
	return (up ? faults.hold_up : faults.hold_down) ||
	       faults.hold_callers.count(link.caller_name) > 0;
}

/* Reads one direction and forwards the chunks that are due; false: close the connection. */
bool Relay::pump_direction(Link &link, bool up)
{
	Direction &direction = up ? link.up : link.down;
	int from = up ? link.caller : link.upstream;
	int to = up ? link.upstream : link.caller;
	char bytes[16384];
	uint64_t jitter_ms = faults.jitter_ms ? link.jitter % (faults.jitter_ms + 1) : 0;

	while (!direction.ended && direction.buffered_bytes < MAX_BUFFERED_BYTES) {
		ssize_t n = recv(from, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (n < 0)
			break;
		if (n == 0) {
			direction.ended = true;
			break;
		}
		std::string chunk(bytes, static_cast<size_t>(n));
		if (up && identify && link.caller_name.empty()) {
			link.first_bytes += chunk;
			link.caller_name = identify(link.first_bytes);
		}
		if (active_filter)
			active_filter(up, chunk);
		direction.buffered_bytes += chunk.size();
		direction.chunks.push_back(
			{now_ms() + faults.delay_ms + jitter_ms, std::move(chunk)});
	}
	if (is_held(link, up))
		return true;
	while (!direction.chunks.empty() && direction.chunks.front().due_ms <= now_ms()) {
		std::string &chunk = direction.chunks.front().bytes;
		size_t max_bytes = chunk.size();

		if (!up && faults.reset_after_bytes >= 0) {
			if (link.bytes_down >= faults.reset_after_bytes)
				return false;
			max_bytes =
				std::min(max_bytes, static_cast<size_t>(faults.reset_after_bytes -
									link.bytes_down));
		}
		ssize_t n = send(to, chunk.data(), max_bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN;
		link.bytes_down += up ? 0 : n;
		direction.buffered_bytes -= static_cast<size_t>(n);
		chunk.erase(0, static_cast<size_t>(n));
		if (!chunk.empty())
			continue;
		direction.chunks.pop_front();
	}
	if (direction.ended && direction.chunks.empty() && !direction.closed) {
		shutdown(to, SHUT_WR);
		direction.closed = true;
	}
	return !(link.up.closed && link.down.closed);
}

void Relay::pump(Link &link)
{
	if (!link.closing)
		link.closing = !pump_direction(link, true) || !pump_direction(link, false);
}

int Relay::wait_ms(const Link &link) const
{
	uint64_t now = now_ms();
	uint64_t wait = IDLE_MS;

	for (const Direction *direction : {&link.up, &link.down}) {
		if (is_held(link, direction == &link.up) || direction->chunks.empty())
			continue;
		uint64_t due = direction->chunks.front().due_ms;
		wait = std::min(wait, due > now ? due - now : uint64_t{1});
	}
	return static_cast<int>(wait);
}

void Relay::run()
{
	while (!stopping) {
		std::vector<pollfd> waits = {{listen_fd, POLLIN, 0}, {wake_fd, POLLIN, 0}};
		int timeout = IDLE_MS;
		uint64_t wake_count;
		{
			std::lock_guard<std::mutex> guard(lock);
			for (const Link &link : links) {
				short up = link.up.ended || link.up.buffered_bytes >=
								    MAX_BUFFERED_BYTES
						   ? 0
						   : POLLIN;
				short down = link.down.ended || link.down.buffered_bytes >=
									MAX_BUFFERED_BYTES
						     ? 0
						     : POLLIN;

				if (up)
					waits.push_back({link.caller, up, 0});
				if (down)
					waits.push_back({link.upstream, down, 0});
				timeout = std::min(timeout, wait_ms(link));
			}
		}
		poll(waits.data(), waits.size(), timeout);
		(void)!read(wake_fd, &wake_count, sizeof(wake_count));

		std::lock_guard<std::mutex> guard(lock);
		if (waits[0].revents)
			accept_connection();
		for (auto link = links.begin(); link != links.end();) {
			pump(*link);
			if (!link->closing) {
				++link;
				continue;
			}
			close_with_reset(link->caller);
			close_with_reset(link->upstream);
			link = links.erase(link);
		}
	}
}
