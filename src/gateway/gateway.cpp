#include "gateway/gateway.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>
#include <string_view>
#include <utility>
#include <variant>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Millis kMargin = 10;     // before a client leaves: answers travel, and timers may come late
constexpr Millis kLastMargin = 4;  // before it leaves: what the policy has not answered by then is failed
constexpr Millis kFlush = 200;     // for the last answers to leave
constexpr Millis kAskAgain = 200;  // where lists are pushed: from a call that failed to the next
constexpr std::size_t kSpareSockets = 24;  // listener, discovery, standard streams, the loop's own, and room
constexpr double kHostShare = 0.45;  // of the descriptors left; an attempt out holds one, as its client does
constexpr double kUsualShare = 0.3;  // of all descriptors: clients hold a third of them at the most
constexpr double kBodyShare = 0.15;  // of the memory: bodies are held twice while they are passed on
constexpr double kMostLoad = 1e6;    // no host can report more of anything

// Descriptors that may be used, by the configuration and by the system.
std::size_t Usable(std::size_t configured) {
  rlimit limit{};
  std::size_t all = configured;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    all = std::min<std::size_t>(configured, limit.rlim_cur);
  }
  return all > 2 * kSpareSockets ? all - kSpareSockets : all / 2;
}

std::size_t HostSockets(std::size_t configured) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(Usable(configured)) * kHostShare));
}

// The module is told how many attempts there are descriptors for.
Settings Fitted(const Config& config) {
  Settings settings = config.settings;
  settings.most_out = static_cast<int>(HostSockets(config.sockets));
  return settings;
}

ClientLimits LimitsFor(const Config& config) {
  ClientLimits limits;
  const std::size_t usable = Usable(config.sockets), hosts = HostSockets(config.sockets);
  limits.sessions = usable > hosts ? usable - hosts : 1;
  limits.usual = static_cast<std::size_t>(static_cast<double>(config.sockets) * kUsualShare);
  limits.body_bytes = static_cast<std::uint64_t>(std::max(1.0, config.memory_mb * kBodyShare) * (1 << 20));
  return limits;
}

// "inflight=7,util=0.61" in the order of the settings' fields; what is missing is not a number. A report that
// can't be read in any part, or tells what no host can have, is none.
std::vector<double> ParseLoad(std::string_view text, const std::vector<std::string>& fields) {
  if (text.empty()) return {};
  std::vector<double> load(fields.size(), std::numeric_limits<double>::quiet_NaN());
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    double value = 0;
    const char* const last = pair.data() + pair.size();
    const auto [end, error] = std::from_chars(pair.data() + equals + 1, last, value);
    if (error != std::errc() || end != last || !(value >= 0 && value <= kMostLoad)) return {};
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
    if (field != fields.end()) load[static_cast<std::size_t>(field - fields.begin())] = value;
  }
  return load;
}

std::string Seconds(Millis ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", ms / 1000);
  return text;
}

ServerNews ToNews(const HostList& list) {
  ServerNews news;
  news.kind = list.complete ? ServerNews::Kind::kFull : ServerNews::Kind::kDelta;
  for (const Host& host : list.hosts) news.servers.push_back(host.server);
  return news;
}

// The request that an event is about; empty if it is about none.
std::string RequestOf(const Event& event) {
  if (const auto* request = std::get_if<Request>(&event)) return request->id;
  if (const auto* outcome = std::get_if<Outcome>(&event)) return outcome->request;
  if (const auto* gone = std::get_if<ClientGone>(&event)) return gone->request;
  return {};
}

}  // namespace

// Hosts and clients have descriptors of their own: both sides together stay under the limit.
Gateway::Gateway(asio::io_context& io, const Config& config)
    : io_(io),
      settings_(Fitted(config)),
      policy_(settings_, config.seed),
      hosts_(io, {config.dial_timeout, config.idle_timeout, HostSockets(config.sockets)}),
      discovery_(io, config.discovery, config.known.revision,
                 {[this](const HostList& list) { Told(list); }, [this] { ListFailed(); }}),
      stop_(io),
      ask_again_(io),
      clients_(io, config.listen, LimitsFor(config), config.settings,
               {[this] { return listed_ && !stopping_; },
                [this](ClientRequest request) { Take(std::move(request)); },
                [this](const std::string& id) {
                  if (Flow* const flow = Find(id)) {
                    flow->answered = true;  // nothing is owed any more
                    flow->http.reset();
                    flow->overdue.cancel();
                  }
                  Report(ClientGone{id});
                }}) {
  Told(config.known);
  if (!settings_.ask_for_list) discovery_.Watch();
}

void Gateway::Reload(const Config& config) { discovery_.Move(config.discovery); }

void Gateway::Take(ClientRequest request) {
  if (flows_.contains(request.id)) {  // two answers for one id could not be told apart
    HttpResponse response(http::status::conflict, 11);
    response.body() = "Req-Id is in use\n";
    response.keep_alive(false);
    return request.answer(std::move(response));
  }
  Flow& flow = flows_.try_emplace(request.id, io_).first->second;
  flow.http = std::make_shared<const HttpRequest>(std::move(request.http));
  flow.answer = std::move(request.answer);
  const Millis gives_up = request.received + request.allowed;
  flow.leaves_at = gives_up - kMargin;
  flow.overdue.expires_after(Span(gives_up - kLastMargin - Now()));
  flow.overdue.async_wait([this, id = request.id](error_code ec) {
    if (!ec) Overdue(id);
  });
  Report(Request{request.id, request.class_name, request.tenant, request.key, flow.leaves_at - Now(),
                 request.retry});
}

