/* Size limit of stored outcomes of requests with an idempotency key. */

#include <gtest/gtest.h>

#include "../support/request_owner.h"

static std::string stored_verdict(size_t bytes)
{
	RequestRun run;
	std::string verdict;

	run.on_action = [&](const wl_action_t *action) {
		wl_cmd_t cmd = {};
		wl_err_t err = {};

		if (action->kind != WL_ACTION_LEADER_CALL)
			return;
		ASSERT_TRUE(wl_cmd_unpack(wl_buf_str(&action->msg.u.command.cmd), &cmd, &err));
		if (cmd.kind == WL_CMD_KEY_END)
			verdict = wl_verdict_name((wl_verdict_t)cmd.u.key_end.verdict);
		if (cmd.kind == WL_CMD_KEY_END && verdict == "ran") {
			EXPECT_EQ(cmd.u.key_end.body.len, bytes);
		}
		wl_cmd_free(&cmd);
	};
	run.start();
	run.target("w1", "sort", "a", 1);
	run.call(1, "POST", "/s/sort/a",
		 {{"Wisterialead-Customer", "norrlamp"}, {"Idempotency-Key", "k"}}, "");

	wl_result_t result = {};
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_RESULT);
	event.tag = WL_PART_ID(WL_PART_REQUEST, 1);
	event.result = &result;
	run.step(&event);
	run.fetched(2, 200, true, true, false, std::string(bytes, 'x'), 5);
	return verdict;
}

TEST(RequestKey, StoresNoPartOfAnAnswerOverTheLimit)
{
	EXPECT_EQ(stored_verdict(262144), "ran");
	EXPECT_EQ(stored_verdict(262145), "unknown");
}
