#include "stand.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

#include <jansson.h>

const char *const SERVICE = "workers";
const char *const HOST = "queue.example";
const char *const PREFIX = "/jobs/";

namespace
{
using Clock = std::chrono::steady_clock;

const Clock::time_point program_start = Clock::now();
std::mutex record_lock;
FILE *record_file;

constexpr uint64_t CLIENT_TIMEOUT_MS = 3000;
constexpr uint64_t BEAT_TIMEOUT_MS = 1000;
constexpr uint64_t GAP_MS = 50;
constexpr int POLL_MS = 20;
constexpr size_t ENDS_LISTED = 500;
constexpr uint64_t SAVE_MS = 1000;

/* A JSON object that is released at the end of the block. */
class Json
{
      public:
	explicit Json(const std::string &text)
	    : object(json_loadb(text.data(), text.size(), 0, nullptr))
	{
	}
	~Json()
	{
		json_decref(object);
	}
	Json(const Json &) = delete;
	Json &operator=(const Json &) = delete;

	uint64_t number(const char *name) const
	{
		return static_cast<uint64_t>(json_integer_value(json_object_get(object, name)));
	}
	std::string text(const char *name) const
	{
		const char *at = json_string_value(json_object_get(object, name));

		return at ? at : "";
	}
	bool has(const char *name) const
	{
		return json_object_get(object, name) != nullptr;
	}

      private:
	json_t *object;
};

sockaddr_in address_of(const std::string &text)
{
	size_t colon = text.find(':');
	sockaddr_in at = {};

	at.sin_family = AF_INET;
	at.sin_port = htons(static_cast<uint16_t>(std::stoi(text.substr(colon + 1))));
	inet_pton(AF_INET, text.substr(0, colon).c_str(), &at.sin_addr);
	return at;
}

bool wait_for(int fd, short events, uint64_t until_ms)
{
	for (;;) {
		uint64_t now = now_ms();
		pollfd wait = {fd, events, 0};

		if (now >= until_ms)
			return false;
		if (poll(&wait, 1, static_cast<int>(std::min<uint64_t>(until_ms - now, 100))) > 0)
			return true;
	}
}

bool send_all(int fd, const std::string &bytes, uint64_t until_ms)
{
	size_t done = 0;

	while (done < bytes.size()) {
		ssize_t n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);

		if (n > 0)
			done += static_cast<size_t>(n);
		else if (n < 0 && errno == EAGAIN && wait_for(fd, POLLOUT, until_ms))
			continue;
		else
			return false;
	}
	return true;
}

std::string header(const std::string &head, const std::string &name)
{
	size_t at = head.find("\r\n");

	while (at != std::string::npos && at + 2 < head.size()) {
		size_t end = head.find("\r\n", at + 2);
		std::string line = head.substr(at + 2, end - at - 2);

		if (strncasecmp(line.c_str(), (name + ":").c_str(), name.size() + 1) == 0) {
			size_t value = line.find_first_not_of(' ', name.size() + 1);

			return value == std::string::npos ? "" : line.substr(value);
		}
		at = end;
	}
	return "";
}

/* Reads one message with a Content-Length; false if the connection ends or the time is over. */
bool read_message(int fd, std::string &buffer, std::string &head, std::string &body,
		  const std::function<bool()> &go_on)
{
	size_t split;
	size_t length = 0;
	char bytes[16384];

	for (;;) {
		pollfd wait = {fd, POLLIN, 0};

		split = buffer.find("\r\n\r\n");
		if (split != std::string::npos) {
			std::string text = header(buffer.substr(0, split + 2), "Content-Length");

			length = text.empty() ? 0 : std::stoul(text);
			if (buffer.size() >= split + 4 + length)
				break;
		}
		if (!go_on())
			return false;
		if (poll(&wait, 1, POLL_MS) <= 0)
			continue;
		ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

		if (n < 0 && errno == EAGAIN)
			continue;
		if (n <= 0)
			return false;
		buffer.append(bytes, static_cast<size_t>(n));
	}
	head = buffer.substr(0, split + 2);
	body = buffer.substr(split + 4, length);
	buffer.erase(0, split + 4 + length);
	return true;
}

