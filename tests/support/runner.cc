#include "runner.h"

#include <poll.h>
#include <strings.h>

#include <algorithm>

#include "cluster.h"

namespace
{
using Clock = std::chrono::steady_clock;

constexpr int POLL_MS = 50; /* interval at which threads check for the end of the test */
constexpr auto TICK = std::chrono::milliseconds(5);
constexpr const char CONTENT_LENGTH[] = "content-length:";

size_t length_of(const std::string &head)
{
	std::string lower = head;

	std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
	size_t at = lower.find(CONTENT_LENGTH);
	return at == std::string::npos ? 0 : std::stoul(lower.substr(at + sizeof(CONTENT_LENGTH)));
}

/* A field of a JSON body; empty if it does not exist. */
std::string json_field(const std::string &body, const std::string &field)
{
	Answer read;

	read.body = body;
	return read.at(field);
}

/* A field of a JSON body as an integer; 0 if it does not exist. */
uint64_t number(const std::string &body, const std::string &field)
{
	std::string found = json_field(body, field);

	return found.empty() ? 0 : std::stoull(found);
}

bool is_of_job(const std::string &task, const std::string &job)
{
	return task.find(job) != std::string::npos;
}

std::string message(int status, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " X\r\nContent-Type: application/json\r\nContent-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}
} // namespace

Runner::Runner(std::string wanted, uint64_t task_ms, uint64_t stop_ms)
    : name(std::move(wanted)), task_time(task_ms), stop_time(stop_ms), start_time(Clock::now()),
      start_unix_ms(
	      static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
					    std::chrono::system_clock::now().time_since_epoch())
					    .count()))
{
	serving = std::thread([this] { accept_connections(); });
	working = std::thread([this] { run_tasks(); });
}

Runner::~Runner()
{
	{
		std::lock_guard<std::mutex> guard(lock);
		stopping = true;
	}
	ended.notify_all();
	serving.join();
	working.join();
	for (auto &connection : connections)
		connection.join();
}

uint64_t Runner::clock_ms() const
{
	return static_cast<uint64_t>(
		std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_time)
			.count());
}

uint64_t Runner::report(const std::string &control_address)
{
	uint64_t next;

	{
		std::lock_guard<std::mutex> guard(lock);
		next = ++sequence;
	}
	std::string body = R"({"backend":"workers","address":")" + listener.address() +
			   R"(","zone":"vasteras-a","version":"v1","slots":8,"state":"ready",)"
			   R"("cold_remaining_ms":0,)"
			   R"("capacity":{"cpu":8000,"mem_mb":8192,"gpu":0},)"
			   R"("labels":["a","r1"],"clock_ms":)" +
			   std::to_string(clock_ms()) + R"(,"sequence":)" + std::to_string(next) +
			   R"(,"born":)" + std::to_string(start_unix_ms) + "}";
	return http(control_address, "POST", "/-/instances/" + name + "/heartbeat", body, {}, 1000)
		.status;
}

std::map<std::string, int> Runner::done()
{
	std::lock_guard<std::mutex> guard(lock);
	return done_counts;
}

size_t Runner::started(const std::string &job)
{
	std::lock_guard<std::mutex> guard(lock);
	return std::count_if(starts.begin(), starts.end(),
			     [&](const std::string &task) { return is_of_job(task, job); });
}

size_t Runner::running_now(const std::string &job)
{
	std::lock_guard<std::mutex> guard(lock);
	return std::count_if(running.begin(), running.end(),
			     [&](const auto &run) { return is_of_job(run.first, job); });
}

Runner::Time Runner::last_end(const std::string &job)
{
	std::lock_guard<std::mutex> guard(lock);
	Time last;

	for (const auto &end : end_times)
		if (is_of_job(end.first, job))
			last = std::max(last, end.second);
	return last;
}

uint64_t Runner::token()
{
	std::lock_guard<std::mutex> guard(lock);
	return highest_token;
}

void Runner::accept_connections()
{
	for (;;) {
		Tcp connection = listener.accept(POLL_MS);
		std::lock_guard<std::mutex> guard(lock);

		if (stopping)
			return;
		if (connection.open())
			connections.emplace_back([this, c = std::move(connection)]() mutable {
				handle_connection(std::move(c));
			});
	}
}

