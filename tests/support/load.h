#ifndef TESTS_LOAD_H
#define TESTS_LOAD_H

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

/* One request of the load and how it ended. */
struct Sent {
	std::string id;
	std::string entry;
	bool post;
	Answer answer;
};

/*
 * Callers behind a balancer: each sends one request after another, GET and POST in turn, to
 * entries that answer /readyz with 200.  Ids are unique, so that the targets' record tells how
 * often each ran.
 */
class Load
{
      public:
	explicit Load(Cluster &cluster, int callers = 8);
	~Load();

	/* Waits until so many requests more were answered with 200. */
	bool progress(size_t more, int timeout_ms = 30000);
	/* Ends the load, then checks every request against the targets' record. */
	void finish();
	size_t served() const
	{
		return count_200;
	}

	/* After finish(). */
	std::vector<Sent> all;
	size_t refused = 0; /* answered with not-run */
	size_t unknown =
		0;	/* answered with unknown, or no whole answer to a request that was sent */
	size_t cut = 0; /* no whole answer to a request that was sent */

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
