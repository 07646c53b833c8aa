/* Minions crash one after the other under long-running jobs of which no run fails. */

#include "cases.h"

#include <cstdio>
#include <random>

using namespace rig;

enum {
	MINIONS = 12,
	JOBS = 6,
	TASKS = 6,
	EVERY_MS = 2400, /* between two crashes */
	DOWN_MS = 1200,
	TROUBLE_MS = 48000,
	CALM_MS = 20000, /* afterwards */
};

/* One of the minions that run something. Called with the world's lock. */
static Minion *victim(World &world, std::mt19937 &random)
{
	std::vector<Minion *> busy;

	for (auto &minion : world.minions)
		if (minion->is_up && !minion->runs.empty())
			busy.push_back(minion.get());
	return busy.empty() ? nullptr : busy[random() % busy.size()];
}

static void crashes(World &world)
{
	int64_t until = now_ms() + TROUBLE_MS;
	std::mt19937 random(58);

	while (now_ms() < until) {
		Minion *minion;

		{
			std::lock_guard<std::mutex> guard(world.lock);

			minion = victim(world, random);
			if (minion)
				minion->crash();
		}
		sleep_ms(DOWN_MS);
		if (minion) {
			std::lock_guard<std::mutex> guard(world.lock);

			minion->clock_base_ms = 1000;
			minion->up(true);
		}
		sleep_ms(EVERY_MS - DOWN_MS);
	}
}

int main(int argc, char **argv)
{
	Case begun = case_begin(argc, argv);
	System system(begun.root, begun.folder, 2, {"vasteras-a", "vasteras-b", "koping"});
	World world(system);
	std::vector<Job> jobs;
	int failed = 0;
	int running = 0;
	int failed_ends = 0;
	char text[160];

	if (!system_begin(system, world, MINIONS, {"vasteras-a", "vasteras-b", "koping"}, 4))
		case_end(system, &world, NOT_RUN, "the system did not come up");
	for (int i = 0; i < JOBS; i++) {
		jobs.push_back(job_new(TASKS, 5000, 500));
		jobs.back().steps[0].long_running = true;
		if (!submit_until(system, world, jobs.back(), (size_t)i, 10000))
			case_end(system, &world, NOT_RUN, "a job was not accepted");
	}
	if (begun.trouble)
		crashes(world);
	sleep_ms(CALM_MS);
	for (const Job &job : jobs) {
		std::string state = job_state(system, job);

		failed += state == "failed" || state == "cancelled" || state == "410";
		running += state == "running";
	}
	{
		std::lock_guard<std::mutex> guard(world.lock);

		for (const auto &task : world.tasks)
			failed_ends += task.second.failed;
	}
	snprintf(text, sizeof(text),
		 "%d long-running jobs: %d running, %d failed; runs that have ended failed: %d",
		 JOBS, running, failed, failed_ends);
	case_end(system, &world, failed && !failed_ends ? BROKEN : HELD, text);
}
