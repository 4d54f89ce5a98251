#include "gateway/pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <cstdio>
#include <limits>
#include <sstream>
#include <string_view>
#include <utility>
#include <variant>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Time kept before the client's timeout for the response to reach the client and for timers that fire late.
// With a short timeout the margin is a fraction of it: a fixed margin would use up all the time.
constexpr Millis kResponseMarginMs = 10;
constexpr double kResponseMarginFraction = 0.05;
// The request is failed this fraction of the margin before the client's timeout if the module has not
// answered it.
constexpr double kFinalReplyFraction = 0.4;
constexpr std::size_t kMaxHostsInLogLine = 64;  // no "hosts" line for larger pools: it would be too long
constexpr double kSlowWeightFraction = 0.5;     // a host with a lower weight is logged as slow
constexpr double kMaxReportedLoad = 1e6;        // larger values in a load report are invalid

// Parses a Srv-Load header such as "inflight=7,util=0.61" into the order of `fields`; a missing field is NaN.
// Returns an empty vector if any part of the report is malformed or out of range.
std::vector<double> ParseLoadReport(std::string_view text, const std::vector<std::string>& fields) {
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
    if (error != std::errc() || end != last || !(value >= 0 && value <= kMaxReportedLoad)) return {};
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
    if (field != fields.end()) load[static_cast<std::size_t>(field - fields.begin())] = value;
  }
  return load;
}

// Adds Via (RFC 9110 7.6.3), X-Forwarded-For, X-Forwarded-Proto and, if missing, Req-Id.
void AddForwardingHeaders(ClientRequest& request) {
  const auto append = [&](const char* name, const std::string& value) {
    const std::string before(request.http[name]);
    request.http.set(name, before.empty() ? value : before + ", " + value);
  };
  append("Via", request.http.version() < 11 ? "1.0 forkwick" : "1.1 forkwick");
  if (!request.client.empty()) append("X-Forwarded-For", request.client);
  request.http.set("X-Forwarded-Proto", "http");
  if (request.http.count("Req-Id") == 0) request.http.set("Req-Id", request.id);
}

MembershipUpdate ToMembershipUpdate(const HostList& list) {
  MembershipUpdate update;
  update.kind = list.complete ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kDelta;
  for (const Host& host : list.hosts) update.servers.push_back(host.server);
  return update;
}

// Returns the id of the request that an event belongs to; empty if it belongs to none.
std::string RequestIdOf(const Event& event) {
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
      host_pool_(io, options_.upstream, [this](const std::string& line) { Execute(Log{line}); }),
      loss_recorder_(options_.settings.classes) {
  for (const ClassSettings& cls : options_.settings.classes) classes_[cls.name] = &cls;
}

void Pool::Submit(ClientRequest&& request) {
  if (IsIdInUse(request.id)) {
    HttpResponse response(http::status::conflict, 11);
    response.body() = "Req-Id is in use\n";
    response.keep_alive(false);
    return request.respond(std::move(response));
  }
  PendingRequest& pending = requests_.try_emplace(request.id, io_).first->second;
  if (options_.plain) AddForwardingHeaders(request);
  pending.http = std::make_shared<const HttpRequest>(std::move(request.http));
  pending.respond = std::move(request.respond);
  pending.admission = std::move(request.admission);
  pending.class_name = request.class_name;
  pending.received_at = request.received;
  const auto found = classes_.find(request.class_name);
  pending.aim_deadline = request.received + (found == classes_.end() ? 0 : found->second->aim);
  const Millis client_gives_up = request.received + request.client_timeout;
  const Millis margin = std::min(kResponseMarginMs, kResponseMarginFraction * request.client_timeout);
  pending.response_deadline = client_gives_up - margin;
  pending.deadline_timer.expires_after(ToDuration(client_gives_up - kFinalReplyFraction * margin - Now()));
  pending.deadline_timer.async_wait([weak = weak_from_this(), id = request.id](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) self->OnDeadline(id);
  });
  HandleEvent(Request{request.id, request.class_name, request.tenant, request.key,
                      pending.response_deadline - Now(), request.is_retry, request.cost});
}

bool Pool::IsIdInUse(const std::string& id) {
  // The module identifies requests by id.
  return requests_.contains(id) || executed_requests_.Contains(id, Now());
}

