// The operators' file: the values that it gives, and the issues that are reported for a broken one.
#include <gtest/gtest.h>

#include <fstream>
#include <random>
#include <sstream>

#include "config/units.hpp"
#include "services_text.hpp"

namespace opalswitch::testing {
namespace {

using config::ParseServices;

// A valid file, with further lines in its pool.
std::string FileWith(const std::string& pool_lines = "") {
  return kListenerAndClasses + R"([[pool]]
id = "one"
host = [{ id = "a", address = "127.0.0.1:9001" }]
)" + pool_lines +
         R"([[route]]
id = "all"
pool = "one"
class = "view"
)";
}

std::string FormatIssues(const config::ParsedServices& parsed) {
  std::string text;
  for (const config::Issue& issue : parsed.issues) text += issue.ToString() + "\n";
  return text;
}

TEST(Units, NumbersWithoutUnitAreRefused) {
  EXPECT_EQ(config::ParseDuration("250ms"), 250);
  EXPECT_EQ(config::ParseDuration("1.5s"), 1500);
  EXPECT_EQ(config::ParseDuration("500us"), 0.5);
  EXPECT_EQ(config::ParseDuration("2m"), 120000);
  for (const char* const bad :
       {"", "5", "ms", "-1s", "1 s", "1e3ms", "infs", "nans", "0x1s", "1S", "1sec", "--1s"}) {
    EXPECT_FALSE(config::ParseDuration(bad)) << bad;
  }
  EXPECT_EQ(config::ParseSize("64KiB"), 65536u);
  EXPECT_EQ(config::ParseSize("1.5MiB"), 1572864u);
  EXPECT_EQ(config::ParseSize("2MB"), 2000000u);
  for (const char* const bad : {"", "5", "0.3B", "1K", "-1B", "9999999GiB", "1kib"}) {
    EXPECT_FALSE(config::ParseSize(bad)) << bad;
  }
}

TEST(ServicesFile, GivesValuesAndDefaults) {
  const auto parsed =
      ParseServices(FileWith("attempts = 2\nlimits = { in_flight = 7, queue = 3, requests_per_second = 5, "
                             "answer_body = \"1MiB\", clients = { guaranteed = 9, most = 20 } }\n"
                             "effects = { view = \"unsafe\" }\ntimeouts = { dial = \"1s\" }\n"),
                    "f.toml", "");
  ASSERT_TRUE(parsed.services) << FormatIssues(parsed);
  const config::Services& services = *parsed.services;
  ASSERT_EQ(services.pools.size(), 1u);
  const config::Pool& pool = services.pools[0];
  EXPECT_EQ(pool.settings.max_attempts, 2);
  EXPECT_EQ(pool.settings.max_in_flight, 7);
  EXPECT_EQ(pool.limits.max_active, 10u);
  EXPECT_EQ(pool.limits.requests_per_s, 5);
  EXPECT_EQ(pool.max_response_bytes, 1u << 20);
  EXPECT_EQ(pool.max_request_bytes, 64u << 10);
  EXPECT_EQ(pool.clients.guaranteed, 9u);
  EXPECT_EQ(pool.clients.max, 20u);
  EXPECT_EQ(pool.dial_timeout, 1000);
  EXPECT_EQ(pool.settings.classes[0].effect, Effect::kUnsafe);    // the pool's
  EXPECT_EQ(services.classes[0].settings.effect, Effect::kSafe);  // the class's
  EXPECT_EQ(services.classes[0].methods, (std::vector<std::string>{"GET", "HEAD", "OPTIONS"}));
  EXPECT_EQ(pool.membership.hosts[0].server.id, "a");
  EXPECT_EQ(services.routes[0].class_index, 0);
}

TEST(ServicesFile, ShippedExampleIsValid) {
  std::ifstream stream(std::string(SOURCE_FOLDER) + "/deploy/services.example.toml");
  std::stringstream text;
  text << stream.rdbuf();
  const auto parsed = ParseServices(text.str(), "services.example.toml", "/etc/forkwick");
  ASSERT_TRUE(parsed.services) << FormatIssues(parsed);
  EXPECT_EQ(parsed.services->pools.size(), 3u);
  EXPECT_EQ(parsed.services->pools[1].membership.file, "/etc/forkwick/menus.hosts.json");
  EXPECT_EQ(parsed.services->pools[2].settings.tenants[0].quota_per_s, 20);
}

