// Guards against an oracle that sees nothing: each deliberately wrong decision
// must be caught within MaxCases generated traces.
#include "claim_world.h"
#include "promise_world.h"
#include "trace_main.h"

using namespace fuzz;

namespace {

constexpr int MaxCases = 3000;
constexpr int TraceSize = 400;
constexpr std::uint64_t Seed = 20261204;

/** @return the smallest trace that shrinking finds. */
template <class World>
Trace shrink(rc::Shrinkable<Trace> failing, const WrongDecision &decision) {
  for (bool smaller = true; smaller;) {
    smaller = false;
    auto shrinks = failing.shrinks();
    for (auto next = shrinks.next(); next; next = shrinks.next()) {
      if (runTrace<World>(next->value(), decision.Name) == decision.Promise) {
        failing = *next;
        smaller = true;
        break;
      }
    }
  }
  return failing.value();
}

/** Writes the smallest trace to @p directory unless that is empty. */
template <class World>
bool isCaught(const WrongDecision &decision, const std::string &directory) {
  const auto &wrong = decision.Name;
  const auto gen = genTrace<World>();
  rc::Random random(Seed);
  for (int n = 1; n <= MaxCases; ++n) {
    const auto trace = gen(random.split(), TraceSize);
    const auto seen = runTrace<World>(trace.value(), wrong);
    if (seen != decision.Promise) {
      continue;
    }
    std::cout << wrong << ": caught by case " << n << ": " << *seen << "\n";
    if (!directory.empty()) {
      const auto smallest = shrink<World>(trace, decision);
      auto path = directory;
      path.append("/").append(wrong).append(".trace");
      std::ofstream out(path);
      writeTrace<World>(out, {wrong, decision.Promise, smallest});
    }
    return true;
  }
  std::cout << wrong << ": NOT caught in " << MaxCases << " cases\n";
  return false;
}

template <class World> bool areCaught(const std::string &directory) {
  bool ok = true;
  for (const auto &it : World::wrongs()) {
    ok = isCaught<World>(it, directory) && ok;
  }
  return ok;
}

} // namespace

/** With a directory as argument, also writes a small trace of each catch. */
int main(int argc, char **argv) {
  const std::string directory = argc > 1 ? argv[1] : "";
  std::cout << "seed " << Seed << ", at most " << MaxCases << " cases each\n";
  const bool claims = areCaught<ClaimWorld>(directory);
  const bool promises = areCaught<PromiseWorld>(directory);
  return claims && promises ? 0 : 1;
}
