/* Interference between kinds of work. */

#include <gtest/gtest.h>

extern "C" {
#include <libwlcore/owner/pairs.h>
}

static const uint64_t S = 1000000000ull;

class Pairs : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		wl_pairs_init(&pairs);
	}
	void TearDown() override
	{
		wl_pairs_free(&pairs);
	}

	size_t changes()
	{
		wl_list_t rows = {};

		wl_pairs_take_changes(&pairs, &rows, 100);
		size_t count = rows.count;
		wl_list_free(&wl_pair_row_schema, &rows);
		return count;
	}

	wl_pairs_t pairs;
};

TEST_F(Pairs, LearnsOrderedPairsAndFollowsChanges)
{
	for (int i = 0; i < 50; i++)
		wl_pairs_learn(&pairs, WL_STR("sort"), WL_STR("report"), 2000, i * S);
	EXPECT_EQ(wl_pairs_slowdown(&pairs, WL_STR("sort"), WL_STR("report")), 2000u);
	EXPECT_EQ(wl_pairs_slowdown(&pairs, WL_STR("report"), WL_STR("sort")), 0u);

	for (int i = 0; i < 50; i++)
		wl_pairs_learn(&pairs, WL_STR("sort"), WL_STR("report"), 1000, (50 + i) * S);
	EXPECT_LT(wl_pairs_slowdown(&pairs, WL_STR("sort"), WL_STR("report")), 1100u);
}

TEST_F(Pairs, OldSamplesWeighLess)
{
	for (int i = 0; i < 50; i++)
		wl_pairs_learn(&pairs, WL_STR("a"), WL_STR("b"), 3000, i * S);
	wl_pairs_learn(&pairs, WL_STR("a"), WL_STR("b"), 1000, 7200 * S);
	EXPECT_LT(wl_pairs_slowdown(&pairs, WL_STR("a"), WL_STR("b")), 1100u);
}

TEST_F(Pairs, SendsOnlyChangedRows)
{
	wl_pairs_learn(&pairs, WL_STR("a"), WL_STR("b"), 1500, S);
	EXPECT_EQ(changes(), 1u);
	wl_pairs_learn(&pairs, WL_STR("a"), WL_STR("b"), 1510, 2 * S);
	EXPECT_EQ(changes(), 0u);
	wl_pairs_learn(&pairs, WL_STR("a"), WL_STR("b"), 3000, 3 * S);
	EXPECT_EQ(changes(), 1u);
	wl_pairs_resend_all(&pairs);
	EXPECT_EQ(changes(), 1u);
}

TEST_F(Pairs, TableIsBounded)
{
	for (int i = 0; i < 5000; i++) {
		std::string kind = "k" + std::to_string(i);

		wl_pairs_learn(&pairs, wl_str_from(kind.c_str()), WL_STR("b"), 1500, S);
	}
	EXPECT_EQ(wl_map_count(&pairs.by_kinds), 4096u);
	EXPECT_EQ(wl_pairs_slowdown(&pairs, WL_STR("k0"), WL_STR("b")), 0u);
	EXPECT_EQ(wl_pairs_slowdown(&pairs, WL_STR("k4999"), WL_STR("b")), 1500u);
}
