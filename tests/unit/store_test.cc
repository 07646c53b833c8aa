extern "C" {
#include <libwlstore/store.h>
}

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace fs = std::filesystem;

/* Calls until one is refused because the disk is full; below zero: none is. */
static int unlinks_until_full = -1;
static int syncs_until_full = -1;
static int renames_until_full = -1;

static bool refused(int *until_full)
{
	if (*until_full < 0 || (*until_full)-- > 0)
		return false;
	errno = ENOSPC;
	return true;
}

/* Replaces the function of the C library, so that a test may refuse a call. */
extern "C" int unlinkat(int folder, const char *file, int flags) noexcept
{
	if (refused(&unlinks_until_full))
		return -1;
	return static_cast<int>(syscall(SYS_unlinkat, folder, file, flags));
}

extern "C" int renameat(int from_folder, const char *from, int to_folder, const char *to) noexcept
{
	if (refused(&renames_until_full))
		return -1;
	return static_cast<int>(syscall(SYS_renameat2, from_folder, from, to_folder, to, 0));
}

extern "C" int fsync(int fd)
{
	if (refused(&syncs_until_full))
		return -1;
	return static_cast<int>(syscall(SYS_fsync, fd));
}

/* Each test has its own data folder, which is removed afterwards. */
class Store : public testing::Test
{
      protected:
	void SetUp() override
	{
		std::string path = fs::temp_directory_path() / "wl-store-XXXXXX";

		ASSERT_NE(mkdtemp(path.data()), nullptr);
		folder = path;
	}

	void TearDown() override
	{
		close();
		fs::remove_all(folder);
	}

	/* Continues with a new folder. */
	void restart()
	{
		TearDown();
		SetUp();
	}

	bool open(uint64_t segment_bytes = 0)
	{
		wl_store_options_t options = {};

		close();
		err = {};
		options.folder = {folder.data(), folder.size()};
		options.segment_bytes = segment_bytes;
		options.write_at = write_at;
		store = wl_store_open(&options, &saved, &err);
		return store != nullptr;
	}

	void close()
	{
		wl_raft_saved_free(&saved);
		wl_store_close(store);
		store = nullptr;
	}

	/* Simulates a full disk: a write succeeds by half, the next one fails with ENOSPC. */
	static ssize_t write_full(int fd, const void *bytes, size_t len, off_t offset)
	{
		if (full_writes == 0 || writes_until_full > 0) {
			writes_until_full -= writes_until_full > 0;
			return pwrite(fd, bytes, len, offset);
		}
		full_writes--;
		if (full_writes % 2)
			return pwrite(fd, bytes, len / 2, offset);
		errno = ENOSPC;
		return -1;
	}

	/* Writes a vote of the term and entries from..to, each with the text. */
	bool write(uint64_t term, uint64_t from, uint64_t to, const std::string &text,
		   uint64_t truncate_from = 0)
	{
		wl_raft_persist_t persist = {};

		persist.has_vote = true;
		persist.term = term;
		persist.truncate_from = truncate_from;
		for (uint64_t i = from; i <= to; i++) {
			auto *entry = static_cast<wl_raft_entry_t *>(
				wl_list_add(&wl_raft_entry_schema, &persist.entries));

			entry->index = i;
			entry->term = term;
			entry->kind = WL_RAFT_DATA;
			wl_buf_set(&entry->data, {text.data(), text.size()});
		}
		return put(&persist);
	}

	bool found()
	{
		wl_raft_persist_t persist = {};

		persist.has_members = true;
		persist.members.group = 77;
		return put(&persist);
	}

	bool snapshot(uint64_t index, uint64_t term, const std::string &state,
		      uint64_t truncate_from = 0)
	{
		wl_raft_persist_t persist = {};

		persist.has_snapshot = true;
		persist.members.group = 77;
		persist.snapshot_index = index;
		persist.snapshot_term = term;
		persist.truncate_from = truncate_from;
		wl_buf_set(&persist.snapshot, {state.data(), state.size()});
		return put(&persist);
	}

	bool put(wl_raft_persist_t *persist)
	{
		bool ok = wl_store_write(store, persist, &err) && wl_store_sync(store, &err);

		wl_raft_persist_free(persist);
		return ok;
	}

	/* Stored entries as "index/term/text". */
	std::string log() const
	{
		auto *entries = static_cast<wl_raft_entry_t *>(saved.entries.items);
		std::ostringstream out;

		for (size_t i = 0; i < saved.entries.count; i++)
			out << (i ? " " : "") << entries[i].index << "/" << entries[i].term << "/"
			    << (entries[i].data.at ? entries[i].data.at : "");
		return out.str();
	}

