#include "programs/snipeweirctl/TablePrinter.h"

#include <algorithm>
#include <json/writer.h>
#include <set>

namespace snipeweir {

namespace {

    std::string escapeControlCharacters(const std::string& text)
    {
        static const char hexDigits[] = "0123456789abcdef";
        std::string out;
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            if (byte >= 0x20 && byte != 0x7f) {
                out += character;
            } else {
                out += "\\x";
                out += hexDigits[byte >> 4U];
                out += hexDigits[byte & 0xfU];
            }
        }
        return out;
    }

    std::string formatCell(const Json::Value& value)
    {
        if (value.isNull())
            return "-";
        if (value.isString())
            return escapeControlCharacters(value.asString());
        if (value.isArray()) {
            std::string text;
            for (const Json::Value& element : value)
                text += (text.empty() ? "" : ", ") + formatCell(element);
            return text.empty() ? "-" : text;
        }
        if (value.isObject()) {
            std::string text;
            for (const std::string& key : value.getMemberNames())
                text += (text.empty() ? "" : " ") + escapeControlCharacters(key) + "=" + formatCell(value[key]);
            return text.empty() ? "-" : text;
        }
        return value.asString();
    }

    /// @return Number of terminal columns of the text, as its number of UTF-8 code points.
    size_t displayWidth(const std::string& text)
    {
        return static_cast<size_t>(std::count_if(text.begin(), text.end(),
            [](char character) { return (static_cast<unsigned char>(character) & 0xc0U) != 0x80U; }));
    }

    bool isArrayOfObjects(const Json::Value& value)
    {
        return value.isArray() && !value.empty()
            && std::all_of(value.begin(), value.end(), [](const Json::Value& row) { return row.isObject(); });
    }

}

TablePrinter::TablePrinter(std::ostream& out)
    : m_out(out)
{
}

void TablePrinter::printObject(const Json::Value& object) { printMembers(object, ""); }

void TablePrinter::printMembers(const Json::Value& object, const std::string& prefix)
{
    // Print scalar members and arrays of scalars as one aligned block.
    size_t width = 0;
    for (const std::string& key : object.getMemberNames()) {
        if (!isArrayOfObjects(object[key]) && !object[key].isObject())
            width = std::max(width, displayWidth(prefix + escapeControlCharacters(key)));
    }
    for (const std::string& key : object.getMemberNames()) {
        if (isArrayOfObjects(object[key]) || object[key].isObject())
            continue;
        const std::string name = prefix + escapeControlCharacters(key);
        m_out << name << std::string(width + 2 - displayWidth(name), ' ') << formatCell(object[key]) << '\n';
    }

    // Print nested objects and tables.
    for (const std::string& key : object.getMemberNames()) {
        const Json::Value& value = object[key];
        if (value.isObject()) {
            printMembers(value, prefix + escapeControlCharacters(key) + ".");
        } else if (isArrayOfObjects(value)) {
            std::set<std::string> columns;
            for (const Json::Value& row : value) {
                for (const std::string& column : row.getMemberNames())
                    columns.insert(column);
            }
            m_out << '\n' << prefix << escapeControlCharacters(key) << " (" << value.size() << ")\n";
            printRows(value, { columns.begin(), columns.end() });
        }
    }
}

void TablePrinter::printRows(const Json::Value& rows, const std::vector<std::string>& columns)
{
    // Format all cells first, because the widest cell determines the width of its column.
    std::vector<std::vector<std::string>> cells(1);
    for (const std::string& column : columns)
        cells[0].push_back(escapeControlCharacters(column));
    for (const Json::Value& row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string& column : columns)
            line.push_back(formatCell(row[column]));
        cells.push_back(std::move(line));
    }
    std::vector<size_t> widths(columns.size());
    for (const auto& line : cells) {
        for (size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], displayWidth(line[i]));
    }
    for (const auto& line : cells) {
        std::string text;
        for (size_t i = 0; i < line.size(); ++i)
            text += line[i] + std::string(widths[i] + 2 - displayWidth(line[i]), ' ');
        m_out << text.substr(0, text.find_last_not_of(' ') + 1) << '\n';
    }
}

}
