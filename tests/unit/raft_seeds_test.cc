#include "../support/raft_bus.h"

#include <gtest/gtest.h>

/*
 * Settings that name three seeds: the seeds found the group, all other replicas join, and a new
 * replica takes the place of a lost voter.
 */

class RaftSeeds : public testing::Test
{
      protected:
	RaftSeeds() : bus(7)
	{
		bus.add({"a", "b", "c", "d", "e", "f", "g"});
		bus.seeds = {"a", "b", "c"};
		bus.max_voters = 5;
		bus.replace_ms = 2000;
	}

	void start(const std::string &which)
	{
		for (char name : which)
			bus.start(std::string(1, name));
	}

	/* Names of the voters, then '+' and the names of the learners, in order of admission. */
	std::string members()
	{
		wl_buf_t json = {};
		std::string text;
		std::string voters;
		std::string learners;

		if (bus.leader().empty())
			return "no leader";
		wl_raft_members_json(bus.node(bus.leader()).raft, &json);
		text = std::string(json.at, json.len);
		wl_buf_free(&json);
		for (size_t at = text.find("\"name\":\""); at != std::string::npos;
		     at = text.find("\"name\":\"", at + 1)) {
			bool voter = text.substr(text.find("\"voter\":", at) + 8, 4) == "true";

			(voter ? voters : learners) += text[at + 8];
		}
		return learners.empty() ? voters : voters + "+" + learners;
	}

	RaftBus bus;
};

TEST_F(RaftSeeds, SeedsFoundAndOthersJoin)
{
	start("edcba");
	bus.run(1500);
	EXPECT_EQ(members().size(), 5u) << members();
	EXPECT_EQ(members().find('+'), std::string::npos);
	EXPECT_EQ(bus.groups.size(), 1u);
	EXPECT_EQ(bus.fault, "");
}

TEST_F(RaftSeeds, NoGroupIsFoundedWithoutAllSeeds)
{
	start("abde");
	bus.run(5000);
	EXPECT_EQ(members(), "no leader");
	start("c");
	bus.run(1500);
	EXPECT_EQ(members().size(), 5u);
}

TEST_F(RaftSeeds, AtMostFiveMembersVote)
{
	start("abcdefg");
	bus.run(3000);
	EXPECT_EQ(members().find('+'), 5u) << members();
	EXPECT_EQ(members().size(), 8u);
}

TEST_F(RaftSeeds, NewReplicaReplacesALostVoter)
{
	start("abcde");
	bus.run(1500);
	bus.crash("c");
	bus.run(1000);
	start("f");
	bus.run(3000);
	EXPECT_EQ(members().find('c'), std::string::npos) << members();
	EXPECT_NE(members().find('f'), std::string::npos) << members();
	EXPECT_EQ(members().size(), 5u);
	EXPECT_EQ(bus.fault, "");
}

TEST_F(RaftSeeds, ReplacedMemberRejoinsAsALearner)
{
	start("abcdef");
	bus.run(2000);
	for (const char *other : {"a", "b", "d", "e", "f"})
		bus.cut("c", other);
	bus.run(6000);
	EXPECT_EQ(members().find('c'), std::string::npos) << members();
	bus.heal();
	bus.run(3000);
	EXPECT_GT(members().find('c'), members().find('+')) << members();
	EXPECT_EQ(bus.fault, "");
}

TEST_F(RaftSeeds, WipedSeedRejoinsWithoutFounding)
{
	start("abcde");
	bus.run(1500);
	bus.propose(bus.leader(), "one");
	bus.run(100);
	bus.crash("a");
	bus.wipe("a");
	bus.never_found = {"a"};
	start("a");
	bus.run(4000);
	EXPECT_EQ(members().size(), 5u) << members();
	EXPECT_NE(members().find('a'), std::string::npos);
	EXPECT_EQ(bus.node("a").state, std::vector<std::string>{"one"});
	EXPECT_EQ(bus.groups.size(), 1u);
}

TEST_F(RaftSeeds, TwoWipedSeedsLoseNoData)
{
	start("abcde");
	bus.run(1500);
	bus.propose(bus.leader(), "one");
	bus.run(100);
	for (const char *name : {"a", "b"}) {
		bus.crash(name);
		bus.wipe(name);
	}
	bus.never_found = {"a", "b"};
	start("ab");
	bus.run(8000);
	EXPECT_EQ(members().size(), 5u) << members();
	EXPECT_EQ(bus.node("a").state, std::vector<std::string>{"one"});
	EXPECT_EQ(bus.node("b").state, std::vector<std::string>{"one"});
	EXPECT_EQ(bus.groups.size(), 1u);
	EXPECT_EQ(bus.fault, "");
}

TEST_F(RaftSeeds, WipedSeedsDoNotFoundASecondGroup)
{
	start("abcde");
	bus.run(1500);
	for (const char *name : {"a", "b", "c", "d", "e"})
		bus.crash(name);
	for (const char *name : {"a", "b", "c"})
		bus.wipe(name);
	bus.never_found = {"a", "b", "c"};
	start("abcde");
	bus.run(10000);
	EXPECT_EQ(members(), "no leader");
	EXPECT_EQ(bus.groups.size(), 1u);
}

/* A new replica knows only the seeds, none of which leads; it is admitted nevertheless. */
TEST_F(RaftSeeds, NewReplicaFindsALeaderThatIsNoSeed)
{
	start("abcde");
	bus.run(1500);
	while (bus.leader() != "d" && bus.leader() != "e") {
		std::string down = bus.leader();

		bus.crash(down);
		bus.run(3000);
		start(down);
		bus.run(1000);
	}
	start("f");
	bus.run(2000);
	EXPECT_NE(members().find('f'), std::string::npos) << members();
}
