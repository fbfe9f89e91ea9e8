// Sends the process's log lines to standard output without ever waiting for its reader.
//
// While one exists, glog writes nothing itself. A line that the reader does not take at once is dropped and counted; the
// next line that goes out says how many were.

#pragma once

#include <atomic>
#include <cstdint>
#include <glog/logging.h>

namespace toucanstep::base {

class LogStream final : public google::LogSink {
public:
    explicit LogStream(int descriptor = 1);
    ~LogStream() override;
    LogStream(const LogStream&) = delete;
    LogStream& operator=(const LogStream&) = delete;

    int64_t dropped() const { return m_dropped.load(); }
    void send(google::LogSeverity, const char* fullFilename, const char* baseFilename, int line, const google::LogMessageTime&, const char* message, size_t size) override;

private:
    int m_descriptor;
    std::atomic<int64_t> m_dropped = 0;
    std::atomic<int64_t> m_told = 0;
};

} // namespace toucanstep::base
