#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/*
 * Guards against a server that reports itself as a target, answers no order, and draws the tasks of
 * accepted jobs again and again.
 */

namespace
{
class Unproved : public testing::Test
{
      protected:
	Unproved()
	{
		rig.first_renewals_answered = false;
		rig.agents({"s1"});
		rig.configure("q");
		rig.runner("odd", 64000);
		rig.runner("sound");
	}

	/* Both report themselves; the odd one answers nothing, unless it does. */
	void pass(uint64_t ms)
	{
		for (uint64_t passed = 0; passed < ms; passed += 100) {
			rig.advance(100);
			rig.commit();
			if (passed % 1000 == 0)
				for (const char *id : {"odd", "sound"})
					rig.report_forwarded("s1", id);
			for (auto kind : {WL_ORDER_START, WL_ORDER_RENEW, WL_ORDER_STOP})
				for (const auto &order : rig.take_orders(kind))
					answer(order);
		}
	}

	void answer(const SchedOrder &order)
	{
		std::vector<wl_run_view_t> views;

		calls[order.runner] += order.runner == "odd";
		if (order.kind == WL_ORDER_START)
			starts[order.runner]++;
		if (order.runner == "odd" && !odd_answers) {
			rig.answer(order, WL_ORDER_NO_ANSWER);
			return;
		}
		if (order.kind == WL_ORDER_START)
			runs[order.runner].push_back(order);
		if (order.kind != WL_ORDER_RENEW) {
			rig.answer(order, WL_ORDER_DONE);
			return;
		}
		for (const auto &run : runs[order.runner])
			views.push_back(SchedRig::view(run));
		rig.answer_hold(order, views, {});
	}

	SchedRig rig;
	bool odd_answers = false;
	std::map<std::string, size_t> starts;
	std::map<std::string, size_t> calls;
	std::map<std::string, std::vector<SchedOrder>> runs;
};
} // namespace

TEST_F(Unproved, TargetGetsNoStartsOnceARenewalHasFailed)
{
	pass(1000);
	for (int i = 0; i < 20; i++) {
		rig.job("q", "j" + std::to_string(i), {1});
		rig.submit();
		pass(500);
	}
	EXPECT_EQ(starts["odd"], 0u);
	EXPECT_EQ(starts["sound"], 20u);
}

TEST_F(Unproved, TargetGetsStartsOnceItAnswers)
{
	pass(5000);
	odd_answers = true;
	pass(1500);
	rig.job("q", "j", {40});
	rig.submit();
	pass(1000);
	EXPECT_GT(starts["odd"], 0u);
}

/* One that has answered goes on getting starts when a renewal fails. */
TEST_F(Unproved, TargetThatHasAnsweredIsNotOne)
{
	odd_answers = true;
	pass(1000);
	rig.job("q", "first", {60});
	rig.submit();
	pass(1000);
	ASSERT_GT(starts["odd"], 0u);
	odd_answers = false;
	pass(300);
	size_t before = starts["odd"];
	rig.job("q", "second", {30});
	rig.submit();
	pass(200);
	EXPECT_GT(starts["odd"], before);
}

TEST_F(Unproved, TargetIsAskedNoMoreThanFiveTimesASecond)
{
	pass(1000);
	calls.clear();
	pass(10000);
	EXPECT_LE(calls["odd"], 50u);
	EXPECT_GE(calls["odd"], 10u);
}
