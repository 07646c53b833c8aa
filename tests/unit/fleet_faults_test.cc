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
} // namespace
