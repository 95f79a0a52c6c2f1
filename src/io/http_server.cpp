#include "chivefold/io/http_server.h"

#include "descriptor_watch.h"
#include "hangup_watch.h"

#include <arpa/inet.h>
#include <cstring>
#include <microhttpd.h>
#include <strings.h>
#include <unistd.h>
#include <unordered_set>

namespace chivefold {

namespace {

// Memory of one connection. The header limit is checked exactly afterwards;
// headers beyond the memory are answered with 431 by libmicrohttpd itself.
constexpr std::size_t ConnectionMemory = 2 * HttpLimits::MaxHeaderBytes;
// An idle connection is closed after this time; one that waits for its
// response is suspended and not affected.
constexpr unsigned IdleTimeoutSeconds = 60;
// libmicrohttpd answers only after it has read the body. One that goes on
// beyond this size is cut off without a response.
constexpr std::size_t MaxDiscardedBytes = 8 * HttpLimits::MaxBodyBytes;

class Exchange;

// State of one request, owned by libmicrohttpd's request until it completes.
struct Context {
  HttpRequest Request;
  MHD_Connection *Connection = nullptr;
  Exchange *Waiting = nullptr;
  HttpResponse Response;
  std::size_t BodyBytes = 0;
  int Refusal = 0;
  bool Started = false;
  bool Dispatched = false;
  bool Ready = false;
  bool Suspended = false;
};

class Exchange : public HttpExchange {
public:
  using Notify = std::function<void(Context &)>;
  Exchange(Context &context, Notify notify)
      : Owner(&context), Received(std::move(context.Request)),
        Answered(std::move(notify)) {
    context.Waiting = this;
  }
  ~Exchange() override {
    if (Owner != nullptr) {
      answer({503, {}, ""});
    }
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const HttpRequest &request() const override { return Received; }

  void respond(HttpResponse response) override { answer(std::move(response)); }

  void answer(HttpResponse response) {
    if (Owner == nullptr) {
      return;
    }
    auto *context = Owner;
    detach();
    context->Response = std::move(response);
    context->Ready = true;
    Answered(*context);
  }

  void onAbandoned(std::function<void()> task) override {
    Abandoned = std::move(task);
  }

  void abandon() {
    detach();
    const auto task = std::move(Abandoned);
    Abandoned = nullptr;
    if (task) {
      task();
    }
  }

  void detach() {
    if (Owner != nullptr) {
      Owner->Waiting = nullptr;
      Owner = nullptr;
    }
  }

private:
  Context *Owner;
  HttpRequest Received;
  Notify Answered;
  std::function<void()> Abandoned;
};

std::string pathOf(std::string_view uri) {
  return std::string(uri.substr(0, uri.find('?')));
}

std::string queryOf(std::string_view uri) {
  const auto n = uri.find('?');
  return n == std::string_view::npos ? "" : std::string(uri.substr(n + 1));
}

bool setByServer(const std::string &name) {
  for (const auto *it : {"Content-Length", "Transfer-Encoding", "Connection"}) {
    if (strcasecmp(name.c_str(), it) == 0) {
      return true;
    }
  }
  return false;
}

MHD_Result addHeader(void *cls, MHD_ValueKind /*kind*/, const char *name,
                     const char *value) {
  auto &headers = *static_cast<HttpHeaders *>(cls);
  headers.push_back({name, value != nullptr ? value : ""});
  return MHD_YES;
}

// Refuses a request whose head is over a limit or malformed, before its body
// is read. @return the status, or 0.
int checkHead(const HttpRequest &request) {
  auto n = request.Path.size() + request.Query.size();
  for (const auto &it : request.Headers) {
    // ": " and the line end.
    n += it.Name.size() + it.Value.size() + 4;
  }
  if (n > HttpLimits::MaxHeaderBytes) {
    return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
  }
  if (request.Path.empty() || request.Path.front() != '/') {
    return MHD_HTTP_BAD_REQUEST;
  }
  const auto length = headerValue(request.Headers, "Content-Length");
  if (!length.empty() && std::strtoull(std::string(length).c_str(), nullptr,
                                       10) > HttpLimits::MaxBodyBytes) {
    return MHD_HTTP_CONTENT_TOO_LARGE;
  }
  return 0;
}

} // namespace

struct HttpServer::Impl {
  Impl(Reactor &r, Address listen, HttpHandler handler)
      : Loop(r), Listen(std::move(listen)), Handler(std::move(handler)),
        Hangups(r.ace(), [this](void *key) { abandoned(key); }) {}
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  Status start();
  void quiesce();

