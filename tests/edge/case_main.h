/**
 * @file
 * The main function that the test programs have in common.
 */
#ifndef CHIVEFOLD_TESTS_EDGE_CASE_MAIN_H
#define CHIVEFOLD_TESTS_EDGE_CASE_MAIN_H

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace edge {

/** A test with the path of the sidecar; returns the exit code. */
using CaseFunction = std::function<int(const std::string &program)>;

/** Runs the case that the arguments "CASE SIDECAR" name, and ends the process
 * with the code of @p run, since threads of stand-ins still run.
 * @param mostArguments arguments beyond these two are for the caller.
 * @return 2 if there is no such case, whose names are printed then. */
template <class Case, class Run>
int runNamedCase(int argc, char **argv,
                 const std::map<std::string, Case> &cases, const Run &run,
                 int mostArguments = 2) {
  const auto it = argc >= 3 && argc <= 1 + mostArguments ? cases.find(argv[1])
                                                         : cases.end();
  if (it == cases.end()) {
    std::fprintf(stderr, "usage: %s CASE SIDECAR%s\n", argv[0],
                 mostArguments > 2 ? " [...]" : "");
    for (const auto &known : cases) {
      std::fprintf(stderr, "  %s\n", known.first.c_str());
    }
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::_Exit(run(std::string(argv[2]), it->second));
}

/** Runs one of @p cases, which are functions. */
inline int runNamedCase(int argc, char **argv,
                        const std::map<std::string, CaseFunction> &cases) {
  return runNamedCase(argc, argv, cases,
                      [](const std::string &program, const CaseFunction &it) {
                        return it(program);
                      });
}

} // namespace edge

#endif
