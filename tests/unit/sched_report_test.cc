#include "../support/events.h"
#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/*
 * Reports under the id of a target that another writer sends, and answers of which a part can't be
 * read: what they change.
 */

namespace
{
class Reports : public testing::Test
{
      protected:
	Reports()
	{
		rig.configure("q");
		rig.runner("i-1", 32000, LIFE);
	}

	wl_runner_report_t &report(uint64_t incarnation, uint64_t sequence)
	{
		wl_runner_report_t &made = cmd.u.runner_put;

		cmd = {};
		cmd.kind = WL_CMD_RUNNER_PUT;
		wl_buf_set(&made.id, WL_STR("i-1"));
		wl_buf_set(&made.service, WL_STR("sort"));
		wl_buf_set(&made.address, WL_STR("10.0.0.9:80"));
		made.cpu_millis = 1;
		made.memory_mib = 1;
		made.incarnation = incarnation;
		made.sequence = sequence;
		made.clock_ms = 1;
		return made;
	}

	/* The target is used as before: where, and with the capacity, that it reported itself. */
	void expect_followed()
	{
		rig.runner("i-1", 32000, LIFE);
		rig.job("q", "j", {1})->cpu_millis = 16000;
		rig.submit();
		rig.advance(10);
		rig.commit();
		auto starts = rig.take_orders(WL_ORDER_START);
		ASSERT_EQ(starts.size(), 1u);
		EXPECT_EQ(starts[0].runner, "i-1");
		EXPECT_EQ(starts[0].address, "10.0.0.1:80");
	}

	static constexpr uint64_t LIFE = 5;
	SchedRig rig;
	wl_cmd_t cmd = {};
};
} // namespace

TEST_F(Reports, OfAnUnknownServiceDisplacesNothing)
{
	wl_buf_set(&report(LIFE, 1000).service, WL_STR("no-such"));
	rig.run_command(&cmd);
	expect_followed();
}

TEST_F(Reports, OfAnUnknownServiceAndALaterStartDisplacesNothing)
{
	wl_buf_set(&report(LIFE + 1, 1000).service, WL_STR("no-such"));
	rig.run_command(&cmd);
	expect_followed();
}

TEST_F(Reports, WithoutAStartTimeDisplacesNothing)
{
	report(0, 1000);
	rig.run_command(&cmd);
	expect_followed();
}

/* A run is not taken for absent if the answer has a row that may be of it. */
TEST_F(Reports, PartialAnswerEndsNoRun)
{
	for (bool partial : {true, false}) {
		wl_order_end_t end = {};

		if (partial) {
			rig.job("q", "j", {1});
			rig.submit();
			rig.advance(10);
			rig.commit();
			auto starts = rig.take_orders(WL_ORDER_START);
			ASSERT_EQ(starts.size(), 1u);
			rig.answer(starts[0], WL_ORDER_DONE);
			rig.answer_hold(rig.next_renewal(), {SchedRig::view(starts[0])}, {}, LIFE);
		}
		SchedOrder renewal = rig.next_renewal();
		end.outcome = WL_ORDER_DONE;
		end.has_clock = true;
		end.incarnation = LIFE;
		end.partial = partial;
		rig.complete(renewal, &end);
		for (int i = 0; i < 3; i++) {
			rig.advance(100);
			rig.commit();
		}
		EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), partial ? 0u : 1u)
			<< "a second start of the task";
	}
}
