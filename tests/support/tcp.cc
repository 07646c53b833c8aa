#include "tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace
{
using Clock = std::chrono::steady_clock;

int remaining_ms(Clock::time_point until)
{
	auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());

	return left.count() > 0 ? static_cast<int>(left.count()) : 0;
}

sockaddr_in loopback(uint16_t port)
{
	sockaddr_in at = {};

	at.sin_family = AF_INET;
	at.sin_port = htons(port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return at;
}
} // namespace

Tcp::Tcp(Tcp &&other) noexcept
    : fd(std::exchange(other.fd, -1)), buffer(std::exchange(other.buffer, std::string())),
      reset_in_connect(std::exchange(other.reset_in_connect, false))
{
}

Tcp &Tcp::operator=(Tcp &&other) noexcept
{
	close();
	fd = std::exchange(other.fd, -1);
	buffer = std::exchange(other.buffer, std::string());
	reset_in_connect = std::exchange(other.reset_in_connect, false);
	return *this;
}

Tcp::~Tcp()
{
	close();
}

Tcp Tcp::connect(uint16_t port, const std::string &ip)
{
	sockaddr_in at = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
	if (::connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0)
		return Tcp(fd);
	Tcp failed;
	failed.reset_in_connect = errno == ECONNRESET;
	::close(fd);
	return failed;
}

bool Tcp::send(const std::string &bytes)
{
	size_t done = 0;

	while (done < bytes.size()) {
		ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		done += static_cast<size_t>(n);
	}
	return true;
}

bool Tcp::receive(int timeout_ms)
{
	pollfd wait = {fd, POLLIN, 0};
	char bytes[65536];

	if (poll(&wait, 1, timeout_ms) <= 0)
		return false;
	ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
	if (n <= 0)
		return false;
	buffer.append(bytes, static_cast<size_t>(n));
	return true;
}

std::string Tcp::read_until(const std::string &delimiter, int timeout_ms)
{
	auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);

	for (;;) {
		size_t at = buffer.find(delimiter);

		if (at != std::string::npos)
			return read_bytes(at + delimiter.size());
		if (!receive(remaining_ms(until)))
			return std::exchange(buffer, std::string());
	}
}

std::string Tcp::read_bytes(size_t count, int timeout_ms)
{
	auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);

	while (buffer.size() < count && receive(remaining_ms(until)))
		;
	std::string taken = buffer.substr(0, count);
	buffer.erase(0, taken.size());
	return taken;
}

bool Tcp::wait_closed(int timeout_ms)
{
	auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);

	if (!open())
		return reset_in_connect;
	while (receive(remaining_ms(until)))
		;
	pollfd wait = {fd, POLLIN, 0};
	char byte;
	return poll(&wait, 1, 0) > 0 && recv(fd, &byte, 1, MSG_DONTWAIT) <= 0;
}

void Tcp::close_write()
{
	shutdown(fd, SHUT_WR);
}

void Tcp::close(bool reset)
{
	linger abortive = {1, 0};

	if (fd < 0)
		return;
	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
	::close(fd);
	fd = -1;
}

TcpListener::TcpListener()
{
	sockaddr_in at = loopback(0);
	socklen_t len = sizeof(at);

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 || listen(fd, 64) != 0 ||
	    getsockname(fd, reinterpret_cast<sockaddr *>(&at), &len) != 0)
		abort();
	port = ntohs(at.sin_port);
}

TcpListener::~TcpListener()
{
	::close(fd);
}

Tcp TcpListener::accept(int timeout_ms)
{
	pollfd wait = {fd, POLLIN, 0};

	if (poll(&wait, 1, timeout_ms) <= 0)
		return Tcp();
	return Tcp(accept4(fd, nullptr, nullptr, SOCK_CLOEXEC));
}
