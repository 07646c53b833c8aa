#include "request_run.h"

#include <cstdarg>

static const uint64_t ID_MASK = (1ull << WL_PART_SHIFT) - 1;

static wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

static std::string text(const wl_buf_t &buf)
{
	return std::string(buf.len ? buf.at : "", buf.len);
}

static std::string format(const char *pattern, ...) __attribute__((format(printf, 1, 2)));

static std::string format(const char *pattern, ...)
{
	char line[2048];
	va_list args;

	va_start(args, pattern);
	vsnprintf(line, sizeof(line), pattern, args);
	va_end(args);
	return line;
}

RequestRun::RequestRun()
{
	wl_need_t one = {1000, 100, 0, 1, 1};

	wl_ledger_init(&ledger, &one);
	wl_view_init(&view);
	wl_metrics_init(&metrics);
	session.id = 1;
	session.valid_until_ns = UINT64_MAX;
	options.entry = wl_str_from("e1");
	options.availability_zone = wl_str_from("a");
	options.ledger = &ledger;
	options.owner = reinterpret_cast<wl_owner_t *>(this);
	options.view = &view;
	options.session = &session;
	options.metrics = &metrics;
	options.default_timeout_ms = 1000;
	options.max_timeout_ms = 60000;
	options.retry_permille = 100;
	options.seed = 7;
	lists(R"({"customers":[{"name":"norrlamp","plan":"reclaim"}]})",
	      R"({"plans":[{"name":"reclaim","weight":1,"services":["sort"],"classes":["urgent"],)"
	      R"("max_concurrent":1000,"requests_per_second":100000,"cpu_millis":0,)"
	      R"("memory_mib":0,"accelerators":0}]})");
}

RequestRun::~RequestRun()
{
	wl_requests_free(requests);
	wl_metrics_free(&metrics);
	wl_view_free(&view);
	wl_ledger_free(&ledger);
}

void RequestRun::start()
{
	wl_err_t err = {};

	requests = wl_requests_new(&options, now_ns, &err);
	if (!requests)
		lines.push_back(err.text);
}

void RequestRun::lists(const std::string &customers, const std::string &plans)
{
	wl_err_t err = {};

	wl_lists_free(view.lists);
	view.lists = wl_lists_new(str(customers), str(plans), &err);
	if (!view.lists)
		lines.push_back(err.text);
}

void RequestRun::members(const std::vector<std::string> &names)
{
	wl_event_t event;

	wl_list_free(&wl_member_schema, &view.members);
	for (const auto &name : names) {
		auto *member =
			static_cast<wl_member_t *>(wl_list_add(&wl_member_schema, &view.members));

		wl_buf_set(&member->entry, str(name));
		member->session = strtoull(name.c_str() + 1, nullptr, 10);
	}
	wl_event_init(&event, WL_EVENT_VIEW);
	step(&event);
}

void RequestRun::target(const std::string &name, const std::string &service,
			const std::string &zone, uint64_t slots)
{
	wl_target_t *target = wl_ledger_find(&ledger, str(name));
	wl_need_t capacity = {slots * 1000, slots * 100, 0, slots, slots};

	if (target) {
		wl_ledger_set_capacity(&ledger, target, &capacity);
		wl_ledger_set_open(&ledger, target, slots > 0);
		return;
	}
	target = wl_ledger_add(&ledger, str(name), 5);
	wl_buf_set(&target->address, str("10.0.0.1:" + name));
	wl_buf_set(&target->availability_zone, str(zone));
	wl_strings_add(&target->services, str(service));
	target->boot = 9;
	target->seq = 3;
	wl_ledger_set_capacity(&ledger, target, &capacity);
	wl_ledger_set_open(&ledger, target, true);
}

void RequestRun::call(uint64_t id, const std::string &method, const std::string &path,
		      const std::vector<std::pair<std::string, std::string>> &headers,
		      const std::string &body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = id;
	wl_buf_set(&event.call.method, str(method));
	wl_buf_set(&event.call.path, str(path));
	wl_buf_set(&event.call.body, str(body));
	for (const auto &header : headers)
		wl_headers_add(&event.call.headers, str(header.first), str(header.second));
	step(&event);
}

void RequestRun::fetched(uint64_t id, uint64_t status, bool sent, bool whole, bool refused,
			 const std::string &body, uint64_t took_ms)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = WL_PART_ID(WL_PART_REQUEST, id);
	event.fetched.sent = sent;
	event.fetched.complete = whole;
	event.fetched.status = status;
	event.fetched.took_ns = took_ms * 1000000;
	wl_buf_set(&event.fetched.body, str(body));
	if (refused)
		wl_headers_add(&event.fetched.headers, wl_str_from("Wisterialead-Verdict"),
			       wl_str_from("not-run"));
	if (!whole)
		wl_buf_set(&event.fetched.error, wl_str_from("cut"));
	step(&event);
}

void RequestRun::step(wl_event_t *event)
{
	wl_out_t out;

	wl_out_init(&out);
	if (requests)
		wl_requests_step(requests, now_ns, event, &out);
	handle_actions(&out);
	wl_out_free(&out);
	wl_event_free(event);
}

void RequestRun::tick()
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_TICK);
	step(&event);
}

uint64_t RequestRun::counter(const std::string &name, const std::string &labels)
{
	return wl_metrics_get(&metrics, name.c_str(), labels.c_str());
}

