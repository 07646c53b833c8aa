#include "../support/crash_load.h"

/* Guards against a gang that is failed for the crashes of other tasks, in a long series of these.
 */
TEST(GuiltyGang, InnocentGangIsNotGivenUpInALongSeriesOfCrashes)
{
	CrashFleetOptions options;
	options.seed = 37;
	CrashFleet fleet(options);
	Mix mix(fleet);

	lasting_jobs_submit(fleet);
	mix.simulate(40000, true);
	EXPECT_TRUE(fleet.simulate_until_ended(LIMIT_MS));
	guilty_check(fleet);
}
