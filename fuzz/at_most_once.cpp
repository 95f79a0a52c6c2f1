// Guards against a key that runs twice, a "not run" that is false and an answer
// that is lost, doubled or of another key, in any order of faults.
#include "claim_world.h"
#include "trace_main.h"

int main(int argc, char **argv) {
  return fuzz::fuzzMain<fuzz::ClaimWorld>(
      argc, argv, "a key runs at most once and its answers are true", "20000");
}
