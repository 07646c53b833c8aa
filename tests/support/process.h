#ifndef TESTS_PROCESS_H
#define TESTS_PROCESS_H

#include <sys/types.h>

#include <string>
#include <vector>

/* One of our own programs, run by a test; killed with the object if it still runs. */
class Process
{
      public:
	Process() = default;
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	/* Output goes to the end of the log file. */
	void start(const std::vector<std::string> &args, const std::string &log_path);
	void signal(int number) const;
	/* The exit code, 128 + n after signal n, or -1 if it still runs after the wait. */
	int wait(int timeout_ms);
	/* Kills it and waits for its end. */
	void kill();
	bool running();

	pid_t pid = -1;
	std::string log;

      private:
	int pid_fd = -1;
	int code = -1;
};

/* A whole file, or nothing. */
std::string file_read(const std::string &path);
void file_write(const std::string &path, const std::string &text);
/* A new empty folder under WL_TEST_FOLDER or the build folder, named after the running test. */
std::string folder_make();

#endif
