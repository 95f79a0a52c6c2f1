// Calls that start and cancel each other against servers that fail at random.
#include "http_client_fixture.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <vector>

using namespace chivefold;

namespace {

/** What a server does with a request. */
enum class Fault : std::uint8_t {
  None,
  ResetBefore,
  ResetWithin,
  ResetBehind,
  CloseBehind,
  Silence
};

constexpr std::array<std::string_view, 6> FaultNames{
    "none",         "reset before", "reset within",
    "reset behind", "close behind", "silence"};

/** Serves connections on threads. Its clients must have closed theirs when it
 * is destroyed. */
class FaultyServer {
public:
  FaultyServer(std::uint64_t seed, std::vector<Fault> faults)
      : Faults(std::move(faults)), Random(seed),
        Acceptor([this] { acceptAll(); }) {}
  ~FaultyServer() {
    Listener.shutDown();
    Acceptor.join();
    for (auto &it : Connections) {
      it.join();
    }
  }
  FaultyServer(const FaultyServer &) = delete;
  FaultyServer &operator=(const FaultyServer &) = delete;

  Address address() const { return Listener.address(); }

  void heal() {
    const std::lock_guard<std::mutex> lock(Mutex);
    Faults = {Fault::None};
  }

  /** @return whether a byte of the request reached the server. */
  bool hasReceived(std::size_t request) {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Received.count(std::to_string(request)) > 0;
  }

private:
  void acceptAll() {
    for (;;) {
      auto s = std::make_shared<RawSocket>(Listener.accepted());
      if (!s->isOpen()) {
        return;
      }
      Connections.emplace_back([this, s] { serve(*s); });
    }
  }

  Fault receive(const std::string &request) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const auto from = request.find('/') + 1;
    Received.insert(request.substr(from, request.find(' ', from) - from));
    return Faults[Random() % Faults.size()];
  }

  void serve(RawSocket &s) {
    for (;;) {
      const auto request = s.readUntil("work");
      if (request.find("work") == std::string::npos) {
        return;
      }
      switch (receive(request)) {
      case Fault::None:
        s.write(OkResponse);
        break;
      case Fault::ResetBefore:
        return s.abort();
      case Fault::ResetWithin:
        s.write(OkResponse.substr(0, OkResponse.size() / 2));
        return s.abort();
      case Fault::ResetBehind:
        s.write(OkResponse);
        return s.abort();
      case Fault::CloseBehind:
        s.write(OkResponse);
        return s.reset();
      case Fault::Silence:
        s.readAll();
        return;
      }
    }
  }

  std::mutex Mutex;
  std::vector<Fault> Faults;
  std::mt19937_64 Random;
  std::set<std::string> Received;
  RawSocket Listener = RawSocket::listening();
  std::vector<std::thread> Connections;
  std::thread Acceptor;
};

enum class CallState : std::uint8_t { Open, Ended, Cancelled };

/** A client whose callbacks start and cancel calls and change its bound. */
class Churn {
public:
  static constexpr std::size_t FirstCalls = 64;
  static constexpr std::size_t MaxCalls = 400;

  Churn(std::uint64_t seed, const std::vector<Fault> &faults)
      : Random(seed), Servers{{{seed, faults}, {seed + 1, faults}}},
        Client(std::make_unique<HttpClient>(Loop, 4)) {}

  void run() {
    for (std::size_t i = 0; i < FirstCalls; ++i) {
      start();
    }
    REQUIRE(runUntil(Loop, [&] { return openCalls() == 0; }));
  }

  /** Checks that each server is reached once it is sound again. */
  void checkServiceAfterwards() {
    for (auto &it : Servers) {
      it.heal();
    }
    for (std::size_t i = 0; i < Servers.size(); ++i) {
      auto call = makeCall(i);
      call.FreshConnection = true;
      call.Deadline = Loop.now() + std::chrono::seconds(15);
      std::optional<HttpOutcome> out;
      Client->start(std::move(call),
                    [&](HttpOutcome o) { out = std::move(o); });
      REQUIRE(runUntil(Loop, [&] { return out.has_value(); }));
      CHECK(out->Response);
    }
  }

