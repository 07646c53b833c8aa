#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* A target that is removed while a start on it is proposed. */
class RemovedTarget : public testing::Test
{
      protected:
	RemovedTarget()
	{
		rig.configure("q");
		rig.runner("i-1");
		rig.job("q", "long", {1});
		rig.submit();
		wl_buf_set(&rig.job("q", "j", {1, 1})[1].data_rack, WL_STR("r1"));
		rig.submit();
		auto started = starts();
		EXPECT_EQ(started.size(), 2u);
		for (const auto &one : started)
			rig.answer(one, WL_ORDER_DONE);
		rig.answer_hold(rig.next_renewal(),
				{SchedRig::view(started[0]), SchedRig::view(started[1])}, {});
		rig.runner("i-2", 32000, 1, "r2");
		rig.answer_hold(rig.next_renewal(), {SchedRig::view(started[0])},
				{SchedRig::end(started[1], 1, WL_END_DONE)});
		removal_propose();
	}

	/* Another target answers at the address, as to an agent that had answers there before. */
	void removal_propose()
	{
		rig.answer(rig.next_renewal(), WL_ORDER_OTHER_INCARNATION);
	}

	std::vector<SchedOrder> starts()
	{
		for (int i = 0; i < 10; i++) {
			rig.advance(10);
			rig.commit();
		}
		return rig.take_orders(WL_ORDER_START);
	}

	/* Starts of the second step. */
	std::vector<SchedOrder> starts_of_second()
	{
		std::vector<SchedOrder> taken;

		for (const auto &one : starts())
			if (one.task == "j.0.1.0")
				taken.push_back(one);
		return taken;
	}

	/* The target that has the run of the second step, as the next leader will believe. */
	std::string target_of_record() const
	{
		const wl_job_t *job = rig.find("j");
		const wl_run_t *run = job ? TAILQ_FIRST(&job->tasks[1].runs) : nullptr;

		return run ? std::string(run->runner->key.at, run->runner->key.len) : "none";
	}

	SchedRig rig;
};

TEST_F(RemovedTarget, StartThatWasProposedForItIsTriedElsewhere)
{
	auto started = starts_of_second();

	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].runner, "i-2");
	EXPECT_EQ(target_of_record(), "i-2") << "the next leader looks for the run elsewhere";
}

TEST_F(RemovedTarget, RecordOfAStartNamesTheTargetThatGotIt)
{
	rig.runner("i-1", 32000, 2, "r1", true);
	auto started = starts_of_second();

	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].runner, target_of_record()) << "two runs of one task may overlap";
}

TEST_F(RemovedTarget, NextLeaderDoesNotStartTheTaskWhileItRuns)
{
	rig.runner("i-1", 32000, 2, "r1", true);
	auto started = starts_of_second();

	ASSERT_EQ(started.size(), 1u);
	rig.answer(started[0], WL_ORDER_DONE);
	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	rig.report_forwarded("s1", "i-2");
	rig.advance(10);
	for (const auto &one : rig.take_orders(WL_ORDER_RENEW))
		if (one.runner != started[0].runner)
			rig.answer_hold(one, {}, {}, 2);
	EXPECT_TRUE(starts_of_second().empty()) << "two runs of one task";
}
