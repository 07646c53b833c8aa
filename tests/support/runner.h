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
	using Time = std::chrono::steady_clock::time_point;

	/* @stop_ms: from a stop order to the end of the task */
	Runner(std::string name, uint64_t task_ms, uint64_t stop_ms = 0);
	~Runner();
	Runner(const Runner &) = delete;
	Runner &operator=(const Runner &) = delete;

	/* Sends a heartbeat to a daemon and returns the HTTP status. */
	uint64_t report(const std::string &control_address);

	/* Number of completions by task. */
	std::map<std::string, int> done();
	/* Number of starts of the tasks of a job. */
	size_t started(const std::string &job);
	size_t running_now(const std::string &job);
	/* When the last task of a job ended; the zero time if none has. */
	Time last_end(const std::string &job);
	/* The highest fencing token received. */
	uint64_t token();

      private:
	struct Run {
		uint64_t number = 0;
		Time ends;
		bool stopping = false;
	};
	struct End {
		uint64_t number = 0;
		std::string task;
		uint64_t run = 0;
		std::string how;
	};

	bool is_stopping();
	void accept_connections();
	void handle_connection(Tcp connection);
	std::string answer(const std::string &path, const std::string &body);
	std::string accepted() const;
	std::string start(const std::string &body);
	std::string stop(const std::string &body);
	std::string poll_answer(uint64_t seen);
	void run_tasks();
	uint64_t clock_ms() const;

	const std::string name;
	const std::chrono::milliseconds task_time;
	const std::chrono::milliseconds stop_time;
	const std::chrono::steady_clock::time_point start_time;
	const uint64_t start_unix_ms;
	TcpListener listener;
	std::mutex lock;
	std::condition_variable ended;
	bool stopping = false;
	std::map<std::string, Run> running;
	std::map<std::string, uint64_t> barred; /* newest run of a task that was stopped or ended */
	std::vector<End> ends;
	std::map<std::string, int> done_counts;
	std::vector<std::string> starts; /* tasks */
	std::vector<std::pair<std::string, Time>> end_times;
	uint64_t highest_token = 0;
	uint64_t sequence = 0;
	std::list<std::thread> connections;
	std::thread serving;
	std::thread working;
};

#endif
