/* Stand-ins of minions, and what is judged of what they see. */

#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <jansson.h>

namespace rig
{

static const int64_t early_ms = 250;
static const int64_t beat_ms = 1100;

static std::mt19937 &dice()
{
	static std::mt19937 random(7);

	return random;
}

Minion::Minion(World &world, int number, const std::string &ip, int port, const std::string &zone,
	       const std::string &service, const std::vector<std::string> &labels)
    : zone(zone), service(service), labels(labels), number(number), world_(world), ip_(ip),
      port_(port)
{
}

int64_t Minion::clock_ms() const
{
	return clock_base_ms + now_ms() - began_ms_;
}

std::string Minion::clock_json(const std::string &reason) const
{
	return "{\"clock_ms\":" + std::to_string(clock_ms()) +
	       (reason.empty() ? "" : ",\"reason\":\"" + reason + "\"") + "}";
}

/* Called with the world's lock. */
void Minion::go_dark()
{
	record("minion %d %s loses its power with %zu runs", number, id.c_str(), runs.size());
	is_up = false;
	is_dark_ = true;
	runs.clear();
	ends.clear();
}

/* Begins a life. Called with the world's lock. */
void Minion::up(bool new_id)
{
	struct sockaddr_in at = {};
	int one = 1;

	if (is_dark_)
		sockets_close();
	is_dark_ = false;
	if (new_id || id.empty())
		id = "i-" + rig::new_id().substr(0, 10);
	life_++;
	is_up = true;
	draining = false;
	born_ = unix_ms();
	began_ms_ = now_ms();
	if (clock_base_ms == 0)
		clock_base_ms = 1000;
	fence_ = 0;
	lease_until_ = 0;
	next_end_ = 1;
	sequence_ = 0;
	runs.clear();
	ends.clear();
	barred_.clear();
	beat_to_.clear();
	listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	at.sin_family = AF_INET;
	at.sin_port = htons((uint16_t)port_);
	inet_pton(AF_INET, ip_.c_str(), &at.sin_addr);
	if (bind(listen_fd_, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(listen_fd_, 128) != 0)
		record("minion %s: cannot listen", id.c_str());
	record("minion %d %s up, born %lld", number, id.c_str(), (long long)born_);
	std::thread(&Minion::listen_loop, this, listen_fd_, life_).detach();
	std::thread(&Minion::beat_loop, this, life_).detach();
}

void Minion::sockets_close()
{
	shutdown(listen_fd_, SHUT_RDWR);
	close(listen_fd_);
	for (int fd : connections_)
		shutdown(fd, SHUT_RDWR);
}

/* Ends a life without a word. Called with the world's lock. */
void Minion::crash()
{
	if (!is_up)
		return;
	is_up = false;
	record("minion %d %s crashes with %zu runs", number, id.c_str(), runs.size());
	sockets_close();
	runs.clear();
	ends.clear();
}

void Minion::listen_loop(int fd, int life)
{
	for (;;) {
		int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
		std::lock_guard<std::mutex> guard(world_.lock);

		if (life != life_ || (!is_up && !is_dark_)) {
			if (connection >= 0)
				close(connection);
			return;
		}
		if (connection < 0)
			return;
		connections_.insert(connection);
		std::thread(&Minion::connection_loop, this, connection, life).detach();
	}
}

static std::string header_of(const std::string &head, const std::string &name)
{
	size_t at = head.find("\r\n" + name + ": ");
	size_t from;

	if (at == std::string::npos)
		return "";
	from = at + name.size() + 4;
	return head.substr(from, head.find("\r\n", from) - from);
}

void Minion::connection_loop(int fd, int life)
{
	std::string got;
	char buffer[16384];

	for (;;) {
		size_t end = got.find("\r\n\r\n");
		size_t length;
		std::string head;
		std::string body;
		std::string answer;
		int status = 200;

		if (end != std::string::npos) {
			head = got.substr(0, end + 2);
			length = (size_t)atoi(header_of(head, "Content-Length").c_str());
		}
		if (end == std::string::npos || got.size() < end + 4 + length) {
			ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

			if (n <= 0)
				break;
			got.append(buffer, (size_t)n);
			continue;
		}
		body = got.substr(end + 4, length);
		got.erase(0, end + 4 + length);
		answer = serve(head.substr(head.find(' ') + 1,
					   head.find(' ', head.find(' ') + 1) - head.find(' ') - 1),
			       header_of(head, "Expected-Instance"), body, status, life, false);
		if (status == 0)
			continue; /* an order without an answer */
		answer = "HTTP/1.1 " + std::to_string(status) +
			 " x\r\nContent-Type: application/json\r\nContent-Length: " +
			 std::to_string(answer.size()) + "\r\n\r\n" + answer;
		if (send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0)
			break;
	}
	std::lock_guard<std::mutex> guard(world_.lock);
	connections_.erase(fd);
	close(fd);
}

static std::string text_of(json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static int64_t number_of(json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

std::string Minion::serve(const std::string &path, const std::string &expected,
			  const std::string &body, int &status, int life, bool late)
{
	std::unique_lock<std::mutex> lock(world_.lock);
	json_t *json;
	std::string answer;

	if (!is_up || life != life_) {
		status = 0;
		return "";
	}
	if (foreign) {
		record("%s at %s %s: 404", path.c_str(), id.c_str(), body.substr(0, 60).c_str());
		status = 404;
		return "{}";
	}
	if (path == "/healthz")
		return "{}";
	if (!expected.empty() && expected != id) {
		status = 421;
		return clock_json("");
	}
	json = json_loads(body.c_str(), 0, nullptr);
	if (!json) {
		status = 400;
		return clock_json("");
	}
	if (path == "/-/run-start" && world_.dark_left > 0 &&
	    text_of(json, "task").rfind(world_.dark_job, 0) == 0) {
		record("minion %d %s: start of %s run %lld arrives", number, id.c_str(),
		       text_of(json, "task").c_str(), (long long)number_of(json, "run_id"));
		world_.dark_left--;
		world_.dark_minion = this;
		go_dark();
		json_decref(json);
		status = 0;
		return "";
	}
	if (path == "/-/run-start" && !late && world_.late_start_ms > 0 &&
	    (world_.late_job.empty() || text_of(json, "task").rfind(world_.late_job, 0) == 0)) {
		int64_t delay = world_.late_start_ms;

		world_.late_start_ms = 0;
		world_.late_minion = this;
		world_.late_orders++;
		record("minion %d %s: start of %s run %lld gets no answer, carried out in %lld ms",
		       number, id.c_str(), text_of(json, "task").c_str(),
		       (long long)number_of(json, "run_id"), (long long)delay);
		std::thread([this, path, expected, body, delay]() {
			int late_status = 200;
			int life_then;

			sleep_ms(delay);
			{
				std::lock_guard<std::mutex> guard(world_.lock);

				life_then = life_;
			}
			serve(path, expected, body, late_status, life_then, true);
			record("minion %d: the late start had status %d", number, late_status);
		}).detach();
		json_decref(json);
		status = 0;
		return "";
	}
	if (number_of(json, "fencing_token") < fence_) {
		status = 409;
		answer = clock_json("fence");
	} else {
		fence_ = number_of(json, "fencing_token");
		if (path == "/-/run-start")
			answer = start(json, status, late);
		else if (path == "/-/run-stop")
			answer = stop(json, status);
		else if (path == "/-/hold")
			answer = hold(json, status, life, lock);
		else if (path == "/-/pace")
			answer = clock_json("");
		else
			status = 404;
	}
	json_decref(json);
	return answer;
}

static bool task_parse(const std::string &task, Run &run)
{
	char job[64];

	if (sscanf(task.c_str(), "%63[^.].%d.%d.%d", job, &run.occurrence, &run.step, &run.index) !=
	    4)
		return false;
	run.task = task;
	run.job = job;
	return true;
}

std::string Minion::start(void *body, int &status, bool late)
{
	json_t *json = (json_t *)body;
	std::string task = text_of(json, "task");
	int64_t number_wanted = number_of(json, "run_id");
	int64_t deadline =
		std::min(number_of(json, "deadline_ms"), clock_ms() + world_.max_hold_ms);
	std::string reason;
	Run run;

	world_.starts++;
	if (!task_parse(task, run)) {
		status = 400;
		return clock_json("");
	}
	run.number = number_wanted;
	run.late = late;
	if (runs.count(task) && runs[task].number == number_wanted) {
		lease_until_ = std::max(lease_until_, deadline);
		return clock_json("");
	}
	if ((barred_.count(task) && number_wanted <= barred_[task]) ||
	    (runs.count(task) && number_wanted < runs[task].number))
		reason = "old";
	else if (number_of(json, "deadline_ms") <= clock_ms())
		reason = "late";
	if (reason.empty() && guards && world_.jobs.count(run.job)) {
		const Step &step = world_.jobs[run.job].steps[(size_t)run.step];
		int64_t used_cpu = step.fills ? 0 : step.cpu;
		int64_t used_mem = step.mem_mb;

		for (const auto &other : runs) {
			const Step &taken =
				world_.jobs[other.second.job].steps[(size_t)other.second.step];

			used_cpu += taken.fills ? 0 : taken.cpu;
			used_mem += taken.mem_mb;
		}
		if (used_cpu > cpu || used_mem > mem_mb)
			reason = "room";
	}
	if (reason != "late")
		lease_until_ = std::max(lease_until_, deadline);
	if (!reason.empty()) {
		record("minion %d %s refuses start of %s run %lld: %s", number, id.c_str(),
		       task.c_str(), (long long)number_wanted, reason.c_str());
		status = 409;
		return clock_json(reason);
	}
	run.began_ms = now_ms();
	run.waits_since_ms = run.began_ms;
	if (world_.jobs.count(run.job) && world_.jobs[run.job].spec != text_of(json, "spec"))
		world_.break_rule("UNASKED", "%s is started with another spec", task.c_str());
	record("minion %d %s starts %s run %lld%s", number, id.c_str(), task.c_str(),
	       (long long)run.number, late ? " (late)" : "");
	world_.started(*this, run);
	world_.log.push_back({task, zone, now_ms()});
	runs[task] = run;
	return clock_json("");
}

std::string Minion::stop(void *body, int &)
{
	json_t *json = (json_t *)body;
	std::string task = text_of(json, "task");
	int64_t wanted = number_of(json, "run_id");

	barred_[task] = std::max(barred_[task], wanted);
	if (runs.count(task) && runs[task].number <= wanted)
		end_run(task, "stopped");
	return clock_json("");
}

void Minion::end_run(const std::string &task, const std::string &how)
{
	Run run = runs[task];
	TaskSeen &seen = world_.tasks[task];

	runs.erase(task);
	barred_[task] = std::max(barred_[task], run.number);
	ends.push_back({next_end_++, task, run.number, how, now_ms(), false});
	record("minion %d %s: %s run %lld ends %s", number, id.c_str(), task.c_str(),
	       (long long)run.number, how.c_str());
	if (how == "done" && !seen.done) {
		seen.done = true;
		seen.done_ms = now_ms();
	}
	if (how == "alone")
		world_.broken["(alone)"]++;
}

std::string Minion::hold(void *body, int &, int life, std::unique_lock<std::mutex> &lock)
{
	json_t *json = (json_t *)body;
	int64_t seen = number_of(json, "last_seen");
	int64_t until = now_ms() + std::min<int64_t>(number_of(json, "wait_ms"), 2000);
	int64_t deadline = number_of(json, "deadline_ms");
	std::string text;

	if (deadline > 0)
		lease_until_ =
			std::max(lease_until_, std::min(deadline, clock_ms() + world_.max_hold_ms));
	while (!ends.empty() && ends.front().number <= seen) {
		const End &end = ends.front();
		TaskSeen &task = world_.tasks[end.task];

		if (end.how == "done" && !end.lapsed && !task.done_noted) {
			record("minion %d %s: the end of %s run %lld is taken note of", number,
			       id.c_str(), end.task.c_str(), (long long)end.run);
			task.done_noted = true;
			task.noted_ms = now_ms();
			if (task.started < 0)
				world_.break_rule("TWICE", "%s was started after it had ended done",
						  end.task.c_str());
		}
		if (end.how == "failed")
			task.failed++;
		ends.pop_front();
	}
	while (ends.empty() && now_ms() < until && is_up && life == life_) {
		lock.unlock();
		sleep_ms(5);
		lock.lock();
	}
	text = "{\"clock_ms\":" + std::to_string(clock_ms()) +
	       ",\"born\":" + std::to_string(born_) + ",\"running\":[";
	for (const auto &run : runs)
		text += (text.back() == '[' ? "[\"" : ",[\"") + run.first + "\"," +
			std::to_string(run.second.number) + ",\"\",100,1]";
	text += "],\"completions\":[";
	for (size_t i = 0; i < ends.size() && i < 500; i++)
		text += (i ? ",[" : "[") + std::to_string(ends[i].number) + ",\"" + ends[i].task +
			"\"," + std::to_string(ends[i].run) + ",\"" + ends[i].how + "\",\"\"]";
	return text + "]}";
}

void Minion::beat_loop(int life)
{
	size_t next = (size_t)number;

	for (;;) {
		std::vector<Machine *> stores = world_.system.stores();
		Request request;
		Response response;
		size_t at;

		{
			std::lock_guard<std::mutex> guard(world_.lock);

			if (!is_up || life != life_)
				return;
			request.ip = stores[next % stores.size()]->ip;
			request.port = world_.system.ports.control;
			if (!beat_to_.empty())
				request.ip = beat_to_.substr(0, beat_to_.find(':'));
			request.method = "POST";
			request.path = "/-/instances/" + id + "/heartbeat";
			request.body = "{\"backend\":\"" + service + "\",\"address\":\"" + ip_ +
				       ":" + std::to_string(port_) + "\",\"zone\":\"" + zone +
				       "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" +
				       (draining ? "draining" : "ready") +
				       "\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":" +
				       std::to_string(cpu) +
				       ",\"mem_mb\":" + std::to_string(mem_mb) +
				       ",\"gpu\":" + std::to_string(gpu) + "},\"labels\":[";
			for (size_t i = 0; i < labels.size(); i++)
				request.body += (i ? ",\"" : "\"") + labels[i] + "\"";
			request.body += "],\"clock_ms\":" + std::to_string(clock_ms()) +
					",\"sequence\":" + std::to_string(++sequence_) +
					",\"born\":" + std::to_string(born_) + ",\"machine\":\"m-" +
					std::to_string(number) + "\"}";
			if (foreign) /* fields are missing */
				request.body = "{\"backend\":\"" + service + "\",\"address\":\"" +
					       ip_ + ":" + std::to_string(port_) +
					       "\",\"zone\":\"" + zone +
					       "\",\"state\":\"ready\",\"capacity\":{\"cpu\":" +
					       std::to_string(cpu) +
					       ",\"mem_mb\":" + std::to_string(mem_mb) +
					       "},\"clock_ms\":" + std::to_string(clock_ms()) +
					       ",\"sequence\":" + std::to_string(sequence_) + "}";
		}
		response = call(request);
		if (foreign)
			record("foreign heartbeat of %s: %d", id.c_str(), response.status);
		if (response.status / 100 != 2) {
			std::lock_guard<std::mutex> guard(world_.lock);

			beat_to_.clear();
			next++;
			continue;
		}
		at = response.body.find("\"heartbeat_url\":\"");
		if (at != std::string::npos) {
			std::lock_guard<std::mutex> guard(world_.lock);

			beat_to_ = response.body.substr(at + 17,
							response.body.find('"', at + 17) - at - 17);
		}
		sleep_ms(beat_ms);
	}
}

World::World(System &system) : system(system)
{
	thread_ = new std::thread(&World::loop, this);
}

World::~World()
{
	{
		std::lock_guard<std::mutex> guard(lock);

		stopping_ = true;
		for (auto &minion : minions)
			minion->crash();
	}
	((std::thread *)thread_)->join();
	delete (std::thread *)thread_;
	sleep_ms(1500); /* threads of connections and heartbeats end */
}

std::string World::next_ip() const
{
	const std::string &ip = system.machines[0].ip;

	return ip.substr(0, ip.rfind('.') + 1) + std::to_string(100 + minions.size());
}

Minion &World::add(const std::string &zone, const std::string &service,
		   const std::vector<std::string> &labels)
{
	std::lock_guard<std::mutex> guard(lock);
	int number = (int)minions.size();

	minions.push_back(std::make_unique<Minion>(*this, number, next_ip(), system.ports.control,
						   zone, service, labels));
	minions.back()->up(true);
	return *minions.back();
}

void World::break_rule(const char *rule, const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	record("BROKEN %s: %s", rule, text);
	broken[rule]++;
}

int World::breaks(const std::string &rule)
{
	std::lock_guard<std::mutex> guard(lock);

	return broken[rule];
}

/* What holds for a start, as the minions see it. */
void World::started(Minion &minion, const Run &run)
{
	TaskSeen &seen = tasks[run.task];
	const Job *job = jobs.count(run.job) ? &jobs[run.job] : nullptr;
	int64_t used_cpu = 0;
	int64_t used_mem = 0;
	int same = 1;

	if (!job) {
		break_rule("UNASKED", "%s was not handed in", run.task.c_str());
		return;
	}
	const Step &step = job->steps[(size_t)run.step];

	for (auto &other : minions) {
		auto found = other->runs.find(run.task);

		if (other->is_up && found != other->runs.end() && !step.speculative)
			break_rule("TWICE", "%s run %lld on minion %d, and run %lld on minion %d",
				   run.task.c_str(), (long long)run.number, minion.number,
				   (long long)found->second.number, other->number);
	}
	if (seen.done && !step.speculative && !step.long_running) {
		if (seen.done_noted)
			break_rule("TWICE",
				   "%s run %lld starts on minion %d %lld ms after its end done "
				   "was taken note of",
				   run.task.c_str(), (long long)run.number, minion.number,
				   (long long)(now_ms() - seen.noted_ms));
		else
			record("%s starts after an end done that was not taken note of",
			       run.task.c_str());
	}
	seen.started++;
	if (!step.required_label.empty() && std::find(minion.labels.begin(), minion.labels.end(),
						      step.required_label) == minion.labels.end())
		break_rule("ROUTE", "%s on a minion without the label %s", run.task.c_str(),
			   step.required_label.c_str());
	for (auto &other : minion.runs) {
		const Run &beside = other.second;
		const Step &taken = jobs[beside.job].steps[(size_t)beside.step];

		same += beside.job == run.job && beside.step == run.step &&
			beside.occurrence == run.occurrence;
		used_cpu += taken.fills ? 0 : taken.cpu;
		used_mem += taken.mem_mb;
	}
	if (step.max_per_server && same > step.max_per_server)
		break_rule("ROUTE", "%s: %d of its step on minion %d", run.task.c_str(), same,
			   minion.number);
	if (!minion.guards && (used_cpu + (step.fills ? 0 : step.cpu) > minion.cpu ||
			       used_mem + step.mem_mb > minion.mem_mb))
		break_rule("LIMIT", "%s brings minion %d to %lld cpu, %lld MB", run.task.c_str(),
			   minion.number, (long long)used_cpu + step.cpu,
			   (long long)used_mem + step.mem_mb);
	for (int dep : step.depends_on)
		for (int i = 0; i < job->steps[(size_t)dep].count; i++) {
			std::string name = job->id + "." + std::to_string(run.occurrence) + "." +
					   std::to_string(dep) + "." + std::to_string(i);

			if (!tasks[name].done)
				break_rule("ORDER", "%s before %s is done", run.task.c_str(),
					   name.c_str());
		}
	if (job->repeat && unix_ms() < job->first_ms + run.occurrence * job->interval_ms - early_ms)
		break_rule(
			"ORDER", "%s starts %lld ms early", run.task.c_str(),
			(long long)(job->first_ms + run.occurrence * job->interval_ms - unix_ms()));
	if (!step.long_running && seen.failed >= job->max_attempts)
		break_rule("BUDGET", "%s starts after %d failed runs", run.task.c_str(),
			   seen.failed);
}

struct GangRun {
	std::vector<std::pair<Minion *, std::string>> members;
	int count = 0;
};

void World::tick()
{
	static std::set<std::string> assembled;
	static int64_t last = now_ms();
	std::map<std::string, GangRun> gangs;
	int64_t now = now_ms();
	int64_t passed = now - last;

	last = now;
	for (auto &minion : minions) {
		std::vector<std::string> names;

		if (!minion->is_up)
			continue;
		for (auto &run : minion->runs)
			names.push_back(run.first);
		if (minion->clock_ms() > minion->lease_until_) {
			for (End &end : minion->ends)
				end.lapsed = true;
			for (const std::string &name : names)
				minion->end_run(name, "lapsed");
			continue;
		}
		for (const std::string &name : names) {
			Run &run = minion->runs[name];
			const Step &step = jobs[run.job].steps[(size_t)run.step];

			if (step.gang) {
				GangRun &gang =
					gangs[run.job + "." + std::to_string(run.occurrence) + "." +
					      std::to_string(run.step) + "/" +
					      std::to_string(run.number)];

				gang.members.push_back({minion.get(), name});
				gang.count = step.count;
				continue;
			}
			run.worked_ms += passed;
			if (run.worked_ms < step.work_ms || step.long_running)
				continue;
			minion->end_run(name, (int)(dice()() % 1000) < step.fail_permille ? "failed"
											  : "done");
		}
	}
	for (auto &item : gangs) {
		GangRun &gang = item.second;
		bool all = (int)gang.members.size() == gang.count;
		bool was = assembled.count(item.first) > 0;
		std::string how;

		if (all)
			assembled.insert(item.first);
		for (auto &member : gang.members) {
			Run &run = member.first->runs[member.second];
			const Step &step = jobs[run.job].steps[(size_t)run.step];

			if (all) {
				run.worked_ms += passed;
				if (run.worked_ms >= step.work_ms && how.empty())
					how = (int)(dice()() % 1000) < step.fail_permille ? "failed"
											  : "done";
			}
		}
		if (!how.empty()) {
			for (size_t i = 0; i < gang.members.size(); i++)
				gang.members[i].first->end_run(gang.members[i].second,
							       how == "failed" && i > 0 ? "broken"
											: how);
			continue;
		}
		for (auto &member : gang.members) {
			Run &run = member.first->runs[member.second];

			if (was && !all)
				member.first->end_run(member.second, "broken");
			else if (!all && now - run.waits_since_ms > gang_timeout_ms)
				member.first->end_run(member.second, "alone");
		}
	}
}

void World::loop()
{
	for (;;) {
		{
			std::lock_guard<std::mutex> guard(lock);

			if (stopping_)
				return;
			tick();
		}
		sleep_ms(5);
	}
}

} // namespace rig
