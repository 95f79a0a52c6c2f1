// Applies configuration changes and their effects on moves and data centres.
#include "chivefold/core/control_state.h"

#include <algorithm>
#include <set>

namespace chivefold {
namespace {

constexpr std::string_view Superseded = "superseded";

bool contains(const std::vector<std::string> &names, const std::string &name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

Verdict ControlState::lostRace() const {
  return {VerdictKind::LostRace, LogOffset::None, CurrentVersion,
          VersionWriter};
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const ChangeRecord &r) {
  return r.Base == CurrentVersion ? applyChange(context, r.Sections)
                                  : lostRace();
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const ChangePartRecord &r) {
  const bool added = addPart(r.ChangeId, r.Index,
                             {context.Offset, std::string(context.Bytes)});
  return Verdict(added ? VerdictKind::Incomplete : VerdictKind::DuplicateId);
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const ChangeCommitRecord &r) {
  if (r.Base != CurrentVersion) {
    dropPending(r.ChangeId);
    return lostRace();
  }
  const auto it =
      std::find_if(Pending.begin(), Pending.end(), [&](const PendingChange &p) {
        return p.ChangeId == r.ChangeId;
      });
  // Part indexes are distinct, so the number of parts and the last index
  // together imply that no part is missing.
  if (r.PartCount == 0 || it == Pending.end() ||
      it->Parts.size() != r.PartCount ||
      it->Parts.rbegin()->first != r.PartCount - 1) {
    return Verdict(VerdictKind::Incomplete);
  }
  auto digest = InitialChangeDigest;
  std::vector<Section> sections;
  for (const auto &part : it->Parts) {
    digest = changeDigest(digest, part.second.Bytes);
    auto record = decodeRecord(part.second.Bytes);
    auto &body = std::get<ChangePartRecord>(record->Body);
    std::move(body.Sections.begin(), body.Sections.end(),
              std::back_inserter(sections));
  }
  if (digest != r.Digest) {
    return Verdict(VerdictKind::DigestMismatch);
  }
  dropPending(r.ChangeId);
  return applyChange(context, sections);
}

bool ControlState::addPart(const RecordId &changeId, std::uint32_t index,
                           PendingPart part) {
  auto it =
      std::find_if(Pending.begin(), Pending.end(), [&](const PendingChange &p) {
        return p.ChangeId == changeId;
      });
  if (it == Pending.end()) {
    Pending.push_back({changeId, {}});
    it = std::prev(Pending.end());
  }
  const auto bytes = part.Bytes.size();
  if (!it->Parts.emplace(index, std::move(part)).second) {
    return false;
  }
  PendingBytes += bytes;
  while (!Pending.empty() &&
         (Pending.size() > ControlStateLimits::MaxPendingChanges ||
          PendingBytes > ControlStateLimits::MaxPendingBytes)) {
    dropPending(RecordId(Pending.front().ChangeId));
  }
  return true;
}

void ControlState::dropPending(const RecordId &changeId) {
  const auto it =
      std::find_if(Pending.begin(), Pending.end(), [&](const PendingChange &p) {
        return p.ChangeId == changeId;
      });
  if (it == Pending.end()) {
    return;
  }
  for (const auto &part : it->Parts) {
    PendingBytes -= part.second.Bytes.size();
  }
  Pending.erase(it);
}

Verdict ControlState::applyChange(const RecordContext &context,
                                  const std::vector<Section> &sections) {
  auto next = std::make_shared<Configuration>(*Config);
  applySections(*next, sections);
  if (!validateConfiguration(*next) || !overridesStayValid(*next)) {
    return Verdict(VerdictKind::BrokenReference);
  }
  updateMoves(context.Offset, *next);
  updateDataCentres(context.Offset, *next);
  setConfiguration(std::move(next));
  CurrentVersion = context.Offset;
  VersionWriter =
      context.Source.Writer.substr(0, ControlStateLimits::MaxWriterBytes);
  return {};
}

// A version that a completed move made current serves all traffic. It must
// stay listed until the configuration names another current version.
bool ControlState::overridesStayValid(const Configuration &next) const {
  return std::all_of(Overrides.begin(), Overrides.end(), [&](const auto &it) {
    const auto *before = Config->service(it.first);
    const auto *after = next.service(it.first);
    return before == nullptr || after == nullptr ||
           before->CurrentVersion != after->CurrentVersion ||
           contains(after->Versions, it.second.ToVersion);
  });
}

void ControlState::updateMoves(LogOffset at, const Configuration &next) {
  for (const auto &it : Config->Services) {
    if (next.Services.count(it.first) != 0) {
      continue;
    }
    Overrides.erase(it.first);
    const auto running = Moves.find(it.first);
    if (running != Moves.end() && !running->second.Ended) {
      endMove(running->second, at, MoveResult::TakenBack,
              std::string(Superseded));
    }
  }
  for (const auto &it : next.Services) {
    updateMove(at, Config->service(it.first), it.second);
  }
  evictOldestMoves();
}

void ControlState::updateMove(LogOffset at, const Service *before,
                              const Service &after) {
  const bool requested = before != nullptr && before->Move == after.Move;
  const bool currentChanged =
      before != nullptr && before->CurrentVersion != after.CurrentVersion;
  const bool moveChanged =
      before == nullptr ? after.Move.has_value() : !requested;
  if (currentChanged) {
    Overrides.erase(after.Name);
  }
  const auto running = Moves.find(after.Name);
  if (running != Moves.end() && !running->second.Ended &&
      (moveChanged || currentChanged)) {
    endMove(running->second, at, MoveResult::TakenBack,
            std::string(Superseded));
  }
  if (!moveChanged || !after.Move) {
    return;
  }
  MoveState m;
  m.Service = after.Name;
  m.Move = at;
  const auto made = Overrides.find(after.Name);
  m.FromVersion =
      made == Overrides.end() ? after.CurrentVersion : made->second.ToVersion;
  m.ToVersion = after.Move->ToVersion;
  m.Deadline = after.Move->Deadline;
  Moves[after.Name] = std::move(m);
}

void ControlState::evictOldestMoves() {
  while (Moves.size() > ControlStateLimits::MaxMoves) {
    const auto oldest = std::min_element(
        Moves.begin(), Moves.end(), [](const auto &a, const auto &b) {
          return std::make_pair(!a.second.Ended, a.second.EndOffset) <
                 std::make_pair(!b.second.Ended, b.second.EndOffset);
        });
    Moves.erase(oldest);
  }
}

void ControlState::updateDataCentres(LogOffset at, const Configuration &next) {
  const auto &before = Config->FleetSettings;
  const auto &after = next.FleetSettings;
  for (auto it = DataCentres.begin(); it != DataCentres.end();) {
    it = contains(after.DataCentres, it->first) ? std::next(it)
                                                : DataCentres.erase(it);
  }
  for (const auto &it : after.DataCentres) {
    const bool out = contains(after.TakenOut, it);
    if (out != contains(before.TakenOut, it)) {
      DataCentres[it] = {it, out, at};
    }
  }
}

} // namespace chivefold
