extern "C" {
#include <libwlcore/raft/raft.h>
}

#include <string>
#include <vector>

#include <gtest/gtest.h>

/* Rules of a single replica, "b" of a, b, c, ...  The test delivers each message and each sync. */

static const uint64_t MS = 1000000;
static const uint64_t GROUP = 9;
static const uint64_t SELF = 2;

class RaftRule : public testing::Test
{
      protected:
	~RaftRule() override
	{
		wl_raft_free(raft);
		wl_raft_out_clear(&out);
		wl_raft_saved_free(&saved);
	}

	static wl_str_t view(const std::string &text)
	{
		return {text.data(), text.size()};
	}

	static void add_member(wl_raft_members_t *members, uint64_t id, const std::string &name,
			       bool voter = true)
	{
		auto *added = static_cast<wl_raft_member_t *>(
			wl_list_add(&wl_raft_member_schema, &members->members));

		added->id = id;
		added->voter = voter;
		wl_buf_set(&added->name, view(name));
	}

	static void add_entry(wl_list_t *entries, uint64_t index, uint64_t term,
			      wl_raft_entry_kind_t kind = WL_RAFT_DATA)
	{
		auto *added =
			static_cast<wl_raft_entry_t *>(wl_list_add(&wl_raft_entry_schema, entries));

		added->index = index;
		added->term = term;
		added->kind = kind;
		wl_buf_set(&added->data, view("e" + std::to_string(index)));
	}

	/* Ids 1, 2, 3, ... are a, b, c, ...; the log has one entry for each given term. */
	void start(size_t size, uint64_t term, const std::vector<uint64_t> &log)
	{
		saved.members.group = GROUP;
		for (size_t i = 0; i < size; i++)
			add_member(&saved.members, i + 1,
				   std::string(1, static_cast<char>('a' + i)));
		saved.term = term;
		for (size_t i = 0; i < log.size(); i++)
			add_entry(&saved.entries, i + 1, log[i]);
		boot(size);
	}

	void boot(size_t size)
	{
		wl_raft_options_t options = {};
		std::vector<std::string> names;
		std::vector<wl_str_t> peers;

		for (size_t i = 0; i < size; i++)
			names.emplace_back(1, static_cast<char>('a' + i));
		for (const auto &name : names)
			peers.push_back(view(name));
		options.id = SELF;
		options.name = WL_STR("b");
		options.peers = peers.data();
		options.peer_count = peers.size();
		options.seed = 1;
		raft = wl_raft_new(&options, &saved, now, nullptr);
		ASSERT_NE(raft, nullptr);
	}

	void step(wl_raft_event_t event)
	{
		wl_raft_out_clear(&out);
		wl_raft_step(raft, now, &event, &out);
		for (size_t i = 0; i < out.count; i++)
			if (out.actions[i].kind == WL_RAFT_DO_PERSIST)
				ticket = out.actions[i].persist.ticket;
	}

	void tick(uint64_t ms = 0)
	{
		now += ms * MS;
		step({});
	}

	void sync()
	{
		wl_raft_event_t event = {};

		event.kind = WL_RAFT_EV_PERSISTED;
		event.ticket = ticket;
		step(event);
	}

	void propose(uint64_t tag)
	{
		wl_raft_event_t event = {};

		event.kind = WL_RAFT_EV_PROPOSE;
		event.tag = tag;
		event.data = WL_STR("x");
		step(event);
	}

	static wl_raft_msg_t make(wl_raft_msg_kind_t kind, uint64_t from, uint64_t term)
	{
		wl_raft_msg_t msg = {};

		msg.kind = kind;
		msg.group = GROUP;
		msg.from = from;
		msg.to = SELF;
		msg.term = term;
		wl_buf_set(&msg.name, view(std::string(1, static_cast<char>('a' + from - 1))));
		return msg;
	}

	void deliver(wl_raft_msg_t msg, const std::string &name = "")
	{
		wl_raft_event_t event = {};
		std::string sender = name.empty() ? std::string(msg.name.at) : name;

		event.kind = WL_RAFT_EV_MSG;
		event.msg = &msg;
		event.name = view(sender);
		step(event);
		wl_record_free(&wl_raft_msg_schema, &msg);
	}

