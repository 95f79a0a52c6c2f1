#include "chivefold/core/recovery.h"

#include <algorithm>
#include <set>

namespace chivefold {

void Recovery::logReached(LogOffset next) {
  LogIsDown = false;
  if (!NextOffsetAtStart) {
    NextOffsetAtStart = next;
  }
}

void Recovery::logUnavailable() { LogIsDown = true; }

void Recovery::peerAnswered(const PeerAnswer &answer) {
  PredecessorFloor = std::max(PredecessorFloor, answer.YourFloor);
  if (Answers.size() < MaxAnswers || Answers.count(answer.Peer) != 0) {
    Answers[answer.Peer] = answer;
  }
}

Readiness Recovery::update(const RecoveryContext &context) {
  if (HasRecovered) {
    return {true, {}};
  }
  std::string reason;
  if (NextOffsetAtStart &&
      raw(context.Applied) + 1 >= raw(*NextOffsetAtStart)) {
    HasRecovered = true;
  } else if (LogIsDown) {
    reason = peerShortfall(context);
    HasRecovered = reason.empty();
  } else if (raw(context.Applied) + 1 < raw(OldestRetained)) {
    reason = "the log retains records from " +
             std::to_string(raw(OldestRetained)) +
             " on and no complete snapshot; requesting state from peers";
  } else if (NextOffsetAtStart) {
    reason = "reading the log: applied " +
             std::to_string(raw(context.Applied)) + ", tail " +
             std::to_string(raw(*NextOffsetAtStart) - 1);
  } else {
    reason = "the log has not answered yet";
  }
  return {HasRecovered, reason};
}

std::optional<Address> Recovery::mostAdvancedPeer(LogOffset applied) const {
  std::optional<Address> best;
  for (const auto &it : Answers) {
    if (it.second.Ready && it.second.Applied > applied) {
      best = it.first;
      applied = it.second.Applied;
    }
  }
  return best;
}

std::string Recovery::peerShortfall(const RecoveryContext &context) const {
  std::size_t readyPeers = 0;
  auto requiredOffset = PredecessorFloor;
  std::set<std::string> dataCentres;
  for (const auto &it : Answers) {
    if (it.second.Ready) {
      ++readyPeers;
      dataCentres.insert(it.second.DataCentre);
      requiredOffset = std::max(requiredOffset, it.second.Applied);
    }
  }
  // Peers that are also starting have no state to offer. Waiting for them would
  // block a fleet in which only a few daemons survived.
  const auto startingPeers = Answers.size() - readyPeers;
  const auto peersWithState = context.OtherMembers > startingPeers
                                  ? context.OtherMembers - startingPeers
                                  : 0;
  const auto neededPeers =
      std::max<std::size_t>(1, std::min(MinReadyPeers, peersWithState));
  if (readyPeers < neededPeers) {
    return "log unavailable: " + std::to_string(readyPeers) + " of " +
           std::to_string(neededPeers) +
           " required peers have recovered and answered";
  }
  const auto neededDataCentres = std::max<std::size_t>(
      1, std::min(MinDataCentres, context.OtherDataCentres));
  if (dataCentres.size() < neededDataCentres) {
    return "log unavailable: peers answered from " +
           std::to_string(dataCentres.size()) + " of " +
           std::to_string(neededDataCentres) + " required data centres";
  }
  if (context.Applied < requiredOffset) {
    return "log unavailable: applied offset " +
           std::to_string(raw(context.Applied)) +
           " is below the required offset " +
           std::to_string(raw(requiredOffset));
  }
  return {};
}

} // namespace chivefold
