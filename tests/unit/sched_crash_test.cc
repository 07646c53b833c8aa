#include "../support/crash_targets.h"

#include <functional>

/* Crashes of targets under their runs: which loss is one, and what it does to the task. */

namespace
{
constexpr uint64_t TRIAL_OVER_MS = 6500; /* the shortest trial, and a renewal */
const char *const CRASHES = "wisterialead_job_crashes_total{}";

class Crash : public CrashTargets
{
      protected:
	/* The target a crashes twice under the only task of the job j, and runs it again. */
	void crash_twice()
	{
		target("a");
		job("j");
		for (int i = 0; i < 2; i++) {
			pass(100);
			crash("a");
			target("a");
		}
		pass(100);
		ASSERT_EQ(rig.find("j")->tasks[0].crashes.count, 2u);
	}

	/*
	 * The only task of the job j is started some times, each on a target that leaves the start
	 * unanswered and then crashes.
	 * @before_crash: what happens between the start and the crash
	 */
	void crash_under_left_starts(int times,
				     const std::function<void(const SchedOrder &)> &before_crash)
	{
		for (const char *id : {"a", "b", "c", "d"})
			target(id);
		unanswered = {"j.0.0.0"};
		job("j");
		for (int i = 0; i < times; i++) {
			for (int wait = 0; wait < 1000 && left.empty(); wait++)
				pass(10);
			ASSERT_FALSE(left.empty()) << i;
			SchedOrder start = left[0];
			before_crash(start);
			crash(start.runner);
			quiet.clear();
			pass(2000);
			target(start.runner);
		}
	}
};
} // namespace

TEST_F(Crash, LaterIncarnationUnderTheSameIdIsACrash)
{
	target("a");
	job("j", 2);
	pass(100);
	crash("a");
	EXPECT_EQ(ends("crashed") + ends("lost"), 0u) << "silence alone ended the runs";
	target("a");
	pass(100);
	EXPECT_EQ(ends("crashed"), 2u);
	EXPECT_EQ(rig.metric(CRASHES), "2");
}

TEST_F(Crash, LaterTargetAtTheAddressIsACrash)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	rig.address = "a:80";
	rig.runner("b", 32000, 2);
	rig.advance(200);
	for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
		rig.answer(order, WL_ORDER_OTHER_INCARNATION);
	EXPECT_EQ(rig.commit(), 2u) << "the end and the removal";
	EXPECT_EQ(ends("crashed"), 1u);
	EXPECT_EQ(started.size(), 1u) << "started on the target that is gone";
}

TEST_F(Crash, EndIsCommittedBeforeTheTargetIsRemoved)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	rig.address = "a:80";
	rig.runner("b", 32000, 2);
	rig.advance(200);
	for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
		rig.answer(order, WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	ASSERT_EQ(ends("crashed"), 1u);
	for (const auto &line : rig.log)
		if (line.find("event=target-left") != std::string::npos)
			return;
	ADD_FAILURE() << "the target was not removed";
}

TEST_F(Crash, TargetThatDrainsAndRestartsDidNotCrash)
{
	target("a");
	job("j");
	pass(100);
	rig.runner("a", 32000, 1, "r1", true);
	crash("a");
	target("a");
	pass(100);
	EXPECT_EQ(ends("crashed"), 0u);
	EXPECT_EQ(ends("lost"), 1u);
}

TEST_F(Crash, SilenceIsNoCrash)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	pass(LEASES_OVER_MS);
	EXPECT_EQ(ends("lost"), 1u);
	EXPECT_EQ(ends("crashed"), 0u);
}

TEST_F(Crash, SilentTargetWhoseAddressALaterOneReportedCrashed)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	rig.address = "a:80";
	rig.runner("b", 32000, 2);
	targets["b"].down = true;
	pass(LEASES_OVER_MS);
	EXPECT_EQ(ends("crashed"), 1u);
	EXPECT_EQ(lines("event=target-crash target=a life=1 address=a:80 reason=expired"), 1u);
}

TEST_F(Crash, RunThatIsAbsentOnTheSameIncarnationIsNoCrash)
{
	target("a");
	job("j");
	pass(100);
	targets["a"].runs.clear();
	pass(2000);
	EXPECT_EQ(ends("lost"), 1u);
	EXPECT_EQ(ends("crashed"), 0u);
}