	void request_vote(uint64_t from, uint64_t term, uint64_t index, uint64_t index_term,
			  bool hand_over = false, wl_raft_msg_kind_t kind = WL_RAFT_VOTE)
	{
		wl_raft_msg_t msg = make(kind, from, term);

		msg.index = index;
		msg.index_term = index_term;
		msg.ok = hand_over;
		deliver(msg);
	}

	/* Appends count entries of the term after an index; zero is a heartbeat. */
	void append(uint64_t from, uint64_t term, uint64_t index, uint64_t index_term, size_t count,
		    uint64_t commit = 0)
	{
		wl_raft_msg_t msg = make(WL_RAFT_APPEND, from, term);

		msg.index = index;
		msg.index_term = index_term;
		msg.commit = commit;
		msg.round = 5;
		for (size_t i = 0; i < count; i++)
			add_entry(&msg.entries, index + 1 + i, term);
		deliver(msg);
	}

	void deliver_append_answer(uint64_t from, uint64_t index)
	{
		wl_raft_msg_t msg = make(WL_RAFT_APPENDED, from, wl_raft_term(raft));

		msg.ok = true;
		msg.index = index;
		msg.round = now;
		deliver(msg);
	}

	void deliver_blank_probe(uint64_t id, const std::string &name)
	{
		wl_raft_msg_t msg = make(WL_RAFT_PROBE, id, 0);

		msg.group = 0;
		msg.to = 0;
		msg.blank = true;
		wl_buf_set(&msg.name, view(name));
		deliver(msg);
	}

	size_t count(wl_raft_action_kind_t kind) const
	{
		size_t found = 0;

		for (size_t i = 0; i < out.count; i++)
			found += out.actions[i].kind == kind;
		return found;
	}

	const wl_raft_action_t *action(wl_raft_action_kind_t kind) const
	{
		for (size_t i = 0; i < out.count; i++)
			if (out.actions[i].kind == kind)
				return &out.actions[i];
		return nullptr;
	}

	const wl_raft_msg_t *sent(wl_raft_msg_kind_t kind) const
	{
		for (size_t i = 0; i < out.count; i++)
			if (out.actions[i].kind == WL_RAFT_DO_SEND &&
			    out.actions[i].msg.kind == kind)
				return &out.actions[i].msg;
		return nullptr;
	}

	/* Membership entries of the last PERSIST as ids, such as "1 2' 3 "; ' marks a learner. */
	std::string members_persisted() const
	{
		const wl_raft_action_t *persist = action(WL_RAFT_DO_PERSIST);
		std::string text;

		if (!persist)
			return "-";
		auto *entries = static_cast<wl_raft_entry_t *>(persist->persist.entries.items);
		for (size_t i = 0; i < persist->persist.entries.count; i++) {
			wl_raft_members_t members;

			if (entries[i].kind != WL_RAFT_MEMBERS)
				continue;
			EXPECT_TRUE(wl_record_unpack(&wl_raft_members_schema,
						     wl_buf_str(&entries[i].data), &members,
						     nullptr));
			text += text.empty() ? "" : " | ";
			auto *list = static_cast<wl_raft_member_t *>(members.members.items);
			for (size_t k = 0; k < members.members.count; k++)
				text += std::to_string(list[k].id) + (list[k].voter ? " " : "' ");
			wl_record_free(&wl_raft_members_schema, &members);
		}
		return text.empty() ? "-" : text;
	}

	void win_prevotes(size_t size)
	{
		uint64_t term = wl_raft_term(raft) + 1;

		now += 2500 * MS;
		tick();
		for (uint64_t id = 1; id <= size; id++) {
			wl_raft_msg_t msg = make(WL_RAFT_PREVOTED, id, term);

			msg.ok = true;
			if (id != SELF)
				deliver(msg);
			else
				wl_record_free(&wl_raft_msg_schema, &msg);
			if (action(WL_RAFT_DO_PERSIST))
				break;
		}
	}

