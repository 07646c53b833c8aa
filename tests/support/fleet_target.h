#ifndef TESTS_FLEET_TARGET_H
#define TESTS_FLEET_TARGET_H

#include "fleet_record.h"
#include "timeline.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

/* A target that runs tasks for any replica, by the protocol of the platform. */
class FleetTarget
{
      public:
	using Answer = std::function<void(uint64_t status, const std::string &body)>;

	FleetTarget(Timeline &timeline, FleetRecord &seen, size_t index);

	void call(const std::string &path, const std::string &body, const Answer &answer);
	std::string report();
	bool fail_lasting();
	void crash();
	void start_again();
	bool is_up() const;

	const std::string id;
	const std::string address;
	uint64_t report_replica = 0; /* index of the replica for its next report */
	bool report_replica_named = false;

      private:
	struct Run {
		uint64_t number;
		uint64_t cpu_millis;
		bool lasting;
		bool stopping = false;
	};

	struct End {
		uint64_t number;
		std::string task;
		uint64_t run;
		std::string how;
		bool lapsed = false; /* the lease has expired since */
	};

	struct Hold {
		Answer answer;
		uint64_t order;
	};

	struct Order {
		std::string task;
		std::string spec;
		uint64_t run = 0;
		uint64_t deadline_ms = 0;
		uint64_t token = 0;
		uint64_t seen = 0;
		uint64_t wait_ms = 0;
	};

	static Order order_read(const std::string &body);
	uint64_t clock_ms() const;
	uint64_t clock_ms_at(uint64_t ns) const;
	void lease_check(const Order &order);
	void start(const Order &order, const Answer &answer);
	void stop(const Order &order, const Answer &answer);
	void hold(const Order &order, const Answer &answer);
	void hold_answer(const Answer &answer);
	void hold_expire(uint64_t order);
	void accept(const Answer &answer);
	void refuse(const Answer &answer, const char *reason);
	void lease_extend(uint64_t deadline_ms);
	void lease_watch();
	void run_end(const std::string &task, uint64_t run, const std::string &how);

	Timeline &time;
	FleetRecord &record;
	uint64_t clock_first_ms; /* at the time clock_since_ns */
	uint64_t clock_since_ns = 0;
	const uint64_t slow_permille;
	uint64_t life; /* number of its incarnation */
	bool up = true;
	uint64_t token = 0;
	uint64_t lease_ms = 0; /* on the target's clock */
	bool lease_watched = false;
	uint64_t sequence = 0;
	uint64_t next_end = 0;
	uint64_t next_hold = 0;
	uint64_t used_millis = 0;
	std::map<std::string, Run> runs;
	/* highest number of a run that was stopped or has ended */
	std::map<std::string, uint64_t> fenced;
	std::deque<End> ends;
	std::list<Hold> holds;
};

#endif
