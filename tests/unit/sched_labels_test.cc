#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/*
 * Tasks that require a label, on a target that starts again. Guards against starts by the labels
 * of the incarnation before, as the next one may have others.
 */

namespace
{
class Labels : public ::testing::TestWithParam<bool>
{
      protected:
	Labels()
	{
		rig.agents({"s1"});
		rig.configure("q");
		rig.runner("i-1");
		submit("kept", "");
		kept = starts()[0];
		rig.answer(kept, WL_ORDER_DONE);
	}

	void submit(const std::string &id, const std::string &label)
	{
		auto *step = rig.job("q", id, {2});

		wl_buf_set(&step->label, {label.data(), label.size()});
		step->gang = GetParam();
		rig.submit();
	}

	std::vector<SchedOrder> starts()
	{
		rig.advance(100);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
	}

	/* Starts of the job j within half a second. */
	size_t starts_of_j()
	{
		size_t found = 0;

		for (int i = 0; i < 5; i++)
			for (const auto &start : starts())
				found += start.task.substr(0, 2) == "j.";
		return found;
	}

	/* An answer shows a later incarnation, which has not reported itself yet. */
	void start_again()
	{
		rig.answer_hold(rig.next_renewal(), {}, {}, 2);
	}

	SchedRig rig;
	SchedOrder kept;
};
} // namespace

TEST_P(Labels, OfTheEarlierIncarnationAreNotThoseOfTheNext)
{
	start_again();
	submit("j", "a");
	EXPECT_EQ(starts_of_j(), 0u);
	rig.runner("i-1", 32000, 2);
	EXPECT_EQ(starts_of_j(), 2u);
}

/* The tasks were placed before the target started again. */
TEST_P(Labels, StartsThatWereChosenBeforeAreWithheld)
{
	SchedOrder renewal = rig.next_renewal();

	submit("j", "a");
	rig.answer_hold(renewal, {}, {}, 2);
	EXPECT_EQ(starts_of_j(), 0u);
	rig.runner("i-1", 32000, 2);
	EXPECT_EQ(starts_of_j(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Gang, Labels, ::testing::Bool());
