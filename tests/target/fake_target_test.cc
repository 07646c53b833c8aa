/* Tests that the fake target implements the contract of docs/TARGETS.md. */

#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "fake.h"
}

static const uint64_t MS = 1000000;

class FakeTarget : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fake_options_t options = {};

		wl_strings_add(&services, WL_STR("sort"));
		options.name = WL_STR("w1");
		options.address = WL_STR("127.0.0.1:1");
		options.services = &services;
		options.capacity = {8000, 8000, 1, 3, 2};
		options.seed = 1;
		options.service_ms = 10;
		options.time_permille = 1000;
		fake = fake_new(&options, 77);
		announce();
	}
	void TearDown() override
	{
		fake_free(fake);
		wl_list_free(&strings, &services);
	}

	uint64_t announce()
	{
		wl_announce_t out = {};

		fake_announce(fake, now, &out);
		uint64_t seq = out.seq;
		announced_tasks = out.tasks.count;
		announced_slots = out.slots;
		wl_record_free(&wl_announce_schema, &out);
		return seq;
	}

	uint64_t command(const std::string &path, const std::string &fields, uint64_t epoch = 5,
			 uint64_t seq = 0, uint64_t boot = 77)
	{
		std::string body = "{\"epoch\":" + std::to_string(epoch) +
				   ",\"boot\":" + std::to_string(boot) +
				   ",\"seq\":" + std::to_string(seq ? seq : fake->seq) + fields +
				   "}";
		wl_buf_t out = {};
		uint64_t status = fake_command(fake, now, wl_str_from(("/v1/" + path).c_str()),
					       wl_str_from(body.c_str()), &out);

		answer.assign(out.at, out.len);
		wl_buf_free(&out);
		return status;
	}

	uint64_t start(const std::string &task, int attempt, uint64_t epoch = 5, uint64_t seq = 0,
		       const std::string &payload = "run_ms=100000", const std::string &from = "")
	{
		return command("tasks/start",
			       ",\"task\":\"" + task + "\",\"attempt\":" + std::to_string(attempt) +
				       ",\"lease_ms\":2000,\"checkpoint\":\"" + from +
				       "\",\"spec\":{\"kind\":\"k\",\"service\":\"sort\","
				       "\"cpu_millis\":100,\"memory_mib\":10,\"class\":\"batch\","
				       "\"payload\":\"" +
				       payload + "\"}",
			       epoch, seq);
	}

	uint64_t task_command(const std::string &path, const std::string &task, int attempt,
			      const std::string &more = "")
	{
		return command("tasks/" + path, ",\"task\":\"" + task + "\",\"attempt\":" +
							std::to_string(attempt) + more);
	}

	std::string state(const char *task)
	{
		const fake_task_t *found = fake_task_find(fake, wl_str_from(task));

		return found ? wl_run_state_names[found->usage.state] : "none";
	}

	void advance(uint64_t ms)
	{
		now += ms * MS;
		fake_advance(fake, now);
	}

	static const wl_schema_t strings;
	wl_list_t services = {};
	fake_t *fake;
	uint64_t now = 1000 * MS;
	size_t announced_tasks = 0;
	uint64_t announced_slots = 0;
	std::string answer;
};

extern "C" const wl_schema_t wl_string_schema;
const wl_schema_t FakeTarget::strings = wl_string_schema;

TEST_F(FakeTarget, RefusesLowerEpochsOnceAdopted)
{
	EXPECT_EQ(start("t", 1), 409u); /* not adopted under that epoch */
	EXPECT_EQ(command("adopt", ""), 200u);
	EXPECT_EQ(start("t", 1, 4), 409u);
	EXPECT_EQ(command("adopt", "", 4), 409u);
	EXPECT_EQ(start("t", 1), 200u);
	EXPECT_EQ(command("adopt", "", 6), 200u);
	EXPECT_NE(answer.find("\"id\":\"t\""), std::string::npos);
	EXPECT_EQ(task_command("stop", "t", 1), 409u);
	EXPECT_EQ(state("t"), "running");
}

