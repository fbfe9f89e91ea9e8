#include "toucanstep/node/HistoryFile.h"

#include <glog/logging.h>

namespace toucanstep::node {

HistoryFile::HistoryFile(const std::string& path)
    : m_file(path, std::ios::app)
{
    LOG_IF(ERROR, !m_file) << "event=history_unwritable path=" << path;
}

void HistoryFile::record(const base::HistoryEvent& event)
{
    std::string line = base::encodeHistoryEvent(event) + "\n";
    std::lock_guard lock(m_mutex);
    // Flushed at once: a process that is killed must leave what it did before.
    m_file << line << std::flush;
}

} // namespace toucanstep::node
