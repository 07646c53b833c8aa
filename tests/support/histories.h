#ifndef TESTS_HISTORIES_H
#define TESTS_HISTORIES_H

#include "sched_history.h"

/*
 * Plays random histories with these faults and fails the test for each kind of failure, with the
 * end of the first one's trace. The environment variables HISTORY_SEED and HISTORIES set the first
 * seed and the number; the trace of a single history is printed as a whole.
 */
void histories_play(unsigned faults);

#endif
