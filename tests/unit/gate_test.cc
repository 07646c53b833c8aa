extern "C" {
#include <libwlcore/gate/gate.h>
#include <platform/platform.h>
}

#include <memory>
#include <string>

#include <gtest/gtest.h>

/* Calls in a dialect: forwarding to the leader, answers and refusals. */

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t NOW = 1000 * MS;

const char JOB[] = R"({"spec":"words","steps":[{"count":2,"cpu":500,"mem_mb":256}]})";
const char BEAT[] =
	R"({"backend":"sort","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,)"
	R"("state":"ready","cold_remaining_ms":0,"born":1,"sequence":4,"clock_ms":482113,)"
	R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"]})";

class Gate : public testing::Test
{
      protected:
	Gate()
	{
		wl_gate_options_t options = {};

		wl_metrics_init(&metrics);
		options.dialect = &wl_platform_dialect;
		options.session = &session;
		options.metrics = &metrics;
		options.entry = true;
		options.control_port = 8081;
		options.report_route = [](void *context, uint64_t, const wl_runner_report_t *) {
			return static_cast<Gate *>(context)->route;
		};
		options.report_acknowledged = [](void *context, uint64_t sent_ns) {
			static_cast<Gate *>(context)->acknowledged_ns = sent_ns;
		};
		options.context = this;
		gate = wl_gate_new(&options);
		wl_out_init(&out);
	}

	~Gate() override
	{
		wl_out_free(&out);
		wl_gate_free(gate);
		wl_metrics_free(&metrics);
	}

	/* Handles a call.  Returns the id of the call to the leader, or 0 if there is none. */
	uint64_t call(const std::string &method, const std::string &path, const std::string &body,
		      wl_listener_t listener = WL_LISTENER_CALLER)
	{
		auto event = std::make_unique<wl_event_t>();

		wl_event_init(event.get(), WL_EVENT_CALL);
		event->call.id = 11;
		event->call.listener = listener;
		wl_buf_set(&event->call.method, {method.data(), method.size()});
		wl_buf_set(&event->call.path, {path.data(), path.size()});
		wl_buf_set(&event->call.body, {body.data(), body.size()});
		wl_headers_add(&event->call.headers, WL_STR("Host"), WL_STR("queue.example"));
		if (listener == WL_LISTENER_CALLER)
			wl_headers_add(&event->call.headers, WL_STR("Request-Deadline-Ms"),
				       WL_STR("2900"));
		wl_out_clear(&out);
		wl_gate_step(gate, NOW, event.get(), &out);
		wl_event_free(event.get());
		for (size_t i = 0; i < out.count; i++)
			if (out.actions[i].kind == WL_ACTION_LEADER_CALL) {
				deadline_ns = out.actions[i].deadline_ns;
				return leader_call_id(out.actions[i].msg);
			}
		return 0;
	}

	static uint64_t leader_call_id(const wl_msg_t &msg)
	{
		return msg.kind == WL_MSG_QUERY ? msg.u.query.call : msg.u.command.call;
	}

	void result(uint64_t id, wl_code_t code, wl_verdict_t verdict, const char *report_to = "")
	{
		auto event = std::make_unique<wl_event_t>();
		wl_result_t answer = {};

		wl_event_init(event.get(), WL_EVENT_RESULT);
		answer.code = code;
		answer.verdict = verdict;
		wl_buf_set(&answer.report_to, wl_str_from(report_to));
		event->tag = id;
		event->result = &answer;
		wl_out_clear(&out);
		wl_gate_step(gate, NOW, event.get(), &out);
		event->result = nullptr;
		wl_event_free(event.get());
		wl_result_free(&answer);
	}

	void tick(uint64_t now_ns)
	{
		auto event = std::make_unique<wl_event_t>();

		wl_event_init(event.get(), WL_EVENT_TICK);
		wl_out_clear(&out);
		wl_gate_step(gate, now_ns, event.get(), &out);
		wl_event_free(event.get());
	}

	/* "STATUS BODY after RETRY-AFTER" of the answer; empty if there is none. */
	std::string answered() const
	{
		for (size_t i = 0; i < out.count; i++) {
			const wl_reply_t &reply = out.actions[i].reply;
			const wl_buf_t *retry =
				wl_headers_find(&reply.headers, WL_STR("Retry-After"));

			if (out.actions[i].kind == WL_ACTION_REPLY)
				return std::to_string(reply.status) + " " + text(reply.body) +
				       (retry ? " after " + text(*retry) : "");
		}
		return "";
	}

