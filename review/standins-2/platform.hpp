// The platform's side: NODE_CONFIG with the settings of a small deployment.
#ifndef FORKWICK_REVIEW_PLATFORM_HPP_
#define FORKWICK_REVIEW_PLATFORM_HPP_

#include <string>

#include "standins.hpp"

namespace review {

// The figures that the cases set; the others are those of the wire format page's example.
struct PlatformSettings {
  std::string categories;  // JSON objects, separated by commas
  int dial_timeout_ms = 200;
  int gateways = 1;
  int index = 0;  // of this gateway
  std::string seed = "8c1f30d27a5be964";
};

inline std::string CategoryJson(const std::string& name, const std::string& idempotency, int slo_ms,
                                int deadline_ms, double late_worth, int repeat_window_ms = 5000) {
  std::ostringstream out;
  out << "{\"name\":\"" << name << "\",\"idempotency\":\"" << idempotency
      << "\",\"group\":\"all\",\"sloMs\":" << slo_ms << ",\"deadlineMs\":" << deadline_ms
      << ",\"importance\":1.0,\"lateWorth\":" << late_worth << ",\"repeatWindowMs\":" << repeat_window_ms
      << ",\"streamed\":false}";
  return out.str();
}

// The text of NODE_CONFIG. `members` is the list of hosts in discovery's form.
inline std::string PlatformConfig(int listen_port, int discovery_port, const std::string& members,
                                  const PlatformSettings& settings) {
  std::ostringstream out;
  out << R"({"name":"n1","listen":")" << AddressOf(listen_port) << R"(","discovery":")"
      << AddressOf(discovery_port) << R"(","seed":")" << settings.seed
      << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)"
      << R"("known":{"revision":1,"complete":true,"members":[)" << members
      << R"(]},"settings":{"azs":["dc1"],)"
      << R"("categories":[)" << settings.categories
      << R"(],"clientHabits":{"marksRetry":false},"countedBy":"request",)"
      << R"("family":"proxy","limits":{"cancelling":true,"connIdleMs":60000.0,"cpuUsPerRequest":0.0,)"
      << R"("cpuUsPerS":500000,"dialTimeoutMs":)" << settings.dial_timeout_ms
      << R"(,"maxAttempts":4,"maxOpen":20000,"maxRetryAfterMs":2000.0,"mayProbe":true,"mayTell":false,"multiplex":1,)"
      << R"("parallelTries":false,"retryAfter":true},"machineTypes":["mid"],"membershipMode":"ask",)"
      << R"("overShareWorth":0.05,"peersTotal":)" << settings.gateways
      << R"(,"report":{"fields":[],"source":"none"},)"
      << R"("rules":{"askWithinMs":10000.0,"coldFrom":0.12,"coldMs":22000.0,"drainGraceMs":500.0,"fallMs":2000.0,)"
      << R"("fallMultiple":3.0,"graceToAnswerMs":20.0},"scoreParts":{"whole":0.4,"worstClass":0.1},"selfIndex":)"
      << settings.index << R"(,"tickMs":5.0,"tier":0,"tiers":["web"],"weights":"nominal","zone":"dc1"}})";
  return out.str();
}

inline std::map<std::string, std::string> PlatformVariables(const std::string& config_path, int listen_port,
                                                            int discovery_port) {
  return {{"NODE_NAME", "n1"},
          {"NODE_LISTEN", AddressOf(listen_port)},
          {"NODE_DISCOVERY", AddressOf(discovery_port)},
          {"NODE_CONFIG", config_path}};
}

}  // namespace review

#endif  // FORKWICK_REVIEW_PLATFORM_HPP_
