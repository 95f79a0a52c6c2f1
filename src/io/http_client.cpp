#include "chivefold/io/http_client.h"

#include "http_channel.h"
#include "http_io.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace chivefold {

namespace {

struct Target {
  Address Server;
  std::string Path;
};

std::optional<Target> parseUrl(std::string_view url) {
  constexpr std::string_view scheme = "http://";
  if (url.substr(0, scheme.size()) != scheme) {
    return std::nullopt;
  }
  url.remove_prefix(scheme.size());
  const auto n = std::min(url.find('/'), url.size());
  const auto server = parseAddress(url.substr(0, n));
  if (!server) {
    return std::nullopt;
  }
  return Target{*server, n < url.size() ? std::string(url.substr(n)) : "/"};
}

bool isPlain(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

bool isWellFormed(const HttpCall &call, const Target &target) {
  return isPlain(call.Method) && isPlain(target.Path) &&
         std::all_of(call.Headers.begin(), call.Headers.end(), [](auto &it) {
           return isPlain(it.Name) && isPlain(it.Value);
         });
}

bool hasBody(const HttpCall &call) {
  return !call.Body.empty() || call.Rest || call.Method == "POST" ||
         call.Method == "PUT" || call.Method == "PATCH";
}

std::string encode(const HttpCall &call, const Target &target) {
  std::string out = call.Method + " " + target.Path + " HTTP/1.1\r\n";
  if (headerValue(call.Headers, "Host").empty()) {
    out += "Host: " + toString(target.Server) + "\r\n";
  }
  for (const auto &it : call.Headers) {
    out += it.Name + ": " + it.Value + "\r\n";
  }
  if (call.Rest && !call.Rest->length()) {
    return out + "Transfer-Encoding: chunked\r\n\r\n" +
           chunkOf(call.Body.view());
  }
  if (hasBody(call)) {
    const auto rest = call.Rest ? *call.Rest->length() : 0;
    out +=
        "Content-Length: " + std::to_string(call.Body.size() + rest) + "\r\n";
  }
  return out + "\r\n" + call.Body;
}

} // namespace

// Callbacks run only from deliver(), and waiting calls get their connections
// only from assignWaiting(). Both are tasks of the loop: whatever ends a call
// or frees a connection schedules them, so that neither runs while another
// function of the client is at work.
struct HttpClient::Impl : HttpChannelOwner {
  struct Entry {
    HttpCall Call;
    Target To;
    Callback Done;
    /** Connection of a call in progress. */
    std::shared_ptr<HttpChannel> Channel;
    /** Runs at the deadline or, for a call that has ended, delivers Outcome. */
    TimerId Timer = TimerId::None;
    /** How the call ended; its callback has not run yet. */
    std::optional<HttpOutcome> Outcome;
  };

