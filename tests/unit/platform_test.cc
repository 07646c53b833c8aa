extern "C" {
#include <platform/platform.h>
}

#include <cstring>
#include <string>

#include <gtest/gtest.h>

/* Parsing and writing of each message of the platform's protocol; invalid input is rejected. */

namespace
{
std::string text(const wl_buf_t &buf)
{
	return std::string(buf.at ? buf.at : "", buf.len);
}

class Platform : public testing::Test
{
      protected:
	~Platform() override
	{
		wl_operation_free(&operation);
		release();
		wl_list_free(&wl_header_schema, &reply.headers);
		wl_buf_free(&reply.body);
		wl_list_free(&wl_header_schema, &fetch.headers);
		wl_buf_free(&fetch.address);
		wl_buf_free(&fetch.method);
		wl_buf_free(&fetch.path);
		wl_buf_free(&fetch.body);
		wl_record_free(&wl_order_end_schema, &end);
	}

	void release()
	{
		wl_buf_free(&call.method);
		wl_buf_free(&call.path);
		wl_buf_free(&call.body);
		wl_list_free(&wl_header_schema, &call.headers);
		call = {};
	}

	bool read(const std::string &method, const std::string &path, const std::string &body,
		  wl_listener_t listener = WL_LISTENER_CONTROL)
	{
		wl_operation_free(&operation);
		release();
		operation = {};
		err = {};
		call.listener = listener;
		wl_buf_set(&call.method, wl_str_from(method.c_str()));
		wl_buf_set(&call.path, wl_str_from(path.c_str()));
		wl_buf_set(&call.body, {body.data(), body.size()});
		wl_headers_add(&call.headers, WL_STR("Host"), WL_STR("queue.example:8161"));
		wl_headers_add(&call.headers, WL_STR("Request-Deadline-Ms"), WL_STR("2900"));
		return wl_platform_dialect.call_read(&call, &operation, &err);
	}

	const wl_step_spec_t &step(size_t number) const
	{
		return static_cast<wl_step_spec_t *>(operation.spec.steps.items)[number];
	}

	std::string write(wl_operation_kind_t kind, const wl_result_t &result,
			  const char *control = "")
	{
		wl_list_free(&wl_header_schema, &reply.headers);
		wl_buf_free(&reply.body);
		reply = {};
		wl_platform_dialect.reply_write(kind, &result, wl_str_from(control), &reply);
		return std::to_string(reply.status) + " " + text(reply.body);
	}

	std::string order(const wl_order_t &given)
	{
		wl_platform_dialect.order_write(&given, &fetch);
		return text(fetch.method) + " " + text(fetch.path) + " " + text(fetch.body);
	}

	wl_order_outcome_t answered(uint64_t status, const std::string &body, bool whole = true,
				    bool sent = true, bool held = false)
	{
		wl_fetched_t fetched = {};

		wl_record_free(&wl_order_end_schema, &end);
		fetched.status = status;
		fetched.complete = whole;
		fetched.sent = sent;
		fetched.held = held;
		wl_buf_set(&fetched.body, {body.data(), body.size()});
		wl_platform_dialect.order_read(WL_ORDER_RENEW, &fetched, &end, &err);
		wl_buf_free(&fetched.body);
		return static_cast<wl_order_outcome_t>(end.outcome);
	}

	wl_call_t call = {};
	wl_operation_t operation = {};
	wl_reply_t reply = {};
	wl_fetch_t fetch = {};
	wl_order_end_t end = {};
	wl_err_t err = {};
};

const char REPORT[] =
	R"({"backend":"sort1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":8,)"
	R"("state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
	R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000000000,"later":[1]})";
} // namespace