std::vector<std::string> words(const char *name)
{
	std::vector<std::string> all;
	std::string text = getenv(name) ? getenv(name) : "";
	size_t at = 0;

	while (at < text.size()) {
		size_t end = std::min(text.find(' ', at), text.size());

		if (end > at)
			all.push_back(text.substr(at, end - at));
		at = end + 1;
	}
	return all;
}

std::vector<pid_t> pids(const char *name)
{
	std::vector<pid_t> all;

	for (const auto &word : words(name))
		all.push_back(std::stoi(word));
	return all;
}

/* A number of a spec such as "ms=500 cpu=1000". */
uint64_t spec_number(const std::string &spec, const std::string &name, uint64_t missing)
{
	size_t at = spec.find(name + "=");

	return at == std::string::npos ? missing : std::stoull(spec.substr(at + name.size() + 1));
}

/* The tasks of a gang's run have this in common. */
std::string gang_of(const Run &run)
{
	return run.task.substr(0, run.task.rfind('.')) + "/" + std::to_string(run.number);
}
} // namespace

uint64_t now_ms()
{
	return static_cast<uint64_t>(
		std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - program_start)
			.count());
}

uint64_t unix_ms()
{
	timespec at = {};

	clock_gettime(CLOCK_REALTIME, &at);
	return static_cast<uint64_t>(at.tv_sec) * 1000 +
	       static_cast<uint64_t>(at.tv_nsec) / 1000000;
}

void sleep_ms(uint64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void record_open(const std::string &path)
{
	record_file = fopen(path.c_str(), "w");
}

void record(const char *format, ...)
{
	std::lock_guard<std::mutex> guard(record_lock);
	uint64_t now = now_ms();
	va_list args;

	if (!record_file)
		return;
	fprintf(record_file, "%3llu.%03llu ", static_cast<unsigned long long>(now / 1000),
		static_cast<unsigned long long>(now % 1000));
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

std::string Answer::at(const std::string &name) const
{
	json_t *object = json_loadb(body.data(), body.size(), 0, nullptr);
	const json_t *value = json_object_get(object, name.c_str());
	std::string text;

	if (json_is_string(value))
		text = json_string_value(value);
	else if (json_is_integer(value))
		text = std::to_string(json_integer_value(value));
	json_decref(object);
	return text;
}

Answer call(const std::string &address, const std::string &method, const std::string &path,
	    const std::string &host, const std::string &body, uint64_t timeout_ms)
{
	uint64_t until = now_ms() + timeout_ms;
	sockaddr_in at = address_of(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	std::string buffer;
	std::string head;
	Answer answer;
	int error = 0;
	socklen_t len = sizeof(error);

	if (connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0 ||
	    (errno == EINPROGRESS && wait_for(fd, POLLOUT, until) &&
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 && error == 0)) {
		std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
				   "\r\nContent-Type: application/json\r\nRequest-Deadline-Ms: " +
				   std::to_string(timeout_ms) +
				   "\r\nContent-Length: " + std::to_string(body.size()) +
				   "\r\nConnection: close\r\n\r\n" + body;

		if (send_all(fd, text, until) &&
		    read_message(fd, buffer, head, answer.body, [&] { return now_ms() < until; })) {
			size_t space = buffer.npos;

			space = head.find(' ');
			answer.status = std::stoi(head.substr(space + 1, 3));
			answer.location = header(head, "Location");
		}
	}
	close(fd);
	return answer;
}

Setup setup_read()
{
	Setup setup;

	setup.prefix = getenv("REVIEW_PREFIX");
	setup.control = words("REVIEW_CONTROL");
	setup.front = words("REVIEW_FRONT");
	setup.core_pids = pids("REVIEW_CORE_PIDS");
	setup.edge_pids = pids("REVIEW_EDGE_PIDS");
	setup.trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	setup.folder = getenv("REVIEW_FOLDER");
	record_open(getenv("REVIEW_RECORD"));
	record("trouble %s", setup.trouble ? "on" : "off");
	return setup;
}

void Log::started(const Start &start)
{
	std::lock_guard<std::mutex> guard(lock);

	all.push_back(start);
}

void Log::ended(const std::string &task, const std::string &how)
{
	std::lock_guard<std::mutex> guard(lock);

	counts[{task, how}]++;
}

std::vector<Start> Log::starts()
{
	std::lock_guard<std::mutex> guard(lock);

	return all;
}

int Log::ends(const std::string &task, const std::string &how)
{
	std::lock_guard<std::mutex> guard(lock);

	return counts[{task, how}];
}

int Log::start_count(const std::string &prefix)
{
	std::lock_guard<std::mutex> guard(lock);

	return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const Start &start) {
		return start.task.compare(0, prefix.size(), prefix) == 0;
	}));
}

