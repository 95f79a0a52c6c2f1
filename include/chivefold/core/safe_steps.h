/**
 * @file
 * Safe steps, which spread from daemon to daemon before their log records.
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

/** Action of a safe step. Every kind only removes traffic from a version or a
 * data centre. */
enum class SafeStepKind : std::uint8_t {
  /** Sets the traffic share of a move to 0. */
  TakeBack,
  /** Stops new requests to a data centre. */
  TakeOut,
};

/** @return the lower-case name of @p kind. Thread-safe. */
std::string_view safeStepName(SafeStepKind kind);
std::optional<SafeStepKind> safeStepFromName(std::string_view name);

/** An action that takes effect on a daemon before its log record is applied. */
struct SafeStep {
  SafeStepKind Kind = SafeStepKind::TakeBack;
  /** Name of the service (TakeBack) or of the data centre (TakeOut). */
  std::string Subject;
  /** Version of the move to take back. Unused for TakeOut. */
  Version Move = Version::None;
  /** For TakeOut, the applied offset of the daemon that started the step. A
   * put-back record with a higher offset supersedes the step. */
  LogOffset AfterOffset = LogOffset::None;
  /** Explanation for operators. */
  std::string Reason;
};

/**
 * Safe steps that are in effect in addition to a control state. A step is
 * dropped only after a later log record supersedes it. Not thread-safe.
 */
class SafeSteps {
public:
  /** Further steps are ignored and take effect through their log records only.
   */
  static constexpr std::size_t MaxSteps = 1024;
  /** Steps with longer subjects are ignored. */
  static constexpr std::size_t MaxSubjectBytes =
      ConfigurationLimits::MaxNameBytes;
  /** Longer reasons are truncated. */
  static constexpr std::size_t MaxReasonBytes = 256;

  /** @param state must outlive this object. */
  explicit SafeSteps(const ControlState &state) : State(state) {}

  /** Adds a step unless it is known, superseded or beyond a limit.
   * @return whether the step was new, in which case the caller forwards it to
   * other daemons once. */
  bool merge(SafeStep step);

  /** Drops superseded steps. Call after applying log records. */
  void prune();

  /** @return the traffic share of the service's running move in basis points,
   * or 0 if no move is running or it was taken back. */
  std::uint32_t shareOf(std::string_view service) const;

  /** @return whether @p dataCentre must receive no new requests. */
  bool isTakenOut(std::string_view dataCentre) const;

  /** @return all stored steps, to be sent to joining daemons. */
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
