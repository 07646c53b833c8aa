#include "../support/crash_targets.h"

/* Where suspected tasks start: those under which targets have crashed. */

namespace
{
class Suspects : public CrashTargets
{
      protected:
	static constexpr uint64_t TRIAL_MS = 5000;
	static constexpr uint64_t TRIAL_MAX_MS = 10000;

	/* Targets of the runs of a job that started since the log of starts had so many. */
	std::vector<std::string> targets_of(const std::string &id, size_t since = 0) const
	{
		std::vector<std::string> found;

		for (size_t i = since; i < started.size(); i++)
			if (started[i].task.rfind(id + ".", 0) == 0)
				found.push_back(started[i].runner);
		return found;
	}

	uint64_t checks() const
	{
		std::string value = rig.metric("wisterialead_job_target_checks_total{}");

		return value.empty() ? 0 : std::stoul(value);
	}

	/* Crashes a fifth of the targets one after the other; they start again. */
	void crash_a_fifth(size_t count)
	{
		for (size_t i = 0; i < count; i += 5) {
			crash(numbered(i));
			target(numbered(i), "r" + std::to_string(i % 7));
		}
	}

	void targets_add(size_t count)
	{
		for (size_t i = 0; i < count; i++)
			target(numbered(i), "r" + std::to_string(i % 7));
	}

	static std::string numbered(size_t i)
	{
		return "t" + std::to_string(1000 + i);
	}

	/* Return: the target on which a task starts that is on trial after two crashes. */
	std::string after_two_crashes()
	{
		guilty = {"j.0.0.0"};
		job("j");
		while (crashes < 2) {
			pass(100);
			back_after_crash();
		}
		guilty.clear();
		pass(100);
		EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 2u);
		EXPECT_EQ(started.size(), 3u);
		return started.back().runner;
	}
};
} // namespace

TEST_F(Suspects, TasksOfOneCrashStartOnDifferentTargets)
{
	target("a");
	job("j", 3);
	pass(100);
	for (const char *id : {"b", "c", "d"})
		target(id);
	crash("a");
	target("a");
	pass(100);
	auto at = targets_of("j", 3);
	std::set<std::string> distinct(at.begin(), at.end());
	EXPECT_EQ(at.size(), 3u);
	EXPECT_EQ(distinct.size(), 3u);
}

TEST_F(Suspects, TasksOfOneCrashMeetOnceTheFirstIsSound)
{
	target("a");
	job("j", 2);
	pass(100);
	crash("a");
	target("a");
	pass(TRIAL_MS - 1000);
	EXPECT_EQ(targets_of("j", 2).size(), 1u);
	pass(1500);
	EXPECT_EQ(targets_of("j", 2).size(), 2u);
}

TEST_F(Suspects, TasksOfDifferentCrashesMayMeet)
{
	target("a");
	target("b");
	job("j");
	job("k");
	pass(100);
	ASSERT_NE(targets_of("j"), targets_of("k"));
	crash("a");
	target("a");
	crash("b");
	target("b");
	pass(100);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 1u);
	EXPECT_EQ(rig.find("k")->tasks[0].crashes.count, 1u);
	EXPECT_EQ(targets_of("j").size() + targets_of("k").size(), 4u);
}

TEST_F(Suspects, TaskAfterTwoCrashesHasItsTargetToItself)
{
	for (const char *id : {"a", "b", "c"})
		target(id);
	std::string alone = after_two_crashes();
	size_t before = started.size();
	job("other", 30);
	pass(TRIAL_MS - 1000);
	for (const auto &at : targets_of("other", before))
		EXPECT_NE(at, alone);
	EXPECT_EQ(targets_of("other", before).size(), 30u);
	pass(1500);
	before = started.size();
	job("later", 30);
	pass(100);
	auto at = targets_of("later", before);
	EXPECT_GT(std::count(at.begin(), at.end(), alone), 0);
}