bool Log::leaves(const std::string &task, const std::string &minion)
{
	std::lock_guard<std::mutex> guard(lock);

	if (left_count == 0 || task.compare(0, left_prefix.size(), left_prefix) != 0)
		return false;
	left_count--;
	left_by.push_back(minion);
	return true;
}

void Log::leave(const std::string &prefix, int count)
{
	std::lock_guard<std::mutex> guard(lock);

	left_prefix = prefix;
	left_count = count;
}

std::vector<std::string> Log::left()
{
	std::lock_guard<std::mutex> guard(lock);

	return left_by;
}

void Log::order_counted()
{
	std::lock_guard<std::mutex> guard(lock);

	order_count++;
}

int Log::orders()
{
	std::lock_guard<std::mutex> guard(lock);

	return order_count;
}

void Log::member_came(const std::string &gang, const std::string &task)
{
	std::lock_guard<std::mutex> guard(lock);

	gangs[gang].present.insert(task);
}

void Log::member_gone(const std::string &gang, bool done)
{
	std::lock_guard<std::mutex> guard(lock);

	if (done)
		gangs[gang].done = true;
	else if (!gangs[gang].done)
		gangs[gang].broken = true;
}

int Log::gang_state(const std::string &gang, uint64_t members)
{
	std::lock_guard<std::mutex> guard(lock);
	const Gang &state = gangs[gang];

	if (state.done)
		return 3;
	if (state.broken)
		return 2;
	return state.present.size() >= members ? 1 : 0;
}

Minion::Minion(MinionOptions wanted, const Setup &setup_, Log &log_)
    : options(std::move(wanted)), setup(setup_), log(log_)
{
	restart();
	beats = std::thread([this] { beat_loop(); });
	work = std::thread([this] { work_loop(); });
}

Minion::~Minion()
{
	{
		std::lock_guard<std::mutex> guard(lock);

		stopping = true;
	}
	crash();
	changed.notify_all();
	beats.join();
	work.join();
	for (auto &thread : threads)
		thread.join();
}

void Minion::restart()
{
	std::lock_guard<std::mutex> guard(lock);

	running.clear();
	closed.clear();
	ends.clear();
	fence = 0;
	deadline = 0;
	next_end = 1;
	sequence = 0;
	born = unix_ms() + ahead;
	life_start_ms = now_ms();
	life++;
	listen_start();
	up = true;
	record("minion %s begins life %llu: kind %s cpu %llu", options.id.c_str(),
	       static_cast<unsigned long long>(born), options.kind.c_str(),
	       static_cast<unsigned long long>(options.cpu));
	changed.notify_all();
}

void Minion::crash()
{
	std::lock_guard<std::mutex> guard(lock);

	if (!up)
		return;
	up = false;
	if (!stopping)
		record("minion %s crashes with %zu runs", options.id.c_str(), running.size());
	for (const auto &run : running)
		if (run.second.gang)
			log.member_gone(gang_of(run.second), false);
	running.clear();
	shutdown(listen_fd, SHUT_RDWR);
	for (int fd : connections)
		shutdown(fd, SHUT_RDWR);
	changed.notify_all();
}

void Minion::become(const std::string &kind, uint64_t cpu)
{
	std::lock_guard<std::mutex> guard(lock);

	options.kind = kind;
	options.cpu = cpu;
}

void Minion::clock_step(uint64_t ahead_ms)
{
	std::lock_guard<std::mutex> guard(lock);

	ahead = ahead_ms;
	record("machine of minion %s: time of day is %llu ms ahead", options.id.c_str(),
	       static_cast<unsigned long long>(ahead_ms));
}

