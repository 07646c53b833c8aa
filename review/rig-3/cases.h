/* What the programs of the scripts share. */

#ifndef CASES_H
#define CASES_H

#include "rig.h"

namespace rig
{

enum {
	HELD = 0,
	BROKEN = 1,
	NOT_RUN = 2
};

struct Case {
	std::string root;   /* of the repository */
	std::string folder; /* for the processes; removed by the script */
	bool trouble = true;
};

/* Reads the arguments ROOT FOLDER RECORD, and TROUBLE of the environment. */
Case case_begin(int argc, char **argv);

/* Ends all processes, and the program with the verdict. */
[[noreturn]] void case_end(System &system, World *world, int verdict, const char *text);

/* Starts the system, minions and a configuration of the queue /jobs/. Return: false if not. */
bool system_begin(System &system, World &world, int minion_count,
		  const std::vector<std::string> &zones, int max_attempts);

/* A job of one step. */
Job job_new(int count, int cpu, int work_ms);

/* Hands a job in at one entry after the other until it is accepted. */
bool submit_until(System &system, World &world, const Job &job, size_t first, int64_t give_up_ms);

} // namespace rig

#endif
