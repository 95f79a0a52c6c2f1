// Requests through one link between two networks on loopback, next to the same
// number of echoes over a bare ACE socket in the same run.
#include "chivefold/io/peer_network.h"

#include "peer_generated.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <thread>
#include <vector>

using namespace chivefold;

namespace {

constexpr int Requests = 20000;
constexpr std::size_t BodyBytes = 256;

struct Figures {
  double PerSecond = 0;
  double P50Us = 0;
  double P99Us = 0;
};

Figures figuresOf(std::vector<double> latencies, double seconds) {
  std::sort(latencies.begin(), latencies.end());
  const auto n = latencies.size();
  return {static_cast<double>(n) / seconds, latencies[n / 2],
          latencies[n * 99 / 100]};
}

double secondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

wire::FrameBodyUnion callBody() {
  wire::CallRequestT call;
  call.service = "depot-ledger";
  call.method = "POST";
  call.path = "/intake";
  call.body.assign(BodyBytes, 'x');
  wire::FrameBodyUnion body;
  body.Set(std::move(call));
  return body;
}

wire::FrameBodyUnion answerBody() {
  wire::CallAnswerT answer;
  answer.status = 200;
  answer.body.assign(BodyBytes, 'x');
  wire::FrameBodyUnion body;
  body.Set(std::move(answer));
  return body;
}

// Both networks have a loop and a thread of their own, as in two daemons.
Figures measureNetwork(int concurrency) {
  Reactor serverLoop;
  PeerNetwork server(
      serverLoop, {"127.0.0.1", 0},
      [](const Address & /*from*/, wire::FrameBodyUnion & /*b*/,
         const PeerResponder &respond) { respond(answerBody()); });
  if (!server.start()) {
    return {};
  }
  std::thread serving([&] { serverLoop.run(); });
  Reactor loop;
  PeerNetwork client(loop, {"127.0.0.1", 0}, PeerHandler{});
  std::vector<double> latencies;
  int started = 0;
  std::function<void()> next = [&] {
    ++started;
    const auto begin = std::chrono::steady_clock::now();
    client.request(server.bound(), callBody(),
                   loop.now() + std::chrono::seconds(30),
                   [&, begin](const PeerOutcome & /*outcome*/) {
                     latencies.push_back(secondsSince(begin) * 1e6);
                     if (started < Requests) {
                       next();
                     } else if (latencies.size() == Requests) {
                       loop.stop();
                     }
                   });
  };
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < concurrency; ++i) {
    next();
  }
  loop.run();
  const auto figures = figuresOf(latencies, secondsSince(begin));
  serverLoop.stop();
  serving.join();
  return figures;
}

// Blocking echoes with @p concurrency messages on the way.
Figures measureSocket(int concurrency) {
  ACE_SOCK_Acceptor acceptor;
  acceptor.open(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"), 1);
  ACE_INET_Addr bound;
  acceptor.get_local_addr(bound);
  int on = 1;
  std::thread serving([&] {
    ACE_SOCK_Stream stream;
    acceptor.accept(stream);
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::array<char, BodyBytes> buf{};
    while (stream.recv_n(buf.data(), buf.size()) == ssize_t{BodyBytes} &&
           stream.send_n(buf.data(), buf.size()) > 0) {
    }
    stream.close();
  });
  ACE_SOCK_Stream stream;
  ACE_SOCK_Connector connector;
  connector.connect(stream, bound);
  stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::array<char, BodyBytes> buf{};
  std::vector<std::chrono::steady_clock::time_point> begins;
  std::vector<double> latencies;
  const auto begin = std::chrono::steady_clock::now();
  while (latencies.size() < Requests) {
    while (begins.size() < Requests &&
           begins.size() - latencies.size() <
               static_cast<std::size_t>(concurrency)) {
      begins.push_back(std::chrono::steady_clock::now());
      stream.send_n(buf.data(), buf.size());
    }
    stream.recv_n(buf.data(), buf.size());
    latencies.push_back(secondsSince(begins[latencies.size()]) * 1e6);
  }
  const auto figures = figuresOf(latencies, secondsSince(begin));
  stream.close();
  serving.join();
  acceptor.close();
  return figures;
}

} // namespace

int main() {
  for (const int concurrency : {1, 32}) {
    const auto bare = measureSocket(concurrency);
    const auto link = measureNetwork(concurrency);
    std::printf("concurrency=%d link_per_s=%.0f bare_per_s=%.0f ratio=%.2f "
                "link_p50_us=%.1f link_p99_us=%.1f bare_p50_us=%.1f "
                "bare_p99_us=%.1f\n",
                concurrency, link.PerSecond, bare.PerSecond,
                link.PerSecond / bare.PerSecond, link.P50Us, link.P99Us,
                bare.P50Us, bare.P99Us);
  }
  return 0;
}
