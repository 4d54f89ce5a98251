// Request targets, authorities and the route table: each request must have one interpretation, and get the
// first route that matches it.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "routing/route_table.hpp"
#include "routing/target.hpp"

namespace opalswitch::testing {
namespace {

using routing::HeaderCondition;
using routing::Route;
using routing::RouteTable;

std::string Normalize(std::string_view path) {
  std::string error;
  return routing::NormalizePath(path, error).value_or("refused: " + error);
}

TEST(NormalizePath, EquivalentPathsHaveOneForm) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"/", "/"},
      {"/a/b", "/a/b"},
      {"/a/./b", "/a/b"},
      {"/a/../b", "/b"},
      {"/a/b/..", "/a/"},
      {"/a/b/.", "/a/b/"},
      {"/../../a", "/a"},
      {"/..", "/"},
      {"//a//b//", "/a/b/"},
      {"/a/%2e%2e/b", "/b"},
      {"/a/%2E/b", "/a/b"},
      {"/%61%7e%2d", "/a~-"},
      {"/a%2fb", "/a%2Fb"},
      {"/caf%c3%a9", "/caf%C3%A9"},
      {"/...", "/..."},
      {"/.a/..b", "/.a/..b"},
      {"/a;x=1/b,c:d@e!$&'()*+=", "/a;x=1/b,c:d@e!$&'()*+="},
  };
  for (const auto& [path, normal] : cases) EXPECT_EQ(Normalize(path), normal) << path;
}

TEST(NormalizePath, AmbiguousPathsAreRefused) {
  for (const std::string path :
       {"",        "a",         "/%",         "/%4",           "/%zz",       "/%00",          "/%0d%0a",
        "/%7f",    "/a b",      "/a\\b",      "/a\"b",         "/a#b",       "/<a>",          "/a?b",
        "/%c0%af", "/%c1%9c",   "/%e0%80%af", "/%f0%80%80%af", "/%ed%a0%80", "/%f4%90%80%80", "/%ff",
        "/%c3",    "/\xc3\xa9", "/a\x01",     "/a\x7f"}) {
    EXPECT_EQ(Normalize(path).substr(0, 8), "refused:") << path;
  }
}

// Seeded random input: must not crash or hang, and normalizing a second time must change nothing.
TEST(NormalizePath, RandomInputIsRefusedOrNormalizedOnce) {
  std::mt19937 random(7);
  const std::vector<std::string> parts = {"/",  ".", "..", "//", "%2e", "%2F", "%5c", "%25",
                                          "%",  "a", "Z~", ";x", "%c3", "%a9", "%C0", "%af",
                                          "\\", "?", "#",  "%0", "%7E", "é",   "-_",  "/../"};
  std::size_t good = 0;
  for (int i = 0; i < 200000; ++i) {
    std::string path = i % 7 == 0 ? "" : "/";
    for (std::size_t n = random() % 9; n > 0; --n) {
      path +=
          random() % 40 == 0 ? std::string(1, static_cast<char>(random())) : parts[random() % parts.size()];
    }
    std::string error;
    const auto normal = routing::NormalizePath(path, error);
    if (!normal) {
      EXPECT_FALSE(error.empty());
      continue;
    }
    ++good;
    EXPECT_EQ(Normalize(*normal), *normal) << path;
    EXPECT_EQ(normal->find("//"), std::string::npos) << path;
    EXPECT_EQ((*normal + "/").find("/../"), std::string::npos) << path;
    for (const std::string& reading : routing::AlternativeReadings(*normal)) {
      EXPECT_EQ((reading + "/").find("/../"), std::string::npos) << path;
      EXPECT_NE(reading, *normal);
    }
  }
  EXPECT_GT(good, 20000u);
}

TEST(AlternativeReadings, ListPathsThatAHostMayDecodeTo) {
  const auto has = [](std::string_view path, const std::string& reading) {
    const auto all = routing::AlternativeReadings(path);
    return std::find(all.begin(), all.end(), reading) != all.end();
  };
  EXPECT_TRUE(routing::AlternativeReadings("/a/b").empty());
  EXPECT_TRUE(routing::AlternativeReadings("/a%20b").empty());
  EXPECT_TRUE(has("/a%2Fb", "/a/b"));
  EXPECT_TRUE(has("/files/..%2Fadmin", "/admin"));
  EXPECT_TRUE(has("/a/..;x/admin", "/admin"));
  EXPECT_TRUE(has("/a/..%5Cadmin", "/admin"));
  EXPECT_TRUE(has("/a;x/b", "/a/b"));
  EXPECT_TRUE(has("/a/%2E%2E%3Bx/b", "/b"));
}