// Ids are unique on the platform, also those of clients' retries. Ordinary clients may use an id again for a
// new attempt of theirs after an answer, so there only requests without an answer are remembered.
void Pool::RememberIfExecuted(const std::string& id, const PendingRequest& pending) {
  if (options_.plain && !pending.has_client_left) return;
  const auto found = classes_.find(pending.class_name);
  if (found != classes_.end() && found->second->effect == Effect::kSafe) return;
  const auto may_have_run = [](const Attempt& attempt) { return MayHaveRun(attempt.result); };
  if (std::any_of(pending.attempts.begin(), pending.attempts.end(), may_have_run))
    executed_requests_.Add(id, Now());
}

void Pool::UpdateMembership(const HostList& list) {
  // Before the module reacts: it must not send to a host that is gone.
  const HostChanges changes = host_pool_.Update(list);
  if (!changes.IsEmpty())
    Execute(Log{FormatHostChanges(Now(), list.revision, host_pool_.host_count(), changes)});
  has_hosts_ = has_hosts_ || !list.hosts.empty();
  HandleEvent(ToMembershipUpdate(list));
}

void Pool::OnAttemptEnded(const std::string& id, std::size_t attempt, Result result, HttpResponse response) {
  PendingRequest* const pending = FindRequest(id);
  if (pending == nullptr) return;
  Attempt& ended = pending->attempts[attempt];
  ended.in_flight = false;
  ended.result = result;
  ended.duration = Now() - ended.sent_at;
  const auto report = response["Srv-Load"];
  Outcome outcome{id,
                  static_cast<int>(attempt),
                  ended.host,
                  result,
                  false,
                  ended.duration,
                  ParseLoadReport({report.data(), report.size()}, options_.settings.load_report_fields)};
  if (options_.plain && result == Result::kError) {
    pending->last_error = std::make_shared<HttpResponse>(response);
    StripHopByHop(*pending->last_error);
    pending->last_error->erase("Srv-Load");
  }
  if (result != Result::kServed)
    loss_recorder_.RecordWastedAttempt(pending->class_name, result, ended.duration);
  if (result == Result::kServed) {
    if (!pending->is_answered)
      RecordOutcome(
          *pending,
          Now() <= pending->aim_deadline ? ledger::RequestOutcome::kInTime : ledger::RequestOutcome::kLate,
          "");
    StripHopByHop(response);
    response.erase("Srv-Load");
    Respond(*pending, std::move(response));
  }
  HandleEvent(std::move(outcome));
}

// The module's timers normally answer in time; this is the fallback for timers that fire late.
void Pool::OnDeadline(const std::string& id) {
  PendingRequest* const pending = FindRequest(id);
  if (pending == nullptr || pending->is_answered) return;
  RespondWithCause(*pending, ledger::RequestOutcome::kFailed, HttpResponse(http::status::gateway_timeout, 11),
                   "overdue");
  HandleEvent(ClientGone{id});
  CancelUnsentAttempts(id);
}

void Pool::HandleEvent(Event event) {
  events_.push_back(std::move(event));
  if (handling_events_) return;
  handling_events_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    const std::string id = RequestIdOf(next);
    if (auto* const outcome = std::get_if<Outcome>(&next)) {
      const PendingRequest* const pending = FindRequest(id);
      outcome->finished = pending == nullptr || pending->is_answered;
    }
    actions.clear();
    decided_at_ = Now();
    policy_.Handle(decided_at_, next, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { Execute(a); }, action);
    }
    EraseIfFinished(id);
  }
  handling_events_ = false;
}

