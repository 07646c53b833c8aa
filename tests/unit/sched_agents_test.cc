#include "../support/sched_rig.h"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

/* Choice of the replicas that send the leader's orders to targets. */

namespace
{
const std::vector<std::string> OTHERS = {"s2", "s3", "s4", "s5"};
constexpr size_t TARGETS = 200;
} // namespace

class SchedAgents : public testing::Test
{
      protected:
	SchedAgents()
	{
		rig.configure("q");
	}

	/* Runs one task on each target. */
	void fill(size_t targets)
	{
		for (size_t i = 0; i < targets; i++)
			rig.runner("i-" + std::to_string(i), 1000);
		rig.job("q", "j", {targets});
		rig.submit();
		rig.advance(10);
		rig.commit();
		for (const auto &start : rig.take_orders(WL_ORDER_START)) {
			starts[start.runner] = start;
			rig.answer(start, WL_ORDER_DONE);
		}
		ASSERT_EQ(starts.size(), targets);
	}

	/*
	 * The agent of each target, taken from the holds of the next second, which are
	 * answered.
	 */
	std::map<std::string, std::string> agents_of_holds()
	{
		std::map<std::string, std::string> agents;

		for (int i = 0; i < 100; i++) {
			rig.advance(10);
			for (const auto &hold : rig.take_orders(WL_ORDER_RENEW)) {
				agents[hold.runner] = hold.agent;
				rig.answer_hold(hold, {SchedRig::view(starts[hold.runner])}, {});
			}
		}
		return agents;
	}

	/* The agent of the only target gets no answers of it; another one keeps its lease up. */
	void agent_without_answers()
	{
		rig.advance(10);
		auto holds = rig.take_orders(WL_ORDER_RENEW);
		ASSERT_EQ(holds.size(), 1u);
		std::string unreachable_from = holds[0].agent;
		uint64_t renewed_ms = rig.now / 1000000;

		for (int i = 0; i < 1000; i++) {
			if (!holds.empty() && holds[0].agent != unreachable_from) {
				if (holds[0].lease_ms)
					renewed_ms = rig.now / 1000000;
				rig.answer_hold(holds[0], {SchedRig::view(starts["i-0"])}, {});
				holds.clear();
			}
			rig.advance(10);
			if (!holds.empty() && i % 180 == 179) {
				rig.answer(holds[0], WL_ORDER_NO_ANSWER);
				holds.clear();
			}
			auto taken = rig.take_orders(WL_ORDER_RENEW);
			holds.insert(holds.end(), taken.begin(), taken.end());
			EXPECT_LT(rig.now / 1000000 - renewed_ms, 6000u) << "the lease has expired";
			if (HasFailure())
				return;
		}
		EXPECT_EQ(rig.job_state("j"), "running");
	}

	SchedRig rig;
	std::map<std::string, SchedOrder> starts;
};

TEST_F(SchedAgents, LeaderUsesItsOwnAgentWithoutReachableReplicas)
{
	fill(5);
	for (const auto &one : agents_of_holds())
		EXPECT_EQ(one.second, "s1");
}

TEST_F(SchedAgents, OtherReplicasShareTheTargetsEvenly)
{
	std::map<std::string, size_t> counts;

	rig.agents(OTHERS);
	fill(TARGETS);
	for (const auto &one : agents_of_holds())
		counts[one.second]++;
	EXPECT_EQ(counts.count("s1"), 0u);
	ASSERT_EQ(counts.size(), OTHERS.size());
	for (const auto &one : counts)
		EXPECT_LT(one.second, TARGETS * 2 / OTHERS.size()) << one.first;
}

TEST_F(SchedAgents, OnlyTargetsOfALostReplicaMove)
{
	rig.agents(OTHERS);
	fill(TARGETS);
	auto before = agents_of_holds();
	rig.agents({"s2", "s3", "s5"});
	auto after = agents_of_holds();
	ASSERT_EQ(after.size(), TARGETS);
	for (const auto &one : before) {
		if (one.second == "s4")
			EXPECT_NE(after[one.first], "s4");
		else
			EXPECT_EQ(after[one.first], one.second);
	}
}

/* The retried hold goes through another replica at once. */
TEST_F(SchedAgents, TargetsOfALostReplicaAreCalledThroughAnother)
{
	rig.agents({"s2"});
	fill(1);
	rig.advance(10);
	auto first = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(first.size(), 1u);
	rig.agents({"s3"});
	rig.advance(10);
	auto retried = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(retried.size(), 1u);
	EXPECT_EQ(retried[0].agent, "s3");
	EXPECT_NE(retried[0].lease_ms, 0u) << "the target is not known to be unreachable";
}

