#include "hangup_watch.h"

#include <sys/epoll.h>
#include <unistd.h>

namespace chivefold {

HangupWatch::HangupWatch(ACE_Reactor &reactor,
                         std::function<void(void *key)> task)
    : Ace(reactor), Task(std::move(task)), Epoll(epoll_create1(EPOLL_CLOEXEC)) {
}

HangupWatch::~HangupWatch() {
  Watch.reset();
  if (Epoll >= 0) {
    close(Epoll);
  }
}

bool HangupWatch::start() {
  Watch = std::make_unique<DescriptorWatch>(
      Ace, Epoll, [this](ACE_Reactor_Mask /*mask*/) { process(); });
  return Epoll >= 0 && Watch->watch(ACE_Event_Handler::READ_MASK);
}

void HangupWatch::add(int fd, void *key) {
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.ptr = key;
  if (epoll_ctl(Epoll, EPOLL_CTL_ADD, fd, &event) == 0) {
    Fds[key] = fd;
  }
}

void HangupWatch::remove(void *key) {
  const auto it = Fds.find(key);
  if (it != Fds.end()) {
    epoll_ctl(Epoll, EPOLL_CTL_DEL, it->second, nullptr);
    Fds.erase(it);
  }
}

// One event at a time: the task may remove other connections.
void HangupWatch::process() {
  epoll_event event{};
  if (epoll_wait(Epoll, &event, 1, 0) == 1) {
    Task(event.data.ptr);
  }
}

} // namespace chivefold
