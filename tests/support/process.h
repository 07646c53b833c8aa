#ifndef TESTS_PROCESS_H
#define TESTS_PROCESS_H

#include <sys/types.h>

#include <string>
#include <vector>

/* A child process; the destructor kills it if it still runs. */
class Process
{
      public:
	Process() = default;
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	/* Appends standard output and standard error to the log file. */
	void start(const std::vector<std::string> &args, const std::string &log_path);
	void signal(int number) const;
	/* Sends SIGSTOP and waits until all threads have stopped. */
	bool suspend() const;
	/* Returns the exit code, 128 + n after signal n, or -1 if it runs after the timeout. */
	int wait(int timeout_ms);
	/* Sends SIGKILL and waits for the exit. */
	void kill();
	bool running();

	pid_t pid = -1;
	std::string log;

      private:
	int pid_fd = -1;
	int code = -1;
};

/* The contents of a file; empty if it cannot be read. */
std::string file_read(const std::string &path);
void file_write(const std::string &path, const std::string &text);
/* A new empty folder under WL_TEST_FOLDER or the build folder, named after the running test. */
std::string folder_make();

#endif
