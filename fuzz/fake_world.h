/**
 * @file
 * Steps, traces, log and transport shared by the fuzzed worlds.
 */
#ifndef CHIVEFOLD_FUZZ_FAKE_WORLD_H
#define CHIVEFOLD_FUZZ_FAKE_WORLD_H

#include "../tests/unit/log_builder.h"
#include "chivefold/core/control_state.h"

#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace fuzz {

/** One command; Kind is an index into World::kinds(). */
struct Step {
  unsigned Kind = 0;
  unsigned A = 0;
  unsigned B = 0;
};
using Trace = std::vector<Step>;

struct StepKind {
  const char *Name;
  /** Relative frequency among generated steps. */
  std::size_t Weight;
};

/** A deliberately wrong decision and the promise that it must be seen to break.
 */
struct WrongDecision {
  std::string Name;
  std::string Promise;
};

inline std::ostream &operator<<(std::ostream &os, const Step &s) {
  return os << s.Kind << " " << s.A << " " << s.B;
}

/** A promise that the oracle saw broken. */
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void require(bool holds, const std::string &promise) {
  if (!holds) {
    throw Violation(promise);
  }
}

/** How often the generated cases reached something; printed, so that a run that
 * exercises nothing is seen. */
inline std::map<std::string, unsigned> &reached() {
  static std::map<std::string, unsigned> counts;
  return counts;
}

enum class LogMode : unsigned { Up, Down, LoseAnswer, LandLate, Count };

/** What the writer learns of an append. */
struct AppendResult {
  std::optional<chivefold::LogOffset> Offset;
  bool MayHaveTakenEffect = false;
};

/** The platform's log: outages, lost answers, limited retention. */
struct FakeLog {
  chivefold::LogBuilder Log;
  LogMode Mode = LogMode::Up;
  std::size_t First = 1;

  chivefold::LogOffset tail() const {
    return chivefold::LogOffset{Log.Entries.size()};
  }
  /** Keeps the newest @p count records. */
  void trim(std::size_t count) {
    const auto n = Log.Entries.size();
    First = std::max(First, n > count ? n - count + 1 : 1);
  }
  /** @return records after @p applied; none if down or trimmed. */
  std::vector<chivefold::LogEntry> read(chivefold::LogOffset applied,
                                        std::size_t count) const {
    const auto n = static_cast<std::size_t>(raw(applied));
    if (Mode == LogMode::Down || n + 1 < First) {
      return {};
    }
    const auto &e = Log.Entries;
    const auto end = std::min(e.size(), n + count);
    return {e.begin() + static_cast<std::ptrdiff_t>(std::min(n, end)),
            e.begin() + static_cast<std::ptrdiff_t>(end)};
  }
};

/** A message under way. Lost runs instead of Deliver and says truthfully that
 * it never arrived. */
struct Message {
  std::string Label;
  std::size_t From = 0;
  std::size_t To = 0;
  std::uint64_t ToBoot = 0;
  bool MayDouble = false;
  std::function<void()> Deliver;
  std::function<void()> Lost;
};

/** Pairs of daemons that cannot reach each other. */
class Partition {
public:
  void toggle(std::size_t a, std::size_t b) {
    const auto pair = std::minmax(a, b);
    if (!Cut.erase(pair)) {
      Cut.insert(pair);
    }
  }
  bool blocks(std::size_t a, std::size_t b) const {
    return Cut.count(std::minmax(a, b)) != 0;
  }
  void heal() { Cut.clear(); }

private:
  std::set<std::pair<std::size_t, std::size_t>> Cut;
};

/** Runs a trace. @return the broken promise, if any. */
template <class World>
std::optional<std::string> runTrace(const Trace &trace,
                                    const std::string &wrong = {},
                                    std::ostream *timeline = nullptr) {
  try {
    World world(wrong, timeline);
    for (const auto &it : trace) {
      if (timeline != nullptr) {
        *timeline << World::kinds().at(it.Kind).Name << " " << it.A << " "
                  << it.B << "\n";
      }
      world.apply(it);
    }
    if (timeline != nullptr) {
      *timeline << "settle\n";
    }
    world.settle();
  } catch (const Violation &v) {
    return v.what();
  }
  return std::nullopt;
}

} // namespace fuzz

#endif
