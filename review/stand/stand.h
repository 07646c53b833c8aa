#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/*
 * Stand-ins of the platform for the review's scripts: minions, clients, the operator, and the
 * record of what they saw. The daemons are started by lib.sh.
 */

/* Milliseconds since the start of the program, on the steady clock. */
uint64_t now_ms();
/* Unix time. */
uint64_t unix_ms();
void sleep_ms(uint64_t ms);

/* Appends a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void record_open(const std::string &path);

struct Answer {
	int status = 0; /* 0: none */
	std::string body;
	std::string location;

	/* A member of the JSON object, as text; empty: none. */
	std::string at(const std::string &name) const;
};

/* One HTTP/1.1 call on a connection of its own. */
Answer call(const std::string &address, const std::string &method, const std::string &path,
	    const std::string &host, const std::string &body, uint64_t timeout_ms);

/* What lib.sh started: addresses and process ids of the daemons. */
struct Setup {
	std::string prefix; /* first three numbers of the addresses, with a dot behind */
	std::vector<std::string> control;
	std::vector<std::string> front;
	std::vector<pid_t> core_pids;
	std::vector<pid_t> edge_pids;
	bool trouble = true;
	std::string folder;
};

/* Reads it from the environment that lib.sh has set. */
Setup setup_read();

/* The service and the queue of all scripts. */
extern const char *const SERVICE;
extern const char *const HOST;
extern const char *const PREFIX;

struct Run {
	std::string task;
	uint64_t number = 0;
	uint64_t began_ms = 0;
	uint64_t work_ms = 0; /* UINT64_MAX: it lasts */
	uint64_t cpu = 0;
	uint64_t gang = 0;	/* members; 0: no gang */
	uint64_t work_from = 0; /* when it began to work; 0: it waits for its gang */
	bool saves = false;
	std::string saved; /* checkpoint */
};

struct End {
	uint64_t number = 0;
	std::string task;
	uint64_t run = 0;
	std::string how;
	std::string saved;
};

/* What a minion does with a start. */
enum class OnStart {
	Take,
	Late
};

/* One line of what the minions saw, for the checks. */
struct Start {
	uint64_t at_ms = 0;
	std::string minion;
	std::string task;
	uint64_t run = 0;
	std::string kind;  /* label of the minion in this life */
	uint64_t used = 0; /* cpu in use with this start */
	uint64_t capacity = 0;
	std::string checkpoint;
};

class Log
{
      public:
	void started(const Start &start);
	void ended(const std::string &task, const std::string &how);
	std::vector<Start> starts();
	/* Number of ends of the task that minions have listed in this way. */
	int ends(const std::string &task, const std::string &how);
	/* Number of starts of tasks whose name begins so. */
	int start_count(const std::string &prefix);
	/* Whether a minion leaves this start unanswered, to carry it out late. */
	bool leaves(const std::string &task, const std::string &minion);
	/* The next so many starts of tasks whose name begins so are left. */
	void leave(const std::string &prefix, int count);
	/* The minions that have left one, in turn. */
	std::vector<std::string> left();
	void order_counted();
	int orders();

	/* The run of a gang's member is there, or has gone. */
	void member_came(const std::string &gang, const std::string &task);
	void member_gone(const std::string &gang, bool done);
	/* How far the gang is: 0: waits, 1: works, 2: broken, 3: done. */
	int gang_state(const std::string &gang, uint64_t members);

      private:
	struct Gang {
		std::set<std::string> present;
		bool broken = false;
		bool done = false;
	};

	std::map<std::string, Gang> gangs;
	std::string left_prefix;
	int left_count = 0;
	int order_count = 0;
	std::vector<std::string> left_by;
	std::mutex lock;
	std::vector<Start> all;
	std::map<std::pair<std::string, std::string>, int> counts;
};

struct MinionOptions {
	std::string id;
	std::string address;
	std::string zone = "z-a";
	std::string kind = "a";
	std::string rack = "r1";
	uint64_t cpu = 4000;
	uint64_t memory = 16000;
	uint64_t beat_ms = 1100;
	uint64_t first_beat_ms = 0; /* pause between a start and the first heartbeat */
	bool guards = true;	    /* rejects what does not fit */
	uint64_t hold_max_ms = 6000;
	uint64_t gang_wait_ms = 3000;
	uint64_t late_ms = 6000; /* until a start that was left is carried out */
};