	void win_election(size_t size)
	{
		uint64_t term = wl_raft_term(raft) + 1;

		win_prevotes(size);
		sync();
		for (uint64_t id = 1; id <= size && !action(WL_RAFT_DO_PERSIST); id++) {
			wl_raft_msg_t msg = make(WL_RAFT_VOTED, id, term);

			msg.ok = true;
			if (id != SELF)
				deliver(msg);
			else
				wl_record_free(&wl_raft_msg_schema, &msg);
		}
		ASSERT_TRUE(action(WL_RAFT_DO_PERSIST));
		ASSERT_TRUE(sent(WL_RAFT_APPEND));
	}

	/* Wins an election and commits the first entry of the term. */
	void lead(size_t size, uint64_t first_index)
	{
		win_election(size);
		sync();
		for (uint64_t id = 1; id <= size; id++)
			if (id != SELF && !wl_raft_is_leader(raft))
				deliver_append_answer(id, first_index);
		ASSERT_TRUE(wl_raft_is_leader(raft));
	}

	wl_raft_saved_t saved = {};
	wl_raft_t *raft = nullptr;
	wl_raft_out_t out = {};
	uint64_t now = 1000 * MS;
	uint64_t ticket = 0;
};

TEST_F(RaftRule, VoteIsSentOnlyOnceSynced)
{
	start(3, 1, {1});
	now += 1500 * MS;
	request_vote(1, 2, 1, 1);
	EXPECT_EQ(sent(WL_RAFT_VOTED), nullptr);
	ASSERT_TRUE(action(WL_RAFT_DO_PERSIST));
	EXPECT_EQ(action(WL_RAFT_DO_PERSIST)->persist.vote, 1u);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_VOTED));
	EXPECT_TRUE(sent(WL_RAFT_VOTED)->ok);
}

TEST_F(RaftRule, OneVoteATerm)
{
	start(3, 1, {1});
	now += 1500 * MS;
	request_vote(1, 2, 1, 1);
	sync();
	request_vote(3, 2, 1, 1);
	ASSERT_TRUE(sent(WL_RAFT_VOTED));
	EXPECT_FALSE(sent(WL_RAFT_VOTED)->ok);
	request_vote(1, 2, 1, 1);
	EXPECT_TRUE(sent(WL_RAFT_VOTED)->ok);
}

TEST_F(RaftRule, StoredVoteBindsAfterARestart)
{
	saved.vote = 3;
	start(3, 2, {1});
	now += 1500 * MS;
	request_vote(1, 2, 1, 1);
	ASSERT_TRUE(sent(WL_RAFT_VOTED));
	EXPECT_FALSE(sent(WL_RAFT_VOTED)->ok);
}

TEST_F(RaftRule, NoVoteForAnOutdatedLog)
{
	start(3, 2, {1, 2});
	now += 1500 * MS;
	request_vote(1, 3, 5, 1);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_VOTED));
	EXPECT_FALSE(sent(WL_RAFT_VOTED)->ok);
	request_vote(3, 3, 1, 2);
	EXPECT_FALSE(sent(WL_RAFT_VOTED)->ok);
}

TEST_F(RaftRule, NoVoteWhileALeaderIsActive)
{
	start(3, 1, {1});
	now += 1500 * MS;
	append(1, 1, 1, 1, 0);
	now += 900 * MS;
	request_vote(3, 2, 1, 1);
	EXPECT_EQ(out.count, 0u);
	request_vote(3, 2, 1, 1, false, WL_RAFT_PREVOTE);
	EXPECT_EQ(out.count, 0u);
	EXPECT_EQ(wl_raft_term(raft), 1u);
	now += 101 * MS;
	request_vote(3, 2, 1, 1, false, WL_RAFT_PREVOTE);
	ASSERT_TRUE(sent(WL_RAFT_PREVOTED));
	EXPECT_TRUE(sent(WL_RAFT_PREVOTED)->ok);
}

TEST_F(RaftRule, HandOverVoteIsGrantedDuringALease)
{
	start(3, 1, {1});
	now += 1500 * MS;
	append(1, 1, 1, 1, 0);
	request_vote(3, 2, 1, 1, true);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_VOTED));
	EXPECT_TRUE(sent(WL_RAFT_VOTED)->ok);
}

