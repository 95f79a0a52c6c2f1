#include "chivefold/sidecar/fleet_service.h"

#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/wire_convert.h"
#include "history_wire.h"
#include "host_memory_wire.h"

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
  to->start = server.Start;
  return to;
}

/** @return the state, or nothing if a field is missing or out of range. */
std::optional<HostState> stateOf(const wire::HelloT &hello, TimePoint now) {
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
  out.Server.Start = hello.server->start;
  out.Gate = gateFromWire(hello.gate.get(), now);
  return out;
}

} // namespace

FleetService::FleetService(Reactor &reactor, PeerNetwork &network,
                           const StoreAccess &store, FleetTable &table,
                           AnnouncePlan &plan, const OrderReaders &readers,
                           Address own, std::function<HostState()> self,
                           PiggybackProvider piggybacked,
                           HelloObserver onHelloReceived,
                           std::function<void()> changed, std::uint64_t seed)
    : Loop(reactor), Network(network), Store(store), Table(table), Plan(plan),
      Readers(readers), Own(std::move(own)), Self(std::move(self)),
      OwnPiggyback(std::move(piggybacked)),
      OnHelloReceived(std::move(onHelloReceived)), Changed(std::move(changed)),
      Random(seed) {}

void FleetService::start() {
  Table.update(Self(), Loop.now());
  registerSelf();
  Loop.schedule(Loop.now() + ProbeInterval, [this] { probe(); });
}

void FleetService::registerSelf() {
  const auto self = Self();
  Store.Store.append(KeyedStream::Hosts, toString(self.Peer), self.DataCentre,
                     std::nullopt, Loop.now() + StoreTimeout,
                     [this](const AppendResult &result) {
                       if (result.Outcome != AppendOutcome::Written) {
                         return retryStore(result.Failure);
                       }
                       Written = true;
                       RepairedEra = result.Era;
                       StoreFailures = 0;
                       listHosts("");
                     });
}

void FleetService::listHosts(const std::string &afterKey) {
  Store.Store.list(KeyedStream::Hosts, afterKey, Loop.now() + StoreTimeout,
                   [this](const Result<KeyedBatch> &batch) {
                     if (!batch) {
                       return retryStore(batch.reason());
                     }
                     onHostsListed(*batch);
                   });
}

void FleetService::onHostsListed(const KeyedBatch &batch) {
  StoreFailures = 0;
  if (batch.Era > RepairedEra) {
    // No other host may have seen this one's address before it was lost.
    return registerSelf();
  }
  for (const auto &it : batch.Records) {
    if (OtherRecord && OtherRecord(it)) {
      continue;
    }
    const auto peer = parseAddress(it.Key);
    if (!peer || peer->Port == 0) {
      ++IgnoredEntries;
      Lines.warn("ignored an entry that names no host", {{"key", it.Key}});
    } else if (Table.addAddress(*peer, Loop.now())) {
      sendHello(*peer);
    }
  }
  if (batch.HasMore && !batch.Records.empty()) {
    return listHosts(batch.Records.back().Key);
  }
  NextAddressRequestAt = Loop.now() + AddressRequestInterval;
  if (Listed) {
    Listed(batch.Era);
  }
  Lines.info("registered in the store", {{"hosts", Table.hosts().size()}});
}

// Writes the addresses that the store has lost, if this host reads for others.
void FleetService::scheduleRepair() {
  const auto era = Store.Era.current();
  if (!Written || era <= RepairedEra || !Readers.includesSelf()) {
    return;
  }
  RepairedEra = era;
  Stored.clear();
  std::uniform_int_distribution<Duration::rep> delay(0, MaxRepairDelay.count());
  Loop.schedule(Loop.now() + Duration(delay(Random)),
                [this] { findMissing(""); });
}

void FleetService::findMissing(const std::string &afterKey) {
  Store.Store.list(KeyedStream::Hosts, afterKey, Loop.now() + StoreTimeout,
                   [this](const Result<KeyedBatch> &batch) {
                     if (!batch) {
                       // The next probe round tries again.
                       RepairedEra = 0;
                       return;
                     }
                     for (const auto &it : batch->Records) {
                       Stored.insert(it.Key);
                     }
                     if (batch->HasMore && !batch->Records.empty()) {
                       return findMissing(batch->Records.back().Key);
                     }
                     writeMissing();
                   });
}

