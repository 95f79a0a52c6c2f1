/**
 * @file
 * Cost of a choice of Placement and of an admission of SlotGate with 46, 300
 * and 4,100 servers. Beside each time stands its ratio to a reference that is
 * measured in the same run, in turns with it, so that ratios of different runs
 * can be compared when the machine is loaded.
 */
#include "chivefold/core/gate.h"
#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <string>
#include <unordered_map>
#include <vector>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr std::size_t Rounds = 15;
constexpr std::uint32_t Slots = 12;

/** There are no orders. */
class NoOrders : public OperatorCodec {
public:
  Result<OperatorOrder> decode(std::string_view,
                               std::string_view) const override {
    return Reason{ErrorCode::InvalidRecord, "no orders"};
  }
  OperatorOrder decodeKey(std::string_view) const override { return {}; }
};

Address addressOf(std::size_t n) {
  return {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250),
          9000};
}

/** Servers of one service in three data centres. */
struct Fleet {
  explicit Fleet(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      HostState host;
      host.Peer = addressOf(n);
      host.DataCentre = std::string(1, static_cast<char>('a' + n % 3));
      host.BootId = 1;
      host.Server = {"i-" + std::to_string(n), "s",  "v1", Slots,
                     ServerPhase::Ready,       n + 1};
      Hosts.update(host, Start);
      Peers.push_back(host.Peer);
    }
    Servers.refresh();
  }

  NoOrders Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Hosts{1};
  std::vector<Address> Peers;
  Placement Servers{Hosts, Orders, Versions, {"10.9.9.9", 1}, "a", 1};
};

/** The least that a choice by expected latency does for each server: two
 * look-ups, a decay and a probability. */
class ReferenceChoice {
public:
  explicit ReferenceChoice(const Fleet &fleet) : Known(fleet) {
    for (const auto &it : fleet.Peers) {
      Loads[it] = {2.5, Start};
    }
  }

