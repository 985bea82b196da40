#pragma once

#include <json/value.h>
#include <ostream>
#include <string>
#include <vector>

namespace snipeweir {

/// Prints JSON values as aligned text. Escapes control characters, because the values come from other processes and
/// could send control sequences to the terminal.
class TablePrinter {
public:
    explicit TablePrinter(std::ostream&);

    /// Prints scalar members and arrays of scalars as lines, then nested objects and arrays of objects (as tables).
    /// @param object JSON object.
    void printObject(const Json::Value& object);

    /// Prints a table with a header line.
    /// @param rows Array of objects.
    /// @param columns Members to print, in this order.
    void printRows(const Json::Value& rows, const std::vector<std::string>& columns);

private:
    /// @param prefix Path of the object with a dot at its end, put before each key; empty for the root.
    void printMembers(const Json::Value& object, const std::string& prefix);

    std::ostream& m_out;
};

}
