#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Stops whose answer is late, missing or wrong. */

namespace
{
constexpr uint64_t MS = 1000000;
/* The users allow 3,000 ms from a cancelling until each target must have its stop. */
constexpr uint64_t STOP_WITHIN_MS = 3000;

class SchedStop : public ::testing::Test
{
      protected:
	SchedStop()
	{
		rig.agents({"s2", "s3"});
		rig.configure("q");
		rig.runner("i-1");
	}

	/* A task of a job is at work on the target. */
	void begin()
	{
		rig.job("q", "j", {1});
		rig.submit();
		rig.advance(100);
		rig.commit();
		auto starts = rig.take_orders(WL_ORDER_START);

		ASSERT_EQ(starts.size(), 1u);
		run = starts[0];
		rig.answer(run, WL_ORDER_DONE);
	}

	/* The target's own work is done, and it lists a run that the leader does not know. */
	SchedOrder leave_unknown()
	{
		SchedOrder other;

		begin();
		other = run;
		other.task = "elsewhere.0.0.0";
		for (int i = 0; i < 20; i++) {
			rig.advance(20);
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
				rig.answer_hold(order, {SchedRig::view(other)},
						{SchedRig::end(run, 1, WL_END_DONE)});
			rig.commit();
		}
		EXPECT_EQ(rig.job_state("j"), "completed");
		return other;
	}

	/*
	 * Lets time pass; the target lists the run and its answers to renewals arrive. Answers of
	 * a broken agent do not.
	 */
	void pass(uint64_t ms, const std::string &broken = "")
	{
		for (uint64_t passed = 0; passed < ms; passed += 20) {
			rig.report_forwarded("s1", "i-1");
			rig.advance(20);
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
				if (order.agent == broken)
					unanswered.push_back(order);
				else
					rig.answer_hold(order, {SchedRig::view(run)}, {});
			}
			for (const auto &order : rig.take_orders(WL_ORDER_STOP)) {
				stops.push_back(order);
				stopped_ns.push_back(rig.now);
				if (order.agent == broken)
					unanswered.push_back(order);
			}
			time_out();
			rig.commit();
		}
	}

	/* The agent gives an order up once its time is over. */
	void time_out()
	{
		std::vector<SchedOrder> left;

		for (const auto &order : unanswered) {
			uint64_t &since = asked_ns[order.id];

			since = since ? since : rig.now;
			if (rig.now - since >= order.timeout_ms * MS)
				rig.answer(order, WL_ORDER_NO_ANSWER);
			else
				left.push_back(order);
		}
		unanswered = left;
	}

	SchedRig rig;
	SchedOrder run;
	std::vector<SchedOrder> stops;
	std::vector<uint64_t> stopped_ns;
	std::vector<SchedOrder> unanswered;
	std::map<uint64_t, uint64_t> asked_ns;
};
} // namespace

/* Guards against a run that its target lists long after it has answered the stop. */
TEST_F(SchedStop, IsRepeatedWhileTheTargetListsTheRun)
{
	begin();
	rig.cancel("q", "j");
	pass(100);
	ASSERT_EQ(stops.size(), 1u);
	rig.answer(stops[0], WL_ORDER_DONE);
	pass(STOP_WITHIN_MS);
	ASSERT_GE(stops.size(), 2u);
	EXPECT_EQ(stops[1].task, run.task);
	EXPECT_EQ(stops[1].run, run.run);
	EXPECT_LE(stops.size(), 4u);
}

/* Guards against a stop that is repeated through the replica that cannot reach the target. */
TEST_F(SchedStop, WithoutAnAnswerGoesThroughAnotherAgent)
{
	begin();
	std::string broken = run.agent;

	pass(500);
	rig.cancel("q", "j");
	uint64_t cancelled_ns = rig.now;

	pass(STOP_WITHIN_MS, broken);
	ASSERT_GE(stops.size(), 2u);
	EXPECT_EQ(stops[0].agent, broken);
	EXPECT_NE(stops[1].agent, broken);
	/* one order without an answer, and the pause before the next */
	EXPECT_LE(stopped_ns[1] - cancelled_ns, 1500 * MS);
}

/* Guards against a stop that waits for its time-out although its agent is known to be lost. */
TEST_F(SchedStop, OfALostAgentIsSentAgainAtOnce)
{
	begin();
	std::string lost = run.agent;

	rig.cancel("q", "j");
	pass(20, lost);
	ASSERT_EQ(stops.size(), 1u);
	pass(600, lost);
	rig.link_down(lost);
	pass(100, lost);
	ASSERT_EQ(stops.size(), 2u);
	EXPECT_NE(stops[1].agent, lost);
}

/* Guards against a run that its target has and the leader does not, once its stop is lost. */
TEST_F(SchedStop, OfAnUnknownRunIsRepeatedUntilItIsGone)
{
	SchedOrder other = leave_unknown();

	ASSERT_GE(rig.take_orders(WL_ORDER_STOP).size(), 1u);
	run = other;
	pass(STOP_WITHIN_MS);
	EXPECT_GE(stops.size(), 2u);
	for (const auto &stop : stops)
		EXPECT_EQ(stop.task, other.task);
}

/* A target that runs nothing that is known gets no longer lease for what is not. */
TEST_F(SchedStop, OfAnUnknownRunDoesNotRenewItsLease)
{
	SchedOrder other = leave_unknown();

	size_t renewals = 0;

	for (int i = 0; i < 150; i++) {
		rig.advance(20);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
			renewals++;
			EXPECT_EQ(order.lease_ms, 0u);
			rig.answer_hold(order, {SchedRig::view(other)}, {});
		}
	}
	EXPECT_GE(renewals, 2u);
}

/*
 * Guards against a start that is carried out late by the next incarnation of a target that runs
 * nothing else: the stop that is meant for it is lost, and nobody looks whether the run is there.
 */
TEST(SchedStopNext, IsRepeatedUntilNoStartCanComeAnyMore)
{
	SchedRig rig;
	std::vector<SchedOrder> runs;
	std::vector<SchedOrder> stops;

	rig.agents({"s2", "s3"});
	rig.configure("q");
	rig.runner("i-1");
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(100);
	rig.commit();
	runs = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(runs.size(), 1u);
	rig.answer(runs[0], WL_ORDER_NO_ANSWER);
	rig.cancel("q", "j");
	for (int i = 0; i < 40 && rig.find("j")->active > 0; i++) {
		rig.advance(20);
		for (const auto &order : rig.take_orders(WL_ORDER_STOP))
			rig.answer(order, WL_ORDER_DONE);
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(order, {}, {});
		rig.commit();
	}
	ASSERT_EQ(rig.find("j")->active, 0u);
	rig.runner("i-1", 32000, 2);
	size_t looks = 0;

	for (int i = 0; i < 150; i++) {
		rig.report_forwarded("s2", "i-1", 2);
		rig.advance(20);
		for (const auto &order : rig.take_orders(WL_ORDER_STOP)) {
			stops.push_back(order);
			rig.answer(order, WL_ORDER_NO_ANSWER);
		}
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
			looks++;
			rig.answer_hold(order, {SchedRig::view(runs[0])}, {}, 2);
		}
	}
	ASSERT_GE(stops.size(), 1u);
	EXPECT_EQ(stops[0].task, runs[0].task);
	EXPECT_GE(stops.size() + looks, 2u);
}
