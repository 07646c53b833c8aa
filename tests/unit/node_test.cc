extern "C" {
#include <libwlcore/node/node.h>
}

#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t SESSION = 7;

std::string chart(const char *name)
{
	std::ifstream in(std::string(PROJECT_DIR "/charts/") + name + ".json");
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

/* A node with the role entry only; the test sends the messages of the leader "s1". */
class Node : public testing::Test
{
      protected:
	void SetUp() override
	{
		wl_node_options_t options = {};
		wl_err_t err = {};

		options.name = wl_str_from("e1");
		options.availability_zone = wl_str_from("a");
		options.peer_address = wl_str_from("127.0.0.1:1");
		options.entry = true;
		options.stores = &store;
		options.store_count = 1;
		options.boot = 1;
		options.task_chart = {task.data(), task.size()};
		options.target_chart = {target.data(), target.size()};
		node = wl_node_new(&options, now, &err);
		ASSERT_NE(node, nullptr) << err.text;
		pass(10);
		renew();
	}

	~Node() override
	{
		wl_node_free(node);
	}

	void step(wl_event_t *event)
	{
		wl_out_t out = {};

		wl_node_step(node, now, event, &out);
		for (size_t i = 0; i < out.count; i++) {
			const wl_action_t &action = out.actions[i];

			exited = exited || action.kind == WL_ACTION_EXIT;
			if (action.kind == WL_ACTION_SEND && action.msg.kind == WL_MSG_COMMAND) {
				call = action.msg.u.command.call;
				command = action.msg.u.command.cmd_kind;
			}
			if (action.kind == WL_ACTION_SEND && action.msg.kind == WL_MSG_ANNOUNCE)
				announces_to.emplace_back(action.peer.at);
		}
		wl_out_free(&out);
		wl_event_free(event);
	}

	void pass(uint64_t ms)
	{
		for (uint64_t end = now + ms * MS; now < end;) {
			wl_event_t event;

			now += 10 * MS;
			wl_event_init(&event, WL_EVENT_TICK);
			step(&event);
		}
	}

	wl_event_t from_leader(wl_msg_kind_t kind)
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_PEER);
		wl_buf_set(&event.peer, wl_str_from("s1"));
		wl_msg_init(&event.msg, kind);
		return event;
	}

	void renew()
	{
		wl_event_t event = from_leader(WL_MSG_RENEWED);
		wl_msg_renewed_t &renewed = event.msg.u.renewed;

		renewed.boot = 1;
		renewed.session = SESSION;
		renewed.group = 5;
		renewed.sent_ns = now;
		renewed.validity_ms = 5000;
		step(&event);
	}

	/* Sends a view in which this entry owns target w1, with the draining flags of e1 and e2. */
	void view(bool own_draining, bool other_draining)
	{
		wl_event_t event = from_leader(WL_MSG_VIEW);
		wl_msg_view_t &msg = event.msg.u.view;
		auto *row = static_cast<wl_owner_row_t *>(
			wl_list_add(&wl_owner_row_schema, &msg.owners));

		msg.group = 5;
		msg.owners_to = ++owners;
		wl_buf_set(&row->target, wl_str_from("w1"));
		wl_buf_set(&row->entry, wl_str_from("e1"));
		wl_buf_set(&row->address, wl_str_from("127.0.0.1:9"));
		row->epoch = 3;
		row->session = SESSION;
		member(&msg.members, "e1", SESSION, own_draining);
		member(&msg.members, "e2", SESSION + 1, other_draining);
		step(&event);
	}

	static void member(wl_list_t *list, const char *name, uint64_t session, bool draining)
	{
		auto *one = static_cast<wl_member_t *>(wl_list_add(&wl_member_schema, list));

		wl_buf_set(&one->entry, wl_str_from(name));
		one->session = session;
		one->draining = draining;
	}

	void drain()
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_DRAIN);
		step(&event);
	}

	void answer()
	{
		wl_event_t event = from_leader(WL_MSG_RESULT);

		event.msg.u.result.call = call;
		step(&event);
	}

	std::string task = chart("task");
	std::string target = chart("target");
	wl_node_peer_t store = {wl_str_from("s1"), wl_str_from("127.0.0.1:2")};
	wl_node_t *node = nullptr;
	uint64_t now = 1000 * MS;
	uint64_t owners = 0;
	uint64_t call = 0;
	uint64_t command = 0;
	bool exited = false;
	std::vector<std::string> announces_to;
};