void Minion::cut(bool on)
{
	std::lock_guard<std::mutex> guard(lock);

	is_cut = on;
	record("minion %s %s", options.id.c_str(), on ? "is cut off" : "is reached again");
	changed.notify_all();
}

bool Minion::has(const std::string &task_prefix)
{
	std::lock_guard<std::mutex> guard(lock);

	return std::any_of(running.begin(), running.end(), [&](const auto &run) {
		return run.first.compare(0, task_prefix.size(), task_prefix) == 0;
	});
}

/* The caller has locked. */
void Minion::listen_start()
{
	sockaddr_in at = address_of(options.address);
	int one = 1;
	uint64_t present = life;

	listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listen_fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) < 0 ||
	    listen(listen_fd, 128) < 0) {
		fprintf(stderr, "cannot listen on %s\n", options.address.c_str());
		exit(2);
	}
	threads.emplace_back([this, fd = listen_fd, present] { accept_loop(fd, present); });
}

bool Minion::gone(uint64_t of_life)
{
	std::lock_guard<std::mutex> guard(lock);

	return stopping || !up || life != of_life;
}

void Minion::accept_loop(int fd, uint64_t of_life)
{
	while (!gone(of_life)) {
		pollfd wait = {fd, POLLIN, 0};
		int one = 1;

		if (poll(&wait, 1, POLL_MS) <= 0)
			continue;
		int connection = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (connection < 0)
			continue;
		setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		std::lock_guard<std::mutex> guard(lock);

		connections.insert(connection);
		threads.emplace_back([this, connection, of_life] { serve(connection, of_life); });
	}
	close(fd);
}

/* Whether the life goes on after a cut. */
bool Minion::wait_while_cut(uint64_t of_life)
{
	std::unique_lock<std::mutex> guard(lock);

	while (is_cut && up && life == of_life && !stopping)
		changed.wait_for(guard, std::chrono::milliseconds(POLL_MS));
	return up && life == of_life && !stopping;
}

void Minion::serve(int fd, uint64_t of_life)
{
	std::string buffer;
	std::string head;
	std::string body;

	while (read_message(fd, buffer, head, body, [&] { return !gone(of_life); })) {
		size_t path = head.find(' ') + 1;

		if (!wait_while_cut(of_life))
			break;
		std::string name = head.substr(path, head.find(' ', path) - path);
		std::string instance = header(head, "Expected-Instance");

		log.order_counted();
		if (name == "/-/run-start" && log.leaves(Json(body).text("task"), options.id)) {
			std::lock_guard<std::mutex> guard(lock);

			record("minion %s leaves the start of %s unanswered", options.id.c_str(),
			       Json(body).text("task").c_str());
			threads.emplace_back([this, instance, body, of_life] {
				carry_out_late(instance, body, of_life);
			});
			continue;
		}
		Reply reply = answer(name, instance, body, of_life);

		if (reply.status == 0 || !wait_while_cut(of_life) ||
		    !send_all(fd,
			      "HTTP/1.1 " + std::to_string(reply.status) +
				      " X\r\nContent-Type: application/json\r\nContent-Length: " +
				      std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body,
			      now_ms() + CLIENT_TIMEOUT_MS))
			break;
	}
	{
		std::lock_guard<std::mutex> guard(lock);

		connections.erase(fd);
	}
	close(fd);
}

void Minion::carry_out_late(const std::string &instance, const std::string &body, uint64_t of_life)
{
	uint64_t until = now_ms() + options.late_ms;

	while (now_ms() < until && !gone(of_life))
		sleep_ms(POLL_MS);
	if (!gone(of_life))
		answer("/-/run-start", instance, body, of_life);
}

uint64_t Minion::clock_ms() const
{
	return now_ms() - life_start_ms + 1;
}

uint64_t Minion::used() const
{
	uint64_t sum = 0;

	for (const auto &run : running)
		sum += run.second.cpu;
	return sum;
}

Minion::Reply Minion::plain(int status, const std::string &reason) const
{
	std::string body = "{\"clock_ms\":" + std::to_string(clock_ms());

	if (!reason.empty())
		body += ",\"reason\":\"" + reason + "\"";
	return {status, body + "}"};
}

