#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* What the log and the metrics tell of the runs of a job that has ended. */

namespace
{
class SchedTeardown : public ::testing::Test
{
      protected:
	SchedTeardown()
	{
		rig.agents({"s1", "s2"});
		rig.configure("q");
		rig.runner("i-1", 1000000);
	}

	std::vector<SchedOrder> start(const std::string &id, uint64_t tasks)
	{
		rig.job("q", id, {tasks});
		rig.submit();
		rig.advance(100);
		rig.commit();
		return rig.take_orders(WL_ORDER_START);
	}

	std::vector<std::string> lines(const std::string &event) const
	{
		std::vector<std::string> found;

		for (const auto &line : rig.log)
			if (line.find("event=" + event + " ") != std::string::npos)
				found.push_back(line);
		return found;
	}

	/* How often the lines of an event contain a text. */
	size_t count(const std::string &event, const std::string &text) const
	{
		size_t sum = 0;

		for (const auto &line : lines(event))
			for (size_t at = line.find(text); at != std::string::npos;
			     at = line.find(text, at + 1))
				sum++;
		return sum;
	}

	/* The target lists the ends of these runs. */
	void end(const std::vector<SchedOrder> &runs, wl_run_outcome_t how)
	{
		std::vector<wl_end_view_t> ends;

		for (const auto &run : runs)
			ends.push_back(SchedRig::end(run, ++number, how));
		rig.answer_hold(rig.next_renewal(), {}, ends);
		rig.commit();
	}

	SchedRig rig;
	uint64_t number = 0;
};
} // namespace

TEST_F(SchedTeardown, TellsOfEachRunOfACancelledJob)
{
	std::vector<SchedOrder> starts = start("j", 100);

	ASSERT_EQ(starts.size(), 100u);
	for (size_t i = 0; i < 60; i++)
		rig.answer(starts[i], WL_ORDER_DONE);
	rig.cancel("q", "j");
	EXPECT_EQ(count("job-accept", "job=j "), 1u);
	EXPECT_EQ(count("job-accept", "entry=e1"), 1u);
	EXPECT_EQ(count("job-cancel", "job=j "), 1u);
	EXPECT_EQ(count("job-cancel", "code=ok state=cancelled runs=100 entry=e1"), 1u);
	EXPECT_EQ(count("job-teardown", ":confirmed,"), 60u);
	EXPECT_EQ(count("job-teardown", ":starting,"), 40u);
	for (const auto &run : starts)
		rig.answer(run, WL_ORDER_DONE);
	for (const auto &stop : rig.take_orders(WL_ORDER_STOP))
		rig.answer(stop, WL_ORDER_DONE);
	end(starts, WL_END_STOPPED);
	EXPECT_EQ(count("job-torn-down", "@i-1:stopped,listed,"), 100u);
	EXPECT_NE(lines("job-torn-down").back().find(" left=0 "), std::string::npos);
	EXPECT_LT(lines("job-torn-down").size() + lines("job-teardown").size(), 20u);
	EXPECT_EQ(rig.metric("wisterialead_job_teardown_seconds_count{}"), "1");
	EXPECT_EQ(lines("job-runs-on").size(), 0u);
}

TEST_F(SchedTeardown, TellsOfARunThatIsStillThere)
{
	std::vector<SchedOrder> starts = start("j", 1);

	rig.answer(starts[0], WL_ORDER_DONE);
	rig.cancel("q", "j");
	for (int i = 0; i < 40; i++) {
		rig.advance(100);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(order, {SchedRig::view(starts[0])}, {});
		for (const auto &order : rig.take_orders(WL_ORDER_STOP))
			rig.answer(order, WL_ORDER_NO_ANSWER);
	}
	EXPECT_EQ(count("job-runs-on", "job=j state=cancelled "), 1u);
	EXPECT_EQ(count("job-runs-on", "task=0 run=1 target=i-1 phase=confirmed "), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_teardowns_late{}"), "1");
	EXPECT_EQ(rig.metric("wisterialead_job_teardowns_late_total{}"), "1");
	end(starts, WL_END_STOPPED);
	rig.advance(1000);
	EXPECT_EQ(rig.metric("wisterialead_job_teardowns_late{}"), "0");
}

/* The next leader tells of them from its beginning on. */
TEST_F(SchedTeardown, IsInheritedByTheNextLeader)
{
	std::vector<SchedOrder> starts = start("j", 2);

	for (const auto &run : starts)
		rig.answer(run, WL_ORDER_DONE);
	rig.cancel("q", "j");
	rig.follow();
	rig.log.clear();
	rig.lead(2);
	EXPECT_EQ(count("job-teardown", "job=j state=cancelled runs=2 "), 1u);
	EXPECT_EQ(count("job-teardown", ":inherited,"), 2u);
}

/* An end that is not listed by the target is rare, and has an event of its own. */
TEST_F(SchedTeardown, RunsThatAreGivenUpAreToldFromThoseThatEnded)
{
	std::vector<SchedOrder> starts = start("j", 2);

	rig.answer(starts[0], WL_ORDER_NO_CAPACITY);
	rig.answer(starts[1], WL_ORDER_DONE);
	rig.commit();
	end({starts[1]}, WL_END_DONE);
	EXPECT_EQ(count("run-given-up", "reason=refused"), 1u);
	EXPECT_EQ(count("run-end", "how=done reason=listed"), 1u);
}

/* Guards against a run that nobody tells of, as ends of the commit that ended the job count for it.
 */
TEST_F(SchedTeardown, CountsOnlyTheRunsThatAreLeft)
{
	rig.configure("q", 0, 1);
	std::vector<SchedOrder> starts = start("j", 3);

	ASSERT_EQ(starts.size(), 3u);
	for (const auto &run : starts)
		rig.answer(run, WL_ORDER_DONE);
	rig.answer_hold(rig.next_renewal(), {SchedRig::view(starts[2])},
			{SchedRig::end(starts[0], 1, WL_END_FAILED),
			 SchedRig::end(starts[1], 2, WL_END_DONE)});
	rig.commit();
	ASSERT_EQ(rig.job_state("j"), "failed");
	EXPECT_EQ(count("job-teardown", "job=j state=failed runs=1 "), 1u);
	EXPECT_EQ(count("job-torn-down", " left=0 "), 0u);
	for (int i = 0; i < 40; i++) {
		rig.advance(100);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(order, {SchedRig::view(starts[2])}, {});
		for (const auto &order : rig.take_orders(WL_ORDER_STOP))
			rig.answer(order, WL_ORDER_NO_ANSWER);
	}
	EXPECT_EQ(count("job-runs-on", "job=j state=failed "), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_teardowns_late{}"), "1");
}
