// Helpers that the programs share: the main loop with its signals, the output of a file's issues, and seeds.
#ifndef OPALSWITCH_APPS_RUN_LOOP_HPP_
#define OPALSWITCH_APPS_RUN_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <vector>

#include "config/services.hpp"

namespace opalswitch::apps {

// Runs the loop until the program is stopped. SIGTERM or SIGINT calls `stop`, which must call its argument
// once everything has stopped; that ends the loop. SIGHUP calls `reload`.
void RunLoop(boost::asio::io_context& io, const std::function<void(std::function<void()>)>& stop,
             const std::function<void()>& reload);

// Prints one line for each issue.
void PrintIssues(const std::vector<config::Issue>& issues, std::FILE* to);

// A seed from the system's source of randomness.
std::uint64_t RandomSeed();

}  // namespace opalswitch::apps

#endif  // OPALSWITCH_APPS_RUN_LOOP_HPP_
