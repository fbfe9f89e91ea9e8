#include "toucanstep/io/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace toucanstep::io {

namespace {

constexpr int eventsPerWait = 64;
constexpr int longestWaitMilliseconds = 1000;

} // namespace

EventLoop::EventLoop(std::unique_ptr<base::Clock> clock)
    : m_clock(std::move(clock))
{
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wakeup = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    PCHECK(m_epoll >= 0 && m_wakeup >= 0);
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = m_wakeup;
    PCHECK(!epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event));
    m_thread = std::thread([this] { run(); });
}

EventLoop::~EventLoop()
{
    stop();
    // Some handlers own connections, which unwatch themselves as they go.
    std::exchange(m_handlers, {}).clear();
    close(m_wakeup);
    close(m_epoll);
}

void EventLoop::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    uint64_t one = 1;
    [[maybe_unused]] ssize_t written = write(m_wakeup, &one, sizeof(one));
    if (m_thread.joinable())
        m_thread.join();
}

void EventLoop::post(Task task)
{
    {
        std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(task));
        if (m_posted.size() > 1)
            return;
    }
    uint64_t one = 1;
    [[maybe_unused]] ssize_t written = write(m_wakeup, &one, sizeof(one));
}

void EventLoop::runAndWait(Task task)
{
    std::mutex mutex;
    std::condition_variable condition;
    bool done = false;
    post([&] {
        task();
        std::lock_guard lock(mutex);
        done = true;
        condition.notify_one();
    });
    std::unique_lock lock(mutex);
    condition.wait(lock, [&] { return done; });
}

EventLoop::TimerId EventLoop::at(base::Instant deadline, Task task)
{
    TimerId id = m_nextTimer++;
    m_timers.emplace(deadline, Timer { id, std::move(task) });
    m_timerDeadlines.emplace(id, deadline);
    return id;
}

void EventLoop::cancel(TimerId id)
{
    auto known = m_timerDeadlines.find(id);
    if (known == m_timerDeadlines.end())
        return;
    auto [first, last] = m_timers.equal_range(known->second);
    m_timerDeadlines.erase(known);
    auto timer = std::find_if(first, last, [id](const auto& entry) { return entry.second.id == id; });
    if (timer != last)
        m_timers.erase(timer);
}

void EventLoop::watch(int socket, uint32_t events, SocketHandler handler)
{
    m_handlers[socket] = std::make_shared<SocketHandler>(std::move(handler));
    epoll_event event {};
    event.events = events;
    event.data.fd = socket;
    PCHECK(!epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event));
}

void EventLoop::modify(int socket, uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = socket;
    PCHECK(!epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event));
}

void EventLoop::unwatch(int socket)
{
    if (m_handlers.erase(socket))
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
}

void EventLoop::run()
{
    std::array<epoll_event, eventsPerWait> events {};
    while (true) {
        runPosted();
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping && m_posted.empty())
                return;
            // Timers may post further tasks without end.
            if (m_stopping)
                continue;
        }
        runDueTimers();
        int count = epoll_wait(m_epoll, events.data(), eventsPerWait, millisecondsToNextTimer());
        PCHECK(count >= 0 || errno == EINTR);
        for (int index = 0; index < count; ++index) {
            int socket = events.at(index).data.fd;
            if (socket == m_wakeup) {
                uint64_t drained = 0;
                [[maybe_unused]] ssize_t got = read(m_wakeup, &drained, sizeof(drained));
                continue;
            }
            // An earlier handler of this round may have closed the socket.
            auto found = m_handlers.find(socket);
            if (found == m_handlers.end())
                continue;
            auto handler = found->second;
            (*handler)(events.at(index).events);
        }
    }
}

void EventLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        std::lock_guard lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (Task& task : tasks)
        task();
}

void EventLoop::runDueTimers()
{
    base::Instant now = m_clock->now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        Timer timer = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_timerDeadlines.erase(timer.id);
        timer.task();
    }
}

int EventLoop::millisecondsToNextTimer() const
{
    if (m_timers.empty())
        return longestWaitMilliseconds;
    base::Duration wait = base::remaining(m_clock->now(), m_timers.begin()->first);
    // Rounded up, so that the loop does not spin through the last millisecond.
    int64_t milliseconds = base::toMilliseconds(wait + std::chrono::microseconds(999));
    return static_cast<int>(std::min<int64_t>(milliseconds, longestWaitMilliseconds));
}

} // namespace toucanstep::io
