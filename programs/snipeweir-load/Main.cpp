#include "programs/snipeweir-load/LoadGenerator.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

std::vector<snipeweir::Address> parseAddresses(const std::vector<std::string>& texts)
{
    std::vector<snipeweir::Address> addresses;
    for (const auto& text : texts) {
        const auto colon = text.rfind(':');
        if (colon != std::string::npos)
            addresses.push_back({ text.substr(0, colon), static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)) });
    }
    return addresses;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "snipeweir-load", "Generates seeded load on a deployment and prints the results as one JSON object.");
    options.add_options()(
        "nodes", "Public addresses of nodes, comma-separated", cxxopts::value<std::vector<std::string>>())("backends",
        "Addresses of backend servers whose run statistics are read at the end, comma-separated",
        cxxopts::value<std::vector<std::string>>()->default_value(""))("services",
        "Service names, comma-separated; the last one serves downloads", cxxopts::value<std::vector<std::string>>())(
        "seconds", "Duration in seconds", cxxopts::value<uint32_t>()->default_value("20"))(
        "seed", "Seed of the random number generators", cxxopts::value<uint64_t>()->default_value("1"))(
        "rate", "Calls per second", cxxopts::value<double>()->default_value("300"))(
        "threads", "Concurrent callers", cxxopts::value<uint32_t>()->default_value("48"))("pairs",
        "Lookup pairs per second, through a node and directly to a backend server; 0 sends none",
        cxxopts::value<double>()->default_value("20"))("lookups-only", "Send public lookups only")(
        "help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        snipeweir::LoadSettings settings;
        settings.nodes = parseAddresses(arguments["nodes"].as<std::vector<std::string>>());
        settings.backends = parseAddresses(arguments["backends"].as<std::vector<std::string>>());
        settings.services = arguments["services"].as<std::vector<std::string>>();
        settings.duration = std::chrono::seconds(arguments["seconds"].as<uint32_t>());
        settings.seed = arguments["seed"].as<uint64_t>();
        settings.callsPerSecond = arguments["rate"].as<double>();
        settings.threads = arguments["threads"].as<uint32_t>();
        settings.pairsPerSecond = arguments["pairs"].as<double>();
        settings.isLookupsOnly = arguments.count("lookups-only") > 0;
        if (settings.nodes.empty() || settings.services.empty()) {
            std::cerr << "At least one node (--nodes) and one service (--services) are required.\n";
            return 64;
        }
        const snipeweir::SystemClock clock;
        snipeweir::LoadGenerator generator(settings, clock);
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        std::cout << Json::writeString(writer, generator.run()) << "\n";
        return 0;
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return 64;
    }
}
