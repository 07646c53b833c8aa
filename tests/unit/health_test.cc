/* Targets that fail, told from work that fails. */

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

	bool note(wl_health_t *health, const char *target, const char *kind, bool ok, int times = 1)
	{
		bool aside = false;

		for (int i = 0; i < times; i++)
			aside = wl_health_record(health, wl_kinds_get(&kinds, wl_str_from(kind)),
						 wl_str_from(target), ok, now, &rng) ||
				aside;
		return aside;
	}

	wl_kinds_t kinds;
	wl_rng_t rng;
	wl_health_t one = {};
	wl_health_t two = {};
	uint64_t now = 100 * S;
};

TEST_F(Health, SeveralKindsThatFailInARowPutATargetAside)
{
	EXPECT_FALSE(note(&one, "w1", "sort", false, 3));
	EXPECT_TRUE(note(&one, "w1", "report", false));
	EXPECT_TRUE(one.quarantined);
}

TEST_F(Health, ASuccessEndsTheRow)
{
	EXPECT_FALSE(note(&one, "w1", "sort", false, 3));
	note(&one, "w1", "other", true);
	EXPECT_FALSE(note(&one, "w1", "report", false, 3));
}

TEST_F(Health, OneKindAloneNeedsToWorkElsewhere)
{
	EXPECT_FALSE(note(&one, "w1", "sort", false, 50));
	note(&two, "w2", "sort", true);
	EXPECT_TRUE(note(&one, "w1", "sort", false));
}

TEST_F(Health, WorkThatFailsEverywhereBlamesNobody)
{
	note(&one, "w1", "bad", false);
	note(&one, "w1", "worse", false);
	EXPECT_FALSE(note(&two, "w2", "bad", false, 20));
	EXPECT_FALSE(note(&two, "w2", "worse", false, 20));
	EXPECT_FALSE(two.quarantined);
}

TEST_F(Health, PausesGrowUntilItWorksAgain)
{
	uint64_t last = 0;

	note(&two, "w2", "sort", true);
	EXPECT_TRUE(note(&one, "w1", "sort", false, 8));
	for (int i = 0; i < 5; i++) {
		uint64_t pause = one.quarantined_until_ns - now;

		EXPECT_GE(pause, (S << i)) << i;
		EXPECT_LE(pause, (2 * S << i)) << i;
		EXPECT_GE(pause, last);
		last = pause;
		EXPECT_FALSE(wl_health_probe(&one, one.quarantined_until_ns - 1));
		now = one.quarantined_until_ns;
		EXPECT_TRUE(wl_health_probe(&one, now));
		EXPECT_TRUE(note(&one, "w1", "sort", false));
	}
	now = one.quarantined_until_ns;
	EXPECT_TRUE(wl_health_probe(&one, now));
	note(&one, "w1", "sort", true);
	EXPECT_FALSE(one.probing);
	EXPECT_EQ(one.quarantines, 0u);
}

TEST_F(Health, TableOfKindsIsBounded)
{
	for (int i = 0; i < 2000; i++)
		note(&one, "w1", ("k" + std::to_string(i)).c_str(), true);
	EXPECT_EQ(wl_map_count(&kinds.by_name), 1024u);
}