TEST_F(SchedAgents, StartOfALostReplicaIsFencedBeforeItsTaskRunsElsewhere)
{
	rig.agents({"s2"});
	rig.runner("i-1", 1000);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	ASSERT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
	rig.runner("i-2", 1000);
	rig.link_down("s2");
	rig.advance(10);
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	EXPECT_EQ(holds[0].agent, "s1");
	rig.answer_hold(holds[0], {}, {});
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	rig.answer(stops[0], WL_ORDER_DONE);
	rig.advance(10);
	holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	rig.answer_hold(holds[0], {}, {});
	rig.commit();
	rig.advance(10);
	rig.commit();
	EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
}

TEST_F(SchedAgents, ReplicaIsUsedAgainAfterItsLinkWentDown)
{
	rig.agents({"s2"});
	fill(1);
	rig.link_down("s2");
	rig.agents({"s2"}); /* by an answer from before the link went down */
	EXPECT_EQ(agents_of_holds()["i-0"], "s1");
	rig.agents({"s2"});
	EXPECT_EQ(agents_of_holds()["i-0"], "s2");
}

TEST_F(SchedAgents, OrderOfASilentReplicaExpires)
{
	rig.agents({"s2"});
	fill(1);
	rig.advance(10);
	ASSERT_EQ(rig.take_orders(WL_ORDER_RENEW).size(), 1u);
	rig.advance(4700);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_RENEW).empty());
	rig.advance(400);
	EXPECT_EQ(rig.take_orders(WL_ORDER_RENEW).size(), 1u);
}

/* Without the rejection the hold would expire 4.8 s later, when the lease is nearly over. */
TEST_F(SchedAgents, OrderThatAFullQueueRejectsIsSentThroughAnotherReplica)
{
	rig.agents({"s2", "s3"});
	fill(TARGETS);
	auto before = agents_of_holds();
	rig.full_queues = {"s2"};
	for (int i = 0; i < 30; i++) {
		rig.advance(10);
		for (const auto &hold : rig.take_orders(WL_ORDER_RENEW)) {
			EXPECT_EQ(hold.agent, "s3");
			rig.answer_hold(hold, {SchedRig::view(starts[hold.runner])}, {});
			before.erase(hold.runner);
		}
	}
	EXPECT_TRUE(before.empty()) << before.size() << " targets without a hold";
}

/* A start that was not sent is placed again without a look for it at the target. */
TEST_F(SchedAgents, StartThatAFullQueueRejectsIsPlacedAgain)
{
	rig.agents({"s2"});
	rig.full_queues = {"s2"};
	rig.runner("i-1", 1000);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
	rig.full_queues.clear();
	rig.commit();
	rig.advance(1100);
	rig.runner("i-1", 1000);
	rig.advance(10);
	rig.commit();
	auto starts_again = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(starts_again.size(), 1u);
	EXPECT_EQ(starts_again[0].run, 2u);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_STOP).empty());
}

TEST_F(SchedAgents, AnswerOfAReplicaWithoutTheOrderIsIgnored)
{
	rig.agents({"s2"});
	fill(1);
	rig.advance(10);
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	holds[0].agent = "s3";
	rig.answer_hold(holds[0], {}, {});
	rig.commit();
	EXPECT_EQ(rig.job_state("j"), "running");
	rig.advance(300);
	EXPECT_TRUE(rig.take_orders(WL_ORDER_RENEW).empty()) << "the hold is still in flight";
}

/* An agent may still send a restarted leader the results of orders of its earlier term. */
TEST(SchedOrders, ResultOfAnOrderOfAnEarlierTermIsIgnored)
{
	SchedRig before;
	SchedRig after;
	std::vector<SchedOrder> starts;

	after.follow();
	after.lead(2);
	for (SchedRig *rig : {&before, &after}) {
		rig->configure("q");
		rig->runner("i-1", 1000);
		rig->agents({"s2"});
		rig->job("q", "j", {1});
		rig->submit();
		rig->advance(10);
		rig->commit();
		auto taken = rig->take_orders(WL_ORDER_START);
		ASSERT_EQ(taken.size(), 1u);
		starts.push_back(taken[0]);
	}
	ASSERT_EQ(starts[0].agent, starts[1].agent);
	after.runner("i-2", 1000);
	after.answer(starts[0], WL_ORDER_NO_CAPACITY);
	for (int i = 0; i < 10; i++) {
		after.advance(10);
		after.commit();
	}
	EXPECT_TRUE(after.take_orders(WL_ORDER_START).empty())
		<< "the task may run on the first target";
}

