#include "../support/sched_rig.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

/*
 * Tasks that fit, behind others that wait. Guards against tasks that no placement pass considers,
 * as the passes end at the ones before them.
 */

namespace
{
constexpr uint64_t TARGETS = 8;
constexpr uint64_t TARGET_CPU = 32000;

class Waiting : public ::testing::Test
{
      protected:
	Waiting()
	{
		rig.configure("urgent");
		rig.configure("other", 2);
		for (uint64_t i = 0; i < TARGETS; i++)
			rig.runner("i-" + std::to_string(i), TARGET_CPU);
	}

	void label_set(wl_step_spec_t *step, const std::string &label)
	{
		wl_buf_set(&step->label, {label.data(), label.size()});
	}

	/* Steps that fit on no target; none of them needs at least what one before it needs. */
	void submit_different(size_t i)
	{
		wl_step_spec_t *step = rig.job("urgent", "w" + std::to_string(i), {TARGETS + 1});

		step->cpu_millis = TARGET_CPU - i;
		switch (i % 4) {
		case 0:
			label_set(step, "lost-" + std::to_string(i));
			break;
		case 1:
			step->gang = true;
			break;
		case 2:
			step->max_per_target = 1;
			step->cpu_millis += TARGET_CPU;
			break;
		default:
			step->cpu_millis += TARGET_CPU;
			break;
		}
		rig.submit();
	}

	SchedRig rig;
};
} // namespace

/* The metric tells on call for how long tasks were not considered. */
TEST_F(Waiting, TasksThatNoPassConsidersAreCounted)
{
	for (size_t i = 0; i < 3000; i++)
		submit_different(i);
	rig.advance(6000);
	EXPECT_GT(std::stoul(rig.metric("wisterialead_job_unconsidered_ms{}")), 3000u);
	EXPECT_TRUE(std::any_of(rig.log.begin(), rig.log.end(), [](const std::string &line) {
		return line.find("event=tasks-unconsidered ") != std::string::npos;
	}));
	rig.follow();
	EXPECT_EQ(rig.metric("wisterialead_job_unconsidered_ms{}"), "0");
}
