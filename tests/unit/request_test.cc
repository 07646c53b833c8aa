/* Runs the scripts in tests/scripts/request against the request part of one entry. */

#include <gtest/gtest.h>

#include "../support/request_owner.h"

using Headers = std::vector<std::pair<std::string, std::string>>;

class RequestScript
{
      public:
	RequestScript();
	void run(const std::string &path)
	{
		script.run(path);
	}

      private:
	void after();
	void on(const std::string &word, void (RequestScript::*command)(const Script::Words &));
	void set(const Script::Words &words);
	void lists(const Script::Words &words);
	void target(const Script::Words &words);
	void members(const Script::Words &words);
	void call(const Script::Words &words);
	void gone(const Script::Words &words);
	void fetched(const Script::Words &words);
	void room(const Script::Words &words);
	void request(const Script::Words &words);
	void answer(const Script::Words &words);
	void cancel(const Script::Words &words);
	void link(const Script::Words &words);
	void result(const Script::Words &words);
	void session(const Script::Words &words);
	void drain(const Script::Words &words);
	void tick(const Script::Words &words);
	void ticks(const Script::Words &words);
	void repeat(const Script::Words &words);
	void show(const Script::Words &words);

	Script script;
	RequestRun part;
};

static uint64_t number(const std::string &word)
{
	return strtoull(word.c_str() + (word[0] == '#'), nullptr, 10);
}

static void set(wl_buf_t *buf, const std::string &text)
{
	wl_buf_set(buf, {text.data(), text.size()});
}

void RequestScript::on(const std::string &word,
		       void (RequestScript::*command)(const Script::Words &))
{
	script.on(word, [this, command](const Script::Words &words) {
		if (!part.requests && words[0] != "set") {
			part.now_ns = script.now_ns;
			part.start();
		}
		part.now_ns = script.now_ns;
		(this->*command)(words);
		after();
	});
}

RequestScript::RequestScript()
{
	on("set", &RequestScript::set);
	on("lists", &RequestScript::lists);
	on("target", &RequestScript::target);
	on("members", &RequestScript::members);
	on("call", &RequestScript::call);
	on("gone", &RequestScript::gone);
	on("fetched", &RequestScript::fetched);
	on("room", &RequestScript::room);
	on("request", &RequestScript::request);
	on("answer", &RequestScript::answer);
	on("cancel", &RequestScript::cancel);
	on("link", &RequestScript::link);
	on("result", &RequestScript::result);
	on("session", &RequestScript::session);
	on("drain", &RequestScript::drain);
	on("tick", &RequestScript::tick);
	on("ticks", &RequestScript::ticks);
	on("repeat", &RequestScript::repeat);
	on("show", &RequestScript::show);
}

void RequestScript::after()
{
	for (const auto &line : part.lines)
		script.print("%s", line.c_str());
	for (const auto &line : part.owner_calls)
		script.print("owner %s", line.c_str());
	part.lines.clear();
	part.owner_calls.clear();
}

void RequestScript::set(const Script::Words &words)
{
	part.options.retry_permille = script_number(words, "retry", part.options.retry_permille);
	part.options.max_queued = script_number(words, "queued", part.options.max_queued);
	part.show_capacity = script_value(words, "rooms") == "yes";
}

/* lists norrlamp weight=4 rate=10 concurrent=2 [token=SHA256]: one plan per customer */
void RequestScript::lists(const Script::Words &words)
{
	std::string customers;
	std::string plans;

	for (size_t i = 1; i < words.size(); i++) {
		if (words[i].find('=') != std::string::npos)
			continue;
		customers += (customers.empty() ? "" : ",") + std::string("{\"name\":\"") +
			     words[i] + "\",\"plan\":\"" + words[i] + "\",\"token_sha256\":\"" +
			     script_value(words, "token") + "\"}";
		plans += (plans.empty() ? "" : ",") + std::string("{\"name\":\"") + words[i] +
			 "\",\"weight\":" +
			 script_value(words, words[i] + ".weight",
				      script_value(words, "weight", "1")) +
			 ",\"services\":[\"sort\"],\"classes\":[\"urgent\"],\"max_concurrent\":" +
			 script_value(words, "concurrent", "1000") +
			 ",\"requests_per_second\":" + script_value(words, "rate", "100000") +
			 ",\"cpu_millis\":0,\"memory_mib\":0,\"accelerators\":0}";
	}
	part.lists("{\"customers\":[" + customers + "]}", "{\"plans\":[" + plans + "]}");
}

