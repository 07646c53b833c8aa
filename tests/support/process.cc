#include "process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

Process::~Process()
{
	kill();
}

void Process::start(const std::vector<std::string> &args, const std::string &log_path)
{
	std::vector<char *> words;

	for (const std::string &arg : args)
		words.push_back(const_cast<char *>(arg.c_str()));
	words.push_back(nullptr);
	log = log_path;
	code = -1;
	int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(out, STDOUT_FILENO);
		dup2(out, STDERR_FILENO);
		execv(words[0], words.data());
		_exit(127);
	}
	close(out);
	pid_fd = static_cast<int>(syscall(SYS_pidfd_open, pid, 0));
}

void Process::signal(int number) const
{
	if (pid > 0)
		::kill(pid, number);
}

bool Process::suspend() const
{
	siginfo_t state = {};

	signal(SIGSTOP);
	return waitid(P_PID, static_cast<id_t>(pid), &state, WSTOPPED) == 0 &&
	       state.si_code == CLD_STOPPED;
}

int Process::wait(int timeout_ms)
{
	pollfd ended = {pid_fd, POLLIN, 0};
	int status = 0;

	if (pid <= 0)
		return code;
	if (poll(&ended, 1, timeout_ms) <= 0 || waitpid(pid, &status, 0) != pid)
		return -1;
	close(pid_fd);
	pid = -1;
	code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
	return code;
}

void Process::kill()
{
	if (pid <= 0)
		return;
	signal(SIGKILL);
	signal(SIGCONT);
	wait(-1);
}

bool Process::running()
{
	return pid > 0 && wait(0) < 0;
}

std::string file_read(const std::string &path)
{
	std::ifstream file(path, std::ios::binary);
	std::ostringstream text;

	text << file.rdbuf();
	return text.str();
}

void file_write(const std::string &path, const std::string &text)
{
	std::ofstream(path, std::ios::binary) << text;
	chmod(path.c_str(), 0600);
}

std::string folder_make()
{
	const char *wanted = getenv("WL_TEST_FOLDER");
	std::string runs = wanted ? wanted : std::string(BUILD_DIR) + "/runs";
	const auto *test = testing::UnitTest::GetInstance()->current_test_info();
	std::string name = std::string(test->test_suite_name()) + "." + test->name();
	std::string path = runs + "/" + name + "." + std::to_string(getpid());

	std::filesystem::remove_all(path);
	std::filesystem::create_directories(path);
	return path;
}
