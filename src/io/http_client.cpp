#include "chivefold/io/http_client.h"

#include "curl_transfer.h"
#include "descriptor_watch.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace chivefold {

namespace {

// Calls that wait for a connection. More are refused as not run.
constexpr std::size_t MaxQueuedCalls = 4096;

void initCurl() {
  static const CURLcode once = curl_global_init(CURL_GLOBAL_ALL);
  (void)once;
}

} // namespace

struct HttpClient::Impl {
  Impl(Reactor &reactor, std::size_t maxConnections);
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  // A call from start() to its callback. Transfer is set once it is active.
  struct Pending {
    HttpCall Call;
    Callback Done;
    TimerId Timer = TimerId::None;
    std::unique_ptr<CurlTransfer> Transfer;
  };

  HttpCallId start(HttpCall call, Callback done);
  void cancel(std::uint64_t id);
  void activate();
  void setMaxConnections(std::size_t max);
  void finish(std::uint64_t id, HttpOutcome outcome);
  void expire(std::uint64_t id);
  void collect();
  void onSocket(int fd, int what);
  void act(int fd, int mask);

  static int socketCallback(CURL *easy, curl_socket_t fd, int what, void *cls,
                            void *watch);
  static int timerCallback(CURLM *multi, long ms, void *cls);

  Reactor &Loop;
  std::size_t MaxConnections;
  CURLM *Multi;
  TimerId CurlTimer = TimerId::None;
  std::uint64_t NextId = 0;
  std::size_t Active = 0;
  std::unordered_map<std::uint64_t, Pending> Calls;
  // Ids in order of arrival; those of calls that ended meanwhile are skipped.
  std::deque<std::uint64_t> Queue;
  std::unordered_map<int, std::unique_ptr<DescriptorWatch>> Watches;
  // A watch may be given up while it runs, so it is freed afterwards.
  std::vector<std::unique_ptr<DescriptorWatch>> Discarded;
};

HttpClient::Impl::Impl(Reactor &reactor, std::size_t maxConnections)
    : Loop(reactor), MaxConnections(maxConnections) {
  initCurl();
  Multi = curl_multi_init();
  setMaxConnections(maxConnections);
  curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &Impl::socketCallback);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &Impl::timerCallback);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
}

HttpClient::Impl::~Impl() {
  for (auto &it : Calls) {
    Loop.cancel(it.second.Timer);
    if (it.second.Transfer) {
      curl_multi_remove_handle(Multi, it.second.Transfer->handle());
    }
  }
  Calls.clear();
  curl_multi_cleanup(Multi);
  Loop.cancel(CurlTimer);
}

HttpCallId HttpClient::Impl::start(HttpCall call, Callback done) {
  const auto id = ++NextId;
  auto &pending = Calls[id];
  pending.Call = std::move(call);
  pending.Done = std::move(done);
  auto reason = CurlTransfer::check(pending.Call);
  if (reason.Code == ErrorCode::Ok && Calls.size() > MaxConnections &&
      Calls.size() - Active > MaxQueuedCalls) {
    reason = {ErrorCode::Overloaded, "too many calls wait"};
  }
  if (reason.Code != ErrorCode::Ok) {
    pending.Timer = Loop.schedule(Loop.now(), [this, id, reason] {
      finish(id, {reason, false});
    });
    return static_cast<HttpCallId>(id);
  }
  pending.Timer =
      Loop.schedule(pending.Call.Deadline, [this, id] { expire(id); });
  Queue.push_back(id);
  activate();
  return static_cast<HttpCallId>(id);
}

void HttpClient::Impl::setMaxConnections(std::size_t max) {
  MaxConnections = std::max<std::size_t>(max, 1);
  const auto limit = static_cast<long>(MaxConnections);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, limit);
  curl_multi_setopt(Multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, limit);
  activate();
}

void HttpClient::Impl::activate() {
  while (Active < MaxConnections && !Queue.empty()) {
    const auto id = Queue.front();
    Queue.pop_front();
    const auto it = Calls.find(id);
    if (it == Calls.end()) {
      continue;
    }
    ++Active;
    it->second.Transfer = std::make_unique<CurlTransfer>(id, it->second.Call);
    curl_multi_add_handle(Multi, it->second.Transfer->handle());
  }
}

