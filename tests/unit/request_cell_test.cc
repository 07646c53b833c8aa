/*
 * Three entries with targets, a simulated leader that stores keys, and callers, under
 * random faults: lost connections, interrupted and refused calls, lost commits,
 * callers that disconnect.  Checks that each call gets exactly one reply, that
 * verdicts are correct, that work that is not idempotent runs at most once, and
 * that all reservations are released.
 */

#include <gtest/gtest.h>

#include <climits>
#include <map>
#include <memory>
#include <string>

extern "C" {
#include <libwlbase/rng.h>
}

#include "../support/request_owner.h"

static const uint64_t MS = 1000000;
static const size_t ENTRIES = 3;
static const uint64_t SLOTS = 3;

static wl_str_t entries_name(size_t i)
{
	static const char *const names[ENTRIES] = {"e1", "e2", "e3"};

	return wl_str_from(names[i]);
}

/* A piece of work of a caller.  Idempotent work may run any number of times. */
struct Work {
	bool at_most_once = false; /* not idempotent */
	std::string key;
	int calls = 0;
	int runs = 0;
	bool all_replies_not_run = true;
};

struct Call {
	uint64_t work = 0;
	bool disconnected = false;
	int replies = 0;
	int runs_before = 0;
};

struct Key {
	uint64_t nonce = 0;
	wl_key_state_t state = WL_KEY_RUNNING;
	uint64_t status = 0;
	std::string body;
};

class RequestCell
{
      public:
	explicit RequestCell(uint64_t seed);
	void run(uint64_t count);
	void check();

	uint64_t replies[3] = {}; /* by verdict */
	uint64_t replays = 0;

      private:
	using Callback = std::function<void()>;

	bool chance(uint64_t percent)
	{
		return wl_rng_below(&rng, 100) < percent;
	}
	void run_after(uint64_t ms, Callback callback)
	{
		timers.emplace(now_ms + ms, std::move(callback));
	}
	RequestRun *entry(size_t i)
	{
		entries[i]->now_ns = now_ms * MS;
		return entries[i].get();
	}
	void step(size_t i, const std::function<void(wl_event_t *)> &fill, wl_event_kind_t kind);
	void make_call();
	void send_call(uint64_t id);
	void cut_link();
	void handle_action(size_t i, const wl_action_t *action);
	void handle_fetch(size_t i, const wl_fetch_t &fetch);
	void end_fetch(size_t i, uint64_t id, uint64_t status, bool sent, bool whole,
		       const std::string &body);
	void handle_send(size_t i, const wl_action_t *action);
	void handle_leader_call(size_t i, const wl_action_t *action);
	void commit(const wl_cmd_t &cmd, wl_result_t *result);
	void handle_reply(const wl_reply_t &reply);

	std::vector<std::unique_ptr<RequestRun>> entries;
	std::multimap<uint64_t, Callback> timers;
	std::map<uint64_t, Work> works;
	std::map<uint64_t, Call> calls;
	std::map<std::string, Key> keys;
	std::map<std::pair<size_t, size_t>, uint64_t> links; /* number of failures of each link */
	std::map<std::pair<size_t, uint64_t>, bool> ended;   /* fetches */
	uint64_t now_ms = 1;
	uint64_t next_call = 0;
	wl_rng_t rng;
};

RequestCell::RequestCell(uint64_t seed)
{
	wl_rng_init(&rng, seed, 9);
	for (size_t i = 0; i < ENTRIES; i++) {
		entries.push_back(std::make_unique<RequestRun>());
		RequestRun *run = entry(i);

		run->session.id = i + 1;
		run->options.entry = entries_name(i);
		run->options.seed = seed + i;
		run->options.retry_permille = 1000;
		run->start();
		for (int t = 0; t < 2; t++)
			run->target("w" + std::to_string(i * 2 + t), "sort", "a", SLOTS);
		run->on_action = [this, i](const wl_action_t *action) { handle_action(i, action); };
	}
	for (size_t i = 0; i < ENTRIES; i++)
		entry(i)->members({"e1", "e2", "e3"});
}

void RequestCell::step(size_t i, const std::function<void(wl_event_t *)> &fill,
		       wl_event_kind_t kind)
{
	wl_event_t event;

	wl_event_init(&event, kind);
	fill(&event);
	entry(i)->step(&event);
}

