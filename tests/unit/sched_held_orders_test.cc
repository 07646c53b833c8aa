#include "../support/histories.h"

#include <gtest/gtest.h>

/* Random histories where agents send orders late, also to later incarnations of the targets. */

TEST(HeldOrders, NoTaskHasTwoRunsAtATime)
{
	histories_play(FAULTS_ALL);
}