	std::string path(const std::string &file) const
	{
		return folder + "/" + file;
	}

	std::string content(const std::string &file) const
	{
		std::ifstream in(path(file), std::ios::binary);
		std::ostringstream out;

		out << in.rdbuf();
		return out.str();
	}

	void set_content(const std::string &file, const std::string &bytes) const
	{
		std::ofstream out(path(file), std::ios::binary | std::ios::trunc);

		out << bytes;
	}

	std::vector<std::string> segments() const
	{
		std::vector<std::string> names;

		for (const auto &entry : fs::directory_iterator(folder))
			if (entry.path().filename().string().compare(0, 4, "log-") == 0)
				names.push_back(entry.path().filename());
		std::sort(names.begin(), names.end());
		return names;
	}

	void expect_damaged(const std::string &file, const std::string &what)
	{
		EXPECT_FALSE(open()) << file << " " << what;
		EXPECT_EQ(err.code, WL_E_DAMAGED) << err.text;
		EXPECT_NE(std::string(err.text).find("/" + file + ": offset "), std::string::npos)
			<< err.text;
	}

	/* Replaces a log by a snapshot, while one of the calls is refused, and opens it again. */
	void replace_log(int *calls, int until_full, uint64_t truncate_from, int *refusals)
	{
		wl_raft_persist_t persist = {};

		ASSERT_TRUE(open(100));
		ASSERT_TRUE(found());
		for (uint64_t i = 1; i <= 6; i++)
			ASSERT_TRUE(write(1, i, i, std::string(60, 'a')));
		ASSERT_GT(segments().size(), 2u);
		persist.has_vote = true;
		persist.term = 2;
		persist.truncate_from = truncate_from;
		persist.has_snapshot = true;
		persist.members.group = 77;
		persist.snapshot_index = 20;
		persist.snapshot_term = 2;
		wl_buf_set(&persist.snapshot, WL_STR("state"));
		*calls = until_full;
		while (!wl_store_write(store, &persist, &err) || !wl_store_sync(store, &err)) {
			if (err.code != WL_E_DISK_FULL)
				break;
			++*refusals;
		}
		wl_raft_persist_free(&persist);
		*calls = -1;
		ASSERT_TRUE(write(2, 21, 21, "after")) << err.text;
		ASSERT_TRUE(open(100)) << err.text;
		EXPECT_EQ(saved.snapshot_index, 20u);
		EXPECT_EQ(log(), "21/2/after");
	}

	static int full_writes;
	static int writes_until_full;
	wl_store_write_at_t write_at = nullptr;
	std::string folder;
	wl_store_t *store = nullptr;
	wl_raft_saved_t saved = {};
	wl_err_t err = {};
};

static const char *const FIRST_LOG = "log-0000000000000001";

int Store::full_writes = 0;
int Store::writes_until_full = 0;

TEST_F(Store, BlankFolderGetsAnIdentityOnce)
{
	uint64_t id;

	ASSERT_TRUE(open()) << err.text;
	id = wl_store_id(store);
	EXPECT_NE(id, 0u);
	EXPECT_EQ(saved.term, 0u);
	EXPECT_EQ(saved.members.group, 0u);
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(wl_store_id(store), id);
}

TEST_F(Store, SyncedChangesSurviveReopening)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(3, 1, 2, "x"));
	ASSERT_TRUE(write(4, 3, 3, "y"));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(saved.members.group, 77u);
	EXPECT_EQ(saved.term, 4u);
	EXPECT_EQ(log(), "1/3/x 2/3/x 3/4/y");
}

TEST_F(Store, LastVoteOfASyncIsStored)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	for (uint64_t term = 2; term <= 4; term++) {
		wl_raft_persist_t persist = {};

		persist.has_vote = true;
		persist.term = term;
		persist.vote = 10 * term;
		ASSERT_TRUE(wl_store_write(store, &persist, &err)) << err.text;
	}
	ASSERT_TRUE(wl_store_sync(store, &err)) << err.text;
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(saved.term, 4u);
	EXPECT_EQ(saved.vote, 40u);
}

TEST_F(Store, TruncatedSuffixStaysRemoved)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 5, "old"));
	ASSERT_TRUE(write(2, 3, 3, "new", 3));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(log(), "1/1/old 2/1/old 3/2/new");
	ASSERT_TRUE(write(3, 1, 0, "", 2));
	ASSERT_TRUE(write(3, 2, 2, "again"));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(log(), "1/1/old 2/3/again");
}

