#include "../support/raft_bus.h"

#include <gtest/gtest.h>

/*
 * Settings that name three seeds: the seeds found the group, all other replicas join, and a new
 * replica takes the place of a lost voter.
 */

class RaftSeeds : public testing::Test
{
      protected:
	static constexpr size_t LATER = 240; /* replicas that start later */
	static constexpr uint64_t KNOWN_LIFE_MS = 60000;

	RaftSeeds() : bus(7)
	{
		std::vector<std::string> names = {"a", "b", "c", "d", "e", "f", "g"};

		for (size_t i = 0; i < LATER; i++)
			names.push_back(later(i));
		bus.add(names);
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

	/* Two replicas are lost for good, and two empty ones with other names come. */
	void replace_two(size_t pair)
	{
		for (size_t i = 2 * pair; i < 2 * pair + 2; i++)
			bus.crash(i < 2 ? std::string(1, static_cast<char>('d' + i))
					: later(i - 2));
		bus.run(1000);
		for (size_t i = 2 * pair; i < 2 * pair + 2; i++)
			bus.start(later(i));
		bus.run(4000);
	}

	static std::string later(size_t i)
	{
		return "r" + std::to_string(i);
	}

	bool is_member(const std::string &name)
	{
		wl_list_t names = {};
		bool found;

		if (bus.leader().empty())
			return false;
		wl_raft_member_names(bus.node(bus.leader()).raft, &names);
		found = wl_strings_contain(&names, {name.data(), name.size()});
		wl_strings_free(&names);
		return found;
	}

	size_t known_count(const std::string &name)
	{
		wl_list_t names = {};
		size_t count;

		wl_raft_known_names(bus.node(name).raft, &names);
		count = names.count;
		wl_strings_free(&names);
		return count;
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

/* Guards against a leader that admits no more replicas after 28 with other names. */
TEST_F(RaftSeeds, ReplacementsGoOnUnderOneLeader)
{
	start("abcde");
	bus.run(1500);
	std::string first = bus.leader();

	while (first == "d" || first == "e") {
		bus.crash(first);
		bus.run(3000);
		bus.start(first);
		bus.run(1000);
		first = bus.leader();
	}
	for (size_t pair = 0; pair < LATER / 2; pair++) {
		replace_two(pair);
		ASSERT_TRUE(is_member(later(2 * pair))) << pair;
		ASSERT_TRUE(is_member(later(2 * pair + 1))) << pair;
	}
	EXPECT_EQ(bus.leader(), first);
	bus.run(KNOWN_LIFE_MS + 1000);
	EXPECT_LE(known_count(first), 4u) << "two seeds and the two newest";
	EXPECT_EQ(bus.fault, "");
}

/* The same while each pair of replacements comes beside the loss of the leader for a while. */
TEST_F(RaftSeeds, ReplacementsGoOnUnderChangingLeaders)
{
	start("abcde");
	bus.run(1500);
	for (size_t pair = 0; pair < LATER / 2; pair++) {
		std::string leader = bus.leader();

		replace_two(pair);
		if (leader.size() == 1 && leader < "d") {
			bus.crash(leader);
			bus.run(1000);
			bus.start(leader);
			bus.run(1000);
		}
		ASSERT_TRUE(is_member(later(2 * pair))) << pair;
		ASSERT_TRUE(is_member(later(2 * pair + 1))) << pair;
	}
	EXPECT_EQ(bus.groups.size(), 1u);
	EXPECT_EQ(bus.fault, "");
}

/* Many replicas ask to join at once and go again; the next one must still be heard. */
TEST_F(RaftSeeds, FloodOfNewcomersDoesNotKeepALaterOneOut)
{
	start("abcde");
	bus.run(1500);
	for (size_t i = 0; i < 60; i++)
		bus.start(later(i));
	bus.run(5000);
	EXPECT_GT(wl_raft_probes_ignored(bus.node(bus.leader()).raft), 0u);
	for (size_t i = 0; i < 60; i++)
		bus.crash(later(i));
	bus.crash("d");
	bus.run(5000);
	start("f");
	bus.run(5000);
	EXPECT_TRUE(is_member("f")) << members();
	EXPECT_FALSE(is_member("d")) << members();
	EXPECT_EQ(bus.fault, "");
}

/* A removed replica keeps the group's log: it may join again however long it was away. */
TEST_F(RaftSeeds, ReplicaThatWasForgottenRejoins)
{
	start("abcdef");
	bus.run(2000);
	for (const char *other : {"a", "b", "d", "e", "f"})
		bus.cut("c", other);
	bus.run(2 * KNOWN_LIFE_MS);
	ASSERT_FALSE(is_member("c")) << members();
	bus.heal();
	bus.run(3000);
	EXPECT_TRUE(is_member("c")) << members();
	EXPECT_EQ(bus.fault, "");
}