TEST_F(Platform, ReportOfATarget)
{
	ASSERT_TRUE(read("POST", "/-/instances/i-7f/heartbeat", REPORT)) << err.text;
	ASSERT_EQ(operation.kind, WL_OPERATION_RUNNER_REPORT);
	EXPECT_EQ(text(operation.report.id), "i-7f");
	EXPECT_EQ(text(operation.report.service), "sort1");
	EXPECT_EQ(text(operation.report.rack), "r1-3");
	EXPECT_EQ(operation.report.cpu_millis, 16000u);
	EXPECT_EQ(operation.report.memory_mib, 32768u);
	EXPECT_EQ(operation.report.accelerators, 1u);
	EXPECT_EQ(operation.report.incarnation, 1700000000000u);
	EXPECT_EQ(operation.report.clock_ms, 482113u);
	EXPECT_FALSE(operation.report.draining);
}

TEST_F(Platform, InvalidReportsAreRejected)
{
	std::string sound = REPORT;
	const std::pair<const char *, const char *> changes[] = {
		{"\"ready\"", "\"resting\""},
		{"\"sequence\":4", "\"sequence\":\"4\""},
		{"\"capacity\":{\"cpu\":16000,", "\"capacity\":{"},
		{"\"backend\":\"sort1\",", ""},
		{"\"version\":\"v1\",", ""},
		{"\"slots\":8,", ""},
		{"\"labels\":[", "\"labels\":\"["},
		{"10.0.0.9:8080", "10.0.0.9:70000"},
		{"10.0.0.9:8080", "10.0.0.9:99999"},
		{"10.0.0.9:8080", "10.0.0.9:0"},
		{"10.0.0.9:8080", "10.0.0.9"},
		{"10.0.0.9:8080", "10.0.0.9:8080/path?"},
		{"10.0.0.9:8080", "user@10.0.0.9:8080"},
		{"1700000000000", "9223372036854775807"},
		{"1700000000000", "1700000000000.5"},
		{"\"clock_ms\":482113", "\"clock_ms\":9007199254740992"},
		{"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":9007199254740992"},
		{"\"sequence\":4", "\"sequence\":9223372036854775807"},
		{"\"sequence\":4", "\"sequence\":1e999"},
		{"\"sequence\":4", "\"sequence\":4,\"sequence\":5"},
	};

	for (const auto &change : changes) {
		std::string body = sound;
		size_t at = body.find(change.first);

		ASSERT_NE(at, std::string::npos) << change.first;
		body.replace(at, strlen(change.first), change.second);
		EXPECT_FALSE(read("POST", "/-/instances/i-7f/heartbeat", body)) << change.second;
		EXPECT_EQ(err.code, WL_E_BAD_INPUT);
	}
	EXPECT_FALSE(read("POST", "/-/instances/i-7f/heartbeat", "\xff\xfe"));
}

TEST_F(Platform, ErrorOfAnInvalidReportNamesWhatIsWrong)
{
	std::string body = REPORT;

	body.replace(body.find("8080"), 4, "70000");
	EXPECT_FALSE(read("POST", "/-/instances/i-7f/heartbeat", body));
	EXPECT_STREQ(err.text, "address: must be IP:port with a port from 1 to 65535, "
			       "not 10.0.0.9:70000");
}

TEST_F(Platform, DrainingReportAndDeregistration)
{
	std::string body = REPORT;

	body.replace(body.find("\"ready\""), 7, "\"draining\",\"remaining_ms\":2400");
	ASSERT_TRUE(read("POST", "/-/instances/i-7f/heartbeat", body)) << err.text;
	EXPECT_TRUE(operation.report.draining);
	EXPECT_EQ(operation.report.remaining_ms, 2400u);
	ASSERT_TRUE(read("POST", "/-/evacuations/koping/start", ""));
	EXPECT_EQ(operation.kind, WL_OPERATION_ZONE_EVACUATE);
	EXPECT_EQ(text(operation.evacuation.availability_zone), "koping");
	EXPECT_FALSE(operation.evacuation.withdrawn);
	ASSERT_TRUE(read("POST", "/-/evacuations/koping/finish", ""));
	EXPECT_TRUE(operation.evacuation.withdrawn);
	EXPECT_FALSE(read("POST", "/-/evacuations/" + std::string(200, 'z') + "/start", ""));
	ASSERT_TRUE(read("POST", "/-/instances/i-7f/deregister", ""));
	EXPECT_EQ(operation.kind, WL_OPERATION_RUNNER_REPORT);
	EXPECT_TRUE(operation.report.exiting);
}

TEST_F(Platform, JobOfSteps)
{
	ASSERT_TRUE(read("POST", "/lohu/5c0e7a21d94b36f8",
			 R"({"spec":"words","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
			 R"("estimated_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,)"
			 R"("depends_on":[0],"checkpointing":true,"gang":true,"same_rack":true,)"
			 R"("required_label":"b","max_per_server":2,"speculative":true,)"
			 R"("long_running":true,"image":"im","target_ms":50.5,"fills":true,)"
			 R"("max_unavailable":1}],"repeat_count":3,"first_run_ms":1700000000000,)"
			 R"("interval_ms":4000})",
			 WL_LISTENER_CALLER))
		<< err.text;
	ASSERT_EQ(operation.kind, WL_OPERATION_JOB_ADD);
	EXPECT_EQ(operation.timeout_ms, 2900u);
	EXPECT_EQ(text(operation.host), "queue.example");
	EXPECT_EQ(text(operation.path), "/lohu/5c0e7a21d94b36f8");
	EXPECT_EQ(text(operation.spec.payload), "words");
	ASSERT_EQ(operation.spec.steps.count, 2u);
	EXPECT_EQ(text(step(0).data_rack), "r1-3");
	EXPECT_EQ(step(1).after, 1u);
	EXPECT_TRUE(step(1).checkpoints && step(1).gang && step(1).same_rack &&
		    step(1).speculative);
	EXPECT_TRUE(step(1).lasting && step(1).best_effort);
	EXPECT_EQ(step(1).tail_target_us, 50500u);
	EXPECT_EQ(step(1).max_per_target, 2u);
	EXPECT_EQ(step(1).max_unavailable, 1u);
	EXPECT_EQ(operation.spec.repeat, 3u);
}

