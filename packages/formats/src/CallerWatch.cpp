#include "CallerWatch.h"

#include <array>
#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace toucanstep::formats::internal {

namespace {
constexpr uint64_t stopToken = 0;
constexpr int eventsAtOnce = 64;
} // namespace

CallerWatch::CallerWatch()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_stopEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    CHECK(m_epoll >= 0 && m_stopEvent >= 0) << "no descriptor left for watching callers";
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = stopToken;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_stopEvent, &event);
    m_thread = std::thread([this] { run(); });
}

CallerWatch::~CallerWatch()
{
    stop();
    ::close(m_stopEvent);
    ::close(m_epoll);
}

void CallerWatch::stop()
{
    if (!m_thread.joinable())
        return;
    uint64_t one = 1;
    // An eventfd that is full is readable already, so a failed write loses nothing.
    [[maybe_unused]] auto written = ::write(m_stopEvent, &one, sizeof(one));
    m_thread.join();
}

uint64_t CallerWatch::add(int descriptor, std::function<void()> onGone)
{
    std::lock_guard lock(m_mutex);
    uint64_t token = m_nextToken++;
    m_watched.emplace(token, std::move(onGone));
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = token;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
    return token;
}

void CallerWatch::remove(uint64_t token, int descriptor)
{
    std::lock_guard lock(m_mutex);
    m_watched.erase(token);
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

void CallerWatch::run()
{
    std::array<epoll_event, eventsAtOnce> events {};
    for (;;) {
        int count = epoll_wait(m_epoll, events.data(), eventsAtOnce, -1);
        for (int index = 0; index < count; ++index) {
            uint64_t token = events[static_cast<size_t>(index)].data.u64;
            if (token == stopToken)
                return;
            std::function<void()> onGone;
            {
                // Tokens are never used twice, so an event that outlived its connection finds nothing here.
                std::lock_guard lock(m_mutex);
                auto found = m_watched.find(token);
                if (found == m_watched.end())
                    continue;
                onGone = std::move(found->second);
                m_watched.erase(found);
            }
            onGone();
        }
    }
}

} // namespace toucanstep::formats::internal