TEST_F(Store, GapInAppendedEntriesIsRejected)
{
	ASSERT_TRUE(open());
	EXPECT_FALSE(write(1, 2, 2, "x"));
	EXPECT_EQ(err.code, WL_E_BAD_INPUT);
}

TEST_F(Store, TornLastRecordIsTruncatedAtEveryByte)
{
	std::string whole;
	size_t before;

	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 2, "kept"));
	before = content(FIRST_LOG).size();
	ASSERT_TRUE(write(1, 3, 4, "torn"));
	close();
	whole = content(FIRST_LOG);
	for (size_t len = before; len < whole.size(); len++) {
		set_content(FIRST_LOG, whole.substr(0, len));
		ASSERT_TRUE(open()) << len << ": " << err.text;
		EXPECT_EQ(log(), "1/1/kept 2/1/kept") << len;
		close();
		EXPECT_EQ(content(FIRST_LOG).size(), before) << len;
	}
	/* Entries appended after the truncation are read again. */
	ASSERT_TRUE(open());
	ASSERT_TRUE(write(2, 3, 3, "after"));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(log(), "1/1/kept 2/1/kept 3/2/after");
}

TEST_F(Store, TornRecordOfFullLengthIsTruncated)
{
	std::string whole;

	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 1, "kept"));
	ASSERT_TRUE(write(1, 2, 2, "torn"));
	close();
	whole = content(FIRST_LOG);
	whole.replace(whole.size() - 4, 4, 4, '\0');
	set_content(FIRST_LOG, whole);
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(log(), "1/1/kept");
}

TEST_F(Store, FlippedByteBeforeTheLastRecordIsDamage)
{
	std::string whole;
	size_t last;

	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 2, "first"));
	ASSERT_TRUE(write(1, 3, 3, "second"));
	last = content(FIRST_LOG).size();
	ASSERT_TRUE(write(1, 4, 4, "last"));
	close();
	whole = content(FIRST_LOG);
	for (size_t at = 0; at < last; at++) {
		for (int bit : {0, 7}) {
			std::string flipped = whole;

			flipped[at] = static_cast<char>(flipped[at] ^ (1 << bit));
			set_content(FIRST_LOG, flipped);
			expect_damaged(FIRST_LOG, std::to_string(at));
		}
	}
	EXPECT_EQ(content(FIRST_LOG).size(), whole.size());
}

TEST_F(Store, FlippedByteInAnEarlierSegmentIsDamage)
{
	std::string whole;

	ASSERT_TRUE(open(1));
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 1, "first"));
	ASSERT_TRUE(write(1, 2, 2, "second"));
	close();
	ASSERT_EQ(segments().size(), 2u);
	whole = content(FIRST_LOG);
	for (size_t at = 0; at < whole.size(); at++) {
		std::string flipped = whole;

		flipped[at] = static_cast<char>(flipped[at] ^ 1);
		set_content(FIRST_LOG, flipped);
		expect_damaged(FIRST_LOG, std::to_string(at));
	}
	set_content(FIRST_LOG, whole.substr(0, whole.size() - 1));
	expect_damaged(FIRST_LOG, "cut");
}

TEST_F(Store, FlippedByteInAChecksummedFileIsDamage)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 3, "x"));
	ASSERT_TRUE(snapshot(2, 1, "state"));
	close();
	for (const std::string file : {"identity", "group", "vote", "snapshot"}) {
		std::string whole = content(file);

		for (size_t at = 0; at < whole.size(); at++) {
			std::string flipped = whole;

			flipped[at] = static_cast<char>(flipped[at] ^ 1);
			set_content(file, flipped);
			expect_damaged(file, std::to_string(at));
		}
		for (size_t len = 0; len < whole.size(); len++) {
			set_content(file, whole.substr(0, len));
			expect_damaged(file, "cut");
		}
		set_content(file, whole);
	}
	ASSERT_TRUE(open()) << err.text;
}

TEST_F(Store, MissingFileIsDamage)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 3, "x"));
	close();
	for (const std::string file : {"identity", "group", "vote"}) {
		std::string whole = content(file);

		fs::remove(path(file));
		expect_damaged(file, "missing");
		set_content(file, whole);
	}
	ASSERT_TRUE(open()) << err.text;
}

