#pragma once

#include <string>

namespace snipeweir {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Logger of one component of a node. Each line contains the component's name. Thread-safe.
class Log {
public:
    /// @param component Name of the component, for example "membership".
    explicit Log(std::string component);

    void debug(const std::string& message) const { write(LogLevel::Debug, message); }
    void info(const std::string& message) const { write(LogLevel::Info, message); }
    void warning(const std::string& message) const { write(LogLevel::Warning, message); }
    void error(const std::string& message) const { write(LogLevel::Error, message); }

    /// Directs all loggers to standard error. Call once at program start.
    /// @param level Lowest level that is written: "debug", "info", "warn" or "error". "info" if the name is unknown.
    /// @param processName Name of this process, written in each line.
    static void configure(const std::string& level, const std::string& processName);

private:
    void write(LogLevel, const std::string& message) const;

    std::string m_component;
};

}
