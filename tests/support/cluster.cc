#include "cluster.h"

extern "C" {
#include <libwlnet/http_client.h>
}

#include <jansson.h>
#include <signal.h>

#include <chrono>
#include <filesystem>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>

#include "events.h"
#include "record.h"
#include "tcp.h"

namespace
{
constexpr int READY_MS = 20000;
constexpr int POLL_MS = 20;
constexpr uint64_t BODY_MOST = 64 << 20;

const char *const DAEMON = BUILD_DIR "/daemon/wisterialeadd";
const char *const TARGET = BUILD_DIR "/tests/target/wl-fake-target";
const char *const OPERATOR_TOKEN = "operator-token-of-tests";
const char *const ZONES[] = {"vasteras-a", "vasteras-b", "koping"};

std::string header(const wl_fetched_t &fetched, const char *name)
{
	const wl_buf_t *value = wl_headers_find(&fetched.headers, str(name));

	return value ? text(*value) : "";
}

/* Parses the daemon name from the hello message of a connection; empty while it is incomplete. */
std::string dialler(const std::string &first)
{
	constexpr size_t length_bytes = 4;
	constexpr size_t fixed = length_bytes + 4 + 16 + 8;
	size_t length = 0;

	if (first.size() < fixed)
		return "";
	for (size_t i = 0; i < length_bytes; i++)
		length = length << 8 | static_cast<unsigned char>(first[i]);
	if (first.size() < length_bytes + length)
		return "";
	return first.substr(fixed, length_bytes + length - fixed);
}

std::string json_text(const json_t *value)
{
	if (json_is_string(value))
		return json_string_value(value);
	if (json_is_integer(value))
		return std::to_string(json_integer_value(value));
	if (json_is_boolean(value))
		return json_is_true(value) ? "true" : "false";
	if (!value)
		return "";
	char *dump = json_dumps(value, JSON_COMPACT);
	std::string all = dump ? dump : "";
	free(dump);
	return all;
}
} // namespace

std::string Answer::at(const std::string &path) const
{
	json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
	const json_t *value = root;
	std::istringstream words(path);

	for (std::string word; value && std::getline(words, word, '.');)
		value = json_is_array(value) ? json_array_get(value, std::stoul(word))
					     : json_object_get(value, word.c_str());
	std::string found = json_text(value);
	json_decref(root);
	return found;
}

Answer http(const std::string &address, const std::string &method, const std::string &path,
	    const std::string &body, const Headers &headers, uint64_t timeout_ms)
{
	wl_fetch_t fetch = {};
	wl_fetched_t fetched;
	wl_err_t err = {};
	Answer answer;

	fetch.timeout_ms = timeout_ms;
	wl_buf_set(&fetch.address, str(address));
	wl_buf_set(&fetch.method, str(method));
	wl_buf_set(&fetch.path, str(path));
	wl_buf_set(&fetch.body, str(body));
	for (const auto &one : headers)
		wl_headers_add(&fetch.headers, str(one.first), str(one.second));
	answer.complete = wl_http_call(&fetch, BODY_MOST, &fetched, &err);
	answer.sent = fetched.sent;
	answer.status = fetched.status;
	answer.body = text(fetched.body);
	answer.verdict = header(fetched, "Wisterialead-Verdict");
	answer.etag = header(fetched, "ETag");
	answer.error = answer.complete ? "" : err.text;
	wl_fetched_free(&fetched);
	wl_buf_free(&fetch.address);
	wl_buf_free(&fetch.method);
	wl_buf_free(&fetch.path);
	wl_buf_free(&fetch.body);
	wl_list_free(&wl_header_schema, &fetch.headers);
	return answer;
}

bool eventually(const std::function<bool()> &condition, int timeout_ms)
{
	auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);

	while (!condition()) {
		if (std::chrono::steady_clock::now() > until)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(POLL_MS));
	}
	return true;
}

