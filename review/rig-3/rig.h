/*
 * Stand-ins for clients, the operator and minions, and the daemons as processes, for the scripts
 * of this review.
 */

#ifndef RIG_H
#define RIG_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace rig
{

int64_t now_ms();  /* steady clock */
int64_t unix_ms(); /* time of day */
void sleep_ms(int64_t ms);

/* Writes a line with the time since the begin of the case to record.txt. */
void record_open(const std::string &path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

struct Response {
	int status = 0; /* 0: no complete response */
	std::string body;
	std::string header; /* of the response, raw */
};

struct Request {
	std::string ip;
	int port = 0;
	std::string method = "GET";
	std::string path = "/";
	std::string host;
	std::string body;
	int64_t timeout_ms = 1000;
	std::string headers; /* further lines, each with CRLF */
};

Response call(const Request &request);

/* One machine of the system with its process. */
struct Machine {
	std::string ip;
	std::string zone;
	std::string role;
	std::string command; /* of the deploy file */
	std::string folder;
	bool first_start = true;
	pid_t pid = 0;
};

struct Ports {
	int front, readiness, control, peer;
};

/* The system: five stores and some entries, each on a loopback address of its own. */
class System
{
      public:
	System(const std::string &root, const std::string &folder, int entries,
	       const std::vector<std::string> &zones, int stores = 5);
	~System();
	void start(Machine &machine);
	void signal(Machine &machine, int number);
	void kill_wait(Machine &machine);
	bool ended(Machine &machine); /* by itself */
	std::vector<Machine *> stores();
	std::vector<Machine *> entries();
	Machine *leader(); /* as the metrics tell; NULL: none */
	bool wait_ready(int64_t timeout_ms);
	Ports ports;
	std::vector<Machine> machines;

      private:
	std::string settings(const Machine &machine) const;
	std::string root_;
	std::string folder_;
};

struct Step {
	int count = 1;
	int cpu = 1000;
	int mem_mb = 1000;
	int gpu = 0;
	int work_ms = 500;
	int estimated_ms = 500;
	std::vector<int> depends_on;
	bool gang = false;
	bool long_running = false;
	bool speculative = false;
	bool checkpointing = false;
	bool fills = false;
	int max_per_server = 0;
	std::string required_label;
	int fail_permille = 0; /* of its runs end as failed */
};

struct Job {
	std::string id;
	std::string host;
	std::string prefix;
	std::string spec;
	std::vector<Step> steps;
	int repeat = 0;
	int64_t first_ms = 0;
	int64_t interval_ms = 0;
	int max_attempts = 4;
	std::string json() const;
};

struct Run {
	std::string task; /* ID.K.STEP.INDEX */
	std::string job;
	int occurrence = 0, step = 0, index = 0;
	int64_t number = 0;
	int64_t began_ms = 0;
	int64_t worked_ms = 0;
	int64_t waits_since_ms = 0; /* of a gang whose members are not all there */
	bool fails = false;
	bool late = false; /* the order was carried out late */
};

struct End {
	int64_t number;
	std::string task;
	int64_t run;
	std::string how;
	int64_t at_ms;
	bool lapsed; /* the lease has lapsed before the end was taken note of */
};

/* A start that a minion has begun. */
struct Start {
	std::string task;
	std::string zone;
	int64_t at_ms;
};

class World;

/* What the minions, and those that look at them, have seen of a task. */
struct TaskSeen {
	int started = 0;
	int failed = 0;
	bool done = false; /* some run has ended done */
	int64_t done_ms = 0;
	bool done_noted = false; /* its end has been taken note of */
	int64_t noted_ms = 0;
};

class Minion
{
      public:
	Minion(World &world, int number, const std::string &ip, int port, const std::string &zone,
	       const std::string &service, const std::vector<std::string> &labels);
	void up(bool new_id);
	void crash();
	void go_dark(); /* crashes without a sign: its connections stay silent */
	void drain();
	std::string id;
	std::string zone;
	std::string service;
	std::vector<std::string> labels;
	int64_t cpu = 32000, mem_mb = 128000, gpu = 0;
	bool guards = true;
	bool foreign = false; /* another writer, whose server knows no call of a minion */
	bool is_up = false;
	bool draining = false;
	int64_t clock_base_ms = 0; /* the clock of a life begins with it */
	std::map<std::string, Run> runs;
	std::deque<End> ends;
	int number;

      private:
	friend class World;
	void sockets_close();
	void listen_loop(int fd, int life);
	void connection_loop(int fd, int life);
	void beat_loop(int life);
	std::string serve(const std::string &path, const std::string &expected,
			  const std::string &body, int &status, int life, bool late);
	std::string start(void *json, int &status, bool late);
	std::string stop(void *json, int &status);
	std::string hold(void *json, int &status, int life, std::unique_lock<std::mutex> &lock);
	void end_run(const std::string &task, const std::string &how);
	int64_t clock_ms() const;
	std::string clock_json(const std::string &reason) const;
	World &world_;
	std::string ip_;
	int port_;
	int life_ = 0;
	bool is_dark_ = false;
	int listen_fd_ = -1;
	std::set<int> connections_;
	int64_t born_ = 0;
	int64_t began_ms_ = 0;
	int64_t fence_ = 0;
	int64_t lease_until_ = 0;
	int64_t next_end_ = 1;
	int64_t sequence_ = 0;
	std::map<std::string, int64_t> barred_;
	std::string beat_to_;
};

/* The minions, the jobs that were handed in, and what is judged. */
class World
{
      public:
	explicit World(System &system);
	~World();
	Minion &add(const std::string &zone, const std::string &service,
		    const std::vector<std::string> &labels);
	std::string next_ip() const; /* of the next minion */
	void break_rule(const char *rule, const char *format, ...)
		__attribute__((format(printf, 3, 4)));
	int breaks(const std::string &rule);
	std::mutex lock;
	std::vector<std::unique_ptr<Minion>> minions;
	std::map<std::string, Job> jobs;
	std::map<std::string, TaskSeen> tasks;
	std::map<std::string, int> broken;
	std::vector<Start> log;
	System &system;
	int stop_ms = 50;
	int max_hold_ms = 6000;
	int gang_timeout_ms = 3000;
	/* The next start that fits is not answered, and carried out so much later. */
	int late_start_ms = 0;
	std::string late_job;	       /* only a start of this job; empty: any */
	Minion *late_minion = nullptr; /* the one whose start is late */
	/* Minions that are to lose their power as a start of this job arrives. */
	std::string dark_job;
	int dark_left = 0;
	Minion *dark_minion = nullptr;
	int starts = 0;
	int late_orders = 0;
	void tick();
	void started(Minion &minion, const Run &run);

      private:
	void loop();
	bool stopping_ = false;
	void *thread_ = nullptr;
};

/* Client and operator. */
Response submit(System &system, World &world, const Job &job, size_t entry,
		int64_t timeout_ms = 3000);
Response job_get(System &system, const Job &job, size_t entry, int64_t timeout_ms = 3000);
Response job_delete(System &system, const Job &job, size_t entry, int64_t timeout_ms = 3000);
std::string job_state(System &system, const Job &job); /* asks until there is a clear answer */
/* Sends an order to one store after the other, beginning with the given one, until one answers. */
Response order(System &system, const std::string &method, const std::string &path,
	       const std::string &body, size_t first, int64_t give_up_ms = 10000);
std::string config(int version, const std::vector<std::string> &queues, const std::string &service,
		   bool guards, int max_attempts);
std::string new_id();

} // namespace rig

#endif
