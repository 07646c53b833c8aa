#include "../support/crash_load.h"

/* Guards against a gang that is failed for the crashes of other tasks, in a long series of these.
 */
TEST(GuiltyGang, InnocentGangIsNotGivenUpInALongSeriesOfCrashes)
{
	CrashFleetOptions options;
	options.seed = 37;
	CrashFleet fleet(options);

	long_series_simulate(fleet);
}