/* Applies a command that is committed while this replica follows. */
static void apply(SchedRig &rig, wl_cmd_t *cmd)
{
	wl_result_t result = {};

	wl_jobs_apply(rig.jobs, cmd, 1, &result);
	wl_result_free(&result);
	wl_cmd_free(cmd);
}

/* A new leader sends one hold for an inherited run, and the next one only when that has ended. */
TEST(SchedOrders, FirstOrderOfALeaderIsSentOnce)
{
	SchedRig rig;
	wl_cmd_t put = {};
	wl_cmd_t start = {};

	rig.configure("q");
	rig.job("q", "j", {1});
	rig.submit();
	rig.follow();
	put.kind = WL_CMD_RUNNER_PUT;
	wl_buf_set(&put.u.runner_put.id, WL_STR("i-1"));
	put.u.runner_put.incarnation = 1;
	apply(rig, &put);
	start.kind = WL_CMD_RUNS_START;
	auto *row = static_cast<wl_run_start_t *>(
		wl_list_add(&wl_run_start_schema, &start.u.runs_start.runs));
	wl_buf_set(&row->job, WL_STR("j"));
	wl_buf_set(&row->runner, WL_STR("i-1"));
	row->run = 1;
	row->incarnation = 1;
	apply(rig, &start);
	rig.lead(2);
	rig.advance(100);
	EXPECT_EQ(rig.take_orders(WL_ORDER_RENEW).size(), 1u);
}

/* A replica may be reachable for the leader but reach no target. */
TEST_F(SchedAgents, TargetUnreachableFromItsReplicaIsCalledThroughAnother)
{
	rig.agents({"s2", "s3"});
	fill(1);
	agent_without_answers();
}

/*
 * Guards against agents that can't be told apart: a leader that has seen many replicas come and go
 * must still avoid the one that reaches no target.
 */
TEST_F(SchedAgents, TargetIsCalledThroughAnotherReplicaAfterManyWereReplaced)
{
	for (int i = 0; i < 200; i++) {
		rig.agents({"s2-" + std::to_string(i), "s3-" + std::to_string(i)});
		rig.advance(10);
	}
	rig.agents({"s2", "s3"});
	fill(1);
	agent_without_answers();
}

/* The replica that had the newest stop of a run is gone for good, and others came after it. */
TEST_F(SchedAgents, RunIsStoppedAfterItsAgentWasReplaced)
{
	rig.agents({"s2"});
	fill(1);
	rig.advance(10);
	rig.cancel("q", "j");
	rig.advance(10);
	rig.commit();
	auto stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_EQ(stops.size(), 1u);
	EXPECT_EQ(stops[0].agent, "s2");
	for (int i = 0; i < 200; i++)
		rig.agents({"s3-" + std::to_string(i)});
	rig.advance(1500);
	stops = rig.take_orders(WL_ORDER_STOP);
	ASSERT_FALSE(stops.empty());
	EXPECT_EQ(stops.front().agent, "s3-199");
}

/* The peer link drops a message that is longer than a frame. */
TEST_F(SchedAgents, OrdersOfAStepAreSplitIntoFrames)
{
	const size_t targets = 40;
	const std::string payload(1 << 20, 'x'); /* the default limit of a request */
	std::set<uint64_t> ids;

	rig.agents({"s2"});
	for (size_t i = 0; i < targets; i++)
		rig.runner("i-" + std::to_string(i), 1000);
	rig.job("q", "j", {targets}, payload);
	rig.submit();
	rig.advance(10);
	rig.commit();
	for (const auto &start : rig.take_orders(WL_ORDER_START))
		ids.insert(start.id);
	EXPECT_EQ(ids.size(), targets);
	EXPECT_LT(rig.sent_bytes_max, size_t{16} << 20) << "the default of --max-frame-bytes";
}

