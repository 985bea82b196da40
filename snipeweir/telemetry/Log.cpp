#include "snipeweir/telemetry/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace snipeweir {

Log::Log(std::string component)
    : m_component(std::move(component))
{
}

void Log::configure(const std::string& level, const std::string& processName)
{
    using namespace log4cxx;
    const auto layout
        = std::make_shared<PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p " + processName + " %c: %m%n");
    const auto appender = std::make_shared<ConsoleAppender>(layout, LogString("System.err"));
    BasicConfigurator::resetConfiguration();
    BasicConfigurator::configure(appender);
    Logger::getRootLogger()->setLevel(Level::toLevel(level, Level::getInfo()));
}

void Log::write(LogLevel level, const std::string& message) const
{
    const auto logger = log4cxx::Logger::getLogger(m_component);
    switch (level) {
    case LogLevel::Debug:
        LOG4CXX_DEBUG(logger, message);
        break;
    case LogLevel::Info:
        LOG4CXX_INFO(logger, message);
        break;
    case LogLevel::Warning:
        LOG4CXX_WARN(logger, message);
        break;
    case LogLevel::Error:
        LOG4CXX_ERROR(logger, message);
        break;
    }
}

}
