#include "fleet.h"

#include "events.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <sstream>

static const uint64_t NS_PER_MS = 1000000;
static const uint64_t START_NS = 1000 * NS_PER_MS;
static const uint64_t CONFIGURE_NS = 4000 * NS_PER_MS;
static const uint64_t REPORT_NS = 5000 * NS_PER_MS;
/* Lasting jobs are submitted one after the other from this time until the load starts. */
static const uint64_t LASTING_NS = 7000 * NS_PER_MS;
static const uint64_t LOAD_NS = 12000 * NS_PER_MS;
static const uint64_t ONE_WAY_DELAY_NS = 900000; /* between any two machines */
static const uint64_t REPORT_EVERY_NS = 1500 * NS_PER_MS;
static const uint64_t DOWN_REPORT_NS = 100 * NS_PER_MS; /* until a target that is down is asked */
static const uint64_t CONTROL_TIMEOUT_MS = 1000;
static const uint64_t CALLER_TIMEOUT_MS = 3000;
static const uint64_t CALLER_RETRY_NS = 300 * NS_PER_MS;
static const uint64_t CALLER_ATTEMPTS = 5;
static const uint64_t FAILURE_EVERY_NS = 500 * NS_PER_MS;
static const uint64_t SWING_PERMILLE = 550;
static const double SWING_PERIOD_NS = 15e9;
static const size_t REPLICAS = 5;
static const char HOST[] = "q.example";

static const char CONFIGURATION[] =
	R"({"version":1,"routes":[)"
	R"({"name":"hold","host":"q.example","path_prefix":"/hold/","timeout_ms":3000,)"
	R"("target_latency_ms":250,"priority":0,"backend":"booking","max_attempts":4,)"
	R"("slack_factor":1.5},)"
	R"({"name":"run","host":"q.example","path_prefix":"/run/","timeout_ms":3000,)"
	R"("target_latency_ms":1000,"priority":0,"backend":"booking","max_attempts":4,)"
	R"("slack_factor":1.5},)"
	R"({"name":"feed","host":"q.example","path_prefix":"/feed/","timeout_ms":3000,)"
	R"("target_latency_ms":2500,"priority":0,"backend":"booking","max_attempts":4,)"
	R"("slack_factor":1.5}],"services":[{"name":"booking","enforces_capacity":true}]})";

Fleet::Fleet(const FleetOptions &fleet_options) : options(fleet_options), random(fleet_options.seed)
{
	time.now_ns = START_NS;
	for (size_t i = 0; i < REPLICAS; i++)
		names.push_back("10.0.0." + std::to_string(i + 1));
	for (size_t i = 0; i < REPLICAS; i++)
		replica_add(i);
	for (size_t i = 0; i < options.targets; i++)
		targets.push_back(std::make_unique<FleetTarget>(time, record, i));
}

void Fleet::replica_add(size_t place)
{
	replicas.push_back(std::make_unique<FleetReplica>(time, names, place, options.costs,
							  options.dispatch));
	FleetReplica *replica = replicas.back().get();

	replica->on_send = [this, replica](const std::string &to, const std::string &bytes) {
		send(replica->name, to, bytes);
	};
	replica->on_call = [this, replica](const FleetCall &call) {
		call_target(replica->name, call);
	};
	replica->on_cancel = [this, replica](uint64_t id) { call_ended(replica->name, id, 0, ""); };
	replica->on_unsent = [this](const FleetCall &call) {
		record.starts_unsent += call.path == "/-/run-start";
	};
	replica->on_reply = [this](uint64_t call, uint64_t status, const std::string &body) {
		time.after(ONE_WAY_DELAY_NS,
			   [this, call, status, body] { request_answered(call, status, body); });
	};
	replica->on_log = [this, replica](const std::string &line) {
		if (line.find("event=sched-lead ") != std::string::npos) {
			record.epoch = std::stoull(line.substr(line.find("epoch=") + 6));
			record.led_ns = time.now_ns;
		}
		if (on_log)
			on_log(*replica, line);
	};
}

/* Runs the load and the time to complete it, with the actions of at(). */
void Fleet::simulate()
{
	for (auto &replica : replicas)
		replica->start();
	connect();
	time.at(CONFIGURE_NS, [this] { configure(); });
	for (auto &target : targets) {
		FleetTarget *its = target.get();

		target->report_replica = any_replica();
		time.at(REPORT_NS + random() % REPORT_EVERY_NS, [this, its] { report(*its); });
	}
	load();
	time.run(LOAD_NS + (options.load_ms + options.drain_ms) * NS_PER_MS);
	record.close(time.now_ns);
}

