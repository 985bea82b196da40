#pragma once

#include "snipeweir/core/Result.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// State machine read from a JSON file: {"name", "initial", "states": {"<state>": {"on": {"<event>": "<target>"}}}}.
/// Immutable after creation, so any thread may read it. The current state is stored in the object that the chart
/// describes.
class StateChart {
public:
    /// Loads and checks a chart: a known initial state, targets that exist, every state reachable.
    /// @param path File of the chart.
    /// @return The chart, or ErrorCode::NotFound or ErrorCode::InvalidDocument.
    static Result<StateChart> load(const std::string& path);

    /// @param text JSON text of the chart.
    /// @return The chart, or ErrorCode::InvalidDocument.
    static Result<StateChart> parse(std::string_view text);

    const std::string& name() const { return m_name; }
    const std::string& initial() const { return m_initial; }

    /// @return The names of all states in alphabetical order.
    std::vector<std::string> states() const;

    /// @param state Name of a state of this chart.
    /// @param event Name of an event.
    /// @return The state after the event; empty if the state has no transition for it.
    std::optional<std::string> next(const std::string& state, const std::string& event) const;

private:
    StateChart() = default;

    std::string m_name;
    std::string m_initial;
    std::map<std::string, std::map<std::string, std::string>> m_transitions;
};

/// @return Path of the directory with the chart files, without a trailing slash: charts/ beside the directory of the
///     running program.
std::string chartDirectory();

}
