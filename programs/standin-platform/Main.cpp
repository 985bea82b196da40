#include "programs/standin-platform/PlatformStandin.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace {

volatile std::sig_atomic_t shouldStop = 0;

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-platform", "Stand-in for the platform's configuration service and VM list.");
    options.add_options()("listen", "Address to listen on, as ip:port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7300"))("help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        std::signal(SIGTERM, [](int) { shouldStop = 1; });
        std::signal(SIGINT, [](int) { shouldStop = 1; });
        const snipeweir::SystemClock clock;
        snipeweir::PlatformStandin platform(clock);
        const auto error = snipeweir::errorOf([&] { return platform.listen(arguments["listen"].as<std::string>()); });
        if (error) {
            std::cerr << error->message << "\n";
            return 1;
        }
        while (!shouldStop)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        platform.stop();
        return 0;
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return 64;
    }
}