  static void *onUri(void *cls, const char *uri, MHD_Connection *connection);
  static MHD_Result onRequest(void *cls, MHD_Connection *connection,
                              const char *url, const char *method,
                              const char *version, const char *data,
                              std::size_t *size, void **request);
  static void onCompleted(void *cls, MHD_Connection *connection, void **request,
                          MHD_RequestTerminationCode code);

  MHD_Result begin(Context &context, const char *method);
  static MHD_Result receive(Context &context, const char *data,
                            std::size_t *size);
  MHD_Result dispatch(Context &context);
  MHD_Result answer(Context &context, const HttpResponse &response) const;
  void resume(Context &context);
  void abandoned(void *key);
  void process();
  void scheduleAt(TimePoint when);

  Reactor &Loop;
  Address Listen;
  HttpHandler Handler;
  HangupWatch Hangups;
  MHD_Daemon *Daemon = nullptr;
  std::unique_ptr<DescriptorWatch> Watch;
  TimerId Timer = TimerId::None;
  TimePoint TimerAt;
  std::unordered_set<Context *> Open;
  std::size_t OpenCount = 0;
  bool Quiesced = false;
};

HttpServer::Impl::~Impl() {
  Loop.cancel(Timer);
  Watch.reset();
  if (Daemon == nullptr) {
    return;
  }
  for (auto *it : Open) {
    if (it->Waiting != nullptr) {
      it->Waiting->detach();
    }
    if (it->Suspended) {
      Hangups.remove(it);
      MHD_resume_connection(it->Connection);
    }
  }
  MHD_stop_daemon(Daemon);
}

Status HttpServer::Impl::start() {
  sockaddr_in v4{};
  sockaddr_in6 v6{};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(Listen.Port);
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(Listen.Port);
  const sockaddr *address = reinterpret_cast<sockaddr *>(&v4);
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  if (inet_pton(AF_INET6, Listen.Ip.c_str(), &v6.sin6_addr) == 1) {
    address = reinterpret_cast<sockaddr *>(&v6);
    flags |= MHD_USE_IPv6;
  } else if (inet_pton(AF_INET, Listen.Ip.c_str(), &v4.sin_addr) != 1) {
    return Reason{ErrorCode::InvalidArgument, "not an IP address"};
  }
  Daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &Impl::onRequest, this, MHD_OPTION_SOCK_ADDR,
      address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_CONNECTION_LIMIT, HttpLimits::MaxConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemory,
      MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_URI_LOG_CALLBACK,
      &Impl::onUri, this, MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, this,
      MHD_OPTION_END);
  if (Daemon == nullptr) {
    return Reason{ErrorCode::ConnectionFailed,
                  "cannot listen on " + toString(Listen)};
  }
  Listen.Port = MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  const int fd =
      MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), fd, [this](ACE_Reactor_Mask /*mask*/) { process(); });
  if (!Watch->watch(ACE_Event_Handler::READ_MASK) || !Hangups.start()) {
    return Reason{ErrorCode::ConnectionFailed, "too many descriptors"};
  }
  process();
  return Done{};
}

void HttpServer::Impl::quiesce() {
  Quiesced = true;
  if (Daemon != nullptr) {
    const int fd = MHD_quiesce_daemon(Daemon);
    if (fd >= 0) {
      close(fd);
    }
  }
}

// Runs libmicrohttpd, then again at the time that it asks for.
void HttpServer::Impl::process() {
  MHD_run(Daemon);
  MHD_UNSIGNED_LONG_LONG ms = 0;
  if (MHD_get_timeout(Daemon, &ms) == MHD_YES) {
    scheduleAt(Loop.now() + std::chrono::milliseconds(ms));
  }
}

void HttpServer::Impl::scheduleAt(TimePoint when) {
  if (Timer != TimerId::None && TimerAt <= when) {
    return;
  }
  Loop.cancel(Timer);
  TimerAt = when;
  Timer = Loop.schedule(when, [this] {
    Timer = TimerId::None;
    process();
  });
}

void *HttpServer::Impl::onUri(void *cls, const char *uri,
                              MHD_Connection *connection) {
  auto context = std::make_unique<Context>();
  context->Connection = connection;
  context->Request.Path = pathOf(uri);
  context->Request.Query = queryOf(uri);
  static_cast<Impl *>(cls)->Open.insert(context.get());
  return context.release();
}

