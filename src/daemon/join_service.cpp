#include "chivefold/daemon/join_service.h"

#include "chivefold/daemon/wire_convert.h"

#include <algorithm>

namespace chivefold {

JoinService::JoinService(Reactor &reactor, PeerNetwork &network,
                         ControlService &control, const ControlState &state,
                         MembershipService &membership, MemberTable &members,
                         const Settings &settings, std::uint64_t seed)
    : Loop(reactor), Network(network), Control(control), State(state),
      Membership(membership), Members(members), Own(settings), Random(seed) {}

JoinService::~JoinService() { Loop.cancel(Timer); }

void JoinService::start() {
  AnnounceAfter = Loop.now() + AloneTime;
  tick();
}

void JoinService::tick() {
  for (const auto &it : targets()) {
    ask(it);
  }
  announceIfAlone();
  Timer = Loop.schedule(Loop.now() + nextPause(), [this] { tick(); });
}

Duration JoinService::nextPause() {
  // Full jitter keeps a herd of restarted daemons from asking in step.
  std::uniform_int_distribution<Duration::rep> pause(FirstPause.count() / 2,
                                                     Pause.count());
  Pause = std::min(2 * Pause, MaxPause);
  return Duration(pause(Random));
}

std::vector<Address> JoinService::targets() {
  std::vector<Address> known = Own.Seeds;
  for (const auto &it : State.announces()) {
    known.push_back(it.Peer);
  }
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  const bool ready = Control.readiness().Ready;
  const auto unwanted = [&](const Address &a) {
    const auto *member = Members.find(a);
    const bool alive = member != nullptr && member->State == MemberState::Alive;
    return a == Members.self().Peer || (ready && alive);
  };
  known.erase(std::remove_if(known.begin(), known.end(), unwanted),
              known.end());
  std::shuffle(known.begin(), known.end(), Random);
  known.resize(std::min(known.size(), ready ? 1 : Width));
  if (!ready) {
    const auto others = Members.randomPeers(Width, true);
    known.insert(known.end(), others.begin(), others.end());
  }
  return known;
}

void JoinService::ask(const Address &peer) {
  wire::JoinT join;
  join.from = toWire(Members.self());
  Network.request(peer, frameBody(std::move(join)), Loop.now() + JoinTimeout,
                  [this, peer](const PeerOutcome &outcome) {
                    const auto *answer = outcome.Answer
                                             ? outcome.Answer->AsJoinAnswer()
                                             : nullptr;
                    if (answer != nullptr) {
                      onAnswer(peer, *answer);
                    }
                  });
}

void JoinService::onAnswer(const Address &peer,
                           const wire::JoinAnswerT &answer) {
  Membership.merge(fromWire(answer.members));
  for (const auto &it : answer.steps) {
    Control.onStep(*it);
  }
  Control.heardDeaths(answer.deaths);
  PeerAnswer said;
  said.Peer = peer;
  const auto *member = Members.find(peer);
  said.DataCentre = member != nullptr ? member->DataCentre : "";
  said.Ready = answer.ready;
  said.Applied = LogOffset{answer.applied};
  said.YourFloor = LogOffset{answer.your_floor};
  Control.joinAnswered(said);
}

void JoinService::onJoin(const wire::JoinT &join,
                         const PeerResponder &respond) {
  const auto from = fromWire(join.from.get());
  if (!from || !respond) {
    return;
  }
  wire::JoinAnswerT answer;
  answer.your_floor = raw(Members.floorOf(from->Peer));
  Members.mergeFromSender(*from, Loop.now());
  answer.ready = Control.readiness().Ready;
  answer.applied = raw(Control.appliedOffset());
  answer.members = toWire(Members.members());
  answer.steps = Control.stepsToSend();
  answer.deaths = Control.deathsForJoin();
  respond(frameBody(std::move(answer)));
}

void JoinService::announceIfAlone() {
  const auto now = Loop.now();
  if (Members.aliveCount() > 1 || now < AnnounceAfter ||
      !Control.logStatus().Available) {
    return;
  }
  AnnounceAfter = now + MaxPause;
  Lines.info("no live peer, announcing in the log");
  Control.append(
      AnnounceRecord{Members.self().Peer, Own.DataCentre, Own.Region},
      JoinTimeout, [](const Result<LogOffset> &, bool) {});
}

} // namespace chivefold
