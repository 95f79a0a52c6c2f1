#include "chivefold/sidecar/fleet_service.h"

#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/wire_convert.h"

#include <algorithm>

namespace chivefold {

namespace {

std::unique_ptr<wire::ServerStateT> toWire(const BackendServerState &server) {
  auto to = std::make_unique<wire::ServerStateT>();
  to->instance = server.Instance;
  to->service = server.Service;
  to->version = server.Version;
  to->slots = server.Slots;
  to->phase = static_cast<std::uint8_t>(server.Phase);
  return to;
}

/** @return the state, or nothing if a field is missing or out of range. */
std::optional<HostState> stateOf(const wire::HelloT &hello) {
  const auto peer = fromWire(hello.address.get());
  if (!peer || !hello.server ||
      hello.server->phase > static_cast<std::uint8_t>(ServerPhase::Draining)) {
    return std::nullopt;
  }
  HostState out;
  out.Peer = *peer;
  out.DataCentre = hello.data_centre;
  out.BootId = hello.boot_id;
  out.Sequence = hello.sequence;
  out.Leaving = hello.leaving;
  out.Server.Instance = hello.server->instance;
  out.Server.Service = hello.server->service;
  out.Server.Version = hello.server->version;
  out.Server.Slots = hello.server->slots;
  out.Server.Phase = static_cast<ServerPhase>(hello.server->phase);
  out.Gate = gateFromWire(hello.gate.get());
  return out;
}

} // namespace

FleetService::FleetService(Reactor &reactor, PeerNetwork &network,
                           KeyedStore &store, FleetTable &table,
                           AnnouncePlan &plan, Address own,
                           std::function<HostState()> self, Extras extras,
                           Heard heard, std::function<void()> changed,
                           std::uint64_t seed)
    : Loop(reactor), Network(network), Store(store), Table(table), Plan(plan),
      Own(std::move(own)), Self(std::move(self)), OwnExtras(std::move(extras)),
      OnHeard(std::move(heard)), Changed(std::move(changed)), Random(seed) {}

void FleetService::start() {
  Table.update(Self(), Loop.now());
  registerSelf();
  Loop.schedule(Loop.now() + ProbeInterval, [this] { probe(); });
}

void FleetService::registerSelf() {
  const auto self = Self();
  Store.append(KeyedStream::Hosts, toString(self.Peer), self.DataCentre,
               std::nullopt, Loop.now() + StoreTimeout,
               [this](AppendEnd end, auto /*offset*/, const Reason &reason) {
                 if (end != AppendEnd::Written) {
                   return retryStore(reason);
                 }
                 Written = true;
                 StoreFailures = 0;
                 listHosts("");
               });
}

void FleetService::listHosts(const std::string &afterKey) {
  Store.list(KeyedStream::Hosts, afterKey, Loop.now() + StoreTimeout,
             [this](Result<KeyedBatch> batch) {
               if (!batch) {
                 return retryStore(batch.reason());
               }
               StoreFailures = 0;
               for (const auto &it : batch->Records) {
                 const auto peer = parseAddress(it.Key);
                 if (peer && Table.addAddress(*peer, Loop.now())) {
                   greet(*peer);
                 }
               }
               if (batch->HasMore && !batch->Records.empty()) {
                 return listHosts(batch->Records.back().Key);
               }
               NextAddresses = Loop.now() + AddressPause;
               Lines.info("registered", {{"hosts", Table.hosts().size()}});
             });
}

void FleetService::retryStore(const Reason &reason) {
  constexpr std::uint32_t maxDoublings = 3;
  const auto pause =
      std::min(MinStorePause * (1 << std::min(StoreFailures, maxDoublings)),
               MaxStorePause);
  ++StoreFailures;
  Lines.warn("the store did not take the registration",
             {{"error", errorName(reason.Code)},
              {"reason", reason.Message},
              {"failures", std::uint64_t{StoreFailures}}});
  std::uniform_int_distribution<Duration::rep> jitter(pause.count() / 2,
                                                      pause.count());
  Loop.schedule(Loop.now() + Duration(jitter(Random)), [this] {
    if (Written) {
      listHosts("");
    } else {
      registerSelf();
    }
  });
}

void FleetService::probe() {
  Loop.schedule(Loop.now() + ProbeInterval, [this] { probe(); });
  const auto now = Loop.now();
  Table.recordContact(Own, now);
  auto due = Table.selectProbeTargets(now);
  due.resize(std::min(due.size(), MaxProbes));
  for (const auto &it : due) {
    greet(it);
  }
  const auto gone = Table.removeExpired(now);
  for (const auto &it : gone) {
    Lines.info("forgot a host that stayed unreachable",
               {{"host", toString(it)}});
  }
  if (!gone.empty()) {
    Changed();
  }
}

std::vector<Address> FleetService::randomHosts(std::size_t max) {
  std::vector<Address> known;
  for (const auto &it : Table.hosts()) {
    if (it.second.reachable() && it.first != Own) {
      known.push_back(it.first);
    }
  }
  std::vector<Address> out;
  std::sample(known.begin(), known.end(), std::back_inserter(out), max, Random);
  return out;
}

void FleetService::announce() {
  Table.update(Self(), Loop.now());
  auto news = hello();
  // Deaths spread by themselves; greetings repeat them.
  news.deaths.clear();
  for (const auto &it : Plan.targets()) {
    pass(it.Peer, news, it.IsRelay ? HelloRoute::ToRelay : HelloRoute::Direct);
  }
}

void FleetService::pass(const Address &peer, wire::HelloT hello,
                        HelloRoute route) {
  hello.route = static_cast<std::uint8_t>(route);
  Network.send(peer, frameBody(std::move(hello)));
}

void FleetService::greet(const Address &peer) {
  if (peer == Own) {
    return;
  }
  auto greeting = hello();
  if (AddressesDiffer && Loop.now() >= NextAddresses &&
      Plan.isPreferredSource(peer)) {
    greeting.wants_addresses = true;
    NextAddresses = Loop.now() + AddressPause;
    AddressPause = std::min(2 * AddressPause, MaxAddressPause);
  }
  Network.request(
      peer, frameBody(std::move(greeting)), Loop.now() + GreetTimeout,
      [this, peer](PeerOutcome outcome) {
        auto *answer = outcome.Answer ? outcome.Answer->AsHello() : nullptr;
        if (answer != nullptr) {
          take(*answer);
          return;
        }
        const auto *known = Table.find(peer);
        const bool lost = known != nullptr && known->reachable();
        Table.recordFailure(peer, Loop.now());
        if (lost) {
          Lines.warn("lost a host", {{"host", toString(peer)},
                                     {"reason", outcome.Failure.Message}});
          Changed();
        }
      });
}

wire::HelloT FleetService::hello() const {
  const auto self = Self();
  auto extras = OwnExtras();
  wire::HelloT out;
  out.address = addressToWire(self.Peer);
  out.data_centre = self.DataCentre;
  out.boot_id = self.BootId;
  out.sequence = self.Sequence;
  out.leaving = self.Leaving;
  out.server = toWire(self.Server);
  out.gate = gateToWire(self.Gate);
  out.address_digest = Table.addressDigest();
  out.operator_end = extras.OperatorEnd;
  out.rollout_digest = extras.RolloutDigest;
  out.deaths = std::move(extras.Deaths);
  out.unconfirmed_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(extras.Unconfirmed)
          .count());
  return out;
}

