#include "../support/load.h"

#include <gtest/gtest.h>

namespace
{
/* Faults on the connections between a target and its owner. */
class TargetLink : public ::testing::Test
{
      protected:
	TargetLink() : cluster(options())
	{
	}
	void SetUp() override
	{
		ASSERT_NO_FATAL_FAILURE(cluster.begin());
	}
	static ClusterOptions options()
	{
		ClusterOptions wanted;

		wanted.stores = 1;
		wanted.entries = 2;
		wanted.targets = 1;
		wanted.relay_target = true;
		return wanted;
	}
	bool open_again()
	{
		return eventually([this] { return cluster.open_targets() == 1; }, 60000);
	}

	Cluster cluster;
};

/* A truncated response is reported as an error, never as a success. */
TEST_F(TargetLink, TruncatedResponseIsNoSuccess)
{
	RelayFaults half;
	half.reset_after_bytes = 3000;
	cluster.target_relay->set(half);
	for (int i = 0; i < 6; i++) {
		std::string id = "half-" + std::to_string(i);
		Answer answer = cluster.request(*cluster.members[i % 3], id, i % 2 ? "POST" : "GET",
						{{"Fake-Response-Bytes", "20000"}});

		EXPECT_TRUE(answer.complete) << answer.error;
		EXPECT_NE(answer.status, 200u) << answer.body.substr(0, 200);
		EXPECT_NE(answer.verdict, "ran") << answer.body.substr(0, 200);
		if (answer.verdict == "not-run") {
			EXPECT_EQ(cluster.request_runs(id), 0);
		}
		if (i % 2) {
			EXPECT_LE(cluster.request_runs(id), 1)
				<< "a POST request was sent more than once";
		}
	}
	cluster.target_relay->set(RelayFaults());
	ASSERT_TRUE(open_again());
	Answer answer;
	EXPECT_TRUE(eventually([&] {
		answer = cluster.request(*cluster.members[0], "whole", "GET",
					 {{"Fake-Response-Bytes", "20000"}});
		return answer.status == 200;
	})) << answer.status
	    << answer.body.substr(0, 200);
	EXPECT_EQ(answer.at("padding").size(), 20000u);
}

/* Connections are reset repeatedly under load. */
TEST_F(TargetLink, ResetsUnderLoad)
{
	Load load(cluster);

	ASSERT_TRUE(load.progress(50));
	for (int i = 0; i < 30; i++) {
		cluster.target_relay->reset();
		std::this_thread::sleep_for(std::chrono::milliseconds(37));
	}
	ASSERT_TRUE(open_again());
	EXPECT_TRUE(load.progress(50));
	load.finish();
}

/* Delayed and reordered answers reach the callers of their own requests. */
TEST_F(TargetLink, ReorderedAnswersReachTheirCallers)
{
	RelayFaults late;
	late.delay_ms = 5;
	late.jitter_ms = 200;
	cluster.target_relay->set(late);
	Load load(cluster, 16);
	EXPECT_TRUE(load.progress(300));
	load.finish();
}

/* Verdicts agree with the target's record when its link stalls for 12 s without closing. */
TEST_F(TargetLink, LinkStallsThenRecovers)
{
	Load load(cluster);
	RelayFaults silent;

	ASSERT_TRUE(load.progress(50));
	silent.hold_up = silent.hold_down = true;
	cluster.target_relay->set(silent);
	std::this_thread::sleep_for(std::chrono::seconds(12));
	cluster.target_relay->set(RelayFaults());
	ASSERT_TRUE(open_again());
	EXPECT_TRUE(load.progress(50, 60000));
	load.finish();
}
} // namespace
