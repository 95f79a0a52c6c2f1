#include "chivefold/core/poison_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>
#include <rapidcheck.h>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

constexpr auto Digest = static_cast<RequestDigest>(7);
constexpr std::size_t Fanout = 8;

/** Simulates tables that forward updates to random other tables with random
 * delays. */
class Fleet {
public:
  Fleet(std::size_t hosts, std::uint64_t seed) : Random(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Tables.emplace_back(seed + i + 1);
    }
  }

  void serverCrashed(std::size_t at, TimePoint now) {
    const Address server{"10.0.0.1", static_cast<std::uint16_t>(at + 1)};
    for (const auto &it : Tables[at].serverCrashed(server, {Digest}, now)) {
      spread(it, now);
    }
  }

  void requestAnswered(std::size_t at, TimePoint now) {
    for (const auto &it : Tables[at].requestAnswered(Digest, now)) {
      spread(it, now);
    }
  }

  /** Delivers messages until @p end. */
  void run(TimePoint end, std::size_t maxMessages) {
    while (!Messages.empty() && Messages.top().At < end &&
           Sent <= maxMessages) {
      const auto message = Messages.top();
      Messages.pop();
      if (const auto next =
              Tables[message.To].merge(message.Update, message.At)) {
        spread(*next, message.At);
      }
    }
  }

  std::size_t sent() const { return Sent; }
  bool idle() const { return Messages.empty(); }
  std::size_t suspecting() const {
    return static_cast<std::size_t>(
        std::count_if(Tables.begin(), Tables.end(),
                      [](const auto &it) { return it.size() > 0; }));
  }

private:
  struct Message {
    TimePoint At{};
    std::size_t To = 0;
    PoisonUpdate Update;
    bool operator<(const Message &other) const { return At > other.At; }
  };

  void spread(const PoisonUpdate &update, TimePoint now) {
    std::uniform_int_distribution<std::size_t> to(0, Tables.size() - 1);
    std::uniform_int_distribution<int> delay(0, 400);
    for (std::size_t i = 0; i < Fanout; ++i) {
      Messages.push({now + milliseconds(delay(Random)), to(Random), update});
      ++Sent;
    }
  }

  std::mt19937_64 Random;
  std::vector<PoisonTable> Tables;
  std::priority_queue<Message> Messages;
  std::size_t Sent = 0;
};

} // namespace

// Guards against endless forwarding of a crash and of the answer that clears
// it. When copies were identified by age, each copy arrived older than it was
// sent and was therefore treated as new.
TEST_CASE("a death and its answer fall silent", "[poison]") {
  CHECK(rc::check("each table passes a step on once", [](std::uint64_t seed) {
    const auto hosts = *rc::gen::inRange<std::size_t>(2, 80);
    const auto crashes = *rc::gen::inRange<std::size_t>(1, 3);
    const auto answerAfter = milliseconds(*rc::gen::inRange(0, 1000));
    const TimePoint start{std::chrono::hours(1)};
    Fleet fleet(hosts, seed);
    for (std::size_t i = 0; i < crashes; ++i) {
      fleet.serverCrashed(0, start + i * milliseconds(5));
    }
    const auto bound = (crashes + 1) * hosts * Fanout;
    fleet.run(start + answerAfter, bound);
    fleet.requestAnswered(hosts - 1, start + answerAfter);
    fleet.requestAnswered(0, start + answerAfter);
    fleet.run(TimePoint::max(), bound * 4);
    RC_ASSERT(fleet.idle());
    RC_ASSERT(fleet.sent() <= bound * 2);
  }));
}
