// Monotonic time, and clocks that tests can turn by hand.
//
// A deadline is an absolute Instant of the local monotonic clock and is what gets stored. Between processes the time
// that remains travels, and the receiver turns it into an Instant at once (see deadlineAfter and remaining).

#pragma once

#include <atomic>
#include <chrono>
#include <ctime>

namespace toucanstep::base {

using Duration = std::chrono::nanoseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

class SteadyClock final : public Clock {
public:
    Instant now() const override { return std::chrono::steady_clock::now(); }
};

// Counts the time for which the machine was suspended too. A lease or a deadline that ran out meanwhile is seen as over by
// the first look after the pause, where the steady clock would still show it as running. Its instants and those of
// SteadyClock differ by the time suspended: one process keeps to one of them for what it compares.
class BootClock final : public Clock {
public:
    Instant now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

// A clock that moves only when a test says so. Safe to read from any thread.
class ManualClock final : public Clock {
public:
    Instant now() const override { return Instant(Duration(m_nanoseconds.load())); }
    void advance(Duration step) { m_nanoseconds.fetch_add(step.count()); }

private:
    std::atomic<int64_t> m_nanoseconds { Duration(std::chrono::hours(1)).count() };
};

// The deadline that lies `remaining` after `now`.
inline Instant deadlineAfter(Instant now, Duration remaining) { return now + remaining; }

// The time left until `deadline`; zero once it has passed.
inline Duration remaining(Instant now, Instant deadline) { return deadline > now ? deadline - now : Duration::zero(); }

inline int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace toucanstep::base
