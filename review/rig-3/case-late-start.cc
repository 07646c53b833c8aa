/*
 * A start gets no answer and is carried out ten seconds later, when its minion has crashed and
 * started again under its id.
 */

#include "cases.h"

#include <cstdio>

using namespace rig;

enum {
	JOBS = 24,	 /* one start of so many is late */
	LATE_MS = 10000, /* of 2 to 12 s */
	CRASH_MS = 3000, /* after the start */
	DOWN_MS = 3000,
};

int main(int argc, char **argv)
{
	Case begun = case_begin(argc, argv);
	System system(begun.root, begun.folder, 2, {"vasteras-a", "vasteras-b", "koping"});
	World world(system);
	std::vector<Job> jobs;
	int64_t begin = 0;
	bool is_aside = false;
	char text[160];

	if (!system_begin(system, world, 12, {"vasteras-a", "vasteras-b", "koping"}, 4))
		case_end(system, &world, NOT_RUN, "the system did not come up");
	for (int i = 0; i < JOBS; i++) {
		Job job = job_new(1, 3100, 400);

		if (begun.trouble && i == JOBS / 2) {
			std::lock_guard<std::mutex> guard(world.lock);

			world.late_job = job.id;
			world.late_start_ms = LATE_MS;
			begin = now_ms();
		}
		if (!submit_until(system, world, job, (size_t)i, 5000))
			case_end(system, &world, NOT_RUN, "a job was not accepted");
		jobs.push_back(job);
		sleep_ms(80);
	}
	if (begun.trouble) {
		Minion *minion;

		sleep_ms(begin + CRASH_MS - now_ms());
		{
			std::lock_guard<std::mutex> guard(world.lock);

			minion = world.late_minion;
			if (minion) {
				minion->crash();
				is_aside = true;
			}
		}
		if (!is_aside)
			case_end(system, &world, NOT_RUN, "no start was late");
		sleep_ms(DOWN_MS);
		std::lock_guard<std::mutex> guard(world.lock);

		minion->clock_base_ms = 1000;
		minion->up(false);
	}
	if (begun.trouble)
		sleep_ms(begin + LATE_MS + 3000 - now_ms());
	else
		sleep_ms(8000);
	for (const Job &job : jobs)
		if (job_state(system, job) != "completed")
			case_end(system, &world, NOT_RUN, "a job is not completed");
	snprintf(text, sizeof(text), "%d starts, %d late, TWICE broken %d times", world.starts,
		 world.late_orders, world.breaks("TWICE"));
	case_end(system, &world, world.breaks("TWICE") ? BROKEN : HELD, text);
}
