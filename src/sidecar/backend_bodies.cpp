// Calls whose bodies are passed on to the backend server while they arrive.
#include "chivefold/sidecar/backend_service.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Interval at which open bodies are checked while other calls wait. */
constexpr Duration BodyCheckInterval = std::chrono::milliseconds(250);

} // namespace

std::size_t BackendService::openBodies() const {
  return static_cast<std::size_t>(
      std::count_if(Calls.begin(), Calls.end(), [](const auto &it) {
        return it.second.Message.isBodyOpen();
      }));
}

// Whether the server takes another call with an open body, maybe in place of
// one that does not get on.
bool BackendService::admitsBody(const CallMessage &call) {
  if (!call.isBodyOpen() ||
      openBodies() < OpenBodyPolicy::limit(Server.Slots) || giveUpSlowBody()) {
    return true;
  }
  ++Bodies.Refused;
  return false;
}

// Ends the call whose body is slowest, if it is too slow. Its server got a part
// of it. @return whether there was one.
bool BackendService::giveUpSlowBody() {
  const auto now = Loop.now();
  std::vector<OpenBody> running;
  for (const auto &it : Calls) {
    const auto &call = it.second;
    if (call.Http != HttpCallId::None && call.Message.isBodyOpen()) {
      running.push_back(
          {it.first, call.StartedAt, call.Message.Rest->pace(now)});
    }
  }
  const auto id = OpenBodyPolicy::slowest(running, now);
  if (!id) {
    return false;
  }
  const auto &call = Calls.at(*id);
  ++Bodies.GivenUp;
  Lines.info("gave up a call whose body does not get on",
             {{"request", call.Message.RequestId},
              {"instance", call.Message.Instance},
              {"open_bodies", running.size()}});
  const bool unsent = Client.cancelUnsent(call.Http);
  if (!unsent) {
    Client.cancel(call.Http);
  }
  finish(*id,
         unsent
             ? failedCall(Outcome::NotRun, ErrorCode::TooLarge, 503,
                          BodyRetryAfter)
             : failedCall(Outcome::Unknown, ErrorCode::OutcomeUnknown, 502, {}),
         std::nullopt);
  return true;
}

// Checks, while bodies are open, whether one keeps a slot from a call that
// waits.
void BackendService::watchBodies() {
  if (BodyTimer != TimerId::None) {
    return;
  }
  BodyTimer = Loop.schedule(Loop.now() + BodyCheckInterval, [this] {
    BodyTimer = TimerId::None;
    if (Gate.state(Loop.now()).Queued > 0) {
      giveUpSlowBody();
    }
    if (openBodies() > 0) {
      watchBodies();
    }
  });
}

BodyFigures BackendService::bodyFigures() const {
  auto out = Bodies;
  out.Open = openBodies();
  return out;
}

} // namespace chivefold