MHD_Result HttpServer::Impl::onRequest(void *cls, MHD_Connection * /*c*/,
                                       const char * /*url*/, const char *method,
                                       const char * /*version*/,
                                       const char *data, std::size_t *size,
                                       void **request) {
  auto &self = *static_cast<Impl *>(cls);
  auto *context = static_cast<Context *>(*request);
  if (context == nullptr) {
    return MHD_NO;
  }
  if (!context->Started) {
    return self.begin(*context, method);
  }
  if (*size != 0) {
    return receive(*context, data, size);
  }
  if (context->Ready) {
    return self.answer(*context, context->Response);
  }
  if (context->Refusal != 0) {
    return self.answer(*context, {context->Refusal, {}, ""});
  }
  return context->Dispatched ? MHD_YES : self.dispatch(*context);
}

MHD_Result HttpServer::Impl::begin(Context &context, const char *method) {
  context.Started = true;
  auto &request = context.Request;
  request.Method = method;
  MHD_get_connection_values(context.Connection, MHD_HEADER_KIND, &addHeader,
                            &request.Headers);
  const int refusal = checkHead(request);
  // Answered before the body is read; libmicrohttpd then closes the
  // connection.
  return refusal == 0 ? MHD_YES : answer(context, {refusal, {}, ""});
}

MHD_Result HttpServer::Impl::receive(Context &context, const char *data,
                                     std::size_t *size) {
  context.BodyBytes += *size;
  if (context.BodyBytes <= HttpLimits::MaxBodyBytes) {
    context.Request.Body.append(data, *size);
  } else {
    context.Refusal = MHD_HTTP_CONTENT_TOO_LARGE;
    context.Request.Body = {};
  }
  *size = 0;
  return context.BodyBytes <= MaxDiscardedBytes ? MHD_YES : MHD_NO;
}

MHD_Result HttpServer::Impl::dispatch(Context &context) {
  context.Dispatched = true;
  ++OpenCount;
  Handler(
      std::make_shared<Exchange>(context, [this](Context &c) { resume(c); }));
  if (context.Ready) {
    return answer(context, context.Response);
  }
  MHD_suspend_connection(context.Connection);
  context.Suspended = true;
  const auto *info = MHD_get_connection_info(context.Connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  Hangups.add(info->connect_fd, &context);
  return MHD_YES;
}

// Lets libmicrohttpd call onRequest() again, which sends the response.
void HttpServer::Impl::resume(Context &context) {
  if (context.Suspended) {
    context.Suspended = false;
    Hangups.remove(&context);
    MHD_resume_connection(context.Connection);
    scheduleAt(Loop.now());
  }
}

// The caller closed its connection while the request waited. libmicrohttpd
// finds that out itself once the connection is resumed.
void HttpServer::Impl::abandoned(void *key) {
  auto *context = static_cast<Context *>(key);
  auto *waiting = context->Waiting;
  context->Ready = true;
  context->Response = {503, {}, ""};
  resume(*context);
  if (waiting != nullptr) {
    waiting->abandon();
  }
}

MHD_Result HttpServer::Impl::answer(Context &context,
                                    const HttpResponse &response) const {
  auto *message = MHD_create_response_from_buffer(
      response.Body.size(), const_cast<char *>(response.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  for (const auto &it : response.Headers) {
    if (!setByServer(it.Name)) {
      MHD_add_response_header(message, it.Name.c_str(), it.Value.c_str());
    }
  }
  if (Quiesced) {
    MHD_add_response_header(message, "Connection", "close");
  }
  const auto result = MHD_queue_response(
      context.Connection, static_cast<unsigned>(response.Status), message);
  MHD_destroy_response(message);
  return result;
}

void HttpServer::Impl::onCompleted(void *cls, MHD_Connection * /*connection*/,
                                   void **request,
                                   MHD_RequestTerminationCode /*code*/) {
  auto &self = *static_cast<Impl *>(cls);
  const std::unique_ptr<Context> context(static_cast<Context *>(*request));
  *request = nullptr;
  if (!context) {
    return;
  }
  self.Open.erase(context.get());
  self.OpenCount -= context->Dispatched ? 1 : 0;
  self.Hangups.remove(context.get());
  if (context->Waiting != nullptr) {
    context->Waiting->abandon();
  }
}

HttpServer::HttpServer(Reactor &reactor, Address listen, HttpHandler handler)
    : State(std::make_unique<Impl>(reactor, std::move(listen),
                                   std::move(handler))) {}

HttpServer::~HttpServer() = default;

Status HttpServer::start() { return State->start(); }

Address HttpServer::bound() const { return State->Listen; }

void HttpServer::quiesce() { State->quiesce(); }

std::size_t HttpServer::openRequests() const { return State->OpenCount; }

} // namespace chivefold
