/**
 * @file
 * Generates traces with RapidCheck, and writes and replays them as text.
 */
#ifndef CHIVEFOLD_FUZZ_TRACE_MAIN_H
#define CHIVEFOLD_FUZZ_TRACE_MAIN_H

#include "fake_world.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

namespace fuzz {

template <class World> rc::Gen<Trace> genTrace() {
  std::vector<unsigned> kinds;
  for (unsigned n = 0; n < World::kinds().size(); ++n) {
    kinds.insert(kinds.end(), World::kinds()[n].Weight, n);
  }
  return rc::gen::container<Trace>(rc::gen::construct<Step>(
      rc::gen::elementOf(kinds), rc::gen::inRange(0U, 100U),
      rc::gen::inRange(0U, 100U)));
}

/** A trace file: "wrong NAME" (optional), "expect TEXT" and "step NAME A B". */
struct TraceFile {
  std::string Wrong;
  std::string Expect = "held";
  Trace Steps;
};

template <class World>
void writeTrace(std::ostream &os, const TraceFile &file) {
  if (!file.Wrong.empty()) {
    os << "wrong " << file.Wrong << "\n";
  }
  os << "expect " << file.Expect << "\n";
  for (const auto &it : file.Steps) {
    os << "step " << World::kinds().at(it.Kind).Name << " " << it.A << " "
       << it.B << "\n";
  }
}

template <class World> unsigned kindOf(const std::string &name) {
  for (unsigned n = 0; n < World::kinds().size(); ++n) {
    if (name == World::kinds()[n].Name) {
      return n;
    }
  }
  throw std::invalid_argument("no such step: " + name);
}

/** @throws std::invalid_argument on an unreadable or malformed file. */
template <class World> TraceFile readTrace(const std::string &path) {
  std::ifstream in(path);
  if (!in) {
    throw std::invalid_argument("cannot read " + path);
  }
  TraceFile file;
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "wrong") {
      words >> file.Wrong;
    } else if (word == "expect") {
      std::getline(words >> std::ws, file.Expect);
    } else if (word == "step") {
      std::string name;
      Step step;
      if (!(words >> name >> step.A >> step.B)) {
        throw std::invalid_argument("malformed: " + line);
      }
      step.Kind = kindOf<World>(name);
      file.Steps.push_back(step);
    } else if (!word.empty() && word[0] != '#') {
      throw std::invalid_argument("malformed: " + line);
    }
  }
  return file;
}

template <class World> int replay(const std::string &path) {
  try {
    const auto file = readTrace<World>(path);
    const auto seen =
        runTrace<World>(file.Steps, file.Wrong, &std::cout).value_or("held");
    std::cout << "outcome: " << seen << "\nexpected: " << file.Expect << "\n";
    return seen == file.Expect ? 0 : 1;
  } catch (const std::invalid_argument &e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
}

/** Adds defaults to RC_PARAMS for what it does not state. */
inline void setParameters(
    const std::vector<std::pair<std::string, std::string>> &defaults) {
  const char *given = std::getenv("RC_PARAMS");
  std::string params = given == nullptr ? "" : given;
  for (const auto &it : defaults) {
    if (params.find(it.first + "=") == std::string::npos) {
      params += " " + it.first + "=" + it.second;
    }
  }
  setenv("RC_PARAMS", params.c_str(), 1);
  std::cout << "RC_PARAMS=" << params << std::endl;
}

template <class World>
int fuzzMain(int argc, char **argv, const std::string &name,
             const std::string &cases) {
  if (argc == 3 && std::string(argv[1]) == "--replay") {
    return replay<World>(argv[2]);
  }
  if (argc != 1) {
    std::cerr << "usage: " << argv[0] << " [--replay FILE]\n";
    return 2;
  }
  setParameters({{"max_size", "400"}, {"max_success", cases}});
  TraceFile smallest;
  const bool ok = rc::check(name, [&smallest] {
    const auto trace = *genTrace<World>();
    if (const auto broken = runTrace<World>(trace)) {
      // While it shrinks, RapidCheck keeps each trace that still fails.
      smallest = {"", *broken, trace};
      RC_FAIL(*broken);
    }
  });
  for (const auto &it : reached()) {
    std::cout << it.first << ": " << it.second << "\n";
  }
  if (!ok) {
    std::cout << "replay this with --replay FILE:\n";
    writeTrace<World>(std::cout, smallest);
  }
  return ok ? 0 : 1;
}

} // namespace fuzz

#endif
