/* Minions lose their power as the start of a task arrives: no minion has ever begun it. */

#include "cases.h"

#include <cstdio>

using namespace rig;

enum {
	MINIONS = 13,
	CRASHES = 4,
	OTHERS = 60, /* jobs beside */
	DOWN_MS = 2200,
	CALM_MS = 12000,
};

/* Waits for the next minion without power, and starts it again. */
static bool restore_next(World &world)
{
	int64_t until = now_ms() + 20000;
	Minion *minion = nullptr;

	while (!minion && now_ms() < until) {
		sleep_ms(5);
		std::lock_guard<std::mutex> guard(world.lock);

		minion = world.dark_minion;
		world.dark_minion = nullptr;
	}
	if (!minion)
		return false;
	sleep_ms(DOWN_MS);
	std::lock_guard<std::mutex> guard(world.lock);

	minion->clock_base_ms = 1000;
	minion->up(true);
	return true;
}

int main(int argc, char **argv)
{
	Case begun = case_begin(argc, argv);
	System system(begun.root, begun.folder, 2, {"vasteras-a", "vasteras-b", "koping"});
	World world(system);
	Job job = job_new(1, 3100, 500);
	std::string state;
	int begun_runs;
	int failed;
	char text[160];

	if (!system_begin(system, world, MINIONS, {"vasteras-a", "vasteras-b", "koping"}, 4))
		case_end(system, &world, NOT_RUN, "the system did not come up");
	for (int i = 0; i < OTHERS; i++)
		if (!submit_until(system, world, job_new(1, 3100, 500), (size_t)i, 5000))
			case_end(system, &world, NOT_RUN, "a job was not accepted");
	sleep_ms(2000);
	if (begun.trouble) {
		std::lock_guard<std::mutex> guard(world.lock);

		world.dark_job = job.id;
		world.dark_left = CRASHES;
	}
	if (!submit_until(system, world, job, 0, 5000))
		case_end(system, &world, NOT_RUN, "the job was not accepted");
	for (int i = 0; begun.trouble && i < CRASHES; i++) {
		if (!restore_next(world))
			case_end(system, &world, NOT_RUN, "no start arrived");
		sleep_ms(1000);
		if (job_state(system, job) == "failed")
			break;
	}
	sleep_ms(CALM_MS);
	state = job_state(system, job);
	{
		std::lock_guard<std::mutex> guard(world.lock);

		begun_runs = world.tasks[job.id + ".0.0.0"].started;
		failed = world.tasks[job.id + ".0.0.0"].failed;
	}
	snprintf(text, sizeof(text), "the job is %s; begun %d times, ended failed %d times",
		 state.c_str(), begun_runs, failed);
	case_end(system, &world, state == "failed" && failed == 0 ? BROKEN : HELD, text);
}
