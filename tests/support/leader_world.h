#ifndef TESTS_LEADER_WORLD_H
#define TESTS_LEADER_WORLD_H

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "state_rig.h"

extern "C" {
#include <libwlbase/rng.h>
#include <libwlcore/leader/leader.h>
}

/*
 * Simulation of the leader with owners and targets.  Leaders are replaced,
 * owners are partitioned and restarted, and messages are lost, duplicated and
 * delayed; targets obey the protocol.  After each step no task may run on two
 * targets, and at the end each task must have ended.
 */

struct Attempt {
	std::string task;
	uint64_t number = 0;
	bool operator<(const Attempt &other) const
	{
		return task != other.task ? task < other.task : number < other.number;
	}
};

enum class AttemptState {
	running,
	finished,
	stopped
};

/* A target: obeys the highest epoch it has seen, and stops attempts whose lease expires. */
struct Target {
	uint64_t epoch = 0;
	/* state, and the end of the lease in ms */
	std::map<Attempt, std::pair<AttemptState, uint64_t>> runs;
	/* by task: the newest attempt whose end was acknowledged, or that was barred by a stop */
	std::map<std::string, uint64_t> barred;

	void bar(const Attempt &attempt)
	{
		uint64_t &newest = barred[attempt.task];

		newest = std::max(newest, attempt.number);
	}
};

/* An owner's latest report of an attempt under its present epoch. */
struct ReportedAttempt {
	wl_report_kind_t report = WL_REPORT_KINDS;
	bool committed = false;

	void set(wl_report_kind_t kind)
	{
		committed = committed && report == kind;
		report = kind;
	}
};

struct Owned {
	uint64_t epoch = 0;
	uint64_t granted_ms = 0;
	uint64_t last_contact_ms = 0;
	bool adopted = false;
	std::set<Attempt> assigned;
	std::map<Attempt, ReportedAttempt> reports;
};

struct Entry {
	std::string name;
	uint64_t boot = 1;
	uint64_t session = 0;
	uint64_t valid_until_ms = 0;
	uint64_t owners_index = 0;
	uint64_t term = 0;
	uint64_t partitioned_until_ms = 0;
	std::map<std::string, Owned> owned;
};

struct DelayedMessage {
	uint64_t at_ms;
	std::string entry;
	wl_msg_t msg;
};

class LeaderWorld
{
      public:
	explicit LeaderWorld(uint64_t seed);
	~LeaderWorld();
	void run(uint64_t until_ms, bool faults);
	std::string unfinished() const;
	void check_outcomes();

      private:
	uint64_t pick(uint64_t bound)
	{
		return wl_rng_below(&rng, bound);
	}
	void leader_step(wl_event_t *event);
	void lead();
	void to_leader(const std::string &entry, wl_event_t *event);
	void deliver_delayed();
	wl_event_t message(const std::string &entry, wl_msg_kind_t kind);
	void deliver(Entry &entry, const wl_msg_t &msg);
	void handle_reported(const std::string &name, const Owned &owned, const Attempt &attempt,
			     uint64_t kind);
	void handle_view(Entry &entry, const wl_msg_view_t &view);
	void handle_assign(Entry &entry, const wl_msg_assign_t &assign);
	void handle_stop(Entry &entry, const wl_msg_stop_t &stop);
	void entry_tick(Entry &entry);
	void owner_tick(Entry &entry, const std::string &name, Owned &owned);
	void adopt(Owned &owned, const std::string &name);
	void report(Entry &entry, const std::string &name, Owned &owned);
	void targets_tick();
	void check_no_double_run();
	bool reachable(const std::string &target)
	{
		return target_partitioned_until_ms[target] <= now_ms;
	}

	StateRig rig;
	wl_metrics_t metrics;
	wl_rng_t rng;
	wl_leader_t *leader = nullptr;
	uint64_t term = 0;
	uint64_t now_ms = 1;
	bool faults_enabled = true;
	std::deque<std::pair<wl_cmd_t, uint64_t>> log;
	std::deque<DelayedMessage> to_entries;
	std::deque<DelayedMessage> to_leader_delayed;
	std::map<std::string, Entry> entries;
	std::map<std::string, Target> targets;
	std::map<std::string, uint64_t> target_partitioned_until_ms;
	std::map<std::string, uint64_t> completions;
	std::set<std::string> cancelled;
	uint64_t evictions = 0;
	std::set<std::string> not_restartable; /* tasks */
	std::map<std::string, uint64_t> starts;
};

#endif
