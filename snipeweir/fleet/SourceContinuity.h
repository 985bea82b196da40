#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// What a node knows about when the source could be read, in times relative to the moment of sending. Lets a node that
/// was partitioned off tell an outage of the source from the gap in its own view.
struct SourceContinuity {
    /// Time in which the view was not current.
    struct Gap {
        std::chrono::milliseconds startAge { 0 };
        std::chrono::milliseconds endAge { 0 };
    };

    /// Time since the sender's view was current for the first time.
    std::chrono::milliseconds knownFor { 0 };
    /// The last gap in which, as far as the sender knows, the source may have been unavailable to all nodes.
    std::optional<Gap> gap;

    /// @return The numbers of milliseconds, separated by commas.
    std::string text() const;
    /// @return The value of a text; empty if it is malformed.
    static std::optional<SourceContinuity> parse(std::string_view text);
};

}