struct TargetCase {
  std::string method, text, host, path, query;
};

TEST(ParseTarget, FourFormsAreParsed) {
  const std::vector<TargetCase> cases = {
      {"GET", "/a/b?c=/d?e", "", "/a/b", "?c=/d?e"},
      {"GET", "http://Ex.Org:8080/a?b", "ex.org", "/a", "?b"},
      {"GET", "HTTP://ex.org", "ex.org", "/", ""},
      {"GET", "http://ex.org?q", "ex.org", "/", "?q"},
      {"GET", "http://[2001:DB8::0:1]:80/", "[2001:db8::1]", "/", ""},
      {"OPTIONS", "*", "", "*", ""},
      {"CONNECT", "ex.org:443", "ex.org", "", ""},
  };
  for (const TargetCase& c : cases) {
    std::string error;
    const auto target = routing::ParseTarget(c.method, c.text, error);
    ASSERT_TRUE(target) << c.text << ": " << error;
    EXPECT_EQ(target->authority.host, c.host) << c.text;
    EXPECT_EQ(target->path, c.path) << c.text;
    EXPECT_EQ(target->query, c.query) << c.text;
  }
}

TEST(ParseTarget, MalformedTargetsAreRefused) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"GET", ""},
      {"GET", "*"},
      {"GET", "a/b"},
      {"GET", "https://ex.org/"},
      {"GET", "ftp://x/"},
      {"GET", "http://"},
      {"GET", "http:///a"},
      {"GET", "http://u@ex.org/"},
      {"GET", "/a?b#c"},
      {"GET", "/a?%g0"},
      {"GET", "/a?b|c"},
      {"CONNECT", "/a"},
      {"CONNECT", "ex.org"},
      {"GET", "http://ex.org:99999/"},
      {"GET", "http://ex.org:+1/"},
      {"GET", "http://[::g]/"},
  };
  for (const auto& [method, text] : cases) {
    std::string error;
    EXPECT_FALSE(routing::ParseTarget(method, text, error)) << text;
    EXPECT_FALSE(error.empty()) << text;
  }
}

TEST(ParseAuthority, HostIsNormalizedAndMalformedOnesAreRefused) {
  const auto read = [](std::string_view text) {
    std::string error;
    const auto authority = routing::ParseAuthority(text, error);
    return authority ? authority->host + (authority->port ? ":" + std::to_string(*authority->port) : "")
                     : "refused";
  };
  EXPECT_EQ(read("Baskets.Galicia.Example.Org:80"), "baskets.galicia.example.org:80");
  EXPECT_EQ(read("ex.org."), "ex.org");
  EXPECT_EQ(read("ex.org:"), "ex.org");
  EXPECT_EQ(read(""), "");
  EXPECT_EQ(read("127.0.0.1:1"), "127.0.0.1:1");
  for (const char* const bad :
       {"a b", "u@h", "u:p@h", "h:x", "h:-1", "h:65536", ":80", "[::1", "[::1]x", "a/b", "a%2eb", "é"}) {
    EXPECT_EQ(read(bad), "refused") << bad;
  }
}

Route MakeRoute(std::string id, std::vector<std::string> hosts, std::string prefix = "") {
  Route route;
  route.id = std::move(id);
  route.hosts = std::move(hosts);
  if (!prefix.empty()) route.paths.push_back({true, std::move(prefix)});
  return route;
}

std::string MatchedRoute(const RouteTable& table, std::string_view host, std::string_view path,
                         std::string_view method = "GET", std::string_view cls = "",
                         std::vector<std::pair<std::string_view, std::string_view>> headers = {}) {
  const auto match = table.Match({host, path, method, cls, "", std::move(headers)});
  return match ? table.routes()[*match].id : "none";
}

