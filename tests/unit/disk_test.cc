#include "../support/events.h"
#include "../support/process.h"

extern "C" {
#include <daemon/disk.h>
}

#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <thread>

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
		options.write_at = write_at;
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
	static ssize_t write_at(int fd, const void *bytes, size_t len, off_t offset)
	{
		if (!full)
			return pwrite(fd, bytes, len, offset);
		refusals++;
		errno = ENOSPC;
		return -1;
	}
	static void sleep(int ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}
	/* Waits, and makes room after some calls; gives up in a call after that. */
	static bool wait(void *context, int wait_ms)
	{
		auto *test = static_cast<Disk *>(context);

		EXPECT_GT(wait_ms, 0);
		test->waits++;
		if (test->waits == test->room_after)
			full = false;
		return test->waits > test->room_after;
	}
	wl_store_t *open_store()
	{
		wl_store_options_t options = {};

		options.folder = str(folder);
		options.write_at = write_at;
		return wl_disk_store_open(&options, &saved, wait, this, &err);
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

	static std::atomic<bool> full;
	static std::atomic<int> refusals;
	int waits = 0;
	int room_after = 3;
	std::string folder = folder_make();
	Events events;
	wl_err_t err = {};
	wl_raft_saved_t saved = {};
	wl_store_t *store = nullptr;
	wl_disk_t *disk = nullptr;
};

std::atomic<bool> Disk::full{false};
std::atomic<int> Disk::refusals{0};

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
/* The disk has room for a shorter time than between two attempts, then for good. */
TEST_F(Disk, FullAgainBeforeTheRetry)
{
	ASSERT_NO_FATAL_FAILURE(open());
	ASSERT_TRUE(persist_vote(1));
	ASSERT_TRUE(events.next(SYNC_TIMEOUT_MS));
	full = true;
	refusals = 0;
	for (uint64_t ticket = 2; ticket <= 4; ticket++)
		ASSERT_TRUE(persist_vote(ticket));
	while (refusals < 3)
		sleep(1);
	full = false;
	sleep(20);
	full = true;
	for (int seen = refusals; refusals < seen + 2;)
		sleep(1);
	EXPECT_FALSE(wl_disk_failed(disk));
	full = false;
	for (uint64_t ticket = 2; ticket <= 4; ticket++) {
		Event event = events.next(SYNC_TIMEOUT_MS);

		ASSERT_TRUE(event) << ticket;
		EXPECT_EQ(event->ticket, ticket);
	}
	close();
	ASSERT_NO_FATAL_FAILURE(open());
	EXPECT_EQ(saved.term, 4u);
	close();
}

TEST_F(Disk, StopDoesNotWaitForRoom)
{
	ASSERT_NO_FATAL_FAILURE(open());
	ASSERT_TRUE(persist_vote(1));
	ASSERT_TRUE(events.next(SYNC_TIMEOUT_MS));
	full = true;
	refusals = 0;
	ASSERT_TRUE(persist_vote(2));
	while (refusals == 0)
		sleep(1);
	close();
	EXPECT_LT(refusals, 100);
	full = false;
	ASSERT_NO_FATAL_FAILURE(open());
	EXPECT_EQ(saved.term, 1u);
	close();
}

TEST_F(Disk, BlankReplicaOnAFullDiskWaitsForRoom)
{
	full = true;
	store = open_store();
	ASSERT_TRUE(store) << err.text;
	EXPECT_EQ(waits, room_after);
	EXPECT_NE(wl_store_id(store), 0u);
	wl_store_close(store);
	wl_raft_saved_free(&saved);
}

TEST_F(Disk, ReplicaStoppedBeforeTheDiskHasRoom)
{
	full = true;
	room_after = 0;
	EXPECT_EQ(open_store(), nullptr);
	EXPECT_EQ(err.code, WL_E_DISK_FULL) << err.text;
	EXPECT_EQ(waits, 1);
	full = false;
}

TEST_F(Disk, DamagedStoreDoesNotWait)
{
	file_write(folder + "/vote", "no vote");
	EXPECT_EQ(open_store(), nullptr);
	EXPECT_EQ(err.code, WL_E_DAMAGED) << err.text;
	EXPECT_EQ(waits, 0);
}
} // namespace
