#include "programs/snipeweirctl/JsonOutput.h"

#include <json/writer.h>
#include <memory>

namespace snipeweir {

void printJson(std::ostream& out, const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    const std::unique_ptr<Json::StreamWriter> writer(builder.newStreamWriter());
    writer->write(value, &out);
    out << '\n';
}

}