TEST_F(RaftRule, NoVoteSoonAfterARestart)
{
	start(3, 1, {1});
	now += 999 * MS;
	request_vote(3, 2, 1, 1);
	EXPECT_EQ(out.count, 0u);
	now += MS;
	request_vote(3, 2, 1, 1);
	EXPECT_TRUE(action(WL_RAFT_DO_PERSIST));
}

TEST_F(RaftRule, NoNewElectionBeforeTheOwnVoteIsSynced)
{
	start(3, 1, {1});
	win_prevotes(3);
	EXPECT_EQ(sent(WL_RAFT_VOTE), nullptr);
	tick(5000);
	EXPECT_EQ(out.count, 0u);
	sync();
	EXPECT_TRUE(sent(WL_RAFT_VOTE));
	EXPECT_EQ(wl_raft_term(raft), 2u);
	tick(900);
	EXPECT_EQ(out.count, 0u) << "the voters may need a full election timeout to sync";
}

TEST_F(RaftRule, SplitVoteIsRetriedEarly)
{
	start(3, 1, {1});
	win_prevotes(3);
	sync();
	deliver(make(WL_RAFT_VOTED, 1, 2));
	tick(500);
	ASSERT_TRUE(sent(WL_RAFT_PREVOTE));
	EXPECT_EQ(sent(WL_RAFT_PREVOTE)->term, 3u);
}

TEST_F(RaftRule, GrantedPreVoteDelaysTheOwnElection)
{
	start(3, 1, {1});
	now += 2500 * MS;
	request_vote(1, 2, 1, 1, false, WL_RAFT_PREVOTE);
	ASSERT_TRUE(sent(WL_RAFT_PREVOTED));
	EXPECT_TRUE(sent(WL_RAFT_PREVOTED)->ok);
	tick(490);
	EXPECT_EQ(sent(WL_RAFT_PREVOTE), nullptr);
	tick(510);
	EXPECT_TRUE(sent(WL_RAFT_PREVOTE));
}

TEST_F(RaftRule, MessagesForAnotherIdOrGroupAreDropped)
{
	wl_raft_msg_t msg;

	start(3, 1, {1});
	now += 1500 * MS;
	msg = make(WL_RAFT_VOTE, 1, 2);
	msg.index = 1;
	msg.index_term = 1;
	msg.to = 77;
	deliver(msg);
	EXPECT_EQ(out.count, 0u);
	msg = make(WL_RAFT_VOTE, 1, 2);
	msg.index = 1;
	msg.index_term = 1;
	msg.group = 8;
	deliver(msg);
	EXPECT_EQ(out.count, 0u);
}

TEST_F(RaftRule, BlankReplicaNeitherVotesNorAcknowledges)
{
	boot(3);
	now += 5000 * MS;
	request_vote(1, 2, 0, 0);
	EXPECT_EQ(out.count, 0u);
	append(1, 2, 0, 0, 1);
	ASSERT_TRUE(sent(WL_RAFT_APPENDED));
	EXPECT_FALSE(sent(WL_RAFT_APPENDED)->ok);
	EXPECT_TRUE(sent(WL_RAFT_APPENDED)->blank);
	EXPECT_EQ(wl_raft_group(raft), 0u);
}

TEST_F(RaftRule, EntriesAreAcknowledgedOnlyOnceSynced)
{
	start(3, 1, {1});
	append(1, 1, 1, 1, 2);
	EXPECT_EQ(sent(WL_RAFT_APPENDED), nullptr);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_APPENDED));
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 3u);
}

TEST_F(RaftRule, HeartbeatIsAnsweredWithWhatIsSynced)
{
	start(3, 1, {1});
	append(1, 1, 1, 1, 2);
	append(1, 1, 3, 1, 0);
	ASSERT_TRUE(sent(WL_RAFT_APPENDED));
	EXPECT_TRUE(sent(WL_RAFT_APPENDED)->ok);
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 1u);
}