  Impl(Reactor &r, std::size_t max) : Loop(r), MaxConnections(max) {}
  ~Impl() override {
    for (const auto &it : Calls) {
      Loop.cancel(it.second.Timer);
    }
    Loop.cancel(Assignment);
    Loop.cancel(Sweep);
    for (const auto &it : Channels) {
      it->close();
    }
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start(std::uint64_t id, HttpCall call);
  bool assign(std::uint64_t id);
  std::shared_ptr<HttpChannel> idleFor(const Entry &entry);
  bool dropOldestIdle();
  bool makeRoom();
  void drop(HttpChannel &channel);
  void end(std::uint64_t id, HttpOutcome outcome);
  void deliver(std::uint64_t id);
  void expire(std::uint64_t id);
  void cancel(std::uint64_t id);
  bool cancelUnsent(std::uint64_t id);
  void setMaxConnections(std::size_t max);
  void stopWaiting(std::uint64_t id);
  void assignLater();
  void assignWaiting();
  void sweep();
  void onFinished(HttpChannel &channel, HttpOutcome outcome) override;
  void onIdleClosed(HttpChannel &channel) override { drop(channel); }
  void onHeld() override;

  Reactor &Loop;
  std::size_t MaxConnections;
  std::uint64_t NextCall = 0;
  std::unordered_map<std::uint64_t, Entry> Calls;
  /** Calls without a connection, in the order of their start. */
  std::deque<std::uint64_t> Waiting;
  std::vector<std::shared_ptr<HttpChannel>> Channels;
  TimerId Assignment = TimerId::None;
  TimerId Sweep = TimerId::None;
};

std::shared_ptr<HttpChannel> HttpClient::Impl::idleFor(const Entry &entry) {
  const auto now = Loop.now();
  std::shared_ptr<HttpChannel> best;
  for (const auto &it : Channels) {
    const bool fits = it->User == HttpCallId::None && it->isOpen() &&
                      it->server() == entry.To.Server &&
                      now < it->ReusableUntil &&
                      it->UsedAt >= entry.Call.ReuseUsedSince;
    if (fits && (!best || it->UsedAt > best->UsedAt)) {
      best = it;
    }
  }
  return best;
}

// Closes the idle connection that was used least recently. @return false if
// there is none.
bool HttpClient::Impl::dropOldestIdle() {
  std::shared_ptr<HttpChannel> oldest;
  for (const auto &it : Channels) {
    if (it->User == HttpCallId::None &&
        (!oldest || it->UsedAt < oldest->UsedAt)) {
      oldest = it;
    }
  }
  if (oldest) {
    drop(*oldest);
  }
  return oldest != nullptr;
}

// Closes idle connections until one more may be opened. @return false if calls
// use all that are allowed.
bool HttpClient::Impl::makeRoom() {
  while (Channels.size() >= MaxConnections && dropOldestIdle()) {
  }
  return Channels.size() < MaxConnections;
}

void HttpClient::Impl::drop(HttpChannel &channel) {
  const auto it =
      std::find_if(Channels.begin(), Channels.end(),
                   [&](const auto &c) { return c.get() == &channel; });
  if (it != Channels.end()) {
    (*it)->close();
    // Freed in the next turn: the channel may be on the call stack.
    Loop.schedule(Loop.now(), [kept = *it] {});
    Channels.erase(it);
    assignLater();
  }
}

void HttpClient::Impl::start(std::uint64_t id, HttpCall call) {
  const auto target = parseUrl(call.Url);
  if (!target || !isWellFormed(call, *target)) {
    return end(id, {Reason{ErrorCode::InvalidArgument,
                           "the request is not well-formed"},
                    false});
  }
  auto &entry = Calls.at(id);
  entry.To = *target;
  entry.Call = std::move(call);
  entry.Timer = Loop.schedule(entry.Call.Deadline, [this, id] { expire(id); });
  // Those that wait already come first.
  if (!Waiting.empty() || !assign(id)) {
    Waiting.push_back(id);
  }
}

// Gives the call a connection. The call may end by that. @return false if it
// has to wait for one.
bool HttpClient::Impl::assign(std::uint64_t id) {
  auto &entry = Calls.at(id);
  auto channel = entry.Call.FreshConnection ? nullptr : idleFor(entry);
  if (!channel) {
    if (!makeRoom()) {
      return false;
    }
    channel = std::make_shared<HttpChannel>(Loop, *this, entry.To.Server);
    if (!channel->connect()) {
      end(id, {Reason{ErrorCode::ConnectionFailed, "cannot connect"}, false});
      return true;
    }
    Channels.push_back(channel);
  }
  channel->User = static_cast<HttpCallId>(id);
  entry.Channel = channel;
  auto bytes = encode(entry.Call, entry.To);
  entry.Call.Body.clear();
  channel->exchange(std::move(bytes), entry.Call);
  return true;
}

void HttpClient::Impl::onFinished(HttpChannel &channel, HttpOutcome outcome) {
  const auto id = static_cast<std::uint64_t>(channel.User);
  channel.User = HttpCallId::None;
  if (!channel.isOpen() || Channels.size() > MaxConnections) {
    drop(channel);
  }
  sweep();
  assignLater();
  end(id, std::move(outcome));
}

// One large response does not take the memory of all others.
void HttpClient::Impl::onHeld() {
  std::size_t held = 0;
  std::shared_ptr<HttpChannel> largest;
  for (const auto &it : Channels) {
    held += it->held();
    if (!largest || it->held() > largest->held()) {
      largest = it;
    }
  }
  if (held > HttpLimits::MaxHeldBytes) {
    largest->giveUp();
  }
}

// Ends a call that is not in the queue. Its callback runs later, from the loop.
void HttpClient::Impl::end(std::uint64_t id, HttpOutcome outcome) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  auto &entry = it->second;
  entry.Channel.reset();
  entry.Outcome = std::move(outcome);
  Loop.cancel(entry.Timer);
  entry.Timer = Loop.schedule(Loop.now(), [this, id] { deliver(id); });
}

// The callback may destroy the client.
void HttpClient::Impl::deliver(std::uint64_t id) {
  const auto ended = Calls.extract(id);
  ended.mapped().Done(std::move(*ended.mapped().Outcome));
}

void HttpClient::Impl::expire(std::uint64_t id) {
  bool sent = false;
  if (const auto channel = Calls.at(id).Channel) {
    sent = channel->sentAny();
    drop(*channel);
  }
  stopWaiting(id);
  end(id, {Reason{ErrorCode::DeadlineExceeded, "deadline passed"}, sent});
}

void HttpClient::Impl::cancel(std::uint64_t id) {
  const auto cancelled = Calls.extract(id);
  if (cancelled.empty()) {
    return;
  }
  Loop.cancel(cancelled.mapped().Timer);
  stopWaiting(id);
  if (const auto &channel = cancelled.mapped().Channel) {
    drop(*channel);
  }
}

bool HttpClient::Impl::cancelUnsent(std::uint64_t id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return false;
  }
  const auto &entry = it->second;
  const bool mayHaveRun = entry.Outcome
                              ? entry.Outcome->MayHaveRun
                              : entry.Channel && entry.Channel->sentAny();
  if (!mayHaveRun) {
    cancel(id);
  }
  return !mayHaveRun;
}

