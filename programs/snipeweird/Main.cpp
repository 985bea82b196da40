#include "snipeweir/core/StateChart.h"
#include "snipeweir/node/Node.h"
#include "snipeweir/telemetry/Log.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace {

constexpr int exitStartFailed = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitDrainTimeout = 3;
constexpr int exitWrongUsage = 64;

volatile std::sig_atomic_t shouldStop = 0;

int run(const snipeweir::NodeSettings& settings)
{
    const snipeweir::SystemClock clock;
    std::unique_ptr<snipeweir::Node> node;
    const auto error = snipeweir::errorOf([&]() -> snipeweir::Result<void> {
        BOOST_LEAF_ASSIGN(node, snipeweir::Node::create(settings, clock, snipeweir::chartDirectory()));
        return {};
    });
    if (error) {
        std::cerr << error->message << "\n";
        return exitStartFailed;
    }
    while (!shouldStop)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return node->drain() ? 0 : exitDrainTimeout;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("snipeweird", "Load balancer node beside one backend server.");
    options.add_options()("settings", "Settings file of this node (JSON), required", cxxopts::value<std::string>())(
        "check", "Check the settings file and exit: 0 if it is valid, 2 if it has faults")("help", "Print this help")(
        "version", "Print the version");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help()
                      << "\nExit codes: 0 graceful shutdown, 1 startup failed, 2 invalid settings, 3 drain timeout, 64 "
                         "wrong usage\n";
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << SNIPEWEIR_VERSION << "\n";
            return 0;
        }
        if (!arguments.count("settings")) {
            std::cerr << "--settings FILE is required.\n";
            return exitWrongUsage;
        }
        snipeweir::NodeSettings settings;
        const auto error = snipeweir::errorOf([&]() -> snipeweir::Result<void> {
            BOOST_LEAF_ASSIGN(settings, snipeweir::NodeSettings::load(arguments["settings"].as<std::string>()));
            return {};
        });
        if (error) {
            std::cerr << error->message << "\n";
            return exitInvalidSettings;
        }
        if (arguments.count("check"))
            return 0;
        std::signal(SIGTERM, [](int) { shouldStop = 1; });
        std::signal(SIGINT, [](int) { shouldStop = 1; });
        std::signal(SIGPIPE, SIG_IGN);
        snipeweir::Log::configure(settings.logLevel, settings.vm.text());
        return run(settings);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return exitWrongUsage;
    }
}
