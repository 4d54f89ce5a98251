// Tests of the adapter for the simulator's line protocol: parsing, replies and errors on malformed lines.
#include "wire.hpp"

#include <gtest/gtest.h>

namespace opalswitch::wire {
namespace {

std::string RunLines(SimulatorAdapter& adapter, std::initializer_list<const char*> lines) {
  for (const char* line : lines) adapter.HandleLine(line);
  return adapter.TakeReply();
}

constexpr const char* kCreate =
    "CREATE 5 categories.count=1 categories.0.name=view categories.0.sloMs=500.0 "
    "categories.0.deadlineMs=1000.0 categories.0.importance=2.0 categories.0.idempotency=pure "
    "limits.maxAttempts=4 membershipMode=push new.key.of.later=1";

TEST(Wire, EmptyBatchProducesAnEmptyReply) {
  SimulatorAdapter adapter;
  EXPECT_EQ(RunLines(adapter, {"TURN 1.5", "EOF_BATCH"}), "OK\n");
}

TEST(Wire, RequestIsSentToAServerOfTheListInTheSameBatch) {
  SimulatorAdapter adapter;
  const std::string reply =
      RunLines(adapter, {"TURN 10", "INSTANCE 3", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                         "REGISTRY 0 1 C", "KNOCK t/1 view - - 400.0 - 0 extra", "EOF_BATCH"});
  EXPECT_NE(reply.find("CONTEXT 3\n"), std::string::npos);
  EXPECT_NE(reply.find("PASS_ON t/1 h1 400.000\n"), std::string::npos) << reply;
}

// The cost estimate is only parsed where the flag says that it is present; the error for an invalid one names
// the field.
TEST(Wire, ErrorForAnInvalidCostEstimateNamesTheField) {
  const auto run = [](const std::string& knock) {
    SimulatorAdapter adapter;
    return RunLines(adapter, {"TURN 10", "INSTANCE 3", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                              "REGISTRY 0 1 C", knock.c_str(), "EOF_BATCH"});
  };
  for (const char* const good : {"KNOCK t/1 view - - 400 12.5 1", "KNOCK t/1 view - - 400 - 1",
                                 "KNOCK t/1 view - - 400 oops 0", "KNOCK t/1 view - - 400 -3 3"}) {
    EXPECT_NE(run(good).find("PASS_ON t/1 h1"), std::string::npos) << good;
  }
  try {
    run("KNOCK t/1 view - - 400 oops 1");
    ADD_FAILURE() << "no error";
  } catch (const WireError& error) {
    EXPECT_NE(std::string(error.what()).find("estimateMs"), std::string::npos) << error.what();
  }
}

TEST(Wire, ListNumbersAreResolvedInTheOrderOfEvents) {
  SimulatorAdapter adapter;
  const std::string reply = RunLines(
      adapter,
      {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -", "REGISTRY 0 1 C",
       "INSTANCE 2", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h2 z k 0 up 1 -", "REGISTRY 0 1 C", "INSTANCE 1",
       "KNOCK t/1 view - - 400 - 0", "INSTANCE 2", "KNOCK t/2 view - - 400 - 0", "EOF_BATCH"});
  EXPECT_NE(reply.find("PASS_ON t/1 h1"), std::string::npos) << reply;
  EXPECT_NE(reply.find("PASS_ON t/2 h2"), std::string::npos) << reply;
}

TEST(Wire, InstanceRecreatedInOneBatchStartsWithoutState) {
  SimulatorAdapter adapter;
  RunLines(adapter, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "EOF_BATCH"});
  const std::string reply =
      RunLines(adapter, {"TURN 20", "INSTANCE 1", "CRASH_NOW", kCreate, "SNAPSHOT_ROWS 1 0", "REGISTRY 1 1 C",
                         "KNOCK t/1 view - - 400 - 0", "EOF_BATCH"});
  EXPECT_EQ(reply.find("PASS_ON"), std::string::npos) << reply;
}

// Returns the actions of one instance over `rounds` batches; `others` more instances are in the same process.
std::string ActionsOfOneInstance(int others, int rounds) {
  SimulatorAdapter adapter;
  std::string actions;
  for (int round = 0; round < rounds; ++round) {
    adapter.HandleLine("TURN " + std::to_string(10 * round));
    for (int i = 0; i <= others; ++i) {
      // The recorded instance is in the middle, so that instances before and after it could affect it.
      adapter.HandleLine("INSTANCE " + std::to_string((i + 1) % (others + 1)));
      if (round == 0) {
        for (const char* line : {kCreate, "SNAPSHOT_ROWS 0 3", "ENTRY h1 z k 0 up 1 -",
                                 "ENTRY h2 z k 0 up 1 -", "ENTRY h3 z k 0 up 1 -", "REGISTRY 0 1 C"}) {
          adapter.HandleLine(line);
        }
      }
      const std::string id = "t/" + std::to_string(round);
      adapter.HandleLine("KNOCK " + id + " view - - 400 - 0");
      if (round % 3 != 0) adapter.HandleLine("FIRED sweep");
    }
    adapter.HandleLine("EOF_BATCH");
    const std::string reply = adapter.TakeReply();
    bool is_recorded = false;
    std::size_t start = 0;
    for (std::size_t end; (end = reply.find('\n', start)) != std::string::npos; start = end + 1) {
      const std::string line = reply.substr(start, end - start);
      if (line.starts_with("CONTEXT ")) {
        is_recorded = line == "CONTEXT 0";
      } else if (is_recorded && line != "OK") {
        actions += line + "\n";
      }
    }
  }
  return actions;
}

TEST(Wire, InstanceActsTheSameAloneAndWithOthersInOneProcess) {
  const std::string alone = ActionsOfOneInstance(0, 60);
  EXPECT_NE(alone.find("PASS_ON t/0 "), std::string::npos) << alone;
  EXPECT_EQ(alone, ActionsOfOneInstance(2, 60));
}

TEST(Wire, SettingsAreParsedAndUnknownOnesIgnored) {
  const Settings settings =
      ParseSettings({"categories.1.name=b", "categories.0.name=a", "categories.count=2",
                     "categories.0.idempotency=token", "categories.0.group=cell", "projects.0.quotaPerS=12.5",
                     "limits.retryAfter=true", "limits.maxRetryAfterMs=600.0", "familyInfo.warmKeys=true",
                     "report.fields=inflight,util", "who.knows=this"});
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].name, "a");
  EXPECT_EQ(settings.classes[0].effect, Effect::kKeyed);
  EXPECT_EQ(settings.classes[0].group, DeduplicationScope::kCell);
  EXPECT_EQ(settings.tenants.at(0).quota_per_s, 12.5);
  EXPECT_EQ(settings.max_retry_after, 600);
  EXPECT_TRUE(settings.sends_retry_after && settings.has_key_affinity);
  EXPECT_EQ(settings.load_report_fields, (std::vector<std::string>{"inflight", "util"}));
}

