#include "snipeweir/membership/MemberView.h"

#include <array>

namespace snipeweir {

namespace {

    constexpr std::array<std::string_view, 4> stateNames { "alive", "suspected", "leaving", "dead" };
    constexpr std::array<std::string_view, 3> evidenceNames { "none", "alive", "unreachable" };

}

std::string_view memberStateName(MemberState state) { return stateNames.at(static_cast<size_t>(state)); }

std::string_view ownEvidenceName(OwnEvidence evidence) { return evidenceNames.at(static_cast<size_t>(evidence)); }

}