void HttpClient::Impl::cancel(std::uint64_t id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  Loop.cancel(it->second.Timer);
  if (it->second.Transfer) {
    // Closes the connection if the transfer is not complete.
    curl_multi_remove_handle(Multi, it->second.Transfer->handle());
    --Active;
  }
  Calls.erase(it);
  // Ids of ended calls stay in the queue only while calls before them wait.
  while (!Queue.empty() && Calls.count(Queue.front()) == 0) {
    Queue.pop_front();
  }
  if (Queue.size() > 2 * MaxQueuedCalls) {
    Queue.erase(std::remove_if(Queue.begin(), Queue.end(),
                               [&](auto n) { return Calls.count(n) == 0; }),
                Queue.end());
  }
  activate();
}

void HttpClient::Impl::finish(std::uint64_t id, HttpOutcome outcome) {
  const auto it = Calls.find(id);
  if (it != Calls.end()) {
    const auto done = std::move(it->second.Done);
    cancel(id);
    done(std::move(outcome));
  }
}

void HttpClient::Impl::expire(std::uint64_t id) {
  const auto it = Calls.find(id);
  if (it != Calls.end()) {
    const bool mayHaveRun =
        it->second.Transfer && it->second.Transfer->mayHaveRun();
    finish(id, {Reason{ErrorCode::DeadlineExceeded, "deadline passed"},
                mayHaveRun});
  }
}

// Reports the transfers that ended. A callback may start or cancel others.
void HttpClient::Impl::collect() {
  int left = 0;
  while (const auto *message = curl_multi_info_read(Multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto id = CurlTransfer::idOf(message->easy_handle);
    const auto it = Calls.find(id);
    if (it != Calls.end() && it->second.Transfer) {
      finish(id, it->second.Transfer->outcome(message->data.result));
    }
  }
}

void HttpClient::Impl::act(int fd, int mask) {
  int running = 0;
  curl_multi_socket_action(Multi, fd, mask, &running);
  collect();
  if (!Discarded.empty()) {
    // The watch that called is still in use until the loop's next turn.
    auto unused = std::make_shared<decltype(Discarded)>(std::move(Discarded));
    Discarded.clear();
    Loop.schedule(Loop.now(), [unused] {});
  }
}

void HttpClient::Impl::onSocket(int fd, int what) {
  const auto it = Watches.find(fd);
  if (what == CURL_POLL_REMOVE) {
    if (it != Watches.end()) {
      it->second->watch(ACE_Event_Handler::NULL_MASK);
      Discarded.push_back(std::move(it->second));
      Watches.erase(it);
    }
    return;
  }
  auto &watch = Watches[fd];
  if (!watch) {
    watch = std::make_unique<DescriptorWatch>(
        Loop.ace(), fd, [this, fd](ACE_Reactor_Mask ready) {
          act(fd, ready == ACE_Event_Handler::READ_MASK ? CURL_CSELECT_IN
                                                        : CURL_CSELECT_OUT);
        });
  }
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if ((what & CURL_POLL_IN) != 0) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  watch->watch(mask);
}

int HttpClient::Impl::socketCallback(CURL * /*easy*/, curl_socket_t fd,
                                     int what, void *cls, void * /*watch*/) {
  static_cast<Impl *>(cls)->onSocket(fd, what);
  return 0;
}

int HttpClient::Impl::timerCallback(CURLM * /*multi*/, long ms, void *cls) {
  auto &self = *static_cast<Impl *>(cls);
  self.Loop.cancel(self.CurlTimer);
  self.CurlTimer = TimerId::None;
  if (ms >= 0) {
    self.CurlTimer = self.Loop.schedule(
        self.Loop.now() + std::chrono::milliseconds(ms), [&self] {
          self.CurlTimer = TimerId::None;
          self.act(CURL_SOCKET_TIMEOUT, 0);
        });
  }
  return 0;
}

HttpClient::HttpClient(Reactor &reactor, std::size_t maxConnections)
    : State(std::make_unique<Impl>(reactor, maxConnections)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, Callback done) {
  return State->start(std::move(call), std::move(done));
}

void HttpClient::setMaxConnections(std::size_t max) {
  State->setMaxConnections(max);
}

void HttpClient::cancel(HttpCallId id) {
  State->cancel(static_cast<std::uint64_t>(id));
}

} // namespace chivefold