TEST(Wire, InstanceRecreatedWithAttemptsInFlightKeepsNoneOfThem) {
  SimulatorAdapter adapter;
  RunLines(adapter, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "KNOCK t/1 view - - 400 - 0", "EOF_BATCH"});
  const std::string reply = RunLines(
      adapter, {"TURN 20", "INSTANCE 1", "CRASH_NOW", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                "REGISTRY 0 1 C", "COMPLETED t/1 0 h1 10 1 5.0 -", "EXPIRED t/1", "EOF_BATCH"});
  EXPECT_EQ(reply.find("t/1"), std::string::npos) << reply;
}

class MalformedLine : public ::testing::TestWithParam<const char*> {};

TEST_P(MalformedLine, Throws) {
  SimulatorAdapter adapter;
  RunLines(adapter, {"TURN 10", "INSTANCE 1", kCreate, "EOF_BATCH"});
  adapter.HandleLine("TURN 11");
  adapter.HandleLine("INSTANCE 1");
  EXPECT_THROW(adapter.HandleLine(GetParam()), WireError) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Lines, MalformedLine,
                         ::testing::Values("BOGUS 1", "TURN x", "TURN 12", "KNOCK t/1 view - - abc - 0",
                                           "KNOCK t/1", "COMPLETED t/1 0 h 99 1 5.0 -",
                                           "COMPLETED t/1 0 h 10 maybe 5.0 -", "ENTRY h z k 0 up 1 -",
                                           "SNAPSHOT_ROWS 16 0", "REGISTRY 0 1 Q", "INSTANCE one",
                                           "CREATE notanumber", "CREATE 5 novalue", "CREATE 5 zone=a",
                                           "KNOCK t/1 view - - nan - 0", ""));

TEST(Wire, EventForAnUnknownInstanceThrows) {
  SimulatorAdapter adapter;
  adapter.HandleLine("TURN 1");
  adapter.HandleLine("INSTANCE 9");
  EXPECT_THROW(adapter.HandleLine("FIRED sweep"), WireError);
}

}  // namespace
}  // namespace opalswitch::wire
