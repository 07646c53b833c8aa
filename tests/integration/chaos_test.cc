#include "../support/load.h"
#include "../support/record.h"

extern "C" {
#include <libwlbase/rng.h>
}

#include <signal.h>

#include <cstdlib>
#include <set>

#include <gtest/gtest.h>

/*
 * Injects random faults, two at a time, under load. The environment variables CHAOS_SEED and
 * CHAOS_ROUNDS set the seed and the number of rounds.
 */
namespace
{
constexpr int STOP_MS = 40000;

uint64_t env_number(const char *variable, uint64_t default_value)
{
	const char *value = getenv(variable);

	return value ? strtoull(value, nullptr, 10) : default_value;
}

class Chaos : public ::testing::Test
{
      protected:
	Chaos()
	{
		wl_rng_init(&rng, seed, 0);
	}

	uint64_t random_below(uint64_t bound)
	{
		return wl_rng_below(&rng, bound);
	}

	Member &random_member()
	{
		return *cluster.members[random_below(cluster.members.size())];
	}

	void sleep_ms(uint64_t ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}

	void random_target_control(const std::string &action)
	{
		std::string log = file_read(cluster.folder + "/targets.log");
		size_t at = log.find("control port=") + 13;

		http("127.0.0.1:" + log.substr(at, log.find('\n', at) - at), "POST",
		     "/fake/w" + std::to_string(1 + random_below(2)) + "/" + action);
	}

	void inject_fault()
	{
		Member &member = random_member();
		RelayFaults slow;

		switch (random_below(7)) {
		case 0:
			printf("fault: kill %s with SIGKILL\n", member.name.c_str());
			member.process.kill();
			break;
		case 1:
			printf("fault: freeze %s with SIGSTOP\n", member.name.c_str());
			member.process.signal(SIGSTOP);
			frozen.insert(&member);
			break;
		case 2:
			printf("fault: partition %s from the other daemons\n", member.name.c_str());
			cluster.partition(member);
			break;
		case 3:
			printf("fault: stop %s gracefully with SIGTERM\n", member.name.c_str());
			member.process.signal(SIGTERM);
			stopping.insert(&member);
			break;
		case 4:
			printf("fault: reset the connections to %s\n", member.name.c_str());
			member.relay->reset();
			break;
		case 5:
			printf("fault: delay the connections to %s\n", member.name.c_str());
			slow.delay_ms = 20;
			slow.jitter_ms = 60;
			member.relay->set(slow);
			break;
		default:
			printf("fault: freeze a fake target\n");
			random_target_control("freeze");
			break;
		}
	}

	void clear_faults()
	{
		cluster.heal();
		for (Member *member : frozen)
			member->process.signal(SIGCONT);
		frozen.clear();
		for (int i = 0; i < 8; i++)
			random_target_control("heal");
		for (Member *member : stopping)
			EXPECT_GE(member->process.wait(STOP_MS), 0) << member->name;
		stopping.clear();
		for (auto &member : cluster.members)
			if (!member->process.running()) {
				ASSERT_NO_FATAL_FAILURE(cluster.start(*member));
			}
	}

	void add_task(int index)
	{
		std::string body =
			"{\"kind\":\"report\",\"service\":\"tube-sort\",\"cpu_millis\":1000,"
			"\"memory_mib\":500,\"accelerators\":0,\"run_ms\":1500,\"class\":\"batch\","
			"\"restartable\":" +
			std::string(index % 3 ? "true" : "false") + ",\"payload\":\"\"}";

		for (int i = 0; i < 3; i++) {
			Member &entry = *cluster.members[static_cast<size_t>(index + i) %
							 cluster.members.size()];
			Answer answer = http(entry.caller_address(), "POST", "/v1/tasks", body,
					     {{"Wisterialead-Customer", "norrlamp"},
					      {"Idempotency-Key", "t" + std::to_string(index)}},
					     2000);

			if (answer.status != 202)
				continue;
			tasks[answer.at("id")] = index % 3 != 0;
			return;
		}
	}

	std::string state(const std::string &id)
	{
		for (auto &member : cluster.members) {
			Answer answer = cluster.operator_call(*member, "GET", "/v1/tasks/" + id);

			if (answer.status == 200)
				return answer.at("state");
		}
		return "";
	}

	void check_tasks()
	{
		std::string last;

		for (const auto &task : tasks)
			EXPECT_TRUE(eventually(
				[&] {
					last = state(task.first);
					return last == "done" ||
					       (!task.second && last == "unknown");
				},
				90000))
				<< task.first << " is " << last;
		Record record(cluster.record_text());
		auto begun = record.begun("task_begin", "task");
		for (const std::string &one : record.overlaps())
			ADD_FAILURE() << "attempts of one task overlap: " << one;
		for (const auto &task : tasks)
			if (!task.second) {
				EXPECT_LE(begun[task.first], 1) << task.first;
			}
	}

	uint64_t seed = env_number("CHAOS_SEED", 1);
	wl_rng_t rng;
	Cluster cluster;
	std::set<Member *> frozen;
	std::set<Member *> stopping;
	std::map<std::string, bool> tasks; /* id: restartable */
};

TEST_F(Chaos, FaultsTwoAtATime)
{
	uint64_t rounds = env_number("CHAOS_ROUNDS", 4);
	int added = 0;

	ASSERT_NO_FATAL_FAILURE(cluster.begin());
	Load load(cluster);
	for (uint64_t round = 0; round < rounds; round++) {
		for (int i = 0; i < 6; i++)
			add_task(added++);
		sleep_ms(random_below(1000));
		inject_fault();
		sleep_ms(random_below(3000));
		inject_fault();
		for (int i = 0; i < 3; i++)
			add_task(added++);
		sleep_ms(random_below(8000));
		ASSERT_NO_FATAL_FAILURE(clear_faults());
		ASSERT_TRUE(eventually(
			[this] { return cluster.all_ready() && cluster.open_targets() == 2; },
			60000))
			<< cluster.status().body;
		ASSERT_TRUE(load.progress(50));
	}
	check_tasks();
	load.finish();
}
} // namespace