TEST(RouteTable, FirstMatchingRouteWins) {
  Route exact = MakeRoute("exact", {"a.org"});
  exact.paths = {{false, "/x"}};
  const RouteTable table({exact, MakeRoute("wild", {"*.org"}, "/x"), MakeRoute("deep", {"a.org"}, "/x/y/z"),
                          MakeRoute("host", {"a.org"}), MakeRoute("rest", {})});
  EXPECT_EQ(MatchedRoute(table, "a.org", "/x"), "exact");
  EXPECT_EQ(MatchedRoute(table, "a.org", "/x/"), "wild");
  EXPECT_EQ(MatchedRoute(table, "a.org", "/x/y/z/w"), "wild");
  EXPECT_EQ(MatchedRoute(table, "a.org", "/xy"), "host");
  EXPECT_EQ(MatchedRoute(table, "b.a.org", "/x/1"), "wild");
  EXPECT_EQ(MatchedRoute(table, "org", "/x/1"), "rest");
  EXPECT_EQ(MatchedRoute(table, "", "/"), "rest");
  EXPECT_EQ(table.ShadowedBy(2), 1u);
  EXPECT_FALSE(table.ShadowedBy(3));
  EXPECT_FALSE(table.ShadowedBy(4));
}

TEST(RouteTable, MethodClassAndHeadersMustMatch) {
  Route post = MakeRoute("post", {}, "/a");
  post.methods = {"POST", "PUT"};
  Route cls = MakeRoute("class", {}, "/a");
  cls.classes = {"view"};
  Route beta = MakeRoute("beta", {}, "/a");
  beta.headers = {{"X-Beta", HeaderCondition::Kind::kEquals, "1"},
                  {"x-old", HeaderCondition::Kind::kAbsent, ""}};
  Route any = MakeRoute("any", {}, "/a");
  any.headers = {{"X-Any", HeaderCondition::Kind::kPresent, ""}};
  const RouteTable table({post, cls, beta, any});
  EXPECT_EQ(MatchedRoute(table, "h", "/a", "PUT"), "post");
  EXPECT_EQ(MatchedRoute(table, "h", "/a", "GET", "view"), "class");
  EXPECT_EQ(MatchedRoute(table, "h", "/a", "GET", "", {{"x-beta", "1"}}), "beta");
  EXPECT_EQ(MatchedRoute(table, "h", "/a", "GET", "", {{"x-beta", "1"}, {"x-old", ""}}), "none");
  EXPECT_EQ(MatchedRoute(table, "h", "/a", "GET", "", {{"x-any", "whatever"}}), "any");
  EXPECT_EQ(MatchedRoute(table, "h", "/a"), "none");
  EXPECT_EQ(table.header_names(), (std::vector<std::string>{"x-beta", "x-old", "x-any"}));
  const auto reasons = table.Explain({"h", "/a", "GET", "", "", {{"x-beta", "2"}}});
  ASSERT_EQ(reasons.size(), 4u);
  EXPECT_EQ(reasons[0], "method GET is not POST, PUT");
  EXPECT_EQ(reasons[1], "class '' is not view");
  EXPECT_EQ(reasons[2], "header x-beta is '2', not '1'");
  EXPECT_EQ(reasons[3], "header x-any is missing");
}

TEST(RouteTable, UnreachableRoutesAreFound) {
  Route get = MakeRoute("get", {"a.org"}, "/x");
  get.methods = {"GET"};
  Route both = MakeRoute("both", {"a.org"}, "/x");
  both.methods = {"GET", "POST"};
  Route sub = MakeRoute("sub", {"a.org"}, "/x/y");
  sub.methods = {"POST"};
  sub.headers = {{"k", HeaderCondition::Kind::kEquals, "v"}};
  Route two = MakeRoute("two", {"a.org", "b.org"}, "/x");
  two.methods = {"GET"};
  const RouteTable table({get, both, sub, two, get});
  EXPECT_FALSE(table.ShadowedBy(0));
  EXPECT_FALSE(table.ShadowedBy(1));  // POST reaches it
  EXPECT_EQ(table.ShadowedBy(2), 1u);
  EXPECT_FALSE(table.ShadowedBy(3));  // b.org reaches it
  EXPECT_EQ(table.ShadowedBy(4), 0u);
}

