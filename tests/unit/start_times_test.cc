extern "C" {
#include <libwlcore/node/start_times.h>
}

#include <gtest/gtest.h>

namespace
{
class StartTimes : public testing::Test
{
      protected:
	~StartTimes() override
	{
		wl_start_times_free(&times);
	}

	/* Returns the start time of an operation; 0 if it is not known. */
	uint64_t end(uint64_t number)
	{
		uint64_t began_ns = 0;

		return wl_start_times_end(&times, number, &began_ns) ? began_ns : 0;
	}

	wl_start_times_t times = {};
};

TEST_F(StartTimes, EndReturnsTheStartTime)
{
	EXPECT_EQ(end(1), 0u);
	wl_start_times_begin(&times, 7, 100);
	wl_start_times_begin(&times, 3, 200);
	EXPECT_EQ(end(7), 100u);
	EXPECT_EQ(end(7), 0u);
	EXPECT_EQ(end(3), 200u);
	EXPECT_EQ(times.count, 0u);
}

TEST_F(StartTimes, EndRemovesOlderOperationsOnly)
{
	for (uint64_t i = 1; i <= 4; i++)
		wl_start_times_begin(&times, i, 100 * i);
	EXPECT_EQ(end(9), 0u);
	EXPECT_EQ(times.count, 4u);
	EXPECT_EQ(end(3), 300u);
	EXPECT_EQ(end(1), 0u);
	EXPECT_EQ(end(4), 400u);
}

/* The ring must grow correctly while its oldest row is in the middle. */
TEST_F(StartTimes, GrowsAsNeeded)
{
	uint64_t next_end = 1;

	for (uint64_t i = 1; i <= 1000; i++) {
		wl_start_times_begin(&times, i, i + 5000);
		if (i % 3 == 0) {
			EXPECT_EQ(end(next_end), next_end + 5000);
			next_end++;
		}
	}
	for (; next_end <= 1000; next_end++)
		EXPECT_EQ(end(next_end), next_end + 5000);
	wl_start_times_begin(&times, 1, 2);
	wl_start_times_clear(&times);
	EXPECT_EQ(end(1), 0u);
}
} // namespace