  const Address *choose(TimePoint now) const {
    const Address *best = nullptr;
    double bestValue = 0;
    for (const auto &peer : Known.Peers) {
      const auto *entry = Known.Hosts.find(peer);
      const auto load = Loads.find(peer);
      const std::chrono::duration<double> age = now - load->second.At;
      const double outstanding =
          load->second.Outstanding * std::exp2(-age.count() / 4);
      const double us = 50'000 * (1 + outstanding / entry->State.Server.Slots);
      const double value = 1 / (1 + std::pow(us / 500'000, 3));
      if (best == nullptr || value > bestValue) {
        best = &peer;
        bestValue = value;
      }
    }
    return best;
  }

private:
  struct Load {
    double Outstanding = 0;
    TimePoint At{};
  };
  const Fleet &Known;
  std::unordered_map<Address, Load> Loads;
};

/** @return processor time of this thread in microseconds, which other work on
 * the machine lengthens far less than the time that passes. */
double processorUs() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 +
         static_cast<double>(t.tv_nsec) / 1e3;
}

/** @return microseconds of one of @p runs of @p body. */
template <class Body> double cost(std::size_t runs, Body &body) {
  const auto begin = processorUs();
  for (std::size_t n = 0; n < runs; ++n) {
    body();
  }
  return (processorUs() - begin) / static_cast<double>(runs);
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

struct Comparison {
  double Us = 0;
  double ReferenceUs = 0;
  double Ratio = 0;
};

/** Measures two bodies in turns. @return the medians. */
template <class Body, class Reference>
Comparison compare(std::size_t runs, Body body, Reference reference) {
  std::vector<double> us;
  std::vector<double> referenceUs;
  std::vector<double> ratios;
  for (std::size_t n = 0; n < Rounds; ++n) {
    referenceUs.push_back(cost(runs, reference));
    us.push_back(cost(runs, body));
    ratios.push_back(us.back() / referenceUs.back());
  }
  return {median(us), median(referenceUs), median(ratios)};
}

PlacementRequest request() {
  PlacementRequest out;
  out.Service = "s";
  out.Route = "r";
  out.Priority = 1;
  out.TargetLatency = 250ms;
  return out;
}

GateState gateWith(std::uint32_t inFlight) {
  GateState out;
  out.Limit = Slots;
  out.InFlight = inFlight;
  return out;
}

/** Lets every server answer once, so that all have a load. */
void warmUp(Fleet &fleet) {
  std::uint32_t n = 0;
  for (const auto &it : fleet.Peers) {
    fleet.Servers.started(it);
    fleet.Servers.answered(it, "r", Duration(40'000 + 1'000 * (n % 30)), 4000,
                           false, gateWith(n % Slots), Start);
    ++n;
  }
}

Comparison choice(std::size_t servers) {
  Fleet fleet(servers);
  warmUp(fleet);
  const ReferenceChoice reference(fleet);
  auto now = Start;
  auto referenceNow = Start;
  std::size_t found = 0;
  const auto wanted = request();
  const auto out = compare(
      200'000 / servers,
      [&] {
        now += 50us;
        found += fleet.Servers.choose(wanted, now).Peer ? 1 : 0;
      },
      [&] {
        referenceNow += 50us;
        found += reference.choose(referenceNow) != nullptr ? 1 : 0;
      });
  return found == 0 ? Comparison() : out;
}

/** A choice with the records of its request and its answer. */
Comparison wholeAttempt(std::size_t servers) {
  Fleet fleet(servers);
  warmUp(fleet);
  const ReferenceChoice reference(fleet);
  auto now = Start;
  auto referenceNow = Start;
  std::size_t found = 0;
  const auto wanted = request();
  return compare(
      200'000 / servers,
      [&] {
        now += 50us;
        const auto chosen = fleet.Servers.choose(wanted, now);
        if (chosen.Peer) {
          fleet.Servers.started(*chosen.Peer);
          fleet.Servers.answered(*chosen.Peer, "r", 45ms, 4000, false,
                                 gateWith(++found % Slots), now);
        }
      },
      [&] {
        referenceNow += 50us;
        found += reference.choose(referenceNow) != nullptr ? 1 : 0;
      });
}

SlotRequest slotRequest(std::uint64_t id, TimePoint now) {
  SlotRequest out;
  out.Id = GateRequestId{id};
  out.Priority = static_cast<std::uint32_t>(id % 3);
  out.Deadline = now + 5s;
  out.Route = "r";
  out.InTimeUntil = now + 250ms;
  return out;
}

/** An admission at each gate of the fleet in turn; @p queued requests wait at
 * each of them. The reference is the gate of the other daemon. */
Comparison admission(std::size_t servers, std::uint32_t queued) {
  std::vector<SlotGate> gates(servers);
  std::vector<Gate> references;
  std::uint64_t id = 0;
  for (auto &it : gates) {
    it.open(Slots, 0);
    for (std::uint32_t n = 0; queued > 0 && n < Slots + queued; ++n) {
      it.admit(slotRequest(++id, Start), Start);
    }
    references.emplace_back(ServerLimits{Slots, 100, 48, 2});
  }
  auto now = Start;
  std::size_t turn = 0;
  std::size_t referenceTurn = 0;
  return compare(
      50'000,
      [&] {
        now += 1us;
        auto &gate = gates[turn++ % gates.size()];
        const auto admitted = gate.admit(slotRequest(++id, now), now);
        if (admitted.Kind == AdmissionKind::Run) {
          gate.finished(GateRequestId{id}, 5ms);
        } else {
          gate.cancel(GateRequestId{id});
        }
      },
      [&] {
        now += 1us;
        auto &gate = references[referenceTurn++ % references.size()];
        const auto request = GateRequestId{++id};
        gate.admit({request, 1, now + 5s, false}, now);
        gate.finish(request, ServerResult::Ok, 5ms, now);
      });
}

void print(const char *name, std::size_t servers, const Comparison &c) {
  std::printf("%-34s %5zu servers %9.2f us, reference %8.2f us, ratio %5.2f\n",
              name, servers, c.Us, c.ReferenceUs, c.Ratio);
}

} // namespace

int main() {
  std::printf(
      "medians of processor time in %zu rounds, in turns with the reference\n",
      Rounds);
  for (const std::size_t servers : {46U, 300U, 4100U}) {
    print("choice", servers, choice(servers));
    print("choice, start and answer", servers, wholeAttempt(servers));
    print("admission, empty queue", servers, admission(servers, 0));
    print("admission, 12 waiting", servers, admission(servers, 12));
    print("admission, 40 waiting", servers, admission(servers, 40));
  }
  return 0;
}
