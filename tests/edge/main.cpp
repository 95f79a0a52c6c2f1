/**
 * @file
 * One crowd of clients outside all bounds against a real sidecar process.
 * Checks that the process lives, that its memory and its descriptors stay
 * within those of its host, and that ordinary requests are served during and
 * after it.
 */
#include "case_main.h"
#include "checks.h"
#include "crowd.h"
#include "platform_lab.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>

namespace {

using namespace edge;

constexpr std::size_t CrowdSize = 40;
/** One of so many clients ends its request; the others stop short of it. */
constexpr std::size_t EndingPart = 10;
constexpr std::size_t LargeBody = 4U << 20U;
/** Largest body at the addresses for operators and readiness checks. */
constexpr std::size_t AdminBody = 1U << 20U;
constexpr std::size_t SmallChunksBody = 2U << 20U;
constexpr std::size_t WholeBytes = 1U << 20U;
constexpr std::size_t PieceBytes = 16U << 10U;

struct EdgeCase {
  HostLimits Limits;
  /** Which listening address the crowd uses. */
  std::string Host::*Address = &Host::Callers;
  /** The script of client number n. */
  std::function<Script(std::size_t n)> Client;
  std::size_t Clients = CrowdSize;
  std::size_t PieceBytes = WholeBytes;
};

bool endsItsRequest(std::size_t n) { return n % EndingPart == 0; }

std::string headOf(std::size_t n, const std::string &framing) {
  return "POST /desk/1 HTTP/1.1\r\nHost: shop.example\r\n"
         "Chivefold-Request-Id: crowd-" +
         std::to_string(n) + "\r\nChivefold-Deadline-Ms: 60000\r\n" + framing +
         "\r\n\r\n";
}

std::string chunkedHead(std::size_t n) {
  return headOf(n, "Transfer-Encoding: chunked");
}

Script withTrailers(std::size_t n) {
  const std::string unit = "X-Trailer: " + std::string(242, 't') + "\r\n";
  return {chunkedHead(n) + "4\r\nwork\r\n0\r\n", unit, LargeBody / unit.size(),
          ""};
}

Script withExtension(std::size_t n) {
  return {chunkedHead(n) + "4;note=", std::string(256, 'e'), LargeBody / 256,
          ""};
}

Script withBody(std::size_t n, std::size_t bytes) {
  return {headOf(n, "Content-Length: " + std::to_string(bytes)), "b", bytes - 1,
          endsItsRequest(n) ? "b" : ""};
}

Script withLength(std::size_t n) { return withBody(n, LargeBody); }

Script withSmallerLength(std::size_t n) { return withBody(n, AdminBody); }

Script withLargeChunk(std::size_t n) {
  return {chunkedHead(n) + "400000\r\nabc", "b", LargeBody - 4,
          endsItsRequest(n) ? "b\r\n0\r\n\r\n" : ""};
}

Script withSmallChunks(std::size_t n) {
  return {chunkedHead(n), "4\r\nbbbb\r\n", SmallChunksBody / 4 - 1,
          endsItsRequest(n) ? "4\r\nbbbb\r\n0\r\n\r\n" : ""};
}

Script silent(std::size_t /*n*/) { return {}; }

// A frame between daemons: its length (little-endian), then bytes that stop
// short of it.
Script withFrame(std::size_t /*n*/) {
  return {std::string("\x00\x00\x40\x00", 4), "f", LargeBody - 1, ""};
}

std::map<std::string, EdgeCase> cases() {
  const HostLimits host;
  std::map<std::string, EdgeCase> out;
  out["trailers"] = {host, &Host::Callers, withTrailers};
  out["trailers_admin"] = {host, &Host::Admin, withTrailers};
  out["trailers_readiness"] = {host, &Host::Readiness, withTrailers};
  out["extensions"] = {host, &Host::Callers, withExtension};
  out["bodies_whole"] = {host, &Host::Callers, withLength};
  out["bodies_pieces"] = {host, &Host::Callers, withLength, CrowdSize,
                          PieceBytes};
  out["bodies_admin"] = {host, &Host::Admin, withSmallerLength, 2 * CrowdSize};
  out["bodies_readiness"] = {host, &Host::Readiness, withSmallerLength,
                             2 * CrowdSize};
  out["chunks_large"] = {host, &Host::Callers, withLargeChunk};
  out["chunks_small"] = {host, &Host::Callers, withSmallChunks};
  out["peer_frames"] = {host, &Host::Peers, withFrame};
  for (const auto &[name, address] :
       {std::pair{"connections_callers", &Host::Callers},
        std::pair{"connections_admin", &Host::Admin},
        std::pair{"connections_readiness", &Host::Readiness},
        std::pair{"connections_peers", &Host::Peers}}) {
    out[name] = {host, address, silent, 2 * host.Descriptors};
  }
  return out;
}

void checkProcess(Checks &checks, const Host &host, const HostLimits &limits) {
  checkProcess(checks, host, limits, limits.MemoryMb * 1024);
}

void checkRequest(Checks &checks, const Host &host, std::size_t bodyBytes,
                  const std::string &when) {
  const int status = host.request(bodyBytes);
  checks.check(status == 200, "a request with a body of " +
                                  std::to_string(bodyBytes) + " bytes " + when +
                                  ": status " + std::to_string(status));
}

constexpr std::size_t SmallBody = 4;

int runCrowd(const EdgeCase &test, const std::string &program) {
  Host host(program, test.Limits);
  host.start();
  Checks checks;
  {
    std::vector<Script> scripts;
    for (std::size_t n = 0; n < test.Clients; ++n) {
      scripts.push_back(test.Client(n));
    }
    Crowd crowd(host.*test.Address, std::move(scripts));
    const auto result = crowd.run(test.PieceBytes);
    std::printf("crowd of %zu: %zu sent all, %zu cut, %zu held, %zu bytes; "
                "resident %zu kB\n",
                test.Clients, result.SentAll, result.Cut, result.Held,
                result.SentBytes, host.figures().ResidentKb);
    checkProcess(checks, host, test.Limits);
    checkRequest(checks, host, SmallBody, "beside the crowd");
    checkProcess(checks, host, test.Limits);
  }
  checkRequest(checks, host, SmallBody, "after the crowd");
  checkProcess(checks, host, test.Limits);
  return checks.exitCode();
}

// The largest body that a client may send, on the smallest host.
int runLargest(const std::string &program) {
  HostLimits limits;
  limits.MemoryMb = 160;
  limits.MaxBodyBytes = 64U << 20U;
  Host host(program, limits);
  host.start();
  Checks checks;
  checkRequest(checks, host, limits.MaxBodyBytes, "in calm");
  checkProcess(checks, host, limits);
  checkRequest(checks, host, SmallBody, "afterwards");
  return checks.exitCode();
}

} // namespace

int main(int argc, char **argv) {
  std::map<std::string, CaseFunction> all{{"body_largest", runLargest}};
  for (const auto &it : cases()) {
    all[it.first] = [test = it.second](const std::string &program) {
      return runCrowd(test, program);
    };
  }
  return runNamedCase(argc, argv, all);
}
