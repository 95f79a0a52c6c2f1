/**
 * @file
 * Notices that a peer closed a connection nobody reads from. Internal to io.
 */
#ifndef CHIVEFOLD_IO_HANGUP_WATCH_H
#define CHIVEFOLD_IO_HANGUP_WATCH_H

#include "descriptor_watch.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace chivefold {

/**
 * An epoll instance of its own, watched by the reactor. The reactor allows one
 * handler per descriptor and always asks for readability, which a pipelined
 * request would keep true. Bounded by the connections of its user.
 */
class HangupWatch {
public:
  /** @p task gets the key of a connection whose peer closed it, once. */
  HangupWatch(ACE_Reactor &reactor, std::function<void(void *key)> task);
  ~HangupWatch();
  HangupWatch(const HangupWatch &) = delete;
  HangupWatch &operator=(const HangupWatch &) = delete;

  bool start();
  void add(int fd, void *key);
  /** Does nothing for an unknown key. Precondition: the descriptor is open. */
  void remove(void *key);

private:
  void process();

  ACE_Reactor &Ace;
  std::function<void(void *)> Task;
  int Epoll;
  std::unordered_map<void *, int> Fds;
  std::unique_ptr<DescriptorWatch> Watch;
};

} // namespace chivefold

#endif
