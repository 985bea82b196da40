#include "programs/standin-backend/BackendStandin.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace {

volatile std::sig_atomic_t shouldStop = 0;

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-backend", "Stand-in for a backend server with switchable faults.");
    options.add_options()("listen", "Address to listen on, as ip:port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7410"))("node",
        "Public address of the node on the same VM, for calls to other services",
        cxxopts::value<std::string>()->default_value(""))("slots",
        "Concurrent requests that nodes may start; starts beyond are counted",
        cxxopts::value<uint32_t>()->default_value("10"))("service-us", "Mean service time in microseconds",
        cxxopts::value<uint32_t>()->default_value("5000"))("cold-slots",
        "Concurrent requests that a cold server can handle; those beyond fail",
        cxxopts::value<uint32_t>()->default_value("2"))("warm-after",
        "Completed requests after which a cold server is warm", cxxopts::value<uint32_t>()->default_value("50"))(
        "start-cold", "Start as a cold server")("help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        std::signal(SIGTERM, [](int) { shouldStop = 1; });
        std::signal(SIGINT, [](int) { shouldStop = 1; });
        snipeweir::BackendStandinSettings settings;
        settings.address = arguments["listen"].as<std::string>();
        settings.nodeAddress = arguments["node"].as<std::string>();
        settings.slots = arguments["slots"].as<uint32_t>();
        settings.serviceTime = std::chrono::microseconds(arguments["service-us"].as<uint32_t>());
        settings.coldLimit = arguments["cold-slots"].as<uint32_t>();
        settings.warmAfter = arguments["warm-after"].as<uint32_t>();
        settings.startsCold = arguments.count("start-cold") > 0;
        const snipeweir::SystemClock clock;
        snipeweir::BackendStandin backend(settings, clock);
        const auto error = snipeweir::errorOf([&] { return backend.listen(); });
        if (error) {
            std::cerr << error->message << "\n";
            return 1;
        }
        while (!shouldStop)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        backend.stop();
        return 0;
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return 64;
    }
}