TEST_F(Suspects, NewLeaderKeepsTheTargetFree)
{
	for (const char *id : {"a", "b", "c"})
		target(id);
	std::string alone = after_two_crashes();
	size_t before = started.size();
	rig.follow();
	rig.orders.clear();
	rig.lead(2);
	pass(100);
	job("other", 30);
	pass(TRIAL_MS - 1000);
	EXPECT_EQ(targets_of("other", before).size(), 30u);
	for (const auto &at : targets_of("other", before))
		EXPECT_NE(at, alone);
}

TEST_F(Suspects, TaskAfterTwoCrashesStartsWhereLeastElseRuns)
{
	target("c");
	rig.job("q", "j", {1})->cpu_millis = 2000;
	rig.submit();
	pass(100);
	crash("c");
	target("c");
	pass(100);
	crash("c");
	pass(3600);
	target("a");
	target("b");
	rig.job("q", "wide", {1})->cpu_millis = 30000;
	rig.submit();
	pass(100);
	std::string wide = started.back().runner;
	job("small", 4);
	pass(100);
	targets["c"].life++;
	targets["c"].down = false;
	rig.address = "c:80";
	rig.runner("c", 32000, targets["c"].life, "r1", true);
	size_t before = started.size();
	pass(3000);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 2u);
	EXPECT_EQ(targets_of("j", before), std::vector<std::string>{wide});
}

/* Any run that has just started may be the one that crashes the target. */
TEST_F(Suspects, TaskAfterTwoCrashesStartsBesideNoNewRunHoweverBusyTheTargets)
{
	for (const char *id : {"a", "b", "c", "d"})
		target(id);
	rig.configure("r");
	guilty = {"j.0.0.0"};
	job("j");
	while (crashes < 2) {
		pass(100);
		back_after_crash();
	}
	guilty.clear();
	size_t before = started.size();
	for (int i = 0; i < 60; i++) {
		for (auto &one : targets)
			if (one.second.runs.size() > 6)
				one.second.runs.erase(one.second.runs.begin() + 1);
		job("busy" + std::to_string(i), 4);
		pass(100);
	}
	auto at = targets_of("j", before);
	ASSERT_EQ(at.size(), 1u) << "it never started";
	size_t index = before;
	while (started[index].task != "j.0.0.0")
		index++;
	uint64_t began_ns = started_ns[index];
	for (size_t i = before; i < started.size(); i++)
		if (i != index && started[i].runner == at[0] && started_ns[i] < began_ns) {
			EXPECT_LE(started_ns[i] + 1900 * 1000000UL, began_ns) << started[i].task;
		}
}

/* It may have harmed the target, whose crash would count against the other task. */
TEST_F(Suspects, TaskAfterTwoCrashesStartsBesideNoRunThatWasJustStopped)
{
	target("a");
	job("j");
	for (int i = 0; i < 2; i++) {
		pass(100);
		crash("a");
		if (i == 0)
			target("a");
	}
	target("b");
	job("stopped");
	pass(100);
	ASSERT_EQ(targets_of("stopped"), std::vector<std::string>{"b"});
	size_t before = started.size();
	rig.cancel("q", "stopped");
	targets["b"].runs.clear();
	pass(200);
	ASSERT_EQ(ends("lost"), 1u) << "it has not ended";
	targets["a"].life++;
	targets["a"].down = false;
	rig.address = "a:80";
	rig.runner("a", 32000, targets["a"].life, "r1", true);
	pass(1000);
	EXPECT_EQ(rig.find("j")->tasks[0].crashes.count, 2u);
	EXPECT_EQ(started.size(), before);
	pass(1000);
	EXPECT_EQ(targets_of("j", before), std::vector<std::string>{"b"});
}