void RequestCell::make_call()
{
	uint64_t id = works.size();
	Work &work = works[id];

	work.at_most_once = chance(60);
	if (work.at_most_once && chance(50))
		work.key = "k" + std::to_string(id);
	send_call(id);
}

void RequestCell::send_call(uint64_t id)
{
	uint64_t call = ++next_call;
	size_t at = wl_rng_below(&rng, ENTRIES);
	Work &work = works[id];
	std::vector<std::pair<std::string, std::string>> headers = {
		{"Wisterialead-Customer", "norrlamp"},
		{"Wisterialead-Timeout-Ms", std::to_string(20 + wl_rng_below(&rng, 300))}};

	work.calls++;
	calls[call].work = id;
	calls[call].runs_before = work.runs;
	if (!work.key.empty())
		headers.emplace_back("Idempotency-Key", work.key);
	entry(at)->call(call, work.at_most_once ? "POST" : "GET", "/s/sort/" + std::to_string(id),
			headers, "");
	if (chance(5))
		run_after(wl_rng_below(&rng, 60), [this, at, call] {
			if (calls[call].replies)
				return;
			calls[call].disconnected = true;
			works[calls[call].work].all_replies_not_run = false;
			step(
				at, [call](wl_event_t *event) { event->call.id = call; },
				WL_EVENT_CALL_ABANDONED);
		});
}

/* Messages in flight in both directions are lost, and both ends are notified within 20 ms. */
void RequestCell::cut_link()
{
	size_t a = wl_rng_below(&rng, ENTRIES);
	size_t b = (a + 1) % ENTRIES;

	for (auto ends : {std::make_pair(a, b), std::make_pair(b, a)}) {
		links[ends]++;
		run_after(wl_rng_below(&rng, 20), [this, ends] {
			step(
				ends.first,
				[ends](wl_event_t *event) {
					wl_buf_set(&event->peer, entries_name(ends.second));
				},
				WL_EVENT_PEER_DOWN);
		});
	}
}

void RequestCell::handle_action(size_t i, const wl_action_t *action)
{
	if (action->kind == WL_ACTION_FETCH)
		handle_fetch(i, action->fetch);
	else if (action->kind == WL_ACTION_SEND)
		handle_send(i, action);
	else if (action->kind == WL_ACTION_LEADER_CALL)
		handle_leader_call(i, action);
	else if (action->kind == WL_ACTION_REPLY)
		handle_reply(action->reply);
	else if (action->kind == WL_ACTION_FETCH_CANCEL) {
		uint64_t id = action->fetch.id;

		run_after(wl_rng_below(&rng, 10),
			  [this, i, id] { end_fetch(i, id, 0, true, false, ""); });
	}
}

/* The target runs the call, or refuses or loses it.  A cancelled call may still run. */
void RequestCell::handle_fetch(size_t i, const wl_fetch_t &fetch)
{
	uint64_t id = fetch.id;
	uint64_t work = strtoull(fetch.path.at + 1, nullptr, 10);
	uint64_t took = 1 + wl_rng_below(&rng, chance(10) ? 400 : 30);
	std::string body = "answer-" + std::to_string(work);
	uint64_t outcome = wl_rng_below(&rng, 100);

	for (size_t t = 0; t < 2; t++) {
		wl_target_t *target =
			wl_ledger_find(&entries[i]->ledger,
				       wl_str_from(("w" + std::to_string(i * 2 + t)).c_str()));

		EXPECT_LE(target->reserved.slots, SLOTS);
	}
	run_after(fetch.timeout_ms, [this, i, id] { end_fetch(i, id, 0, true, false, ""); });
	if (outcome < 8) {
		run_after(took, [this, i, id] { end_fetch(i, id, 0, false, false, ""); });
	} else if (outcome < 14) {
		run_after(took, [this, i, id] { end_fetch(i, id, 409, true, true, "refused"); });
	} else if (outcome < 20) {
		run_after(took, [this, i, id] { end_fetch(i, id, 0, true, false, ""); });
	} else {
		works[work].runs++;
		bool whole = outcome < 90;

		run_after(took, [this, i, id, whole, body] {
			end_fetch(i, id, whole ? 200 : 0, true, whole, whole ? body : "");
		});
	}
}

