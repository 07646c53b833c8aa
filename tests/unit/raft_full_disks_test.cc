#include "../support/process.h"
#include "../support/raft_chaos.h"

extern "C" {
#include <libwlstore/store.h>
}

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <unistd.h>

/*
 * Replace the functions of the C library: only processes end in these runs, no machine loses power,
 * and thousands of syncs would take minutes on a busy disk.
 */
extern "C" int fsync(int)
{
	return 0;
}

extern "C" int fdatasync(int)
{
	return 0;
}

/*
 * The disks of the replicas are full in turn, never two at once.  Each replica writes real files,
 * with the retries of the daemon's disk thread.
 */

static const uint64_t RUNS = 12; /* unless WL_FULL_DISK_RUNS says otherwise */
static const uint64_t STEP_MS = 10;
static const uint64_t SETTLED_MS = 6000; /* after the last fault until a change is acknowledged */
static const uint64_t START_RETRY_MS = 300; /* of the supervisor */

struct StoreDisk {
	std::string folder;
	wl_store_t *store = nullptr;
	bool written = false;  /* the change in flight is written, but not synced */
	uint64_t cut_from = 0; /* index from which the change in flight voids entries, or zero */
	bool full = false;
	size_t room = 0; /* bytes that a full disk still takes */
	uint64_t start_ms = 0;
	uint64_t refusals = 0;
};

class FullDisks
{
      public:
	FullDisks(uint64_t seed, const std::vector<std::string> &replicas, size_t voters)
	    : bus(seed), random(seed * 7919 + 3), folder(folder_make())
	{
		bus.compact_entries = 20 + below(100);
		bus.chunk_bytes = 2048 + below(8192);
		bus.jitter_ns = below(5) * MS;
		bus.add(replicas);
		if (voters < replicas.size()) {
			bus.seeds = {"a", "b", "c"};
			bus.max_voters = voters;
			bus.replace_ms = 2000;
		}
		bus.on_start = [this](const BusNode &node) { store_opened(node); };
		bus.on_crash = [this](const BusNode &node) { store_close(node.name); };
		bus.try_persist = [this](const BusNode &node, const wl_raft_persist_t &persist) {
			return store_put(node.name, persist);
		};
	}

	~FullDisks()
	{
		for (const auto &name : bus.names)
			bus.crash(name);
		bus.on_crash = nullptr;
		std::filesystem::remove_all(folder);
	}

	uint64_t below(uint64_t bound)
	{
		return random() % bound;
	}

	void start_all()
	{
		for (const auto &name : bus.names)
			try_start(name);
	}

	/* One disk is full from the start. */
	void found_full()
	{
		const std::string &name = bus.names[below(bus.names.size())];

		fill(name);
		start_all();
		run(500 + below(2000));
		free_space(name);
	}

	/* Opens the store first, as the daemon does: a process whose store does not open ends. */
	void try_start(const std::string &name)
	{
		StoreDisk &disk = disks[name];
		wl_store_options_t options = {};
		wl_err_t err = {};

		disk.folder = folder + "/" + name;
		options.folder = {disk.folder.data(), disk.folder.size()};
		options.segment_bytes = 4000;
		options.write_at = write_at;
		writing = &disk;
		disk.store = wl_store_open(&options, &opened, &err);
		writing = nullptr;
		if (disk.store) {
			bus.start(name);
			return;
		}
		EXPECT_EQ(err.code, WL_E_DISK_FULL) << name << ": " << err.text;
		failed_starts++;
		disk.start_ms = now_ms() + START_RETRY_MS;
	}

	void kill(const std::string &name, uint64_t down_ms)
	{
		bus.crash(name);
		disks[name].start_ms = now_ms() + down_ms;
		kills++;
	}

	void fill(const std::string &name)
	{
		for (const auto &item : disks)
			ASSERT_FALSE(item.second.full) << "two full disks at once";
		disks[name].full = true;
		disks[name].room = below(2) ? below(600) : 0;
	}

	void free_space(const std::string &name)
	{
		disks[name].full = false;
	}

