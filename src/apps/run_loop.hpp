// What the programs have in common: a loop that signals end, and the faults of a file.
#ifndef OPALSWITCH_APPS_RUN_LOOP_HPP_
#define OPALSWITCH_APPS_RUN_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <vector>

#include "config/services.hpp"

namespace opalswitch::apps {

// Runs the loop until a signal ends it: SIGTERM and SIGINT by `stop`, which calls what it is given at the
// end. SIGHUP calls `reload`.
void RunLoop(boost::asio::io_context& io, const std::function<void(std::function<void()>)>& stop,
             const std::function<void()>& reload);

void PrintIssues(const std::vector<config::Issue>& issues, std::FILE* to);

std::uint64_t RandomSeed();

}  // namespace opalswitch::apps

#endif  // OPALSWITCH_APPS_RUN_LOOP_HPP_