void RequestCell::end_fetch(size_t i, uint64_t id, uint64_t status, bool sent, bool whole,
			    const std::string &body)
{
	if (ended[{i, id}])
		return;
	ended[{i, id}] = true;
	entry(i)->fetched(id & ((1ull << WL_PART_SHIFT) - 1), status, sent, whole,
			  body == "refused", body, 5);
}

void RequestCell::handle_send(size_t i, const wl_action_t *action)
{
	size_t to = action->peer.at[1] - '1';
	uint64_t epoch = links[{i, to}];
	auto msg = std::make_shared<wl_msg_t>();

	wl_msg_copy(msg.get(), &action->msg);
	run_after(1 + wl_rng_below(&rng, 3), [this, i, to, epoch, msg] {
		/* 3 percent of the messages are duplicated */
		int times = links[{i, to}] != epoch ? 0 : chance(3) ? 2 : 1;

		for (int n = 0; n < times; n++)
			step(
				to,
				[i, &msg](wl_event_t *event) {
					wl_buf_set(&event->peer, entries_name(i));
					wl_msg_copy(&event->msg, msg.get());
				},
				WL_EVENT_PEER);
		wl_msg_free(msg.get());
	});
}

void RequestCell::commit(const wl_cmd_t &cmd, wl_result_t *result)
{
	const wl_buf_t &name =
		cmd.kind == WL_CMD_KEY_BEGIN ? cmd.u.key_begin.key : cmd.u.key_end.key;
	std::string text(name.at, name.len);
	auto found = keys.find(text);

	if (cmd.kind == WL_CMD_KEY_BEGIN) {
		result->key_state = WL_KEY_FRESH;
		if (found == keys.end()) {
			keys[text].nonce = cmd.u.key_begin.nonce;
			return;
		}
		if (found->second.nonce == cmd.u.key_begin.nonce &&
		    found->second.state == WL_KEY_RUNNING)
			return;
		result->key_state = found->second.state;
		result->verdict = WL_RAN;
		result->status = found->second.status;
		wl_buf_set(&result->body, wl_str_from(found->second.body.c_str()));
		return;
	}
	if (found == keys.end() || found->second.nonce != cmd.u.key_end.nonce)
		return;
	if (cmd.u.key_end.verdict == WL_NOT_RUN) {
		keys.erase(found);
		return;
	}
	found->second.state = cmd.u.key_end.verdict == WL_RAN ? WL_KEY_DONE : WL_KEY_LOST;
	found->second.status = cmd.u.key_end.status;
	found->second.body = std::string(cmd.u.key_end.body.len ? cmd.u.key_end.body.at : "",
					 cmd.u.key_end.body.len);
}

/* The command may be committed or lost, and either way the entry may get a failure. */
void RequestCell::handle_leader_call(size_t i, const wl_action_t *action)
{
	uint64_t call = action->msg.u.command.call;
	auto cmd = std::make_shared<wl_cmd_t>();
	wl_err_t err = {};

	ASSERT_TRUE(wl_cmd_unpack(wl_buf_str(&action->msg.u.command.cmd), cmd.get(), &err));
	run_after(1 + wl_rng_below(&rng, 20), [this, i, call, cmd] {
		wl_result_t result = {};
		uint64_t outcome = wl_rng_below(&rng, 100);

		if (outcome < 95)
			commit(*cmd, &result);
		if (outcome >= 90) {
			result.code = WL_E_NO_LEADER;
			result.verdict = outcome < 98 ? WL_UNKNOWN : WL_NOT_RUN;
		}
		step(
			i,
			[call, &result](wl_event_t *event) {
				event->tag = call;
				event->result = &result;
			},
			WL_EVENT_RESULT);
		wl_result_free(&result);
		wl_cmd_free(cmd.get());
	});
}

void RequestCell::handle_reply(const wl_reply_t &reply)
{
	Call &call = calls[reply.call];
	std::string body(reply.body.len ? reply.body.at : "", reply.body.len);

	call.replies++;
	replies[reply.verdict]++;
	EXPECT_FALSE(call.disconnected);
	if (reply.verdict == WL_RAN) {
		EXPECT_EQ(body, "answer-" + std::to_string(call.work));
	}
	if (reply.verdict == WL_NOT_RUN) {
		EXPECT_EQ(works[call.work].runs, call.runs_before) << "call " << reply.call;
	} else {
		works[call.work].all_replies_not_run = false;
	}
	replays += wl_headers_find(&reply.headers, wl_str_from("Wisterialead-Replayed")) != nullptr;

	/* with a key the caller resends to any entry, without one only what did not run */
	uint64_t work = call.work;
	if (works[work].calls < 4 && (!works[work].key.empty() || reply.verdict == WL_NOT_RUN))
		run_after(wl_rng_below(&rng, 50), [this, work] { send_call(work); });
}

