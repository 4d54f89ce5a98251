// One gateway, three hosts, usual clients, and a client whose connection is silent for a while in the middle
// of one of its uploads and then goes on. Does the gateway live, and does every request get its answer?
#include "../lab.hpp"

using namespace lab;

int main() {
  Begin();
  const std::string folder = Variable("WORK");
  const bool trouble = Trouble();
  const double silence_ms = trouble ? 2400 : 0;
  const double length_ms = std::atof(Variable("LENGTH_MS", "30000").c_str());

  std::atomic<int> run{0};
  const auto host = [&](int fd) {
    std::string buffer;
    for (Message request; Read(fd, buffer, request, 1e12) == Got::kWhole;) {
      ++run;
      SleepMs(request.body.empty() ? 15 : 40);
      if (!WriteAll(
              fd, Answer("200 OK", "done " + request.Header("req-id"), "Srv-Load: inflight=1,util=0.30\r\n")))
        return;
    }
  };
  Server hosts[] = {Server(host), Server(host), Server(host)};
  std::string members;
  for (int i = 0; i < 3; ++i)
    members += (i ? "," : "") + Member("s-" + std::to_string(i + 1), hosts[i].port());
  Discovery discovery(members);

  const int port = FreePort();
  const std::string listen = "127.0.0.1:" + std::to_string(port),
                    asked = "127.0.0.1:" + std::to_string(discovery.port());
  WriteFile(
      folder + "/config.json",
      "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + asked +
          "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
          "\"known\":{\"revision\":1,\"complete\":true,\"members\":[" +
          members + "]},\"settings\":" + Settings() + "}");
  Program gateway(Variable("RUN"),
                  {{"NODE_NAME", "n1"},
                   {"NODE_LISTEN", listen},
                   {"NODE_DISCOVERY", asked},
                   {"NODE_CONFIG", folder + "/config.json"}},
                  folder + "/gateway.log");
  if (!AwaitReady(port)) return Say("the gateway is not ready"), 2;

  const double end = NowMs() + length_ms;
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0}, lost{0}, in_vain{0}, unreached{0}, slow_sent{0};
  std::vector<std::thread> threads;
  for (int k = 0; k < 8; ++k) {
    threads.emplace_back([&, k] {
      Client client(port);
      for (int i = 0; !stop && NowMs() < end; ++i) {
        const bool view = (i + k) % 3 != 0;
        const std::string id = RequestId();
        const int patience = view ? 450 : 3300;
        const auto result = client.Ask(PlatformRequest(id, view ? "basket-view" : "pause-week", patience,
                                                       view ? "" : std::string(200, 'p')),
                                       patience + 100);
        if (result.got == Got::kWhole) {
          ++answered;
        } else if (result.unwritten) {
          ++unreached;
        } else {
          // One that has no answer when its time is up has failed and is not lost.
          ++(result.got == Got::kEnd ? lost : in_vain);
          Record("client %d: %s %s: sent whole, no answer (%s)", k, view ? "basket-view" : "pause-week",
                 id.c_str(), result.got == Got::kEnd ? "the connection ended" : "time is up");
        }
        SleepMs(40);
      }
    });
  }
  // The client with the bad line: a recipe-swap with a body of 24,000 bytes in pieces of 1,200.
  threads.emplace_back([&] {
    while (!stop && NowMs() + 6000 < end) {
      const std::string id = RequestId();
      const std::string text = PlatformRequest(id, "recipe-swap", 3000, std::string(24000, 'r'));
      const int fd = Connect(port);
      if (fd < 0) break;
      const std::size_t before = 2400;
      WriteAll(fd, text.substr(0, before));
      Record("slow client: %s: %zu of %zu bytes, then silent for %.0f ms", id.c_str(), before, text.size(),
             silence_ms);
      SleepMs(silence_ms);
      bool written = true;
      for (std::size_t at = before; at < text.size() && written; at += 1200) {
        written = WriteAll(fd, text.substr(at, 1200));
        SleepMs(10);
      }
      ++slow_sent;
      std::string buffer;
      Message answer;
      const Got got = Read(fd, buffer, answer, NowMs() + 3000);
      Record("slow client: %s: went on, %s; %s", id.c_str(), written ? "all written" : "not all written",
             got == Got::kWhole ? answer.start.c_str() : "no answer");
      close(fd);
      SleepMs(300);
    }
  });
  while (NowMs() < end && gateway.Runs()) SleepMs(20);
  const bool died = !gateway.Runs();
  if (died)
    Say("the gateway %s, %.1f s after the start; nobody had signalled it", gateway.status().c_str(),
        gateway.ended_at() / 1000),
        SleepMs(500);
  stop = true;
  for (auto& thread : threads) thread.join();
  Say("uploads %s: %d; usual requests answered: %d, taken and lost: %d, out of time: %d, unreached: %d; run "
      "by hosts: %d",
      trouble ? "with a silence" : "without a silence", slow_sent.load(), answered.load(), lost.load(),
      in_vain.load(), unreached.load(), run.load());
  if (!died) gateway.End();
  if (answered < 100 && !died) return Say("too few answers: no verdict"), 2;
  const bool broken = died || lost > 0;
  Say("%s", broken ? "BROKEN" : "held");
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}
