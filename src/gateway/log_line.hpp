// The gateways' log: lines on standard error.
#ifndef OPALSWITCH_GATEWAY_LOG_LINE_HPP_
#define OPALSWITCH_GATEWAY_LOG_LINE_HPP_

#include <cstdio>
#include <string>

namespace opalswitch::gateway {

// Writes one line with the program's name in front.
inline void WriteLogLine(const std::string& text) { std::fprintf(stderr, "forkwick: %s\n", text.c_str()); }

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_LOG_LINE_HPP_
