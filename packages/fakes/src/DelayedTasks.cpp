#include "DelayedTasks.h"

namespace toucanstep::fakes::internal {

DelayedTasks::DelayedTasks()
    : m_thread([this] { run(); })
{
}

DelayedTasks::~DelayedTasks() { stop(); }

void DelayedTasks::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void DelayedTasks::runAt(base::Instant instant, std::function<void()> task)
{
    {
        std::lock_guard lock(m_mutex);
        m_tasks.emplace(instant, std::move(task));
    }
    m_changed.notify_all();
}

void DelayedTasks::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        auto next = m_tasks.begin();
        if (next->first > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, base::Instant(next->first));
            continue;
        }
        auto task = std::move(next->second);
        m_tasks.erase(next);
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

} // namespace toucanstep::fakes::internal