void FleetService::addAddresses(wire::HelloT &hello) const {
  for (const auto &it : Table.addresses()) {
    hello.addresses.push_back(addressToWire(it));
  }
}

void FleetService::takeAddresses(const wire::HelloT &hello) {
  for (const auto &it : hello.addresses) {
    const auto peer = fromWire(it.get());
    if (peer && Table.addAddress(*peer, Loop.now())) {
      AddressPause = MinAddressPause;
      greet(*peer);
    }
  }
}

void FleetService::noteNews(const HostState &state, bool isNew) {
  Lines.info(isNew ? "found a host" : "a host changed",
             {{"host", toString(state.Peer)},
              {"sequence", state.Sequence},
              {"service", state.Server.Service},
              {"version", state.Server.Version},
              {"phase", serverPhaseName(state.Server.Phase)},
              {"leaving", state.Leaving ? "yes" : "no"}});
  Changed();
}

// A greeting or the answer to one, from the host that it is about.
void FleetService::take(wire::HelloT &hello) {
  const auto state = stateOf(hello);
  if (!state || state->Peer == Own) {
    return;
  }
  const auto *known = Table.find(state->Peer);
  const bool isNew = known == nullptr || !known->reachable();
  if (Table.update(*state, Loop.now())) {
    noteNews(*state, isNew);
  }
  takeAddresses(hello);
  AddressesDiffer = hello.address_digest != Table.addressDigest();
  takeExtras(state->Peer, hello);
}

void FleetService::takeExtras(const Address &peer, wire::HelloT &hello) {
  GreetingExtras extras;
  extras.OperatorEnd = hello.operator_end;
  extras.RolloutDigest = hello.rollout_digest;
  extras.Unconfirmed = std::chrono::milliseconds(hello.unconfirmed_ms);
  extras.Deaths = std::move(hello.deaths);
  OnHeard(peer, extras);
}

void FleetService::takeAnnouncement(wire::HelloT &hello) {
  const auto state = stateOf(hello);
  if (!state || state->Peer == Own) {
    return;
  }
  const auto route = static_cast<HelloRoute>(hello.route);
  if (route == HelloRoute::Relayed) {
    return takeRelayed(*state);
  }
  if (route == HelloRoute::ToRelay) {
    relay(*state, hello);
  }
  take(hello);
}

// Passes on what is new here; a copy that the other relay sent was passed on
// by it.
void FleetService::relay(const HostState &state, const wire::HelloT &hello) {
  const auto *known = Table.find(state.Peer);
  const bool isNews = known == nullptr || !known->StateKnown ||
                      known->State.BootId != state.BootId ||
                      known->State.Sequence < state.Sequence;
  if (!isNews) {
    return;
  }
  for (const auto &it : Plan.relayTargets(state.Peer)) {
    pass(it, hello, HelloRoute::Relayed);
  }
}

void FleetService::takeRelayed(const HostState &state) {
  const auto *known = Table.find(state.Peer);
  const bool isNew = known == nullptr || !known->reachable();
  switch (Table.updateFromRelay(state, Loop.now())) {
  case RelayedUpdateResult::Applied:
    return noteNews(state, isNew);
  case RelayedUpdateResult::OtherBoot:
    return greet(state.Peer);
  case RelayedUpdateResult::Stale:
    return;
  }
}

void FleetService::onHello(wire::HelloT &request,
                           const PeerResponder &respond) {
  if (!respond) {
    return takeAnnouncement(request);
  }
  take(request);
  auto answer = hello();
  if (request.wants_addresses &&
      request.address_digest != answer.address_digest) {
    addAddresses(answer);
  }
  respond(frameBody(std::move(answer)));
}

} // namespace chivefold
