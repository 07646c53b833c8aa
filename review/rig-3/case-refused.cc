/*
 * The leader is killed while jobs are handed in, and the operator removes their route. Clients that
 * are told that there is no such queue must not have their job run.
 */

#include "cases.h"

#include <cstdio>
#include <thread>
#include <unistd.h>

using namespace rig;

enum {
	ROUNDS = 10,
	JOBS = 12, /* handed in together */
	ATTEMPTS = 4,
	DOWN_MS = 2000, /* of the killed store */
	ROUND_MS = 8000,
	KILL_STEP_US = 400, /* the kill is later by that in each round */
};

struct Client {
	Job job;
	bool all_rejected = true;
	int last = 0;
};

/* A client: tries again where there was no clear answer. */
static void hand_in(System &system, World &world, Client &client, size_t entry)
{
	for (int i = 0; i < ATTEMPTS; i++) {
		client.last = submit(system, world, client.job, entry + (size_t)i).status;
		client.all_rejected &=
			client.last == 404 || client.last == 429 || client.last == 503;
		if (client.last != 0 && client.last != 502 && client.last != 504)
			return;
		sleep_ms(200);
	}
}

static bool has_started(World &world, const Job &job)
{
	std::lock_guard<std::mutex> guard(world.lock);

	for (const auto &task : world.tasks)
		if (task.second.started && task.first.rfind(job.id, 0) == 0)
			return true;
	return false;
}

int main(int argc, char **argv)
{
	Case begun = case_begin(argc, argv);
	System system(begun.root, begun.folder, 2, {"vasteras-a", "vasteras-b", "koping"});
	World world(system);
	std::vector<Client> clients(ROUNDS * JOBS);
	int version = 1;
	int refused = 0;
	int broken = 0;
	char text[160];

	if (!system_begin(system, world, 12, {"vasteras-a", "vasteras-b", "koping"}, 4))
		case_end(system, &world, NOT_RUN, "the system did not come up");
	for (int round = 0; round < ROUNDS; round++) {
		Machine *leader = system.leader();
		int64_t begin = now_ms();
		std::vector<std::thread> threads;
		size_t other = 0;

		if (!leader)
			case_end(system, &world, NOT_RUN, "no leader is known");
		while (system.stores()[other] == leader)
			other++;
		for (int i = 0; i < JOBS; i++) {
			Client &client = clients[(size_t)(round * JOBS + i)];

			client.job = job_new(1, 3100, 400);
			threads.emplace_back(hand_in, std::ref(system), std::ref(world),
					     std::ref(client), (size_t)i);
		}
		usleep((useconds_t)(KILL_STEP_US * (round + 1)));
		if (begun.trouble) {
			record("signal 9 to the leader %s", leader->ip.c_str());
			system.kill_wait(*leader);
		}
		if (order(system, "POST", "/-/config/replace",
			  config(++version, {"/other/"}, "sorting", true, 4), other)
			    .status != 200)
			case_end(system, &world, NOT_RUN, "a configuration was not acknowledged");
		for (std::thread &thread : threads)
			thread.join();
		sleep_ms(begin + DOWN_MS - now_ms());
		if (begun.trouble)
			system.start(*leader);
		sleep_ms(begin + ROUND_MS - 3000 - now_ms());
		if (order(system, "POST", "/-/config/replace",
			  config(++version, {"/jobs/", "/other/"}, "sorting", true, 4), other)
			    .status != 200)
			case_end(system, &world, NOT_RUN, "a configuration was not acknowledged");
		sleep_ms(begin + ROUND_MS - now_ms());
	}
	for (const Client &client : clients) {
		refused += client.all_rejected;
		if (!client.all_rejected || !has_started(world, client.job))
			continue;
		record("BROKEN REFUSED: job %s runs, though each attempt was rejected, the last "
		       "with "
		       "%d",
		       client.job.id.c_str(), client.last);
		broken++;
	}
	snprintf(text, sizeof(text), "%d jobs, of %d all attempts were rejected, %d of these ran",
		 ROUNDS * JOBS, refused, broken);
	case_end(system, &world, broken ? BROKEN : HELD, text);
}
