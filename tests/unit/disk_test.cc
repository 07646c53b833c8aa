#include "../support/events.h"
#include "../support/process.h"

extern "C" {
#include <daemon/disk.h>
}

#include <sys/stat.h>

#include <gtest/gtest.h>

namespace
{
constexpr int SYNC_TIMEOUT_MS = 60000; /* a sync may take seconds on a shared, busy disk */

class Disk : public ::testing::Test
{
      protected:
	void open(uint32_t slots = 256)
	{
		wl_store_options_t options = {};
		wl_disk_options_t disk_options = {};

		options.folder = str(folder);
		store = wl_store_open(&options, &saved, &err);
		ASSERT_TRUE(store) << err.text;
		disk_options.store = store;
		disk_options.events = events.ring;
		disk_options.queue_slots = slots;
		disk = wl_disk_start(&disk_options, &err);
		ASSERT_TRUE(disk) << err.text;
	}
	void close()
	{
		wl_disk_stop(disk);
		wl_store_close(store);
		wl_raft_saved_free(&saved);
		disk = nullptr;
	}
	static void add_founding_member(wl_raft_persist_t *persist)
	{
		persist->has_members = true;
		persist->members.group = 1;
		auto *member = static_cast<wl_raft_member_t *>(
			wl_list_add(&wl_raft_member_schema, &persist->members.members));
		member->id = 1;
		member->voter = true;
		wl_buf_set(&member->name, str("s1"));
	}
	bool persist_vote(uint64_t ticket)
	{
		wl_raft_persist_t persist = {};

		if (ticket == 1)
			add_founding_member(&persist);
		persist.ticket = ticket;
		persist.has_vote = true;
		persist.term = ticket;
		persist.vote = 1;
		if (wl_disk_persist(disk, &persist))
			return true;
		wl_raft_persist_free(&persist);
		return false;
	}

	std::string folder = folder_make();
	Events events;
	wl_err_t err = {};
	wl_raft_saved_t saved = {};
	wl_store_t *store = nullptr;
	wl_disk_t *disk = nullptr;
};

TEST_F(Disk, PersistedEventsComeInOrderAndTheVotesAreStored)
{
	ASSERT_NO_FATAL_FAILURE(open());
	for (uint64_t ticket = 1; ticket <= 200; ticket++)
		ASSERT_TRUE(persist_vote(ticket));
	for (uint64_t ticket = 1; ticket <= 200; ticket++) {
		Event event = events.next(SYNC_TIMEOUT_MS);

		ASSERT_TRUE(event) << ticket << (wl_disk_failed(disk) ? ": the disk failed" : "");
		EXPECT_EQ(event->kind, WL_EVENT_PERSISTED);
		EXPECT_EQ(event->ticket, ticket);
	}
	EXPECT_LT(wl_disk_syncs(disk), 200u) << "queued persists share a sync";
	close();
	ASSERT_NO_FATAL_FAILURE(open());
	EXPECT_EQ(saved.term, 200u);
	close();
}

TEST_F(Disk, FullQueueRefusesAPersist)
{
	ASSERT_NO_FATAL_FAILURE(open(4));
	uint64_t accepted = 0;

	while (accepted < 100000 && persist_vote(accepted + 1))
		accepted++;
	EXPECT_LT(accepted, 100000u);
	for (uint64_t ticket = 1; ticket <= accepted; ticket++) {
		Event event = events.next(SYNC_TIMEOUT_MS);

		ASSERT_TRUE(event);
		EXPECT_EQ(event->ticket, ticket);
	}
	close();
}
} // namespace
