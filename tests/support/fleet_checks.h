#ifndef TESTS_FLEET_CHECKS_H
#define TESTS_FLEET_CHECKS_H

#include "fleet.h"

#include <gtest/gtest.h>

/* What callers may expect of a fleet with room, whatever befalls one replica. */
inline void expect_sound(const Fleet &fleet)
{
	const uint64_t gap_most_ms = 9000; /* a lasting task without a run */
	const FleetRecord &seen = fleet.record;

	EXPECT_LT(seen.used_most_millis, seen.room_millis * 9 / 10)
		<< "no room: " << fleet.figures();
	EXPECT_EQ(seen.jobs_refused, 0u) << fleet.figures();
	EXPECT_LT(seen.longest_gap_ms(), gap_most_ms) << fleet.figures();
	EXPECT_EQ(seen.lapsed, 0u) << fleet.figures();
	EXPECT_EQ(seen.twice, 0u) << fleet.figures();
	EXPECT_EQ(seen.after_done, 0u) << fleet.figures();
	EXPECT_EQ(seen.tasks_left(), 0u) << fleet.figures();
	EXPECT_GE(seen.starts_begun * 10, seen.starts() * 9) << fleet.figures();
}

inline void expect_shared(const Fleet &fleet)
{
	EXPECT_LE(fleet.record.calls_most() * 2, fleet.record.calls()) << fleet.figures();
}

/* What befalls a replica in the middle of the load. */
static const uint64_t FAULT_MS = 8000;
static const uint64_t FAULT_LASTS_MS = 3000;

inline void follower_dies(Fleet &fleet)
{
	fleet.at(FAULT_MS, [&fleet] { fleet.kill(fleet.follower()); });
}

inline void leader_dies(Fleet &fleet)
{
	fleet.at(FAULT_MS, [&fleet] { fleet.kill(fleet.leader()); });
}

inline void follower_freezes(Fleet &fleet)
{
	fleet.at(FAULT_MS, [&fleet] { fleet.follower()->freeze(FAULT_LASTS_MS); });
}

inline void link_falls_silent(Fleet &fleet)
{
	fleet.at(FAULT_MS,
		 [&fleet] { fleet.silence(fleet.leader(), fleet.follower(), FAULT_LASTS_MS); });
}

/* The leader's part of a cut; the replicas of the other side hear each other. */
inline void leader_is_cut_off(Fleet &fleet, uint64_t ms)
{
	fleet.at(FAULT_MS, [&fleet, ms] {
		for (size_t i = 0; i + 1 < fleet.replicas.size(); i++)
			fleet.silence(fleet.leader(), fleet.follower(i), ms);
	});
}

inline void leader_and_a_follower_are_cut_off(Fleet &fleet, uint64_t ms)
{
	fleet.at(FAULT_MS, [&fleet, ms] {
		for (size_t i = 1; i + 1 < fleet.replicas.size(); i++) {
			fleet.silence(fleet.leader(), fleet.follower(i), ms);
			fleet.silence(fleet.follower(), fleet.follower(i), ms);
		}
	});
}

/* Most of the time it does nothing. */
inline void follower_stutters(Fleet &fleet)
{
	const uint64_t period_ms = 1000;
	const uint64_t frozen_ms = 950;

	for (uint64_t i = 0; i < 8; i++)
		fleet.at(FAULT_MS + i * period_ms,
			 [&fleet, frozen_ms] { fleet.follower()->freeze(frozen_ms); });
}

#endif
