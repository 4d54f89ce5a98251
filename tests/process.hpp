// The program as a child process of a test, ended with it.
#ifndef OPALSWITCH_TESTS_PROCESS_HPP_
#define OPALSWITCH_TESTS_PROCESS_HPP_

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace opalswitch::testing {

// A run of the program to its end.
struct Said {
  int code = -1;
  std::string text;  // both streams
};

inline Said RunProgram(const std::string& arguments) {
  Said said;
  std::FILE* const pipe = popen((std::string(FORKWICK_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  if (pipe == nullptr) return said;
  char part[4096];
  for (std::size_t got = 0; (got = std::fread(part, 1, sizeof part, pipe)) > 0;) said.text.append(part, got);
  const int status = pclose(pipe);
  said.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return said;
}

class Process {
 public:
  using Variables = std::vector<std::pair<std::string, std::string>>;
  // Starts the program with the variables given; its standard error goes to a file.
  explicit Process(const Variables& variables) : Process(variables, Arguments{}) {}
  struct Arguments {
    std::vector<std::string> list;
  };
  explicit Process(const Arguments& arguments) : Process(Variables{}, arguments) {}
  Process(const Variables& variables, const Arguments& arguments)
      : errors_(::testing::TempDir() + "forkwick-err-" + std::to_string(getpid()) + "-" +
                std::to_string(++count_)),
        pid_(fork()) {
    if (pid_ != 0) return;
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    if (std::freopen(errors_.c_str(), "w", stderr) == nullptr) _exit(99);
    std::vector<char*> argv = {const_cast<char*>(FORKWICK_PROGRAM)};
    for (const std::string& argument : arguments.list) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    execv(FORKWICK_PROGRAM, argv.data());
    _exit(98);
  }
  ~Process() {
    if (!ended_) kill(pid_, SIGKILL);
    Wait();
    std::remove(errors_.c_str());
  }

  void Terminate() { kill(pid_, SIGTERM); }
  void Kill() { kill(pid_, SIGKILL); }
  void HangUp() { kill(pid_, SIGHUP); }
  bool Ended() {
    if (!ended_) ended_ = waitpid(pid_, &status_, WNOHANG) == pid_;
    return ended_;
  }
  int Wait() {  // the exit code; -1 if it was killed
    if (!ended_) ended_ = waitpid(pid_, &status_, 0) == pid_;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  std::string Errors() const {
    std::stringstream text;
    text << std::ifstream(errors_).rdbuf();
    return text.str();
  }

 private:
  static inline int count_ = 0;
  const std::string errors_;
  const pid_t pid_;
  int status_ = 0;
  bool ended_ = false;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_PROCESS_HPP_
