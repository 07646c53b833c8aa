/* Faulty targets are quarantined; faulty work quarantines no target. */

#include <gtest/gtest.h>

extern "C" {
#include <libwlcore/owner/health.h>
}

static const uint64_t S = 1000000000ull;

class Health : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		wl_kinds_init(&kinds);
		wl_rng_init(&rng, 1, 1);
	}
	void TearDown() override
	{
		wl_kinds_free(&kinds);
	}

	bool record(wl_health_t *health, const char *target, const char *kind, bool ok,
		    int times = 1)
	{
		bool quarantined = false;

		for (int i = 0; i < times; i++)
			quarantined =
				wl_health_record(health, wl_kinds_get(&kinds, wl_str_from(kind)),
						 wl_str_from(target), ok, now, &rng) ||
				quarantined;
		return quarantined;
	}

	wl_kinds_t kinds;
	wl_rng_t rng;
	wl_health_t one = {};
	wl_health_t two = {};
	uint64_t now = 100 * S;
};

TEST_F(Health, FailuresOfSeveralKindsQuarantineTheTarget)
{
	EXPECT_FALSE(record(&one, "w1", "sort", false, 3));
	EXPECT_TRUE(record(&one, "w1", "report", false));
	EXPECT_TRUE(one.quarantined);
}

TEST_F(Health, SuccessResetsTheFailureCount)
{
	EXPECT_FALSE(record(&one, "w1", "sort", false, 3));
	record(&one, "w1", "other", true);
	EXPECT_FALSE(record(&one, "w1", "report", false, 3));
}

TEST_F(Health, OneFailingKindQuarantinesOnlyIfItSucceedsElsewhere)
{
	EXPECT_FALSE(record(&one, "w1", "sort", false, 50));
	record(&two, "w2", "sort", true);
	EXPECT_TRUE(record(&one, "w1", "sort", false));
}

TEST_F(Health, WorkThatFailsEverywhereQuarantinesNoTarget)
{
	record(&one, "w1", "bad", false);
	record(&one, "w1", "worse", false);
	EXPECT_FALSE(record(&two, "w2", "bad", false, 20));
	EXPECT_FALSE(record(&two, "w2", "worse", false, 20));
	EXPECT_FALSE(two.quarantined);
}

TEST_F(Health, QuarantineGrowsUntilWorkSucceeds)
{
	uint64_t last = 0;

	record(&two, "w2", "sort", true);
	EXPECT_TRUE(record(&one, "w1", "sort", false, 8));
	for (int i = 0; i < 5; i++) {
		uint64_t period = one.quarantined_until_ns - now;

		EXPECT_GE(period, (S << i)) << i;
		EXPECT_LE(period, (2 * S << i)) << i;
		EXPECT_GE(period, last);
		last = period;
		EXPECT_FALSE(wl_health_probe(&one, one.quarantined_until_ns - 1));
		now = one.quarantined_until_ns;
		EXPECT_TRUE(wl_health_probe(&one, now));
		EXPECT_TRUE(record(&one, "w1", "sort", false));
	}
	now = one.quarantined_until_ns;
	EXPECT_TRUE(wl_health_probe(&one, now));
	record(&one, "w1", "sort", true);
	EXPECT_FALSE(one.probing);
	EXPECT_EQ(one.quarantines, 0u);
}

TEST_F(Health, TableOfKindsIsBounded)
{
	for (int i = 0; i < 2000; i++)
		record(&one, "w1", ("k" + std::to_string(i)).c_str(), true);
	EXPECT_EQ(wl_map_count(&kinds.by_name), 1024u);
}
