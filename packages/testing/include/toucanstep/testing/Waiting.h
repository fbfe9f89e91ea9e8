// Waiting in tests for something that another thread does. The bound only ends a test that would otherwise hang.

#pragma once

#include "toucanstep/base/Time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace toucanstep::testing {

constexpr base::Duration hangBound = std::chrono::seconds(30);

inline base::Instant soon(base::Duration after = hangBound) { return std::chrono::steady_clock::now() + after; }

// Values handed from one thread to another.
template <typename Value>
class Mailbox {
public:
    void put(Value value)
    {
        std::lock_guard lock(m_mutex);
        m_values.push_back(std::move(value));
        m_arrived.notify_all();
    }

    // Takes the oldest value, or nothing if none came within the bound.
    std::optional<Value> take(base::Duration bound = hangBound)
    {
        std::unique_lock lock(m_mutex);
        if (!m_arrived.wait_for(lock, bound, [this] { return !m_values.empty(); }))
            return std::nullopt;
        Value value = std::move(m_values.front());
        m_values.erase(m_values.begin());
        return value;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<Value> m_values;
};

} // namespace toucanstep::testing