	/* Lines that were logged since the last event. */
	std::string logged() const
	{
		std::string lines;

		for (size_t i = 0; i < out.count; i++)
			if (out.actions[i].kind == WL_ACTION_LOG)
				lines += text(out.actions[i].line) + "\n";
		return lines;
	}

	static std::string text(const wl_buf_t &buf)
	{
		return std::string(buf.at ? buf.at : "", buf.len);
	}

	wl_session_t session = {};
	wl_metrics_t metrics = {};
	wl_gate_t *gate = nullptr;
	wl_out_t out = {};
	uint64_t deadline_ns = 0;
	wl_report_route_t route = WL_REPORT_FORWARD;
	uint64_t acknowledged_ns = 0;
};
} // namespace

TEST_F(Gate, IsReadyWithASession)
{
	call("GET", "/-/ready", "", WL_LISTENER_CONTROL);
	EXPECT_EQ(answered().substr(0, 3), "503");
	session.id = 1;
	session.valid_until_ns = NOW + 1;
	call("GET", "/-/ready", "", WL_LISTENER_CONTROL);
	EXPECT_EQ(answered(), "200 {}");
	wl_gate_drain(gate);
	call("GET", "/-/ready", "", WL_LISTENER_CONTROL);
	EXPECT_EQ(answered().substr(0, 3), "503");
}

/* The deadline of the call to the leader is the caller's, less the margin for the answer. */
TEST_F(Gate, ForwardsAJobWithTheCallersDeadline)
{
	uint64_t id = call("POST", "/q/1", JOB);

	ASSERT_NE(id, 0u);
	EXPECT_EQ(deadline_ns, NOW + 2800 * MS);
	EXPECT_EQ(answered(), "");
	EXPECT_EQ(wl_gate_open(gate), 1u);
	result(id, WL_OK, WL_RAN);
	EXPECT_EQ(answered(), "200 {}");
	EXPECT_EQ(wl_gate_open(gate), 0u);
}

/* Status 503 with Retry-After is sent only if the call did not run. */
TEST_F(Gate, RefusalsStateVerdictAndRetryAfter)
{
	result(call("POST", "/q/1", JOB), WL_E_NO_LEADER, WL_NOT_RUN);
	EXPECT_EQ(answered(), R"(503 {"error":"no-leader"} after 1)");
	result(call("POST", "/q/1", JOB), WL_E_NO_LEADER, WL_UNKNOWN);
	EXPECT_EQ(answered(), R"(504 {"error":"no-leader"})");
	result(call("GET", "/q/1", ""), WL_E_NOT_FOUND, WL_NOT_RUN);
	EXPECT_EQ(answered(), R"(404 {"error":"not-found"})");
	EXPECT_EQ(call("POST", "/q/1", "{"), 0u);
	EXPECT_EQ(answered(), R"(400 {"error":"bad-input"})");
}

/* Guards against refused calls that can't be found by the job that a caller complains about. */
TEST_F(Gate, RefusalsAreLoggedWithHostAndPath)
{
	result(call("POST", "/q/a=1", JOB), WL_E_NO_LEADER, WL_NOT_RUN);
	EXPECT_EQ(logged(), "event=call-refused operation=job-add code=no-leader verdict=not-run "
			    "reason=\"\" address=\"queue.example/q/a=1\"\n");
	result(call("GET", "/q/1", ""), WL_E_NOT_FOUND, WL_NOT_RUN);
	EXPECT_EQ(logged(), "event=call-refused operation=job-get code=not-found verdict=not-run "
			    "reason=\"\" address=queue.example/q/1\n");
}

TEST_F(Gate, IgnoresADuplicateResult)
{
	uint64_t id = call("POST", "/q/1", JOB);

	result(id, WL_OK, WL_RAN);
	result(id, WL_OK, WL_RAN);
	EXPECT_EQ(answered(), "");
}