void RequestScript::target(const Script::Words &words)
{
	part.target(words[1], "sort", script_value(words, "zone", "a"),
		    script_number(words, "slots", 1));
}

void RequestScript::members(const Script::Words &words)
{
	part.members({words.begin() + 1, words.end()});
}

/* call ID METHOD PATH [customer=] [timeout=] [key=] [idempotent=] [token=] [body=] */
void RequestScript::call(const Script::Words &words)
{
	static const Headers names = {{"customer", "Wisterialead-Customer"},
				      {"timeout", "Wisterialead-Timeout-Ms"},
				      {"idempotent", "Wisterialead-Idempotent"},
				      {"key", "Idempotency-Key"}};
	Headers headers;

	for (const auto &name : names) {
		std::string value =
			script_value(words, name.first, name.first == "customer" ? "norrlamp" : "");

		if (!value.empty() && value != "none")
			headers.emplace_back(name.second, value);
	}
	if (!script_value(words, "token").empty())
		headers.emplace_back("Authorization", "Bearer " + script_value(words, "token"));
	part.call(number(words[1]), words[2], words[3], headers, script_value(words, "body"));
}

void RequestScript::gone(const Script::Words &words)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_CALL_ABANDONED);
	event.call.id = number(words[1]);
	part.step(&event);
}

/* fetched #ID 200 [body=] [took=], or fetched #ID unsent | cut | refused */
void RequestScript::fetched(const Script::Words &words)
{
	const std::string &how = words[2];
	bool whole = how != "unsent" && how != "cut";
	uint64_t status = how == "refused" ? 409 : number(how);

	part.fetched(number(words[1]), status, how != "unsent", whole, how == "refused",
		     script_value(words, "body"), script_number(words, "took", 10));
}

static void peer_event(wl_event_t *event, const std::string &peer, wl_msg_kind_t kind)
{
	wl_event_init(event, WL_EVENT_PEER);
	set(&event->peer, peer);
	wl_msg_init(&event->msg, kind);
}

static uint64_t session_of(const std::string &peer)
{
	return number(peer.substr(1));
}

/* room PEER [room=] [zone=] [running=] [wanted=] [wanted_milli=] */
void RequestScript::room(const Script::Words &words)
{
	wl_event_t event;

	peer_event(&event, words[1], WL_MSG_CAPACITY);
	wl_msg_room_t &msg = event.msg.u.capacity;
	msg.session = script_number(words, "session", session_of(words[1]));
	msg.full = script_value(words, "whole", "yes") == "yes";
	if (!script_value(words, "room").empty()) {
		auto *row = static_cast<wl_room_row_t *>(
			wl_list_add(&wl_room_row_schema, &msg.capacity_rows));

		::set(&row->service, "sort");
		::set(&row->availability_zone, script_value(words, "zone", "a"));
		row->free_requests = script_number(words, "room");
		row->targets = 1;
	}
	if (!script_value(words, "wanted").empty()) {
		auto *row = static_cast<wl_use_row_t *>(
			wl_list_add(&wl_use_row_schema, &msg.usage_rows));

		::set(&row->customer, "norrlamp");
		row->running = script_number(words, "running");
		row->demand = script_number(words, "wanted");
		row->demand_rate_milli = script_number(words, "wanted_milli");
	}
	part.step(&event);
}

/* request PEER #ID METHOD PATH [session=] [timeout=] */
void RequestScript::request(const Script::Words &words)
{
	wl_event_t event;

	peer_event(&event, words[1], WL_MSG_REQUEST);
	wl_msg_request_t &msg = event.msg.u.request;
	msg.id = number(words[2]);
	msg.session = script_number(words, "session", session_of(words[1]));
	msg.timeout_ms = script_number(words, "timeout", 1000);
	::set(&msg.customer, "norrlamp");
	::set(&msg.service, "sort");
	::set(&msg.method, words[3]);
	::set(&msg.path, words[4]);
	part.step(&event);
}

static wl_code_t code_of(const std::string &name)
{
	for (int code = 0; code < WL_E_CODES; code++)
		if (name == wl_code_name((wl_code_t)code))
			return (wl_code_t)code;
	ADD_FAILURE() << "unknown code " << name;
	return WL_E_IO;
}

