/**
 * @file
 * Stand-ins for the platform of the cases of the second review: the store, the
 * backend servers, the readiness checks and the clients. They run on threads of
 * the test; each sidecar is a process of its own, started with the command of
 * the deploy file. Everything uses loopback addresses and the real clock.
 */
#ifndef CHIVEFOLD_REVIEW_LAB_H
#define CHIVEFOLD_REVIEW_LAB_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

/** Figures of a small deployment, as its sheet has them. */
struct Bounds {
  static constexpr int ContactMs = 3000;
  static constexpr int DrainMs = 2000;
  static constexpr int GraceS = 6;
  static constexpr int HeartbeatMs = 1500;
  static constexpr int Slots = 18;
  static constexpr int StoreAnswerMs = 4;
};

/** Ports of a machine and of the store, as the pages' examples have them. */
struct Ports {
  static constexpr int Readiness = 8141;
  static constexpr int Store = 8142;
  static constexpr int Admin = 8144;
  static constexpr int Upstream = 8145;
  static constexpr int Outbound = 8147;
  static constexpr int Peers = 7380;
};

/** Milliseconds since the start of the test. Thread-safe. */
long now();
void sleepUntil(long atMs);
void sleepFor(long ms);

/** Writes one line to record.txt, with the time. Thread-safe. */
void record(const std::string &line);
/** Opens record.txt in @p folder. */
void openRecord(const std::string &folder);

/** One HTTP message; Start is its first line. */
struct Message {
  std::string Start;
  /** Header lines, each ended by CRLF. */
  std::string Headers;
  std::string Body;

  std::string header(const std::string &name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

int connectTo(const std::string &address);
bool sendAll(int fd, const std::string &bytes);
/** @return the loopback address of a machine of this test. */
std::string machineIp(int number);

/** Reads messages whose bodies have a length. */
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}
  bool read(Message &message);

private:
  bool fill();
  int Fd;
  std::string Buffer;
};

/** Sends a request on a connection of its own and waits @p timeoutMs for the
 * answer. @return the status, or 0 without a whole answer. */
int exchange(const std::string &address, const std::string &request,
             Message &answer, int timeoutMs = 10000);

/** The platform's store, as PROTOCOL.md has it: keyed topics of one partition,
 * linearizable, 4 ms an answer. */
class Store {
public:
  void start();
  const std::string &address() const { return Address; }
  void put(const std::string &topic, const std::string &key,
           const std::string &value);

private:
  void serve(int fd);
  Message answer(const Message &request);

  std::string Address;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>>
      Topics;
};

/** What a server tells of one request. */
struct Arrival {
  long AtMs = 0;
  std::string Id;
  std::string Instance;
  std::string Machine;
  bool Ran = false;
};

class Fleet;

/** A backend server: one start of it has an id and a start time of its own. */
class Server {
public:
  Server(Fleet &fleet, std::string machine, std::string service,
         std::string zone, std::string ip, std::string admin);
  ~Server();
  /** Listens and sends heartbeats, under a new id. */
  void start(long warmupMs);
  /** Ends at once: connections are reset, runs are aborted. */
  void crash();
  /** Sends a heartbeat now. @return the status of its acknowledgement. */
  int beat();
  /** The state that heartbeats report from now on. */
  void setState(const std::string &state);
  /** Sends no further heartbeats. */
  void stopBeats();
  /** Sends the notice of the end. @return the status of its acknowledgement. */
  int leave();
  /** @return the request line, headers and body of a heartbeat with the next
   * number. @param withBorn whether it states the start time. */
  std::string beatText(bool withBorn = true);
  std::string instance();
  /** Whether a request makes this server crash as soon as it begins. */
  std::function<bool(const Message &)> IsPoison;
  /** Called after a crash by poison. */
  std::function<void(Server &)> OnPoison;

  const std::string Machine, Service, Zone, Ip, Admin;
  std::string Address;

private:
  struct Run;
  void accept(int listener, std::uint64_t epoch);
  void serve(int fd, std::uint64_t epoch);
  bool answer(int fd, const Message &request, std::uint64_t epoch);
  void beatLoop();

  Fleet &Owner;
  std::mutex Mutex;
  std::uint64_t Epoch = 0;
  bool Up = false;
  bool Beating = false;
  std::string Instance;
  std::string State = "ready";
  long Born = 0;
  long WarmUntil = 0;
  long Sequence = 0;
  int Running = 0;
  int Listener = -1;
  std::set<int> Connections;
  std::thread Beats;
  std::atomic<bool> Ending{false};
};

/** A sidecar process with its settings. */
class Sidecar {
public:
  std::string Name, Zone, Ip, Service, Folder;
  std::string Callers, Readiness, Admin, Peers, Upstream, Store;
  pid_t Pid = -1;
  long StartedAtMs = 0;
  int MemoryMb = 260;
  /** The platform's clients on this machine may send requests. */
  std::atomic<bool> IsReady{false};

  void spawn();
  void signal(int number) const;
  /** Waits until the process has ended. */
  void reap();
};

/** What a client saw. */
struct Answer {
  int Status = 0;
  bool Signed = false;
  std::string Body;
};

/** A small deployment: 8 client-desk and 3 depot-ledger in three zones. */
class Fleet {
public:
  Fleet();
  ~Fleet();
  /** Starts everything and waits until all machines are ready; exits with 2 if
   * that fails. */
  void start();
  /** Background requests: @p perSecond over all machines. */
  void startTraffic(double perSecond);
  void stopTraffic();
  Sidecar &sidecar(const std::string &name);
  Server &server(const std::string &machine);
  Answer request(Sidecar &at, const std::string &kind, const std::string &id,
                 const std::string &path, const std::string &body);
  std::vector<Arrival> arrivals();
  void arrived(Arrival arrival);

  Store Platform;
  /** Memory of a machine; to be set before start(). */
  int MemoryMb = 260;
  std::vector<std::unique_ptr<Sidecar>> Sidecars;
  std::vector<std::unique_ptr<Server>> Servers;
  /** Requests that clients sent: time and machine by id. */
  std::map<std::string, std::pair<long, std::string>> sent();
  /** Requests that got an answer of a server. */
  std::set<std::string> answered();
  /** @return work of a request at a server; the sheet's mean of its kind. */
  static int workMs(const std::string &path);

private:
  void watchReadiness(Sidecar &sidecar);
  void clientLoop(Sidecar &sidecar, double intervalMs, unsigned number);

  std::string Folder;
  std::mutex Mutex;
  std::vector<Arrival> Arrivals;
  std::set<std::string> Answered;
  std::map<std::string, std::pair<long, std::string>> Sent;
  std::atomic<bool> Ending{false};
  std::atomic<bool> Traffic{false};
  std::vector<std::thread> Threads;
  std::vector<std::thread> Clients;
};

/** @return whether the disruption of a case is wanted (TROUBLE is not 0). */
bool wantsTrouble();
/** Ends all processes and the test with @p code. */
[[noreturn]] void finish(Fleet &fleet, int code);

} // namespace lab

#endif