void Minion::extend(uint64_t deadline_ms)
{
	deadline = std::max(deadline, std::min(deadline_ms, clock_ms() + options.hold_max_ms));
}

/* The caller has locked. */
void Minion::end_run(const std::string &task, const std::string &how)
{
	const Run &run = running[task];

	ends.push_back({next_end++, task, run.number, how, run.saved});
	if (run.gang)
		log.member_gone(gang_of(run), how == "done");
	closed[task] = std::max(closed[task], run.number);
	record("minion %s ends %s run %llu: %s", options.id.c_str(), task.c_str(),
	       static_cast<unsigned long long>(run.number), how.c_str());
	log.ended(task, how);
	running.erase(task);
}

Minion::Reply Minion::run_start(const std::string &body)
{
	Json json(body);
	std::string task = json.text("task");
	uint64_t number = json.number("run_id");
	std::string spec = json.text("spec");
	Run run;

	run.task = task;
	run.number = number;
	run.began_ms = now_ms();
	run.work_ms = spec_number(spec, "ms", UINT64_MAX);
	run.cpu = spec_number(spec, "cpu", 0);
	run.gang = spec_number(spec, "gang", 0);
	run.work_from = run.gang ? 0 : run.began_ms;
	run.saves = spec_number(spec, "save", 0) > 0;
	run.saved = json.text("checkpoint");

	if (json.number("deadline_ms") <= clock_ms())
		return plain(409, "late");
	extend(json.number("deadline_ms"));
	if (running.count(task) && running[task].number == number)
		return plain(200, "");
	if (closed.count(task) && number <= closed[task])
		return plain(409, "old");
	if (options.guards && used() + run.cpu > options.cpu)
		return plain(409, "room");
	running[task] = run;
	if (run.gang)
		log.member_came(gang_of(run), task);
	log.started(
		{now_ms(), options.id, task, number, options.kind, used(), options.cpu, run.saved});
	record("minion %s starts %s run %llu%s%s: kind %s, cpu %llu of %llu in use",
	       options.id.c_str(), task.c_str(), static_cast<unsigned long long>(number),
	       run.saved.empty() ? "" : " from ", run.saved.c_str(), options.kind.c_str(),
	       static_cast<unsigned long long>(used()),
	       static_cast<unsigned long long>(options.cpu));
	return plain(200, "");
}

Minion::Reply Minion::run_stop(const std::string &body)
{
	Json json(body);
	std::string task = json.text("task");
	uint64_t number = json.number("run_id");

	if (running.count(task) && running[task].number == number)
		end_run(task, "stopped");
	closed[task] = std::max(closed[task], number);
	changed.notify_all();
	return plain(200, "");
}

std::string Minion::lists(uint64_t seen) const
{
	std::string rows;
	std::string listed;
	size_t count = 0;

	for (const auto &run : running)
		rows += (rows.empty() ? "[\"" : ",[\"") + run.first + "\"," +
			std::to_string(run.second.number) + ",\"" + run.second.saved + "\",100,0]";
	for (const auto &end : ends)
		if (end.number > seen && count++ < ENDS_LISTED)
			listed += (listed.empty() ? "[" : ",[") + std::to_string(end.number) +
				  ",\"" + end.task + "\"," + std::to_string(end.run) + ",\"" +
				  end.how + "\",\"" + end.saved + "\"]";
	return "{\"clock_ms\":" + std::to_string(clock_ms()) + ",\"born\":" + std::to_string(born) +
	       ",\"running\":[" + rows + "],\"completions\":[" + listed + "]}";
}

Minion::Reply Minion::hold(const std::string &body, std::unique_lock<std::mutex> &guard,
			   uint64_t of_life)
{
	Json json(body);
	uint64_t seen = json.number("last_seen");
	uint64_t until = now_ms() + std::min<uint64_t>(json.number("wait_ms"), 2000);

	if (json.has("deadline_ms"))
		extend(json.number("deadline_ms"));
	ends.erase(std::remove_if(ends.begin(), ends.end(),
				  [&](const End &end) { return end.number <= seen; }),
		   ends.end());
	while (ends.empty() && now_ms() < until && up && life == of_life && !stopping)
		changed.wait_for(guard, std::chrono::milliseconds(POLL_MS));
	if (!up || life != of_life)
		return {0, ""};
	return {200, lists(seen)};
}