void Gateway::Told(const HostList& list) {
  hosts_.Update(list);  // first: nothing may be sent by the old list any more
  listed_ = listed_ || !list.hosts.empty();
  Report(ToNews(list));
}

void Gateway::ListFailed() {
  Report(ServerNews{ServerNews::Kind::kFailed, {}});
  if (settings_.ask_for_list) return;  // the policy says when to ask again
  ask_again_.expires_after(Span(kAskAgain));
  ask_again_.async_wait([this](error_code ec) {
    if (!ec) discovery_.Watch();
  });
}

void Gateway::Ended(const std::string& id, std::size_t attempt, Result result, HttpResponse response) {
  Flow* const flow = Find(id);
  if (flow == nullptr) return;
  Attempt& ended = flow->attempts[attempt];
  ended.out = false;
  const auto report = response["Srv-Load"];
  Outcome outcome{id,
                  static_cast<int>(attempt),
                  ended.host,
                  result,
                  false,
                  Now() - ended.sent,
                  ParseLoad({report.data(), report.size()}, settings_.report_fields)};
  if (result == Result::kServed) {
    StripHopByHop(response);
    response.erase("Srv-Load");
    Answer(*flow, std::move(response));
  }
  Report(std::move(outcome));
}

// The policy's own timers answer in time; this one is for when they came late.
void Gateway::Overdue(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  Answer(*flow, HttpResponse(http::status::gateway_timeout, 11));
  Report(ClientGone{id});
}

void Gateway::Report(Event event) {
  events_.push_back(std::move(event));
  if (reporting_) return;
  reporting_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    const std::string id = RequestOf(next);
    if (auto* const outcome = std::get_if<Outcome>(&next)) {
      const Flow* const flow = Find(id);
      outcome->finished = flow == nullptr || flow->answered;
    }
    actions.clear();
    policy_.handle(Now(), next, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { Do(a); }, action);
    }
    Settle(id);
  }
  reporting_ = false;
}

void Gateway::Do(const Send& send) {
  Flow* const flow = Find(send.request);
  const Millis now = Now();
  // A request that is over, or one attempt too many, is never sent, whatever was decided a moment ago.
  if (flow == nullptr || flow->answered ||
      static_cast<int>(flow->attempts.size()) >= settings_.max_attempts) {
    const int attempt = flow == nullptr ? 0 : static_cast<int>(flow->attempts.size());
    if (flow != nullptr) flow->attempts.push_back({send.server, now, 0, false});
    return Report(Outcome{send.request, attempt, send.server, Result::kNotSent, true, 0, {}});
  }
  const std::size_t index = flow->attempts.size();
  flow->attempts.push_back({send.server, now});
  const Millis until = send.timeout > 0 ? std::min(now + send.timeout, flow->leaves_at) : flow->leaves_at;
  const std::uint64_t number = hosts_.Start(
      send.server, flow->http, until, [this, id = send.request, index](Result result, HttpResponse response) {
        Ended(id, index, result, std::move(response));
      });
  flow->attempts[index].number = number;
}

void Gateway::Do(const Refuse& refuse) {
  Flow* const flow = Find(refuse.request);
  if (flow == nullptr) return;
  HttpResponse response(http::status::service_unavailable, 11);
  response.set(http::field::retry_after, Seconds(refuse.retry_after));
  Answer(*flow, std::move(response));
  Settle(refuse.request);
}

void Gateway::Do(const Fail& fail) {
  Flow* const flow = Find(fail.request);
  if (flow == nullptr) return;
  Answer(*flow, HttpResponse(http::status::bad_gateway, 11));
  Settle(fail.request);
}

void Gateway::Do(const Cancel& cancel) {
  Flow* const flow = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (flow != nullptr && attempt < flow->attempts.size()) hosts_.Cancel(flow->attempts[attempt].number);
}

void Gateway::Do(const SetTimer& timer) {
  const auto wait = std::make_shared<asio::steady_timer>(io_, Span(timer.delay));
  wait->async_wait([this, wait, name = timer.name](error_code ec) {
    if (!ec) Report(TimerDue{name});
  });
}

void Gateway::Do(const Watch&) { discovery_.Watch(); }

void Gateway::Do(const Log& log) { std::fprintf(stderr, "%s\n", log.text.c_str()); }

Gateway::Flow* Gateway::Find(const std::string& id) {
  const auto found = flows_.find(id);
  return found == flows_.end() ? nullptr : &found->second;
}

void Gateway::Answer(Flow& flow, HttpResponse response) {
  if (std::exchange(flow.answered, true)) return;
  flow.overdue.cancel();
  flow.http.reset();  // attempts that are still out have their own
  std::exchange(flow.answer, nullptr)(std::move(response));
}

void Gateway::Settle(const std::string& id) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || !found->second.answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; })) {
    flows_.erase(found);
  }
}

void Gateway::Stop(std::function<void()> done, StopTimes times) {
  if (std::exchange(stopping_, true)) return;
  const auto after = [this](Millis wait, auto next) {
    stop_.expires_after(Span(wait));
    stop_.async_wait([next = std::move(next)](error_code) { next(); });
  };
  const auto fail_rest = [this, after, done] {
    std::vector<std::string> left;
    for (const auto& [id, flow] : flows_) left.push_back(id);
    for (const std::string& id : left) Overdue(id);
    after(kFlush, done);
  };
  const auto drain = [this, after, done, times, fail_rest] {
    clients_.Drain(done);
    after(times.answer - times.serve, fail_rest);
  };
  after(times.accept, [this, after, times, drain] {
    clients_.StopListening();
    after(times.serve - times.accept, drain);
  });
}

}  // namespace opalswitch::gateway