TEST_F(Crash, RunPlacedOnATargetThatWasDownDidNotCrashIt)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	job("late");
	pass(1000);
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(ends("crashed"), 1u);
	EXPECT_EQ(ends("lost"), 1u);
}

TEST_F(Crash, CrashOfAnIncarnationThatWasNotCommittedIsFound)
{
	target("a");
	job("j");
	pass(100);
	targets["a"].life = 2; /* a renewal shows it before any report */
	targets["a"].runs.clear();
	pass(100);
	job("k");
	pass(100);
	ASSERT_EQ(started.back().task, "k.0.0.0");
	crash("a");
	rig.address = "a:80";
	rig.runner("b", 32000, 3);
	targets["b"].down = true;
	pass(2 * LEASES_OVER_MS); /* an order to the incarnation before may be late */
	EXPECT_EQ(rig.find("k")->tasks[0].crashes.count, 1u);
}

TEST_F(Crash, RunThatIsAbsentOnAnIncarnationThatWasNotCommittedIsNoCrash)
{
	target("a");
	job("j");
	pass(100);
	targets["a"].life = 2;
	targets["a"].runs.clear();
	pass(100);
	job("k");
	pass(100);
	targets["a"].runs.clear();
	pass(2000);
	EXPECT_EQ(rig.find("k")->tasks[0].crashes.count, 0u);
	EXPECT_GT(rig.find("k")->tasks[0].run, 1u);
}

TEST_F(Crash, NewLeaderFindsTheCrash)
{
	target("a");
	job("j");
	pass(100);
	rig.follow();
	targets["a"].runs.clear();
	rig.orders.clear();
	rig.lead(2);
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(ends("crashed"), 1u);
}

TEST_F(Crash, JobOfATaskThatCrashesItsTargetsFailsAfterThree)
{
	for (const char *id : {"a", "b", "c", "d"})
		target(id);
	guilty = {"j.0.0.0"};
	job("j");
	for (int i = 0; i < 20; i++) {
		pass(100);
		back_after_crash();
	}
	EXPECT_EQ(rig.job_state("j"), "failed");
	EXPECT_EQ(crashes, 3u);
	EXPECT_EQ(started.size(), 3u);
	EXPECT_EQ(lines("event=task-given-up job=j task=0.0.0 crashes=3"), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_tasks_given_up_total{}"), "1");
}

/*
 * Guards against a job that is shown as failed although its task has never begun: each time its
 * start is left unanswered by a target that crashes before it would carry it out.
 */
TEST_F(Crash, StartsWithoutAnAnswerDoNotFailTheirJob)
{
	for (const char *id : {"a", "b", "c", "d"})
		target(id);
	unanswered = {"j.0.0.0"};
	job("j");
	for (int i = 0; i < 6; i++) {
		for (int wait = 0; wait < 100 && left.empty(); wait++)
			pass(100);
		ASSERT_FALSE(left.empty()) << i;
		std::string at = left[0].runner;
		pass(400);
		crash(at);
		pass(2000);
		target(at);
	}
	EXPECT_EQ(rig.job_state("j"), "running");
	/* Three targets that are known to have begun it do fail it. */
	unanswered.clear();
	guilty = {"j.0.0.0"};
	for (int i = 0; i < 200; i++) {
		pass(100);
		back_after_crash();
	}
	EXPECT_EQ(rig.job_state("j"), "failed");
	EXPECT_EQ(started.size(), 3u);
}

/* Nothing is heard of the target after the start, until its connections break. */
TEST_F(Crash, StartsThatAreOpenUntilTheTargetCrashesLaterDoNotFailTheirJob)
{
	crash_under_left_starts(6, [this](const SchedOrder &start) {
		quiet = {start.runner};
		pass(400);
	});
	EXPECT_EQ(rig.job_state("j"), "running");
	EXPECT_GT(rig.find("j")->tasks[0].crashes.count, 0u);
}

/* They begin without an answer that arrives, as their targets crash at once. */
TEST_F(Crash, StartsThatBreakAtOnceFailTheirJob)
{
	crash_under_left_starts(3, [this](const SchedOrder &start) {
		quiet = {start.runner};
		pass(100);
	});
	pass(START_OVER_MS);
	EXPECT_EQ(rig.job_state("j"), "failed");
}

/* The leader hears of it only once it works on, and cannot tell how long they were open. */
TEST_F(Crash, StartsThatBreakAtOnceWhileTheLeaderStandsStillFailTheirJob)
{
	crash_under_left_starts(3, [this](const SchedOrder &) {
		rig.now += 500 * 1000000ULL;
		rig.tick();
	});
	pass(START_OVER_MS);
	EXPECT_EQ(rig.job_state("j"), "failed");
}

/* It may have crashed at once: its power is lost, and no connection breaks. */
TEST_F(Crash, StartsThatTimeOutFailTheirJob)
{
	crash_under_left_starts(3, [this](const SchedOrder &start) {
		quiet = {start.runner};
		pass(start.timeout_ms);
	});
	pass(START_OVER_MS);
	EXPECT_EQ(rig.job_state("j"), "failed");
}

TEST_F(Crash, LeaderThatChangesBetweenTwoCrashesKeepsTheCount)
{
	for (const char *id : {"a", "b", "c", "d"})
		target(id);
	guilty = {"j.0.0.0"};
	job("j");
	for (uint64_t term = 2; term < 8; term++) {
		pass(START_OVER_MS);
		back_after_crash();
		rig.follow();
		rig.orders.clear();
		rig.lead(term);
		for (const auto &one : targets)
			rig.report_forwarded("s1", one.first, one.second.life);
	}
	EXPECT_EQ(rig.job_state("j"), "failed");
	EXPECT_EQ(crashes, 3u);
	EXPECT_EQ(started.size(), 3u);
}

TEST_F(Crash, LeaderThatChangesBeforeTheEndIsCommittedCountsTheCrash)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	target("a");
	rig.advance(10);
	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	pass(START_OVER_MS);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
}

