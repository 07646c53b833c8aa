#ifndef TESTS_RUNNER_H
#define TESTS_RUNNER_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tcp.h"

/*
 * A target that runs tasks, in the platform's dialect: it takes starts, stops
 * and holds over HTTP, refuses older fencing tokens, ends every task after its
 * time, and says what it ran.
 * It says so of itself only when report() is called.
 */
class Runner
{
      public:
	Runner(std::string name, uint64_t task_ms);
	~Runner();
	Runner(const Runner &) = delete;
	Runner &operator=(const Runner &) = delete;

	/* Tells a daemon of itself; the status of the answer. */
	uint64_t report(const std::string &control_address);

	/* How often a task ended as done, by task. */
	std::map<std::string, int> done();
	/* The highest fencing token that came. */
	uint64_t token();

      private:
	struct Run {
		uint64_t number = 0;
		std::chrono::steady_clock::time_point ends;
	};
	struct End {
		uint64_t number = 0;
		std::string task;
		uint64_t run = 0;
	};

	bool is_over();
	void serve();
	void talk(Tcp connection);
	std::string answer(const std::string &path, const std::string &body);
	std::string taken() const;
	std::string start(const std::string &body);
	std::string lists(uint64_t seen);
	void work();
	uint64_t clock_ms() const;

	const std::string name;
	const std::chrono::milliseconds task_time;
	const std::chrono::steady_clock::time_point born;
	const uint64_t born_unix_ms;
	TcpListener listener;
	std::mutex lock;
	std::condition_variable ended;
	bool over = false;
	std::map<std::string, Run> running;
	std::vector<End> ends;
	std::map<std::string, int> done_counts;
	uint64_t highest_token = 0;
	uint64_t sequence = 0;
	std::list<std::thread> talks;
	std::thread serving;
	std::thread working;
};

#endif