TEST_F(Store, MissingSegmentIsDamage)
{
	std::string middle;
	std::string first;

	ASSERT_TRUE(open(1));
	ASSERT_TRUE(found());
	for (uint64_t i = 1; i <= 3; i++)
		ASSERT_TRUE(write(1, i, i, "x"));
	close();
	ASSERT_EQ(segments().size(), 3u);
	middle = content(segments()[1]);
	fs::remove(path("log-0000000000000002"));
	expect_damaged("log-0000000000000003", "gap");
	set_content("log-0000000000000002", middle);
	fs::remove(path(FIRST_LOG));
	expect_damaged("log-0000000000000002", "gap at the start");
}

/*
 * The indexes of the first and third segment are consecutive, so only the segment numbers show that
 * the second one is missing.
 */
TEST_F(Store, MissingTruncationIsDamage)
{
	ASSERT_TRUE(open(1));
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 2, "old"));
	ASSERT_TRUE(write(2, 2, 2, "new", 2));
	ASSERT_TRUE(write(2, 3, 3, "new"));
	close();
	fs::remove(path("log-0000000000000002"));
	expect_damaged("log-0000000000000003", "gap");
}

TEST_F(Store, FolderIsCreated)
{
	folder += "/data";
	ASSERT_TRUE(open()) << err.text;
	folder += "/no/such";
	EXPECT_FALSE(open());
	EXPECT_EQ(err.code, WL_E_IO);
	folder = fs::path(folder).parent_path().parent_path().parent_path();
}

TEST_F(Store, SnapshotReplacesTheLog)
{
	ASSERT_TRUE(open(1));
	ASSERT_TRUE(found());
	for (uint64_t i = 1; i <= 6; i++)
		ASSERT_TRUE(write(1, i, i, "x"));
	ASSERT_TRUE(snapshot(4, 1, "state of four"));
	EXPECT_EQ(segments().size(), 2u);
	ASSERT_TRUE(open(1)) << err.text;
	EXPECT_EQ(saved.snapshot_index, 4u);
	EXPECT_EQ(saved.snapshot_term, 1u);
	EXPECT_STREQ(saved.snapshot.at, "state of four");
	EXPECT_EQ(log(), "5/1/x 6/1/x");
	ASSERT_TRUE(write(1, 7, 7, "y"));
	ASSERT_TRUE(open(1)) << err.text;
	EXPECT_EQ(log(), "5/1/x 6/1/x 7/1/y");
}

TEST_F(Store, SnapshotBeyondTheLogEmptiesIt)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 3, "x"));
	ASSERT_TRUE(snapshot(10, 1, "ten"));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(log(), "");
	ASSERT_TRUE(write(1, 11, 11, "y"));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(saved.snapshot_index, 10u);
	EXPECT_EQ(log(), "11/1/y");
}

TEST_F(Store, SnapshotThatConflictsWithTheLogTruncatesIt)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(2, 1, 9, "x"));
	ASSERT_TRUE(snapshot(5, 2, "five", 3));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(saved.snapshot_index, 5u);
	EXPECT_EQ(log(), "");
}

/* The segments that a crash leaves behind are ignored when the snapshot covers them. */
TEST_F(Store, CrashBetweenSnapshotAndRemovalIsHarmless)
{
	std::vector<std::string> before;

	ASSERT_TRUE(open(1));
	ASSERT_TRUE(found());
	for (uint64_t i = 1; i <= 4; i++)
		ASSERT_TRUE(write(1, i, i, "x"));
	for (const auto &name : segments())
		before.push_back(content(name));
	ASSERT_TRUE(snapshot(3, 1, "three"));
	ASSERT_EQ(segments().size(), 1u);
	for (size_t left = 1; left <= 3; left++) {
		close();
		for (size_t i = 3 - left; i < 3; i++)
			set_content("log-000000000000000" + std::to_string(i + 1), before[i]);
		ASSERT_TRUE(open(1)) << left << ": " << err.text;
		EXPECT_EQ(log(), "4/1/x") << left;
		EXPECT_EQ(segments().size(), 1u) << left;
	}
}

TEST_F(Store, FolderIsLocked)
{
	wl_store_options_t options = {};
	wl_raft_saved_t other = {};

	ASSERT_TRUE(open());
	options.folder = {folder.data(), folder.size()};
	EXPECT_EQ(wl_store_open(&options, &other, &err), nullptr);
	EXPECT_EQ(err.code, WL_E_CONFLICT) << err.text;
}

