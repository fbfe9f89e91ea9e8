// Runs tasks later, on one thread, in the order of their instants.

#pragma once

#include "toucanstep/base/Time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace toucanstep::fakes::internal {

class DelayedTasks {
public:
    DelayedTasks();
    // Tasks whose instant has not come are dropped.
    ~DelayedTasks();
    DelayedTasks(const DelayedTasks&) = delete;
    DelayedTasks& operator=(const DelayedTasks&) = delete;

    void runAt(base::Instant, std::function<void()>);
    void runAfter(base::Duration delay, std::function<void()> task) { runAt(std::chrono::steady_clock::now() + delay, std::move(task)); }
    // Ends the thread; a task that runs is waited for, and none begins afterwards. Not to be called from a task.
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<base::Instant, std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace toucanstep::fakes::internal