bool Runner::is_stopping()
{
	std::lock_guard<std::mutex> guard(lock);
	return stopping;
}

void Runner::handle_connection(Tcp connection)
{
	std::string head;

	while (!is_stopping()) {
		head += connection.read_until("\r\n\r\n", POLL_MS);
		if (head.find("\r\n\r\n") == std::string::npos) {
			pollfd state = {connection.fd, POLLRDHUP, 0};

			if (poll(&state, 1, 0) > 0 && state.revents)
				return;
			continue;
		}
		std::string body = connection.read_bytes(length_of(head));
		size_t path = head.find(' ') + 1;

		if (!connection.send(answer(head.substr(path, head.find(' ', path) - path), body)))
			return;
		head.clear();
	}
}

/* The running tasks and the completions that the caller has not seen. */
std::string Runner::poll_answer(uint64_t seen)
{
	std::string rows;
	std::string completions;

	for (const auto &run : running)
		rows += (rows.empty() ? "" : ",") + ("[\"" + run.first + "\",") +
			std::to_string(run.second.number) + R"(,"",50,0])";
	for (const auto &end : ends)
		if (end.number > seen)
			completions += (completions.empty() ? "[" : ",[") +
				       std::to_string(end.number) + ",\"" + end.task + "\"," +
				       std::to_string(end.run) + R"(,")" + end.how + R"(",""])";
	return R"({"clock_ms":)" + std::to_string(clock_ms()) + R"(,"born":)" +
	       std::to_string(start_unix_ms) + R"(,"running":[)" + rows + R"(],"completions":[)" +
	       completions + "]}";
}

/* The answer to an accepted command. */
std::string Runner::accepted() const
{
	return message(200, R"({"clock_ms":)" + std::to_string(clock_ms()) + "}");
}

std::string Runner::start(const std::string &body)
{
	std::string task = json_field(body, "task");
	uint64_t run = number(body, "run_id");

	if (running.count(task))
		return accepted();
	if (barred.count(task) && run <= barred[task])
		return message(409, R"({"clock_ms":)" + std::to_string(clock_ms()) +
					    R"(,"reason":"old"})");
	running[task] = {run, Clock::now() + task_time};
	starts.push_back(task);
	return accepted();
}

std::string Runner::stop(const std::string &body)
{
	std::string task = json_field(body, "task");
	auto run = running.find(task);

	barred[task] = std::max(barred[task], number(body, "run_id"));
	if (run != running.end() && !run->second.stopping) {
		run->second.stopping = true;
		run->second.ends = std::min(run->second.ends, Clock::now() + stop_time);
	}
	return accepted();
}

std::string Runner::answer(const std::string &path, const std::string &body)
{
	std::unique_lock<std::mutex> guard(lock);
	uint64_t token_now = number(body, "fencing_token");
	uint64_t seen = number(body, "last_seen");

	if (token_now < highest_token)
		return message(409, R"({"clock_ms":1,"reason":"fence"})");
	highest_token = token_now;
	if (path == "/-/run-start")
		return start(body);
	if (path == "/-/run-stop")
		return stop(body);
	if (path != "/-/hold")
		return message(404, "{}");
	ended.wait_for(guard, std::chrono::milliseconds(number(body, "wait_ms")),
		       [&] { return stopping || (!ends.empty() && ends.back().number > seen); });
	return message(200, poll_answer(seen));
}

/* Completes every task whose run time has passed. */
void Runner::run_tasks()
{
	std::unique_lock<std::mutex> guard(lock);

	while (!ended.wait_for(guard, TICK, [this] { return stopping; })) {
		bool any = false;

		for (auto run = running.begin(); run != running.end();) {
			if (run->second.ends > Clock::now()) {
				run++;
				continue;
			}
			ends.push_back({ends.size() + 1, run->first, run->second.number,
					run->second.stopping ? "stopped" : "done"});
			barred[run->first] = std::max(barred[run->first], run->second.number);
			end_times.emplace_back(run->first, Clock::now());
			if (!run->second.stopping)
				done_counts[run->first]++;
			run = running.erase(run);
			any = true;
		}
		if (any)
			ended.notify_all();
	}
}