Cluster::Cluster(const ClusterOptions &wanted) : folder(folder_make()), options(wanted)
{
	file_write(folder + "/peer.secret", "peer secret of the tests");
	file_write(folder + "/operator.token", OPERATOR_TOKEN);
	file_write(folder + "/target.token", "target token of the tests");
	for (int i = 0; i < options.stores + options.entries; i++) {
		auto member = std::make_unique<Member>();

		member->name = "e" + std::to_string(i + 1);
		member->store = i < options.stores;
		member->folder = folder + "/" + member->name;
		member->relay = std::make_unique<Relay>("127.0.0.1:0", "127.0.0.1:1");
		member->relay->set_caller_identifier(dialler);
		std::filesystem::create_directories(member->folder);
		if (member->store)
			store_peers +=
				(i ? "," : "") + member->name + "=" + member->relay->address();
		members.push_back(std::move(member));
	}
}

Cluster::~Cluster()
{
	for (auto &member : members)
		check_end(*member);
	if (testing::Test::HasFailure())
		fprintf(stderr, "%s\n", logs().c_str());
	for (auto &member : members)
		member->process.kill();
	targets.kill();
	if (!testing::Test::HasFailure())
		std::filesystem::remove_all(folder);
}

std::vector<std::string> Cluster::arguments(const Member &member) const
{
	auto listen = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
	size_t zone = static_cast<size_t>(member.name.back()) % 3;
	std::vector<std::string> args = {DAEMON,
					 "--name",
					 member.name,
					 "--availability-zone",
					 ZONES[zone],
					 "--rack",
					 "r" + member.name,
					 "--role",
					 member.store ? "entry,store" : "entry",
					 "--caller-listen",
					 listen(member.caller),
					 "--control-listen",
					 listen(member.control),
					 "--peer-listen",
					 listen(member.peer),
					 "--peer-advertise",
					 member.relay->address(),
					 "--store-peers",
					 store_peers,
					 "--chart-dir",
					 PROJECT_DIR "/charts",
					 "--peer-secret-file",
					 folder + "/peer.secret",
					 "--operator-token-file",
					 folder + "/operator.token",
					 "--target-token-file",
					 folder + "/target.token",
					 "--ready-file",
					 member.folder + "/ready"};

	if (member.store) {
		args.push_back("--data-dir");
		args.push_back(member.folder + "/data");
	}
	args.insert(args.end(), options.daemon_args.begin(), options.daemon_args.end());
	return args;
}

/* Fails the test if a daemon exited for a reason other than a requested stop or SIGKILL. */
void Cluster::check_end(Member &member)
{
	constexpr int not_ended = -1;
	constexpr int drained = 0;
	constexpr int late = 3;
	constexpr int killed = 128 + SIGKILL;
	int code = member.process.wait(0);

	EXPECT_TRUE(code == not_ended || code == drained || code == late || code == killed)
		<< member.name << " ended with " << code << ":\n"
		<< file_read(member.process.log);
}

/* The first start uses free ports; later starts reuse them. */
void Cluster::start(Member &member)
{
	std::string ready = member.folder + "/ready";
	Answer ports;

	check_end(member);
	ASSERT_FALSE(member.process.running());
	std::filesystem::remove(ready);
	if (member.store)
		std::filesystem::create_directories(member.folder + "/data");
	member.process.start(arguments(member), member.folder + "/log");
	EXPECT_TRUE(eventually(
		[&] {
			ports.body = file_read(ready);
			return !ports.body.empty() || !member.process.running();
		},
		READY_MS));
	ASSERT_FALSE(ports.body.empty()) << file_read(member.process.log);
	if (member.control == 0) {
		member.caller = static_cast<uint16_t>(std::stoul(ports.at("caller")));
		member.control = static_cast<uint16_t>(std::stoul(ports.at("control")));
		member.peer = static_cast<uint16_t>(std::stoul(ports.at("peer")));
		member.metrics = static_cast<uint16_t>(std::stoul(ports.at("metrics")));
	}
	member.relay->set_upstream("127.0.0.1:" + std::to_string(member.peer));
}

void Cluster::start_targets()
{
	std::string entries;
	std::vector<std::string> args;

	for (auto &member : members)
		entries += (entries.empty() ? "" : ",") + member->control_address();
	args = {TARGET,
		"--targets",
		std::to_string(options.targets),
		"--services",
		"tube-sort,booking",
		"--racks",
		"3",
		"--availability-zones",
		"vasteras-a,vasteras-b,koping",
		"--announce-to",
		entries,
		"--token-file",
		folder + "/target.token",
		"--record",
		folder + "/record"};
	if (options.relay_target) {
		std::string port = std::to_string(TcpListener().port);

		target_relay = std::make_unique<Relay>("127.0.0.1:0", "127.0.0.1:" + port);
		args.insert(args.end(), {"--base-port", port, "--advertise-base-port",
					 std::to_string(target_relay->port())});
	}
	args.insert(args.end(), options.target_args.begin(), options.target_args.end());
	targets.start(args, folder + "/targets.log");
}

