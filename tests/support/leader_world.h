#ifndef TESTS_LEADER_WORLD_H
#define TESTS_LEADER_WORLD_H

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
 * Leaders that come and go, owners that are cut off and restart, messages that
 * are lost, doubled and late, against targets that keep the contract.  After
 * each step no task runs twice; in the end each has ended once.
 */

struct Attempt {
	std::string task;
	uint64_t number = 0;
	bool operator<(const Attempt &other) const
	{
		return task != other.task ? task < other.task : number < other.number;
	}
};

enum class Run {
	running,
	finished,
	stopped
};

/* A target: runs what the highest epoch told it, stops what is not renewed. */
struct Target {
	uint64_t epoch = 0;
	std::map<Attempt, std::pair<Run, uint64_t>> runs; /* with the end of the lease */
};

/* What an owner knows of an attempt under its present epoch. */
struct Held {
	wl_report_kind_t report = WL_REPORT_KINDS;
	bool over = false; /* the report is committed */

	void set(wl_report_kind_t kind)
	{
		over = over && report == kind;
		report = kind;
	}
};

struct Owned {
	uint64_t epoch = 0;
	uint64_t granted_ms = 0;
	uint64_t heard_ms = 0;
	bool adopted = false;
	std::set<Attempt> assigned;
	std::map<Attempt, Held> held;
};

struct Entry {
	std::string name;
	uint64_t boot = 1;
	uint64_t session = 0;
	uint64_t valid_until_ms = 0;
	uint64_t owners_index = 0;
	uint64_t term = 0;
	uint64_t cut_until_ms = 0;
	std::map<std::string, Owned> owned;
};

struct Letter {
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
	std::string left() const;
	void check_ends();

      private:
	uint64_t pick(uint64_t bound)
	{
		return wl_rng_below(&rng, bound);
	}
	void leader_step(wl_event_t *event);
	void lead();
	void to_leader(const std::string &entry, wl_event_t *event);
	void inbox_tick();
	wl_event_t message(const std::string &entry, wl_msg_kind_t kind);
	void deliver(Entry &entry, const wl_msg_t &msg);
	void reported(const std::string &name, const Owned &owned, const Attempt &attempt,
		      uint64_t kind);
	void take_view(Entry &entry, const wl_msg_view_t &view);
	void take_assign(Entry &entry, const wl_msg_assign_t &assign);
	void take_stop(Entry &entry, const wl_msg_stop_t &stop);
	void entry_tick(Entry &entry);
	void owner_tick(Entry &entry, const std::string &name, Owned &owned);
	void adopt(Owned &owned, const std::string &name);
	void report(Entry &entry, const std::string &name, Owned &owned);
	void targets_tick();
	void check_single();
	bool reach(const std::string &target)
	{
		return target_cut[target] <= now_ms;
	}

	StateRig rig;
	wl_metrics_t metrics;
	wl_rng_t rng;
	wl_leader_t *leader = nullptr;
	uint64_t term = 0;
	uint64_t now_ms = 1;
	bool faulty = true;
	std::deque<std::pair<wl_cmd_t, uint64_t>> log;
	std::deque<Letter> letters;
	std::deque<Letter> inbox;
	std::map<std::string, Entry> entries;
	std::map<std::string, Target> targets;
	std::map<std::string, uint64_t> target_cut;
	std::map<std::string, uint64_t> completions;
	std::set<std::string> cancelled;
	uint64_t evictions = 0;
	std::set<std::string> once; /* tasks that are not restartable */
	std::map<std::string, uint64_t> starts;
};

#endif