TEST_F(Crash, RunOfAnEarlierLeaderThatWorkedForLongStartsTheCountAnew)
{
	target("a");
	job("j");
	for (uint64_t term = 2; term < 6; term++) {
		pass(17000); /* the longest trial and a lease */
		rig.follow();
		targets["a"].runs.clear();
		rig.orders.clear();
		rig.lead(term);
		target("a");
		pass(100);
		EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	}
	EXPECT_EQ(rig.job_state("j"), "running");
}

/* The target is gone before the new leader hears of the run. */
TEST_F(Crash, RunThatPassedItsTrialUnderAnEarlierLeaderStartsTheCountAnew)
{
	ASSERT_NO_FATAL_FAILURE(crash_twice());
	pass(TRIAL_OVER_MS);
	rig.follow();
	targets["a"].runs.clear();
	rig.orders.clear();
	rig.lead(2);
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(ends("crashed"), 3u);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	EXPECT_EQ(rig.job_state("j"), "running");
}

TEST_F(Crash, CrashCountsHoweverLongNoLeaderFoundIt)
{
	ASSERT_NO_FATAL_FAILURE(crash_twice());
	rig.follow();
	targets["a"].runs.clear();
	rig.orders.clear();
	rig.advance(15000);
	rig.lead(2);
	target("a");
	pass(START_OVER_MS);
	EXPECT_EQ(ends("crashed"), 3u);
	EXPECT_EQ(rig.job_state("j"), "failed");
	EXPECT_EQ(started.size(), 3u);
}

/* Neither restart was asked for its runs before the next one was known. */
TEST_F(Crash, RunThatWorkedForLongStartsTheCountAnewIfItsTargetRestartsTwice)
{
	target("a");
	job("j");
	for (int i = 0; i < 3; i++) {
		pass(12000); /* longer than the longest trial */
		crash("a");
		target("a");
		target("a");
		pass(100);
		EXPECT_EQ(ends("crashed"), i + 1u);
		EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
		EXPECT_GE(rig.find("j")->tasks[0].crashes.ran_ms, 11000u);
	}
	EXPECT_EQ(rig.job_state("j"), "running");
}