	void run(uint64_t ms)
	{
		for (uint64_t end = now_ms() + ms; now_ms() < end;) {
			std::string leader = bus.leader();

			for (const auto &name : bus.names)
				if (!bus.node(name).raft && now_ms() >= disks[name].start_ms)
					try_start(name);
			if (!leader.empty() && below(3) == 0)
				bus.propose(leader, "d" + std::to_string(++proposals) +
							    std::string(below(60), 'x'));
			bus.run(STEP_MS);
			if (bus.committed.size() != committed) {
				committed = bus.committed.size();
				committed_ms = now_ms();
			}
			longest_ms = std::max(longest_ms, now_ms() - committed_ms);
		}
	}

	/* One disk is full for a time; the replica may restart in it, and get room for a moment. */
	void fill_for(const std::string &name, uint64_t ms, bool restart, bool again)
	{
		ASSERT_NO_FATAL_FAILURE(fill(name));
		run(ms / 2);
		if (restart)
			kill(name, below(500));
		run(ms / 2);
		free_space(name);
		if (!again)
			return;
		run(STEP_MS * (1 + below(15)));
		ASSERT_NO_FATAL_FAILURE(fill(name));
		run(500 + below(1500));
		if (restart)
			kill(name, below(500));
		run(500 + below(1500));
		free_space(name);
	}

	uint64_t now_ms() const
	{
		return bus.now_ns / MS;
	}

	RaftBus bus;
	std::map<std::string, StoreDisk> disks;
	uint64_t proposals = 0;
	uint64_t committed_ms = 0;
	uint64_t longest_ms = 0; /* between two commits */
	uint64_t failed_starts = 0;
	uint64_t kills = 0;

      private:
	static ssize_t write_at(int fd, const void *bytes, size_t len, off_t offset)
	{
		size_t fits = std::min(len, writing->room);

		if (!writing->full)
			return pwrite(fd, bytes, len, offset);
		writing->refusals++;
		if (fits == 0) {
			errno = ENOSPC;
			return -1;
		}
		writing->room -= fits;
		return pwrite(fd, bytes, fits, offset);
	}

	/*
	 * The replica starts with what its files hold, which is at least what was synced and not
	 * voided by the change in flight.
	 */
	void store_opened(const BusNode &node)
	{
		wl_raft_saved_t &synced = node.disk->stored;
		uint64_t &cut_from = disks[node.name].cut_from;
		uint64_t kept = cut_from ? cut_from - 1 : node.disk->last_index();

		EXPECT_GE(opened.term, synced.term) << node.name;
		EXPECT_TRUE(opened.term > synced.term || !synced.vote || opened.vote == synced.vote)
			<< node.name;
		EXPECT_GE(opened.snapshot_index, synced.snapshot_index) << node.name;
		EXPECT_GE(opened.snapshot_index + opened.entries.count, kept) << node.name;
		wl_raft_saved_free(&synced);
		synced = opened;
		opened = {};
		cut_from = 0;
	}

	void store_close(const std::string &name)
	{
		wl_store_close(disks[name].store);
		disks[name].store = nullptr;
		disks[name].written = false;
	}

	/* As in the disk thread, a write that succeeded is not repeated before its sync. */
	bool store_put(const std::string &name, const wl_raft_persist_t &persist)
	{
		StoreDisk &disk = disks[name];
		wl_err_t err = {};
		bool ok;

		writing = &disk;
		disk.cut_from = persist.truncate_from;
		disk.written = disk.written || wl_store_write(disk.store, &persist, &err);
		ok = disk.written && wl_store_sync(disk.store, &err);
		writing = nullptr;
		EXPECT_TRUE(ok || err.code == WL_E_DISK_FULL) << name << ": " << err.text;
		if (!ok)
			return false;
		disk.written = false;
		disk.cut_from = 0;
		return true;
	}

	static StoreDisk *writing;

	std::mt19937_64 random;
	std::string folder;
	wl_raft_saved_t opened = {};
	size_t committed = 0;
};

