#include "chivefold/mesh/retry_budget.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Fraction of the budget that requests of each priority may use; the last
 * entry holds for all lower priorities. */
constexpr std::array<double, 3> UsableFractions{1.0, 0.85, 0.65};

} // namespace

RetryBudget::RetryBudget(const std::optional<RetryTerms> &terms, TimePoint now)
    : Terms(terms), Tokens(now) {}

std::int64_t RetryBudget::indexOf(TimePoint now) const {
  const auto span = Terms->Window / static_cast<Duration::rep>(Buckets);
  return now.time_since_epoch() / span;
}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now) {
  const auto index = indexOf(now);
  auto &out = Recent[static_cast<std::size_t>(index) % Recent.size()];
  if (out.Index != index) {
    out = {index, 0, 0};
  }
  return out;
}

std::uint32_t RetryBudget::count(std::uint32_t Bucket::*member,
                                 std::int64_t span, TimePoint now) const {
  const auto first = indexOf(now) - span;
  std::uint32_t sum = 0;
  for (const auto &it : Recent) {
    sum += it.Index >= first ? it.*member : 0;
  }
  return sum;
}

double RetryBudget::allowance(std::size_t hosts, TimePoint now) const {
  const auto requests = count(&Bucket::Requests, Buckets - 1, now);
  const auto slack =
      Terms->Slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
  return OwnFraction * (Terms->Ratio * requests + slack);
}

double RetryBudget::available(std::size_t hosts, TimePoint now) const {
  if (!Terms) {
    return 0;
  }
  const double left =
      allowance(hosts, now) - count(&Bucket::Repeats, Buckets, now);
  return std::max(0.0, left);
}

void RetryBudget::recordRequest(TimePoint now) {
  if (Terms) {
    ++bucketAt(now).Requests;
  }
}

bool RetryBudget::tryAcquire(std::uint32_t priority, std::size_t hosts,
                             TimePoint now) {
  if (!Terms) {
    return Tokens.tryAcquire(now);
  }
  const auto level =
      std::min<std::size_t>(priority, UsableFractions.size() - 1);
  const double usable = UsableFractions[level] * allowance(hosts, now);
  if (count(&Bucket::Repeats, Buckets, now) + 1 > usable) {
    return false;
  }
  ++bucketAt(now).Repeats;
  return true;
}

} // namespace chivefold