/*
 * Schedules an action during the load.
 * @load_ms: since the start of the load
 */
void Fleet::at(uint64_t load_ms, std::function<void()> what)
{
	time.at(LOAD_NS + load_ms * NS_PER_MS, std::move(what));
}

FleetReplica *Fleet::find(const std::string &name)
{
	for (auto &replica : replicas)
		if (replica->name == name)
			return replica.get();
	return nullptr;
}

FleetReplica *Fleet::leader()
{
	FleetReplica *newest = nullptr;

	for (auto &replica : replicas)
		if (replica->is_up() && replica->term && (!newest || replica->term > newest->term))
			newest = replica.get();
	return newest;
}

FleetReplica *Fleet::follower(size_t place)
{
	FleetReplica *leads = leader();

	for (auto &replica : replicas)
		if (replica.get() != leads && replica->is_up() && place-- == 0)
			return replica.get();
	return nullptr;
}

void Fleet::link(const std::string &of, const std::string &with, wl_event_kind_t kind)
{
	wl_event_t event;

	wl_event_init(&event, kind);
	wl_buf_set(&event.peer, str(with));
	find(of)->event(&event);
}

void Fleet::connect()
{
	for (const auto &one : names)
		for (const auto &other : names)
			if (one != other)
				link(one, other, WL_EVENT_PEER_UP);
}

/* The peers detect at once that their links are closed. */
void Fleet::kill(FleetReplica *replica)
{
	replica->kill();
	for (const auto &other : names)
		if (other != replica->name)
			time.after(ONE_WAY_DELAY_NS, [this, other, name = replica->name] {
				link(other, name, WL_EVENT_PEER_DOWN);
			});
}

/*
 * Delays the messages of a link in both directions for a time. They arrive afterwards, in
 * order: the link is not closed.
 */
void Fleet::stall_link(const FleetReplica *one, const FleetReplica *other, uint64_t ms)
{
	uint64_t until_ns = time.now_ns + ms * NS_PER_MS;

	stalled_until_ns[{one->name, other->name}] = until_ns;
	stalled_until_ns[{other->name, one->name}] = until_ns;
}

void Fleet::cut(const FleetReplica *replica, uint64_t ms)
{
	for (auto &other : replicas)
		if (other.get() != replica)
			stall_link(replica, other.get(), ms);
}

/* A target crashes, and starts again under its id. */
void Fleet::restart_target(size_t index, uint64_t down_ms)
{
	FleetTarget *target = targets.at(index).get();

	target->crash();
	time.after(down_ms * NS_PER_MS, [target] { target->start_again(); });
}

/* Delays the messages of all others to a replica for a time. */
void Fleet::stall_messages_to(const FleetReplica *replica, uint64_t ms)
{
	for (const auto &other : names)
		stalled_until_ns[{other, replica->name}] = time.now_ns + ms * NS_PER_MS;
}

void Fleet::send(const std::string &from, const std::string &to, const std::string &bytes)
{
	uint64_t leaves_ns = std::max(time.now_ns, stalled_until_ns[{from, to}]);

	time.at(leaves_ns + ONE_WAY_DELAY_NS,
		[this, from, to, bytes] { deliver(from, to, bytes); });
}

void Fleet::deliver(const std::string &from, const std::string &to, const std::string &bytes)
{
	FleetReplica *replica = find(to);
	wl_event_t event;
	wl_err_t err;

	if (!replica)
		return;
	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(from));
	if (!wl_msg_unpack(str(bytes), &event.msg, &err)) {
		fprintf(stderr, "cannot decode message of %s: %s\n", from.c_str(), err.text);
		abort();
	}
	replica->event(&event);
}

void Fleet::call_target(const std::string &from, const FleetCall &call)
{
	size_t index = std::stoul(call.address.substr(call.address.find(':') + 1));
	uint64_t id = call.id;

	record.calls_of[from]++;
	waiting[{from, id}] = true;
	time.after(ONE_WAY_DELAY_NS, [this, from, call, index, id] {
		targets.at(index)->call(
			call.path, call.body,
			[this, from, id](uint64_t status, const std::string &body) {
				time.after(ONE_WAY_DELAY_NS, [this, from, id, status, body] {
					call_ended(from, id, status, body);
				});
			});
	});
	time.at(call.until_ns, [this, from, id] { call_ended(from, id, 0, ""); });
}

