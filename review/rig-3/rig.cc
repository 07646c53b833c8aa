/* Processes, HTTP calls and the record. */

#include "rig.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <jansson.h>

namespace rig
{

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

int64_t unix_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

static FILE *record_file;
static int64_t record_begin;
static std::mutex record_lock;

void record_open(const std::string &path)
{
	record_file = fopen(path.c_str(), "we");
	record_begin = now_ms();
}

void record(const char *format, ...)
{
	std::lock_guard<std::mutex> guard(record_lock);
	va_list args;

	if (!record_file)
		return;
	fprintf(record_file, "%8.3f  ", (double)(now_ms() - record_begin) / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

static bool wait_fd(int fd, short events, int64_t until)
{
	struct pollfd wait = {fd, events, 0};
	int64_t left = until - now_ms();

	return left > 0 && poll(&wait, 1, (int)left) > 0;
}

static int dial(const std::string &ip, int port, int64_t until)
{
	struct sockaddr_in to = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	socklen_t len = sizeof(int);
	int error = 0;

	to.sin_family = AF_INET;
	to.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	if (errno == EINPROGRESS && wait_fd(fd, POLLOUT, until) &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 && error == 0)
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, const std::string &text, int64_t until)
{
	size_t done = 0;

	while (done < text.size()) {
		ssize_t n = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);

		if (n > 0)
			done += (size_t)n;
		else if (n < 0 && errno == EAGAIN && wait_fd(fd, POLLOUT, until))
			continue;
		else
			return false;
	}
	return true;
}

/* The response is complete once the body has its Content-Length. */
static bool response_parse(const std::string &text, Response &response)
{
	size_t end = text.find("\r\n\r\n");
	size_t at;
	size_t length = 0;

	if (end == std::string::npos || text.size() < 12)
		return false;
	at = text.find("Content-Length:");
	if (at != std::string::npos && at < end)
		length = (size_t)strtoul(text.c_str() + at + 15, nullptr, 10);
	if (text.size() < end + 4 + length)
		return false;
	response.status = atoi(text.c_str() + 9);
	response.header = text.substr(0, end);
	response.body = text.substr(end + 4, length);
	return true;
}

Response call(const Request &request)
{
	int64_t until = now_ms() + request.timeout_ms;
	std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " +
			   (request.host.empty() ? request.ip : request.host) + "\r\n" +
			   request.headers;
	std::string got;
	Response response;
	char buffer[16384];
	int fd = dial(request.ip, request.port, until);

	if (fd < 0)
		return response;
	if (!request.body.empty() || request.method == "POST")
		text += "Content-Type: application/json\r\nContent-Length: " +
			std::to_string(request.body.size()) + "\r\n";
	text += "\r\n" + request.body;
	if (send_all(fd, text, until)) {
		while (!response_parse(got, response) && wait_fd(fd, POLLIN, until)) {
			ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

			if (n == 0 || (n < 0 && errno != EAGAIN))
				break;
			if (n > 0)
				got.append(buffer, (size_t)n);
		}
	}
	close(fd);
	return response;
}

static bool port_free(const std::string &ip, int port)
{
	struct sockaddr_in at = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	at.sin_family = AF_INET;
	at.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
	ok = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
	close(fd);
	return ok;
}

/* The command of a role in the deploy file. */
static std::string deploy_command(const std::string &root, const std::string &role)
{
	std::ifstream file(root + "/deploy/system.toml");
	std::string line;
	bool here = false;

	while (std::getline(file, line)) {
		if (line[0] == '[')
			here = line == "[roles." + role + "]";
		if (here && line.rfind("run = \"", 0) == 0)
			return line.substr(7, line.size() - 8);
	}
	throw std::runtime_error("deploy/system.toml: no command for role " + role);
}

System::System(const std::string &root, const std::string &folder, int entries,
	       const std::vector<std::string> &zones, int stores)
    : root_(root), folder_(folder)
{
	std::random_device random;
	std::string net = "127." + std::to_string(16 + getpid() % 200) + "." +
			  std::to_string(getpid() / 200 % 250) + ".";
	int base;

	do
		base = 20000 + (int)(random() % 20000);
	while (!port_free("127.0.0.1", base) || !port_free("127.0.0.1", base + 1) ||
	       !port_free("127.0.0.1", base + 2) || !port_free("127.0.0.1", base + 3));
	ports = {base, base + 1, base + 2, base + 3};
	for (int i = 0; i < stores + entries; i++) {
		Machine machine;

		machine.role = i < stores ? "store" : "entry";
		machine.ip = net + std::to_string(10 + i);
		machine.zone = zones[(size_t)i % zones.size()];
		machine.command = deploy_command(root, machine.role);
		machine.folder = folder + "/" + machine.role + std::to_string(i);
		mkdir(machine.folder.c_str(), 0700);
		machines.push_back(machine);
	}
}

System::~System()
{
	for (Machine &machine : machines)
		kill_wait(machine);
}

static void replace(std::string &text, const std::string &what, const std::string &with)
{
	size_t at = 0;

	while ((at = text.find(what, at)) != std::string::npos) {
		text.replace(at, what.size(), with);
		at += with.size();
	}
}

/* Renders the template of the deploy file. */
std::string System::settings(const Machine &machine) const
{
	std::ifstream file(root_ + "/deploy/settings.env");
	std::stringstream all;
	bool store = machine.role == "store";
	std::string seeds;
	std::string text;

	all << file.rdbuf();
	text = all.str();
	for (size_t i = 0; i < 3; i++)
		seeds += (i ? "," : "") + machines[i].ip + ":" + std::to_string(ports.control);
	replace(text, "{{#seeds}}{{.}}{{,}}{{/seeds}}", seeds);
	replace(text, "{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
		machine.first_start ? "yes" : "no");
	replace(text, "{{ip}}", machine.ip);
	replace(text, "{{zone}}", machine.zone);
	replace(text, "{{listen.front_address}}",
		store ? "" : machine.ip + ":" + std::to_string(ports.front));
	replace(text, "{{listen.control}}",
		store ? machine.ip + ":" + std::to_string(ports.control) : "");
	replace(text, "{{listen.readiness}}",
		store ? "" : machine.ip + ":" + std::to_string(ports.readiness));
	replace(text, "{{internal_port_range.0}}", std::to_string(ports.peer));
	replace(text, "{{data_dir}}", store ? machine.folder + "/data" : "");
	return text;
}

void System::start(Machine &machine)
{
	std::string path = machine.folder + "/settings.env";
	std::string log = machine.folder + "/log";
	std::vector<std::string> words;
	std::stringstream split(machine.command);
	std::string word;

	std::ofstream(path) << settings(machine);
	while (split >> word)
		words.push_back(word);
	machine.pid = fork();
	if (machine.pid == 0) {
		std::vector<char *> argv;
		int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("WISTERIALEAD_SETTINGS", path.c_str(), 1);
		dup2(fd, 1);
		dup2(fd, 2);
		if (chdir(root_.c_str()) != 0)
			_exit(127);
		for (std::string &item : words)
			argv.push_back(item.data());
		argv.push_back(nullptr);
		execv(argv[0], argv.data());
		_exit(127);
	}
	machine.first_start = false;
	record("start %s %s pid %d", machine.role.c_str(), machine.ip.c_str(), (int)machine.pid);
}

void System::signal(Machine &machine, int number)
{
	record("signal %d to %s %s", number, machine.role.c_str(), machine.ip.c_str());
	if (machine.pid > 0)
		kill(machine.pid, number);
}

void System::kill_wait(Machine &machine)
{
	if (machine.pid <= 0)
		return;
	kill(machine.pid, SIGKILL);
	waitpid(machine.pid, nullptr, 0);
	machine.pid = 0;
}

bool System::ended(Machine &machine)
{
	int status;

	if (machine.pid <= 0 || waitpid(machine.pid, &status, WNOHANG) != machine.pid)
		return false;
	record("%s %s has ended by itself, status %d", machine.role.c_str(), machine.ip.c_str(),
	       status);
	machine.pid = 0;
	return true;
}

std::vector<Machine *> System::stores()
{
	std::vector<Machine *> found;

	for (Machine &machine : machines)
		if (machine.role == "store")
			found.push_back(&machine);
	return found;
}

std::vector<Machine *> System::entries()
{
	std::vector<Machine *> found;

	for (Machine &machine : machines)
		if (machine.role == "entry")
			found.push_back(&machine);
	return found;
}

/* The store whose log tells last that it leads. */
Machine *System::leader()
{
	Machine *found = nullptr;
	std::string newest;

	for (Machine *machine : stores()) {
		std::ifstream file(machine->folder + "/log");
		std::string line;
		std::string last;

		while (std::getline(file, line)) {
			if (line.find("event=replica ") == std::string::npos)
				continue;
			last = line.find("role=leader") != std::string::npos ? line : "";
		}
		if (last > newest) {
			newest = last;
			found = machine;
		}
	}
	return found;
}

bool System::wait_ready(int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	for (Machine *machine : entries()) {
		Request request;

		request.ip = machine->ip;
		request.port = ports.readiness;
		request.path = "/-/ready";
		while (call(request).status != 200) {
			if (now_ms() > until)
				return false;
			sleep_ms(50);
		}
	}
	return true;
}

std::string Job::json() const
{
	json_t *all = json_object();
	json_t *list = json_array();
	char *text;
	std::string out;

	for (const Step &step : steps) {
		json_t *row = json_pack("{si si si si}", "count", step.count, "cpu", step.cpu,
					"mem_mb", step.mem_mb, "estimated_ms", step.estimated_ms);

		if (step.gpu)
			json_object_set_new(row, "gpu", json_integer(step.gpu));
		if (!step.depends_on.empty()) {
			json_t *deps = json_array();

			for (int dep : step.depends_on)
				json_array_append_new(deps, json_integer(dep));
			json_object_set_new(row, "depends_on", deps);
		}
		if (step.gang)
			json_object_set_new(row, "gang", json_true());
		if (step.long_running)
			json_object_set_new(row, "long_running", json_true());
		if (step.speculative)
			json_object_set_new(row, "speculative", json_true());
		if (step.checkpointing)
			json_object_set_new(row, "checkpointing", json_true());
		if (step.fills)
			json_object_set_new(row, "fills", json_true());
		if (step.max_per_server)
			json_object_set_new(row, "max_per_server",
					    json_integer(step.max_per_server));
		if (!step.required_label.empty())
			json_object_set_new(row, "required_label",
					    json_string(step.required_label.c_str()));
		json_array_append_new(list, row);
	}
	json_object_set_new(all, "spec", json_string(spec.c_str()));
	json_object_set_new(all, "steps", list);
	if (repeat) {
		json_object_set_new(all, "repeat_count", json_integer(repeat));
		json_object_set_new(all, "first_run_ms", json_integer(first_ms));
		json_object_set_new(all, "interval_ms", json_integer(interval_ms));
	}
	text = json_dumps(all, JSON_COMPACT);
	out = text;
	free(text);
	json_decref(all);
	return out;
}

static Response job_call(System &system, const Job &job, const std::string &method, size_t entry,
			 int64_t timeout_ms)
{
	std::vector<Machine *> entries = system.entries();
	Request request;
	Response response;

	request.ip = entries[entry % entries.size()]->ip;
	request.port = system.ports.front;
	request.method = method;
	request.path = job.prefix + job.id;
	request.host = job.host;
	request.timeout_ms = timeout_ms;
	request.headers = "Request-Deadline-Ms: " + std::to_string(timeout_ms) + "\r\n";
	if (method == "POST")
		request.body = job.json();
	response = call(request);
	record("client %s %s at %s: %d %s", method.c_str(), request.path.c_str(),
	       request.ip.c_str(), response.status, response.body.c_str());
	return response;
}

Response submit(System &system, World &world, const Job &job, size_t entry, int64_t timeout_ms)
{
	{
		std::lock_guard<std::mutex> guard(world.lock);

		world.jobs[job.id] = job;
	}
	return job_call(system, job, "POST", entry, timeout_ms);
}

Response job_get(System &system, const Job &job, size_t entry, int64_t timeout_ms)
{
	return job_call(system, job, "GET", entry, timeout_ms);
}

Response job_delete(System &system, const Job &job, size_t entry, int64_t timeout_ms)
{
	return job_call(system, job, "DELETE", entry, timeout_ms);
}

std::string job_state(System &system, const Job &job)
{
	for (size_t i = 0; i < 10; i++) {
		Response response = job_get(system, job, i);
		size_t at = response.body.find("\"state\":\"");

		if (response.status == 200 && at != std::string::npos)
			return response.body.substr(at + 9,
						    response.body.find('"', at + 9) - at - 9);
		if (response.status == 410)
			return "410";
		sleep_ms(300);
	}
	return "unknown";
}

Response order(System &system, const std::string &method, const std::string &path,
	       const std::string &body, size_t first, int64_t give_up_ms)
{
	std::vector<Machine *> stores = system.stores();
	int64_t until = now_ms() + give_up_ms;
	Response response;

	for (size_t i = first; now_ms() < until; i++) {
		Request request;

		request.ip = stores[i % stores.size()]->ip;
		request.port = system.ports.control;
		request.method = method;
		request.path = path;
		request.body = body;
		request.timeout_ms = 1000;
		response = call(request);
		record("operator %s %s at %s: %d", method.c_str(), path.c_str(), request.ip.c_str(),
		       response.status);
		if (response.status && response.status < 500 && response.status != 408 &&
		    response.status != 429)
			return response;
		sleep_ms(100);
	}
	return response;
}

std::string config(int version, const std::vector<std::string> &queues, const std::string &service,
		   bool guards, int max_attempts)
{
	std::string routes;

	for (size_t i = 0; i < queues.size(); i++)
		routes += (i ? "," : "") + std::string("{\"name\":\"r-") + std::to_string(i) +
			  "\",\"host\":\"jobs.example\",\"path_prefix\":\"" + queues[i] +
			  "\",\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,"
			  "\"priority\":0,\"backend\":\"" +
			  service + "\",\"max_attempts\":" + std::to_string(max_attempts) +
			  ",\"slack_factor\":2.0}";
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
	       "],\"services\":[{\"name\":\"" + service +
	       "\",\"health_check_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\","
	       "\"tls\":false,\"enforces_capacity\":" +
	       (guards ? "true" : "false") +
	       ",\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
	       "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

std::string new_id()
{
	static std::mt19937_64 random(std::random_device{}());
	static std::mutex lock;
	std::lock_guard<std::mutex> guard(lock);
	char text[17];

	snprintf(text, sizeof(text), "%016llx", (unsigned long long)random());
	return text;
}

} // namespace rig
