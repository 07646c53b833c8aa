extern "C" {
#include <libwlcore/intake/intake.h>
}

#include <list>

#include <gtest/gtest.h>

/* Which connection is closed, and which request is refused, when the account is at its limit. */
namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t KIB = 1024;

class Intake : public testing::Test
{
      protected:
	Intake()
	{
		wl_intake_options_t options = {.limit_bytes = 1024 * KIB,
					       .small_bytes = 16 * KIB,
					       .connection_bytes = KIB,
					       .max_connections = 64};

		wl_intake_init(&intake, &options);
	}

	wl_intake_connection_t *open(uint64_t bytes = 0, uint64_t at_ms = 0,
				     wl_intake_phase_t phase = WL_INTAKE_READING)
	{
		connections.emplace_back();
		wl_intake_connection_t *made = &connections.back();

		wl_intake_open(&intake, made, at_ms * MS);
		wl_intake_phase_set(&intake, made, phase, at_ms * MS);
		wl_intake_hold(&intake, made, bytes);
		return made;
	}

	std::list<wl_intake_connection_t> connections;
	wl_intake_t intake;
};

TEST_F(Intake, WhatIsHeldTheLongestAndTheMostGoesFirst)
{
	open(100 * KIB, 900);
	auto *old = open(50 * KIB, 0);
	auto *ordinary = open(4 * KIB, 990);

	EXPECT_EQ(wl_intake_choose(&intake, 1000 * MS), old);
	wl_intake_give_up(&intake, old);
	EXPECT_NE(wl_intake_choose(&intake, 1000 * MS), ordinary);
	EXPECT_EQ(intake.closed[WL_INTAKE_READING], 1u);
}

TEST_F(Intake, WholeRequestsAreNeverClosed)
{
	open(500 * KIB, 0, WL_INTAKE_WHOLE);
	EXPECT_EQ(wl_intake_choose(&intake, 1000 * MS), nullptr);
	auto *unread = open(10 * KIB, 0, WL_INTAKE_ANSWERING);
	auto *incomplete = open(KIB, 999);
	EXPECT_EQ(wl_intake_choose(&intake, 1000 * MS), incomplete);
	wl_intake_give_up(&intake, incomplete);
	EXPECT_EQ(wl_intake_choose(&intake, 1000 * MS), unread);
}

TEST_F(Intake, SmallRequestsFindTheReserve)
{
	auto *next = open();

	open(760 * KIB, 0, WL_INTAKE_WHOLE);
	EXPECT_FALSE(wl_intake_has_room(&intake, next, 64 * KIB));
	EXPECT_TRUE(wl_intake_has_room(&intake, next, 16 * KIB));
}

TEST_F(Intake, WhatIsBeingClosedCountsNoMore)
{
	auto *chosen = open(720 * KIB);
	auto *next = open();

	EXPECT_FALSE(wl_intake_has_room(&intake, next, 64 * KIB));
	wl_intake_give_up(&intake, chosen);
	EXPECT_TRUE(wl_intake_has_room(&intake, next, 64 * KIB));
	wl_intake_hold(&intake, chosen, 0);
	wl_intake_close(&intake, chosen);
	EXPECT_EQ(intake.bytes, KIB);
	EXPECT_EQ(intake.count, 1u);
	EXPECT_EQ(intake.closing, 0u);
}

TEST_F(Intake, ConnectionsAreLeftForNewCallers)
{
	for (int i = 0; i < 56; i++)
		open(0, i, WL_INTAKE_IDLE);
	EXPECT_FALSE(wl_intake_is_crowded(&intake));
	open(0, 100, WL_INTAKE_IDLE);
	EXPECT_TRUE(wl_intake_is_crowded(&intake));
	EXPECT_EQ(wl_intake_choose(&intake, 200 * MS), &connections.front());
	wl_intake_give_up(&intake, &connections.front());
	EXPECT_FALSE(wl_intake_is_crowded(&intake));
}

/* 1,000 callers that stop short of their end, and one in ten that is served. */
TEST_F(Intake, OrdinaryCallersAreServedBesideACrowd)
{
	uint64_t now_ns = 0;
	size_t served = 0;

	for (int i = 0; i < 1000; i++) {
		bool ordinary = i % 10 == 9;
		uint64_t bytes = ordinary ? 4 * KIB : 64 * KIB;
		auto *next = open(0, now_ns / MS);

		now_ns += MS;
		while (!wl_intake_has_room(&intake, next, bytes)) {
			auto *chosen = wl_intake_choose(&intake, now_ns);

			ASSERT_NE(chosen, nullptr);
			wl_intake_give_up(&intake, chosen);
			if (chosen == next)
				break;
		}
		if (next->closing)
			continue;
		wl_intake_hold(&intake, next, bytes);
		ASSERT_LE(intake.bytes, 1024 * KIB);
		if (!ordinary)
			continue;
		wl_intake_phase_set(&intake, next, WL_INTAKE_WHOLE, now_ns);
		served++;
		wl_intake_close(&intake, next);
	}
	EXPECT_EQ(served, 100u);
}
} // namespace
