#pragma once

#include "snipeweir/core/Identity.h"

#include <compare>
#include <cstdint>
#include <string>

namespace snipeweir {

/// Version of the source of the fleet's documents. A source that was restored from a copy gives out revisions again, in
/// a later era, so versions are ordered by their eras first.
struct SourceVersion {
    /// Zero if the source reports none.
    uint64_t era = 0;
    Revision revision;

    SourceVersion() = default;
    // Not explicit: a revision of a source without eras is a version.
    SourceVersion(Revision theRevision, uint64_t theEra = 0)
        : era(theEra)
        , revision(theRevision)
    {
    }

    auto operator<=>(const SourceVersion&) const = default;

    /// @return Whether a document was read; a source's revisions start above zero.
    bool isKnown() const { return *this != SourceVersion(); }

    /// @return The era and the revision, separated by a slash; the revision alone without an era.
    std::string text() const
    {
        const std::string number = std::to_string(revision.value);
        return era == 0 ? number : std::to_string(era) + "/" + number;
    }
};

}
