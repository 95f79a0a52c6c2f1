#include "chivefold/daemon/poison_service.h"

#include "chivefold/daemon/wire_convert.h"

namespace chivefold {

RequestDigest digestOf(const CallMessage &call) {
  return static_cast<RequestDigest>(
      hash64(call.Body,
             hash64(call.Target, hash64(call.Method, hash64(call.Service)))));
}

PoisonService::PoisonService(Reactor &reactor, PeerNetwork &network,
                             Peers peers)
    : Loop(reactor), Network(network), RandomPeers(std::move(peers)) {}

void PoisonService::serverDied(const Address &server, RequestDigest digest) {
  const auto now = Loop.now();
  if (Table.isInnocent(digest, now)) {
    return;
  }
  for (const auto &it : Table.serverDied(server, {digest}, now)) {
    spread(it);
  }
}

void PoisonService::succeeded(RequestDigest digest) {
  if (const auto step = Table.succeeded(digest, Loop.now())) {
    spread(*step);
  }
}

std::optional<Duration> PoisonService::quarantined(RequestDigest digest) const {
  return Table.quarantined(digest, Loop.now());
}

void PoisonService::onDeath(const wire::PoisonDeathT &death) {
  const auto step = poisonFromWire(death);
  if (step && Table.merge(*step, Loop.now())) {
    spread(*step);
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
  for (const auto &it : Table.steps(max, Loop.now())) {
    deaths.push_back(poisonToWire(it));
  }
  return deaths;
}

void PoisonService::spread(const PoisonStep &step) {
  const bool refused = Table.quarantined(step.Digest, Loop.now()).has_value();
  Lines.info(step.Cleared ? "request is cleared"
                          : "backend server died while it ran a request",
             {{"digest", static_cast<std::uint64_t>(step.Digest)},
              {"server", toString(step.Server)},
              {"quarantined", refused ? "yes" : "no"}});
  for (const auto &it : RandomPeers(Fanout)) {
    Network.send(it, frameBody(std::move(*poisonToWire(step))));
  }
}

} // namespace chivefold