// The definition of a match, written out: the compiled table must agree with it.
bool MatchesByDefinition(const Route& route, const routing::Request& request) {
  const auto any = [](const auto& list, auto holds) {
    return list.empty() || std::any_of(list.begin(), list.end(), holds);
  };
  const std::string host(request.host), path(request.path);
  const auto matches_host = [&](const std::string& p) {
    if (p[0] != '*') return host == p;
    const std::string end = p.substr(1);
    return host.size() > end.size() && host.compare(host.size() - end.size(), end.size(), end) == 0;
  };
  const auto matches_path = [&](const routing::PathCondition& p) {
    return path == p.text || (p.is_prefix && path.compare(0, p.text.size() + 1, p.text + "/") == 0);
  };
  const auto matches_header = [&](const HeaderCondition& c) {
    const auto found = std::find_if(request.headers.begin(), request.headers.end(),
                                    [&](const auto& header) { return header.first == c.name; });
    if (found == request.headers.end()) return c.kind == HeaderCondition::Kind::kAbsent;
    return c.kind == HeaderCondition::Kind::kPresent ||
           (c.kind == HeaderCondition::Kind::kEquals && found->second == c.value);
  };
  return any(route.hosts, matches_host) && any(route.paths, matches_path) &&
         any(route.methods, [&](const auto& m) { return m == request.method; }) &&
         any(route.classes, [&](const auto& c) { return c == request.class_name; }) &&
         std::all_of(route.headers.begin(), route.headers.end(), matches_header);
}

// Guards against a compiled table that finds another route than trying each in turn by the definition.
TEST(RouteTable, AgreesWithLinearSearchOnRandomTables) {
  std::mt19937 random(11);
  const std::vector<std::string> hosts = {"a.org", "b.a.org", "*.org", "*.a.org", "c.net", "*.net", "org"};
  const std::vector<std::string> paths = {"/a", "/a/b", "/a/b/c", "/b", "/ab", "/a/c"};
  const std::vector<std::string> methods = {"GET", "POST"};
  const std::vector<std::string> asked_hosts = {"a.org",   "b.a.org", "x.a.org", "c.net",
                                                "d.c.net", "org",     "",        "x.y.org"};
  const std::vector<std::string> asked_paths = {"/",   "/a",   "/a/", "/a/b", "/a/b/c/d",
                                                "/ab", "/b/x", "/z",  "*"};
  const auto pick = [&](const auto& list) { return list[random() % list.size()]; };
  std::size_t matched = 0;
  for (int round = 0; round < 300; ++round) {
    std::vector<Route> routes;
    for (std::size_t i = 0, n = random() % 25; i < n; ++i) {
      Route route = MakeRoute("r" + std::to_string(i), {});
      for (std::size_t k = random() % 3; k > 0; --k) route.hosts.push_back(pick(hosts));
      for (std::size_t k = random() % 3; k > 0; --k) route.paths.push_back({random() % 2 == 0, pick(paths)});
      if (random() % 3 == 0) route.methods.push_back(pick(methods));
      if (random() % 4 == 0) route.classes.push_back(random() % 2 == 0 ? "view" : "swap");
      if (random() % 4 == 0) {
        route.headers.push_back(
            {"x-k", static_cast<HeaderCondition::Kind>(random() % 3), random() % 2 == 0 ? "1" : "2"});
      }
      routes.push_back(route);
    }
    const RouteTable table(routes);
    for (int q = 0; q < 60; ++q) {
      const std::string host = pick(asked_hosts), path = pick(asked_paths), method = pick(methods);
      routing::Request request{host, path, method, random() % 2 == 0 ? "view" : "", "", {}};
      if (random() % 2 == 0) request.headers.push_back({"x-k", random() % 2 == 0 ? "1" : "2"});
      std::optional<std::size_t> first;
      for (std::size_t i = 0; i < routes.size() && !first; ++i) {
        if (MatchesByDefinition(routes[i], request)) first = i;
      }
      ASSERT_EQ(table.Match(request), first) << host << path << method;
      matched += first.has_value();
      if (!first) continue;
      // A route that matches a request can't be shadowed.
      EXPECT_FALSE(table.ShadowedBy(*first)) << *first;
      EXPECT_EQ(table.Explain(request).size(), *first);
      for (const std::string& why : table.Explain(request)) EXPECT_FALSE(why.empty());
    }
  }
  EXPECT_GT(matched, 5000u);
}

}  // namespace
}  // namespace opalswitch::testing
