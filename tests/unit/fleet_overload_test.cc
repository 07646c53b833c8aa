#include "../support/fleet_checks.h"

/* A load above the CPU capacity of one replica, and well below that of five. */

namespace
{
/* The same load per CPU, with half the fleet and CPUs half as fast. */
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

TEST(FleetOverload, LeaderKeepsUpWithCallsToTargets)
{
	Fleet fleet({});

	fleet.simulate();
	expect_healthy(fleet);
	expect_calls_shared(fleet);
}

TEST(FleetOverload, NoRunLapsesWhenAFollowerDies)
{
	Fleet fleet(half());

	follower_dies(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetOverload, NoRunLapsesWhenTheLeaderDies)
{
	Fleet fleet(half());

	leader_dies(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetOverload, NoRunLapsesWhenAFollowerFreezes)
{
	Fleet fleet(half());

	follower_freezes(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetOverload, NoRunLapsesWhenALinkStalls)
{
	Fleet fleet(half());

	link_stalls(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}
} // namespace
