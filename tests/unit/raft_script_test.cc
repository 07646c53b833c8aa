#include "../support/raft_bus.h"
#include "../support/script.h"

#include <gtest/gtest.h>

/* One scripted run of replicas named a, b, c, ... */
class RaftScript
{
      public:
	RaftScript() : bus(1)
	{
		add_process_commands();
		add_network_commands();
		add_event_commands();
		add_show_commands();
	}

	void run(const std::string &path)
	{
		script.run(path);
		bus.check_logs();
		EXPECT_EQ(bus.fault, "") << path;
	}

      private:
	void add_process_commands()
	{
		script.on("start", [this](const Script::Words &words) {
			std::vector<std::string> names;

			bus.compact_entries = script_number(words, "compact");
			bus.chunk_bytes = script_number(words, "piece");
			for (int i = 0; i < std::stoi(words.at(1)); i++)
				names.emplace_back(1, static_cast<char>('a' + i));
			bus.add(names);
			for (const auto &name : names)
				if (script_value(words, "without") != name)
					bus.start(name);
		});
		script.on("crash", [this](const Script::Words &words) { bus.crash(words.at(1)); });
		script.on("restart", [this](const Script::Words &words) {
			bus.crash(words.at(1));
			bus.start(words.at(1));
		});
		script.on("wipe", [this](const Script::Words &words) {
			bus.crash(words.at(1));
			bus.wipe(words.at(1));
		});
		script.on("disk", [this](const Script::Words &words) {
			bus.node(words.at(1)).sync_ns = script_number(words, "ms", 1) * MS;
		});
	}

	void add_network_commands()
	{
		script.on("run", [this](const Script::Words &words) {
			bus.run(std::stoull(words.at(1)));
		});
		script.on("cut", [this](const Script::Words &words) {
			for (const auto &name : bus.names)
				if (words.size() == 2 && name != words[1])
					bus.cut(words[1], name);
			if (words.size() > 2)
				bus.cut(words[1], words[2]);
		});
		script.on("cut-one-way", [this](const Script::Words &words) {
			bus.cut_one_way(words.at(1), words.at(2));
		});
		script.on("heal", [this](const Script::Words &) { bus.heal(); });
	}

	/* The word "leader" means the replica that currently leads. */
	std::string resolve_name(const std::string &word)
	{
		return word == "leader" ? bus.leader() : word;
	}

	void add_event_commands()
	{
		script.on("propose", [this](const Script::Words &words) {
			uint64_t times = script_number(words, "times", 1);

			for (uint64_t i = 0; i < times; i++)
				bus.propose(resolve_name(words.at(1)),
					    words.at(2) + (times > 1 ? std::to_string(i) : ""));
		});
		script.on("hand-over", [this](const Script::Words &words) {
			wl_raft_event_t event = {};

			event.kind = WL_RAFT_EV_HAND_OVER;
			bus.event(resolve_name(words.at(1)), event);
		});
		script.on("replace", [this](const Script::Words &words) {
			wl_raft_event_t event = {};

			event.kind = WL_RAFT_EV_REPLACE;
			event.name = {words.at(1).data(), words.at(1).size()};
			bus.event(bus.leader(), event);
		});
	}

	void add_show_commands()
	{
		script.on("show", [this](const Script::Words &) {
			for (auto &item : bus.nodes)
				show(item.second);
		});
		script.on("show-members", [this](const Script::Words &) { show_members(); });
		script.on("show-outcomes", [this](const Script::Words &) {
			for (const auto &item : bus.outcomes)
				script.print("%llu %s", static_cast<unsigned long long>(item.first),
					     item.second.c_str());
		});
		script.on("show-lease", [this](const Script::Words &words) {
			const BusNode &at = bus.node(resolve_name(words.at(1)));

			script.print("%s lease %s", at.name.c_str(),
				     wl_raft_lease_holds(at.raft, bus.now_ns) ? "holds" : "over");
		});
		script.on("show-groups", [this](const Script::Words &) {
			script.print("groups with a leader: %zu", bus.groups.size());
		});
	}

	void show(const BusNode &at)
	{
		wl_str_t leader;

		if (!at.raft) {
			script.print("%s down", at.name.c_str());
			return;
		}
		leader = wl_raft_leader_name(at.raft);
		script.print("%s %s follows=" WL_STR_FMT " term=%llu commit=%llu state=%zu last=%s",
			     at.name.c_str(),
			     !wl_raft_group(at.raft)	  ? "blank"
			     : wl_raft_is_leader(at.raft) ? "leader"
							  : "follower",
			     WL_STR_ARG(leader),
			     static_cast<unsigned long long>(wl_raft_term(at.raft)),
			     static_cast<unsigned long long>(wl_raft_commit_index(at.raft)),
			     at.state.size(), at.state.empty() ? "-" : at.state.back().c_str());
	}

	void show_members()
	{
		wl_buf_t json = {};

		if (bus.leader().empty())
			return;
		wl_raft_members_json(bus.node(bus.leader()).raft, &json);
		script.print("%s", json.at);
		wl_buf_free(&json);
	}

	Script script;
	RaftBus bus;
};

class RaftScriptTest : public testing::TestWithParam<std::string>
{
};

TEST_P(RaftScriptTest, OutputIsAsExpected)
{
	RaftScript run;

	run.run(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Scripts, RaftScriptTest, testing::ValuesIn(script_paths("raft")));