Minion::Reply Minion::answer(const std::string &path, const std::string &instance,
			     const std::string &body, uint64_t of_life)
{
	std::unique_lock<std::mutex> guard(lock);

	if (!up || life != of_life)
		return {0, ""};
	if (path == "/healthz")
		return {200, "{}"};
	if (!instance.empty() && instance != options.id)
		return plain(421, "");
	if (Json(body).number("fencing_token") < fence)
		return plain(409, "fence");
	fence = Json(body).number("fencing_token");
	if (path == "/-/run-start")
		return run_start(body);
	if (path == "/-/run-stop")
		return run_stop(body);
	if (path == "/-/hold")
		return hold(body, guard, of_life);
	if (path == "/-/pace")
		return plain(200, "");
	return plain(404, "");
}

std::string Minion::run_step(Run &run)
{
	uint64_t now = now_ms();
	int gang = run.gang ? log.gang_state(gang_of(run), run.gang) : 1;

	if (gang == 3)
		return "done";
	if (gang == 2)
		return "broken";
	if (gang == 0)
		return now - run.began_ms > options.gang_wait_ms ? "alone" : "";
	if (run.work_from == 0)
		run.work_from = now;
	if (run.saves && now - run.work_from >= SAVE_MS)
		run.saved = run.task + "-" + std::to_string(run.number) + "-" +
			    std::to_string((now - run.work_from) / SAVE_MS);
	return run.work_ms != UINT64_MAX && now - run.work_from >= run.work_ms ? "done" : "";
}

void Minion::work_loop()
{
	std::unique_lock<std::mutex> guard(lock);

	while (!stopping) {
		std::vector<std::pair<std::string, std::string>> over;
		bool lapsed = up && !running.empty() && clock_ms() > deadline;

		for (auto &run : running) {
			std::string how = lapsed ? "lapsed" : run_step(run.second);

			if (!how.empty())
				over.emplace_back(run.first, how);
		}
		for (const auto &end : over)
			end_run(end.first, end.second);
		if (!over.empty())
			changed.notify_all();
		changed.wait_for(guard, std::chrono::milliseconds(5));
	}
}

std::string Minion::heartbeat_body()
{
	return "{\"backend\":\"" + std::string(SERVICE) + "\",\"address\":\"" + options.address +
	       "\",\"zone\":\"" + options.zone +
	       "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0," +
	       "\"capacity\":{\"cpu\":" + std::to_string(options.cpu) +
	       ",\"mem_mb\":" + std::to_string(options.memory) + ",\"gpu\":0},\"labels\":[\"" +
	       options.kind + "\",\"" + options.rack +
	       "\"],\"clock_ms\":" + std::to_string(clock_ms()) +
	       ",\"sequence\":" + std::to_string(++sequence) + ",\"born\":" + std::to_string(born) +
	       "}";
}

/* An unacknowledged heartbeat is sent to the next daemon. */
void Minion::beat_loop()
{
	size_t next = std::hash<std::string>()(options.id) % setup.control.size();
	uint64_t beaten_life = 0;
	std::string wanted;

	for (;;) {
		std::unique_lock<std::mutex> guard(lock);
		bool first = life != beaten_life;

		if (stopping)
			return;
		if (!up || is_cut || (first && now_ms() - life_start_ms < options.first_beat_ms)) {
			changed.wait_for(guard, std::chrono::milliseconds(POLL_MS));
			continue;
		}
		if (first)
			wanted.clear();
		beaten_life = life;
		std::string body = heartbeat_body();
		std::string to =
			wanted.empty() ? setup.control[next % setup.control.size()] : wanted;

		guard.unlock();
		Answer answer = call(to, "POST", "/-/instances/" + options.id + "/heartbeat", to,
				     body, BEAT_TIMEOUT_MS);

		if (answer.status / 100 != 2) {
			wanted.clear();
			next++;
			sleep_ms(GAP_MS);
			continue;
		}
		if (first)
			record("minion %s: first heartbeat of life acknowledged",
			       options.id.c_str());
		wanted = answer.at("heartbeat_url");
		uint64_t until = now_ms() + options.beat_ms;

		guard.lock();
		while (!stopping && up && life == beaten_life && now_ms() < until)
			changed.wait_for(guard, std::chrono::milliseconds(POLL_MS));
	}
}

