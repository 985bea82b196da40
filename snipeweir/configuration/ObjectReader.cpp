#include "snipeweir/configuration/ObjectReader.h"

#include "snipeweir/core/StrictJson.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <utility>

namespace snipeweir {

namespace {

    bool isInteger(const Json::Value& value)
    {
        // jsoncpp's isUInt64() also accepts the floating point number 10.0.
        return value.type() == Json::uintValue || value.type() == Json::intValue;
    }

    bool isIpv4(const std::string& text)
    {
        in_addr address {};
        return text.find('\0') == std::string::npos && inet_pton(AF_INET, text.c_str(), &address) == 1;
    }

}

ObjectReader::ObjectReader(const Json::Value& value, std::string path, FaultList& faults)
    : m_path(std::move(path))
    , m_faults(faults)
{
    if (value.isObject())
        m_object = &value;
    else
        m_faults.add(m_path, describe(value), "an object");
}

const Json::Value* ObjectReader::member(std::string_view key, Presence presence)
{
    if (!m_object)
        return nullptr;
    const Json::Value* found = m_object->find(key.data(), key.data() + key.size());
    if (found)
        m_readMembers.push_back(found);
    else if (presence == Presence::Required)
        report(key, "no value", "a value, because the key is required");
    return found;
}

std::optional<uint64_t> ObjectReader::unsignedInteger(
    std::string_view key, uint64_t minimum, uint64_t maximum, Presence presence)
{
    const Json::Value* found = member(key, presence);
    if (!found)
        return std::nullopt;
    const bool isNegative = found->type() == Json::intValue && found->asInt64() < 0;
    if (!isInteger(*found) || isNegative || found->asUInt64() < minimum || found->asUInt64() > maximum) {
        report(key, describe(*found), "an integer in " + std::to_string(minimum) + ".." + std::to_string(maximum));
        return std::nullopt;
    }
    return found->asUInt64();
}

uint16_t ObjectReader::port(std::string_view key)
{
    return static_cast<uint16_t>(unsignedInteger(key, 1, 65'535).value_or(0));
}

std::optional<bool> ObjectReader::boolean(std::string_view key, Presence presence)
{
    const Json::Value* found = member(key, presence);
    if (!found)
        return std::nullopt;
    if (!found->isBool()) {
        report(key, describe(*found), "true or false");
        return std::nullopt;
    }
    return found->asBool();
}

std::optional<std::string> ObjectReader::text(std::string_view key, size_t maxBytes, Presence presence)
{
    const Json::Value* found = member(key, presence);
    if (!found)
        return std::nullopt;
    std::string value = found->isString() ? found->asString() : std::string();
    const bool hasControlCharacter = std::any_of(value.begin(), value.end(),
        [](char character) { return static_cast<uint8_t>(character) < 0x20 || character == 0x7f; });
    if (!found->isString() || value.size() > maxBytes || hasControlCharacter) {
        report(key, describe(*found), "text of at most " + std::to_string(maxBytes) + " bytes on one line");
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> ObjectReader::name(std::string_view key, Presence presence)
{
    const Json::Value* found = member(key, presence);
    if (!found)
        return std::nullopt;
    if (!found->isString() || !isName(found->asString())) {
        report(key, describe(*found), std::string(nameRule));
        return std::nullopt;
    }
    return found->asString();
}

std::string ObjectReader::ip(std::string_view key)
{
    const Json::Value* found = member(key, Presence::Required);
    if (!found)
        return {};
    if (!found->isString() || !isIpv4(found->asString())) {
        report(key, describe(*found), "an IPv4 address");
        return {};
    }
    return found->asString();
}

std::vector<const Json::Value*> ObjectReader::array(std::string_view key, size_t maxElements, Presence presence)
{
    std::vector<const Json::Value*> elements;
    const Json::Value* found = member(key, presence);
    if (!found)
        return elements;
    if (!found->isArray() || found->size() > maxElements) {
        report(key, describe(*found), "an array of at most " + std::to_string(maxElements) + " elements");
        return elements;
    }
    elements.reserve(found->size());
    for (const Json::Value& element : *found)
        elements.push_back(&element);
    return elements;
}

std::vector<Address> ObjectReader::addresses(std::string_view key, size_t maxElements)
{
    std::vector<Address> parsed;
    size_t index = 0;
    for (const Json::Value* element : array(key, maxElements)) {
        const auto address = element->isString() ? parseAddress(element->asString()) : std::nullopt;
        if (address)
            parsed.push_back(*address);
        else
            m_faults.add(pathOf(key) + "[" + std::to_string(index) + "]", describe(*element), "\"<IPv4>:<port>\"");
        ++index;
    }
    return parsed;
}

void ObjectReader::reportUnknownKeys()
{
    if (!m_object)
        return;
    for (auto member = m_object->begin(); member != m_object->end(); ++member) {
        if (std::find(m_readMembers.begin(), m_readMembers.end(), &*member) == m_readMembers.end())
            report(member.name(), "an unknown key", "only the keys of the documentation");
    }
}

std::string ObjectReader::pathOf(std::string_view key) const { return StrictJson::memberPath(m_path, key); }

void ObjectReader::report(std::string_view key, std::string found, std::string allowed)
{
    m_faults.add(pathOf(key), std::move(found), std::move(allowed));
}

std::vector<std::string> ObjectReader::keys() const
{
    return m_object ? m_object->getMemberNames() : std::vector<std::string>();
}

std::string describe(const Json::Value& value)
{
    switch (value.type()) {
    case Json::nullValue:
        return "null";
    case Json::booleanValue:
        return value.asBool() ? "true" : "false";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
        return value.asString();
    case Json::stringValue:
        return StrictJson::quoted(value.asString());
    case Json::arrayValue:
        return "an array of " + std::to_string(value.size()) + " elements";
    case Json::objectValue:
        return "an object with " + std::to_string(value.size()) + " keys";
    }
    return "an unknown type";
}

bool isName(std::string_view text)
{
    const auto isLetterOrDigit = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
            || (character >= 'A' && character <= 'Z');
    };
    return !text.empty() && text.size() <= 63 && isLetterOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), [&](char character) {
               return isLetterOrDigit(character) || character == '.' || character == '-' || character == '_';
           });
}

std::optional<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address address { std::string(text.substr(0, colon)), 0 };
    const std::string_view digits = text.substr(colon + 1);
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    const bool isComplete = result.ec == std::errc() && result.ptr == digits.data() + digits.size();
    if (!isComplete || address.port == 0 || digits.front() == '0' || !isIpv4(address.ip))
        return std::nullopt;
    return address;
}

std::optional<Json::Value> readRoot(std::string_view text, FaultList& faults)
{
    StrictJsonDocument document = StrictJson::read(text);
    for (JsonFault& fault : document.faults)
        faults.add(std::move(fault.path), std::move(fault.found), std::move(fault.allowed));
    if (!document.isComplete)
        return std::nullopt;
    return std::move(document.value);
}

}
