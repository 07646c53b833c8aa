#include <vector>

#include <gtest/gtest.h>

#include "../support/state_rig.h"

extern "C" {
#include <libwlcore/job/internal.h>
}

/* Crashes of targets under tasks, in the replicated state. */

namespace
{
class JobCrashes : public testing::Test
{
      protected:
	void SetUp() override
	{
		wl_cmd_t cmd = {};
		wl_catalog_t &catalog = cmd.u.catalog_put.catalog;

		cmd.kind = WL_CMD_CATALOG_PUT;
		catalog.version = 1;
		auto *queue =
			static_cast<wl_queue_t *>(wl_list_add(&wl_queue_schema, &catalog.queues));
		wl_buf_set(&queue->name, WL_STR("q"));
		wl_buf_set(&queue->prefix, WL_STR("/q/"));
		wl_buf_set(&queue->service, WL_STR("sort"));
		rig.apply(&cmd);
		for (const char *id : {"a", "b", "c", "d"})
			report(id, 1);
	}

	void report(const std::string &id, uint64_t life)
	{
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNNER_PUT;
		wl_buf_set(&cmd.u.runner_put.id, str(id));
		cmd.u.runner_put.incarnation = life;
		rig.apply(&cmd);
	}

	/* Prepares a job "j" of one step; submit() adds it. */
	wl_step_spec_t *job(uint64_t count)
	{
		next = {};
		next.kind = WL_CMD_JOB_ADD;
		wl_buf_set(&next.u.job_add.path, WL_STR("/q/j"));
		auto *step = static_cast<wl_step_spec_t *>(
			wl_list_add(&wl_step_spec_schema, &next.u.job_add.spec.steps));
		step->count = count;
		step->cpu_millis = 1000;
		return step;
	}

	void submit()
	{
		EXPECT_EQ(rig.apply(&next).code, static_cast<uint64_t>(WL_OK));
	}

	void start(uint64_t task, uint64_t run, const std::string &target, uint64_t life = 1)
	{
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNS_START;
		auto *row = static_cast<wl_run_start_t *>(
			wl_list_add(&wl_run_start_schema, &cmd.u.runs_start.runs));
		wl_buf_set(&row->job, WL_STR("j"));
		row->task = task;
		row->run = run;
		wl_buf_set(&row->runner, str(target));
		row->incarnation = life;
		rig.apply(&cmd);
	}

	void end(uint64_t task, uint64_t run, const std::string &target, wl_run_outcome_t outcome,
		 uint64_t ran_ms = 0)
	{
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNS_END;
		auto *row = static_cast<wl_run_end_t *>(
			wl_list_add(&wl_run_end_schema, &cmd.u.runs_end.ends));
		wl_buf_set(&row->job, WL_STR("j"));
		row->task = task;
		row->run = run;
		wl_buf_set(&row->runner, str(target));
		row->outcome = outcome;
		row->ran_ms = ran_ms;
		row->outage = outage;
		rig.apply(&cmd);
	}

	/* The run is lost as its target is silent. */
	void lapse(uint64_t task, uint64_t run, const std::string &target)
	{
		wl_cmd_t cmd = {};

		start(task, run, target);
		cmd.kind = WL_CMD_RUNS_END;
		auto *row = static_cast<wl_run_end_t *>(
			wl_list_add(&wl_run_end_schema, &cmd.u.runs_end.ends));
		wl_buf_set(&row->job, WL_STR("j"));
		row->task = task;
		row->run = run;
		wl_buf_set(&row->runner, str(target));
		row->outcome = WL_END_LOST;
		row->silent = true;
		row->incarnation = 1;
		rig.apply(&cmd);
	}

	void sound(uint64_t task, uint64_t run)
	{
		wl_cmd_t cmd = {};

		cmd.kind = WL_CMD_RUNS_END;
		auto *row = static_cast<wl_run_sound_t *>(
			wl_list_add(&wl_run_sound_schema, &cmd.u.runs_end.sound));
		wl_buf_set(&row->job, WL_STR("j"));
		row->task = task;
		row->run = run;
		rig.apply(&cmd);
	}

