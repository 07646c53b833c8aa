/*
 * A store freezes with the operator's order to take a zone back, which another store carries out;
 * the zone is evacuated again before the frozen one wakes.
 */

#include "cases.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

using namespace rig;

enum {
	FREEZE_MS = 2800,
	CONTACT_MS = 4000,
	EVACUATE_MS = 5000,
	EXTENSION_MS = 6000, /* by which an unstable core stretches the bound */
	WATCH_MS = 12000,
};

static const char *const zone = "cali-a";

static void load(System &system, World &world, std::atomic<bool> &stopping)
{
	for (size_t i = 0; !stopping; i++) {
		submit(system, world, job_new(6, 2600, 300), i);
		sleep_ms(100);
	}
}

/* Starts in the zone since a time. Called with the world's lock. */
static int starts_since(World &world, int64_t since_ms)
{
	int count = 0;

	for (const auto &start : world.log)
		count += start.zone == zone && start.at_ms > since_ms;
	return count;
}

int main(int argc, char **argv)
{
	Case begun = case_begin(argc, argv);
	System system(begun.root, begun.folder, 2, {"bogota-a", "bogota-b", "cali-a"});
	World world(system);
	std::atomic<bool> stopping{false};
	std::vector<Machine *> stores = system.stores();
	std::string path = std::string("/-/evacuations/") + zone;
	Machine *leader;
	size_t frozen = 0;
	int64_t acked;
	int64_t thawed;
	int64_t judged;
	int late;
	char text[160];

	if (!system_begin(system, world, 12, {"bogota-a", "cali-a"}, 4))
		case_end(system, &world, NOT_RUN, "the system did not come up");
	leader = system.leader();
	if (!leader)
		case_end(system, &world, NOT_RUN, "no leader is known");
	while (stores[frozen] == leader)
		frozen++;
	std::thread(load, std::ref(system), std::ref(world), std::ref(stopping)).detach();
	sleep_ms(2000);
	if (order(system, "POST", path + "/start", "", frozen).status != 200)
		case_end(system, &world, NOT_RUN, "the evacuation was not acknowledged");
	sleep_ms(2000);

	thawed = now_ms() + FREEZE_MS;
	if (begun.trouble)
		system.signal(*stores[frozen], SIGSTOP);
	sleep_ms(200);
	if (order(system, "POST", path + "/finish", "", frozen).status != 200)
		case_end(system, &world, NOT_RUN, "the end was not acknowledged");
	sleep_ms(500);
	if (order(system, "POST", path + "/start", "", frozen + 1).status != 200)
		case_end(system, &world, NOT_RUN, "the second evacuation was not acknowledged");
	acked = now_ms();
	sleep_ms(thawed - now_ms());
	if (begun.trouble)
		system.signal(*stores[frozen], SIGCONT);

	judged = acked + EVACUATE_MS + EXTENSION_MS;
	if (judged < thawed + CONTACT_MS)
		judged = thawed + CONTACT_MS;
	sleep_ms(judged + WATCH_MS - now_ms());
	stopping = true;
	world.lock.lock();
	late = starts_since(world, judged);
	snprintf(text, sizeof(text),
		 "%d starts in the zone after its evacuation, %d later than the bound",
		 starts_since(world, acked), late);
	world.lock.unlock();
	case_end(system, &world, late ? BROKEN : HELD, text);
}
