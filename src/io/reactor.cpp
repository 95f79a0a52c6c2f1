#include "chivefold/io/reactor.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <ace/Thread.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <map>
#include <stdexcept>
#include <unistd.h>
#include <unordered_map>

namespace chivefold {

namespace {

// Descriptors that the event loop can watch. A daemon needs up to 1,024
// callers, 256 links and its client connections. ACE lowers or raises the
// process's own limit to the same number, so no descriptor is out of range.
constexpr std::size_t MaxDescriptors = 4096;

constexpr auto MaxWait = std::chrono::seconds(60);
/** A task that is later than this was held up by a pause of the process. */
constexpr auto MaxLate = std::chrono::milliseconds(50);
/** Events handled before tasks that were held up; bounds how much longer these
 * wait under a flood. */
constexpr int MaxEventsBefore = 512;

TimePoint readClock() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

// Hands signals to the loop through a pipe, since a signal handler may call
// only async-signal-safe functions.
class SignalPipe : public ACE_Event_Handler {
public:
  SignalPipe() {
    if (pipe2(Fds.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
      throw std::runtime_error("cannot create the signal pipe");
    }
  }
  ~SignalPipe() override {
    close(Fds[0]);
    close(Fds[1]);
  }
  SignalPipe(const SignalPipe &) = delete;
  SignalPipe &operator=(const SignalPipe &) = delete;

  ACE_HANDLE get_handle() const override { return Fds[0]; }

  int handle_signal(int number, siginfo_t * /*info*/,
                    ucontext_t * /*context*/) override {
    const int saved = errno;
    const auto byte = static_cast<unsigned char>(number);
    // A full pipe already holds a wake-up for this signal or another.
    [[maybe_unused]] const auto n = write(Fds[1], &byte, 1);
    errno = saved;
    return 0;
  }

  int handle_input(ACE_HANDLE /*fd*/) override {
    unsigned char byte = 0;
    while (read(Fds[0], &byte, 1) == 1) {
      const auto it = Tasks.find(byte);
      if (it != Tasks.end()) {
        const auto task = it->second;
        task();
      }
    }
    return 0;
  }

  std::map<int, Reactor::Task> Tasks;

private:
  std::array<int, 2> Fds{-1, -1};
};

} // namespace

struct Reactor::Impl {
  Impl() : Ace(new ACE_Dev_Poll_Reactor(MaxDescriptors), true) {
    if (Ace.register_handler(&Signals, ACE_Event_Handler::READ_MASK) != 0) {
      throw std::runtime_error("cannot start the event loop");
    }
  }
  ~Impl() {
    for (const auto &it : Signals.Tasks) {
      Ace.remove_handler(it.first, static_cast<ACE_Sig_Action *>(nullptr));
    }
    Ace.remove_handler(&Signals, ACE_Event_Handler::READ_MASK |
                                     ACE_Event_Handler::DONT_CALL);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  // Runs the tasks that are due now. Tasks that they schedule wait for the
  // next turn, so that a task that reschedules itself cannot starve I/O.
  void runDue() {
    const auto now = readClock();
    const auto lastId = NextId;
    while (!Queue.empty() && !Stopped) {
      const auto first = Queue.begin();
      if (first->first.first > now || first->first.second > lastId) {
        return;
      }
      const auto task = std::move(first->second);
      Deadlines.erase(first->first.second);
      Queue.erase(first);
      task();
    }
  }

  // What arrived during a pause is read before tasks act on what was known
  // before it: a caller may have left, or a permission ended.
  void readAfterPause() {
    if (Queue.empty() || readClock() < Queue.begin()->first.first + MaxLate) {
      return;
    }
    for (int i = 0; i < MaxEventsBefore && !Stopped; ++i) {
      auto wait = ACE_Time_Value::zero;
      if (Ace.handle_events(&wait) <= 0) {
        return;
      }
    }
  }

  // Rounded up to whole milliseconds, the resolution of epoll: a wait that is
  // rounded down would spin until the deadline.
  ACE_Time_Value waitTime() const {
    Duration wait = MaxWait;
    if (!Queue.empty()) {
      wait = std::min(wait, Queue.begin()->first.first - readClock());
    }
    const auto ms = std::max<std::int64_t>((wait.count() + 999) / 1000, 0);
    return ACE_Time_Value(static_cast<time_t>(ms / 1000),
                          static_cast<suseconds_t>(ms % 1000 * 1000));
  }

  SignalPipe Signals;
  ACE_Reactor Ace;
  std::atomic<bool> Stopped{false};
  std::uint64_t NextId = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Task> Queue;
  std::unordered_map<std::uint64_t, TimePoint> Deadlines;
};

Reactor::Reactor() {
  // A write to a closed connection is reported by its error code.
  std::signal(SIGPIPE, SIG_IGN);
  State = std::make_unique<Impl>();
}

Reactor::~Reactor() = default;

TimePoint Reactor::now() const { return readClock(); }

UtcTime Reactor::utcNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

TimerId Reactor::schedule(TimePoint deadline, Task task) {
  const auto id = ++State->NextId;
  State->Queue.emplace(std::make_pair(deadline, id), std::move(task));
  State->Deadlines.emplace(id, deadline);
  return static_cast<TimerId>(id);
}

void Reactor::cancel(TimerId id) {
  const auto it = State->Deadlines.find(static_cast<std::uint64_t>(id));
  if (it != State->Deadlines.end()) {
    State->Queue.erase({it->second, it->first});
    State->Deadlines.erase(it);
  }
}

void Reactor::onSignal(int number, Task task) {
  State->Signals.Tasks[number] = std::move(task);
  State->Ace.register_handler(number, &State->Signals);
}

void Reactor::run() {
  State->Ace.owner(ACE_Thread::self());
  while (!State->Stopped) {
    State->readAfterPause();
    State->runDue();
    if (State->Stopped) {
      break;
    }
    auto wait = State->waitTime();
    if (State->Ace.handle_events(&wait) < 0 && errno != EINTR) {
      throw std::runtime_error("the event loop failed");
    }
  }
  State->Stopped = false;
}

void Reactor::stop() {
  State->Stopped = true;
  State->Ace.notify();
}

ACE_Reactor &Reactor::ace() { return State->Ace; }

} // namespace chivefold