TEST_F(RaftRule, TruncatedEntriesNoLongerCountAsSynced)
{
	start(3, 1, {1, 1, 1, 1, 1});
	append(3, 2, 2, 1, 1);
	ASSERT_TRUE(action(WL_RAFT_DO_PERSIST));
	EXPECT_EQ(action(WL_RAFT_DO_PERSIST)->persist.truncate_from, 3u);
	EXPECT_EQ(sent(WL_RAFT_APPENDED), nullptr);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_APPENDED));
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 3u);
	append(3, 2, 3, 2, 1);
	append(3, 2, 4, 2, 0);
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 3u);
}

TEST_F(RaftRule, MismatchIsAnsweredWithTheConflictIndex)
{
	start(3, 4, {1, 1, 2, 2, 4, 4});
	append(1, 5, 8, 5, 1);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_APPENDED));
	EXPECT_FALSE(sent(WL_RAFT_APPENDED)->ok);
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 6u);
	append(1, 5, 6, 3, 1);
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 4u);
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index_term, 2u);
}

TEST_F(RaftRule, OnlyOwnTermCommitsByCounting)
{
	start(3, 2, {1, 2, 2});
	win_election(3);
	sync();
	deliver_append_answer(1, 3);
	EXPECT_EQ(wl_raft_commit_index(raft), 0u);
	deliver_append_answer(1, 4);
	EXPECT_EQ(wl_raft_commit_index(raft), 4u);
	EXPECT_EQ(count(WL_RAFT_DO_COMMIT), 4u);
	EXPECT_EQ(count(WL_RAFT_DO_LEAD), 1u);
	EXPECT_EQ(out.actions[out.count - 1].kind, WL_RAFT_DO_LEAD);
}

TEST_F(RaftRule, LeadNamesWhatWasKnownAsCommittedAtTheElection)
{
	start(3, 1, {1});
	append(1, 1, 1, 1, 2, 2);
	sync();
	EXPECT_EQ(wl_raft_commit_index(raft), 2u);
	ASSERT_NO_FATAL_FAILURE(lead(3, 4));
	EXPECT_EQ(wl_raft_commit_index(raft), 4u) << "entry 3 too, which the former leader left";
	ASSERT_TRUE(action(WL_RAFT_DO_LEAD));
	EXPECT_EQ(action(WL_RAFT_DO_LEAD)->index, 2u);
}

TEST_F(RaftRule, LeaderCountsItselfOnlyOnceSynced)
{
	start(3, 1, {1});
	win_election(3);
	EXPECT_FALSE(wl_raft_is_leader(raft));
	deliver_append_answer(1, 2);
	EXPECT_EQ(wl_raft_commit_index(raft), 0u);
	sync();
	EXPECT_EQ(wl_raft_commit_index(raft), 2u);
	EXPECT_TRUE(wl_raft_is_leader(raft));
}

TEST_F(RaftRule, ProposalsAreBatchedInOnePersist)
{
	start(3, 1, {1});
	lead(3, 2);
	propose(1);
	EXPECT_EQ(count(WL_RAFT_DO_PERSIST), 1u);
	for (uint64_t tag = 2; tag <= 6; tag++) {
		propose(tag);
		EXPECT_EQ(count(WL_RAFT_DO_PERSIST), 0u);
	}
	sync();
	ASSERT_EQ(count(WL_RAFT_DO_PERSIST), 1u);
	EXPECT_EQ(action(WL_RAFT_DO_PERSIST)->persist.entries.count, 5u);
}

TEST_F(RaftRule, AnswersOfNonMembersAreNotCounted)
{
	start(4, 1, {1});
	lead(4, 2);
	propose(7);
	sync();
	deliver_append_answer(1, 3);
	deliver_append_answer(77, 3);
	EXPECT_EQ(wl_raft_commit_index(raft), 2u);
	deliver_append_answer(3, 3);
	EXPECT_EQ(wl_raft_commit_index(raft), 3u);
	EXPECT_EQ(action(WL_RAFT_DO_COMMIT)->entry.tag, 7u);
}