TEST_F(Platform, InvalidJobsAreRejected)
{
	for (const char *body : {"", "{", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
				 R"({"steps":[{"count":1,"depends_on":[0]}]})",
				 R"({"steps":[{"count":1},{"count":1,"depends_on":[64]}]})",
				 R"({"steps":[{"count":9999999}]})", R"({"steps":[{"count":-1}]})",
				 R"({"steps":[{"count":20000}],"repeat_count":2})"})
		EXPECT_FALSE(read("POST", "/q/1", body, WL_LISTENER_CALLER)) << body;
}

TEST_F(Platform, JobStateCancelAndQueueLength)
{
	wl_result_t result = {};

	ASSERT_TRUE(read("GET", "/q/1", "", WL_LISTENER_CALLER));
	EXPECT_EQ(operation.kind, WL_OPERATION_JOB_GET);
	ASSERT_TRUE(read("DELETE", "/q/1", "", WL_LISTENER_CALLER));
	EXPECT_EQ(operation.kind, WL_OPERATION_JOB_CANCEL);
	result.job_state = WL_JOB_RUNNING;
	EXPECT_EQ(write(WL_OPERATION_JOB_GET, result), R"(200 {"state":"running"})");
	result.is_queue = true;
	result.pending = 12;
	EXPECT_EQ(write(WL_OPERATION_JOB_GET, result), R"(200 {"pending":12})");
}

/* Of a leader of another version. */
TEST_F(Platform, UnknownJobStateIsNoAnswer)
{
	wl_result_t result = {};

	for (uint64_t state : {uint64_t{WL_JOB_STATES}, UINT64_C(1) << 40}) {
		result.job_state = state;
		EXPECT_EQ(write(WL_OPERATION_JOB_GET, result), "503 ") << state;
	}
}

