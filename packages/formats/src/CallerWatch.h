// Tells when the far side of a connection closes or half-closes while nobody reads from it.
//
// libmicrohttpd does not look at a suspended connection, so a caller who leaves while the answer is still being worked on
// would go unnoticed until the first write. This watch looks at those sockets with an epoll set and a thread of its own.

#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace toucanstep::formats::internal {

class CallerWatch {
public:
    CallerWatch();
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    // Ends the thread; nothing is called afterwards. Not to be called from `onGone`. The owner calls it before it lets go of
    // the watch: a callback may hold what holds the watch, and the thread cannot wait for itself.
    void stop();

    // Calls `onGone` once, from the watch's thread, when the far side closes. Returns the number for remove().
    uint64_t add(int descriptor, std::function<void()> onGone);
    // Must come before the descriptor is closed. A call to `onGone` that has already begun may still be running.
    void remove(uint64_t token, int descriptor);

private:
    void run();

    std::mutex m_mutex;
    std::unordered_map<uint64_t, std::function<void()>> m_watched;
    uint64_t m_nextToken = 1;
    int m_epoll = -1;
    int m_stopEvent = -1;
    std::thread m_thread;
};

} // namespace toucanstep::formats::internal
