// A value that the control thread publishes and traffic threads read.
//
// Readers get a shared reference to an immutable value and never wait for the writer's work: the lock is held for the
// copy of one pointer. std::atomic<std::shared_ptr> would do the same, but the compiler's implementation of this release
// is not understood by the thread sanitizer.

#pragma once

#include <memory>
#include <mutex>

namespace toucanstep::node {

template <typename T>
class Snapshot {
public:
    explicit Snapshot(std::shared_ptr<const T> value = std::make_shared<const T>())
        : m_value(std::move(value))
    {
    }

    std::shared_ptr<const T> load() const
    {
        std::lock_guard lock(m_mutex);
        return m_value;
    }

    void publish(std::shared_ptr<const T> value)
    {
        std::lock_guard lock(m_mutex);
        m_value.swap(value);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
};

} // namespace toucanstep::node