  /** Destroys the client, which has calls, after some turns of the loop. */
  void destroyBusy() {
    States.clear();
    for (std::size_t i = 0; i < FirstCalls; ++i) {
      start();
    }
    runFor(Loop, std::chrono::milliseconds(Random() % 4));
    Client.reset();
    const auto open = openCalls();
    runFor(Loop, std::chrono::milliseconds(5));
    CHECK(openCalls() == open);
  }

  /** Checks that "not sent" was true of each call of which it was said. */
  void checkCertainty() {
    Client.reset();
    for (const auto it : Unsent) {
      INFO("request " << it);
      for (auto &server : Servers) {
        CHECK_FALSE(server.hasReceived(it));
      }
    }
  }

private:
  HttpCall makeCall(std::size_t number) {
    HttpCall out;
    out.Method = "POST";
    out.Url = "http://" + toString(Servers[number % Servers.size()].address()) +
              "/" + std::to_string(number);
    out.Body = "work";
    out.Deadline = Loop.now() + std::chrono::milliseconds(2 + Random() % 100);
    out.FreshConnection = Random() % 8 == 0;
    return out;
  }

  void start() {
    const auto n = Ids.size();
    Ids.push_back(HttpCallId::None);
    States[n] = CallState::Open;
    Ids[n] = Client->start(makeCall(FirstNumber + n),
                           [this, n](const HttpOutcome &o) { onEnd(n, o); });
  }

  void onEnd(std::size_t call, const HttpOutcome &outcome) {
    // Neither inside another callback nor inside a function of the client.
    CHECK_FALSE(IsInCallback);
    CHECK(States[call] == CallState::Open);
    States[call] = CallState::Ended;
    if (!outcome.MayHaveRun) {
      Unsent.push_back(FirstNumber + call);
    }
    IsInCallback = true;
    act();
    IsInCallback = false;
  }

  void act() {
    const auto other = Random() % Ids.size();
    switch (Random() % 8) {
    case 0:
      Client->cancel(Ids[other]);
      return cancelled(other);
    case 1:
      return Client->cancelUnsent(Ids[other]) ? cancelled(other) : void();
    case 2:
      return Client->setMaxConnections(1 + Random() % 6);
    case 3:
      return Client->closeIdle();
    default:
      return Ids.size() < MaxCalls ? start() : void();
    }
  }

  void cancelled(std::size_t call) {
    if (States[call] == CallState::Open) {
      States[call] = CallState::Cancelled;
    }
  }

  std::size_t openCalls() const {
    return static_cast<std::size_t>(
        std::count_if(States.begin(), States.end(), [](const auto &it) {
          return it.second == CallState::Open;
        }));
  }

  /** Numbers of requests, after those of checkServiceAfterwards(). */
  static constexpr std::size_t FirstNumber = 10;

  std::mt19937_64 Random;
  Reactor Loop;
  std::array<FaultyServer, 2> Servers;
  std::unique_ptr<HttpClient> Client;
  std::vector<HttpCallId> Ids;
  std::map<std::size_t, CallState> States;
  std::vector<std::size_t> Unsent;
  bool IsInCallback = false;
};

/** @return how many seeds are played; more by the environment variable
 * CHIVEFOLD_CHURN_SEEDS. */
std::uint64_t seeds() {
  constexpr std::uint64_t usual = 6;
  const char *text = std::getenv("CHIVEFOLD_CHURN_SEEDS");
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

const std::vector<std::vector<Fault>> Mixes{
    {Fault::None},
    {Fault::ResetBehind},
    {Fault::ResetBefore, Fault::ResetWithin},
    {Fault::None, Fault::None, Fault::ResetBefore, Fault::ResetWithin,
     Fault::ResetBehind, Fault::CloseBehind, Fault::Silence}};

} // namespace

// Guards against calls that end twice, never, or inside another call, against
// "not sent" for a request that was sent, and against a client that no longer
// serves, after any mix of faults, cancellations and changes of its bound.
TEST_CASE("calls end once while calls, servers and bounds change",
          "[http_client]") {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    for (const auto &faults : Mixes) {
      INFO("seed " << seed << ", " << faults.size() << " faults, first "
                   << FaultNames[static_cast<std::size_t>(faults.front())]);
      Churn churn(seed, faults);
      churn.run();
      churn.checkServiceAfterwards();
      churn.destroyBusy();
      churn.checkCertainty();
    }
  }
}
