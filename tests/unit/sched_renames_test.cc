#include "../support/histories.h"

#include <gtest/gtest.h>

/*
 * Random histories in which versions rename the route of the jobs, and give its name to a route of
 * another service. Guards against jobs that nobody goes on with after a rename.
 */

TEST(Renames, EachTaskIsDone)
{
	histories_play((FAULTS_ALL & ~FAULT_HELD) | FAULT_RENAMES);
}
