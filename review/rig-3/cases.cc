/* Begin and end of a case. */

#include "cases.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace rig
{

Case case_begin(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	Case begun;

	if (argc != 4) {
		fprintf(stderr, "usage: %s ROOT FOLDER RECORD\n", argv[0]);
		exit(NOT_RUN);
	}
	begun.root = argv[1];
	begun.folder = argv[2];
	begun.trouble = !trouble || strcmp(trouble, "0") != 0;
	record_open(argv[3]);
	record("begin, disruption %s", begun.trouble ? "yes" : "no");
	return begun;
}

void case_end(System &system, World *world, int verdict, const char *text)
{
	record("verdict %d: %s", verdict, text);
	printf("%d: %s\n", verdict, text);
	fflush(stdout);
	for (Machine &machine : system.machines)
		system.kill_wait(machine);
	if (world)
		world->lock.lock(); /* the threads of the stand-ins stand still */
	_Exit(verdict);
}

bool system_begin(System &system, World &world, int minion_count,
		  const std::vector<std::string> &zones, int max_attempts)
{
	Response response;

	for (Machine &machine : system.machines)
		system.start(machine);
	if (!system.wait_ready(20000))
		return false;
	for (int i = 0; i < minion_count; i++)
		world.add(zones[(size_t)i % zones.size()], "sorting",
			  {"a", "r" + std::to_string(i / 4)});
	response = order(system, "POST", "/-/config/replace",
			 config(1, {"/jobs/"}, "sorting", true, max_attempts), 0);
	sleep_ms(3000);
	return response.status == 200;
}

Job job_new(int count, int cpu, int work_ms)
{
	Job job;
	Step step;

	job.id = new_id();
	job.host = "jobs.example";
	job.prefix = "/jobs/";
	job.spec = "spec of " + job.id;
	step.count = count;
	step.cpu = cpu;
	step.mem_mb = 2000;
	step.work_ms = work_ms;
	step.estimated_ms = work_ms;
	job.steps.push_back(step);
	return job;
}

bool submit_until(System &system, World &world, const Job &job, size_t first, int64_t give_up_ms)
{
	int64_t until = now_ms() + give_up_ms;

	for (size_t i = first; now_ms() < until; i++) {
		if (submit(system, world, job, i).status == 200)
			return true;
		sleep_ms(200);
	}
	return false;
}

} // namespace rig
