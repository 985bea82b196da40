#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace snipeweir {

/// Documents published by the platform. The numeric values are part of the wire format.
enum class DocumentName : uint8_t {
    Configuration = 0,
    Vms = 1,
};

constexpr size_t documentCount = 2;
constexpr std::array<DocumentName, documentCount> allDocuments { DocumentName::Configuration, DocumentName::Vms };

/// @return Index of the document in arrays of documentCount elements.
constexpr size_t indexOf(DocumentName name) { return static_cast<size_t>(name); }

/// @return Name of the document in the platform protocol.
constexpr std::string_view documentName(DocumentName name)
{
    return name == DocumentName::Configuration ? "configuration" : "vms";
}

}
