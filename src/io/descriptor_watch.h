/**
 * @file
 * Watches a descriptor that another library owns. Internal to io.
 */
#ifndef CHIVEFOLD_IO_DESCRIPTOR_WATCH_H
#define CHIVEFOLD_IO_DESCRIPTOR_WATCH_H

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <functional>
#include <utility>

namespace chivefold {

/** Runs a task when a descriptor is ready. Does not close the descriptor. */
class DescriptorWatch : public ACE_Event_Handler {
public:
  /** @p task gets the mask that is ready. */
  DescriptorWatch(ACE_Reactor &reactor, int fd,
                  std::function<void(ACE_Reactor_Mask)> task)
      : ACE_Event_Handler(&reactor), Fd(fd), Task(std::move(task)) {}
  ~DescriptorWatch() override { watch(NULL_MASK); }
  DescriptorWatch(const DescriptorWatch &) = delete;
  DescriptorWatch &operator=(const DescriptorWatch &) = delete;

  /** Replaces the watched events. @return false if the reactor refuses; then
   * none are watched. */
  bool watch(ACE_Reactor_Mask mask) {
    if (mask == Mask) {
      return true;
    }
    if (Mask != NULL_MASK) {
      reactor()->remove_handler(Fd, ALL_EVENTS_MASK | DONT_CALL);
    }
    const bool isWatched =
        mask != NULL_MASK && reactor()->register_handler(Fd, this, mask) == 0;
    Mask = isWatched ? mask : static_cast<ACE_Reactor_Mask>(NULL_MASK);
    return isWatched || mask == NULL_MASK;
  }

  ACE_HANDLE get_handle() const override { return Fd; }
  int handle_input(ACE_HANDLE /*fd*/) override {
    Task(READ_MASK);
    return 0;
  }
  int handle_output(ACE_HANDLE /*fd*/) override {
    Task(WRITE_MASK);
    return 0;
  }

private:
  int Fd;
  ACE_Reactor_Mask Mask = NULL_MASK;
  std::function<void(ACE_Reactor_Mask)> Task;
};

} // namespace chivefold

#endif
