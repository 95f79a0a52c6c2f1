// Selection of probe targets, indirect probers, log readers, random peers and
// updates to gossip.
#include "chivefold/core/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivefold {

std::optional<Address> MemberTable::nextProbe(TimePoint now) {
  if (now < NextProbe) {
    return std::nullopt;
  }
  NextProbe = now + MembershipLimits::ProbeInterval;
  if (++Probes % MembershipLimits::UnreachableProbeEvery == 0) {
    if (auto target = randomUnreachableMember()) {
      return target;
    }
  }
  // The second pass uses a new shuffled list, which does not contain dead
  // members.
  for (int pass = 0; pass < 2; ++pass) {
    while (ProbePosition < ProbeOrder.size()) {
      const auto &target = ProbeOrder[ProbePosition++];
      const auto *m = find(target);
      if (m != nullptr && m->State <= MemberState::Suspect) {
        return target;
      }
    }
    reshuffleProbeOrder();
  }
  return std::nullopt;
}

void MemberTable::reshuffleProbeOrder() {
  ProbeOrder.clear();
  ProbePosition = 0;
  for (const auto &it : Members) {
    if (it.second.Value.State <= MemberState::Suspect) {
      ProbeOrder.push_back(it.first);
    }
  }
  std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
}

std::optional<Address> MemberTable::randomUnreachableMember() {
  std::vector<const Member *> unreachable;
  for (const auto &it : Members) {
    if (it.second.Value.State == MemberState::Unreachable) {
      unreachable.push_back(&it.second.Value);
    }
  }
  const auto chosen = sample(std::move(unreachable), 1);
  return chosen.empty() ? std::nullopt : std::make_optional(chosen.front());
}

std::vector<Address> MemberTable::indirectProbers(const Address &target) {
  auto others = aliveOthers();
  others.erase(
      std::remove_if(others.begin(), others.end(),
                     [&](const Member *m) { return m->Peer == target; }),
      others.end());
  return sample(std::move(others), MembershipLimits::IndirectProbers);
}

std::vector<Address> MemberTable::randomPeers(std::size_t n,
                                              bool mustIncludeOtherDc) {
  auto others = aliveOthers();
  auto peers = sample(others, n);
  const auto isRemote = [&](const Member *m) {
    return m->DataCentre != Self.DataCentre;
  };
  const bool included =
      std::any_of(peers.begin(), peers.end(),
                  [&](const Address &a) { return isRemote(find(a)); });
  if (!mustIncludeOtherDc || included || peers.empty()) {
    return peers;
  }
  others.erase(std::remove_if(others.begin(), others.end(),
                              [&](const auto *m) { return !isRemote(m); }),
               others.end());
  const auto remote = sample(std::move(others), 1);
  if (!remote.empty()) {
    peers.back() = remote.front();
  }
  return peers;
}

std::vector<Address> MemberTable::sample(std::vector<const Member *> from,
                                         std::size_t n) {
  std::vector<Address> chosen;
  n = std::min(n, from.size());
  for (std::size_t i = 0; i < n; ++i) {
    std::uniform_int_distribution<std::size_t> any(i, from.size() - 1);
    std::swap(from[i], from[any(Random)]);
    chosen.push_back(from[i]->Peer);
  }
  return chosen;
}

std::vector<const Member *> MemberTable::aliveOthers() const {
  std::vector<const Member *> others;
  for (const auto &it : Members) {
    if (it.second.Value.State == MemberState::Alive) {
      others.push_back(&it.second.Value);
    }
  }
  return others;
}

std::vector<Address> MemberTable::readers(std::string_view dataCentre) const {
  std::vector<std::pair<std::uint64_t, Address>> ranked;
  const auto add = [&](const Member &m, std::uint64_t weight) {
    if (m.State == MemberState::Alive && m.DataCentre == dataCentre) {
      ranked.emplace_back(weight, m.Peer);
    }
  };
  add(Self, SelfRendezvousWeight);
  for (const auto &it : Members) {
    add(it.second.Value, it.second.RendezvousWeight);
  }
  const auto n =
      std::min(MembershipLimits::ReadersPerDataCentre, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(n),
                    ranked.end());
  std::vector<Address> chosen;
  for (std::size_t i = 0; i < n; ++i) {
    chosen.push_back(std::move(ranked[i].second));
  }
  return chosen;
}

bool MemberTable::isReader() const {
  if (ReaderRevision != Revision) {
    const auto chosen = readers(Self.DataCentre);
    Reader = std::find(chosen.begin(), chosen.end(), Self.Peer) != chosen.end();
    ReaderRevision = Revision;
  }
  return Reader;
}

void MemberTable::enqueueUpdate(const Address &address) {
  Updates[address] = {0, ++NextUpdateOrder};
}

std::uint32_t MemberTable::maxTransmissions() const {
  const auto n = aliveCount() + 1;
  std::uint32_t log = 0;
  while ((std::size_t{1} << log) < n) {
    ++log;
  }
  return 3 * log;
}

std::vector<Member> MemberTable::takeUpdates() {
  std::vector<std::map<Address, Update>::iterator> queued;
  for (auto it = Updates.begin(); it != Updates.end(); ++it) {
    queued.push_back(it);
  }
  const auto n =
      std::min(MembershipLimits::MaxUpdatesPerMessage, queued.size());
  std::partial_sort(
      queued.begin(), queued.begin() + static_cast<std::ptrdiff_t>(n),
      queued.end(), [](const auto &a, const auto &b) {
        return std::make_tuple(a->second.Transmissions, b->second.Order) <
               std::make_tuple(b->second.Transmissions, a->second.Order);
      });
  const auto maxSends = maxTransmissions();
  std::vector<Member> updates;
  for (std::size_t i = 0; i < n; ++i) {
    if (const auto *m = find(queued[i]->first)) {
      updates.push_back(*m);
    }
    if (++queued[i]->second.Transmissions >= maxSends) {
      Updates.erase(queued[i]);
    }
  }
  return updates;
}

} // namespace chivefold