TEST_F(Platform, ErrorStatusShowsWhetherTheJobMayRun)
{
	wl_result_t result = {};

	result.code = WL_E_OVERLOADED;
	result.verdict = WL_NOT_RUN;
	result.retry_ms = 1200;
	EXPECT_EQ(write(WL_OPERATION_JOB_ADD, result).substr(0, 3), "503");
	EXPECT_EQ(text(*wl_headers_find(&reply.headers, WL_STR("Retry-After"))), "2");
	result.code = WL_E_NO_LEADER;
	result.verdict = WL_UNKNOWN;
	EXPECT_EQ(write(WL_OPERATION_JOB_ADD, result).substr(0, 3), "504");
	result.verdict = WL_NOT_RUN;
	result.code = WL_E_NOT_FOUND;
	EXPECT_EQ(write(WL_OPERATION_JOB_GET, result).substr(0, 3), "404");
	result.code = WL_E_GONE;
	EXPECT_EQ(write(WL_OPERATION_JOB_GET, result).substr(0, 3), "410");
	result.code = WL_E_BAD_INPUT;
	EXPECT_EQ(write(WL_OPERATION_CATALOG_PUT, result).substr(0, 3), "400");
	result.verdict = WL_RAN; /* accepted before its route was removed */
	result.code = WL_E_NOT_FOUND;
	EXPECT_EQ(write(WL_OPERATION_JOB_ADD, result).substr(0, 3), "504");
	result.code = WL_E_GONE;
	EXPECT_EQ(write(WL_OPERATION_JOB_CANCEL, result).substr(0, 3), "410");
}

const char CATALOG[] =
	R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/q/","type":"unsafe",)"
	R"("timeout_ms":3000,"target_latency_ms":250,"priority":2,"backend":"s","max_attempts":4,)"
	R"("slack_factor":1.5,"recommendation":{"decision_ms":5,"per_worker_ms":1,)"
	R"("validity_ms":3000}}],"services":[{"name":"s","enforces_capacity":true}],"limits":{}})";

TEST_F(Platform, ConfigurationIsParsedAndItsTextIsKept)
{
	wl_result_t result = {};

	ASSERT_TRUE(read("POST", "/-/config/replace", CATALOG)) << err.text;
	const auto *queue = static_cast<wl_queue_t *>(operation.catalog.queues.items);
	EXPECT_EQ(operation.catalog.version, 7u);
	EXPECT_EQ(queue->slack_millis, 1500u);
	EXPECT_EQ(queue->advice.per_target_ms, 1u);
	EXPECT_EQ(text(operation.text), CATALOG);
	wl_buf_set(&result.body, wl_str_from(CATALOG));
	EXPECT_EQ(write(WL_OPERATION_CATALOG_GET, result), std::string("200 ") + CATALOG);
	wl_buf_free(&result.body);
}

TEST_F(Platform, InvalidConfigurationsAreRejected)
{
	std::string sound = CATALOG;
	const std::pair<const char *, const char *> changes[] = {
		{"\"timeout_ms\":3000", "\"timeout_ms\":0"},
		{"\"backend\":\"s\"", "\"backend\":\"t\""},
		{"\"version\":7,", ""},
		{"\"limits\":{}}", "\"limits\":{}"},
		{"\"routes\":[",
		 "\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"path_prefix\":\"/q/\","
		 "\"timeout_ms\":1,\"backend\":\"s\"},"},
	};

	for (const auto &change : changes) {
		std::string body = sound;

		body.replace(body.find(change.first), strlen(change.first), change.second);
		EXPECT_FALSE(read("POST", "/-/config/replace", body)) << change.second;
	}
}

TEST_F(Platform, ControlCallsAreIgnoredOnTheCallerListener)
{
	ASSERT_TRUE(read("POST", "/-/config/replace", CATALOG, WL_LISTENER_CALLER));
	EXPECT_EQ(operation.kind, WL_OPERATION_NONE);
	ASSERT_TRUE(read("GET", "/-/ready", ""));
	EXPECT_EQ(operation.kind, WL_OPERATION_READY);
}

TEST_F(Platform, ReportIsAnsweredWithTheLeadersAddress)
{
	wl_result_t result = {};

	EXPECT_EQ(write(WL_OPERATION_RUNNER_REPORT, result, "10.0.0.4:8080"),
		  R"(200 {"heartbeat_url":"10.0.0.4:8080"})");
	EXPECT_EQ(write(WL_OPERATION_RUNNER_REPORT, result), "200 {}");
}

