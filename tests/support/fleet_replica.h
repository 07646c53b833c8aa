#ifndef TESTS_FLEET_REPLICA_H
#define TESTS_FLEET_REPLICA_H

#include "timeline.h"

extern "C" {
#include <libwlcore/node/node.h>
}

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

/* An outgoing HTTP call of a replica. */
struct FleetCall {
	uint64_t id;
	std::string address;
	std::string path;
	std::string body;
	uint64_t until_ns; /* deadline */
};

/* CPU time on a replica's machine. */
struct FleetCosts {
	uint64_t event_ns; /* processing of an event */
	uint64_t call_ns;  /* an HTTP call, outgoing or incoming */
};

/*
 * A replica of the store: the node of a daemon with a simulated disk and a simulated CPU,
 * which the threads of the daemon share evenly.
 */
class FleetReplica
{
      public:
	FleetReplica(Timeline &timeline, const std::vector<std::string> &names, size_t index,
		     const FleetCosts &costs, const std::string &dispatch);
	~FleetReplica();
	FleetReplica(const FleetReplica &) = delete;
	FleetReplica &operator=(const FleetReplica &) = delete;

	void start();
	void kill();
	void freeze(uint64_t ms);
	void fill_disk(uint64_t ms);
	void event(wl_event_t *event);
	bool is_up() const;
	uint64_t busy_ns() const;

	const std::string name;
	uint64_t term = 0; /* of its leadership; 0: it does not lead */
	size_t batch = 0;  /* queued events processed before a tick that is due */

	std::function<void(const std::string &to, const std::string &bytes)> on_send;
	std::function<void(const FleetCall &call)> on_call;
	std::function<void(const FleetCall &call)> on_unsent;
	std::function<void(uint64_t call)> on_cancel;
	std::function<void(uint64_t call, uint64_t status, const std::string &body)> on_reply;
	std::function<void(const std::string &line)> on_log;

      private:
	struct Effects {
		std::vector<std::pair<std::string, std::string>> sends;
		std::vector<FleetCall> calls;
		std::vector<uint64_t> cancels; /* calls */
		std::vector<uint64_t> tickets;
		struct Reply {
			uint64_t call;
			uint64_t status;
			std::string body;
		};
		std::vector<Reply> replies;
		std::vector<uint64_t> checks; /* of callers, which all wait */
	};

	/* Each thread processes its queue in order. */
	enum Thread {
		DECIDE,
		CALL,
		SERVE,
		THREADS
	};

	bool has_work(Thread thread) const;
	void wake(Thread thread);
	void work();
	void work_next(Thread thread);
	void wait_for_tick();
	void decide();
	void calls_expire();
	void call_unsent(const FleetCall &call);
	void cancel(uint64_t id);
	void call();
	void serve();
	void occupy(Thread thread, uint64_t ns, std::function<void()> then);
	void finish(const std::function<void()> &then);
	void take(wl_action_t *action, Effects *effects);
	void log(const std::string &line);
	void apply(const Effects &effects);
	void sync();
	void synced(const std::vector<uint64_t> &tickets);

	Timeline &time;
	const FleetCosts costs;
	std::vector<wl_node_peer_t> stores;
	std::string task_chart;
	std::string target_chart;
	const std::string dispatch;
	wl_raft_saved_t saved = {};
	wl_node_options_t options = {};
	wl_node_t *node = nullptr;
	std::deque<wl_event_t> events;
	std::deque<FleetCall> calls;
	std::deque<wl_event_t> served;	/* incoming calls; the first one is being processed */
	std::vector<uint64_t> unsynced; /* tickets */
	bool syncing = false;
	bool busy = false;
	bool waking = false;
	/*
	 * CPU time by thread. A thread that wakes up continues from least_used_ns: it gets no
	 * credit for having slept.
	 */
	uint64_t used_ns[THREADS] = {};
	uint64_t least_used_ns = 0;
	uint64_t spent_ns = 0;
	uint64_t next_tick_ns = 0;
	uint64_t frozen_until_ns = 0;
	uint64_t disk_full_until_ns = 0;
	size_t batched = 0; /* events processed since the last tick */
};

#endif
