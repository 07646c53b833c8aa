#include "crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "process.h"

Crowd::Crowd(uint16_t port, size_t count)
{
	sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (size_t i = 0; i < count; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

		if (fd < 0)
			continue;
		if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) < 0 &&
		    errno != EINPROGRESS) {
			close(fd);
			continue;
		}
		members.push_back({fd, 0});
	}
}

Crowd::~Crowd()
{
	for (const auto &member : members)
		if (member.fd >= 0)
			close(member.fd);
}

/* Returns whether any connection has got on. */
bool Crowd::turn(const std::string &bytes, size_t piece)
{
	bool progress = false;

	for (auto &member : members) {
		size_t left = bytes.size() - member.sent;
		size_t most = piece ? std::min(piece, left) : left;

		if (member.fd < 0 || most == 0)
			continue;
		ssize_t n = ::send(member.fd, bytes.data() + member.sent, most, MSG_NOSIGNAL);
		if (n > 0) {
			member.sent += static_cast<size_t>(n);
			progress = true;
		} else if (errno != EAGAIN && errno != ENOTCONN) {
			close(member.fd);
			member.fd = -1;
			progress = true;
		}
	}
	return progress;
}

void Crowd::send(const std::string &bytes, size_t piece)
{
	for (auto &member : members)
		member.sent = 0;
	for (int idle_ms = 0; idle_ms < IDLE_MS;) {
		bool done = std::all_of(members.begin(), members.end(), [&](const Member &one) {
			return one.fd < 0 || one.sent == bytes.size();
		});

		if (done)
			break;
		if (turn(bytes, piece)) {
			idle_ms = 0;
			continue;
		}
		poll(nullptr, 0, PAUSE_MS);
		idle_ms += PAUSE_MS;
	}
	wait_read();
}

/* Bytes sent that the other side has not received. */
size_t Crowd::unread() const
{
	size_t sum = 0;

	for (const auto &member : members) {
		int bytes = 0;

		if (member.fd >= 0 && ioctl(member.fd, SIOCOUTQ, &bytes) == 0)
			sum += static_cast<size_t>(bytes);
	}
	return sum;
}

void Crowd::wait_read() const
{
	size_t left = unread();

	for (int idle_ms = 0; left > 0 && idle_ms < IDLE_MS; idle_ms += PAUSE_MS) {
		poll(nullptr, 0, PAUSE_MS);
		if (unread() != left)
			idle_ms = 0;
		left = unread();
	}
}

size_t Crowd::open() const
{
	return static_cast<size_t>(std::count_if(members.begin(), members.end(),
						 [](const Member &one) { return one.fd >= 0; }));
}

uint64_t process_kib(int pid, const std::string &name)
{
	std::istringstream lines(file_read("/proc/" + std::to_string(pid) + "/status"));
	std::string word;
	uint64_t kib = 0;

	while (lines >> word)
		if (word == name + ":" && lines >> kib)
			return kib;
	return 0;
}

void process_peak_reset(int pid)
{
	std::ofstream("/proc/" + std::to_string(pid) + "/clear_refs") << "5";
}

size_t process_descriptors(int pid)
{
	auto folder = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd");

	return static_cast<size_t>(std::distance(begin(folder), end(folder)));
}