bool eventually(uint64_t timeout_ms, const std::function<bool()> &condition)
{
	uint64_t until = now_ms() + timeout_ms;

	while (!condition()) {
		if (now_ms() >= until)
			return false;
		sleep_ms(20);
	}
	return true;
}

bool configure(const Setup &setup, bool guards, uint64_t max_attempts)
{
	return configure_version(setup, 7, "r-jobs", guards, max_attempts);
}

bool configure_version(const Setup &setup, uint64_t version, const std::string &route, bool guards,
		       uint64_t max_attempts)
{
	std::string body =
		"{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"" + route +
		"\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + PREFIX +
		"\",\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":250," +
		"\"priority\":0,\"backend\":\"" + SERVICE +
		"\",\"max_attempts\":" + std::to_string(max_attempts) +
		",\"slack_factor\":1.5}],\"services\":[{\"name\":\"" + SERVICE +
		"\",\"health_check_path\":\"/"
		"healthz\",\"max_connections\":64,\"protocol\":\"h1\"," +
		"\"tls\":false,\"enforces_capacity\":" + (guards ? "true" : "false") +
		",\"standby\":false}],\"limits\":{\"max_header_bytes\":16384," +
		"\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	size_t next = 0;

	return eventually(30000, [&] {
		const std::string &to = setup.control[next++ % setup.control.size()];

		Answer answer = call(to, "POST", "/-/config/replace", to, body, 1000);

		record("operator sends version %llu: %d", static_cast<unsigned long long>(version),
		       answer.status);
		return answer.status == 200;
	});
}

std::string job_id(int number)
{
	char text[17];

	snprintf(text, sizeof(text), "5c0e7a21d94b%04x", static_cast<unsigned int>(number));
	return text;
}

int submit(const Setup &setup, const std::string &id, const std::string &spec,
	   const std::vector<Step> &steps)
{
	std::string body = "{\"spec\":\"" + spec + "\",\"steps\":[";

	for (size_t i = 0; i < steps.size(); i++)
		body += std::string(i ? "," : "") + "{\"count\":" + std::to_string(steps[i].count) +
			",\"cpu\":" + std::to_string(steps[i].cpu) +
			",\"mem_mb\":" + std::to_string(steps[i].memory) +
			",\"estimated_ms\":" + std::to_string(steps[i].estimated_ms) +
			steps[i].more + "}";
	body += "]}";
	for (size_t i = 0;; i++) {
		const std::string &to = setup.front[i % setup.front.size()];
		Answer answer = call(to, "POST", PREFIX + id, HOST, body, CLIENT_TIMEOUT_MS);

		record("client hands in %s: %d", id.c_str(), answer.status);
		if (answer.status == 200 || i >= 8)
			return answer.status;
		sleep_ms(200);
	}
}

Answer state(const Setup &setup, const std::string &id)
{
	static size_t next;
	const std::string &to = setup.front[next++ % setup.front.size()];
	Answer answer = call(to, "GET", PREFIX + id, HOST, "", CLIENT_TIMEOUT_MS);

	record("client asks for %s: %d %s", id.c_str(), answer.status, answer.body.c_str());
	return answer;
}

Answer pending(const Setup &setup)
{
	static size_t next;
	const std::string &to = setup.front[next++ % setup.front.size()];
	Answer answer = call(to, "GET", PREFIX, HOST, "", CLIENT_TIMEOUT_MS);

	record("client asks for the queue: %d %s", answer.status, answer.body.c_str());
	return answer;
}

Answer cancel(const Setup &setup, const std::string &id)
{
	Answer answer;

	for (size_t i = 0; i < 8 && answer.status / 100 != 2 && answer.status != 410; i++) {
		answer = call(setup.front[i % setup.front.size()], "DELETE", PREFIX + id, HOST, "",
			      CLIENT_TIMEOUT_MS);
		record("client cancels %s: %d", id.c_str(), answer.status);
	}
	return answer;
}