/* Ends a call with an answer, or with status 0 by its time-out. */
void Fleet::call_ended(const std::string &from, uint64_t id, uint64_t status,
		       const std::string &body)
{
	wl_event_t event;

	if (waiting.erase({from, id}) == 0)
		return;
	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = id;
	event.fetched.sent = true;
	event.fetched.complete = status > 0;
	event.fetched.status = status;
	wl_buf_set(&event.fetched.body, str(body));
	find(from)->event(&event);
}

void Fleet::request_answered(uint64_t call, uint64_t status, const std::string &body)
{
	auto it = requests.find(call);

	if (it == requests.end())
		return;
	Answer answer = std::move(it->second);

	requests.erase(it);
	answer(status, body);
}

/* A call of a caller, an operator or a target. The status is 0 if there is no answer in time. */
void Fleet::request(size_t place, wl_listener_t listener, const std::string &path,
		    const std::string &body, uint64_t timeout_ms, const Answer &answer,
		    const char *method)
{
	uint64_t id = next_call++;
	auto time_out = [this, id] { request_answered(id, 0, ""); };

	requests[id] = answer;
	time.after(timeout_ms * NS_PER_MS, time_out);
	time.after(ONE_WAY_DELAY_NS, [this, id, place, listener, path, body, time_out, method] {
		wl_event_t event;

		if (!replicas[place]->is_up()) {
			time.after(ONE_WAY_DELAY_NS, time_out);
			return;
		}
		wl_event_init(&event, WL_EVENT_CALL);
		event.call.id = id;
		event.call.listener = listener;
		wl_buf_set(&event.call.method, str(method));
		wl_buf_set(&event.call.path, str(path));
		wl_buf_set(&event.call.body, str(body));
		wl_headers_add(&event.call.headers, WL_STR("Host"), str(HOST));
		replicas[place]->event(&event);
	});
}

size_t Fleet::any_replica()
{
	return random() % REPLICAS;
}

void Fleet::configure()
{
	request(any_replica(), WL_LISTENER_CONTROL, "/-/config/replace", CONFIGURATION,
		CONTROL_TIMEOUT_MS, [this](uint64_t status, const std::string &) {
			if (status != 200)
				configure();
		});
}

void Fleet::report(FleetTarget &target)
{
	if (!target.is_up()) {
		time.after(DOWN_REPORT_NS, [this, &target] { report(target); });
		return;
	}
	request(target.report_replica, WL_LISTENER_CONTROL,
		"/-/instances/" + target.id + "/heartbeat", target.report(), CONTROL_TIMEOUT_MS,
		[this, &target](uint64_t status, const std::string &body) {
			report_answered(target, status, body);
		});
}

/*
 * Reports go to the replica that was named, as long as that answers. After a failure the
 * target reports to another replica at once.
 */
void Fleet::report_answered(FleetTarget &target, uint64_t status, const std::string &body)
{
	const std::string named = R"("heartbeat_url":")";
	size_t at = body.find(named);
	size_t place = target.report_replica_named ? target.report_replica : any_replica();

	target.report_replica_named =
		status == 200 && (target.report_replica_named || at != std::string::npos);
	if (status != 200) {
		target.report_replica = any_replica();
		report(target);
		return;
	}
	if (at != std::string::npos) {
		size_t from = at + named.size();
		std::string name = body.substr(from, body.find(':', from) - from);

		place = std::find(names.begin(), names.end(), name) - names.begin();
	}
	target.report_replica = place;
	time.after(REPORT_EVERY_NS, [this, &target] { report(target); });
}

/* Random time within the load. The rate swings by SWING_PERMILLE about its mean. */
uint64_t Fleet::random_load_time()
{
	for (;;) {
		uint64_t moment_ns = random() % (options.load_ms * NS_PER_MS);
		double phase = 2 * M_PI * static_cast<double>(moment_ns) / SWING_PERIOD_NS;
		double rate = 1000 + SWING_PERMILLE * std::sin(phase);

		if (static_cast<double>(random() % (1000 + SWING_PERMILLE)) < rate)
			return LOAD_NS + moment_ns;
	}
}

