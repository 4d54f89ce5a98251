// How many requests at once each server takes uncrowded, learned from its latency and its reports.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kSteady = 0.02;      // the same in the average whose floor is the uncrowded latency
constexpr double kHintBase = 1.25;    // times the guessed work, that an uncrowded answer takes at the most
constexpr double kBaseDrift = 0.001;  // how fast the uncrowded latency follows upwards
constexpr double kBusySpare = 0.07;   // utilisation kept free of growth, times the root of the gateways
constexpr double kBusyGain = 4;       // how hard limits shrink beyond that
constexpr double kBusyWeight = 0.3;   // weight of a new report in a server's utilisation
constexpr double kSpareBusy = 0.6;    // utilisation above which spare traffic is held back
constexpr double kSpareShare = 0.3;   // part of a limit open to traffic beyond its share
constexpr double kHeadroom = 1.0;     // growth of a limit, times its root: small servers grow little
constexpr double kStartLimit = 8;     // requests, over all gateways, that an unmeasured server is given
constexpr double kGuessStart = 2.5;   // the same where clients guess the work: growth follows as it fits
constexpr double kReportStart = 2;    // the same where servers report: growth follows as they show room

bool Policy::Impl::Ready(Backend& b, bool in_share) {
  // Where many share a server, a limit each would be a fraction of a request, learned from next to nothing.
  if (Many()) return WithinBudget(b);
  if (now_ < b.rests_until) return false;
  const double part = in_share || b.kind->busy < kSpareBusy ? 1 : kSpareShare;
  return b.in_flight < b.places * part && WithinBudget(b);
}

// How far its report says that a server is too busy for gateways that don't know what the others send next.
double Policy::Impl::Overuse(const Backend& b) const {
  return (b.busy + b.kind->busy) / 2 - (1 - kBusySpare * std::sqrt(set_.gateways));
}

void Policy::Impl::Hear(Backend& b, const std::vector<double>& load) {
  if (busy_at_ >= load.size() || !(load[busy_at_] >= 0)) return;
  const double busy = std::min(load[busy_at_], kMostBusy);
  Adjust(b, busy);
  b.busy += kBusyWeight * (busy - b.busy);
  b.kind->busy += kBusyWeight / 3 * (busy - b.kind->busy);
}

// Learns the limit of own requests that a server takes uncrowded, from how its latency grows. Where clients
// guess the work, a sample counts by it: a mean of ratios says less than the ratio of the means.
void Policy::Impl::Measure(Backend& b, double sample, double work, bool served) {
  ++b.samples;
  ++measured_;
  b.latency += Gain(kFast, b.samples, work) * (sample - b.latency);
  Kind& k = *b.kind;
  ++k.samples;
  k.latency += Gain(kFast / 2, k.samples, work) * (sample - k.latency);
  if (served) LearnBase(b, sample, work);
  if (b.base <= 0) return;
  const double ratio = std::sqrt(b.latency / b.base * k.latency / k.base);
  const double overuse = Overuse(b);
  const double gradient = std::clamp(std::min(Slack() / ratio, 1 - kBusyGain * overuse), 0.2, 1.0);
  const double growth = overuse > 0 || !served ? 0 : kHeadroom * std::sqrt(b.limit / sharers_);
  const double target = b.limit * gradient + growth;
  if (target > b.limit && 2.0 * (b.in_flight + 1) < b.limit) return;  // not in use: no evidence
  b.limit = std::max(LeastLimit(), b.limit + (target - b.limit) / std::max(2.0, b.limit));
}

void Policy::Impl::LearnBase(Backend& b, double sample, double work) {
  Kind& k = *b.kind;
  k.steady += Gain(kSteady, k.samples, work) * (sample - k.steady);
  if (k.samples < 20 || k.steady < k.base) k.base = k.steady;
  k.base += kBaseDrift / 4 * (k.steady - k.base);
  b.steady += Gain(kSteady, b.samples, work) * (sample - b.steady);
  const double known = std::min(1.0, b.samples * kSteady);
  b.base = known < 1 ? known * b.steady + (1 - known) * k.base : std::min(b.base, b.steady);
  b.base += kBaseDrift * (b.latency - b.base);
  // Who starts in a jam has met no uncrowded answer: there a guess counts until enough was measured.
  if (known < 1 && mean_cost_ > 0) {
    const Millis most = kHintBase * mean_cost_ / b.info.weight;
    b.base = std::min(b.base, most);
    k.base = std::min(k.base, most);
  }
}

// A server that keeps warm for its keys holds more before it is crowded, from the start on.
double Policy::Impl::StartLimit() const {
  const double most = mean_cost_ > 0 ? kGuessStart : kStartLimit;
  return (busy_at_ < set_.load_report_fields.size() ? kReportStart : most * Slack() / kSlack) / sharers_;
}

}  // namespace opalswitch
