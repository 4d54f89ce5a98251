// Helpers that run the program under test as a child process.
#ifndef OPALSWITCH_TESTS_PROCESS_HPP_
#define OPALSWITCH_TESTS_PROCESS_HPP_

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace opalswitch::testing {

// The exit code and output of a finished run.
struct ProgramResult {
  int exit_code = -1;
  std::string output;  // standard output and standard error
};

// Runs the program with these arguments (as in a shell) and waits for its end.
inline ProgramResult RunProgram(const std::string& arguments) {
  ProgramResult result;
  std::FILE* const pipe = popen((std::string(FORKWICK_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  if (pipe == nullptr) return result;
  char buffer[4096];
  for (std::size_t size = 0; (size = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;)
    result.output.append(buffer, size);
  const int status = pclose(pipe);
  result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

// A running program. The destructor kills it if it has not exited.
class Process {
 public:
  using Variables = std::vector<std::pair<std::string, std::string>>;
  // Starts the program with these environment variables; its standard error goes to a file.
  explicit Process(const Variables& variables) : Process(variables, Arguments{}) {}
  struct Arguments {
    std::vector<std::string> list;
  };
  explicit Process(const Arguments& arguments) : Process(Variables{}, arguments) {}
  Process(const Variables& variables, const Arguments& arguments)
      : stderr_path_(::testing::TempDir() + "forkwick-err-" + std::to_string(getpid()) + "-" +
                     std::to_string(++count_)),
        pid_(fork()) {
    if (pid_ != 0) return;
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    if (std::freopen(stderr_path_.c_str(), "w", stderr) == nullptr) _exit(99);
    std::vector<char*> argv = {const_cast<char*>(FORKWICK_PROGRAM)};
    for (const std::string& argument : arguments.list) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    execv(FORKWICK_PROGRAM, argv.data());
    _exit(98);
  }
  ~Process() {
    if (!has_exited_) kill(pid_, SIGKILL);
    Wait();
    std::remove(stderr_path_.c_str());
  }

  void Terminate() { kill(pid_, SIGTERM); }
  void Kill() { kill(pid_, SIGKILL); }
  void Hangup() { kill(pid_, SIGHUP); }
  bool HasExited() {
    if (!has_exited_) has_exited_ = waitpid(pid_, &status_, WNOHANG) == pid_;
    return has_exited_;
  }
  // Waits for the end and returns the exit code; -1 if a signal ended the program.
  int Wait() {
    if (!has_exited_) has_exited_ = waitpid(pid_, &status_, 0) == pid_;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  // The most memory that the program has used so far, in MB (VmHWM); 0 if it has exited.
  double PeakMemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
    }
    return 0;
  }
  std::string StandardError() const {
    std::stringstream text;
    text << std::ifstream(stderr_path_).rdbuf();
    return text.str();
  }

 private:
  static inline int count_ = 0;
  const std::string stderr_path_;
  const pid_t pid_;
  int status_ = 0;
  bool has_exited_ = false;
};

// Waits until a forkwick-control process listens, and returns its port on loopback.
inline int AwaitControlPort(const Process& process) {
  const std::string marker = "serves xDS at 127.0.0.1:";
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (std::chrono::steady_clock::now() < end) {
    const std::string output = process.StandardError();
    const std::size_t at = output.find(marker);
    if (at != std::string::npos && output.find('\n', at) != std::string::npos)
      return std::stoi(output.substr(at + marker.size()));
    std::this_thread::yield();
  }
  ADD_FAILURE() << process.StandardError();
  return 0;
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_PROCESS_HPP_
