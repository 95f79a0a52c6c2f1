/**
 * @file
 * Keeps the router in step with members, configuration, moves and take-outs.
 */
#ifndef CHIVEFOLD_DAEMON_ROUTING_UPDATE_H
#define CHIVEFOLD_DAEMON_ROUTING_UPDATE_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/member_table.h"
#include "chivefold/core/router.h"
#include "chivefold/core/safe_steps.h"

#include <map>
#include <set>
#include <string>

namespace chivefold {

/** Passes only differences on, since an update of the router costs time in
 * proportion to the servers of a service. Not thread-safe. */
class RoutingUpdate {
public:
  RoutingUpdate(Router &router, const ControlState &state,
                const SafeSteps &steps, const MemberTable &members);

  /** Call after members, state or safe steps may have changed. Costs nothing
   * in proportion to the fleet while the members are unchanged. */
  void refresh();

private:
  void refreshMembers();
  void refreshSplits();
  void refreshTakenOut();

  Router &Routes;
  const ControlState &State;
  const SafeSteps &Steps;
  const MemberTable &Members;
  /** MemberTable::revision() at the last refresh of members. */
  std::uint64_t MembersRevision = 0;
  std::map<Address, Candidate> Known;
  std::map<std::string, VersionSplit> Splits;
  std::vector<std::string> TakenOut;
};

} // namespace chivefold

#endif