TEST_F(Gate, RepliesWithTheHeartbeatAddress)
{
	uint64_t id = call("POST", "/-/instances/i-1/deregister", "", WL_LISTENER_CONTROL);

	ASSERT_NE(id, 0u);
	EXPECT_EQ(deadline_ns, NOW + 800 * MS) << "targets try the next daemon after a second";
	result(id, WL_OK, WL_RAN, "10.0.0.4");
	EXPECT_EQ(answered(), R"(200 {"heartbeat_url":"10.0.0.4:8081"})");
}

TEST_F(Gate, AnswersAKnownReportWithoutTheLeader)
{
	route = WL_REPORT_KNOWN;
	EXPECT_EQ(call("POST", "/-/instances/i-7f3a91c2/heartbeat", BEAT, WL_LISTENER_CONTROL), 0u);
	EXPECT_EQ(answered(), "200 {}");
	EXPECT_EQ(wl_gate_open(gate), 0u);
	EXPECT_NE(call("GET", "/-/config/read", "", WL_LISTENER_CONTROL), 0u) << "not a report";
}

TEST_F(Gate, ReportThatWaitsIsAnsweredOnceTheLeaderHasAnsweredAnother)
{
	uint64_t id = call("POST", "/-/instances/i-2/heartbeat", BEAT, WL_LISTENER_CONTROL);

	route = WL_REPORT_WAIT;
	EXPECT_EQ(call("POST", "/-/instances/i-1/heartbeat", BEAT, WL_LISTENER_CONTROL), 0u);
	EXPECT_EQ(answered(), "");
	EXPECT_EQ(wl_gate_open(gate), 2u);
	tick(NOW + 100 * MS);
	EXPECT_EQ(out.count, 0u);
	route = WL_REPORT_KNOWN;
	result(id, WL_OK, WL_RAN, "10.0.0.4");
	ASSERT_EQ(out.count, 2u);
	EXPECT_EQ(answered(), R"(200 {"heartbeat_url":"10.0.0.4:8081"})");
	EXPECT_EQ(out.actions[1].reply.status, 200);
	EXPECT_EQ(wl_gate_open(gate), 0u);
}

TEST_F(Gate, OrderForAZoneNeedsItsCaller)
{
	ASSERT_NE(call("POST", "/-/evacuations/a/start", "", WL_LISTENER_CONTROL), 0u);
	EXPECT_EQ(out.actions[0].caller, 11u);
	ASSERT_NE(call("POST", "/jobs/5c0e7a21d94b36f8", JOB), 0u);
	EXPECT_EQ(out.actions[0].caller, 0u);
}

TEST_F(Gate, ReportThatWaitsIsForwardedOnceThatIsItsTurn)
{
	route = WL_REPORT_WAIT;
	call("POST", "/-/instances/i-1/heartbeat", BEAT, WL_LISTENER_CONTROL);
	route = WL_REPORT_FORWARD;
	tick(NOW + 100 * MS);
	ASSERT_EQ(out.count, 1u);
	ASSERT_EQ(out.actions[0].kind, WL_ACTION_LEADER_CALL);
	EXPECT_EQ(out.actions[0].deadline_ns, NOW + 800 * MS) << "from when it came";
	EXPECT_EQ(wl_gate_open(gate), 1u);
}

/* Guards against calls that are held until their callers give up. */
TEST_F(Gate, ReportThatWaitsIsRefusedInTime)
{
	route = WL_REPORT_WAIT;
	call("POST", "/-/instances/i-1/heartbeat", BEAT, WL_LISTENER_CONTROL);
	tick(NOW + 799 * MS);
	EXPECT_EQ(answered(), "");
	tick(NOW + 800 * MS);
	EXPECT_EQ(answered().substr(0, 3), "503");
	EXPECT_EQ(wl_gate_open(gate), 0u);
}

TEST_F(Gate, NotifiesWhenTheLeaderAcknowledgedAReport)
{
	uint64_t id = call("POST", "/-/instances/i-7f3a91c2/heartbeat", BEAT, WL_LISTENER_CONTROL);

	result(id, WL_E_NO_LEADER, WL_UNKNOWN);
	EXPECT_EQ(acknowledged_ns, 0u);
	id = call("POST", "/-/instances/i-7f3a91c2/heartbeat", BEAT, WL_LISTENER_CONTROL);
	result(id, WL_OK, WL_RAN);
	EXPECT_EQ(acknowledged_ns, NOW);
}