void Fleet::load()
{
	uint64_t shorts = options.short_jobs_per_ks * options.load_ms / 1000000;
	uint64_t longs = options.long_jobs_per_ks * options.load_ms / 1000000;

	for (uint64_t i = 0; i < options.lasting_jobs; i++)
		load_job("feed", 1, options.lasting_width, "0 1500",
			 LASTING_NS + (LOAD_NS - LASTING_NS) / 2 * i / options.lasting_jobs);
	for (uint64_t i = 0; i < shorts; i++)
		load_job("hold", i % 5 < 3 ? 2 : 1, options.short_width, "540 4100",
			 random_load_time());
	for (uint64_t i = 0; i < longs; i++)
		load_job("run", 2, options.long_width, "2300 3500", random_load_time());
	for (uint64_t i = 0; i < options.lasting_failures; i++)
		time.at(LOAD_NS + i * FAILURE_EVERY_NS,
			[this, i] { fail_lasting(i * 17 % options.targets); });
}

/*
 * Schedules a job of steps that depend on each other in order.
 * @spec: what targets read: duration of a task, ms (0: lasting), and its CPU, millis
 */
void Fleet::load_job(const char *queue, uint64_t steps, uint64_t width, const char *spec,
		     uint64_t due_ns)
{
	auto job = std::make_shared<Job>();
	std::ostringstream body;
	uint64_t work_ms = 0;
	uint64_t cpu_millis = 0;
	char id[17];

	std::istringstream(spec) >> work_ms >> cpu_millis;
	snprintf(id, sizeof(id), "%016llx", (unsigned long long)next_job++);
	body << R"({"spec":")" << spec << R"(","steps":[)";
	for (uint64_t i = 0; i < steps; i++) {
		body << (i ? "," : "") << R"({"count":)" << width << R"(,"cpu":)" << cpu_millis
		     << R"(,"mem_mb":1000)";
		if (work_ms)
			body << R"(,"estimated_ms":)" << work_ms;
		else
			body << R"(,"long_running":true)";
		if (i)
			body << R"(,"depends_on":[)" << i - 1 << "]";
		body << "}";
	}
	body << "]}";
	*job = {id, queue, body.str(), std::vector<uint64_t>(steps, width), work_ms == 0};
	time.at(due_ns, [this, job] { submit(job); });
	if (options.cancel_percent && random() % 100 < options.cancel_percent)
		time.at(due_ns + random() % (options.cancel_within_ms * NS_PER_MS),
			[this, job] { cancel(job); });
}

/* Repeats the call until it is acknowledged. The job is not submitted again. */
void Fleet::cancel(const std::shared_ptr<Job> &job)
{
	job->given_up = true;
	request(
		any_replica(), WL_LISTENER_CALLER, "/" + job->queue + "/" + job->id, "",
		CALLER_TIMEOUT_MS,
		[this, job](uint64_t status, const std::string &) {
			if (status == 200 || status == 410)
				record.job_cancelled(job->id, time.now_ns);
			else
				time.after(CALLER_RETRY_NS, [this, job] { cancel(job); });
		},
		"DELETE");
}

void Fleet::submit(const std::shared_ptr<Job> &job)
{
	job->attempts++;
	request(any_replica(), WL_LISTENER_CALLER, "/" + job->queue + "/" + job->id, job->body,
		CALLER_TIMEOUT_MS, [this, job](uint64_t status, const std::string &) {
			if (status == 200)
				record.job_accepted(job->id, job->widths, job->lasting,
						    time.now_ns);
			else if (job->given_up)
				return;
			else if (job->attempts < CALLER_ATTEMPTS)
				time.after(CALLER_RETRY_NS, [this, job] { submit(job); });
			else
				record.jobs_refused++;
		});
}

/* Fails a lasting task of the target, or of the next one that has any. */
void Fleet::fail_lasting(size_t target)
{
	for (size_t i = 0; i < targets.size(); i++) {
		if (!targets[(target + i) % targets.size()]->fail_lasting())
			continue;
		record.lasting_failed++;
		return;
	}
}

std::string Fleet::summary() const
{
	std::ostringstream text;

	text << record.summary() << "; CPU used:";
	for (const auto &replica : replicas)
		text << " " << replica->name << "="
		     << replica->busy_ns() * 100 / (time.now_ns - START_NS) << "%";
	return text.str();
}
