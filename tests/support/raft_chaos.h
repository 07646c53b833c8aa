#ifndef TESTS_RAFT_CHAOS_H
#define TESTS_RAFT_CHAOS_H

#include "raft_bus.h"

#include <gtest/gtest.h>

/* One run with random faults; deterministic for a seed. */
class Chaos
{
      public:
	explicit Chaos(uint64_t seed) : bus(seed), random(seed * 7919 + 1)
	{
		bus.compact_entries = 20 + below(60);
		bus.chunk_bytes = 16 + below(200);
		bus.drop_permille = static_cast<uint32_t>(below(120));
		bus.duplicate_permille = static_cast<uint32_t>(below(120));
		bus.jitter_ns = below(40) * MS;
		bus.delayed_permille = static_cast<uint32_t>(below(3) * 10);
		names = {"a", "b", "c"};
		if (seed % 4 == 0)
			names.insert(names.end(), {"d", "e"});
		bus.add(names);
	}

	uint64_t below(uint64_t bound)
	{
		return random() % bound;
	}

	const std::string &random_name()
	{
		return names[below(names.size())];
	}

	size_t down()
	{
		size_t count = 0;

		for (auto &item : bus.nodes)
			count += item.second.raft == nullptr;
		return count;
	}

	void start_crashed()
	{
		for (const auto &name : names)
			if (!bus.node(name).raft)
				bus.start(name);
	}

	void isolate(const std::string &name)
	{
		for (const auto &other : names)
			if (other != name)
				bus.cut(name, other);
	}

	/* Whether the current leader has removed the id of the last wiped disk from the members. */
	bool replaced()
	{
		std::string leader = bus.leader();
		wl_buf_t json = {};
		bool there;
		char id[32];

		if (!lost_id)
			return true;
		if (leader.empty())
			return false;
		snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(lost_id));
		wl_raft_members_json(bus.node(leader).raft, &json);
		there = std::string(json.at).find(id) != std::string::npos;
		wl_buf_free(&json);
		return !there;
	}

	/*
	 * Wipes a disk only after the replica of the last wiped one is replaced, since the log
	 * tolerates one lost disk at a time.
	 */
	void wipe_random()
	{
		const std::string &name = random_name();

		if (bus.committed.empty() || !replaced())
			return;
		lost_id = bus.node(name).disk->id;
		bus.crash(name);
		bus.wipe(name);
		bus.start(name);
	}

	void fault()
	{
		wl_raft_event_t event = {};

		switch (below(10)) {
		case 0:
		case 1:
			bus.crash(random_name());
			break;
		case 2:
		case 3:
			start_crashed();
			break;
		case 4:
			bus.cut(random_name(), random_name());
			break;
		case 5:
			isolate(random_name());
			break;
		case 6:
			bus.heal();
			break;
		case 7:
			bus.node(random_name()).sync_ns = 1 + below(60) * MS;
			break;
		case 8:
			event.kind = WL_RAFT_EV_HAND_OVER;
			bus.event(random_name(), event);
			break;
		case 9:
			bus.cut_one_way(random_name(), random_name());
			break;
		}
	}

	void propose_random()
	{
		std::string to = below(10) ? bus.leader() : random_name();

		for (uint64_t i = below(4); i > 0 && !to.empty(); i--)
			bus.propose(to, "d" + std::to_string(++proposals));
	}

	void run(uint64_t rounds, bool wipes)
	{
		for (uint64_t i = 0; i < rounds && bus.fault.empty(); i++) {
			bus.run(10 + below(60));
			propose_random();
			if (below(8) == 0)
				fault();
			if (wipes && below(120) == 0)
				wipe_random();
		}
	}

	void settle(uint64_t ms)
	{
		bus.drop_permille = 0;
		bus.duplicate_permille = 0;
		bus.delayed_permille = 0;
		bus.heal();
		start_crashed();
		for (auto &item : bus.nodes)
			item.second.sync_ns = MS;
		bus.run(ms);
		bus.check_logs();
		bus.check_verdicts();
	}

	void expect_agreement()
	{
		std::string leader = bus.leader();

		ASSERT_NE(leader, "") << "no leader after the end of the faults";
		EXPECT_GE(wl_raft_commit_index(bus.node(leader).raft),
			  bus.committed.rbegin()->first);
		for (auto &item : bus.nodes)
			EXPECT_EQ(item.second.state, bus.node(leader).state) << item.first;
	}

	RaftBus bus;
	std::vector<std::string> names;
	uint64_t proposals = 0;

      private:
	std::mt19937_64 random;
	uint64_t lost_id = 0;
};

#endif
