/**
 * @file
 * A blocking HTTP server for stand-ins; independent of the library under test.
 */
#ifndef CHIVEFOLD_TESTS_STANDINS_HTTP_SERVICE_H
#define CHIVEFOLD_TESTS_STANDINS_HTTP_SERVICE_H

#include <arpa/inet.h>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string>
#include <utility>
#include <vector>

namespace standin {

/** Largest request body; a larger one closes the connection. */
constexpr std::size_t MaxBodyBytes = 2U << 20U;
constexpr unsigned MaxConnections = 600;

/** One request. Lookups return an empty string for what is missing. */
struct Request {
  MHD_Connection *Connection = nullptr;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string header(const char *name) const {
    return lookup(MHD_HEADER_KIND, name);
  }
  std::string query(const char *name) const {
    return lookup(MHD_GET_ARGUMENT_KIND, name);
  }
  long number(const char *name, long missing) const {
    const auto text = query(name);
    return text.empty() ? missing : std::strtol(text.c_str(), nullptr, 10);
  }

private:
  std::string lookup(MHD_ValueKind kind, const char *name) const {
    const char *found = MHD_lookup_connection_value(Connection, kind, name);
    return found == nullptr ? std::string() : std::string(found);
  }
};

struct Response {
  unsigned Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  /** Closes the connection without an answer. */
  bool Drop = false;
};

using Handler = std::function<Response(const Request &)>;

/** Serves requests on one thread per connection until destroyed. */
class HttpService {
public:
  /** Listens on "ip:port" (IPv4; port 0 picks one) and prints the address.
   * Exits with code 1 if that is not possible. */
  HttpService(const std::string &listen, Handler handler)
      : Handle(std::move(handler)) {
    const auto colon = listen.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::string ip = listen.substr(0, colon);
    if (colon == std::string::npos ||
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
      std::fprintf(stderr, "not an address: %s\n", listen.c_str());
      std::exit(2);
    }
    address.sin_port = htons(static_cast<std::uint16_t>(
        std::strtoul(listen.c_str() + colon + 1, nullptr, 10)));
    Daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_ITC,
        0, nullptr, nullptr, &HttpService::onRequest, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&address),
        MHD_OPTION_CONNECTION_LIMIT, MaxConnections,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &HttpService::onCompleted, this, MHD_OPTION_END);
    if (Daemon == nullptr) {
      std::fprintf(stderr, "cannot listen on %s\n", listen.c_str());
      std::exit(1);
    }
    const auto *info = MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_BIND_PORT);
    std::printf("listening on %s:%u\n", ip.c_str(),
                static_cast<unsigned>(info->port));
    std::fflush(stdout);
  }
  ~HttpService() { MHD_stop_daemon(Daemon); }
  HttpService(const HttpService &) = delete;
  HttpService &operator=(const HttpService &) = delete;

  /** Accepts no further connection; open ones go on. */
  void stopListening() { (void)MHD_quiesce_daemon(Daemon); }

private:
  static MHD_Result onRequest(void *self, MHD_Connection *connection,
                              const char *url, const char *method, const char *,
                              const char *data, size_t *size, void **state) {
    if (*state == nullptr) {
      *state = new Request{connection, method, url, {}};
      return MHD_YES;
    }
    auto *request = static_cast<Request *>(*state);
    if (*size > 0) {
      if (request->Body.size() + *size > MaxBodyBytes) {
        return MHD_NO;
      }
      request->Body.append(data, *size);
      *size = 0;
      return MHD_YES;
    }
    return send(connection, static_cast<HttpService *>(self)->Handle(*request));
  }

  static MHD_Result send(MHD_Connection *connection, const Response &answer) {
    if (answer.Drop) {
      return MHD_NO;
    }
    auto *response = MHD_create_response_from_buffer(
        answer.Body.size(), const_cast<char *>(answer.Body.data()),
        MHD_RESPMEM_MUST_COPY);
    for (const auto &it : answer.Headers) {
      MHD_add_response_header(response, it.first.c_str(), it.second.c_str());
    }
    const auto result = MHD_queue_response(connection, answer.Status, response);
    MHD_destroy_response(response);
    return result;
  }

  static void onCompleted(void *, MHD_Connection *, void **state,
                          MHD_RequestTerminationCode) {
    delete static_cast<Request *>(*state);
    *state = nullptr;
  }

  Handler Handle;
  MHD_Daemon *Daemon = nullptr;
};

/** Blocks SIGTERM and SIGINT; call before any thread starts. */
inline sigset_t blockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Returns at SIGTERM or SIGINT. */
inline void waitForStop(const sigset_t &signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

} // namespace standin

#endif
