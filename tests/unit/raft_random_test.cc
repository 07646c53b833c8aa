#include "../support/raft_chaos.h"

static const uint64_t RUNS = 200;
static const uint64_t FOUNDING_RUNS = 60;

TEST(RaftRandom, CommittedEntriesSurviveRandomFaults)
{
	uint64_t committed = 0;

	for (uint64_t seed = 1; seed <= RUNS; seed++) {
		Chaos chaos(seed);

		chaos.start_crashed();
		chaos.run(200, seed % 2 == 0);
		chaos.settle(20000);
		committed += chaos.bus.committed.size();
		EXPECT_EQ(chaos.bus.fault, "") << "seed " << seed;
		chaos.expect_agreement();
		if (HasFailure()) {
			printf("seed %llu\n", static_cast<unsigned long long>(seed));
			return;
		}
	}
	EXPECT_GT(committed, RUNS * 50);
}

/* Replicas start, stop and lose disks while the group is founded; a majority keeps its disks. */
TEST(RaftRandom, AtMostOneGroupIsFounded)
{
	uint64_t founded = 0;

	for (uint64_t seed = 1; seed <= FOUNDING_RUNS; seed++) {
		Chaos chaos(seed);

		for (int i = 0; i < 40 && chaos.bus.fault.empty(); i++) {
			const std::string &name = chaos.random_name();

			if (chaos.below(3) == 0)
				chaos.start_crashed();
			if (chaos.below(3) == 0)
				chaos.bus.crash(name);
			if (chaos.below(6) == 0) {
				const std::string &wiped = chaos.names[seed % 3];

				chaos.bus.crash(wiped);
				chaos.bus.wipe(wiped);
			}
			chaos.bus.run(chaos.below(120));
		}
		chaos.settle(8000);
		founded += chaos.bus.groups.size();
		EXPECT_EQ(chaos.bus.fault, "") << "seed " << seed;
		if (HasFailure())
			return;
	}
	EXPECT_GT(founded, 0u);
	printf("%llu of %llu runs founded a group\n", static_cast<unsigned long long>(founded),
	       static_cast<unsigned long long>(FOUNDING_RUNS));
}
