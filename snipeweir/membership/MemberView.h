#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/PeerDirectory.h"

#include <string_view>

namespace snipeweir {

/// State of a member; the names match charts/member.json. The number is on the wire; of two records with an equal
/// counter, the one with the higher number supersedes the other.
enum class MemberState : uint8_t {
    Alive = 0,
    Suspected = 1,
    Leaving = 2,
    Dead = 3,
};

/// @return The state's name as in charts/member.json.
std::string_view memberStateName(MemberState);

/// What the node's own latest calls and pings showed about a member.
enum class OwnEvidence {
    None,
    Alive,
    Unreachable,
};

/// @return Stable snake_case name.
std::string_view ownEvidenceName(OwnEvidence);

/// One member, merged from the peers' reports, the VM list and the node's own calls.
struct MemberView {
    Peer peer; ///< The incarnation is zero while the member is known only from the VM list.
    ServiceName service;
    MemberState state = MemberState::Alive;
    std::chrono::milliseconds age { 0 }; ///< Time since the state was last confirmed.
    bool isDataCentreReachable = true;
    OwnEvidence ownEvidence = OwnEvidence::None;
    bool isFlapping = false; ///< Shown as suspected because it returned from the dead state too often.
};

/// One entry of the platform's VM list.
struct VmListEntry {
    VmId vm;
    DataCentreName dataCentre;
    RegionName region;
    ServiceName service;
    Address control;
    bool isLeaving = false;
};

}
