extern "C" {
#include <libwlcore/node/calls.h>
}

#include <string>
#include <vector>

#include <gtest/gtest.h>

/* Calls to the leader that are sent more than once. */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t BOOT = 777;
constexpr uint64_t DEADLINE_MS = 3000;

class Calls : public testing::Test
{
      protected:
	Calls()
	{
		wl_calls_init(&calls, BOOT);
		wl_out_init(&out);
	}

	~Calls() override
	{
		wl_out_free(&out);
		wl_calls_free(&calls);
	}

	void add(const char *leader)
	{
		wl_out_t actions = {};
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_JOB_ADD;
		wl_out_leader_command(&actions, 5, &cmd, now + DEADLINE_MS * MS);
		wl_calls_add(&calls, &actions.actions[0], wl_str_from(leader), now, &out);
		wl_out_free(&actions);
	}

	/* The ids of the copies that were sent, oldest first. */
	std::vector<uint64_t> copies() const
	{
		std::vector<uint64_t> ids;

		for (size_t i = 0; i < out.count; i++)
			ids.push_back(out.actions[i].msg.u.command.call);
		return ids;
	}

	/* Whether the answer ends the call. */
	bool answer(uint64_t id, wl_code_t code, wl_verdict_t verdict)
	{
		wl_msg_result_t result = {};
		wl_call_outcome_t outcome = {};
		bool ended;

		result.call = id;
		result.result.code = code;
		result.result.verdict = verdict;
		ended = wl_calls_answer(&calls, &result, now, &outcome);
		if (ended) {
			EXPECT_EQ(outcome.id, 5u);
			EXPECT_EQ(outcome.result.code, code);
		}
		return ended;
	}

	void resend(const char *leader, uint64_t ms)
	{
		now += ms * MS;
		wl_calls_resend(&calls, wl_str_from(leader), now, &out);
	}

	uint64_t now = 1000 * MS;
	wl_calls_t calls = {};
	wl_out_t out = {};
};
} // namespace

/*
 * Guards against a job that runs although its caller was told that it does not: an earlier copy of
 * the submission was refused, and a later one is accepted.
 */
TEST_F(Calls, RefusalOfAnEarlierCopyDoesNotEndACommand)
{
	add("s1");
	resend("s2", 10);   /* a new leader */
	resend("s2", 1000); /* no answer */
	auto ids = copies();

	ASSERT_EQ(ids.size(), 3u);
	EXPECT_FALSE(answer(ids[0], WL_E_NOT_FOUND, WL_NOT_RUN));
	EXPECT_FALSE(answer(ids[1], WL_E_OVERLOADED, WL_NOT_RUN));
	EXPECT_TRUE(answer(ids[2], WL_OK, WL_RAN));
	EXPECT_EQ(wl_calls_open_count(&calls), 0u);
}

TEST_F(Calls, RefusalOfTheNewestCopyEndsACommand)
{
	add("s1");
	resend("s2", 10);
	EXPECT_TRUE(answer(copies()[1], WL_E_NOT_FOUND, WL_NOT_RUN));
	EXPECT_FALSE(answer(copies()[0], WL_OK, WL_RAN)) << "it has ended";
}

TEST_F(Calls, SuccessOfAnyCopyEndsACommand)
{
	add("s1");
	resend("s1", 1000);
	resend("s1", 1000);
	EXPECT_TRUE(answer(copies()[0], WL_OK, WL_RAN));
}

TEST_F(Calls, WithoutAClearAnswerItMayHaveRun)
{
	wl_call_outcome_t outcome = {};

	add("s1");
	resend("s2", 10);
	EXPECT_FALSE(answer(copies()[0], WL_E_NOT_FOUND, WL_NOT_RUN));
	now += DEADLINE_MS * MS;
	ASSERT_TRUE(wl_calls_expire(&calls, now, &outcome));
	EXPECT_EQ(outcome.result.verdict, WL_UNKNOWN);
	wl_result_free(&outcome.result);
}

/* A call has as many ids as it needs, and never those of another one. */
TEST_F(Calls, ManyCopiesStayApartFromOtherCalls)
{
	add("s1");
	add("s1");
	for (int i = 0; i < 600; i++)
		resend(i % 2 ? "s1" : "s2", 1);
	auto ids = copies();
	uint64_t first = ids[0];

	for (uint64_t id : ids)
		EXPECT_LT(id, first + 512);
	EXPECT_TRUE(answer(first, WL_OK, WL_RAN));
	EXPECT_EQ(wl_calls_open_count(&calls), 1u);
}