TEST_F(FakeTarget, RefusesCommandsThatEchoOldAnnounces)
{
	uint64_t first = fake->seq;

	command("adopt", "");
	for (int i = 0; i < 3; i++)
		announce();
	EXPECT_EQ(command("adopt", "", 5, first), 200u); /* three announces ago */
	announce();
	EXPECT_EQ(start("t", 1, 5, first), 409u); /* four announces ago */
	EXPECT_EQ(command("adopt", "", 5, 0, 78), 409u);
	EXPECT_EQ(state("t"), "none");
}

TEST_F(FakeTarget, LeaseCountsFromTheEchoedAnnounce)
{
	command("adopt", "");
	advance(1999);
	EXPECT_EQ(start("t", 1), 200u);
	advance(1);
	EXPECT_EQ(state("t"), "stopped");
	EXPECT_EQ(start("u", 1), 409u); /* its lease would have expired */
	announce();
	EXPECT_EQ(announced_tasks, 1u);
	EXPECT_EQ(start("u", 1), 200u);
	advance(1500);
	announce();
	EXPECT_EQ(command("tasks/renew",
			  ",\"lease_ms\":2000,\"leases\":[{\"task\":\"u\",\"attempt\":1}]"),
		  200u);
	advance(1999);
	EXPECT_EQ(state("u"), "running");
	advance(1);
	EXPECT_EQ(state("u"), "stopped");
}

TEST_F(FakeTarget, StartIsIdempotentAndRejectsOlderAttempts)
{
	command("adopt", "");
	EXPECT_EQ(start("t", 2), 200u);
	EXPECT_EQ(start("t", 2), 200u);
	EXPECT_EQ(fake_slots_used(fake), 1u);
	EXPECT_EQ(start("t", 1), 409u);
	EXPECT_EQ(task_command("stop", "t", 2), 200u);
	EXPECT_EQ(task_command("ack", "t", 2), 200u);
	EXPECT_EQ(start("t", 2), 409u);
	EXPECT_EQ(start("t", 3), 200u);
}

TEST_F(FakeTarget, StopBarsAnAttemptThatNeverStarted)
{
	command("adopt", "");
	EXPECT_EQ(task_command("stop", "t", 1), 200u);
	EXPECT_NE(answer.find("\"tasks\":[]"), std::string::npos);
	EXPECT_EQ(start("t", 1), 409u);
}

TEST_F(FakeTarget, ResumesFromACheckpoint)
{
	command("adopt", "");
	EXPECT_EQ(start("t", 1, 5, 0, "run_ms=1000"), 200u);
	advance(500);
	EXPECT_EQ(task_command("checkpoint", "t", 1), 200u);
	EXPECT_NE(answer.find("\"checkpoint\":\"500\""), std::string::npos);
	EXPECT_EQ(state("t"), "running");
	EXPECT_EQ(task_command("stop", "t", 1), 200u);
	EXPECT_EQ(start("t", 2, 5, 0, "run_ms=1000", "500"), 200u);
	advance(499);
	EXPECT_EQ(state("t"), "running");
	advance(1);
	EXPECT_EQ(state("t"), "finished");
	EXPECT_NE(start("t", 1), 200u);
}

TEST_F(FakeTarget, ThrottleSlowsWorkAndFreesProcessors)
{
	command("adopt", "");
	start("t", 1, 5, 0, "run_ms=300 cpu_millis=1000");
	EXPECT_EQ(task_command("throttle", "t", 1, ",\"cpu_permille\":300"), 200u);
	EXPECT_EQ(fake_used(fake).cpu_millis, 300u);
	advance(999);
	EXPECT_EQ(state("t"), "running");
	advance(2);
	EXPECT_EQ(state("t"), "finished");
}

