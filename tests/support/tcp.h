#ifndef TESTS_TCP_H
#define TESTS_TCP_H

#include <cstdint>
#include <string>

/* A blocking TCP connection on loopback for tests, closed with the object. */
class Tcp
{
      public:
	explicit Tcp(int descriptor = -1) : fd(descriptor)
	{
	}
	Tcp(Tcp &&other) noexcept;
	Tcp &operator=(Tcp &&other) noexcept;
	Tcp(const Tcp &) = delete;
	Tcp &operator=(const Tcp &) = delete;
	~Tcp();

	static Tcp connect(uint16_t port, const std::string &ip = "127.0.0.1");
	bool open() const
	{
		return fd >= 0;
	}
	bool send(const std::string &bytes);
	/*
	 * Bytes up to and including the delimiter, or all received bytes if the connection is
	 * closed or the wait times out first.
	 */
	std::string read_until(const std::string &delimiter, int timeout_ms = 5000);
	std::string read_bytes(size_t count, int timeout_ms = 5000);
	/*
	 * Whether the other side closes within the time-out. A reset that arrives before connect()
	 * returns counts: the other side had accepted the connection.
	 */
	bool wait_closed(int timeout_ms = 5000);
	void close(bool reset = false);
	/* Sends no more, and may still receive. */
	void close_write();

	int fd;

      private:
	bool receive(int timeout_ms);

	std::string buffer;
	bool reset_in_connect = false;
};

/* A listening socket on a port chosen by the kernel. */
class TcpListener
{
      public:
	TcpListener();
	~TcpListener();
	TcpListener(const TcpListener &) = delete;
	TcpListener &operator=(const TcpListener &) = delete;

	Tcp accept(int timeout_ms = 5000);
	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port);
	}

	int fd;
	uint16_t port;
};

#endif