void HttpClient::Impl::setMaxConnections(std::size_t max) {
  MaxConnections = std::max<std::size_t>(max, 1);
  while (Channels.size() > MaxConnections && dropOldestIdle()) {
  }
  assignLater();
}

void HttpClient::Impl::stopWaiting(std::uint64_t id) {
  Waiting.erase(std::remove(Waiting.begin(), Waiting.end(), id), Waiting.end());
}

void HttpClient::Impl::assignLater() {
  if (Assignment == TimerId::None && !Waiting.empty()) {
    Assignment = Loop.schedule(Loop.now(), [this] {
      Assignment = TimerId::None;
      assignWaiting();
    });
  }
}

void HttpClient::Impl::assignWaiting() {
  while (!Waiting.empty()) {
    const auto id = Waiting.front();
    Waiting.pop_front();
    if (!assign(id)) {
      Waiting.push_front(id);
      return;
    }
  }
}

// Closes connections that were idle too long, before their server does.
void HttpClient::Impl::sweep() {
  if (Sweep != TimerId::None) {
    return;
  }
  Sweep = Loop.schedule(Loop.now() + std::chrono::seconds(1), [this] {
    Sweep = TimerId::None;
    const auto now = Loop.now();
    const auto open = Channels;
    for (const auto &it : open) {
      if (it->User == HttpCallId::None && now >= it->ReusableUntil) {
        drop(*it);
      }
    }
    if (!Channels.empty()) {
      sweep();
    }
  });
}

HttpClient::HttpClient(Reactor &reactor, std::size_t maxConnections)
    : State(std::make_unique<Impl>(reactor, maxConnections)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, Callback done) {
  const auto id = ++State->NextCall;
  State->Calls[id].Done = std::move(done);
  State->start(id, std::move(call));
  return static_cast<HttpCallId>(id);
}

void HttpClient::setMaxConnections(std::size_t max) {
  State->setMaxConnections(max);
}

void HttpClient::cancel(HttpCallId id) {
  State->cancel(static_cast<std::uint64_t>(id));
}

bool HttpClient::cancelUnsent(HttpCallId id) {
  return State->cancelUnsent(static_cast<std::uint64_t>(id));
}

void HttpClient::closeIdle() {
  const auto open = State->Channels;
  for (const auto &it : open) {
    if (it->User == HttpCallId::None) {
      State->drop(*it);
    }
  }
}

} // namespace chivefold
