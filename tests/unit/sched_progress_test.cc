#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* What the log tells of the job that has waited longest without progress. */

namespace
{
class SchedProgress : public ::testing::Test
{
      protected:
	SchedProgress()
	{
		rig.agents({"s1"});
		rig.configure("q");
		rig.runner("i-1", 32000);
	}

	SchedOrder start(const std::string &id, uint64_t cpu_millis)
	{
		rig.job("q", id, {1})[0].cpu_millis = cpu_millis;
		rig.submit();
		rig.advance(100);
		rig.commit();
		auto found = rig.take_orders(WL_ORDER_START);

		if (found.empty())
			return {};
		rig.answer(found[0], WL_ORDER_DONE);
		return found[0];
	}

	/* The target works on the run, and saves its progress from time to time. */
	void pass(uint64_t ms, const SchedOrder &run, uint64_t save_ms = 0)
	{
		for (uint64_t passed = 0; passed < ms; passed += 100) {
			rig.advance(100);
			rig.commit();
			for (const auto &order : rig.take_orders(WL_ORDER_RENEW)) {
				wl_run_view_t view = SchedRig::view(run);
				std::string saved =
					save_ms ? "c" + std::to_string(passed / save_ms) : "";

				wl_buf_set(&view.checkpoint, {saved.data(), saved.size()});
				rig.answer_hold(order, {view}, {});
			}
		}
	}

	std::string newest(const std::string &event) const
	{
		for (auto line = rig.log.rbegin(); line != rig.log.rend(); line++)
			if (line->find("event=" + event + " ") != std::string::npos)
				return *line;
		return "";
	}

	SchedRig rig;
};
} // namespace

TEST_F(SchedProgress, AJobWithoutRoomIsLoggedWithWhatRulesTargetsOut)
{
	SchedOrder busy = start("busy", 32000);

	EXPECT_EQ(start("late", 2000).runner, "");
	pass(9000, busy, 1000);
	EXPECT_EQ(newest("job-waiting"), "");
	pass(3000, busy, 1000);
	EXPECT_NE(newest("job-waiting").find("job=late state=queued"), std::string::npos)
		<< newest("job-waiting");
	EXPECT_NE(newest("job-waiting-for").find("target=i-1 ruled_out_by=no-capacity"),
		  std::string::npos)
		<< newest("job-waiting-for");
	EXPECT_EQ(rig.metric("wisterialead_jobs_waiting{}"), "1");
}

/* A run that saves nothing and is never done is told of with its phase. */
TEST_F(SchedProgress, ARunWithoutProgressIsLoggedWithItsPhase)
{
	SchedOrder busy = start("busy", 32000);

	pass(12000, busy);
	EXPECT_NE(newest("job-waiting").find("job=busy state=running"), std::string::npos)
		<< newest("job-waiting");
	EXPECT_NE(newest("job-waiting").find("oldest=busy/0/1 phase=confirmed"), std::string::npos)
		<< newest("job-waiting");
	EXPECT_EQ(newest("job-waiting-for"), "");
}
