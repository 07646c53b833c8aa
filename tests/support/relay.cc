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
constexpr size_t WAITING_MOST = 1 << 20; /* buffered bytes of one direction of a connection */
constexpr int IDLE_MS = 1000;

uint64_t now_ms()
{
	auto now = std::chrono::steady_clock::now().time_since_epoch();

	return static_cast<uint64_t>(
		std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void close_hard(int fd)
{
	linger hard = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(fd);
}
} // namespace

/* One direction of a connection. */
struct Relay::Pipe {
	struct Piece {
		uint64_t due_ms;
		std::string bytes;
	};
	std::deque<Piece> waiting;
	size_t waiting_bytes = 0;
	bool ended = false;  /* the sender has closed its side */
	bool closed = false; /* and the close was passed on to the receiver */
};

struct Relay::Link {
	int caller = -1;
	int upstream = -1;
	uint64_t jitter = 0;
	int64_t came_down = 0;
	bool dead = false;
	std::string first; /* first bytes, until the caller is identified */
	std::string caller_name;
	Pipe up;
	Pipe down;
};

Relay::Relay(const std::string &listen, const std::string &upstream) : upstream_address(upstream)
{
	wl_err_t err;

	listen_fd = wl_address_listen({listen.data(), listen.size()}, &listen_port, &err);
	wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (listen_fd < 0) {
		fprintf(stderr, "relay: %s\n", err.text);
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
		close_hard(link.caller);
		close_hard(link.upstream);
	}
	close(listen_fd);
	close(wake_fd);
}

void Relay::wake()
{
	uint64_t one = 1;

	(void)!write(wake_fd, &one, sizeof(one));
}

void Relay::set(const RelayFaults &wanted)
{
	{
		std::lock_guard<std::mutex> guard(lock);
		faults = wanted;
	}
	wake();
}

void Relay::set_filter(Filter filter)
{
	std::lock_guard<std::mutex> guard(lock);

	change = std::move(filter);
}

void Relay::set_tagger(Tagger tagger)
{
	std::lock_guard<std::mutex> guard(lock);

	tag = std::move(tagger);
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
			link.dead = true;
	}
	wake();
}

size_t Relay::connections()
{
	std::lock_guard<std::mutex> guard(lock);

	return links.size();
}

void Relay::accept_one()
{
	int caller = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
	wl_address_t to;
	wl_err_t err;

	if (caller < 0)
		return;
	if (faults.refuse ||
	    !wl_address_parse({upstream_address.data(), upstream_address.size()}, &to, &err)) {
		close_hard(caller);
		return;
	}
	int upstream = socket(to.at.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(upstream, reinterpret_cast<sockaddr *>(&to.at), to.len) != 0) {
		close(upstream);
		close_hard(caller);
		return;
	}
	links.emplace_back();
	Link &link = links.back();
	link.caller = caller;
	link.upstream = upstream;
	link.jitter = ++accepted * 7919;
}

bool Relay::held(const Link &link, bool up) const
{
	return (up ? faults.hold_up : faults.hold_down) ||
	       faults.hold_callers.count(link.caller_name) > 0;
}

/* Reads one direction and forwards the chunks that are due; false: close the connection. */
bool Relay::pump_way(Link &link, bool up)
{
	Pipe &pipe = up ? link.up : link.down;
	int from = up ? link.caller : link.upstream;
	int to = up ? link.upstream : link.caller;
	char bytes[16384];
	uint64_t extra = faults.jitter_ms ? link.jitter % (faults.jitter_ms + 1) : 0;

	while (!pipe.ended && pipe.waiting_bytes < WAITING_MOST) {
		ssize_t n = recv(from, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (n < 0)
			break;
		if (n == 0) {
			pipe.ended = true;
			break;
		}
		std::string piece(bytes, static_cast<size_t>(n));
		if (up && tag && link.caller_name.empty()) {
			link.first += piece;
			link.caller_name = tag(link.first);
		}
		if (change)
			change(up, piece);
		pipe.waiting_bytes += piece.size();
		pipe.waiting.push_back({now_ms() + faults.delay_ms + extra, std::move(piece)});
	}
	if (held(link, up))
		return true;
	while (!pipe.waiting.empty() && pipe.waiting.front().due_ms <= now_ms()) {
		std::string &piece = pipe.waiting.front().bytes;
		size_t most = piece.size();

		if (!up && faults.cut_after >= 0) {
			if (link.came_down >= faults.cut_after)
				return false;
			most = std::min(most,
					static_cast<size_t>(faults.cut_after - link.came_down));
		}
		ssize_t n = send(to, piece.data(), most, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN;
		link.came_down += up ? 0 : n;
		pipe.waiting_bytes -= static_cast<size_t>(n);
		piece.erase(0, static_cast<size_t>(n));
		if (!piece.empty())
			continue;
		pipe.waiting.pop_front();
	}
	if (pipe.ended && pipe.waiting.empty() && !pipe.closed) {
		shutdown(to, SHUT_WR);
		pipe.closed = true;
	}
	return !(link.up.closed && link.down.closed);
}

void Relay::pump(Link &link)
{
	if (!link.dead)
		link.dead = !pump_way(link, true) || !pump_way(link, false);
}

int Relay::wait_ms(const Link &link) const
{
	uint64_t now = now_ms();
	uint64_t least = IDLE_MS;

	for (const Pipe *pipe : {&link.up, &link.down}) {
		if (held(link, pipe == &link.up) || pipe->waiting.empty())
			continue;
		uint64_t due = pipe->waiting.front().due_ms;
		least = std::min(least, due > now ? due - now : uint64_t{1});
	}
	return static_cast<int>(least);
}

void Relay::run()
{
	while (!stopping) {
		std::vector<pollfd> waits = {{listen_fd, POLLIN, 0}, {wake_fd, POLLIN, 0}};
		int timeout = IDLE_MS;
		uint64_t woken;
		{
			std::lock_guard<std::mutex> guard(lock);
			for (const Link &link : links) {
				short up = link.up.ended || link.up.waiting_bytes >= WAITING_MOST
						   ? 0
						   : POLLIN;
				short down =
					link.down.ended || link.down.waiting_bytes >= WAITING_MOST
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
		(void)!read(wake_fd, &woken, sizeof(woken));

		std::lock_guard<std::mutex> guard(lock);
		if (waits[0].revents)
			accept_one();
		for (auto link = links.begin(); link != links.end();) {
			pump(*link);
			if (!link->dead) {
				++link;
				continue;
			}
			close_hard(link->caller);
			close_hard(link->upstream);
			link = links.erase(link);
		}
	}
}