struct ExpectedIssue {
  std::string pool_lines;  // added to the pool
  std::string prefix;      // how the line of the issue must start: position, field, value found
  std::string substring;   // what it must contain as well
};

TEST(ServicesFile, EachIssueHasPositionValueAndExpectation) {
  const std::vector<ExpectedIssue> cases = {
      {"atempts = 2\n", "f.toml:17:1: pool.one.atempts: ", "did you mean 'attempts'"},
      {"attempts = \"2\"\n", "f.toml:17:12: pool.one.attempts: found \"2\"", "whole number from 1 to 16"},
      {"attempts = 99\n", "f.toml:17:12: pool.one.attempts: found 99", "from 1 to 16"},
      {"timeouts = { dial = 250 }\n", "f.toml:17:21: pool.one.timeouts.dial: found 250", "with its unit"},
      {"timeouts = { dial = \"250\" }\n", "f.toml:17:21: pool.one.timeouts.dial: found \"250\"",
       "with its unit"},
      {"limits = { answer_body = \"1M\" }\n", "f.toml:17:26: pool.one.limits.answer_body: found \"1M\"",
       "64KiB"},
      {"limits = { answer_body = \"1GiB\" }\n", "f.toml:17:26: pool.one.limits.answer_body: found",
       "16MiB at most"},
      {"limits = { queue = 3 }\n", "f.toml:17:20: pool.one.limits.queue: ", "needs in_flight"},
      {"limits = 3\n", "f.toml:17:10: pool.one.limits: found 3", "a table"},
      {"effects = { nothing = \"safe\" }\n",
       "f.toml:17:23: pool.one.effects.nothing: ", "\"view\" \"change\""},
      {"effects = { change = \"safe\" }\n", "f.toml:17:22: pool.one.effects.change: found \"safe\"",
       "no looser"},
      {"shares = { acme = 1 }\n", "f.toml:17:19: pool.one.shares.acme: ", "no tenant"},
      {"[[pool]]\nid = \"one\"\nhost = [{ address = \"127.0.0.1:1\" }]\n",
       "f.toml:18:6: pool.one.id: found \"one\"", "line 14 has already"},
      {"[[pool]]\nid = \"two\"\nhost = [{ id = \"b\", address = \"127.0.0.1:9001\" }]\n",
       "f.toml:19:31: pool.two.host[0].address: found \"127.0.0.1:9001\"", "the same id for the same node"},
      {"[[pool]]\nid = \"two\"\n", "f.toml:17:1: pool.two.host: missing", "[[pool.host]]"},
      {"[[pool]]\nid = \"two\"\nhost = [{ address = \"localhost:80\" }]\n",
       "f.toml:19:21: pool.two.host[0].address: found", "IP address and port"},
      {"[[pool]]\nid = \"two\"\nmembership = { source = \"dns\" }\n",
       "f.toml:19:25: pool.two.membership.source: found \"dns\"", "\"static\", \"file\" or \"discovery\""},
      {"[[route]]\nid = \"r\"\npool = \"tow\"\nclass = \"view\"\npath = \"/x\"\n",
       "f.toml:19:8: route.r.pool: found \"tow\"", "one of \"one\""},
      {"[[route]]\nid = \"r\"\npool = \"one\"\npath = \"/x\"\n", "f.toml:17:1: route.r.class: missing",
       "class_header"},
      {"[[route]]\nid = \"r\"\npool = \"one\"\nclass = \"view\"\npath = \"/x\"\nmethods = [\"POST\"]\n",
       "f.toml:22:11: route.r.methods: ", "does not allow the method POST"},
      {"[[route]]\nid = \"r\"\npool = \"one\"\nclass = \"view\"\npath = \"x\"\n",
       "f.toml:21:8: route.r.path: found \"x\"", "begins with a slash"},
      {"[[route]]\nid = \"r\"\npool = \"one\"\nclass = \"view\"\nhost = \"ex.org:80\"\n",
       "f.toml:21:8: route.r.host: found \"ex.org:80\"", "without a port"},
      {"[[route]]\nid = \"r\"\npool = \"one\"\nclass = \"view\"\n",
       "f.toml:21:1: route.all: can't be reached", "\"r\" in line 17"},
      {"[[listener]]\nid = \"b\"\naddress = \"127.0.0.1\"\n",
       "f.toml:19:11: listener.b.address: found \"127.0.0.1\"", "address and port"},
      {"[[class]]\nid = \"k\"\neffect = \"keyed\"\naim = \"2s\"\ndeadline = \"1s\"\n",
       "f.toml:17:1: class.k.repeat_window: missing", "drop repeats"},
      {"[process]\ndescriptors = 100\n[[pool]]\nid = \"two\"\nhost = [{ address = \"127.0.0.1:1\" }]\n"
       "limits = { descriptors = { guaranteed = 50 } }\n",
       "f.toml:14:1: pool: ", "at most 40"},
      {"x = \n", "f.toml:17:", ""},
      {"id = \"again\"\n", "f.toml:17:", "id"},
  };
  for (const ExpectedIssue& c : cases) {
    SCOPED_TRACE(c.pool_lines);
    const auto parsed = ParseServices(FileWith(c.pool_lines), "f.toml", "");
    EXPECT_FALSE(parsed.services);
    bool is_reported = false;
    for (const config::Issue& issue : parsed.issues) {
      const std::string text = issue.ToString();
      is_reported =
          is_reported || (text.starts_with(c.prefix) && text.find(c.substring) != std::string::npos);
      EXPECT_EQ(text.find('\n'), std::string::npos) << text;
    }
    EXPECT_TRUE(is_reported) << "expected " << c.prefix << " ... " << c.substring << "\nreported:\n"
                             << FormatIssues(parsed);
  }
}

