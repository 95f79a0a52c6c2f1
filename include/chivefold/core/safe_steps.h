/**
 * @file
 * Safe steps that spread between daemons before their log record.
 */
#ifndef CHIVEFOLD_CORE_SAFE_STEPS_H
#define CHIVEFOLD_CORE_SAFE_STEPS_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** What a safe step does. Each kind only reduces exposure. */
enum class SafeStepKind : std::uint8_t {
  /** Sets the share of a move to 0. */
  TakeBack,
  /** Takes a data centre out. */
  TakeOut,
};

/** @return the lower-case name of @p kind. Thread-safe. */
std::string_view safeStepName(SafeStepKind kind);
std::optional<SafeStepKind> safeStepFromName(std::string_view name);

/** One safe step. */
struct SafeStep {
  SafeStepKind Kind = SafeStepKind::TakeBack;
  /** TakeBack: the service. TakeOut: the data centre. */
  std::string Subject;
  /** TakeBack: the move. */
  Version Move = Version::None;
  /** TakeOut: applied offset of the daemon that started it; a put-back record
   * after it supersedes the step. */
  LogOffset AfterOffset = LogOffset::None;
  /** For operators. */
  std::string Reason;
};

/**
 * Overlay of safe steps over a control state. It only grows until a later log
 * record supersedes a step. Not thread-safe.
 */
class SafeSteps {
public:
  /** On overflow the new step is ignored and takes effect by its log record
   * only. */
  static constexpr std::size_t MaxSteps = 1024;
  /** Steps with longer subjects are ignored; longer reasons are cut. */
  static constexpr std::size_t MaxSubjectBytes =
      ConfigurationLimits::MaxNameBytes;
  static constexpr std::size_t MaxReasonBytes = 256;

  /** @param state outlives this object. */
  explicit SafeSteps(const ControlState &state) : State(state) {}

  /** Adds a step unless it is known, superseded or does not fit.
   * @return whether it was new; the caller then forwards it once. */
  bool merge(SafeStep step);

  /** Drops superseded steps. Call after records were applied. */
  void prune();

  /** @return share of the running move in basis points, 0 if there is none. */
  std::uint32_t shareOf(std::string_view service) const;

  /** @return whether @p dataCentre gets no new work. */
  bool isTakenOut(std::string_view dataCentre) const;

  /** @return all steps in effect, for joining daemons. */
  std::vector<SafeStep> steps() const;

  std::size_t size() const { return TakeBacks.size() + TakeOuts.size(); }

private:
  bool isSuperseded(const SafeStep &step) const;

  const ControlState &State;
  std::map<std::string, SafeStep, std::less<>> TakeBacks;
  std::map<std::string, SafeStep, std::less<>> TakeOuts;
};

} // namespace chivefold

#endif
