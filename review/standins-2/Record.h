// The record of a case: what was sent, answered and run, and when.

#pragma once

#include "toucanstep/base/Text.h"

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace toucanstep::review {

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void add(const std::string& line)
    {
        std::lock_guard lock(m_mutex);
        auto at = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin);
        m_file << base::concat(at.count(), " ms: ", line, "\n") << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

} // namespace toucanstep::review
