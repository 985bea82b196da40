#include "snipeweir/configuration/FleetConfiguration.h"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace snipeweir;

namespace {

std::string fileText(const std::string& name)
{
    std::ifstream file(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}

TEST_CASE("The documentation of the configuration keys matches the code")
{
    const std::string operators = fileText("docs/operators.md");
    const std::string begin = "<!-- keys: begin -->\n";
    const size_t start = operators.find(begin);
    const size_t end = operators.find("<!-- keys: end -->");
    REQUIRE(start != std::string::npos);
    REQUIRE(end != std::string::npos);
    CHECK(operators.substr(start + begin.size(), end - start - begin.size()) == policyKeysAsMarkdown());

    const std::string design = fileText("docs/design.md");
    for (const PolicyKey& key : policyKeys()) {
        const std::string row = "| `" + std::string(key.name) + "` | " + std::to_string(key.minimum) + ".."
            + std::to_string(key.maximum) + " | " + std::to_string(key.defaultValue()) + " |";
        CHECK_MESSAGE(design.find(row) != std::string::npos, row);
    }
}

TEST_CASE("The configuration files of both deployments are valid and set the slots that docs/design.md states")
{
    for (const std::pair<const char*, uint32_t> deployment :
        { std::pair("montevideo", 10), std::pair("dar-es-salaam", 20) }) {
        const std::string text = fileText("deployments/" + std::string(deployment.first) + ".json");
        const auto error = errorOf([&]() -> Result<void> {
            BOOST_LEAF_AUTO(configuration, FleetConfiguration::parse(text));
            CHECK(configuration->policyFor({}, {}, {}).slots == deployment.second);
            CHECK(configuration->dataCentres().size() == 3);
            return {};
        });
        CHECK_FALSE(error);
    }
}