TEST_F(Crash, RunThatWorkedForLongStartsTheCountAnewIfAnotherTargetHasTheAddressOfALaterOne)
{
	target("a");
	job("j");
	pass(100);
	crash("a");
	target("a");
	pass(100);
	ASSERT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	pass(12000);
	ASSERT_EQ(rig.find("j")->tasks[0].crashes.count, 0u);
	crash("a");
	target("a");
	rig.address = "a:80";
	rig.runner("b", 32000, 4);
	rig.advance(200);
	for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
		rig.answer(order, WL_ORDER_OTHER_INCARNATION);
	rig.commit();
	EXPECT_EQ(ends("crashed"), 2u);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	EXPECT_GE(rig.find("j")->tasks[0].crashes.ran_ms, 11000u);
}

/* Its runs have ended as the leases had, and the target has not crashed. */
TEST_F(Crash, TargetThatWasSilentAndIsBackHasNotCrashed)
{
	target("a");
	job("j");
	for (int i = 0; i < 5; i++) {
		pass(100);
		lose({"a"});
		pass(LEASES_OVER_MS);
		targets["a"].down = false;
		pass(2000);
	}
	EXPECT_EQ(ends("lost"), 5u);
	crash("a");
	target("a");
	pass(100);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	EXPECT_EQ(rig.job_state("j"), "running");
}

/* Other work waits for the only other target, which is free when all leases are over. */
TEST_F(Crash, LastingTaskHasWaitedSinceItsTargetFellSilent)
{
	wl_step_spec_t *step;

	rig.objective_ms = 60000;
	rig.configure("timed");
	step = rig.job("timed", "lasting", {1});
	step->lasting = true;
	step->cpu_millis = 32000;
	target("a");
	rig.submit();
	pass(3000);
	lose({"a"});
	rig.job("timed", "short", {1})->cpu_millis = 32000;
	rig.submit();
	for (uint64_t ms = 0; ms < LEASES_OVER_MS && ends("lost") == 0; ms += 100)
		pass(100);
	ASSERT_EQ(ends("lost"), 1u);
	target("b");
	pass(100);
	ASSERT_EQ(targets["b"].runs.size(), 1u);
	EXPECT_EQ(targets["b"].runs[0].task, "lasting.0.0.0");
}

TEST_F(Crash, RackWithoutPowerMakesNoTaskSuspected)
{
	two_racks();
	lose({"a1", "a2", "a3", "a4"});
	start_again({"a1", "a2", "a3", "a4"});
	EXPECT_EQ(ends("lost"), 4u);
	EXPECT_EQ(ends("crashed"), 0u);
}

TEST_F(Crash, FleetWithoutPowerMakesOnlyTheJobSuspectedThatWasOnEachTarget)
{
	std::vector<std::string> all;

	two_racks();
	job("wide", 8);
	pass(100);
	for (const auto &one : targets)
		all.push_back(one.first);
	lose(all);
	start_again(all);
	EXPECT_EQ(ends("lost"), 8u);
	EXPECT_EQ(ends("crashed"), 8u);
	for (uint64_t i = 0; i < 8; i++)
		EXPECT_EQ(rig.find("wide")->tasks[i].crashes.count, 1u);
}

TEST_F(Crash, TwoTargetsLostTogetherCrashed)
{
	two_racks();
	lose({"a1", "a2"});
	start_again({"a1", "a2"});
	EXPECT_EQ(ends("crashed"), 2u);
}

TEST_F(Crash, TargetsLostOneAfterTheOtherCrashed)
{
	two_racks();
	lose({"a1", "a2", "a3"}, 1600);
	start_again({"a1", "a2", "a3"}, 0);
	EXPECT_EQ(ends("crashed"), 3u);
}

TEST_F(Crash, TargetThatAnswersAgainIsNoPartOfAnOutage)
{
	two_racks();
	for (const char *id : {"a1", "a2"})
		targets[id].down = true;
	pass(500);
	for (const char *id : {"a1", "a2"})
		targets[id].down = false;
	pass(500);
	lose({"a3"});
	start_again({"a3"});
	EXPECT_EQ(ends("crashed"), 1u);
}