bool Cluster::all_ready()
{
	for (auto &member : members)
		if (http(member->control_address(), "GET", "/readyz", "", {}, 2000).status != 200)
			return false;
	return true;
}

void Cluster::begin()
{
	for (auto &member : members)
		ASSERT_NO_FATAL_FAILURE(start(*member));
	ASSERT_TRUE(eventually([this] { return all_ready(); })) << "not every daemon is ready";
	Answer plans = list_put(*members.front(), "plans",
				file_read(PROJECT_DIR "/tests/fixtures/plans.json"));
	ASSERT_EQ(plans.status, 200u) << plans.body << plans.error;
	Answer customers = list_put(*members.front(), "customers",
				    file_read(PROJECT_DIR "/tests/fixtures/customers.json"));
	ASSERT_EQ(customers.status, 200u) << customers.body << customers.error;
	start_targets();
	ASSERT_TRUE(eventually([this] {
		return open_targets() == static_cast<size_t>(options.targets);
	})) << "not every target is open";
}

Answer Cluster::operator_call(Member &member, const std::string &method, const std::string &path,
			      const std::string &body, const Headers &more)
{
	Headers headers = more;

	headers.emplace_back("Authorization", std::string("Bearer ") + OPERATOR_TOKEN);
	return http(member.control_address(), method, path, body, headers, 20000);
}

Answer Cluster::request(Member &member, const std::string &id, const std::string &method,
			const Headers &more, uint64_t timeout_ms)
{
	Headers headers = more;

	headers.emplace_back("Wisterialead-Customer", "norrlamp");
	headers.emplace_back("Fake-Request-Id", id);
	return http(member.caller_address(), method, "/s/tube-sort/" + id,
		    method == "GET" ? "" : "body of " + id, headers, timeout_ms);
}

Answer Cluster::list_put(Member &member, const std::string &list, const std::string &json)
{
	Answer now = operator_call(member, "GET", "/v1/config/" + list);
	std::string version = now.etag.empty() ? "\"0\"" : now.etag;

	return operator_call(member, "PUT", "/v1/config/" + list + "?wait_ms=10000", json,
			     {{"If-Match", version}, {"Content-Type", "application/json"}});
}

Answer Cluster::status()
{
	for (auto &member : members) {
		if (!member->process.running())
			continue;
		Answer answer = operator_call(*member, "GET", "/v1/status");

		if (answer.status == 200)
			return answer;
	}
	return Answer();
}

Member *Cluster::leader()
{
	std::string name = status().at("leader");

	for (auto &member : members)
		if (member->name == name)
			return member.get();
	return nullptr;
}

size_t Cluster::open_targets()
{
	size_t open = 0;

	for (auto &member : members) {
		if (!member->process.running())
			continue;
		Answer answer = operator_call(*member, "GET", "/v1/targets");
		if (answer.status != 200)
			continue;
		for (size_t i = 0; !answer.at("targets." + std::to_string(i)).empty(); i++)
			open += answer.at("targets." + std::to_string(i) + ".open") == "true";
		return open;
	}
	return 0;
}

void Cluster::partition(Member &member)
{
	RelayFaults own;
	RelayFaults others;

	own.hold_up = own.hold_down = true;
	others.hold_callers.insert(member.name);
	for (auto &one : members)
		one->relay->set(one.get() == &member ? own : others);
}

void Cluster::heal()
{
	for (auto &member : members)
		member->relay->set(RelayFaults());
}

std::string Cluster::record_text() const
{
	return file_read(folder + "/record");
}

int Cluster::request_runs(const std::string &id) const
{
	return Record(record_text()).begun("request_begin", "id")[id];
}

std::string Cluster::logs() const
{
	constexpr size_t most = 6000;
	std::string all;

	for (const auto &member : members) {
		std::string one = file_read(member->folder + "/log");

		all += "--- " + member->name + "\n" +
		       one.substr(one.size() > most ? one.size() - most : 0);
	}
	return all + "--- targets\n" + file_read(folder + "/targets.log");
}
