#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Jobs whose steps run several times, each from its own time on. */

namespace
{
constexpr uint64_t EVERY_MS = 1000;
constexpr uint64_t LATE_MAX_MS = 100;

class Timed : public ::testing::Test
{
      protected:
	Timed()
	{
		rig.agents({"s1"});
		rig.configure("q");
		rig.runner("i-1");
		rig.advance(100);
		rig.job("q", "j", {2});
		rig.repeat(3, EVERY_MS);
		first_ns = rig.now;
		rig.submit();
	}

	/* Plays to a time after the first one; expects each start within its occurrence's time. */
	void play(uint64_t until_ms)
	{
		while (rig.now < first_ns + until_ms * 1000000) {
			rig.advance(10);
			rig.commit();
			for (const auto &start : rig.take_orders(WL_ORDER_START)) {
				uint64_t due_ms = std::stoull(start.task.substr(2)) * EVERY_MS;
				uint64_t at_ms = (rig.now - first_ns) / 1000000;

				EXPECT_GE(at_ms, due_ms) << start.task;
				EXPECT_LE(at_ms, due_ms + LATE_MAX_MS) << start.task;
				rig.answer(start, WL_ORDER_DONE);
				started.push_back(start);
			}
		}
	}

	SchedRig rig;
	uint64_t first_ns = 0;
	std::vector<SchedOrder> started;
};
} // namespace

/* Guards against starts before the time of their occurrence. */
TEST_F(Timed, NoOccurrenceStartsBeforeItsTime)
{
	play(3 * EVERY_MS);
	EXPECT_EQ(started.size(), 6u);
}

/* Guards against a new leader that opens all occurrences at once. */
TEST_F(Timed, NoOccurrenceStartsBeforeItsTimeUnderANewLeader)
{
	play(EVERY_MS / 2);
	rig.follow();
	rig.take_orders(WL_ORDER_RENEW);
	rig.lead(2);
	std::vector<wl_run_view_t> running;
	for (const auto &start : started)
		running.push_back(SchedRig::view(start));
	rig.answer_hold(rig.next_renewal(), running, {});
	play(3 * EVERY_MS);
	EXPECT_EQ(started.size(), 6u);
}