void Pool::Execute(const Send& send) {
  PendingRequest* const pending = FindRequest(send.request);
  const Millis now = Now();
  // The request may have ended, or reached max_attempts, since the module decided to send it: never send it
  // then.
  if (pending == nullptr || pending->is_answered ||
      static_cast<int>(pending->attempts.size()) >= options_.settings.max_attempts) {
    const int attempt = pending == nullptr ? 0 : static_cast<int>(pending->attempts.size());
    if (pending != nullptr) pending->attempts.push_back({send.server, now, 0, false});
    return HandleEvent(Outcome{send.request, attempt, send.server, Result::kNotSent, true, 0, {}});
  }
  const std::size_t index = pending->attempts.size();
  pending->attempts.push_back({send.server, now});
  if (index > 0) loss_recorder_.RecordRetry(pending->class_name);
  HostPool::AttemptTimes times;
  times.deadline = send.timeout > 0 ? std::min(now + send.timeout, pending->response_deadline)
                                    : pending->response_deadline;
  if (send.write_within > 0) times.write_by = decided_at_ + send.write_within;
  const std::uint64_t upstream_id =
      host_pool_.Start(send.server, pending->http, times,
                       [this, id = send.request, index](Result result, HttpResponse response) {
                         OnAttemptEnded(id, index, result, std::move(response));
                       });
  pending->attempts[index].upstream_id = upstream_id;
}

void Pool::Execute(const Refuse& refuse) {
  PendingRequest* const pending = FindRequest(refuse.request);
  if (pending == nullptr) return;
  HttpResponse response(http::status::service_unavailable, 11);
  response.set(http::field::retry_after, options_.plain ? FormatRetryAfterSeconds(refuse.retry_after)
                                                        : FormatSeconds(refuse.retry_after));
  RespondWithCause(*pending, ledger::RequestOutcome::kRefused, std::move(response), CauseName(refuse.cause));
  EraseIfFinished(refuse.request);
}

void Pool::Execute(const Fail& fail) {
  PendingRequest* const pending = FindRequest(fail.request);
  if (pending == nullptr) return;
  // Forward the host's own error response, except a 503: it invites a retry, but the request may have run.
  const unsigned status = pending->last_error ? pending->last_error->result_int() : 0;
  if (status != 0 && status != 503) {
    if (!pending->is_answered)
      RecordOutcome(*pending, ledger::RequestOutcome::kFailed, CauseName(fail.cause));
    Respond(*pending, std::move(*pending->last_error));
  } else {
    RespondWithCause(*pending, ledger::RequestOutcome::kFailed, HttpResponse(http::status::bad_gateway, 11),
                     CauseName(fail.cause));
  }
  EraseIfFinished(fail.request);
}

