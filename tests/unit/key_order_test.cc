#include "../support/state_rig.h"

#include <gtest/gtest.h>

/* Ends of keys that are committed before their beginnings. */

namespace
{
class KeyOrder : public ::testing::Test
{
      protected:
	uint64_t begin(uint64_t nonce)
	{
		wl_cmd_t cmd = key_begin("k", session, nonce);
		const wl_result_t &result = rig.apply(&cmd);

		return result.code == WL_OK ? result.key_state : WL_KEY_STATES;
	}

	void restart()
	{
		rig.restore(rig.pack());
	}

	void free_key(uint64_t nonce)
	{
		wl_cmd_t cmd = key_end("k", nonce, WL_NOT_RUN, "");

		rig.apply(&cmd);
	}

	void SetUp() override
	{
		wl_cmd_t cmd = session_open("e1", 1);

		session = rig.apply(&cmd).index;
	}

	static constexpr uint64_t WL_KEY_STATES = 99;
	StateRig rig;
	uint64_t session = 0;
};
} // namespace

TEST_F(KeyOrder, AnEndBeforeItsBeginningBlocksIt)
{
	free_key(1);
	EXPECT_EQ(begin(1), WL_KEY_STATES);
	EXPECT_EQ(begin(2), WL_KEY_FRESH);
}

/* Guards against a key that nobody runs and that is in use until the session ends. */
TEST_F(KeyOrder, AnEndBeforeItsBeginningBlocksItAfterAnEarlierCall)
{
	ASSERT_EQ(begin(1), WL_KEY_FRESH);
	free_key(1);
	free_key(2);
	EXPECT_EQ(begin(2), WL_KEY_STATES);
	EXPECT_EQ(begin(3), WL_KEY_FRESH);
}

TEST_F(KeyOrder, AnEndBeforeItsBeginningBlocksItWhileAnotherCallRuns)
{
	ASSERT_EQ(begin(1), WL_KEY_FRESH);
	free_key(2);
	EXPECT_EQ(begin(3), WL_KEY_RUNNING);
	free_key(1);
	EXPECT_EQ(begin(2), WL_KEY_STATES);
	EXPECT_EQ(begin(3), WL_KEY_FRESH);
}

TEST_F(KeyOrder, ABeginningThatIsRepeatedAfterALaterCallHasNoEffect)
{
	ASSERT_EQ(begin(1), WL_KEY_FRESH);
	free_key(1);
	ASSERT_EQ(begin(2), WL_KEY_FRESH);
	free_key(2);
	EXPECT_EQ(begin(1), WL_KEY_STATES);
	EXPECT_EQ(begin(3), WL_KEY_FRESH);
}

TEST_F(KeyOrder, ASnapshotHasTheCallsThatHaveEnded)
{
	free_key(1);
	free_key(2);
	restart();
	EXPECT_EQ(begin(1), WL_KEY_STATES);
	EXPECT_EQ(begin(2), WL_KEY_STATES);
	EXPECT_EQ(begin(3), WL_KEY_FRESH);
}

TEST_F(KeyOrder, AFreeKeyInASnapshotOfAnEarlierVersionBlocksItsCall)
{
	constexpr char nonce = 77;
	wl_cmd_t end = key_end("k", nonce, WL_RAN, "");

	ASSERT_EQ(begin(nonce), WL_KEY_FRESH);
	rig.apply(&end);
	std::string bytes = rig.pack();
	size_t at = bytes.find(std::string{nonce, static_cast<char>(WL_KEY_DONE)});
	ASSERT_NE(at, std::string::npos);
	bytes[at + 1] = static_cast<char>(WL_KEY_FRESH);
	rig.restore(bytes);
	EXPECT_EQ(begin(nonce), WL_KEY_STATES);
	EXPECT_EQ(begin(1), WL_KEY_FRESH);
}
