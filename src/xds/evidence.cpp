#include "xds/evidence.hpp"

#include <algorithm>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMostVoices = 32;  // proxies that are heard on one host; the longest silent makes room
constexpr Millis kFresh = 10000;         // a report is heard for so long
constexpr double kFewRequests = 5;       // in a report: with less it is heard only if nobody has more
constexpr double kWeight = 0.3;          // of a new report in what Little's law is applied to

double LowerMedian(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void Evidence::Heard(const std::string& host, const std::string& proxy, const EndpointLoad& load,
                     Millis interval, Millis now) {
  if (load.served + load.failed <= 0) return;  // nothing was seen
  auto& voices = hosts_[host];
  const auto [entry, added] = voices.try_emplace(proxy);
  Said& said = entry->second;
  const double rate = (load.served + load.failed) / interval;
  const double weight = added ? 1 : kWeight;
  said.out += weight * (load.in_progress - said.out);
  said.rate += weight * (rate - said.rate);
  said.served = load.served;
  said.failed = load.failed;
  // Little's law: what is out is what comes in a second times the seconds that each takes.
  said.latency = load.latency > 0 ? load.latency : said.out > 0 ? said.out / said.rate : 0;
  said.at = now;
  if (voices.size() <= kMostVoices) return;
  const auto oldest = std::min_element(
      voices.begin(), voices.end(), [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  voices.erase(oldest);
}

std::optional<Evidence::Word> Evidence::Of(const std::string& host, Millis since, Millis now) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return std::nullopt;
  Word word;
  std::vector<double> shares, few, latencies;
  for (const auto& [proxy, said] : found->second) {
    if (said.at < since || now - said.at > kFresh) continue;
    const double all = said.served + said.failed;
    (all >= kFewRequests ? shares : few).push_back(said.failed / all);
    if (said.latency > 0) latencies.push_back(said.latency);
    word.at = std::max(word.at, said.at);
  }
  word.proxies = shares.size() + few.size();
  if (word.proxies == 0) return std::nullopt;
  word.failing = LowerMedian(shares.empty() ? few : shares);
  if (!latencies.empty()) word.latency = LowerMedian(latencies);
  return word;
}

}  // namespace opalswitch::xds