	void run(uint64_t task, uint64_t number, const std::string &target,
		 wl_run_outcome_t outcome, uint64_t ran_ms = 0)
	{
		start(task, number, target, number);
		end(task, number, target, outcome, ran_ms);
	}

	const wl_job_t *found() const
	{
		return wl_jobs_find(wl_state_jobs(rig.state), WL_STR("j"));
	}

	std::string state() const
	{
		return wl_job_state_names[found()->record.state];
	}

	const wl_task_crashes_t &crashes(uint64_t task = 0) const
	{
		return found()->tasks[task].crashes;
	}

	uint64_t suspects() const
	{
		return wl_state_jobs(rig.state)->suspects;
	}

	StateRig rig;
	wl_cmd_t next = {};
	bool outage = false; /* of the ends that follow */
};

/* Takes the last fields of the records away, as they were before crashes were counted. */
std::string older_snapshot(const std::string &bytes)
{
	constexpr size_t HEAD_BYTES = 5;
	enum {
		ITEM_HEAD = 0,
		ITEM_RUNNER = 9,
		ITEM_JOB = 10,
		ITEM_RUN = 11
	};
	wl_schema_t row = wl_job_task_row_schema;
	wl_schema_t runner = wl_runner_record_schema;
	wl_schema_t run = wl_run_start_schema;
	wl_schema_t job = wl_job_record_schema;
	std::vector<wl_field_t> fields(job.fields, job.fields + job.count);
	std::string older;

	row.count -= 5;
	runner.count -= 2;
	run.count -= 1;
	job.count -= 5;
	for (auto &field : fields)
		if (field.schema == &wl_job_task_row_schema)
			field.schema = &row;
	job.fields = fields.data();
	auto repack = [](const wl_schema_t *now, const wl_schema_t *then, const std::string &item) {
		std::vector<char> record(now->size);
		wl_buf_t packed = {};
		wl_err_t err = {};
		EXPECT_TRUE(wl_record_unpack(now, str(item), record.data(), &err)) << err.text;
		wl_record_pack(then, record.data(), &packed);
		std::string text(packed.at, packed.len);
		wl_buf_free(&packed);
		wl_record_free(now, record.data());
		return text;
	};
	for (size_t at = 0; at < bytes.size();) {
		size_t len = 0;
		for (size_t i = 4; i > 0; i--)
			len = len << 8 | static_cast<unsigned char>(bytes[at + i]);
		std::string item = bytes.substr(at + HEAD_BYTES, len);
		switch (bytes[at]) {
		case ITEM_HEAD: /* its last field is a small number, of one byte */
			item[0]--;
			item.pop_back();
			break;
		case ITEM_RUNNER:
			item = repack(&wl_runner_record_schema, &runner, item);
			break;
		case ITEM_JOB:
			item = repack(&wl_job_record_schema, &job, item);
			break;
		case ITEM_RUN:
			item = repack(&wl_run_start_schema, &run, item);
			break;
		default:
			break;
		}
		older += bytes[at];
		for (size_t i = 0; i < 4; i++)
			older += static_cast<char>(item.size() >> (8 * i) & 0xff);
		older += item;
		at += HEAD_BYTES + len;
	}
	return older;
}
} // namespace

