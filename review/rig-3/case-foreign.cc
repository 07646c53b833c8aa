/*
 * Another writer sends heartbeats of which fields are missing. They name no minion to use.
 */

#include "cases.h"

#include <cstdio>

using namespace rig;

enum {
	JOBS = 20,
	WORK_MS = 1000,
	FINISH_MS = 14000, /* after the end of the traffic */
	WATCH_MS = 10000,
	IDLE_MS = 3000,
};

/* Whether a task of a job runs on a minion. Called with the world's lock. */
static bool is_at_work(const World &world, const Job &job)
{
	for (const auto &minion : world.minions)
		for (const auto &run : minion->runs)
			if (run.second.job == job.id)
				return true;
	return false;
}

static bool is_done(World &world, const Job &job)
{
	return world.tasks[job.id + ".0.0.0"].done;
}

int main(int argc, char **argv)
{
	Case begun = case_begin(argc, argv);
	System system(begun.root, begun.folder, 2, {"vasteras-a", "vasteras-b", "koping"});
	World world(system);
	std::vector<Job> jobs;
	Job standing = job_new(12, 8000, 500);
	std::vector<int64_t> at_work;
	std::vector<bool> idle(JOBS);
	int64_t end;
	int broken = 0;
	char text[160];

	if (!system_begin(system, world, 12, {"vasteras-a", "vasteras-b", "koping"}, 4))
		case_end(system, &world, NOT_RUN, "the system did not come up");
	/* One standing task on each minion, a quarter of its processors. */
	standing.steps[0].long_running = true;
	standing.steps[0].max_per_server = 1;
	if (!submit_until(system, world, standing, 0, 5000))
		case_end(system, &world, NOT_RUN, "a job was not accepted");
	sleep_ms(2000);
	if (begun.trouble) {
		std::lock_guard<std::mutex> guard(world.lock);

		world.minions.push_back(std::make_unique<Minion>(
			world, 12, world.next_ip(), system.ports.control, "vasteras-a", "sorting",
			std::vector<std::string>()));
		world.minions.back()->foreign = true;
		world.minions.back()->up(true);
	}
	sleep_ms(3000);
	for (int i = 0; i < JOBS; i++) {
		jobs.push_back(job_new(1, 3100, WORK_MS));
		if (!submit_until(system, world, jobs.back(), (size_t)i, 5000))
			case_end(system, &world, NOT_RUN, "a job was not accepted");
		sleep_ms(200);
	}
	sleep_ms(FINISH_MS);
	at_work.assign(JOBS, now_ms());
	end = now_ms() + WATCH_MS;
	while (now_ms() < end) {
		world.lock.lock();
		for (size_t i = 0; i < JOBS; i++) {
			if (is_at_work(world, jobs[i]) || is_done(world, jobs[i]))
				at_work[i] = now_ms();
			if (now_ms() - at_work[i] >= IDLE_MS)
				idle[i] = true;
		}
		world.lock.unlock();
		sleep_ms(20);
	}
	for (size_t i = 0; i < JOBS; i++) {
		broken += idle[i];
		if (idle[i])
			record("BROKEN LOST: job %s has had nothing running for 3 s, state %s",
			       jobs[i].id.c_str(), job_state(system, jobs[i]).c_str());
	}
	snprintf(text, sizeof(text), "%d of %d jobs have nothing running beside minions with room",
		 broken, JOBS);
	case_end(system, &world, broken ? BROKEN : HELD, text);
}
