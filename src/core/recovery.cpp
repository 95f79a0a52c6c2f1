#include "chivefold/core/recovery.h"

#include <algorithm>
#include <set>

namespace chivefold {

void Recovery::logReached(LogOffset next) {
  LogDown = false;
  if (!TailNext) {
    TailNext = next;
  }
}

void Recovery::logUnavailable() { LogDown = true; }

void Recovery::peerAnswered(const PeerAnswer &answer) {
  Floor = std::max(Floor, answer.YourFloor);
  if (Answers.size() < MaxAnswers || Answers.count(answer.Peer) != 0) {
    Answers[answer.Peer] = answer;
  }
}

Readiness Recovery::update(const RecoveryView &view) {
  if (IsReady) {
    return {true, {}};
  }
  std::string reason;
  if (TailNext && raw(view.Applied) + 1 >= raw(*TailNext)) {
    IsReady = true;
  } else if (LogDown) {
    reason = peersMissing(view);
    IsReady = reason.empty();
  } else if (raw(view.Applied) + 1 < raw(MissingBefore)) {
    reason = "the log retains records from " +
             std::to_string(raw(MissingBefore)) +
             " on and no complete snapshot; asking peers";
  } else if (TailNext) {
    reason = "reading the log: applied " + std::to_string(raw(view.Applied)) +
             ", tail " + std::to_string(raw(*TailNext) - 1);
  } else {
    reason = "the log has not answered yet";
  }
  return {IsReady, reason};
}

std::optional<Address> Recovery::bestPeer(LogOffset applied) const {
  std::optional<Address> best;
  for (const auto &it : Answers) {
    if (it.second.Ready && it.second.Applied > applied) {
      best = it.first;
      applied = it.second.Applied;
    }
  }
  return best;
}

std::string Recovery::peersMissing(const RecoveryView &view) const {
  std::size_t ready = 0;
  auto newest = Floor;
  std::set<std::string> dataCentres;
  for (const auto &it : Answers) {
    if (it.second.Ready) {
      ++ready;
      dataCentres.insert(it.second.DataCentre);
      newest = std::max(newest, it.second.Applied);
    }
  }
  // Peers that are starting too hold no state, so that waiting for them would
  // block a fleet of which only a few daemons survived.
  const auto starting = Answers.size() - ready;
  const auto holders =
      view.OtherMembers > starting ? view.OtherMembers - starting : 0;
  const auto needed = std::max<std::size_t>(1, std::min(PeersNeeded, holders));
  if (ready < needed) {
    return "log down: " + std::to_string(ready) + " of " +
           std::to_string(needed) + " peers answered with their state";
  }
  const auto spread = std::max<std::size_t>(
      1, std::min(DataCentresNeeded, view.OtherDataCentres));
  if (dataCentres.size() < spread) {
    return "log down: peers of one data centre only answered";
  }
  if (view.Applied < newest) {
    return "log down: applied " + std::to_string(raw(view.Applied)) +
           " is below the floor " + std::to_string(raw(newest));
  }
  return {};
}

} // namespace chivefold