/* An entry whose settings name seeds. Collects what it dials: "ADDRESS", or "-NAME": no longer. */
class NodeWithSeeds : public testing::Test
{
      protected:
	NodeWithSeeds()
	{
		wl_node_options_t options = {};
		wl_list_t seeds = {};
		wl_err_t err = {};

		wl_strings_add(&seeds, WL_STR("10.0.0.1"));
		options.name = wl_str_from("10.0.0.5");
		options.availability_zone = wl_str_from("a");
		options.peer_address = wl_str_from("10.0.0.5:7720");
		options.entry = true;
		options.seeds = &seeds;
		options.replica_port = 7720;
		options.boot = 1;
		options.task_chart = {task.data(), task.size()};
		options.target_chart = {target.data(), target.size()};
		node = wl_node_new(&options, now, &err);
		EXPECT_NE(node, nullptr) << err.text;
		wl_strings_free(&seeds);
	}

	~NodeWithSeeds() override
	{
		wl_node_free(node);
	}

	void step(wl_event_t *event)
	{
		wl_out_t out = {};

		wl_node_step(node, now, event, &out);
		for (size_t i = 0; i < out.count; i++) {
			const wl_action_t &action = out.actions[i];

			if (action.kind != WL_ACTION_DIAL)
				continue;
			dialled.push_back(action.address.len ? std::string(action.address.at)
							     : "-" + std::string(action.peer.at));
		}
		wl_out_free(&out);
		wl_event_free(event);
	}

	void tick()
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_TICK);
		step(&event);
	}

	/* The seed names the leader. */
	void redirect(const char *leader)
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_PEER);
		wl_msg_init(&event.msg, WL_MSG_RENEWED);
		wl_buf_set(&event.peer, WL_STR("10.0.0.1"));
		event.msg.u.renewed.boot = 1;
		event.msg.u.renewed.code = WL_E_NO_LEADER;
		wl_buf_set(&event.msg.u.renewed.leader, wl_str_from(leader));
		step(&event);
	}

	std::string task = chart("task");
	std::string target = chart("target");
	uint64_t now = 1000 * MS;
	wl_node_t *node = nullptr;
	std::vector<std::string> dialled;
};
} // namespace

/*
 * After a restart an entry knows only the seeds.  If a seed names a leader that is not a seed, the
 * entry must dial it.
 */
TEST_F(NodeWithSeeds, LeaderNamedByASeedIsDialled)
{
	tick();
	redirect("10.0.0.9");
	EXPECT_EQ(dialled,
		  (std::vector<std::string>{"10.0.0.1:7720", "10.0.0.1:7720", "10.0.0.9:7720"}));
}

/* Guards against replicas that are dialled for ever after they were replaced. */
TEST_F(NodeWithSeeds, SeedThatWasReplacedIsNoLongerDialled)
{
	wl_event_t event;

	tick();
	dialled.clear();
	wl_event_init(&event, WL_EVENT_SEEDS);
	wl_strings_add(&event.names, WL_STR("10.0.0.2"));
	step(&event);
	EXPECT_EQ(dialled, (std::vector<std::string>{"-10.0.0.1", "10.0.0.2:7720"}));
}

/*
 * Draining waits until other entries own the targets, unless all others are draining too; then it
 * ends the session and exits.
 */
TEST_F(Node, DrainWaitsForTargetsWhileOtherEntriesServe)
{
	view(false, false);
	drain();
	pass(3000);
	EXPECT_EQ(command, 0u);
	renew();
	view(true, true);
	pass(20);
	EXPECT_EQ(command, static_cast<uint64_t>(WL_CMD_SESSION_END));
	EXPECT_FALSE(exited);
	answer();
	pass(20);
	EXPECT_TRUE(exited);
}

/* Once the session has ended, a delayed view with an owned target must not prevent the exit. */
TEST_F(Node, DrainCompletesOnceTheSessionHasEnded)
{
	view(true, true);
	drain();
	pass(1100);
	ASSERT_EQ(command, static_cast<uint64_t>(WL_CMD_SESSION_END));
	view(true, false);
	answer();
	pass(20);
	EXPECT_TRUE(exited);
}

/* If no leader answers, draining completes when the session's validity ends. */
TEST_F(Node, DrainWithoutALeaderCompletesWhenTheSessionExpires)
{
	view(false, false);
	drain();
	pass(4900);
	EXPECT_FALSE(exited);
	pass(200);
	EXPECT_TRUE(exited);
}