void Pool::Execute(const Cancel& cancel) {
  PendingRequest* const pending = FindRequest(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (pending != nullptr && attempt < pending->attempts.size())
    host_pool_.Cancel(pending->attempts[attempt].upstream_id);
}

void Pool::Execute(const SetTimer& timer) {
  const auto wait_timer = std::make_shared<asio::steady_timer>(io_, ToDuration(timer.delay));
  wait_timer->async_wait([weak = weak_from_this(), wait_timer, name = timer.name](error_code ec) {
    const auto self = weak.lock();
    if (ec || !self) return;
    self->HandleEvent(TimerDue{name});
    self->LogLosses();
  });
}

void Pool::Execute(const Watch&) {
  if (options_.request_watch) options_.request_watch();
}

void Pool::Execute(const Log& log) {
  const char* const separator = options_.name.empty() ? "" : ": ";
  std::fprintf(stderr, "%s%s%s\n", options_.name.c_str(), separator, log.text.c_str());
}

// Always sets the header: clients that don't know it ignore it. The HTTP server removes it if the
// configuration says so.
void Pool::RespondWithCause(PendingRequest& pending, ledger::RequestOutcome outcome, HttpResponse response,
                            std::string_view cause) {
  if (pending.is_answered) return;
  RecordOutcome(pending, outcome, cause);
  response.set(kCauseHeader, boost::beast::string_view(cause.data(), cause.size()));
  Respond(pending, std::move(response));
}

void Pool::RecordOutcome(PendingRequest& pending, ledger::RequestOutcome outcome, std::string_view cause) {
  pending.outcome = outcome;
  pending.cause = cause;
  pending.ended_at = Now();
  loss_recorder_.RecordRequest(pending.class_name, outcome, cause, pending.ended_at - pending.received_at);
}

void Pool::LogUnservedRequest(const std::string& id, const PendingRequest& pending) {
  const bool is_served =
      pending.outcome == ledger::RequestOutcome::kInTime || pending.outcome == ledger::RequestOutcome::kLate;
  if (is_served || pending.attempts.empty()) return;
  const auto suppressed = request_log_throttle_.Admit(Now());
  if (!suppressed) return;
  std::ostringstream line;
  line << "request " << id << " class=" << pending.class_name
       << " ended=" << ledger::OutcomeName(pending.outcome);
  if (!pending.cause.empty()) line << " cause=" << pending.cause;
  line << " after_ms=" << pending.ended_at - pending.received_at << " attempts=";
  for (std::size_t i = 0; i < pending.attempts.size(); ++i) {
    const Attempt& attempt = pending.attempts[i];
    line << (i > 0 ? "," : "") << attempt.host << ":" << ledger::ResultName(attempt.result) << ":"
         << attempt.duration;
  }
  if (*suppressed > 0) line << " suppressed=" << *suppressed;
  Execute(Log{line.str()});
}

// Logs what was lost since the last lines, and which hosts are ejected or have a reduced weight. At most one
// line per class and one for the hosts each second, independent of the load.
void Pool::LogLosses() {
  const auto lines = loss_recorder_.TakeLogLines(Now());
  if (lines.empty()) return;
  for (const std::string& line : lines) Execute(Log{line});
  if (host_pool_.host_count() > kMaxHostsInLogLine) return;
  char at[32];
  std::snprintf(at, sizeof at, "%.1f", Now() / 1000);
  std::string line =
      std::string("hosts at=") + at + " out=" + std::to_string(host_pool_.attempts_in_flight());
  for (const ServerStatus& status : policy_.ServerStatuses()) {
    char weight[32];
    std::snprintf(weight, sizeof weight, "=%.2f", status.weight);
    if (status.ejected) line += " suspect." + status.server;
    if (!status.ejected && status.weight < kSlowWeightFraction) line += " slow." + status.server + weight;
  }
  Execute(Log{line});
}

Pool::PendingRequest* Pool::FindRequest(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void Pool::Respond(PendingRequest& pending, HttpResponse response) {
  if (std::exchange(pending.is_answered, true)) return;
  pending.deadline_timer.cancel();
  pending.http.reset();  // attempts in flight hold their own reference
  pending.admission.reset();
  std::exchange(pending.respond, nullptr)(std::move(response));
}

void Pool::EraseIfFinished(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.is_answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; })) {
    LogUnservedRequest(id, found->second);
    RememberIfExecuted(id, found->second);
    requests_.erase(found);
    if (requests_.empty() && on_idle_) asio::post(io_, on_idle_);
  }
}

void Pool::MembershipUpdateFailed(const RetryWindow& retry) {
  HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}, retry});
}

void Pool::ClientDisconnected(const std::string& id) {
  if (PendingRequest* const pending = FindRequest(id)) {
    if (!pending->is_answered) RecordOutcome(*pending, ledger::RequestOutcome::kGone, "");
    pending->is_answered = true;  // no response is to be sent any more
    pending->has_client_left = true;
    pending->http.reset();
    pending->admission.reset();
    pending->deadline_timer.cancel();
  }
  HandleEvent(ClientGone{id});
  CancelUnsentAttempts(id);
}

// The module cancels attempts only where the settings allow it. Without this, one whose connection is still
// being established would begin when the client has left or has its answer.
void Pool::CancelUnsentAttempts(const std::string& id) {
  const PendingRequest* const pending = FindRequest(id);
  if (pending == nullptr) return;
  std::vector<std::uint64_t> in_flight;  // the request may be erased below
  for (const Attempt& attempt : pending->attempts) {
    if (attempt.in_flight) in_flight.push_back(attempt.upstream_id);
  }
  for (const std::uint64_t upstream_id : in_flight) host_pool_.CancelUnsent(upstream_id);
}

void Pool::FailPending() {
  std::vector<std::string> ids;
  for (const auto& [id, pending] : requests_) ids.push_back(id);
  for (const std::string& id : ids) OnDeadline(id);
}

void Pool::DropPending() {
  on_idle_ = nullptr;
  const auto pending = std::exchange(requests_, {});  // destroying them may call back into this pool
}

void Pool::WhenIdle(std::function<void()> on_idle) {
  on_idle_ = std::move(on_idle);
  if (requests_.empty() && on_idle_) asio::post(io_, on_idle_);
}

}  // namespace opalswitch::gateway
