#include "../support/cluster.h"

#include <filesystem>
#include <thread>

#include <gtest/gtest.h>

namespace
{
constexpr int MANY_CHANGES = 500;

/* A complete list of plans with the given weight in its first plan. */
std::string plans(int weight)
{
	return "{\"plans\":[{\"name\":\"reclaim\",\"weight\":" + std::to_string(weight) +
	       ",\"services\":[\"tube-sort\"],\"classes\":[\"urgent\",\"batch\"],"
	       "\"max_concurrent\":400,\"requests_per_second\":5000,\"cpu_millis\":64000,"
	       "\"memory_mib\":262144,\"accelerators\":4},"
	       "{\"name\":\"wassail\",\"weight\":10,\"services\":[\"booking\"],"
	       "\"classes\":[\"urgent\",\"batch\"],\"max_concurrent\":400,"
	       "\"requests_per_second\":5000,\"cpu_millis\":64000,\"memory_mib\":262144,"
	       "\"accelerators\":0}]}";
}

class Config : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_NO_FATAL_FAILURE(cluster.begin());
	}

	Answer plans_put(Member &member, int base, const std::string &list)
	{
		return cluster.operator_call(member, "PUT", "/v1/config/plans", list,
					     {{"If-Match", "\"" + std::to_string(base) + "\""}});
	}

	/* Repeats a PUT until the leader accepts or rejects it. */
	Answer plans_put_retried(Member &member, int base, const std::string &list)
	{
		Answer answer;

		eventually([&] {
			answer = plans_put(member, base, list);
			return answer.status == 200 || answer.status == 412;
		});
		return answer;
	}

	std::string weight(Member &member)
	{
		return cluster.operator_call(member, "GET", "/v1/config/plans")
			.at("plans.0.weight");
	}

	Member &at(size_t i)
	{
		return *cluster.members[i];
	}

	Cluster cluster;
};

/* Of two concurrent changes to the same version one succeeds; the other gets the new version. */
TEST_F(Config, OneOfTwoChangesToAVersionSucceeds)
{
	for (int round = 1; round <= 10; round++) {
		Answer answers[2];
		std::thread other(
			[&] { answers[0] = plans_put(at(1), round, plans(1000 + round)); });

		answers[1] = plans_put(at(4), round, plans(2000 + round));
		other.join();
		EXPECT_EQ((answers[0].status == 200) + (answers[1].status == 200), 1)
			<< answers[0].body << answers[1].body;
		for (const Answer &answer : answers)
			if (answer.status != 200) {
				EXPECT_EQ(answer.status, 412u) << answer.body;
				EXPECT_EQ(answer.at("version"), std::to_string(round + 1));
				EXPECT_EQ(answer.verdict, "not-run");
			}
		EXPECT_EQ(weight(at(3)),
			  std::to_string((answers[0].status == 200 ? 1000 : 2000) + round));
	}
}

/* A repeated change gets its first answer, even after 500 later changes and a full restart. */
TEST_F(Config, ResendGetsTheFirstAnswerAfterManyChangesAndARestart)
{
	Answer first = plans_put(at(0), 1, plans(77));
	ASSERT_EQ(first.status, 200u) << first.body;
	for (int i = 0; i < MANY_CHANGES; i++)
		ASSERT_EQ(plans_put_retried(at(i % 5), i + 2, plans(100 + i)).status, 200u) << i;
	for (auto &member : cluster.members)
		member->process.kill();
	for (auto &member : cluster.members)
		ASSERT_NO_FATAL_FAILURE(cluster.start(*member));
	ASSERT_TRUE(eventually([this] { return cluster.all_ready(); }));

	Answer again = plans_put_retried(at(4), 1, plans(77));
	EXPECT_EQ(again.status, 200u) << again.body;
	EXPECT_EQ(again.at("version"), first.at("version"));
	EXPECT_EQ(again.at("revision"), first.at("revision"));
	EXPECT_EQ(weight(at(3)), std::to_string(100 + MANY_CHANGES - 1))
		<< "a resent change altered the plans";

	/* A different list for the same version is a new change and is rejected as stale. */
	EXPECT_EQ(plans_put_retried(at(4), 1, plans(78)).status, 412u);
}

/* A rolling restart after hundreds of accepted changes reverts none of them. */
TEST_F(Config, RollingRestartAfterManyChangesRevertsNothing)
{
	int version = 1;

	for (; version <= MANY_CHANGES; version++)
		ASSERT_EQ(plans_put_retried(at(0), version, plans(version)).status, 200u)
			<< version;
	for (auto &member : cluster.members) {
		member->process.kill();
		ASSERT_NO_FATAL_FAILURE(cluster.start(*member));
		ASSERT_TRUE(eventually([this] { return cluster.all_ready(); }, 60000));
		EXPECT_EQ(weight(*member), std::to_string(version - 1));
		ASSERT_EQ(plans_put_retried(*member, version, plans(version)).status, 200u);
		version++;
	}
	for (auto &member : cluster.members)
		EXPECT_EQ(weight(*member), std::to_string(version - 1));
}

/* A leader in a minority partition accepts no change; the majority does, and loses nothing. */
TEST_F(Config, LeaderInAMinorityPartitionAcceptsNothing)
{
	Member *old = cluster.leader();
	ASSERT_TRUE(old);
	Member &other = old == &at(0) ? at(1) : at(0);

	cluster.partition(*old);
	Answer lost = plans_put(*old, 1, plans(500));
	EXPECT_NE(lost.status, 200u) << lost.body;
	ASSERT_TRUE(eventually([&] {
		Answer status = cluster.operator_call(other, "GET", "/v1/status");
		return status.status == 200 && status.at("leader") != old->name;
	}));
	Answer won = plans_put_retried(other, 1, plans(600));
	EXPECT_EQ(won.status, 200u) << won.body;
	cluster.heal();
	ASSERT_TRUE(eventually([this] { return cluster.all_ready(); }, 60000));
	EXPECT_EQ(weight(*old), "600");
	EXPECT_EQ(plans_put_retried(*old, 2, plans(601)).status, 200u);
}

/* A replica with an emptied disk does not bootstrap a new group while its peers are unreachable. */
TEST_F(Config, EmptiedReplicaAloneFoundsNoGroup)
{
	Member &emptied = at(0);

	for (auto &member : cluster.members)
		member->process.kill();
	std::filesystem::remove_all(emptied.folder + "/data");
	ASSERT_NO_FATAL_FAILURE(cluster.start(emptied));
	EXPECT_TRUE(eventually(
		[this] { return cluster.logs().find("event=store-blank") != std::string::npos; }));
	EXPECT_EQ(http(emptied.control_address(), "GET", "/readyz").status, 503u);
	EXPECT_EQ(plans_put(emptied, 0, plans(1)).status, 503u);

	for (size_t i = 1; i < cluster.members.size(); i++)
		ASSERT_NO_FATAL_FAILURE(cluster.start(at(i)));
	ASSERT_TRUE(eventually([this] { return cluster.all_ready(); }, 60000));
	EXPECT_EQ(weight(emptied), "10");
}
} // namespace
