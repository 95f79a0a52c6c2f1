#include "chivefold/daemon/membership_service.h"

#include "chivefold/daemon/wire_convert.h"

namespace chivefold {

struct MembershipService::Probe {
  Address Target;
  std::size_t Outstanding = 0;
  bool Reachable = false;
};

namespace {

/** Updates after which a member gets no new work must not wait for probes. */
bool isUrgent(MemberState state) {
  return state == MemberState::Leaving || state == MemberState::Left;
}

} // namespace

MembershipService::MembershipService(Reactor &reactor, PeerNetwork &network,
                                     MemberTable &members,
                                     GossipPayload &payload,
                                     std::function<void()> onChange)
    : Loop(reactor), Network(network), Members(members), Payload(payload),
      OnChange(std::move(onChange)) {}

MembershipService::~MembershipService() { Loop.cancel(Timer); }

void MembershipService::start() { tick(); }

void MembershipService::tick() {
  const auto now = Loop.now();
  Members.tick(now);
  if (const auto target = Members.nextProbe(now)) {
    probe(*target);
  }
  OnChange();
  Timer = Loop.schedule(now + TickInterval, [this] { tick(); });
}

wire::PingT MembershipService::makePing(const std::vector<Member> &updates) {
  wire::PingT ping;
  ping.from = toWire(Members.self());
  ping.applied = raw(Payload.appliedOffset());
  ping.state_digest = Payload.stateDigest();
  ping.updates = toWire(updates);
  ping.steps = Payload.stepsToSend();
  ping.deaths = Payload.deathsToSend();
  return ping;
}

void MembershipService::probe(const Address &target) {
  Network.request(
      target, frameBody(makePing(Members.takeUpdates())),
      Loop.now() + ProbeTimeout, [this, target](const PeerOutcome &outcome) {
        const auto *ack = outcome.Answer ? outcome.Answer->AsAck() : nullptr;
        if (ack != nullptr) {
          onAck(target, *ack);
        } else {
          probeIndirectly(target);
        }
      });
}

void MembershipService::onAck(const Address &target, const wire::AckT &ack) {
  if (const auto from = fromWire(ack.from.get())) {
    Members.mergeFromSender(*from, Loop.now());
  }
  mergeUpdates(fromWire(ack.updates));
  Payload.heardProgress(target, LogOffset{ack.applied}, ack.state_digest,
                        ack.steps);
  Payload.heardDeaths(ack.deaths);
}

void MembershipService::probeIndirectly(const Address &target) {
  const auto helpers = Members.indirectProbers(target);
  if (helpers.empty()) {
    Members.probeFailed(target, Loop.now());
    return;
  }
  auto probe = std::make_shared<Probe>();
  probe->Target = target;
  probe->Outstanding = helpers.size();
  for (const auto &it : helpers) {
    wire::PingRequestT request;
    request.target = addressToWire(target);
    Network.request(
        it, frameBody(std::move(request)), Loop.now() + 2 * ProbeTimeout,
        [this, probe](const PeerOutcome &outcome) {
          const auto *answer =
              outcome.Answer ? outcome.Answer->AsPingRequestAnswer() : nullptr;
          finishIndirect(probe, answer != nullptr && answer->reachable);
        });
  }
}

void MembershipService::finishIndirect(const std::shared_ptr<Probe> &probe,
                                       bool reachable) {
  probe->Reachable = probe->Reachable || reachable;
  if (--probe->Outstanding > 0 || probe->Reachable) {
    return;
  }
  Log.debug("member does not answer", {{"peer", toString(probe->Target)}});
  Members.probeFailed(probe->Target, Loop.now());
  OnChange();
}

void MembershipService::onPing(const wire::PingT &ping,
                               const PeerResponder &respond) {
  const auto from = fromWire(ping.from.get());
  if (!from) {
    return;
  }
  auto correction = Members.mergeFromSender(*from, Loop.now());
  mergeUpdates(fromWire(ping.updates));
  Payload.heardProgress(from->Peer, LogOffset{ping.applied}, ping.state_digest,
                        ping.steps);
  Payload.heardDeaths(ping.deaths);
  if (!respond) {
    return;
  }
  auto updates = Members.takeUpdates();
  if (correction) {
    updates.push_back(std::move(*correction));
  }
  wire::AckT ack;
  ack.from = toWire(Members.self());
  ack.applied = raw(Payload.appliedOffset());
  ack.state_digest = Payload.stateDigest();
  ack.updates = toWire(updates);
  ack.steps = Payload.stepsToSend();
  ack.deaths = Payload.deathsToSend();
  respond(frameBody(std::move(ack)));
}

void MembershipService::onPingRequest(const wire::PingRequestT &request,
                                      const PeerResponder &respond) {
  const auto target = fromWire(request.target.get());
  if (!target || !respond) {
    return;
  }
  Network.request(*target, frameBody(makePing({})), Loop.now() + ProbeTimeout,
                  [respond](const PeerOutcome &outcome) {
                    wire::PingRequestAnswerT answer;
                    answer.reachable = outcome.Answer != nullptr;
                    respond(frameBody(answer));
                  });
}

void MembershipService::merge(const std::vector<Member> &members) {
  const auto now = Loop.now();
  for (const auto &it : members) {
    Members.merge(it, now);
  }
  OnChange();
}

void MembershipService::mergeUpdates(const std::vector<Member> &updates) {
  std::vector<Member> urgent;
  const auto now = Loop.now();
  for (const auto &it : updates) {
    if (Members.merge(it, now) && isUrgent(it.State)) {
      urgent.push_back(it);
    }
  }
  if (!urgent.empty()) {
    pushUrgent(urgent);
  }
  OnChange();
}

void MembershipService::pushUrgent(const std::vector<Member> &updates) {
  for (const auto &it : Members.randomPeers(UrgentFanout, true)) {
    Network.send(it, frameBody(makePing(updates)));
  }
}

void MembershipService::announceSelf(MemberState state) {
  Members.updateSelf(Members.self().ServiceVersion, state);
  pushUrgent({Members.self()});
}

} // namespace chivefold