TEST_F(JobCrashes, ThirdCrashFailsTheJob)
{
	job(2);
	submit();
	run(0, 1, "a", WL_END_CRASHED);
	run(0, 2, "b", WL_END_CRASHED);
	EXPECT_EQ(state(), "running");
	run(0, 3, "c", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
	start(0, 4, "d", 4);
	EXPECT_EQ(wl_state_jobs(rig.state)->run_count, 0u) << "started after the third crash";
}

TEST_F(JobCrashes, ThirdCrashFailsAJobOfLastingTasks)
{
	job(1)->lasting = true;
	submit();
	for (uint64_t i = 1; i <= 3; i++)
		run(0, i, "a", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
}

TEST_F(JobCrashes, ThirdCrashInOneOccurrenceFailsARepeatingJob)
{
	job(1);
	next.u.job_add.spec.repeat = 3;
	next.u.job_add.spec.every_ms = 1000;
	submit();
	for (uint64_t i = 1; i <= 2; i++)
		for (uint64_t occurrence = 0; occurrence < 3; occurrence++)
			run(occurrence, i, "a", WL_END_CRASHED);
	EXPECT_EQ(state(), "running") << "two crashes under each of three tasks";
	run(1, 3, "a", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
}

TEST_F(JobCrashes, CrashesUnderSeveralTasksAreNotAddedUp)
{
	job(4);
	submit();
	for (uint64_t task = 0; task < 4; task++)
		run(task, 1, "a", WL_END_CRASHED);
	EXPECT_EQ(state(), "running");
	EXPECT_EQ(suspects(), 4u);
}

TEST_F(JobCrashes, ListedEndClearsTheCount)
{
	job(1)->lasting = true;
	submit();
	for (wl_run_outcome_t outcome : {WL_END_FAILED, WL_END_STOPPED, WL_END_DONE}) {
		uint64_t first = found()->tasks[0].run;

		run(0, first + 1, "a", WL_END_CRASHED);
		run(0, first + 2, "b", WL_END_CRASHED);
		EXPECT_EQ(crashes().count, 2u);
		EXPECT_EQ(suspects(), 1u);
		run(0, first + 3, "c", outcome);
		EXPECT_EQ(crashes().count, 0u);
		EXPECT_EQ(suspects(), 0u);
	}
}

TEST_F(JobCrashes, SoundRunClearsTheCountAndWorksOn)
{
	job(1)->lasting = true;
	submit();
	run(0, 1, "a", WL_END_CRASHED);
	run(0, 2, "b", WL_END_CRASHED);
	start(0, 3, "c", 3);
	sound(0, 3);
	EXPECT_EQ(crashes().count, 0u);
	EXPECT_EQ(suspects(), 0u);
	EXPECT_EQ(wl_state_jobs(rig.state)->run_count, 1u);
	end(0, 3, "c", WL_END_CRASHED);
	EXPECT_EQ(crashes().count, 1u);
	EXPECT_EQ(state(), "running");
}

TEST_F(JobCrashes, SoundRunThatHasEndedClearsNothing)
{
	job(1);
	submit();
	run(0, 1, "a", WL_END_CRASHED);
	run(0, 2, "b", WL_END_LOST);
	sound(0, 2);
	start(0, 3, "c", 3);
	sound(0, 2);
	EXPECT_EQ(crashes().count, 1u);
	EXPECT_EQ(suspects(), 1u);
}

TEST_F(JobCrashes, SoundMemberOfAGangClearsNoCrashOfTheSameStart)
{
	job(2)->gang = true;
	submit();
	start(0, 1, "a");
	start(1, 1, "b");
	end(0, 1, "a", WL_END_CRASHED);
	sound(1, 1);
	EXPECT_EQ(crashes().count, 1u);
	end(1, 1, "b", WL_END_LOST);
	start(0, 2, "a");
	start(1, 2, "b");
	sound(1, 2);
	EXPECT_EQ(crashes().count, 0u);
}

TEST_F(JobCrashes, SoundRunOfAJobThatHasEndedChangesNothing)
{
	job(2);
	submit();
	run(1, 1, "d", WL_END_CRASHED);
	start(1, 2, "d");
	for (uint64_t i = 1; i <= 3; i++)
		run(0, i, "a", WL_END_CRASHED);
	ASSERT_EQ(state(), "failed");
	sound(1, 2);
	EXPECT_EQ(crashes(1).count, 1u);
	EXPECT_EQ(suspects(), 0u);
}

TEST_F(JobCrashes, LossThatIsNoCrashNeitherCountsNorClears)
{
	job(1);
	submit();
	run(0, 1, "a", WL_END_CRASHED);
	run(0, 2, "a", WL_END_LOST);
	run(0, 3, "a", WL_END_NOT_STARTED);
	run(0, 4, "a", WL_END_LEASE_EXPIRED);
	EXPECT_EQ(crashes().count, 1u);
	run(0, 5, "a", WL_END_CRASHED);
	EXPECT_EQ(crashes().count, 2u);
}

TEST_F(JobCrashes, RunThatWorkedForLongStartsTheCountAnew)
{
	job(1);
	submit();
	run(0, 1, "a", WL_END_CRASHED, 20);
	run(0, 2, "b", WL_END_CRASHED, 20);
	run(0, 3, "c", WL_END_CRASHED, 5001);
	EXPECT_EQ(state(), "running");
	EXPECT_EQ(crashes().count, 1u);
	run(0, 4, "c", WL_END_CRASHED, 10000);
	EXPECT_EQ(crashes().count, 2u) << "it ran no longer than twice as long as before";
	run(0, 5, "c", WL_END_CRASHED, 10001);
	EXPECT_EQ(crashes().count, 1u) << "no run has to last longer than the limit";
}

TEST_F(JobCrashes, OutagesThatRecurMakeATaskSuspectedAndNoMore)
{
	job(1);
	submit();
	outage = true;
	for (uint64_t i = 1; i <= 4; i++)
		run(0, i, "a", WL_END_CRASHED);
	EXPECT_EQ(crashes().count, 1u);
	outage = false;
	run(0, 5, "a", WL_END_CRASHED);
	outage = true;
	run(0, 6, "a", WL_END_CRASHED);
	EXPECT_EQ(crashes().count, 2u);
	outage = false;
	run(0, 7, "a", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
}

TEST_F(JobCrashes, EndThatIsSentAgainCountsOnce)
{
	job(1);
	submit();
	start(0, 1, "a");
	for (int i = 0; i < 4; i++)
		end(0, 1, "a", WL_END_CRASHED);
	EXPECT_EQ(crashes().count, 1u);
	EXPECT_EQ(state(), "running");
}

TEST_F(JobCrashes, RunsThatEndWithOneTargetHaveOneNumber)
{
	job(4);
	submit();
	for (uint64_t task = 0; task < 3; task++)
		start(task, 1, "a");
	start(3, 1, "b");
	end(0, 1, "a", WL_END_CRASHED);
	end(3, 1, "b", WL_END_CRASHED);
	end(1, 1, "a", WL_END_CRASHED);
	report("a", 2);
	start(2, 2, "a", 2);
	end(2, 1, "a", WL_END_CRASHED);
	EXPECT_EQ(crashes(0).crash, 1u);
	EXPECT_EQ(crashes(1).crash, 1u);
	EXPECT_EQ(crashes(2).crash, 1u);
	EXPECT_EQ(crashes(3).crash, 2u);
	start(0, 2, "a", 2);
	end(0, 2, "a", WL_END_CRASHED);
	EXPECT_EQ(crashes(0).crash, 3u) << "a later incarnation crashed by itself";
}

TEST_F(JobCrashes, CrashUnderSeveralMembersOfAGangCountsOnce)
{
	job(3)->gang = true;
	submit();
	for (uint64_t number = 1; number <= 2; number++) {
		start(0, number, "a", number);
		start(1, number, "b", number);
		start(2, number, "c", number);
		end(2, number, "c", WL_END_CRASHED);
		end(1, number, "b", WL_END_CRASHED);
		end(0, number, "a", WL_END_GANG_BROKEN);
		EXPECT_EQ(crashes(0).count, number);
		EXPECT_EQ(suspects(), 1u);
	}
	start(0, 3, "a", 3);
	start(1, 3, "b", 3);
	start(2, 3, "c", 3);
	end(0, 3, "a", WL_END_STOPPED);
	EXPECT_EQ(crashes(0).count, 2u) << "a member that is stopped shows nothing of the others";
	end(1, 3, "b", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
}

TEST_F(JobCrashes, SuspectedTaskGetsNoSecondCopy)
{
	job(1)->speculative = true;
	submit();
	start(0, 1, "a");
	start(0, 2, "b");
	EXPECT_EQ(wl_state_jobs(rig.state)->run_count, 2u);
	end(0, 1, "a", WL_END_CRASHED);
	end(0, 2, "b", WL_END_LOST);
	start(0, 3, "a", 2);
	start(0, 4, "b");
	EXPECT_EQ(wl_state_jobs(rig.state)->run_count, 1u);
}

TEST_F(JobCrashes, JobThatEndsLeavesNoSuspect)
{
	job(2);
	submit();
	run(1, 1, "a", WL_END_CRASHED);
	for (uint64_t i = 1; i <= 3; i++)
		run(0, i, "b", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
	EXPECT_EQ(suspects(), 0u);
}

TEST_F(JobCrashes, SnapshotKeepsCountsNumbersAndStarts)
{
	job(2);
	submit();
	run(0, 1, "a", WL_END_CRASHED, 30);
	run(0, 2, "b", WL_END_CRASHED, 40);
	rig.clock_ms = 7000;
	start(1, 1, "c");
	std::string bytes = rig.pack();
	rig.restore(bytes);
	EXPECT_EQ(rig.pack(), bytes);
	EXPECT_EQ(suspects(), 1u);
	EXPECT_EQ(found()->suspects, 1u);
	EXPECT_EQ(crashes().count, 2u);
	EXPECT_EQ(crashes().ran_ms, 40u);
	EXPECT_EQ(wl_job_run(found(), 1, 1)->started_ms, 7000u);
	run(0, 3, "c", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
	EXPECT_EQ(crashes().crash, 3u) << "the number of an earlier crash was used again";
}

TEST_F(JobCrashes, OlderSnapshotLoadsAndCountsFromZero)
{
	job(2);
	submit();
	run(0, 1, "a", WL_END_CRASHED);
	start(1, 1, "c");
	std::string older = older_snapshot(rig.pack());
	ASSERT_LT(older.size(), rig.pack().size());
	rig.restore(older);
	EXPECT_EQ(crashes().count, 0u);
	EXPECT_EQ(suspects(), 0u);
	EXPECT_EQ(wl_job_run(found(), 1, 1)->started_ms, 0u);
	for (uint64_t i = 2; i <= 4; i++)
		run(0, i, "b", WL_END_CRASHED);
	EXPECT_EQ(state(), "failed");
}

TEST_F(JobCrashes, OldestLapseGivesWayToOneTooMany)
{
	constexpr uint64_t ENDS_MAX = 16384;
	wl_jobs_t *jobs = wl_state_jobs(rig.state);

	job(ENDS_MAX + 1);
	submit();
	for (uint64_t i = 0; i < ENDS_MAX; i++)
		lapse(i, 1, i < 2 ? "a" : "b");
	EXPECT_NE(wl_jobs_lapse(jobs, WL_STR("a")), nullptr);
	lapse(ENDS_MAX, 1, "c");
	EXPECT_EQ(wl_jobs_lapse(jobs, WL_STR("a")), nullptr);
	EXPECT_EQ(wl_jobs_lapse(jobs, WL_STR("b"))->record.ends.count, ENDS_MAX - 2);
	EXPECT_EQ(wl_jobs_lapse(jobs, WL_STR("c"))->record.ends.count, 1u);
	EXPECT_EQ(jobs->lapsed_ends, ENDS_MAX - 1);
}
