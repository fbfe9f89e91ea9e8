// One thread that waits for sockets, timers and posted tasks; the traffic of a process runs on it.
//
// Everything but post(), after() and the destructor is called on the loop's own thread.

#pragma once

#include "toucanstep/base/Time.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace toucanstep::io {

class EventLoop {
public:
    using Task = std::function<void()>;
    using SocketHandler = std::function<void(uint32_t events)>;
    using TimerId = uint64_t;

    // Timers and now() go by `clock`; the default does not count the time for which the machine stood still.
    explicit EventLoop(std::unique_ptr<base::Clock> clock = std::make_unique<base::SteadyClock>());
    // Runs what was already posted, then stops; to be called from another thread.
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs `task` on the loop's thread, soon. Safe from any thread.
    void post(Task);
    // Runs `task` on the loop's thread and waits for it. Never to be called on the loop's thread.
    void runAndWait(Task);

    TimerId at(base::Instant, Task);
    void cancel(TimerId);

    // `events` are those of epoll(7). A socket is watched until unwatch().
    void watch(int socket, uint32_t events, SocketHandler);
    void modify(int socket, uint32_t events);
    void unwatch(int socket);

    bool onLoopThread() const { return std::this_thread::get_id() == m_thread.get_id(); }
    base::Instant now() const { return m_clock->now(); }
    // Stops the thread early; posted tasks are dropped from then on.
    void stop();

private:
    struct Timer {
        TimerId id = 0;
        Task task;
    };

    void run();
    void runPosted();
    void runDueTimers();
    int millisecondsToNextTimer() const;

    std::unique_ptr<base::Clock> m_clock;
    int m_epoll = -1;
    int m_wakeup = -1;
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    bool m_stopping = false;

    std::multimap<base::Instant, Timer> m_timers;
    absl::flat_hash_map<TimerId, base::Instant> m_timerDeadlines;
    TimerId m_nextTimer = 1;
    absl::flat_hash_map<int, std::shared_ptr<SocketHandler>> m_handlers;
    std::thread m_thread;
};

} // namespace toucanstep::io