/* Limits the size of files, so that the next write beyond it is short or fails. */
class FileLimit
{
      public:
	explicit FileLimit(rlim_t bytes)
	{
		getrlimit(RLIMIT_FSIZE, &before);
		handler = signal(SIGXFSZ, SIG_IGN);
		struct rlimit limit = {bytes, before.rlim_max};
		setrlimit(RLIMIT_FSIZE, &limit);
	}
	~FileLimit()
	{
		setrlimit(RLIMIT_FSIZE, &before);
		signal(SIGXFSZ, handler);
	}

      private:
	struct rlimit before;
	void (*handler)(int);
};

TEST_F(Store, ShortWriteFailsAndBlocksLaterWrites)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 1, "kept"));
	{
		FileLimit limit(200);

		EXPECT_FALSE(write(1, 2, 2, std::string(500, 'x')));
		EXPECT_EQ(err.code, WL_E_IO);
		EXPECT_NE(std::string(err.text).find(FIRST_LOG), std::string::npos) << err.text;
	}
	EXPECT_FALSE(write(1, 2, 2, "y"));
	EXPECT_EQ(err.code, WL_E_IO);
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(log(), "1/1/kept");
}

TEST_F(Store, FullDiskKeepsTheOldVote)
{
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 1, "kept"));
	{
		FileLimit limit(10);

		EXPECT_FALSE(write(2, 2, 2, "x"));
		EXPECT_EQ(err.code, WL_E_IO);
		EXPECT_NE(std::string(err.text).find("/vote: "), std::string::npos) << err.text;
	}
	ASSERT_TRUE(open()) << err.text;
	EXPECT_EQ(saved.term, 1u);
	EXPECT_EQ(log(), "1/1/kept");
}

TEST_F(Store, WritesContinueAfterAFullDisk)
{
	/* The first write is of the vote, the second one of the log. */
	for (int before = 0; before < 2; before++) {
		restart();
		write_at = write_full;
		ASSERT_TRUE(open());
		ASSERT_TRUE(found());
		ASSERT_TRUE(write(1, 1, 1, "one"));
		writes_until_full = before;
		full_writes = 2;
		EXPECT_FALSE(write(2, 2, 2, "two"));
		EXPECT_EQ(err.code, WL_E_DISK_FULL) << err.text;
		full_writes = 2;
		EXPECT_FALSE(wl_store_sync(store, &err));
		EXPECT_TRUE(wl_store_sync(store, &err)) << err.text;
		ASSERT_TRUE(write(2, 3, 3, "three"));
		ASSERT_TRUE(open()) << err.text;
		EXPECT_EQ(saved.term, 2u);
		EXPECT_EQ(log(), "1/1/one 2/2/two 3/2/three");
	}
}

/*
 * A change that replaces a log of several segments by a snapshot is repeated after a call that a
 * full disk refuses.
 */
TEST_F(Store, EachRefusedCallIsRepeated)
{
	int refusals = 0;

	for (int *calls : {&unlinks_until_full, &syncs_until_full, &renames_until_full}) {
		for (int run = 0; run < 30 && !HasFailure(); run++) {
			restart();
			SCOPED_TRACE(run);
			replace_log(calls, run / 2, run % 2 ? 4 : 0, &refusals);
		}
	}
	EXPECT_GT(refusals, 10);
	printf("%d refusals\n", refusals);
}

/* What a refused write leaves behind must not take the space that later writes need. */
TEST_F(Store, RefusedWriteLeavesNoTemporaryFile)
{
	write_at = write_full;
	ASSERT_TRUE(open());
	ASSERT_TRUE(found());
	ASSERT_TRUE(write(1, 1, 1, "one"));
	full_writes = 2;
	EXPECT_FALSE(snapshot(1, 1, std::string(5000, 's')));
	EXPECT_EQ(err.code, WL_E_DISK_FULL) << err.text;
	EXPECT_FALSE(fs::exists(path("snapshot.tmp")));
	set_content("snapshot.tmp", std::string(5000, 's'));
	ASSERT_TRUE(open()) << err.text;
	EXPECT_FALSE(fs::exists(path("snapshot.tmp"))) << "left by a process that was killed";
	EXPECT_EQ(log(), "1/1/one");
}

TEST_F(Store, BlankFolderOnAFullDiskOpensLater)
{
	write_at = write_full;
	full_writes = 2;
	EXPECT_FALSE(open());
	EXPECT_EQ(err.code, WL_E_DISK_FULL) << err.text;
	ASSERT_TRUE(open()) << err.text;
	EXPECT_NE(wl_store_id(store), 0u);
}
