#include "../support/histories.h"

#include <gtest/gtest.h>

/* Random histories: no task has two runs at a time, and each task is done in the end. */

TEST(Overlap, NoTaskHasTwoRunsAtATime)
{
	histories_play(FAULTS_ALL & ~FAULT_HELD);
}
