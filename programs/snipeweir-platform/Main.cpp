#include "platform/Documents.h"
#include "platform/PlatformNames.h"
#include "platform/Store.h"
#include "snipeweir/relay/Relay.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

constexpr int exitStartFailed = 1;
constexpr int exitFaults = 2;
constexpr int exitUsage = 64;
constexpr const char* settingsVariable = "SNIPEWEIR_NODE_FILE";

snipeweir::Result<snipeweir::platform::ProcessSettings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return snipeweir::fail(snipeweir::ErrorCode::NotFound, "Cannot read the settings file " + path + ".");
    return snipeweir::platform::decodeSettings(text.str());
}

/// Notices when the settings file is written again.
class SettingsFile {
public:
    explicit SettingsFile(std::string path)
        : m_path(std::move(path))
        , m_writtenAt(writtenAt())
    {
    }

    bool hasChanged()
    {
        const auto now = writtenAt();
        return std::exchange(m_writtenAt, now) != now;
    }

private:
    std::filesystem::file_time_type writtenAt() const
    {
        std::error_code error; // A file that is being replaced is looked at again a second later.
        const auto time = std::filesystem::last_write_time(m_path, error);
        return error ? m_writtenAt : time;
    }

    std::string m_path;
    std::filesystem::file_time_type m_writtenAt {};
};

int run(const std::string& path, bool onlyCheck)
{
    snipeweir::platform::ProcessSettings settings;
    auto error = snipeweir::errorOf([&]() -> snipeweir::Result<void> {
        BOOST_LEAF_ASSIGN(settings, loadSettings(path));
        return {};
    });
    if (error) {
        std::cerr << error->message << "\n";
        return exitFaults;
    }
    if (onlyCheck)
        return 0;

    const snipeweir::BootClock clock;
    snipeweir::JsonLog log(clock, snipeweir::JsonLog::Settings(), settings.node.vm.text(), STDOUT_FILENO);
    log.belief("start",
        { { "version", SNIPEWEIR_VERSION }, { "service", settings.node.service.text() },
            { "data_centre", settings.node.dataCentre.text() }, { "callers", settings.node.callers.text() },
            { "peers", settings.node.peers.text() }, { "backend", settings.node.backend.text() },
            { "store", settings.store.text() } });
    std::unique_ptr<snipeweir::Relay> relay;
    error = snipeweir::errorOf([&]() -> snipeweir::Result<void> {
        BOOST_LEAF_ASSIGN(relay,
            snipeweir::Relay::create(settings.node, snipeweir::platform::platformNames(), clock, log,
                [&](const snipeweir::asio::any_io_executor& executor) {
                    return snipeweir::platform::storeSource(executor, clock, settings.store);
                }));
        return {};
    });
    if (error) {
        log.belief("start_failed", { { "error", error->message } });
        return exitStartFailed;
    }
    SettingsFile file(path);
    relay->haveSettingsChanged = [&file] { return file.hasChanged(); };
    relay->reloadSettings = [&path]() -> std::optional<snipeweir::RelaySettings> {
        return snipeweir::handleErrors(
            [&]() -> snipeweir::Result<std::optional<snipeweir::RelaySettings>> {
                BOOST_LEAF_AUTO(reloaded, loadSettings(path));
                return std::optional(reloaded.node);
            },
            [](const snipeweir::Error&) { return std::optional<snipeweir::RelaySettings>(); });
    };
    relay->run();
    return 0;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("snipeweir-platform", "Relay node beside one backend server, on the users' platform.");
    options.add_options()("settings", "Settings file (JSON); default: the file that SNIPEWEIR_NODE_FILE names",
        cxxopts::value<std::string>())("check", "Check the settings file and exit: 0 if it is right, 2 if not")(
        "help", "Print this help")("version", "Print the version");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help()
                      << "\nExit codes: 0 planned stop, 1 cannot start, 2 faults in settings, 64 usage\n";
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << SNIPEWEIR_VERSION << "\n";
            return 0;
        }
        const char* variable = std::getenv(settingsVariable);
        if (!arguments.count("settings") && !variable) {
            std::cerr << "Name the settings file by --settings FILE or " << settingsVariable << ".\n";
            return exitUsage;
        }
        const std::string path = arguments.count("settings") ? arguments["settings"].as<std::string>() : variable;
        std::signal(SIGPIPE, SIG_IGN);
        return run(path, arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return exitUsage;
    }
}