TEST_F(RaftRule, LeaderWithoutQuorumStepsDown)
{
	start(3, 1, {1});
	lead(3, 2);
	propose(7);
	EXPECT_TRUE(wl_raft_lease_holds(raft, now));
	EXPECT_TRUE(wl_raft_lease_holds(raft, now + 899 * MS));
	EXPECT_FALSE(wl_raft_lease_holds(raft, now + 900 * MS));
	tick(1000);
	EXPECT_TRUE(wl_raft_is_leader(raft));
	tick(1);
	EXPECT_FALSE(wl_raft_is_leader(raft));
	EXPECT_EQ(count(WL_RAFT_DO_FOLLOW), 1u);
	ASSERT_TRUE(action(WL_RAFT_DO_DROP));
	EXPECT_EQ(action(WL_RAFT_DO_DROP)->tag, 7u);
	EXPECT_EQ(action(WL_RAFT_DO_DROP)->verdict, WL_UNKNOWN);
}

TEST_F(RaftRule, ProposalToAFollowerIsNotRun)
{
	start(3, 1, {1});
	propose(7);
	ASSERT_TRUE(action(WL_RAFT_DO_DROP));
	EXPECT_EQ(action(WL_RAFT_DO_DROP)->verdict, WL_NOT_RUN);
}

TEST_F(RaftRule, HandOverEndsLeaseAndProposals)
{
	wl_raft_event_t event = {};

	start(3, 1, {1});
	lead(3, 2);
	event.kind = WL_RAFT_EV_HAND_OVER;
	step(event);
	EXPECT_TRUE(sent(WL_RAFT_TIMEOUT_NOW));
	EXPECT_FALSE(wl_raft_lease_holds(raft, now));
	propose(7);
	ASSERT_TRUE(action(WL_RAFT_DO_DROP));
	EXPECT_EQ(action(WL_RAFT_DO_DROP)->verdict, WL_NOT_RUN);
	/* After the hand-over times out, a vote may still arrive: the lease is not restored. */
	now += 1000 * MS;
	deliver_append_answer(1, 2);
	EXPECT_EQ(count(WL_RAFT_DO_FOLLOW), 1u);
	EXPECT_FALSE(wl_raft_is_leader(raft));
	EXPECT_FALSE(wl_raft_lease_holds(raft, now));
}

TEST_F(RaftRule, ReplacementStepsAreCommittedOneByOne)
{
	start(3, 1, {1});
	lead(3, 2);
	for (int i = 0; i < 50; i++) {
		now += 100 * MS;
		deliver_append_answer(1, 2);
		deliver_blank_probe(40, "c");
		ASSERT_EQ(members_persisted(), "-");
	}
	tick();
	EXPECT_EQ(members_persisted(), "1 2 3 40' ");
	sync();
	tick();
	EXPECT_EQ(members_persisted(), "-") << "the entry that adds the learner is not committed";
	deliver_append_answer(1, 3);
	EXPECT_EQ(wl_raft_commit_index(raft), 3u);
	deliver_append_answer(40, 2);
	tick();
	EXPECT_EQ(members_persisted(), "-") << "the learner has not synced the entry that adds it";
	deliver_append_answer(40, 3);
	tick();
	EXPECT_EQ(members_persisted(), "1 2 3 40 ");
	sync();
	deliver_append_answer(1, 4);
	EXPECT_EQ(wl_raft_commit_index(raft), 3u) << "two of four are not a majority";
	deliver_append_answer(40, 4);
	EXPECT_EQ(wl_raft_commit_index(raft), 4u);
	tick();
	EXPECT_EQ(members_persisted(), "1 2 40 ");
}

TEST_F(RaftRule, LearnerIsPromotedOnlyWhileTheNewMajorityIsReachable)
{
	wl_raft_event_t event = {};

	start(3, 1, {1});
	lead(3, 2);
	event.kind = WL_RAFT_EV_REPLACE;
	event.name = WL_STR("c");
	step(event);
	deliver_blank_probe(40, "c");
	tick();
	sync();
	deliver_append_answer(1, 3);
	deliver_append_answer(40, 3);
	now += 400 * MS;
	deliver_append_answer(1, 3);
	tick();
	EXPECT_EQ(members_persisted(), "-") << "the learner is unreachable";
	now += 400 * MS;
	deliver_append_answer(40, 3);
	tick();
	EXPECT_EQ(members_persisted(), "-") << "a is unreachable: only two of four answer";
	deliver_append_answer(1, 3);
	tick();
	EXPECT_EQ(members_persisted(), "1 2 3 40 ");
}

