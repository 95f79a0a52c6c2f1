// Counting of usage and its way to the root of the tree.
#include "chivefold/sidecar/usage_service.h"

#include "chivefold/daemon/wire_convert.h"
#include "usage_wire.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

DutyLeaseSettings leaseSettings(const UsageSettings &settings) {
  DutyLeaseSettings out;
  // Longer than the duty must not return to an earlier holder.
  out.Lifetime = settings.LeaseTime + std::chrono::seconds(1);
  return out;
}

std::uint64_t toWireMs(UtcTime time) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(time.time_since_epoch().count(), 0));
}

UtcTime fromWireMs(std::uint64_t ms) {
  return UtcTime(std::chrono::milliseconds(static_cast<std::int64_t>(ms)));
}

} // namespace

UsageService::UsageService(Reactor &reactor, PeerNetwork &network,
                           HttpClient &client, const UsageDependencies &parts,
                           UsageSettings settings, Address self,
                           std::uint64_t boot)
    : Loop(reactor), Network(network), Client(client), Parts(parts),
      Settings(std::move(settings)), Self(std::move(self)), Boot(boot),
      Lease(leaseSettings(Settings), Settings.Host, boot) {}

void UsageService::start() {
  if (!isOn()) {
    return;
  }
  StartedAt = Loop.now();
  NextOwn = windowAt(utcAt(StartedAt), Settings.WindowLength);
  tick();
}

void UsageService::stop() {
  if (!isOn() || Stopped) {
    return;
  }
  Stopped = true;
  const auto place = usageTreePlace(Parts.Fleet, Self, true);
  for (const auto &it : Own.takeThrough(~WindowNumber{0})) {
    Collected.add(it.first, {it.second.Counts, 0});
  }
  passOn(place);
}

UtcTime UsageService::utcAt(TimePoint at) const {
  const auto now = Loop.now();
  const auto since =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
  return Clock.at(now, Loop.utcNow()) - since;
}

void UsageService::count(const std::string &customer, TimePoint at, int n) {
  if (!isOn() || customer.empty()) {
    return;
  }
  const auto window =
      std::max(windowAt(utcAt(at), Settings.WindowLength), NextOwn);
  if (n > 0) {
    return Own.add(window, customer, 1);
  }
  Own.takeBack(window, customer);
}

void UsageService::tick() {
  if (!Stopped) {
    finishWindows();
  }
  const auto place = usageTreePlace(Parts.Fleet, Self, Stopped);
  if (place.Parent) {
    passOn(place);
  }
  performDuty(!place.Parent && !Stopped);
  Loop.schedule(Loop.now() + TickInterval, [this] { tick(); });
}

// Hands over the windows of this daemon that have ended, those without a
// request too: so it is known whose counts are missing.
void UsageService::finishWindows() {
  const auto utc = utcAt(Loop.now()) - SettleTime;
  const auto current =
      windowAt(std::chrono::time_point_cast<std::chrono::milliseconds>(utc),
               Settings.WindowLength);
  if (current > NextOwn + UsagePool::MaxWindows) {
    NextOwn = current - UsagePool::MaxWindows;
  }
  for (; NextOwn < current; ++NextOwn) {
    auto ended = Own.takeThrough(NextOwn);
    Collected.add(NextOwn, {{}, 1});
    for (auto &it : ended) {
      Collected.add(it.first, {std::move(it.second.Counts), 0});
    }
  }
}

// Sends the windows for which the hosts below have had time to send theirs.
void UsageService::passOn(const UsageTreePlace &place) {
  if (Sending) {
    return Sending->InFlight ? void() : sendBatch();
  }
  if (!place.Parent) {
    return;
  }
  const auto wait =
      Stopped ? Duration::zero()
              : SettleTime + TickInterval * static_cast<int>(place.LevelsBelow);
  const auto until = std::chrono::time_point_cast<std::chrono::milliseconds>(
      utcAt(Loop.now()) - wait);
  const auto current = windowAt(until, Settings.WindowLength);
  auto windows = Collected.takeThrough(Stopped ? current : current - 1);
  if (windows.empty()) {
    return;
  }
  Sending = Batch{*place.Parent, ++NextSequence, std::move(windows), Loop.now(),
                  false};
  sendBatch();
}

void UsageService::sendBatch() {
  wire::UsagePushT push;
  push.from = addressToWire(Self);
  push.boot_id = Boot;
  push.sequence = Sending->Sequence;
  push.clock_ms = toWireMs(Loop.utcNow());
  for (const auto &it : Sending->Windows) {
    auto window = std::make_unique<wire::UsageWindowT>();
    window->number = it.first;
    window->hosts = it.second.Hosts;
    window->counts = countsToWire(it.second.Counts);
    push.windows.push_back(std::move(window));
  }
  Sending->InFlight = true;
  Network.request(
      Sending->To, frameBody(std::move(push)), Loop.now() + PushTimeout,
      [this](PeerOutcome outcome) { onPushed(std::move(outcome)); });
}

void UsageService::onPushed(PeerOutcome outcome) {
  const auto *ack = outcome.Answer ? outcome.Answer->AsUsageAck() : nullptr;
  Sending->InFlight = false;
  if (ack != nullptr) {
    // The parent's own clock, and what most of its hosts have.
    const auto now = Loop.now();
    const auto parent = toString(Sending->To);
    Clock.record(parent, fromWireMs(ack->clock_ms), now);
    Clock.record(parent + " and others", fromWireMs(ack->common_ms), now);
    Sending.reset();
    return;
  }
  // The same host drops a repeat, but another one would count it twice.
  if (!outcome.MayHaveArrived ||
      Loop.now() >= Sending->FirstSentAt + MaxUnsureTime) {
    returnBatch();
  }
}

void UsageService::returnBatch() {
  for (const auto &it : Sending->Windows) {
    Collected.add(it.first, it.second);
  }
  Sending.reset();
}

void UsageService::onPush(const wire::UsagePushT &push,
                          const PeerResponder &respond) {
  const auto from = fromWire(push.from.get());
  if (!isOn() || !from || !respond) {
    return;
  }
  const auto now = Loop.now();
  const auto name = toString(*from);
  Clock.record(name, fromWireMs(push.clock_ms), now);
  auto &last = Taken[{name, push.boot_id}];
  if (push.sequence > last) {
    last = push.sequence;
    for (const auto &it : push.windows) {
      Collected.add(it->number, {countsFromWire(it->counts), it->hosts});
    }
  }
  while (Taken.size() > FleetTable::MaxHosts) {
    Taken.erase(Taken.begin());
  }
  wire::UsageAckT ack;
  ack.clock_ms = toWireMs(Loop.utcNow());
  ack.common_ms = toWireMs(utcAt(now));
  respond(frameBody(ack));
}

UsageFigures UsageService::figures() const {
  auto out = Figures;
  out.Holding = Lease.isHeld(Loop.now());
  out.Fence = out.Holding ? Lease.term().Fence : 0;
  out.Pending = Ledger.pending();
  out.GivenUp += Ledger.givenUp();
  out.Late += Own.dropped() + Collected.dropped();
  return out;
}

} // namespace chivefold
