#include "toucanstep/base/LogStream.h"

#include "toucanstep/base/Text.h"

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace toucanstep::base {

LogStream::LogStream(int descriptor)
    : m_descriptor(descriptor)
{
    // Nothing to files and nothing to standard error: this stream is the only destination.
    for (google::LogSeverity severity = google::INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::FATAL;
    int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    google::AddLogSink(this);
}

LogStream::~LogStream()
{
    google::RemoveLogSink(this);
}

void LogStream::send(google::LogSeverity severity, const char*, const char*, int, const google::LogMessageTime&, const char* message, size_t size)
{
    auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::string line = concat("ts=", now, " severity=", google::GetLogSeverityName(severity), " ", std::string_view(message, size));
    int64_t dropped = m_dropped.load();
    if (dropped > m_told.load())
        append(line, " lines_dropped=", dropped);
    line += '\n';
    // A part of a line could only be completed by waiting: what the pipe does not take whole is cut there.
    ssize_t written = write(m_descriptor, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size()))
        m_told.store(dropped);
    else
        m_dropped.fetch_add(1);
}

} // namespace toucanstep::base