TEST_F(RaftRule, OneMembershipChangeAtATime)
{
	start(5, 1, {1});
	lead(5, 2);
	for (int i = 0; i < 51; i++) {
		now += 100 * MS;
		deliver_append_answer(1, 2);
		deliver_append_answer(3, 2);
		deliver_blank_probe(40, "d");
		deliver_blank_probe(50, "e");
	}
	tick();
	EXPECT_EQ(members_persisted(), "1 2 3 4 5 40' ");
	sync();
	tick();
	EXPECT_EQ(members_persisted(), "-");
	deliver_append_answer(40, 3);
	deliver_append_answer(1, 3);
	EXPECT_EQ(wl_raft_commit_index(raft), 2u) << "a learner does not count";
	deliver_append_answer(3, 3);
	tick();
	EXPECT_EQ(members_persisted(), "1 2 3 4 5 40 ");
}

TEST_F(RaftRule, ProbeWithAnUnprovenNameIsIgnored)
{
	wl_raft_event_t event = {};
	wl_raft_msg_t msg;

	start(3, 1, {1});
	lead(3, 2);
	event.kind = WL_RAFT_EV_REPLACE;
	event.name = WL_STR("c");
	step(event);
	msg = make(WL_RAFT_PROBE, 40, 0);
	msg.group = 0;
	msg.to = 0;
	msg.blank = true;
	wl_buf_set(&msg.name, WL_STR("c"));
	deliver(msg, "x");
	tick();
	EXPECT_EQ(members_persisted(), "-");
	deliver_blank_probe(40, "c");
	tick();
	EXPECT_EQ(members_persisted(), "1 2 3 40' ") << "a requested replacement does not wait";
}

TEST_F(RaftRule, SnapshotTruncatesAConflictingLog)
{
	wl_raft_msg_t msg;

	start(3, 2, {1, 1, 2, 2, 2, 2});
	append(1, 3, 2, 1, 0, 2);
	sync();
	ASSERT_EQ(wl_raft_commit_index(raft), 2u);
	msg = make(WL_RAFT_SNAPSHOT, 1, 3);
	msg.index = 4;
	msg.index_term = 3;
	wl_buf_set(&msg.data, WL_STR("state"));
	msg.total = msg.data.len;
	msg.members.group = GROUP;
	add_member(&msg.members, 1, "a");
	add_member(&msg.members, 2, "b");
	deliver(msg);
	ASSERT_TRUE(action(WL_RAFT_DO_RESTORE));
	EXPECT_EQ(wl_raft_commit_index(raft), 4u);
	ASSERT_TRUE(action(WL_RAFT_DO_PERSIST));
	EXPECT_EQ(action(WL_RAFT_DO_PERSIST)->persist.truncate_from, 3u);
	EXPECT_TRUE(action(WL_RAFT_DO_PERSIST)->persist.has_snapshot);
	EXPECT_EQ(sent(WL_RAFT_SNAPSHOT_ANSWER), nullptr);
	/* Until the snapshot is synced, only committed entries of the old log count as synced. */
	append(1, 3, 4, 3, 0);
	EXPECT_EQ(sent(WL_RAFT_APPENDED)->index, 2u);
	sync();
	ASSERT_TRUE(sent(WL_RAFT_SNAPSHOT_ANSWER));
	EXPECT_TRUE(sent(WL_RAFT_SNAPSHOT_ANSWER)->ok);
}

TEST_F(RaftRule, SavedLogWithAGapIsRejected)
{
	wl_raft_options_t options = {};
	wl_err_t err = {};

	saved.members.group = GROUP;
	add_entry(&saved.entries, 1, 1);
	add_entry(&saved.entries, 3, 1);
	options.id = SELF;
	options.name = WL_STR("b");
	EXPECT_EQ(wl_raft_new(&options, &saved, now, &err), nullptr);
	EXPECT_EQ(err.code, WL_E_DAMAGED);
}
