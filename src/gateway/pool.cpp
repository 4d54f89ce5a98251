#include "gateway/pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
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

// Before a client leaves: answers travel, and timers may come late. Of a short time a part, or nothing is
// left.
constexpr Millis kMargin = 10;
constexpr double kMarginPart = 0.05;
constexpr double kLastPart = 0.4;           // of that: what the policy has not answered by then is failed
constexpr std::size_t kMostHostsTold = 64;  // of a larger fleet a line would be long
constexpr double kSlowShare = 0.5;          // weight below which a host is told of as slow
constexpr double kMostLoad = 1e6;           // no host can report more of anything

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

// What a host is told of who asks, and by which way (RFC 9110 7.6.3).
void Introduce(ClientRequest& call) {
  const auto append = [&](const char* name, const std::string& value) {
    const std::string before(call.http[name]);
    call.http.set(name, before.empty() ? value : before + ", " + value);
  };
  append("Via", call.http.version() < 11 ? "1.0 forkwick" : "1.1 forkwick");
  if (!call.client.empty()) append("X-Forwarded-For", call.client);
  call.http.set("X-Forwarded-Proto", "http");
  if (call.http.count("Req-Id") == 0) call.http.set("Req-Id", call.id);
}

MembershipUpdate ToNews(const HostList& list) {
  MembershipUpdate news;
  news.kind = list.complete ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kDelta;
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

Pool::Pool(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      policy_(options_.settings, options_.seed),
      hosts_(io, options_.upstream),
      losses_(options_.settings.classes) {
  for (const ClassSettings& cls : options_.settings.classes) aims_[cls.name] = cls.aim;
}

void Pool::Submit(ClientRequest&& request) {
  if (flows_.contains(request.id)) {  // two answers for one id could not be told apart
    HttpResponse response(http::status::conflict, 11);
    response.body() = "Req-Id is in use\n";
    response.keep_alive(false);
    return request.respond(std::move(response));
  }
  Flow& flow = flows_.try_emplace(request.id, io_).first->second;
  if (options_.plain) Introduce(request);
  flow.http = std::make_shared<const HttpRequest>(std::move(request.http));
  flow.answer = std::move(request.respond);
  flow.hold = std::move(request.admission);
  flow.class_name = request.class_name;
  flow.received = request.received;
  const auto aim = aims_.find(request.class_name);
  flow.aim_at = request.received + (aim == aims_.end() ? 0 : aim->second);
  const Millis gives_up = request.received + request.client_timeout;
  const Millis margin = std::min(kMargin, kMarginPart * request.client_timeout);
  flow.leaves_at = gives_up - margin;
  flow.overdue.expires_after(ToDuration(gives_up - kLastPart * margin - Now()));
  flow.overdue.async_wait([weak = weak_from_this(), id = request.id](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) self->Overdue(id);
  });
  Report(Request{request.id, request.class_name, request.tenant, request.key, flow.leaves_at - Now(),
                 request.is_retry, request.cost});
}

void Pool::UpdateMembership(const HostList& list) {
  hosts_.Update(list);  // first: nothing may be sent by the old list any more
  listed_ = listed_ || !list.hosts.empty();
  Report(ToNews(list));
}

void Pool::Ended(const std::string& id, std::size_t attempt, Result result, HttpResponse response) {
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
                  ParseLoad({report.data(), report.size()}, options_.settings.load_report_fields)};
  if (options_.plain && result == Result::kError) {
    flow->error = std::make_shared<HttpResponse>(response);
    StripHopByHop(*flow->error);
    flow->error->erase("Srv-Load");
  }
  if (result != Result::kServed) losses_.RecordWastedAttempt(flow->class_name, result, Now() - ended.sent);
  if (result == Result::kServed) {
    if (!flow->answered)
      Ended(*flow, Now() <= flow->aim_at ? ledger::RequestOutcome::kInTime : ledger::RequestOutcome::kLate,
            "");
    StripHopByHop(response);
    response.erase("Srv-Load");
    Answer(*flow, std::move(response));
  }
  Report(std::move(outcome));
}

// The policy's own timers answer in time; this one is for when they came late.
void Pool::Overdue(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  Decline(*flow, ledger::RequestOutcome::kFailed, HttpResponse(http::status::gateway_timeout, 11), "overdue");
  Report(ClientGone{id});
}

void Pool::Report(Event event) {
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
    policy_.Handle(Now(), next, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { Do(a); }, action);
    }
    Settle(id);
  }
  reporting_ = false;
}