TEST_F(Suspects, GangWiderThanTheTargetsStartsAgain)
{
	target("a");
	target("b");
	rig.job("q", "g", {5})->gang = true;
	rig.submit();
	pass(100);
	EXPECT_EQ(started.size(), 5u);
	for (const char *id : {"a", "b"}) {
		crash(id);
		target(id);
	}
	for (auto &one : targets)
		one.second.runs.clear();
	pass(2 * TRIAL_MAX_MS);
	EXPECT_EQ(started.size(), 10u);
}

/* Twelve tasks on three targets that all crash, though none of the tasks is to blame. */
TEST_F(Suspects, InnocentTasksOfAJobRunAgainSoon)
{
	for (const char *id : {"a", "b", "c"})
		target(id);
	job("j", 12);
	pass(1500);
	for (const char *id : {"a", "b", "c"}) {
		crash(id);
		target(id);
		pass(1000);
	}
	pass(4 * TRIAL_MS);
	size_t running = 0;
	for (const auto &one : targets)
		running += one.second.runs.size();
	EXPECT_EQ(running, 12u);
	EXPECT_EQ(rig.job_state("j"), "running");
}

/*
 * Guards against passes that look for a target for each task, though it waits for other tasks of
 * its job: after many crashes a leader was busy with them for longer than the election time-out.
 */
TEST_F(Suspects, TasksThatWaitForTrialsOfTheirJobNeedNoChecks)
{
	const size_t count = 50;
	const size_t jobs = 100;

	targets_add(count);
	job("j", 8 * count);
	pass(1500);
	crash_a_fifth(count);
	EXPECT_GT(rig.find("j")->suspects, count);
	uint64_t before = checks();
	for (size_t i = 0; i < jobs; i++) {
		rig.job("q", "n" + std::to_string(i), {1});
		rig.submit();
		pass(10);
	}
	EXPECT_GT(rig.find("j")->suspects, count);
	EXPECT_LE(checks() - before, 2 * jobs * count) << "twice those of the jobs alone";
}

/* Guards against lasting tasks that are without a run while nothing tells what holds them up. */
TEST_F(Suspects, LastingTaskThatIsHeldUpIsReported)
{
	target("a");
	rig.job("q", "j", {2})->lasting = true;
	rig.submit();
	pass(1500);
	crash("a");
	target("a");
	pass(3500);
	EXPECT_EQ(lines("event=task-interrupted"), 0u);
	pass(1200);
	EXPECT_GE(lines("event=task-interrupted job=j"), 1u);
	EXPECT_GE(lines("hold=apart target=- crashes=1"), 1u);
	pass(2 * TRIAL_MAX_MS);
	EXPECT_EQ(rig.metric("wisterialead_job_tasks_interrupted{hold=\"apart\"}"), "0");
	EXPECT_EQ(rig.metric("wisterialead_job_interruption_seconds_count{}"), "2");
}

TEST_F(Suspects, LastingTaskWithoutRoomIsReported)
{
	target("a");
	rig.job("q", "j", {1})->lasting = true;
	rig.submit();
	pass(1500);
	crash("a");
	pass(LEASES_OVER_MS + 5000);
	EXPECT_GE(lines("hold=silent target=a"), 1u);
	EXPECT_GE(lines("hold=room target=-"), 1u);
	EXPECT_EQ(rig.metric("wisterialead_job_tasks_interrupted{hold=\"room\"}"), "1");
}

/*
 * Guards against a full search for each suspected task: after the loss of many targets a leader was
 * busy with that for seconds.
 */
TEST_F(Suspects, SuspectedTasksAreNotComparedWithAllTargets)
{
	const size_t count = 400;
	const size_t crashed = count / 5;

	targets_add(count);
	for (size_t i = 0; i < count; i++)
		job("j" + std::to_string(i));
	pass(1500);
	size_t before = started.size();
	EXPECT_EQ(before, count);
	uint64_t checks_before = checks();
	crash_a_fifth(count);
	pass(1000);
	EXPECT_EQ(started.size() - before, crashed);
	EXPECT_LE(checks() - checks_before, 100 * crashed);
}
