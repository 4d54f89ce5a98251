// opalswitch_simhost: runs Policy instances for the simulator. Reads the simulator's line protocol (wire.hpp)
// from standard input and writes replies to standard output. Exits with 1 on invalid input or an I/O error.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string>
#include <string_view>

#include "wire.hpp"

namespace {

bool WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(STDOUT_FILENO, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace

int main() {
  opalswitch::wire::SimulatorAdapter adapter;
  std::string pending;
  std::string chunk(1 << 16, '\0');
  unsigned long long line_number = 0;
  for (;;) {
    const ssize_t got = read(STDIN_FILENO, chunk.data(), chunk.size());
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) {
      std::perror("opalswitch_simhost: standard input");
      return 1;
    }
    if (got == 0) break;
    pending.append(chunk, 0, static_cast<std::size_t>(got));
    std::size_t start = 0;
    for (std::size_t end; (end = pending.find('\n', start)) != std::string::npos; start = end + 1) {
      ++line_number;
      try {
        adapter.HandleLine(std::string_view(pending).substr(start, end - start));
      } catch (const std::exception& error) {
        std::fprintf(stderr, "opalswitch_simhost: line %llu: %s\n", line_number, error.what());
        return 1;
      }
      if (const std::string reply = adapter.TakeReply(); !reply.empty() && !WriteAll(reply)) return 1;
    }
    pending.erase(0, start);
  }
  if (!pending.empty()) {
    std::fprintf(stderr, "opalswitch_simhost: line %llu: input ends inside a line\n", line_number + 1);
    return 1;
  }
  if (adapter.IsInBatch()) {
    std::fprintf(stderr, "opalswitch_simhost: line %llu: input ends inside a batch\n", line_number);
    return 1;
  }
  return 0;
}
