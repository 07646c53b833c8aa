#include "../support/fleet_checks.h"

/* A load that one replica carries. */

namespace
{
FleetOptions light()
{
	FleetOptions options;

	options.targets = 90;
	options.short_jobs_per_ks /= 4;
	options.long_jobs_per_ks /= 4;
	options.lasting_jobs /= 4;
	return options;
}

TEST(FleetFaults, RunsLapseWithoutAnyFault)
{
	Fleet fleet(light());

	fleet.play();
	expect_sound(fleet);
}

TEST(FleetFaults, PlaysOfOneSeedDiffer)
{
	Fleet one(light());
	Fleet other(light());

	one.play();
	other.play();
	EXPECT_EQ(one.figures(), other.figures());
}

TEST(FleetFaults, RunsLapseWhenAFollowerDies)
{
	Fleet fleet(light());

	follower_dies(fleet);
	fleet.play();
	expect_sound(fleet);
}

TEST(FleetFaults, RunsLapseWhenTheLeaderDies)
{
	Fleet fleet(light());

	leader_dies(fleet);
	fleet.play();
	expect_sound(fleet);
}

TEST(FleetFaults, RunsLapseWhenAFollowerFreezes)
{
	Fleet fleet(light());

	follower_freezes(fleet);
	fleet.play();
	expect_sound(fleet);
}

TEST(FleetFaults, RunsLapseWhenALinkFallsSilent)
{
	Fleet fleet(light());

	link_falls_silent(fleet);
	fleet.play();
	expect_sound(fleet);
}

/* It goes on as leader of what was sent before, until it hears of the other. */
TEST(FleetFaults, RunsLapseWhenTheLeaderFreezes)
{
	for (uint64_t ms : {1050, 3000}) {
		Fleet fleet(light());

		fleet.at(FAULT_MS, [&fleet, ms] { fleet.leader()->freeze(ms); });
		fleet.play();
		expect_sound(fleet);
	}
}

TEST(FleetFaults, TasksRunTwiceWhenTheLeaderIsCutOff)
{
	for (uint64_t ms : {1050, 7000}) {
		Fleet alone(light());
		Fleet pair(light());

		leader_is_cut_off(alone, ms);
		alone.play();
		expect_sound(alone);
		leader_and_a_follower_are_cut_off(pair, ms);
		pair.play();
		expect_sound(pair);
	}
}

/* What was sent to them is carried out late: starts, stops and holds of another time. */
TEST(FleetFaults, TasksRunTwiceWhenTwoFollowersFreeze)
{
	for (uint64_t ms : {1050, 3000, 7000}) {
		Fleet fleet(light());

		fleet.at(FAULT_MS, [&fleet, ms] {
			fleet.follower(0)->freeze(ms);
			fleet.follower(1)->freeze(ms);
		});
		fleet.play();
		expect_sound(fleet);
	}
}

TEST(FleetFaults, RunsLapseWhenAFollowerStutters)
{
	Fleet fleet(light());

	follower_stutters(fleet);
	fleet.play();
	expect_sound(fleet);
}
} // namespace
