#include "../support/fleet_checks.h"

/* A load that is too much for the processor of one replica, and little for those of five. */

namespace
{
/* The same for half the fleet and processors half as fast. */
FleetOptions half()
{
	FleetOptions options;

	options.targets /= 2;
	options.short_jobs_per_ks /= 2;
	options.long_jobs_per_ks /= 2;
	options.lasting_jobs /= 2;
	options.costs.event_ns *= 2;
	options.costs.call_ns *= 2;
	return options;
}

TEST(FleetOverload, LeaderFallsBehindOnCallsToTargets)
{
	Fleet fleet({});

	fleet.play();
	expect_sound(fleet);
	expect_shared(fleet);
}

TEST(FleetOverload, RunsLapseWhenAFollowerDies)
{
	Fleet fleet(half());

	follower_dies(fleet);
	fleet.play();
	expect_sound(fleet);
}

TEST(FleetOverload, RunsLapseWhenTheLeaderDies)
{
	Fleet fleet(half());

	leader_dies(fleet);
	fleet.play();
	expect_sound(fleet);
}

TEST(FleetOverload, RunsLapseWhenAFollowerFreezes)
{
	Fleet fleet(half());

	follower_freezes(fleet);
	fleet.play();
	expect_sound(fleet);
}

TEST(FleetOverload, RunsLapseWhenALinkFallsSilent)
{
	Fleet fleet(half());

	link_falls_silent(fleet);
	fleet.play();
	expect_sound(fleet);
}
} // namespace