TEST_F(Platform, Orders)
{
	wl_order_t given = {};

	given.kind = WL_ORDER_START;
	wl_buf_set(&given.runner, WL_STR("i-7f"));
	wl_buf_set(&given.address, WL_STR("10.0.0.9:8080"));
	given.epoch = 7;
	given.lease_ms = 486000;
	given.run = 2;
	wl_buf_set(&given.payload, WL_STR("words"));
	wl_buf_set(&given.checkpoint, WL_STR("c1"));
	wl_buf_set(&given.task.job, WL_STR("5c0e"));
	given.task.step = 1;
	given.task.index = 17;
	EXPECT_EQ(order(given),
		  "POST /-/run-start "
		  R"({"task":"5c0e.0.1.17","run_id":2,"spec":"words","deadline_ms":486000,)"
		  R"("fencing_token":7,"checkpoint":"c1"})");
	EXPECT_EQ(text(*wl_headers_find(&fetch.headers, WL_STR("Expected-Instance"))), "i-7f");
	wl_buf_free(&fetch.body);
	given.kind = WL_ORDER_STOP;
	EXPECT_EQ(order(given), "POST /-/run-stop "
				R"({"task":"5c0e.0.1.17","run_id":2,"fencing_token":7})");
	wl_buf_free(&fetch.body);
	given.kind = WL_ORDER_THROTTLE;
	given.percent = 0;
	EXPECT_EQ(order(given),
		  "POST /-/pace "
		  R"({"task":"5c0e.0.1.17","run_id":2,"percent":0,"fencing_token":7})");
	wl_buf_free(&fetch.body);
	given.kind = WL_ORDER_RENEW;
	given.lease_ms = 0;
	given.wait_ms = 1000;
	EXPECT_EQ(order(given), "POST /-/hold "
				R"({"fencing_token":7,"last_seen":0,"wait_ms":1000})");
	wl_record_free(&wl_order_schema, &given);
}

TEST_F(Platform, AnswersOfTargets)
{
	ASSERT_EQ(answered(200,
			   R"({"clock_ms":9,"born":5,"running":[["5c0e.0.1.17",2,"c",41.5,812],)"
			   R"(["odd",1,"",0]],"completions":[[58,"5c0e.0.1.9",1,"done",""],)"
			   R"([59,"odd",1,"lapsed","s"]]})"),
		  WL_ORDER_DONE)
		<< err.text;
	const auto *runs = static_cast<wl_run_view_t *>(end.runs.items);
	const auto *ends = static_cast<wl_end_view_t *>(end.ends.items);
	EXPECT_EQ(end.incarnation, 5u);
	ASSERT_EQ(end.runs.count, 1u) << "a row that names no task of ours";
	EXPECT_EQ(runs[0].ref.index, 17u);
	EXPECT_EQ(runs[0].percent, 41u);
	EXPECT_EQ(runs[0].load, 812u);
	ASSERT_EQ(end.ends.count, 2u) << "an end is acknowledged whatever it names";
	EXPECT_EQ(ends[0].outcome, WL_END_DONE);
	EXPECT_EQ(ends[1].outcome, WL_END_LEASE_EXPIRED);
	EXPECT_EQ(ends[1].number, 59u);

	EXPECT_EQ(answered(409, R"({"clock_ms":9,"reason":"fence"})"), WL_ORDER_FENCED);
	EXPECT_EQ(answered(409, R"({"reason":"old"})"), WL_ORDER_STALE);
	EXPECT_EQ(answered(409, R"({"reason":"late"})"), WL_ORDER_LEASE_EXPIRED);
	EXPECT_EQ(answered(409, R"({"reason":"room"})"), WL_ORDER_NO_CAPACITY);
	EXPECT_EQ(answered(409, R"({"reason":"ticket"})"), WL_ORDER_NO_TICKET);
	EXPECT_EQ(answered(409, R"({"reason":"whim"})"), WL_ORDER_NO_ANSWER);
	EXPECT_EQ(answered(421, ""), WL_ORDER_OTHER_INCARNATION);
	EXPECT_EQ(answered(503, ""), WL_ORDER_UNHEALTHY);
	EXPECT_EQ(answered(400, "{}"), WL_ORDER_REFUSED);
	EXPECT_EQ(answered(200, "not JSON"), WL_ORDER_NO_ANSWER);
	EXPECT_EQ(answered(0, "", false, true), WL_ORDER_NO_ANSWER);
	EXPECT_EQ(answered(0, "", false, false), WL_ORDER_NOT_SENT);
	EXPECT_EQ(answered(0, "", false, false, true), WL_ORDER_HELD);
}

