#pragma once

#include "snipeweir/fleet/SourceVersion.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// Key and decoded value of an item of the source.
struct SourceItem {
    std::string key;
    std::string value;
    /// Revision of the source at which the item was written; zero if not known.
    Revision revision = {};
};

/// Items of the source at one version.
struct SourceItems {
    SourceVersion version;
    std::vector<SourceItem> items;
};

/// Changes of items in the source since an earlier version of the same era.
struct SourceChanges {
    struct Event {
        SourceItem item;
        /// Whether the item was removed; its value is then empty.
        bool isRemoved = false;
    };
    /// In the order of the changes.
    std::vector<Event> events;
    SourceVersion version;
};

/// Encodes items as a CBOR sequence of keys and values, without their revisions. Nodes forward documents in this
/// encoding, because it compresses several times better than the responses of the source.
std::string encodeItems(const std::vector<SourceItem>&);

/// @return The items of a text in that encoding, up to the first malformed one.
std::vector<SourceItem> decodeItems(std::string_view text);

/// @return The items after the changes, sorted by key.
SourceItems applyChanges(SourceItems, const SourceChanges&);

}