/*
 * A minion that speaks the pages' protocol. A spec "ms=N cpu=M gang=K save=1" says how long its
 * tasks work, what they take of the room, how many of them form a gang, and that they save their
 * progress each second; without ms they last.
 */
class Minion
{
      public:
	Minion(MinionOptions options, const Setup &setup, Log &log);
	~Minion();
	Minion(const Minion &) = delete;
	Minion &operator=(const Minion &) = delete;

	/* It is gone, runs nothing and answers nothing, until restart(). */
	void crash();
	/* A new life under the same id and address. */
	void restart();
	/* Changes what the next life is. */
	void become(const std::string &kind, uint64_t cpu);
	/* How far the time of day is ahead on its machine from now on. */
	void clock_step(uint64_t ahead_ms);
	/* While it is cut off nothing reaches it and nothing leaves it; its tasks run on. */
	void cut(bool on);

	bool has(const std::string &task_prefix);
	const std::string &id() const
	{
		return options.id;
	}

      private:
	struct Reply {
		int status = 0;
		std::string body;
	};

	void listen_start();
	void accept_loop(int fd, uint64_t life);
	void serve(int fd, uint64_t life);
	void beat_loop();
	void work_loop();
	bool gone(uint64_t life);
	bool wait_while_cut(uint64_t life);
	/* Carries out a start that was left, if the life goes on. */
	void carry_out_late(const std::string &instance, const std::string &body, uint64_t life);
	Reply answer(const std::string &path, const std::string &instance, const std::string &body,
		     uint64_t life);
	Reply run_start(const std::string &body);
	Reply run_stop(const std::string &body);
	Reply hold(const std::string &body, std::unique_lock<std::mutex> &guard, uint64_t life);
	Reply plain(int status, const std::string &reason) const;
	std::string lists(uint64_t seen) const;
	std::string heartbeat_body();
	uint64_t clock_ms() const;
	uint64_t used() const;
	void extend(uint64_t deadline_ms);
	void end_run(const std::string &task, const std::string &how);
	/* How the run ends now; empty: it goes on. */
	std::string run_step(Run &run);

	MinionOptions options;
	const Setup &setup;
	Log &log;
	std::mutex lock;
	std::condition_variable changed;
	bool stopping = false;
	bool up = false;
	bool is_cut = false;
	uint64_t life = 0;
	uint64_t born = 0;
	uint64_t ahead = 0; /* of its machine's time of day */
	uint64_t life_start_ms = 0;
	uint64_t sequence = 0;
	uint64_t fence = 0;
	uint64_t deadline = 0;
	uint64_t next_end = 1;
	std::map<std::string, Run> running;
	std::map<std::string, uint64_t> closed; /* highest run stopped or ended, by task */
	std::vector<End> ends;
	int listen_fd = -1;
	std::set<int> connections;
	std::list<std::thread> threads;
	std::thread beats;
	std::thread work;
};

/* Waits until the condition holds; false after the time. */
bool eventually(uint64_t timeout_ms, const std::function<bool()> &condition);

/* Sends the first configuration until it is accepted. */
bool configure(const Setup &setup, bool guards, uint64_t max_attempts);
/* Sends a version of it in which the route has this name. */
bool configure_version(const Setup &setup, uint64_t version, const std::string &route, bool guards,
		       uint64_t max_attempts);

struct Step {
	uint64_t count = 1;
	uint64_t cpu = 1000;
	uint64_t memory = 100;
	uint64_t estimated_ms = 1000;
	std::string more; /* further members, with a comma in front */
};

/* A client's submission, sent again as the pages say; the last status. */
int submit(const Setup &setup, const std::string &id, const std::string &spec,
	   const std::vector<Step> &steps);
Answer state(const Setup &setup, const std::string &id);
Answer pending(const Setup &setup);
/* Sent until there is a 2xx or 410. */
Answer cancel(const Setup &setup, const std::string &id);
std::string job_id(int number);

#endif
