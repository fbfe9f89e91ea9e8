// Appends the history of this process to a file, for tests and the bench. See base/History.h.

#pragma once

#include "toucanstep/base/History.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace toucanstep::node {

class HistoryFile final : public base::HistoryRecorder {
public:
    explicit HistoryFile(const std::string& path);
    void record(const base::HistoryEvent&) override;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// Records nothing.
class NoHistory final : public base::HistoryRecorder {
public:
    void record(const base::HistoryEvent&) override { }
};

} // namespace toucanstep::node
