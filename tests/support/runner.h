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
 * A simulated target that speaks the platform's protocol. It accepts starts, stops and long polls
 * (holds) over HTTP, rejects stale fencing tokens, ends every task after a fixed run time and
 * reports completions. It sends heartbeats only when report() is called.
 */
class Runner
{
      public:
	Runner(std::string name, uint64_t task_ms);
	~Runner();
	Runner(const Runner &) = delete;
	Runner &operator=(const Runner &) = delete;

	/* Sends a heartbeat to a daemon and returns the HTTP status. */
	uint64_t report(const std::string &control_address);

	/* Number of completions by task. */
	std::map<std::string, int> done();
	/* The highest fencing token received. */
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

	bool is_stopping();
	void accept_connections();
	void handle_connection(Tcp connection);
	std::string answer(const std::string &path, const std::string &body);
	std::string accepted() const;
	std::string start(const std::string &body);
	std::string poll_answer(uint64_t seen);
	void run_tasks();
	uint64_t clock_ms() const;

	const std::string name;
	const std::chrono::milliseconds task_time;
	const std::chrono::steady_clock::time_point start_time;
	const uint64_t start_unix_ms;
	TcpListener listener;
	std::mutex lock;
	std::condition_variable ended;
	bool stopping = false;
	std::map<std::string, Run> running;
	std::vector<End> ends;
	std::map<std::string, int> done_counts;
	uint64_t highest_token = 0;
	uint64_t sequence = 0;
	std::list<std::thread> connections;
	std::thread serving;
	std::thread working;
};

#endif
