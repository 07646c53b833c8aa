extern "C" {
#include <libwlcore/contention/stretch.h>
}

#include <random>

#include <gtest/gtest.h>

/* How much longer steps take than their estimates say. */

TEST(Stretch, EstimatesStandUntilEnoughIsKnown)
{
	wl_stretch_t stretch = {};

	for (int i = 0; i < 15; i++)
		wl_stretch_learn(&stretch, 1000, 3000);
	EXPECT_EQ(wl_stretch_apply(&stretch, 700), 700u);
	wl_stretch_learn(&stretch, 1000, 3000);
	EXPECT_GT(wl_stretch_apply(&stretch, 700), 1000u);
}

TEST(Stretch, EstimatesAreNeverTakenForTooLong)
{
	wl_stretch_t stretch = {};

	for (int i = 0; i < 100; i++)
		wl_stretch_learn(&stretch, 1000, 200);
	EXPECT_EQ(wl_stretch_apply(&stretch, 700), 700u);
}

/* Estimates off by nine tenths, 3 of 100 steps seven times as long, then calm again. */
TEST(Stretch, FollowsTheLoad)
{
	std::mt19937 random(1);
	std::uniform_real_distribution<double> off(0.55, 1.9);
	wl_stretch_t stretch = {};

	for (int i = 0; i < 1000; i++)
		wl_stretch_learn(&stretch, 1000,
				 static_cast<uint64_t>(1500 * off(random)) * (i % 33 ? 1 : 7));
	EXPECT_GE(wl_stretch_apply(&stretch, 1000), 1500u);
	EXPECT_LE(wl_stretch_apply(&stretch, 1000), 3000u);
	for (int i = 0; i < 200; i++)
		wl_stretch_learn(&stretch, 1000, 1000);
	EXPECT_LE(wl_stretch_apply(&stretch, 1000), 1200u);
}
