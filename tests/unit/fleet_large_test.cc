#include "../support/fleet_checks.h"

/* Five replicas of 0.6 of a core with 1,800 targets, and the load of such a fleet. */

namespace
{
const uint64_t CPU_PERMILLE = 600;

FleetOptions large()
{
	FleetOptions options;

	options.targets = 1800;
	options.short_jobs_per_ks = 22200;
	options.short_width = 13;
	options.long_jobs_per_ks = 26700;
	options.long_width = 40;
	options.lasting_jobs = 350;
	options.lasting_width = 24;
	options.load_ms = 12000;
	options.costs = {FLEET_EVENT_CPU_NS * 1000 / CPU_PERMILLE,
			 FLEET_CALL_CPU_NS * 1000 / CPU_PERMILLE};
	return options;
}

TEST(FleetLarge, CalmPeakIsServed)
{
	Fleet fleet(large());

	fleet.simulate();
	expect_healthy(fleet);
	expect_calls_shared(fleet);
}

TEST(FleetLarge, NoRunLapsesWhenTheLeaderDies)
{
	Fleet fleet(large());

	leader_dies(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}

TEST(FleetLarge, NoRunLapsesWhenAFollowerFreezes)
{
	Fleet fleet(large());

	follower_freezes(fleet);
	fleet.simulate();
	expect_healthy(fleet);
}
} // namespace