void RequestRun::print_send(const wl_action_t *action)
{
	const wl_msg_t &msg = action->msg;
	std::string to = text(action->peer);

	if (msg.kind == WL_MSG_REQUEST) {
		const wl_msg_request_t &m = msg.u.request;

		lines.push_back(format("send %s request #%llu session=%llu %s %s timeout=%llu%s%s",
				       to.c_str(), (unsigned long long)(m.id & ID_MASK),
				       (unsigned long long)m.session, text(m.method).c_str(),
				       text(m.path).c_str(), (unsigned long long)m.timeout_ms,
				       m.avoid.len ? " avoid=" : "", text(m.avoid).c_str()));
	} else if (msg.kind == WL_MSG_ANSWER) {
		const wl_msg_answer_t &m = msg.u.answer;

		lines.push_back(
			format("send %s answer #%llu session=%llu %s %s status=%llu "
			       "body=%s target=%s room=%llu",
			       to.c_str(), (unsigned long long)(m.id & ID_MASK),
			       (unsigned long long)m.session, wl_code_name((wl_code_t)m.code),
			       wl_verdict_name((wl_verdict_t)m.verdict),
			       (unsigned long long)m.status, text(m.body).c_str(),
			       text(m.target).c_str(), (unsigned long long)m.free_requests));
	} else if (msg.kind == WL_MSG_CANCEL) {
		lines.push_back(format("send %s cancel #%llu", to.c_str(),
				       (unsigned long long)(msg.u.cancel.id & ID_MASK)));
	} else if (msg.kind == WL_MSG_CAPACITY && show_capacity) {
		std::string line = "send " + to + (msg.u.capacity.full ? " room whole:" : " room");
		const auto *capacity =
			static_cast<const wl_room_row_t *>(msg.u.capacity.capacity_rows.items);
		const auto *usage =
			static_cast<const wl_use_row_t *>(msg.u.capacity.usage_rows.items);

		for (size_t i = 0; i < msg.u.capacity.capacity_rows.count; i++)
			line += format(" %s/%s=%llu", text(capacity[i].service).c_str(),
				       text(capacity[i].availability_zone).c_str(),
				       (unsigned long long)capacity[i].free_requests);
		for (size_t i = 0; i < msg.u.capacity.usage_rows.count; i++)
			line += format(" %s:running=%llu", text(usage[i].customer).c_str(),
				       (unsigned long long)usage[i].running);
		lines.push_back(line);
	}
}

static std::string leader_line(const wl_action_t *action)
{
	wl_cmd_t cmd = {};
	wl_err_t err = {};
	std::string line = "bad command";

	if (!wl_cmd_unpack({action->msg.u.command.cmd.at, action->msg.u.command.cmd.len}, &cmd,
			   &err))
		return line;
	if (cmd.kind == WL_CMD_KEY_BEGIN)
		line = format("leader #%llu key-begin %s",
			      (unsigned long long)(action->msg.u.command.call & ID_MASK),
			      text(cmd.u.key_begin.key).c_str());
	else
		line = format("leader #%llu key-end %s %s status=%llu body=%s",
			      (unsigned long long)(action->msg.u.command.call & ID_MASK),
			      text(cmd.u.key_end.key).c_str(),
			      wl_verdict_name((wl_verdict_t)cmd.u.key_end.verdict),
			      (unsigned long long)cmd.u.key_end.status,
			      text(cmd.u.key_end.body).c_str());
	wl_cmd_free(&cmd);
	return line;
}

static std::string reply_line(const wl_reply_t &reply)
{
	const wl_buf_t *replayed =
		wl_headers_find(&reply.headers, wl_str_from("Wisterialead-Replayed"));
	std::string body = text(reply.body);

	while (!body.empty() && body.back() == '\n')
		body.pop_back();
	return format("reply %llu %llu %s %s%s", (unsigned long long)reply.call,
		      (unsigned long long)reply.status, wl_verdict_name(reply.verdict),
		      body.c_str(), replayed ? " replayed" : "");
}

void RequestRun::handle_actions(const wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		const wl_action_t *action = &out->actions[i];
		const wl_fetch_t &fetch = action->fetch;

		if (on_action) {
			on_action(action);
			continue;
		}

		switch (action->kind) {
		case WL_ACTION_REPLY:
			lines.push_back(reply_line(action->reply));
			break;
		case WL_ACTION_FETCH:
			fetches.push_back(fetch.id & ID_MASK);
			fetched_from.push_back(text(fetch.address).substr(sizeof("10.0.0.1:") - 1));
			lines.push_back(
				format("fetch #%llu %s %s %s timeout=%llu",
				       (unsigned long long)(fetch.id & ID_MASK),
				       text(fetch.address).c_str() + sizeof("10.0.0.1:") - 1,
				       text(fetch.method).c_str(), text(fetch.path).c_str(),
				       (unsigned long long)fetch.timeout_ms));
			break;
		case WL_ACTION_FETCH_CANCEL:
			lines.push_back(
				format("cancel #%llu", (unsigned long long)(fetch.id & ID_MASK)));
			break;
		case WL_ACTION_SEND:
			print_send(action);
			break;
		case WL_ACTION_LEADER_CALL:
			lines.push_back(leader_line(action));
			break;
		default:
			break;
		}
	}
}