void RequestCell::run(uint64_t count)
{
	for (uint64_t i = 0; i < count; i++)
		run_after(i * 3, [this] { make_call(); });
	for (uint64_t ms = 0; ms < count * 3; ms += 300)
		run_after(ms, [this] { cut_link(); });
	for (uint64_t end_ms = now_ms + count * 3 + 3000; now_ms < end_ms; now_ms++) {
		while (!timers.empty() && timers.begin()->first <= now_ms) {
			Callback callback = std::move(timers.begin()->second);

			timers.erase(timers.begin());
			callback();
		}
		for (size_t i = 0; now_ms % 10 == 0 && i < ENTRIES; i++)
			entry(i)->tick();
	}
}

void RequestCell::check()
{
	for (const auto &call : calls) {
		EXPECT_EQ(call.second.replies, call.second.disconnected ? 0 : 1)
			<< "call " << call.first;
	}
	for (const auto &work : works) {
		int max_runs = work.second.all_replies_not_run ? 0
			       : work.second.at_most_once      ? 1
							       : INT_MAX;

		EXPECT_LE(work.second.runs, max_runs)
			<< "work " << work.first << " with " << work.second.calls << " calls";
	}
	for (size_t i = 0; i < ENTRIES; i++) {
		const wl_target_t *target;

		EXPECT_EQ(wl_requests_open(entries[i]->requests), 0u);
		TAILQ_FOREACH (target, &entries[i]->ledger.targets, link)
			EXPECT_EQ(target->reserved.slots, 0u);
	}
}

TEST(RequestCell, GuaranteesHoldUnderRandomFaults)
{
	uint64_t total[3] = {};
	uint64_t replays = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		RequestCell cell(seed);

		cell.run(400);
		cell.check();
		for (int verdict = 0; verdict < 3; verdict++)
			total[verdict] += cell.replies[verdict];
		replays += cell.replays;
		ASSERT_FALSE(HasFailure()) << "seed " << seed;
	}
	/* each verdict and the replay of stored outcomes occurred */
	EXPECT_GT(total[WL_NOT_RUN], 100u);
	EXPECT_GT(total[WL_RAN], 1000u);
	EXPECT_GT(total[WL_UNKNOWN], 100u);
	EXPECT_GT(replays, 50u);
}

TEST(RequestCell, ReportsOfAnIdlePeerStayValid)
{
	RequestRun owner;
	RequestRun caller_entry;
	uint64_t forwards = 0;
	uint64_t calls = 0;

	owner.options.entry = wl_str_from("e2");
	owner.session.id = 2;
	owner.start();
	owner.target("w1", "sort", "a", 1000);
	caller_entry.start();
	owner.on_action = [&](const wl_action_t *action) {
		wl_event_t event;

		if (action->kind != WL_ACTION_SEND)
			return;
		wl_event_init(&event, WL_EVENT_PEER);
		wl_buf_set(&event.peer, wl_str_from("e2"));
		wl_msg_copy(&event.msg, &action->msg);
		caller_entry.step(&event);
	};
	caller_entry.on_action = [&](const wl_action_t *action) {
		forwards += action->kind == WL_ACTION_SEND && action->msg.kind == WL_MSG_REQUEST;
	};
	owner.members({"e1", "e2"});
	caller_entry.members({"e1", "e2"});

	/* ticks come every 13 ms and not at the times of the exchange */
	for (uint64_t ms = 110; ms <= 5000; ms += 13) {
		owner.now_ns = caller_entry.now_ns = ms * MS;
		owner.tick();
		if (ms < 300)
			continue;
		calls++;
		caller_entry.call(ms, "GET", "/s/sort/a", {{"Wisterialead-Customer", "norrlamp"}},
				  "");
		ASSERT_EQ(forwards, calls) << "at " << ms << " ms";
	}
}
