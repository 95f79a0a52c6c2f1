// Guards against a version that goes back, a change in part, a broken take-out,
// a share without its record, a move without an end and an overfull gate.
#include "promise_world.h"
#include "trace_main.h"

int main(int argc, char **argv) {
  return fuzz::fuzzMain<fuzz::PromiseWorld>(
      argc, argv, "the promises hold in any order of faults", "1000");
}
