#include "../support/sched_rig.h"

#include <ctime>

#include <gtest/gtest.h>

/* Many targets that are silent at the same time, as after an outage. */

namespace
{
constexpr size_t kTargets = 1800;
constexpr uint64_t kTickMs = 10;
/* How much dearer a second of ticks may be while leases are over than before that. */
constexpr double kTimesDearerMax = 4;

double processor_seconds()
{
	return static_cast<double>(clock()) / CLOCKS_PER_SEC;
}

class SchedSilent : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		rig.configure("q");
		for (int i = 0; i < 800; i++) /* until no lease of an earlier leader is left */
			tick();
		report(1);
		rig.job("q", "j", {kTargets});
		rig.submit();
		for (int i = 0; i < 100; i++)
			tick();
	}

	void report(uint64_t life)
	{
		for (size_t i = 0; i < kTargets; i++) {
			rig.address = "10.1." + std::to_string(i / 250) + "." +
				      std::to_string(i % 250) + ":8080";
			rig.runner("i-" + std::to_string(i), 1000, life);
		}
	}

	/* Nothing reaches a target, or no answer comes back. */
	void tick()
	{
		rig.advance(kTickMs);
		rig.commit();
		while (!rig.orders.empty()) {
			SchedOrder order = rig.orders.front();

			rig.orders.pop_front();
			rig.answer(order, WL_ORDER_NO_ANSWER);
		}
	}

	SchedRig rig;
};
} // namespace

/*
 * Regression: with leases that were over, and starts that might still arrive, each tick compared
 * the address of every silent target with those of all others, and the leader did nothing else.
 */
TEST_F(SchedSilent, TicksStayCheapWhileStartsMayStillArrive)
{
	double before = 0, over = 0;

	report(2); /* all have restarted, and answer nothing */
	for (int second = 0; second < 10; second++) {
		double began = processor_seconds();

		for (int i = 0; i < 100; i++)
			tick();
		if (second >= 1 && second < 4) /* the wave is over, the leases are not */
			before += processor_seconds() - began;
		if (second >= 7) /* the leases are over, and no run is lost yet */
			over += processor_seconds() - began;
	}
	EXPECT_LT(over, before * kTimesDearerMax);
}