/* An odd row leaves the others in use; the reason names it. */
TEST_F(Platform, InvalidRowsOfAnAnswer)
{
	const std::pair<const char *, const char *> rows[] = {
		{R"(["5c0e.0.1.3",2,"",-1])", "running[1].percent: "},
		{R"(["5c0e.0.1.3",2,7,0])", "running[1].saved: "},
		{R"([7,2,"",0])", "running[1].task: "},
		{R"(["5c0e.0.1.3"])", "running[1].run: "},
		{R"({"task":"5c0e.0.1.3"})", "running[1]: "},
		{"null", "running[1]: "},
	};

	for (const auto &row : rows) {
		std::string body =
			std::string(R"({"clock_ms":9,"running":[["5c0e.0.1.1",1,"",0],)") +
			row.first + R"(,["5c0e.0.1.2",1,"",0]]})";

		err = {};
		ASSERT_EQ(answered(200, body), WL_ORDER_DONE) << row.first;
		const auto *runs = static_cast<wl_run_view_t *>(end.runs.items);
		ASSERT_GE(end.runs.count, 2u) << row.first;
		EXPECT_EQ(runs[0].ref.index, 1u) << row.first;
		EXPECT_EQ(runs[end.runs.count - 1].ref.index, 2u) << row.first;
		EXPECT_EQ(std::string(err.text).rfind(row.second, 0), 0u) << err.text;
	}
}

TEST_F(Platform, RowThatNamesATaskButNoRunMayBeAnyRunOfIt)
{
	ASSERT_EQ(answered(200, R"({"running":[["5c0e.0.1.3",-2,"",0]]})"), WL_ORDER_DONE);
	EXPECT_EQ(end.runs.count, 0u);
	EXPECT_TRUE(end.partial);
	ASSERT_EQ(answered(200, R"({"running":[["odd",-2,"",0],["5c0e.0.1.3",2,"",-1]]})"),
		  WL_ORDER_DONE);
	EXPECT_EQ(end.runs.count, 1u) << "the run is there, whatever its load";
	EXPECT_FALSE(end.partial);
}

TEST_F(Platform, InvalidEndsOfAnAnswer)
{
	ASSERT_EQ(answered(200,
			   R"({"completions":[[57,"5c0e.0.1.1",1,"failed",""],)"
			   R"([58,"5c0e.0.1.2",1,"vanished",""],[59,"5c0e.0.1.3",-1,"done",""],)"
			   R"(["x","5c0e.0.1.4",1,"done",""],[61,"5c0e.0.1.5",1,"done",""]]})"),
		  WL_ORDER_DONE);
	const auto *ends = static_cast<wl_end_view_t *>(end.ends.items);
	ASSERT_EQ(end.ends.count, 5u);
	EXPECT_EQ(text(ends[0].ref.job), "5c0e");
	EXPECT_EQ(ends[0].outcome, WL_END_FAILED);
	EXPECT_EQ(ends[1].number, 58u) << "is acknowledged";
	EXPECT_EQ(text(ends[1].ref.job), "") << "not taken for an end that the protocol names";
	EXPECT_EQ(text(ends[2].ref.job), "");
	EXPECT_EQ(ends[3].number, 0u);
	EXPECT_EQ(ends[4].number, 61u);
	EXPECT_EQ(text(ends[4].ref.job), "5c0e");
}