TEST_F(FakeTarget, KeepsResultsUntilAcknowledged)
{
	command("adopt", "");
	start("t", 1, 5, 0, "run_ms=10");
	EXPECT_EQ(task_command("ack", "t", 1), 409u);
	advance(10);
	announce();
	EXPECT_EQ(announced_tasks, 1u);
	EXPECT_EQ(task_command("ack", "t", 1), 200u);
	announce();
	EXPECT_EQ(announced_tasks, 0u);
	EXPECT_EQ(task_command("ack", "t", 1), 200u);
}

TEST_F(FakeTarget, RefusesRequestsOverCapacityAndStaleOnes)
{
	wl_list_t headers = {};
	fake_call_t call = {};
	uint64_t due;
	auto send = [&](uint64_t id) {
		fake_reply_t reply = {};
		bool begun;

		call.id = id;
		call.headers = &headers;
		begun = fake_request_begin(fake, now, &call, &reply, &due);
		EXPECT_EQ(begun, reply.status == 200);
		EXPECT_EQ(begun, !reply.not_run);
		wl_buf_free(&reply.id);
		wl_buf_free(&reply.body);
		return begun;
	};

	EXPECT_FALSE(send(1)); /* no epoch header */
	command("adopt", "");
	wl_headers_add(&headers, WL_STR("Wisterialead-Epoch"), WL_STR("5"));
	wl_headers_add(&headers, WL_STR("Wisterialead-Boot"), WL_STR("77"));
	wl_headers_add(&headers, WL_STR("Wisterialead-Seq"), WL_STR("1"));
	EXPECT_TRUE(send(2));
	EXPECT_TRUE(send(3));
	EXPECT_FALSE(send(4)); /* all connections in use */
	fake_request_end(fake, now, 2, true);
	start("t", 1);
	start("u", 1);
	EXPECT_FALSE(send(5)); /* all slots in use */
	command("adopt", "", 6);
	EXPECT_EQ(fake_old_epoch_requests(fake), 1u);
	fake_request_end(fake, now, 3, true);
	EXPECT_FALSE(send(6)); /* stale epoch */
	wl_list_free(&wl_header_schema, &headers);
}

TEST_F(FakeTarget, ShrunkTargetKeepsItsWorkAndRefusesMore)
{
	command("adopt", "");
	EXPECT_EQ(start("t", 1), 200u);
	EXPECT_EQ(start("u", 1), 200u);
	fake_resize(fake, now, 500); /* one slot of three */
	announce();
	EXPECT_EQ(announced_slots, 1u);
	EXPECT_EQ(state("t"), "running");
	EXPECT_EQ(state("u"), "running");
	EXPECT_EQ(task_command("stop", "t", 1), 200u);
	EXPECT_EQ(start("v", 1), 409u);
	EXPECT_EQ(fake->starts_over, 1u);
	EXPECT_EQ(state("v"), "none");
	fake_resize(fake, now, 1000);
	announce();
	EXPECT_EQ(announced_slots, 3u);
	EXPECT_EQ(start("v", 1), 200u);
	EXPECT_EQ(fake->starts_over, 1u);
}

TEST_F(FakeTarget, UnguardedTargetStartsAndCountsWhatIsOverItsCapacity)
{
	command("adopt", "");
	fake->unguarded = true;
	fake_resize(fake, now, 500);
	EXPECT_EQ(start("t", 1), 200u);
	EXPECT_EQ(fake->starts_over, 0u);
	EXPECT_EQ(start("u", 1), 200u);
	EXPECT_EQ(start("u", 1), 200u); /* sent again */
	EXPECT_EQ(state("u"), "running");
	EXPECT_EQ(fake->starts_over, 1u);
}

TEST_F(FakeTarget, FrozenTaskStopsWhenItsLeaseHasExpired)
{
	command("adopt", "");
	start("t", 1, 5, 0, "run_ms=500");
	advance(100);
	fake->frozen = true;
	advance(5000);
	fake_thaw(fake, now);
	EXPECT_EQ(state("t"), "stopped");
}
