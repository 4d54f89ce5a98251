// A parsed client request as the HTTP front end hands it to a pool, and the reply the gateway sends when no
// pool handles the request.
#ifndef OPALSWITCH_GATEWAY_CLIENT_REQUEST_HPP_
#define OPALSWITCH_GATEWAY_CLIENT_REQUEST_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/http_types.hpp"
#include "limits/read_throttle.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

class Pool;

// A response that the gateway writes itself, without sending the request to a pool.
struct LocalReply {
  boost::beast::http::status status;
  std::string text;              // response body, one line without the line end
  Millis retry_after = 0;        // Retry-After of a refusal; 0 omits the header
  std::string allow = {};        // Allow header of a 405 response
  std::string cause = {};        // Forkwick-Cause of a refusal; empty omits the header
  bool keep_connection = false;  // the request was well-formed, so the connection can be reused
};

// One client request. Times are milliseconds; points in time are on the clock of gateway::Now().
struct ClientRequest {
  HttpRequest http;
  std::string id, class_name, tenant, key;
  std::string client;                            // client address for X-Forwarded-For; empty omits the header
  bool is_retry = false;                         // the client marked this request as a retry of a refused one
  Millis received = 0;                           // when the last byte was read
  Millis client_timeout = 0;                     // how long the client waits for the response after sending
  Millis cost = 0;                               // the client's estimate of the processing time; 0 = none
  std::uint64_t max_body_bytes = kMaxBodyBytes;  // request body limit of the pool
  std::function<void(HttpResponse)> respond;     // sends the response; further calls are ignored
  std::shared_ptr<Pool> pool;                    // serves the request
  // Reserves memory for a body of the given size. Called at most once, before the body is read; returns false
  // if the pool's budget is exhausted. Null if the pool has no such budget.
  std::function<bool(std::uint64_t)> reserve_body;
  std::shared_ptr<limits::ReadThrottle> read_throttle;  // delays reads after refusals; null = no delay
  std::shared_ptr<void> admission;  // share of the pool's limits; released with the response
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_CLIENT_REQUEST_HPP_
