/**
 * @file
 * Bounds the repeated attempts at a service by what the operator allows.
 */
#ifndef CHIVEFOLD_MESH_RETRY_BUDGET_H
#define CHIVEFOLD_MESH_RETRY_BUDGET_H

#include "chivefold/core/call_policy.h"
#include "chivefold/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chivefold {

/** Repeated attempts that the operator allows at a service, summed over all
 * hosts: in each Window, Ratio times the requests for the service plus Slack.
 */
struct RetryTerms {
  double Ratio = 0;
  double Slack = 0;
  Duration Window = std::chrono::seconds(10);
};

/**
 * Budget of one host for repeated attempts at one service.
 *
 * With terms, the budget follows from the requests of the last window, whether
 * they were answered or not: a service that declines half of its requests earns
 * no fewer repeats at the time they are needed. Only half of the terms is spent
 * here. The calls of a repeated run count as repeats at the service that is
 * called, and the other half covers them. The last part of the budget is kept
 * for urgent requests. Without terms, answered requests earn tokens. Not
 * thread-safe.
 */
class RetryBudget {
public:
  /** Fraction of the terms that attempts of this daemon's own may use. */
  static constexpr double OwnFraction = 0.5;

  RetryBudget(const std::optional<RetryTerms> &terms, TimePoint now);

  /** Records the first attempt of a request. */
  void recordRequest(TimePoint now);
  /** Records a request that was answered without a server error. */
  void recordAnswer() { Tokens.recordAnswer(); }
  /** Takes one repeat from the budget. @param priority of the request; 0 is the
   * most urgent. @param hosts that share the slack; at least 1. @return whether
   * the repeat may be made. */
  bool tryAcquire(std::uint32_t priority, std::size_t hosts, TimePoint now);

  /** @return repeats that an urgent request could take now; 0 without terms. */
  double available(std::size_t hosts, TimePoint now) const;

private:
  /** Sub-intervals of a window. Repeats of one more than these are counted, so
   * that the bound holds for any position of the window. */
  static constexpr std::size_t Buckets = 20;
  struct Bucket {
    std::int64_t Index = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Repeats = 0;
  };

  std::int64_t indexOf(TimePoint now) const;
  Bucket &bucketAt(TimePoint now);
  double allowance(std::size_t hosts, TimePoint now) const;
  std::uint32_t count(std::uint32_t Bucket::*member, std::int64_t span,
                      TimePoint now) const;

  std::optional<RetryTerms> Terms;
  RetryTokens Tokens;
  std::array<Bucket, Buckets + 1> Recent{};
};

} // namespace chivefold

#endif
