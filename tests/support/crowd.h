#ifndef TESTS_CROWD_H
#define TESTS_CROWD_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/* Many connections to one listener that send prepared bytes, as far as these are read. */
class Crowd
{
      public:
	Crowd(uint16_t port, size_t count);
	~Crowd();
	Crowd(const Crowd &) = delete;
	Crowd &operator=(const Crowd &) = delete;

	/*
	 * Each connection sends the bytes, at most @piece of them in turn (0: as many as possible),
	 * until all have sent them or are closed, and the other side has received them, or none
	 * gets on for IDLE_MS.
	 */
	void send(const std::string &bytes, size_t piece = 0);
	size_t open() const;

      private:
	static constexpr int IDLE_MS = 3000;
	static constexpr int PAUSE_MS = 10;

	bool turn(const std::string &bytes, size_t piece);
	size_t unread() const;
	void wait_read() const;

	struct Member {
		int fd;
		size_t sent;
	};

	std::vector<Member> members;
};

/* A figure of /proc/PID/status, in KiB, such as VmRSS or VmHWM. */
uint64_t process_kib(int pid, const std::string &name);
/* Starts VmHWM anew. */
void process_peak_reset(int pid);
size_t process_descriptors(int pid);

#endif
