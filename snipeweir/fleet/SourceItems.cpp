#include "snipeweir/fleet/SourceItems.h"

#include "snipeweir/core/Cbor.h"

#include <map>
#include <utility>

namespace snipeweir {

std::string encodeItems(const std::vector<SourceItem>& items)
{
    CborWriter writer;
    for (const SourceItem& item : items)
        writer.writeBytes(item.key).writeBytes(item.value);
    return writer.take();
}

std::vector<SourceItem> decodeItems(std::string_view text)
{
    std::vector<SourceItem> items;
    CborReader reader(text);
    while (!reader.isComplete() && !reader.hasFailed()) {
        const auto key = reader.readBytes();
        const auto value = reader.readBytes();
        if (key && value)
            items.push_back({ std::string(*key), std::string(*value) });
    }
    return items;
}

SourceItems applyChanges(SourceItems list, const SourceChanges& changes)
{
    std::map<std::string, SourceItem> items;
    for (SourceItem& item : list.items)
        items.insert_or_assign(item.key, std::move(item));
    for (const SourceChanges::Event& event : changes.events) {
        if (event.isRemoved)
            items.erase(event.item.key);
        else
            items.insert_or_assign(event.item.key, event.item);
    }
    SourceItems changed { changes.version, {} };
    for (auto& [key, item] : items)
        changed.items.push_back(std::move(item));
    return changed;
}

}
