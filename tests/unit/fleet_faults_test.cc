#include "../support/fleet_checks.h"

/* Faults of replicas and links under a load that one replica can carry alone. */

namespace
{
TEST(FleetFaults, NoRunLapsesWithoutAFault)
{
	Fleet fleet(light());

	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetFaults, SameSeedGivesSameResult)
{
	Fleet one(light());
	Fleet other(light());

	one.simulate();
	other.simulate();
	EXPECT_EQ(one.summary(), other.summary());
}

TEST(FleetFaults, NoRunLapsesWhenAFollowerDies)
{
	Fleet fleet(light());

	follower_dies(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetFaults, NoRunLapsesWhenTheLeaderDies)
{
	Fleet fleet(light());

	leader_dies(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetFaults, NoRunLapsesWhenAFollowerFreezes)
{
	Fleet fleet(light());

	follower_freezes(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetFaults, NoRunLapsesWhenALinkStalls)
{
	Fleet fleet(light());

	link_stalls(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

/* A frozen leader continues with the messages sent before, until it learns of the new leader. */
TEST(FleetFaults, NoRunLapsesWhenTheLeaderFreezes)
{
	for (uint64_t ms : {1050, 3000}) {
		Fleet fleet(light());

		fleet.at(FAULT_MS, [&fleet, ms] { fleet.leader()->freeze(ms); });
		fleet.simulate();
		expect_healthy(fleet);
	}
}

/* Work is accepted and done while each disk is full in turn, the leader's twice. */
TEST(FleetFaults, NoWorkIsRefusedWhenDisksAreFullInTurn)
{
	const uint64_t full_ms = 1500;

	for (uint64_t gap_ms : {0, 50, 1000}) {
		Fleet fleet(light());
		uint64_t at_ms = FAULT_MS - full_ms - gap_ms;

		for (size_t i = 0; i < 6; i++, at_ms += full_ms + gap_ms)
			fleet.at(at_ms, [&fleet, i] {
				FleetReplica *replica =
					i % 3 ? fleet.follower(i % 4) : fleet.leader();

				ASSERT_NE(replica, nullptr);
				replica->fill_disk(full_ms);
			});
		fleet.simulate();
		expect_healthy(fleet);
	}
}

/* The group elects a leader although a disk is full, and goes on when the next one is. */
TEST(FleetFaults, NoRunLapsesWhenTheLeaderDiesBesideAFullDisk)
{
	const uint64_t full_ms = 3000;

	for (uint64_t gap_ms : {0, 200}) {
		Fleet fleet(light());

		fleet.at(FAULT_MS, [&fleet] { fleet.follower()->fill_disk(full_ms); });
		fleet.at(FAULT_MS + 100, [&fleet] { fleet.kill(fleet.leader()); });
		fleet.at(FAULT_MS + full_ms + gap_ms, [&fleet] {
			ASSERT_NE(fleet.leader(), nullptr);
			fleet.leader()->fill_disk(full_ms);
		});
		fleet.simulate();
		expect_healthy(fleet);
	}
}

TEST(FleetFaults, NoTaskRunsTwiceWhenTheLeaderIsPartitioned)
{
	for (uint64_t ms : {1050, 7000}) {
		Fleet alone(light());
		Fleet pair(light());

		leader_is_partitioned(alone, ms);
		alone.simulate();
		expect_healthy(alone);
		leader_and_follower_are_partitioned(pair, ms);
		pair.simulate();
		expect_healthy(pair);
	}
}

/*
 * Orders sent to frozen followers are executed late: starts, stops and holds that are
 * outdated.
 */
TEST(FleetFaults, NoTaskRunsTwiceWhenTwoFollowersFreeze)
{
	for (uint64_t ms : {1050, 3000, 7000}) {
		Fleet fleet(light());

		fleet.at(FAULT_MS, [&fleet, ms] {
			fleet.follower(0)->freeze(ms);
			fleet.follower(1)->freeze(ms);
		});
		fleet.simulate();
		expect_healthy(fleet);
	}
}

TEST(FleetFaults, NoRunLapsesWhenAFollowerFreezesRepeatedly)
{
	Fleet fleet(light());

	follower_freezes_repeatedly(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}
} // namespace
