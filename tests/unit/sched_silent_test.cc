#include "../support/sched_rig.h"

#include <ctime>

#include <gtest/gtest.h>

/* Many targets that are silent at the same time, as after an outage. */

namespace
{
constexpr size_t kTargets = 1800;
constexpr uint64_t kTickMs = 10;
/* Of a second of ticks: no replica has more than a part of a processor for all that it does. */
constexpr double kTickSecondsMax = 0.5;

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
	double most = 0;

	report(2); /* all have restarted, and answer nothing */
	for (int second = 0; second < 11; second++) {
		double began = processor_seconds();

		for (int i = 0; i < 100; i++)
			tick();
		if (second > 0 && second < 10) /* between the wave and the end of the runs */
			most = std::max(most, processor_seconds() - began);
	}
	EXPECT_LT(most, kTickSecondsMax);
}
