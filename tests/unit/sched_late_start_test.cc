#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/*
 * Guards against a start that got no answer, is carried out by a later incarnation of its target,
 * and runs a task again that has ended.
 */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t STEP_MS = 50;
constexpr uint64_t NEVER_MS = UINT64_MAX;
constexpr uint64_t LATE_MAX_MS = 12000; /* a start may be carried out so long after it was sent */
constexpr uint64_t FENCE_MS = 100;	/* from a first report to the first order */

/* Moments in ms after the start was sent. */
struct Events {
	uint64_t crash_ms;
	uint64_t back_ms;
	uint64_t leader_ms; /* another replica leads from then on; NEVER_MS: none does */
	bool removed;	    /* the target is taken for gone before it is back */
	bool deaf;	    /* the first renewal after its return gets no answer, and is lost */
};

/*
 * A scheduler and two targets. A start to the first one gets no answer; the other one runs the task
 * and lists its end. A target keeps the highest epoch that it has seen, and carries out no order
 * with a lower one.
 */
class Play
{
      public:
	Play()
	{
		rig.first_renewals_answered = false;
		rig.agents({"s1"});
		rig.configure("q");
		rig.runner("i-1");
		pass(2000);
	}

	void pass(uint64_t ms)
	{
		for (uint64_t end = rig.now + ms * MS; rig.now < end;) {
			rig.advance(STEP_MS);
			if (rig.now / MS % 1000 == 0) {
				if (up)
					rig.report_forwarded("s1", "i-1", life);
				rig.report_forwarded("s1", "i-2");
			}
			answer();
		}
	}

	SchedOrder start_unanswered()
	{
		rig.job("q", "j", {1});
		rig.submit();
		rig.advance(10);
		rig.commit();
		auto starts = rig.take_orders(WL_ORDER_START);
		EXPECT_EQ(starts.size(), 1u);
		if (starts.empty())
			return {};
		rig.runner("i-2");
		rig.answer(starts[0], WL_ORDER_NO_ANSWER);
		return starts[0];
	}

	void crash()
	{
		up = false;
		life++;
		epoch = 0;
	}

	void remove()
	{
		rig.runner_left("i-1", life - 1);
		rig.commit();
	}

	void come_back(bool deaf)
	{
		up = true;
		lost = deaf ? 1 : 0;
		rig.clock_offset_ms = 10;
		rig.runner("i-1", 32000, life);
		rig.commit();
	}

	void lead_again()
	{
		rig.follow();
		rig.orders.clear();
		rig.lead(++term);
		rig.agents({"s1"});
	}

	bool carries_out(const SchedOrder &order) const
	{
		return up && order.epoch >= epoch;
	}

	size_t take_renewals()
	{
		size_t count = renewals;

		renewals = 0;
		return count;
	}

	SchedRig rig;

      private:
	void renewal_answer(const SchedOrder &order)
	{
		if (order.runner == "i-2") {
			std::vector<wl_end_view_t> ends;

			if (!second.task.empty())
				ends.push_back(SchedRig::end(second, 1, WL_END_DONE));
			rig.answer_hold(order, {}, ends, 1);
			return;
		}
		renewals++;
		if (!up || lost > 0) {
			lost -= up && lost > 0;
			rig.answer(order, WL_ORDER_NO_ANSWER);
			return;
		}
		EXPECT_GE(order.epoch, epoch);
		epoch = order.epoch;
		rig.answer_hold(order, {}, {}, life);
	}

	void answer()
	{
		for (const auto &order : rig.take_orders(WL_ORDER_RENEW))
			renewal_answer(order);
		for (const auto &order : rig.take_orders(WL_ORDER_STOP))
			rig.answer(order, up ? WL_ORDER_DONE : WL_ORDER_NO_ANSWER);
		for (const auto &order : rig.take_orders(WL_ORDER_START)) {
			bool taken = order.runner == "i-2";

			if (taken)
				second = order;
			rig.answer(order, taken ? WL_ORDER_DONE : WL_ORDER_UNHEALTHY);
		}
		rig.commit();
	}

	bool up = true;
	uint64_t life = 1;
	uint64_t epoch = 0; /* the highest that this incarnation has seen */
	uint64_t term = 1;
	unsigned int lost = 0; /* renewals that do not arrive */
	size_t renewals = 0;   /* that i-1 got, or should have got */
	SchedOrder second = {};
};

/* Plays the events, and lets the start be carried out at each moment. */
void play(const Events &events)
{
	Play one;
	SchedOrder start = one.start_unanswered();
	one.pass(1000);
	ASSERT_EQ(one.rig.job_state("j"), "completed");
	uint64_t fenced_ms = events.back_ms + FENCE_MS + (events.deaf ? 1000 : 0);

	/* a leader that is elected after the return learns of it from the log */
	if (events.leader_ms != NEVER_MS && events.leader_ms >= events.back_ms)
		fenced_ms = std::max(fenced_ms, events.leader_ms + FENCE_MS);
	for (uint64_t at = 1000 + STEP_MS; at <= LATE_MAX_MS; at += STEP_MS) {
		one.pass(STEP_MS);
		if (at == events.crash_ms)
			one.crash();
		if (at == events.leader_ms)
			one.lead_again();
		if (events.removed && at == events.back_ms - STEP_MS)
			one.remove();
		if (at == events.back_ms)
			one.come_back(events.deaf);
		ASSERT_FALSE(at > fenced_ms && one.carries_out(start))
			<< at << " ms after it was sent";
	}
}
} // namespace

TEST(LateStart, IsRefusedFromTheFirstReportOfALaterIncarnationOn)
{
	size_t played = 0;

	for (uint64_t crash : {1500u, 3000u, 5000u})
		for (uint64_t back : {2000u, 4500u, 6000u, 9500u})
			for (uint64_t leader :
			     {uint64_t{1250}, back - STEP_MS, back, back + STEP_MS, NEVER_MS})
				for (int how = 0; how < 4 && crash < back; how++) {
					SCOPED_TRACE("crash " + std::to_string(crash) + " back " +
						     std::to_string(back) + " leader " +
						     std::to_string(leader) + " how " +
						     std::to_string(how));
					play({crash, back, leader, (how & 1) != 0, (how & 2) != 0});
					played++;
				}
	EXPECT_EQ(played, 180u);
}

/* Nothing runs on the target: the order is for its epoch only. */
TEST(LateStart, IncarnationIsAskedUntilItHasAnsweredAndNoMore)
{
	Play one;

	EXPECT_EQ(one.take_renewals(), 1u);
	one.pass(5000);
	EXPECT_EQ(one.take_renewals(), 0u);
	one.crash();
	one.pass(1000);
	one.come_back(true);
	one.pass(3000);
	EXPECT_EQ(one.take_renewals(), 2u);
	one.lead_again();
	one.pass(5000);
	EXPECT_EQ(one.take_renewals(), 1u) << "a new leader does not know whose order it has seen";
}
