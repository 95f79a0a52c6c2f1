#include "chivefold/io/byte_budget.h"
#include "chivefold/io/edge_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace chivefold;

namespace {

constexpr std::size_t MiB = 1U << 20U;
const TimePoint Start{std::chrono::hours(1)};

/** A client that gives up whatever it holds. */
struct Client {
  explicit Client(const std::shared_ptr<ByteBudget> &budget)
      : Share(budget, [this] {
          ++GivenUp;
          Share.set(0);
        }) {}
  void receive(std::size_t n, TimePoint now) {
    Share.received(n, now);
    Share.set(Share.bytes() + n);
  }
  int GivenUp = 0;
  ByteHolder Share;
};

std::vector<std::unique_ptr<Client>>
crowd(const std::shared_ptr<ByteBudget> &budget, std::size_t n) {
  std::vector<std::unique_ptr<Client>> out;
  while (out.size() < n) {
    out.push_back(std::make_unique<Client>(budget));
  }
  return out;
}

} // namespace

TEST_CASE("clients that stopped short make room for one that gets on",
          "[byte_budget]") {
  const auto budget = std::make_shared<ByteBudget>(32 * MiB);
  const auto stalled = crowd(budget, 30);
  for (const auto &it : stalled) {
    it->receive(MiB, Start);
  }
  CHECK(budget->enforce(Start) == 0);
  Client moving(budget);
  auto now = Start + std::chrono::seconds(2);
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(50);
    moving.receive(MiB, now);
    budget->enforce(now);
  }
  CHECK(moving.GivenUp == 0);
  CHECK(moving.Share.bytes() == 20 * MiB);
  CHECK(budget->held() <= budget->largeLimit());
}

TEST_CASE("a trickle does not count as progress", "[byte_budget]") {
  const auto budget = std::make_shared<ByteBudget>(32 * MiB);
  Client trickling(budget);
  Client moving(budget);
  trickling.receive(15 * MiB, Start);
  auto now = Start;
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::milliseconds(100);
    trickling.receive(1, now);
  }
  moving.receive(17 * MiB, now);
  CHECK(budget->enforce(now) == 1);
  CHECK(trickling.GivenUp == 1);
  CHECK(moving.GivenUp == 0);
}

TEST_CASE("small requests get in while large ones hold the rest",
          "[byte_budget]") {
  const auto budget = std::make_shared<ByteBudget>(32 * MiB);
  const ByteLease running(budget, budget->largeLimit());
  Client small(budget);
  Client large(budget);
  small.receive(ByteBudget::SmallBytes, Start);
  CHECK(budget->enforce(Start) == 0);
  CHECK(budget->admits(ByteBudget::SmallBytes));
  CHECK_FALSE(budget->admits(ByteBudget::SmallBytes + 1));
  large.receive(ByteBudget::SmallBytes + 1, Start);
  CHECK(budget->enforce(Start) == 1);
  CHECK(large.GivenUp == 1);
  CHECK(small.GivenUp == 0);
}

TEST_CASE("a holder that cannot give anything up does not stop the loop",
          "[byte_budget]") {
  const auto budget = std::make_shared<ByteBudget>(MiB);
  int asked = 0;
  ByteHolder stuck(budget, [&asked] { ++asked; });
  stuck.set(2 * MiB);
  CHECK(budget->enforce(Start) == 0);
  CHECK(asked == 1);
}

TEST_CASE("a lease is counted until it ends, also after a move",
          "[byte_budget]") {
  const auto budget = std::make_shared<ByteBudget>(MiB);
  {
    ByteLease first(budget, 100);
    ByteLease second(std::move(first));
    CHECK(budget->held() == 100);
    ByteLease third;
    third = std::move(second);
    CHECK(budget->held() == 100);
  }
  CHECK(budget->held() == 0);
  CHECK(budget->peak() == 100);
}

TEST_CASE("after enforcing, holders of more than a little are within the "
          "budget",
          "[byte_budget]") {
  rc::check([] {
    const auto budget = std::make_shared<ByteBudget>(4 * MiB);
    const auto clients = crowd(budget, 20);
    auto now = Start;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange(0U, 40U * 20U));
    for (const std::size_t it : steps) {
      now += std::chrono::milliseconds(it % 7 * 100);
      clients[it % 20]->receive((it / 20) * 16384, now);
      budget->enforce(now);
      RC_ASSERT(budget->held() <= budget->limit());
    }
    std::size_t sum = 0;
    for (const auto &client : clients) {
      sum += client->Share.bytes();
    }
    RC_ASSERT(sum == budget->held());
  });
}

TEST_CASE("the default budget holds the largest body with its copy",
          "[byte_budget]") {
  const EdgeLimits limits;
  const ByteBudget budget(limits.budgetBytes());
  CHECK(budget.admits(EdgeLimits::BodyCopies * 64 * MiB +
                      4 * ByteBudget::SmallBytes));
  CHECK(limits.budgetBytes() < limits.MemoryMb * 1000 * 1000);
}

TEST_CASE("connections stay below the descriptors of the host",
          "[byte_budget]") {
  rc::check([] {
    EdgeLimits limits;
    limits.Descriptors = *rc::gen::inRange<std::size_t>(128, 1000000);
    const auto shares = limits.connections();
    RC_ASSERT(shares.Callers + shares.Admin + shares.Readiness + shares.Peers +
                  EdgeLimits::MinOwnDescriptors <=
              limits.Descriptors);
    RC_ASSERT(shares.Readiness > 0);
  });
  const auto shares = EdgeLimits().connections();
  CHECK(shares.Callers == EdgeLimits::MaxConnections);
  CHECK(shares.Peers == EdgeLimits::MaxConnections);
}
