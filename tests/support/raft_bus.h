#ifndef TESTS_RAFT_BUS_H
#define TESTS_RAFT_BUS_H

extern "C" {
#include <libwlcore/raft/raft.h>
}

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

static const uint64_t MS = 1000000;

/* Simulated disk of a replica; only synced changes are applied to it. */
class FakeDisk
{
      public:
	FakeDisk() = default;
	~FakeDisk();
	FakeDisk(const FakeDisk &) = delete;
	FakeDisk &operator=(const FakeDisk &) = delete;

	void apply(const wl_raft_persist_t &persist);
	void copy_to(wl_raft_saved_t *saved) const;
	const wl_raft_entry_t *entry(uint64_t index) const;
	uint64_t last_index() const;

	uint64_t id = 0;
	wl_raft_saved_t stored = {};

      private:
	void compact(const wl_raft_persist_t &persist);
};

struct BusNode {
	std::string name;
	std::unique_ptr<FakeDisk> disk;
	wl_raft_t *raft = nullptr;
	std::deque<std::pair<uint64_t, wl_raft_persist_t>> persists; /* due time, change */
	std::vector<std::string> state;				     /* applied data entries */
	uint64_t applied = 0;
	uint64_t sync_ns = MS;
};

/*
 * Replicas with a simulated network and simulated disks.  The invariants of the log are checked
 * while they run; the first violation is kept in fault.
 */
class RaftBus
{
      public:
	explicit RaftBus(uint64_t seed);
	~RaftBus();

	void add(const std::vector<std::string> &names);
	void start(const std::string &name);
	void crash(const std::string &name);
	void wipe(const std::string &name);
	void cut(const std::string &a, const std::string &b);
	void cut_one_way(const std::string &from, const std::string &to);
	void heal();
	void run(uint64_t ms);
	void propose(const std::string &name, const std::string &data);
	void event(const std::string &name, const wl_raft_event_t &event);
	void check_logs();
	void check_verdicts();

	BusNode &node(const std::string &name);
	std::string leader() const;

	std::map<std::string, BusNode> nodes;
	std::vector<std::string> names;
	/* Hooks for tests that write real files in addition to the simulated disks. */
	std::function<void(const BusNode &, const wl_raft_persist_t &)> on_persist;
	std::function<void(const BusNode &)> on_start;
	/* Whether a due write succeeds; it is retried after FULL_RETRY_NS until it does. */
	std::function<bool(const BusNode &, const wl_raft_persist_t &)> try_persist;
	std::function<void(const BusNode &)> on_crash;

	uint64_t now_ns = 1000 * MS;
	uint64_t delay_ns = MS;
	uint32_t drop_permille = 0;
	uint32_t duplicate_permille = 0;
	uint64_t jitter_ns = 0;
	uint32_t delayed_permille = 0;	/* messages delayed by up to MAX_DELAY_NS */
	std::vector<std::string> seeds; /* empty: the settings name all replicas */
	uint64_t max_voters = 0;	/* with seeds */
	std::set<std::string> never_found;
	uint64_t replace_ms = 0;
	uint64_t compact_entries = 0;
	uint64_t chunk_bytes = 0;

	std::map<uint64_t, std::pair<uint64_t, std::string>> committed; /* index: term, data */
	std::set<uint64_t> groups;		  /* groups that have had a leader */
	std::map<uint64_t, std::string> outcomes; /* by tag */
	std::map<uint64_t, std::string> proposed; /* data by tag */
	std::string fault;			  /* first violated invariant */

      private:
	struct InFlight {
		uint64_t due;
		uint64_t order;
		std::string from;
		std::string to;
		std::string bytes;
	};

	void step(BusNode &node, const wl_raft_event_t &event);
	void act(BusNode &node, wl_raft_action_t &action);
	void send(const BusNode &node, const wl_raft_action_t &action);
	void on_commit(BusNode &node, const wl_raft_entry_t &entry);
	void on_restore(BusNode &node, const wl_raft_action_t &action);
	void on_lead(const BusNode &node, uint64_t term);
	void sync_due(BusNode &node);
	void check_lease();
	void deliver_due();
	bool is_cut(const std::string &from, const std::string &to) const;
	void record_fault(const std::string &what);

	std::mt19937_64 random;
	std::vector<InFlight> in_flight;
	std::set<std::pair<std::string, std::string>> cuts;
	std::map<uint64_t, uint64_t> leaders; /* leader id of each term */
	uint64_t order = 0;
	uint64_t next_id = 1;
	uint64_t next_tag = 1;
};

#endif
