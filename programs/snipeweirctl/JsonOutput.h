#pragma once

#include <json/value.h>
#include <ostream>

namespace snipeweir {

/// Prints a value as indented JSON with a newline at its end.
/// @param out Stream to print to.
/// @param value Any JSON value.
void printJson(std::ostream& out, const Json::Value& value);

}
