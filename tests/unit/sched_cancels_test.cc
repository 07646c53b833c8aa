#include "../support/histories.h"

#include <gtest/gtest.h>

/*
 * Random histories in which jobs of every kind are cancelled at any time, while agents are cut off,
 * replaced or suspended and the route of the jobs is removed. Guards against tasks that run on
 * although their caller knows that their job is cancelled.
 */

TEST(Cancels, NoTaskOfACancelledJobRunsOn)
{
	histories_play(FAULTS_ALL | FAULT_CANCELS);
}