void FleetService::writeMissing() {
  std::vector<KeyedRecord> missing;
  for (const auto &it : Table.hosts()) {
    const auto key = toString(it.first);
    if (it.second.reachable() && Stored.count(key) == 0) {
      missing.push_back({key, it.second.State.DataCentre});
    }
  }
  Stored.clear();
  if (missing.empty()) {
    return;
  }
  Lines.warn("the store has lost addresses of hosts; writing them again",
             {{"era", RepairedEra}, {"hosts", missing.size()}});
  Store.Store.appendAll(KeyedStream::Hosts, missing, Loop.now() + StoreTimeout,
                        [this](const AppendResult &result) {
                          if (result.Outcome != AppendOutcome::Written) {
                            RepairedEra = 0;
                          }
                        });
}

void FleetService::retryStore(const Reason &reason) {
  constexpr std::uint32_t maxDoublings = 3;
  const auto pause = std::min(MinStoreRetryDelay *
                                  (1 << std::min(StoreFailures, maxDoublings)),
                              MaxStoreRetryDelay);
  ++StoreFailures;
  Lines.warn("registration in the store failed; retrying",
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
  scheduleRepair();
  const auto now = Loop.now();
  Table.recordContact(Own, now);
  auto due = Table.selectProbeTargets(now);
  due.resize(std::min(due.size(), MaxProbes));
  for (const auto &it : due) {
    sendHello(it);
  }
  const auto gone = Table.removeExpired(now);
  for (const auto &it : gone) {
    Lines.info("removed a host that stayed unreachable",
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
  auto announcement = makeHello();
  // PoisonService distributes crash records itself; probes repeat them.
  announcement.deaths.clear();
  for (const auto &it : Plan.targets()) {
    sendAnnouncement(it.Peer, announcement,
                     it.IsRelay ? HelloRoute::ToRelay : HelloRoute::Direct);
  }
}

void FleetService::sendAnnouncement(const Address &peer, wire::HelloT hello,
                                    HelloRoute route) {
  hello.route = static_cast<std::uint8_t>(route);
  Network.send(peer, frameBody(std::move(hello)));
}

void FleetService::notifySome(std::size_t max,
                              const std::function<void()> &done) {
  for (const auto &it : randomHosts(max)) {
    sendHello(it, done);
  }
}

void FleetService::sendHello(const Address &peer, std::function<void()> done) {
  if (peer == Own) {
    return;
  }
  auto message = makeHello(peer);
  if (AddressesDiffer && Loop.now() >= NextAddressRequestAt &&
      Plan.isPreferredSource(peer)) {
    message.wants_addresses = true;
    NextAddressRequestAt = Loop.now() + AddressRequestInterval;
    AddressRequestInterval =
        std::min(2 * AddressRequestInterval, MaxAddressRequestInterval);
  }
  Network.request(
      peer, frameBody(std::move(message)), Loop.now() + HelloTimeout,
      [this, peer, done = std::move(done)](PeerOutcome outcome) {
        auto *answer = outcome.Answer ? outcome.Answer->AsHello() : nullptr;
        if (answer != nullptr) {
          handleHello(*answer);
          if (done) {
            done();
          }
          return;
        }
        const auto *known = Table.find(peer);
        const bool lost = known != nullptr && known->reachable();
        Table.recordFailure(peer, Loop.now());
        if (lost) {
          Lines.warn("host unreachable", {{"host", toString(peer)},
                                          {"reason", outcome.Failure.Message}});
          Changed();
        }
      });
}

wire::HelloT FleetService::makeHello() const {
  const auto self = Self();
  auto piggybacked = OwnPiggyback();
  wire::HelloT out;
  out.address = addressToWire(self.Peer);
  out.data_centre = self.DataCentre;
  out.boot_id = self.BootId;
  out.sequence = self.Sequence;
  out.leaving = self.Leaving;
  out.server = toWire(self.Server);
  out.gate = gateToWire(self.Gate, Loop.now());
  out.address_digest = Table.addressDigest();
  out.operator_end = piggybacked.OperatorEnd.Offset;
  out.operator_era = piggybacked.OperatorEnd.Era;
  out.operator_era_start = toWire(piggybacked.OperatorEraStart);
  out.operator_digest = piggybacked.OperatorDigest;
  out.rollout_digest = piggybacked.RolloutDigest;
  out.deaths = std::move(piggybacked.Deaths);
  out.unconfirmed_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          piggybacked.Unconfirmed)
          .count());
  out.departures = toWire(piggybacked.Departed);
  out.knows_departures = piggybacked.KnowsDepartures;
  return out;
}

wire::HelloT FleetService::makeHello(const Address &to) const {
  auto out = makeHello();
  out.your_departures = toWire(Table.departuresOf(to, Loop.now()));
  return out;
}

void FleetService::addAddresses(wire::HelloT &hello) const {
  for (const auto &it : Table.addresses()) {
    hello.addresses.push_back(addressToWire(it));
  }
}

void FleetService::mergeAddresses(const wire::HelloT &hello) {
  for (const auto &it : hello.addresses) {
    const auto peer = fromWire(it.get());
    if (peer && Table.addAddress(*peer, Loop.now())) {
      AddressRequestInterval = MinAddressRequestInterval;
      sendHello(*peer);
    }
  }
}

void FleetService::onHostChanged(const HostState &state, bool isNew) {
  Lines.info(isNew ? "host discovered" : "host state changed",
             {{"host", toString(state.Peer)},
              {"sequence", state.Sequence},
              {"service", state.Server.Service},
              {"version", state.Server.Version},
              {"phase", serverPhaseName(state.Server.Phase)},
              {"leaving", state.Leaving ? "yes" : "no"}});
  Changed();
}

// Handles a hello message, or the answer to one, sent by the host it describes.
void FleetService::handleHello(wire::HelloT &hello) {
  const auto state = stateOf(hello, Loop.now());
  if (!state || state->Peer == Own) {
    return;
  }
  const auto *known = Table.find(state->Peer);
  const bool isNew = known == nullptr || !known->reachable();
  if (Table.update(*state, Loop.now())) {
    onHostChanged(*state, isNew);
  }
  Table.recordDepartures(state->Peer, fromWire(hello.departures), Loop.now());
  mergeAddresses(hello);
  AddressesDiffer = hello.address_digest != Table.addressDigest();
  deliverPiggyback(state->Peer, hello);
}

void FleetService::deliverPiggyback(const Address &peer, wire::HelloT &hello) {
  PiggybackedState piggybacked;
  piggybacked.OperatorEnd = {hello.operator_era, hello.operator_end};
  piggybacked.OperatorEraStart = fromWire(hello.operator_era_start.get());
  piggybacked.OperatorDigest = hello.operator_digest;
  piggybacked.RolloutDigest = hello.rollout_digest;
  piggybacked.Unconfirmed = std::chrono::milliseconds(hello.unconfirmed_ms);
  piggybacked.Deaths = std::move(hello.deaths);
  piggybacked.Departed = fromWire(hello.your_departures);
  piggybacked.KnowsDepartures = hello.knows_departures;
  OnHelloReceived(peer, piggybacked);
}

void FleetService::handleAnnouncement(wire::HelloT &hello) {
  const auto state = stateOf(hello, Loop.now());
  if (!state || state->Peer == Own) {
    return;
  }
  const auto route = static_cast<HelloRoute>(hello.route);
  if (route == HelloRoute::Relayed) {
    handleRelayedAnnouncement(*state);
    return Table.recordDepartures(state->Peer, fromWire(hello.departures),
                                  Loop.now());
  }
  if (route == HelloRoute::ToRelay) {
    relay(*state, hello);
  }
  handleHello(hello);
}

// Forwards an announcement within the data centre if its state is new to this
// host. A state that is already known came through another relay, which has
// forwarded it.
void FleetService::relay(const HostState &state, const wire::HelloT &hello) {
  const auto *known = Table.find(state.Peer);
  const bool isNews = known == nullptr || !known->StateKnown ||
                      known->State.BootId != state.BootId ||
                      known->State.Sequence < state.Sequence;
  if (!isNews) {
    return;
  }
  for (const auto &it : Plan.relayTargets(state.Peer)) {
    sendAnnouncement(it, hello, HelloRoute::Relayed);
  }
}

void FleetService::handleRelayedAnnouncement(const HostState &state) {
  const auto *known = Table.find(state.Peer);
  const bool isNew = known == nullptr || !known->reachable();
  switch (Table.updateFromRelay(state, Loop.now())) {
  case RelayedUpdateResult::Applied:
    return onHostChanged(state, isNew);
  case RelayedUpdateResult::OtherBoot:
    return sendHello(state.Peer);
  case RelayedUpdateResult::Stale:
    return;
  }
}

void FleetService::onHello(wire::HelloT &request,
                           const PeerResponder &respond) {
  if (!respond) {
    return handleAnnouncement(request);
  }
  handleHello(request);
  const auto from = fromWire(request.address.get());
  auto answer = from ? makeHello(*from) : makeHello();
  if (request.wants_addresses &&
      request.address_digest != answer.address_digest) {
    addAddresses(answer);
  }
  respond(frameBody(std::move(answer)));
}

} // namespace chivefold
