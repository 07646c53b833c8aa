#include "../support/raft_chaos.h"

extern "C" {
#include <libwlstore/store.h>
}

#include <cstdlib>
#include <filesystem>
#include <fstream>

static const uint64_t RUNS = 4;

/*
 * Writes the changes of each replica to real files and compares these with the simulated disk at
 * each start.
 */
class Files
{
      public:
	explicit Files(RaftBus *bus) : random(1)
	{
		std::string path = std::filesystem::temp_directory_path() / "wl-raft-XXXXXX";

		EXPECT_NE(mkdtemp(path.data()), nullptr);
		folder = path;
		bus->on_start = [this](const BusNode &node) { start(node); };
		bus->on_crash = [this](const BusNode &node) { crash(node); };
		bus->on_persist = [this](const BusNode &node, const wl_raft_persist_t &persist) {
			wl_err_t err = {};

			EXPECT_TRUE(wl_store_write(stores[node.name], &persist, &err) &&
				    wl_store_sync(stores[node.name], &err))
				<< err.text;
		};
	}

	~Files()
	{
		for (auto &item : stores)
			wl_store_close(item.second);
		std::filesystem::remove_all(folder);
	}

	size_t starts = 0;

      private:
	std::string path(const BusNode &node) const
	{
		return folder + "/" + node.name + std::to_string(node.disk->id);
	}

	void start(const BusNode &node)
	{
		std::string at = path(node);
		wl_store_options_t options = {};
		wl_raft_saved_t saved = {};
		wl_raft_saved_t expected = {};
		wl_err_t err = {};

		options.folder = {at.data(), at.size()};
		options.segment_bytes = 2000;
		stores[node.name] = wl_store_open(&options, &saved, &err);
		ASSERT_NE(stores[node.name], nullptr) << err.text;
		node.disk->copy_to(&expected);
		EXPECT_EQ(packed(saved), packed(expected)) << at;
		wl_raft_saved_free(&saved);
		wl_raft_saved_free(&expected);
		starts++;
	}

	/* A crash may leave any part of a write in progress. */
	void crash(const BusNode &node)
	{
		std::string last_segment;

		wl_store_close(stores[node.name]);
		stores[node.name] = nullptr;
		for (const auto &entry : std::filesystem::directory_iterator(path(node)))
			if (entry.path().filename().string().compare(0, 4, "log-") == 0)
				last_segment = std::max(last_segment, entry.path().string());
		if (last_segment.empty() || random() % 2)
			return;
		std::ofstream out(last_segment, std::ios::binary | std::ios::app);
		out << std::string("WLM\xf1torn write").substr(0, random() % 12);
	}

	static std::string packed(const wl_raft_saved_t &saved)
	{
		wl_buf_t bytes = {};
		std::string text;

		wl_record_pack(&wl_raft_members_schema, &saved.members, &bytes);
		for (size_t i = 0; i < saved.entries.count; i++)
			wl_record_pack(&wl_raft_entry_schema,
				       static_cast<wl_raft_entry_t *>(saved.entries.items) + i,
				       &bytes);
		wl_buf_append(&bytes, wl_buf_str(&saved.snapshot));
		text = std::to_string(saved.term) + " " + std::to_string(saved.vote) + " " +
		       std::to_string(saved.snapshot_index) + " " +
		       std::to_string(saved.snapshot_term) + " " + std::string(bytes.at, bytes.len);
		wl_buf_free(&bytes);
		return text;
	}

	std::map<std::string, wl_store_t *> stores;
	std::string folder;
	std::mt19937_64 random;
};

TEST(RaftFiles, StoredStateMatchesSyncedState)
{
	for (uint64_t seed = 1; seed <= RUNS && !HasFailure(); seed++) {
		Chaos chaos(seed);
		Files files(&chaos.bus);

		chaos.start_crashed();
		chaos.run(120, seed % 2 == 0);
		chaos.settle(6000);
		for (const auto &name : chaos.names)
			chaos.bus.crash(name);
		chaos.start_crashed();
		EXPECT_GT(files.starts, 6u);
		EXPECT_EQ(chaos.bus.fault, "") << "seed " << seed;
		chaos.bus.on_crash = nullptr;
	}
}
