// One gateway, hosts behind a network, usual clients. Hosts turn some requests away, as always. Some answers
// are followed by a second copy of themselves, sent right behind when nothing else waits on the connection.
// Does each client get its own answer, and does no pause-week run twice?
#include "../lab.hpp"

using namespace lab;

int main() {
  Begin();
  const std::string folder = Variable("WORK");
  const bool trouble = Trouble();
  const double gap_ms = std::atof(Variable("GAP_MS", "0.5").c_str());
  const double one_way_ms = std::atof(Variable("ONE_WAY_MS", "0.3").c_str());
  const double length_ms = std::atof(Variable("LENGTH_MS", "30000").c_str());

  std::atomic<int> run{0}, declined{0}, copies{0}, held_back{0};
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> unsafe_run;  // by id: the hosts that ran it
  const auto host = [&](const std::string& name) {
    return [&, name](int fd) {
      std::string buffer;
      thread_local std::mt19937 random(std::random_device{}());
      for (Message request; Read(fd, buffer, request, 1e12) == Got::kWhole;) {
        const std::string id = request.Header("req-id");
        std::string answer;
        if (random() % 20 == 0) {
          ++declined;
          answer = Answer("503 Service Unavailable", "queue full",
                          "Srv-Declined: 1\r\nSrv-Load: inflight=1,util=0.30\r\n");
        } else {
          ++run;
          if (!request.body.empty()) {
            const std::lock_guard lock(mutex);
            unsafe_run[id].push_back(name);
          }
          SleepMs(request.body.empty() ? 15 : 30);
          answer = Answer("200 OK", "basket of " + id, "Srv-Load: inflight=1,util=0.30\r\n");
        }
        if (!WriteAll(fd, answer)) return;
        if (!trouble || random() % 20 != 0) continue;
        SleepMs(gap_ms);
        pollfd wait{fd, POLLIN, 0};
        if (!buffer.empty() || poll(&wait, 1, 0) != 0) {  // something waits, or the gateway has closed
          ++held_back;
          continue;
        }
        if (!WriteAll(fd, answer)) return;
        ++copies;
        Record("%s: a second copy of %s for %s", name.c_str(), answer.substr(9, 3).c_str(), id.c_str());
      }
    };
  };
  std::vector<std::unique_ptr<Server>> hosts;
  std::vector<std::unique_ptr<Network>> networks;
  std::string members;
  for (int i = 0; i < 4; ++i) {
    const std::string name = "s-" + std::to_string(i + 1);
    hosts.push_back(std::make_unique<Server>(host(name)));
    networks.push_back(std::make_unique<Network>(hosts.back()->port(), one_way_ms));
    members += (i ? "," : "") + Member(name, one_way_ms > 0 ? networks.back()->port() : hosts.back()->port());
  }
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
  std::atomic<int> served{0}, foreign{0}, other{0};
  std::vector<std::thread> threads;
  for (int k = 0; k < 12; ++k) {
    threads.emplace_back([&, k] {
      Client client(port);
      for (int i = 0; NowMs() < end; ++i) {
        const bool view = (i + k) % 3 != 0;
        const std::string id = RequestId();
        const int patience = view ? 450 : 3300;
        const auto result = client.Ask(PlatformRequest(id, view ? "basket-view" : "pause-week", patience,
                                                       view ? "" : std::string(200, 'p')),
                                       patience + 100);
        if (result.got != Got::kWhole || result.status != 200) {
          ++other;
        } else if (result.body == "basket of " + id) {
          ++served;
        } else {
          ++foreign;
          Record("client %d: asked %s as %s, was served 200 with '%s'", k,
                 view ? "basket-view" : "pause-week", id.c_str(), result.body.c_str());
        }
        SleepMs(std::atof(Variable("THINK_MS", "40").c_str()));
      }
    });
  }
  for (auto& thread : threads) thread.join();
  SleepMs(200);
  int twice = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, names] : unsafe_run) {
      if (names.size() < 2) continue;
      ++twice;
      Record("pause-week %s was run by %s and %s", id.c_str(), names[0].c_str(), names[1].c_str());
    }
  }
  Say("run by hosts: %d, turned away: %d; second copies: %d, left out since something waited: %d; served "
      "with their "
      "own answer: %d, with another's: %d; pause-week run twice: %d; refused or failed: %d",
      run.load(), declined.load(), copies.load(), held_back.load(), served.load(), foreign.load(), twice,
      other.load());
  const bool died = !gateway.Runs();
  if (died) return Say("the gateway %s", gateway.status().c_str()), std::fflush(nullptr), std::_Exit(2), 2;
  gateway.End();
  if (served < 100 || (trouble && copies < 20))
    return Say("too little was sent: no verdict"), std::_Exit(2), 2;
  Say("%s", foreign + twice > 0 ? "BROKEN" : "held");
  std::fflush(nullptr);
  std::_Exit(foreign + twice > 0 ? 1 : 0);
}
