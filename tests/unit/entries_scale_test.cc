extern "C" {
#include <libwlcore/node/node.h>
}

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t MS = 1000000;

std::string chart(const char *name)
{
	std::ifstream in(std::string(PROJECT_DIR "/charts/") + name + ".json");
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

/* What an entry was asked to dial, and what it was sent. */
struct EntryCosts {
	std::set<std::string> dialled;
	uint64_t messages = 0;
	uint64_t bytes = 0;
};

/* One replica "s1" and entries "e1", "e2" and so on; messages arrive at once. */
class Cell
{
      public:
	explicit Cell(size_t entries)
	{
		add("s1", true);
		for (size_t i = 1; i <= entries; i++)
			add("e" + std::to_string(i), false);
		deliver();
	}

	~Cell()
	{
		for (auto &member : members)
			wl_node_free(member.second->node);
	}

	void pass(uint64_t ms)
	{
		for (uint64_t end = now + ms * MS; now < end;) {
			now += 10 * MS;
			for (auto &member : members) {
				wl_event_t event;

				wl_event_init(&event, WL_EVENT_TICK);
				step(member.first, &event);
			}
			deliver();
		}
	}

	/* Applies a list, whose limits the entries share. */
	void put_plans()
	{
		wl_event_t event;

		wl_event_init(&event, WL_EVENT_CALL);
		event.call.id = 1;
		event.call.listener = WL_LISTENER_CONTROL;
		wl_buf_set(&event.call.method, WL_STR("PUT"));
		wl_buf_set(&event.call.path, WL_STR("/v1/config/plans"));
		wl_headers_add(&event.call.headers, WL_STR("If-Match"), WL_STR("\"0\""));
		wl_buf_set(&event.call.body, WL_STR("{\"plans\":[]}"));
		step("s1", &event);
		deliver();
	}

	std::map<std::string, EntryCosts> costs;

      private:
	struct Member {
		wl_node_t *node;
		std::string name;
		std::string task = chart("task");
		std::string target = chart("target");
		wl_raft_saved_t saved = {};
		wl_node_peer_t store = {WL_STR("s1"), WL_STR("s1")};
	};

	void add(const std::string &name, bool store)
	{
		auto member = std::make_unique<Member>();
		wl_node_options_t options = {};
		wl_err_t err = {};

		member->name = name;
		options.name = wl_str_from(member->name.c_str());
		options.availability_zone = wl_str_from("a");
		options.peer_address = options.name;
		options.entry = !store;
		options.store = store;
		options.stores = &member->store;
		options.store_count = 1;
		options.boot = 100 + members.size();
		options.store_id = 7;
		options.seed = 1 + members.size();
		options.saved = store ? &member->saved : nullptr;
		options.task_chart = {member->task.data(), member->task.size()};
		options.target_chart = {member->target.data(), member->target.size()};
		member->node = wl_node_new(&options, now, &err);
		ASSERT_NE(member->node, nullptr) << err.text;
		members[name] = std::move(member);
	}

	void step(const std::string &name, wl_event_t *event)
	{
		wl_out_t out = {};

		wl_node_step(members[name]->node, now, event, &out);
		wl_event_free(event);
		for (size_t i = 0; i < out.count; i++)
			act(name, &out.actions[i]);
		wl_out_free(&out);
	}

	void act(const std::string &name, wl_action_t *action)
	{
		wl_event_t event;

		if (action->kind == WL_ACTION_DIAL)
			costs[name].dialled.insert(action->peer.at);
		if (action->kind == WL_ACTION_PERSIST) {
			wl_event_init(&event, WL_EVENT_PERSISTED);
			event.ticket = action->persist.ticket;
			events.emplace_back(name, event);
		}
		if (action->kind != WL_ACTION_SEND || members.count(action->peer.at) == 0)
			return;
		wl_buf_t packed = {};

		wl_msg_pack(&action->msg, &packed);
		costs[action->peer.at].messages++;
		costs[action->peer.at].bytes += packed.len;
		wl_buf_free(&packed);
		wl_event_init(&event, WL_EVENT_PEER);
		wl_buf_set(&event.peer, wl_str_from(name.c_str()));
		event.msg = action->msg;
		events.emplace_back(action->peer.at, event);
		wl_msg_init(&action->msg, WL_MSG_NONE);
	}

	void deliver()
	{
		while (!events.empty()) {
			auto next = events.front();

			events.pop_front();
			step(next.first, &next.second);
		}
	}

	uint64_t now = 1000 * MS;
	std::map<std::string, std::unique_ptr<Member>> members;
	std::deque<std::pair<std::string, wl_event_t>> events;
};

/* What the most expensive entry needs from the start of all until 10 s later. */
EntryCosts highest_costs(const Cell &cell)
{
	EntryCosts highest;

	for (const auto &entry : cell.costs) {
		if (entry.first == "s1")
			continue;
		highest.dialled.insert(entry.second.dialled.begin(), entry.second.dialled.end());
		highest.messages = std::max(highest.messages, entry.second.messages);
		highest.bytes = std::max(highest.bytes, entry.second.bytes);
	}
	return highest;
}

/*
 * Entries that share neither customers nor targets have links to the replicas only, and what
 * each is sent does not grow with their number.
 */
TEST(EntriesScale, CostsOfAnEntryAreFlatWithoutSharedWork)
{
	EntryCosts ten;

	for (size_t entries : {10, 150, 500}) {
		Cell cell(entries);

		cell.pass(10000);
		EntryCosts highest = highest_costs(cell);

		if (entries == 10)
			ten = highest;
		EXPECT_EQ(highest.dialled, std::set<std::string>{"s1"}) << entries << " entries";
		EXPECT_LE(highest.messages, 20u) << entries << " entries";
		EXPECT_LE(highest.messages, ten.messages + 2) << entries << " entries";
		EXPECT_LE(highest.bytes, ten.bytes * 5 / 4) << entries << " entries";
	}
}

/* Once a list is applied, all entries learn of each other and get links. */
TEST(EntriesScale, EntriesHaveLinksToEachOtherOnceListsAreApplied)
{
	Cell cell(4);

	cell.pass(3000);
	cell.put_plans();
	cell.pass(1000);
	for (const char *name : {"e1", "e2", "e3", "e4"}) {
		std::set<std::string> all = {"s1", "e1", "e2", "e3", "e4"};

		all.erase(name);
		EXPECT_EQ(cell.costs[name].dialled, all) << name;
	}
}
} // namespace
