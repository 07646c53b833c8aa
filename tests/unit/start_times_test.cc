extern "C" {
#include <libwlcore/node/start_times.h>
}

#include <gtest/gtest.h>

namespace
{
class Since : public testing::Test
{
      protected:
	~Since() override
	{
		wl_since_free(&since);
	}

	/* When a thing began; 0 if it is not known. */
	uint64_t end(uint64_t number)
	{
		uint64_t began_ns = 0;

		return wl_since_end(&since, number, &began_ns) ? began_ns : 0;
	}

	wl_since_t since = {};
};

TEST_F(Since, EndSaysWhenItBegan)
{
	EXPECT_EQ(end(1), 0u);
	wl_since_begin(&since, 7, 100);
	wl_since_begin(&since, 3, 200);
	EXPECT_EQ(end(7), 100u);
	EXPECT_EQ(end(7), 0u);
	EXPECT_EQ(end(3), 200u);
	EXPECT_EQ(since.count, 0u);
}

TEST_F(Since, WhatBeganBeforeIsForgottenAndNothingElse)
{
	for (uint64_t i = 1; i <= 4; i++)
		wl_since_begin(&since, i, 100 * i);
	EXPECT_EQ(end(9), 0u);
	EXPECT_EQ(since.count, 4u);
	EXPECT_EQ(end(3), 300u);
	EXPECT_EQ(end(1), 0u);
	EXPECT_EQ(end(4), 400u);
}

/* Grows while its oldest row stands in the middle of the ring. */
TEST_F(Since, HoldsAsManyAsThereAre)
{
	uint64_t next_end = 1;

	for (uint64_t i = 1; i <= 1000; i++) {
		wl_since_begin(&since, i, i + 5000);
		if (i % 3 == 0) {
			EXPECT_EQ(end(next_end), next_end + 5000);
			next_end++;
		}
	}
	for (; next_end <= 1000; next_end++)
		EXPECT_EQ(end(next_end), next_end + 5000);
	wl_since_begin(&since, 1, 2);
	wl_since_clear(&since);
	EXPECT_EQ(end(1), 0u);
}
} // namespace