StoreDisk *FullDisks::writing = nullptr;

struct FullDisksCase {
	const char *name;
	std::vector<std::string> replicas;
	size_t voters;
};

class RaftFullDisks : public testing::TestWithParam<FullDisksCase>
{
      protected:
	static uint64_t runs()
	{
		const char *more = getenv("WL_FULL_DISK_RUNS");

		return more ? strtoull(more, nullptr, 10) : RUNS;
	}

	/* A change sent now is committed within the bound, and all replicas follow. */
	static void expect_settled(FullDisks *group)
	{
		uint64_t start_ms = group->now_ms();
		RaftBus &bus = group->bus;

		group->run(SETTLED_MS);
		ASSERT_NE(bus.leader(), "");
		bus.propose(bus.leader(), "last");
		bus.run(1000);
		EXPECT_EQ(bus.outcomes.rbegin()->second, "committed");
		EXPECT_GT(group->committed_ms, start_ms);
		bus.check_logs();
		bus.check_verdicts();
		EXPECT_EQ(bus.fault, "");
		for (auto &item : bus.nodes)
			EXPECT_TRUE(item.second.state == bus.node(bus.leader()).state)
				<< item.first << " applied " << item.second.applied << " of "
				<< bus.node(bus.leader()).applied;
	}
};

TEST_P(RaftFullDisks, ChangesAreCommittedAfterwards)
{
	uint64_t longest_ms = 0;
	uint64_t refusals = 0;
	uint64_t failed_starts = 0;
	uint64_t kills = 0;

	for (uint64_t seed = 1; seed <= runs() && !HasFailure(); seed++) {
		FullDisks group(seed, GetParam().replicas, GetParam().voters);
		bool restarts = seed % 2 == 0;

		if (seed % 3 == 0)
			group.found_full();
		else
			group.start_all();
		group.run(4000);
		for (uint64_t rounds = 1 + group.below(2); rounds > 0; rounds--) {
			std::vector<std::string> order = group.bus.names;

			for (size_t i = order.size(); i > 1; i--)
				std::swap(order[i - 1], order[group.below(i)]);
			if (group.below(2) && !group.bus.leader().empty())
				order.push_back(group.bus.leader());
			for (const auto &name : order) {
				bool leads = group.below(4) == 0 && !group.bus.leader().empty();

				ASSERT_NO_FATAL_FAILURE(group.fill_for(
					leads ? group.bus.leader() : name, 500 + group.below(4000),
					restarts && group.below(2), group.below(2)));
				group.run(group.below(3) ? group.below(100) * STEP_MS : 0);
			}
		}
		ASSERT_NO_FATAL_FAILURE(expect_settled(&group)) << "seed " << seed;
		if (HasFailure())
			printf("seed %llu\n", static_cast<unsigned long long>(seed));
		longest_ms = std::max(longest_ms, group.longest_ms);
		failed_starts += group.failed_starts;
		kills += group.kills;
		for (const auto &item : group.disks)
			refusals += item.second.refusals;
	}
	EXPECT_GT(refusals, runs());
	printf("%s: %llu runs, %llu refused writes, %llu restarts, %llu failed starts, longest "
	       "time without a commit %llu ms\n",
	       GetParam().name, static_cast<unsigned long long>(runs()),
	       static_cast<unsigned long long>(refusals), static_cast<unsigned long long>(kills),
	       static_cast<unsigned long long>(failed_starts),
	       static_cast<unsigned long long>(longest_ms));
}

INSTANTIATE_TEST_SUITE_P(
	Groups, RaftFullDisks,
	testing::Values(FullDisksCase{"Three", {"a", "b", "c"}, 3},
			FullDisksCase{"Five", {"a", "b", "c", "d", "e"}, 5},
			FullDisksCase{"ThreeAndSpare", {"a", "b", "c", "d"}, 3},
			FullDisksCase{"FiveAndSpares", {"a", "b", "c", "d", "e", "f", "g"}, 5}),
	[](const testing::TestParamInfo<FullDisksCase> &param) { return param.param.name; });
