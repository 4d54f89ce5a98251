// A client's request on its way from a front end into the core.
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

// Why a request is answered by the front end itself.
struct LocalReply {
  boost::beast::http::status status;
  std::string text;              // one line
  Millis retry_after = 0;        // of a refusal: 0 = no advice
  std::string allow = {};        // of a 405: the methods that would do
  std::string cause = {};        // of a refusal for want of something: what, in one word
  bool keep_connection = false;  // the request was well-formed: what follows it can be read
};

struct ClientRequest {
  HttpRequest http;
  std::string id, class_name, tenant, key;
  std::string client;                            // its address; empty if nobody is to be told
  bool is_retry = false;                         // the client's own further try
  Millis received = 0;                           // when its last byte was read
  Millis client_timeout = 0;                     // how long the client waits, from when it sent it
  Millis cost = 0;                               // the client's guess at the work; 0 = none
  std::uint64_t max_body_bytes = kMaxBodyBytes;  // bytes of body that its pool takes
  std::function<void(HttpResponse)> respond;     // to be called once; what follows is dropped
  std::shared_ptr<Pool> pool;                    // which is to serve it
  // Asks for room for a body of so many bytes, once, before it is read; null if it is never refused.
  std::function<bool(std::uint64_t)> reserve_body;
  std::shared_ptr<limits::ReadThrottle> read_throttle;  // of who is turned away; null = nobody is paced
  std::shared_ptr<void> admission;  // what it uses of its pool's limits; given back when it is answered
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_CLIENT_REQUEST_HPP_
