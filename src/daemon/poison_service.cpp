#include "chivefold/daemon/poison_service.h"

#include "chivefold/daemon/wire_convert.h"

namespace chivefold {

RequestDigest digestOf(const CallMessage &call) {
  // The same part, however much of a longer body has arrived.
  const auto body = call.Body.view().substr(0, BodyStream::HeldBytes);
  return static_cast<RequestDigest>(hash64(
      body, hash64(call.Target, hash64(call.Method, hash64(call.Service)))));
}

PoisonService::PoisonService(Reactor &reactor, PeerNetwork &network,
                             Peers peers, std::uint64_t seed)
    : Loop(reactor), Network(network), RandomPeers(std::move(peers)),
      Table(seed), Spreads(SpreadsPerSecond, SpreadBurst, reactor.now()) {}

void PoisonService::serverDied(const Address &server, RequestDigest digest) {
  recordCrash(server, digest, Loop.now(), CrashEvidence::Direct);
}

void PoisonService::serverPresumedDead(const Address &server,
                                       RequestDigest digest, TimePoint at) {
  recordCrash(server, digest, at, CrashEvidence::Inferred);
}

void PoisonService::recordCrash(const Address &server, RequestDigest digest,
                                TimePoint at, CrashEvidence evidence) {
  if (Table.wasRecentlyAnswered(digest, Loop.now())) {
    return;
  }
  const auto updates = Table.serverCrashed(server, {digest}, at, evidence);
  for (const auto &it : updates) {
    spread(it);
  }
  if (!updates.empty()) {
    notify(evidence == CrashEvidence::Direct || quarantined(digest));
  }
}

void PoisonService::notify(bool isUrgent) {
  if (Changed) {
    Changed(isUrgent);
  }
}

void PoisonService::restore(const std::vector<PoisonUpdate> &crashes,
                            bool isOwn) {
  for (const auto &it : crashes) {
    Table.restore(it, isOwn, Loop.now());
  }
}

void PoisonService::succeeded(RequestDigest digest) {
  const auto updates = Table.requestAnswered(digest, Loop.now());
  for (const auto &it : updates) {
    spread(it);
  }
  if (!updates.empty()) {
    notify(false);
  }
}

std::optional<Duration> PoisonService::quarantined(RequestDigest digest) const {
  return Table.quarantined(digest, Loop.now());
}

void PoisonService::onDeath(const wire::PoisonDeathT &death) {
  const auto step = poisonFromWire(death);
  if (!step) {
    return;
  }
  const auto before = Table.revision();
  const auto next = Table.merge(*step, Loop.now());
  if (next) {
    spread(*next);
  }
  if (Table.revision() != before) {
    notify(!step->Cleared && step->Evidence == CrashEvidence::Direct);
  }
}

void PoisonService::onDeaths(
    const std::vector<std::unique_ptr<wire::PoisonDeathT>> &deaths) {
  for (const auto &it : deaths) {
    onDeath(*it);
  }
}

std::vector<std::unique_ptr<wire::PoisonDeathT>>
PoisonService::deathsToSend(std::size_t max) const {
  std::vector<std::unique_ptr<wire::PoisonDeathT>> deaths;
  for (const auto &it : Table.activeCrashes(max, Loop.now())) {
    deaths.push_back(poisonToWire(it));
  }
  return deaths;
}

void PoisonService::spread(const PoisonUpdate &step) {
  const bool refused = Table.quarantined(step.Digest, Loop.now()).has_value();
  Lines.info(step.Cleared ? "request is cleared"
                          : "backend server died while it ran a request",
             {{"digest", static_cast<std::uint64_t>(step.Digest)},
              {"server", toString(step.Server)},
              {"quarantined", refused ? "yes" : "no"}});
  if (!Spreads.tryAcquire(Loop.now())) {
    Lines.warn("left a step to probes",
               {{"digest", static_cast<std::uint64_t>(step.Digest)}});
    return;
  }
  if (step.Evidence == CrashEvidence::Inferred && !refused) {
    // Most are of ordinary requests. The daemon beside the server refuses it
    // at its gate once there are enough, and probes tell the others.
    auto last = step;
    last.Hops = 0;
    Network.send(step.Server, frameBody(std::move(*poisonToWire(last))));
    return;
  }
  for (const auto &it : RandomPeers(Fanout)) {
    Network.send(it, frameBody(std::move(*poisonToWire(step))));
  }
}

} // namespace chivefold