TEST(ServicesFile, AllIssuesAreReportedInOneRun) {
  const auto parsed = ParseServices(
      "[[listener]]\nid = 3\n[[class]]\nid = \"c\"\naim = \"x\"\n[[pool]]\nid = \"p\"\nwhat = "
      "1\n[[route]]\npool = \"q\"\n",
      "f.toml", "");
  const std::string issues = FormatIssues(parsed);
  for (const char* const word : {"f.toml:2:6", "listener[0].address: missing", "class.c.effect: missing",
                                 "class.c.aim: found", "class.c.deadline: missing", "pool.p.what",
                                 "pool.p.host: missing", "pool: found \"q\"", "class: missing"}) {
    EXPECT_NE(issues.find(word), std::string::npos) << word << "\n" << issues;
  }
  EXPECT_GE(parsed.issues.size(), 9u);
  const auto empty = ParseServices("", "f.toml", "");
  EXPECT_EQ(empty.issues.size(), 4u) << FormatIssues(empty);
  for (std::size_t i = 1; i < parsed.issues.size(); ++i) {
    EXPECT_LE(parsed.issues[i - 1].line, parsed.issues[i].line);  // in the order of the file
  }
}

// Seeded random input: must not crash or hang, and a file must be valid or have issues with a text.
TEST(ServicesFile, RandomInputIsValidOrHasIssues) {
  std::mt19937 random(5);
  const std::string good =
      FileWith("attempts = 2\neffects = { view = \"unsafe\" }\nlimits = { in_flight = 4, queue = 1 }\n");
  const std::vector<std::string> words = {
      "[[pool]]", "[pool.limits]", "\"",   "'", "=", "{", "}",    "[",   "]",   "\n", "id", "1e999",
      "-1",       "\"1s\"",        "true", "#", ".", ",", "\xff", "\0x", "host"};
  std::size_t bad = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string text = good;
    for (std::size_t n = 1 + random() % 4; n > 0; --n) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0: text.erase(at, 1 + random() % 12); break;
        case 1: text.insert(at, words[random() % words.size()]); break;
        case 2: text[at] = static_cast<char>(random()); break;
        default: text.insert(at, text.substr(random() % text.size(), random() % 40));
      }
      if (text.empty()) text = "x";
    }
    const auto parsed = ParseServices(text, "f.toml", "");
    EXPECT_EQ(parsed.services == nullptr, !parsed.issues.empty());
    bad += parsed.services == nullptr;
    for (const config::Issue& issue : parsed.issues) EXPECT_FALSE(issue.text.empty());
  }
  EXPECT_GT(bad, 1000u);
}

}  // namespace
}  // namespace opalswitch::testing