TEST_F(SchedAgents, LogNamesAnUnknownRun)
{
	fill(1);
	rig.advance(10);
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	SchedOrder unknown = starts["i-0"];
	unknown.task = "k.0.1.2";
	unknown.run = 3;
	rig.answer_hold(holds[0], {SchedRig::view(starts["i-0"]), SchedRig::view(unknown)}, {});
	EXPECT_EQ(rig.take_orders(WL_ORDER_STOP).size(), 1u);
	EXPECT_TRUE(std::any_of(rig.log.begin(), rig.log.end(), [](const std::string &line) {
		return line.find("job=k task=0.1.2 run=3") != std::string::npos;
	}));
}

TEST_F(SchedAgents, TargetsReportToTheirAgents)
{
	rig.runner("i-0", 1000);
	EXPECT_EQ(rig.report_to, "s1");
	rig.agents({"s2"});
	rig.runner("i-0", 1000); /* unchanged */
	EXPECT_EQ(rig.report_to, "s2");
	rig.runner("i-1", 1000); /* committed */
	EXPECT_EQ(rig.report_to, "s2");
	rig.link_down("s2");
	rig.runner("i-1", 1000);
	EXPECT_EQ(rig.report_to, "s1");
}

/* A target that was silent for longer than the limit gets no starts. */
TEST_F(SchedAgents, ReportsThroughAnyReplicaKeepATargetUsable)
{
	rig.agents({"s2"});
	rig.runner("i-0", 1000);
	for (int i = 0; i < 4; i++) {
		rig.advance(1500);
		rig.report_forwarded("s2", "i-0");
	}
	rig.link_down("s2");
	for (int i = 0; i < 4; i++) {
		rig.advance(1500);
		rig.report_forwarded("s3", "i-0");
	}
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	EXPECT_EQ(rig.take_orders(WL_ORDER_START).size(), 1u);
}

TEST_F(SchedAgents, ReportsOfAnEarlierIncarnationAreIgnored)
{
	rig.agents({"s2"});
	rig.runner("i-0", 1000, 2);
	for (int i = 0; i < 4; i++) {
		rig.advance(1500);
		rig.report_forwarded("s2", "i-0", 1);
	}
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	EXPECT_TRUE(rig.take_orders(WL_ORDER_START).empty());
}

/* A target that started again would take a start that a paused agent held for a new one. */
TEST_F(SchedAgents, OrdersNameTheTimeUntilWhichTheirAgentMaySendThem)
{
	rig.agents({"s2"});
	rig.runner("i-1", 1000);
	rig.advance(500);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	auto started = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].agent, "s2");
	EXPECT_EQ(started[0].send_by_ms, rig.now / 1000000 + rig.agent_offset_ms + 1000);
	rig.advance(10);
	auto holds = rig.take_orders(WL_ORDER_RENEW);
	ASSERT_EQ(holds.size(), 1u);
	EXPECT_EQ(holds[0].send_by_ms, rig.now / 1000000 + rig.agent_offset_ms + 3000);
}

/* A result that took long to arrive says less of the agent's clock than the one before. */
TEST_F(SchedAgents, LateResultDoesNotSetTheClockOfAnAgentBack)
{
	rig.agents({"s2"});
	rig.runner("i-0", 10000);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	auto started = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(started.size(), 1u);
	ASSERT_EQ(started[0].agent, "s2");
	ASSERT_EQ(started[0].send_by_ms, rig.now / 1000000 + rig.agent_offset_ms + 1000);
	rig.advance(300);
	rig.agent_offset_ms -= 2000;
	rig.answer(started[0], WL_ORDER_DONE);
	rig.agent_offset_ms += 2000;
	rig.job("q", "k", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	started = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].agent, "s2");
	EXPECT_GT(started[0].send_by_ms, rig.now / 1000000 + rig.agent_offset_ms);
}

TEST_F(SchedAgents, AgentOfUnknownClockGetsNoStarts)
{
	rig.silent.insert("s2");
	rig.agents({"s2"});
	rig.runner("i-1", 1000);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	auto started = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].agent, "s1");
	EXPECT_EQ(started[0].send_by_ms, rig.now / 1000000 + 1000);
}

/* Its clock may have started anew. */
TEST_F(SchedAgents, ClockOfAnAgentIsForgottenWithItsLink)
{
	rig.agents({"s2"});
	rig.link_down("s2");
	rig.silent.insert("s2");
	rig.advance(1000);
	rig.agents({"s2"});
	rig.runner("i-1", 1000);
	rig.job("q", "j", {1});
	rig.submit();
	rig.advance(10);
	rig.commit();
	auto started = rig.take_orders(WL_ORDER_START);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].agent, "s1");
}
