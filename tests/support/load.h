#ifndef TESTS_LOAD_H
#define TESTS_LOAD_H

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

/* One request of the load and its outcome. */
struct Sent {
	std::string id;
	std::string entry;
	bool post;
	Answer answer;
};

/*
 * Concurrent callers behind a load balancer. Each caller sends one request at a time, alternating
 * GET and POST, to entries whose /readyz returns 200. Request ids are unique, so that the targets'
 * record shows how often each request ran.
 */
class Load
{
      public:
	explicit Load(Cluster &cluster, int callers = 8);
	~Load();

	/* Waits until this many more requests were answered with 200. */
	bool progress(size_t more, int timeout_ms = 30000);
	/* Stops the load and checks every request against the targets' record. */
	void finish();
	size_t served() const
	{
		return count_200;
	}

	/* The members below are valid after finish(). */
	std::vector<Sent> all;
	size_t refused = 0; /* answered with not-run */
	/* answered with unknown, or without a complete answer after the request was sent */
	size_t unknown = 0;
	size_t incomplete = 0; /* without a complete answer after the request was sent */

      private:
	void call(int caller);
	void balance();
	Member *pick(size_t turn);
	void check(const Sent &sent, int runs);

	Cluster &cluster;
	std::atomic<bool> stopping{false};
	std::atomic<size_t> count_200{0};
	std::mutex lock;
	std::vector<Member *> ready; /* under the lock */
	std::vector<std::thread> threads;
};

#endif