static wl_verdict_t verdict_of(const std::string &name)
{
	wl_verdict_t verdict = WL_UNKNOWN;

	EXPECT_TRUE(wl_verdict_parse(wl_str_from(name.c_str()), &verdict)) << name;
	return verdict;
}

/* answer PEER #ID VERDICT [session=] [code=] [status=] [body=] [room=] [target=] */
void RequestScript::answer(const Script::Words &words)
{
	wl_event_t event;

	peer_event(&event, words[1], WL_MSG_ANSWER);
	wl_msg_answer_t &msg = event.msg.u.answer;
	msg.id = WL_PART_ID(WL_PART_REQUEST, number(words[2]));
	msg.session = script_number(words, "session", 1);
	msg.verdict = verdict_of(words[3]);
	msg.code = code_of(script_value(words, "code", "ok"));
	msg.status = script_number(words, "status");
	msg.free_requests = script_number(words, "room");
	::set(&msg.body, script_value(words, "body"));
	::set(&msg.target, script_value(words, "target"));
	part.step(&event);
}

void RequestScript::cancel(const Script::Words &words)
{
	wl_event_t event;

	peer_event(&event, words[1], WL_MSG_CANCEL);
	event.msg.u.cancel.id = number(words[2]);
	event.msg.u.cancel.session = session_of(words[1]);
	part.step(&event);
}

/* link PEER up | down */
void RequestScript::link(const Script::Words &words)
{
	wl_event_t event;

	wl_event_init(&event, words[2] == "up" ? WL_EVENT_PEER_UP : WL_EVENT_PEER_DOWN);
	::set(&event.peer, words[1]);
	part.step(&event);
}

/* result #ID fresh | done | running | lost | CODE [verdict=] [status=] [body=] */
void RequestScript::result(const Script::Words &words)
{
	static const std::vector<std::string> states = {"fresh", "running", "done", "lost"};
	wl_result_t result = {};
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_RESULT);
	event.tag = WL_PART_ID(WL_PART_REQUEST, number(words[1]));
	event.result = &result;
	result.code = WL_E_CODES;
	for (size_t i = 0; i < states.size(); i++)
		if (words[2] == states[i]) {
			result.code = WL_OK;
			result.key_state = i;
		}
	if (result.code != WL_OK)
		result.code = code_of(words[2]);
	result.verdict = verdict_of(script_value(words, "verdict", "ran"));
	result.status = script_number(words, "status");
	::set(&result.body, script_value(words, "body"));
	part.step(&event);
	wl_result_free(&result);
}

void RequestScript::session(const Script::Words &words)
{
	part.session.valid_until_ns = words[1] == "lost" ? 0 : UINT64_MAX;
}

void RequestScript::drain(const Script::Words &)
{
	wl_requests_drain(part.requests);
}

void RequestScript::tick(const Script::Words &)
{
	part.tick();
}

/* ticks COUNT MS: COUNT ticks, MS milliseconds apart */
void RequestScript::ticks(const Script::Words &words)
{
	for (uint64_t i = 0; i < number(words[1]); i++) {
		part.now_ns += number(words[2]) * 1000000;
		part.tick();
	}
}

/* repeat COUNT MS: COUNT requests in sequence, each answered after MS milliseconds */
void RequestScript::repeat(const Script::Words &words)
{
	for (uint64_t i = 0; i < number(words[1]); i++) {
		part.call(1000000 + i, "GET", "/s/sort/a", {{"Wisterialead-Customer", "norrlamp"}},
			  "");
		part.now_ns += number(words[2]) * 1000000;
		part.fetched(part.fetches.back(), 200, true, true, false, "", number(words[2]));
	}
	part.lines.clear();
	part.owner_calls.clear();
}

/* show open | reserved TARGET | NAME LABELS */
void RequestScript::show(const Script::Words &words)
{
	unsigned long long value;

	if (words[1] == "open")
		value = wl_requests_open(part.requests);
	else if (words[1] == "reserved")
		value = wl_ledger_find(&part.ledger, wl_str_from(words[2].c_str()))->reserved.slots;
	else
		value = part.counter(words[1], words.size() > 2 ? words[2] : "");
	script.print("%llu", value);
}

class RequestScripts : public testing::TestWithParam<std::string>
{
};

TEST_P(RequestScripts, Run)
{
	RequestScript script;

	script.run(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Scripts, RequestScripts, testing::ValuesIn(script_paths("request")));
