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