void Pool::Do(const Send& send) {
  Flow* const flow = Find(send.request);
  const Millis now = Now();
  // A request that is over, or one attempt too many, is never sent, whatever was decided a moment ago.
  if (flow == nullptr || flow->answered ||
      static_cast<int>(flow->attempts.size()) >= options_.settings.max_attempts) {
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

void Pool::Do(const Refuse& refuse) {
  Flow* const flow = Find(refuse.request);
  if (flow == nullptr) return;
  HttpResponse response(http::status::service_unavailable, 11);
  response.set(http::field::retry_after,
               options_.plain ? FormatRetryAfterSeconds(refuse.retry_after) : Seconds(refuse.retry_after));
  Decline(*flow, ledger::RequestOutcome::kRefused, std::move(response), CauseName(refuse.cause));
  Settle(refuse.request);
}

void Pool::Do(const Fail& fail) {
  Flow* const flow = Find(fail.request);
  if (flow == nullptr) return;
  // A host's own error is passed on. Not with a status that says "try again": it may have run.
  const unsigned status = flow->error ? flow->error->result_int() : 0;
  if (status != 0 && status != 503) {
    if (!flow->answered) Ended(*flow, ledger::RequestOutcome::kFailed, CauseName(fail.cause));
    Answer(*flow, std::move(*flow->error));
  } else {
    Decline(*flow, ledger::RequestOutcome::kFailed, HttpResponse(http::status::bad_gateway, 11),
            CauseName(fail.cause));
  }
  Settle(fail.request);
}

void Pool::Do(const Cancel& cancel) {
  Flow* const flow = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (flow != nullptr && attempt < flow->attempts.size()) hosts_.Cancel(flow->attempts[attempt].number);
}

void Pool::Do(const SetTimer& timer) {
  const auto wait = std::make_shared<asio::steady_timer>(io_, ToDuration(timer.delay));
  wait->async_wait([weak = weak_from_this(), wait, name = timer.name](error_code ec) {
    const auto self = weak.lock();
    if (ec || !self) return;
    self->Report(TimerDue{name});
    self->TellLosses();
  });
}

void Pool::Do(const Watch&) {
  if (options_.request_watch) options_.request_watch();
}

void Pool::Do(const Log& log) {
  const char* const mark = options_.name.empty() ? "" : ": ";
  std::fprintf(stderr, "%s%s%s\n", options_.name.c_str(), mark, log.text.c_str());
}

// Its own answers say why, whatever the settings: a client that can't read it loses nothing.
void Pool::Decline(Flow& flow, ledger::RequestOutcome fate, HttpResponse response, std::string_view cause) {
  if (flow.answered) return;
  Ended(flow, fate, cause);
  response.set(kCauseHeader, boost::beast::string_view(cause.data(), cause.size()));
  Answer(flow, std::move(response));
}

void Pool::Ended(const Flow& flow, ledger::RequestOutcome fate, std::string_view cause) {
  losses_.RecordRequest(flow.class_name, fate, cause, Now() - flow.received);
}

// What was lost in the last second, and which hosts then had what share of the usual: few lines, whatever the
// load.
void Pool::TellLosses() {
  const auto lines = losses_.TakeLogLines(Now());
  if (lines.empty()) return;
  for (const std::string& line : lines) Do(Log{line});
  if (hosts_.host_count() > kMostHostsTold) return;
  char at[32];
  std::snprintf(at, sizeof at, "%.1f", Now() / 1000);
  std::string line = std::string("hosts at=") + at + " out=" + std::to_string(hosts_.attempts_in_flight());
  for (const ServerStatus& verdict : policy_.ServerStatuses()) {
    char share[32];
    std::snprintf(share, sizeof share, "=%.2f", verdict.weight);
    if (verdict.ejected) line += " suspect." + verdict.server;
    if (!verdict.ejected && verdict.weight < kSlowShare) line += " slow." + verdict.server + share;
  }
  Do(Log{line});
}

Pool::Flow* Pool::Find(const std::string& id) {
  const auto found = flows_.find(id);
  return found == flows_.end() ? nullptr : &found->second;
}

void Pool::Answer(Flow& flow, HttpResponse response) {
  if (std::exchange(flow.answered, true)) return;
  flow.overdue.cancel();
  flow.http.reset();  // attempts that are still out have their own
  flow.hold.reset();
  std::exchange(flow.answer, nullptr)(std::move(response));
}

void Pool::Settle(const std::string& id) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || !found->second.answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; })) {
    flows_.erase(found);
    if (flows_.empty() && idle_) asio::post(io_, idle_);
  }
}

void Pool::MembershipUpdateFailed() { Report(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}}); }

void Pool::ClientDisconnected(const std::string& id) {
  if (Flow* const flow = Find(id)) {
    if (!flow->answered) Ended(*flow, ledger::RequestOutcome::kGone, "");
    flow->answered = true;  // nothing is owed any more
    flow->http.reset();
    flow->hold.reset();
    flow->overdue.cancel();
  }
  Report(ClientGone{id});
}

void Pool::FailPending() {
  std::vector<std::string> left;
  for (const auto& [id, flow] : flows_) left.push_back(id);
  for (const std::string& id : left) Overdue(id);
}

void Pool::DropPending() {
  idle_ = nullptr;
  const auto flows = std::exchange(flows_, {});  // what they hold may lead back here
}

void Pool::WhenIdle(std::function<void()> idle) {
  idle_ = std::move(idle);
  if (flows_.empty() && idle_) asio::post(io_, idle_);
}

}  // namespace opalswitch::gateway
