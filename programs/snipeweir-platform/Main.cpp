#include "platform/PlatformNames.h"
#include "platform/Settings.h"
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
constexpr int exitInvalidSettings = 2;
constexpr int exitWrongUsage = 64;
constexpr const char* settingsFileVariable = "SNIPEWEIR_NODE_FILE";

snipeweir::Result<snipeweir::platform::ProcessSettings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return snipeweir::fail(snipeweir::ErrorCode::NotFound, "Cannot read the settings file " + path + ".");
    return snipeweir::platform::decodeSettings(text.str());
}

/// Detects changes of the settings file by its modification time. For one thread.
class SettingsFileWatcher {
public:
    explicit SettingsFileWatcher(std::string path)
        : m_path(std::move(path))
        , m_lastWriteTime(lastWriteTime())
    {
    }

    /// @return Whether the file was written since the last call, or since construction for the first call.
    bool hasChanged()
    {
        const auto now = lastWriteTime();
        return std::exchange(m_lastWriteTime, now) != now;
    }

private:
    std::filesystem::file_time_type lastWriteTime() const
    {
        std::error_code error; // The file may be missing while it is replaced; the relay checks again after 1 s.
        const auto time = std::filesystem::last_write_time(m_path, error);
        return error ? m_lastWriteTime : time;
    }

    std::string m_path;
    std::filesystem::file_time_type m_lastWriteTime {};
};

/// Holds back the signals that the relay handles, or delivers them, to this thread and those that it starts from now
/// on. While nothing handles them they would end the process.
/// @param how SIG_BLOCK or SIG_UNBLOCK.
void maskHandledSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}

int run(const std::string& path, bool checkOnly)
{
    snipeweir::platform::ProcessSettings settings;
    auto error = snipeweir::errorOf([&]() -> snipeweir::Result<void> {
        BOOST_LEAF_ASSIGN(settings, loadSettings(path));
        return {};
    });
    if (error) {
        std::cerr << error->message << "\n";
        return exitInvalidSettings;
    }
    if (checkOnly)
        return 0;

    const snipeweir::BootClock clock;
    // Before the thread of the log starts, so that signals are delivered only to this one.
    maskHandledSignals(SIG_BLOCK);
    snipeweir::JsonLog log(clock, snipeweir::JsonLog::Settings(), settings.node.vm.text(), STDOUT_FILENO);
    log.logStateChange("start",
        { { "version", SNIPEWEIR_VERSION }, { "service", settings.node.service.text() },
            { "data_centre", settings.node.dataCentre.text() }, { "callers", settings.node.callersAddress.text() },
            { "peers", settings.node.peersAddress.text() }, { "backend", settings.node.backendAddress.text() },
            { "store", settings.store.text() }, { "grace_ms", std::to_string(settings.node.stopGrace.count()) },
            { "repeats_percent", std::to_string(settings.node.retryBudgetPercent) },
            { "repeats_extra", std::to_string(settings.node.retryBudgetExtra) },
            { "cold_factor", std::to_string(settings.node.coldFactor) },
            { "cold_extra", std::to_string(settings.node.coldExtra) },
            { "revoke_strict",
                settings.node.keyRevocation.mode == snipeweir::ConfigurationFreshness::Mode::RejectWhenOld ? "true"
                                                                                                           : "false" },
            { "revoke_ms", std::to_string(settings.node.keyRevocation.maxAge.count()) } });
    SettingsFileWatcher watcher(path);
    std::unique_ptr<snipeweir::Relay> relay;
    error = snipeweir::errorOf([&]() -> snipeweir::Result<void> {
        BOOST_LEAF_ASSIGN(relay,
            snipeweir::Relay::create(settings.node, snipeweir::platform::platformNames(), clock, log,
                [&](const snipeweir::asio::any_io_executor& executor) {
                    return snipeweir::platform::createStoreSource(
                        executor, clock, [&settings] { return settings.store; },
                        snipeweir::malformedResponseLogger(log));
                }));
        return {};
    });
    if (error) {
        log.logStateChange("start_failed", { { "error", error->message } });
        return exitStartFailed;
    }
    relay->haveSettingsChanged = [&watcher] { return watcher.hasChanged(); };
    relay->reloadSettings = [&path, &settings]() -> std::optional<snipeweir::RelaySettings> {
        return snipeweir::handleErrors(
            [&]() -> snipeweir::Result<std::optional<snipeweir::RelaySettings>> {
                BOOST_LEAF_ASSIGN(settings, loadSettings(path));
                return std::optional(settings.node);
            },
            [](const snipeweir::Error&) { return std::optional<snipeweir::RelaySettings>(); });
    };
    maskHandledSignals(SIG_UNBLOCK);
    relay->run();
    maskHandledSignals(SIG_BLOCK);
    return 0;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("snipeweir-platform", "Relay node beside one backend server, on the users' platform.");
    options.add_options()("settings", "Settings file (JSON); default: the file named by SNIPEWEIR_NODE_FILE",
        cxxopts::value<std::string>())(
        "check", "Check the settings file and exit: 0 if it is valid, 2 if it has faults")("help", "Print this help")(
        "version", "Print the version");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help()
                      << "\nExit codes: 0 graceful shutdown, 1 startup failed, 2 invalid settings, 64 wrong usage\n";
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << SNIPEWEIR_VERSION << "\n";
            return 0;
        }
        const char* variable = std::getenv(settingsFileVariable);
        if (!arguments.count("settings") && !variable) {
            std::cerr << "The settings file must be given by --settings FILE or " << settingsFileVariable << ".\n";
            return exitWrongUsage;
        }
        const std::string path = arguments.count("settings") ? arguments["settings"].as<std::string>() : variable;
        std::signal(SIGPIPE, SIG_IGN);
        return run(path, arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return exitWrongUsage;
    }
}
