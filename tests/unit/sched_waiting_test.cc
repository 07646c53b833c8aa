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
constexpr uint64_t REPORT_MS = 1000;
constexpr uint64_t NEXT_PASS_MS = 100;
/* A job must not stand still for longer beside free capacity. */
constexpr uint64_t STALLED_MAX_MS = 3000;

class Waiting : public ::testing::Test
{
      protected:
	Waiting()
	{
		rig.configure("urgent");
		rig.configure("other", 2);
		rig.agents({"s1"});
		for (uint64_t i = 0; i < TARGETS; i++)
			rig.runner("i-" + std::to_string(i), TARGET_CPU);
	}

	/* All is as it was, so there is little cause for passes. */
	void report()
	{
		for (const SchedOrder &renewal : rig.take_orders(WL_ORDER_RENEW))
			rig.answer_hold(renewal, {}, {});
		for (uint64_t i = 0; i < TARGETS; i++)
			rig.report_forwarded("s1", "i-" + std::to_string(i));
	}

	void label_set(wl_step_spec_t *step, const std::string &label)
	{
		wl_buf_set(&step->label, {label.data(), label.size()});
	}

	/* Each job's step fits on no target; none of them needs at least what one before it needs.
	 */
	void submit_different(size_t i)
	{
		wl_step_spec_t *step =
			rig.job("urgent", "w" + std::to_string(10000 + i), {TARGETS + 1});

		step->cpu_millis = 2 * TARGET_CPU - i;
		switch (i % 4) {
		case 0:
			step->cpu_millis = TARGET_CPU - i;
			label_set(step, "lost-" + std::to_string(i));
			break;
		case 1:
			step->gang = true;
			break;
		case 2:
			step->max_per_target = 1;
			break;
		default:
			break;
		}
		rig.submit();
	}

	void submit_fitting(const std::string &id)
	{
		rig.job("other", id, {1})->cpu_millis = 100;
		rig.submit();
	}

	size_t starts_within(uint64_t ms, size_t wanted)
	{
		size_t found = 0;

		for (uint64_t passed = 0; passed < ms && found < wanted; passed += 10) {
			rig.advance(10);
			rig.commit();
			if (passed % REPORT_MS == 0)
				report();
			found += rig.take_orders(WL_ORDER_START).size();
		}
		return found;
	}

	/* 600 jobs wait for the label, for which nothing is free; another job starts at once. */
	void expect_no_delay_by(const std::string &label)
	{
		for (int i = 0; i < 600; i++) {
			label_set(rig.job("urgent", "w" + std::to_string(i), {1}), label);
			rig.submit();
		}
		EXPECT_EQ(starts_within(3000, 1), 0u);
		submit_fitting("j");
		EXPECT_EQ(starts_within(NEXT_PASS_MS, 1), 1u);
	}

	SchedRig rig;
};
} // namespace

/* A job of a less urgent queue, while 600 jobs wait for a label that no target has any more. */
TEST_F(Waiting, EqualStepsOfALostLabelDelayNobody)
{
	expect_no_delay_by("lost");
}

/* A label that targets have, but none of them has room: one miss tells of all equal steps. */
TEST_F(Waiting, EqualStepsOfALabelWithoutRoomDelayNobody)
{
	rig.runner("labelled", 1000, 1, "b");
	label_set(rig.job("urgent", "busy", {1}), "b");
	rig.submit();
	EXPECT_EQ(starts_within(NEXT_PASS_MS, 1), 1u);
	expect_no_delay_by("b");
}

/* Waiting steps that say nothing of each other: each is considered in turn. */
TEST_F(Waiting, EveryStepIsConsideredInTurn)
{
	const size_t waiting = 2000;
	const size_t fitting = 20;

	for (size_t i = 0; i < waiting; i++)
		submit_different(i);
	EXPECT_EQ(starts_within(3000, 1), 0u);
	for (size_t i = 0; i < fitting; i++)
		submit_fitting("j" + std::to_string(i));
	EXPECT_EQ(starts_within(STALLED_MAX_MS, fitting), fitting);
}

/* The metric tells on call for how long tasks were not considered. */
TEST_F(Waiting, TasksThatNoPassConsidersAreCounted)
{
	for (size_t i = 0; i < 8000; i++)
		submit_different(i);
	starts_within(6000, 1);
	EXPECT_GT(std::stoul(rig.metric("wisterialead_job_unconsidered_ms{}")), 3000u);
	EXPECT_TRUE(std::any_of(rig.log.begin(), rig.log.end(), [](const std::string &line) {
		return line.find("event=tasks-unconsidered ") != std::string::npos;
	}));
	rig.follow();
	EXPECT_EQ(rig.metric("wisterialead_job_unconsidered_ms{}"), "0");
}
