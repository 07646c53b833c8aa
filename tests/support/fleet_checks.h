#ifndef TESTS_FLEET_CHECKS_H
#define TESTS_FLEET_CHECKS_H

#include "fleet.h"

#include <gtest/gtest.h>

/* A load that one replica can carry alone. */
inline FleetOptions light()
{
	FleetOptions options;

	options.targets = 90;
	options.short_jobs_per_ks /= 4;
	options.long_jobs_per_ks /= 4;
	options.lasting_jobs /= 4;
	return options;
}

/* Conditions that a fleet with spare capacity must meet, whatever happens to one replica. */
inline void expect_healthy(const Fleet &fleet)
{
	const uint64_t gap_max_ms = 9000; /* longest time of a lasting task without a run */
	const FleetRecord &seen = fleet.record;

	EXPECT_LT(seen.used_max_millis, seen.capacity_millis * 9 / 10)
		<< "capacity exhausted: " << fleet.summary();
	EXPECT_EQ(seen.jobs_refused, 0u) << fleet.summary();
	EXPECT_LT(seen.longest_gap_ms(), gap_max_ms) << fleet.summary();
	EXPECT_EQ(seen.lapsed, 0u) << fleet.summary();
	EXPECT_EQ(seen.twice, 0u) << fleet.summary();
	EXPECT_EQ(seen.after_done, 0u) << fleet.summary();
	EXPECT_EQ(seen.leases_beyond, 0u) << fleet.summary();
	EXPECT_EQ(seen.tasks_left(), 0u) << fleet.summary();
	EXPECT_GE(seen.starts_begun * 10, seen.starts() * 9) << fleet.summary();
}

inline void expect_calls_shared(const Fleet &fleet)
{
	EXPECT_LE(fleet.record.calls_max() * 2, fleet.record.calls()) << fleet.summary();
}

/* Faults of a replica in the middle of the load. */
static const uint64_t FAULT_MS = 8000;
static const uint64_t FAULT_DURATION_MS = 3000;

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
	fleet.at(FAULT_MS, [&fleet] { fleet.follower()->freeze(FAULT_DURATION_MS); });
}

inline void link_stalls(Fleet &fleet)
{
	fleet.at(FAULT_MS, [&fleet] {
		fleet.stall_link(fleet.leader(), fleet.follower(), FAULT_DURATION_MS);
	});
}

/* Partitions the leader from all other replicas, which still reach each other. */
inline void leader_is_partitioned(Fleet &fleet, uint64_t ms)
{
	fleet.at(FAULT_MS, [&fleet, ms] {
		for (size_t i = 0; i + 1 < fleet.replicas.size(); i++)
			fleet.stall_link(fleet.leader(), fleet.follower(i), ms);
	});
}

inline void leader_and_follower_are_partitioned(Fleet &fleet, uint64_t ms)
{
	fleet.at(FAULT_MS, [&fleet, ms] {
		for (size_t i = 1; i + 1 < fleet.replicas.size(); i++) {
			fleet.stall_link(fleet.leader(), fleet.follower(i), ms);
			fleet.stall_link(fleet.follower(), fleet.follower(i), ms);
		}
	});
}

/* The follower is frozen for most of each period. */
inline void follower_freezes_repeatedly(Fleet &fleet)
{
	const uint64_t period_ms = 1000;
	const uint64_t frozen_ms = 950;

	for (uint64_t i = 0; i < 8; i++)
		fleet.at(FAULT_MS + i * period_ms,
			 [&fleet, frozen_ms] { fleet.follower()->freeze(frozen_ms); });
}

#endif
