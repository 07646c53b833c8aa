#include <gtest/gtest.h>

#include "../support/leader_world.h"

class LeaderRandom : public testing::TestWithParam<uint64_t>
{
};

TEST_P(LeaderRandom, NoTaskRunsTwiceAndAllTasksEnd)
{
	LeaderWorld world(GetParam());

	world.run(30000, true);
	world.run(60000, false);
	EXPECT_EQ(world.unfinished(), "");
	world.check_outcomes();
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeaderRandom, testing::Range<uint64_t>(1, 21));
